#include "replay.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <string>

extern "C" {
#include "admit/admit.h"
#include "balance/balance.h"
#include "base/clock.h"
#include "cost/estimate.h"
#include "cost/server.h"
}

namespace
{
constexpr int kPlacedMax = 4, kDuePlacedMax = 2;
constexpr int64_t kDelay = 500 * NS_PER_US, kPoll = 20 * NS_PER_MS;

struct Sender {
	struct rng rng = {};
	struct balance *balance = nullptr;
	struct cost_estimate routes[2] = {};
	~Sender()
	{
		balance_free(balance);
	}
};

struct Server {
	struct admit *admit = nullptr;
	struct cost_server cost = {};
	double speed = 1, pace = 1, busy = 0;
	int64_t outstanding = 0; /* expected work of its requests */
	bool lies = false;
	~Server()
	{
		admit_free(admit);
	}
};

struct Request {
	struct admit_request admit = {};
	int sender = 0, route = 0, server = 0, placed = 0;
	bool accepts_late = false, first_late = false;
	double work = 0;
	int64_t expected_work = 0, arrival = 0, due = 0, deadline = 0;
	int64_t sent = 0;
	balance_handle target = 0;
	std::vector<balance_handle> excluded;
	struct balance_result result = {};
};

enum Kind {
	ARRIVAL,
	AT_SERVER,
	SERVED,
	AT_SENDER,
	PACES,
	POLL
};

struct Event {
	int64_t at;
	uint64_t order;
	Kind kind;
	Request *request;
	bool operator<(const Event &other) const
	{
		return at != other.at ? at > other.at : order > other.order;
	}
};

class Replay
{
      public:
	explicit Replay(const ReplayOptions &options);
	ReplayResult run();

      private:
	double uniform()
	{
		return ((double)(rng_next(&rng_) >> 11) + 0.5) / 0x1p53;
	}
	void push(int64_t after, Kind kind, Request *request = nullptr)
	{
		events_.push({ now_ + after, order_++, kind, request });
	}
	void arrive();
	void place(Request *request);
	void submit(Request *request);
	void start(Request *request);
	void startNext(Server &server);
	void answer(Request *request, enum failure_reason reason);
	void receive(Request *request);
	void end(Request *request, bool served);
	void setPaces();

	const ReplayOptions &options_;
	struct rng rng_ = {};
	int64_t now_ = NS_PER_SEC;
	uint64_t order_ = 0;
	int unfinished_ = 0; /* requests */
	std::priority_queue<Event> events_;
	std::vector<std::unique_ptr<Sender>> senders_;
	std::vector<std::unique_ptr<Server>> servers_;
	ReplayResult result_ = {};
};

Replay::Replay(const ReplayOptions &options) : options_(options)
{
	struct balance_service service = { "s", 50, 80 };
	std::vector<std::string> hosts, zones, traffic;
	std::vector<struct balance_target> targets;

	rng_init(&rng_, options.seed);
	for (int i = 0; i < options.servers; i++) {
		struct admit_options admit = {};

		servers_.push_back(std::make_unique<Server>());
		admit.slots = admit.cold_slots = options.slots;
		admit.queue_max = 3 * options.slots;
		admit.limit_policy = &admit_limit_fixed;
		servers_[i]->admit = admit_new(&admit, now_);
		servers_[i]->speed = options.speeds[i % options.speeds.size()];
		servers_[i]->lies = options.false_reports && i % 10 == 3;
		hosts.push_back(std::to_string(i));
		zones.push_back("z" + std::to_string(i / 4 % 3));
		traffic.push_back("t" + std::to_string(i));
	}
	for (int i = 0; i < options.servers; i++)
		targets.push_back({ hosts[i].c_str(), zones[i].c_str(), "r",
				    traffic[i].c_str(), (uint32_t)options.slots,
				    (uint32_t)options.slots, true });
	for (int i = 0; i < options.senders; i++) {
		std::string name = "sender" + std::to_string(i);
		std::string zone = "z" + std::to_string(i % 3);
		struct balance_options own = {};

		senders_.push_back(std::make_unique<Sender>());
		Sender &sender = *senders_.back();
		rng_init(&sender.rng, options.seed * 1000 + (uint64_t)i);
		own.host = name.c_str();
		own.zone = zone.c_str();
		own.region = "r";
		own.rng = &sender.rng;
		sender.balance = balance_new(&own);
		balance_update_begin(sender.balance);
		balance_update(sender.balance, &service, targets.data(),
			       targets.size(), now_);
		balance_update_end(sender.balance, now_);
		for (struct cost_estimate &route : sender.routes)
			cost_estimate_init(&route,
					   (int64_t)(options.objective_ms *
						     NS_PER_MS));
	}
}

void Replay::setPaces()
{
	for (auto &server : servers_)
		server->pace = uniform() < options_.slow_share ? 2.5 : 1;
}

void Replay::arrive()
{
	Request *request = new Request();
	double factor = -std::log(uniform()) * 0.6 + 0.4;

	request->sender = (int)rng_below(&rng_, (uint64_t)options_.senders);
	request->route = options_.two_routes && uniform() < 1.0 / 3;
	if (options_.two_routes)
		factor *= request->route ? 2.2 : 0.4;
	if (uniform() < options_.rare_long)
		factor *= 7;
	request->work = factor * options_.work_ms * NS_PER_MS;
	request->arrival = now_;
	request->due = now_ + (int64_t)(options_.objective_ms * NS_PER_MS);
	request->deadline = now_ + 3 * (request->due - now_);
	result_.requests++;
	unfinished_++;
	place(request);
}

void Replay::place(Request *request)
{
	Sender &sender = *senders_[request->sender];
	struct balance_request pick = {};
	struct balance_choice choice;

	request->expected_work =
		cost_estimate_mean_ns(&sender.routes[request->route]);
	pick.excluded = request->excluded.data();
	pick.nr_excluded = request->excluded.size();
	pick.retryable = true;
	if (request->placed == kPlacedMax ||
	    !balance_pick_for(sender.balance, &pick,
			      options_.expected ? request->expected_work : 0,
			      now_, &choice) ||
	    !balance_start(sender.balance, choice.target, now_)) {
		end(request, false);
		return;
	}
	balance_add_work(sender.balance, choice.target, request->expected_work);
	request->placed++;
	result_.crossed += !choice.own_zone;
	request->excluded.push_back(choice.target);
	request->target = choice.target;
	request->server = atoi(choice.host);
	request->sent = now_;
	push(kDelay, AT_SERVER, request);
}

void Replay::submit(Request *request)
{
	Server &server = *servers_[request->server];
	struct admit_request *displaced = nullptr;
	struct admit_request &admit = request->admit;

	result_.arrivals++;
	server.outstanding += request->expected_work;
	admit = {};
	admit.priority = ADMIT_LOOKUP;
	admit.caller = (uint64_t)request->sender;
	admit.deadline = request->deadline;
	admit.objective = request->due;
	if (request->placed <= kDuePlacedMax)
		admit.due = request->due;
	if (options_.queue && options_.reports &&
	    cost_estimate_is_observed(
		    &senders_[request->sender]->routes[request->route]))
		admit.expected_ns =
			(int64_t)((double)request->expected_work *
				  cost_server_factor(&server.cost, now_));
	switch (admit_arrive(server.admit, &admit, now_, &displaced)) {
	case ADMIT_RUN:
		start(request);
		break;
	case ADMIT_QUEUED:
		break;
	case ADMIT_REFUSED_FULL:
		answer(request, FAILURE_QUEUE_FULL);
		break;
	default:
		answer(request, FAILURE_TARGET_DEADLINE);
		break;
	}
	if (displaced)
		answer(caa_container_of(displaced, Request, admit),
		       FAILURE_QUEUE_FULL);
}

void Replay::start(Request *request)
{
	Server &server = *servers_[request->server];
	double run = request->work / server.speed * server.pace;

	if (request->placed == 1 &&
	    now_ - request->arrival > (request->due - request->arrival) / 2)
		result_.late_first++;
	server.busy += run;
	push((int64_t)run, SERVED, request);
}

void Replay::startNext(Server &server)
{
	struct admit_request *next, *following;
	struct cds_list_head expired;

	CDS_INIT_LIST_HEAD(&expired);
	while ((next = admit_next(server.admit, now_, &expired)))
		start(caa_container_of(next, Request, admit));
	cds_list_for_each_entry_safe (next, following, &expired, node)
		answer(caa_container_of(next, Request, admit),
		       FAILURE_TARGET_DEADLINE);
}

void Replay::answer(Request *request, enum failure_reason reason)
{
	Server &server = *servers_[request->server];
	struct balance_result &result = request->result;
	int pace = server.lies ? 20 : (int)(100 * server.pace);

	server.outstanding -= request->expected_work;
	result = {};
	result.reason = reason;
	result.reported = true;
	result.in_flight = (uint32_t)admit_running(server.admit);
	result.queue = (uint32_t)admit_queued(server.admit);
	result.limit = (uint32_t)options_.slots;
	result.expected_ns = admit_service_ns(server.admit, ADMIT_LOOKUP);
	result.wait_ns = admit_wait_ns(server.admit);
	result.work_ns = request->expected_work;
	if (options_.reports) {
		result.pace_percent = pace;
		result.backlog_ns =
			server.lies ? 0 : server.outstanding / options_.slots;
	}
	if (reason == FAILURE_NONE) {
		result.run_ns = now_ - request->admit.started;
		cost_server_report(&server.cost, pace, 0, now_);
		cost_server_ran(&server.cost, result.run_ns,
				request->expected_work, pace, now_);
	} else {
		result_.refused++;
	}
	push(kDelay, AT_SENDER, request);
}

void Replay::receive(Request *request)
{
	Sender &sender = *senders_[request->sender];
	struct balance_result &result = request->result;

	result.latency_ns = now_ - request->sent;
	balance_finish(sender.balance, request->target, &result, now_);
	if (result.reason != FAILURE_NONE) {
		place(request);
		return;
	}
	cost_estimate_add(&sender.routes[request->route],
			  (int64_t)((double)result.run_ns /
				    balance_target_factor(sender.balance,
							  request->target,
							  now_)),
			  now_);
	end(request, true);
}

void Replay::end(Request *request, bool served)
{
	result_.in_objective += served && now_ <= request->due;
	unfinished_--;
	delete request;
}

ReplayResult Replay::run()
{
	int64_t stop = now_ + options_.seconds * NS_PER_SEC;
	double sum = 0, most = 0;

	push(0, ARRIVAL);
	push(0, PACES);
	push(0, POLL);
	while (!events_.empty()) {
		Event event = events_.top();

		events_.pop();
		now_ = event.at;
		switch (event.kind) {
		case ARRIVAL:
			arrive();
			if (now_ < stop)
				push((int64_t)(-std::log(uniform()) *
					       NS_PER_SEC / options_.per_s),
				     ARRIVAL);
			break;
		case AT_SERVER:
			submit(event.request);
			break;
		case SERVED: {
			Server &server = *servers_[event.request->server];

			admit_done(server.admit, &event.request->admit,
				   ADMIT_ANSWERED, now_);
			answer(event.request, FAILURE_NONE);
			startNext(server);
			break;
		}
		case AT_SENDER:
			receive(event.request);
			break;
		case PACES:
			setPaces();
			if (now_ < stop)
				push(options_.pace_ms * NS_PER_MS, PACES);
			break;
		case POLL:
			for (auto &server : servers_)
				startNext(*server);
			if (now_ < stop || unfinished_)
				push(kPoll, POLL);
			break;
		}
	}
	for (auto &server : servers_) {
		sum += server->busy;
		most = std::max(most, server->busy);
	}
	result_.busiest = most * options_.servers / sum;
	return result_;
}

} // namespace

ReplayResult replay(const ReplayOptions &options)
{
	return Replay(options).run();
}
