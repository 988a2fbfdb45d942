/*
 * Cost of permits per node: processor time of issuer and witness together without sockets, bytes of
 * messages, and memory of records, at several sizes of the fleet.
 */
#include "once/table.h"
#include "wire/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PERMITS 50000
#define ENTRIES_SMALL 8		   /* up to this size, all entries are in one region */
#define PROBED_CANDIDATES 3	   /* candidate witnesses that are probed each second */
#define DESIGN_RATE 8		   /* calls per second at one node, if every call needs a permit */
#define DESIGN_REGIONS 7	   /* regions of a larger fleet */
#define CONTROL_BYTES_TARGET 18432 /* bytes per second that control may take at a node */
#define CONTROL_CORE_TARGET 3.2	   /* per cent of a core that control may take */
#define CONTROL_MEMORY_TARGET 128  /* megabytes that control may take */

static ap_once_t *issuer;
static ap_once_t *witness; /* acts as every other entry */
static char witness_id[AP_NAME_MAX];
static ap_usec_t virtual_now;
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
	ap_copy_name(witness_id, sizeof(witness_id), to);
	ap_once_receive(witness, "issuer", msg, virtual_now);
}

static void from_witness(void *ctx, const char *to, const ap_once_msg_t *msg)
{
	(void)ctx;
	(void)to;
	if (bytes_of[msg->kind] == 0)
		add_bytes(msg);
	ap_once_receive(issuer, witness_id, msg, virtual_now);
}

static void on_permit_decided(void *ctx, uint64_t token, const ap_once_verdict_t *v)
{
	(void)ctx;
	if (v->kind != AP_ONCE_DISPATCH || !ap_once_dispatch(issuer, token, virtual_now))
		return;
	ap_once_done(issuer, token, AP_OUTCOME_COMPLETED, "answer", 6, virtual_now);
}

static ap_once_t *new_endpoint(const char *id, ap_id_t inc,
			       void (*send)(void *ctx, const char *to, const ap_once_msg_t *msg))
{
	ap_once_config_t config = {.inc = inc,
				   .region = "region-0",
				   .limits = ap_once_default_limits,
				   .send = send,
				   .decided = on_permit_decided};

	strcpy(config.id, id);
	return ap_once_new(&config, 0);
}

static void start_endpoints(ap_entry_t *entries, unsigned n)
{
	for (unsigned i = 0; i < n; i++) {
		entries[i] = (ap_entry_t){.inc = {1, i + 1}};
		snprintf(entries[i].id, AP_NAME_MAX, "entry-%u", i);
		snprintf(entries[i].region, AP_NAME_MAX, "region-%u",
			 n > ENTRIES_SMALL ? i % DESIGN_REGIONS : 0);
	}
	strcpy(entries[0].id, "issuer");
	issuer = new_endpoint("issuer", entries[0].inc, from_issuer);
	witness = new_endpoint("witness", (ap_id_t){2, 2}, from_witness);
	ap_once_set_entries(issuer, entries, n, virtual_now);
	ap_once_set_entries(witness, entries, n, virtual_now);
	ap_once_tick(issuer, virtual_now);
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

		virtual_now += AP_SEC / DESIGN_RATE;
		ap_once_tick(issuer, virtual_now);
		ap_once_tick(witness, virtual_now);
		ap_once_issue(issuer, "reserve", "clerk", virtual_now, text);
		ap_once_use(issuer, text, "reserve", "clerk", i + 1UL, virtual_now, &v);
	}
	if (ap_once_counts(issuer).dispatched != n ||
	    ap_once_counts(issuer).issued_without_witness > 0)
		printf("expected %u permits with a witness: %llu dispatched, %llu without a "
		       "witness\n",
		       n, (unsigned long long)ap_once_counts(issuer).dispatched,
		       (unsigned long long)ap_once_counts(issuer).issued_without_witness);
	return micros_since(&start) / n;
}

static double time_views(ap_entry_t *entries, unsigned n)
{
	const int rounds = 2000;
	struct timespec start;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &start);
	for (int i = 0; i < rounds; i++)
		ap_once_set_entries(issuer, entries, n, virtual_now);
	return micros_since(&start) / rounds;
}

static void print_verdict(const char *what, double value, double target)
{
	printf("%-48s %12.3f  target <= %.3f: %s\n", what, value, target,
	       value <= target ? "met" : "missed");
}

static void free_endpoints(void)
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
		start_endpoints(entries, sizes[i]);
		permit = time_permits(PERMITS);
		records = (double)ap_once_counts(issuer).issued_records;
		printf("%8u %12.2f %12.2f %12.0f\n", sizes[i], permit,
		       time_views(entries, sizes[i]), records);
		free_endpoints();
	}
	probes = 2.0 * PROBED_CANDIDATES *
		 (double)(bytes_of[AP_ONCE_MSG_PROBE] + bytes_of[AP_ONCE_MSG_PROBE_ACK]);
	calls = 2.0 * DESIGN_RATE *
		(double)(bytes_of[AP_ONCE_MSG_BEGIN] + bytes_of[AP_ONCE_MSG_BEGIN_ACK] +
			 bytes_of[AP_ONCE_MSG_DONE]);
	printf("one record: %zu bytes; bytes of probe %llu, probe acknowledgement %llu, "
	       "begin %llu, begin acknowledgement %llu, done %llu\n",
	       sizeof(record_t), (unsigned long long)bytes_of[AP_ONCE_MSG_PROBE],
	       (unsigned long long)bytes_of[AP_ONCE_MSG_PROBE_ACK],
	       (unsigned long long)bytes_of[AP_ONCE_MSG_BEGIN],
	       (unsigned long long)bytes_of[AP_ONCE_MSG_BEGIN_ACK],
	       (unsigned long long)bytes_of[AP_ONCE_MSG_DONE]);
	printf("one node that issues %d permits/s and witnesses as many:\n", DESIGN_RATE);
	print_verdict("processor time, per cent of a core", permit * DESIGN_RATE / 1e4,
		      CONTROL_CORE_TARGET);
	print_verdict("probes, bytes/s sent and received", probes, CONTROL_BYTES_TARGET);
	print_verdict("probes and permits, bytes/s sent and received", probes + calls,
		      CONTROL_BYTES_TARGET);
	print_verdict("records, MB", 2 * records * sizeof(record_t) / 1e6, CONTROL_MEMORY_TARGET);
	return 0;
}
