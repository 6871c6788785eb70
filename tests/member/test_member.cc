#include <glib.h>
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "member/member.h"
}

namespace
{

struct ListFree {
	void operator()(host_list *list) const
	{
		host_list_unref(list);
	}
};
using List = std::unique_ptr<host_list, ListFree>;

/* Hosts h0, h1... in zones z0..z2 in turn; the first nr_leaving are leaving. */
List make_list(int64_t revision, size_t nr, size_t nr_leaving = 0)
{
	std::vector<std::string> names;
	std::vector<member_host> hosts;

	for (size_t i = 0; i < nr; i++)
		names.push_back("h" + std::to_string(i));
	for (size_t i = 0; i < nr; i++) {
		static const char *const zones[] = { "z0", "z1", "z2" };

		hosts.push_back({ names[i].c_str(), zones[i % 3], "r",
				  names[i].c_str(), i < nr_leaving, 0 });
	}
	return List(host_list_new(revision, hosts.data(), nr));
}

struct Member {
	::rng rng;
	::member *member;

	explicit Member(const std::string &host, const char *zone)
	{
		member_options options = {};

		rng_init(&rng, hash_string(host.c_str()));
		options.host = host.c_str();
		options.zone = zone;
		options.region = "r";
		options.control = host.c_str();
		options.rng = &rng;
		member = member_new(&options);
	}
	~Member()
	{
		member_free(member);
	}
};

} // namespace

/*
 * Guards against daemons that compute different ranks, so that a zone has no
 * reader of the source or more than the usual two.
 */
TEST(Member, RanksAgreeWithinZone)
{
	List list = make_list(1, 30);
	std::set<size_t> ranks;

	for (int i = 1; i < 30; i += 3) {
		Member m("h" + std::to_string(i), "z1");

		member_apply_list(m.member, list.get(), 0);
		ranks.insert(member_rank(m.member, 0));
		EXPECT_EQ(member_count_zone(m.member, 0), 10u);
	}
	EXPECT_EQ(ranks.size(), 10u);
	EXPECT_EQ(*ranks.rbegin(), 9u);
}

/* Guards against daemons that assign a version's parts to different members. */
TEST(Member, OrderAgrees)
{
	List list = make_list(1, 9);
	std::vector<std::string> first;

	for (int i = 0; i < 9; i++) {
		Member m("h" + std::to_string(i), i % 3 ? "z1" : "z0");
		std::vector<std::string> names;
		const member_host **order;
		size_t self, nr;

		member_apply_list(m.member, list.get(), 0);
		nr = member_order(m.member, 5, false, &order, &self, 0);
		for (size_t j = 0; j < nr; j++)
			names.push_back(order[j]->host);
		EXPECT_EQ(names.at(self), "h" + std::to_string(i));
		g_free(order);
		first = i ? first : names;
		EXPECT_EQ(names, first);
	}
}

/*
 * Guards against a suspicion after a single unanswered announcement, and
 * against one that does not end.
 */
TEST(Member, SuspicionNeedsTwoTimeoutsAndEnds)
{
	List list = make_list(1, 3);
	Member m("h0", "z0");

	member_apply_list(m.member, list.get(), 0);
	member_note_timeout(m.member, "h1", 0);
	EXPECT_FALSE(member_is_suspected(m.member, "h1", 0));
	member_note_message(m.member, "h1", 0);
	member_note_timeout(m.member, "h1", 0);
	EXPECT_FALSE(member_is_suspected(m.member, "h1", 0));
	member_note_timeout(m.member, "h1", 0);
	EXPECT_TRUE(member_is_suspected(m.member, "h1", 0));
	EXPECT_EQ(member_count_peers(m.member, 0), 1u);
	EXPECT_FALSE(member_is_suspected(m.member, "h1", 15 * NS_PER_SEC));
	for (int i = 0; i < 2; i++)
		member_note_timeout(m.member, "h1", 20 * NS_PER_SEC);
	EXPECT_TRUE(member_is_suspected(m.member, "h1", 21 * NS_PER_SEC));
	member_note_message(m.member, "h1", 21 * NS_PER_SEC);
	EXPECT_FALSE(member_is_suspected(m.member, "h1", 21 * NS_PER_SEC));
}

/*
 * Guards against a lagging copy of the list that replaces a newer one, and
 * against a reset service whose lists are ignored for ever.
 */
TEST(Member, LaggingListIsIgnoredUntilItPersists)
{
	List newer = make_list(9, 6), older = make_list(2, 3);
	Member m("h0", "z0");

	EXPECT_TRUE(member_apply_list(m.member, newer.get(), 0));
	EXPECT_FALSE(member_apply_list(m.member, older.get(), 0));
	EXPECT_TRUE(member_apply_list(m.member, newer.get(), 0));
	EXPECT_FALSE(member_apply_list(m.member, older.get(), 0));
	EXPECT_FALSE(member_apply_list(m.member, older.get(), 0));
	EXPECT_EQ(member_count_peers(m.member, 0), 5u);
	EXPECT_TRUE(member_apply_list(m.member, older.get(), 0));
	EXPECT_EQ(member_count_peers(m.member, 0), 2u);
}

/* Guards against a sample with the own host, leaving hosts or duplicates. */
TEST(Member, SamplesOnlyDistinctLivePeers)
{
	List list = make_list(1, 12, 2);
	Member m("h3", "z0");
	const member_host *hosts[20];
	std::set<std::string> all;

	member_apply_list(m.member, list.get(), 0);
	for (int i = 0; i < 300; i++) {
		size_t nr =
			member_sample(m.member, MEMBER_ANY_ZONE, 3, hosts, 0);
		std::set<std::string> names;

		for (size_t j = 0; j < nr; j++)
			names.insert(hosts[j]->host);
		EXPECT_EQ(names.size(), 3u);
		all.insert(names.begin(), names.end());
	}
	EXPECT_EQ(all.size(), 9u);
	EXPECT_EQ(all.count("h0") + all.count("h1") + all.count("h3"), 0u);
	EXPECT_EQ(member_sample(m.member, MEMBER_OWN_ZONE, 20, hosts, 0), 2u);
	EXPECT_EQ(member_sample(m.member, MEMBER_OTHER_ZONE, 20, hosts, 0), 7u);
	EXPECT_EQ(member_sample(m.member, MEMBER_SUSPECTED, 20, hosts, 0), 0u);
}

/* Guards against a daemon without a rank because the list lags behind. */
TEST(Member, OwnHostIsAlwaysMember)
{
	List list = make_list(1, 3);
	Member m("new", "z0");

	EXPECT_EQ(member_rank(m.member, 0), 0u);
	member_apply_list(m.member, list.get(), 0);
	EXPECT_EQ(member_count_zone(m.member, 0), 2u);
	EXPECT_LT(member_rank(m.member, 0), 2u);
}

/* Guards against an invalid list that is accepted. */
TEST(Member, ParseRefusesBadLists)
{
	const std::string good =
		R"({"host":"a","zone":"z","region":"r","control":"c",)"
		R"("state":"live"})";
	const std::string bad[] = {
		"",
		"[]",
		R"({"hosts":[]})",
		R"({"revision":1,"hosts":{}})",
		R"({"revision":1,"revision":2,"hosts":[]})",
		R"({"revision":1,"hosts":[{}]})",
		R"({"revision":1,"hosts":[)" + good + "," + good + "]}",
		R"({"revision":1,"hosts":[{"host":"A b","zone":"z",)"
		R"("region":"r","control":"c","state":"live"}]})",
		R"({"revision":1,"hosts":[{"host":"a","zone":"z",)"
		R"("region":"r","control":"c","state":"dead"}]})",
	};
	const std::string text = R"({"revision":1,"hosts":[)" + good + "]}";
	findings found;

	findings_init(&found);
	EXPECT_TRUE(List(host_list_parse(text.data(), text.size(), &found)));
	EXPECT_EQ(found.nr_errors, 0u);
	for (const std::string &list : bad) {
		EXPECT_FALSE(
			List(host_list_parse(list.data(), list.size(), &found)))
			<< list;
		EXPECT_GT(found.nr_errors, 0u) << list;
		findings_release(&found);
	}
}
