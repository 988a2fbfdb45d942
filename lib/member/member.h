/*
 * Membership: which instances are alive. Each instance pings a few neighbours of its region and
 * suspects one that does not acknowledge; a member is declared dead only when a second instance
 * suspects it too, unless no other one is left. Records of all regions spread by gossip within a
 * region and through a few delegates between regions. The code does no I/O; time and messages are
 * passed in.
 */
#ifndef AP_MEMBER_H
#define AP_MEMBER_H

#include "base/base.h"
#include "conf/conf.h"
#include "port/port.h"

typedef enum ap_member_status {
	AP_MEMBER_OK,
	AP_MEMBER_MALFORMED, /* not a well-formed membership message */
} ap_member_status_t;

/* In order: of two records of one version, the one with the later state wins. */
typedef enum ap_member_state {
	AP_MEMBER_LISTED,   /* in the platform's list; no record of it was received */
	AP_MEMBER_ALIVE,    /* announced itself */
	AP_MEMBER_SUSPECT,  /* alive, but at least one member gets no acknowledgement from it */
	AP_MEMBER_DRAINING, /* completes its in-flight requests and takes no new callers */
	AP_MEMBER_DEAD,	    /* exited, or suspected by enough members */
} ap_member_state_t;

const char *ap_member_state_name(ap_member_state_t state);

/**
 * struct ap_member_info - one instance as this process knows it.
 * @since: when @state began, on the clock of this process
 * @reachable: news of its region is recent; always true in the own region
 */
typedef struct ap_member_info {
	ap_entry_t entry;
	ap_member_state_t state;
	ap_usec_t since;
	bool reachable;
} ap_member_info_t;

/**
 * struct ap_member_config - copied by ap_member_new().
 * @self: own record with its incarnation
 * @epoch: start time in milliseconds of the wall clock; orders the incarnations of one id
 * @seed: seed of the random choices
 * @ctx: passed to the callbacks below
 * @address_changed: @entry is new or its address may have changed; called before anything is sent
 *                   there; may be NULL
 * @changed: the result of ap_member_list() has changed; may be NULL
 * @superseded: a later process runs under the own id, so this one should drain and stop; may be
 *              NULL
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

/** ap_member_new() - Return: to be freed with ap_member_free(), or NULL without memory. */
ap_member_t *ap_member_new(const ap_member_config_t *config, ap_usec_t now);
void ap_member_free(ap_member_t *m);
/**
 * ap_member_set_listed() - sets the gateway instances of the platform's list. Those that were
 * listed before and are not in @entries are forgotten, unless they are live or died recently.
 */
void ap_member_set_listed(ap_member_t *m, const ap_entry_t *entries, size_t n, ap_usec_t now);
/**
 * ap_member_receive() - handles a whole message of kind AP_WIRE_MEMBER.
 * @from: id of the sender
 */
ap_member_status_t ap_member_receive(ap_member_t *m, const char *from, const void *data, size_t len,
				     ap_usec_t now, ap_err_t *err);
/** ap_member_tick() - sends what is due and checks timeouts; call it every 100 to 250 ms. */
void ap_member_tick(ap_member_t *m, ap_usec_t now);
/** ap_member_announce_drain() - tells the region that this instance is draining. */
void ap_member_announce_drain(ap_member_t *m, ap_usec_t now);
/** ap_member_announce_exit() - tells the region that this process is about to exit. */
void ap_member_announce_exit(ap_member_t *m, ap_usec_t now);

/**
 * ap_member_list() - lists every known instance but the own one, those of the own region first.
 * @out: holds up to @max records; may be NULL to count
 *
 * Return: how many there are.
 */
size_t ap_member_list(const ap_member_t *m, ap_member_info_t *out, size_t max, ap_usec_t now);

/**
 * ap_member_entries() - lists the instances to work with, the own one included: alive, suspect and
 * draining ones (the latter with @draining set), and listed ones of regions without any news yet.
 *
 * Return: how many there are; at most @max are written.
 */
size_t ap_member_entries(const ap_member_t *m, ap_entry_t *out, size_t max);

typedef struct ap_member_stats {
	size_t alive; /* alive, suspect and draining, of all regions, the own instance included */
	size_t suspect;
	size_t dead;
	uint64_t suspicions; /* raised by this instance */
	uint64_t deaths;     /* declared by this instance or received from others */
	uint64_t refuted;    /* suspicions and deaths of this instance that it refuted */
} ap_member_stats_t;

ap_member_stats_t ap_member_stats(const ap_member_t *m);

/**
 * ap_member_rank() - ranks instances for a duty by rendezvous hash, draining ones left out.
 * @key: names the duty
 * @region: only instances of this region; NULL for all
 * @data_centre: only instances of this data centre; NULL for all
 * @out: the @k first ones, best first, at most AP_DUTY_MAX; they point into @entries
 *
 * Return: how many were written.
 */
size_t ap_member_rank(const ap_entry_t *entries, size_t n, const char *key, const char *region,
		      const char *data_centre, const ap_entry_t **out, size_t k);
/** ap_member_has_duty() - Return: whether @id is among the first @k instances for the duty. */
bool ap_member_has_duty(const ap_entry_t *entries, size_t n, const char *key, const char *region,
			const char *data_centre, const char *id, size_t k);

#define AP_DUTY_MAX 8 /* instances that may share one duty */

#endif
