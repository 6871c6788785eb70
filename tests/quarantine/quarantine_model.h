#ifndef QUARANTINE_QUARANTINE_MODEL_H
#define QUARANTINE_QUARANTINE_MODEL_H

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
	/* By fingerprint: crashes reported within kQuarantine of another. */
	std::map<uint64_t, int> reported;
	std::map<uint64_t, int64_t> last_reported;
	std::map<uint64_t, uint64_t> last_life;
	std::map<uint64_t, int> crashes; /* by fingerprint */
};

struct Message {
	unsigned to;
	struct quarantine_entry entry;
};

/* A crash report of one request; threads may report it late. */
struct Report {
	unsigned node;
	uint64_t incarnation, fingerprint, life;
};

enum class Delivery {
	Lossy,	/* messages are delayed, duplicated, reordered and dropped */
	Prompt, /* every daemon gets each entry before the next request */
	Crowded /* lossy, and many other entries fill the tables */
};

/*
 * Daemons that exchange quarantine entries. Requests of the first fingerprints
 * crash their backend servers; the others do not.
 */
class QuarantineModel
{
      public:
	explicit QuarantineModel(Delivery delivery);
	~QuarantineModel();
	void apply(const Op &op);
	/* Exchanges entries without new crashes; every quarantine must end. */
	void settle();
	std::string violation;

      private:
	void boot(unsigned node);
	void start(unsigned node, uint64_t fingerprint);
	void finish(unsigned node, unsigned n);
	void crash(unsigned node, bool all_at_once);
	void report(const Report &report);
	void sendEntries(unsigned from, unsigned to);
	void deliver(unsigned at);
	void deliverAll();
	void fillTable(unsigned node);
	void check();
	void checkCounts(unsigned node);
	bool refused(unsigned node, uint64_t fingerprint) const;
	void violate(const std::string &what);

	Delivery delivery_;
	int64_t now_ = 1000000;
	uint64_t nr_incarnations_ = 0;
	uint64_t nr_filler_ = 0;
	std::vector<Node> nodes_;
	std::vector<Message> network_;
	std::vector<Report> late_reports_;
	std::map<uint64_t, std::vector<int64_t>> crashes_; /* times */
};

#endif
