/* Bounded index of the upstreams that probably cache a prompt block. Private to lib/route. */
#ifndef AP_ROUTE_PREFIX_H
#define AP_ROUTE_PREFIX_H

#include "base/base.h"

#define AP_PREFIX_HOLDERS 4 /* upstreams kept per block */

/**
 * struct ap_holder - an upstream that received a block.
 * @slot: the upstream's slot number
 * @epoch: distinguishes upstreams that used the same slot; 0 marks an empty place
 * @stamp: number of blocks that the upstream had stored when it received this one
 */
typedef struct ap_holder {
	uint16_t slot;
	uint16_t epoch;
	uint32_t stamp;
} ap_holder_t;

typedef struct ap_prefix_index ap_prefix_index_t;

ap_prefix_index_t *ap_prefix_new(void);
void ap_prefix_free(ap_prefix_index_t *x);
/** ap_prefix_add() - records that @holder has @block; may evict the oldest holder or block. */
void ap_prefix_add(ap_prefix_index_t *x, uint64_t block, ap_holder_t holder);
/** ap_prefix_remove() - records that the upstream in @slot no longer has @block. */
void ap_prefix_remove(ap_prefix_index_t *x, uint64_t block, uint16_t slot);
/** ap_prefix_find() - AP_PREFIX_HOLDERS holders of @block, newest first, or NULL. */
const ap_holder_t *ap_prefix_find(const ap_prefix_index_t *x, uint64_t block);

#endif
