#include "gate.h"

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

Gate::Gate(const struct admit_limit_policy *policy)
{
	options_.slots = 6;
	options_.cold_slots = 1;
	options_.queue_max = 12;
	options_.ramp_ns = 400 * kMs;
	options_.limit_policy = policy;
	admit_ = admit_new(&options_, now_);
	by_time_ = by_answers_ = 1;
}

Gate::~Gate()
{
	for (auto &guest : guests_)
		admit_cancel(admit_, &guest->admit);
	admit_free(admit_);
}

void Gate::violate(const std::string &what)
{
	if (violation.empty())
		violation = what;
}

std::vector<Guest *> Gate::all(bool Guest::*state) const
{
	std::vector<Guest *> found;

	for (auto &guest : guests_)
		if (guest.get()->*state)
			found.push_back(guest.get());
	return found;
}

int Gate::count(int priority) const
{
	int n = 0;

	for (Guest *guest : all(&Guest::queued))
		n += guest->admit.priority == priority;
	return n;
}

int Gate::count(int priority, uint64_t caller) const
{
	int n = 0;

	for (Guest *guest : all(&Guest::queued))
		n += guest->admit.priority == priority &&
		     guest->admit.caller == caller;
	return n;
}

int Gate::longest(int priority) const
{
	int n = 0;

	for (int caller = 0; caller < kCallers; caller++)
		n = std::max(n, count(priority, caller));
	return n;
}

int Gate::guarantee() const
{
	return options_.queue_max < 3 ? 0 : std::max(1, options_.queue_max / 8);
}

void Gate::arrive(const Op &op)
{
	Guest *guest = new Guest();
	struct admit_request *displaced;
	bool idle = all(&Guest::running).empty();
	int places =
		std::max((int)all(&Guest::queued).size(), options_.queue_max);

	guests_.emplace_back(guest);
	/* Most are of one priority and caller, which could starve others. */
	guest->admit.priority =
		op.a % 8 < 5 ? ADMIT_LOOKUP : (enum admit_priority)(op.a % 3);
	guest->admit.caller = op.b % 8 < 5 ? 0 : op.b % kCallers;
	guest->admit.cost = op.c % 3 ? 1 : 1 + (int)(op.c / 3 % kCostMax);
	guest->admit.deadline =
		op.c % 2 ? INT64_MAX : now_ + op.c / 16 % 2000 * kMs;
	guest->cost_ahead = guest->admit.cost;
	for (Guest *other : all(&Guest::queued))
		if (other->admit.priority == guest->admit.priority &&
		    other->admit.caller == guest->admit.caller) {
			guest->places_ahead++;
			guest->cost_ahead += other->admit.cost;
		}
	guest->starts = starts_;
	guest->class_starts = class_starts_[guest->admit.priority];
	switch (admit_arrive(admit_, &guest->admit, now_, &displaced)) {
	case ADMIT_RUN:
		started(*guest);
		break;
	case ADMIT_QUEUED:
		if (displaced) {
			Guest &other =
				*caa_container_of(displaced, Guest, admit);
			checkDisplaced(*guest, other);
			other.queued = false;
		}
		guest->queued = true;
		if ((int)all(&Guest::queued).size() > places)
			violate("more places than queue_max");
		break;
	case ADMIT_REFUSED_FULL:
		checkFull(*guest);
		break;
	case ADMIT_REFUSED_DEADLINE:
		if (idle && guest->admit.deadline > now_)
			violate("refused for its deadline by an idle target");
		break;
	case ADMIT_REFUSED_DRAINING:
		if (!draining_)
			violate("refused as draining");
		return;
	}
	if (draining_)
		violate("new work while draining");
}

void Gate::checkDisplaced(const Guest &guest, const Guest &displaced)
{
	int own = guest.admit.priority;
	int other = displaced.admit.priority;

	if (!displaced.queued)
		violate("displaced a request that was not queued");
	if (own == other) {
		if (count(own, displaced.admit.caller) <
		    count(own, guest.admit.caller) + 2)
			violate("displaced a caller with no more places");
	} else if (count(other) <= guarantee()) {
		violate("displaced below the guarantee of a priority");
	} else if (other < own && count(own) >= guarantee()) {
		violate("displaced a higher priority");
	}
}

void Gate::checkFull(const Guest &guest)
{
	int own = guest.admit.priority;

	if ((int)all(&Guest::queued).size() < options_.queue_max)
		violate("refused though the queue was not full");
	if (longest(own) >= count(own, guest.admit.caller) + 2)
		violate("refused though another caller had more places");
	for (int i = own + 1; i < ADMIT_NR_PRIORITIES; i++)
		if (count(i) > guarantee())
			violate("refused though a lower priority had places");
	if (options_.queue_max && count(own) < guarantee() &&
	    (int)all(&Guest::queued).size() <= options_.queue_max)
		violate("refused below the guarantee of its priority");
}

void Gate::started(Guest &guest)
{
	int priority = guest.admit.priority;
	long class_starts = class_starts_[priority] - guest.class_starts;
	long starts = starts_ - guest.starts;

	if (guest.admit.deadline <= now_)
		violate("started after its deadline");
	guest.queued = false;
	guest.running = true;
	if ((int)all(&Guest::running).size() > admit_limit(admit_, now_))
		violate("more running than the limit");
	/*
	 * Its caller needs cost_ahead turns; in each every other caller takes
	 * one, and each may have saved up to kCostMax before.
	 */
	if (class_starts > (guest.cost_ahead + 1 + kCostMax) * kCallers +
				   guest.places_ahead + 1)
		violate("passed by other callers too often");
	if (starts > kRound * (class_starts / kWeights[priority] + 2))
		violate("passed by other priorities too often");
	class_starts_[priority]++;
	starts_++;
}

void Gate::takeExpired(struct cds_list_head *expired, bool in_turn)
{
	struct admit_request *request, *next;

	cds_list_for_each_entry_safe (request, next, expired, node) {
		Guest &guest = *caa_container_of(request, Guest, admit);

		if (!guest.queued)
			violate("a request came back twice");
		if (guest.admit.deadline == INT64_MAX)
			violate("a request without deadline was dropped");
		guest.queued = false;
		if (in_turn) {
			starts_++;
			class_starts_[guest.admit.priority]++;
		}
	}
}

void Gate::pump()
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
		Guest &guest = *caa_container_of(request, Guest, admit);
		if (!guest.queued)
			violate("a request came back twice");
		started(guest);
	}
	if (admit_queued(admit_) != (int)all(&Guest::queued).size())
		violate("a queued request did not come back");
	if (admit_queued(admit_) &&
	    admit_running(admit_) < admit_limit(admit_, now_))
		violate("a slot is free while requests wait");
	admit_expire(admit_, now_, &expired);
	takeExpired(&expired, false);
	if (admit_next_timer(admit_) <= now_)
		violate("the timer is not after now");
	checkLimit();
}

void Gate::checkLimit()
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
		violate("limit rose faster than by time");
	if (options_.limit_policy == &admit_limit_observed &&
	    limit > by_answers_)
		violate("limit rose without answers");
}

void Gate::advance(int64_t ns)
{
	int steps = options_.slots - options_.cold_slots;

	now_ += ns;
	by_time_ += (double)ns * steps / options_.ramp_ns / (1 << backoff_);
	by_time_ = std::min(by_time_, (double)options_.slots);
}

void Gate::end(const Op &op)
{
	std::vector<Guest *> running = all(&Guest::running);
	enum admit_outcome outcome =
		op.c % 4 ? ADMIT_ANSWERED : (enum admit_outcome)(op.c / 4 % 4);

	if (running.empty())
		return;
	Guest &guest = *running[op.a % running.size()];
	if (outcome == ADMIT_LOST) {
		bool first = admit_backend_lost(admit_, guest.admit.life, now_);

		if (first != (guest.admit.life == life_))
			violate("one crash counted twice or not at all");
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
	admit_done(admit_, &guest.admit, outcome, now_);
	guest.running = false;
	by_answers_ += outcome == ADMIT_ANSWERED && guest.admit.life == life_;
}

void Gate::setPolicy(const Op &op)
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

void Gate::apply(const Op &op)
{
	std::vector<Guest *> queued;

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
		queued = all(&Guest::queued);
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
	pump();
	guests_.erase(std::remove_if(guests_.begin(), guests_.end(),
				     [](const std::unique_ptr<Guest> &guest) {
					     return !guest->queued &&
						    !guest->running;
				     }),
		      guests_.end());
}

void Gate::settle()
{
	Op answered = { 0, 0, 0, 1 };

	while (!all(&Guest::running).empty() && violation.empty()) {
		advance(kMs);
		end(answered);
		pump();
	}
	if (!all(&Guest::queued).empty())
		violate("a request waits for ever");
	/* Steady answers bring the limit back to slots. */
	for (int i = 0; i < 3000 && !draining_ && violation.empty(); i++) {
		arrive({ 0, 0, 0, 1 });
		advance(4 * kMs);
		pump();
		end(answered);
		guests_.clear();
	}
	if (!draining_ && admit_limit(admit_, now_) != options_.slots)
		violate("the limit does not come back to slots");
}
