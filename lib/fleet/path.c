/*
 * Paths from this instance to upstreams. That no connection can be made says nothing of the
 * upstream: other instances may reach it. A lost path gets no requests, but a health check now and
 * then, and any response ends the state.
 *
 * Instances announce the pools to whose upstreams of their own region they have lost all paths, and
 * for each instance of their region to remote ones. Requests for such a pool are forwarded to an
 * instance of the region that has not lost it.
 */
#include "fleet/private.h"

#include <string.h>

#define CHECK_INTERVAL (400 * AP_MSEC)
#define CHECK_SPACING (50 * AP_MSEC) /* between checks of lost paths, where there are many */
#define BACK_TIME (1 * AP_SEC) /* after a path is back, in which the others are checked at once */
/* An instance that has lost its paths says so at least this often. */
#define LOST_MAX_AGE (2500 * AP_MSEC)
#define UNREACHABLE_MAX 2 /* failed connections of a request before it is forwarded */

void ap_path_lost(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	if (r->path_lost_at != 0)
		return;
	r->path_lost_at = now;
	r->path_checked_at = 0;
	ap_report_replica_event(f, AP_FLEET_EVENT_PATH_LOST, r, 0, now);
}

void ap_path_seen(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	if (r->path_lost_at == 0)
		return;
	f->path_back_at = now;
	ap_report_replica_event(f, AP_FLEET_EVENT_PATH_BACK, r, now - r->path_lost_at, now);
	r->path_lost_at = 0;
	/* The ejection came from the failed connections. */
	ap_replica_readmit(f, r, now);
}

void ap_fleet_path_lost(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);

	if (r)
		ap_path_lost(f, r, now);
}

void ap_fleet_path_seen(ap_fleet_t *f, const char *id, ap_usec_t now)
{
	ap_replica_t *r = ap_replica_find(f, id);

	if (r)
		ap_path_seen(f, r, now);
}

/*
 * Time between two checks of one lost path. Many are checked in turn: the first one that is back
 * shows that the others may be, too.
 */
static ap_usec_t check_interval(const ap_fleet_t *f, ap_usec_t now)
{
	ap_usec_t turn = (ap_usec_t)f->n_lost_paths * CHECK_SPACING;
	bool back = f->path_back_at != 0 && now - f->path_back_at < BACK_TIME;

	return back || turn < CHECK_INTERVAL ? CHECK_INTERVAL : turn;
}

/* The upstreams' tags spread their checks over the interval. */
static bool is_due(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now)
{
	ap_usec_t interval = check_interval(f, now);
	ap_usec_t last = r->path_checked_at ? r->path_checked_at : r->path_lost_at;
	ap_usec_t phase = r->tag % interval;

	if (interval == CHECK_INTERVAL)
		return r->path_checked_at == 0 || now - last >= interval;
	return (now + phase) / interval > (last + phase) / interval;
}

bool ap_path_needs_check(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now)
{
	if (r->path_lost_at == 0 || !r->own_region || !ap_replica_usable(f, r, now) ||
	    !is_due(f, r, now))
		return false;
	r->path_checked_at = now;
	return true;
}

static size_t count_lost(const ap_fleet_t *f, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next)
		n += r->path_lost_at != 0 && r->own_region && ap_replica_usable(f, r, now);
	return n;
}

static uint64_t pool_key(const char *pool)
{
	return ap_hash_str(pool, 0);
}

/* Returns whether this instance has lost the paths to all usable upstreams of @pool here. */
static bool lost_pool(const ap_fleet_t *f, const char *pool, ap_usec_t now)
{
	bool lost = false;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (!r->own_region || strcmp(r->entry.pool, pool) != 0 ||
		    !ap_replica_usable(f, r, now))
			continue;
		if (r->path_lost_at == 0)
			return false;
		lost = true;
	}
	return lost;
}

bool ap_paths_lost(const ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now)
{
	bool lost = false;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (!ap_replica_serves(f, r, f->config.region, req, now))
			continue;
		if (r->path_lost_at == 0)
			return req->unreachable >= UNREACHABLE_MAX;
		lost = true;
	}
	return lost;
}

static bool has_pool(const ap_member_state_t *m, uint64_t key)
{
	for (size_t i = 0; i < m->n_lost_pools; i++) {
		if (m->lost_pools[i] == key)
			return true;
	}
	return false;
}

static void add_pool(ap_member_state_t *m, uint64_t key)
{
	if (m->n_lost_pools < LOST_POOLS_MAX && !has_pool(m, key))
		m->lost_pools[m->n_lost_pools++] = key;
}

/* What @m has lost is known as of now, and empty until pools are added. */
static void begin_pools(ap_member_state_t *m, ap_usec_t now)
{
	m->n_lost_pools = 0;
	m->lost_until = now + LOST_MAX_AGE;
}

static void end_pools(ap_member_state_t *m, ap_usec_t now)
{
	if (m->n_lost_pools == 0)
		m->lost_at = 0;
	else if (m->lost_at == 0)
		m->lost_at = now;
}

bool ap_member_reaches(const ap_member_state_t *m, const char *pool, ap_usec_t now)
{
	return now >= m->lost_until || !has_pool(m, pool_key(pool));
}

bool ap_member_cut_off(const ap_member_state_t *m, ap_usec_t now)
{
	return now < m->lost_until && m->lost_at != 0 && now - m->lost_at >= CUT_OFF_TIME;
}

void ap_paths_tick(ap_fleet_t *f, ap_usec_t now)
{
	ap_member_state_t *self = ap_member_find(f, f->config.id);
	uint64_t before[LOST_POOLS_MAX] = {0};

	f->n_lost_paths = count_lost(f, now);
	if (!self)
		return;
	memcpy(before, self->lost_pools, self->n_lost_pools * sizeof(*before));
	begin_pools(self, now);
	for (const ap_pool_state_t *p = f->pools; p; p = p->hh.next) {
		if (lost_pool(f, p->name, now))
			add_pool(self, pool_key(p->name));
	}
	end_pools(self, now);
	memset(self->lost_pools + self->n_lost_pools, 0,
	       (LOST_POOLS_MAX - self->n_lost_pools) * sizeof(*before));
	if (memcmp(before, self->lost_pools, sizeof(before)) == 0)
		return;
	f->announced_at = 0;
	f->waits_announced_at = 0;
}

size_t ap_paths_pack(const ap_fleet_t *f, msgpack_packer *pk)
{
	const ap_member_state_t *self = ap_member_find(f, f->config.id);
	size_t n = self ? self->n_lost_pools : 0;

	msgpack_pack_array(pk, n);
	for (size_t i = 0; i < n; i++)
		msgpack_pack_uint64(pk, self->lost_pools[i]);
	return n;
}

bool ap_paths_apply(ap_member_state_t *m, ap_wire_reader_t *lost, ap_usec_t now)
{
	begin_pools(m, now);
	while (lost->left > 0 && lost->ok)
		add_pool(m, ap_wire_u64(lost));
	end_pools(m, now);
	return lost->ok;
}

static uint64_t member_key(const ap_member_state_t *m)
{
	return ap_hash_str(m->member.id, 0);
}

void ap_paths_pack_remote(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	size_t n = 0;

	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		if (ap_in_own_region(f, m) && now < m->lost_until)
			n += m->n_lost_pools;
	}
	msgpack_pack_array(pk, 2 * n);
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		for (size_t i = 0;
		     ap_in_own_region(f, m) && now < m->lost_until && i < m->n_lost_pools; i++) {
			msgpack_pack_uint64(pk, member_key(m));
			msgpack_pack_uint64(pk, m->lost_pools[i]);
		}
	}
}

bool ap_paths_apply_remote(ap_fleet_t *f, const char *region, ap_wire_reader_t *lost, ap_usec_t now)
{
	ap_member_state_t *m;

	for (m = f->members; m; m = m->hh.next) {
		if (strcmp(m->member.region, region) == 0)
			begin_pools(m, now);
	}
	while (lost->left >= 2 && lost->ok) {
		uint64_t member = ap_wire_u64(lost);
		uint64_t pool = ap_wire_u64(lost);

		for (m = f->members; m; m = m->hh.next) {
			if (strcmp(m->member.region, region) == 0 && member_key(m) == member)
				add_pool(m, pool);
		}
	}
	for (m = f->members; m; m = m->hh.next) {
		if (strcmp(m->member.region, region) == 0)
			end_pools(m, now);
	}
	return lost->ok;
}
