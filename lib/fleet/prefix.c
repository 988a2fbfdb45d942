/* Which parts of prompts each upstream is believed to have cached: least recently used yield. */
#include "fleet/private.h"

#include <stdlib.h>

#define TOKENS_MIN 64 /* a part counts as this many at least, which bounds their number */

void ap_prefix_cache_init(ap_holder_t *h)
{
	TAILQ_INIT(&h->holdings);
	h->tokens = 0;
}

static ap_cached_part_t *part_of(const ap_fleet_t *f, uint64_t id)
{
	ap_cached_part_t *part;

	HASH_FIND(hh, f->parts, &id, sizeof(id), part);
	return part;
}

static ap_cache_entry_t *holding_of(const ap_fleet_t *f, const ap_holder_t *h, uint64_t id)
{
	ap_cached_part_t *part = part_of(f, id);
	ap_cache_entry_t *holding;

	if (!part)
		return NULL;
	LIST_FOREACH (holding, &part->holdings, by_part) {
		if (holding->holder == h)
			return holding;
	}
	return NULL;
}

static void drop(ap_fleet_t *f, ap_cache_entry_t *holding)
{
	ap_cached_part_t *part = holding->part;

	holding->holder->tokens -= holding->tokens;
	TAILQ_REMOVE(&holding->holder->holdings, holding, by_age);
	if (!part) {
		free(holding);
		return;
	}
	LIST_REMOVE(holding, by_part);
	if (LIST_EMPTY(&part->holdings)) {
		HASH_DEL(f->parts, part); /* NOLINT(clang-analyzer-core.NullDereference) */
		free(part);
	}
	free(holding);
}

void ap_prefix_cache_clear(ap_fleet_t *f, ap_holder_t *h)
{
	ap_cache_entry_t *next;

	for (ap_cache_entry_t *holding = TAILQ_FIRST(&h->holdings); holding; holding = next) {
		next = TAILQ_NEXT(holding, by_age);
		drop(f, holding);
	}
}

uint32_t ap_prefix_cache_match(const ap_fleet_t *f, const ap_holder_t *h, const ap_dispatch_t *work)
{
	uint32_t tokens = 0;

	for (size_t i = 0; i < work->n_parts; i++) {
		if (!holding_of(f, h, work->parts[i].id))
			break;
		tokens += work->parts[i].tokens;
	}
	return tokens < work->tokens_in ? tokens : work->tokens_in;
}

static void add_part(ap_fleet_t *f, ap_holder_t *h, const ap_prompt_part_t *p)
{
	ap_cache_entry_t *holding = holding_of(f, h, p->id);
	ap_cached_part_t *part;

	if (holding) {
		TAILQ_REMOVE(&h->holdings, holding, by_age);
		TAILQ_INSERT_HEAD(&h->holdings, holding, by_age);
		return;
	}
	part = part_of(f, p->id);
	if (!part) {
		part = calloc(1, sizeof(*part));
		if (!part)
			return;
		part->id = p->id;
		LIST_INIT(&part->holdings);
		HASH_ADD(hh, f->parts, id, sizeof(part->id), part);
	}
	holding = calloc(1, sizeof(*holding));
	if (!holding) {
		if (LIST_EMPTY(&part->holdings)) {
			HASH_DEL(f->parts, part);
			free(part);
		}
		return;
	}
	*holding = (ap_cache_entry_t){.holder = h, .part = part};
	holding->tokens = p->tokens > TOKENS_MIN ? p->tokens : TOKENS_MIN;
	TAILQ_INSERT_HEAD(&h->holdings, holding, by_age);
	LIST_INSERT_HEAD(&part->holdings, holding, by_part);
	h->tokens += holding->tokens;
}

static void shrink(ap_fleet_t *f, ap_holder_t *h, uint64_t capacity)
{
	ap_cache_entry_t *oldest = TAILQ_LAST(&h->holdings, ap_cache_entry_list);
	ap_cache_entry_t *next;

	for (; oldest && h->tokens > capacity; oldest = next) {
		next = TAILQ_PREV(oldest, ap_cache_entry_list, by_age);
		drop(f, oldest);
	}
}

void ap_prefix_cache_add_unnamed(ap_fleet_t *f, ap_holder_t *h, uint32_t tokens, uint64_t capacity)
{
	ap_cache_entry_t *youngest = TAILQ_FIRST(&h->holdings);

	if (tokens == 0)
		return;
	if (!youngest || youngest->part) {
		youngest = calloc(1, sizeof(*youngest));
		if (!youngest)
			return;
		youngest->holder = h;
		TAILQ_INSERT_HEAD(&h->holdings, youngest, by_age);
	}
	youngest->tokens += tokens;
	h->tokens += tokens;
	shrink(f, h, capacity);
}

void ap_prefix_cache_add_part(ap_fleet_t *f, ap_holder_t *h, const ap_prompt_part_t *part,
			      uint64_t capacity)
{
	add_part(f, h, part);
	shrink(f, h, capacity);
}

void ap_prefix_cache_add(ap_fleet_t *f, ap_holder_t *h, const ap_dispatch_t *work,
			 uint64_t capacity)
{
	/* From the last part on, so that the shared ones in front are the youngest. */
	for (size_t i = work->n_parts; i > 0; i--)
		add_part(f, h, &work->parts[i - 1]);
	shrink(f, h, capacity);
}
