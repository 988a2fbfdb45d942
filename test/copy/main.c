/*
 * The store goes back to an older copy of itself: real instances with the store and the upstreams
 * of the soak.
 */
#include "../soak/scenario.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define APPLY (3 * AP_SEC)  /* apply_ms of the settings */
#define SETTLE (2 * AP_SEC) /* until records that the copy lacks are written again */
#define SERVED_MIN 0.99
#define START_MAX (20 * AP_SEC) /* of a process, on a busy machine */

static void send_for(soak_t *s, ap_usec_t how_long)
{
	ap_usec_t until = ap_now() + how_long;

	while (ap_now() < until) {
		caller_send(s);
		scenario_run(s, SCENARIO_TURN);
	}
}

static void check_registered(soak_t *s)
{
	char key[96];

	for (size_t i = 0; i < s->n_instances; i++) {
		snprintf(key, sizeof(key), "arbutuspond/instances/%s", s->instances[i].id);
		if (!store_has(s->store, key))
			soak_finding(s, "copy: %s isn't in the store", s->instances[i].id);
	}
}

static void check_configured(soak_t *s)
{
	for (size_t i = 0; i < s->n_instances; i++) {
		if (s->instances[i].version != s->version)
			soak_finding(s, "configuration: %s has version %llu of %llu",
				     s->instances[i].id,
				     (unsigned long long)s->instances[i].version,
				     (unsigned long long)s->version);
	}
}

static void check_served(soak_t *s)
{
	scenario_run(s, 4 * AP_SEC); /* more than any request has */
	if (s->served < SERVED_MIN * s->sent)
		soak_finding(s, "copy: %u of %u requests served", s->served, s->sent);
}

/* Starts @inst and waits until it has read the configuration. */
static void begin_instance(soak_t *s, instance_t *inst)
{
	ap_usec_t until = ap_now() + START_MAX;

	instance_start(inst);
	while (inst->version == 0 && ap_now() < until)
		scenario_run(s, SCENARIO_TURN);
	assert_true(inst->version > 0);
}

static void end_instance(soak_t *s, instance_t *inst)
{
	instance_signal(inst, SIGKILL);
	while (inst->pid > 0)
		scenario_run(s, SCENARIO_TURN);
}

/* Callers of a second are served, and nothing was found before. */
static void check_all(soak_t *s)
{
	s->sent = 0;
	s->served = 0;
	send_for(s, AP_SEC);
	check_served(s);
	assert_int_equal(s->findings, 0);
}

/* What the copy doesn't have: a version, an instance that began anew, an upstream in another's
 * place. */
static void change_since_the_copy(soak_t *s)
{
	instance_t *restarted = &s->instances[1];
	char pool[AP_NAME_MAX];

	publish_config(s);
	end_instance(s, restarted);
	begin_instance(s, restarted);
	replica_crash(s, 0);
	ap_copy_name(pool, sizeof(pool), s->replicas[0].pool);
	replica_start(s, 0, pool, s->replicas[0].region);
	scenario_run(s, APPLY);
}

/*
 * Guards against CONFIG and LOST: instances that took the copy's version of the configuration for a
 * newer one, lost their registration, or knew no upstreams once the store had gone back.
 */
static void test_a_copy_takes_nothing_back(void **state)
{
	soak_t *s = *state;

	store_save(s->store);
	change_since_the_copy(s);
	check_configured(s);
	s->sent = 0;
	s->served = 0;
	send_for(s, AP_SEC);
	store_restore(s->store);
	send_for(s, SETTLE);
	check_registered(s);
	check_configured(s);
	send_for(s, APPLY);
	check_registered(s);
	check_configured(s);
	check_served(s);
	assert_int_equal(s->findings, 0);
}

/* Guards against CONFIG: instances that compared revisions across eras took no change any more. */
static void test_changes_behind_a_copy_are_followed(void **state)
{
	soak_t *s = *state;

	store_save(s->store);
	for (int i = 0; i < 3; i++) {
		change_since_the_copy(s);
		store_restore(s->store);
		scenario_run(s, SCENARIO_TURN);
		publish_config(s);
		scenario_run(s, APPLY);
		check_configured(s);
		check_registered(s);
	}
	check_all(s);
}

/* Guards against LOST: an instance that begins while the copy is all that the store has. */
static void test_an_instance_begins_on_a_copy(void **state)
{
	soak_t *s = *state;
	instance_t *late = &s->instances[2];

	store_save(s->store);
	change_since_the_copy(s);
	end_instance(s, late);
	store_restore(s->store);
	begin_instance(s, late);
	scenario_run(s, SCENARIO_WARM_UP);
	check_configured(s);
	check_registered(s);
	check_all(s);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		SCENARIO(test_a_copy_takes_nothing_back),
		SCENARIO(test_changes_behind_a_copy_are_followed),
		SCENARIO(test_an_instance_begins_on_a_copy),
	};

	scenario_program = argc > 1 ? argv[1] : "";
	return cmocka_run_group_tests(tests, NULL, NULL);
}
