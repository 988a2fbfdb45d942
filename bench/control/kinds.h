/* What the bytes of a message are for. */
#ifndef AP_BENCH_KINDS_H
#define AP_BENCH_KINDS_H

#include <stddef.h>

typedef enum kind {
	KIND_PROBE,	    /* pings, their answers, and pings asked of others */
	KIND_MEMBER_DIGEST, /* what is known of whole regions, and keys of records */
	KIND_MEMBER_RECORD, /* records and suspicions */
	KIND_CONF_DIGEST,   /* generations compared */
	KIND_CONF,	    /* heads and segments */
	KIND_LOAD,
	KIND_CAPACITY,
	KIND_CACHE,
	KIND_MODELS,	  /* loaded, and withdrawn before they are unloaded */
	KIND_REPORT_REST, /* envelopes, digests and questions of reports */
	KINDS,
} kind_t;

const char *kind_name(kind_t kind);
/** kinds_add() - adds the bytes of one whole message to the sums in @bytes. */
void kinds_add(double bytes[KINDS], const void *data, size_t len);

#endif
