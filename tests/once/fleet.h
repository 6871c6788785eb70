#ifndef ONCE_FLEET_H
#define ONCE_FLEET_H

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "admit/admit.h"
#include "once/once.h"
}

#include "../support/ops.h"

/*
 * Daemons with their backend servers and a network that delays, doubles,
 * reorders and drops messages. A backend server keeps only a log of what ran.
 */

/* Faults of a daemon that uses the libraries wrongly. */
enum class Misuse {
	None,
	LostIsNotRun,	 /* answers a lost connection as not run */
	IgnoresRefusal,	 /* answers not-run when that was not remembered */
	SameIncarnation, /* keeps its incarnation over a restart */
	RefusesDrained,	 /* answers not-run while draining without a look */
	ForgetsDrain,	 /* admits new work while draining */
	RetriesLost,	 /* sends a request again after a lost connection */
	AnswersOne	 /* leaves the waiting copies without an answer */
};

enum class Outcome {
	NotRun,
	Ran,
	Unknown
};

struct Copy {
	unsigned order;
	std::string ticket;
	uint64_t request;
	bool lost; /* dropped by the network or with its daemon */
	int answers;
};

struct Message {
	unsigned copy;
	int64_t read_at; /* clock of the daemon when a thread took it up */
};

enum class JobState {
	Queued,
	Pending,
	Running,
	Waiting
};

/* Work of a daemon on one copy; plain, for caa_container_of(). */
struct Job {
	struct admit_request admit;
	struct once_waiter waiter;
	struct once_record *record;
	unsigned copy;
	JobState state;
	bool sent_before;
};

struct Daemon {
	unsigned host = 0;
	uint64_t incarnation = 0;
	int64_t clock_offset = 0;
	int64_t wall_offset_ms = 0;
	bool alive = false, paused = false, draining = false;
	struct once *once = nullptr;
	struct admit *admit = nullptr;
	std::vector<Job *> jobs;
	std::deque<Message> inbox;
};

class Fleet
{
      public:
	explicit Fleet(Misuse misuse = Misuse::None);
	~Fleet();
	void apply(const Op &op);
	/* Ends all faults and checks that every copy got its answer. */
	void settle();
	std::string violation;
	/* What the runs so far met, to see that they reach the cases. */
	static long nr_runs, nr_not_run, nr_replays, nr_unknown;

      private:
	struct Order {
		std::string ticket;
		uint64_t request;
	};

	int64_t now(const Daemon &d) const;
	void start(Daemon &d);
	void kill(Daemon &d);
	void issue(const Op &op);
	void send(unsigned order);
	void deliver(const Op &op);
	void process(Daemon &d, const Message &m);
	void processNew(Daemon &d, Job *job, int64_t at);
	void pump(Daemon &d);
	void work(Daemon &d, const Op &op);
	void end(Daemon &d, Job *job, Outcome outcome, const std::string &body,
		 enum admit_outcome admit_outcome);
	void abort(Daemon &d, Job *job);
	void refuse(Daemon &d, Job *job);
	void answer(Daemon &d, Job *job, Outcome outcome,
		    const std::string &body);
	void answerWaiters(Daemon &d, struct cds_list_head *waiters,
			   Outcome outcome, const std::string &body);
	void ran(const Copy &copy);
	void check(Daemon &d);
	void violate(const std::string &what);
	Job *pick(Daemon &d, unsigned n, JobState a, JobState b);

	Misuse misuse_;
	int64_t t_ = 1;
	unsigned nr_random_ = 0;
	uint64_t nr_incarnations_ = 0;
	std::vector<Daemon> daemons_;
	std::vector<Order> orders_;
	std::vector<Copy> copies_;
	std::vector<unsigned> network_; /* copies under way */
	std::map<std::string, int> runs_;
	std::set<std::pair<std::string, uint64_t>> ran_, not_run_;
};

#endif
