/* Which upstreams probably hold which prompt prefix blocks. Bounded. Private to the package. */
#ifndef AP_ROUTE_PREFIX_H
#define AP_ROUTE_PREFIX_H

#include "base/base.h"

#define AP_PREFIX_HOLDERS 4 /* upstreams remembered per block */

/**
 * struct ap_holder - an upstream that got a block.
 * @slot: the upstream's number, with @epoch against reuse
 * @stamp: the upstream's count of stored blocks at that time
 */
typedef struct ap_holder {
	uint16_t slot;
	uint16_t epoch;
	uint32_t stamp;
} ap_holder_t;

typedef struct ap_prefix_index ap_prefix_index_t;

ap_prefix_index_t *ap_prefix_new(void);
void ap_prefix_free(ap_prefix_index_t *x);
/** ap_prefix_add() - @holder has @block; the oldest holder or block gives way. */
void ap_prefix_add(ap_prefix_index_t *x, uint64_t block, ap_holder_t holder);
void ap_prefix_remove(ap_prefix_index_t *x, uint64_t block, uint16_t slot);
/** ap_prefix_find() - holders of @block, newest first, or NULL. */
const ap_holder_t *ap_prefix_find(const ap_prefix_index_t *x, uint64_t block);

#endif
