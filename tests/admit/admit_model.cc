#include "admit_model.h"

#include <algorithm>
#include <cmath>

namespace
{
constexpr int64_t kMs = 1000000;
constexpr int kCallers = 4;
constexpr int kCostMax = 4;
constexpr int kWeights[] = { 16, 4, 1 };
constexpr int kRound = 21;
} // namespace

AdmitModel::AdmitModel(const struct admit_limit_policy *policy)
{
	options_.slots = 6;
	options_.cold_slots = 1;
	options_.queue_max = 12;
	options_.ramp_ns = 400 * kMs;
	options_.limit_policy = policy;
	admit_ = admit_new(&options_, now_);
	by_time_ = by_answers_ = 1;
}

AdmitModel::~AdmitModel()
{
	for (auto &entry : requests_)
		admit_cancel(admit_, &entry->admit);
	admit_free(admit_);
}

void AdmitModel::violate(const std::string &what)
{
	if (violation.empty())
		violation = what;
}

std::vector<ModelRequest *> AdmitModel::all(bool ModelRequest::*state) const
{
	std::vector<ModelRequest *> found;

	for (auto &entry : requests_)
		if (entry.get()->*state)
			found.push_back(entry.get());
	return found;
}

int AdmitModel::count(int priority) const
{
	int n = 0;

	for (ModelRequest *entry : all(&ModelRequest::queued))
		n += entry->admit.priority == priority;
	return n;
}

int AdmitModel::count(int priority, uint64_t caller) const
{
	int n = 0;

	for (ModelRequest *entry : all(&ModelRequest::queued))
		n += entry->admit.priority == priority &&
		     entry->admit.caller == caller;
	return n;
}

int AdmitModel::longest(int priority) const
{
	int n = 0;

	for (int caller = 0; caller < kCallers; caller++)
		n = std::max(n, count(priority, caller));
	return n;
}

int AdmitModel::guarantee() const
{
	return options_.queue_max < 3 ? 0 : std::max(1, options_.queue_max / 8);
}

void AdmitModel::arrive(const Op &op)
{
	ModelRequest *entry = new ModelRequest();
	struct admit_request *displaced;
	bool idle = all(&ModelRequest::running).empty();
	int queued_max = std::max((int)all(&ModelRequest::queued).size(),
				  options_.queue_max);

	requests_.emplace_back(entry);
	/* Most requests have one priority and caller, to provoke starvation. */
	entry->admit.priority =
		op.a % 8 < 5 ? ADMIT_LOOKUP : (enum admit_priority)(op.a % 3);
	entry->admit.caller = op.b % 8 < 5 ? 0 : op.b % kCallers;
	entry->admit.cost = op.c % 3 ? 1 : 1 + (int)(op.c / 3 % kCostMax);
	entry->admit.deadline =
		op.c % 2 ? INT64_MAX : now_ + op.c / 16 % 2000 * kMs;
	entry->cost_ahead = entry->admit.cost;
	for (ModelRequest *other : all(&ModelRequest::queued))
		if (other->admit.priority == entry->admit.priority &&
		    other->admit.caller == entry->admit.caller) {
			entry->queued_ahead++;
			entry->cost_ahead += other->admit.cost;
		}
	entry->starts = starts_;
	entry->class_starts = class_starts_[entry->admit.priority];
	switch (admit_arrive(admit_, &entry->admit, now_, &displaced)) {
	case ADMIT_RUN:
		recordStart(*entry);
		break;
	case ADMIT_QUEUED:
		if (displaced) {
			ModelRequest &other =
				*caa_container_of(displaced, ModelRequest,
						  admit);
			checkDisplaced(*entry, other);
			other.queued = false;
		}
		entry->queued = true;
		if ((int)all(&ModelRequest::queued).size() > queued_max)
			violate("more requests queued than queue_max");
		break;
	case ADMIT_REFUSED_FULL:
		checkFull(*entry);
		break;
	case ADMIT_REFUSED_DEADLINE:
		if (idle && entry->admit.deadline > now_)
			violate("an idle target refused a request for a "
				"deadline that has not passed");
		break;
	case ADMIT_REFUSED_DRAINING:
		if (!draining_)
			violate("refused as draining without admit_drain()");
		return;
	}
	if (draining_)
		violate("request admitted while draining");
}

void AdmitModel::checkDisplaced(const ModelRequest &entry,
				const ModelRequest &displaced)
{
	int own = entry.admit.priority;
	int other = displaced.admit.priority;

	if (!displaced.queued)
		violate("displaced a request that was not queued");
	if (own == other) {
		if (count(own, displaced.admit.caller) <
		    count(own, entry.admit.caller) + 2)
			violate("displaced a request of a caller that does not "
				"have two more queued requests");
	} else if (count(other) <= guarantee()) {
		violate("displaced a request within the guarantee of its "
			"priority");
	} else if (other < own && count(own) >= guarantee()) {
		violate("displaced a request of a higher priority");
	}
}

void AdmitModel::checkFull(const ModelRequest &entry)
{
	int own = entry.admit.priority;

	if ((int)all(&ModelRequest::queued).size() < options_.queue_max)
		violate("refused though the queue was not full");
	if (longest(own) >= count(own, entry.admit.caller) + 2)
		violate("refused though another caller had two more queued "
			"requests");
	for (int i = own + 1; i < ADMIT_NR_PRIORITIES; i++)
		if (count(i) > guarantee())
			violate("refused though a lower priority exceeded its "
				"guarantee");
	if (options_.queue_max && count(own) < guarantee() &&
	    (int)all(&ModelRequest::queued).size() <= options_.queue_max)
		violate("refused below the guarantee of its priority");
}

void AdmitModel::recordStart(ModelRequest &entry)
{
	int priority = entry.admit.priority;
	long class_starts = class_starts_[priority] - entry.class_starts;
	long starts = starts_ - entry.starts;

	if (entry.admit.deadline <= now_)
		violate("request started after its deadline");
	entry.queued = false;
	entry.running = true;
	if ((int)all(&ModelRequest::running).size() > admit_limit(admit_, now_))
		violate("more running than the limit");
	/*
	 * The caller needs cost_ahead turns. In each of them every other caller
	 * takes a turn as well, and each may have kCostMax credit from before.
	 */
	if (class_starts > (entry.cost_ahead + 1 + kCostMax) * kCallers +
				   entry.queued_ahead + 1)
		violate("too many requests of other callers started first");
	if (starts > kRound * (class_starts / kWeights[priority] + 2))
		violate("too many requests of other priorities started first");
	class_starts_[priority]++;
	starts_++;
}

void AdmitModel::takeExpired(struct cds_list_head *expired, bool in_turn)
{
	struct admit_request *request, *next;

	cds_list_for_each_entry_safe (request, next, expired, node) {
		ModelRequest &entry =
			*caa_container_of(request, ModelRequest, admit);

		if (!entry.queued)
			violate("a request was returned twice");
		if (entry.admit.deadline == INT64_MAX)
			violate("a request without a deadline expired");
		entry.queued = false;
		if (in_turn) {
			starts_++;
			class_starts_[entry.admit.priority]++;
		}
	}
}

void AdmitModel::update()
{
	CDS_LIST_HEAD(dropped);
	CDS_LIST_HEAD(expired);
	struct admit_request *request;

	for (;;) {
		request = admit_next(admit_, now_, &dropped);
		takeExpired(&dropped, true);
		CDS_INIT_LIST_HEAD(&dropped);
		if (!request)
			break;
		ModelRequest &entry =
			*caa_container_of(request, ModelRequest, admit);
		if (!entry.queued)
			violate("a request was returned twice");
		recordStart(entry);
	}
	if (admit_queued(admit_) != (int)all(&ModelRequest::queued).size())
		violate("a queued request was not returned");
	if (admit_queued(admit_) &&
	    admit_running(admit_) < admit_limit(admit_, now_))
		violate("a slot is free while requests are queued");
	admit_expire(admit_, now_, &expired);
	takeExpired(&expired, false);
	if (admit_next_timer(admit_) <= now_)
		violate("admit_next_timer() is not after now");
	checkLimit();
}

void AdmitModel::checkLimit()
{
	int limit = admit_limit(admit_, now_);

	if (limit < options_.cold_slots || limit > options_.slots)
		violate("limit outside cold_slots to slots");
	if (limit == options_.slots && limit_ < limit && backoff_)
		backoff_--;
	limit_ = limit;
	if (options_.limit_policy == &admit_limit_fixed)
		return;
	if (limit > std::floor(by_time_ + 1e-6))
		violate("limit rose faster than ramp_ns allows");
	if (options_.limit_policy == &admit_limit_observed &&
	    limit > by_answers_)
		violate("limit rose by more than one for each answer");
}

void AdmitModel::advance(int64_t ns)
{
	int steps = options_.slots - options_.cold_slots;

	now_ += ns;
	by_time_ += (double)ns * steps / options_.ramp_ns / (1 << backoff_);
	by_time_ = std::min(by_time_, (double)options_.slots);
}

void AdmitModel::end(const Op &op)
{
	std::vector<ModelRequest *> running = all(&ModelRequest::running);
	enum admit_outcome outcome =
		op.c % 4 ? ADMIT_ANSWERED : (enum admit_outcome)(op.c / 4 % 4);

	if (running.empty())
		return;
	ModelRequest &entry = *running[op.a % running.size()];
	if (outcome == ADMIT_LOST) {
		bool first = admit_backend_lost(admit_, entry.admit.life, now_);

		if (first != (entry.admit.life == life_))
			violate("one crash was counted twice or not at all");
		if (first) {
			if (options_.limit_policy == &admit_limit_observed &&
			    limit_ > options_.cold_slots &&
			    limit_ < options_.slots)
				backoff_ = std::min(backoff_ + 1, 3);
			limit_ = options_.cold_slots;
			life_++;
			by_time_ = by_answers_ = options_.cold_slots;
		}
	}
	admit_done(admit_, &entry.admit, outcome, now_);
	entry.running = false;
	by_answers_ += outcome == ADMIT_ANSWERED && entry.admit.life == life_;
}

void AdmitModel::setPolicy(const Op &op)
{
	options_.slots = 1 + op.a % 8;
	options_.cold_slots = 1 + op.b % options_.slots;
	options_.queue_max = op.c % 17;
	options_.ramp_ns = (100 + op.c % 400) * kMs;
	admit_set_policy(admit_, &options_, now_);
	by_time_ = std::min(std::max(by_time_, (double)options_.cold_slots),
			    (double)options_.slots);
	by_answers_ = std::max(by_answers_, options_.cold_slots);
	limit_ =
		std::min(std::max(limit_, options_.cold_slots), options_.slots);
}

void AdmitModel::apply(const Op &op)
{
	std::vector<ModelRequest *> queued;

	switch (op.kind % 64) {
	case 1 ... 30:
		arrive(op);
		break;
	case 31 ... 54:
		end(op);
		break;
	case 55 ... 59:
		advance(op.a % (op.b % 4 ? 20 : 300) * kMs);
		break;
	case 60:
		queued = all(&ModelRequest::queued);
		if (queued.empty())
			break;
		if (!admit_cancel(admit_, &queued[op.a % queued.size()]->admit))
			violate("a queued request could not be cancelled");
		queued[op.a % queued.size()]->queued = false;
		break;
	case 61:
		if (op.c % 4 == 0)
			setPolicy(op);
		break;
	case 62:
		if (op.c % 32 == 0) {
			admit_drain(admit_);
			draining_ = true;
		}
		break;
	}
	update();
	requests_.erase(
		std::remove_if(requests_.begin(), requests_.end(),
			       [](const std::unique_ptr<ModelRequest> &entry) {
				       return !entry->queued && !entry->running;
			       }),
		requests_.end());
}

void AdmitModel::settle()
{
	Op answered = { 0, 0, 0, 1 };

	while (!all(&ModelRequest::running).empty() && violation.empty()) {
		advance(kMs);
		end(answered);
		update();
	}
	if (!all(&ModelRequest::queued).empty())
		violate("a queued request never starts");
	/* With a steady load of answered requests, the limit rises to slots. */
	for (int i = 0; i < 3000 && !draining_ && violation.empty(); i++) {
		arrive({ 0, 0, 0, 1 });
		advance(4 * kMs);
		update();
		end(answered);
		requests_.clear();
	}
	if (!draining_ && admit_limit(admit_, now_) != options_.slots)
		violate("the limit does not return to slots");
}
