/* Faults of real instances at random: some for each, and some for many at the same moment. */
#ifndef SKEWED_FAULTS_H
#define SKEWED_FAULTS_H

#include "../soak/scenario.h"

/* Faults of an instance, beside each other. */
typedef enum track_kind {
	TRACK_LINKS,
	TRACK_PROCESS,
	TRACK_HERD_OUT, /* with others at the same moment, as the next one */
	TRACK_HERD_KILLED,
	TRACKS,
} track_kind_t;

typedef enum fault {
	FAULT_CUT_OFF,
	FAULT_TURNED_AWAY,
	FAULT_TURNED_AWAY_SILENTLY,
	FAULT_STOPPED,
	FAULT_KILLED,
	FAULTS,
} fault_t;

/* Faults of one instance, one after the other. */
typedef struct track {
	ap_rng_t rng;
	ap_usec_t at;	 /* when the next one begins, or this one ends */
	ap_usec_t lasts; /* the next one of a herd */
	bool on;
	fault_t fault;
} track_t;

typedef struct gate {
	track_t tracks[TRACKS];
	ap_usec_t out_at;     /* last time that it was out of step, otherwise than killed */
	ap_usec_t stopped_at; /* last time that it was stopped */
} gate_t;

typedef struct faults {
	soak_t *s;
	ap_rng_t herds;
	ap_usec_t herd_at;
	unsigned n_herds;
	gate_t gates[SOAK_INSTANCES_MAX];
	unsigned n[FAULTS];
} faults_t;

/* Returns a time in this range. */
ap_usec_t faults_draw(ap_rng_t *rng, unsigned from_ms, unsigned to_ms);
/* One seed gives one schedule. @herds: there are faults of many instances at the same moment. */
void faults_begin(faults_t *f, soak_t *s, uint64_t seed, bool herds, ap_usec_t now);
void faults_turn(faults_t *f, ap_usec_t now);
/* Ends those that are on. */
void faults_end(faults_t *f);

#endif
