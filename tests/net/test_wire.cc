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

/* An encoded ANNOUNCE without its record mark. */
std::string encoded_announce()
{
	struct control_announce a = {};
	struct wire_record record;
	char host[] = "h1";
	char control[] = "127.0.0.1:7003";

	a.host = host;
	a.control = control;
	a.in_force.number = 7;
	EXPECT_TRUE(wire_encode_call(&record, 9, CONTROL_PROGRAM,
				     CONTROL_VERSION, CONTROL_ANNOUNCE,
				     (xdrproc_t)xdr_control_announce, &a));
	std::string text((char *)record.data + WIRE_MARK_BYTES,
			 record.len - WIRE_MARK_BYTES);
	g_free(record.data);
	return text;
}

bool decodes(const std::string &text)
{
	struct control_announce a = {};
	struct wire_header header;
	bool ok;
	XDR xdr;

	if (!wire_decode(&xdr, (const unsigned char *)text.data(), text.size(),
			 &header))
		return false;
	ok = header.kind == WIRE_CALL && xdr_control_announce(&xdr, &a);
	xdr_free((xdrproc_t)xdr_control_announce, &a);
	xdr_destroy(&xdr);
	return ok;
}

} // namespace

/* Guards against a message that changes on its way through the codec. */
TEST(Wire, KeepsACall)
{
	std::string text = encoded_announce();
	struct control_announce a = {};
	struct wire_header header;
	XDR xdr;

	ASSERT_TRUE(wire_decode(&xdr, (const unsigned char *)text.data(),
				text.size(), &header));
	EXPECT_EQ(header.xid, 9u);
	EXPECT_EQ(header.program, (uint32_t)CONTROL_PROGRAM);
	EXPECT_EQ(header.procedure, (uint32_t)CONTROL_ANNOUNCE);
	ASSERT_TRUE(xdr_control_announce(&xdr, &a));
	EXPECT_STREQ(a.host, "h1");
	EXPECT_EQ(a.in_force.number, 7);
	xdr_free((xdrproc_t)xdr_control_announce, &a);
	xdr_destroy(&xdr);
}

/* Guards against reading past the end of a truncated message. */
TEST(Wire, RefusesEveryTruncation)
{
	std::string text = encoded_announce();

	for (size_t len = 0; len < text.size(); len++)
		EXPECT_FALSE(decodes(text.substr(0, len))) << len;
	EXPECT_TRUE(decodes(text));
}

/* Guards against a length field that asks for more than the message holds. */
TEST(Wire, RefusesHostileLengths)
{
	std::string text = encoded_announce();

	for (size_t at = 8; at + 4 <= text.size(); at += 4) {
		std::string hostile = text;

		memset(&hostile[at], 0xff, 4);
		decodes(hostile); /* must neither crash nor allocate it */
	}
	EXPECT_TRUE(decodes(text));
}

/* Guards against a reply that says nothing of the failure. */
TEST(Wire, CarriesTheReasonOfARefusal)
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

/* Guards against sending what the receiver must refuse. */
TEST(Wire, RefusesToEncodeOverlongFields)
{
	std::string host(PEER_NAME_MAX + 1, 'h');
	struct control_announce a = {};
	struct wire_record record;
	char control[] = "";

	a.host = &host[0];
	a.control = control;
	EXPECT_FALSE(wire_encode_call(&record, 1, CONTROL_PROGRAM,
				      CONTROL_VERSION, CONTROL_ANNOUNCE,
				      (xdrproc_t)xdr_control_announce, &a));
}
