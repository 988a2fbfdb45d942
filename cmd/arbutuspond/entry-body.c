/* Bodies of inference requests: reads the caller's body and writes the one for the engine. */
#include "entry.h"

#include <stdlib.h>
#include <string.h>

#define BYTES_PER_TOKEN 4      /* approximate size of a prompt token */
#define TOKENS_OUT_DEFAULT 256 /* assumed generated tokens without a valid max_tokens */
#define TOKENS_OUT_MAX (1 << 20)

bool body_model(const char *text, char *service, char *model, char *adapter)
{
	char *const parts[] = {service, model, adapter};

	for (int i = 0; i < 3; i++) {
		size_t len = strcspn(text, "/");

		if (len >= AP_NAME_MAX)
			return false;
		memcpy(parts[i], text, len);
		parts[i][len] = '\0';
		text += len;
		if (*text == '/')
			text++;
	}
	return *text == '\0' && service[0];
}

/* Without a model in the request, chooses the first one that serves the service. */
static bool choose_model(exchange_t *x)
{
	const ap_conf_t *conf = x->view->conf;
	const ap_service_t *service = x->req.service;

	for (size_t i = 0; !x->model[0] && i < conf->n_models; i++) {
		if (ap_selector_match(&service->models, &conf->models[i].labels))
			ap_copy_name(x->model, sizeof(x->model), conf->models[i].name);
	}
	x->req.model = x->model;
	x->req.adapter = x->adapter[0] ? x->adapter : NULL;
	return x->model[0] != '\0';
}

static void estimate_tokens(exchange_t *x, json_t *prompt)
{
	char *text = json_dumps(prompt, JSON_COMPACT | JSON_ENCODE_ANY);
	json_t *limit = json_object_get(x->doc, "max_tokens");
	json_int_t out = json_is_integer(limit) ? json_integer_value(limit) : TOKENS_OUT_DEFAULT;

	if (text) {
		size_t len = strlen(text);

		x->req.tokens_in = (uint32_t)(len / BYTES_PER_TOKEN) + 1;
		x->req.n_blocks = ap_prefix_blocks(text, len, x->req.blocks);
	}
	free(text);
	if (out < 1 || out > TOKENS_OUT_MAX)
		out = TOKENS_OUT_DEFAULT;
	x->req.tokens_out = (uint32_t)out;
}

static bool set_bad_request(entry_fault_t *fault, const char *text)
{
	fault->error = ENTRY_BAD_REQUEST;
	ap_copy_name(fault->text, sizeof(fault->text), text);
	return false;
}

json_t *body_read(const void *data, size_t len, entry_fault_t *fault)
{
	json_error_t error;
	json_t *doc = json_loadb(data, len, JSON_REJECT_DUPLICATES, &error);

	if (json_is_object(doc))
		return doc;
	set_bad_request(fault, doc ? "the body is not a JSON object" : error.text);
	json_decref(doc);
	return NULL;
}

bool body_apply(exchange_t *x, json_t *doc, entry_fault_t *fault)
{
	json_t *prompt = json_object_get(doc, "messages");
	json_t *stream = json_object_get(doc, "stream");

	x->doc = json_incref(doc);
	if (!prompt)
		prompt = json_object_get(doc, "prompt");
	if (!json_is_array(prompt) && !json_is_string(prompt))
		return set_bad_request(fault, "the body has neither messages nor a prompt");
	if (stream && !json_is_boolean(stream))
		return set_bad_request(fault, "stream is not true or false");
	x->wants_stream = json_is_true(stream);
	estimate_tokens(x, prompt);
	if (choose_model(x))
		return true;
	fault->error = ENTRY_NOT_FOUND;
	ap_copy_name(fault->text, sizeof(fault->text), "no model serves this service");
	return false;
}

/* Adds the tokens that the caller has from here to those that @doc says it had before. */
static void add_resume(const exchange_t *x, json_t *doc)
{
	const stream_t *s = &x->stream;
	size_t len = s->text ? evbuffer_get_length(s->text) : 0;
	const char *text = len ? (const char *)evbuffer_pullup(s->text, -1) : "";
	json_t *earlier = json_object_get(doc, "resume");
	json_int_t tokens = json_integer_value(json_object_get(earlier, "tokens"));
	const char *start = json_string_value(json_object_get(earlier, "text"));
	json_t *resume;

	if (s->tokens == 0)
		return;
	resume = json_object();
	json_object_set_new(resume, "tokens", json_integer(tokens + s->tokens));
	json_object_set_new(resume, "text",
			    json_sprintf("%s%.*s", start ? start : "", (int)len, text));
	json_object_set_new(doc, "resume", resume);
}

static char *dump_and_free(json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	json_decref(doc);
	return text;
}

char *body_for_entry(const exchange_t *x)
{
	json_t *doc = json_copy(x->doc);

	add_resume(x, doc);
	return dump_and_free(doc);
}

char *body_for_upstream(const exchange_t *x)
{
	json_t *doc = json_copy(x->doc);
	const char *model = x->adapter[0] ? x->adapter : x->choice.model;

	json_object_set_new(doc, "model", json_string(model));
	json_object_set_new(doc, "priority", json_integer(x->choice.priority));
	add_resume(x, doc);
	return dump_and_free(doc);
}
