#ifndef WIRE_WIRE_H
#define WIRE_WIRE_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/peer_xdr.h"

/*
 * ONC RPC version 2 messages (RFC 5531) as records: a four-byte record mark
 * and one fragment. The codecs are libtirpc's XDR and rpcgen's output.
 */

#define WIRE_MARK_BYTES 4

/* Largest record of a control connection: a value of 1 MB and its header. */
#define WIRE_CONTROL_RECORD_MAX (PEER_VALUE_MAX + 4096)

/* Largest record of a traffic connection: a body and the message's header. */
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
	bool success; /* replies only: the call was accepted and executed */
	enum accept_stat status; /* replies only */
};

/* An encoded record with its mark; the caller frees data with g_free(). */
struct wire_record {
	unsigned char *data;
	size_t len;
};

/* Encodes a call. Returns false when the arguments exceed their limits. */
bool wire_encode_call(struct wire_record *record, uint32_t xid,
		      uint32_t program, uint32_t version, uint32_t procedure,
		      xdrproc_t xdr_args, void *args);

/* Encodes a reply with a result. */
bool wire_encode_reply(struct wire_record *record, uint32_t xid,
		       xdrproc_t xdr_result, void *result);

/* Encodes a reply that refuses the call: PROC_UNAVAIL, GARBAGE_ARGS, ... */
bool wire_encode_error(struct wire_record *record, uint32_t xid,
		       enum accept_stat status);

/*
 * Decodes the header of a record without its mark and leaves xdr, which the
 * caller destroys with xdr_destroy(), at the arguments or the result. Returns
 * false when the bytes are no ONC RPC message; xdr needs no destroying then.
 */
bool wire_decode(XDR *xdr, const unsigned char *data, size_t len,
		 struct wire_header *header);

/* Reads a record mark. Returns false for a record of several fragments. */
bool wire_read_mark(const unsigned char mark[WIRE_MARK_BYTES], size_t *len);

#endif
