/*
 * Membership: which entries are alive. Each entry pings a few neighbours of its region; a
 * suspicion needs a second witness before it counts. Records of all regions spread by gossip
 * within a region and through a few delegates between regions. Pure decisions.
 */
#ifndef AP_MEMBER_H
#define AP_MEMBER_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"

typedef enum ap_member_status {
	AP_MEMBER_OK,
	AP_MEMBER_MALFORMED, /* the message is not one of membership */
} ap_member_status_t;

typedef enum ap_member_state {
	AP_MEMBER_LISTED,   /* only in the platform's list; never heard of */
	AP_MEMBER_ALIVE,    /* heard of by its own region */
	AP_MEMBER_SUSPECT,  /* alive, but a neighbour misses it */
	AP_MEMBER_DRAINING, /* finishes what it has and takes no new callers */
	AP_MEMBER_DEAD,	    /* left, or missed by enough witnesses */
} ap_member_state_t;

const char *ap_member_state_name(ap_member_state_t state);

/**
 * struct ap_member_info - one entry as this process knows it.
 * @since: when @state began, on the own clock
 * @reachable: its region was heard of lately; always true in the own region
 */
typedef struct ap_member_info {
	ap_entry_t entry;
	ap_member_state_t state;
	ap_usec_t since;
	bool reachable;
} ap_member_info_t;

/**
 * struct ap_member_config - made once at start.
 * @self: own record with its incarnation
 * @epoch: start time in wall milliseconds; orders the incarnations of one id
 * @seed: of its random choices
 * @ctx: passed to the callbacks below
 * @known: a new or changed address, told before anything is sent there; may be NULL
 * @changed: ap_member_list() would now give another answer; may be NULL
 * @superseded: a later process runs under the own id: drain and stop; may be NULL
 */
typedef struct ap_member_config {
	ap_entry_t self;
	uint64_t epoch;
	uint64_t seed;
	ap_peer_port_t peer;
	ap_env_t env;
	void *ctx;
	void (*address_changed)(void *ctx, const ap_entry_t *entry);
	void (*changed)(void *ctx);
	void (*superseded)(void *ctx);
} ap_member_config_t;

typedef struct ap_member ap_member_t;

ap_member_t *ap_member_new(const ap_member_config_t *config, ap_usec_t now);
void ap_member_free(ap_member_t *m);
/** ap_member_set_listed() - takes a reading of the platform's instance list (entries only). */
void ap_member_set_listed(ap_member_t *m, const ap_entry_t *entries, size_t n, ap_usec_t now);
/** ap_member_receive() - takes a whole message of kind AP_WIRE_MEMBER. */
ap_member_status_t ap_member_receive(ap_member_t *m, const char *from, const void *data, size_t len,
				     ap_usec_t now, ap_err_t *err);
/** ap_member_tick() - due work; call it every 100 to 250 ms. */
void ap_member_tick(ap_member_t *m, ap_usec_t now);
/** ap_member_announce_drain() - tells the region that this entry is leaving. */
void ap_member_announce_drain(ap_member_t *m, ap_usec_t now);
/** ap_member_announce_exit() - tells the region that this process is about to exit. */
void ap_member_announce_exit(ap_member_t *m, ap_usec_t now);

/**
 * ap_member_list() - every known entry but the own one, those of the own region first.
 * @out: room for @max records; may be NULL to count
 *
 * Return: how many there are.
 */
size_t ap_member_list(const ap_member_t *m, ap_member_info_t *out, size_t max, ap_usec_t now);

/**
 * ap_member_entries() - entries to work with, the own one included: alive, suspect and leaving
 * (flagged) ones, and listed ones of regions that were never heard of.
 *
 * Return: how many there are; at most @max are written.
 */
size_t ap_member_entries(const ap_member_t *m, ap_entry_t *out, size_t max);

typedef struct ap_member_stats {
	size_t alive;
	size_t suspect;
	size_t dead;
	uint64_t suspicions; /* raised here */
	uint64_t deaths;     /* concluded here or heard of */
	uint64_t refuted;    /* own death or suspicion denied */
} ap_member_stats_t;

ap_member_stats_t ap_member_stats(const ap_member_t *m);

/**
 * ap_member_rank() - ranks entries for a duty by rendezvous hash.
 * @key: names the duty
 * @region: only entries of this region; NULL for all
 * @data_centre: only entries of this data centre; NULL for all
 * @out: the @k first ones, best first; leaving ones are left out
 *
 * Return: how many were written.
 */
size_t ap_member_rank(const ap_entry_t *entries, size_t n, const char *key, const char *region,
		      const char *data_centre, const ap_entry_t **out, size_t k);
/** ap_member_has_duty() - is @id among the first @k entries for the duty? */
bool ap_member_has_duty(const ap_entry_t *entries, size_t n, const char *key, const char *region,
			const char *data_centre, const char *id, size_t k);

#define AP_DUTY_MAX 8 /* entries that may share one duty */

#endif
