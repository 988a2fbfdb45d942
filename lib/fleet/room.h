/* Sharing of plain services among the instances of a region, see room.c. Included by private.h. */
#ifndef AP_FLEET_ROOM_H
#define AP_FLEET_ROOM_H

#include "fleet/fleet.h"
#include "wire/frame.h"

typedef struct ap_replica ap_replica_t;
typedef struct ap_member_state ap_member_state_t;
typedef struct ap_pool_state ap_pool_state_t;
typedef struct ap_remote_candidate ap_remote_candidate_t;

/* What an instance was asked for at a plain pool, as it announced. */
typedef struct ap_room_demand {
	uint32_t pool; /* hash of the name */
	double rate;   /* requests per second */
} ap_room_demand_t;

#define ROOM_POOLS_MAX 8 /* of one instance; further ones count as unknown */

/* This instance's own requests for a pool. */
typedef struct ap_room {
	bool plain;	   /* the pool has no KV cache */
	double rate;	   /* requests per second, as of @rate_at; decays */
	ap_usec_t rate_at; /* 0 before the first request */
	double work_us;	   /* time of a request at an upstream, as far as no other waits */
	double total;	   /* requests per second of the whole region, as of @summed_at */
	double load; /* requests at the region's upstreams for each slot, averaged, at most 1 */
	bool busy;
	ap_usec_t retry_at; /* when the last one that was refused has room */
	double pace;	    /* ratio of the throughput to what the work of a request gives */
	ap_usec_t ticked_at;
	ap_usec_t summed_at;
} ap_room_t;

/* Counts a request that needs a target. To be called once for each choice. */
void ap_room_asked(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now);
/* Returns whether the pool is busy, so that its instances share it by what each has to send. */
bool ap_room_engaged(ap_fleet_t *f, const ap_dispatch_t *req);
/* Updates which pools are busy. To be called several times a second. */
void ap_room_tick(ap_fleet_t *f, ap_usec_t now);
/* Returns whether this instance's part of @r has room for @req. */
bool ap_room_allows(ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *req, ap_usec_t now);
/* Returns the one of @n upstreams where this instance's part has the most room. */
ap_replica_t *ap_room_best(ap_fleet_t *f, ap_replica_t *const *v, size_t n,
			   const ap_dispatch_t *req, ap_usec_t now);
/*
 * Returns after how long a refused request has room in this instance's part, if those refused
 * before it come first.
 */
ap_usec_t ap_room_retry_after(ap_fleet_t *f, const ap_replica_t *r, const ap_dispatch_t *req,
			      ap_usec_t now);
void ap_room_sent(ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *req);
/* A request that found no other at the upstream before it took @took. */
void ap_room_learn(ap_pool_state_t *p, double took);
/* Returns the share of the requests beyond this region's room that are sent to a remote region. */
double ap_room_spill(ap_fleet_t *f, const ap_remote_candidate_t *c, const ap_dispatch_t *req,
		     ap_usec_t now);
/* Returns the number of pools that are busy, at most ROOM_POOLS_MAX. */
size_t ap_room_pools(const ap_fleet_t *f);
/* Begins a message of @all fields, the last two of which are sent only where they are used. */
void ap_room_pack_header(const ap_fleet_t *f, msgpack_packer *pk, size_t all);
size_t ap_room_pack(ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now);
bool ap_room_apply(ap_member_state_t *m, ap_wire_reader_t *r, ap_usec_t now);

#endif
