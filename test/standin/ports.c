/*
 * Prints free TCP ports of the loopback address, one a line. They lie below the range that the
 * system gives to outgoing connections, so that none is taken before it is used.
 */
#include "log/log.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT_FIRST 10000
#define PORTS 20000
#define WANTED_MAX 256
#define TRIES_MAX 100000

/* Return: a bound socket, or -1 when the port is taken. */
static int bind_port(uint16_t port)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	close(fd);
	return -1;
}

int main(int argc, char **argv)
{
	int wanted = argc > 1 ? atoi(argv[1]) : 1;
	ap_rng_t rng;
	uint64_t seed;

	if (wanted < 1 || wanted > WANTED_MAX) {
		fprintf(stderr, "usage: standin-ports COUNT\n");
		return EXIT_FAILURE;
	}
	ap_random(&seed, sizeof(seed));
	ap_rng_seed(&rng, seed);
	/* every socket stays bound until the end, so no port is printed twice */
	for (int i = 0; i < TRIES_MAX && wanted > 0; i++) {
		uint16_t port = (uint16_t)(PORT_FIRST + ap_rng_below(&rng, PORTS));

		if (bind_port(port) < 0)
			continue;
		printf("%u\n", port);
		wanted--;
	}
	return wanted == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
