/* Records and counters of requests. A request's record lists its latest decisions. */
#include "gateway.h"

#include <jansson.h>
#include <stdio.h>

#define LEFT_MARGIN (50 * AP_MSEC) /* a caller may see its deadline this much earlier */

const ap_usec_t gate_bounds[GATE_BUCKETS] = {
	5 * AP_MSEC,   10 * AP_MSEC, 25 * AP_MSEC, 50 * AP_MSEC, 100 * AP_MSEC, 250 * AP_MSEC,
	500 * AP_MSEC, 1 * AP_SEC,   2 * AP_SEC,   4 * AP_SEC,	 8 * AP_SEC,	16 * AP_SEC,
};

/* Returns the index of the first bucket that holds @span, GATE_BUCKETS for the unbounded one. */
static size_t bucket_of(ap_usec_t span)
{
	size_t i = 0;

	while (i < GATE_BUCKETS && span > gate_bounds[i])
		i++;
	return i;
}

static json_int_t msec(ap_usec_t span)
{
	return (json_int_t)(span / AP_MSEC);
}

void gate_record_step(gate_call_t *c, ap_step_t step, const ap_target_t *target)
{
	gate_step_t *s = &c->steps[c->n_steps % GATE_STEPS_MAX];

	c->n_steps++;
	*s = (gate_step_t){.step = step, .at = ap_now() - c->x.arrival};
	if (!target)
		return;
	ap_copy_name(s->target, sizeof(s->target), target->id);
	ap_copy_name(s->version, sizeof(s->version), target->version);
	s->weights = c->x.req.weights;
	s->wait = target->wait;
	s->entry_age = target->entry_age;
	s->cold = target->cold;
	s->cached = target->cached;
	s->running = target->running;
}

static const char *fleet_event_name(ap_fleet_event_kind_t kind)
{
	static const char *const names[AP_FLEET_EVENT_KINDS] = {
		"upstream.ejected",
		"upstream.back",
		"upstream.moved",
		"upstream.lapsed",
		"instance.suspected",
		"upstream.limited",
		"upstream.unlimited",
		"upstream.leaving",
		"upstream.not-leaving",
		"upstream.brittle",
		"upstream.not-brittle",
		"upstream.backoff",
		"upstream.cold",
		"path.lost",
		"path.back",
		"part.suspected",
		"part.cleared",
		"fingerprint.suspected",
		"fingerprint.cleared",
	};

	return names[kind];
}

void gate_on_fleet_event(void *ctx, const ap_fleet_event_t *event)
{
	gateway_t *gate = ctx;
	static const char *const fields[AP_FLEET_EVENT_KINDS] = {
		[AP_FLEET_EVENT_SUSPECTED] = "other",
		[AP_FLEET_EVENT_PART_SUSPECTED] = "part",
		[AP_FLEET_EVENT_PART_CLEARED] = "part",
		[AP_FLEET_EVENT_REQUEST_SUSPECTED] = "fingerprint",
		[AP_FLEET_EVENT_REQUEST_CLEARED] = "fingerprint",
	};
	const char *field = fields[event->kind] ? fields[event->kind] : "upstream";

	ap_journal_write(gate->journal, AP_RECORD_RARE, fleet_event_name(event->kind), NULL,
			 "s:s,s:I,s:I,s:i,s:f,s:s*", field, event->id, "entry_age_ms",
			 msec(event->entry_age), "lasts_ms", msec(event->lasts), "failures",
			 (int)event->failures, "limit_per_s", event->limit, "source",
			 event->source);
}

static json_t *steps_of(const gate_call_t *c)
{
	size_t first = c->n_steps > GATE_STEPS_MAX ? c->n_steps - GATE_STEPS_MAX : 0;
	json_t *list = json_array();

	for (size_t i = first; i < c->n_steps; i++) {
		const gate_step_t *s = &c->steps[i % GATE_STEPS_MAX];

		json_array_append_new(
			list,
			json_pack("{s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:b,s:I,s:I}", "step",
				  ap_step_name(s->step), "target", s->target, "version", s->version,
				  "weights", (json_int_t)ap_weights_number(s->weights), "at_ms",
				  msec(s->at), "expected_ms", msec(s->wait), "entry_age_ms",
				  msec(s->entry_age), "cold", (int)s->cold, "cached",
				  (json_int_t)s->cached, "running", (json_int_t)s->running));
	}
	return list;
}

static json_t *hex(uint64_t number)
{
	char text[20];

	snprintf(text, sizeof(text), "%llx", (unsigned long long)number);
	return json_string(text);
}

/* The parts of the prompt that other requests may share, as the platform writes their ids. */
static json_t *parts_of(const ap_dispatch_t *req)
{
	json_t *list = json_array();

	for (size_t i = 0; i + 1 < req->n_parts; i++)
		json_array_append_new(list, hex(req->parts[i].id));
	return list;
}

const char *gate_outcome_name(gate_outcome_t outcome)
{
	static const char *const names[GATE_OUTCOMES] = {
		"done", "failed",   "refused", "unknown",      "cut",
		"left", "no-route", "invalid", "unauthorized", "over-allowance",
	};

	return names[outcome];
}

static void count(gate_call_t *c, ap_usec_t took, ap_usec_t first)
{
	gate_counters_t *n = &c->gate->counters;

	n->ended[c->outcome]++;
	n->own_errors[c->x.reason]++;
	gate_customer_count(c->gate, c->x.req.customer, c->outcome);
	gate_second_ended(c);
	n->weights_differed += c->x.weights_differ;
	n->doubts[c->x.doubt]++;
	n->duration[bucket_of(took)]++;
	n->duration_sum += (double)took;
	if (c->x.first_chunk_at == 0)
		return;
	n->first_chunk[bucket_of(first)]++;
	n->first_chunk_sum += (double)first;
}

ap_record_class_t gate_record_class(const gate_end_t *end, ap_usec_t objective)
{
	bool gave_up = end->took + LEFT_MARGIN >= end->time;

	if (end->first > objective)
		return AP_RECORD_RARE;
	if (end->outcome == GATE_DONE)
		return AP_RECORD_ORDINARY;
	if (end->outcome == GATE_FAILED)
		return end->runs > 1 ? AP_RECORD_RARE : AP_RECORD_ORDINARY;
	if (end->outcome == GATE_DISCONNECTED)
		return !gave_up && (end->first > 0 || end->took < objective) ? AP_RECORD_ORDINARY
									     : AP_RECORD_RARE;
	return AP_RECORD_RARE;
}

/* Returns whether the upstream that responded has announced its stop. */
static bool announced_stop(const gate_call_t *c, ap_stop_t *stop)
{
	return ap_fleet_stop(c->gate->fleet, c->x.slot[c->x.current].target.id, stop);
}

/* Time until that stop, at its latest, or null. */
static json_t *shutdown_left(const gate_call_t *c, ap_usec_t now)
{
	ap_stop_t stop;

	return announced_stop(c, &stop) ? json_integer(msec(stop.latest - now)) : json_null();
}

/* How much earlier than at its latest it may be, or null. */
static json_t *shutdown_spread(const gate_call_t *c)
{
	ap_stop_t stop;

	return announced_stop(c, &stop) ? json_integer(msec(stop.latest - stop.earliest))
					: json_null();
}

/* The build at which a stream that was taken up goes on; NULL for other requests. */
static json_t *stream_build(const gate_call_t *c)
{
	return *c->resumes && c->x.req.build != 0 ? hex(c->x.req.build) : NULL;
}

/* How old what was told of it was; NULL if nothing was. */
static json_t *told_age(const gate_call_t *c)
{
	return c->told.build != 0 ? json_integer(msec(c->x.arrival - c->told.at)) : NULL;
}

void gate_record_end(gate_call_t *c)
{
	const ap_exchange_t *x = &c->x;
	ap_usec_t now = ap_now();
	ap_usec_t first = x->first_chunk_at > 0 ? x->first_chunk_at - x->arrival : 0;
	const gate_end_t end = {
		.outcome = c->outcome,
		.first = first,
		.took = now - x->arrival,
		.time = x->timeout_at - x->arrival,
		.runs = x->runs,
	};
	bool looked_up = c->evidence == AP_STREAM_ASKED || c->evidence == AP_STREAM_ONLY_BUILD;
	ap_record_class_t cls =
		looked_up ? AP_RECORD_RARE : gate_record_class(&end, x->req.route->objective);

	count(c, now - x->arrival, first);
	gate_allowance_refund(c);
	if (!ap_journal_accepts(c->gate->journal, cls, c->id))
		return;
	ap_journal_write(
		c->gate->journal, cls, "request.ended", c->id,
		"s:s,s:s,s:s,s:s,s:b,s:i,s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:i,s:I,s:I,s:I,s:o,"
		"s:o,s:s,s:o,s:s,s:s,s:I,s:i,s:b,s:I,s:I,s:I,s:I,s:o,s:o,s:s,s:s,s:s,s:I,"
		"s:o*,s:s*,s:s*,s:o*",
		"outcome", gate_outcome_name(c->outcome), "reason", ap_reason_name(x->reason),
		"route", x->req.route->name, "pool", x->req.pool ? x->req.pool->name : "", "guest",
		(int)c->forwarded, "status", c->status, "first_ms", msec(first), "objective_ms",
		msec(x->req.route->objective), "took_ms", msec(now - x->arrival), "time_ms",
		msec(x->timeout_at - x->arrival), "bytes", (json_int_t)x->bytes, "sends",
		(int)x->sends, "runs", (int)x->runs, "refusals", (int)x->refusals, "version",
		(json_int_t)c->plan->version, "expected_ms", msec(x->target.wait), "store_age_ms",
		msec(ap_follow_age(c->gate->follow, now)), "steps", steps_of(c), "parts",
		parts_of(&x->req), "resumes", c->resumes, "fingerprint", hex(x->req.fingerprint),
		"no_other", ap_reason_name(x->no_other), "connection_end",
		ap_connection_end_name(x->connection_end), "weights",
		(json_int_t)ap_weights_number(x->req.weights), "weights_differ",
		(int)x->weights_differ, "chunks", (int)c->chunks, "events", (json_int_t)x->events,
		"events_max", (json_int_t)ap_exchange_events_max(x), "pace_ms",
		msec(ap_exchange_pace(x)), "end_left_ms", msec(x->end_left), "shutdown_ms",
		shutdown_left(c, now), "shutdown_spread_ms", shutdown_spread(c), "doubt",
		ap_doubt_name(x->doubt), "customer", x->req.customer ? x->req.customer->name : "",
		"source", ap_stream_evidence_name(c->evidence), "lookup_ms", msec(c->lookup_time),
		"stream_build", stream_build(c), "told_origin",
		c->told.build != 0 ? ap_origin_name(c->told.origin) : NULL, "told_by",
		*c->told.by ? c->told.by : NULL, "told_age_ms", told_age(c));
}

void gate_record_place(gateway_t *gate, const char *request, const ap_stream_question_t *q,
		       const ap_stream_place_t *place)
{
	const ap_stream_word_t *told = &place->told;
	const ap_stream_word_t *other = place->other.build != 0 ? &place->other : NULL;
	bool misnamed = q->named.build != 0 && q->named.build != told->build;

	if (told->build == 0 || (!misnamed && !other))
		return;
	gate->counters.streams_disagreed++;
	ap_journal_write(
		gate->journal, AP_RECORD_RARE, "stream.disagreed", request,
		"s:s,s:b,s:o,s:s,s:s,s:I,s:o*,s:o*,s:s*,s:s*", "resumes", q->id, "guest",
		(int)q->guest, "told", hex(told->build), "told_origin",
		ap_origin_name(told->origin), "told_by", told->by, "told_age_ms",
		msec(q->asked_at - told->at), "named", misnamed ? hex(q->named.build) : NULL,
		"other", other ? hex(other->build) : NULL, "other_origin",
		other ? ap_origin_name(other->origin) : NULL, "other_by", other ? other->by : NULL);
}
