#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "mesh/entry_judge.h"
}

namespace
{

const char *const ADDRESS = "10.0.0.1:80";

/* A daemon: the entries that it knows, by id, and what it judges them by. */
class Daemon
{
      public:
	Daemon()
	{
		config = mesh_config_new();
		mesh_config_add_service(config, "shop");
	}

	~Daemon()
	{
		entry_judge_free(judge);
		mesh_config_unref(config);
	}

	/* The store carries out a write. */
	enum entry_verdict write(const char *id, int64_t started_ms,
				 int64_t sequence)
	{
		struct mesh_target *target =
			make_target(id, started_ms, sequence);
		auto known = last.find(id);
		enum entry_verdict verdict =
			entry_judge_write(judge, config, target,
					  known == last.end() ? nullptr
							      : &known->second,
					  &rank);

		revision++;
		if (verdict == ENTRY_TAKEN || verdict == ENTRY_TAKEN_OVER)
			take(target);
		else if (verdict == ENTRY_OF_FORMER_BOOT)
			present.erase(id);
		mesh_target_unref(target);
		build();
		return verdict;
	}

	/* The store deletes an entry. */
	void remove(const char *id)
	{
		present.erase(id);
		build();
	}

	/* Another daemon holds an entry with a rank. */
	void hear(const char *id, int64_t started_ms, int64_t sequence,
		  int64_t held)
	{
		struct mesh_target *target =
			make_target(id, started_ms, sequence);

		entry_judge_learn(judge, target, held);
		take(target);
		mesh_target_unref(target);
		build();
	}

	/* The ids of the view. */
	std::string current;
	int64_t rank = 0; /* of the last write that was not just taken */

      private:
	struct mesh_target *make_target(const char *id, int64_t started_ms,
					int64_t sequence) const
	{
		struct mesh_target *target = g_new0(struct mesh_target, 1);

		target->refs = 1;
		target->id = g_strdup(id);
		target->service = g_strdup("shop");
		target->address = g_strdup(ADDRESS);
		target->ip = g_strdup("10.0.0.1");
		target->zone = g_strdup("z1");
		target->started_ms = started_ms;
		target->sequence = sequence;
		target->revision = revision;
		return target;
	}

	void take(const struct mesh_target *target)
	{
		struct entry_order order = { target->started_ms,
					     target->sequence };

		last[target->id] = order;
		present[target->id] = target->revision;
	}

	void build()
	{
		struct mesh_view *view = mesh_view_new(config);

		current = "";
		for (const auto &[id, at] : present) {
			struct mesh_target *target =
				make_target(id.c_str(), last[id].started_ms,
					    last[id].sequence);

			target->revision = at;
			g_ptr_array_add(view->targets, target);
		}
		boots_remove_former(entry_judge_boots(judge), view);
		for (guint i = 0; i < view->targets->len; i++)
			current += ((struct mesh_target *)
					    g_ptr_array_index(view->targets, i))
					   ->id;
		mesh_view_unref(view);
	}

	struct entry_judge *judge = entry_judge_new();
	struct mesh_config *config;
	int64_t revision = 100;
	std::map<std::string, int64_t> present;
	std::map<std::string, struct entry_order> last;
};

/* Guards against a late write of the same start, also once it has no entry. */
TEST(EntryJudge, RulesOutLateWritesOfTheSameStart)
{
	Daemon daemon;

	EXPECT_EQ(daemon.write("a", 1000, 7), ENTRY_TAKEN);
	EXPECT_EQ(daemon.write("a", 1000, 6), ENTRY_RULED_OUT);
	daemon.remove("a");
	EXPECT_EQ(daemon.write("a", 1000, 5), ENTRY_RULED_OUT);
	EXPECT_EQ(daemon.write("a", 1000, 7), ENTRY_RULED_OUT);
	EXPECT_EQ(daemon.write("a", 1000, 8), ENTRY_TAKEN);
}

/* Guards against a late write of an earlier start: its sequence is higher. */
TEST(EntryJudge, RulesOutLateWritesOfTheStartBefore)
{
	Daemon daemon;

	EXPECT_EQ(daemon.write("a", 1000, 7), ENTRY_TAKEN);
	EXPECT_EQ(daemon.write("a", 2000, 1), ENTRY_TAKEN);
	EXPECT_EQ(daemon.write("a", 1000, 8), ENTRY_RULED_OUT);
	EXPECT_EQ(daemon.write("a", 1000, 9), ENTRY_RULED_OUT);
	EXPECT_EQ(daemon.write("a", 2000, 2), ENTRY_TAKEN);
	EXPECT_EQ(daemon.write("a", 1000, 10), ENTRY_RULED_OUT);
}

/*
 * The time of day is set back between two starts under one id. Guards against a
 * server that is not used again, and against a late word of the former start
 * that it leaves.
 */
TEST(EntryJudge, TakesAStartThatGoesOnWritingInSpiteOfItsTime)
{
	Daemon daemon;

	EXPECT_EQ(daemon.write("a", 1000, 7), ENTRY_TAKEN);
	EXPECT_EQ(daemon.write("a", 500, 1), ENTRY_RULED_OUT);
	EXPECT_EQ(daemon.write("a", 500, 2), ENTRY_RULED_OUT);
	EXPECT_EQ(daemon.write("a", 500, 3), ENTRY_TAKEN_OVER);
	EXPECT_EQ(daemon.write("a", 1000, 8), ENTRY_RULED_OUT);
	EXPECT_EQ(daemon.write("a", 500, 4), ENTRY_TAKEN);
	/* The next start, with the right time again, is no doubt. */
	EXPECT_EQ(daemon.write("a", 9000, 1), ENTRY_TAKEN);
}

/*
 * Guards against daemons that disagree on such a start: one that learns of it
 * must not go back to the former one, or rank what it knows higher.
 */
TEST(EntryJudge, LearnsFromAnotherDaemonWhichStartIsPresent)
{
	Daemon daemon, other;

	for (Daemon *each : { &daemon, &other })
		each->write("a", 1000, 7);
	for (int64_t sequence : { 1, 2, 3 })
		daemon.write("a", 500, sequence);
	other.hear("a", 500, 3, daemon.rank);
	EXPECT_EQ(other.write("a", 1000, 8), ENTRY_RULED_OUT);
	EXPECT_EQ(daemon.write("a", 1000, 8), ENTRY_RULED_OUT);
	EXPECT_EQ(other.rank, daemon.rank);
	EXPECT_EQ(other.write("a", 500, 4), ENTRY_TAKEN);
}

/*
 * A crashed boot's write is carried out after its successor, under another id,
 * has registered. Guards against the crashed boot in its place, also after the
 * successor has left.
 */
TEST(EntryJudge, RulesOutLateWritesOfTheBootBefore)
{
	Daemon daemon;

	EXPECT_EQ(daemon.write("a", 1000, 7), ENTRY_TAKEN);
	EXPECT_EQ(daemon.write("b", 2000, 1), ENTRY_TAKEN);
	EXPECT_EQ(daemon.current, "b");
	EXPECT_EQ(daemon.write("a", 1000, 8), ENTRY_OF_FORMER_BOOT);
	EXPECT_EQ(daemon.current, "b");
	daemon.remove("b");
	EXPECT_EQ(daemon.current, "");
	EXPECT_EQ(daemon.write("a", 1000, 9), ENTRY_OF_FORMER_BOOT);
	EXPECT_EQ(daemon.current, "");
}

/*
 * The time of day is set back between two boots. Guards against a server that
 * is never used, and against a return of the boot before it.
 */
TEST(EntryJudge, TakesABootThatGoesOnWritingInSpiteOfItsTime)
{
	Daemon daemon, other;

	for (Daemon *each : { &daemon, &other })
		each->write("a", 1000, 7);
	EXPECT_EQ(daemon.write("b", 500, 1), ENTRY_OF_FORMER_BOOT);
	EXPECT_EQ(daemon.write("b", 500, 2), ENTRY_OF_FORMER_BOOT);
	EXPECT_EQ(daemon.write("b", 500, 3), ENTRY_OF_FORMER_BOOT);
	EXPECT_EQ(daemon.current, "a");
	/* The entry that is written no more expires. */
	daemon.remove("a");
	EXPECT_EQ(daemon.write("b", 500, 4), ENTRY_TAKEN_OVER);
	EXPECT_EQ(daemon.current, "b");
	other.hear("b", 500, 4, daemon.rank);
	EXPECT_EQ(other.current, "b");
	for (Daemon *each : { &daemon, &other }) {
		EXPECT_EQ(each->write("a", 1000, 8), ENTRY_OF_FORMER_BOOT);
		EXPECT_EQ(each->write("b", 500, 5), ENTRY_TAKEN);
		EXPECT_EQ(each->current, "b");
	}
}

} // namespace
