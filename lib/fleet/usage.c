/*
 * Use of customers' allowances, as instances report it: each its own to its region, and the sums
 * over a region to the others.
 */
#include "fleet/private.h"
#include "quota/quota.h"

#include <math.h>
#include <string.h>

#define SOURCES_INTERVAL (500 * AP_MSEC)
#define USES_MAX 512 /* customers in one report */
#define MILLI 1000.0
/* Of the wait that others bear, at least; at 0.3 large requests still filled the queues. */
#define PATIENCE_MIN 0.15
/* Ratio of a customer's use to its part that counts as more; chance alone reaches 1.2. */
#define EXCESS_MIN 1.5

ap_quota_t *ap_fleet_quota(ap_fleet_t *f)
{
	return f->quota;
}

/* An instance whose record has expired may still serve, and tell of it. */
static bool is_source(const ap_fleet_t *f, const ap_member_state_t *m, ap_usec_t now)
{
	return ap_is_live_other(f, m, now);
}

static void set_regions(ap_fleet_t *f, ap_usec_t now)
{
	for (const ap_data_centre_state_t *dc = f->data_centres; dc; dc = dc->hh.next) {
		size_t n = ap_fleet_count_members(f, dc->region);

		if (n > 0 && strcmp(dc->region, f->config.region) != 0)
			ap_quota_set_source(f->quota, dc->region, true, (unsigned)n, now);
	}
}

static void set_sources(ap_fleet_t *f, ap_usec_t now)
{
	f->sources_set_at = now;
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (m->own_region && is_source(f, m, now))
			ap_quota_set_source(f->quota, m->member.id, false, 1, now);
		else if (m->own_region && m->removed && m->member.draining)
			ap_quota_retire_source(f->quota, m->member.id);
	}
	set_regions(f, now);
	ap_quota_end_sources(f->quota, now);
}

void ap_usage_tick(ap_fleet_t *f, ap_usec_t now)
{
	if (ap_quota_in_use(f->quota) && now - f->sources_set_at >= SOURCES_INTERVAL)
		set_sources(f, now);
}

void ap_fleet_set_customers(ap_fleet_t *f, const ap_customer_t *customers, size_t n, ap_usec_t now)
{
	/* Buckets begin with the part that is left to this instance until it has heard others. */
	if (n > 0)
		set_sources(f, now);
	ap_quota_set_limits(f->quota, customers, n, now);
}

void ap_usage_pack_header(const ap_fleet_t *f, msgpack_packer *pk, size_t all)
{
	msgpack_pack_array(pk, ap_quota_in_use(f->quota) ? all : all - 1);
}

size_t ap_usage_pack(ap_fleet_t *f, msgpack_packer *pk, bool region, ap_usec_t now)
{
	ap_quota_use_t uses[USES_MAX];
	size_t n;

	if (!ap_quota_in_use(f->quota))
		return 0;
	n = ap_quota_report(f->quota, region, uses, USES_MAX, now);
	msgpack_pack_array(pk, 2);
	msgpack_pack_uint32(pk, region ? ap_quota_silent(f->quota, now) : 0);
	msgpack_pack_array(pk, n);
	for (size_t i = 0; i < n; i++) {
		msgpack_pack_array(pk, 5);
		msgpack_pack_uint32(pk, uses[i].tag);
		msgpack_pack_int64(pk, uses[i].used);
		msgpack_pack_int64(pk, uses[i].lately);
		msgpack_pack_uint64(pk, (uint64_t)(uses[i].admitted * MILLI));
		msgpack_pack_uint64(pk, (uint64_t)(uses[i].asked * MILLI));
	}
	return n;
}

bool ap_usage_apply(ap_fleet_t *f, const char *from, const char *region, ap_id_t inc,
		    ap_wire_reader_t *r, ap_usec_t now)
{
	ap_quota_use_t uses[USES_MAX];
	ap_wire_reader_t report;
	ap_wire_reader_t list;
	unsigned silent;
	size_t n = 0;

	/* The sender's build reports none, or it knows no customers and a later field follows. */
	if (r->left == 0)
		return true;
	report = ap_wire_array(r);
	if (r->ok && report.left == 0)
		return true;
	silent = (unsigned)ap_wire_u64(&report);
	list = ap_wire_array(&report);
	while (list.left > 0 && n < USES_MAX) {
		ap_wire_reader_t e = ap_wire_array(&list);
		ap_quota_use_t *use = &uses[n++];

		use->tag = (uint32_t)ap_wire_u64(&e);
		use->used = ap_wire_i64(&e);
		use->lately = ap_wire_i64(&e);
		use->admitted = (double)ap_wire_u64(&e) / MILLI;
		use->asked = (double)ap_wire_u64(&e) / MILLI;
		if (!e.ok)
			return false;
	}
	if (!r->ok || !report.ok || !list.ok)
		return false;
	ap_quota_heard(f->quota, region ? region : from, from, inc, silent, uses, n, now);
	return true;
}

/*
 * Where upstreams are busy, customers who use more than their part are refused before others,
 * so that one's flood does not fill the queues for all. Requests that make up EXCESS_MIN of an
 * part may wait like those of others, so that nobody is shut out.
 */
double ap_usage_patience(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now)
{
	double excess = req->customer ? ap_quota_excess(f->quota, req->customer->name, now) : 0;

	if (excess <= EXCESS_MIN || ap_rng_unit(&f->rng) < EXCESS_MIN / excess)
		return 1;
	return fmax(1 / excess, PATIENCE_MIN);
}
