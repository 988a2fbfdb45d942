/* When bytes that are read late arrived. */
#include "http/client.h"

#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define TICK (10 * AP_MSEC) /* the kernel counts time in ticks no longer than this */

ap_usec_t ap_http_fetch_arrived(const ap_http_fetch_t *fetch)
{
	int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(fetch->conn->evcon));
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);
	ap_usec_t ago;

	if (fd < 0 || getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return 0;
	ago = info.tcpi_last_data_recv * AP_MSEC;
	return ap_now() - (ago > TICK ? ago - TICK : 0);
}
