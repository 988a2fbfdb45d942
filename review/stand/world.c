#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define STARTED_MAX 64
#define ITEMS_MAX 4096
#define ZONES 3
static const char *const zone_names[ZONES] = {"litoral-a", "cuyo-a", "patagonia-a"};
static const char *const region_names[ZONES] = {"litoral", "cuyo", "patagonia"};

static FILE *record_file;
static char work_dir[400];
static struct timespec began;
static pid_t started[STARTED_MAX];
static int n_started;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

double now_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)(t.tv_sec - began.tv_sec) + (double)(t.tv_nsec - began.tv_nsec) / 1e9;
}

void sleep_s(double s)
{
	struct timespec t = {(time_t)s, (long)((s - (double)(time_t)s) * 1e9)};

	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

void record(const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f  ", now_s());
	va_start(args, fmt);
	vfprintf(record_file, fmt, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void finish(int status)
{
	for (int i = 0; i < n_started; i++) {
		if (started[i] > 0) {
			kill(started[i], SIGCONT);
			kill(started[i], SIGKILL);
			waitpid(started[i], NULL, 0);
		}
	}
	record("exit %d: %s", status,
	       status == 0   ? "the rule held"
	       : status == 1 ? "the rule was broken"
			     : "could not run");
	_exit(status);
}

void cannot(const char *fmt, ...)
{
	char text[512];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	record("could not run: %s", text);
	fprintf(stderr, "could not run: %s\n", text);
	finish(2);
}

static void on_alarm(int sig)
{
	(void)sig;
	static const char text[] = "could not run: over 115 s\n";
	if (write(2, text, sizeof(text) - 1) < 0)
		_exit(2);
	for (int i = 0; i < n_started; i++) {
		if (started[i] > 0)
			kill(started[i], SIGKILL);
	}
	_exit(2);
}

void world_init(const char *record_path, const char *dir)
{
	clock_gettime(CLOCK_MONOTONIC, &began);
	record_file = fopen(record_path, "w");
	if (!record_file) {
		fprintf(stderr, "can't write the record\n");
		_exit(2);
	}
	snprintf(work_dir, sizeof(work_dir), "%s", dir);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(115);
	record("trouble: %s", trouble() ? "yes" : "no");
}

bool trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

static int listen_on(int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 || listen(fd, 256) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Below the range from which outgoing connections get their ports. */
int free_port_block(int n)
{
	static int at;
	int tries;

	if (at == 0)
		at = 11000 + (getpid() * 37) % 18000;
	for (tries = 0; tries < 2000; tries++) {
		int k = 0;
		int first = at;

		for (; k < n; k++) {
			int fd = listen_on(first + k);

			if (fd < 0)
				break;
			close(fd);
		}
		at = first + n >= 31000 ? 11000 : first + n;
		if (k == n)
			return first;
	}
	cannot("no free ports");
}

/* ---- connections ---- */

int dial(int port, double limit_s)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = {.fd = fd, .events = POLLOUT};
	int err = 0;
	int one = 1;
	socklen_t len = sizeof(err);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0 && errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	if (poll(&p, 1, (int)(limit_s * 1000)) != 1 ||
	    getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0 || err != 0) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

bool send_all(int fd, const void *data, size_t len)
{
	const char *at = data;

	while (len > 0) {
		ssize_t n = send(fd, at, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		at += n;
		len -= (size_t)n;
	}
	return true;
}

bool send_text(int fd, const char *fmt, ...)
{
	char text[TEXT_MAX];
	va_list args;
	int n;

	va_start(args, fmt);
	n = vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	return n >= 0 && n < (int)sizeof(text) && send_all(fd, text, (size_t)n);
}

/* Reads up to @len bytes until @until. Return: bytes; 0 at the end; -1 on an error or too late. */
static ssize_t read_until(int fd, void *buf, size_t len, double until)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	double left = until - now_s();
	ssize_t n;

	if (left <= 0 || poll(&p, 1, (int)(left * 1000) + 1) != 1)
		return -1;
	do
		n = recv(fd, buf, len, 0);
	while (n < 0 && errno == EINTR);
	return n;
}

const char *header(const msg_t *m, const char *name, char out[512])
{
	size_t len = strlen(name);

	out[0] = '\0';
	for (const char *line = strstr(m->head, "\r\n"); line; line = strstr(line + 2, "\r\n")) {
		const char *at = line + 2;
		size_t n;

		if (strncasecmp(at, name, len) != 0 || at[len] != ':')
			continue;
		at += len + 1;
		while (*at == ' ')
			at++;
		n = strcspn(at, "\r\n");
		if (n > 511)
			n = 511;
		memcpy(out, at, n);
		out[n] = '\0';
		break;
	}
	return out;
}

void msg_free(msg_t *m)
{
	free(m->body);
	m->body = NULL;
}

static bool body_add(msg_t *m, const char *data, size_t n)
{
	char *more = realloc(m->body, m->len + n + 1);

	if (!more)
		return false;
	m->body = more;
	memcpy(m->body + m->len, data, n);
	m->len += n;
	m->body[m->len] = '\0';
	return true;
}

static bool read_line(int fd, char *line, size_t size, double until)
{
	size_t n = 0;

	while (n + 1 < size) {
		if (read_until(fd, line + n, 1, until) != 1)
			return false;
		if (line[n++] == '\n') {
			line[n] = '\0';
			return true;
		}
	}
	return false;
}

static bool read_exactly(int fd, msg_t *m, size_t n, double until)
{
	char part[16384];

	while (n > 0) {
		ssize_t got = read_until(fd, part, n < sizeof(part) ? n : sizeof(part), until);

		if (got <= 0 || !body_add(m, part, (size_t)got))
			return false;
		n -= (size_t)got;
	}
	return true;
}

static bool read_chunks(int fd, msg_t *m, double until)
{
	char line[128];

	for (;;) {
		size_t n;

		if (!read_line(fd, line, sizeof(line), until))
			return false;
		n = strtoul(line, NULL, 16);
		if (n > 0 && !read_exactly(fd, m, n, until))
			return false;
		if (!read_line(fd, line, sizeof(line), until))
			return false;
		if (n == 0)
			return true;
	}
}

/* Return: false if no head came. */
bool read_msg(int fd, msg_t *m, bool response, double limit_s)
{
	double until = now_s() + limit_s;
	char value[512];
	size_t n = 0;

	memset(m, 0, sizeof(*m));
	while (n < 4 || memcmp(m->head + n - 4, "\r\n\r\n", 4) != 0) {
		if (n + 1 >= sizeof(m->head) || read_until(fd, m->head + n, 1, until) != 1)
			return false;
		n++;
	}
	if (response)
		m->status = atoi(m->head + 9);
	else
		sscanf(m->head, "%15s %1023s", m->method, m->target);
	if (strcasecmp(header(m, "Transfer-Encoding", value), "chunked") == 0) {
		m->complete = read_chunks(fd, m, until);
	} else if (*header(m, "Content-Length", value)) {
		m->complete = read_exactly(fd, m, strtoul(value, NULL, 10), until);
	} else if (response) {
		char part[4096];
		ssize_t got;

		while ((got = read_until(fd, part, sizeof(part), until)) > 0)
			body_add(m, part, (size_t)got);
		m->complete = got == 0;
	} else {
		m->complete = true;
	}
	return true;
}

struct server {
	int fd;
	handler_t handler;
	void *ctx;
};

typedef struct conn {
	server_t *server;
	int fd;
} conn_t;

static void *conn_run(void *arg)
{
	conn_t *c = arg;
	msg_t m;

	while (read_msg(c->fd, &m, false, 60)) {
		bool keep = m.complete && c->server->handler(c->server->ctx, c->fd, &m);

		msg_free(&m);
		if (!keep)
			break;
	}
	msg_free(&m);
	close(c->fd);
	free(c);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t t;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&t, &attr, run, arg) != 0)
		cannot("no thread");
	pthread_attr_destroy(&attr);
}

static void *server_run(void *arg)
{
	server_t *s = arg;
	int one = 1;

	for (;;) {
		int fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
		conn_t *c;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = malloc(sizeof(*c));
		c->server = s;
		c->fd = fd;
		start_thread(conn_run, c);
	}
	return NULL;
}

server_t *serve(int port, handler_t handler, void *ctx)
{
	server_t *s = calloc(1, sizeof(*s));

	s->fd = listen_on(port);
	if (s->fd < 0)
		cannot("port %d is taken", port);
	s->handler = handler;
	s->ctx = ctx;
	start_thread(server_run, s);
	return s;
}

/* ---- store ---- */

typedef struct item {
	char key[256];
	char *value; /* base64; NULL once removed */
	uint64_t rev;
	uint64_t created;
	uint64_t lease;
} item_t;

typedef struct lease {
	uint64_t id;
	double ttl;
	double until;
} lease_t;

static item_t items[ITEMS_MAX];
static size_t n_items;
static lease_t leases[1024];
static size_t n_leases;
static uint64_t revision = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;

static char *base64(const char *text)
{
	static const char set[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc(len * 4 / 3 + 8);
	size_t n = 0;

	for (size_t i = 0; i < len; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;

		if (i + 1 < len)
			v |= (unsigned)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (unsigned char)text[i + 2];
		out[n++] = set[v >> 18];
		out[n++] = set[(v >> 12) & 63];
		out[n++] = i + 1 < len ? set[(v >> 6) & 63] : '=';
		out[n++] = i + 2 < len ? set[v & 63] : '=';
	}
	out[n] = '\0';
	return out;
}

/* The functions below up to the handler are called with the lock held. */
static item_t *find_item(const char *key)
{
	for (size_t i = 0; i < n_items; i++) {
		if (strcmp(items[i].key, key) == 0)
			return &items[i];
	}
	if (n_items == ITEMS_MAX)
		cannot("the store is full");
	snprintf(items[n_items].key, sizeof(items[0].key), "%s", key);
	return &items[n_items++];
}

/* Takes over @value; NULL removes the key. */
static void write_item(const char *key, char *value, uint64_t lease)
{
	item_t *it = find_item(key);

	if (!it->value)
		it->created = revision + 1;
	free(it->value);
	it->value = value;
	it->lease = lease;
	it->rev = ++revision;
}

static json_t *item_json(const item_t *it)
{
	if (!it->value)
		return json_pack("{s:s,s:I,s:b}", "key", it->key, "rev", (json_int_t)it->rev,
				 "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", it->key, "value", it->value, "rev",
			 (json_int_t)it->rev, "createRev", (json_int_t)it->created, "lease",
			 (json_int_t)it->lease);
}

static void expire_leases(void)
{
	for (size_t i = 0; i < n_leases; i++) {
		if (leases[i].id == 0 || now_s() < leases[i].until)
			continue;
		for (size_t k = 0; k < n_items; k++) {
			if (items[k].value && items[k].lease == leases[i].id)
				write_item(items[k].key, NULL, 0);
		}
		leases[i].id = 0;
	}
}

static lease_t *find_lease(uint64_t id)
{
	for (size_t i = 0; i < n_leases; i++) {
		if (id != 0 && leases[i].id == id)
			return &leases[i];
	}
	return NULL;
}

static int do_txn(json_t *root, json_t **body)
{
	json_t *row;
	size_t i;
	bool hold = true;

	json_array_foreach (json_object_get(root, "expectRev"), i, row) {
		const item_t *it = find_item(json_string_value(json_object_get(row, "key")));

		if ((it->value ? it->rev : 0) !=
		    (uint64_t)json_integer_value(json_object_get(row, "rev")))
			hold = false;
	}
	if (!hold) {
		json_t *list = json_array();

		json_array_foreach (json_object_get(root, "expectRev"), i, row) {
			const item_t *it =
				find_item(json_string_value(json_object_get(row, "key")));

			if (it->value)
				json_array_append_new(list, item_json(it));
		}
		*body = json_pack("{s:o}", "items", list);
		return 412;
	}
	json_array_foreach (json_object_get(root, "puts"), i, row) {
		uint64_t id = (uint64_t)json_integer_value(json_object_get(row, "lease"));

		if (id != 0 && !find_lease(id))
			return 404;
		write_item(json_string_value(json_object_get(row, "key")),
			   strdup(json_string_value(json_object_get(row, "value"))), id);
	}
	json_array_foreach (json_object_get(root, "delete"), i, row)
		write_item(json_string_value(row), NULL, 0);
	*body = json_pack("{s:I}", "rev", (json_int_t)revision);
	return 200;
}

static uint64_t query_number(const char *target, const char *name)
{
	const char *at = strstr(target, name);

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

static json_t *list_json(const char *field, uint64_t after, bool removed)
{
	json_t *list = json_array();

	for (size_t i = 0; i < n_items; i++) {
		if (items[i].rev > after && (items[i].value || removed))
			json_array_append_new(list, item_json(&items[i]));
	}
	return json_pack("{s:o,s:b,s:I}", field, list, "truncated", 0, "asOf",
			 (json_int_t)revision);
}

static json_t *do_watch(const char *target, const volatile bool *rejects)
{
	uint64_t after = query_number(target, "after=");
	double until = now_s() + (double)query_number(target, "waitMs=") / 1000;

	while (revision <= after && now_s() < until && !(rejects && *rejects)) {
		pthread_mutex_unlock(&store_lock);
		sleep_s(0.01);
		pthread_mutex_lock(&store_lock);
		expire_leases();
	}
	return list_json("events", after, true);
}

static bool on_store(void *ctx, int fd, const msg_t *req)
{
	json_t *root = req->len ? json_loadb(req->body, req->len, 0, NULL) : NULL;
	const volatile bool *rejects = ctx;
	json_t *body = NULL;
	char *text;
	int status = 404;
	lease_t *l;
	bool ok;

	if (rejects && *rejects) {
		json_decref(root);
		return send_text(fd,
				 "HTTP/1.1 503 X\r\nContent-Type: application/json\r\nStore-Era: "
				 "1\r\nContent-Length: 2\r\n\r\n{}");
	}
	pthread_mutex_lock(&store_lock);
	expire_leases();
	if (strncmp(req->target, "/api/kv-range", 13) == 0) {
		status = 200;
		body = list_json("items", 0, false);
	} else if (strncmp(req->target, "/api/kv-watch", 13) == 0) {
		status = 200;
		body = do_watch(req->target, rejects);
		if (rejects && *rejects) {
			json_decref(body);
			body = NULL;
			status = 503;
		}
	} else if (strcmp(req->target, "/api/kv-txn") == 0) {
		status = do_txn(root, &body);
	} else if (strcmp(req->target, "/api/kv-lease") == 0) {
		l = &leases[n_leases++ % 1024];
		l->id = 70000 + n_leases;
		l->ttl = (double)json_integer_value(json_object_get(root, "ttlMs")) / 1000;
		l->until = now_s() + l->ttl;
		status = 200;
		body = json_pack("{s:I,s:I}", "lease", (json_int_t)l->id, "ttlMs",
				 (json_int_t)(l->ttl * 1000));
	} else if (strncmp(req->target, "/api/kv-keep/", 13) == 0 ||
		   strncmp(req->target, "/api/kv-lease-end/", 18) == 0) {
		l = find_lease(strtoull(strrchr(req->target, '/') + 1, NULL, 10));
		if (l) {
			status = 200;
			l->until = req->target[8] == 'k' ? now_s() + l->ttl : 0;
			body = json_object();
		}
	}
	pthread_mutex_unlock(&store_lock);
	text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
	{
		char head[256];
		int n = snprintf(head, sizeof(head),
				 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: "
				 "1\r\nContent-Length: %zu\r\n\r\n",
				 status, strlen(text));

		ok = send_all(fd, head, (size_t)n) && send_all(fd, text, strlen(text));
	}
	free(text);
	json_decref(body);
	json_decref(root);
	return ok;
}

int store_start(void)
{
	int port = free_port_block(1);

	serve(port, on_store, NULL);
	return port;
}

int store_start_for(volatile bool *rejects)
{
	int port = free_port_block(1);

	serve(port, on_store, (void *)rejects);
	return port;
}

void store_put(const char *key, const char *json)
{
	pthread_mutex_lock(&store_lock);
	write_item(key, base64(json), 0);
	pthread_mutex_unlock(&store_lock);
}

void store_remove(const char *key)
{
	pthread_mutex_lock(&store_lock);
	write_item(key, NULL, 0);
	pthread_mutex_unlock(&store_lock);
}

bool store_instances(int n, double limit_s)
{
	double until = now_s() + limit_s;

	while (now_s() < until) {
		int found = 0;

		pthread_mutex_lock(&store_lock);
		for (size_t i = 0; i < n_items; i++)
			found += items[i].value &&
				 strncmp(items[i].key, "arbutuspond/instances/", 22) == 0;
		pthread_mutex_unlock(&store_lock);
		if (found >= n)
			return true;
		sleep_s(0.05);
	}
	return false;
}

/* ---- replicas' entries ---- */

typedef struct entry {
	char key[128];
	char json[1024];
	char state[128]; /* fields after @json */
} entry_t;

static entry_t *entries[256];
static size_t n_entries;

static void *heartbeat(void *arg)
{
	entry_t *e = arg;
	char json[1200];

	for (unsigned seq = 1;; seq++) {
		bool gone;

		pthread_mutex_lock(&store_lock);
		gone = seq > 1 && !find_item(e->key)->value;
		pthread_mutex_unlock(&store_lock);
		if (gone)
			break;
		snprintf(json, sizeof(json), "%s,%s,\"seq\":%u}", e->json, e->state, seq);
		store_put(e->key, json);
		sleep_s(1.2);
	}
	return NULL;
}

void replica_register(const char *id, const char *service, const char *zone, int port, int slots,
		      const char *version)
{
	entry_t *e = calloc(1, sizeof(*e));

	snprintf(e->key, sizeof(e->key), "servers/%s", id);
	snprintf(e->json, sizeof(e->json),
		 "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"%s\","
		 "\"slots\":%d,\"coldLeftMs\":0",
		 service, port, zone, version, slots);
	snprintf(e->state, sizeof(e->state), "\"state\":\"ready\"");
	if (n_entries < 256)
		entries[n_entries++] = e;
	start_thread(heartbeat, e);
	record("replica %s of %s at port %d in %s", id, service, port, zone);
}

void replica_leaves(const char *id, int left_ms)
{
	char key[128];
	char json[1200];

	snprintf(key, sizeof(key), "servers/%s", id);
	for (size_t i = 0; i < n_entries; i++) {
		if (strcmp(entries[i]->key, key) != 0)
			continue;
		if (left_ms > 0)
			snprintf(entries[i]->state, sizeof(entries[i]->state),
				 "\"state\":\"draining\",\"drainLeftMs\":%d", left_ms);
		else
			snprintf(entries[i]->state, sizeof(entries[i]->state),
				 "\"state\":\"draining\"");
		snprintf(json, sizeof(json), "%s,%s,\"seq\":9999}", entries[i]->json,
			 entries[i]->state);
		store_put(key, json);
	}
}

/* ---- gateways ---- */

pid_t fork_stand_in(void (*run)(void *ctx), void *ctx)
{
	pid_t parent = getpid();
	pid_t pid;

	fflush(record_file);
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(1);
		n_started = 0;
		run(ctx);
		for (;;)
			pause();
	}
	if (pid < 0 || n_started == STARTED_MAX)
		cannot("no process");
	started[n_started++] = pid;
	return pid;
}

void kill_stand_in(pid_t pid)
{
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	for (int i = 0; i < n_started; i++) {
		if (started[i] == pid)
			started[i] = 0;
	}
}

void gateway_prepare(gateway_t *g, const char *id, const char *region, int store_port)
{
	FILE *out;

	memset(g, 0, sizeof(*g));
	snprintf(g->id, sizeof(g->id), "%s", id);
	snprintf(g->region, sizeof(g->region), "%s", region);
	g->port = free_port_block(8);
	snprintf(g->settings, sizeof(g->settings), "%s/%s.conf", work_dir, id);
	snprintf(g->log, sizeof(g->log), "%s/%s.log", work_dir, id);
	out = fopen(g->settings, "w");
	if (!out)
		cannot("can't write settings");
	/* As deploy/settings.toml has them, with the figures of ferias-stands. */
	fprintf(out,
		"[instance]\nid = \"%s\"\nregion = \"%s\"\ndata_centre = \"%s-a\"\nhost = "
		"\"127.0.0.1\"\n\n[gateway]\ncallers = \"127.0.0.1:%d\"\nready = "
		"\"127.0.0.1:%d\"\ndirectory = \"127.0.0.1:%d\"\nmetrics = \"127.0.0.1:%d\"\n"
		"control = \"127.0.0.1:%d\"\nseeds = [\"127.0.0.1:%d\"]\npeer_port = %d\n"
		"store = \"127.0.0.1:%d\"\ncores = 0.25\nrepeat_ratio = 0.2\nrepeat_slack = 56\n"
		"repeat_window_s = 10\ncold_over = 1.5\ncold_slack = 3\ndrain_ms = 3000\n"
		"apply_ms = 3000\ngrace_s = 8\ndirectory_s = 2\n\n[gateway.data_centres]\n",
		id, region, region, g->port, g->port + 1, g->port + 2, g->port + 3, g->port + 4,
		g->port + 4, g->port + 5, store_port);
	for (int i = 0; i < ZONES; i++)
		fprintf(out, "\"%s\" = \"%s\"\n", zone_names[i], region_names[i]);
	fclose(out);
}

void gateway_start(gateway_t *g)
{
	static const char program[] = "target/cmd/arbutuspond"; /* as the deploy file runs it */
	pid_t parent = getpid();

	if (access(program, X_OK) != 0)
		cannot("%s is missing: run the deploy file's build", program);
	g->pid = fork();
	if (g->pid == 0) {
		int fd = open(g->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(1);
		dup2(fd, 1);
		dup2(fd, 2);
		execl(program, program, "--settings", g->settings, (char *)NULL);
		_exit(127);
	}
	if (n_started == STARTED_MAX)
		cannot("too many processes");
	started[n_started++] = g->pid;
	record("started %s, region %s, pid %d, callers at port %d", g->id, g->region, (int)g->pid,
	       g->port);
}

bool gateway_ready(gateway_t *g, double limit_s)
{
	double until = now_s() + limit_s;

	while (now_s() < until) {
		int fd = dial(g->port + 1, 0.5);
		msg_t m;
		bool ok;

		if (fd >= 0) {
			send_text(
				fd,
				"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
			ok = read_msg(fd, &m, true, 1) && m.status == 200;
			msg_free(&m);
			close(fd);
			if (ok)
				return true;
		}
		sleep_s(0.1);
	}
	return false;
}

bool gateway_ended(gateway_t *g, int *status)
{
	if (g->pid <= 0)
		return true;
	if (waitpid(g->pid, status, WNOHANG) != g->pid)
		return false;
	for (int i = 0; i < n_started; i++) {
		if (started[i] == g->pid)
			started[i] = 0;
	}
	g->pid = 0;
	return true;
}

long gateway_rss_kb(const gateway_t *g)
{
	char path[64];
	char line[256];
	long kb = -1;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)g->pid);
	in = fopen(path, "r");
	if (!in)
		return -1;
	while (fgets(line, sizeof(line), in)) {
		if (sscanf(line, "VmRSS: %ld", &kb) == 1)
			break;
	}
	fclose(in);
	return kb;
}

const char world_config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r-consulta\",\"host\":\"ferias.example\",\"prefix\":\"/consulta/\",\"kind\":"
	"\"stream\",\"timeoutMs\":4000,\"goalMs\":1000,\"priority\":0,\"service\":\"asistente\","
	"\"attempts\":2,\"sticky\":true,\"resumable\":true,\"gapAimMs\":1200,\"homeRegions\":[]},"
	"{\"name\":\"r-dictamen\",\"host\":\"ferias.example\",\"prefix\":\"/dictamen/\",\"kind\":"
	"\"stream\",\"timeoutMs\":6000,\"goalMs\":1200,\"priority\":1,\"service\":\"asistente\","
	"\"attempts\":1,\"sticky\":true,\"resumable\":false,\"gapAimMs\":1200,\"homeRegions\":[]},"
	"{\"name\":\"r-reserva\",\"host\":\"ferias.example\",\"prefix\":\"/reserva/\",\"kind\":"
	"\"non_idempotent\",\"timeoutMs\":2000,\"goalMs\":400,\"priority\":2,\"service\":\"mesa\","
	"\"attempts\":1,\"sticky\":false,\"resumable\":false,\"homeRegions\":[]},"
	"{\"name\":\"r-estado\",\"host\":\"ferias.example\",\"prefix\":\"/estado/\",\"kind\":"
	"\"idempotent\",\"timeoutMs\":2000,\"goalMs\":400,\"priority\":2,\"service\":\"mesa\","
	"\"attempts\":2,\"sticky\":false,\"resumable\":false,\"homeRegions\":[]}],"
	"\"services\":[{\"name\":\"asistente\",\"healthPath\":\"/health\",\"maxConns\":370,"
	"\"proto\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":6.6,\"engine\":{\"slots\":"
	"64,"
	"\"kvTokens\":313764,\"stride\":9}},"
	"{\"name\":\"mesa\",\"healthPath\":\"/health\",\"maxConns\":110,\"proto\":\"h1\",\"tls\":"
	"false,\"warmupS\":0.0,\"warmupPerS\":0.0}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";
