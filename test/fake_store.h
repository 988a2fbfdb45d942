/*
 * A key-value store in virtual time that loses responses, stalls, becomes unreachable and lets
 * sessions expire.
 */
#ifndef AP_TEST_FAKE_STORE_H
#define AP_TEST_FAKE_STORE_H

#include "fake_sim.h"

#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

typedef struct fake_key {
	char name[160];
	uint64_t index;
	uint64_t lock_index;
	void *value;
	size_t len;
	char session[AP_SESSION_MAX];
	UT_hash_handle hh;
} fake_key_t;

typedef struct fake_session {
	char name[AP_SESSION_MAX];
	ap_usec_t ttl;
	ap_usec_t until;
	struct fake_session *next_free; /* next session to free */
	UT_hash_handle hh;
} fake_session_t;

/* A read that waits until the key changes after @index. */
typedef struct fake_watch {
	uint64_t number;
	char key[160];
	uint64_t index;
	ap_kv_done_t done;
	void *arg;
	LIST_ENTRY(fake_watch) link;
} fake_watch_t;

typedef struct fake_store {
	fake_sim_t *sim;
	bool unreachable;
	bool lose_write_responses; /* every write is applied and its response lost */
	double response_loss; /* share of calls whose response is lost; half of their writes are
				 applied */
	ap_usec_t delay;
	ap_usec_t stall; /* added to the delay of every response */
	uint64_t index;
	uint64_t reads;
	uint64_t writes;
	uint64_t deleted_bytes;
	uint64_t watched; /* watches so far */
	fake_key_t *keys;
	fake_session_t *sessions;
	LIST_HEAD(, fake_watch) watches;
	void (*changed)(void *ctx); /* a value was written or deleted; may be NULL */
	void *changed_ctx;
} fake_store_t;

typedef struct fake_response {
	fake_store_t *store;
	ap_kv_done_t done;
	void *arg;
	ap_kv_result_t result;
	unsigned char value[];
} fake_response_t;

FAKE void fake_response_deliver(void *arg, void *data)
{
	fake_response_t *a = data;

	(void)arg;
	a->result.value = a->value;
	a->done(a->arg, &a->result);
}

/*
 * Responds to a call. As in the real service, only a read (@key given) returns index, fencing token
 * and holder.
 */
FAKE void fake_respond(fake_store_t *s, ap_kv_done_t done, void *arg, ap_kv_status_t status,
		       const fake_key_t *key, const char *session)
{
	size_t len = key && status == AP_KV_OK ? key->len : 0;
	fake_response_t *a = calloc(1, sizeof(*a) + len);

	if (!a)
		abort();
	a->done = done;
	a->arg = arg;
	a->result.status = status;
	if (key && status == AP_KV_OK) {
		a->result.index = key->index;
		a->result.lock_index = key->lock_index;
		a->result.len = len;
		if (len > 0)
			memcpy(a->value, key->value, len);
		ap_copy_name(a->result.session, AP_SESSION_MAX, key->session);
	}
	if (session)
		ap_copy_name(a->result.session, AP_SESSION_MAX, session);
	fake_at(s->sim, s->sim->now + s->delay + s->stall, fake_response_deliver, NULL, a);
}

FAKE fake_key_t *fake_key(fake_store_t *s, const char *name, bool make)
{
	fake_key_t *key;

	HASH_FIND_STR(s->keys, name, key);
	if (key || !make)
		return key;
	key = calloc(1, sizeof(*key));
	if (!key)
		abort();
	ap_copy_name(key->name, sizeof(key->name), name);
	HASH_ADD_STR(s->keys, name, key);
	return key;
}

/* Responds to the watches of the key @name, or to all watches when it is NULL. */
FAKE void fake_finish_watches(fake_store_t *s, const char *name, const fake_key_t *key,
			      ap_kv_status_t status)
{
	fake_watch_t *w = LIST_FIRST(&s->watches);

	while (w) {
		fake_watch_t *next = LIST_NEXT(w, link);

		if (!name || strcmp(name, w->key) == 0) {
			LIST_REMOVE(w, link);
			fake_respond(s, w->done, w->arg, status, key, NULL);
			free(w);
		}
		w = next;
	}
}

FAKE void fake_store_set_unreachable(fake_store_t *s, bool unreachable)
{
	s->unreachable = unreachable;
	if (unreachable)
		fake_finish_watches(s, NULL, NULL, AP_KV_UNAVAILABLE);
}

FAKE void fake_write(fake_store_t *s, fake_key_t *key, const void *value, size_t len)
{
	free(key->value);
	key->value = malloc(len + 1);
	if (!key->value)
		abort();
	if (len > 0)
		memcpy(key->value, value, len);
	key->len = len;
	key->index = ++s->index;
	if (s->changed)
		s->changed(s->changed_ctx);
	fake_finish_watches(s, key->name, key, AP_KV_OK);
}

/* Ends the sessions whose time is over and releases their keys. */
FAKE void fake_expire(fake_store_t *s)
{
	fake_session_t *session, *next, *removed = NULL;
	fake_key_t *key;

	HASH_ITER (hh, s->sessions, session, next) {
		if (session->until > s->sim->now)
			continue;
		for (key = s->keys; key; key = key->hh.next) {
			if (strcmp(key->session, session->name) == 0) {
				key->session[0] = '\0';
				key->index = ++s->index;
			}
		}
		HASH_DEL(s->sessions, session);
		session->next_free = removed;
		removed = session;
	}
	for (session = removed; session; session = next) {
		next = session->next_free;
		free(session);
	}
}

/*
 * Refuses a call or loses its response, as the settings of the store say.
 * @applied: set to whether a write takes effect nevertheless
 *
 * Return: true when the caller gets an error; it was already sent.
 */
FAKE bool fake_inject_fault(fake_store_t *s, bool write, ap_kv_done_t done, void *arg,
			    bool *applied)
{
	*applied = !s->unreachable;
	fake_expire(s);
	if (write)
		s->writes++;
	else
		s->reads++;
	if (s->unreachable) {
		fake_respond(s, done, arg, AP_KV_UNAVAILABLE, NULL, NULL);
		return true;
	}
	if (write && s->lose_write_responses) {
		fake_respond(s, done, arg, AP_KV_UNSURE, NULL, NULL);
		return true;
	}
	if (ap_rng_unit(&s->sim->rng) >= s->response_loss)
		return false;
	*applied = ap_rng_unit(&s->sim->rng) < 0.5;
	fake_respond(s, done, arg, write ? AP_KV_UNSURE : AP_KV_UNAVAILABLE, NULL, NULL);
	return true;
}

typedef struct fake_watch_end {
	fake_store_t *store;
	uint64_t number;
} fake_watch_end_t;

FAKE void fake_watch_timeout(void *arg, void *data)
{
	fake_watch_end_t *end = data;
	fake_watch_t *w;

	(void)arg;
	LIST_FOREACH (w, &end->store->watches, link) {
		if (w->number == end->number) {
			LIST_REMOVE(w, link);
			fake_respond(end->store, w->done, w->arg, AP_KV_OK,
				     fake_key(end->store, w->key, false), NULL);
			free(w);
			return;
		}
	}
}

FAKE void fake_get(void *ctx, const char *name, uint64_t index, ap_usec_t wait, ap_kv_done_t done,
		   void *arg)
{
	fake_store_t *s = ctx;
	fake_key_t *key;
	fake_watch_t *w;
	fake_watch_end_t *end;
	bool applied;

	if (fake_inject_fault(s, false, done, arg, &applied))
		return;
	key = fake_key(s, name, false);
	if (!key || index == 0 || key->index > index) {
		fake_respond(s, done, arg, key && key->value ? AP_KV_OK : AP_KV_ABSENT, key, NULL);
		return;
	}
	w = calloc(1, sizeof(*w));
	end = calloc(1, sizeof(*end));
	if (!w || !end)
		abort();
	ap_copy_name(w->key, sizeof(w->key), name);
	w->done = done;
	w->arg = arg;
	LIST_INSERT_HEAD(&s->watches, w, link);
	w->number = ++s->watched;
	*end = (fake_watch_end_t){s, w->number};
	fake_at(s->sim, s->sim->now + wait, fake_watch_timeout, NULL, end);
}

FAKE void fake_cas(void *ctx, const char *name, const void *value, size_t len, uint64_t index,
		   ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	bool applied;
	bool failed = fake_inject_fault(s, true, done, arg, &applied);
	fake_key_t *key = fake_key(s, name, true);
	bool matches = key->index == index;

	if (applied && matches)
		fake_write(s, key, value, len);
	if (!failed)
		fake_respond(s, done, arg, matches ? AP_KV_OK : AP_KV_CONFLICT, NULL, NULL);
}

FAKE void fake_del(void *ctx, const char *name, uint64_t index, ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	bool applied;
	bool failed = fake_inject_fault(s, true, done, arg, &applied);
	fake_key_t *key = fake_key(s, name, false);
	bool matches = !key || !key->value || key->index == index;

	if (applied && matches && key) {
		s->deleted_bytes += key->len;
		free(key->value);
		key->value = NULL;
		key->len = 0;
		key->index = 0;
		s->index++;
		if (s->changed)
			s->changed(s->changed_ctx);
	}
	if (!failed)
		fake_respond(s, done, arg, matches ? AP_KV_OK : AP_KV_CONFLICT, NULL, NULL);
}

FAKE void fake_acquire(void *ctx, const char *name, const void *value, size_t len,
		       const char *session, ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	fake_session_t *found;
	bool applied;
	bool failed = fake_inject_fault(s, true, done, arg, &applied);
	fake_key_t *key = fake_key(s, name, true);
	bool matches;

	HASH_FIND_STR(s->sessions, session, found);
	matches = found && (key->session[0] == '\0' || strcmp(key->session, session) == 0);
	if (applied && matches) {
		if (key->session[0] == '\0')
			key->lock_index++;
		ap_copy_name(key->session, sizeof(key->session), session);
		fake_write(s, key, value, len);
	}
	if (!failed)
		fake_respond(s, done, arg, matches ? AP_KV_OK : AP_KV_CONFLICT, NULL, NULL);
}

FAKE void fake_release(void *ctx, const char *name, const char *session, ap_kv_done_t done,
		       void *arg)
{
	fake_store_t *s = ctx;
	bool applied;
	bool failed = fake_inject_fault(s, true, done, arg, &applied);
	fake_key_t *key = fake_key(s, name, true);

	if (applied && strcmp(key->session, session) == 0)
		key->session[0] = '\0';
	if (!failed)
		fake_respond(s, done, arg, AP_KV_OK, key, NULL);
}

FAKE void fake_session_create(void *ctx, ap_usec_t ttl, ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	fake_session_t *session;
	bool applied;
	bool failed = fake_inject_fault(s, true, done, arg, &applied);
	char name[AP_SESSION_MAX];

	snprintf(name, sizeof(name), "s%llu", (unsigned long long)++s->index);
	if (applied) {
		session = calloc(1, sizeof(*session));
		if (!session)
			abort();
		ap_copy_name(session->name, sizeof(session->name), name);
		session->ttl = ttl;
		session->until = s->sim->now + ttl;
		HASH_ADD_STR(s->sessions, name, session);
	}
	if (!failed)
		fake_respond(s, done, arg, AP_KV_OK, NULL, name);
}

FAKE void fake_session_renew(void *ctx, const char *name, ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	fake_session_t *session;
	bool applied;
	bool failed = fake_inject_fault(s, true, done, arg, &applied);

	HASH_FIND_STR(s->sessions, name, session);
	if (applied && session)
		session->until = s->sim->now + session->ttl;
	if (!failed)
		fake_respond(s, done, arg, session ? AP_KV_OK : AP_KV_ABSENT, NULL, name);
}

FAKE void fake_session_destroy(void *ctx, const char *name, ap_kv_done_t done, void *arg)
{
	fake_store_t *s = ctx;
	fake_session_t *session;
	bool applied;
	bool failed = fake_inject_fault(s, true, done, arg, &applied);

	HASH_FIND_STR(s->sessions, name, session);
	if (applied && session) {
		session->until = 0;
		fake_expire(s);
	}
	if (!failed)
		fake_respond(s, done, arg, AP_KV_OK, NULL, NULL);
}

FAKE ap_kv_port_t fake_store_port(fake_store_t *s)
{
	return (ap_kv_port_t){
		.ctx = s,
		.get = fake_get,
		.cas = fake_cas,
		.del = fake_del,
		.acquire = fake_acquire,
		.release = fake_release,
		.session_create = fake_session_create,
		.session_renew = fake_session_renew,
		.session_destroy = fake_session_destroy,
	};
}

FAKE void fake_store_clear(fake_store_t *s)
{
	fake_key_t *key, *next_key;
	fake_session_t *session, *next;
	fake_watch_t *w;

	while ((w = LIST_FIRST(&s->watches)) != NULL) {
		LIST_REMOVE(w, link);
		free(w);
	}
	key = s->keys;
	HASH_CLEAR(hh, s->keys);
	for (; key; key = next_key) {
		next_key = key->hh.next;
		free(key->value);
		free(key);
	}
	session = s->sessions;
	HASH_CLEAR(hh, s->sessions);
	for (; session; session = next) {
		next = session->hh.next;
		free(session);
	}
}

#endif
