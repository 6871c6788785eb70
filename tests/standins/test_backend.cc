#include <sys/socket.h>

#include <cerrno>
#include <fstream>
#include <thread>

#include "support/standin.hh"

extern "C" {
#include "base/rng.h"
}

static json_int_t state(const Standin &backend, const char *key)
{
	return call(backend.control, "GET", "/state").number(key);
}

static size_t count(const std::string &text, const std::string &part)
{
	size_t n = 0;

	for (size_t at = text.find(part); at != std::string::npos;
	     at = text.find(part, at + 1))
		n++;
	return n;
}

/* Sends a request from a thread; the constructor waits until it has a slot. */
struct Running {
	Answer answer = {};
	std::thread thread;

	Running(const Standin &backend, const char *method,
		const std::string &target, const std::string &headers = "")
	{
		json_int_t before = state(backend, "running");

		thread = std::thread([=, this_answer = &answer,
				      address = backend.address] {
			*this_answer = call(address, method, target, headers);
		});
		EXPECT_TRUE(eventually(
			[&] { return state(backend, "running") > before; }));
	}

	const Answer &wait()
	{
		if (thread.joinable())
			thread.join();
		return answer;
	}

	~Running()
	{
		wait();
	}
};

/* Guards against answers that a test cannot match to their requests. */
TEST(Backend, EchoesTheRequest)
{
	Standin backend(STANDIN_BACKEND, { "--name", "b7" });
	Answer answer = call(backend.address, "POST", "/a%20b?x=1",
			     "Request-Id: r1\r\n", "12345");

	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.name, "b7");
	EXPECT_EQ(
		answer.body,
		"{\"name\":\"b7\",\"method\":\"POST\",\"path\":\"/a%20b?x=1\","
		"\"request_id\":\"r1\",\"body_bytes\":5}");
}

/* Guards against large bodies with lost, repeated or swapped chunks. */
TEST(Backend, SeedsBodyPatternByRequestId)
{
	Standin backend(STANDIN_BACKEND);
	Answer answer = call(backend.address, "GET", "/d?bytes=300000",
			     "Request-Id: r2\r\n");
	uint64_t seed = hash_string("r2") % 251;
	size_t wrong = 0;

	ASSERT_EQ(answer.body.size(), 300000u);
	for (size_t i = 0; i < answer.body.size(); i++)
		wrong += (unsigned char)answer.body[i] != (i + seed) % 251;
	EXPECT_EQ(wrong, 0u);
}

/* Guards against a shed request that runs, and a slot that is not released. */
TEST(Backend, ShedsWhenAllSlotsAreBusy)
{
	Standin backend(STANDIN_BACKEND, { "--slots", "1" });

	backend.fault("hang");
	{
		Running first(backend, "GET", "/a");
		Answer second = call(backend.address, "POST", "/b");

		EXPECT_EQ(second.status, 503);
		EXPECT_EQ(second.shed, "1");
		EXPECT_EQ(second.draining, "");
		EXPECT_EQ(state(backend, "executions"), 0);
		backend.fault("none");
		EXPECT_EQ(first.wait().status, 200);
	}
	EXPECT_EQ(call(backend.address, "POST", "/b").status, 200);
	EXPECT_EQ(state(backend, "max_running"), 1);
}

/* Guards against a cancel that has no effect or cancels another request. */
TEST(Backend, CancelsByRequestId)
{
	Standin backend(STANDIN_BACKEND, { "--service-ms", "600000" });
	Running run(backend, "POST", "/a", "Request-Id: r1\r\n");

	EXPECT_EQ(call(backend.address, "POST", "/-/cancel?id=r2").status, 404);
	EXPECT_EQ(state(backend, "running"), 1);
	EXPECT_EQ(call(backend.address, "POST", "/-/cancel?id=r1").status, 200);
	EXPECT_EQ(run.wait().status, 499);
	EXPECT_EQ(count(call(backend.control, "GET", "/executions").body,
			"\"outcome\":\"cancelled\""),
		  1u);
}

/* Guards against a request that keeps running after its deadline. */
TEST(Backend, StopsAtTheDeadline)
{
	Standin backend(STANDIN_BACKEND, { "--service-ms", "600000" });

	EXPECT_EQ(call(backend.address, "GET", "/a", "Deadline-Ms: 20\r\n")
			  .status,
		  504);
	EXPECT_EQ(
		call(backend.address, "GET", "/a", "Deadline-Ms: x\r\n").status,
		400);
	EXPECT_EQ(state(backend, "running"), 0);
}

/* Guards against a drain that aborts running requests or accepts new ones. */
TEST(Backend, DrainFinishesRunningRequests)
{
	Standin backend(STANDIN_BACKEND);

	backend.fault("hang");
	Running run(backend, "POST", "/a");
	call(backend.control, "POST", "/drain");
	Answer late = call(backend.address, "POST", "/b");
	EXPECT_EQ(late.status, 503);
	EXPECT_EQ(late.shed, "1");
	EXPECT_EQ(late.draining, "1");
	backend.fault("none");
	EXPECT_EQ(run.wait().status, 200);
	EXPECT_EQ(state(backend, "executions"), 1);
}

/* Guards against a cold server that survives more than --cold-slots. */
TEST(Backend, CrashesUnderLoadWhileCold)
{
	Standin backend(STANDIN_BACKEND,
			{ "--cold-ms", "600000", "--service-ms", "600000" });
	Running first(backend, "GET", "/a");
	std::thread second([&] {
		EXPECT_EQ(call(backend.address, "GET", "/b").status, 0);
	});
	int status = 0;

	second.join();
	EXPECT_EQ(first.wait().status, 0);
	ASSERT_TRUE(process_wait(&backend.process, 30000, &status));
	EXPECT_EQ(WEXITSTATUS(status), 3);
}

/* Guards against a soft crash that leaves any connection open. */
TEST(Backend, SoftCrashResetsAndTurnsCold)
{
	Standin backend(STANDIN_BACKEND,
			{ "--cold-ms", "600000", "--service-ms", "600000",
			  "--soft-crash" });
	int idle = connect_to(backend.address.c_str());
	Running first(backend, "GET", "/a");
	char byte;

	EXPECT_EQ(call(backend.address, "GET", "/b").status, 0);
	EXPECT_EQ(first.wait().status, 0);
	EXPECT_EQ(recv(idle, &byte, 1, 0), -1);
	EXPECT_EQ(errno, ECONNRESET);
	close(idle);
	EXPECT_EQ(state(backend, "crashes"), 1);
	/* The reset arrives before the thread of the request wakes up. */
	EXPECT_TRUE(eventually([&] { return state(backend, "running") == 0; }));
}

/* Guards against a crash at a load within the limits of the server. */
TEST(Backend, SurvivesAllowedLoad)
{
	Standin cold(STANDIN_BACKEND, { "--cold-ms", "600000", "--service-ms",
					"300", "--cold-slots", "2" });
	Standin warm(STANDIN_BACKEND, { "--service-ms", "300" });
	Standin steady(STANDIN_BACKEND, { "--cold-ms", "600000", "--service-ms",
					  "300", "--no-fall-over" });

	for (Standin *backend : { &cold, &warm, &steady }) {
		std::thread first([=] {
			EXPECT_EQ(call(backend->address, "GET", "/a").status,
				  200);
		});
		EXPECT_EQ(call(backend->address, "GET", "/b").status, 200);
		first.join();
	}
}

/* Guards against executions that are lost from the log in a crash. */
TEST(Backend, ExecutionLogSurvivesCrash)
{
	std::string path =
		testing::TempDir() + "executions." + std::to_string(getpid());
	std::string ticket = "Idempotency-Key: t1\r\n";
	std::string text, line;
	int status = 0;

	unlink(path.c_str());
	Standin backend(STANDIN_BACKEND, { "--log", path });
	EXPECT_EQ(call(backend.address, "POST", "/a", ticket).status, 200);
	EXPECT_EQ(call(backend.address, "GET", "/a").status, 200);
	EXPECT_EQ(count(call(backend.control, "GET", "/executions").body,
			"\"ticket\":\"t1\""),
		  1u);
	EXPECT_EQ(call(backend.address, "POST", "/crash-me", ticket).status, 0);
	ASSERT_TRUE(process_wait(&backend.process, 30000, &status));
	EXPECT_EQ(WEXITSTATUS(status), 3);

	std::ifstream file(path);
	while (std::getline(file, line))
		text += line + "\n";
	EXPECT_EQ(count(text, "\"finished\":null"), 2u);
	EXPECT_EQ(count(text, "\"outcome\":\"done\""), 1u);
	EXPECT_EQ(count(text, "\"path\":\"/crash-me\""), 1u);
	unlink(path.c_str());
}

/* Guards against a reset answer whose execution is not recorded. */
TEST(Backend, ResetAndTruncateBreakTheAnswer)
{
	Standin backend(STANDIN_BACKEND);

	backend.fault("reset");
	EXPECT_EQ(call(backend.address, "POST", "/a").status, 0);
	EXPECT_EQ(state(backend, "executions"), 1);
	backend.fault("truncate");
	Answer answer = call(backend.address, "GET", "/a?bytes=1000");
	EXPECT_EQ(answer.status, 0);
	EXPECT_EQ(answer.body.size(), 500u);
}

/* Guards against more connections than the limit. */
TEST(Backend, ClosesConnectionsAboveTheLimit)
{
	Standin backend(STANDIN_BACKEND, { "--connections", "1" });

	backend.fault("hang");
	Running run(backend, "GET", "/a");
	EXPECT_EQ(call(backend.address, "GET", "/b").status, 0);
	backend.fault("none");
	EXPECT_EQ(run.wait().status, 200);
}

/* Guards against health and load that ignore --lag-ms or POST /lie. */
TEST(Backend, HealthAndLoadLagAndOverride)
{
	Standin backend(STANDIN_BACKEND);
	Standin late(STANDIN_BACKEND, { "--lag-ms", "600000" });
	auto load = [](const Standin &server) {
		return call(server.address, "GET", "/-/load").number("load");
	};

	backend.fault("hang");
	late.fault("hang");
	{
		Running run(backend, "GET", "/a"), other(late, "GET", "/a");

		EXPECT_TRUE(eventually([&] { return load(backend) == 1; }));
		EXPECT_EQ(load(late), 0);
		call(backend.control, "POST", "/lie?health=draining&load=7");
		EXPECT_TRUE(eventually([&] { return load(backend) == 7; }));
		EXPECT_EQ(call(backend.address, "GET", "/-/health").body,
			  "{\"health\":\"draining\"}");
		EXPECT_EQ(state(backend, "running"), 1);
		backend.fault("none");
		late.fault("none");
	}
}
