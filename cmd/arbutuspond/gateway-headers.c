/*
 * Headers of requests to upstreams and other instances, and of responses to callers and to the
 * instance that forwarded a request.
 */
#include "gateway.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#define PRIORITY_OMITTED 10 /* above the platform's scale: no priority header is sent */

/* Removes headers that are meant for instances only. */
static void drop_forward_headers(ap_host_headers_t *headers)
{
	size_t kept = 0;

	for (size_t i = 0; i < headers->n; i++) {
		if (strncasecmp(headers->v[i].name, FORWARD_HEADER_PREFIX,
				strlen(FORWARD_HEADER_PREFIX)) != 0)
			headers->v[kept++] = headers->v[i];
	}
	headers->n = kept;
}

static bool add(ap_host_headers_t *headers, ap_http_header_t header)
{
	return ap_host_add_header(headers, header.name, header.value);
}

static void format_build(uint64_t build, char text[BUILD_TEXT_MAX])
{
	snprintf(text, BUILD_TEXT_MAX, "%llx", (unsigned long long)build);
}

static void format_msec(ap_usec_t span, char text[24])
{
	snprintf(text, 24, "%lld", (long long)(span / AP_MSEC));
}

bool gate_send_headers(gate_call_t *c, const ap_target_t *target, const char *last_event,
		       gate_text_t *text, ap_host_headers_t *headers)
{
	const ap_customer_t *customer = c->x.req.customer;
	ap_usec_t now = ap_now();
	ap_host_upstream_request_t request = {
		.caller_headers = ap_http_call_headers(c->call),
		.upstream = target->remote ? NULL : target->id,
		.time_left = c->x.timeout_at - now,
		.priority = target->remote ? PRIORITY_OMITTED : ap_dispatch_rank(&c->x.req),
		.last_event = last_event,
		.weights = target->remote ? AP_WEIGHTS_ANY : c->x.req.weights,
		.fetch_host = target->fetch.id[0] ? target->fetch.host : NULL,
		.fetch_port = target->fetch.port,
		.keyed = c->plan->n_customers > 0,
		.customer = !target->remote && customer ? customer->name : NULL,
	};

	if (!ap_host_request_headers(&request, headers))
		return false;
	drop_forward_headers(headers);
	if (!target->remote)
		return true;
	if (customer && !add(headers, gate_customer_header(customer, text->customer)))
		return false;
	if (!add(headers, gate_version_header(c, text->configuration)))
		return false;
	if (c->x.req.build != 0) {
		format_build(c->x.req.build, text->build);
		if (!ap_host_add_header(headers, FORWARD_HEADER_BUILD, text->build) ||
		    !ap_host_add_header(headers, FORWARD_HEADER_EVIDENCE,
					ap_stream_evidence_name(c->evidence)))
			return false;
	}
	if (c->x.req.weights != AP_WEIGHTS_ANY) {
		snprintf(text->weights, sizeof(text->weights), "%llu",
			 (unsigned long long)c->x.req.weights);
		if (!ap_host_add_header(headers, FORWARD_HEADER_WEIGHTS, text->weights))
			return false;
	}
	if (c->x.req.heard_since != 0) {
		format_msec(now - c->x.req.heard_since, text->heard);
		if (!ap_host_add_header(headers, FORWARD_HEADER_HEARD, text->heard))
			return false;
	}
	/* The remote instance may run it once; this instance keeps the remaining attempts. */
	return ap_host_add_header(headers, FORWARD_HEADER_PROOF, c->gate->proof) &&
	       ap_host_add_header(headers, FORWARD_HEADER_ATTEMPTS, "1");
}

/* Tells the sender of a forwarded request how long the next one would wait. */
void gate_add_wait(gate_call_t *c, ap_host_headers_t *headers, gate_text_t *text)
{
	ap_dispatch_t next = c->x.req; /* which may go to any upstream */
	ap_usec_t wait;
	ap_usec_t pause;

	if (!c->forwarded || !c->x.req.pool)
		return;
	next.build = 0;
	next.weights = AP_WEIGHTS_ANY;
	pause = ap_fleet_local_pause(c->gate->fleet, &next, ap_now());
	if (pause > 0) {
		format_msec(pause + AP_MSEC, text->pause);
		ap_host_add_header(headers, FORWARD_HEADER_PAUSE, text->pause);
	}
	wait = ap_fleet_local_wait(c->gate->fleet, &next, ap_now());
	if (wait == AP_NEVER)
		return;
	format_msec(wait, text->wait);
	ap_host_add_header(headers, FORWARD_HEADER_WAIT, text->wait);
}

/* Tells the sender of a forwarded request which build serves its stream. */
static void add_build(const gate_call_t *c, ap_host_headers_t *headers, gate_text_t *text)
{
	if (!c->forwarded || !c->x.stream)
		return;
	format_build(ap_exchange_build(&c->x), text->build);
	ap_host_add_header(headers, FORWARD_HEADER_BUILD, text->build);
}

/* While draining, makes callers close their connections. */
void gate_add_close(const gate_call_t *c, ap_host_headers_t *headers)
{
	if (c->gate->drain_started != 0 && !c->forwarded)
		ap_host_add_header(headers, "Connection", "close");
}

void gate_response_headers(gate_call_t *c, ap_host_headers_t *headers, gate_text_t *text)
{
	if (!ap_host_response_headers(&c->attempts[c->x.current].headers, headers))
		ap_journal_write(c->gate->journal, AP_RECORD_RARE, "answer.headers-cut", c->id,
				 NULL);
	drop_forward_headers(headers);
	gate_add_wait(c, headers, text);
	add_build(c, headers, text);
	gate_add_close(c, headers);
}
