/* Bounds check of a message, private to the codec. */
#ifndef AP_WIRE_BOUNDS_H
#define AP_WIRE_BOUNDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * ap_wire_bounds_ok() - is @data one whole object whose claimed lengths all fit in it?
 * Maps and extension types are not part of the protocol and are refused.
 */
bool ap_wire_bounds_ok(const void *data, size_t len);

#endif
