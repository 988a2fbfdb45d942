/* Streams that callers may take up, builds and versions of weights: inside lib/fleet. */
#ifndef AP_FLEET_STREAM_STATE_H
#define AP_FLEET_STREAM_STATE_H

#include "fleet/evidence.h"
#include "fleet/fleet.h"
#include "wire/frame.h"

#define STREAMS_MAX 16384  /* several seconds of a large region */
#define GONE_BUILDS_MAX 64 /* the latest ones */
#define GONE_MODELS_MAX 32
#define STREAM_MAX_AGE (15 * AP_SEC) /* from its first event until a caller takes it up, */
#define TAKE_UP_TIME (5 * AP_SEC)    /* or this much above the route's timeout */

/* A stream that a caller may take up. */
typedef struct ap_stream {
	uint64_t id; /* hash of the request's id */
	ap_stream_source_t source;
	ap_usec_t at;
	ap_origin_t origin;
	uint32_t told_by; /* tag of the instance, if it lists the build; 0 for this one */
	uint32_t region;  /* tag of one in which it lists the build; 0 if it didn't say */
	uint64_t before;  /* number, from 1, of the one before it in its bucket; 0 for none */
	uint64_t first;	  /* likewise of the first one that said the same of this stream */
} ap_stream_t;

/* A version of a model that an upstream had and has no longer. */
typedef struct ap_gone_model {
	uint64_t pool; /* hash of its name */
	ap_loaded_model_t model;
	ap_usec_t at;
} ap_gone_model_t;

/* The streams that were packed last: those of the ring in this range and from this origin. */
typedef struct ap_packed_streams {
	uint64_t from;
	uint64_t end;
	ap_origin_t origin;
	size_t n;
} ap_packed_streams_t;

/* A build of which an upstream is gone. */
typedef struct ap_gone_build {
	uint64_t pool; /* hash of its name */
	uint64_t build;
	ap_usec_t at;
} ap_gone_build_t;

/* build.c */
/* Returns the build of upstreams of @pool with this software version; never 0. */
uint64_t ap_build_of(const char *pool, const char *version);
/*
 * @r is gone, or has another build; streams that it began may still be taken up. @lapsed: it
 * vanished without leaving.
 */
void ap_build_gone(ap_fleet_t *f, const ap_replica_t *r, bool lapsed, ap_usec_t now);
/* Packs an array: pool, build and for how many more ms it counts, of those that lapsed and aren't
 * listed any more. */
void ap_builds_lapsed_pack(const ap_fleet_t *f, msgpack_packer *pk, ap_usec_t now);
/* Keeps those that another instance packed. Return: false, and nothing is kept, if malformed. */
bool ap_builds_lapsed_read(ap_fleet_t *f, ap_wire_reader_t *r, ap_usec_t now);
/* Returns whether a pool has more than one build. */
bool ap_builds_mixed(ap_fleet_t *f);
/* Returns whether an upstream of @build is listed in a region that may serve both. */
bool ap_build_listed(const ap_fleet_t *f, uint64_t build, const ap_plan_route_t *route,
		     const ap_customer_t *customer);
/*
 * Fills in the tags of regions in which upstreams of the build are listed, the own one first: all
 * of
 * @max at most, or only that one, if it is among them. Return: how many.
 */
size_t ap_build_regions(const ap_fleet_t *f, uint64_t build, bool all, uint32_t *regions,
			size_t max);
/* Returns whether the request of the ap_stream_question_t @question may be handed to @m. */
bool ap_stream_may_go(const void *question, const ap_member_t *m);
/* Returns whether such an upstream is listed here, or by an instance that may get the request. */
bool ap_stream_reachable(ap_fleet_t *f, const ap_stream_question_t *q, uint64_t build,
			 ap_usec_t now);
/*
 * Returns whether reading the store once more may show where the stream goes on: no change was
 * missed while it can have been under way, and its build is known or the only one.
 */
bool ap_stream_reading_helps(ap_fleet_t *f, const ap_stream_question_t *q, ap_usec_t now);

/* stream.c */
/* Packs two arrays: the streams that began here since the last call. Return: how many. */
size_t ap_streams_pack(ap_fleet_t *f, msgpack_packer *pk);
/* Likewise for remote regions: those of the whole region, while they may need them. */
void ap_streams_pack_remote(ap_fleet_t *f, msgpack_packer *pk);
/* Applies the arrays of instance @from. Return: false if they are malformed. */
bool ap_streams_apply(ap_fleet_t *f, ap_wire_reader_t *builds, ap_wire_reader_t *streams,
		      ap_wire_reader_t *weights, const char *from, ap_origin_t origin,
		      ap_usec_t now);
/* Keeps what an instance, or this one, said of a stream. Return: as it is kept. */
const ap_stream_t *ap_stream_add(ap_fleet_t *f, const ap_stream_t *stream);
/* Returns the number @i of the streams so far, which has to be one of the latest STREAMS_MAX. */
const ap_stream_t *ap_stream_at(ap_fleet_t *f, uint64_t i);
/* Returns a stream's id in messages; 0 for none. */
uint64_t ap_stream_hash(const char *id);
uint64_t ap_stream_last(const char *last_event);
/*
 * Returns what was told of the stream @id up to the event @last, by whoever took it up last, or
 * else by whoever began it; NULL for nothing.
 */
const ap_stream_t *ap_stream_find(ap_fleet_t *f, uint64_t id, uint64_t last);
/* Returns whether it was told that the stream @id had the build and the weights of @source. */
bool ap_stream_had(ap_fleet_t *f, uint64_t id, const ap_stream_source_t *source);
/* Returns the latest word on the stream @id that names another build; NULL for none. */
const ap_stream_t *ap_stream_other_build(ap_fleet_t *f, uint64_t id, uint64_t build);
/* Returns the instance that told of @stream, if it lists the build and is known here; else NULL. */
const ap_member_state_t *ap_stream_teller(const ap_fleet_t *f, const ap_stream_t *stream);
/* Returns what @stream says, for records; nothing if it is NULL. */
ap_stream_word_t ap_stream_word(ap_fleet_t *f, const ap_stream_t *stream);
/*
 * Returns whether it was told which build began the stream @id. Whoever takes one up may have
 * concluded its build.
 */
bool ap_stream_begin_told(ap_fleet_t *f, uint64_t id);
/*
 * Returns an instance to which a request may go that takes up stream @s, as far as who told of it
 * said: that one, unless it said another region, or else one of the region that it said. Only of
 * those that are there and that @may allows; a suspected one only if there is no other. NULL for
 * none.
 */
const ap_member_state_t *ap_stream_listed_by(ap_fleet_t *f, const ap_stream_t *s,
					     bool (*may)(const void *ctx, const ap_member_t *m),
					     const void *ctx, ap_usec_t now);
/* Likewise for stream @id and the build at which it goes on, by what was told last. */
const ap_member_state_t *ap_stream_lister(ap_fleet_t *f, uint64_t id, uint64_t build,
					  bool (*may)(const void *ctx, const ap_member_t *m),
					  const void *ctx, ap_usec_t now);
/* Packs what is known of the weights of the streams that were packed last, in the same order. */
void ap_stream_weights_pack(ap_fleet_t *f, msgpack_packer *pk);
/* Returns whether a stream of the build was heard of at another version than @source names. */
bool ap_stream_other_weights(ap_fleet_t *f, const ap_stream_source_t *source, ap_usec_t now);

/* lookup.c */
/* Returns whether this instance is told at once of changes in the stream, by whoever told of it. */
bool ap_stream_told_at_once(const ap_fleet_t *f, const ap_stream_t *stream, ap_usec_t now);

/* weights.c */
/* Takes over what the entry of @r says of its models, where it says something new. */
void ap_weights_listed(ap_fleet_t *f, ap_replica_t *r, const ap_replica_entry_t *before,
		       ap_usec_t now);
/* @r is gone; streams that it began may still be taken up. */
void ap_weights_gone(ap_fleet_t *f, const ap_replica_t *r, ap_usec_t now);
/* Returns the version that @r is believed to have of a model; AP_WEIGHTS_ANY if none is known. */
ap_weights_t ap_replica_weights(const ap_replica_t *r, uint64_t model);
/* Returns whether @r may have the version that @req needs. */
bool ap_weights_allow(const ap_replica_t *r, const ap_dispatch_t *req);
/* Returns whether a pool may have several versions of a model's weights. */
bool ap_weights_mixed(ap_fleet_t *f);
/*
 * Finds the only version of a model's weights that @pool has had in the last @kept microseconds;
 * AP_WEIGHTS_ANY if none is known. Return: false if there were several.
 */
bool ap_only_weights(ap_fleet_t *f, const char *pool, uint64_t model, ap_usec_t kept, ap_usec_t now,
		     ap_weights_t *weights);

#endif
