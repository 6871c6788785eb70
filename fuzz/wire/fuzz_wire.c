#include <glib.h>

#include "../expect.h"
#include "wire/wire.h"

/*
 * Fuzzes the decoding of RPC records that a peer sends, without the record
 * mark. The header of a call names the procedure. The header of a reply does
 * not, so a reply is decoded once with the result codec of each procedure.
 */

/* Large enough for the decoded value of any codec. */
union value {
	struct control_announce announce;
	struct peer_version version;
	struct control_get_part get_part;
	struct control_value value;
	struct traffic_request request;
	struct traffic_answer answer;
	struct traffic_cancel cancel;
	struct traffic_hello hello;
};

static const struct procedure {
	uint32_t program;
	uint32_t number;
	xdrproc_t args;
	xdrproc_t result; /* NULL if the procedure has no result */
} procedures[] = {
	{ CONTROL_PROGRAM, CONTROL_ANNOUNCE, (xdrproc_t)xdr_control_announce,
	  (xdrproc_t)xdr_control_announce },
	{ CONTROL_PROGRAM, CONTROL_GET_MANIFEST, (xdrproc_t)xdr_peer_version,
	  (xdrproc_t)xdr_control_value },
	{ CONTROL_PROGRAM, CONTROL_GET_PART, (xdrproc_t)xdr_control_get_part,
	  (xdrproc_t)xdr_control_value },
	{ TRAFFIC_PROGRAM, TRAFFIC_REQUEST, (xdrproc_t)xdr_traffic_request,
	  (xdrproc_t)xdr_traffic_answer },
	{ TRAFFIC_PROGRAM, TRAFFIC_CANCEL, (xdrproc_t)xdr_traffic_cancel,
	  NULL },
	{ TRAFFIC_PROGRAM, TRAFFIC_HELLO, (xdrproc_t)xdr_traffic_hello,
	  (xdrproc_t)xdr_traffic_hello },
};

/*
 * Encodes a decoded value again: it must be within the limits of the encoder,
 * and the header of the new record must be valid.
 */
static void check_reencoded(const struct procedure *procedure, bool is_call,
			    xdrproc_t codec, union value *value)
{
	size_t max = procedure->program == CONTROL_PROGRAM
			     ? WIRE_CONTROL_RECORD_MAX
			     : WIRE_TRAFFIC_RECORD_MAX;
	struct wire_record record;
	struct wire_header header;
	size_t len;
	XDR xdr;

	if (is_call)
		expect(wire_encode_call(&record, 7, procedure->program, 1,
					procedure->number, codec, value));
	else
		expect(wire_encode_reply(&record, 7, codec, value));
	expect(wire_read_mark(record.data, &len));
	expect(len == record.len - WIRE_MARK_BYTES && len <= max);
	expect(wire_decode(&xdr, record.data + WIRE_MARK_BYTES, len, &header));
	expect(header.xid == 7 && (header.kind == WIRE_CALL) == is_call);
	xdr_destroy(&xdr);
	g_free(record.data);
}

static void decode(const struct procedure *procedure, bool is_call,
		   const uint8_t *data, size_t size)
{
	xdrproc_t codec = is_call ? procedure->args : procedure->result;
	struct wire_header header;
	union value value = { 0 };
	XDR xdr;

	if (!codec || !wire_decode(&xdr, data, size, &header))
		return;
	if (codec(&xdr, &value))
		check_reencoded(procedure, is_call, codec, &value);
	xdr_free(codec, &value);
	xdr_destroy(&xdr);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct wire_header header;
	XDR xdr;

	if (!wire_decode(&xdr, data, size, &header))
		return 0;
	xdr_destroy(&xdr);
	for (size_t i = 0; i < G_N_ELEMENTS(procedures); i++) {
		const struct procedure *procedure = &procedures[i];

		if (header.kind == WIRE_REPLY && header.success)
			decode(procedure, false, data, size);
		else if (header.kind == WIRE_CALL &&
			 header.program == procedure->program &&
			 header.procedure == procedure->number)
			decode(procedure, true, data, size);
	}
	return 0;
}
