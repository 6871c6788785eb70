#include <thread>

#include "support/standin.hh"

static const std::string key = "/v1/values/part/abc";

static Answer publish(const Standin &source, const std::string &value)
{
	return call(source.control, "PUT", "/values/part/abc", "", value);
}

/* Guards against reads that differ from the last write or its revision. */
TEST(Source, ReadsLastWriteWithItsRevision)
{
	Standin source(STANDIN_SOURCE);
	Answer answer = call(source.address, "GET", key);

	EXPECT_EQ(answer.status, 404);
	EXPECT_EQ(answer.revision, "0");
	publish(source, "one");
	call(source.control, "PUT", "/values/manifest", "", "m");
	answer = call(source.address, "GET", key);
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body, "one");
	EXPECT_EQ(answer.revision, "1");
	EXPECT_EQ(call(source.address, "GET", "/v1/values/manifest").revision,
		  "2");
	call(source.control, "DELETE", "/values/part/abc");
	answer = call(source.address, "GET", key);
	EXPECT_EQ(answer.status, 404);
	EXPECT_EQ(answer.revision, "3");
}

/* Guards against writes and faults through the read address. */
TEST(Source, RefusesWritesOnTheReadAddress)
{
	Standin source(STANDIN_SOURCE);

	publish(source, "one");
	for (const char *method : { "PUT", "POST", "DELETE" })
		EXPECT_EQ(call(source.address, method, key).status, 405);
	EXPECT_EQ(call(source.address, "POST", "/fault?mode=outage").status,
		  405);
	EXPECT_EQ(call(source.address, "GET", key).body, "one");
}

/* Guards against accepting keys and numbers that a real source refuses. */
TEST(Source, RefusesBadKeysAndNumbers)
{
	Standin source(STANDIN_SOURCE);

	for (const char *target :
	     { "/v1/values/", "/v1/values/a/b/c", "/v1/values/a/",
	       "/v1/values//a", "/v1/values/a%20b", "/other",
	       "/v1/values/a?after=x", "/v1/values/a?after=-1",
	       "/v1/values/a?after=0&wait_ms=60001" })
		EXPECT_EQ(call(source.address, "GET", target).status, 400)
			<< target;
}

/* Guards against values above 1 MB, which the real source refuses. */
TEST(Source, LimitsTheSizeOfValues)
{
	Standin source(STANDIN_SOURCE);
	std::string largest(1048576, 'x');

	EXPECT_EQ(publish(source, largest).status, 200);
	EXPECT_EQ(publish(source, largest + "y").status, 413);
	EXPECT_TRUE(call(source.address, "GET", key).body == largest);
}

/* Guards against a source that allows more calls than --rate. */
TEST(Source, RefusesCallsAboveTheRate)
{
	Standin source(STANDIN_SOURCE, { "--rate", "1" });
	auto status_is = [&source](int status) {
		return call(source.address, "GET", key).status == status;
	};

	EXPECT_TRUE(eventually([&] { return status_is(429); }));
	EXPECT_TRUE(eventually([&] { return status_is(404); }));
	Answer calls = call(source.control, "GET", "/calls");
	EXPECT_GE(calls.number("refused"), 1);
	EXPECT_GT(calls.number("total"), calls.number("refused"));
	EXPECT_GE(calls.number("max_second"), 1);
}

/* Guards against a watch that misses a write or returns another key. */
TEST(Source, WatchWakesOnPublish)
{
	Standin source(STANDIN_SOURCE);
	Answer answer;

	publish(source, "one");
	EXPECT_EQ(call(source.address, "GET", key + "?after=0&wait_ms=60000")
			  .body,
		  "one");
	EXPECT_EQ(
		call(source.address, "GET", key + "?after=1&wait_ms=20").status,
		304);
	std::thread watch([&] {
		answer = call(source.address, "GET",
			      key + "?after=1&wait_ms=60000");
	});
	EXPECT_TRUE(eventually([&] {
		return call(source.control, "GET", "/calls")
			       .number("waiting") == 1;
	}));
	call(source.control, "PUT", "/values/manifest", "", "m");
	publish(source, "two");
	watch.join();
	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.body, "two");
	EXPECT_EQ(answer.revision, "3");
	/* Each of the three calls counts once, however long it waited. */
	EXPECT_EQ(call(source.control, "GET", "/calls").number("total"), 3);
}

/* Guards against a stale source that returns new values or ends watches. */
TEST(Source, StaleShowsOldValues)
{
	Standin source(STANDIN_SOURCE);

	publish(source, "one");
	source.fault("stale");
	publish(source, "two");
	EXPECT_EQ(call(source.address, "GET", key).body, "one");
	EXPECT_EQ(call(source.address, "GET", key).revision, "1");
	EXPECT_EQ(
		call(source.address, "GET", key + "?after=1&wait_ms=20").status,
		304);
	source.fault("none");
	EXPECT_EQ(call(source.address, "GET", key).body, "two");
}

/* Guards against an outage that answers reads, or keeps watches waiting. */
TEST(Source, OutageRefusesReadsAndWatches)
{
	Standin source(STANDIN_SOURCE);
	Answer answer;

	publish(source, "one");
	std::thread watch([&] {
		answer = call(source.address, "GET",
			      key + "?after=1&wait_ms=60000");
	});
	EXPECT_TRUE(eventually([&] {
		return call(source.control, "GET", "/calls")
			       .number("waiting") == 1;
	}));
	source.fault("outage");
	watch.join();
	EXPECT_EQ(answer.status, 503);
	EXPECT_EQ(call(source.address, "GET", key).status, 503);
	source.fault("outage&hang=1");
	EXPECT_EQ(call(source.address, "GET", key, "", "", 1).status, 0);
	source.fault("slow&ms=1");
	EXPECT_EQ(call(source.address, "GET", key).body, "one");
	EXPECT_EQ(source.fault("unknown").status, 400);
}
