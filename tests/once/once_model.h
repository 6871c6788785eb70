#ifndef ONCE_ONCE_MODEL_H
#define ONCE_ONCE_MODEL_H

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
 * A model of daemons with their backend servers and a network that delays,
 * duplicates, reorders and drops messages. The backend servers only record
 * which requests ran.
 */

/* Faults of a daemon that uses the libraries wrongly. */
enum class Misuse {
	None,
	LostIsNotRun,	 /* answers not-run after a lost connection */
	IgnoresRefusal,	 /* answers not-run though once_abort() failed */
	SameIncarnation, /* keeps its incarnation after a restart */
	RefusesDrained,	 /* answers not-run while draining, no once_refuse() */
	IgnoresDrain,	 /* admits new work while draining */
	RetriesLost,	 /* sends a request again after a lost connection */
	AnswersOne	 /* sends no answer to waiting copies */
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
	int64_t read_at; /* the daemon's clock as read by the thread */
};

enum class JobState {
	Queued,
	Pending,
	Running,
	Waiting
};

/* A copy at a daemon; standard layout, for caa_container_of(). */
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

class OnceModel
{
      public:
	explicit OnceModel(Misuse misuse = Misuse::None);
	~OnceModel();
	void apply(const Op &op);
	/* Ends all faults and checks that every copy got one answer. */
	void settle();
	std::string violation;
	/* Totals of all runs, which show that the runs cover these cases. */
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
	void update(Daemon &d);
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
	int64_t time_ = 1;
	unsigned nr_random_ = 0;
	uint64_t nr_incarnations_ = 0;
	std::vector<Daemon> daemons_;
	std::vector<Order> orders_;
	std::vector<Copy> copies_;
	std::vector<unsigned> network_; /* copies in transit */
	std::map<std::string, int> runs_;
	std::set<std::pair<std::string, uint64_t>> ran_, not_run_;
};

#endif
