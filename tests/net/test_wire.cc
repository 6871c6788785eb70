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
