#include "platform.h"

#include <string>
#include <thread>
#include <unistd.h>

namespace
{

/* Host 3 sends; hosts 0 and 6 have the servers in its zone. */
const int SENDER = 3, QUICK = 0, SLOW = 6;

/* Sends requests by four callers at a time; returns how many were answered. */
int send_requests(Platform &in, int nr_each)
{
	std::vector<std::thread> callers;
	int answered[4] = {};

	for (int i = 0; i < 4; i++)
		callers.emplace_back([&in, &answered, nr_each, i] {
			for (int j = 0; j < nr_each; j++) {
				std::string id = "p" + std::to_string(i) + "-" +
						 std::to_string(j);

				answered[i] +=
					in.send_with_id(id, SENDER, "GET",
							"/stock/1", "", 3000)
						.status == 200;
			}
		});
	for (std::thread &caller : callers)
		caller.join();
	return answered[0] + answered[1] + answered[2] + answered[3];
}

/*
 * One of two servers takes four times as long and says so. Guards against load
 * reports that do not reach the sender, or do not decide.
 */
TEST(Placement, ReportsOfASlowServerReachTheSender)
{
	Platform in(7, { "--service-ms", "20" });
	std::string metrics;

	in.start_all();
	in.fault(SLOW, "pace&ms=400");
	EXPECT_EQ(send_requests(in, 40), 160);
	EXPECT_LT(in.runs(SLOW) * 2, in.runs(QUICK));
	EXPECT_GT(in.dump_number(SENDER,
				 { "callers", "placement", "by_estimate" }),
		  100);
	/* The pace explains its run times, so the work is still 20 ms. */
	EXPECT_NEAR(in.dump_number(SENDER, { "callers", "placement", "routes",
					     "stock", "work_us" }),
		    20000, 15000);
	EXPECT_EQ(in.dump_number(QUICK, { "backend", "load", "work_us" }), 0);
	metrics = call(in.hosts[SENDER].operators, "GET", "/metrics").body;
	EXPECT_NE(metrics.find("godwitspur_placements_total{by=\"load\"}"),
		  std::string::npos);
	EXPECT_NE(metrics.find("godwitspur_placement_ratio_count"),
		  std::string::npos);
	EXPECT_EQ(metrics.find("godwitspur_placement_ratio_count 0\n"),
		  std::string::npos);
}

/* Guards against malformed reports that decide, or fail requests. */
TEST(Placement, MalformedReportsAreIgnored)
{
	Platform in(7, { "--service-ms", "5" });
	json_int_t decided;

	in.start_all();
	for (int host : { 0, 1, 2, 4, 5, 6 })
		in.fault(host, "bad-load");
	/* Until the last correct report of each server is too old. */
	usleep(16000000);
	EXPECT_EQ(send_requests(in, 5), 20);
	decided = in.dump_number(SENDER,
				 { "callers", "placement", "by_estimate" });
	EXPECT_EQ(send_requests(in, 10), 40);
	EXPECT_EQ(in.dump_number(SENDER,
				 { "callers", "placement", "by_estimate" }),
		  decided);
	EXPECT_GT(in.dump_number(QUICK, { "backend", "load", "malformed" }), 0);
}

} // namespace
