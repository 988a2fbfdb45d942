/*
 * Processor time of customers' keys by their number: a look-up, one of a key that nobody holds, and
 * the decoding of a request's headers with a look-up.
 */
#include "platform/host.h"

#include <event2/keyvalq_struct.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <time.h>

#define LOOKUPS 200000
#define REQUESTS 20000
#define CUSTOMERS 16
#define ROUNDS 5 /* the fastest round counts */
#define TARGET_KEYS 100000
#define TARGET_NS 200.0 /* of a look-up */
#define KEY_MAX 48

static double cpu_seconds(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Keys of 40 characters, as customers have them. */
static size_t format_key(char text[KEY_MAX], uint64_t i)
{
	return (size_t)snprintf(text, KEY_MAX, "sk-live-%032llx",
				(unsigned long long)ap_hash(&i, sizeof(i), 1));
}

static ap_keys_t *make_keys(size_t n)
{
	unsigned char secret[AP_KEYS_SECRET_LEN];
	ap_keys_t *keys;
	char text[KEY_MAX];

	randombytes_buf(secret, sizeof(secret));
	keys = ap_keys_new(secret, n);
	if (!keys)
		abort();
	for (size_t i = 0; i < n; i++) {
		if (!ap_keys_add(keys, text, format_key(text, i), (uint32_t)(i % CUSTOMERS)))
			abort();
	}
	return keys;
}

/* Returns ns per look-up of keys @first to @first + @n, in random order; all are @known or none. */
static double time_lookups(const ap_keys_t *keys, size_t first, size_t n, bool known)
{
	char(*texts)[KEY_MAX] = calloc(LOOKUPS, sizeof(*texts));
	double best = 1e12;
	size_t len = 0;
	ap_rng_t rng;

	if (!texts)
		abort();
	ap_rng_seed(&rng, 7);
	for (size_t i = 0; i < LOOKUPS; i++)
		len = format_key(texts[i], first + ap_rng_below(&rng, n));
	for (int round = 0; round < ROUNDS; round++) {
		double start = cpu_seconds();
		size_t found = 0;
		double ns;

		for (size_t i = 0; i < LOOKUPS; i++)
			found += ap_keys_find(keys, texts[i], len) != AP_KEY_UNKNOWN;
		ns = (cpu_seconds() - start) * 1e9 / LOOKUPS;
		if (found != (known ? LOOKUPS : 0))
			abort();
		best = ns < best ? ns : best;
	}
	free(texts);
	return best;
}

/* Returns ns per request whose headers are decoded; @keys: with the look-up of its key, or NULL. */
static double time_requests(const ap_keys_t *keys, size_t n)
{
	double best = 1e12;
	char value[KEY_MAX + 8] = "Bearer ";
	struct evkeyvalq headers;
	ap_rng_t rng;

	TAILQ_INIT(&headers);
	ap_rng_seed(&rng, 9);
	format_key(value + 7, ap_rng_below(&rng, n));
	evhttp_add_header(&headers, "Host", "chat.example:8080");
	evhttp_add_header(&headers, "Request-Id", "0123456789abcdef");
	evhttp_add_header(&headers, "Deadline-Ms", "3000");
	evhttp_add_header(&headers, "Token-Count", "1200,300");
	evhttp_add_header(&headers, "Content-Type", "application/json");
	evhttp_add_header(&headers, "Authorization", value);
	for (int round = 0; round < ROUNDS; round++) {
		double start = cpu_seconds();
		double ns;

		for (size_t i = 0; i < REQUESTS; i++) {
			ap_host_request_t r;
			ap_err_t err;

			if (ap_host_parse_request(&headers, &r, &err) != AP_HOST_OK ||
			    (keys && ap_keys_find(keys, r.key, r.key_len) == AP_KEY_UNKNOWN))
				abort();
		}
		ns = (cpu_seconds() - start) * 1e9 / REQUESTS;
		best = ns < best ? ns : best;
	}
	evhttp_clear_headers(&headers);
	return best;
}

int main(void)
{
	static const size_t sizes[] = {16, 1000, TARGET_KEYS};

	if (sodium_init() < 0)
		return 1;
	printf("%8s %12s %12s %12s %12s\n", "keys", "look-up ns", "unknown ns", "request ns",
	       "with key ns");
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		ap_keys_t *keys = make_keys(sizes[i]);
		double known = time_lookups(keys, 0, sizes[i], true);
		double unknown = time_lookups(keys, sizes[i], sizes[i], false);

		printf("%8zu %12.0f %12.0f %12.0f %12.0f", sizes[i], known, unknown,
		       time_requests(NULL, sizes[i]), time_requests(keys, sizes[i]));
		if (sizes[i] == TARGET_KEYS)
			printf("   target look-up < %.0f ns  %s", TARGET_NS,
			       known < TARGET_NS && unknown < TARGET_NS ? "met" : "MISSED");
		printf("\n");
		ap_keys_free(keys);
	}
	return 0;
}
