#include "mesh.h"

/* Tickets and outcomes while processes are killed or suspended. */

namespace
{

/* Sends a POST with a ticket in a thread of its own. */
class Order
{
      public:
	Order(const Mesh &mesh, int through, const std::string &ticket)
	    : thread([&mesh, through, ticket, this] {
		      answer = mesh.order(through, ticket);
	      })
	{
	}
	~Order()
	{
		finish();
	}

	const Answer &finish()
	{
		if (thread.joinable())
			thread.join();
		return answer;
	}

      private:
	Answer answer;
	std::thread thread;
};

/* A host other than the given one, to send requests through. */
int other(const Mesh &mesh, int host)
{
	return (host + 1) % (int)mesh.hosts.size();
}

void wait_for_execution(const Mesh &mesh, const std::string &text)
{
	EXPECT_TRUE(eventually([&] { return mesh.runs(text) > 0; }))
		<< text << " did not start";
}

MeshOptions slow_backends(const char *service_ms)
{
	MeshOptions options;

	options.hosts = 4;
	options.targets = 2;
	options.backend = { "--service-ms", service_ms };
	return options;
}

/* Guards against lost requests and a resend that runs again. */
TEST(ProcessOnce, ReplayThroughAnotherDaemonRunsOnce)
{
	Mesh mesh;
	Answer answer = mesh.send(0, "GET", "/portal/stock?item=5");

	EXPECT_EQ(answer.status, 200);
	EXPECT_EQ(answer.outcome, "ran");
	EXPECT_NE(answer.body.find("\"path\":\"/portal/stock?item=5\""),
		  std::string::npos)
		<< answer.body;

	Answer needed = mesh.send(0, "POST", "/portal/orders", "", "bales=3");
	EXPECT_EQ(needed.status, 428);
	EXPECT_EQ(needed.outcome, "not-run");
	ASSERT_NE(needed.ticket, "");
	EXPECT_EQ(mesh.runs("/portal/orders"), 0);

	Answer first = mesh.order(0, needed.ticket);
	EXPECT_EQ(first.status, 200);
	EXPECT_EQ(first.replayed, "");
	for (int host = 0; host < 3; host++) {
		Answer again = mesh.order(host, needed.ticket);

		EXPECT_EQ(again.status, 200);
		EXPECT_EQ(again.outcome, "ran");
		EXPECT_EQ(again.replayed, "1");
		EXPECT_EQ(again.body, first.body);
	}
	EXPECT_EQ(mesh.runs(needed.ticket), 1);
}

/*
 * Guards against a second execution of an order, or the outcome not-run, after
 * its record was lost with the daemon that held it.
 */
TEST(ProcessOnce, KilledDaemonLeavesOrderUnknown)
{
	Mesh mesh(slow_backends("500"));
	int target;
	std::string ticket = mesh.ticket(3, &target);

	{
		Order order(mesh, 3, ticket);

		wait_for_execution(mesh, ticket);
		mesh.kill_daemon(target);
		EXPECT_EQ(order.finish().outcome, "unknown")
			<< order.finish().status << order.finish().body;
	}
	for (int host = 0; host < 4; host++) {
		if (host == target)
			continue;
		EXPECT_EQ(mesh.order(host, ticket).outcome, "unknown")
			<< "through " << host;
	}
	mesh.start_daemon(target);
	mesh.wait_for(1);
	mesh.wait_until_served(target);
	for (int round = 0; round < 3; round++)
		for (int host = 0; host < 4; host++)
			EXPECT_EQ(mesh.order(host, ticket).outcome, "unknown")
				<< "through " << host;
	EXPECT_EQ(mesh.runs(ticket), 1);
}

/*
 * Guards against a retried POST and against full load on a backend server
 * that has just restarted.
 */
TEST(ProcessOnce, KilledBackendLeavesOrderUnknownAndIsCold)
{
	MeshOptions options = slow_backends("100");

	options.targets = 1;
	options.defaults = R"("deadline_ms": 5000, "slots": 4, "cold_slots": 1,
			      "ramp_ms": 300)";
	Mesh mesh(options);

	/* Sends load until the limit is above that of a cold server. */
	{
		Load load(mesh, "GET", "/portal/stock", { 1, 2, 3, 1, 2, 3 });

		EXPECT_TRUE(eventually([&] { return mesh.limit(0) == 4; }));
	}
	std::string ticket = mesh.ticket(3, nullptr);
	Order order(mesh, 3, ticket);

	wait_for_execution(mesh, ticket);
	mesh.kill_backend(0);
	EXPECT_EQ(order.finish().outcome, "unknown")
		<< order.finish().status << order.finish().body;
	EXPECT_EQ(mesh.limit(0), 1);
	/* A refused connection proves that the request did not run. */
	EXPECT_EQ(mesh.send(2, "GET", "/portal/stock").outcome, "not-run");

	mesh.start_backend(0);
	EXPECT_EQ(mesh.limit(0), 1);
	mesh.wait_until_served(2);
	for (int host = 0; host < 4; host++)
		EXPECT_EQ(mesh.order(host, ticket).outcome, "unknown");
	EXPECT_EQ(mesh.runs(ticket), 1);
}

/*
 * Guards against a late answer that is delivered to another caller, and against
 * a second execution by a daemon that resumes with outdated state.
 */
TEST(ProcessOnce, SuspendedDaemonAnswersNoOtherCaller)
{
	MeshOptions options = slow_backends("100");

	options.defaults = R"("deadline_ms": 700, "ramp_ms": 300)";
	Mesh mesh(options);
	Load load(mesh, "GET", "/portal/stock", { 2, 3, 2, 3, 2, 3 });

	for (int round = 0; round < 3; round++) {
		int target;
		std::string ticket = mesh.ticket(3, &target);
		Order order(mesh, 3, ticket);

		/* Round 0 doesn't wait until the order runs. */
		if (round)
			wait_for_execution(mesh, ticket);
		mesh.signal_daemon(target, SIGSTOP);
		Answer answer = order.finish();
		EXPECT_EQ(answer.outcome,
			  answer.status == 200 ? "ran" : "unknown")
			<< answer.body;
		/* Calls in flight at the daemon exceed their deadline. */
		usleep(800 * 1000);
		mesh.signal_daemon(target, SIGCONT);
		EXPECT_TRUE(eventually(
			[&] { return mesh.status(target).serving; }));
		long before = load.ok;
		EXPECT_TRUE(eventually([&] { return load.ok > before + 50; }));
		EXPECT_LE(mesh.runs(ticket), 1);
		/*
		 * A resend gets the stored answer or none and never runs
		 * again. The target may have refused the first copy as expired
		 * when it resumed: then not-run is right and no copy may run.
		 */
		bool refused = mesh.order(2, ticket).outcome == "not-run";

		EXPECT_EQ(mesh.order(3, ticket).outcome == "not-run", refused);
		EXPECT_LE(mesh.runs(ticket), refused ? 0 : 1);
	}
	load.finish();
	EXPECT_EQ(load.mismatch, "");
}

/*
 * Guards against a truncated response that is forwarded as a complete one, and
 * against a POST that is retried after its connection was reset.
 */
TEST(ProcessOnce, TruncatedResponsesAreFailures)
{
	MeshOptions options;

	options.targets = 2;
	Mesh mesh(options);

	for (const char *mode : { "truncate", "reset" }) {
		for (int host = 0; host < 2; host++)
			EXPECT_EQ(call(mesh.hosts[(size_t)host].backend_control,
				       "POST",
				       std::string("/fault?mode=") + mode)
					  .status,
				  200);
		for (int n = 0; n < 3; n++) {
			std::string note = std::string("/portal/notes/") +
					   mode + std::to_string(n);
			Answer get = mesh.send(2, "GET",
					       "/portal/stock?bytes=100000");
			Answer post = mesh.send(2, "POST", note, "", "text");

			EXPECT_EQ(get.outcome, "unknown") << get.body;
			EXPECT_GE(get.status, 500);
			EXPECT_EQ(post.outcome, "unknown") << post.body;
			EXPECT_GE(post.status, 500);
			EXPECT_EQ(mesh.runs(note), 1);
		}
		int target;
		std::string ticket = mesh.ticket(2, &target);
		EXPECT_EQ(mesh.order(2, ticket).outcome, "unknown");
		EXPECT_EQ(mesh.order(other(mesh, 2), ticket).outcome,
			  "unknown");
		EXPECT_EQ(mesh.runs(ticket), 1);
	}
	for (int host = 0; host < 2; host++)
		call(mesh.hosts[(size_t)host].backend_control, "POST",
		     "/fault?mode=none");
	mesh.wait_until_served(2);
}

} // namespace
