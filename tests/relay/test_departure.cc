#include "platform.h"

#include <unistd.h>

namespace
{

const int NR_HOSTS = 9;

/* A zone in which no daemon reads the store: there are two that do. */
int find_told_zone(Platform &in)
{
	bool has_reader[3] = {};

	for (int i = 0; i < NR_HOSTS; i++)
		has_reader[i % 3] |=
			in.dump_number(i, { "control", "reads_store" }) == 1;
	for (int zone = 0; zone < 3; zone++)
		if (!has_reader[zone])
			return zone;
	return -1;
}

/*
 * For 21 s nothing is published. Then the servers of a zone leave, and a
 * configuration is published. Guards against readers of the store that no
 * longer tell the news to the daemons beside these servers: they do so for 20 s
 * after a server has left, and took the time of the last view with it for the
 * time when it left.
 */
TEST(Departure, DaemonsOfServersThatLeftGetTheNextConfiguration)
{
	Platform in(NR_HOSTS, { "--service-ms", "2" }, true);
	int zone;

	in.start_all();
	usleep(21000000);
	zone = find_told_zone(in);
	ASSERT_GE(zone, 0);
	for (int i = zone; i < NR_HOSTS; i += 3) {
		/* They depend on what the others tell. */
		in.hosts[(size_t)i].store_proxy->set(Proxy::STALL_BOTH);
		in.delete_item("servers/" + in.hosts[(size_t)i].id);
	}
	/* What is published within 700 ms is told at once. */
	usleep(1500000);
	in.publish_config(2);
	EXPECT_TRUE(eventually([&] {
		return in.dump_number((zone + 1) % 3,
				      { "callers", "version" }) == 2;
	}));
	/* One that is not told notices it after a second, from its silence. */
	usleep(500000);
	for (int i = 0; i < NR_HOSTS; i++)
		EXPECT_EQ(in.dump_number(i, { "callers", "version" }), 2) << i;
}

} // namespace
