/* Evidence of requests that crash upstreams: types and functions inside lib/fleet. */
#ifndef AP_FLEET_EVIDENCE_H
#define AP_FLEET_EVIDENCE_H

#include "fleet/fleet.h"
#include "wire/frame.h"

#define HASH_FUNCTION(key, len, out) ((out) = (unsigned)ap_hash((key), (len), 0))
#include <uthash.h>

typedef struct ap_replica ap_replica_t;

#define ENDS_MAX 128	  /* the least useful one is dropped */
#define END_TRAITS_MAX 96 /* traits of one end; further ones are not recorded */
#define END_CHAIN_MIN 3	  /* ends that make a trait a suspect, see suspect.c */

/*
 * A trait of requests that were in flight when an upstream ended: a part of their prompts that
 * others may share, or the fingerprint of one.
 */
typedef struct ap_end_trait {
	uint64_t trait;
	bool is_request;
	ap_usec_t sent; /* the latest of these requests */
} ap_end_trait_t;

/**
 * struct ap_upstream_end - the end of an upstream, and the requests that may have caused it.
 * @tag: of the upstream
 * @at: the earliest time at which an instance saw it
 * @tried_at: when this instance last sent a request that the end speaks against; 0 for never
 */
typedef struct ap_upstream_end {
	uint32_t tag;
	ap_usec_t at;
	ap_usec_t tried_at;
	size_t n_traits;
	ap_end_trait_t traits[END_TRAITS_MAX];
} ap_upstream_end_t;

/**
 * struct ap_suspect - a trait that may crash upstreams.
 * @is_request: a fingerprint
 * @completed: when the latest complete response to a request with the trait began; 0 for none
 * @chain: ends that such requests met since
 * @spaced: of these, those that count for a part, see suspect.c
 * @stale: both have to be counted again
 */
typedef struct ap_suspect {
	UT_hash_handle hh;
	uint64_t trait;
	bool is_request;
	ap_usec_t completed;
	unsigned chain;
	unsigned spaced;
	bool stale;
} ap_suspect_t;

/* end.c */
#define FOR_EACH_END(f, end) for ((end) = (f)->ends; (end) < (f)->ends + (f)->n_ends; (end)++)

/* The response to the request behind @inflight broke off at @r, which may have ended. */
void ap_break_seen(ap_fleet_t *f, ap_replica_t *r, const ap_inflight_t *inflight, ap_usec_t now);
/* @r has not ended, or it can't be found out any more. */
void ap_break_forget(ap_replica_t *r);
/* @r has ended: requests whose responses broke off there may be the cause. */
void ap_replica_ended(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now);
/* Returns whether @r needs a health check now to find out whether it has ended. */
bool ap_break_needs_check(ap_replica_t *r, ap_usec_t now);
/* Forgets breaks that no health check explains any more. */
void ap_breaks_tick(ap_fleet_t *f, ap_usec_t now);
/* Finds or adds the end of an upstream at @at; valid until another one is added. */
ap_upstream_end_t *ap_end_get(ap_fleet_t *f, uint32_t tag, ap_usec_t at);
/* Adds a trait of a request that was in flight. Return: whether anything changed. */
bool ap_end_add_trait(ap_fleet_t *f, ap_upstream_end_t *end, const ap_end_trait_t *trait);
void ap_end_remove(ap_fleet_t *f, ap_upstream_end_t *end);
/* Returns @trait of @end; NULL if no request with it was in flight. */
const ap_end_trait_t *ap_end_find_trait(const ap_upstream_end_t *end, uint64_t trait);
/*
 * Returns whether other upstreams ended together with @end where no request with @trait was in
 * flight. Then they have a cause in common, which is not the trait.
 */
bool ap_ended_with_others(const ap_fleet_t *f, const ap_upstream_end_t *end, uint64_t trait);

/* suspect.c */
typedef enum ap_hold {
	AP_HOLD_NONE,
	AP_HOLD_WAIT,  /* not to be sent before a given time */
	AP_HOLD_TRIAL, /* to be sent, as the only one: finds out whether the cause has ended */
} ap_hold_t;

/* Returns whether the ends of upstreams speak against sending @req, and until when. */
ap_hold_t ap_request_hold(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now, ap_usec_t *until);
/* @req is being sent. */
void ap_suspect_sent(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now);
/* The response to the request behind @inflight is complete. */
void ap_suspect_completed(ap_fleet_t *f, const ap_inflight_t *inflight, ap_usec_t now);
/* Returns what is known of @trait; NULL if nothing. */
ap_suspect_t *ap_suspect_find(const ap_fleet_t *f, uint64_t trait);
/* Finds or adds it; NULL if out of memory. */
ap_suspect_t *ap_suspect_get(ap_fleet_t *f, uint64_t trait);
/* Returns the length of the chain of ends that requests with @trait met. */
unsigned ap_trait_chain(const ap_fleet_t *f, uint64_t trait);
/* Returns whether a response that began after @at clears @trait. */
bool ap_trait_cleared(const ap_fleet_t *f, uint64_t trait, ap_usec_t at);
/*
 * A complete response to a request with @trait began at @began. Return: whether the trait's chain
 * became shorter.
 */
bool ap_trait_completed(ap_fleet_t *f, uint64_t trait, ap_usec_t began);
/* Returns whether a request with a suspect was in flight at @end. */
bool ap_end_has_suspect(const ap_fleet_t *f, const ap_upstream_end_t *end);
/* This instance has seen something new: tells all regions with the next tick. */
void ap_evidence_seen(ap_fleet_t *f, ap_usec_t now);
void ap_suspects_tick(ap_fleet_t *f, ap_usec_t now);
/* Returns how many suspects are requests or, if not @requests, parts of prompts. */
size_t ap_suspects_count(const ap_fleet_t *f, bool requests);

/* suspect-wire.c */
/* Packs two arrays for the own region, the ends and the responses. Return: the number of ends. */
size_t ap_suspects_pack(ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now);
/* Likewise for remote regions. */
void ap_suspects_pack_remote(ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now);
/* Applies the two arrays of another instance. Return: false if they are malformed. */
bool ap_suspects_apply(ap_fleet_t *f, ap_wire_reader_t *ends, ap_wire_reader_t *completed,
		       ap_usec_t now);

#endif
