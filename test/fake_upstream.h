/* An upstream in the test's own event loop, which shows a chosen fault. */
#ifndef AP_FAKE_UPSTREAM_H
#define AP_FAKE_UPSTREAM_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#define FAKE_TOKENS 6
#define FAKE_LARGE_BYTES (15 << 20)

typedef enum fake_mode {
	FAKE_NONE,
	FAKE_RESET_BEFORE, /* closes after reading the request */
	FAKE_RESET_AFTER,  /* closes in the middle of the response */
	FAKE_STALL_BEFORE, /* reads requests and sends nothing, on any connection */
	FAKE_STALL_MIDDLE, /* sends nothing after half a response */
	FAKE_TRUNCATED,	   /* half a response, then a close; a stream still has its last chunk */
	FAKE_WRONG_LENGTH, /* sends more bytes than Content-Length */
	FAKE_SHORT_LENGTH, /* sends fewer bytes than Content-Length, then closes */
	FAKE_NO_FRAMING,   /* neither Content-Length nor chunks */
	FAKE_WRONG_ID,	   /* responds with the id of another request */
	FAKE_REFUSE,	   /* 503 with X-Not-Started */
	FAKE_NO_MODEL,	   /* 404, as an engine that has just unloaded the model */
	FAKE_DRAIN,	   /* 503 with X-Not-Started and X-Draining */
	FAKE_ERROR,	   /* 500 */
	FAKE_STALL_REUSED, /* sends nothing on a connection that has served a request */
	FAKE_HUNG,	   /* responds to probes but not to requests, on any connection */
	FAKE_LARGE,	   /* a complete response larger than the socket buffers */
	FAKE_SLOW_READER,  /* a long stream of many chunks */
	FAKE_FLOOD,	   /* a stream larger than the socket buffers */
	FAKE_RAW,	   /* @raw, then a close; the request runs */
	FAKE_EARLY_END,	   /* half a response, whole events of a stream, ended in order */
	FAKE_EMPTY,	   /* a head, and an end in order */
	FAKE_COPY,	   /* on a connection that has served a request, @raw; the request runs */
} fake_mode_t;

#define FAKE_LONG_TOKENS 20000
#define FAKE_FLOOD_TOKENS 4000
#define FAKE_FLOOD_PAD 4096 /* padding in each event of such a stream, in bytes */

#define FAKE_MARKS 4096 /* requests that carry "mark-N" are counted by N, for N below this */

typedef struct fake {
	struct event_base *base;
	struct evconnlistener *listener;
	uint16_t port;
	fake_mode_t mode;
	int faults;	    /* responses that still show the fault; below 0: all */
	int *shared_faults; /* if set, a count for several upstreams, used instead of @faults */
	int connections;    /* accepted so far */
	int open;	    /* open now */
	int requests;	    /* complete requests read, without probes */
	int probes;
	int responses;
	int hangups;		  /* closed by the client before the response was complete */
	char last_request[65536]; /* last request, as received */
	fake_mode_t then;	  /* shown by the last of @faults, unless it is FAKE_NONE */
	int half;		  /* tokens of a stream before it breaks off; 0 for half of them */
	const char *raw;	  /* a response with the request's id for each "%s" */
	const char *usage; /* JSON members of "usage" in its responses; NULL for the default */
	const char *extra_headers; /* further lines of a complete response or a refusal, or NULL */
	const char *made_by;	   /* version that makes the events of its streams, or NULL */
	bool tells_version;	   /* @made_by stands in the head, too */
	double fault_share;	   /* above 0: probability of a random fault in a response */
	unsigned short rng[3];
	unsigned char runs[FAKE_MARKS]; /* how often the request with each mark was started */
} fake_t;

typedef struct fake_conn {
	fake_t *fake;
	struct bufferevent *bev;
	int served;
	bool busy;
} fake_conn_t;

static inline void fake_conn_free(fake_conn_t *conn)
{
	conn->fake->open--;
	bufferevent_free(conn->bev);
	free(conn);
}

static inline void fake_on_event(struct bufferevent *bev, short what, void *arg)
{
	fake_conn_t *conn = arg;

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	if (conn->busy)
		conn->fake->hangups++;
	fake_conn_free(conn);
}

static inline void fake_on_flushed(struct bufferevent *bev, void *arg)
{
	(void)bev;
	fake_conn_free(arg);
}

/* Closes the connection once all output is sent. */
static inline void fake_close(fake_conn_t *conn)
{
	bufferevent_disable(conn->bev, EV_READ);
	if (evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0)
		fake_conn_free(conn);
	else
		bufferevent_setcb(conn->bev, NULL, fake_on_flushed, fake_on_event, conn);
}

static inline void fake_chunk(struct evbuffer *out, const char *text)
{
	evbuffer_add_printf(out, "%zx\r\n%s\r\n", strlen(text), text);
}

static inline void fake_request_id(const char *request, char *out, size_t size)
{
	const char *line = strcasestr(request, "\r\nX-Request-Id: ");

	out[0] = '\0';
	if (line)
		snprintf(out, size, "%.*s", (int)strcspn(line + 16, "\r"), line + 16);
}

static inline int fake_mark(const char *request)
{
	const char *at = strstr(request, "mark-");
	int mark = at ? atoi(at + 5) : 0;

	return mark >= 0 && mark < FAKE_MARKS ? mark : 0;
}

static inline fake_mode_t fake_random_mode(fake_t *fake)
{
	static const fake_mode_t modes[] = {
		FAKE_RESET_BEFORE, FAKE_RESET_AFTER,  FAKE_STALL_BEFORE, FAKE_STALL_MIDDLE,
		FAKE_TRUNCATED,	   FAKE_WRONG_LENGTH, FAKE_SHORT_LENGTH, FAKE_WRONG_ID,
		FAKE_REFUSE,	   FAKE_ERROR,	      FAKE_STALL_REUSED, FAKE_HUNG,
	};

	const int n = sizeof(modes) / sizeof(modes[0]);

	if (erand48(fake->rng) >= fake->fault_share)
		return FAKE_NONE;
	return modes[(int)(erand48(fake->rng) * n)];
}

static inline int fake_resume_from(const char *request)
{
	const char *at = strstr(request, "\"resume\"");
	const char *tokens = at ? strstr(at, "\"tokens\":") : NULL;

	return tokens ? atoi(tokens + 9) : 0;
}

static inline int fake_tokens(fake_mode_t mode)
{
	if (mode == FAKE_FLOOD)
		return FAKE_FLOOD_TOKENS;
	return mode == FAKE_SLOW_READER ? FAKE_LONG_TOKENS : FAKE_TOKENS;
}

static inline void fake_stream(fake_conn_t *conn, const char *id, int from, int mark,
			       fake_mode_t mode)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	int pad = mode == FAKE_FLOOD ? FAKE_FLOOD_PAD : 0;
	int tokens = fake_tokens(mode);
	int half = conn->fake->half ? conn->fake->half : FAKE_TOKENS / 2;
	const char *by = conn->fake->made_by;
	char event[FAKE_FLOOD_PAD + 512];

	evbuffer_add_printf(out,
			    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
			    "X-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n",
			    id);
	if (conn->fake->tells_version)
		evbuffer_add_printf(out, "X-Model-Version: %s\r\n", by);
	evbuffer_add_printf(out, "\r\n");
	for (int i = from; i < tokens; i++) {
		if (i == half && (mode == FAKE_RESET_AFTER || mode == FAKE_STALL_MIDDLE))
			return;
		if (mode == FAKE_EMPTY || (i == half && mode == FAKE_EARLY_END)) {
			evbuffer_add_printf(out, "0\r\n\r\n");
			return;
		}
		if (i == half && mode == FAKE_TRUNCATED) {
			fake_chunk(out, "data: {\"choices\":[{\"del");
			evbuffer_add_printf(out, "0\r\n\r\n");
			return;
		}
		snprintf(event, sizeof(event),
			 "data: {\"choices\":[{\"delta\":{\"content\":\"t%d "
			 "mark-%d.%*s\"}}]%s%s%s}\n\n",
			 i, mark, pad, "", by ? ",\"system_fingerprint\":\"" : "", by ? by : "",
			 by ? "\"" : "");
		fake_chunk(out, event);
	}
	if (conn->fake->usage) {
		snprintf(event, sizeof(event), "data: {\"choices\":[],\"usage\":{%s}}\n\n",
			 conn->fake->usage);
		fake_chunk(out, event);
	}
	fake_chunk(out, "data: [DONE]\n\n");
	evbuffer_add_printf(out, "0\r\n\r\n");
}

static inline void fake_complete(fake_conn_t *conn, const char *id, int mark, fake_mode_t mode)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	const char *usage = conn->fake->usage;
	char body[512];
	size_t len = (size_t)snprintf(
		body, sizeof(body),
		"{\"choices\":[{\"message\":{\"content\":\"whole\"}}],\"usage\":{%s},"
		"\"of\":\"mark-%d.\"}",
		usage ? usage : "\"prompt_tokens\":3,\"completion_tokens\":1", mark);
	size_t claimed = len;
	size_t sent = len;

	if (mode == FAKE_WRONG_LENGTH)
		claimed = len - 10;
	if (mode == FAKE_SHORT_LENGTH || mode == FAKE_STALL_MIDDLE || mode == FAKE_RESET_AFTER)
		sent = len / 2;
	evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n");
	evbuffer_add_printf(out, "X-Request-Id: %s\r\n", id);
	if (conn->fake->extra_headers)
		evbuffer_add_printf(out, "%s", conn->fake->extra_headers);
	if (mode == FAKE_EARLY_END) {
		body[len / 2] = '\0';
		evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
		fake_chunk(out, body);
		evbuffer_add_printf(out, "0\r\n\r\n");
		return;
	}
	if (mode == FAKE_EMPTY)
		claimed = sent = 0;
	if (mode != FAKE_NO_FRAMING)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", claimed);
	evbuffer_add_printf(out, "\r\n");
	evbuffer_add(out, body, mode == FAKE_TRUNCATED ? len / 2 : sent);
}

static inline void fake_large(fake_conn_t *conn, const char *id)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	char *text = malloc(FAKE_LARGE_BYTES);

	memset(text, 'x', FAKE_LARGE_BYTES);
	text[0] = '"';
	text[FAKE_LARGE_BYTES - 1] = '"';
	evbuffer_add_printf(out,
			    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
			    "X-Request-Id: %s\r\nContent-Length: %d\r\n\r\n",
			    id, FAKE_LARGE_BYTES);
	evbuffer_add(out, text, FAKE_LARGE_BYTES);
	free(text);
}

static inline void fake_raw(fake_conn_t *conn, const char *id)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	const char *from = conn->fake->raw;
	const char *at;

	for (; (at = strstr(from, "%s")) != NULL; from = at + 2) {
		evbuffer_add(out, from, (size_t)(at - from));
		evbuffer_add(out, id, strlen(id));
	}
	evbuffer_add(out, from, strlen(from));
}

static inline bool fake_closes_after(fake_mode_t mode)
{
	return mode == FAKE_RAW || mode == FAKE_RESET_AFTER || mode == FAKE_TRUNCATED ||
	       mode == FAKE_SHORT_LENGTH || mode == FAKE_NO_FRAMING;
}

static inline void fake_refuse(fake_conn_t *conn, const char *id, fake_mode_t mode)
{
	const char *line = "503 Unavailable\r\nX-Not-Started: true";

	if (mode == FAKE_ERROR)
		line = "500 Error";
	else if (mode == FAKE_NO_MODEL)
		line = "404 Not Found";
	evbuffer_add_printf(bufferevent_get_output(conn->bev),
			    "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%s%sContent-Length: 0\r\n\r\n",
			    line, id, mode == FAKE_DRAIN ? "X-Draining: true\r\n" : "",
			    conn->fake->extra_headers ? conn->fake->extra_headers : "");
}

static inline void fake_respond(fake_conn_t *conn, const char *request)
{
	fake_t *fake = conn->fake;
	int *faults = fake->shared_faults ? fake->shared_faults : &fake->faults;
	fake_mode_t mode = *faults != 0 ? fake->mode : FAKE_NONE;
	int mark = fake_mark(request);
	char id[128];

	if (fake->fault_share > 0)
		mode = fake_random_mode(fake);
	if (mode != FAKE_REFUSE && mode != FAKE_DRAIN && mode != FAKE_NO_MODEL)
		fake->runs[mark]++;

	if (mode != FAKE_NONE && fake->then != FAKE_NONE && *faults == 1)
		mode = fake->then;
	if ((mode == FAKE_STALL_REUSED || mode == FAKE_COPY) && conn->served == 0)
		mode = FAKE_NONE;
	if (mode != FAKE_NONE && *faults > 0)
		(*faults)--;
	conn->busy = true;
	if (mode == FAKE_STALL_BEFORE || mode == FAKE_STALL_REUSED || mode == FAKE_HUNG)
		return;
	if (mode == FAKE_RESET_BEFORE) {
		conn->busy = false;
		fake_close(conn);
		return;
	}
	fake_request_id(request, id, sizeof(id));
	if (mode == FAKE_WRONG_ID)
		snprintf(id, sizeof(id), "another");
	if (mode == FAKE_REFUSE || mode == FAKE_DRAIN || mode == FAKE_ERROR ||
	    mode == FAKE_NO_MODEL)
		fake_refuse(conn, id, mode);
	else if (mode == FAKE_RAW || mode == FAKE_COPY)
		fake_raw(conn, id);
	else if (mode == FAKE_LARGE)
		fake_large(conn, id);
	else if (strstr(request, "\"stream\": true") || strstr(request, "\"stream\":true"))
		fake_stream(conn, id, fake_resume_from(request), mark, mode);
	else
		fake_complete(conn, id, mark, mode);
	conn->served++;
	fake->responses++;
	conn->busy = mode == FAKE_STALL_MIDDLE || mode == FAKE_SLOW_READER || mode == FAKE_FLOOD;
	if (fake_closes_after(mode))
		fake_close(conn);
}

static inline void fake_on_read(struct bufferevent *bev, void *arg)
{
	fake_conn_t *conn = arg;
	fake_t *fake = conn->fake;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(in);
	char *text = (char *)malloc(len + 1);
	const char *end;
	const char *length;
	size_t body = 0;

	evbuffer_copyout(in, text, len);
	text[len] = '\0';
	end = strstr(text, "\r\n\r\n");
	length = strcasestr(text, "\r\nContent-Length: ");
	if (end && length && length < end)
		body = strtoul(length + 18, NULL, 10);
	if (!end || (size_t)(end + 4 - text) + body > len) {
		free(text);
		return;
	}
	evbuffer_drain(in, len);
	if (strncmp(text, "HEAD ", 5) == 0) {
		fake->probes++;
		if (fake->mode != FAKE_STALL_BEFORE)
			bufferevent_write(bev, "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n",
					  41);
	} else {
		fake->requests++;
		snprintf(fake->last_request, sizeof(fake->last_request), "%s", text);
		fake_respond(conn, text);
	}
	free(text);
}

static inline void fake_on_accept(struct evconnlistener *listener, evutil_socket_t fd,
				  struct sockaddr *addr, int len, void *arg)
{
	fake_t *fake = arg;
	fake_conn_t *conn = calloc(1, sizeof(*conn));

	(void)listener;
	(void)addr;
	(void)len;
	conn->fake = fake;
	conn->bev = bufferevent_socket_new(fake->base, fd, BEV_OPT_CLOSE_ON_FREE);
	fake->connections++;
	fake->open++;
	bufferevent_setcb(conn->bev, fake_on_read, NULL, fake_on_event, conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

static inline void fake_start(fake_t *fake, struct event_base *base)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);

	memset(fake, 0, sizeof(*fake));
	fake->base = base;
	fake->faults = -1;
	fake->listener = evconnlistener_new_bind(base, fake_on_accept, fake, LEV_OPT_CLOSE_ON_FREE,
						 1024, (struct sockaddr *)&addr, sizeof(addr));
	getsockname(evconnlistener_get_fd(fake->listener), (struct sockaddr *)&addr, &len);
	fake->port = ntohs(addr.sin_port);
}

static inline void fake_stop(fake_t *fake)
{
	evconnlistener_free(fake->listener);
}

#endif
