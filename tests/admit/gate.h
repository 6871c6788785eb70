#ifndef ADMIT_GATE_H
#define ADMIT_GATE_H

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "admit/admit.h"
}

#include "../support/ops.h"

/* A request in the model; plain, for caa_container_of(). */
struct Guest {
	struct admit_request admit;
	bool queued, running;
	int places_ahead; /* of its caller and priority when it arrived */
	int cost_ahead;	  /* their cost and its own */
	long class_starts, starts; /* counted when it arrived */
};

/*
 * One admit instance and what may be said of it from outside: who must come
 * back, how far the limit may have risen, and how long one request may be
 * passed by others.
 */
class Gate
{
      public:
	explicit Gate(const struct admit_limit_policy *policy);
	~Gate();
	void apply(const Op &op);
	/* Ends all requests and checks that none is left. */
	void settle();
	std::string violation;

      private:
	void arrive(const Op &op);
	void checkDisplaced(const Guest &guest, const Guest &displaced);
	void checkFull(const Guest &guest);
	void end(const Op &op);
	void setPolicy(const Op &op);
	void advance(int64_t ns);
	void pump();
	void takeExpired(struct cds_list_head *expired, bool in_turn);
	void started(Guest &guest);
	void checkLimit();
	int count(int priority) const;
	int count(int priority, uint64_t caller) const;
	int longest(int priority) const;
	int guarantee() const;
	std::vector<Guest *> all(bool Guest::*state) const;
	void violate(const std::string &what);

	struct admit_options options_ = {};
	struct admit *admit_;
	int64_t now_ = 1;
	std::vector<std::unique_ptr<Guest>> guests_;
	bool draining_ = false;
	uint64_t life_ = 1;
	double by_time_; /* bound of the limit by time */
	int by_answers_; /* bound of the limit by answers */
	int limit_ = 1;	 /* after the last step */
	int backoff_ =
		0; /* ramps that ended in a loss, less those that did not */
	long starts_ = 0; /* turns taken, by a start or by a drop */
	long class_starts_[ADMIT_NR_PRIORITIES] = {};
};

#endif
