/* HTTP server of the stand-ins: listening, exchanges and faults. */
#include "server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#define CONNECTION_IDLE_S 3600
#define CLOSE_DELAY_US 10000 /* from the last write to the close of a connection */
#define BODY_MAX (64 << 20)

typedef struct connection {
	LIST_ENTRY(connection) link;
	struct evhttp_connection *evcon;
	struct event *closer;
	exchange_t *x;
	bool reset;
	bool silent;
} connection_t;

struct server {
	struct event_base *base;
	struct evhttp *http;
	request_fn_t request;
	void *ctx;
	fault_t fault;
	long fault_left; /* requests left that get the fault; below 0: no limit */
	LIST_HEAD(, connection) connections;
};

struct exchange {
	server_t *server;
	connection_t *connection;
	struct evhttp_request *req;
	struct evkeyvalq query;
	char *path;
	void (*gone)(void *ctx);
	void *ctx;
};

static const char *const fault_names[FAULT_COUNT] = {
	[FAULT_NONE] = "none",
	[FAULT_RESET_BEFORE] = "reset-before",
	[FAULT_RESET_AFTER] = "reset-after",
	[FAULT_STALL_BEFORE] = "stall-before",
	[FAULT_STALL_MIDDLE] = "stall-middle",
	[FAULT_HALF] = "half",
	[FAULT_WRONG_LENGTH] = "wrong-length",
	[FAULT_WRONG_ID] = "wrong-id",
	[FAULT_REFUSE] = "refuse",
	[FAULT_DRAIN] = "drain",
	[FAULT_SILENT] = "silent",
};

static void *must(void *p)
{
	if (p)
		return p;
	fputs("out of memory\n", stderr);
	exit(EXIT_FAILURE);
}

static struct bufferevent *bev_of(const connection_t *c)
{
	return evhttp_connection_get_bufferevent(c->evcon);
}

static void exchange_free(exchange_t *x)
{
	x->connection->x = NULL;
	evhttp_clear_headers(&x->query);
	free(x->path);
	free(x);
}

static void on_close(struct evhttp_connection *evcon, void *arg)
{
	connection_t *c = arg;

	(void)evcon;
	if (c->x) {
		exchange_t *x = c->x;
		struct evhttp_request *req = x->req;

		if (x->gone)
			x->gone(x->ctx);
		exchange_free(x);
		/* libevent doesn't free a request that it has detached from its connection */
		if (!evhttp_request_get_connection(req))
			evhttp_request_free(req);
	}
	event_free(c->closer);
	LIST_REMOVE(c, link);
	free(c);
}

static void on_closer(evutil_socket_t fd, short what, void *arg)
{
	const struct timeval later = {.tv_usec = CLOSE_DELAY_US};
	struct linger linger = {.l_onoff = 1};
	connection_t *c = arg;

	(void)fd;
	(void)what;
	if (evbuffer_get_length(bufferevent_get_output(bev_of(c))) > 0) {
		evtimer_add(c->closer, &later);
		return;
	}
	if (c->reset)
		setsockopt(bufferevent_getfd(bev_of(c)), SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	evhttp_connection_free(c->evcon);
}

static connection_t *find_connection(server_t *s, struct evhttp_connection *evcon)
{
	connection_t *c;

	LIST_FOREACH (c, &s->connections, link) {
		if (c->evcon == evcon)
			return c;
	}
	c = must(calloc(1, sizeof(*c)));
	c->evcon = evcon;
	c->closer = must(evtimer_new(s->base, on_closer, c));
	LIST_INSERT_HEAD(&s->connections, c, link);
	evhttp_connection_set_closecb(evcon, on_close, c);
	return c;
}

/* Keeps reading while the response is made, to notice that the client closes the connection. */
static void watch_for_hang_up(connection_t *c)
{
	struct bufferevent *bev = bev_of(c);
	bufferevent_data_cb on_write;
	bufferevent_event_cb on_event;
	void *arg;

	bufferevent_getcb(bev, NULL, &on_write, &on_event, &arg);
	bufferevent_setcb(bev, NULL, on_write, on_event, arg);
	bufferevent_enable(bev, EV_READ);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	server_t *s = arg;
	exchange_t *x = must(calloc(1, sizeof(*x)));
	const char *uri = evhttp_request_get_uri(req);
	const char *query = strchr(uri, '?');
	const char *id;

	x->server = s;
	x->req = req;
	x->path = must(strndup(uri, strcspn(uri, "?")));
	evhttp_parse_query_str(query ? query + 1 : "", &x->query);
	x->connection = find_connection(s, evhttp_request_get_connection(req));
	x->connection->x = x;
	watch_for_hang_up(x->connection);
	if (x->connection->silent)
		return;
	id = exchange_header(x, "X-Request-Id");
	if (id)
		exchange_add_header(x, "X-Request-Id", id);
	if (server_draining(s))
		exchange_add_header(x, "X-Draining", "true");
	s->request(s->ctx, x);
}

/* Splits "IP:PORT" or "[IP]:PORT". */
static bool split_address(const char *text, char host[AP_HOST_MAX], int *port)
{
	const char *colon = strrchr(text, ':');
	size_t skip = text[0] == '[' ? 1 : 0;
	size_t len;

	if (!colon || colon == text)
		return false;
	len = (size_t)(colon - text) - 2 * skip;
	if (len >= AP_HOST_MAX)
		return false;
	memcpy(host, text + skip, len);
	host[len] = '\0';
	*port = atoi(colon + 1);
	return true;
}

static int bound_port(struct evhttp_bound_socket *bound)
{
	union {
		struct sockaddr any;
		struct sockaddr_in v4;
		struct sockaddr_in6 v6;
	} addr = {.v6 = {0}};
	socklen_t len = sizeof(addr);

	if (getsockname(evhttp_bound_socket_get_fd(bound), &addr.any, &len) != 0)
		return 0;
	return ntohs(addr.any.sa_family == AF_INET6 ? addr.v6.sin6_port : addr.v4.sin_port);
}

server_t *server_new(struct event_base *base, const char *address, request_fn_t request, void *ctx)
{
	server_t *s = must(calloc(1, sizeof(*s)));
	struct evhttp_bound_socket *bound = NULL;
	char host[AP_HOST_MAX];
	int port;

	s->base = base;
	s->request = request;
	s->ctx = ctx;
	s->http = must(evhttp_new(base));
	evhttp_set_timeout(s->http, CONNECTION_IDLE_S);
	evhttp_set_max_body_size(s->http, BODY_MAX);
	evhttp_set_gencb(s->http, on_request, s);
	if (split_address(address, host, &port))
		bound = evhttp_bind_socket_with_handle(s->http, host, (uint16_t)port);
	if (!bound) {
		fprintf(stderr, "can't listen on %s\n", address);
		exit(EXIT_FAILURE);
	}
	printf("listening %s:%d\n", host, bound_port(bound));
	fflush(stdout);
	return s;
}

void server_free(server_t *s)
{
	evhttp_free(s->http);
	free(s);
}

fault_t server_next_fault(server_t *s)
{
	fault_t fault = s->fault;

	if (fault == FAULT_NONE || fault == FAULT_SILENT)
		return FAULT_NONE;
	if (s->fault_left > 0 && --s->fault_left == 0)
		s->fault = FAULT_NONE;
	return fault;
}

bool server_draining(const server_t *s)
{
	return s->fault == FAULT_DRAIN;
}

static void silence_connections(server_t *s, const connection_t *except)
{
	connection_t *c;

	LIST_FOREACH (c, &s->connections, link) {
		if (c != except)
			c->silent = true;
	}
}

void server_set_fault(server_t *s, exchange_t *x)
{
	const char *mode = exchange_query(x, "mode");
	const char *count = exchange_query(x, "count");

	for (int i = 0; mode && i < FAULT_COUNT; i++) {
		if (strcmp(fault_names[i], mode) != 0)
			continue;
		s->fault = (fault_t)i;
		s->fault_left = count ? atol(count) : -1;
		if (i == FAULT_SILENT)
			silence_connections(s, x->connection);
		exchange_reply_json(x, 200, json_pack("{s:s}", "mode", mode));
		return;
	}
	exchange_reply_json(x, 400, json_pack("{s:s}", "error", "unknown mode"));
}

bool exchange_is(const exchange_t *x, enum evhttp_cmd_type method, const char *path)
{
	return evhttp_request_get_command(x->req) == method && strcmp(x->path, path) == 0;
}

const char *exchange_path(const exchange_t *x)
{
	return x->path;
}

const char *exchange_query(const exchange_t *x, const char *key)
{
	return evhttp_find_header(&x->query, key);
}

const char *exchange_header(const exchange_t *x, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(x->req), name);
}

const void *exchange_body(exchange_t *x, size_t *len)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(x->req);

	*len = evbuffer_get_length(in);
	return *len > 0 ? (const void *)evbuffer_pullup(in, -1) : "";
}

void exchange_watch(exchange_t *x, void (*gone)(void *ctx), void *ctx)
{
	x->gone = gone;
	x->ctx = ctx;
}

void exchange_add_header(exchange_t *x, const char *name, const char *value)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(x->req);

	evhttp_remove_header(out, name);
	evhttp_add_header(out, name, value);
}

void exchange_reply(exchange_t *x, int code, const char *type, const void *body, size_t len)
{
	struct evbuffer *buf = must(evbuffer_new());
	struct evhttp_request *req = x->req;

	exchange_add_header(x, "Content-Type", type);
	evbuffer_add(buf, body, len);
	exchange_free(x);
	evhttp_send_reply(req, code, NULL, buf);
	evbuffer_free(buf);
}

void exchange_reply_json(exchange_t *x, int code, json_t *json)
{
	char *text = must(json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY));

	json_decref(json);
	exchange_reply(x, code, "application/json", text, strlen(text));
	free(text);
}

void exchange_refuse(exchange_t *x)
{
	exchange_add_header(x, "X-Not-Started", "true");
	exchange_reply_json(x, 503, json_pack("{s:s}", "error", "not started"));
}

/* Announces @announced bytes, sends @sent of them, then stalls, resets or closes as @fault says. */
static void reply_part(exchange_t *x, fault_t fault, const char *text, size_t announced,
		       size_t sent)
{
	exchange_start_sized(x, 200, "application/json", announced);
	exchange_write(x, text, sent);
	if (fault != FAULT_STALL_MIDDLE)
		exchange_close(x, fault == FAULT_RESET_AFTER);
}

void exchange_reply_faulty(exchange_t *x, fault_t fault, json_t *json)
{
	char *text;
	size_t len;

	if (fault == FAULT_WRONG_ID)
		exchange_add_header(x, "X-Request-Id", "another-request");
	if (fault == FAULT_NONE || fault == FAULT_WRONG_ID) {
		exchange_reply_json(x, 200, json);
		return;
	}
	text = must(json_dumps(json, JSON_COMPACT));
	len = strlen(text);
	if (fault == FAULT_RESET_BEFORE)
		exchange_close(x, true);
	else if (fault == FAULT_WRONG_LENGTH)
		reply_part(x, fault, text, len + 7, len);
	else if (fault != FAULT_STALL_BEFORE)
		reply_part(x, fault, text, len, len / 2);
	json_decref(json);
	free(text);
}

void exchange_start(exchange_t *x, int code, const char *type)
{
	exchange_add_header(x, "Content-Type", type);
	evhttp_send_reply_start(x->req, code, NULL);
}

void exchange_start_sized(exchange_t *x, int code, const char *type, size_t len)
{
	char text[32];

	snprintf(text, sizeof(text), "%zu", len);
	exchange_add_header(x, "Content-Length", text);
	exchange_start(x, code, type);
}

void exchange_write(exchange_t *x, const void *data, size_t len)
{
	struct evbuffer *buf = must(evbuffer_new());

	evbuffer_add(buf, data, len);
	evhttp_send_reply_chunk(x->req, buf);
	evbuffer_free(buf);
}

void exchange_end(exchange_t *x)
{
	struct evhttp_request *req = x->req;

	exchange_free(x);
	evhttp_send_reply_end(req);
}

void exchange_close(exchange_t *x, bool reset)
{
	const struct timeval later = {.tv_usec = CLOSE_DELAY_US};

	x->gone = NULL;
	x->connection->reset = reset;
	evtimer_add(x->connection->closer, &later);
}

struct event_base *loop_new(void)
{
	struct event_config *config = must(event_config_new());
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = must(event_base_new_with_config(config));
	event_config_free(config);
	signal(SIGPIPE, SIG_IGN);
	return base;
}

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

void loop_run(struct event_base *base)
{
	struct event *term = must(evsignal_new(base, SIGTERM, on_signal, base));
	struct event *interrupt = must(evsignal_new(base, SIGINT, on_signal, base));

	event_add(term, NULL);
	event_add(interrupt, NULL);
	event_base_dispatch(base);
	event_free(interrupt);
	event_free(term);
}
