#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "wire/wire.h"

#define LAST_FRAGMENT 0x80000000U

/* An empty codec. xdr_void() has no parameters and cannot be called as one. */
static bool_t xdr_empty(XDR *xdr, void *object)
{
	(void)xdr;
	(void)object;
	return TRUE;
}

static void write_mark(unsigned char *mark, size_t len)
{
	uint32_t value = g_htonl((uint32_t)len | LAST_FRAGMENT);

	memcpy(mark, &value, sizeof(value));
}

bool wire_read_mark(const unsigned char mark[WIRE_MARK_BYTES], size_t *len)
{
	uint32_t value;

	memcpy(&value, mark, sizeof(value));
	value = g_ntohl(value);
	*len = value & ~LAST_FRAGMENT;
	return value & LAST_FRAGMENT;
}

/* Skips the body of a record in encoding or decoding; see wire.h. */
struct body_skip {
	const struct xdr_ops *ops; /* of the stream without the skip */
	const char *body;	   /* encoding: the body's address */
	char *place;		   /* decoding: where it is; NULL: nowhere */
	size_t len_min;
	size_t at;  /* encoding: its position in the stream */
	size_t len; /* encoding: its length; 0: none was found */
};

static bool_t put_bytes(XDR *xdr, const char *from, u_int len)
{
	struct body_skip *skip = (struct body_skip *)(void *)xdr->x_public;

	if (from != skip->body || !len)
		return skip->ops->x_putbytes(xdr, from, len);
	skip->at = xdr_getpos(xdr);
	skip->len = len;
	return TRUE;
}

static bool_t get_bytes(XDR *xdr, char *to, u_int len)
{
	struct body_skip *skip = (struct body_skip *)(void *)xdr->x_public;
	u_int at = xdr_getpos(xdr);

	if (len < skip->len_min)
		return skip->ops->x_getbytes(xdr, to, len);
	if (len > xdr->x_handy)
		return FALSE;
	skip->place = xdr->x_base + at;
	return skip->ops->x_setpostn(xdr, at + len);
}

bool wire_decode_in_place(XDR *xdr, xdrproc_t proc, void *object, char **body,
			  size_t len_min, bool *in_place)
{
	struct body_skip skip = { .ops = xdr->x_ops, .len_min = len_min };
	struct xdr_ops ops = *xdr->x_ops;
	bool ok;

	ops.x_getbytes = get_bytes;
	xdr->x_ops = &ops;
	xdr->x_public = (char *)&skip;
	ok = proc(xdr, object);
	xdr->x_ops = skip.ops;
	xdr->x_public = NULL;
	*in_place = ok && skip.place;
	if (*in_place) {
		/* The codec has allocated it, but nothing was written there. */
		free(*body);
		*body = skip.place;
	}
	return ok;
}

static bool encode(struct wire_record *record, struct rpc_msg *message,
		   xdrproc_t body_proc, void *body, const void *around)
{
	/* Bytes; call and reply headers with AUTH_NONE are at most as long. */
	const size_t header_max = 64;
	size_t body_len = body_proc ? xdr_sizeof(body_proc, body) : 0;
	size_t capacity = WIRE_MARK_BYTES + header_max + body_len;
	bool is_call = message->rm_direction == CALL;
	struct body_skip skip = { .body = around };
	struct xdr_ops ops;
	bool ok;
	XDR xdr;

	if (body_proc && !body_len)
		return false;
	/* Pages that are not written do not become resident. */
	record->data = g_malloc(capacity);
	xdrmem_create(&xdr, (char *)record->data + WIRE_MARK_BYTES,
		      (u_int)(capacity - WIRE_MARK_BYTES), XDR_ENCODE);
	skip.ops = xdr.x_ops;
	ops = *xdr.x_ops;
	ops.x_putbytes = put_bytes;
	if (around) {
		xdr.x_ops = &ops;
		xdr.x_public = (char *)&skip;
	}
	ok = is_call ? xdr_callmsg(&xdr, message) : xdr_replymsg(&xdr, message);
	ok = ok && (!body_proc || body_proc(&xdr, body));
	record->len = WIRE_MARK_BYTES + xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	if (!ok) {
		g_free(record->data);
		record->data = NULL;
		return false;
	}
	record->has_body = skip.len;
	record->body_at = WIRE_MARK_BYTES + skip.at;
	write_mark(record->data, record->len - WIRE_MARK_BYTES + skip.len);
	return true;
}

bool wire_encode_call(struct wire_record *record, uint32_t xid,
		      uint32_t program, uint32_t version, uint32_t procedure,
		      xdrproc_t xdr_args, void *args)
{
	return wire_encode_call_around(record, xid, program, version, procedure,
				       xdr_args, args, NULL);
}

bool wire_encode_call_around(struct wire_record *record, uint32_t xid,
			     uint32_t program, uint32_t version,
			     uint32_t procedure, xdrproc_t xdr_args, void *args,
			     const void *body)
{
	struct rpc_msg message = { 0 };

	message.rm_xid = xid;
	message.rm_direction = CALL;
	message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	message.rm_call.cb_prog = program;
	message.rm_call.cb_vers = version;
	message.rm_call.cb_proc = procedure;
	message.rm_call.cb_cred = _null_auth;
	message.rm_call.cb_verf = _null_auth;
	return encode(record, &message, xdr_args, args, body);
}

static bool encode_reply(struct wire_record *record, uint32_t xid,
			 enum accept_stat status, xdrproc_t proc, void *result)
{
	struct rpc_msg message = { 0 };

	message.rm_xid = xid;
	message.rm_direction = REPLY;
	message.rm_reply.rp_stat = MSG_ACCEPTED;
	message.acpted_rply.ar_verf = _null_auth;
	message.acpted_rply.ar_stat = status;
	message.acpted_rply.ar_results.proc = (xdrproc_t)xdr_empty;
	return encode(record, &message, proc, result, NULL);
}

bool wire_encode_reply(struct wire_record *record, uint32_t xid,
		       xdrproc_t xdr_result, void *result)
{
	return encode_reply(record, xid, SUCCESS, xdr_result, result);
}

bool wire_encode_error(struct wire_record *record, uint32_t xid,
		       enum accept_stat status)
{
	return encode_reply(record, xid, status, NULL, NULL);
}

static bool decode_call(XDR *xdr, struct wire_header *header)
{
	struct rpc_msg message = { 0 };
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];

	message.rm_call.cb_cred.oa_base = cred;
	message.rm_call.cb_verf.oa_base = verf;
	if (!xdr_callmsg(xdr, &message) ||
	    message.rm_call.cb_rpcvers != RPC_MSG_VERSION)
		return false;
	header->kind = WIRE_CALL;
	header->xid = message.rm_xid;
	header->program = message.rm_call.cb_prog;
	header->version = message.rm_call.cb_vers;
	header->procedure = message.rm_call.cb_proc;
	return true;
}

static bool decode_reply(XDR *xdr, struct wire_header *header)
{
	struct rpc_msg message = { 0 };
	char verf[MAX_AUTH_BYTES];

	message.acpted_rply.ar_verf.oa_base = verf;
	message.acpted_rply.ar_results.proc = (xdrproc_t)xdr_empty;
	if (!xdr_replymsg(xdr, &message))
		return false;
	header->kind = WIRE_REPLY;
	header->xid = message.rm_xid;
	header->success = message.rm_reply.rp_stat == MSG_ACCEPTED &&
			  message.acpted_rply.ar_stat == SUCCESS;
	header->status = message.rm_reply.rp_stat == MSG_ACCEPTED
				 ? message.acpted_rply.ar_stat
				 : SYSTEM_ERR;
	return true;
}

bool wire_decode(XDR *xdr, const unsigned char *data, size_t len,
		 struct wire_header *header)
{
	uint32_t direction;
	bool ok = false;

	/* A message starts with its transaction id and direction (RFC 5531). */
	if (len < 2 * sizeof(uint32_t) || len > WIRE_TRAFFIC_RECORD_MAX)
		return false;
	memcpy(&direction, data + sizeof(uint32_t), sizeof(direction));
	direction = g_ntohl(direction);
	memset(header, 0, sizeof(*header));
	xdrmem_create(xdr, (char *)data, (u_int)len, XDR_DECODE);
	if (direction == CALL)
		ok = decode_call(xdr, header);
	else if (direction == REPLY)
		ok = decode_reply(xdr, header);
	if (!ok)
		xdr_destroy(xdr);
	return ok;
}
