/* Customers: who sends a request, what instances tell each other of it, and counters. */
#include "gateway.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define NO_REGION_RETRY (30 * AP_SEC) /* configurations change less often than callers wait */

static const char *const refusals[] = {
	[AP_HOST_CREDENTIALS_NONE] = "no-key",
	[AP_HOST_CREDENTIALS_MALFORMED] = "malformed-key",
	[AP_HOST_CREDENTIALS_KEY] = "unknown-key",
};

bool gate_customer_find(gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
			const ap_plan_route_t *route, const ap_customer_t **customer)
{
	*customer = NULL;
	if (gate->plan->n_customers == 0)
		return true;
	if (r->credentials == AP_HOST_CREDENTIALS_KEY)
		*customer = ap_plan_customer_of_key(gate->plan, r->key, r->key_len);
	if (*customer || route->open)
		return true;
	gate->customers.refused[r->credentials]++;
	gate->counters.ended[GATE_UNAUTHORIZED]++;
	ap_journal_write(gate->journal, AP_RECORD_RARE, "request.unauthorized", r->id,
			 "s:s,s:s,s:I", "why", refusals[r->credentials], "route", route->name,
			 "version", (json_int_t)gate->plan->version);
	gate_reply_early(call, 401, false, refusals[r->credentials]);
	return false;
}

bool gate_customer_agrees(const gateway_t *gate, ap_http_call_t *call, const ap_plan_route_t *route,
			  const ap_customer_t **customer)
{
	const char *named = ap_http_call_header(call, FORWARD_HEADER_CUSTOMER);
	const char *name = named ? strchr(named, ' ') : NULL;

	*customer = NULL;
	if (!named)
		return !route || route->open || gate->plan->n_customers == 0;
	if (name)
		*customer = ap_plan_find_customer(gate->plan, name + 1);
	if (!*customer)
		return false;
	/* A request goes on if keys of its customer come or go after it began. */
	return (*customer)->hash == strtoull(named, NULL, 16) ||
	       gate_version_superseded(gate, call);
}

ap_http_header_t gate_customer_header(const ap_customer_t *customer,
				      char text[GATE_CUSTOMER_TEXT_MAX])
{
	snprintf(text, GATE_CUSTOMER_TEXT_MAX, "%016" PRIx64 " %s", customer->hash, customer->name);
	return (ap_http_header_t){FORWARD_HEADER_CUSTOMER, text};
}

/*
 * Refuses a request that no region may serve, as the homes of its route and its customer have none
 * in common. That lasts until another version of the configuration.
 */
bool gate_customer_has_region(gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
			      const ap_plan_route_t *route, const ap_customer_t *customer)
{
	if (ap_plan_has_region(route, customer))
		return true;
	gate->counters.ended[GATE_REFUSED]++;
	gate_customer_count(gate, customer, GATE_REFUSED);
	ap_journal_write(gate->journal, AP_RECORD_ORDINARY, "request.no-region", r->id,
			 "s:s,s:s,s:I", "customer", customer->name, "route", route->name, "version",
			 (json_int_t)gate->plan->version);
	gate_reply_later(call, 503, NO_REGION_RETRY, "no-region");
	return false;
}

static void record_over(gateway_t *gate, const ap_host_request_t *r, const ap_customer_t *customer,
			double cost, const ap_quota_verdict_t *v)
{
	ap_journal_write(
		gate->journal, AP_RECORD_ORDINARY, "request.over-allowance", r->id,
		"s:s,s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:I,s:f,s:I,s:I", "customer", customer->name,
		"unit", customer->unit == AP_UNIT_TOKENS ? "tokens" : "requests", "rate_per_s",
		customer->rate, "burst", customer->burst, "cost", cost, "left", v->level,
		"here_per_s", v->used_here, "elsewhere_per_s", v->used_elsewhere, "age_ms",
		(json_int_t)(v->age / AP_MSEC), "silent_share", v->silent, "retry_after_ms",
		(json_int_t)(v->retry_after / AP_MSEC), "version", (json_int_t)gate->plan->version);
}

bool gate_allowance_take(gateway_t *gate, ap_http_call_t *call, const ap_host_request_t *r,
			 const ap_customer_t *customer, double *charged)
{
	ap_quota_verdict_t verdict;
	double cost;

	*charged = 0;
	if (!customer)
		return true;
	cost = ap_customer_cost(customer, r->counted, r->tokens);
	if (ap_quota_take(ap_fleet_quota(gate->fleet), customer, cost, ap_now(), &verdict)) {
		*charged = cost;
		return true;
	}
	gate->counters.ended[GATE_OVER]++;
	gate_customer_count(gate, customer, GATE_OVER);
	record_over(gate, r, customer, cost, &verdict);
	gate_reply_later(call, 429, verdict.retry_after, "over-allowance");
	return false;
}

void gate_allowance_refund(gate_call_t *c)
{
	bool unsent = c->outcome == GATE_DISCONNECTED && c->x.sends == 0;

	if (c->charged > 0 && (c->outcome == GATE_REFUSED || unsent))
		ap_quota_refund(ap_fleet_quota(c->gate->fleet), c->x.req.customer->name, c->charged,
				ap_now());
}

static gate_customer_t *counters_of(gate_customers_t *all, const char *name)
{
	gate_customer_t *c;

	for (size_t i = 0; i < all->n; i++) {
		if (strcmp(all->v[i].name, name) == 0)
			return &all->v[i];
	}
	if (all->n == GATE_CUSTOMERS_MAX)
		return &all->others;
	c = &all->v[all->n++];
	ap_copy_name(c->name, sizeof(c->name), name);
	return c;
}

void gate_customer_count(gateway_t *gate, const ap_customer_t *customer, gate_outcome_t outcome)
{
	if (customer)
		counters_of(&gate->customers, customer->name)->ended[outcome]++;
}

/* Copies a name as the value of a label. */
static void escape(const char *name, char out[2 * AP_NAME_MAX])
{
	size_t n = 0;

	for (; *name; name++) {
		if (*name == '"' || *name == '\\')
			out[n++] = '\\';
		out[n++] = *name;
	}
	out[n] = '\0';
}

static void put_customer(struct evbuffer *out, const gate_customer_t *c, const char *name)
{
	char label[2 * AP_NAME_MAX];

	escape(name, label);
	for (size_t i = 0; i < GATE_OUTCOMES; i++) {
		if (c->ended[i] > 0)
			evbuffer_add_printf(out,
					    "arbutuspond_customer_requests_total{customer=\"%s\","
					    "outcome=\"%s\"} %" PRIu64 "\n",
					    label, gate_outcome_name((gate_outcome_t)i),
					    c->ended[i]);
	}
}

void gate_customer_metrics(const gateway_t *gate, struct evbuffer *out)
{
	const gate_customers_t *all = &gate->customers;

	for (size_t i = 0; i < all->n; i++)
		put_customer(out, &all->v[i], all->v[i].name);
	put_customer(out, &all->others, "");
	for (size_t i = 0; i <= AP_HOST_CREDENTIALS_KEY; i++)
		evbuffer_add_printf(out, "arbutuspond_unauthorized_total{why=\"%s\"} %" PRIu64 "\n",
				    refusals[i], all->refused[i]);
}
