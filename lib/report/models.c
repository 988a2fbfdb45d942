/*
 * Which models and adapters each upstream has loaded. The pollers of an upstream read the list and
 * announce each change to the region. Instances also send a digest of all lists to a random peer
 * from time to time, so that a list whose message was lost arrives later.
 */
#include "report/private.h"

#include <string.h>

uint32_t ap_report_name_hash(const char *name)
{
	return (uint32_t)ap_hash_str(name, 0);
}

/* Return: true when the models differ from those known before. */
static bool set_models(ap_models_known_t *known, const uint32_t *names, const uint32_t *versions,
		       size_t n, ap_usec_t at)
{
	bool same = known->at > 0;

	if (n > AP_REPORT_MODELS_MAX)
		n = AP_REPORT_MODELS_MAX;
	same = same && known->n == n;
	known->at = at;
	known->n = n;
	for (size_t i = 0; i < n; i++) {
		uint32_t version = versions ? versions[i] : 0;

		same = same && known->names[i] == names[i] && known->versions[i] == version;
		known->names[i] = names[i];
		known->versions[i] = version;
	}
	return !same;
}

static void notify_models(const ap_report_t *r, const ap_report_upstream_t *up)
{
	if (r->cfg.models)
		r->cfg.models(r->cfg.ctx, up->id);
}

void ap_report_models_read(ap_report_t *r, const char *upstream, const uint32_t *names,
			   const uint32_t *versions, size_t n, ap_usec_t now)
{
	ap_report_upstream_t *up = report_find(r, upstream);

	r->now = now;
	if (!up)
		return;
	if (!set_models(&up->models, names, versions, n, now))
		return;
	up->models.announce = true;
	notify_models(r, up);
}

const uint32_t *ap_report_models(const ap_report_t *r, const char *upstream, size_t *n)
{
	const ap_report_upstream_t *up = report_find(r, upstream);

	if (!up || up->models.at == 0)
		return NULL;
	*n = up->models.n;
	return up->models.names;
}

uint32_t ap_report_version(const ap_report_t *r, const char *upstream, const char *name)
{
	const ap_report_upstream_t *up = report_find(r, upstream);
	uint32_t hash = ap_report_name_hash(name);

	for (size_t i = 0; up && i < up->models.n; i++) {
		if (up->models.names[i] == hash)
			return up->models.versions[i];
	}
	return 0;
}

static void add_models_item(const ap_report_t *r, const ap_report_upstream_t *up,
			    ap_report_message_t *msg)
{
	ap_models_item_t *item = &msg->models[msg->n_models++];

	item->upstream = up->hash;
	item->age = (uint64_t)((r->now - up->models.at) / AP_MSEC);
	item->n = up->models.n;
	memcpy(item->names, up->models.names, sizeof(item->names));
	memcpy(item->versions, up->models.versions, sizeof(item->versions));
}

void report_collect_models(ap_report_t *r, ap_report_message_t *msg, bool own)
{
	ap_report_upstream_t *up;

	for (up = r->upstreams; up && msg->n_models < MODELS_PER_MESSAGE; up = up->hh.next) {
		bool *due = own ? &up->models.announce : &up->models.relay;

		if (!*due)
			continue;
		*due = false;
		add_models_item(r, up, msg);
	}
}

void report_receive_models(ap_report_t *r, const ap_models_item_t *item, bool relay)
{
	ap_report_upstream_t *up = report_by_hash(r, item->upstream);
	ap_usec_t at = r->now - (ap_usec_t)item->age * AP_MSEC;

	if (!up || item->age > UINT32_MAX || at <= up->models.at)
		return;
	up->models.relay = relay;
	if (set_models(&up->models, item->names, item->versions, item->n, at))
		notify_models(r, up);
}

/*
 * A digest of all known lists, or of the versions in them, independent of their order and of when
 * they were read. The versions have their own: instances of an older build know none.
 */
static uint32_t models_digest(const ap_report_t *r, bool versions)
{
	const ap_report_upstream_t *up;
	uint32_t digest = 0;

	for (up = r->upstreams; up; up = up->hh.next) {
		const ap_models_known_t *known = &up->models;

		if (known->at > 0)
			digest ^= (uint32_t)ap_hash(versions ? known->versions : known->names,
						    known->n * sizeof(known->names[0]), up->hash);
	}
	return digest;
}

void report_send_models_digest(ap_report_t *r)
{
	ap_report_message_t msg = {.type = AP_REPORT_DIGEST,
				   .digest = models_digest(r, false),
				   .has_versions_digest = true,
				   .versions_digest = models_digest(r, true)};

	if (r->n_peers > 0)
		report_send(r, r->peers[ap_rng_below(&r->rng, r->n_peers)].id, &msg);
}

static bool same_digest(const ap_report_t *r, const ap_report_message_t *digest)
{
	return digest->digest == models_digest(r, false) &&
	       (!digest->has_versions_digest || digest->versions_digest == models_digest(r, true));
}

void report_respond_to_digest(ap_report_t *r, const char *to, const ap_report_message_t *digest)
{
	ap_models_item_t items[MODELS_PER_MESSAGE];
	ap_report_message_t msg = {.type = AP_REPORT_GROUP, .models = items};
	const ap_report_upstream_t *up;

	if (same_digest(r, digest))
		return;
	for (up = r->upstreams; up; up = up->hh.next) {
		if (up->models.at > 0)
			add_models_item(r, up, &msg);
		if (msg.n_models == MODELS_PER_MESSAGE || (!up->hh.next && msg.n_models > 0)) {
			report_send(r, to, &msg);
			msg.n_models = 0;
		}
	}
}
