/*
 * Compares three methods to run a call at most once, over the same calls and faults in virtual
 * time: a permit with a witness (the library's code), a claim in the store for each call, and an
 * owner by hash with a lease. The last two are models, simplified in their favour: no message is
 * lost, and the store takes any load.
 */
#include "../test/once_world.h"

#define NODES 8
#define SEEDS 5
#define HOURS 2
#define RUN_TIME ((ap_usec_t)HOURS * 3600 * AP_SEC)
#define CALLS_PER_SEC 10
#define HOP (400) /* mean one-way delay within the region, microseconds */
#define STORE_DELAY (4 * AP_MSEC)
#define SERVICE (200 * AP_MSEC)
#define RETRY_AFTER (2 * AP_SEC)
#define LEASE (15 * AP_SEC)
#define VIEW_LAG AP_SEC

/* Mean interval between faults in the whole region, and mean length of a fault, by step_kind_t. */
static const struct {
	const char *name;
	ap_usec_t every;
	ap_usec_t length;
} faults[] = {
	{"kill", 60 * AP_SEC, 10 * AP_SEC},
	{"pause", 30 * AP_SEC, 2 * AP_SEC},
	{"network partition", 300 * AP_SEC, 20 * AP_SEC},
	{"store outage", 600 * AP_SEC, 60 * AP_SEC},
};

typedef enum step_kind {
	STEP_KILL,
	STEP_PAUSE,
	STEP_PARTITION,
	STEP_STORE,
	STEP_CALL
} step_kind_t;

typedef struct step {
	ap_usec_t at;
	step_kind_t kind;
	unsigned node;
	ap_usec_t length;
	unsigned sides;
} step_t;

/* All steps by time, and the faults among them. */
typedef struct plan {
	step_t *steps;
	size_t n;
	size_t max;
	step_t *faults;
	size_t n_faults;
} plan_t;

typedef struct tally {
	uint64_t calls;
	uint64_t by_outcome[3];
	uint64_t ran_twice;
	uint64_t store_calls;
	uint64_t messages;
	ap_usec_t *waits;
	size_t n_waits;
} tally_t;

static void add_step(plan_t *plan, step_t step)
{
	if (plan->n == plan->max) {
		plan->max = plan->max ? 2 * plan->max : 4096;
		plan->steps = realloc(plan->steps, plan->max * sizeof(step_t));
	}
	plan->steps[plan->n++] = step;
}

static int compare_steps(const void *a, const void *b)
{
	const step_t *x = a;
	const step_t *y = b;

	return (x->at > y->at) - (x->at < y->at);
}

static void add_steps(plan_t *plan, ap_rng_t *rng, step_kind_t kind, ap_usec_t every,
		      ap_usec_t length)
{
	ap_usec_t at = 5 * AP_SEC;

	while ((at += 1 + (ap_usec_t)ap_rng_exp(rng, (double)every)) < RUN_TIME)
		add_step(plan, (step_t){
				       .at = at,
				       .kind = kind,
				       .node = (unsigned)ap_rng_below(rng, NODES),
				       .length = 1 + (ap_usec_t)ap_rng_exp(rng, (double)length),
				       .sides = (unsigned)ap_rng_below(rng, 1u << NODES),
			       });
}

static plan_t make_plan(uint64_t seed)
{
	plan_t plan = {0};
	ap_rng_t rng;

	ap_rng_seed(&rng, seed);
	for (int kind = STEP_KILL; kind <= STEP_STORE; kind++)
		add_steps(&plan, &rng, (step_kind_t)kind, faults[kind].every, faults[kind].length);
	add_steps(&plan, &rng, STEP_CALL, AP_SEC / CALLS_PER_SEC, SERVICE);
	qsort(plan.steps, plan.n, sizeof(step_t), compare_steps);
	plan.faults = calloc(plan.n, sizeof(step_t));
	for (size_t i = 0; i < plan.n; i++) {
		if (plan.steps[i].kind != STEP_CALL)
			plan.faults[plan.n_faults++] = plan.steps[i];
	}
	return plan;
}

static void add_result(tally_t *t, const world_call_t *call)
{
	t->calls++;
	t->by_outcome[call->has_result ? call->result : AP_OUTCOME_UNKNOWN]++;
	t->ran_twice += call->runs > 1;
	if (call->runs > 0)
		t->waits[t->n_waits++] = call->waited;
}

static bool is_reachable(const world_t *w, unsigned n)
{
	return w->nodes[n].up && w->nodes[n].paused_until <= w->now;
}

/* Returns the entry that a client reaches: the wanted one or the next reachable one; -1: none. */
static int find_entry(const world_t *w, unsigned wanted)
{
	for (unsigned i = 0; i < NODES; i++) {
		if (is_reachable(w, (wanted + i) % NODES))
			return (int)((wanted + i) % NODES);
	}
	return -1;
}

static void apply_fault(world_t *w, const step_t *step)
{
	world_node_t *node = &w->nodes[step->node];

	if (step->kind == STEP_PARTITION) {
		w->cut = true;
		w->cut_until = step->at + step->length;
		for (unsigned i = 0; i < NODES; i++)
			w->nodes[i].side = step->sides >> i & 1;
	}
	if (step->kind == STEP_PAUSE && node->up) {
		node->paused_at = step->at;
		node->paused_until = step->at + step->length;
	}
	if (step->kind == STEP_KILL && node->up) {
		world_down(w, step->node);
		world_push(w, (world_event_t){.kind = WORLD_UP,
					      .at = step->at + step->length,
					      .node = step->node});
	}
}

static void advance(world_t *w, ap_usec_t at)
{
	world_run(w, at);
	if (w->cut && w->now >= w->cut_until)
		w->cut = false;
}

static world_t *new_world(uint64_t seed)
{
	world_t *w = calloc(1, sizeof(*w));

	w->rates = (world_rates_t){.delay = HOP, .service = SERVICE, .loss = 0.0001};
	w->limits = ap_once_default_limits;
	world_start(w, seed, NODES);
	return w;
}

static void run_permits(const plan_t *plan, uint64_t seed, tally_t *t)
{
	world_t *w = new_world(seed);

	for (size_t i = 0; i < plan->n; i++) {
		const step_t *step = &plan->steps[i];
		int entry;
		size_t call;

		advance(w, step->at);
		if (step->kind != STEP_CALL) {
			apply_fault(w, step);
			continue;
		}
		entry = find_entry(w, step->node);
		call = entry < 0 ? SIZE_MAX : world_issue(w, (unsigned)entry);
		if (call == SIZE_MAX)
			continue;
		w->rates.service = step->length;
		world_use(w, (unsigned)entry, call, false);
		world_push(w, (world_event_t){.kind = WORLD_RETRY,
					      .at = w->now + RETRY_AFTER,
					      .call = call});
	}
	advance(w, RUN_TIME + 60 * AP_SEC);
	for (size_t i = 0; i < w->n_calls; i++)
		add_result(t, &w->calls[i]);
	t->messages += w->messages;
	if (w->first_violation)
		printf("seed %llu: rule violated: %s\n", (unsigned long long)seed,
		       w->first_violation);
	world_free(w);
	free(w);
}

/* Faults of each node and of the store, for the models. */
typedef struct history {
	const plan_t *plan;
	size_t from; /* faults before this index are over */
} history_t;

#define FAULT_MAX (300 * AP_SEC) /* the search for overlaps assumes that no fault lasts longer */

/* Returns the first fault of @kind at @node (NODES: any) that overlaps @start to @end, or NULL. */
static const step_t *find_step(history_t *h, step_kind_t kind, unsigned node, ap_usec_t start,
			       ap_usec_t end)
{
	const plan_t *plan = h->plan;

	while (h->from < plan->n_faults && plan->faults[h->from].at + FAULT_MAX < start)
		h->from++;
	for (size_t i = h->from; i < plan->n_faults && plan->faults[i].at <= end; i++) {
		const step_t *step = &plan->faults[i];

		if (step->kind != kind || (node < NODES && step->node != node))
			continue;
		if (step->at + step->length >= start)
			return step;
	}
	return NULL;
}

static bool is_down_or_paused(history_t *h, unsigned node, ap_usec_t at)
{
	return find_step(h, STEP_KILL, node, at, at) || find_step(h, STEP_PAUSE, node, at, at);
}

static int find_model_entry(history_t *h, unsigned wanted, ap_usec_t at)
{
	for (unsigned i = 0; i < NODES; i++) {
		if (!is_down_or_paused(h, (wanted + i) % NODES, at))
			return (int)((wanted + i) % NODES);
	}
	return -1;
}

/* Does the node fail, or pause for longer than its client waits, between @start and @end? */
static bool is_lost_during(history_t *h, unsigned node, ap_usec_t start, ap_usec_t end)
{
	const step_t *pause = find_step(h, STEP_PAUSE, node, start, end);

	if (find_step(h, STEP_KILL, node, start, end))
		return true;
	return pause && pause->length > RETRY_AFTER;
}

static ap_usec_t draw(ap_rng_t *rng, ap_usec_t mean)
{
	return mean / 2 + (ap_usec_t)ap_rng_exp(rng, (double)mean / 2);
}

/*
 * A claim takes one read and one write. After the write the store only tells that the call is
 * claimed; whether the call ran is known to the entry alone.
 */
static ap_outcome_t model_claim(history_t *h, ap_rng_t *rng, unsigned entry, const step_t *call,
				tally_t *t, ap_usec_t *wait)
{
	ap_usec_t written = call->at + draw(rng, STORE_DELAY) + STORE_DELAY / 2;

	*wait = written + STORE_DELAY / 2 - call->at;
	t->store_calls += 2;
	if (find_step(h, STEP_STORE, NODES, call->at, written))
		return AP_OUTCOME_NOT_RUN;
	if (find_step(h, STEP_STORE, NODES, written, call->at + *wait))
		return AP_OUTCOME_NOT_RUN;
	if (is_lost_during(h, entry, written, call->at + *wait + call->length))
		return AP_OUTCOME_UNKNOWN;
	return AP_OUTCOME_COMPLETED;
}

static bool is_partitioned(history_t *h, unsigned a, unsigned b, ap_usec_t at)
{
	const step_t *cut = find_step(h, STEP_PARTITION, NODES, at, at);

	return cut && (cut->sides >> a & 1) != (cut->sides >> b & 1);
}

/* A lease expires when the store is out, or its holder down or paused, for longer than LEASE. */
static bool holds_lease(history_t *h, unsigned node, ap_usec_t at)
{
	const step_t *outage = find_step(h, STEP_STORE, NODES, at, at);
	const step_t *killed = find_step(h, STEP_KILL, node, at, at);
	const step_t *paused = find_step(h, STEP_PAUSE, node, at, at);

	if (outage && at - outage->at > LEASE)
		return false;
	if (killed && at - killed->at > LEASE)
		return false;
	return !paused || at - paused->at <= LEASE;
}

/* The owner keeps its table in memory; a new owner cannot tell which calls had begun. */
static ap_outcome_t model_lease(history_t *h, ap_rng_t *rng, unsigned entry, const step_t *call,
				tally_t *t, ap_usec_t *wait)
{
	uint64_t key = ap_rng_u64(rng);
	double best = 0;
	unsigned owner = NODES;
	ap_usec_t arrival;

	for (unsigned i = 0; i < NODES; i++) {
		double score = ap_rendezvous(key, i, 1);

		if (score <= best || !holds_lease(h, i, call->at))
			continue;
		best = score;
		owner = i;
	}
	if (owner == NODES)
		return AP_OUTCOME_NOT_RUN;
	*wait = owner == entry ? 0 : draw(rng, HOP);
	t->messages += owner == entry ? 0 : 2;
	arrival = call->at + *wait;
	/*
	 * If the owner has been unreachable for VIEW_LAG, the entry knows and does not send the
	 * call. Otherwise nobody can tell whether the owner received the call.
	 */
	if (is_down_or_paused(h, owner, call->at - VIEW_LAG) &&
	    is_down_or_paused(h, owner, arrival))
		return AP_OUTCOME_NOT_RUN;
	if (is_partitioned(h, entry, owner, call->at - VIEW_LAG) &&
	    is_partitioned(h, entry, owner, arrival))
		return AP_OUTCOME_NOT_RUN;
	if (is_down_or_paused(h, owner, arrival) || is_partitioned(h, entry, owner, arrival))
		return AP_OUTCOME_UNKNOWN;
	if (is_lost_during(h, owner, arrival, arrival + call->length))
		return AP_OUTCOME_UNKNOWN;
	return AP_OUTCOME_COMPLETED;
}

typedef ap_outcome_t (*model_t)(history_t *h, ap_rng_t *rng, unsigned entry, const step_t *call,
				tally_t *t, ap_usec_t *wait);

static void run_model(const plan_t *plan, uint64_t seed, tally_t *t, model_t model)
{
	history_t h = {.plan = plan};
	ap_rng_t rng;

	ap_rng_seed(&rng, seed);
	for (size_t i = 0; i < plan->n; i++) {
		const step_t *step = &plan->steps[i];
		ap_usec_t wait = 0;
		ap_outcome_t outcome;
		int entry;

		if (step->kind != STEP_CALL)
			continue;
		entry = find_model_entry(&h, step->node, step->at);
		if (entry < 0)
			continue;
		outcome = model(&h, &rng, (unsigned)entry, step, t, &wait);
		t->calls++;
		t->by_outcome[outcome]++;
		if (outcome == AP_OUTCOME_COMPLETED)
			t->waits[t->n_waits++] = wait;
	}
}

/* Report. */

typedef struct figures {
	double unknown; /* share of calls */
	double not_run;
	double p50; /* milliseconds until the call may be dispatched */
	double p99;
	double store; /* store calls for each call */
	double messages;
	uint64_t calls;
	uint64_t ran_twice;
} figures_t;

static int compare_times(const void *a, const void *b)
{
	const ap_usec_t *x = a;
	const ap_usec_t *y = b;

	return (*x > *y) - (*x < *y);
}

static figures_t summarise(tally_t *t)
{
	double calls = (double)t->calls;
	size_t p50 = t->n_waits / 2;
	size_t p99 = t->n_waits * 99 / 100;

	qsort(t->waits, t->n_waits, sizeof(*t->waits), compare_times);
	return (figures_t){
		.unknown = (double)t->by_outcome[AP_OUTCOME_UNKNOWN] / calls,
		.not_run = (double)t->by_outcome[AP_OUTCOME_NOT_RUN] / calls,
		.p50 = (double)t->waits[p50] / AP_MSEC,
		.p99 = (double)t->waits[p99] / AP_MSEC,
		.store = (double)t->store_calls / calls,
		.messages = (double)t->messages / calls,
		.calls = t->calls,
		.ran_twice = t->ran_twice,
	};
}

static figures_t measure(model_t model)
{
	tally_t t = {0};
	figures_t figures;

	t.waits = malloc((size_t)SEEDS * HOURS * 3600 * CALLS_PER_SEC * 2 * sizeof(*t.waits));
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		plan_t plan = make_plan(seed);

		if (model)
			run_model(&plan, seed, &t, model);
		else
			run_permits(&plan, seed, &t);
		free(plan.faults);
		free(plan.steps);
	}
	figures = summarise(&t);
	free(t.waits);
	return figures;
}

static void print_row(const char *name, const figures_t *f)
{
	printf("%-22s %8llu %10.4f %10.4f %9.2f %9.2f %9.2f %9.2f\n", name,
	       (unsigned long long)f->calls, 100 * f->unknown, 100 * f->not_run, f->p50, f->p99,
	       f->store, f->messages);
}

static void print_verdict(const char *what, double value, const char *relation, double target,
			  bool met)
{
	printf("%-52s %10.4f  target %s %.4f: %s\n", what, value, relation, target,
	       met ? "met" : "missed");
}

int main(void)
{
	figures_t permits = measure(NULL);
	figures_t claims = measure(model_claim);
	figures_t leases = measure(model_lease);

	printf("%d entries, %d calls/s, %d seeds of %d h; service %.0f ms, hop %.1f ms, store %.0f "
	       "ms\n",
	       NODES, CALLS_PER_SEC, SEEDS, HOURS, (double)SERVICE / (double)AP_MSEC,
	       (double)HOP / (double)AP_MSEC, (double)STORE_DELAY / (double)AP_MSEC);
	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++)
		printf("fault: %s every %.0f s in the region, for %.0f s\n", faults[i].name,
		       (double)faults[i].every / (double)AP_SEC,
		       (double)faults[i].length / (double)AP_SEC);
	printf("%-22s %8s %10s %10s %9s %9s %9s %9s\n", "method", "calls", "unknown %", "not-run %",
	       "p50 ms", "p99 ms", "store/call", "msgs/call");
	print_row("permit and witness", &permits);
	print_row("claim for each call", &claims);
	print_row("owner with a lease", &leases);
	print_verdict("permits: calls that ran twice", (double)permits.ran_twice, "=", 0,
		      permits.ran_twice == 0);
	print_verdict("permits: unknown %, compared with claims", 100 * permits.unknown,
		      "<=", 100 * claims.unknown, permits.unknown <= claims.unknown);
	print_verdict("permits: unknown %, compared with leases", 100 * permits.unknown,
		      "<=", 100 * leases.unknown, permits.unknown <= leases.unknown);
	print_verdict("permits: not-run %, compared with claims", 100 * permits.not_run,
		      "<=", 100 * claims.not_run, permits.not_run <= claims.not_run);
	print_verdict("permits: p50 delay ms, compared with claims", permits.p50, "<=", claims.p50,
		      permits.p50 <= claims.p50);
	print_verdict("permits: store calls per call", permits.store, "=", 0, permits.store == 0);
	return 0;
}
