/*
 * Codec of all messages between instances. A message is a msgpack array: an envelope of version,
 * kind, sender and number, then a body that depends on the kind. How messages may change, so that
 * instances of different builds understand each other: docs/design/builds.md.
 */
#ifndef AP_WIRE_H
#define AP_WIRE_H

#include "base/base.h"
#include "once/once.h"

#include <msgpack.h>

#define AP_WIRE_VERSION 2	 /* the latest that is read, and the one that is sent */
#define AP_WIRE_VERSION_OLDEST 2 /* that is read */
#define AP_WIRE_MAX (4u << 20)	 /* bytes of one message */

typedef enum ap_wire_status {
	AP_WIRE_OK,
	AP_WIRE_MALFORMED,
	AP_WIRE_VERSION_UNKNOWN,
	AP_WIRE_TOO_LONG,
} ap_wire_status_t;

/*
 * Kinds of messages, numbered in ranges by the task that handles them. The bodies from
 * AP_WIRE_FLEET on are packed and read by the folders that use them.
 */
typedef enum ap_wire_kind {
	AP_WIRE_HELLO = 1, /* neither sent nor handled */
	/* 16 to 31: forwarded requests (data task) */
	AP_WIRE_FORWARD = 16,
	AP_WIRE_FORWARD_HEAD,
	AP_WIRE_FORWARD_DATA,
	AP_WIRE_FORWARD_END,
	AP_WIRE_FORWARD_CREDIT,
	AP_WIRE_FORWARD_CANCEL,
	/* 32 to 47: permits (data task) */
	AP_WIRE_ONCE = 32,
	/* 48 to 63: membership (control task) */
	AP_WIRE_MEMBER = 48,
	/* 64 to 79: configuration (control task) */
	AP_WIRE_SPREAD = 64,
	/* 80 to 95: load, caches, capacity offers, draining upstreams (control task) */
	AP_WIRE_REPORT = 80,
	/* 96 to 111: state of the fleet (gateway task); relays pass on those that they don't know
	 */
	AP_WIRE_FLEET = 96, /* in-flight requests, to instances of the own region */
	AP_WIRE_SNAPSHOT,   /* items read from the store, for an instance that starts */
	AP_WIRE_WAITS,	    /* expected waits, to remote regions */
	AP_WIRE_CHANGES,    /* changes read from the store */
	AP_WIRE_BATCH,	    /* messages of other instances, passed on */
	AP_WIRE_FLEET_LAST = 111,
	/* 112 to 127: likewise, for the receiver alone */
	AP_WIRE_CONFIGURATION,	 /* the sender's version of the configuration */
	AP_WIRE_STREAM_QUESTION, /* where a stream has to go on */
	AP_WIRE_STREAM_ANSWER,	 /* the answer, or the same without a question */
	AP_WIRE_LAST = 127,
} ap_wire_kind_t;

/**
 * struct ap_wire_head - envelope of a message.
 * @from: incarnation of the sender; zeros when the receiver does not need it
 * @seq: sequence number of the message, counted by the sender
 */
typedef struct ap_wire_head {
	uint32_t kind;
	ap_id_t from;
	uint64_t seq;
} ap_wire_head_t;

/** ap_wire_begin() - packs the envelope; the body follows as exactly one msgpack object. */
void ap_wire_begin(msgpack_packer *pk, const ap_wire_head_t *head);

/**
 * ap_wire_open() - reads the envelope.
 * @zone: holds the body; the caller initialises and destroys it
 * @body: set to the object of the body, which points into @zone and @data
 *
 * Return: AP_WIRE_OK, or the fault with @err set.
 */
ap_wire_status_t ap_wire_open(const void *data, size_t len, msgpack_zone *zone,
			      ap_wire_head_t *head, msgpack_object *body, ap_err_t *err);

/** ap_wire_peek() - Return: kind of a message, from its first bytes; 0 without a known envelope. */
uint32_t ap_wire_peek(const void *data, size_t len);
/** ap_wire_peek_version() - Return: its version, whether or not it can be read; 0 without one. */
uint32_t ap_wire_peek_version(const void *data, size_t len);

/**
 * ap_wire_unpack() - unpacks one msgpack object after a check of the lengths that it declares.
 * @zone: holds the object; the caller initialises and destroys it
 *
 * Return: false unless @data is exactly one object of the types that the protocol uses.
 */
bool ap_wire_unpack(const void *data, size_t len, msgpack_zone *zone, msgpack_object *root);

void ap_wire_pack_str(msgpack_packer *pk, const char *text);
void ap_wire_pack_bin(msgpack_packer *pk, const void *data, size_t len);
void ap_wire_pack_bool(msgpack_packer *pk, bool value);
/** ap_wire_pack_id() - packs 16 bytes, or none for an id of zeros. */
void ap_wire_pack_id(msgpack_packer *pk, ap_id_t id);
void ap_wire_pack_xid(msgpack_packer *pk, ap_xid_t xid);

/**
 * struct ap_wire_reader - reads the elements of a msgpack array in order. After the first wrong
 * type or missing element @ok stays false and every read returns zero, so callers check @ok once.
 */
typedef struct ap_wire_reader {
	const msgpack_object *next;
	size_t left;
	bool ok;
} ap_wire_reader_t;

ap_wire_reader_t ap_wire_reader(const msgpack_object *array);
uint64_t ap_wire_u64(ap_wire_reader_t *r);
/** ap_wire_msec() - reads milliseconds as a duration, at most AP_DURATION_MAX. */
ap_usec_t ap_wire_msec(ap_wire_reader_t *r);
int64_t ap_wire_i64(ap_wire_reader_t *r);
double ap_wire_f64(ap_wire_reader_t *r);
bool ap_wire_bool(ap_wire_reader_t *r);
/** ap_wire_str() - copies a string and terminates it; @r fails if it does not fit. */
void ap_wire_str(ap_wire_reader_t *r, char *out, size_t size);
/** ap_wire_bin() - Return: bytes in the message, NULL on failure. */
const void *ap_wire_bin(ap_wire_reader_t *r, size_t *len);
ap_id_t ap_wire_id(ap_wire_reader_t *r);
ap_xid_t ap_wire_xid(ap_wire_reader_t *r);
/** ap_wire_str_view() - Return: a string in the message, without a terminator; NULL on failure. */
const char *ap_wire_str_view(ap_wire_reader_t *r, size_t *len);
/** ap_wire_array() - Return: a reader over a nested array; @r fails if there is none. */
ap_wire_reader_t ap_wire_array(ap_wire_reader_t *r);

/* Bytes of the strings in forwarded requests and their responses, terminator included. */
#define AP_FORWARD_TARGET_MAX 2048
#define AP_FORWARD_CONTENT_TYPE_MAX 128
#define AP_FORWARD_PERMIT_MAX 512
#define AP_FORWARD_CODE_MAX 32
#define AP_FORWARD_ERROR_TEXT_MAX 192

#define AP_FORWARD_BODY_MAX (3u << 20) /* bytes of the body of a request that can be forwarded */
#define AP_FORWARD_HEADERS_MAX 16      /* headers of one request or response */

/**
 * struct ap_forward_header - one header; both texts point into the message, without terminators.
 */
typedef struct ap_forward_header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
} ap_forward_header_t;

/**
 * struct ap_forward_headers - headers of a forwarded request or its response; an instance of an
 * older version sends none.
 */
typedef struct ap_forward_headers {
	size_t n;
	ap_forward_header_t v[AP_FORWARD_HEADERS_MAX];
} ap_forward_headers_t;

/**
 * struct ap_forward_request - a request for another instance to serve or refuse.
 * @request: id of the request in events
 * @hops: regions crossed, this forwarding included; 0 between instances of one region
 * @home: home region of the caller
 * @stream: the caller wants server-sent events
 * @method: HTTP method as enum evhttp_cmd_type of libevent
 * @first_byte: microseconds left until the first byte is due
 * @credit: bytes of the response that may be sent before more credit arrives
 * @version: only an upstream with this version of the model may serve it; 0 for any, as from an
 *           instance of an older build
 */
typedef struct ap_forward_request {
	ap_xid_t request;
	uint32_t hops;
	char caller[AP_NAME_MAX];
	char home[AP_NAME_MAX];
	char service[AP_NAME_MAX];
	char model[AP_NAME_MAX];
	char adapter[AP_NAME_MAX];
	bool stream;
	uint32_t method;
	char target[AP_FORWARD_TARGET_MAX];
	char content_type[AP_FORWARD_CONTENT_TYPE_MAX];
	char permit[AP_FORWARD_PERMIT_MAX];
	ap_usec_t first_byte;
	uint64_t credit;
	const void *body;
	size_t len;
	ap_forward_headers_t headers;
	uint32_t version;
} ap_forward_request_t;

/**
 * struct ap_forward_head - status and headers of the response.
 * @version: of the model that makes it; 0 when it isn't known, as from an instance of an older
 * build
 */
typedef struct ap_forward_head {
	uint32_t status;
	char content_type[AP_FORWARD_CONTENT_TYPE_MAX];
	ap_forward_headers_t headers;
	uint32_t version;
} ap_forward_head_t;

/**
 * struct ap_forward_data - a chunk of the response.
 * @offset: bytes of the response before this chunk
 */
typedef struct ap_forward_data {
	uint64_t offset;
	const void *data;
	size_t len;
} ap_forward_data_t;

/**
 * struct ap_forward_end - the end of a response, or the error in its place.
 * @status: HTTP status of the response or of the error
 * @total: bytes of the complete response
 * @cost: price of the request in micro-units
 * @region: region that served the request
 * @code: stable code of the error; empty for a complete response
 */
typedef struct ap_forward_end {
	ap_outcome_t outcome;
	uint32_t status;
	uint64_t total;
	double cost;
	char region[AP_NAME_MAX];
	char code[AP_FORWARD_CODE_MAX];
	char text[AP_FORWARD_ERROR_TEXT_MAX];
	ap_usec_t retry_after;
} ap_forward_end_t;

/**
 * struct ap_forward_msg - one message of a kind from AP_WIRE_FORWARD to AP_WIRE_FORWARD_CANCEL.
 * @exchange: id of the exchange at the instance that forwarded the request
 * @credit: bytes of the response that may be sent in total
 */
typedef struct ap_forward_msg {
	uint32_t kind;
	ap_xid_t exchange;
	union {
		ap_forward_request_t request;
		ap_forward_head_t head;
		ap_forward_data_t data;
		ap_forward_end_t end;
		uint64_t credit;
	} u;
} ap_forward_msg_t;

/** ap_forward_pack() - appends a whole message to @buf. */
void ap_forward_pack(msgpack_sbuffer *buf, ap_id_t from, uint64_t seq, const ap_forward_msg_t *msg);
/** ap_forward_read() - reads a body; pointers in @msg point into it. */
ap_wire_status_t ap_forward_read(uint32_t kind, const msgpack_object *body, ap_forward_msg_t *msg);

/**
 * struct ap_wire_once - a permit message that was read; @msg points to the other fields.
 */
typedef struct ap_wire_once {
	ap_once_msg_t msg;
	ap_once_item_t items[AP_ONCE_ITEMS_MAX];
	char text[AP_PERMIT_TEXT_MAX];
} ap_wire_once_t;

/** ap_wire_pack_once() - packs the body of an AP_WIRE_ONCE message. */
void ap_wire_pack_once(msgpack_packer *pk, const ap_once_msg_t *msg);
/**
 * ap_wire_read_once() - reads a permit message; responses in @out point into @body.
 *
 * Return: AP_WIRE_OK, or AP_WIRE_MALFORMED with @err set; then @out is not valid.
 */
ap_wire_status_t ap_wire_read_once(const ap_wire_head_t *head, const msgpack_object *body,
				   ap_wire_once_t *out, ap_err_t *err);

#endif
