/* An instance's own key in the store, kept by a lease that is made again when it has ended. */
#include "follow/follow.h"

#include <stdlib.h>

#define RENEWALS 3 /* in the life of a lease, so that one or two may be lost */
#define RETRY (250 * AP_MSEC)
#define REFUSED_RETRY_DELAY (500 * AP_MSEC)

typedef enum step {
	STEP_LEASE,
	STEP_PUT,
	STEP_RENEW,
} step_t;

struct ap_registration {
	ap_registration_config_t config;
	step_t step;
	bool calling;
	bool dirty; /* the key must be written again */
	uint64_t lease;
	uint64_t revision;
	ap_usec_t due;
};

ap_registration_t *ap_registration_new(const ap_registration_config_t *config, ap_usec_t now)
{
	ap_registration_t *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->config = *config;
	e->due = now;
	return e;
}

void ap_registration_free(ap_registration_t *e)
{
	free(e);
}

void ap_registration_tick(ap_registration_t *e, ap_usec_t now)
{
	if (e->calling || now < e->due)
		return;
	e->calling = true;
	switch (e->step) {
	case STEP_LEASE:
		e->config.lease(e->config.ctx, e->config.ttl);
		break;
	case STEP_PUT:
		e->dirty = false;
		e->config.put(e->config.ctx, e->lease, e->revision);
		break;
	case STEP_RENEW:
		e->config.keep(e->config.ctx, e->lease);
		break;
	}
}

ap_usec_t ap_registration_due(const ap_registration_t *e)
{
	return e->calling ? AP_NEVER : e->due;
}

static void next(ap_registration_t *e, step_t step, ap_usec_t due)
{
	e->step = step;
	e->due = due;
}

static void succeeded(ap_registration_t *e, uint64_t number, ap_usec_t now)
{
	switch (e->step) {
	case STEP_LEASE:
		e->lease = number;
		next(e, STEP_PUT, now);
		break;
	case STEP_PUT:
		e->revision = number;
		next(e, STEP_RENEW, now + e->config.ttl / RENEWALS);
		break;
	case STEP_RENEW:
		next(e, STEP_RENEW, now + e->config.ttl / RENEWALS);
		break;
	}
}

void ap_registration_response(ap_registration_t *e, ap_store_end_t end, uint64_t number,
			      ap_usec_t now)
{
	e->calling = false;
	switch (end) {
	case AP_STORE_OK:
		succeeded(e, number, now);
		break;
	case AP_STORE_CONFLICT:
		e->revision = number;
		next(e, STEP_PUT, now);
		break;
	case AP_STORE_ABSENT:
		e->lease = 0;
		next(e, STEP_LEASE, now);
		break;
	case AP_STORE_COMPACTED:
	case AP_STORE_REFUSED:
		e->due = now + REFUSED_RETRY_DELAY;
		break;
	case AP_STORE_UNSURE:
		e->due = now + RETRY;
		break;
	}
	if (e->dirty && e->step == STEP_RENEW)
		next(e, STEP_PUT, now);
}

void ap_registration_update(ap_registration_t *e, ap_usec_t now)
{
	e->dirty = true;
	if (e->step == STEP_RENEW && !e->calling)
		next(e, STEP_PUT, now);
}

void ap_registration_seen(ap_registration_t *e, uint64_t revision, ap_usec_t now)
{
	if (revision > e->revision)
		e->revision = revision;
	if (revision > 0 || e->step != STEP_RENEW)
		return;
	e->revision = 0;
	ap_registration_update(e, now);
}
