#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

extern "C" {
#include "base/clock.h"
#include "net/pacer.h"
}

namespace
{

const double LINK_BYTES_PER_S = 15e6 / 8;

/* An output whose bytes enter the queue of a link that is simulated. */
struct output {
	struct net_paced paced; /* first: callbacks cast back */
	struct link *link;
	bool blocked;
	int64_t done_at;
};

/* A link that carries bytes in the order of the writes. */
struct link {
	int64_t now = NS_PER_SEC;
	int64_t busy_until = 0;
	struct timers timers;
	struct net_pacer *pacer;

	link()
	{
		timers_init(&timers);
		struct net_pacer_options options = {};

		options.timers = &timers;
		options.bytes_per_s = LINK_BYTES_PER_S;
		pacer = net_pacer_new(&options, now);
	}

	~link()
	{
		net_pacer_free(pacer);
		timers_release(&timers);
	}

	void carry(size_t bytes)
	{
		busy_until = MAX(busy_until, now) +
			     (int64_t)((double)bytes * NS_PER_SEC /
				       LINK_BYTES_PER_S);
	}

	/* How long a short message that is written now waits. */
	int64_t wait_ns() const
	{
		return MAX(busy_until - now, 0);
	}

	/* Lets time pass until nothing waits, or until the deadline. */
	void run(int64_t deadline, int64_t *longest_wait)
	{
		while (timers_next(&timers) <= deadline) {
			now = MAX(now, timers_next(&timers));
			timers_run(&timers, now);
			if (longest_wait)
				*longest_wait = MAX(*longest_wait, wait_ns());
		}
		now = deadline;
	}
};

size_t write_output(struct net_paced *paced, size_t bytes_max)
{
	struct output *output = (struct output *)paced;

	if (output->blocked)
		return 0;
	output->link->carry(bytes_max);
	paced->left -= bytes_max;
	if (!paced->left)
		output->done_at = output->link->busy_until;
	return bytes_max;
}

void add(struct link &link, struct output &output, size_t bytes)
{
	output = {};
	output.link = &link;
	output.paced.write = write_output;
	output.paced.left = bytes;
	net_pacer_add(link.pacer, &output.paced, link.now);
}

} // namespace

/*
 * Guards against short messages that wait behind long answers: eight answers of
 * 90 to 540 KB at once on 15 Mbit/s took the link for more than a second, and
 * requests that were written meanwhile came too late.
 */
TEST(Pacer, ShortMessagesPassBurstOfLongAnswers)
{
	std::vector<struct output> outputs(8);
	int64_t longest_wait = 0;
	struct link link;

	for (size_t i = 0; i < outputs.size(); i++)
		add(link, outputs[i], 90000 + i * 64000);
	link.run(link.now + 5 * NS_PER_SEC, &longest_wait);
	EXPECT_LE(longest_wait, 20 * NS_PER_MS);
	for (struct output &output : outputs)
		EXPECT_GT(output.done_at, 0);
}

/* Guards against a short download that is held up by longer ones before it. */
TEST(Pacer, ShortestRemainderComesFirst)
{
	struct output long_one, short_one;
	struct link link;

	add(link, long_one, 540000);
	link.run(link.now + 50 * NS_PER_MS, NULL);
	add(link, short_one, 30000);
	link.run(link.now + 2 * NS_PER_SEC, NULL);
	EXPECT_LT(short_one.done_at, long_one.done_at);
	EXPECT_GT(long_one.done_at, 0);
}

/* Guards against a socket that takes nothing and stops the others. */
TEST(Pacer, BlockedOutputLeavesTheTurn)
{
	struct output blocked, other;
	struct link link;

	add(link, blocked, 20000);
	blocked.blocked = true;
	add(link, other, 90000);
	link.run(link.now + NS_PER_SEC, NULL);
	EXPECT_FALSE(blocked.paced.waiting);
	EXPECT_EQ(blocked.paced.left, 20000u);
	EXPECT_GT(other.done_at, 0);
	EXPECT_EQ(net_pacer_backlog(link.pacer), 0u);
}

/* Guards against paced output that ignores what was written beside it. */
TEST(Pacer, LeavesRoomForShortMessages)
{
	struct output output;
	int64_t started, alone;

	{
		struct link link;

		started = link.now;
		add(link, output, 200000);
		link.run(link.now + NS_PER_SEC, NULL);
		alone = output.done_at - started;
	}
	struct link link;

	started = link.now;
	add(link, output, 200000);
	for (int i = 0; i < 100; i++) {
		link.carry(1000);
		net_pacer_charge(link.pacer, 1000, link.now);
		link.run(link.now + NS_PER_MS, NULL);
	}
	link.run(link.now + NS_PER_SEC, NULL);
	EXPECT_GT(output.done_at - started, alone + 40 * NS_PER_MS);
	/* All is carried at 90% of the link. */
	EXPECT_LT(output.done_at - started, alone + 80 * NS_PER_MS);
}

/* Guards against bytes that are lost or written twice in any order of events.
 */
RC_GTEST_PROP(Pacer, WritesEverythingOnce, ())
{
	const auto sizes = *rc::gen::container<std::vector<size_t>>(
		rc::gen::inRange<size_t>(1, 600000));
	std::vector<struct output> outputs(sizes.size());
	struct link link;

	for (size_t i = 0; i < sizes.size(); i++) {
		add(link, outputs[i], sizes[i]);
		link.run(link.now +
				 *rc::gen::inRange<int64_t>(0, 50) * NS_PER_MS,
			 NULL);
	}
	link.run(link.now + 600 * NS_PER_SEC, NULL);
	for (struct output &output : outputs) {
		RC_ASSERT(!output.paced.left);
		RC_ASSERT(!output.paced.waiting);
	}
	RC_ASSERT(!net_pacer_backlog(link.pacer));
}
