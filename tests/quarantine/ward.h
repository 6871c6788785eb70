#ifndef QUARANTINE_WARD_H
#define QUARANTINE_WARD_H

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "quarantine/quarantine.h"
}

#include "../support/ops.h"

/* A daemon with its backend server. */
struct Node {
	struct quarantine *quarantine = nullptr;
	uint64_t incarnation = 0;
	uint64_t life = 1;
	std::vector<uint64_t> running;
	/* Crashes of a killer that this run of the daemon saw in a row. */
	std::map<uint64_t, int> seen;
	std::map<uint64_t, int64_t> last_seen;
	std::map<uint64_t, uint64_t> last_life;
	std::map<uint64_t, int> crashes; /* by fingerprint */
};

struct News {
	unsigned to;
	struct quarantine_entry entry;
};

/* A report of a crash by a thread that was slow to notice. */
struct Report {
	unsigned node;
	uint64_t incarnation, fingerprint, life;
};

enum class Spread {
	Slow,	/* news is delayed, doubled, reordered and dropped */
	Prompt, /* every daemon hears of a crash before the next start */
	Crowded /* slow, and entries of many other requests need places */
};

/*
 * Daemons whose backend servers are crashed by some requests (the killers)
 * and survive others.
 */
class Ward
{
      public:
	explicit Ward(Spread spread);
	~Ward();
	void apply(const Op &op);
	/* Gossip goes on without crashes: every quarantine must end. */
	void settle();
	std::string violation;

      private:
	void boot(unsigned node);
	void start(unsigned node, uint64_t fingerprint);
	void finish(unsigned node, unsigned n);
	void crash(unsigned node, bool all_at_once);
	void report(const Report &report);
	void tell(unsigned from, unsigned to);
	void deliver(unsigned at);
	void deliverAll();
	void crowd(unsigned node);
	void check();
	void checkCounts(unsigned node);
	bool refused(unsigned node, uint64_t fingerprint) const;
	void violate(const std::string &what);

	Spread spread_;
	int64_t now_ = 1000000;
	uint64_t nr_incarnations_ = 0;
	uint64_t nr_crowd_ = 0;
	std::vector<Node> nodes_;
	std::vector<News> network_;
	std::vector<Report> late_;
	std::map<uint64_t, std::vector<int64_t>> crashes_; /* times */
};

#endif
