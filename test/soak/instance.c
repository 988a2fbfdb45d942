/* Gateway instances: real programs, each with its own settings, tracked by process id. */
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
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define PEER_LINKS 2
/* callers, ready, directory, metrics, control, requests and messages of other instances */
#define LISTENERS 7
#define PORTS (LISTENERS + PEER_LINKS) /* consecutive: the instance's own, then its links' */
#define SEED_PEERS 3
#define PORT_FIRST 10240
#define PORT_RANGE 20000

enum {
	PORT_CALLERS,
	PORT_READY,
	PORT_DIRECTORY,
	PORT_METRICS,
	PORT_CONTROL,
	PORT_PEER = INSTANCE_PEER, /* and the next one */
};

static bool port_is_free(uint16_t port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET, .sin_port = htons(port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool ok;

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ok = bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0;
	close(fd);
	return ok;
}

/*
 * Returns the first of PORTS consecutive free ports, below the range of ephemeral ports: no
 * outgoing connection may take a port of an instance that is being restarted.
 */
static uint16_t free_ports(void)
{
	static unsigned at;

	if (at == 0)
		at = (unsigned)getpid() * SOAK_INSTANCES_MAX;
	for (;;) {
		uint16_t first = (uint16_t)(PORT_FIRST + at++ * PORTS % PORT_RANGE);
		uint16_t n = 0;

		while (first + n < UINT16_MAX && n < PORTS && port_is_free((uint16_t)(first + n)))
			n++;
		if (n == PORTS)
			return first;
	}
}

static void write_settings(const instance_t *inst, const char *path)
{
	const soak_t *s = inst->soak;
	FILE *out = fopen(path, "w");

	if (!out)
		abort();
	fprintf(out, "[instance]\nid = \"%s\"\nregion = \"%s\"\ndata_centre = \"%s-%u\"\n",
		inst->id, soak_regions[inst->region], soak_regions[inst->region],
		inst->data_centre + 1);
	fprintf(out, "host = \"127.0.0.1\"\n");
	if (s->memory_mb > 0)
		fprintf(out, "memory_mb = %u\n", s->memory_mb);
	fprintf(out, "[gateway]\n");
	fprintf(out, "callers = \"127.0.0.1:%u\"\n", inst->port + PORT_CALLERS);
	fprintf(out, "ready = \"127.0.0.1:%u\"\n", inst->port + PORT_READY);
	fprintf(out, "directory = \"127.0.0.1:%u\"\n", inst->port + PORT_DIRECTORY);
	fprintf(out, "metrics = \"127.0.0.1:%u\"\n", inst->port + PORT_METRICS);
	fprintf(out, "control = \"127.0.0.1:%u\"\n", inst->port + PORT_CONTROL);
	fprintf(out, "peer_port = %u\nstore = \"127.0.0.1:%u\"\nseeds = [", inst->port + PORT_PEER,
		link_port(inst->store_link));
	for (size_t i = 0; i < SEED_PEERS && i < s->n_instances; i++)
		fprintf(out, "%s\"127.0.0.1:%u\"", i > 0 ? ", " : "",
			s->instances[i].port + PORT_CONTROL);
	fprintf(out, "]\ncores = 0.25\nrepeat_ratio = 0.2\nrepeat_slack = 54\n");
	fprintf(out, "repeat_window_s = 10\ncold_over = 1.5\ncold_slack = 3\ndrain_ms = 3000\n");
	if (s->tenants)
		fprintf(out, "allowance_over = 0.1\nallowance_slack = 20\n");
	fprintf(out, "apply_ms = 3000\ngrace_s = 8\ndirectory_s = 2\n");
	/* Earlier builds stop at settings that they don't know. */
	fprintf(out, "%s\n[gateway.data_centres]\n", s->gateway && !inst->older ? s->gateway : "");
	for (unsigned i = 0; i < soak_n_regions(s); i++) {
		for (unsigned k = 1; k <= (s->data_centres > 0 ? s->data_centres : 1); k++)
			fprintf(out, "%s-%u = \"%s\"\n", soak_regions[i], k, soak_regions[i]);
	}
	fclose(out);
}

void instance_start(instance_t *inst)
{
	const char *program = inst->older ? inst->soak->older : inst->soak->program;
	pid_t soak = getpid();
	char settings[192];
	char log[192];

	if (!inst->port)
		inst->port = free_ports();
	if (!inst->store_link)
		inst->store_link = link_new(inst->soak->base, 0, store_port(inst->soak->store));
	for (unsigned i = 0; i < PEER_LINKS; i++) {
		if (!inst->peer_links[i])
			inst->peer_links[i] =
				link_new(inst->soak->base, (uint16_t)(inst->port + LISTENERS + i),
					 (uint16_t)(inst->port + PORT_PEER + i));
	}
	snprintf(settings, sizeof(settings), "%s/%s.toml", inst->soak->dir, inst->id);
	snprintf(log, sizeof(log), "%s/%s.log", inst->soak->dir, inst->id);
	write_settings(inst, settings);
	inst->last_disturbed = ap_now();
	inst->leaving = false;
	inst->paused = false;
	inst->version = 0;
	inst->pid = fork();
	if (inst->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

		/* The instance must not outlive the soak, which may have been killed already. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != soak)
			_exit(EXIT_FAILURE);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		/* A connection that the soak closes must not stay open here. */
		close_range(STDERR_FILENO + 1, ~0U, 0);
		if (inst->soak->descriptors > 0) {
			struct rlimit files = {inst->soak->descriptors, inst->soak->descriptors};

			setrlimit(RLIMIT_NOFILE, &files);
		}
		execl(program, program, "--settings", settings, (char *)NULL);
		_exit(127);
	}
}

char *instance_entry_via_links(soak_t *s, const char *id, const char *entry)
{
	json_t *o = json_loads(entry, 0, NULL);
	char *text;

	for (size_t i = 0; i < s->n_instances; i++) {
		if (strcmp(s->instances[i].id, id) == 0)
			json_object_set_new(o, "peer_port",
					    json_integer(link_port(s->instances[i].peer_links[0])));
	}
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

void instance_signal(instance_t *inst, int signal)
{
	if (inst->pid <= 0)
		return;
	inst->last_disturbed = ap_now();
	if (signal == SIGTERM)
		inst->leaving = true;
	if (signal == SIGSTOP || signal == SIGCONT)
		inst->paused = signal == SIGSTOP;
	kill(inst->pid, signal);
}

/* A line may arrive in two pieces. */
static void on_metrics(void *ctx, const void *data, size_t len)
{
	instance_t *inst = ctx;

	if (inst->n_metrics + len >= sizeof(inst->metrics))
		abort();
	memcpy(inst->metrics + inst->n_metrics, data, len);
	inst->n_metrics += len;
}

static void read_metrics(instance_t *inst)
{
	static const char name[] = "arbutuspond_configuration_version ";
	const char *at = memmem(inst->metrics, inst->n_metrics, name, strlen(name));
	uint64_t version;

	if (!at)
		return;
	inst->metrics[inst->n_metrics] = '\0';
	version = (uint64_t)strtod(at + strlen(name), NULL);
	if (version < inst->version)
		soak_finding(inst->soak, "configuration: %s went back from version %llu to %llu",
			     inst->id, (unsigned long long)inst->version,
			     (unsigned long long)version);
	if (version > inst->version)
		inst->version_at = ap_now();
	inst->version = version;
}

static void on_metrics_end(void *ctx, ap_http_end_t end, bool written)
{
	instance_t *inst = ctx;

	(void)written;
	inst->fetching = false;
	if (end == AP_HTTP_COMPLETE)
		read_metrics(inst);
	inst->n_metrics = 0;
}

void instance_check_version(instance_t *inst)
{
	ap_http_fetch_config_t config = {
		.host = "127.0.0.1",
		.port = (uint16_t)(inst->port + PORT_METRICS),
		.method = EVHTTP_REQ_GET,
		.target = "/metrics",
		.no_probe = true,
		.connect = AP_SEC,
		.first_byte = AP_SEC,
		.between_chunks = AP_SEC,
		.response_max = 1 << 20,
		.ctx = inst,
		.data = on_metrics,
		.end = on_metrics_end,
	};

	if (inst->pid > 0 && !inst->paused && !inst->fetching)
		inst->fetching = ap_http_fetch(inst->soak->client, &config) != NULL;
}

bool instance_ended(instance_t *inst, int status)
{
	bool unexpected = !inst->leaving && !(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);

	inst->pid = 0;
	inst->last_disturbed = ap_now();
	if (unexpected || (inst->leaving && WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL))
		soak_finding(inst->soak, "ended: %s exited unexpectedly, wait status %d", inst->id,
			     status);
	return unexpected;
}
