/* Bounds check of a message before it is unpacked; private to lib/wire. */
#ifndef AP_WIRE_BOUNDS_H
#define AP_WIRE_BOUNDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * ap_wire_bounds_ok() - checks that @data is one whole msgpack object and that all lengths it
 * declares fit in it. Maps and extension types are not part of the protocol and are refused.
 */
bool ap_wire_bounds_ok(const void *data, size_t len);

#endif
