/* Key-value pairs and sessions of the platform stand-in. */
#include "store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *must(void *p)
{
	if (!p)
		abort();
	return p;
}

void store_init(store_t *s, uint64_t seed)
{
	*s = (store_t){.index = 1};
	LIST_INIT(&s->sessions);
	ap_rng_seed(&s->rng, seed);
}

void store_clear(store_t *s)
{
	session_t *session = LIST_FIRST(&s->sessions);
	pair_t *p = s->pairs;

	HASH_CLEAR(hh, s->pairs);
	while (p) {
		pair_t *next = p->hh.next;

		free(p->key);
		free(p->value);
		free(p);
		p = next;
	}
	while (session) {
		session_t *next = LIST_NEXT(session, link);

		free(session);
		session = next;
	}
}

pair_t *store_get(store_t *s, const char *key)
{
	pair_t *p;

	HASH_FIND_STR(s->pairs, key, p);
	return p;
}

static pair_t *write_pair(store_t *s, const char *key, const void *value, size_t len)
{
	pair_t *p = store_get(s, key);

	if (!p) {
		p = must(calloc(1, sizeof(*p)));
		p->key = must(strdup(key));
		p->created = s->index + 1;
		HASH_ADD_KEYPTR(hh, s->pairs, p->key, strlen(p->key), p);
	}
	free(p->value);
	p->value = must(malloc(len + 1));
	memcpy(p->value, value, len);
	p->len = len;
	p->modified = ++s->index;
	return p;
}

void store_put(store_t *s, const char *key, const void *value, size_t len)
{
	write_pair(s, key, value, len);
}

bool store_cas(store_t *s, const char *key, const void *value, size_t len, uint64_t index)
{
	const pair_t *p = store_get(s, key);

	if (index != (p ? p->modified : 0))
		return false;
	write_pair(s, key, value, len);
	return true;
}

bool store_acquire(store_t *s, const char *key, const void *value, size_t len, const char *session)
{
	pair_t *p = store_get(s, key);

	if (p && p->session[0] && strcmp(p->session, session) != 0)
		return false;
	p = write_pair(s, key, value, len);
	if (!p->session[0]) {
		p->lock_index++;
		ap_copy_name(p->session, sizeof(p->session), session);
	}
	return true;
}

bool store_del(store_t *s, const char *key, uint64_t index)
{
	pair_t *p = store_get(s, key);

	if (!p)
		return true;
	if (p->modified != index)
		return false;
	s->index++;
	HASH_DEL(s->pairs, p);
	free(p->key);
	free(p->value);
	free(p);
	return true;
}

bool store_release(store_t *s, const char *key, const char *session)
{
	pair_t *p = store_get(s, key);

	if (!p || strcmp(p->session, session) != 0)
		return false;
	p->session[0] = '\0';
	p->modified = ++s->index;
	return true;
}

session_t *store_session(store_t *s, const char *id)
{
	session_t *session;

	LIST_FOREACH (session, &s->sessions, link) {
		if (strcmp(session->id, id) == 0)
			return session;
	}
	return NULL;
}

session_t *store_session_create(store_t *s, ap_usec_t ttl, ap_usec_t now)
{
	session_t *session = must(calloc(1, sizeof(*session)));
	ap_id_t id = ap_rng_id(&s->rng);

	snprintf(session->id, sizeof(session->id), "%08x-%04x-%04x-%04x-%012llx",
		 (unsigned)(id.hi >> 32), (unsigned)(id.hi >> 16 & 0xffff),
		 (unsigned)(id.hi & 0xffff), (unsigned)(id.lo >> 48),
		 (unsigned long long)(id.lo & 0xffffffffffff));
	session->ttl = ttl;
	session->expires = now + ttl;
	LIST_INSERT_HEAD(&s->sessions, session, link);
	return session;
}

void store_session_end(store_t *s, session_t *session)
{
	pair_t *p;
	pair_t *next;

	HASH_ITER (hh, s->pairs, p, next) {
		if (strcmp(p->session, session->id) != 0)
			continue;
		p->session[0] = '\0';
		p->modified = ++s->index;
	}
	LIST_REMOVE(session, link);
	free(session);
}

void store_expire(store_t *s, ap_usec_t now)
{
	session_t *session = LIST_FIRST(&s->sessions);

	while (session) {
		session_t *next = LIST_NEXT(session, link);

		if (session->expires <= now)
			store_session_end(s, session);
		session = next;
	}
}
