/*
 * Library for LD_PRELOAD that redirects a program's connections through standin-link. Each line
 * "IP:PORT IP:PORT" of the file $STANDIN_DETOURS names an address and its replacement. This puts
 * faulty links between daemons that know their peers by the addresses the peers announce.
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LINE_MAX_BYTES 128

typedef int (*connect_fn_t)(int fd, const struct sockaddr *addr, socklen_t len);

static struct sockaddr_in detour_of(const struct sockaddr_in *to)
{
	const char *name = getenv("STANDIN_DETOURS");
	FILE *file = name ? fopen(name, "re") : NULL;
	struct sockaddr_in out = *to;
	char line[LINE_MAX_BYTES];
	char from_host[INET_ADDRSTRLEN];
	char to_host[INET_ADDRSTRLEN];
	int from_port;
	int to_port;

	while (file && fgets(line, sizeof(line), file)) {
		/* NOLINTNEXTLINE(cert-err34-c): a bad line matches no address */
		if (sscanf(line, "%15[0-9.]:%d %15[0-9.]:%d", from_host, &from_port, to_host,
			   &to_port) != 4)
			continue;
		if (inet_addr(from_host) != to->sin_addr.s_addr ||
		    htons((uint16_t)from_port) != to->sin_port)
			continue;
		out.sin_addr.s_addr = inet_addr(to_host);
		out.sin_port = htons((uint16_t)to_port);
	}
	if (file)
		fclose(file);
	return out;
}

int connect(int fd, const struct sockaddr *addr, socklen_t len)
{
	connect_fn_t next = (connect_fn_t)dlsym(RTLD_NEXT, "connect");
	struct sockaddr_in other;

	if (addr->sa_family != AF_INET)
		return next(fd, addr, len);
	other = detour_of((const struct sockaddr_in *)addr);
	return next(fd, (struct sockaddr *)&other, sizeof(other));
}
