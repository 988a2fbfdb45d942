/*
 * The builds command: reads the log records of instances and prints which build each one runs, as
 * its last start says. An instance that a later record says has stopped isn't counted.
 */
#include "ctl.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES_MAX 4096

typedef struct instance {
	char name[AP_NAME_MAX];
	char build[AP_NAME_MAX];
	double started; /* wall time of the last start, in seconds */
	double changed; /* likewise of the last start or stop */
	bool runs;
} instance_t;

typedef struct instances {
	instance_t *v;
	size_t n;
} instances_t;

static const char *text_of(json_t *o, const char *field, const char *missing)
{
	const char *text = json_string_value(json_object_get(o, field));

	return text && *text ? text : missing;
}

static instance_t *get(instances_t *all, const char *name)
{
	for (size_t i = 0; i < all->n; i++) {
		if (strcmp(all->v[i].name, name) == 0)
			return &all->v[i];
	}
	if (all->n == INSTANCES_MAX || !ap_copy_name(all->v[all->n].name, AP_NAME_MAX, name))
		return NULL;
	return &all->v[all->n++];
}

static void read_record(instances_t *all, json_t *record)
{
	const char *event = text_of(record, "event", "");
	bool started = strcmp(event, "process.started") == 0;
	double wall = json_number_value(json_object_get(record, "wall"));
	instance_t *instance;

	if (!started && strcmp(event, "process.stopped") != 0)
		return;
	instance = get(all, text_of(record, "instance", "?"));
	if (!instance)
		return;
	/* Builds before this command didn't say. */
	if (started && wall >= instance->started) {
		instance->started = wall;
		ap_copy_name(instance->build, AP_NAME_MAX, text_of(record, "build", "unnamed"));
	}
	if (wall < instance->changed)
		return;
	instance->changed = wall;
	instance->runs = started;
}

static void read_stream(instances_t *all, FILE *in)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, in) >= 0) {
		const char *start = strchr(line, '{');
		json_t *record = start ? json_loads(start, 0, NULL) : NULL;

		if (record)
			read_record(all, record);
		json_decref(record);
	}
	free(line);
}

static bool read_file(instances_t *all, const char *path)
{
	FILE *in = fopen(path, "r");

	if (!in) {
		ctl_fail(CTL_INVALID, "%s: %s", path, strerror(errno));
		return false;
	}
	read_stream(all, in);
	fclose(in);
	return true;
}

static bool read_all(const ctl_options_t *o, instances_t *all)
{
	bool ok = true;

	if (o->argument)
		ok = read_file(all, o->argument);
	else
		read_stream(all, stdin);
	for (size_t i = 0; ok && i < o->n_files; i++)
		ok = read_file(all, o->files[i]);
	return ok;
}

/* Prints each build once, with how many instances run it. Return: the number of builds. */
static size_t print_builds(const instances_t *all)
{
	size_t builds = 0;

	for (size_t i = 0; i < all->n; i++) {
		size_t n = 0;
		bool first = all->v[i].runs;

		for (size_t k = 0; first && k < all->n; k++) {
			if (!all->v[k].runs || strcmp(all->v[k].build, all->v[i].build) != 0)
				continue;
			first = k >= i;
			n++;
		}
		if (!first)
			continue;
		printf("build %s: %zu instances\n", all->v[i].build, n);
		builds++;
	}
	return builds;
}

ctl_exit_t ctl_builds(const ctl_options_t *o)
{
	instances_t all = {.v = calloc(INSTANCES_MAX, sizeof(*all.v))};
	ctl_exit_t status = CTL_OK;

	if (!all.v || !read_all(o, &all)) {
		free(all.v);
		return CTL_INVALID;
	}
	for (size_t i = 0; i < all.n; i++)
		printf("%s %s %s %.3f\n", all.v[i].name, all.v[i].build,
		       all.v[i].runs ? "since" : "stopped", all.v[i].changed);
	if (print_builds(&all) > 1)
		status = CTL_DIFFERENT;
	free(all.v);
	return status;
}
