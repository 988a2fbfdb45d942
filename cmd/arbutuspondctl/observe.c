/* Commands for the state and events of instances, and drain: status, drain, events, timeline. */
#include "http.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* An event and the clock value by which events of all instances are sorted. */
typedef struct line {
	json_t *event;
	json_int_t wall_ms;
	json_int_t count;
	const char *instance;
	json_int_t number;
} line_t;

typedef struct lines {
	line_t *v;
	size_t n;
} lines_t;

static const char *text_at(json_t *o, const char *key)
{
	const char *text = json_string_value(json_object_get(o, key));

	return text ? text : "";
}

static json_int_t int_at(json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static void print_member(json_t *m)
{
	printf("  entry     %-20s %-12s %-12s %s\n", text_at(m, "id"), text_at(m, "region"),
	       text_at(m, "data_centre"), text_at(m, "state"));
}

static void print_upstream(json_t *u)
{
	json_t *model;
	size_t i;

	printf("  upstream  %-20s %-12s %-12s %s", text_at(u, "id"), text_at(u, "region"),
	       text_at(u, "data_centre"),
	       json_is_true(json_object_get(u, "leaving")) ? "leaving" : "live");
	json_array_foreach (json_object_get(u, "models"), i, model)
		printf("%s%s", i == 0 ? "  " : ",", json_string_value(model));
	putchar('\n');
}

static void print_state(json_t *state)
{
	json_t *item;
	size_t i;

	printf("%s  %s/%s  generation %" JSON_INTEGER_FORMAT "  %s%s%s\n", text_at(state, "id"),
	       text_at(state, "region"), text_at(state, "data_centre"), int_at(state, "generation"),
	       json_is_true(json_object_get(state, "ready")) ? "ready" : "not ready: ",
	       text_at(state, "why"),
	       json_is_true(json_object_get(state, "draining")) ? "  draining" : "");
	json_array_foreach (json_object_get(state, "members"), i, item)
		print_member(item);
	json_array_foreach (json_object_get(state, "upstreams"), i, item)
		print_upstream(item);
}

static ctl_exit_t status_of(const ctl_options_t *o, const ap_address_t *admin)
{
	http_request_t request = http_admin_request(o, admin, EVHTTP_REQ_GET, "/state");
	http_response_t response;
	ctl_exit_t status = CTL_OK;

	if (!http_call(&request, &response) || response.code != 200) {
		status = http_fail(&request, &response);
	} else {
		json_t *state = http_json(&response);

		if (!json_is_true(json_object_get(state, "ready")))
			status = CTL_DIFFERENT;
		if (o->json)
			ctl_print_json(json_incref(state));
		else
			print_state(state);
		json_decref(state);
	}
	http_clear(&response);
	return status;
}

ctl_exit_t ctl_status(const ctl_options_t *o)
{
	ctl_exit_t worst = CTL_OK;

	for (size_t i = 0; i < o->n_admins; i++) {
		ctl_exit_t status = status_of(o, &o->admins[i]);

		if (status > worst)
			worst = status;
	}
	return worst;
}

ctl_exit_t ctl_drain(const ctl_options_t *o)
{
	http_request_t request = http_admin_request(o, &o->admins[0], EVHTTP_REQ_POST, "/drain");
	http_response_t response;
	ctl_exit_t status = CTL_OK;

	if (o->n_admins != 1)
		return ctl_fail(CTL_REFUSED, "drain takes exactly one --admin");
	request.body = "";
	if (!http_call(&request, &response) || response.code / 100 != 2)
		status = http_fail(&request, &response);
	else if (o->json)
		ctl_print_json(json_pack("{s:b}", "draining", 1));
	else
		puts("draining");
	http_clear(&response);
	return status;
}

static void add_line(lines_t *lines, json_t *event)
{
	line_t *grown = realloc(lines->v, (lines->n + 1) * sizeof(*grown));

	if (!grown)
		abort();
	lines->v = grown;
	lines->v[lines->n++] = (line_t){
		.event = event,
		.wall_ms = int_at(event, "wall_ms"),
		.count = int_at(event, "count"),
		.instance = text_at(event, "instance"),
		.number = int_at(event, "number"),
	};
}

static void add_lines(const ctl_options_t *o, lines_t *lines, char *text)
{
	char *rest = text;
	char *line;

	while ((line = strsep(&rest, "\n"))) {
		json_t *event = json_loads(line, 0, NULL);

		if (event && (!o->request || strcmp(text_at(event, "request"), o->request) == 0))
			add_line(lines, event);
		else
			json_decref(event);
	}
}

static ctl_exit_t read_events(const ctl_options_t *o, const ap_address_t *admin, lines_t *lines)
{
	char path[64] = "";
	http_request_t request = http_admin_request(o, admin, EVHTTP_REQ_GET, path);
	http_response_t response;
	ctl_exit_t status = CTL_OK;

	snprintf(path, sizeof(path), "/events?after=%" PRIu64, o->after);
	if (http_call(&request, &response) && response.code == 200)
		add_lines(o, lines, response.body);
	else
		status = http_fail(&request, &response);
	http_clear(&response);
	return status;
}

static int compare(json_int_t a, json_int_t b)
{
	return (a > b) - (a < b);
}

static int by_clock(const void *left, const void *right)
{
	const line_t *a = left;
	const line_t *b = right;

	if (a->wall_ms != b->wall_ms)
		return compare(a->wall_ms, b->wall_ms);
	if (a->count != b->count)
		return compare(a->count, b->count);
	if (strcmp(a->instance, b->instance) != 0)
		return strcmp(a->instance, b->instance);
	return compare(a->number, b->number);
}

static void print_line(const ctl_options_t *o, const line_t *line)
{
	time_t seconds = (time_t)(line->wall_ms / 1000);
	char stamp[32];
	struct tm tm;

	if (o->json) {
		ctl_print_json(json_incref(line->event));
		return;
	}
	gmtime_r(&seconds, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	printf("%s.%03dZ+%-3" JSON_INTEGER_FORMAT " %-16s %-20s %s%s%s\n", stamp,
	       (int)(line->wall_ms % 1000), line->count, line->instance,
	       text_at(line->event, "kind"), text_at(line->event, "detail"),
	       *text_at(line->event, "request") ? " request=" : "",
	       text_at(line->event, "request"));
}

/* Prints the events of the first @n admin listeners, merged and sorted by clock. */
static ctl_exit_t join_events(const ctl_options_t *o, size_t n)
{
	ctl_exit_t worst = CTL_OK;
	lines_t lines = {0};

	for (size_t i = 0; i < n; i++) {
		ctl_exit_t status = read_events(o, &o->admins[i], &lines);

		if (status > worst)
			worst = status;
	}
	if (lines.n > 0)
		qsort(lines.v, lines.n, sizeof(*lines.v), by_clock);
	for (size_t i = 0; i < lines.n; i++) {
		print_line(o, &lines.v[i]);
		json_decref(lines.v[i].event);
	}
	free(lines.v);
	return worst;
}

ctl_exit_t ctl_events(const ctl_options_t *o)
{
	return join_events(o, 1);
}

ctl_exit_t ctl_timeline(const ctl_options_t *o)
{
	return join_events(o, o->n_admins);
}
