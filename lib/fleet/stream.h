/*
 * What a stream that goes on elsewhere has to keep: the build of the upstream that began it and the
 * version of the weights that made the last event that its caller has.
 */
#ifndef AP_FLEET_STREAM_H
#define AP_FLEET_STREAM_H

#include "fleet/fleet.h"

/**
 * struct ap_stream_source - what served a stream.
 * @build: that sent its first event
 * @weights: version that made its events from number @since on; 0 for the first one on
 * @since: of a stream that was taken up, the last event that its caller had
 */
typedef struct ap_stream_source {
	uint64_t build;
	ap_weights_t weights;
	uint64_t since;
} ap_stream_source_t;

/* How it is known where a stream goes on. */
typedef enum ap_stream_evidence {
	AP_STREAM_UNKNOWN,
	AP_STREAM_NEW,	      /* it begins */
	AP_STREAM_NAMED,      /* the instance that forwarded the request said so */
	AP_STREAM_TOLD,	      /* the instance that served it said so, or is this one */
	AP_STREAM_ASKED,      /* an instance that was asked said so */
	AP_STREAM_ONLY_BUILD, /* nothing was heard of it, and its pool had one build as it began */
	AP_STREAM_EVIDENCES,  /* number of kinds */
} ap_stream_evidence_t;

/* Returns its name in records and metrics. */
const char *ap_stream_evidence_name(ap_stream_evidence_t evidence);

/**
 * struct ap_stream_view - what this instance knows of a route's pools and of the other instances.
 * @builds: builds that the pools have, or had lately
 * @others: other instances of the region that are listed
 * @unheard: of these, not heard lately
 */
typedef struct ap_stream_view {
	size_t builds;
	size_t others;
	size_t unheard;
} ap_stream_view_t;

/** ap_fleet_stream_view() - for the record of a stream that is taken up. */
ap_stream_view_t ap_fleet_stream_view(ap_fleet_t *f, const ap_plan_route_t *route, ap_usec_t now);
/** ap_fleet_stream_served() - the stream of request @id has events from @source. */
void ap_fleet_stream_served(ap_fleet_t *f, const char *id, const ap_stream_source_t *source,
			    ap_usec_t now);
/**
 * struct ap_stream_question - a stream that a caller takes up.
 * @id: of the request that brought its first event; NULL if the caller doesn't say
 * @customer: who takes it up; NULL if unknown
 * @model: that it names
 * @last_event: id of the last event that the caller has
 * @named: the build and version of the weights, as far as the instance that forwarded it named them
 * @asked_at: when the request came
 * @guest: an instance forwarded it, which can send it elsewhere
 */
typedef struct ap_stream_question {
	const char *id;
	const ap_plan_route_t *route;
	const ap_customer_t *customer;
	uint64_t model;
	const char *last_event;
	ap_stream_source_t named;
	ap_usec_t asked_at;
	bool guest;
} ap_stream_question_t;

/* Who saw that a stream began, the nearest first. */
typedef enum ap_origin {
	AP_ORIGIN_SELF,
	AP_ORIGIN_REGION,
	AP_ORIGIN_REMOTE
} ap_origin_t;

/* Returns its name in records. */
const char *ap_origin_name(ap_origin_t origin);

/**
 * struct ap_stream_word - what was told of a stream, for records.
 * @build: that it names; 0 if nothing was told
 * @at: when it came
 * @by: the instance that told it, if it lists the build and is known here; else empty
 */
typedef struct ap_stream_word {
	uint64_t build;
	ap_origin_t origin;
	ap_usec_t at;
	char by[AP_NAME_MAX];
} ap_stream_word_t;

/**
 * struct ap_stream_place - where a stream goes on.
 * @evidence: how it is known; AP_STREAM_UNKNOWN if it can't go on
 * @told: what was told of it
 * @other: the latest word on it that names another build, if there is one
 * @concluded: only whoever took it up told of it, and may have concluded its build; others are
 * asked
 * @reachable: upstreams of its build are listed here, or, after a lookup, by an instance that may
 *             get the request
 * @unconfirmed: its version of the weights may have changed since it was told of; who was told of a
 *               change at once is to be asked
 * @pool: of the build, if an instance that was asked said so; else empty
 */
typedef struct ap_stream_place {
	ap_stream_evidence_t evidence;
	ap_stream_source_t source;
	ap_stream_word_t told;
	ap_stream_word_t other;
	bool concluded;
	bool reachable;
	bool unconfirmed;
	char pool[AP_NAME_MAX];
} ap_stream_place_t;

/** ap_fleet_stream_place() - finds at which build and weights a stream has to go on. */
ap_stream_place_t ap_fleet_stream_place(ap_fleet_t *f, const ap_stream_question_t *q,
					ap_usec_t now);

/* Streams of which nothing was heard: lookup.c */
typedef struct ap_stream_lookup ap_stream_lookup_t;

/**
 * ap_fleet_lookup_begin() - asks the instances that may know where a stream goes on.
 * @q: its id and route have to stay until ap_fleet_lookup_end()
 *
 * Return: NULL when out of memory.
 */
ap_stream_lookup_t *ap_fleet_lookup_begin(ap_fleet_t *f, const ap_stream_question_t *q,
					  const ap_peer_port_t *peer, ap_usec_t now);
/**
 * ap_fleet_lookup_wants_read() - returns whether the store has to be read to decide: a call that is
 * made from now on may show that the pool has had one build only.
 */
bool ap_fleet_lookup_wants_read(ap_fleet_t *f, const ap_stream_lookup_t *l, ap_usec_t now);
/** ap_fleet_lookup_done() - Return: false while it isn't decided; else @place is set. */
bool ap_fleet_lookup_done(ap_fleet_t *f, ap_stream_lookup_t *l, ap_usec_t now,
			  ap_stream_place_t *place);
void ap_fleet_lookup_end(ap_stream_lookup_t *l);
/**
 * ap_fleet_tell_streams() - tells a few instances of the streams that began here, or changed, since
 * the last call. To be called after each ap_fleet_stream_served(): the caller may take the stream
 * up as soon as it has the event.
 */
void ap_fleet_tell_streams(ap_fleet_t *f, const ap_peer_port_t *peer, ap_usec_t now);
/**
 * ap_fleet_receive_stream() - processes a question about a stream, or an answer, of instance @from.
 *
 * Return: false when the message is invalid, or another one.
 */
bool ap_fleet_receive_stream(ap_fleet_t *f, const ap_peer_port_t *peer, const char *from,
			     const void *data, size_t len, ap_usec_t now);
/** ap_fleet_weights() - what the upstream @id is believed to have; AP_WEIGHTS_ANY for unknown. */
ap_weights_t ap_fleet_weights(ap_fleet_t *f, const char *id, uint64_t model);
/** ap_fleet_weights_seen() - the upstream @id named the version of a model's weights. */
void ap_fleet_weights_seen(ap_fleet_t *f, const char *id, uint64_t model, ap_weights_t weights,
			   ap_usec_t now);
/** ap_fleet_weights_refused() - the upstream @id has another version than @weights. */
void ap_fleet_weights_refused(ap_fleet_t *f, const char *id, uint64_t model, ap_weights_t weights,
			      ap_usec_t now);
/** ap_fleet_build_pool() - returns the pool of @build; NULL if no listed upstream has it. */
const char *ap_fleet_build_pool(const ap_fleet_t *f, uint64_t build);

/* Announced stops of upstreams: leaving.c */
/**
 * struct ap_stop - when an upstream stops, whatever it is processing, as its entry announced.
 * @earliest: it doesn't before; ends of its responses are doubted from then on
 * @latest: it has by then
 *
 * The entry says how much time is left as it is written, which was between the reading before it
 * and its arrival.
 */
typedef struct ap_stop {
	ap_usec_t earliest;
	ap_usec_t latest;
} ap_stop_t;

/**
 * ap_fleet_set_known_at() - what the entries that are updated next say was written after @at, as
 * far as entries of the same upstreams were known before; 0 if no such time is known.
 */
void ap_fleet_set_known_at(ap_fleet_t *f, ap_usec_t at);
/**
 * ap_fleet_stop() - returns whether upstream @id is known to have announced its stop, which is kept
 * for a while after its entry is gone.
 */
bool ap_fleet_stop(const ap_fleet_t *f, const char *id, ap_stop_t *stop);
/**
 * ap_fleet_may_have_stopped() - returns whether upstream @id may have reached the stop that it
 * announced by @at.
 */
bool ap_fleet_may_have_stopped(const ap_fleet_t *f, const char *id, ap_usec_t at);

#endif
