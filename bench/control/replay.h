/* Sends one node's recorded messages over real sockets and counts the bytes that TCP carries. */
#ifndef AP_BENCH_REPLAY_H
#define AP_BENCH_REPLAY_H

#include "fleet.h"

#define REPLAY_BEGIN_SECONDS 30

/**
 * struct replay - rates per second on one node's control sockets, sent and received.
 * @messages: recorded messages
 * @message_bytes: bytes of the recorded messages
 * @stream_bytes: bytes on the sockets: messages, framing, encryption, heartbeats, handshakes
 * @segments: TCP segments, including acknowledgements
 * @bytes: @stream_bytes and the headers of all segments
 * @begin_bytes: the value of @bytes over the first REPLAY_BEGIN_SECONDS alone
 * @connections: number of connections open at the end
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
 * replay_run() - replays in real time what @node sent and received; each partner has sockets of
 * its own, as a separate process would.
 * @entries: number of entries in the fleet
 * @seconds: part of the record to replay, from its first message
 */
replay_t replay_run(const record_t *record, int entries, int node, int seconds);

#endif
