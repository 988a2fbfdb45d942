/*
 * Plays a request of the exchange hunt, and keeps what each instance has seen of each run, from
 * which hunt_credible() says by itself, and not by lib/exchange, whether an end is to be believed.
 */
#ifndef AP_TEST_EXCHANGE_HUNT_PLAY_H
#define AP_TEST_EXCHANGE_HUNT_PLAY_H

#include "exchange_hunt_world.h"

/* By docs/design/platform.md, "Ends in order". */
#define HUNT_EARLY (10 * AP_MSEC)    /* an upstream may see its deadline */
#define HUNT_TOGETHER (10 * AP_MSEC) /* what comes within this time came together */
#define HUNT_PACES 3
#define HUNT_ABORT (150 * AP_MSEC)  /* after the deadline */
#define HUNT_BESIDE (400 * AP_MSEC) /* two upstreams may work on a stream */

static inline bool hunt_is_stream(const hunt_instance_t *in)
{
	return in->s->route.kind == AP_KIND_STREAM;
}

static inline ap_usec_t hunt_longer(ap_usec_t a, ap_usec_t b)
{
	return a > b ? a : b;
}

static inline ap_usec_t hunt_mean(const hunt_seen_t *seen)
{
	return seen->pauses > HUNT_TOGETHER ? seen->pauses / seen->paused_pieces : 0;
}

/* Returns how long the next piece would have taken, by those before. */
static inline ap_usec_t hunt_next_piece(const hunt_instance_t *in, const hunt_seen_t *seen,
					ap_usec_t end)
{
	ap_usec_t gap = in->s->route.event_gap;
	ap_usec_t since = seen->fresh ? end - seen->piece_at : 0;
	ap_usec_t next = HUNT_PACES * in->mean;

	if (!hunt_is_stream(in))
		return hunt_longer(hunt_mean(seen), since);
	if (hunt_mean(seen) > 0)
		next = hunt_longer(HUNT_PACES * hunt_mean(seen), seen->pauses / seen->paused_reads);
	next = hunt_longer(next, seen->first_pause);
	if (seen->fresh == 0)
		next = hunt_longer(next, in->first_pause);
	next = hunt_longer(next, since);
	return gap > 0 && next > gap ? gap : next;
}

/* Returns whether the stream is as long as the request allows, which the instance knows. */
static inline bool hunt_has_all(const hunt_instance_t *in, const hunt_run_t *run)
{
	return hunt_is_stream(in) && in->s->pool.event_tokens > 0 &&
	       run->seen.top == in->s->events && in->s->taken_up == 0 &&
	       (run->after == 0 || (!in->only && !run->up->remote));
}

/*
 * Returns whether nothing that the instance knows tells the end of this run from the end of the
 * work. This is the one place for what can't be told: an upstream that ends its response in order,
 * not within an event, before its deadline by more than its pace shows, and not after the time of
 * a stop that it had announced.
 */
static inline bool hunt_credible(const hunt_instance_t *in, const hunt_run_t *run)
{
	const hunt_seen_t *seen = &run->seen;
	ap_usec_t deadline = in->x.timeout_at;
	ap_usec_t stated = seen->sized ? seen->head_at : seen->end_at;
	bool sized_before = seen->sized && !(hunt_is_stream(in) && seen->pieces > 0 &&
					     seen->piece_at - seen->head_at <= HUNT_TOGETHER);

	if (!seen->in_order || seen->torn || (seen->closed && !seen->alive))
		return false;
	if (hunt_has_all(in, run))
		return true;
	if (stated >= deadline - HUNT_EARLY)
		return false;
	if (seen->stopped && !seen->sized && !seen->bodiless)
		return false;
	if (seen->bodiless || sized_before)
		return true;
	return deadline - seen->end_at > hunt_next_piece(in, seen, seen->end_at);
}

/* Pieces of the response arrive, of which @fresh are no events that the caller has already. */
static inline void hunt_see_pieces(hunt_instance_t *in, hunt_run_t *run, unsigned pieces,
				   unsigned fresh, ap_usec_t at)
{
	hunt_seen_t *seen = &run->seen;

	if (pieces > 0 && seen->fresh == 0) {
		ap_usec_t since = seen->pieces ? seen->piece_at : run->sent_at;

		seen->first_pause = hunt_longer(seen->first_pause, at - since);
	} else if (fresh > 0 && !seen->unread && at > seen->piece_at) {
		seen->pauses += at - seen->piece_at;
		seen->paused_pieces += fresh;
		seen->paused_reads++;
	}
	if (fresh > 0 && in->first_pause == 0)
		in->first_pause = seen->first_pause;
	if (hunt_mean(seen) > 0)
		in->mean = hunt_mean(seen);
	seen->pieces += pieces;
	seen->fresh += fresh;
	seen->piece_at = at;
	seen->unread = false;
}

static inline void hunt_see_events(hunt_instance_t *in, hunt_run_t *run, const hunt_step_t *step,
				   ap_usec_t at)
{
	hunt_seen_t *seen = &run->seen;
	const char *text = run->steps.text;
	size_t len = step->from + step->len;
	unsigned known = seen->top;
	unsigned pieces = 0;
	unsigned fresh;
	size_t complete = 0;

	for (size_t i = step->from; i < len && hunt_is_stream(in); i++) {
		if (text[i] == '\n' && i > 0 && text[i - 1] == '\n')
			pieces++;
	}
	for (size_t i = 1; i < len; i++) {
		if (text[i] == '\n' && text[i - 1] == '\n')
			complete = i + 1;
	}
	for (size_t i = 0; i + 4 < len; i++) {
		unsigned id;
		const char *line_end = memchr(text + i, '\n', len - i);

		if ((i > 0 && text[i - 1] != '\n') || !line_end ||
		    sscanf(text + i, "id: %u\n", &id) != 1)
			continue;
		if (i < complete && id > seen->top)
			seen->top = id;
		if (id > seen->begun) {
			seen->begun = id;
			seen->begun_at = in->now;
		}
	}
	if (memmem(text + step->from, step->len, AP_EXCHANGE_UNCONFIRMED,
		   strlen(AP_EXCHANGE_UNCONFIRMED)))
		pieces--;
	seen->torn = hunt_is_stream(in) && complete < len;
	for (size_t i = step->from; i < len && !hunt_is_stream(in); i++) {
		seen->top += text[i] == '\n';
		pieces = 1;
	}
	if (pieces == 0)
		return;
	known = run->after > known ? run->after : known;
	fresh = !hunt_is_stream(in) ? pieces : seen->top > known ? seen->top - known : 0;
	hunt_see_pieces(in, run, pieces, fresh < pieces ? fresh : pieces, at);
}

static inline void hunt_see_end(hunt_instance_t *in, hunt_run_t *run, const hunt_step_t *step,
				ap_usec_t at)
{
	hunt_seen_t *seen = &run->seen;

	seen->closed = step->end == AP_CONNECTION_COMPLETE_ON_CLOSE;
	seen->in_order = step->end == AP_CONNECTION_COMPLETE || seen->closed;
	seen->end_at = seen->closed ? in->now : at;
	seen->alive = seen->closed && !step->process_ended;
	/* Another instance says so of its upstream. */
	seen->stopped = (in->only || !run->up->remote) && seen->end_at >= run->up->stops_at;
	seen->credible = hunt_credible(in, run) && run->credible_there;
	/* By its mark, a next event would have come after the deadline. */
	if (run->up->remote && !run->credible_there && seen->in_order &&
	    (in->s->route.event_gap == 0 ||
	     in->x.timeout_at - seen->end_at <= in->s->route.event_gap))
		in->mean = hunt_longer(in->mean,
				       (in->x.timeout_at - in->now + HUNT_PACES - 1) / HUNT_PACES);
	seen->lacks_time = seen->in_order && !seen->torn && !seen->closed && !seen->stopped &&
			   !seen->credible && run->credible_there &&
			   seen->end_at < in->x.timeout_at - HUNT_EARLY;
}

static inline void hunt_see_head(hunt_run_t *run, const hunt_step_t *step, ap_usec_t at,
				 ap_usec_t now)
{
	hunt_seen_t *seen = &run->seen;

	seen->head = true;
	seen->head_at = at;
	seen->status = step->head.status;
	seen->sized = step->head.sized;
	seen->bodiless = step->head.bodiless;
	seen->weights = step->head.weights;
	if (seen->status / 100 == 2)
		seen->accepted_at = now;
}

/* A step of a run reaches the instance. */
static inline void hunt_arrive(hunt_instance_t *in, hunt_run_t *run, const hunt_step_t *step)
{
	const char *data = run->steps.text + step->from;
	ap_usec_t at = in->s->arrivals && step->at < in->now ? step->at : in->now;
	bool success = run->seen.status / 100 == 2;

	run->arrived = step->at;
	in->arriving = run;
	switch (step->kind) {
	case STEP_HEAD:
		hunt_say(in, "run %u: head %d%s%s", run->number, step->head.status,
			 step->head.sized ? ", sized" : "", step->head.refused ? ", refused" : "");
		hunt_see_head(run, step, at, in->now);
		run->reached = !step->head.unsent;
		ap_exchange_head(&in->x, run->slot, &step->head, in->now);
		break;
	case STEP_DATA:
		if (success)
			hunt_see_events(in, run, step, at);
		hunt_say(in, "run %u: %zu bytes, event %u", run->number, step->len, run->seen.top);
		ap_exchange_data(&in->x, run->slot, data, step->len, in->now);
		break;
	case STEP_END:
		if (success)
			hunt_see_end(in, run, step, at);
		hunt_say(in, "run %u: ends, %s%s", run->number, ap_connection_end_name(step->end),
			 run->seen.credible ? ", credible" : "");
		if (step->end == AP_CONNECTION_UNSENT)
			run->reached = false;
		ap_exchange_end(&in->x, run->slot, step->end, in->now);
		break;
	case STEP_CHECKED:
		hunt_say(in, "run %u: its process %s", run->number,
			 step->process_ended ? "has ended" : "lives on");
		/* The time of the announced stop may have come before the answer. */
		run->seen.stopped = run->seen.stopped || in->now >= run->up->stops_at;
		run->seen.credible = hunt_credible(in, run) && run->credible_there;
		ap_exchange_checked(&in->x, run->slot, step->process_ended, in->now);
		break;
	case STEP_ABORT:
	case STEP_REPLY:
		break;
	}
	in->arriving = NULL;
}

/* Returns the run whose next step comes first, and when; NULL for none. */
static inline hunt_run_t *hunt_next_step(hunt_instance_t *in, ap_usec_t *at)
{
	hunt_run_t *first = NULL;

	*at = AP_NEVER;
	for (unsigned i = 0; i < in->n_runs && !in->paused; i++) {
		hunt_run_t *run = &in->run[i];
		ap_usec_t next;

		if (!run->open || run->next == run->steps.n)
			continue;
		next = hunt_longer(run->steps.step[run->next].at, in->now);
		if (next < *at) {
			*at = next;
			first = run;
		}
	}
	return first;
}

/* The caller leaves, stops reading or reads again. */
static inline void hunt_caller_acts(hunt_instance_t *in)
{
	hunt_scene_t *s = in->s;

	if (in->now >= s->leaves_at) {
		hunt_say(in, "the caller leaves");
		in->left = true;
		ap_exchange_caller_disconnected(&in->x);
		return;
	}
	/* Only what was passed on can fill the buffers on the way to the caller. */
	if (!in->paused && in->out.text_len == 0) {
		s->pauses_at = AP_NEVER;
		return;
	}
	in->paused = in->now < s->reads_at;
	hunt_say(in, in->paused ? "the caller stops reading" : "the caller reads again");
	if (!in->paused) {
		for (unsigned i = 0; i < in->n_runs; i++) {
			in->run[i].seen.unread = true;
			in->run[i].seen.piece_at = in->now;
		}
		s->pauses_at = AP_NEVER;
		s->reads_at = AP_NEVER;
	}
	ap_exchange_pause(&in->x, in->paused, in->now);
}

static inline ap_usec_t hunt_caller_due(const hunt_instance_t *in)
{
	const hunt_scene_t *s = in->s;
	ap_usec_t at = in->paused ? s->reads_at : s->pauses_at;

	if (in->only)
		return AP_NEVER;
	return s->leaves_at < at ? s->leaves_at : at;
}

/* No two upstreams work on a stream for long once the second one has accepted it. */
static inline void hunt_check_beside(hunt_instance_t *in)
{
	const hunt_run_t *a = hunt_at(in, 0);
	const hunt_run_t *b = hunt_at(in, 1);

	if (!hunt_is_stream(in) || !a || !b || !a->open || !b->open || in->paused ||
	    in->x.slot[0].checking || in->x.slot[1].checking)
		return;
	/* From its send, if the first one was only slow and still has the stream. */
	if (in->x.slot[!in->x.current].second &&
	    in->now > hunt_at(in, !in->x.current)->sent_at + HUNT_BESIDE)
		hunt_broken(in, "a second attempt works on a stream for too long");
	if (a->seen.accepted_at > 0 && b->seen.accepted_at > 0 &&
	    in->now > hunt_longer(a->seen.accepted_at, b->seen.accepted_at) + HUNT_BESIDE)
		hunt_broken(in, "two upstreams work on a stream");
}

/* What has arrived is read at once. */
static inline void hunt_join(const hunt_instance_t *in, hunt_run_t *run, hunt_step_t *step)
{
	while (run->next < run->steps.n) {
		const hunt_step_t *next = &run->steps.step[run->next];

		if (next->kind != STEP_DATA || next->at > in->now)
			return;
		step->at = next->at;
		step->len += next->len;
		run->next++;
	}
}

static inline void hunt_step_on(hunt_instance_t *in)
{
	ap_usec_t at;
	hunt_run_t *run = hunt_next_step(in, &at);
	ap_usec_t due = hunt_longer(ap_exchange_due(&in->x), in->now);
	ap_usec_t caller = hunt_caller_due(in);

	if (caller <= at && caller <= due) {
		in->now = caller;
		hunt_caller_acts(in);
	} else if (due < at || (due == at && in->s->tick_first)) {
		in->now = due;
		hunt_say(in, "due");
		ap_exchange_tick(&in->x, in->now);
	} else {
		hunt_step_t step = run->steps.step[run->next++];

		in->now = at;
		if (step.kind == STEP_DATA && in->s->joined)
			hunt_join(in, run, &step);
		hunt_arrive(in, run, &step);
	}
	hunt_check_beside(in);
}

/* What still comes after the end has no effect, and nothing is in flight. */
static inline void hunt_finish(hunt_instance_t *in)
{
	in->over = true;
	if (in->x.slot[0].in_flight || in->x.slot[1].in_flight || in->done != in->n_runs)
		hunt_broken(in, "in flight after the end of the request");
	for (unsigned i = 0; i < in->n_runs; i++) {
		hunt_run_t *run = &in->run[i];

		in->now += AP_MSEC;
		if (run->open)
			hunt_broken(in, "a connection is left open");
		ap_exchange_tick(&in->x, in->now);
		ap_exchange_end(&in->x, run->slot, AP_CONNECTION_COMPLETE, in->now);
	}
	ap_exchange_clear(&in->x);
}

/* Plays the request at an instance, which has @left for it, until it is finished. */
static inline void hunt_play(hunt_instance_t *in, ap_usec_t left, unsigned attempts)
{
	unsigned rounds = 0;

	in->x.ops = &hunt_ops;
	in->x.ctx = in;
	in->x.req.route = &in->s->route;
	in->x.req.pool = &in->s->pool;
	in->x.req.deadline = in->now + left;
	in->x.req.tokens_out = in->s->events * 6;
	in->x.weights_field = HUNT_WEIGHTS_FIELD;
	ap_exchange_start(&in->x, attempts, in->now);
	while (!in->x.finished) {
		hunt_step_on(in);
		if (in->now > in->x.timeout_at + HUNT_ABORT + AP_MSEC && !in->x.finished) {
			hunt_broken(in, "not finished after the deadline");
			ap_exchange_caller_disconnected(&in->x);
		}
		if (++rounds > 4000) {
			hunt_broken(in, "goes on without end");
			ap_exchange_caller_disconnected(&in->x);
		}
	}
	hunt_finish(in);
}

/* What an instance passes on arrives at the sender as the response of the run. */
static inline void hunt_pass_on(const hunt_instance_t *there, ap_usec_t way, hunt_run_t *run)
{
	hunt_steps_t *to = &run->steps;

	*to = there->out;
	for (size_t i = 0; i < there->out.n; i++) {
		hunt_step_t *step = &to->step[i];
		ap_usec_t at = step->at += way;

		if (step->kind == STEP_ABORT) {
			step->kind = STEP_END;
			step->end = AP_CONNECTION_BROKEN;
		} else if (step->kind == STEP_REPLY) {
			step->kind = STEP_HEAD;
			hunt_add_end(to, at, AP_CONNECTION_COMPLETE);
		} else if (step->kind == STEP_HEAD) {
			step->head.build = run->up->build;
			/* As keeps_length() of the gateway has it. */
			step->head.sized =
				step->head.bodiless || (step->head.sized && run->after == 0);
		}
	}
}

/* Another instance gets the request of @run. */
static inline void hunt_forward(hunt_instance_t *in, hunt_run_t *run)
{
	static hunt_instance_t there;
	ap_usec_t way = hunt_msec(&in->s->rng, 1, hunt_chance(&in->s->rng, 2) ? 55 : 3);

	there = (hunt_instance_t){
		.s = in->s,
		.only = run->up,
		.now = in->now + way,
	};
	there.x.early_head = in->x.req.heard_since != 0;
	there.x.req.local_only = true;
	there.x.req.build = in->x.req.build;
	there.x.req.weights = in->x.req.weights;
	if (run->after > 0)
		snprintf(there.x.last_event_id, sizeof(there.x.last_event_id), "%u", run->after);
	hunt_play(&there, hunt_told(in), 1);
	for (unsigned i = 0; i < there.n_runs; i++) {
		run->ran = run->ran || there.run[i].ran;
		run->credible_there = there.run[i].seen.credible;
	}
	hunt_pass_on(&there, way, run);
}

#endif
