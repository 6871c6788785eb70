#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C" {
#include "mesh/boots.h"
}

namespace
{

/* Addresses with several registrations, as the daemon's views show them. */
class Registrations
{
      public:
	Registrations()
	{
		config = mesh_config_new();
		mesh_config_add_service(config, "shop");
		mesh_config_add_service(config, "docs");
	}

	~Registrations()
	{
		boots_free(boots);
		mesh_config_unref(config);
	}

	void put(const std::string &id, int64_t revision,
		 const std::string &service = "shop",
		 const std::string &address = "10.0.0.1:80",
		 int64_t started_ms = 0)
	{
		remove(id);
		entries.insert({ id, revision, service, address, started_ms });
	}

	/* A registration of the usual service and address. */
	void put_start(const std::string &id, int64_t revision,
		       int64_t started_ms)
	{
		put(id, revision, "shop", "10.0.0.1:80", started_ms);
	}

	void remove(const std::string &id)
	{
		for (auto at = entries.begin(); at != entries.end(); ++at) {
			if (at->id == id) {
				entries.erase(at);
				return;
			}
		}
	}

	/* The ids that a view has after former boots were removed. */
	std::string current()
	{
		struct mesh_view *view = mesh_view_new(config);
		std::set<std::string> ids;
		std::string text;

		for (const Entry &entry : entries)
			g_ptr_array_add(view->targets, make_target(entry));
		boots_remove_former(boots, view);
		for (guint i = 0; i < view->targets->len; i++)
			ids.insert(((struct mesh_target *)
					    g_ptr_array_index(view->targets, i))
					   ->id);
		for (const std::string &id : ids)
			text += id + " ";
		mesh_view_unref(view);
		return text;
	}

	struct boots *boots = boots_new();

      private:
	struct Entry {
		std::string id;
		int64_t revision;
		std::string service, address;
		int64_t started_ms;

		bool operator<(const Entry &other) const
		{
			return id < other.id;
		}
	};

	static struct mesh_target *make_target(const Entry &entry)
	{
		struct mesh_target *target = g_new0(struct mesh_target, 1);

		target->refs = 1;
		target->id = g_strdup(entry.id.c_str());
		target->service = g_strdup(entry.service.c_str());
		target->address = g_strdup(entry.address.c_str());
		target->ip = g_strdup("10.0.0.1");
		target->zone = g_strdup("z1");
		target->revision = entry.revision;
		target->started_ms = entry.started_ms;
		return target;
	}

	struct mesh_config *config;
	std::set<Entry> entries;
};

/* Guards against a crashed boot that counts beside its successor. */
TEST(Boots, OnlyTheLatestRegistrationOfAnAddressCounts)
{
	Registrations in;

	in.put("a", 5);
	in.put("b", 9);
	in.put("other", 1, "shop", "10.0.0.2:80");
	EXPECT_EQ(in.current(), "b other ");
	/* The address went to another service. */
	in.put("c", 12, "docs");
	EXPECT_EQ(in.current(), "c other ");
}

/*
 * A server that is leaving is deleted before the entry of the boot that crashed
 * expires. Guards against the latter counting again.
 */
TEST(Boots, FormerBootDoesNotComeBack)
{
	Registrations in;

	in.put("crashed", 5);
	in.put("leaving", 9);
	EXPECT_EQ(in.current(), "leaving ");
	in.remove("leaving");
	EXPECT_EQ(in.current(), "");
	EXPECT_EQ(in.current(), "");
	/* A boot that registers after that does count. */
	in.put("next", 11);
	EXPECT_EQ(in.current(), "next ");
	/* One that writes its entry again is alive. */
	in.put("crashed", 15);
	EXPECT_EQ(in.current(), "crashed ");
}

/*
 * The store carries out a write of a crashed boot after its successor has
 * registered. Guards against the crashed boot in place of the present one.
 */
TEST(Boots, LateWriteOfAFormerBootChangesNothing)
{
	Registrations in;

	in.put_start("crashed", 5, 100);
	EXPECT_EQ(in.current(), "crashed ");
	in.put_start("present", 9, 200);
	EXPECT_EQ(in.current(), "present ");
	in.put_start("crashed", 12, 100);
	EXPECT_EQ(in.current(), "present ");
	/* Nor does another one, when the present boot has left. */
	in.remove("present");
	EXPECT_EQ(in.current(), "");
	in.put_start("crashed", 15, 100);
	EXPECT_EQ(in.current(), "");
}

/*
 * A daemon starts after the late write of a crashed boot. Guards against a
 * daemon that takes the order of the store's revisions for that of the boots.
 */
TEST(Boots, LateWriteIsOfAFormerBootForADaemonThatStarts)
{
	for (const char *crashed : { "a", "z" }) {
		Registrations in;

		in.put_start(crashed, 12, 100);
		in.put_start("present", 9, 200);
		EXPECT_EQ(in.current(), "present ");
	}
}

/* Guards against an entry of another writer that hides a server. */
TEST(Boots, EntryOfAnUnknownServiceSupersedesNothing)
{
	Registrations in;

	in.put("a", 5);
	in.put("odd", 9, "unknown");
	EXPECT_EQ(in.current(), "a odd ");
	in.remove("odd");
	EXPECT_EQ(in.current(), "a ");
}

/*
 * Guards against a late write of a former boot that counts after the present
 * one has left, and against memory that grows with each address ever in use.
 */
TEST(Boots, AddressesWithoutARegistrationAreKeptUpToALimit)
{
	const int limit = 4096;
	struct mesh_target former = {};
	Registrations in;

	former.id = (char *)"former";
	former.address = (char *)"10.0.0.1:80";
	in.put("a", 5);
	EXPECT_EQ(in.current(), "a ");
	in.remove("a");
	EXPECT_EQ(in.current(), "");
	EXPECT_TRUE(boots_is_former(in.boots, &former));
	for (int i = 1; i < limit; i++)
		in.put("b" + std::to_string(i), 9, "shop",
		       "10.0.0.2:" + std::to_string(i));
	in.current();
	EXPECT_TRUE(boots_is_former(in.boots, &former));
	in.put("c", 10, "shop", "10.0.0.3:80");
	in.current();
	EXPECT_FALSE(boots_is_former(in.boots, &former));
}

} // namespace
