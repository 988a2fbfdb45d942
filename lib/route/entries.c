/* The entries that a caller should use, by weighted rendezvous hashing; the price of a request. */
#include "route/route.h"

#include <string.h>

#define TOKENS_PER_PRICE 1000.0 /* the unit of ap_pool.price_in and price_out */
#define ENTRY_WEIGHT_MIN 0.001

typedef struct ap_ranked {
	const ap_entry_t *entry;
	double score;
} ap_ranked_t;

double ap_price(const ap_pool_t *pool, uint32_t tokens_in, uint32_t cached, uint32_t tokens_out)
{
	uint32_t computed = tokens_in > cached ? tokens_in - cached : 0;

	return pool->price_call + pool->price_in * computed / TOKENS_PER_PRICE +
	       pool->price_out * tokens_out / TOKENS_PER_PRICE;
}

static double entry_score(const ap_entry_t *entry, uint64_t key)
{
	double weight = entry->weight > ENTRY_WEIGHT_MIN ? entry->weight : ENTRY_WEIGHT_MIN;

	return ap_rendezvous(key, ap_hash_str(entry->id, 0), weight);
}

/* Inserts @ranked into the sorted list of the best entries, if it is among them. */
static void keep_best(ap_ranked_t *best, size_t *n, ap_ranked_t ranked)
{
	size_t place = *n;

	if (place == AP_ENTRIES_MAX) {
		if (ranked.score <= best[place - 1].score)
			return;
		place--;
	} else {
		(*n)++;
	}
	while (place > 0 && best[place - 1].score < ranked.score) {
		best[place] = best[place - 1];
		place--;
	}
	best[place] = ranked;
}

/* Ranks the entries of @region, or of all regions for NULL. */
static size_t rank_entries(const ap_view_t *view, const char *caller, const char *region,
			   ap_ranked_t best[AP_ENTRIES_MAX])
{
	uint64_t key = ap_hash_str(caller, 0);
	size_t n = 0;

	for (size_t i = 0; i < view->n_entries; i++) {
		const ap_entry_t *entry = &view->entries[i];

		if (entry->draining)
			continue;
		if (region && strcmp(entry->region, region) != 0)
			continue;
		keep_best(best, &n,
			  (ap_ranked_t){.entry = entry, .score = entry_score(entry, key)});
	}
	return n;
}

size_t ap_entries_for(const ap_view_t *view, const char *caller, const char *region, bool home_only,
		      const ap_entry_t *out[AP_ENTRIES_MAX])
{
	ap_ranked_t best[AP_ENTRIES_MAX];
	size_t n = rank_entries(view, caller, region, best);

	if (n == 0 && !home_only)
		n = rank_entries(view, caller, NULL, best);
	for (size_t i = 0; i < n; i++)
		out[i] = best[i].entry;
	return n;
}
