/* Models the prefix cache of each upstream: which prompt parts it holds, evicted by LRU. */
#include "fleet/private.h"

#include <stdlib.h>

#define TOKENS_MIN 64 /* shorter parts count as this many, which bounds the number of entries */

void ap_prefix_cache_init(ap_prefix_cache_t *c)
{
	TAILQ_INIT(&c->entries);
	c->tokens = 0;
}

static ap_cached_part_t *find_part(const ap_fleet_t *f, uint64_t id)
{
	ap_cached_part_t *part;

	HASH_FIND(hh, f->parts, &id, sizeof(id), part);
	return part;
}

static ap_cache_entry_t *find_entry(const ap_fleet_t *f, const ap_prefix_cache_t *c, uint64_t id)
{
	ap_cached_part_t *part = find_part(f, id);
	ap_cache_entry_t *entry;

	if (!part)
		return NULL;
	LIST_FOREACH (entry, &part->entries, by_part) {
		if (entry->cache == c)
			return entry;
	}
	return NULL;
}

static void remove_entry(ap_fleet_t *f, ap_cache_entry_t *entry)
{
	ap_cached_part_t *part = entry->part;

	entry->cache->tokens -= entry->tokens;
	TAILQ_REMOVE(&entry->cache->entries, entry, by_age);
	if (!part) {
		free(entry);
		return;
	}
	LIST_REMOVE(entry, by_part);
	if (LIST_EMPTY(&part->entries)) {
		HASH_DEL(f->parts, part); /* NOLINT(clang-analyzer-core.NullDereference) */
		free(part);
	}
	free(entry);
}

void ap_prefix_cache_remove_part(ap_fleet_t *f, ap_prefix_cache_t *c, uint64_t id)
{
	ap_cache_entry_t *entry = find_entry(f, c, id);

	if (entry)
		remove_entry(f, entry);
}

void ap_prefix_cache_clear(ap_fleet_t *f, ap_prefix_cache_t *c)
{
	ap_cache_entry_t *next;

	for (ap_cache_entry_t *entry = TAILQ_FIRST(&c->entries); entry; entry = next) {
		next = TAILQ_NEXT(entry, by_age);
		remove_entry(f, entry);
	}
}

uint32_t ap_prefix_cache_match(const ap_fleet_t *f, const ap_prefix_cache_t *c,
			       const ap_dispatch_t *req)
{
	uint32_t tokens = 0;

	for (size_t i = 0; i < req->n_parts; i++) {
		if (!find_entry(f, c, req->parts[i].id))
			break;
		tokens += req->parts[i].tokens;
	}
	return tokens < req->tokens_in ? tokens : req->tokens_in;
}

static void add_part(ap_fleet_t *f, ap_prefix_cache_t *c, const ap_prompt_part_t *p)
{
	ap_cache_entry_t *entry = find_entry(f, c, p->id);
	ap_cached_part_t *part;

	if (entry) {
		TAILQ_REMOVE(&c->entries, entry, by_age);
		TAILQ_INSERT_HEAD(&c->entries, entry, by_age);
		return;
	}
	part = find_part(f, p->id);
	if (!part) {
		part = calloc(1, sizeof(*part));
		if (!part)
			return;
		part->id = p->id;
		LIST_INIT(&part->entries);
		HASH_ADD(hh, f->parts, id, sizeof(part->id), part);
	}
	entry = calloc(1, sizeof(*entry));
	if (!entry) {
		if (LIST_EMPTY(&part->entries)) {
			HASH_DEL(f->parts, part);
			free(part);
		}
		return;
	}
	*entry = (ap_cache_entry_t){.cache = c, .part = part};
	entry->tokens = p->tokens > TOKENS_MIN ? p->tokens : TOKENS_MIN;
	TAILQ_INSERT_HEAD(&c->entries, entry, by_age);
	LIST_INSERT_HEAD(&part->entries, entry, by_part);
	c->tokens += entry->tokens;
}

static void shrink(ap_fleet_t *f, ap_prefix_cache_t *c, uint64_t capacity)
{
	ap_cache_entry_t *oldest = TAILQ_LAST(&c->entries, ap_cache_entry_list);
	ap_cache_entry_t *next;

	for (; oldest && c->tokens > capacity; oldest = next) {
		next = TAILQ_PREV(oldest, ap_cache_entry_list, by_age);
		remove_entry(f, oldest);
	}
}

void ap_prefix_cache_add_unnamed(ap_fleet_t *f, ap_prefix_cache_t *c, uint32_t tokens,
				 uint64_t capacity)
{
	ap_cache_entry_t *youngest = TAILQ_FIRST(&c->entries);

	if (tokens == 0)
		return;
	if (!youngest || youngest->part) {
		youngest = calloc(1, sizeof(*youngest));
		if (!youngest)
			return;
		youngest->cache = c;
		TAILQ_INSERT_HEAD(&c->entries, youngest, by_age);
	}
	youngest->tokens += tokens;
	c->tokens += tokens;
	shrink(f, c, capacity);
}

void ap_prefix_cache_add_part(ap_fleet_t *f, ap_prefix_cache_t *c, const ap_prompt_part_t *part,
			      uint64_t capacity)
{
	add_part(f, c, part);
	shrink(f, c, capacity);
}

void ap_prefix_cache_add(ap_fleet_t *f, ap_prefix_cache_t *c, const ap_dispatch_t *req,
			 uint64_t capacity)
{
	/* Starts with the last part, so that the shared leading ones become the most recently used.
	 */
	for (size_t i = req->n_parts; i > 0; i--)
		add_part(f, c, &req->parts[i - 1]);
	shrink(f, c, capacity);
}
