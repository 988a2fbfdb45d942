/* Bytes of control messages by purpose. */
#ifndef AP_BENCH_KINDS_H
#define AP_BENCH_KINDS_H

#include <stddef.h>

typedef enum kind {
	KIND_PROBE,	    /* pings, acknowledgements and requests for indirect pings */
	KIND_MEMBER_DIGEST, /* digests of whole regions, and keys of records */
	KIND_MEMBER_RECORD, /* records and suspicions */
	KIND_CONF_DIGEST,   /* generations, sent for comparison */
	KIND_CONF,	    /* heads and segments of the configuration */
	KIND_LOAD,
	KIND_CAPACITY,
	KIND_CACHE,
	KIND_MODELS,	  /* loaded models, and withdrawals before an unload */
	KIND_REPORT_REST, /* envelopes, digests and queries of reports */
	KINDS,
} kind_t;

const char *kind_name(kind_t kind);
/** kinds_add() - adds the bytes of one encoded message to the sums in @bytes. */
void kinds_add(double bytes[KINDS], const void *data, size_t len);

#endif
