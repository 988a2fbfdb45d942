/* Identifiers, random numbers, hashing, error messages, events and invariants. */
#include "base/base.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

bool ap_id_eq(ap_id_t a, ap_id_t b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

bool ap_id_is_zero(ap_id_t a)
{
	return a.hi == 0 && a.lo == 0;
}

int ap_id_cmp(ap_id_t a, ap_id_t b)
{
	if (a.hi != b.hi)
		return a.hi < b.hi ? -1 : 1;
	if (a.lo != b.lo)
		return a.lo < b.lo ? -1 : 1;
	return 0;
}

bool ap_xid_eq(ap_xid_t a, ap_xid_t b)
{
	return a.seq == b.seq && ap_id_eq(a.inc, b.inc);
}

void ap_id_format(ap_id_t id, char out[AP_ID_TEXT_MAX])
{
	snprintf(out, AP_ID_TEXT_MAX, "%016" PRIx64 "%016" PRIx64, id.hi, id.lo);
}

static bool parse_hex(const char *text, uint64_t *value)
{
	*value = 0;
	for (int i = 0; i < 16; i++) {
		char c = text[i];
		unsigned digit;

		if (c >= '0' && c <= '9')
			digit = (unsigned)(c - '0');
		else if (c >= 'a' && c <= 'f')
			digit = (unsigned)(c - 'a') + 10;
		else
			return false;
		*value = *value << 4 | digit;
	}
	return true;
}

bool ap_id_parse(const char *text, ap_id_t *id)
{
	if (!text || strlen(text) != AP_ID_TEXT_MAX - 1)
		return false;
	return parse_hex(text, &id->hi) && parse_hex(text + 16, &id->lo);
}

void ap_rng_seed(ap_rng_t *r, uint64_t seed)
{
	uint64_t mixed = ap_hash(&seed, sizeof(seed), 0);

	r->x[0] = (unsigned short)mixed;
	r->x[1] = (unsigned short)(mixed >> 16);
	r->x[2] = (unsigned short)(mixed >> 32);
}

double ap_rng_unit(ap_rng_t *r)
{
	return erand48(r->x);
}

uint64_t ap_rng_u64(ap_rng_t *r)
{
	uint64_t hi = (uint64_t)(uint32_t)jrand48(r->x);

	return hi << 32 | (uint32_t)jrand48(r->x);
}

uint64_t ap_rng_below(ap_rng_t *r, uint64_t n)
{
	uint64_t value;

	if (n == 0)
		return 0;
	value = (uint64_t)(erand48(r->x) * (double)n);
	return value < n ? value : n - 1;
}

double ap_rng_exp(ap_rng_t *r, double mean)
{
	return -mean * log(1.0 - erand48(r->x));
}

ap_id_t ap_rng_id(ap_rng_t *r)
{
	ap_id_t id = {.hi = ap_rng_u64(r), .lo = ap_rng_u64(r)};

	return id;
}

uint64_t ap_hash(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t ap_hash_str(const char *text, uint64_t seed)
{
	return ap_hash(text, strlen(text), seed);
}

double ap_rendezvous(uint64_t key, uint64_t node, double weight)
{
	uint64_t pair[2] = {key, node};
	uint64_t mixed = ap_hash(pair, sizeof(pair), 0);
	/* The divisor is 2^53: maps 53 bits into (0, 1). */
	double unit = ((double)(mixed >> 11) + 0.5) / 9007199254740992.0;

	return -weight / log(unit);
}

void ap_err_set(ap_err_t *err, const char *fmt, ...)
{
	va_list args;

	if (!err)
		return;
	va_start(args, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, args);
	va_end(args);
}

double ap_bounded(double number, double max)
{
	if (!(number > 0))
		return 0;
	return number < max ? number : max;
}

ap_usec_t ap_duration(double number, ap_usec_t units)
{
	return (ap_usec_t)ap_bounded(number * (double)units, (double)AP_DURATION_MAX);
}

bool ap_is_ip(const char *text)
{
	unsigned char buf[16];

	return inet_pton(AF_INET, text, buf) == 1 || inet_pton(AF_INET6, text, buf) == 1;
}

bool ap_copy_name(char *dst, size_t size, const char *src)
{
	size_t len = strlen(src);
	size_t kept = len < size ? len : size - 1;

	memcpy(dst, src, kept);
	dst[kept] = '\0';
	return kept == len;
}

void ap_emit(const ap_env_t *env, ap_usec_t at, const char *kind, ap_xid_t request, const char *fmt,
	     ...)
{
	char detail[512];
	ap_event_t event = {.at = at, .kind = kind, .request = request, .detail = detail};
	va_list args;

	if (!env || !env->event)
		return;
	va_start(args, fmt);
	vsnprintf(detail, sizeof(detail), fmt, args);
	va_end(args);
	env->event(env->ctx, &event);
}

bool ap_require(const ap_env_t *env, bool holds, ap_invariant_t invariant, const char *what)
{
	if (holds)
		return true;
	if (env && env->violated) {
		env->violated(env->ctx, invariant, what);
		return false;
	}
	fprintf(stderr, "invariant %s broken: %s\n", ap_invariant_name(invariant), what);
	abort();
}

const char *ap_invariant_name(ap_invariant_t invariant)
{
	static const char *const names[] = {
		[AP_INV_RESIDENCY] = "residency",
		[AP_INV_ONE_HOP] = "one-hop",
		[AP_INV_ONCE] = "once",
		[AP_INV_COMPLETE_RESPONSE] = "whole-answer",
		[AP_INV_GENERATION] = "generation",
		[AP_INV_DRAINING] = "leaving",
		[AP_INV_EXIT] = "exit",
		[AP_INV_ORDER] = "order",
		[AP_INV_BOUNDS] = "bounds",
	};

	if (invariant < AP_INV_RESIDENCY || invariant > AP_INV_BOUNDS)
		return "none";
	return names[invariant];
}

const char *ap_outcome_name(ap_outcome_t outcome)
{
	switch (outcome) {
	case AP_OUTCOME_COMPLETED:
		return "completed";
	case AP_OUTCOME_NOT_RUN:
		return "not-run";
	case AP_OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}

const char *ap_class_name(ap_class_t cls)
{
	static const char *const names[AP_CLASS_COUNT] = {"reservation", "short", "long"};

	return cls < AP_CLASS_COUNT ? names[cls] : "none";
}
