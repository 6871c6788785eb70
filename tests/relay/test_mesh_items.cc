#include <gtest/gtest.h>

extern "C" {
#include "base/clock.h"
#include "relay/mesh_control_internal.h"
}

namespace
{

const char *const KEY = "servers/i-1";

/* A daemon's replica of the published items, without a thread or peers. */
class Replica
{
      public:
	Replica()
	{
		host.backend_text = (char *)"10.0.0.9:80";
		control.host = &host;
		timers_init(&control.timers);
		control.feed = feed_new();
		control.targets = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free,
			(GDestroyNotify)mesh_target_unref);
		control.judge = entry_judge_new();
	}

	~Replica()
	{
		timers_cancel(&control.timers, &control.build_timer);
		feed_free(control.feed);
		g_hash_table_unref(control.targets);
		entry_judge_free(control.judge);
	}

	void write(int64_t revision, int sequence, bool after_all_changes)
	{
		g_autofree char *text = g_strdup_printf(
			"{\"service\":\"shop\",\"address\":\"10.0.0.1:80\","
			"\"zone\":\"z0\",\"resource_version\":\"v1\","
			"\"max_concurrency\":4,\"phase\":\"ready\","
			"\"warmup_left\":\"0ms\",\"sequence\":%d,\"born\":5}",
			sequence);
		g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));

		mesh_apply_write(&control, KEY, value, revision,
				 after_all_changes);
	}

	/* The revision after which other daemons are sent the entry. */
	int64_t changed() const
	{
		return feed_find(control.feed, KEY)->changed;
	}

      private:
	struct mesh_host host = {};
	struct mesh_control control = {};
};

/*
 * Guards against a daemon that has read a server's entry, deleted and written
 * again meanwhile, and keeps it from others that know of the deletion: they
 * would go on without the server.
 */
TEST(MeshItems, EntryOfAFullReadIsPassedOn)
{
	Replica replica;

	replica.write(100, 1, false);
	EXPECT_EQ(replica.changed(), 100);
	replica.write(120, 3, false);
	EXPECT_EQ(replica.changed(), 120);
}

/* Guards against the same by an entry that is older than the one known. */
TEST(MeshItems, LateEntryOfAFullReadIsPassedOn)
{
	Replica replica;

	replica.write(100, 5, false);
	replica.write(120, 4, false);
	EXPECT_EQ(replica.changed(), 120);
}

/* Guards against heartbeats that are sent to all daemons. */
TEST(MeshItems, HeartbeatIsNotPassedOn)
{
	Replica replica;

	replica.write(100, 1, false);
	replica.write(120, 2, true);
	EXPECT_EQ(replica.changed(), 100);
}

} // namespace
