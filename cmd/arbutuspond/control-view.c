/* The entry task's view of the fleet, from the instance list, membership, reports and polls. */
#include "control.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define LIST_INTERVAL_MIN (2 * AP_SEC)
#define LIST_INTERVAL_MAX (240 * AP_SEC)
#define LIST_BYTES_PER_SECOND 1024 /* average rate of reads; a longer list is read less often */
#define UNCHANGED_LIST_DIVISOR 8   /* after an unchanged list the interval is divided by it */
#define LIST_JITTER_STEPS 500	   /* distinct lengths of the interval after a response */
#define LIST_RETRY_JITTER_MS 500   /* the next read after a failed one is up to this much later */
#define PUBLISH_DELAY (1 * AP_SEC)
#define PUBLISH_RETRY_DELAY (5 * AP_SEC)

static void add_listed_peers(ap_control_t *c, const ap_listing_t *listing)
{
	for (size_t i = 0; i < listing->n_entries; i++) {
		const ap_entry_t *e = &listing->entries[i];

		if (strcmp(e->id, c->settings->id) != 0)
			ap_peer_add(c->peer, e->id, e->host, e->control_port, e->public_key);
	}
}

/* Up to a tenth of jitter, so that the instances read the list at different times. */
static ap_usec_t list_interval(const ap_control_t *c, size_t bytes)
{
	ap_usec_t every = (ap_usec_t)bytes * AP_SEC / LIST_BYTES_PER_SECOND;

	if (every < LIST_INTERVAL_MIN)
		every = LIST_INTERVAL_MIN;
	if (every > LIST_INTERVAL_MAX)
		every = LIST_INTERVAL_MAX;
	return every +
	       (ap_usec_t)(c->args->inc.hi % LIST_JITTER_STEPS) * every / LIST_JITTER_STEPS / 10;
}

/*
 * Each instance reads the list at another time, so the first one that finds an upstream draining
 * announces that to the region.
 */
static void announce_draining(ap_control_t *c, const ap_listing_t *listing, ap_usec_t now)
{
	for (size_t i = 0; i < listing->n_upstreams; i++) {
		const ap_upstream_t *u = &listing->upstreams[i];

		if (u->draining && strcmp(u->region, c->settings->region) == 0)
			ap_report_saw_draining(c->report, u->id, now);
	}
}

/*
 * An unchanged list is applied again: lib/member ignores the list's draining mark until the
 * instance has been live for a while, so a mark that was ignored before may count now.
 */
static void apply_list(ap_control_t *c, const ap_listing_t *listing, ap_usec_t now)
{
	add_listed_peers(c, listing);
	ap_member_set_listed(c->member, listing->entries, listing->n_entries, now);
	ap_order_set_upstreams(c->order, listing->upstreams, listing->n_upstreams, now);
	ap_report_set_upstreams(c->report, listing->upstreams, listing->n_upstreams, now);
	ap_poll_set_upstreams(c->poll, listing->upstreams, listing->n_upstreams);
	announce_draining(c, listing, now);
}

static void on_list(void *ctx, ap_listing_t *listing, ap_err_t *err)
{
	ap_control_t *c = ctx;
	ap_usec_t now = ap_now();

	c->list_requested = false;
	/* Without a list, an error means that the read failed, none that the list is unchanged. */
	if (!listing && err) {
		ap_log(LOG_WARNING, "%s", err->text);
		return;
	}
	c->list_due = now + list_interval(c, listing ? listing->bytes
						     : c->listing->bytes / UNCHANGED_LIST_DIVISOR);
	if (!listing) {
		apply_list(c, c->listing, now);
		return;
	}
	ap_listing_free(c->listing);
	c->listing = listing;
	apply_list(c, listing, now);
	c->view_stale = true;
}

void ap_control_read_list(ap_control_t *c, ap_usec_t now)
{
	if (c->list_requested || now < c->list_due)
		return;
	c->list_requested = true;
	c->list_due = now + LIST_INTERVAL_MIN +
		      (ap_usec_t)(c->args->inc.hi % LIST_RETRY_JITTER_MS) * AP_MSEC;
	ap_platform_list(c->platform, c->listing, on_list, c);
}

/* Lists the live members, including this instance; the caller frees @entries. */
static size_t live_entries(ap_control_t *c, ap_entry_t **entries)
{
	size_t n;

	*entries = calloc(AP_ENTRIES_KNOWN_MAX, sizeof(**entries));
	if (!*entries)
		abort();
	n = ap_member_entries(c->member, *entries, AP_ENTRIES_KNOWN_MAX);
	return n < AP_ENTRIES_KNOWN_MAX ? n : AP_ENTRIES_KNOWN_MAX;
}

void ap_control_entries_changed(ap_control_t *c, ap_usec_t now)
{
	ap_entry_t *entries;
	size_t n = live_entries(c, &entries);

	ap_spread_set_entries(c->spread, entries, n, now);
	ap_order_set_entries(c->order, entries, n, now);
	ap_report_set_entries(c->report, entries, n, now);
	free(entries);
	c->view_stale = true;
	if (c->publish_due == 0)
		c->publish_due = now + PUBLISH_DELAY;
}

/* Models that the rules declare for an upstream; used until its own list was read. */
static size_t declared_models(const ap_conf_t *conf, const ap_upstream_t *u,
			      char *names[AP_MODELS_MAX])
{
	size_t n = 0;

	for (size_t r = 0; conf && r < conf->n_rules; r++) {
		const ap_rule_t *rule = &conf->rules[r];
		bool placed = false;

		for (size_t p = 0; p < conf->n_pools && !placed; p++)
			placed = ap_selector_match(&rule->pools, &conf->pools[p].labels) &&
				 ap_selector_match(&conf->pools[p].instances, &u->labels);
		for (size_t m = 0; placed && m < conf->n_models && n < AP_MODELS_MAX; m++) {
			if (ap_selector_match(&rule->models, &conf->models[m].labels))
				names[n++] = conf->models[m].name;
		}
		for (size_t a = 0; placed && a < conf->n_adapters && n < AP_MODELS_MAX; a++) {
			if (ap_selector_match(&rule->adapters, &conf->adapters[a].labels))
				names[n++] = conf->adapters[a].name;
		}
	}
	return n;
}

static bool holds_name(const uint32_t *reported, size_t n, const char *name)
{
	uint32_t hash = ap_report_name_hash(name);

	for (size_t i = 0; i < n; i++) {
		if (reported[i] == hash)
			return true;
	}
	return false;
}

static size_t reported_models(const ap_conf_t *conf, const uint32_t *reported, size_t n_reported,
			      char *names[AP_MODELS_MAX])
{
	size_t n = 0;

	for (size_t i = 0; conf && i < conf->n_models && n < AP_MODELS_MAX; i++) {
		if (holds_name(reported, n_reported, conf->models[i].name))
			names[n++] = conf->models[i].name;
	}
	for (size_t i = 0; conf && i < conf->n_adapters && n < AP_MODELS_MAX; i++) {
		if (holds_name(reported, n_reported, conf->adapters[i].name))
			names[n++] = conf->adapters[i].name;
	}
	return n;
}

static size_t known_models(ap_control_t *c, const ap_conf_t *conf, const ap_upstream_t *upstream,
			   char *names[AP_MODELS_MAX])
{
	size_t n;
	const uint32_t *reported = ap_report_models(c->report, upstream->id, &n);

	return reported ? reported_models(conf, reported, n, names)
			: declared_models(conf, upstream, names);
}

/* True if an upstream of the own region other than @except takes requests for @name. */
static bool served_elsewhere(ap_control_t *c, const char *except, const char *name)
{
	for (size_t i = 0; i < c->listing->n_upstreams; i++) {
		const ap_upstream_t *u = &c->listing->upstreams[i];
		size_t n;
		const uint32_t *reported = ap_report_models(c->report, u->id, &n);

		if (reported && holds_name(reported, n, name) && strcmp(u->id, except) != 0 &&
		    !u->draining && !ap_report_is_draining(c->report, u->id) &&
		    !ap_report_is_withdrawn(c->report, u->id, name))
			return true;
	}
	return false;
}

/* A model about to be unloaded gets no new requests, unless no other upstream serves it. */
size_t ap_control_models(ap_control_t *c, const ap_conf_t *conf, const ap_upstream_t *upstream,
			 char *names[AP_MODELS_MAX])
{
	size_t n = known_models(c, conf, upstream, names);
	size_t kept = 0;

	for (size_t i = 0; i < n; i++) {
		if (!ap_report_is_withdrawn(c->report, upstream->id, names[i]) ||
		    !served_elsewhere(c, upstream->id, names[i]))
			names[kept++] = names[i];
	}
	return kept;
}

/* Models and adapters of one upstream in a view. */
typedef struct loaded {
	char *names[AP_MODELS_MAX];
	uint32_t versions[AP_MODELS_MAX];
} loaded_t;

/* Shallow copies, of which ap_view_new() makes deep ones; @loaded holds their models. */
static ap_upstream_t *view_upstreams(ap_control_t *c, const ap_conf_t *conf, loaded_t *loaded)
{
	size_t n = c->listing->n_upstreams;
	ap_upstream_t *out = calloc(n + 1, sizeof(*out));

	if (!out)
		abort();
	for (size_t i = 0; i < n; i++) {
		out[i] = c->listing->upstreams[i];
		out[i].draining = out[i].draining || ap_report_is_draining(c->report, out[i].id);
		out[i].n_models = ap_control_models(c, conf, &out[i], loaded[i].names);
		out[i].models = loaded[i].names;
		out[i].versions = loaded[i].versions;
		for (size_t m = 0; m < out[i].n_models; m++)
			loaded[i].versions[m] =
				ap_report_version(c->report, out[i].id, loaded[i].names[m]);
	}
	return out;
}

static bool others_listed(const ap_control_t *c)
{
	for (size_t i = 0; i < c->listing->n_entries; i++) {
		const ap_entry_t *e = &c->listing->entries[i];

		if (!e->draining && strcmp(e->region, c->settings->region) == 0 &&
		    strcmp(e->id, c->settings->id) != 0)
			return true;
	}
	return false;
}

void ap_control_send_view(ap_control_t *c)
{
	const ap_conf_t *conf = ap_spread_current(c->spread);
	ap_note_t note = {.kind = AP_NOTE_VIEW};
	loaded_t *loaded;
	ap_upstream_t *upstreams;
	ap_entry_t *entries;
	size_t n_entries;

	if (!c->view_stale || !c->listing)
		return;
	loaded = calloc(c->listing->n_upstreams + 1, sizeof(*loaded));
	if (!loaded)
		abort();
	n_entries = live_entries(c, &entries);
	upstreams = view_upstreams(c, conf, loaded);
	note.u.view = ap_view_new(c->view_number + 1, conf, upstreams, c->listing->n_upstreams,
				  entries, n_entries);
	note.u.view->others_listed = others_listed(c);
	if (ap_task_link_send(c->link, &note)) {
		c->view_number++;
		c->view_stale = false;
	} else {
		ap_view_unref(note.u.view);
	}
	free(upstreams);
	free(entries);
	free(loaded);
}

static void on_published(void *ctx, bool ok)
{
	ap_control_t *c = ctx;

	if (!ok && c->publish_due == 0)
		c->publish_due = ap_now() + PUBLISH_RETRY_DELAY;
}

static char *directory_text(const ap_entry_t *entries, size_t n, const char *region)
{
	json_t *list = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < n; i++) {
		const ap_entry_t *e = &entries[i];

		if (strcmp(e->region, region) == 0 && !e->draining)
			json_array_append_new(list,
					      json_pack("{s:s,s:s,s:i}", "id", e->id, "host",
							e->host, "port", (int)e->caller_port));
	}
	root = json_pack("{s:s,s:o}", "region", region, "entries", list);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

void ap_control_publish(ap_control_t *c, ap_usec_t now)
{
	const char *region = c->settings->region;
	ap_entry_t *entries;
	char *text;
	size_t n;

	if (c->publish_due == 0 || now < c->publish_due)
		return;
	c->publish_due = 0;
	n = live_entries(c, &entries);
	if (ap_member_has_duty(entries, n, "directory", region, NULL, c->settings->id, 1)) {
		text = directory_text(entries, n, region);
		if (text)
			ap_platform_publish(c->platform, region, text, on_published, c);
		free(text);
	}
	free(entries);
}
