#include "reports.h"

#include <atomic>
#include <map>
#include <mutex>
#include <unistd.h>

/*
 * Failures that operators of similar systems have met, each caused here on real
 * processes: a server sends an answer a second time.
 * docs/incidents.md lists them.
 */

namespace
{

/* Where a second copy of the previous answer is sent. */
enum copy {
	COPY_NONE,
	COPY_WHOLE_BEFORE, /* before the next answer */
	COPY_HALF_BEFORE,
	COPY_BEFORE_BODY, /* before the body of the next request is read */
	COPY_WITH_ANSWER, /* at once after the answer itself */
	COPY_LATE	  /* on the idle connection */
};

bool answer_with_copy(RawBackend &server, int fd,
		      const RawBackend::Request &request, enum copy copy)
{
	std::string own = RawBackend::answer(request.id, request.id);
	std::string old =
		RawBackend::answer(request.previous_id, request.previous_id);

	if (request.previous_id.empty())
		copy = COPY_NONE;
	if (copy == COPY_BEFORE_BODY)
		server.send(fd, old);
	if (!RawBackend::read_body(fd, request.body_bytes))
		return false;
	if (copy == COPY_WHOLE_BEFORE)
		server.send(fd, old);
	if (copy == COPY_HALF_BEFORE)
		server.send(fd, old.substr(0, old.size() - 3));
	if (copy == COPY_WITH_ANSWER)
		own += own;
	if (!server.send(fd, own))
		return false;
	if (copy == COPY_LATE) {
		usleep(20000);
		server.send(fd, own);
	}
	return true;
}

/*
 * Guards against a second copy of an answer that reaches the caller whose
 * request uses the connection next.
 */
TEST(Reports, SecondCopyOfAnAnswerReachesNobody)
{
	std::atomic<enum copy> copy{ COPY_NONE };
	Platform in(1);
	const std::string long_body(300000, 'b');

	in.start_all();
	auto server = replace_server(
		in, 0,
		[&](RawBackend &self, int fd, const RawBackend::Request &next) {
			return answer_with_copy(self, fd, next, copy);
		});
	ASSERT_TRUE(wait_for_server(in, 0));
	for (enum copy one :
	     { COPY_WHOLE_BEFORE, COPY_HALF_BEFORE, COPY_BEFORE_BODY,
	       COPY_WITH_ANSWER, COPY_LATE }) {
		int served = 0;

		copy = one;
		for (int i = 0; i < 12; i++) {
			std::string id = "c" + std::to_string(one) + "-" +
					 std::to_string(i);
			CallerAnswer answer =
				in.send_with_id(id, 0, "POST", "/orders/1",
						long_body, 1000);

			if (answer.status != 200)
				continue;
			served++;
			EXPECT_EQ(answer.body, id);
		}
		EXPECT_GT(served, 0) << one;
	}
}

/*
 * A caller sends a request again under the same id, which then cannot show that
 * an answer is a copy of the first. Guards against that copy being delivered.
 */
TEST(Reports, SecondCopyUnderTheSameIdReachesNobody)
{
	Platform in(1);

	in.start_all();
	auto server = replace_server(
		in, 0,
		[](RawBackend &self, int fd, const RawBackend::Request &next) {
			if (next.previous_id == next.id)
				self.send(fd,
					  RawBackend::answer(next.id, "copy"));
			return RawBackend::read_body(fd, next.body_bytes) &&
			       self.send(fd,
					 RawBackend::answer(next.id, "own"));
		});
	ASSERT_TRUE(wait_for_server(in, 0));
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(in.send_with_id("twin", 0, "POST", "/orders/1", "x",
					  1000)
				  .body,
			  "own");
}

/*
 * A full server rejects probes like requests, and answers to probes bear no id.
 * Guards against a late copy of such an answer that tells the caller of an
 * order that it has not run.
 */
TEST(Reports, SecondCopyOfAProbesAnswerPromisesNothing)
{
	const std::string rejection =
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
		"Content-Length: 0\r\n\r\n";
	Platform in(1);
	int served = 0;

	in.start_all();
	auto server = replace_server(
		in, 0,
		[&](RawBackend &self, int fd, const RawBackend::Request &next) {
			if (next.after_probe)
				self.send(fd, rejection);
			return RawBackend::read_body(fd, next.body_bytes) &&
			       self.send(fd, RawBackend::answer(next.id, "x"));
		});
	ASSERT_TRUE(wait_for_server(in, 0));
	server->probe_answer = rejection;
	int probes = server->nr_probes;
	while (server->nr_probes < probes + 4) {
		int before = server->nr_runs;
		int status =
			in.send_request(0, "POST", "/orders/1", "x").status;

		served += status == 200;
		if (status == 503) {
			EXPECT_EQ(server->nr_runs, before);
		}
		usleep(10000);
	}
	EXPECT_GT(served, 10);
}

/* How the copy of an earlier refusal can be told from another answer. */
enum refusal {
	REFUSAL_WITH_ID,
	REFUSAL_WITHOUT_ID,
	REFUSAL_SAME_ID /* the order has the id of the refused one */
};

/*
 * Servers that refuse some orders, and write the refusal once more on the kept
 * connection when a later order is due its answer. They count what they run.
 */
class RepeatingServers
{
      public:
	RepeatingServers(Platform &in, enum refusal refusal) : refusal(refusal)
	{
		for (int i = 0; i < 2; i++)
			servers.push_back(replace_server(
				in, i,
				[this](RawBackend &self, int fd,
				       const RawBackend::Request &next) {
					return serve(self, fd, next);
				}));
	}

	int runs(const std::string &id)
	{
		std::lock_guard<std::mutex> guard(lock);

		return nr_runs[id];
	}

	std::atomic<int> nr_copies{ 0 };
	std::atomic<bool> refuses{ false };

      private:
	bool serve(RawBackend &self, int fd, const RawBackend::Request &next)
	{
		std::string copy;

		if (!RawBackend::read_body(fd, next.body_bytes))
			return false;
		{
			std::lock_guard<std::mutex> guard(lock);

			if (refuses) {
				refused[fd] =
					"HTTP/1.1 503 Full\r\n"
					"X-Not-Executed: 1\r\n" +
					(refusal == REFUSAL_WITHOUT_ID
						 ? ""
						 : "X-Request-Id: " + next.id +
							   "\r\n") +
					"Content-Length: 0\r\n\r\n";
				return self.send(fd, refused[fd]);
			}
			nr_runs[next.id]++;
			/* The order between them ends without a copy. */
			if (next.target != "/orders/between")
				copy.swap(refused[fd]);
		}
		if (!copy.empty()) {
			nr_copies++;
			self.send(fd, copy);
			usleep(5000);
		}
		return self.send(fd, RawBackend::answer(next.id, next.id));
	}

	enum refusal refusal;
	std::mutex lock;		    /* guards the maps */
	std::map<int, std::string> refused; /* by connection */
	std::map<std::string, int> nr_runs; /* by request id */
	std::vector<std::unique_ptr<RawBackend>> servers;
};

/*
 * A server writes an earlier refusal once more on a kept connection. Guards
 * against an order that runs, or has run, and is answered as not run or runs at
 * a second server.
 */
TEST(Reports, SecondCopyOfARefusalPromisesNothing)
{
	for (enum refusal refusal :
	     { REFUSAL_WITH_ID, REFUSAL_WITHOUT_ID, REFUSAL_SAME_ID }) {
		Platform in(2);
		int served = 0;

		in.start_all();
		RepeatingServers servers(in, refusal);
		ASSERT_TRUE(wait_for_server(in, 0));
		ASSERT_TRUE(wait_for_server(in, 1));
		for (int i = 0; i < 30; i++) {
			std::string id = std::to_string(i), first;

			first = refusal == REFUSAL_SAME_ID ? "o" + id
							   : "refused" + id;
			servers.refuses = true;
			for (int host = 0; host < 2; host++)
				in.send_with_id(first, host, "POST",
						"/orders/1", "x", 1000);
			servers.refuses = false;
			for (int host = 0; host < 2; host++)
				in.send_with_id("between" + id, host, "POST",
						"/orders/between", "x", 1000);
			for (int host = 0; host < 2; host++) {
				std::string order =
					"o" + id + (host ? "b" : "");
				CallerAnswer answer =
					in.send_with_id(order, host, "POST",
							"/orders/1", "x", 1000);
				int runs = servers.runs(order);

				served += answer.status == 200;
				EXPECT_LE(runs, 1) << refusal;
				if (answer.status == 200) {
					EXPECT_EQ(answer.body, order);
				}
				if (answer.status == 503) {
					EXPECT_EQ(runs, 0) << refusal;
				}
			}
		}
		EXPECT_GT(served, 30) << refusal;
	}
}

} // namespace
