/* Fetches the segments of a newer head and activates its document. */
#include "spread/private.h"

#include <stdlib.h>
#include <string.h>

#define ATTEMPT_TIMEOUT AP_SEC
#define ATTEMPTS_MAX 6

ap_segment_t *spread_skip_present(ap_spread_t *s, const ap_head_t *head, size_t *at)
{
	while (*at < head->n) {
		if (!segment_find(s->segments, head->segments[*at]))
			return NULL;
		(*at)++;
	}
	return s->segments;
}

static bool has_missing(ap_spread_t *s, const ap_head_t *head)
{
	size_t at = 0;

	spread_skip_present(s, head, &at);
	return at < head->n;
}

static bool segment_kept(const ap_spread_t *s, ap_id_t hash)
{
	const ap_head_t *head;

	TAILQ_FOREACH (head, &s->heads, link) {
		for (size_t i = 0; i < head->n; i++) {
			if (ap_id_eq(head->segments[i], hash))
				return true;
		}
	}
	return false;
}

static void drop_oldest_head(ap_spread_t *s)
{
	ap_segment_t *seg, *next, *removed = NULL;
	ap_head_t *head;
	size_t n = 0;

	TAILQ_FOREACH (head, &s->heads, link)
		n++;
	if (n <= HEADS_KEPT)
		return;
	head = TAILQ_LAST(&s->heads, ap_head_list);
	TAILQ_REMOVE(&s->heads, head, link);
	head_free(head);
	HASH_ITER (hh, s->segments, seg, next) {
		if (segment_kept(s, seg->hash))
			continue;
		HASH_DEL(s->segments, seg);
		seg->next_removed = removed;
		removed = seg;
	}
	for (seg = removed; seg; seg = next) {
		next = seg->next_removed;
		free(seg->text);
		free(seg);
	}
}

/* Makes @head and @conf active and owns them from then on. */
void spread_activate(ap_spread_t *s, ap_head_t *head, ap_conf_t *conf)
{
	char nonce[AP_ID_TEXT_MAX];

	if (!ap_require(&s->cfg.env, head_generation(head) > head_generation(s->head),
			AP_INV_GENERATION,
			"generation to activate is not newer than the active one")) {
		head_free(head);
		ap_conf_unref(conf);
		return;
	}
	ap_id_format(head->history[0].nonce, nonce);
	ap_emit(&s->cfg.env, s->now, "conf.in-force", (ap_xid_t){.seq = 0},
		"generation=%llu nonce=%s", (unsigned long long)head_generation(head), nonce);
	TAILQ_INSERT_HEAD(&s->heads, head, link);
	s->head = head;
	ap_conf_unref(s->conf);
	s->conf = conf;
	s->stats.accepted++;
	s->peers_confirmed = 0;
	drop_oldest_head(s);
	s->cfg.activated(s->cfg.ctx, conf);
	spread_push_head(s);
}

void spread_fetch_cancel(ap_spread_t *s)
{
	ap_kv_calls_drop(&s->fetch_calls);
	head_free(s->fetch.head);
	s->fetch = (ap_fetch_t){.head = NULL};
}

static void finish_fetch(ap_spread_t *s)
{
	ap_head_t *head = s->fetch.head;
	json_t *doc = document_join(s->segments, head);
	ap_conf_t *conf = NULL;
	ap_err_t err = {.text = "a segment is damaged"};
	ap_conf_status_t status = AP_CONF_SYNTAX;

	if (doc)
		status = ap_conf_parse(doc, head_generation(head), &conf, &err);
	json_decref(doc);
	if (status != AP_CONF_OK) {
		s->stats.invalid++;
		ap_emit(&s->cfg.env, s->now, "conf.unreadable", (ap_xid_t){.seq = 0},
			"generation=%llu why=%s", (unsigned long long)head_generation(head),
			err.text);
		spread_fetch_cancel(s);
		return;
	}
	s->fetch.head = NULL;
	spread_fetch_cancel(s);
	spread_activate(s, head, conf);
}

static void read_next_segment(ap_spread_t *s);

static void on_segment_read(void *owner, const ap_kv_result_t *result)
{
	ap_spread_t *s = owner;

	spread_note_store_result(s, result);
	if (!s->fetch.head)
		return;
	if (result->status != AP_KV_OK ||
	    !ap_id_eq(segment_hash(result->value, result->len),
		      s->fetch.head->segments[s->fetch.segment_index])) {
		spread_fetch_cancel(s);
		return;
	}
	segment_add(&s->segments, result->value, result->len);
	read_next_segment(s);
}

static void read_next_segment(ap_spread_t *s)
{
	char key[AP_NAME_MAX + AP_ID_TEXT_MAX];

	spread_skip_present(s, s->fetch.head, &s->fetch.segment_index);
	if (s->fetch.segment_index == s->fetch.head->n) {
		finish_fetch(s);
		return;
	}
	/* A single attempt at the store gets the time of all attempts at peers. */
	s->fetch.deadline = s->now + ATTEMPTS_MAX * ATTEMPT_TIMEOUT;
	segment_key(s->fetch.head->segments[s->fetch.segment_index], key, sizeof(key));
	s->stats.reads++;
	s->cfg.kv.get(s->cfg.kv.ctx, key, 0, 0, ap_kv_call_done,
		      ap_kv_call_new(&s->fetch_calls, on_segment_read));
}

static void start_attempt(ap_spread_t *s)
{
	s->fetch.attempts++;
	s->fetch.deadline = s->now + ATTEMPT_TIMEOUT;
	if (!has_missing(s, s->fetch.head))
		finish_fetch(s);
	else if (s->fetch.from[0] == '\0')
		read_next_segment(s);
	else
		spread_request_segments(s);
}

/* Counts a refused head and emits an event for the first refusal of its generation in a row. */
static void report_once(ap_spread_t *s, const ap_head_t *head, const char *kind, uint64_t *count)
{
	char nonce[AP_ID_TEXT_MAX];

	(*count)++;
	if (s->reported_generation == head_generation(head))
		return;
	s->reported_generation = head_generation(head);
	ap_id_format(head->history[0].nonce, nonce);
	ap_emit(&s->cfg.env, s->now, kind, (ap_xid_t){.seq = 0},
		"generation=%llu nonce=%s in-force=%llu", (unsigned long long)head_generation(head),
		nonce, (unsigned long long)head_generation(s->head));
}

/* Handles an absent head key: a fault once a configuration is active. */
void spread_store_has_no_head(ap_spread_t *s)
{
	if (!s->head)
		return;
	s->stats.reverted++;
	if (s->reported_generation == UINT64_MAX)
		return;
	s->reported_generation = UINT64_MAX;
	ap_emit(&s->cfg.env, s->now, "conf.reverted", (ap_xid_t){.seq = 0},
		"generation=0 in-force=%llu", (unsigned long long)head_generation(s->head));
}

/*
 * Compares @head with the active one, and fetches its segments if it is newer; owns @head. @from is
 * a peer, or empty for the store. Return: true if @head is newer than the active one.
 */
bool spread_offer_head(ap_spread_t *s, ap_head_t *head, const char *from)
{
	uint64_t offered = head_generation(head);
	uint64_t own = head_generation(s->head);

	if (offered > own) {
		if (s->fetch.head && head_generation(s->fetch.head) >= offered) {
			head_free(head);
			return true;
		}
		spread_fetch_cancel(s);
		s->fetch.head = head;
		ap_copy_name(s->fetch.from, sizeof(s->fetch.from), from);
		start_attempt(s);
		return true;
	}
	if (offered < own && from[0] == '\0')
		report_once(s, head, "conf.reverted", &s->stats.reverted);
	else if (offered == own && own > 0 &&
		 !ap_id_eq(head->history[0].nonce, s->head->history[0].nonce))
		report_once(s, head, "conf.forked", &s->stats.forked);
	head_free(head);
	return false;
}

void spread_segment_received(ap_spread_t *s, const void *text, size_t len)
{
	ap_id_t hash = segment_hash(text, len);
	bool wanted = false;

	if (!s->fetch.head)
		return;
	for (size_t i = 0; i < s->fetch.head->n && !wanted; i++)
		wanted = ap_id_eq(s->fetch.head->segments[i], hash);
	if (!wanted)
		return;
	segment_add(&s->segments, text, len);
	if (!has_missing(s, s->fetch.head))
		finish_fetch(s);
}

void spread_fetch_tick(ap_spread_t *s)
{
	const ap_entry_t *peer;

	if (!s->fetch.head || s->now < s->fetch.deadline)
		return;
	if (s->fetch.from[0] == '\0' || s->fetch.attempts >= ATTEMPTS_MAX) {
		spread_fetch_cancel(s);
		return;
	}
	/*
	 * The peer may have stopped, and others may have the segments by now: every second attempt
	 * goes to another one at random.
	 */
	peer = spread_random_peer(s);
	if (peer && s->fetch.attempts % 2 == 1)
		ap_copy_name(s->fetch.from, sizeof(s->fetch.from), peer->id);
	start_attempt(s);
}
