/*
 * Stand-in for the network between two processes: relays TCP connections to the given addresses,
 * each through its own port. PUT /fault?mode=MODE[&delay_ms=N] cuts, freezes or delays them.
 */
#include "server.h"

#include <arpa/inet.h>
#include <argp.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define RELAYS_MAX 32

typedef enum mode {
	MODE_PASS,
	MODE_CUT,    /* open connections are reset, new ones are closed at once */
	MODE_FREEZE, /* connections open now go silent for good; new ones work */
	MODE_COUNT,
} link_mode_t;

typedef struct link_state link_state_t;

/* One address to relay to, with its listener. */
typedef struct relay {
	link_state_t *link;
	const char *to_text;
	struct sockaddr_in to;
	struct evconnlistener *listener;
} relay_t;

/* One relayed connection. */
typedef struct pipe_pair {
	LIST_ENTRY(pipe_pair) entry;
	link_state_t *link;
	struct bufferevent *ends[2];
	struct event *timers[2]; /* delay the data read from the end with the same index */
	bool frozen;
} pipe_pair_t;

struct link_state {
	struct event_base *base;
	const char *listen;
	server_t *server;
	link_mode_t mode;
	long delay_ms;
	unsigned accepted;
	relay_t relays[RELAYS_MAX];
	size_t n_relays;
	LIST_HEAD(, pipe_pair) pairs;
};

static const char *const mode_names[MODE_COUNT] = {
	[MODE_PASS] = "pass",
	[MODE_CUT] = "cut",
	[MODE_FREEZE] = "freeze",
};

static void pair_free(pipe_pair_t *p, bool reset)
{
	const struct linger linger = {.l_onoff = 1};

	LIST_REMOVE(p, entry);
	for (int i = 0; i < 2; i++) {
		if (reset)
			setsockopt(bufferevent_getfd(p->ends[i]), SOL_SOCKET, SO_LINGER, &linger,
				   sizeof(linger));
		bufferevent_free(p->ends[i]);
		event_free(p->timers[i]);
	}
	free(p);
}

static void pass_on(pipe_pair_t *p, int from)
{
	if (!p->frozen)
		bufferevent_write_buffer(p->ends[1 - from], bufferevent_get_input(p->ends[from]));
}

static int end_of(const pipe_pair_t *p, const struct bufferevent *bev)
{
	return p->ends[0] == bev ? 0 : 1;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	pipe_pair_t *p = arg;
	int from = end_of(p, bev);
	long ms = p->link->delay_ms;
	const struct timeval later = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};

	if (ms == 0)
		pass_on(p, from);
	else if (!evtimer_pending(p->timers[from], NULL))
		evtimer_add(p->timers[from], &later);
}

static void on_later_first(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	pass_on(arg, 0);
}

static void on_later_second(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	pass_on(arg, 1);
}

static void on_written(struct bufferevent *bev, void *arg)
{
	(void)bev;
	pair_free(arg, false);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	pipe_pair_t *p = arg;
	int from = end_of(p, bev);
	struct bufferevent *other = p->ends[1 - from];

	if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0 || p->frozen)
		return;
	pass_on(p, from);
	if ((what & BEV_EVENT_ERROR) || evbuffer_get_length(bufferevent_get_output(other)) == 0)
		pair_free(p, (what & BEV_EVENT_ERROR) != 0);
	else
		bufferevent_setcb(other, NULL, on_written, on_event, p);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd, struct sockaddr *addr,
		      int len, void *arg)
{
	relay_t *r = arg;
	link_state_t *link = r->link;
	pipe_pair_t *p;

	(void)listener;
	(void)addr;
	(void)len;
	if (link->mode == MODE_CUT) {
		evutil_closesocket(fd);
		return;
	}
	link->accepted++;
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	p->link = link;
	p->ends[0] = bufferevent_socket_new(link->base, fd, BEV_OPT_CLOSE_ON_FREE);
	p->ends[1] = bufferevent_socket_new(link->base, -1, BEV_OPT_CLOSE_ON_FREE);
	p->timers[0] = evtimer_new(link->base, on_later_first, p);
	p->timers[1] = evtimer_new(link->base, on_later_second, p);
	LIST_INSERT_HEAD(&link->pairs, p, entry);
	for (int i = 0; i < 2; i++) {
		bufferevent_setcb(p->ends[i], on_read, NULL, on_event, p);
		bufferevent_enable(p->ends[i], EV_READ | EV_WRITE);
	}
	if (bufferevent_socket_connect(p->ends[1], (struct sockaddr *)&r->to, sizeof(r->to)) != 0)
		pair_free(p, true);
}

static void set_mode(link_state_t *link, link_mode_t mode)
{
	pipe_pair_t *p = LIST_FIRST(&link->pairs);

	link->mode = mode;
	while (p) {
		pipe_pair_t *next = LIST_NEXT(p, entry);

		if (mode == MODE_CUT)
			pair_free(p, true);
		else if (mode == MODE_FREEZE)
			p->frozen = true;
		p = next;
	}
}

static void on_request(void *ctx, exchange_t *x)
{
	link_state_t *link = ctx;
	const char *mode = exchange_query(x, "mode");
	const char *delay = exchange_query(x, "delay_ms");

	if (exchange_is(x, EVHTTP_REQ_PUT, "/fault")) {
		link->delay_ms = delay ? atol(delay) : 0;
		for (int i = 0; mode && i < MODE_COUNT; i++) {
			if (strcmp(mode_names[i], mode) == 0)
				set_mode(link, (link_mode_t)i);
		}
	}
	exchange_reply_json(x, 200,
			    json_pack("{s:s, s:I, s:I}", "mode", mode_names[link->mode], "delay_ms",
				      (json_int_t)link->delay_ms, "accepted",
				      (json_int_t)link->accepted));
}

static const struct argp_option options[] = {
	{"listen", 'l', "IP:PORT", 0, "address for PUT /fault; port 0 lets the system choose", 0},
	{"to", 't', "IP:PORT", 0, "address to relay to; may be repeated", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	link_state_t *link = state->input;
	relay_t *r = &link->relays[link->n_relays];
	int len = sizeof(r->to);

	if (key == 'l') {
		link->listen = arg;
		return 0;
	}
	if (key != 't')
		return ARGP_ERR_UNKNOWN;
	if (link->n_relays == RELAYS_MAX ||
	    evutil_parse_sockaddr_port(arg, (struct sockaddr *)&r->to, &len) != 0)
		argp_error(state, "--to %s: not an IP:PORT, or too many", arg);
	*r = (relay_t){.link = link, .to_text = arg, .to = r->to};
	link->n_relays++;
	return 0;
}

/* Opens the listener and prints "link OWN-ADDRESS TARGET-ADDRESS". */
static void open_relay(relay_t *r)
{
	struct sockaddr_in own = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(own);

	r->listener = evconnlistener_new_bind(r->link->base, on_accept, r, LEV_OPT_CLOSE_ON_FREE,
					      -1, (struct sockaddr *)&own, sizeof(own));
	if (!r->listener ||
	    getsockname(evconnlistener_get_fd(r->listener), (struct sockaddr *)&own, &len) != 0) {
		fprintf(stderr, "can't open a listener to relay to %s\n", r->to_text);
		exit(EXIT_FAILURE);
	}
	printf("link 127.0.0.1:%d %s\n", ntohs(own.sin_port), r->to_text);
}

int main(int argc, char **argv)
{
	static const struct argp parser = {options, parse_option, NULL, "Network link",
					   NULL,    NULL,	  NULL};
	link_state_t link = {.listen = "127.0.0.1:0"};

	argp_parse(&parser, argc, argv, 0, NULL, &link);
	link.base = loop_new();
	for (size_t i = 0; i < link.n_relays; i++)
		open_relay(&link.relays[i]);
	link.server = server_new(link.base, link.listen, on_request, &link);
	loop_run(link.base);
	set_mode(&link, MODE_CUT);
	for (size_t i = 0; i < link.n_relays; i++)
		evconnlistener_free(link.relays[i].listener);
	server_free(link.server);
	event_base_free(link.base);
	return 0;
}
