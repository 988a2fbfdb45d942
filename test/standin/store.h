/* Key-value pairs with compare-and-swap, and sessions that expire; callers pass the time. */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include "base/base.h"

#include <sys/queue.h>
#include <uthash.h>

#define SESSION_ID_MAX 40

/**
 * struct pair - one key with its value.
 * @created: index of its creation
 * @modified: index of its last change
 * @lock_index: number of times that it was acquired
 * @session: id of the session that holds it, or empty
 */
typedef struct pair {
	char *key;
	void *value;
	size_t len;
	uint64_t created;
	uint64_t modified;
	uint64_t lock_index;
	char session[SESSION_ID_MAX];
	UT_hash_handle hh;
} pair_t;

typedef struct session {
	char id[SESSION_ID_MAX];
	ap_usec_t ttl;
	ap_usec_t expires;
	LIST_ENTRY(session) link;
} session_t;

typedef struct store {
	pair_t *pairs;
	LIST_HEAD(, session) sessions;
	uint64_t index;
	ap_rng_t rng;
} store_t;

void store_init(store_t *s, uint64_t seed);
void store_clear(store_t *s);
pair_t *store_get(store_t *s, const char *key);
/** store_put() - writes the key unconditionally. */
void store_put(store_t *s, const char *key, const void *value, size_t len);
/** store_cas() - writes the key if its index is @index; index 0 stands for an absent key. */
bool store_cas(store_t *s, const char *key, const void *value, size_t len, uint64_t index);
/** store_acquire() - writes the key and locks it, unless another session holds it. */
bool store_acquire(store_t *s, const char *key, const void *value, size_t len, const char *session);
/** store_del() - removes the key if its index is @index. Return: true also if it is absent. */
bool store_del(store_t *s, const char *key, uint64_t index);
bool store_release(store_t *s, const char *key, const char *session);
session_t *store_session(store_t *s, const char *id);
session_t *store_session_create(store_t *s, ap_usec_t ttl, ap_usec_t now);
void store_session_end(store_t *s, session_t *session);
/** store_expire() - ends the sessions that have expired at @now. */
void store_expire(store_t *s, ap_usec_t now);

#endif
