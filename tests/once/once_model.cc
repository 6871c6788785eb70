#include "once_model.h"

#include <algorithm>
#include <cstring>

namespace
{
constexpr unsigned kHosts = 3;
constexpr int64_t kMs = 1000000;
constexpr int64_t kTicketLifeMs = 1500;
constexpr int64_t kSlackMs = 200;
constexpr std::size_t kAnswerMax = 40;
constexpr std::size_t kAnswerBudget = 100;

std::string answerFor(uint64_t request)
{
	/* Every fifth answer is too large to be stored. */
	return "answer to " + std::to_string(request) + " " +
	       std::string(request % 5 ? 8 : kAnswerMax, '.');
}
} // namespace

long OnceModel::nr_runs, OnceModel::nr_not_run, OnceModel::nr_replays,
	OnceModel::nr_unknown;

OnceModel::OnceModel(Misuse misuse) : misuse_(misuse), daemons_(kHosts)
{
	for (unsigned i = 0; i < kHosts; i++) {
		daemons_[i].host = i;
		daemons_[i].clock_offset = i * 12345 * kMs;
		start(daemons_[i]);
	}
}

OnceModel::~OnceModel()
{
	for (Daemon &d : daemons_)
		kill(d);
}

void OnceModel::violate(const std::string &what)
{
	if (violation.empty())
		violation = what;
}

int64_t OnceModel::now(const Daemon &d) const
{
	return time_ + d.clock_offset;
}

void OnceModel::start(Daemon &d)
{
	std::string host = "h" + std::to_string(d.host);
	struct once_options once = {};
	struct admit_options admit = {};

	if (d.alive)
		return;
	if (misuse_ != Misuse::SameIncarnation || !d.incarnation)
		d.incarnation = ++nr_incarnations_;
	once.host = host.c_str();
	once.incarnation = d.incarnation;
	once.now = now(d);
	once.wall_ms = 1000000000 + time_ / kMs + d.wall_offset_ms;
	once.ticket_life_ms = kTicketLifeMs;
	once.expiry_slack_ms = kSlackMs;
	once.max_records = 6;
	once.max_refusals = 4;
	once.answer_max_bytes = kAnswerMax;
	once.answer_budget = kAnswerBudget;
	admit.slots = 3;
	admit.queue_max = 3;
	admit.cold_slots = 1;
	admit.ramp_ns = 500 * kMs;
	d.once = once_new(&once);
	d.admit = admit_new(&admit, now(d));
	d.alive = true;
	d.paused = d.draining = false;
}

void OnceModel::kill(Daemon &d)
{
	if (!d.alive)
		return;
	for (Job *job : d.jobs) {
		admit_cancel(d.admit, &job->admit);
		copies_[job->copy].lost = true;
		delete job;
	}
	for (const Message &m : d.inbox)
		copies_[m.copy].lost = true;
	d.jobs.clear();
	d.inbox.clear();
	once_free(d.once);
	admit_free(d.admit);
	d.alive = false;
}

/* Creates an order with a new ticket, a used one or a forged one. */
void OnceModel::issue(const Op &op)
{
	Daemon &d = daemons_[op.a % kHosts];
	unsigned char random[TICKET_RANDOM_BYTES] = {};
	uint64_t request = orders_.size();
	struct ticket ticket;
	char text[TICKET_TEXT_MAX];

	if (op.b % 8 == 0 && !orders_.empty()) {
		orders_.push_back(
			{ orders_[op.c % orders_.size()].ticket, request });
		return;
	}
	if (!d.alive || d.paused)
		return;
	nr_random_++;
	memcpy(random, &nr_random_, sizeof(nr_random_));
	once_issue(d.once, now(d), random, &ticket);
	if (op.b % 8 == 1)
		ticket.expiry_wall_ms += kSlackMs + op.c % 400;
	ticket_format(&ticket, text);
	orders_.push_back({ text, request });
}

void OnceModel::send(unsigned n)
{
	if (orders_.empty())
		return;
	/* Mostly recent orders, so that copies meet the first one. */
	unsigned recent = std::min<unsigned>(orders_.size(), 6);
	unsigned order = n % 4 ? orders_.size() - 1 - n / 4 % recent
			       : n / 4 % orders_.size();

	copies_.push_back({ order, orders_[order].ticket,
			    orders_[order].request, false, 0 });
	network_.push_back(copies_.size() - 1);
}

void OnceModel::deliver(const Op &op)
{
	if (network_.empty())
		return;
	unsigned at = op.a % network_.size();
	unsigned copy = network_[at];
	struct ticket ticket;

	network_.erase(network_.begin() + at);
	if (!ticket_parse(&ticket, copies_[copy].ticket.c_str())) {
		violate("ticket_parse() rejects an issued ticket");
		return;
	}
	Daemon &d = daemons_[ticket.host[1] - '0'];
	if (!d.alive) {
		copies_[copy].lost = true;
		return;
	}
	/* A thread may read the clock long before it gets the lock. */
	if (d.paused || op.b % 2)
		d.inbox.push_back({ copy, now(d) });
	else
		process(d, { copy, now(d) });
}

void OnceModel::process(Daemon &d, const Message &m)
{
	const Copy &copy = copies_[m.copy];
	struct ticket ticket;
	Job *job = new Job();
	size_t len;
	const char *stored;

	job->copy = m.copy;
	d.jobs.push_back(job);
	ticket_parse(&ticket, copy.ticket.c_str());
	if (d.draining && misuse_ == Misuse::RefusesDrained) {
		answer(d, job, Outcome::NotRun, "");
		return;
	}
	if (d.draining && m.copy % 2) {
		refuse(d, job);
		return;
	}
	switch (once_begin(d.once, &ticket, copy.request, m.read_at,
			   &job->record)) {
	case ONCE_RUN:
		processNew(d, job, m.read_at);
		break;
	case ONCE_WAIT:
		job->state = JobState::Waiting;
		once_wait(job->record, &job->waiter);
		break;
	case ONCE_REPLAY:
		nr_replays++;
		stored = (const char *)once_answer(job->record, &len);
		answer(d, job, Outcome::Ran, std::string(stored, len));
		break;
	case ONCE_RAN:
		answer(d, job, Outcome::Ran, "");
		break;
	case ONCE_REFUSED:
		answer(d, job, Outcome::NotRun, "");
		break;
	case ONCE_TOO_FAR:
	case ONCE_TABLE_FULL:
		refuse(d, job);
		break;
	default:
		answer(d, job, Outcome::Unknown, "");
	}
}

void OnceModel::processNew(Daemon &d, Job *job, int64_t at)
{
	struct admit_request *displaced;

	job->admit.priority = (enum admit_priority)(job->copy % 3);
	job->admit.caller = job->copy % 4;
	job->admit.deadline = at + (100 + job->copy % 7 * 150) * kMs;
	switch (admit_arrive(d.admit, &job->admit, at, &displaced)) {
	case ADMIT_RUN:
		job->state = JobState::Pending;
		break;
	case ADMIT_QUEUED:
		job->state = JobState::Queued;
		break;
	default:
		abort(d, job);
		return;
	}
	if (d.draining)
		violate("request admitted while draining");
	if (displaced)
		abort(d, caa_container_of(displaced, Job, admit));
}

void OnceModel::update(Daemon &d)
{
	CDS_LIST_HEAD(expired);
	struct admit_request *request, *next;

	if (!d.alive || d.paused)
		return;
	while ((request = admit_next(d.admit, now(d), &expired)))
		caa_container_of(request, Job, admit)->state =
			JobState::Pending;
	admit_expire(d.admit, now(d), &expired);
	cds_list_for_each_entry_safe (request, next, &expired, node)
		abort(d, caa_container_of(request, Job, admit));
	once_expire(d.once, now(d));
	check(d);
}

Job *OnceModel::pick(Daemon &d, unsigned n, JobState a, JobState b)
{
	std::vector<Job *> found;

	for (Job *job : d.jobs)
		if (job->state == a || job->state == b)
			found.push_back(job);
	return found.empty() ? nullptr : found[n % found.size()];
}

/* One step of a slot worker: sends a request or receives its answer. */
void OnceModel::work(Daemon &d, const Op &op)
{
	Job *job = pick(d, op.b, JobState::Pending, JobState::Running);

	if (!d.alive || d.paused || !job)
		return;
	const Copy &copy = copies_[job->copy];
	if (job->state == JobState::Pending) {
		if (op.c % 8 == 0) {
			admit_backend_lost(d.admit, job->admit.life, now(d));
			admit_done(d.admit, &job->admit, ADMIT_LOST, now(d));
			abort(d, job);
		} else if (op.c % 8 == 1) {
			admit_done(d.admit, &job->admit, ADMIT_SHED, now(d));
			abort(d, job);
		} else {
			ran(copy);
			job->state = JobState::Running;
		}
		return;
	}
	if (op.c % 4) {
		end(d, job, Outcome::Ran, answerFor(copy.request),
		    ADMIT_ANSWERED);
		return;
	}
	admit_backend_lost(d.admit, job->admit.life, now(d));
	if (misuse_ == Misuse::RetriesLost)
		ran(copy);
	if (misuse_ == Misuse::LostIsNotRun) {
		admit_done(d.admit, &job->admit, ADMIT_LOST, now(d));
		abort(d, job);
	} else {
		end(d, job, Outcome::Unknown, "", ADMIT_LOST);
	}
}

void OnceModel::end(Daemon &d, Job *job, Outcome outcome,
		    const std::string &body, enum admit_outcome admit_outcome)
{
	struct cds_list_head waiters;

	admit_done(d.admit, &job->admit, admit_outcome, now(d));
	once_finish(d.once, job->record,
		    outcome == Outcome::Ran ? ONCE_OUTCOME_RAN
					    : ONCE_OUTCOME_UNKNOWN,
		    body.data(), body.size(), now(d), &waiters);
	answer(d, job, outcome, body);
	answerWaiters(d, &waiters, outcome, body);
}

void OnceModel::abort(Daemon &d, Job *job)
{
	struct cds_list_head waiters;
	bool remembered = once_abort(d.once, job->record, now(d), &waiters);
	Outcome outcome = remembered || misuse_ == Misuse::IgnoresRefusal
				  ? Outcome::NotRun
				  : Outcome::Unknown;

	answer(d, job, outcome, "");
	answerWaiters(d, &waiters, outcome, "");
}

void OnceModel::refuse(Daemon &d, Job *job)
{
	struct ticket ticket;

	ticket_parse(&ticket, copies_[job->copy].ticket.c_str());
	answer(d, job,
	       once_refuse(d.once, &ticket, now(d)) ? Outcome::NotRun
						    : Outcome::Unknown,
	       "");
}

void OnceModel::answerWaiters(Daemon &d, struct cds_list_head *waiters,
			      Outcome outcome, const std::string &body)
{
	struct once_waiter *waiter, *next;

	if (misuse_ == Misuse::AnswersOne)
		return;
	cds_list_for_each_entry_safe (waiter, next, waiters, node)
		answer(d, caa_container_of(waiter, Job, waiter), outcome, body);
}

/* Ends a copy and checks its answer against the requests that ran. */
void OnceModel::answer(Daemon &d, Job *job, Outcome outcome,
		       const std::string &body)
{
	Copy &copy = copies_[job->copy];
	auto key = std::make_pair(copy.ticket, copy.request);

	copy.answers++;
	nr_not_run += outcome == Outcome::NotRun;
	nr_unknown += outcome == Outcome::Unknown;
	if (outcome == Outcome::NotRun) {
		not_run_.insert(key);
		if (ran_.count(key))
			violate("not-run answered for a request that ran");
	}
	if (outcome == Outcome::Ran) {
		if (!body.empty() && body != answerFor(copy.request))
			violate("answer of another request replayed: " + body);
		if (!ran_.count(key))
			violate("ran answered for a request that did not run");
	}
	d.jobs.erase(std::find(d.jobs.begin(), d.jobs.end(), job));
	delete job;
}

/* Records a run of a request and checks that it is permitted. */
void OnceModel::ran(const Copy &copy)
{
	auto key = std::make_pair(copy.ticket, copy.request);

	nr_runs++;
	if (++runs_[copy.ticket] > 1)
		violate("ticket ran twice: " + copy.ticket);
	ran_.insert(key);
	if (not_run_.count(key))
		violate("request ran after the answer not-run");
}

void OnceModel::check(Daemon &d)
{
	json_t *dump = once_dump(d.once);
	int running = 0;

	if (json_integer_value(json_object_get(dump, "answer_bytes")) >
	    (json_int_t)kAnswerBudget)
		violate("stored answers exceed answer_budget");
	json_decref(dump);
	for (Job *job : d.jobs)
		running += job->state == JobState::Pending ||
			   job->state == JobState::Running;
	if (running > 3)
		violate("more requests on the backend server than slots");
}

void OnceModel::apply(const Op &op)
{
	Daemon &d = daemons_[op.a % kHosts];
	Job *job;

	switch (op.kind % 40) {
	case 1 ... 5:
		issue(op);
		break;
	case 6 ... 11:
		send(op.a);
		break;
	case 12 ... 18:
		deliver(op);
		break;
	case 19 ... 20: /* duplicate */
		if (!network_.empty()) {
			Copy duplicate =
				copies_[network_[op.a % network_.size()]];
			copies_.push_back(duplicate);
			network_.push_back(copies_.size() - 1);
		}
		break;
	case 21: /* drop */
		if (!network_.empty()) {
			unsigned at = op.a % network_.size();
			copies_[network_[at]].lost = true;
			network_.erase(network_.begin() + at);
		}
		break;
	case 22 ... 25: /* a thread gets the lock */
		if (d.alive && !d.paused && !d.inbox.empty()) {
			unsigned at = op.b % d.inbox.size();
			Message m = d.inbox[at];
			d.inbox.erase(d.inbox.begin() + at);
			process(d, m);
		}
		break;
	case 26 ... 32:
		work(d, op);
		break;
	case 33 ... 34:
		time_ += op.b % (op.c % 4 ? 50 : 500) * kMs;
		break;
	case 35:
		if (op.b % 4 == 0)
			kill(d);
		else
			start(d);
		break;
	case 36:
		d.paused = op.b % 2;
		break;
	case 37:
		d.wall_offset_ms -= op.b % 5000;
		break;
	case 38:
		if (d.draining && op.b % 2) {
			kill(d);
			start(d);
		} else if (d.alive && !d.paused && op.b % 4 == 0) {
			d.draining = true;
			if (misuse_ != Misuse::IgnoresDrain)
				admit_drain(d.admit);
		}
		break;
	case 39: /* a caller cancels, or a waiting copy misses its deadline */
		job = pick(d, op.b, JobState::Queued, JobState::Waiting);
		if (!d.alive || d.paused || !job)
			break;
		if (job->state == JobState::Waiting) {
			once_wait_cancel(&job->waiter);
			answer(d, job, Outcome::Unknown, "");
		} else if (admit_cancel(d.admit, &job->admit)) {
			abort(d, job);
		}
		break;
	}
	for (Daemon &each : daemons_)
		update(each);
}

void OnceModel::settle()
{
	Op finish = { 0, 0, 0, 7 };

	for (Daemon &d : daemons_)
		d.paused = false;
	while (!network_.empty())
		deliver(finish);
	for (Daemon &d : daemons_) {
		while (d.alive && !d.inbox.empty()) {
			process(d, d.inbox.front());
			d.inbox.pop_front();
		}
	}
	for (int i = 0; i < 200; i++) {
		for (Daemon &d : daemons_) {
			work(d, finish);
			update(d);
		}
		time_ += 50 * kMs;
	}
	for (const Copy &copy : copies_)
		if (!copy.lost && copy.answers != 1)
			violate("a copy got " + std::to_string(copy.answers) +
				" answers");
	for (Daemon &d : daemons_) {
		if (!d.alive)
			continue;
		if (admit_queued(d.admit) || admit_running(d.admit))
			violate("requests are left in the queue or running");
		/* Also of forged tickets, which may expire later. */
		if (once_next_expiry(d.once) != INT64_MAX)
			violate("records are left after the last expiry");
	}
}
