/*
 * Prints free TCP ports of the loopback address, one a line, from a given port upwards. The caller
 * must choose a range below the ephemeral ports and lock it against other callers; otherwise a port
 * may be taken between the check and its use.
 */
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define TRIES_MAX 1000

/* Return: a bound socket, or -1 if the port is taken. */
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
	int wanted = argc == 3 ? atoi(argv[1]) : 0;
	int port = argc == 3 ? atoi(argv[2]) : 0;

	if (wanted < 1 || port < 1) {
		fprintf(stderr, "usage: standin-ports COUNT FIRST\n");
		return EXIT_FAILURE;
	}
	for (int i = 0; i < TRIES_MAX && wanted > 0; i++, port++) {
		int fd = bind_port((uint16_t)port);

		if (fd < 0)
			continue;
		close(fd);
		printf("%d\n", port);
		wanted--;
	}
	return wanted == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
