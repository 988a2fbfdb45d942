/*
 * Proposes an operator's new document: reads the head, merges the document with changes since its
 * base, checks the result, writes its segments and replaces the head by compare-and-swap. After a
 * lost response, the proposal's nonce in the head's history shows whether the head was replaced. If
 * another instance replaced the head, the proposal is merged and written once more.
 */
#include "spread/private.h"

#include <stdlib.h>
#include <string.h>

#define PROPOSAL_TIMEOUT (30 * AP_SEC)
#define READ_FAILURES_MAX 3
#define WRITE_FAILURES_MAX 3
#define ROUNDS_MAX 5
#define RETRY_DELAY AP_SEC

static void read_head(ap_spread_t *s);
static void write_segment(ap_spread_t *s);

void spread_proposal_clear(ap_spread_t *s)
{
	ap_proposal_t *p = &s->proposal;

	ap_kv_calls_drop(&s->proposal_calls);
	json_decref(p->doc);
	head_free(p->head);
	segments_free(&p->segments);
	ap_conf_unref(p->conf);
	*p = (ap_proposal_t){.step = AP_PROPOSAL_NONE};
}

static void finish(ap_spread_t *s, ap_spread_result_t *result)
{
	ap_spread_done_t done = s->proposal.done;
	void *arg = s->proposal.arg;

	ap_emit(&s->cfg.env, s->now, "conf.proposed", (ap_xid_t){.seq = 0},
		"status=%d generation=%llu", (int)result->status,
		(unsigned long long)result->generation);
	spread_proposal_clear(s);
	done(arg, result);
	json_decref(result->fields);
}

static void fail(ap_spread_t *s, ap_spread_status_t status, const char *why)
{
	ap_spread_result_t result = {.status = status, .generation = head_generation(s->head)};

	ap_err_set(&result.err, "%s", why);
	finish(s, &result);
}

/*
 * Store calls failed, or the deadline passed. The outcome is unknown only if the new head was sent.
 */
static void give_up(ap_spread_t *s)
{
	ap_spread_result_t result = {.status = AP_SPREAD_UNSURE};
	char nonce[AP_ID_TEXT_MAX];

	if (!s->proposal.head_sent) {
		fail(s, AP_SPREAD_UNAVAILABLE,
		     "store calls failed or took too long; the configuration was not changed");
		return;
	}
	ap_id_format(s->proposal.nonce, nonce);
	result.generation = head_generation(s->proposal.head);
	ap_err_set(
		&result.err,
		"it is unknown whether the change was accepted; look in the history for nonce %s",
		nonce);
	finish(s, &result);
}

static void retry_later(ap_spread_t *s)
{
	s->proposal.step = AP_PROPOSAL_PAUSE;
	s->proposal.retry_at = s->now + RETRY_DELAY;
}

/* The proposal was accepted: activates its head, unless a newer one is active already. */
static void accept_head(ap_spread_t *s)
{
	ap_proposal_t *p = &s->proposal;
	ap_spread_result_t result = {.status = AP_SPREAD_OK,
				     .generation = head_generation(p->head)};
	ap_segment_t *seg;

	if (result.generation > head_generation(s->head)) {
		spread_fetch_cancel(s);
		for (seg = p->segments; seg; seg = seg->hh.next)
			segment_add(&s->segments, seg->text, seg->len);
		spread_activate(s, p->head, p->conf);
		p->head = NULL;
		p->conf = NULL;
	}
	spread_delete_retired(s);
	finish(s, &result);
}

static json_t *document_at(ap_spread_t *s, uint64_t generation)
{
	const ap_head_t *head;

	if (generation == 0 && !s->head)
		return json_object();
	TAILQ_FOREACH (head, &s->heads, link) {
		if (head_generation(head) == generation)
			return document_join(s->segments, head);
	}
	return NULL;
}

static void refuse_conflict(ap_spread_t *s, json_t *base, json_t *current, const ap_err_t *err)
{
	ap_spread_result_t result = {
		.status = AP_SPREAD_CONFLICT, .generation = head_generation(s->head), .err = *err};

	result.fields = base ? ap_conf_diff(base, current) : NULL;
	json_decref(base);
	json_decref(current);
	finish(s, &result);
}

/* Returns the document to write, or NULL if the proposal was refused. */
static json_t *merge_document(ap_spread_t *s)
{
	ap_proposal_t *p = &s->proposal;
	json_t *current, *base, *result = NULL;
	ap_err_t err = {.text = ""};

	if (p->base == head_generation(s->head))
		return json_incref(p->doc);
	current = document_at(s, head_generation(s->head));
	base = document_at(s, p->base);
	if (!base) {
		ap_err_set(&err, "generation %llu is not kept here; start from generation %llu",
			   (unsigned long long)p->base,
			   (unsigned long long)head_generation(s->head));
		refuse_conflict(s, NULL, current, &err);
		return NULL;
	}
	if (ap_conf_merge(base, p->doc, current, &result, &err) != AP_CONF_OK) {
		refuse_conflict(s, base, current, &err);
		return NULL;
	}
	json_decref(base);
	json_decref(current);
	return result;
}

static void make_head(ap_spread_t *s, uint64_t generation)
{
	ap_proposal_t *p = &s->proposal;
	ap_head_t *head = calloc(1, sizeof(*head));
	size_t kept = s->head ? s->head->n_history : 0;

	if (!head)
		abort();
	if (kept == HISTORY_MAX)
		kept--;
	p->nonce = ap_rng_id(&s->rng);
	head->history[0] = (ap_history_entry_t){generation, p->nonce, p->wall_ms};
	if (kept > 0)
		memcpy(&head->history[1], s->head->history, kept * sizeof(ap_history_entry_t));
	head->n_history = kept + 1;
	p->head = head;
}

/* Makes the new head and its segments. The head in the store is not newer than the active one. */
static void prepare(ap_spread_t *s)
{
	ap_proposal_t *p = &s->proposal;
	uint64_t generation = head_generation(s->head) + 1;
	json_t *doc = merge_document(s);
	ap_err_t err;

	if (!doc)
		return;
	ap_conf_unref(p->conf);
	p->conf = NULL;
	if (ap_conf_parse(doc, generation, &p->conf, &err) != AP_CONF_OK) {
		json_decref(doc);
		fail(s, AP_SPREAD_INVALID, err.text);
		return;
	}
	head_free(p->head);
	segments_free(&p->segments);
	make_head(s, generation);
	if (!document_split(doc, &p->segments, p->head)) {
		json_decref(doc);
		fail(s, AP_SPREAD_INVALID,
		     "the document has too many objects: it needs more than 4096 segments");
		return;
	}
	json_decref(doc);
	retired_collect(p->head, s->head);
	p->head_sent = false;
	p->step = AP_PROPOSAL_SEGMENTS;
	p->writing = p->segments;
	p->rewrite_index = 0;
	write_segment(s);
}

static void next_segment(ap_spread_t *s)
{
	s->proposal.writing = s->proposal.writing->hh.next;
	s->proposal.rewrite_index = 0;
	write_segment(s);
}

/* Tries again to create the segment; this conflicts if it is stored already. */
static void retry_segment(ap_spread_t *s)
{
	s->proposal.rewrite_index = 0;
	if (++s->proposal.write_failures < WRITE_FAILURES_MAX)
		write_segment(s);
	else
		give_up(s);
}

/*
 * The segment's key exists, or the response to its write was lost. The key is the hash of the
 * content, so an existing segment has the right content. But an instance that read its index before
 * the head was replaced may be about to delete it. Rewriting changes the index and so prevents
 * that.
 */
static void on_segment_read(void *owner, const ap_kv_result_t *result)
{
	ap_spread_t *s = owner;
	ap_proposal_t *p = &s->proposal;

	spread_note_store_result(s, result);
	if (result->status != AP_KV_OK) {
		retry_segment(s);
		return;
	}
	if (p->rewrite_index > 0 && result->index != p->rewrite_index) {
		next_segment(s);
		return;
	}
	p->rewrite_index = result->index;
	write_segment(s);
}

static void on_segment_written(void *owner, const ap_kv_result_t *result)
{
	ap_spread_t *s = owner;
	ap_proposal_t *p = &s->proposal;
	char key[AP_NAME_MAX + AP_ID_TEXT_MAX];
	bool exists = result->status == AP_KV_CONFLICT && p->rewrite_index == 0;

	spread_note_store_result(s, result);
	if (result->status == AP_KV_OK) {
		next_segment(s);
		return;
	}
	if (result->status != AP_KV_UNSURE && !exists) {
		retry_segment(s);
		return;
	}
	segment_key(p->writing->hash, key, sizeof(key));
	s->stats.reads++;
	s->cfg.kv.get(s->cfg.kv.ctx, key, 0, 0, ap_kv_call_done,
		      ap_kv_call_new(&s->proposal_calls, on_segment_read));
}

/* The segments of the active head are in the store if the head in the store is the active one. */
static bool is_stored(const ap_spread_t *s, const ap_segment_t *seg)
{
	if (!s->proposal.based_on_stored)
		return false;
	for (size_t i = 0; i < s->head->n; i++) {
		if (ap_id_eq(s->head->segments[i], seg->hash))
			return true;
	}
	return false;
}

static void write_segment(ap_spread_t *s)
{
	ap_proposal_t *p = &s->proposal;
	char key[AP_NAME_MAX + AP_ID_TEXT_MAX];

	while (p->writing && is_stored(s, p->writing))
		p->writing = p->writing->hh.next;
	if (!p->writing) {
		spread_prepare_deletions(s);
		return;
	}
	segment_key(p->writing->hash, key, sizeof(key));
	s->stats.writes++;
	s->cfg.kv.cas(s->cfg.kv.ctx, key, p->writing->text, p->writing->len, p->rewrite_index,
		      ap_kv_call_done, ap_kv_call_new(&s->proposal_calls, on_segment_written));
}

static void on_head_written(void *owner, const ap_kv_result_t *result)
{
	ap_spread_t *s = owner;

	spread_note_store_result(s, result);
	switch (result->status) {
	case AP_KV_OK:
		accept_head(s);
		break;
	case AP_KV_UNSURE:
	case AP_KV_CONFLICT:
		/* Another instance replaced the head, or an attempt without a response did. */
		read_head(s);
		break;
	case AP_KV_ABSENT:
	case AP_KV_UNAVAILABLE:
		if (++s->proposal.write_failures < WRITE_FAILURES_MAX)
			read_head(s);
		else
			give_up(s);
		break;
	}
}

void spread_replace_head(ap_spread_t *s)
{
	ap_proposal_t *p = &s->proposal;
	char *text = head_format(p->head);

	p->step = AP_PROPOSAL_HEAD;
	p->head_sent = true;
	s->stats.writes++;
	s->cfg.kv.cas(s->cfg.kv.ctx, AP_SPREAD_HEAD_KEY, text, strlen(text), p->index,
		      ap_kv_call_done, ap_kv_call_new(&s->proposal_calls, on_head_written));
	free(text);
}

/*
 * Determines from the stored head whether a new head that was sent took effect. Return: false if no
 * head was sent or it can't take effect any more; the proposal then starts another round.
 */
static bool resolve_head_write(ap_spread_t *s, const ap_head_t *stored, uint64_t index)
{
	ap_proposal_t *p = &s->proposal;

	if (!p->head_sent)
		return false;
	if (stored && head_find_nonce(stored, p->nonce)) {
		accept_head(s);
		return true;
	}
	if (index == p->index) {
		/* The head is unchanged, so it is sent again; only one write can succeed. */
		if (++p->rounds < ROUNDS_MAX)
			spread_replace_head(s);
		else
			give_up(s);
		return true;
	}
	return false; /* another instance replaced the head, so the lost write would conflict */
}

static void use_stored_head(ap_spread_t *s, ap_head_t *stored, uint64_t index)
{
	ap_proposal_t *p = &s->proposal;

	if (resolve_head_write(s, stored, index)) {
		head_free(stored);
		return;
	}
	p->index = index;
	p->head_sent = false;
	p->based_on_stored =
		stored && s->head && ap_id_eq(stored->history[0].nonce, s->head->history[0].nonce);
	if (++p->rounds > ROUNDS_MAX) {
		head_free(stored);
		fail(s, AP_SPREAD_BUSY, "others change the configuration too often; try again");
		return;
	}
	if (stored && spread_offer_head(s, stored, "")) {
		/* Another round follows once that head is active. */
		retry_later(s);
		return;
	}
	prepare(s);
}

static void on_head_read(void *owner, const ap_kv_result_t *result)
{
	ap_spread_t *s = owner;
	ap_proposal_t *p = &s->proposal;
	ap_head_t *stored;
	ap_err_t err;

	spread_note_store_result(s, result);
	if (result->status == AP_KV_ABSENT) {
		spread_store_has_no_head(s);
		use_stored_head(s, NULL, 0);
		return;
	}
	if (result->status != AP_KV_OK) {
		if (++p->read_failures < READ_FAILURES_MAX || p->head_sent)
			retry_later(s);
		else
			give_up(s);
		return;
	}
	stored = head_parse(result->value, result->len, &err);
	if (stored)
		use_stored_head(s, stored, result->index);
	else
		fail(s, AP_SPREAD_UNAVAILABLE, err.text);
}

static void read_head(ap_spread_t *s)
{
	s->proposal.step = AP_PROPOSAL_READ;
	s->stats.reads++;
	s->cfg.kv.get(s->cfg.kv.ctx, AP_SPREAD_HEAD_KEY, 0, 0, ap_kv_call_done,
		      ap_kv_call_new(&s->proposal_calls, on_head_read));
}

void spread_proposal_tick(ap_spread_t *s)
{
	ap_proposal_t *p = &s->proposal;

	if (p->step == AP_PROPOSAL_NONE)
		return;
	if (s->now >= p->deadline)
		give_up(s);
	else if (p->step == AP_PROPOSAL_PAUSE && s->now >= p->retry_at && !s->fetch.head)
		read_head(s);
}

void ap_spread_propose(ap_spread_t *s, json_t *doc, uint64_t base, uint64_t wall_ms, ap_usec_t now,
		       ap_spread_done_t done, void *arg)
{
	ap_spread_result_t busy = {.status = AP_SPREAD_BUSY,
				   .generation = head_generation(s->head)};

	s->now = now;
	if (s->proposal.step != AP_PROPOSAL_NONE) {
		ap_err_set(&busy.err, "another change is under way here; try again");
		done(arg, &busy);
		return;
	}
	s->proposal = (ap_proposal_t){
		.doc = json_incref(doc),
		.base = base,
		.wall_ms = wall_ms,
		.deadline = now + PROPOSAL_TIMEOUT,
		.done = done,
		.arg = arg,
	};
	read_head(s);
}
