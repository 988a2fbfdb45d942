/* Gauges of the fleet for metrics; included by fleet.h. */
#ifndef AP_FLEET_STATS_H
#define AP_FLEET_STATS_H

#include "fleet/fleet.h"

/**
 * struct ap_skipped - what instances of other builds sent and this one doesn't know.
 * @fields: of messages; the rest of the message was read
 * @kinds: whole messages of an unknown kind
 * @versions: whole messages of a version that isn't spoken
 */
typedef struct ap_skipped {
	uint64_t fields;
	uint64_t kinds;
	uint64_t versions;
} ap_skipped_t;

/**
 * struct ap_fetch_stats - since start.
 * @asked: requests that asked an engine to fetch parts of the prompt
 * @tokens: that were asked for
 * @missed: of @asked, responses so late that nothing seems to have been fetched
 */
typedef struct ap_fetch_stats {
	uint64_t asked;
	uint64_t tokens;
	uint64_t missed;
} ap_fetch_stats_t;

/**
 * struct ap_fleet_stats - gauges for metrics.
 * @unreachable: upstreams to which this instance has lost the path
 * @backoff: upstreams that asked this instance for a pause
 * @suspect_parts: parts of prompts that may crash upstreams
 * @suspect_requests: requests that may, by fingerprint
 * @running: in-flight requests that this instance sent to upstreams
 * @room_pools: plain pools that are busy, so that instances share them
 * @room_forwarded: requests sent to another region since these had no room here
 * @room_refused: requests refused since these had no room
 * @relay_served: instances that this one passes on announcements to
 * @batch_dropped: messages that weren't passed on, since the batch was full
 * @other_wire: listed instances that don't read messages of this one
 */
typedef struct ap_fleet_stats {
	size_t replicas;
	size_t usable;
	size_t draining;
	size_t cold;
	size_t ejected;
	size_t unreachable;
	size_t limited;
	size_t brittle;
	size_t backoff;
	size_t suspect_parts;
	size_t suspect_requests;
	size_t members;
	size_t running;
	size_t room_pools;
	uint64_t room_forwarded;
	uint64_t room_refused;
	size_t relay_served;
	uint64_t batch_dropped;
	size_t other_wire;
	ap_skipped_t skipped;
	ap_fetch_stats_t fetches;
} ap_fleet_stats_t;

ap_fleet_stats_t ap_fleet_stats(const ap_fleet_t *f, ap_usec_t now);

#endif
