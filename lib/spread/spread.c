/* Public functions of the configuration's distribution. */
#include "spread/spread.h"
#include "member/member.h"
#include "spread/private.h"
#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

#define WATCHERS 2  /* instances of a data centre that watch the head in the store */
#define DELEGATES 2 /* instances of a region that exchange heads with remote regions */
/* Messages from peers without a newer generation, before this instance takes requests. */
#define CONFIRMED_MIN 2
#define CONFIRM_TIMEOUT (10 * AP_SEC) /* after which it is ready without them */

ap_spread_t *ap_spread_new(const ap_spread_config_t *config, ap_usec_t now)
{
	ap_spread_t *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->cfg = *config;
	s->now = now;
	s->started_at = now;
	s->backoff = BACKOFF_MIN;
	ap_rng_seed(&s->rng, config->seed);
	TAILQ_INIT(&s->heads);
	s->watch_calls.owner = s;
	s->fetch_calls.owner = s;
	s->proposal_calls.owner = s;
	s->delete_calls.owner = s;
	LIST_INIT(&s->watch_calls.open);
	LIST_INIT(&s->fetch_calls.open);
	LIST_INIT(&s->proposal_calls.open);
	LIST_INIT(&s->delete_calls.open);
	s->next_read = now + (ap_usec_t)ap_rng_below(&s->rng, AP_SEC);
	s->next_region_query = now + (ap_usec_t)ap_rng_below(&s->rng, REGION_QUERY_PERIOD);
	return s;
}

void ap_spread_free(ap_spread_t *s)
{
	ap_head_t *head;

	if (!s)
		return;
	ap_kv_calls_drop(&s->watch_calls);
	spread_fetch_cancel(s);
	spread_proposal_clear(s);
	ap_kv_calls_drop(&s->delete_calls);
	while ((head = TAILQ_FIRST(&s->heads)) != NULL) {
		TAILQ_REMOVE(&s->heads, head, link);
		head_free(head);
	}
	segments_free(&s->segments);
	ap_conf_unref(s->conf);
	free(s->entries);
	free(s);
}

void ap_spread_set_entries(ap_spread_t *s, const ap_entry_t *entries, size_t n, ap_usec_t now)
{
	const ap_entry_t *self = &s->cfg.self;
	bool delegate = ap_member_has_duty(entries, n, "configuration", self->region, NULL,
					   self->id, DELEGATES);

	s->now = now;
	s->watcher = ap_member_has_duty(entries, n, "watch", self->region, self->data_centre,
					self->id, WATCHERS);
	s->delegate = delegate;
	free(s->entries);
	s->n_entries = 0;
	s->entries = calloc(n + 1, sizeof(*s->entries));
	if (!s->entries)
		abort();
	for (size_t i = 0; i < n; i++) {
		if (strcmp(entries[i].id, self->id) != 0)
			s->entries[s->n_entries++] = entries[i];
	}
}

ap_spread_status_t ap_spread_receive(ap_spread_t *s, const char *from, const void *data, size_t len,
				     ap_usec_t now, ap_err_t *err)
{
	ap_wire_in_t in;
	ap_spread_message_t msg;
	bool ok;

	s->now = now;
	if (!ap_wire_in_open(&in, AP_WIRE_SPREAD, data, len, err))
		return AP_SPREAD_MALFORMED;
	ok = ap_wire_read_spread(&in.body, &msg);
	if (ok)
		spread_handle_message(s, from, &msg);
	else
		ap_err_set(err, "configuration message from %s is malformed", from);
	ap_wire_in_close(&in);
	return ok ? AP_SPREAD_OK : AP_SPREAD_MALFORMED;
}

static bool is_confirmed(const ap_spread_t *s)
{
	size_t wanted = s->n_entries < CONFIRMED_MIN ? s->n_entries : CONFIRMED_MIN;

	if (s->store_confirmed || s->now - s->started_at >= CONFIRM_TIMEOUT)
		return true;
	return wanted > 0 && s->peers_confirmed >= wanted;
}

void ap_spread_tick(ap_spread_t *s, ap_usec_t now)
{
	s->now = now;
	spread_store_tick(s);
	spread_fetch_tick(s);
	spread_peers_tick(s);
	spread_proposal_tick(s);
	if (!s->ready && s->conf && !s->fetch.head && is_confirmed(s)) {
		s->ready = true;
		ap_emit(&s->cfg.env, now, "conf.ready", (ap_xid_t){.seq = 0}, "generation=%llu",
			(unsigned long long)head_generation(s->head));
	}
}

const ap_conf_t *ap_spread_current(const ap_spread_t *s)
{
	return s->conf;
}

uint64_t ap_spread_generation(const ap_spread_t *s)
{
	return head_generation(s->head);
}

json_t *ap_spread_history(const ap_spread_t *s)
{
	json_t *list = json_array();

	for (size_t i = 0; s->head && i < s->head->n_history; i++) {
		const ap_history_entry_t *entry = &s->head->history[i];
		char nonce[AP_ID_TEXT_MAX];

		ap_id_format(entry->nonce, nonce);
		json_array_append_new(list, json_pack("{s:I, s:s, s:I}", "generation",
						      (json_int_t)entry->generation, "nonce", nonce,
						      "at", (json_int_t)entry->wall_ms));
	}
	return list;
}

bool ap_spread_ready(const ap_spread_t *s, ap_usec_t now, ap_err_t *why)
{
	(void)now;
	if (s->ready)
		return true;
	if (!s->conf)
		ap_err_set(why, "no configuration yet: %s",
			   s->fetch.head	    ? "fetching one"
			   : s->stats.store_answers ? "neither the store nor a peer has one"
						    : "the store and peers do not respond");
	else
		ap_err_set(why, "asking peers and the store for a newer configuration");
	return false;
}

ap_spread_stats_t ap_spread_stats(const ap_spread_t *s)
{
	ap_spread_stats_t stats = s->stats;

	stats.retired = s->head ? s->head->n_retired : 0;
	return stats;
}
