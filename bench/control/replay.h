/* One node's recorded messages sent again over real sockets, to count what TCP carries for them. */
#ifndef AP_BENCH_REPLAY_H
#define AP_BENCH_REPLAY_H

#include "fleet.h"

#define REPLAY_BEGIN_SECONDS 30

/**
 * struct replay - a second of one node's control sockets, both ways.
 * @messages: of the decisions
 * @message_bytes: their bytes
 * @stream_bytes: on the sockets: messages, framing, encryption, heartbeats, handshakes
 * @segments: of TCP, acknowledgements included
 * @bytes: @stream_bytes and the headers of all segments
 * @begin_bytes: @bytes over the first REPLAY_BEGIN_SECONDS alone
 * @connections: open at the end
 */
typedef struct replay {
	double messages;
	double message_bytes;
	double stream_bytes;
	double segments;
	double bytes;
	double begin_bytes;
	int connections;
} replay_t;

/**
 * replay_run() - sends what @node sent and got again, in real time, with a process's worth of
 * sockets for each partner.
 * @entries: of the fleet
 * @seconds: of the record, from its first message
 */
replay_t replay_run(const record_t *record, int entries, int node, int seconds);

#endif
