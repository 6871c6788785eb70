#include "once_model.h"

#include <cstring>

namespace
{
constexpr int64_t kMs = 1000000;

class Once : public testing::Test
{
      protected:
	Once()
	{
		struct once_options o = {};

		o.host = "h1";
		o.incarnation = 7;
		o.wall_ms = 5000;
		o.ticket_life_ms = 1000;
		o.max_records = 2;
		o.max_refusals = 1;
		o.answer_max_bytes = 8;
		o.answer_budget = 10;
		once = once_new(&o);
	}
	~Once()
	{
		once_free(once);
	}
	struct ticket issue(unsigned char n, int64_t now = 0)
	{
		unsigned char random[TICKET_RANDOM_BYTES] = { n };
		struct ticket ticket;

		once_issue(once, now, random, &ticket);
		return ticket;
	}
	enum once_verdict begin(const struct ticket &ticket, int64_t now = 0,
				uint64_t request = 1)
	{
		return once_begin(once, &ticket, request, now, &record);
	}
	void finish(const char *answer, int64_t now = 0)
	{
		once_finish(once, record, ONCE_OUTCOME_RAN, answer,
			    strlen(answer), now, &waiters);
	}

	struct once *once;
	struct once_record *record;
	struct cds_list_head waiters;
};
} // namespace

/* Guards against two text forms of one ticket, which could get two records. */
TEST(Ticket, ParsesOnlyCanonicalText)
{
	const char *good = "g1.h-1.00000000000000ff.1700000000000."
			   "000102030405060708090a0b0c0d0e0f";
	std::string text(good);
	struct ticket ticket;
	char again[TICKET_TEXT_MAX];

	ASSERT_TRUE(ticket_parse(&ticket, good));
	EXPECT_STREQ(ticket.host, "h-1");
	EXPECT_EQ(ticket.incarnation, 255u);
	EXPECT_EQ(ticket.expiry_wall_ms, 1700000000000);
	ticket_format(&ticket, again);
	EXPECT_STREQ(again, good);

	const std::pair<const char *, const char *> changes[] = {
		{ "g1.", "g2." },
		{ "g1.", "G1." },
		{ "h-1", "" },
		{ "h-1", "H1" },
		{ "h-1", "-h" },
		{ "h-1", "h_1" },
		{ "00ff", "00FF" },
		{ "00ff", "0ff" },
		{ "00ff.1", "00ff.01" },
		{ "00ff.1", "00ff.-1" },
		{ "00ff.1", "00ff. 1" },
		{ "00ff.1", "00ff.+1" },
		{ ".1700000000000.", ".." },
		{ ".1700000000000.", ".9223372036854775808." },
		{ "0e0f", "0e0" },
		{ "0e0f", "0e0f0" },
		{ "0e0f", "0e0f " },
		{ "0e0f", "0E0F" },
		{ "0e0f", "0e0f\n" },
	};
	for (auto &change : changes) {
		std::string bad = text;

		bad.replace(bad.find(change.first), strlen(change.first),
			    change.second);
		EXPECT_FALSE(ticket_parse(&ticket, bad.c_str())) << bad;
	}
	text.replace(text.find("h-1"), 3, std::string(64, 'h'));
	EXPECT_FALSE(ticket_parse(&ticket, text.c_str()));
	for (std::size_t i = 0; i < strlen(good); i++)
		EXPECT_FALSE(
			ticket_parse(&ticket, std::string(good, i).c_str()));
}

/* Guards against a buffer overflow by the longest ticket. */
TEST(Ticket, FormatsLongestTicket)
{
	struct ticket ticket = {}, parsed;
	char text[TICKET_TEXT_MAX];

	memset(ticket.host, 'z', TICKET_HOST_MAX);
	ticket.incarnation = UINT64_MAX;
	ticket.expiry_wall_ms = INT64_MAX;
	memset(ticket.random, 255, sizeof(ticket.random));
	ticket_format(&ticket, text);
	EXPECT_EQ(strlen(text) + 1, (std::size_t)TICKET_TEXT_MAX);
	ASSERT_TRUE(ticket_parse(&parsed, text));
	EXPECT_EQ(memcmp(&parsed, &ticket, sizeof(ticket)), 0);
}

/* Guards against a ticket accepted beyond its lifetime plus the slack. */
TEST_F(Once, RefusesExpiryTooFarAhead)
{
	struct ticket ticket = issue(1);

	ticket.expiry_wall_ms = 5000 + 1000 + 60000;
	EXPECT_EQ(begin(ticket), ONCE_RUN);
	finish("");
	ticket.expiry_wall_ms++;
	EXPECT_EQ(begin(ticket), ONCE_TOO_FAR);
	/* A new, shorter lifetime must not refuse tickets issued before. */
	once_set_ticket_life(once, 10);
	EXPECT_EQ(begin(ticket), ONCE_TOO_FAR);
	ticket.expiry_wall_ms -= 2;
	EXPECT_EQ(begin(ticket), ONCE_RUN);
	finish("");
}

/* Guards against a record that is dropped while its request is running. */
TEST_F(Once, KeepsRunningRecordBeyondExpiry)
{
	struct ticket ticket = issue(1);

	EXPECT_EQ(begin(ticket), ONCE_RUN);
	EXPECT_EQ(once_expire(once, 5000 * kMs), 0u);
	once_finish(once, record, ONCE_OUTCOME_UNKNOWN, NULL, 0, 5000 * kMs,
		    &waiters);
	EXPECT_EQ(begin(ticket, 5000 * kMs), ONCE_EXPIRED);
}

/* Guards against stored answers above the budget, or none within it. */
TEST_F(Once, DropsOldestAnswers)
{
	struct ticket a = issue(1), b = issue(2), c = issue(3);
	size_t len;

	EXPECT_EQ(begin(a), ONCE_RUN);
	finish("aaaaaa");
	EXPECT_EQ(begin(a), ONCE_REPLAY);
	EXPECT_EQ(begin(b), ONCE_RUN);
	finish("bbbbbb");
	EXPECT_EQ(begin(a), ONCE_RAN);
	EXPECT_EQ(begin(b), ONCE_REPLAY);
	const void *answer = once_answer(record, &len);
	EXPECT_EQ(std::string((const char *)answer, len), "bbbbbb");
	EXPECT_EQ(begin(c), ONCE_TABLE_FULL);
	EXPECT_TRUE(once_refuse(once, &c, 0));
	EXPECT_EQ(begin(c), ONCE_REFUSED);
}

/* Guards against an empty stored answer that is taken for none. */
TEST_F(Once, ReplaysEmptyAnswer)
{
	struct ticket ticket = issue(1);
	size_t len = 1;

	EXPECT_EQ(begin(ticket), ONCE_RUN);
	finish("");
	EXPECT_EQ(begin(ticket), ONCE_REPLAY);
	once_answer(record, &len);
	EXPECT_EQ(len, 0u);
	EXPECT_EQ(begin(ticket, 0, 2), ONCE_OTHER_REQUEST);
}

/* Guards against requests that run twice and wrong not-run answers. */
TEST(Fuzz, OnceModel)
{
	fuzzWorld<OnceModel>();
	std::printf("runs %ld, not-run %ld, replays %ld, unknown %ld\n",
		    OnceModel::nr_runs, OnceModel::nr_not_run,
		    OnceModel::nr_replays, OnceModel::nr_unknown);
}

TEST(Mutant, OnceModel)
{
	expectViolation<OnceModel>();
}

/* Guards against a model that does not detect the faults of a daemon. */
TEST(Misuse, IsDetected)
{
	for (Misuse misuse : { Misuse::LostIsNotRun, Misuse::IgnoresRefusal,
			       Misuse::SameIncarnation, Misuse::RefusesDrained,
			       Misuse::IgnoresDrain, Misuse::RetriesLost,
			       Misuse::AnswersOne }) {
		SCOPED_TRACE((int)misuse);
		expectViolation<OnceModel>(misuse);
	}
}
