/*
 * The ask command: sends one request as a caller does, for a streamed or complete inference
 * response or to a plain service, with a permit if wanted.
 */
#include "http.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_MAX_BYTES 512
#define FIELD_MAX_BYTES 64

/**
 * struct ask - one request in progress.
 * @in: bytes of the stream that do not form a complete line yet
 * @text: generated text or body of the response received so far
 * @done: the end mark of the stream or a complete response was received
 */
typedef struct ask {
	const ctl_options_t *o;
	struct evbuffer *partial;
	struct evbuffer *text;
	bool done;
	char outcome[FIELD_MAX_BYTES];
	char cost[FIELD_MAX_BYTES];
	char region[FIELD_MAX_BYTES];
} ask_t;

static void add_text(ask_t *ask, const char *text)
{
	evbuffer_add(ask->text, text, strlen(text));
	if (ask->o->json)
		return;
	fputs(text, stdout);
	fflush(stdout);
}

/* Copies the value of "key=" from a comment line, up to the next space. */
static void copy_value(const char *comment, const char *key, char out[FIELD_MAX_BYTES])
{
	const char *at = strstr(comment, key);
	size_t len;

	if (!at)
		return;
	at += strlen(key);
	len = strcspn(at, " \r");
	if (len >= FIELD_MAX_BYTES)
		len = FIELD_MAX_BYTES - 1;
	memcpy(out, at, len);
	out[len] = '\0';
}

/* The generated text in a chunk or in a complete response. */
static const char *content_of(json_t *json)
{
	json_t *choice = json_array_get(json_object_get(json, "choices"), 0);
	json_t *delta = json_object_get(choice, "delta");
	const char *text;

	if (!delta)
		delta = json_object_get(choice, "message");
	text = json_string_value(json_object_get(delta, "content"));
	if (!text)
		text = json_string_value(json_object_get(choice, "text"));
	return text ? text : "";
}

static void handle_data(ask_t *ask, const char *data)
{
	json_t *json;
	const char *message;

	if (strncmp(data, "[DONE]", 6) == 0) {
		ask->done = true;
		return;
	}
	json = json_loads(data, 0, NULL);
	message = json_string_value(json_object_get(json_object_get(json, "error"), "message"));
	if (message)
		ctl_fail(CTL_UNKNOWN, "the stream ended with an error: %s", message);
	else
		add_text(ask, content_of(json));
	json_decref(json);
}

static void handle_line(ask_t *ask, const char *line)
{
	static const char comment[] = ": arbutuspond ";

	if (strncmp(line, "data: ", 6) == 0)
		handle_data(ask, line + 6);
	if (strncmp(line, comment, sizeof(comment) - 1) != 0)
		return;
	copy_value(line, "outcome=", ask->outcome);
	copy_value(line, "cost=", ask->cost);
	copy_value(line, "region=", ask->region);
}

static void on_chunk(void *ctx, const char *data, size_t len)
{
	ask_t *ask = ctx;
	char *line;

	evbuffer_add(ask->partial, data, len);
	while ((line = evbuffer_readln(ask->partial, NULL, EVBUFFER_EOL_CRLF))) {
		handle_line(ask, line);
		free(line);
	}
}

/* Requests a permit. Return: its text, to be freed, or NULL with @status set. */
static char *request_permit(const ctl_options_t *o, ctl_exit_t *status)
{
	char path[PATH_MAX_BYTES];
	char *encoded = evhttp_uriencode(o->service, -1, 0);
	http_request_t request = {.to = &o->entry,
				  .method = EVHTTP_REQ_POST,
				  .path = path,
				  .bearer = o->key,
				  .body = ""};
	http_response_t response;
	char *permit = NULL;

	snprintf(path, sizeof(path), "/v1/permits?service=%s", encoded ? encoded : "");
	free(encoded);
	if (http_call(&request, &response) && response.code == 200) {
		json_t *json = http_json(&response);
		const char *text = json_string_value(json_object_get(json, "permit"));

		permit = text ? strdup(text) : NULL;
		json_decref(json);
		if (!permit)
			*status = ctl_fail(CTL_REFUSED, "the response contains no permit");
	} else {
		*status = http_fail(&request, &response);
	}
	http_clear(&response);
	return permit;
}

static char *make_request_body(const ctl_options_t *o)
{
	char model[PATH_MAX_BYTES];
	json_t *json;
	char *text;

	snprintf(model, sizeof(model), "%s%s%s", o->service, o->model ? "/" : "",
		 o->model ? o->model : "");
	json = json_pack("{s:s, s:[{s:s, s:s}], s:b, s:i}", "model", model, "messages", "role",
			 "user", "content", o->argument, "stream", !o->whole, "max_tokens",
			 (int)o->max_tokens);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

/* The last comment of a stream takes precedence over the headers, which were sent before it. */
static void fill_from_headers(ask_t *ask, const http_response_t *response)
{
	if (!*ask->outcome)
		ap_copy_name(ask->outcome, sizeof(ask->outcome),
			     http_header(response, "Arbutuspond-Outcome"));
	if (!*ask->cost)
		ap_copy_name(ask->cost, sizeof(ask->cost),
			     http_header(response, "Arbutuspond-Cost"));
	if (!*ask->region)
		ap_copy_name(ask->region, sizeof(ask->region),
			     http_header(response, "Arbutuspond-Region"));
}

static void handle_complete_response(ask_t *ask, const http_response_t *response)
{
	json_t *json = http_json(response);

	if (ask->o->path)
		add_text(ask, response->body);
	else
		add_text(ask, content_of(json));
	ask->done = true;
	json_decref(json);
}

static void print_summary(const ask_t *ask, const http_response_t *response, const char *permit)
{
	size_t len = evbuffer_get_length(ask->text);

	if (ask->o->json) {
		ctl_print_json(json_pack(
			"{s:i, s:s%, s:s, s:s, s:s, s:s, s:s, s:b}", "status", response->code,
			"answer", len ? (const char *)evbuffer_pullup(ask->text, -1) : "", len,
			"region", ask->region, "cost", ask->cost, "outcome", ask->outcome,
			"request", http_header(response, "Arbutuspond-Request-Id"), "permit",
			permit ? permit : "", "whole", ask->done));
		return;
	}
	if (len > 0)
		putchar('\n');
	printf("region=%s cost=%s outcome=%s request=%s\n", ask->region, ask->cost, ask->outcome,
	       http_header(response, "Arbutuspond-Request-Id"));
	if (permit)
		printf("permit=%s\n", permit);
}

static ctl_exit_t exit_for(const ask_t *ask, const http_request_t *request,
			   const http_response_t *response)
{
	if (response->code != 200) {
		ctl_exit_t status = http_fail(request, response);

		if (response->code >= 500 && strcmp(ask->outcome, "not-run") == 0)
			return CTL_NOT_RUN;
		if (response->code >= 500 && strcmp(ask->outcome, "unknown") == 0)
			return CTL_UNKNOWN;
		return status;
	}
	if (!response->complete || !ask->done)
		return ctl_fail(CTL_UNKNOWN, "the response ended before its end mark");
	if (strcmp(ask->outcome, "completed") != 0)
		return CTL_UNKNOWN;
	return CTL_OK;
}

static ctl_exit_t send_ask_request(ask_t *ask, const char *permit)
{
	const ctl_options_t *o = ask->o;
	const char *headers[] = {"Arbutuspond-Service",
				 o->service,
				 "Arbutuspond-Permit",
				 permit ? permit : "",
				 "Content-Type",
				 o->path ? "" : "application/json",
				 NULL};
	char path[PATH_MAX_BYTES] = "/v1/chat/completions";
	http_request_t request = {.to = &o->entry,
				  .method = EVHTTP_REQ_POST,
				  .path = path,
				  .bearer = o->key,
				  .headers = headers,
				  .ctx = ask};
	char *body = o->path ? NULL : make_request_body(o);
	http_response_t response;
	ctl_exit_t status;

	if (o->path)
		snprintf(path, sizeof(path), "/s/%s/%s", o->service,
			 o->path + (o->path[0] == '/' ? 1 : 0));
	if (o->path && !o->argument)
		request.method = EVHTTP_REQ_GET;
	request.body = o->path ? o->argument : body;
	if (!o->path && !o->whole)
		request.on_chunk = on_chunk;
	if (http_call(&request, &response) && response.code == 200 && !request.on_chunk)
		handle_complete_response(ask, &response);
	fill_from_headers(ask, &response);
	print_summary(ask, &response, permit);
	status = exit_for(ask, &request, &response);
	http_clear(&response);
	free(body);
	return status;
}

ctl_exit_t ctl_ask(const ctl_options_t *o)
{
	ask_t ask = {.o = o, .partial = evbuffer_new(), .text = evbuffer_new()};
	ctl_exit_t status = CTL_OK;
	char *new_permit = NULL;

	if (!ask.partial || !ask.text)
		abort();
	if (o->permit && !*o->permit)
		new_permit = request_permit(o, &status);
	if (status == CTL_OK)
		status = send_ask_request(&ask, new_permit ? new_permit : o->permit);
	free(new_permit);
	evbuffer_free(ask.partial);
	evbuffer_free(ask.text);
	return status;
}
