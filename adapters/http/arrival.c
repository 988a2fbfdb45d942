/* What has arrived of a response: when, and how much of it is held. */
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

size_t ap_http_fetch_held(const ap_http_fetch_t *fetch)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(fetch->conn->evcon);
	const ap_http_syntax_t *syntax = &fetch->conn->syntax;

	return evbuffer_get_length(bufferevent_get_input(bev)) + syntax->head_bytes +
	       2 * syntax->fields * AP_HTTP_FIELD_BYTES;
}
