#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "mesh/feed.h"
#include "mesh/position.h"
}

namespace
{

struct Feed {
	struct feed *feed = feed_new();

	~Feed()
	{
		feed_free(feed);
	}

	bool write(const std::string &key, const std::string &value,
		   int64_t revision, bool is_change = true)
	{
		g_autoptr(GBytes) bytes =
			g_bytes_new(value.data(), value.size());

		return feed_write(feed, key.c_str(), bytes, revision,
				  is_change);
	}

	bool hold(const std::string &key, int64_t revision, int64_t rank,
		  int64_t deadline = DEADLINE_NEVER)
	{
		return feed_hold(feed, key.c_str(), revision, rank, deadline);
	}

	std::map<std::string, std::string> items(int64_t after = 0)
	{
		std::map<std::string, std::string> found;

		feed_each_after(
			feed, after,
			[](const struct feed_item *item, void *ctx) {
				auto *map =
					(std::map<std::string, std::string> *)
						ctx;
				gsize len = 0;
				const char *data =
					item->value
						? (const char *)
							  g_bytes_get_data(
								  item->value,
								  &len)
						: "-";

				(*map)[item->key] =
					item->value ? std::string(data, len)
						    : "-";
			},
			&found);
		return found;
	}
};

/* Guards against an older write that replaces a newer one. */
TEST(Feed, IgnoresOlderRevisions)
{
	Feed in;

	EXPECT_TRUE(in.write("a", "new", 5));
	EXPECT_FALSE(in.write("a", "old", 4));
	EXPECT_FALSE(in.write("a", "same", 5));
	EXPECT_FALSE(feed_delete(in.feed, "a", 3, 0));
	EXPECT_EQ(in.items()["a"], "new");
	feed_advance(in.feed, 9);
	feed_advance(in.feed, 7);
	EXPECT_EQ(feed_revision(in.feed), 9);
}

/* Guards against a delayed older write that restores a deleted item. */
TEST(Feed, DeletedItemStaysDeleted)
{
	Feed in;

	EXPECT_TRUE(feed_delete(in.feed, "a", 7, 0));
	EXPECT_FALSE(in.write("a", "old", 6));
	EXPECT_EQ(in.items()["a"], "-");
	EXPECT_TRUE(in.write("a", "again", 8));
	EXPECT_EQ(in.items()["a"], "again");
}

/*
 * An entry that expired while the store was unreachable keeps its value until
 * the deadline, and a new write cancels the deletion.
 */
TEST(Feed, WriteCancelsPendingDeletion)
{
	Feed in;

	in.write("a", "1", 1);
	in.write("b", "1", 2);
	EXPECT_TRUE(feed_delete(in.feed, "a", 3, 100));
	EXPECT_TRUE(feed_delete(in.feed, "b", 4, 100));
	EXPECT_FALSE(feed_has_value(in.feed, "a"));
	EXPECT_FALSE(feed_expire(in.feed, 99));
	EXPECT_EQ(in.items()["a"], "1");
	EXPECT_TRUE(in.write("a", "2", 5));
	EXPECT_EQ(feed_next_expiry(in.feed), 100);
	EXPECT_TRUE(feed_expire(in.feed, 100));
	EXPECT_EQ(in.items()["a"], "2");
	EXPECT_EQ(in.items()["b"], "-");
	EXPECT_EQ(feed_next_expiry(in.feed), DEADLINE_NEVER);
}

/*
 * Guards against items that stay after a full read without them, and
 * against the deletion of items that are newer than the read.
 */
TEST(Feed, CompleteReadDeletesMissingItems)
{
	g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
	Feed in;

	in.write("s/kept", "1", 1);
	in.write("s/gone", "1", 2);
	in.write("s/newer", "1", 9);
	in.write("o/other", "1", 3);
	g_hash_table_add(keys, (gpointer) "s/kept");
	EXPECT_TRUE(feed_delete_missing(in.feed, "s/", keys, 5, 0));
	feed_expire(in.feed, 1);
	EXPECT_EQ(in.items()["s/kept"], "1");
	EXPECT_EQ(in.items()["s/gone"], "-");
	EXPECT_EQ(in.items()["s/newer"], "1");
	EXPECT_EQ(in.items()["o/other"], "1");
}

/* Guards against heartbeats that make daemons send all entries each second. */
TEST(Feed, HeartbeatsAreNotForwarded)
{
	Feed in;

	in.write("a", "1", 1);
	in.write("a", "1 beat", 2, false);
	EXPECT_TRUE(in.items(1).empty());
	in.write("a", "2", 3);
	EXPECT_EQ(in.items(1)["a"], "2");
}

/* Guards against an era that is compared after the revision. */
TEST(Position, EraComesBeforeRevision)
{
	int64_t last = position_pack(1, POSITION_REVISION_MAX);

	EXPECT_LT(last, position_pack(2, 0));
	EXPECT_EQ(position_pack(0, 77), 77);
	EXPECT_EQ(position_era(last), 1);
	EXPECT_EQ(position_revision(last), POSITION_REVISION_MAX);
	EXPECT_GT(position_pack(POSITION_ERA_MAX, POSITION_REVISION_MAX), 0);
	EXPECT_FALSE(position_has_room(POSITION_REVISION_MAX + 1));
	EXPECT_FALSE(position_has_room(-1));
}

/*
 * Guards against an item of a restored copy that replaces what is held in its
 * place, and against a held item that replaces what was written later.
 */
TEST(Feed, HeldItemReplacesThatOfTheSameRevisionOnly)
{
	Feed in;

	in.write("a", "known", 5);
	EXPECT_TRUE(in.hold("a", 7, 3));
	EXPECT_FALSE(in.write("a", "copy", 7));
	EXPECT_FALSE(in.hold("a", 7, 2));
	EXPECT_TRUE(feed_is_newer_held(in.feed, "a", 7, 4));
	EXPECT_EQ(in.items(6)["a"], "known");
	EXPECT_TRUE(in.write("a", "written", 8));
	EXPECT_FALSE(in.hold("a", 7, 9));
	EXPECT_EQ(in.items()["a"], "written");
}

/*
 * Guards against a daemon that knows a deleted server only by its deletion, and
 * passes that on as one that takes effect at once.
 */
TEST(Feed, DeletionOfAnUnknownItemKeepsItsHold)
{
	const int64_t ms = NS_PER_MS;
	Feed in;

	EXPECT_TRUE(feed_delete(in.feed, "a", 3, 100 * ms));
	EXPECT_EQ(feed_hold_left(feed_find(in.feed, "a"), 40 * ms), 60 * ms);
	EXPECT_EQ(feed_hold_left(feed_find(in.feed, "a"), 200 * ms), 0);
	/* The same once the value of a known item has been dropped. */
	EXPECT_TRUE(in.write("b", "x", 4));
	EXPECT_TRUE(feed_delete(in.feed, "b", 5, 100 * ms));
	EXPECT_EQ(feed_hold_left(feed_find(in.feed, "b"), 40 * ms), 60 * ms);
	EXPECT_TRUE(feed_expire(in.feed, 100 * ms));
	EXPECT_EQ(feed_hold_left(feed_find(in.feed, "b"), 100 * ms), 0);
	/* An item that is there has none. */
	EXPECT_TRUE(in.write("b", "x", 6));
	EXPECT_EQ(feed_hold_left(feed_find(in.feed, "b"), 50 * ms), 0);
}

/* Guards against daemons that do not notice that they hold different items. */
TEST(Feed, DigestTellsHeldItemsApart)
{
	Feed one, other;

	one.write("a", "1", 1);
	EXPECT_EQ(feed_held_digest(one.feed), 0u);
	one.hold("a", 5, 1);
	one.hold("b", 5, 2);
	other.hold("b", 5, 2);
	EXPECT_NE(feed_held_digest(one.feed), feed_held_digest(other.feed));
	other.hold("a", 5, 1);
	EXPECT_EQ(feed_held_digest(one.feed), feed_held_digest(other.feed));
	one.write("a", "2", 6);
	one.write("b", "2", 7);
	EXPECT_EQ(feed_held_digest(one.feed), 0u);
}

/* Guards against a held item that never ends, or whose last value is lost. */
TEST(Feed, HeldItemEndsAtItsDeadline)
{
	Feed in;

	in.write("a", "1", 1);
	EXPECT_TRUE(in.hold("a", 5, 1, 100));
	EXPECT_FALSE(feed_expire(in.feed, 99));
	EXPECT_TRUE(feed_expire(in.feed, 100));
	EXPECT_EQ(in.items()["a"], "-");
	ASSERT_NE(feed_find(in.feed, "a")->last, nullptr);
	in.write("a", "2", 6);
	EXPECT_EQ(feed_find(in.feed, "a")->last, nullptr);
	in.write("a", "", 7);
	ASSERT_NE(feed_find(in.feed, "a")->last, nullptr);
}

/*
 * Changes sent by several peers arrive twice and in any order. Guards against
 * replicas that differ afterwards.
 */
RC_GTEST_PROP(Feed, OrderOfChangesDoesNotMatter, ())
{
	struct change {
		std::string key;
		bool deleted;
		int64_t revision;
	};
	std::vector<change> changes;
	Feed ordered, mixed;
	int nr = *rc::gen::inRange(1, 40);

	for (int i = 0; i < nr; i++)
		changes.push_back({ std::to_string(*rc::gen::inRange(0, 6)),
				    *rc::gen::arbitrary<bool>(), i + 1 });
	auto apply = [](Feed &feed, const change &change) {
		if (change.deleted)
			feed_delete(feed.feed, change.key.c_str(),
				    change.revision, 0);
		else
			feed.write(change.key, std::to_string(change.revision),
				   change.revision);
		feed_expire(feed.feed, 1);
	};
	for (const change &change : changes)
		apply(ordered, change);
	for (int i = 0; i < 3 * nr; i++)
		apply(mixed, changes[(size_t)*rc::gen::inRange(0, nr)]);
	for (int i = nr; i-- > 0;)
		apply(mixed, changes[(size_t)i]);
	RC_ASSERT(ordered.items() == mixed.items());
}

} // namespace
