/* Token generation of the engine stand-in: each token depends only on the prompt and its number. */
#include "batch.h"

#include "log/log.h"

#include <stdlib.h>
#include <string.h>

#define EVENT_BYTES_MAX 1024

static const char *const words[] = {
	"the",	 "tray", "meal", "cart",  "row",    "stand", "fair",  "is",
	"ready", "for",	 "the",	 "cabin", "before", "noon",  "today", "and",
};

#define N_WORDS (sizeof(words) / sizeof(words[0]))

static const char *token_text(const job_t *job, unsigned number)
{
	return words[ap_hash(&number, sizeof(number), job->seed) % N_WORDS];
}

static void start_waiting(batch_t *b);

static void job_free(job_t *job)
{
	batch_t *b = job->batch;

	TAILQ_REMOVE(&b->jobs, job, link);
	if (job->running)
		b->running--;
	else
		b->waiting--;
	event_free(job->timer);
	free(job->text);
	free(job);
}

/* Ends the job; its exchange stays open and the job sends nothing more. */
static void abandon_job(job_t *job)
{
	batch_t *b = job->batch;

	exchange_watch(job->x, NULL, NULL);
	job_free(job);
	start_waiting(b);
}

static void on_gone(void *ctx)
{
	job_t *job = ctx;
	batch_t *b = job->batch;

	job_free(job);
	start_waiting(b);
}

static json_t *usage(const job_t *job)
{
	return json_pack("{s:i, s:i, s:i, s:{s:i}}", "prompt_tokens", (int)job->prompt_tokens,
			 "completion_tokens", (int)job->next, "total_tokens",
			 (int)(job->prompt_tokens + job->next), "prompt_tokens_details",
			 "cached_tokens", (int)job->cached_tokens);
}

static void send_event(job_t *job, json_t *json)
{
	char out[EVENT_BYTES_MAX];
	char *text = json_dumps(json, JSON_COMPACT);
	int len = snprintf(out, sizeof(out), "data: %s\n\n", text);

	exchange_write(job->x, out, (size_t)len);
	free(text);
	json_decref(json);
}

static json_t *chunk(const job_t *job, json_t *choice)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:[o]}", "id", "answer", "object",
			 job->chat ? "chat.completion.chunk" : "text_completion", "model",
			 job->model, "system_fingerprint", job->version, "choices", choice);
}

static void send_token(job_t *job, const char *text)
{
	json_t *choice;

	if (job->chat)
		choice = json_pack("{s:i, s:{s:s}, s:n}", "index", 0, "delta", "content", text,
				   "finish_reason");
	else
		choice = json_pack("{s:i, s:s, s:n}", "index", 0, "text", text, "finish_reason");
	send_event(job, chunk(job, choice));
}

static void send_stream_end(job_t *job)
{
	json_t *choice;
	json_t *last;

	if (job->chat)
		choice =
			json_pack("{s:i, s:{}, s:s}", "index", 0, "delta", "finish_reason", "stop");
	else
		choice = json_pack("{s:i, s:s, s:s}", "index", 0, "text", "", "finish_reason",
				   "stop");
	last = chunk(job, choice);
	json_object_set_new(last, "usage", usage(job));
	send_event(job, last);
	exchange_write(job->x, "data: [DONE]\n\n", 14);
}

static void start_stream(job_t *job)
{
	if (job->fault == FAULT_WRONG_ID)
		exchange_add_header(job->x, "X-Request-Id", "another-request");
	if (job->fault == FAULT_WRONG_LENGTH)
		exchange_start_sized(job->x, 200, "text/event-stream", SIZE_MAX / 4);
	else
		exchange_start(job->x, 200, "text/event-stream");
}

/* Injects the job's fault at this token, if due. Return: true if the job ended. */
static bool apply_fault(job_t *job, bool first, bool half)
{
	switch (job->fault) {
	case FAULT_RESET_BEFORE:
		if (first)
			exchange_close(job->x, true);
		break;
	case FAULT_STALL_BEFORE:
		break;
	case FAULT_RESET_AFTER:
	case FAULT_HALF:
		if (!half)
			return false;
		exchange_close(job->x, job->fault == FAULT_RESET_AFTER);
		break;
	case FAULT_STALL_MIDDLE:
		if (!half)
			return false;
		break;
	default:
		return false;
	}
	abandon_job(job);
	return true;
}

static void finish_stream(job_t *job)
{
	exchange_t *x = job->x;
	bool close = job->fault == FAULT_WRONG_LENGTH;

	send_stream_end(job);
	abandon_job(job);
	if (close)
		exchange_close(x, false);
	else
		exchange_end(x);
}

static void send_complete_response(job_t *job)
{
	exchange_t *x = job->x;
	fault_t fault = job->fault;
	json_t *choice;
	json_t *answer;

	if (job->chat)
		choice = json_pack("{s:i, s:{s:s, s:s}, s:s}", "index", 0, "message", "role",
				   "assistant", "content", job->text ? job->text : "",
				   "finish_reason", "stop");
	else
		choice = json_pack("{s:i, s:s, s:s}", "index", 0, "text",
				   job->text ? job->text : "", "finish_reason", "stop");
	answer = json_pack("{s:s, s:s, s:s, s:[o], s:o}", "id", "answer", "object",
			   job->chat ? "chat.completion" : "text_completion", "model", job->model,
			   "choices", choice, "usage", usage(job));
	abandon_job(job);
	exchange_reply_faulty(x, fault, answer);
}

static void append(job_t *job, const char *text)
{
	size_t len = strlen(text);
	char *grown = realloc(job->text, job->len + len + 1);

	if (!grown)
		abort();
	memcpy(grown + job->len, text, len + 1);
	job->text = grown;
	job->len += len;
}

/* Generates one token. Return: false if the job ended. */
static bool decode(job_t *job)
{
	char text[32];
	bool half = job->next - job->begin >= (job->end - job->begin) / 2;

	if (job->stream && apply_fault(job, job->next == job->begin, half))
		return false;
	snprintf(text, sizeof(text), "%s%s", job->next > 0 ? " " : "", token_text(job, job->next));
	if (job->stream && !job->len)
		start_stream(job);
	if (job->stream)
		send_token(job, text);
	append(job, text);
	job->next++;
	if (job->next < job->end)
		return true;
	if (job->stream)
		finish_stream(job);
	else
		send_complete_response(job);
	return false;
}

static void schedule(job_t *job)
{
	ap_usec_t wait = job->due - ap_now();
	struct timeval tv = ap_timeval(wait > 0 ? wait : 0);

	evtimer_add(job->timer, &tv);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	job_t *job = arg;
	ap_usec_t now = ap_now();

	(void)fd;
	(void)what;
	do {
		if (!decode(job))
			return;
		job->due += (ap_usec_t)job->batch->decode_us;
	} while (job->due <= now);
	schedule(job);
}

static void start(job_t *job)
{
	batch_t *b = job->batch;
	size_t held = cache_use(&b->cache, job->blocks, job->n_blocks);

	b->waiting--;
	b->running++;
	job->running = true;
	job->cached_tokens = (unsigned)(held * AP_PREFIX_BLOCK_BYTES / TOKEN_BYTES);
	job->due = ap_now() +
		   (ap_usec_t)(b->prefill_us * (job->prompt_tokens - job->cached_tokens)) +
		   (ap_usec_t)b->decode_us;
	schedule(job);
}

static job_t *most_urgent(batch_t *b)
{
	job_t *best = NULL;
	job_t *job;

	TAILQ_FOREACH (job, &b->jobs, link) {
		if (!job->running && (!best || job->priority < best->priority))
			best = job;
	}
	return best;
}

static void start_waiting(batch_t *b)
{
	while (b->running < b->slots && b->waiting > 0)
		start(most_urgent(b));
}

void batch_add(batch_t *b, job_t *job)
{
	job->batch = b;
	job->begin = job->next;
	job->timer = evtimer_new(b->base, on_timer, job);
	if (!job->timer)
		abort();
	exchange_watch(job->x, on_gone, job);
	TAILQ_INSERT_TAIL(&b->jobs, job, link);
	b->waiting++;
	start_waiting(b);
}
