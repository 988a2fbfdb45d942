/* Callers that take streams up at another instance. */
#ifndef SKEWED_CALLER_H
#define SKEWED_CALLER_H

#include "../soak/scenario.h"

#define CALLER_ARRIVALS_MAX 8 /* that are kept */

/* An arrival of a request at an upstream; the version of the software is "" if it names none. */
typedef struct caller_arrival {
	char at[AP_NAME_MAX];
	const char *version;
	unsigned runs; /* of the request before it */
	bool goes_on;  /* after an event */
} caller_arrival_t;

typedef struct caller {
	LIST_ENTRY(caller) link;
	request_t *q;
	ap_http_fetch_t *fetch;
	const char *version; /* of the upstream that got it last; NULL for none */
	caller_arrival_t arrivals[CALLER_ARRIVALS_MAX];
	unsigned n_arrivals;
	char by[AP_NAME_MAX]; /* upstream that its response names */
	int status;
	bool says_when; /* a refusal, when to come again */
	unsigned events;
	ap_usec_t ended_at;
} caller_t;

/* Starts the deployment with upstreams that name no versions of the weights. */
int caller_set_up(void **state);
/* Frees the callers too. */
int caller_tear_down(void **state);

/*
 * Asks @inst for a stream; with @of, for the rest of that caller's. If it can't be asked, the
 * caller has no fetch.
 */
caller_t *caller_ask(soak_t *s, const instance_t *inst, const caller_t *of);
/*
 * Forwards the rest of @of's stream to @inst as another instance would that names @version of the
 * pool @pool for it.
 * @evidence: how it says that it knows; NULL: it doesn't, as instances up to 2fb350c
 */
caller_t *caller_forward(soak_t *s, const instance_t *inst, const caller_t *of, const char *pool,
			 const char *version, const char *evidence);
void caller_leave(caller_t *c);

#endif
