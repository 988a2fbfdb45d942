/* Tests of a few real instances in which one thing goes wrong at a time. */
#ifndef SOAK_SCENARIO_H
#define SOAK_SCENARIO_H

#include "../act.h"
#include "soak.h"

#define SCENARIO_INSTANCES 4 /* in two regions by turns, if nothing else is said */
#define SCENARIO_WARM_UP (3 * AP_SEC)
#define SCENARIO_TURN (20 * AP_MSEC)

/* Path of the daemon; set by main(). */
extern const char *scenario_program;
/* Further lines for the instances' table [gateway]; NULL for none. */
extern const char *scenario_gateway;
/* Settings of the instances, as in soak_t. */
extern unsigned scenario_memory_mb;
extern unsigned scenario_descriptors;
/* The logs are kept also without findings. */
extern bool scenario_keep;
/* Size of the deployment, as in soak_t; 0 for SCENARIO_INSTANCES. */
extern size_t scenario_instances;
extern unsigned scenario_regions;
extern unsigned scenario_data_centres;
extern unsigned scenario_homes;
/* Software version of the upstreams that it starts with; NULL for none. */
extern const char *scenario_release;
/* Program of every @scenario_older_step th instance; NULL for none. */
extern const char *scenario_older;
extern unsigned scenario_older_step;
/* Customers of the configuration, as JSON; NULL for none. */
extern const char *scenario_tenants;

/* Starts the deployment; the state is a soak_t. */
int scenario_set_up(void **state);
int scenario_tear_down(void **state);
void scenario_run(soak_t *s, ap_usec_t how_long);

#define SCENARIO(test) cmocka_unit_test_setup_teardown(test, scenario_set_up, scenario_tear_down)

#endif
