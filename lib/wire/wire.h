#ifndef WIRE_WIRE_H
#define WIRE_WIRE_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/peer_xdr.h"

/*
 * Encodes and decodes ONC RPC version 2 messages (RFC 5531) as records of a
 * four-byte record mark and one fragment, with libtirpc's XDR and the codecs
 * that rpcgen generates from peer.x.
 */

#define WIRE_MARK_BYTES 4

/* Longest record of a control connection: a value of 1 MiB and its header. */
#define WIRE_CONTROL_RECORD_MAX (PEER_VALUE_MAX + 4096)

/* Longest record of a traffic connection: a body and 1 MiB of other fields. */
#define WIRE_TRAFFIC_RECORD_MAX (PEER_BODY_MAX + 1048576)

enum wire_kind {
	WIRE_CALL,
	WIRE_REPLY
};

struct wire_header {
	enum wire_kind kind;
	uint32_t xid;
	uint32_t program;   /* calls only */
	uint32_t version;   /* calls only */
	uint32_t procedure; /* calls only */
	bool success;	    /* replies only: the call was accepted and run */
	enum accept_stat status; /* replies only */
};

/*
 * An encoded record with its mark; the caller frees data with g_free(). When
 * has_body is true, a body that was not copied belongs at body_at of the data.
 */
struct wire_record {
	unsigned char *data;
	size_t len;
	size_t body_at;
	bool has_body;
};

/* Encodes a call. Returns false when the arguments exceed their limits. */
bool wire_encode_call(struct wire_record *record, uint32_t xid,
		      uint32_t program, uint32_t version, uint32_t procedure,
		      xdrproc_t xdr_args, void *args);

/*
 * The same, but the bytes that the arguments have at the address `body` are not
 * copied. NULL: everything is copied.
 */
bool wire_encode_call_around(struct wire_record *record, uint32_t xid,
			     uint32_t program, uint32_t version,
			     uint32_t procedure, xdrproc_t xdr_args, void *args,
			     const void *body);

/* Encodes a reply. Returns false when the result exceeds its limits. */
bool wire_encode_reply(struct wire_record *record, uint32_t xid,
		       xdrproc_t xdr_result, void *result);

/* Encodes a reply that refuses the call: PROC_UNAVAIL, GARBAGE_ARGS, ... */
bool wire_encode_error(struct wire_record *record, uint32_t xid,
		       enum accept_stat status);

/*
 * Decodes the header of a record without its mark and positions xdr at the
 * arguments or the result; the caller releases xdr with xdr_destroy(). Returns
 * false, with nothing to release, when the bytes are not an ONC RPC message.
 */
bool wire_decode(XDR *xdr, const unsigned char *data, size_t len,
		 struct wire_header *header);

/*
 * Decodes like proc(xdr, object), but sets the last opaque field, whose pointer
 * is *body, to its place in the record if it has at least len_min bytes. Sets
 * *in_place accordingly; the field must not be freed then.
 */
bool wire_decode_in_place(XDR *xdr, xdrproc_t proc, void *object, char **body,
			  size_t len_min, bool *in_place);

/*
 * Reads the length from a record mark. Returns false when the record has
 * several fragments.
 */
bool wire_read_mark(const unsigned char mark[WIRE_MARK_BYTES], size_t *len);

#endif
