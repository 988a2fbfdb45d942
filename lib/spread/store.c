/*
 * Reads the head from the store. A watcher keeps a blocking read open; any other instance reads the
 * head only while it gets no messages from peers.
 */
#include "spread/private.h"

#define WATCH_WAIT (60 * AP_SEC)   /* the store responds to a watch within that time */
#define WATCH_MARGIN (30 * AP_SEC) /* a watch without a response by then has failed */
#define WATCH_GAP AP_SEC	   /* between two watches */
#define BACKOFF_MAX (60 * AP_SEC)
#define PEER_SILENCE_MAX (60 * AP_SEC) /* without messages from peers, before reading the store */
#define REREAD_PERIOD (PEER_SILENCE_MAX / 4) /* mean time between reads without a watch */
#define START_READ_DELAY (5 * AP_SEC)	     /* peers are queried before the store at start */

void spread_note_store_result(ap_spread_t *s, const ap_kv_result_t *result)
{
	s->stats.store_answers =
		result->status != AP_KV_UNAVAILABLE && result->status != AP_KV_UNSURE;
}

/* Returns half to one and a half times @wait, so that many instances don't read at once. */
static ap_usec_t jittered(ap_spread_t *s, ap_usec_t wait)
{
	return wait / 2 + (ap_usec_t)ap_rng_below(&s->rng, (uint64_t)wait);
}

static void use_head(ap_spread_t *s, const ap_kv_result_t *result)
{
	ap_err_t err;
	ap_head_t *head = head_parse(result->value, result->len, &err);

	if (!head) {
		ap_emit(&s->cfg.env, s->now, "conf.unreadable", (ap_xid_t){.seq = 0}, "why=%s",
			err.text);
		return;
	}
	if (!spread_offer_head(s, head, ""))
		s->store_confirmed = true;
}

static void on_head_read(void *owner, const ap_kv_result_t *result)
{
	ap_spread_t *s = owner;

	s->read_pending = false;
	spread_note_store_result(s, result);
	if (result->status == AP_KV_OK) {
		/*
		 * A lower index means that the store was reset to an older state: the next read
		 * does not wait for a change.
		 */
		s->watch_index = result->index >= s->watch_index ? result->index : 0;
		use_head(s, result);
	}
	if (result->status == AP_KV_ABSENT)
		spread_store_has_no_head(s);
	if (result->status == AP_KV_OK || result->status == AP_KV_ABSENT) {
		s->backoff = BACKOFF_MIN;
		s->next_read = s->now + (s->watcher && result->status == AP_KV_OK
						 ? WATCH_GAP
						 : jittered(s, REREAD_PERIOD));
		return;
	}
	s->watch_index = 0;
	s->next_read = s->now + jittered(s, s->backoff);
	s->backoff = s->backoff * 2 < BACKOFF_MAX ? s->backoff * 2 : BACKOFF_MAX;
}

static bool read_is_due(const ap_spread_t *s)
{
	if (s->watcher)
		return true;
	if (s->peer_heard_at == 0)
		return s->now - s->started_at >= START_READ_DELAY;
	return s->now - s->peer_heard_at >= PEER_SILENCE_MAX;
}

void spread_store_tick(ap_spread_t *s)
{
	uint64_t index = s->watcher ? s->watch_index : 0;

	if (s->read_pending && s->now >= s->watch_deadline) {
		ap_kv_calls_drop(&s->watch_calls);
		s->read_pending = false;
		s->watch_index = 0;
		s->stats.store_answers = false;
	}
	if (s->read_pending || s->now < s->next_read || !read_is_due(s))
		return;
	s->read_pending = true;
	s->watch_deadline = s->now + WATCH_WAIT + WATCH_MARGIN;
	/* The next read is sent only after a response to this one, or after its deadline. */
	s->stats.reads++;
	s->cfg.kv.get(s->cfg.kv.ctx, AP_SPREAD_HEAD_KEY, index, index > 0 ? WATCH_WAIT : 0,
		      ap_kv_call_done, ap_kv_call_new(&s->watch_calls, on_head_read));
}
