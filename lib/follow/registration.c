/* Keeps an instance's own key in the store under a lease; creates a new lease when it expires. */
#include "follow/follow.h"

#include <stdlib.h>

#define RENEWALS 3 /* per TTL of a lease, so that one or two may be lost */
#define RETRY_DELAY (250 * AP_MSEC)
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
	bool dirty;    /* the key must be written again */
	bool outdated; /* the call in progress is of an earlier era */
	uint64_t era;
	uint64_t lease;
	uint64_t revision;
	ap_usec_t due;
};

ap_registration_t *ap_registration_new(const ap_registration_config_t *config, ap_usec_t now)
{
	ap_registration_t *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->config = *config;
	r->due = now;
	return r;
}

void ap_registration_free(ap_registration_t *r)
{
	free(r);
}

void ap_registration_tick(ap_registration_t *r, ap_usec_t now)
{
	if (r->calling || now < r->due)
		return;
	r->calling = true;
	switch (r->step) {
	case STEP_LEASE:
		r->config.create_lease(r->config.ctx, r->config.ttl);
		break;
	case STEP_PUT:
		r->dirty = false;
		r->config.put(r->config.ctx, r->lease, r->revision);
		break;
	case STEP_RENEW:
		r->config.renew_lease(r->config.ctx, r->lease);
		break;
	}
}

ap_usec_t ap_registration_due(const ap_registration_t *r)
{
	return r->calling ? AP_NEVER : r->due;
}

static void next(ap_registration_t *r, step_t step, ap_usec_t due)
{
	r->step = step;
	r->due = due;
}

static void succeeded(ap_registration_t *r, uint64_t lease_or_revision, ap_usec_t now)
{
	switch (r->step) {
	case STEP_LEASE:
		r->lease = lease_or_revision;
		next(r, STEP_PUT, now);
		break;
	case STEP_PUT:
		r->revision = lease_or_revision;
		next(r, STEP_RENEW, now + r->config.ttl / RENEWALS);
		break;
	case STEP_RENEW:
		next(r, STEP_RENEW, now + r->config.ttl / RENEWALS);
		break;
	}
}

void ap_registration_response(ap_registration_t *r, ap_store_end_t end, uint64_t lease_or_revision,
			      ap_usec_t now)
{
	r->calling = false;
	if (r->outdated) {
		r->outdated = false;
		return;
	}
	switch (end) {
	case AP_STORE_OK:
		succeeded(r, lease_or_revision, now);
		break;
	case AP_STORE_CONFLICT:
		r->revision = lease_or_revision;
		next(r, STEP_PUT, now);
		break;
	case AP_STORE_ABSENT: /* taken to mean that the lease has expired */
		r->lease = 0;
		next(r, STEP_LEASE, now);
		break;
	case AP_STORE_COMPACTED:
	case AP_STORE_REFUSED:
		r->due = now + REFUSED_RETRY_DELAY;
		break;
	case AP_STORE_UNSURE:
		r->due = now + RETRY_DELAY;
		break;
	}
	if (r->dirty && r->step == STEP_RENEW)
		next(r, STEP_PUT, now);
}

void ap_registration_set_era(ap_registration_t *r, uint64_t era, ap_usec_t now)
{
	if (era == r->era)
		return;
	if (r->era > 0) {
		r->outdated = r->calling;
		r->lease = 0;
		r->revision = 0;
		next(r, STEP_LEASE, now);
	}
	r->era = era;
}

void ap_registration_update(ap_registration_t *r, ap_usec_t now)
{
	r->dirty = true;
	if (r->step == STEP_RENEW && !r->calling)
		next(r, STEP_PUT, now);
}

void ap_registration_seen(ap_registration_t *r, uint64_t revision, ap_usec_t now)
{
	if (revision > r->revision)
		r->revision = revision;
	if (revision > 0 || r->step != STEP_RENEW)
		return;
	r->revision = 0;
	ap_registration_update(r, now);
}
