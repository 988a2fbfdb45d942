/* The entry task's counters, as Prometheus text. */
#include "entry.h"

#include <stdlib.h>

static const char *const count_names[COUNT_N] = {
	[COUNT_REQUESTS] = "requests",
	[COUNT_COMPLETED] = "completed",
	[COUNT_NOT_RUN] = "not_run",
	[COUNT_UNKNOWN] = "unknown",
	[COUNT_WRONG_INPUT] = "wrong_input",
	[COUNT_SHED] = "shed",
	[COUNT_ATTEMPTS] = "attempts",
	[COUNT_RETRIES] = "retries",
	[COUNT_MISSING_MODELS] = "missing_models",
	[COUNT_RESUMES] = "resumes",
	[COUNT_FORWARDED] = "sent_away",
	[COUNT_FORWARDED_IN] = "guests",
	[COUNT_ABANDONED_IN] = "lost_guests",
	[COUNT_LATE_RESPONSES] = "late_answers",
	[COUNT_MISMATCHED_RESPONSES] = "crossed_answers",
	[COUNT_CUT_STREAMS] = "cut_streams",
	[COUNT_SILENT_CONNECTIONS] = "silent_connections",
	[COUNT_HANG_UPS] = "hang_ups",
	[COUNT_TOKENS] = "tokens",
	[COUNT_REFUSED_MESSAGES] = "refused_messages",
};

/* Upper bounds of all buckets but the last, which has none. */
static const ap_usec_t delay_bounds[DELAY_BUCKETS - 1] = {
	10 * AP_MSEC,  20 * AP_MSEC,  50 * AP_MSEC,   100 * AP_MSEC,  200 * AP_MSEC,
	360 * AP_MSEC, 500 * AP_MSEC, 1000 * AP_MSEC, 2000 * AP_MSEC, 5000 * AP_MSEC,
};

void entry_record_delay(entry_t *entry, ap_class_t cls, ap_usec_t delay)
{
	delays_t *d = &entry->delays[cls];
	int i = 0;

	while (i < DELAY_BUCKETS - 1 && delay > delay_bounds[i])
		i++;
	d->buckets[i]++;
	d->sum += delay;
}

static void add_delays(struct evbuffer *out, const char *cls, const delays_t *d)
{
	static const char name[] = "arbutuspond_first_byte_seconds";
	uint64_t total = 0;

	for (int i = 0; i < DELAY_BUCKETS - 1; i++) {
		total += d->buckets[i];
		evbuffer_add_printf(out, "%s_bucket{class=\"%s\",le=\"%g\"} %llu\n", name, cls,
				    (double)delay_bounds[i] / (double)AP_SEC,
				    (unsigned long long)total);
	}
	total += d->buckets[DELAY_BUCKETS - 1];
	evbuffer_add_printf(out, "%s_bucket{class=\"%s\",le=\"+Inf\"} %llu\n", name, cls,
			    (unsigned long long)total);
	evbuffer_add_printf(out, "%s_sum{class=\"%s\"} %.6f\n", name, cls,
			    (double)d->sum / (double)AP_SEC);
	evbuffer_add_printf(out, "%s_count{class=\"%s\"} %llu\n", name, cls,
			    (unsigned long long)total);
}

static void add_count(struct evbuffer *out, const char *name, uint64_t value)
{
	evbuffer_add_printf(out, "# TYPE arbutuspond_%s_total counter\narbutuspond_%s_total %llu\n",
			    name, name, (unsigned long long)value);
}

char *entry_counters_text(const entry_t *entry)
{
	struct evbuffer *out = evbuffer_new();
	ap_http_client_stats_t client = ap_http_client_stats(entry->client);
	ap_http_server_stats_t server = ap_http_server_stats(entry->server);
	char *text;
	size_t len;

	for (int i = 0; i < COUNT_N; i++)
		add_count(out, count_names[i], entry->counts[i]);
	add_count(out, "late_requests", server.timed_out);
	add_count(out, "refused_connections", server.refused);
	add_count(out, "closed_connections", server.closed);
	add_count(out, "left_unread", server.left);
	add_count(out, "requests_without_chunks", server.without_chunks);
	add_count(out, "responses_given_up", server.given_up);
	evbuffer_add_printf(out,
			    "# TYPE arbutuspond_caller_connections gauge\n"
			    "arbutuspond_caller_connections %zu\n",
			    server.open);
	add_count(out, "upstream_connections", client.opened);
	add_count(out, "upstream_reuses", client.reused);
	add_count(out, "upstream_probes", client.probes);
	add_count(out, "upstream_retired", client.retired);
	add_count(out, "upstream_stray", client.stray);
	evbuffer_add_printf(out, "# TYPE arbutuspond_errors_total counter\n");
	for (int i = 0; i < ENTRY_ERROR_COUNT; i++)
		evbuffer_add_printf(out, "arbutuspond_errors_total{code=\"%s\"} %llu\n",
				    entry_error_code(i), (unsigned long long)entry->errors[i]);
	evbuffer_add_printf(out,
			    "# TYPE arbutuspond_in_progress gauge\narbutuspond_in_progress %u\n",
			    HASH_COUNT(entry->exchanges));
	if (entry->hooks.counters)
		entry->hooks.counters(entry->hooks.ctx, out);
	evbuffer_add_printf(out,
			    "# TYPE arbutuspond_cost_micro_units_total counter\n"
			    "arbutuspond_cost_micro_units_total %.3f\n",
			    entry->cost);
	evbuffer_add_printf(out, "# TYPE arbutuspond_first_byte_seconds histogram\n");
	for (int cls = 0; cls < AP_CLASS_COUNT; cls++)
		add_delays(out, ap_class_name((ap_class_t)cls), &entry->delays[cls]);
	len = evbuffer_get_length(out);
	text = malloc(len + 1);
	if (text) {
		evbuffer_remove(out, text, len);
		text[len] = '\0';
	}
	evbuffer_free(out);
	return text;
}
