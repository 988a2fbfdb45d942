/*
 * What is known of the condition of upstreams, beside their records: cold, limited, brittle,
 * leaving, pausing, reachable. Included by private.h.
 */
#ifndef AP_FLEET_CONDITION_H
#define AP_FLEET_CONDITION_H

/* cold.c */
/*
 * @r is cold for @cold_left more, 0 if it is not. Only a later end of the cold time counts: entries
 * arrive late. @source: see struct ap_fleet_event.
 */
void ap_replica_set_cold_left(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t cold_left,
			      const char *source, ap_usec_t now);
/* Returns whether @r needs a health check now, because the store is silent. */
bool ap_cold_needs_check(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now);
/*
 * @r said in response to a health check how much longer it is cold.
 *
 * Return: whether the check had been sent because the store is silent.
 */
bool ap_cold_checked(ap_fleet_t *f, ap_replica_t *r, ap_usec_t cold_left, ap_usec_t now);
/* Packs what upstreams said in response to such checks. Return: how many. */
size_t ap_cold_pack(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now);
/* Applies what they said to instance @from. Return: false if it is malformed. */
bool ap_cold_apply(ap_fleet_t *f, const char *from, ap_wire_reader_t *colds, ap_usec_t now);
/* Returns whether this instance may send a request to the cold upstream @r now. */
bool ap_cold_allows(ap_fleet_t *f, ap_replica_t *r, const ap_plan_pool_t *pool, ap_usec_t now);

/* limit.c */
/* Returns whether @r names a limit, as far as this instance has seen or heard. */
bool ap_replica_limited(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now);
/* Returns whether this instance may send a request to @r, which names a limit, now. */
bool ap_limit_allows(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now);
/* Packs the limits that this instance has seen. Return: how many. */
size_t ap_limits_pack(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now);
/* Applies those of another instance. Return: false if they are malformed. */
bool ap_limits_apply(ap_fleet_t *f, ap_wire_reader_t *limits, ap_usec_t now);

/* brittle.c */
/* Returns whether this instance may send @req to @r now, which may be brittle. */
bool ap_brittle_allows(const ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *req,
		       ap_usec_t now);
/*
 * Returns an instance of the region that has a share of some upstream for @req; NULL if this one
 * has, or there is none.
 */
const ap_member_t *ap_brittle_peer(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now);
/* @req is about to be counted as sent to @r. */
void ap_brittle_sent(const ap_fleet_t *f, ap_replica_t *r, const ap_dispatch_t *req, ap_usec_t now);
/* @r refused a request. */
void ap_brittle_refused(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now);
/* Forgets what nobody confirms. */
void ap_brittle_tick(const ap_fleet_t *f, ap_usec_t now);
/* Packs the brittle upstreams that this instance has seen. Return: how many. */
size_t ap_brittle_pack(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now);
/* Applies those of another instance. Return: false if they are malformed. */
bool ap_brittle_apply(ap_fleet_t *f, ap_wire_reader_t *brittle, ap_usec_t now);

/* leaving.c */
/* Returns whether @r leaves, as far as this instance has read, seen or heard. */
bool ap_replica_leaving(const ap_fleet_t *f, const ap_replica_t *r);
/* The record of @r says that it is draining. */
void ap_leaving_recorded(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
/*
 * The entry of @r announces a stop; it was written after @known_at, or it isn't known when if that
 * is 0.
 */
void ap_stop_recorded(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t known_at, ap_usec_t now);
/* Returns by when @r stops, as it announced; AP_NEVER if it didn't. */
ap_usec_t ap_replica_stops_at(const ap_fleet_t *f, const ap_replica_t *r);
/* Returns whether @r needs a health check now, because it is still listed. */
bool ap_leaving_needs_check(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
/* @r said in response to a health check that it is healthy. */
void ap_leaving_checked(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
/* Packs what this instance has seen in responses. Return: how many upstreams. */
size_t ap_leaving_pack(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now);
/* Applies what another instance has seen. Return: false if it is malformed. */
bool ap_leaving_apply(ap_fleet_t *f, ap_wire_reader_t *leaving, ap_usec_t now);
/* Drops what is too old to matter. */
void ap_leaving_tick(ap_fleet_t *f, ap_usec_t now);

/* backoff.c */
/* Returns whether @r asked this instance for a pause, which isn't over. */
bool ap_backoff_pausing(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
/* Returns whether this instance may send a request to @r now, which may be in a pause. */
bool ap_backoff_allows(const ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
/* A request is about to be sent to @r. Return: whether it counts as one after a pause. */
bool ap_backoff_sent(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
/* @r responded to such a request, not with a refusal. */
void ap_backoff_responded(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
/* Such a request to upstream @id ended, whose record may be gone. */
void ap_backoff_ended(const ap_fleet_t *f, const char *id);
/* Returns whether an instance of @region said that the upstreams of @pool there pause. */
bool ap_backoff_region(ap_fleet_t *f, const char *region, const char *pool, ap_usec_t now);
/*
 * Returns whether the upstreams that could serve @req pause: all of this region, and others as far
 * as they are known to. @wait then receives after how long its caller should come again.
 */
bool ap_backoff_all(ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now, ap_usec_t *wait);
/* Returns how many upstreams pause. */
size_t ap_backoff_count(const ap_fleet_t *f, ap_usec_t now);
/* Frees all that is known of pauses. */
void ap_backoff_forget_all(ap_fleet_t *f);
/* Forgets pauses that are long over. */
void ap_backoff_tick(ap_fleet_t *f, ap_usec_t now);

/* path.c */
/* A connection to @r failed. */
void ap_path_lost(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now);
/* @r responded, so there is a path to it. */
void ap_path_seen(ap_fleet_t *f, ap_replica_t *r, ap_usec_t now);
/* Returns whether @r needs a health check now, to find out whether the path is back. */
bool ap_path_needs_check(const ap_fleet_t *f, ap_replica_t *r, ap_usec_t now);
/*
 * Returns whether the paths to all upstreams of this region that could serve @req are lost, or @req
 * failed to connect to several of them.
 */
bool ap_paths_lost(const ap_fleet_t *f, const ap_dispatch_t *req, ap_usec_t now);
/* Returns whether @m has a path to an upstream of @pool in its region, as far as is known. */
bool ap_member_reaches(const ap_member_state_t *m, const char *pool, ap_usec_t now);
/* Returns whether @m has had no path to some pool for a while. */
bool ap_member_cut_off(const ap_member_state_t *m, ap_usec_t now);
/* Notices what this instance has lost or found, to be announced at once. */
void ap_paths_tick(ap_fleet_t *f, ap_usec_t now);
/* Packs the pools that this instance has lost. Return: how many. */
size_t ap_paths_pack(const ap_fleet_t *f, msgpack_packer *pk);
/* Applies those of @m. Return: false if they are malformed. */
bool ap_paths_apply(ap_member_state_t *m, ap_wire_reader_t *lost, ap_usec_t now);
/* Likewise for remote regions: of all instances of the region. */
void ap_paths_pack_remote(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now);
bool ap_paths_apply_remote(ap_fleet_t *f, const char *region, ap_wire_reader_t *lost,
			   ap_usec_t now);

#endif
