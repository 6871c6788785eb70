#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include <glib.h>

#include "wire/wire.h"
}

namespace
{

/* Returns an encoded CONTROL_ANNOUNCE call without its record mark. */
std::string encode_announce()
{
	struct control_announce announce = {};
	struct wire_record record;
	char host[] = "h1";
	char control[] = "127.0.0.1:7003";

	announce.host = host;
	announce.control = control;
	announce.in_force.number = 7;
	EXPECT_TRUE(wire_encode_call(&record, 9, CONTROL_PROGRAM,
				     CONTROL_VERSION, CONTROL_ANNOUNCE,
				     (xdrproc_t)xdr_control_announce,
				     &announce));
	std::string text((char *)record.data + WIRE_MARK_BYTES,
			 record.len - WIRE_MARK_BYTES);
	g_free(record.data);
	return text;
}

/* A body that is not copied must not change the bytes of a record. */
TEST(Wire, EncodesAroundABodyAndDecodesInPlace)
{
	std::string body(100001, 'b');
	std::string text = "text";
	struct relay_request request = {}, decoded = {};
	struct wire_record plain, around;
	struct wire_header header;
	bool in_place = false;
	XDR xdr;

	request.service = request.method = request.target = request.fields =
		request.caller_service = request.request_id =
			request.organisation = text.data();
	request.body.body_val = body.data();
	request.body.body_len = (u_int)body.size();
	ASSERT_TRUE(wire_encode_call(&plain, 9, RELAY_PROGRAM, RELAY_VERSION,
				     RELAY_REQUEST,
				     (xdrproc_t)xdr_relay_request, &request));
	ASSERT_TRUE(wire_encode_call_around(&around, 9, RELAY_PROGRAM,
					    RELAY_VERSION, RELAY_REQUEST,
					    (xdrproc_t)xdr_relay_request,
					    &request, body.data()));
	EXPECT_FALSE(plain.has_body);
	ASSERT_TRUE(around.has_body);
	std::string first((char *)plain.data, plain.len);
	std::string second((char *)around.data, around.len);
	second.insert(around.body_at, body);
	EXPECT_TRUE(first == second);
	ASSERT_TRUE(wire_decode(&xdr, plain.data + WIRE_MARK_BYTES,
				plain.len - WIRE_MARK_BYTES, &header));
	ASSERT_TRUE(wire_decode_in_place(&xdr, (xdrproc_t)xdr_relay_request,
					 &decoded, &decoded.body.body_val,
					 body.size(), &in_place));
	EXPECT_TRUE(in_place);
	EXPECT_EQ(decoded.body.body_len, body.size());
	EXPECT_EQ(decoded.body.body_val, (char *)plain.data + around.body_at);
	EXPECT_STREQ(decoded.request_id, "text");
	decoded.body.body_val = nullptr;
	decoded.body.body_len = 0;
	xdr_free((xdrproc_t)xdr_relay_request, (char *)&decoded);
	xdr_destroy(&xdr);
	g_free(plain.data);
	g_free(around.data);
}

bool decodes(const std::string &text)
{
	struct control_announce announce = {};
	struct wire_header header;
	bool ok;
	XDR xdr;

	if (!wire_decode(&xdr, (const unsigned char *)text.data(), text.size(),
			 &header))
		return false;
	ok = header.kind == WIRE_CALL && xdr_control_announce(&xdr, &announce);
	xdr_free((xdrproc_t)xdr_control_announce, &announce);
	xdr_destroy(&xdr);
	return ok;
}

} // namespace

/* Guards against fields that encoding and decoding change. */
TEST(Wire, DecodesEncodedCall)
{
	std::string text = encode_announce();
	struct control_announce announce = {};
	struct wire_header header;
	XDR xdr;

	ASSERT_TRUE(wire_decode(&xdr, (const unsigned char *)text.data(),
				text.size(), &header));
	EXPECT_EQ(header.xid, 9u);
	EXPECT_EQ(header.program, (uint32_t)CONTROL_PROGRAM);
	EXPECT_EQ(header.procedure, (uint32_t)CONTROL_ANNOUNCE);
	ASSERT_TRUE(xdr_control_announce(&xdr, &announce));
	EXPECT_STREQ(announce.host, "h1");
	EXPECT_EQ(announce.in_force.number, 7);
	xdr_free((xdrproc_t)xdr_control_announce, &announce);
	xdr_destroy(&xdr);
}

/* Guards against reading past the end of a truncated message. */
TEST(Wire, RefusesTruncatedMessages)
{
	std::string text = encode_announce();

	for (size_t len = 0; len < text.size(); len++)
		EXPECT_FALSE(decodes(text.substr(0, len))) << len;
	EXPECT_TRUE(decodes(text));
}

/*
 * Guards against a crash or a large allocation on a length field that exceeds
 * the message.
 */
TEST(Wire, SurvivesCorruptLengths)
{
	std::string text = encode_announce();

	for (size_t at = 8; at + 4 <= text.size(); at += 4) {
		std::string corrupt = text;

		memset(&corrupt[at], 0xff, 4);
		decodes(corrupt); /* must neither crash nor allocate the length
				   */
	}
	EXPECT_TRUE(decodes(text));
}

/* Guards against an error reply that loses its status. */
TEST(Wire, ErrorReplyKeepsItsStatus)
{
	struct wire_record record;
	struct wire_header header;
	XDR xdr;

	ASSERT_TRUE(wire_encode_error(&record, 3, PROC_UNAVAIL));
	ASSERT_TRUE(wire_decode(&xdr, record.data + WIRE_MARK_BYTES,
				record.len - WIRE_MARK_BYTES, &header));
	EXPECT_EQ(header.kind, WIRE_REPLY);
	EXPECT_FALSE(header.success);
	EXPECT_EQ(header.status, PROC_UNAVAIL);
	xdr_destroy(&xdr);
	g_free(record.data);
}

/* Guards against sending a message that the receiver has to refuse. */
TEST(Wire, RefusesToEncodeOverlongFields)
{
	std::string host(PEER_NAME_MAX + 1, 'h');
	struct control_announce announce = {};
	struct wire_record record;
	char control[] = "";

	announce.host = &host[0];
	announce.control = control;
	EXPECT_FALSE(wire_encode_call(&record, 1, CONTROL_PROGRAM,
				      CONTROL_VERSION, CONTROL_ANNOUNCE,
				      (xdrproc_t)xdr_control_announce,
				      &announce));
}
