/* Starts a deployment for a test and runs its event loop. */
#include "scenario.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

#define HEARTBEAT AP_SEC

const char *scenario_program;
const char *scenario_gateway;
unsigned scenario_memory_mb;
unsigned scenario_descriptors;
bool scenario_keep;
size_t scenario_instances;
unsigned scenario_regions;
unsigned scenario_data_centres;
unsigned scenario_homes;
const char *scenario_release;
const char *scenario_older;
unsigned scenario_older_step = 3;
const char *scenario_tenants;

void soak_finding(soak_t *s, const char *fmt, ...)
{
	va_list args;

	s->findings++;
	va_start(args, fmt);
	vprint_error(fmt, args);
	va_end(args);
	print_error("\n");
}

static void reap(soak_t *s)
{
	for (size_t i = 0; i < s->n_instances; i++) {
		instance_t *inst = &s->instances[i];
		int status;

		if (inst->pid > 0 && waitpid(inst->pid, &status, WNOHANG) == inst->pid)
			instance_ended(inst, status);
	}
}

void scenario_run(soak_t *s, ap_usec_t how_long)
{
	ap_usec_t until = ap_now() + how_long;

	while (ap_now() < until) {
		soak_turn(s, ap_now());
		if (ap_now() >= s->heartbeat_at) {
			for (size_t i = 0; i < s->n_replicas; i++)
				replica_heartbeat(s, i);
			for (size_t i = 0; i < s->n_instances; i++)
				instance_check_version(&s->instances[i]);
			s->heartbeat_at = ap_now() + HEARTBEAT;
		}
		reap(s);
		act_run(s->base, SCENARIO_TURN < how_long ? SCENARIO_TURN : how_long);
	}
}

int scenario_set_up(void **state)
{
	soak_t *s = calloc(1, sizeof(*s));

	signal(SIGPIPE, SIG_IGN);
	s->program = scenario_program;
	s->gateway = scenario_gateway;
	s->memory_mb = scenario_memory_mb;
	s->descriptors = scenario_descriptors;
	s->tenants = scenario_tenants;
	s->regions = scenario_regions;
	s->data_centres = scenario_data_centres;
	s->homes = scenario_homes;
	s->release = scenario_release;
	s->older = scenario_older;
	s->older_step = scenario_older_step;
	ap_rng_seed(&s->rng, 1);
	ap_rng_seed(&s->schedule, 1);
	ap_rng_seed(&s->spoils, 1);
	s->start = ap_now();
	soak_set_up(s, scenario_instances > 0 ? scenario_instances : SCENARIO_INSTANCES);
	scenario_run(s, SCENARIO_WARM_UP);
	*state = s;
	return 0;
}

int scenario_tear_down(void **state)
{
	soak_t *s = *state;

	soak_tear_down(s);
	caller_finish(s);
	if (s->findings == 0 && !scenario_keep)
		soak_remove_logs(s);
	free(s);
	return 0;
}
