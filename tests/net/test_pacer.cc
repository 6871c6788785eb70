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

/* An output whose bytes enter the queue of a simulated link. */
struct output {
	struct net_paced paced; /* first member, cast by write_output() */
	struct link *link;
	bool blocked;
	int64_t done_at;
};

/* A simulated link that transmits bytes in the order of the writes. */
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

	void transmit(size_t bytes)
	{
		busy_until = MAX(busy_until, now) +
			     (int64_t)((double)bytes * NS_PER_SEC /
				       LINK_BYTES_PER_S);
	}

	/* The queueing delay of a short message that is written now. */
	int64_t queueing_delay_ns() const
	{
		return MAX(busy_until - now, 0);
	}

	/*
	 * Runs the timers up to the deadline and raises *max_delay to the
	 * longest queueing delay that was seen; max_delay may be NULL.
	 */
	void run(int64_t deadline, int64_t *max_delay)
	{
		while (timers_next(&timers) <= deadline) {
			now = MAX(now, timers_next(&timers));
			timers_run(&timers, now);
			if (max_delay)
				*max_delay =
					MAX(*max_delay, queueing_delay_ns());
		}
		now = deadline;
	}
};

size_t write_output(struct net_paced *paced, size_t bytes_max)
{
	struct output *output = (struct output *)paced;

	if (output->blocked)
		return 0;
	output->link->transmit(bytes_max);
	paced->bytes_left -= bytes_max;
	if (!paced->bytes_left)
		output->done_at = output->link->busy_until;
	return bytes_max;
}

void add(struct link &link, struct output &output, size_t bytes)
{
	output = {};
	output.link = &link;
	output.paced.write = write_output;
	output.paced.bytes_left = bytes;
	net_pacer_add(link.pacer, &output.paced, link.now);
}

} // namespace

/*
 * Guards against short messages waiting behind long responses. Without pacing,
 * eight simultaneous responses of 90 to 540 KB occupied a link of 15 Mbit/s for
 * more than a second, and requests written meanwhile missed their deadlines.
 */
TEST(Pacer, ShortMessagesOvertakeLongResponses)
{
	std::vector<struct output> outputs(8);
	int64_t max_delay = 0;
	struct link link;

	for (size_t i = 0; i < outputs.size(); i++)
		add(link, outputs[i], 90000 + i * 64000);
	link.run(link.now + 5 * NS_PER_SEC, &max_delay);
	EXPECT_LE(max_delay, 20 * NS_PER_MS);
	for (struct output &output : outputs)
		EXPECT_GT(output.done_at, 0);
}

/* Guards against a short download waiting for longer ones queued before it. */
TEST(Pacer, OutputWithFewestBytesLeftIsWrittenFirst)
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

/*
 * Shorter responses take the whole link for 5 s. Guards against a long response
 * of which no byte is written meanwhile: its reader takes the daemon for dead
 * after 2.5 s, and loses the requests that run there.
 */
TEST(Pacer, LongOutputGetsASliceEachSecond)
{
	std::vector<struct output> short_ones(250);
	struct output long_one;
	struct link link;
	int64_t written_at = link.now, gap = 0;

	add(link, long_one, 540000);
	for (struct output &short_one : short_ones) {
		size_t left = long_one.paced.bytes_left;

		add(link, short_one, 40000);
		link.run(link.now + 20 * NS_PER_MS, NULL);
		if (long_one.paced.bytes_left < left)
			written_at = link.now;
		gap = MAX(gap, link.now - written_at);
	}
	EXPECT_GT(long_one.paced.bytes_left, 0u);
	EXPECT_LE(gap, 1200 * NS_PER_MS);
	link.run(link.now + 10 * NS_PER_SEC, NULL);
	EXPECT_GT(long_one.done_at, 0);
}

/* Guards against a full socket that blocks the other outputs. */
TEST(Pacer, BlockedOutputIsRemovedFromQueue)
{
	struct output blocked, other;
	struct link link;

	add(link, blocked, 20000);
	blocked.blocked = true;
	add(link, other, 90000);
	link.run(link.now + NS_PER_SEC, NULL);
	EXPECT_FALSE(blocked.paced.queued);
	EXPECT_EQ(blocked.paced.bytes_left, 20000u);
	EXPECT_GT(other.done_at, 0);
	EXPECT_EQ(net_pacer_backlog(link.pacer), 0u);
}

/* Guards against pacing that ignores the bytes of unpaced messages. */
TEST(Pacer, UnpacedBytesDelayPacedOutput)
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
		link.transmit(1000);
		net_pacer_charge(link.pacer, 1000, link.now);
		link.run(link.now + NS_PER_MS, NULL);
	}
	link.run(link.now + NS_PER_SEC, NULL);
	EXPECT_GT(output.done_at - started, alone + 40 * NS_PER_MS);
	/* Paced and unpaced bytes together use 90% of the link. */
	EXPECT_LT(output.done_at - started, alone + 80 * NS_PER_MS);
}

/* Guards against lost or repeated bytes for any sizes and arrival times. */
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
		RC_ASSERT(!output.paced.bytes_left);
		RC_ASSERT(!output.paced.queued);
	}
	RC_ASSERT(!net_pacer_backlog(link.pacer));
}
