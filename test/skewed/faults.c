#include "faults.h"

#include <signal.h>

#define OUT_SHARE 0.3		      /* of the instances, in a herd */
#define KILLED_SHARE 0.4	      /* likewise */
#define KILLED_BEFORE (100 * AP_MSEC) /* the others go on */
#define KILLED_TIME (500 * AP_MSEC)

ap_usec_t faults_draw(ap_rng_t *rng, unsigned from_ms, unsigned to_ms)
{
	return (ap_usec_t)(from_ms + ap_rng_below(rng, to_ms - from_ms)) * AP_MSEC;
}

static void set_fault(instance_t *inst, fault_t fault, bool on)
{
	switch (fault) {
	case FAULT_CUT_OFF:
		link_set_mode(inst->store_link, on ? LINK_SILENT : LINK_OPEN);
		for (size_t k = 0; k < 2; k++)
			link_set_mode(inst->peer_links[k], on ? LINK_SILENT : LINK_OPEN);
		break;
	case FAULT_TURNED_AWAY:
		link_set_mode(inst->store_link, on ? LINK_RESET : LINK_OPEN);
		break;
	case FAULT_TURNED_AWAY_SILENTLY:
		link_set_mode(inst->store_link, on ? LINK_SILENT : LINK_OPEN);
		break;
	case FAULT_STOPPED:
		instance_signal(inst, on ? SIGSTOP : SIGCONT);
		break;
	default:
		if (on)
			instance_signal(inst, SIGKILL);
		else if (inst->pid <= 0)
			instance_start(inst);
		break;
	}
}

static void begin_fault(faults_t *f, instance_t *inst, track_t *t, track_kind_t kind)
{
	uint64_t n = kind <= TRACK_PROCESS ? ap_rng_below(&t->rng, 6) : 0;

	if (kind == TRACK_PROCESS)
		t->fault = n < 3 ? FAULT_STOPPED : FAULT_KILLED;
	else if (kind == TRACK_LINKS)
		t->fault = (fault_t)(n / 2);
	set_fault(inst, t->fault, true);
	t->on = true;
	if (kind == TRACK_PROCESS)
		t->at += faults_draw(&t->rng, 300, 3000);
	else
		t->at += kind == TRACK_LINKS ? faults_draw(&t->rng, 2000, 8000) : t->lasts;
	f->n[t->fault]++;
}

static void end_fault(instance_t *inst, track_t *t, track_kind_t kind)
{
	set_fault(inst, t->fault, false);
	t->on = false;
	if (kind > TRACK_PROCESS)
		t->at = AP_NEVER;
	else if (kind == TRACK_PROCESS)
		t->at += faults_draw(&t->rng, 2000, 18000);
	else
		t->at += faults_draw(&t->rng, 1000, 8000);
}

static void turn_gate(faults_t *f, size_t i, ap_usec_t now)
{
	instance_t *inst = &f->s->instances[i];
	gate_t *g = &f->gates[i];

	for (size_t k = 0; k < TRACKS; k++) {
		track_t *t = &g->tracks[k];
		bool was_on = t->on;

		if (now >= t->at && t->on)
			end_fault(inst, t, (track_kind_t)k);
		else if (now >= t->at)
			begin_fault(f, inst, t, (track_kind_t)k);
		if (!was_on && !t->on)
			continue;
		inst->last_disturbed = now;
		if (t->fault != FAULT_KILLED || !t->on)
			g->out_at = now;
		if (t->fault == FAULT_STOPPED)
			g->stopped_at = now;
	}
}

/*
 * Some instances stand still or are cut off, and some of all are killed a moment before those are
 * back.
 */
static void begin_herd(faults_t *f)
{
	fault_t fault = ap_rng_below(&f->herds, 2) ? FAULT_STOPPED : FAULT_CUT_OFF;
	ap_usec_t lasts = faults_draw(&f->herds, 2000, 7000);

	for (size_t i = 0; i < f->s->n_instances; i++) {
		track_t *out = &f->gates[i].tracks[TRACK_HERD_OUT];
		track_t *killed = &f->gates[i].tracks[TRACK_HERD_KILLED];

		if (ap_rng_unit(&f->herds) < OUT_SHARE) {
			out->fault = fault;
			out->at = f->herd_at;
			out->lasts = lasts;
		}
		if (ap_rng_unit(&f->herds) < KILLED_SHARE) {
			killed->at = f->herd_at + lasts - KILLED_BEFORE;
			killed->lasts = KILLED_TIME;
		}
	}
	f->herd_at += lasts + faults_draw(&f->herds, 4000, 12000);
	f->n_herds++;
}

static void begin_track(track_t *t, track_kind_t kind, size_t instance, uint64_t seed,
			ap_usec_t now)
{
	if (kind > TRACK_PROCESS) {
		t->at = AP_NEVER;
		t->fault = FAULT_KILLED;
		return;
	}
	ap_rng_seed(&t->rng, seed + 2000 * (1 + kind + 2 * instance));
	t->at = now + faults_draw(&t->rng, 500, kind == TRACK_PROCESS ? 14000 : 8000);
}

void faults_begin(faults_t *f, soak_t *s, uint64_t seed, bool herds, ap_usec_t now)
{
	*f = (faults_t){.s = s};
	ap_rng_seed(&f->herds, seed + 1500);
	f->herd_at = herds ? now + faults_draw(&f->herds, 200, 2000) : AP_NEVER;
	for (size_t i = 0; i < s->n_instances; i++) {
		for (size_t k = 0; k < TRACKS; k++)
			begin_track(&f->gates[i].tracks[k], (track_kind_t)k, i, seed, now);
	}
}

void faults_turn(faults_t *f, ap_usec_t now)
{
	if (now >= f->herd_at)
		begin_herd(f);
	for (size_t i = 0; i < f->s->n_instances; i++)
		turn_gate(f, i, now);
}

void faults_end(faults_t *f)
{
	for (size_t i = 0; i < f->s->n_instances; i++) {
		for (size_t k = 0; k < TRACKS; k++) {
			if (f->gates[i].tracks[k].on)
				end_fault(&f->s->instances[i], &f->gates[i].tracks[k],
					  (track_kind_t)k);
		}
	}
}
