#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "mesh/spread.h"
}

namespace
{

struct Fleet {
	std::vector<std::string> ips, zones;
	std::set<std::string> failed;

	Fleet(int nr, int nr_zones)
	{
		for (int i = 0; i < nr; i++) {
			ips.push_back("10.0.0." + std::to_string(i));
			zones.push_back("z" + std::to_string(i % nr_zones));
		}
	}

	std::vector<std::string> targets(const std::string &own,
					 const std::string &root) const
	{
		std::vector<spread_member> members;
		std::vector<std::string> receivers;

		for (size_t i = 0; i < ips.size(); i++)
			members.push_back({ ips[i].c_str(), zones[i].c_str(),
					    failed.count(ips[i]) > 0, nullptr,
					    0 });
		spread_targets(
			members.data(), members.size(), own.c_str(),
			root.c_str(),
			[](spread_member *member, void *ctx) {
				((std::vector<std::string> *)ctx)
					->push_back(member->ip);
			},
			&receivers);
		return receivers;
	}

	/* How often each daemon receives a change that the root sends. */
	std::map<std::string, int> spread(const std::string &root) const
	{
		std::map<std::string, int> copies;
		std::deque<std::string> waiting = { root };

		while (!waiting.empty()) {
			std::string own = waiting.front();

			waiting.pop_front();
			for (const std::string &ip : targets(own, root))
				if (copies[ip]++ == 0 && !failed.count(ip))
					waiting.push_back(ip);
		}
		return copies;
	}
};

TEST(Spread, EachDaemonReceivesOneCopy)
{
	for (int nr : { 1, 2, 12, 76, 870 }) {
		Fleet fleet(nr, 9);

		for (const std::string &root :
		     { fleet.ips.front(), fleet.ips.back() }) {
			std::map<std::string, int> copies = fleet.spread(root);

			EXPECT_EQ(copies.size(), (size_t)nr - 1);
			EXPECT_EQ(copies.count(root), 0u);
			for (const auto &one : copies)
				EXPECT_EQ(one.second, 1) << one.first;
		}
	}
}

/* Guards against a reader that saturates its link with copies. */
TEST(Spread, NumberOfCopiesIsBounded)
{
	Fleet fleet(870, 9);

	for (const std::string &own : fleet.ips) {
		size_t most =
			own == fleet.ips[0] ? SPREAD_FANOUT + 8 : SPREAD_FANOUT;

		EXPECT_LE(fleet.targets(own, fleet.ips[0]).size(), most);
	}
}

/* Guards against a fault in a daemon that knows no members yet. */
TEST(Spread, EmptyMemberListSendsNothing)
{
	Fleet fleet(0, 1);

	EXPECT_TRUE(fleet.targets("10.0.0.1", "10.0.0.1").empty());
}

TEST(Spread, UnknownRootSendsNothing)
{
	Fleet fleet(12, 3);

	EXPECT_TRUE(fleet.targets(fleet.ips[1], "10.9.9.9").empty());
}

/* Guards against failed daemons that cut others off from the changes. */
RC_GTEST_PROP(Spread, ReachesAllBesideFailedDaemons, ())
{
	Fleet fleet(*rc::gen::inRange(2, 60), *rc::gen::inRange(1, 5));
	const std::string root = fleet.ips[0];
	std::map<std::string, int> copies;

	for (size_t i = 1; i < fleet.ips.size(); i++)
		if (*rc::gen::inRange(0, 3) == 0)
			fleet.failed.insert(fleet.ips[i]);
	copies = fleet.spread(root);
	for (const std::string &ip : fleet.ips)
		RC_ASSERT(ip == root || copies.count(ip) == 1);
}

} // namespace
