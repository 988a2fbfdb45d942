/*
 * What permits cost a node: processor time at issuer and witness together without sockets, bytes
 * of messages and memory of records, for regions of any size.
 */
#include "once/table.h"
#include "wire/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PERMITS 50000
#define ENTRIES_SMALL 8	    /* as many are in one region */
#define PROBED_CANDIDATES 3 /* possible witnesses that are probed each second */
#define DESIGN_RATE 8	    /* calls per second at one node, were they all of this kind */
#define DESIGN_REGIONS 7    /* that the entries are spread over */
#define CONTROL_BYTES 18432 /* bytes per second that a node may spend for control */
#define CONTROL_CORE 3.2    /* percent of a core, likewise */
#define CONTROL_MEMORY 128  /* megabytes, likewise */

static ap_once_t *issuer;
static ap_once_t *witness; /* stands for every other entry */
static char addressed[AP_NAME_MAX];
static ap_usec_t loop_now;
static uint64_t bytes_of[AP_ONCE_MSG_LAST + 1];

static void add_bytes(const ap_once_msg_t *msg)
{
	ap_wire_head_t head = {.kind = AP_WIRE_ONCE, .seq = 1000000};
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	ap_wire_begin(&pk, &head);
	ap_wire_pack_once(&pk, msg);
	bytes_of[msg->kind] = buf.size;
	msgpack_sbuffer_destroy(&buf);
}

static void from_issuer(void *ctx, const char *to, const ap_once_msg_t *msg)
{
	(void)ctx;
	if (bytes_of[msg->kind] == 0)
		add_bytes(msg);
	ap_copy_name(addressed, sizeof(addressed), to);
	ap_once_receive(witness, "issuer", msg, loop_now);
}

static void from_witness(void *ctx, const char *to, const ap_once_msg_t *msg)
{
	(void)ctx;
	(void)to;
	if (bytes_of[msg->kind] == 0)
		add_bytes(msg);
	ap_once_receive(issuer, addressed, msg, loop_now);
}

static void loop_decided(void *ctx, uint64_t token, const ap_once_verdict_t *v)
{
	(void)ctx;
	if (v->kind != AP_ONCE_DISPATCH || !ap_once_dispatch(issuer, token, loop_now))
		return;
	ap_once_done(issuer, token, AP_OUTCOME_COMPLETED, "answer", 6, loop_now);
}

static ap_once_t *new_end(const char *id, ap_id_t inc,
			  void (*send)(void *ctx, const char *to, const ap_once_msg_t *msg))
{
	ap_once_config_t config = {.inc = inc,
				   .region = "region-0",
				   .limits = ap_once_default_limits,
				   .send = send,
				   .decided = loop_decided};

	strcpy(config.id, id);
	return ap_once_new(&config, 0);
}

static void start_ends(ap_entry_t *entries, unsigned n)
{
	for (unsigned i = 0; i < n; i++) {
		entries[i] = (ap_entry_t){.inc = {1, i + 1}};
		snprintf(entries[i].id, AP_NAME_MAX, "entry-%u", i);
		snprintf(entries[i].region, AP_NAME_MAX, "region-%u",
			 n > ENTRIES_SMALL ? i % DESIGN_REGIONS : 0);
	}
	strcpy(entries[0].id, "issuer");
	issuer = new_end("issuer", entries[0].inc, from_issuer);
	witness = new_end("witness", (ap_id_t){2, 2}, from_witness);
	ap_once_set_entries(issuer, entries, n, loop_now);
	ap_once_set_entries(witness, entries, n, loop_now);
	ap_once_tick(issuer, loop_now);
}

static double micros_since(const struct timespec *start)
{
	struct timespec end;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &end);
	return (double)(end.tv_sec - start->tv_sec) * 1e6 +
	       (double)(end.tv_nsec - start->tv_nsec) / 1e3;
}

static double time_permits(unsigned n)
{
	struct timespec start;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &start);
	for (unsigned i = 0; i < n; i++) {
		char text[AP_PERMIT_TEXT_MAX];
		ap_once_verdict_t v;

		loop_now += AP_SEC / DESIGN_RATE;
		ap_once_tick(issuer, loop_now);
		ap_once_tick(witness, loop_now);
		ap_once_issue(issuer, "reserve", "clerk", loop_now, text);
		ap_once_use(issuer, text, "reserve", "clerk", i + 1UL, loop_now, &v);
	}
	if (ap_once_counts(issuer).dispatched != n ||
	    ap_once_counts(issuer).issued_without_witness > 0)
		printf("only %llu permits were dispatched\n",
		       (unsigned long long)ap_once_counts(issuer).dispatched);
	return micros_since(&start) / n;
}

static double time_views(ap_entry_t *entries, unsigned n)
{
	const int rounds = 2000;
	struct timespec start;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &start);
	for (int i = 0; i < rounds; i++)
		ap_once_set_entries(issuer, entries, n, loop_now);
	return micros_since(&start) / rounds;
}

static void print_verdict(const char *what, double value, double target)
{
	printf("%-48s %12.3f  target <= %.3f: %s\n", what, value, target,
	       value <= target ? "met" : "missed");
}

static void free_ends(void)
{
	ap_once_free(issuer);
	ap_once_free(witness);
}

int main(void)
{
	static const unsigned sizes[] = {ENTRIES_SMALL, 60, 420};
	static ap_entry_t entries[420];
	double permit = 0;
	double records = 0;
	double probes;
	double calls;

	printf("%8s %12s %12s %12s\n", "entries", "us/permit", "us/view", "records");
	for (int i = 0; i < 3; i++) {
		start_ends(entries, sizes[i]);
		permit = time_permits(PERMITS);
		records = (double)ap_once_counts(issuer).issued_records;
		printf("%8u %12.2f %12.2f %12.0f\n", sizes[i], permit,
		       time_views(entries, sizes[i]), records);
		free_ends();
	}
	probes = 2.0 * PROBED_CANDIDATES *
		 (double)(bytes_of[AP_ONCE_MSG_PROBE] + bytes_of[AP_ONCE_MSG_PROBE_ACK]);
	calls = 2.0 * DESIGN_RATE *
		(double)(bytes_of[AP_ONCE_MSG_BEGIN] + bytes_of[AP_ONCE_MSG_BEGIN_ACK] +
			 bytes_of[AP_ONCE_MSG_DONE]);
	printf("one record: %zu bytes; bytes of probe %llu, probed %llu, begin %llu, begun %llu, "
	       "done %llu\n",
	       sizeof(record_t), (unsigned long long)bytes_of[AP_ONCE_MSG_PROBE],
	       (unsigned long long)bytes_of[AP_ONCE_MSG_PROBE_ACK],
	       (unsigned long long)bytes_of[AP_ONCE_MSG_BEGIN],
	       (unsigned long long)bytes_of[AP_ONCE_MSG_BEGIN_ACK],
	       (unsigned long long)bytes_of[AP_ONCE_MSG_DONE]);
	printf("at %d permits/s issued and as many witnessed by one node:\n", DESIGN_RATE);
	print_verdict("processor time, percent of a core", permit * DESIGN_RATE / 1e4,
		      CONTROL_CORE);
	print_verdict("probes, bytes/s both ways", probes, CONTROL_BYTES);
	print_verdict("probes and permits, bytes/s both ways", probes + calls, CONTROL_BYTES);
	print_verdict("records, MB", 2 * records * sizeof(record_t) / 1e6, CONTROL_MEMORY);
	return 0;
}
