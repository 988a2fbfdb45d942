/* Instances of ours: real programs, started with settings of their own and known by process id. */
#include "soak.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PEER_LINKS 2
#define LISTENERS                                                                                  \
	7 /* callers, ready, directory, metrics, control, requests and talk of instances */
#define PORTS (LISTENERS + PEER_LINKS) /* in a row: the instance's own, then those of its links */
#define SEEDS 3
#define PORT_FIRST 10240
#define PORT_RANGE 20000

enum {
	PORT_CALLERS,
	PORT_READY,
	PORT_DIRECTORY,
	PORT_METRICS,
	PORT_CONTROL,
	PORT_PEER, /* and the next one */
};

static bool is_free(uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ok = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
	close(fd);
	return ok;
}

/*
 * The first of some free ports in a row, below those that the system gives to connections: an
 * instance that is started again must find its own free.
 */
static uint16_t free_ports(void)
{
	static unsigned at;

	if (at == 0)
		at = (unsigned)getpid() * SOAK_INSTANCES_MAX;
	for (;;) {
		uint16_t first = (uint16_t)(PORT_FIRST + at++ * PORTS % PORT_RANGE);
		uint16_t n = 0;

		while (first + n < UINT16_MAX && n < PORTS && is_free((uint16_t)(first + n)))
			n++;
		if (n == PORTS)
			return first;
	}
}

static void write_settings(const instance_t *g, const char *path)
{
	const soak_t *s = g->soak;
	FILE *out = fopen(path, "w");

	if (!out)
		abort();
	fprintf(out, "[instance]\nid = \"%s\"\nregion = \"%s\"\ndata_centre = \"%s-1\"\n", g->id,
		soak_regions[g->region], soak_regions[g->region]);
	fprintf(out, "host = \"127.0.0.1\"\n[gateway]\n");
	fprintf(out, "callers = \"127.0.0.1:%u\"\n", g->port + PORT_CALLERS);
	fprintf(out, "ready = \"127.0.0.1:%u\"\n", g->port + PORT_READY);
	fprintf(out, "directory = \"127.0.0.1:%u\"\n", g->port + PORT_DIRECTORY);
	fprintf(out, "metrics = \"127.0.0.1:%u\"\n", g->port + PORT_METRICS);
	fprintf(out, "control = \"127.0.0.1:%u\"\n", g->port + PORT_CONTROL);
	fprintf(out, "peer_port = %u\nstore = \"127.0.0.1:%u\"\nseeds = [", g->port + PORT_PEER,
		link_port(g->store_link));
	for (size_t i = 0; i < SEEDS && i < s->n_gates; i++)
		fprintf(out, "%s\"127.0.0.1:%u\"", i > 0 ? ", " : "",
			s->gates[i].port + PORT_CONTROL);
	fprintf(out, "]\ncores = 0.25\nrepeat_ratio = 0.2\nrepeat_slack = 54\n");
	fprintf(out, "repeat_window_s = 10\ncold_over = 1.5\ncold_slack = 3\ndrain_ms = 3000\n");
	fprintf(out, "apply_ms = 3000\ngrace_s = 8\ndirectory_s = 2\n[gateway.data_centres]\n");
	for (unsigned i = 0; i < REGIONS; i++)
		fprintf(out, "%s-1 = \"%s\"\n", soak_regions[i], soak_regions[i]);
	fclose(out);
}

void instance_start(instance_t *g)
{
	pid_t soak = getpid();
	char settings[192];
	char log[192];

	if (!g->port)
		g->port = free_ports();
	if (!g->store_link)
		g->store_link = link_new(g->soak->base, 0, store_port(g->soak->store));
	for (unsigned i = 0; i < PEER_LINKS; i++) {
		if (!g->peer_links[i])
			g->peer_links[i] =
				link_new(g->soak->base, (uint16_t)(g->port + LISTENERS + i),
					 (uint16_t)(g->port + PORT_PEER + i));
	}
	snprintf(settings, sizeof(settings), "%s/%s.toml", g->soak->dir, g->id);
	snprintf(log, sizeof(log), "%s/%s.log", g->soak->dir, g->id);
	write_settings(g, settings);
	g->last_disturbed = ap_now();
	g->leaving = false;
	g->paused = false;
	g->version = 0;
	g->pid = fork();
	if (g->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

		/* None is left when the soak itself is killed, or was already. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != soak)
			_exit(EXIT_FAILURE);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(g->soak->program, g->soak->program, "--settings", settings, (char *)NULL);
		_exit(127);
	}
}

char *instance_entry_via_links(soak_t *s, const char *id, const char *entry)
{
	json_t *o = json_loads(entry, 0, NULL);
	char *text;

	for (size_t i = 0; i < s->n_gates; i++) {
		if (strcmp(s->gates[i].id, id) == 0)
			json_object_set_new(o, "peer_port",
					    json_integer(link_port(s->gates[i].peer_links[0])));
	}
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

void instance_signal(instance_t *g, int signal)
{
	if (g->pid <= 0)
		return;
	g->last_disturbed = ap_now();
	if (signal == SIGTERM)
		g->leaving = true;
	if (signal == SIGSTOP || signal == SIGCONT)
		g->paused = signal == SIGSTOP;
	kill(g->pid, signal);
}

static void on_metrics(void *ctx, const void *data, size_t len)
{
	static const char name[] = "arbutuspond_configuration_version ";
	instance_t *g = ctx;
	const char *at = memmem(data, len, name, strlen(name));
	uint64_t version;

	if (!at)
		return;
	version = (uint64_t)strtod(at + strlen(name), NULL);
	if (version < g->version)
		soak_finding(g->soak, "configuration: %s went from %llu back to %llu", g->id,
			     (unsigned long long)g->version, (unsigned long long)version);
	g->version = version;
}

static void on_metrics_end(void *ctx, ap_http_end_t end, bool written)
{
	instance_t *g = ctx;

	(void)end;
	(void)written;
	g->fetching = false;
}

void instance_check_version(instance_t *g)
{
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = (uint16_t)(g->port + PORT_METRICS),
		.method = EVHTTP_REQ_GET,
		.target = "/metrics",
		.no_probe = true,
		.connect = AP_SEC,
		.first_byte = AP_SEC,
		.between = AP_SEC,
		.answer_max = 1 << 20,
		.ctx = g,
		.data = on_metrics,
		.end = on_metrics_end,
	};

	if (g->pid > 0 && !g->paused && !g->fetching)
		g->fetching = ap_http_fetch(g->soak->client, &config) != NULL;
}

bool instance_ended(instance_t *g, int status)
{
	bool own = !g->leaving && !(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);

	g->pid = 0;
	g->last_disturbed = ap_now();
	if (own || (g->leaving && WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL))
		soak_finding(g->soak, "ended: %s by itself, status %d", g->id, status);
	return own;
}
