/* A small fleet for tests of routing decisions: three services, one per class, and one model. */
#ifndef AP_TEST_FLEET_H
#define AP_TEST_FLEET_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "route/route.h"

#define FLEET_UPSTREAMS_MAX 64
#define FLEET_ENTRIES_MAX 64

static const char fleet_document[] =
	"{\"service\":{"
	"\"reserve\":{\"class\":\"reservation\",\"plain\":true,\"home_bound\":true,"
	"\"pools\":{\"kind\":\"plain\"},\"deadline_ms\":2000,\"first_byte_ms\":1000},"
	"\"ask\":{\"class\":\"short\",\"repeatable\":true,\"models\":{\"size\":\"small\"},"
	"\"pools\":{\"kind\":\"gpu\"},\"deadline_ms\":4000,\"first_byte_ms\":2000},"
	"\"dossier\":{\"class\":\"long\",\"home_bound\":true,\"models\":{\"size\":\"small\"},"
	"\"pools\":{\"kind\":\"gpu\"},\"deadline_ms\":20000,\"first_byte_ms\":10000}},"
	"\"pool\":{"
	"\"gpu\":{\"labels\":{\"kind\":\"gpu\"},\"instances\":{\"kind\":\"gpu\"},\"slots\":4,"
	"\"price_in\":100,\"price_out\":300},"
	"\"plain\":{\"labels\":{\"kind\":\"plain\"},\"instances\":{\"kind\":\"plain\"},"
	"\"plain\":true,\"slots\":8,\"price_call\":5}},"
	"\"model\":{\"m\":{\"labels\":{\"size\":\"small\"},\"version\":\"1\",\"weight_bytes\":1,"
	"\"prefill_us\":100,\"decode_us\":10000}},"
	"\"adapter\":{\"a\":{\"model\":\"m\",\"version\":\"1\",\"weight_bytes\":1}},"
	"\"caller\":{\"crew\":{\"home\":\"recife\",\"key_hash\":"
	"\"00000000000000000000000000000000000000000000000000000000000000aa\","
	"\"rate\":100}}}";

typedef struct fleet {
	ap_conf_t *conf;
	ap_upstream_t upstreams[FLEET_UPSTREAMS_MAX];
	size_t n_upstreams;
	ap_entry_t entries[FLEET_ENTRIES_MAX];
	size_t n_entries;
	uint64_t number;
} fleet_t;

static inline void fleet_init(fleet_t *f)
{
	json_t *json = json_loads(fleet_document, 0, NULL);
	ap_err_t err = {.text = ""};

	memset(f, 0, sizeof(*f));
	if (ap_conf_parse(json, 1, &f->conf, &err) != AP_CONF_OK)
		fail_msg("%s", err.text);
	json_decref(json);
}

static inline void fleet_clear(fleet_t *f)
{
	for (size_t i = 0; i < f->n_upstreams; i++)
		ap_labels_clear(&f->upstreams[i].labels);
	ap_conf_unref(f->conf);
}

static inline void fleet_add_upstreams(fleet_t *f, const char *region, const char *kind, size_t n)
{
	static char model[] = "m";
	static char *models[] = {model};
	ap_label_t label = {.key = (char *)"kind", .value = (char *)kind};
	ap_labels_t labels = {.v = &label, .n = 1};

	for (size_t i = 0; i < n; i++) {
		ap_upstream_t *up = &f->upstreams[f->n_upstreams++];

		snprintf(up->id, sizeof(up->id), "%s-%s-%zu", region, kind, i);
		ap_copy_name(up->region, sizeof(up->region), region);
		ap_copy_name(up->data_centre, sizeof(up->data_centre), "dc1");
		up->labels = ap_labels_copy(&labels);
		up->models = models;
		up->n_models = strcmp(kind, "gpu") == 0;
	}
}

static inline void fleet_add_entries(fleet_t *f, const char *region, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		ap_entry_t *entry = &f->entries[f->n_entries++];

		snprintf(entry->id, sizeof(entry->id), "%s-entry-%zu", region, i);
		ap_copy_name(entry->region, sizeof(entry->region), region);
		entry->weight = 1;
	}
}

static inline ap_view_t *fleet_view(fleet_t *f)
{
	ap_view_t *view = ap_view_new(++f->number, f->conf, f->upstreams, f->n_upstreams,
				      f->entries, f->n_entries);

	assert_non_null(view);
	return view;
}

/* Passes a new view of the fleet to the router. */
static inline void fleet_set_view(fleet_t *f, ap_route_t *r, ap_usec_t now)
{
	ap_view_t *view = fleet_view(f);

	ap_route_set_view(r, view, now);
	ap_view_unref(view);
}

static inline ap_request_t fleet_request(const fleet_t *f, const char *service, uint64_t seq,
					 ap_usec_t now)
{
	const ap_service_t *s = ap_conf_service(f->conf, service);
	ap_request_t req = {
		.id = {.inc = {1, 1}, .seq = seq},
		.service = s,
		.caller = &f->conf->callers[0],
		.home = "recife",
		.cls = s->cls,
		.arrival = now,
		.deadline = now + s->deadline,
		.tokens_in = 512,
		.tokens_out = 64,
	};

	return req;
}

/* Number of reported violations of each invariant. */
typedef struct violations {
	unsigned count[AP_INV_BOUNDS + 1];
} violations_t;

static inline void count_violation(void *ctx, ap_invariant_t invariant, const char *what)
{
	violations_t *v = ctx;

	(void)what;
	v->count[invariant]++;
}

#endif
