/* Lookups in a checked configuration; labels and selectors. */
#include "conf/parse.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define KEY_HASH_BYTES 32

#define FIND(list, count, wanted)                                                                  \
	do {                                                                                       \
		for (size_t i = 0; i < (count); i++) {                                             \
			if (strcmp((list)[i].name, (wanted)) == 0)                                 \
				return &(list)[i];                                                 \
		}                                                                                  \
		return NULL;                                                                       \
	} while (0)

const ap_service_t *ap_conf_service(const ap_conf_t *conf, const char *name)
{
	FIND(conf->services, conf->n_services, name);
}

const ap_model_t *ap_conf_model(const ap_conf_t *conf, const char *name)
{
	FIND(conf->models, conf->n_models, name);
}

const ap_adapter_t *ap_conf_adapter(const ap_conf_t *conf, const char *name)
{
	FIND(conf->adapters, conf->n_adapters, name);
}

static int match_key_hash(const void *hash, const void *caller)
{
	return strcmp(hash, ((const ap_caller_t *)caller)->key_hash);
}

const ap_caller_t *ap_conf_caller_by_key(const ap_conf_t *conf, const char *key)
{
	char hash[AP_KEY_HASH_TEXT_MAX];

	if (conf->n_callers == 0)
		return NULL;
	ap_key_hash(key, hash);
	return bsearch(hash, conf->callers, conf->n_callers, sizeof(*conf->callers),
		       match_key_hash);
}

void ap_key_hash(const char *key, char out[AP_KEY_HASH_TEXT_MAX])
{
	unsigned char hash[KEY_HASH_BYTES];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key, strlen(key), NULL, 0);
	sodium_bin2hex(out, AP_KEY_HASH_TEXT_MAX, hash, sizeof(hash));
}

const char *ap_labels_get(const ap_labels_t *labels, const char *key)
{
	for (size_t i = 0; i < labels->n; i++) {
		if (strcmp(labels->v[i].key, key) == 0)
			return labels->v[i].value;
	}
	return NULL;
}

static bool term_match(const ap_term_t *term, const ap_labels_t *labels)
{
	const char *value = ap_labels_get(labels, term->key);

	if (term->match == AP_MATCH_EXISTS)
		return value != NULL;
	if (term->match == AP_MATCH_ABSENT)
		return value == NULL;
	for (size_t i = 0; value && i < term->n; i++) {
		if (strcmp(value, term->values[i]) == 0)
			return true;
	}
	return false;
}

bool ap_selector_match(const ap_selector_t *sel, const ap_labels_t *labels)
{
	for (size_t i = 0; i < sel->n; i++) {
		if (!term_match(&sel->v[i], labels))
			return false;
	}
	return true;
}

void ap_selector_clear(ap_selector_t *sel)
{
	for (size_t i = 0; i < sel->n; i++) {
		for (size_t j = 0; j < sel->v[i].n; j++)
			free(sel->v[i].values[j]);
		free(sel->v[i].values);
		free(sel->v[i].key);
	}
	free(sel->v);
	*sel = (ap_selector_t){0};
}

ap_labels_t ap_labels_copy(const ap_labels_t *labels)
{
	ap_labels_t copy = {0};

	if (labels->n == 0)
		return copy;
	copy.v = calloc(labels->n, sizeof(*copy.v));
	if (!copy.v)
		return copy;
	copy.n = labels->n;
	for (size_t i = 0; i < labels->n; i++) {
		copy.v[i].key = strdup(labels->v[i].key);
		copy.v[i].value = strdup(labels->v[i].value);
	}
	return copy;
}

void ap_labels_clear(ap_labels_t *labels)
{
	for (size_t i = 0; i < labels->n; i++) {
		free(labels->v[i].key);
		free(labels->v[i].value);
	}
	free(labels->v);
	*labels = (ap_labels_t){0};
}
