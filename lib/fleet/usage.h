/* Use of customers' allowances, see usage.c. Private to lib/fleet; included by private.h. */
#ifndef AP_FLEET_USAGE_H
#define AP_FLEET_USAGE_H

/* Tells lib/quota which instances and regions there are. To be called several times a second. */
void ap_usage_tick(ap_fleet_t *f, ap_usec_t now);
/* Begins a message of @all fields, the last of which is sent only if there are customers. */
void ap_usage_pack_header(const ap_fleet_t *f, msgpack_packer *pk, size_t all);
/* Packs this instance's use, or that of its region. Return: the number of customers. */
size_t ap_usage_pack(ap_fleet_t *f, msgpack_packer *pk, bool region, ap_usec_t now);
/*
 * Reads what instance @from reports, of itself, or of @region if that isn't NULL.
 *
 * Return: false when the report is malformed.
 */
bool ap_usage_apply(ap_fleet_t *f, const char *from, const char *region, ap_id_t inc,
		    ap_wire_reader_t *r, ap_usec_t now);

/* Returns the part of the usual wait for which a request of this customer may queue. */
double ap_usage_patience(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now);

#endif
