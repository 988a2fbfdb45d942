/* Second attempts against slow responses: what lib/hedge is asked and told. */
#include "gateway.h"

#include <event2/buffer.h>
#include <inttypes.h>

bool gate_second_configure(gateway_t *gate)
{
	double share = gate->conf->second_attempts;

	if (share <= 0) {
		ap_hedge_free(gate->hedge);
		gate->hedge = NULL;
		return true;
	}
	if (gate->hedge)
		ap_hedge_set_share(gate->hedge, share);
	else
		gate->hedge = ap_hedge_new(share);
	return gate->hedge;
}

void gate_second_request(gateway_t *gate, const char *pool)
{
	if (gate->hedge)
		ap_hedge_request(gate->hedge, pool, ap_now());
}

/* @prefill: tokens of the prompt that an engine has to process */
static ap_hedge_class_t class_of(const gate_call_t *c, const char *pool, uint32_t prefill)
{
	return (ap_hedge_class_t){
		.pool = pool,
		.kind = c->x.req.route->kind,
		.tokens = c->x.req.pool->kv_tokens > 0 ? prefill : 0,
	};
}

ap_usec_t gate_second_after(void *ctx, const ap_target_t *target)
{
	const gate_call_t *c = ctx;
	ap_hedge_class_t of;

	if (!c->gate->hedge)
		return AP_NEVER;
	of = class_of(c, c->x.req.pool->name, c->x.req.tokens_in - target->cached);
	return ap_hedge_delay(c->gate->hedge, &of, ap_now());
}

static ap_hedge_verdict_t judge(gate_call_t *c, const ap_target_t *first, ap_usec_t elapsed,
				const ap_target_t *target)
{
	const ap_dispatch_t *req = &c->x.req;
	ap_usec_t now = ap_now();
	ap_hedge_question_t question = {
		.of = class_of(c, req->pool->name, req->tokens_in - first->cached),
		.elapsed = elapsed,
		.left = c->x.timeout_at - now,
		.first_wait = first->wait,
	};
	ap_hedge_verdict_t verdict;

	if (!target)
		return AP_HEDGE_NO_TARGET;
	question.wait = target->wait;
	question.free_slot =
		!target->cold && ap_fleet_has_free_slot(c->gate->fleet, target->id, req->pool);
	question.over_allowance = req->customer && ap_quota_is_over(ap_fleet_quota(c->gate->fleet),
								    req->customer, now);
	verdict = ap_hedge_judge(c->gate->hedge, &question, now);
	if (verdict == AP_HEDGE_SEND && !gate_ops.may_retry(c))
		return AP_HEDGE_BUDGET;
	return verdict;
}

bool gate_second_judge(void *ctx, const ap_target_t *first, ap_usec_t elapsed,
		       const ap_target_t *target)
{
	gate_call_t *c = ctx;
	ap_hedge_verdict_t verdict;

	/* The settings may have changed since the first attempt was sent. */
	if (!c->gate->hedge)
		return false;
	verdict = judge(c, first, elapsed, target);
	c->gate->counters.seconds[verdict]++;
	if (verdict != AP_HEDGE_SEND)
		return false;
	ap_hedge_sent(c->gate->hedge, c->x.req.pool->name, ap_now());
	return true;
}

void gate_second_first_chunk(const gate_call_t *c, const ap_inflight_t *inflight)
{
	ap_hedge_class_t of;
	ap_usec_t now;

	if (!c->gate->hedge || inflight->remote || inflight->has_first_chunk)
		return;
	of = class_of(c, inflight->pool, inflight->prefill);
	now = ap_now();
	ap_hedge_response(c->gate->hedge, &of, now - inflight->sent, now);
}

void gate_second_done(const gate_call_t *c, const ap_inflight_t *inflight, ap_dispatch_result_t end)
{
	ap_hedge_class_t of;
	ap_usec_t now;

	if (!c->gate->hedge || inflight->remote || inflight->has_first_chunk)
		return;
	if (end != AP_DISPATCH_CANCELLED && end != AP_DISPATCH_SLOWER &&
	    end != AP_DISPATCH_TIMED_OUT)
		return;
	of = class_of(c, inflight->pool, inflight->prefill);
	now = ap_now();
	ap_hedge_unfinished(c->gate->hedge, &of, now - inflight->sent, now);
}

void gate_second_ended(const gate_call_t *c)
{
	const ap_exchange_t *x = &c->x;
	gate_counters_t *n = &c->gate->counters;
	bool responded = c->outcome == GATE_DONE || c->outcome == GATE_FAILED;

	if (x->seconds == 0)
		return;
	if (responded && x->slot[x->current].second)
		n->seconds_won++;
	else
		n->seconds_lost++;
}

void gate_second_metrics(const gateway_t *gate, struct evbuffer *out)
{
	const gate_counters_t *n = &gate->counters;

	if (!gate->hedge)
		return;
	for (ap_hedge_verdict_t i = 0; i < AP_HEDGE_VERDICTS; i++)
		evbuffer_add_printf(
			out, "arbutuspond_second_attempts_total{result=\"%s\"} %" PRIu64 "\n",
			ap_hedge_verdict_name(i), n->seconds[i]);
	evbuffer_add_printf(out,
			    "arbutuspond_second_attempts_ended_total{result=\"won\"} %" PRIu64 "\n"
			    "arbutuspond_second_attempts_ended_total{result=\"lost\"} %" PRIu64
			    "\n",
			    n->seconds_won, n->seconds_lost);
}
