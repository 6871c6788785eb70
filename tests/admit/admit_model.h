#ifndef ADMIT_ADMIT_MODEL_H
#define ADMIT_ADMIT_MODEL_H

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "admit/admit.h"
}

#include "../support/ops.h"

/* A request in the model; standard layout, for caa_container_of(). */
struct ModelRequest {
	struct admit_request admit;
	bool queued, running;
	/* Requests of its caller and priority queued before its arrival. */
	int queued_ahead;
	int cost_ahead; /* cost of the requests queued ahead and its own */
	long class_starts, starts; /* the model's counters at its arrival */
};

/*
 * Runs one admit instance and checks it against a model: which requests must
 * be returned, how far the limit may have risen, and how many requests may
 * start before an earlier one.
 */
class AdmitModel
{
      public:
	explicit AdmitModel(const struct admit_limit_policy *policy);
	~AdmitModel();
	void apply(const Op &op);
	/* Ends all requests; checks that all ended and the limit recovers. */
	void settle();
	std::string violation;

      private:
	void arrive(const Op &op);
	void checkDisplaced(const ModelRequest &entry,
			    const ModelRequest &displaced);
	void checkFull(const ModelRequest &entry);
	void end(const Op &op);
	void setPolicy(const Op &op);
	void advance(int64_t ns);
	void update();
	void takeExpired(struct cds_list_head *expired, bool in_turn);
	void recordStart(ModelRequest &entry);
	void checkLimit();
	int count(int priority) const;
	int count(int priority, uint64_t caller) const;
	int longest(int priority) const;
	int guarantee() const;
	std::vector<ModelRequest *> all(bool ModelRequest::*state) const;
	void violate(const std::string &what);

	struct admit_options options_ = {};
	struct admit *admit_;
	int64_t now_ = 1;
	std::vector<std::unique_ptr<ModelRequest>> requests_;
	bool draining_ = false;
	uint64_t life_ = 1;
	double by_time_; /* upper bound of the limit by the time passed */
	int by_answers_; /* upper bound of the limit by the answers */
	int limit_ = 1;	 /* limit after the last step */
	/* Ramps that ended in a loss minus completed ramps, 0..3. */
	int backoff_ = 0;
	long starts_ = 0; /* turns used, by a start or an expired request */
	long class_starts_[ADMIT_NR_PRIORITIES] = {};
};

#endif
