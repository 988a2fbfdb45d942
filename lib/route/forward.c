/*
 * Forwards requests to remote regions and admits forwarded ones. A sender forwards only when the
 * wait in its own region would take most of the time until the deadline, and only its share of the
 * announced capacity. A receiver raises the rate that it accepts as its caches warm and lowers it
 * when forwarded requests are late.
 */
#include "route/state.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OFFER_LIFE (5 * AP_SEC)	       /* age at which an offer expires */
#define LOCAL_WAIT_PART 0.5	       /* of the time left that a wait in the own region may take */
#define FORWARD_ON 0.5		       /* mean wait ratio that starts forwarding */
#define FORWARD_OFF 0.25	       /* mean wait ratio that ends forwarding */
#define WAIT_RATIO_MAX 4.0	       /* bound on the ratio of a single request */
#define WAIT_RATIO_TIME (2 * AP_SEC)   /* time constant of the mean wait ratio */
#define SENDERS_MAX 1.0		       /* regions assumed to share an offer */
#define SHARE_BURST_SECONDS 5.0	       /* seconds of its share that an entry may save up */
#define SHARE_BURST_MIN 4.0	       /* requests that an entry with a small share may save up */
#define REFUSED_PAUSE (2 * AP_SEC)     /* without forwarding to a region that refused a request */
#define FORWARDED_START 0.25	       /* share of spare capacity offered while caches are cold */
#define FORWARDED_GROWTH (10 * AP_SEC) /* time constant of the accepted rate's growth */
#define FORWARDED_RATE_TIME (5.0 * AP_SEC) /* time constant of the rate of forwarded requests */
#define FORWARDED_CUT 0.7		   /* factor on the accepted rate for each late request */
#define FORWARDED_FORGET (120 * AP_SEC)	   /* without requests until caches count as cold again */
#define OFFER_UTILISATION_MAX 0.8	   /* utilisation above which nothing is offered */

/* Tokens of an offer that a request of each class must leave for higher classes. */
static const double reserved_tokens[AP_CLASS_COUNT] = {0, 0, 2};

ap_model_state_t *ap_route_model(ap_route_t *r, const char *model)
{
	ap_model_state_t *state = NULL;

	HASH_FIND_STR(r->models, model, state);
	if (state)
		return state;
	state = calloc(1, sizeof(*state));
	if (!state)
		return NULL;
	ap_copy_name(state->model, sizeof(state->model), model);
	HASH_ADD_STR(r->models, model, state);
	return state;
}

void ap_forward_clear(ap_route_t *r)
{
	ap_offer_state_t *offer = r->offers;
	ap_model_state_t *model = r->models;

	HASH_CLEAR(hh, r->offers);
	HASH_CLEAR(hh, r->models);
	while (offer) {
		ap_offer_state_t *next = offer->hh.next;

		free(offer);
		offer = next;
	}
	while (model) {
		ap_model_state_t *next = model->hh.next;

		free(model);
		model = next;
	}
}

static void offer_key(char key[2 * AP_NAME_MAX], const char *region, const char *model)
{
	snprintf(key, 2 * AP_NAME_MAX, "%s/%s", region, model);
}

void ap_route_remote_offer(ap_route_t *r, const ap_capacity_offer_t *offer, ap_usec_t now)
{
	char key[2 * AP_NAME_MAX];
	ap_offer_state_t *state = NULL;

	if (strcmp(offer->region, r->config.region) == 0)
		return;
	offer_key(key, offer->region, offer->model);
	HASH_FIND_STR(r->offers, key, state);
	if (!state) {
		if (HASH_COUNT(r->offers) >= AP_OFFERS_MAX)
			return;
		state = calloc(1, sizeof(*state));
		if (!state)
			return;
		ap_copy_name(state->key, sizeof(state->key), key);
		state->filled_at = now;
		state->tokens = SHARE_BURST_MIN;
		HASH_ADD_STR(r->offers, key, state);
	} else if (offer->at < state->last.at) {
		return;
	}
	state->last = *offer;
}

/* The part of an offered rate, in requests per second, that this entry may use. */
static double own_share(const ap_route_t *r, double rate)
{
	double senders = fmin(SENDERS_MAX, fmax((double)r->remote_regions, 1));

	return rate / senders / (double)r->entries_here;
}

/* Adds the tokens that became available since the last refill. */
static void refill(const ap_route_t *r, ap_offer_state_t *offer, ap_usec_t now)
{
	double elapsed = (double)(now - offer->filled_at) / (double)AP_SEC;
	double share = own_share(r, offer->last.rate);
	double burst = fmax(SHARE_BURST_MIN, share * SHARE_BURST_SECONDS);

	if (elapsed > 0)
		offer->tokens = fmin(offer->tokens + share * elapsed, burst);
	offer->filled_at = now;
}

/* May a request be forwarded by this offer now? */
static bool may_use(const ap_route_t *r, ap_offer_state_t *offer, const char *model, ap_class_t cls,
		    ap_usec_t now)
{
	if (strcmp(offer->last.model, model) != 0 || now - offer->last.at > OFFER_LIFE)
		return false;
	if (offer->last.rate <= 0 || now < offer->refused_until)
		return false;
	refill(r, offer, now);
	return offer->tokens >= 1 + reserved_tokens[cls];
}

/* Updates the mean wait ratio. Return: true while requests of the class may be forwarded. */
static bool update_forwarding(ap_model_state_t *state, ap_class_t cls, double wait_ratio,
			      ap_usec_t now)
{
	double keep = exp(-(double)(now - state->wait_ratio_at[cls]) / (double)WAIT_RATIO_TIME);

	wait_ratio = fmin(wait_ratio, WAIT_RATIO_MAX);
	state->wait_ratio[cls] = keep * state->wait_ratio[cls] + (1 - keep) * wait_ratio;
	state->wait_ratio_at[cls] = now;
	if (state->wait_ratio[cls] >= FORWARD_ON)
		state->forwarding[cls] = true;
	else if (state->wait_ratio[cls] <= FORWARD_OFF)
		state->forwarding[cls] = false;
	return state->forwarding[cls];
}

/*
 * Rendezvous score of an offer for the prompt's prefix: each prefix goes to one region, so that not
 * all regions compute it anew.
 */
static double affinity(const ap_request_t *req, const ap_offer_state_t *offer)
{
	uint64_t prefix;

	if (!ap_route_prefix_key(req, &prefix))
		prefix = ap_hash_str(offer->key, 1);
	return ap_rendezvous(prefix, ap_hash_str(offer->key, 0), offer->last.rate);
}

ap_offer_state_t *ap_forward_choose(ap_route_t *r, const ap_request_t *req,
				    const ap_candidate_set_t *set, double wait, ap_usec_t now)
{
	const char *model = set->model ? set->model->name : req->service->name;
	double prefill = set->model ? set->model->prefill_us * req->tokens_in : 0;
	double left = (double)(req->deadline - now);
	ap_model_state_t *state = set->state;
	ap_offer_state_t *best = NULL;
	ap_offer_state_t *offer;
	ap_offer_state_t *next;
	double best_affinity = 0;

	if (req->forwarded || req->local_only || req->service->home_bound || !set->has_remote)
		return NULL;
	if (!update_forwarding(state, req->cls, wait / fmax(left, 1), now) ||
	    wait <= left * LOCAL_WAIT_PART)
		return NULL;
	HASH_ITER (hh, r->offers, offer, next) {
		double remote_wait = (double)offer->last.wait + AP_REMOTE_REGION_RTT + prefill;
		double score;

		if (!may_use(r, offer, model, req->cls, now) || remote_wait >= wait ||
		    remote_wait > left)
			continue;
		score = affinity(req, offer);
		if (best && score <= best_affinity)
			continue;
		best = offer;
		best_affinity = score;
	}
	return best;
}

void ap_forward_sent(ap_route_t *r, const char *region, const char *model, ap_usec_t now)
{
	char key[2 * AP_NAME_MAX];
	ap_offer_state_t *offer = NULL;

	offer_key(key, region, model);
	HASH_FIND_STR(r->offers, key, offer);
	if (!offer)
		return;
	refill(r, offer, now);
	offer->tokens = fmax(offer->tokens - 1, 0);
}

void ap_route_forward_refused(ap_route_t *r, const char *region, const char *model, ap_usec_t now)
{
	char key[2 * AP_NAME_MAX];
	ap_offer_state_t *offer = NULL;

	offer_key(key, region, model);
	HASH_FIND_STR(r->offers, key, offer);
	if (offer)
		offer->refused_until = now + REFUSED_PAUSE;
}

/* Further requests per second that the region could serve with warm caches; may be negative. */
static double spare_rate(const ap_candidate_set_t *set, double service_us, ap_usec_t now)
{
	double load = 0;
	double batch = 0;
	double spare;

	for (size_t i = 0; i < set->n; i++) {
		const ap_node_t *node = set->nodes[i];

		if (ap_node_draining(node, now) || node->health == AP_HEALTH_EJECTED ||
		    now < node->paused_until)
			continue;
		load += fmin(ap_node_load(node, service_us, now).mean, 2 * node->batch);
		batch += node->batch;
	}
	spare = batch * OFFER_UTILISATION_MAX - load;
	return spare * AP_SEC / (service_us > 0 ? service_us : SERVICE_US_DEFAULT);
}

/* The candidates for @model, which may be the name of a plain service; NULL for none. */
static ap_candidate_set_t *candidates_of_model(ap_route_t *r, const char *model)
{
	const ap_conf_t *conf = r->view ? r->view->conf : NULL;

	for (size_t i = 0; conf && i < conf->n_services; i++) {
		const ap_service_t *service = &conf->services[i];
		ap_request_t req = {.service = service, .model = service->plain ? NULL : model};
		ap_candidate_set_t *set;

		if (service->plain && strcmp(service->name, model) != 0)
			continue;
		set = ap_route_candidates(r, &req);
		if (set && set->n > 0)
			return set;
	}
	return NULL;
}

/* Current rate of forwarded requests at this entry. */
static double forwarded_per_second(const ap_model_state_t *state, ap_usec_t now)
{
	double fade = exp(-(double)(now - state->forwarded_seen_at) / (double)FORWARDED_RATE_TIME);

	return state->forwarded_seen * fade * AP_SEC / FORWARDED_RATE_TIME;
}

/*
 * Raises the accepted rate towards the spare rate as caches warm. The load includes the forwarded
 * requests that are already here, so their rate is added to the spare rate.
 */
static void ramp_forwarded_rate(const ap_route_t *r, ap_model_state_t *state, double spare,
				ap_usec_t now)
{
	double start;
	double elapsed = (double)(now - state->forwarded_rate_at);

	spare = fmax(spare + forwarded_per_second(state, now) * (double)r->entries_here, 0);
	start = spare * FORWARDED_START;
	if (now - state->forwarded_seen_at > FORWARDED_FORGET)
		state->forwarded_rate = start;
	else
		state->forwarded_rate *= exp(elapsed / (double)FORWARDED_GROWTH);
	state->forwarded_rate = fmin(fmax(state->forwarded_rate, start), spare);
	state->forwarded_rate_at = now;
}

ap_capacity_offer_t ap_route_own_offer(ap_route_t *r, const char *model, ap_usec_t now)
{
	ap_capacity_offer_t offer = {.at = now};
	ap_candidate_set_t *set = candidates_of_model(r, model);
	ap_model_state_t *state = ap_route_model(r, model);
	double service_us;

	ap_copy_name(offer.region, sizeof(offer.region), r->config.region);
	ap_copy_name(offer.model, sizeof(offer.model), model);
	if (!set || !state)
		return offer;
	service_us = state->service_us;
	ramp_forwarded_rate(r, state, spare_rate(set, service_us, now), now);
	offer.rate = state->forwarded_rate;
	return offer;
}

bool ap_forwarded_allows(ap_route_t *r, const char *model, ap_usec_t now)
{
	ap_model_state_t *state = ap_route_model(r, model);
	double share;
	double elapsed;

	if (!state)
		return false;
	ap_route_own_offer(r, model, now);
	share = state->forwarded_rate / (double)r->entries_here;
	elapsed = (double)(now - state->forwarded_filled_at) / (double)AP_SEC;
	state->forwarded_filled_at = now;
	state->forwarded_tokens = fmin(state->forwarded_tokens + share * elapsed,
				       fmax(1, share * SHARE_BURST_SECONDS));
	return state->forwarded_rate > 0 && state->forwarded_tokens >= 1;
}

void ap_forwarded_started(ap_route_t *r, const char *model, ap_usec_t now)
{
	ap_model_state_t *state = ap_route_model(r, model);

	if (!state)
		return;
	state->forwarded_tokens = fmax(state->forwarded_tokens - 1, 0);
	state->forwarded_seen = forwarded_per_second(state, now) * FORWARDED_RATE_TIME / AP_SEC + 1;
	state->forwarded_seen_at = now;
}

void ap_forwarded_first_token(ap_route_t *r, const char *model, bool late)
{
	ap_model_state_t *state = ap_route_model(r, model);

	if (!state)
		return;
	if (late)
		state->forwarded_rate *= FORWARDED_CUT;
}
