/*
 * A set-associative table from block hashes to holders. Its memory is fixed whatever the size of
 * the fleet; a new block evicts the least recently added block of its set.
 */
#include "route/prefix.h"
#include "route/route.h"

#include <stdlib.h>
#include <string.h>

#define SETS 8192 /* a power of two */
#define WAYS 8

typedef struct ap_prefix_line {
	uint64_t block;
	ap_holder_t holders[AP_PREFIX_HOLDERS]; /* an epoch of 0 marks an empty place */
} ap_prefix_line_t;

struct ap_prefix_index {
	ap_prefix_line_t lines[SETS][WAYS]; /* each set newest first */
};

ap_prefix_index_t *ap_prefix_new(void)
{
	return calloc(1, sizeof(ap_prefix_index_t));
}

void ap_prefix_free(ap_prefix_index_t *x)
{
	free(x);
}

static size_t set_of(uint64_t block)
{
	return (block ^ block >> 32) & (SETS - 1);
}

static ap_prefix_line_t *find_line(ap_prefix_line_t *set, uint64_t block)
{
	for (int i = 0; i < WAYS; i++)
		if (set[i].block == block)
			return &set[i];
	return NULL;
}

static void move_to_front(ap_prefix_line_t *set, ap_prefix_line_t *line)
{
	ap_prefix_line_t kept = *line;

	memmove(set + 1, set, (size_t)(line - set) * sizeof(*set));
	set[0] = kept;
}

void ap_prefix_add(ap_prefix_index_t *x, uint64_t block, ap_holder_t holder)
{
	ap_prefix_line_t *set = x->lines[set_of(block)];
	ap_prefix_line_t *line = find_line(set, block);
	int place = AP_PREFIX_HOLDERS - 1;

	if (!line) {
		line = &set[WAYS - 1];
		*line = (ap_prefix_line_t){.block = block};
	}
	move_to_front(set, line);
	for (int i = 0; i < AP_PREFIX_HOLDERS; i++) {
		if (set->holders[i].epoch == 0 || set->holders[i].slot == holder.slot) {
			place = i;
			break;
		}
	}
	memmove(set->holders + 1, set->holders, (size_t)place * sizeof(holder));
	set->holders[0] = holder;
}

void ap_prefix_remove(ap_prefix_index_t *x, uint64_t block, uint16_t slot)
{
	ap_prefix_line_t *line = find_line(x->lines[set_of(block)], block);

	if (!line)
		return;
	for (int i = 0; i < AP_PREFIX_HOLDERS; i++) {
		size_t after = (size_t)(AP_PREFIX_HOLDERS - 1 - i);

		if (line->holders[i].epoch == 0 || line->holders[i].slot != slot)
			continue;
		memmove(&line->holders[i], &line->holders[i + 1], after * sizeof(ap_holder_t));
		line->holders[AP_PREFIX_HOLDERS - 1] = (ap_holder_t){0};
		return;
	}
}

const ap_holder_t *ap_prefix_find(const ap_prefix_index_t *x, uint64_t block)
{
	const ap_prefix_line_t *set = x->lines[set_of(block)];

	for (int i = 0; i < WAYS; i++)
		if (set[i].block == block)
			return set[i].holders;
	return NULL;
}

size_t ap_prefix_blocks(const char *text, size_t len, uint64_t blocks[AP_PREFIX_BLOCKS_MAX])
{
	uint64_t chained = 0;
	size_t n = 0;

	while (n < AP_PREFIX_BLOCKS_MAX && len >= AP_PREFIX_BLOCK_BYTES) {
		chained = ap_hash(text, AP_PREFIX_BLOCK_BYTES, chained);
		blocks[n++] = chained;
		text += AP_PREFIX_BLOCK_BYTES;
		len -= AP_PREFIX_BLOCK_BYTES;
	}
	return n;
}
