/* Packing and unpacking of whole messages, for the folders that exchange them with peers. */
#ifndef AP_WIRE_FRAME_H
#define AP_WIRE_FRAME_H

#include "conf/conf.h"
#include "port/port.h"
#include "wire/wire.h"

/**
 * struct ap_wire_out - a message being packed.
 */
typedef struct ap_wire_out {
	msgpack_sbuffer buf;
	msgpack_packer pk;
} ap_wire_out_t;

/** ap_wire_out_begin() - starts a message; the body follows as exactly one object in @out->pk. */
void ap_wire_out_begin(ap_wire_out_t *out, ap_wire_kind_t kind, ap_id_t from, uint64_t seq);
/** ap_wire_out_send() - sends the message to the instance @to; may be called repeatedly. */
void ap_wire_out_send(const ap_wire_out_t *out, const ap_peer_port_t *peer, const char *to);
void ap_wire_out_end(ap_wire_out_t *out);
/**
 * ap_wire_out_take() - ends the message.
 * @len: set to the number of its bytes
 *
 * Return: its bytes, to be freed with free().
 */
void *ap_wire_out_take(ap_wire_out_t *out, size_t *len);

/**
 * struct ap_wire_in - a message being read.
 */
typedef struct ap_wire_in {
	msgpack_zone zone;
	ap_wire_head_t head;
	msgpack_object body;
} ap_wire_in_t;

/**
 * ap_wire_in_open() - unpacks a message; @data must stay until ap_wire_in_close().
 *
 * Return: false with @err set when @data is not a whole message of @kind; then there is nothing to
 * close.
 */
bool ap_wire_in_open(ap_wire_in_t *in, ap_wire_kind_t kind, const void *data, size_t len,
		     ap_err_t *err);
void ap_wire_in_close(ap_wire_in_t *in);

/** ap_wire_pack_entry() - packs all fields of @entry, @draining included, as one array. */
void ap_wire_pack_entry(msgpack_packer *pk, const ap_entry_t *entry);
/** ap_wire_read_entry() - Return: false when the entry is malformed or has no id. */
bool ap_wire_read_entry(ap_wire_reader_t *r, ap_entry_t *entry);

#endif
