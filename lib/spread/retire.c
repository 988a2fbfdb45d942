/*
 * Deletes segments that the head no longer uses. Each head lists such retired segments with the
 * first generation without them. A proposer reads the indexes of some that are old enough, replaces
 * the head and then deletes those whose index is unchanged. A later proposal that uses a retired
 * segment again rewrites or recreates it before replacing the head, so its index changes and the
 * deletion fails.
 */
#include "spread/private.h"

#include <stdlib.h>
#include <string.h>

/* With less time until the proposal's deadline, no indexes are read and nothing is deleted. */
#define DELETE_TIME_LEFT_MIN (20 * AP_SEC)
#define GRACE_MS (600 * 1000) /* for instances that still read an older head */

static bool head_names(const ap_head_t *head, ap_id_t hash)
{
	for (size_t i = 0; i < head->n; i++) {
		if (ap_id_eq(head->segments[i], hash))
			return true;
	}
	return false;
}

static void add_retired(ap_head_t *head, ap_retired_t retired)
{
	/* A full list drops its oldest segment, which then stays in the store for good. */
	if (head->n_retired == RETIRED_MAX) {
		head->n_retired--;
		memmove(head->retired, head->retired + 1, head->n_retired * sizeof(*head->retired));
	}
	head->retired[head->n_retired++] = retired;
}

static bool is_retired(const ap_head_t *head, ap_id_t hash)
{
	for (size_t i = 0; i < head->n_retired; i++) {
		if (ap_id_eq(head->retired[i].hash, hash))
			return true;
	}
	return false;
}

void retired_collect(ap_head_t *head, const ap_head_t *old)
{
	const ap_history_entry_t *own = &head->history[0];

	free(head->retired);
	head->n_retired = 0;
	head->retired = calloc(RETIRED_MAX, sizeof(*head->retired));
	if (!head->retired)
		abort();
	for (size_t i = 0; old && i < old->n_retired; i++) {
		if (!head_names(head, old->retired[i].hash))
			add_retired(head, old->retired[i]);
	}
	for (size_t i = 0; old && i < old->n; i++) {
		ap_id_t hash = old->segments[i];

		if (!head_names(head, hash) && !is_retired(head, hash))
			add_retired(head, (ap_retired_t){hash, own->generation, own->wall_ms});
	}
}

static void remove_retired(ap_head_t *head, ap_id_t hash)
{
	for (size_t i = 0; i < head->n_retired; i++) {
		if (!ap_id_eq(head->retired[i].hash, hash))
			continue;
		head->n_retired--;
		memmove(&head->retired[i], &head->retired[i + 1],
			(head->n_retired - i) * sizeof(*head->retired));
		return;
	}
}

static bool may_delete(const ap_head_t *head, const ap_retired_t *retired)
{
	const ap_history_entry_t *own = &head->history[0];

	return own->generation >= retired->generation + HEADS_KEPT &&
	       own->wall_ms >= retired->wall_ms + GRACE_MS;
}

static void read_next_index(ap_spread_t *s);

static void on_index_read(void *owner, const ap_kv_result_t *result)
{
	ap_spread_t *s = owner;
	ap_proposal_t *p = &s->proposal;
	ap_deletion_t *deletion = &p->deletions[p->deletions_read++];

	spread_note_store_result(s, result);
	if (result->status == AP_KV_OK)
		deletion->index = result->index;
	else if (result->status == AP_KV_ABSENT)
		remove_retired(p->head, deletion->hash);
	read_next_index(s);
}

static void read_next_index(ap_spread_t *s)
{
	ap_proposal_t *p = &s->proposal;
	char key[AP_NAME_MAX + AP_ID_TEXT_MAX];

	if (p->deletions_read == p->n_deletions || p->deadline - s->now < DELETE_TIME_LEFT_MIN) {
		spread_replace_head(s);
		return;
	}
	segment_key(p->deletions[p->deletions_read].hash, key, sizeof(key));
	s->stats.reads++;
	s->cfg.kv.get(s->cfg.kv.ctx, key, 0, 0, ap_kv_call_done,
		      ap_kv_call_new(&s->proposal_calls, on_index_read));
}

void spread_prepare_deletions(ap_spread_t *s)
{
	ap_proposal_t *p = &s->proposal;

	p->n_deletions = 0;
	p->deletions_read = 0;
	for (size_t i = 0; i < p->head->n_retired && p->n_deletions < DELETIONS_MAX; i++) {
		if (may_delete(p->head, &p->head->retired[i]))
			p->deletions[p->n_deletions++] =
				(ap_deletion_t){.hash = p->head->retired[i].hash};
	}
	read_next_index(s);
}

static void on_deleted(void *owner, const ap_kv_result_t *result)
{
	ap_spread_t *s = owner;

	s->stats.deleted += result->status == AP_KV_OK;
}

void spread_delete_retired(ap_spread_t *s)
{
	const ap_proposal_t *p = &s->proposal;

	for (size_t i = 0; i < p->n_deletions; i++) {
		char key[AP_NAME_MAX + AP_ID_TEXT_MAX];

		if (p->deletions[i].index == 0)
			continue;
		segment_key(p->deletions[i].hash, key, sizeof(key));
		s->stats.writes++;
		s->cfg.kv.del(s->cfg.kv.ctx, key, p->deletions[i].index, ap_kv_call_done,
			      ap_kv_call_new(&s->delete_calls, on_deleted));
	}
}
