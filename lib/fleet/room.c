/*
 * Sharing of plain services. While the upstreams of a plain pool are busy, each instance of the
 * region announces how many requests per second it is asked for, and sends to each upstream the
 * part of its throughput that its requests have in those of the region. A bucket for each upstream
 * spreads them over time, since what is known of others' load is up to a second old.
 */
#include "fleet/private.h"

#include <math.h>
#include <string.h>

#define RATE_TIME_US 1500000.0 /* over which an instance's rate is averaged */
/* Requests at the upstreams for each slot from which on a pool is shared, and to which it is. */
#define BUSY_FROM 0.75
#define BUSY_TO 0.6
/* Over which this is averaged: some announcements, so that a pool at half load is not taken for
 * busy. */
#define BUSY_TIME_US 1500000.0
#define DEPTH 1.5 /* requests that a bucket holds */
/* Requests beyond its part that an instance may send while the region's throughput suffices. */
#define LENIENT_DEBT 6.0
#define SCARCE 1.0	/* ratio of requests to throughput from which on it doesn't suffice */
#define URGENT_DEBT 1.0 /* requests of rank 0 may use what comes next */
#define QUEUE_AIM 1.5	/* requests waiting at an upstream, for each of its slots */
#define GAIN 0.15	/* change of the parts with the distance from that aim */
/* The estimate of the throughput follows the distance from the aim, too, since waits hide the work.
 */
#define PACE_PER_US 1.2e-7
#define PACE_MIN 0.5
#define PACE_MAX 3.0
#define WORK_UP 0.02 /* step of the estimate of the work, in either direction */
#define WORK_QUANTILE 0.1
#define HEARD_TIME (3 * AP_SEC) /* an instance that is silent counts so long with what it said */
#define SUM_INTERVAL (50 * AP_MSEC)
#define MILLI 1000.0
#define RETRY_RATE_MIN 0.2 /* requests per second, at least, that a part is taken for */
/* Callers who repeat at once must not move the time of the others away without end. */
#define RETRY_MAX (5 * AP_SEC)
#define SPILL_MIN 0.05 /* finds out when a remote region has room again */

static uint32_t tag_of(const char *pool)
{
	return (uint32_t)ap_hash_str(pool, 0);
}

static double own_rate(const ap_room_t *room, ap_usec_t now)
{
	return room->rate * exp(-(double)(now - room->rate_at) / RATE_TIME_US);
}

void ap_room_asked(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now)
{
	ap_pool_state_t *p = ap_pool_state(f, req->pool->name);

	if (!p || req->pool->kv_tokens > 0 || req->n_tried > 0)
		return;
	p->room.plain = true;
	p->room.rate = own_rate(&p->room, now) + (double)AP_SEC / RATE_TIME_US;
	p->room.rate_at = now;
}

static bool announced_rate(const ap_member_state_t *m, uint32_t pool, double *rate)
{
	for (size_t i = 0; i < m->n_demands; i++) {
		if (m->demands[i].pool == pool) {
			*rate = m->demands[i].rate;
			return true;
		}
	}
	return false;
}

/*
 * Sums up what the instances of the region are asked for. One that has announced nothing yet counts
 * like the mean of the others; one that was heard and is silent counts for a while. If most are
 * silent, it is this instance that is cut off: they go on sending, so they go on counting.
 */
static double total_rate(ap_fleet_t *f, ap_pool_state_t *p, ap_usec_t now)
{
	uint32_t tag = tag_of(p->name);
	double sum = own_rate(&p->room, now);
	double silent_sum = 0;
	size_t n_silent = 0;
	size_t known = 1;
	size_t unknown = 0;

	if (now - p->room.summed_at < SUM_INTERVAL)
		return fmax(p->room.total, sum);
	for (const ap_member_state_t *m = f->members; m; m = m->hh.next) {
		double rate;

		if (!ap_in_own_region(f, m) || !ap_is_live_other(f, m, now))
			continue;
		if (!announced_rate(m, tag, &rate)) {
			unknown++;
		} else if (now - m->demands_at < HEARD_TIME) {
			sum += rate;
			known++;
		} else {
			silent_sum += rate;
			n_silent++;
		}
	}
	if (n_silent > known) {
		sum += silent_sum;
		known += n_silent;
	}
	p->room.total = sum * (double)(known + unknown) / (double)known;
	p->room.summed_at = now;
	return p->room.total;
}

static bool is_of(const ap_fleet_t *f, const ap_replica_t *r, const char *pool, ap_usec_t now)
{
	return r->own_region && strcmp(r->entry.pool, pool) == 0 && ap_replica_usable(f, r, now);
}

/* Requests per second that @r can serve. */
static double throughput(const ap_pool_state_t *p, const ap_replica_t *r, ap_usec_t now)
{
	return r->entry.slots * (double)AP_SEC / (p->room.work_us * ap_replica_slowdown(r, now)) *
	       p->room.pace;
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static void update_busy(const ap_fleet_t *f, ap_pool_state_t *p, ap_usec_t now)
{
	double passed = (double)(now - p->room.ticked_at);
	uint32_t running = 0;
	uint32_t in_slots = 0;
	uint32_t slots = 0;
	bool known = true;
	double load;
	double error;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next) {
		if (!is_of(f, r, p->name, now))
			continue;
		running += ap_replica_running(r);
		in_slots += min_u32(ap_replica_running(r), r->entry.slots);
		slots += r->entry.slots;
		known = known && r->entry.slots > 0;
	}
	if (p->room.ticked_at == 0)
		passed = 0;
	load = known && slots > 0 ? (double)in_slots / slots : 0;
	p->room.load += (load - p->room.load) * (1 - exp(-passed / BUSY_TIME_US));
	p->room.busy = known && slots > 0 && p->room.load >= (p->room.busy ? BUSY_TO : BUSY_FROM);
	p->room.ticked_at = now;
	if (!p->room.busy || p->room.pace == 0) {
		p->room.pace = 1;
		return;
	}
	error = (QUEUE_AIM * slots - ((double)running - slots)) / (QUEUE_AIM * slots);
	p->room.pace *= exp(PACE_PER_US * passed * fmin(fmax(error, -1), 1));
	p->room.pace = fmin(fmax(p->room.pace, PACE_MIN), PACE_MAX);
}

void ap_room_tick(ap_fleet_t *f, ap_usec_t now)
{
	for (ap_pool_state_t *p = f->pools; p; p = p->hh.next) {
		if (p->room.plain && p->room.work_us > 0)
			update_busy(f, p, now);
	}
}

bool ap_room_engaged(ap_fleet_t *f, const ap_dispatch_t *req)
{
	const ap_pool_state_t *p = ap_pool_state(f, req->pool->name);

	return p && req->pool->kv_tokens == 0 && p->room.busy;
}

static double region_throughput(const ap_fleet_t *f, const ap_pool_state_t *p, ap_usec_t now)
{
	double sum = 0;

	for (const ap_replica_t *r = f->replicas; r; r = r->hh.next)
		sum += is_of(f, r, p->name, now) ? throughput(p, r, now) : 0;
	return sum;
}

/* Fills the bucket of @r with this instance's part of its throughput. */
static void fill(ap_fleet_t *f, ap_pool_state_t *p, ap_replica_t *r, ap_usec_t now)
{
	double part = own_rate(&p->room, now) / fmax(total_rate(f, p, now), 0.001);
	double waiting = (double)ap_replica_running(r) - r->entry.slots;
	double aim = QUEUE_AIM * r->entry.slots;
	double change = fmin(fmax(GAIN * (aim - waiting) / aim, -GAIN), GAIN);
	double rate = fmin(part, 1) * throughput(p, r, now) * (1 + change);
	double passed = (double)(now - r->room.filled_at) / (double)AP_SEC;

	if (r->room.filled_at == 0)
		r->room.allowance = ap_rng_unit(&f->rng) * DEPTH;
	else
		r->room.allowance = fmin(r->room.allowance + rate * passed, DEPTH);
	r->room.filled_at = now;
}

bool ap_room_allows(ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *req, ap_usec_t now)
{
	ap_pool_state_t *p = ap_pool_state(f, req->pool->name);
	double debt = ap_dispatch_rank(req) == 0 ? URGENT_DEBT : 0;

	if (!p)
		return true;
	fill(f, p, r, now);
	if (total_rate(f, p, now) < SCARCE * region_throughput(f, p, now))
		debt = LENIENT_DEBT;
	return r->room.allowance + debt >= 1;
}

ap_replica_t *ap_room_best(ap_fleet_t *f, ap_replica_t *const *v, size_t n,
			   const ap_dispatch_t *req, ap_usec_t now)
{
	ap_pool_state_t *p = ap_pool_state(f, req->pool->name);
	size_t first = n > 0 ? ap_rng_below(&f->rng, n) : 0;
	ap_replica_t *best = NULL;

	for (size_t i = 0; p && i < n; i++) {
		ap_replica_t *r = v[(first + i) % n];

		if (ap_dispatch_tried(req, r->entry.id))
			continue;
		fill(f, p, r, now);
		if (!best || r->room.allowance > best->room.allowance)
			best = r;
	}
	return best;
}

ap_usec_t ap_room_retry_after(ap_fleet_t *f, const ap_replica_t *r, const ap_dispatch_t *req,
			      ap_usec_t now)
{
	ap_pool_state_t *p = ap_pool_state(f, req->pool->name);
	double part;
	double step;
	ap_usec_t soonest;

	f->room_refused++;
	if (!p)
		return 0;
	part = fmin(own_rate(&p->room, now) / fmax(total_rate(f, p, now), 0.001), 1);
	step = (double)AP_SEC / fmax(part * region_throughput(f, p, now), RETRY_RATE_MIN);
	soonest = now + (ap_usec_t)(fmax(1 - r->room.allowance, 0) * step);
	p->room.retry_at += (ap_usec_t)step;
	if (p->room.retry_at < soonest)
		p->room.retry_at = soonest;
	if (p->room.retry_at > now + RETRY_MAX)
		p->room.retry_at = now + RETRY_MAX;
	return p->room.retry_at - now;
}

void ap_room_sent(ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *req)
{
	if (!ap_room_engaged(f, req))
		return;
	r->room.allowance = fmax(r->room.allowance - 1, -LENIENT_DEBT);
}

/* Follows a low quantile, since some of the requests did wait. */
void ap_room_learn(ap_pool_state_t *p, double took)
{
	double *work = &p->room.work_us;

	if (*work <= 0)
		*work = took;
	else
		*work *= 1 + WORK_UP * (took > *work ? WORK_QUANTILE : WORK_QUANTILE - 1);
}

size_t ap_room_pools(const ap_fleet_t *f)
{
	size_t n = 0;

	for (const ap_pool_state_t *p = f->pools; p && n < ROOM_POOLS_MAX; p = p->hh.next)
		n += p->room.busy;
	return n;
}

void ap_room_pack_header(const ap_fleet_t *f, msgpack_packer *pk, size_t all)
{
	if (ap_room_pools(f) > 0)
		msgpack_pack_array(pk, all);
	else
		ap_usage_pack_header(f, pk, all - 1);
}

double ap_room_spill(ap_fleet_t *f, const ap_remote_candidate_t *c, const ap_dispatch_t *req,
		     ap_usec_t now)
{
	const ap_remote_pool_t *remote = ap_remote_pool(f, c->member->region, req->pool->name);
	double served = remote ? 1 - ap_refused_share(&remote->refusals, now) : 1;

	return fmax(served * served * served, SPILL_MIN);
}

size_t ap_room_pack(ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now)
{
	size_t n = ap_room_pools(f);
	size_t left = n;

	if (n == 0)
		return 0;
	/* Without customers, the field for their use is empty. */
	if (!ap_quota_in_use(f->quota))
		msgpack_pack_array(pk, 0);
	msgpack_pack_array(pk, n);
	for (const ap_pool_state_t *p = f->pools; p && left > 0; p = p->hh.next) {
		if (!p->room.busy)
			continue;
		left--;
		msgpack_pack_array(pk, 2);
		msgpack_pack_uint32(pk, tag_of(p->name));
		msgpack_pack_uint64(pk, (uint64_t)(own_rate(&p->room, now) * MILLI));
	}
	return n;
}

bool ap_room_apply(ap_member_state_t *m, ap_wire_reader_t *r, ap_usec_t now)
{
	ap_room_demand_t demands[ROOM_POOLS_MAX];
	ap_wire_reader_t list;
	size_t n = 0;

	/* The sender sees no busy pool, or its build shares none. */
	if (r->left == 0)
		return true;
	list = ap_wire_array(r);
	while (list.left > 0 && n < ROOM_POOLS_MAX) {
		ap_wire_reader_t e = ap_wire_array(&list);

		demands[n].pool = (uint32_t)ap_wire_u64(&e);
		demands[n++].rate = (double)ap_wire_u64(&e) / MILLI;
		if (!e.ok)
			return false;
	}
	if (!r->ok || !list.ok)
		return false;
	memcpy(m->demands, demands, n * sizeof(*demands));
	m->n_demands = n;
	m->demands_at = now;
	return true;
}
