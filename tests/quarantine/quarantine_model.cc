#include "quarantine_model.h"

#include <algorithm>
#include <set>

namespace
{
constexpr int64_t kMs = 1000000;
constexpr unsigned kNodes = 4;
constexpr int kCrashes = 3;
constexpr int64_t kQuarantine = 1000 * kMs;
constexpr uint64_t kCrashing = 2; /* fingerprints 0 and 1 crash servers */
constexpr uint64_t kFingerprints = 6;
constexpr std::size_t kEntries = 64;
} // namespace

QuarantineModel::QuarantineModel(Delivery delivery)
    : delivery_(delivery), nodes_(kNodes)
{
	for (unsigned i = 0; i < kNodes; i++)
		boot(i);
}

QuarantineModel::~QuarantineModel()
{
	for (Node &node : nodes_)
		quarantine_free(node.quarantine);
}

void QuarantineModel::violate(const std::string &what)
{
	if (violation.empty())
		violation = what;
}

/* Starts a daemon, or restarts it with a new incarnation. */
void QuarantineModel::boot(unsigned n)
{
	struct quarantine_options options = {};
	std::string host = "h" + std::to_string(n);

	if (nodes_[n].quarantine)
		quarantine_free(nodes_[n].quarantine);
	nodes_[n] = Node();
	nodes_[n].incarnation = ++nr_incarnations_;
	options.origin = quarantine_origin(host.c_str(), nodes_[n].incarnation);
	options.crashes = kCrashes;
	options.quarantine_ns = kQuarantine;
	options.max_entries = kEntries;
	nodes_[n].quarantine = quarantine_new(&options);
	for (unsigned from = 0; from < kNodes && delivery_ == Delivery::Prompt;
	     from++)
		for (std::size_t i = 0; i < kEntries;
		     i += QUARANTINE_EXPORT_MAX)
			if (nodes_[from].quarantine && from != n)
				sendEntries(from, n);
}

bool QuarantineModel::refused(unsigned node, uint64_t fingerprint) const
{
	return quarantine_check(nodes_[node].quarantine, fingerprint, now_,
				nullptr);
}

void QuarantineModel::start(unsigned n, uint64_t fingerprint)
{
	const auto &crashes = crashes_[fingerprint];
	long recent =
		std::count_if(crashes.begin(), crashes.end(), [&](int64_t at) {
			return at > now_ - kQuarantine;
		});

	if (refused(n, fingerprint)) {
		if (crashes.size() < kCrashes)
			violate("refused after too few crashes");
		return;
	}
	if (delivery_ == Delivery::Prompt && fingerprint < kCrashing &&
	    recent >= kCrashes)
		violate("a crashing request starts after enough crashes");
	nodes_[n].running.push_back(fingerprint);
}

void QuarantineModel::finish(unsigned n, unsigned which)
{
	Node &node = nodes_[n];

	if (node.running.empty())
		return;
	uint64_t fingerprint = node.running[which % node.running.size()];
	if (fingerprint < kCrashing) {
		crash(n, which % 2 || delivery_ == Delivery::Prompt);
		return;
	}
	node.running.erase(node.running.begin() + which % node.running.size());
	quarantine_success(node.quarantine, fingerprint, now_);
	if (refused(n, fingerprint))
		violate("refused just after a success");
}

void QuarantineModel::crash(unsigned n, bool all_at_once)
{
	Node &node = nodes_[n];
	std::set<uint64_t> in_flight(node.running.begin(), node.running.end());
	bool first = true;

	for (uint64_t fingerprint : in_flight) {
		crashes_[fingerprint].push_back(now_);
		node.crashes[fingerprint]++;
	}
	for (uint64_t fingerprint : node.running) {
		Report each = { n, node.incarnation, fingerprint, node.life };

		if (first || all_at_once)
			report(each);
		else
			late_reports_.push_back(each);
		first = false;
	}
	node.running.clear();
	node.life++;
}

void QuarantineModel::report(const Report &r)
{
	Node &node = nodes_[r.node];
	struct quarantine_entry entry;

	if (node.incarnation != r.incarnation)
		return;
	quarantine_crash(node.quarantine, r.fingerprint, r.life, now_, &entry);
	if (r.life > node.last_life[r.fingerprint]) {
		if (now_ - node.last_reported[r.fingerprint] >= kQuarantine)
			node.reported[r.fingerprint] = 0;
		node.reported[r.fingerprint]++;
		node.last_reported[r.fingerprint] = now_;
		node.last_life[r.fingerprint] = r.life;
	}
	checkCounts(r.node);
	for (unsigned to = 0; to < kNodes; to++)
		network_.push_back({ to, entry });
	if (delivery_ == Delivery::Prompt)
		deliverAll();
}

void QuarantineModel::sendEntries(unsigned from, unsigned to)
{
	struct quarantine_entry entries[QUARANTINE_EXPORT_MAX];
	size_t n = quarantine_export(nodes_[from].quarantine, now_, entries,
				     QUARANTINE_EXPORT_MAX);

	for (size_t i = 0; i < n; i++) {
		if (entries[i].left_ms == 0 ||
		    entries[i].left_ms > kQuarantine / kMs)
			violate("time left of a sent entry is not in "
				"1..quarantine_ns");
		network_.push_back({ to, entries[i] });
	}
	if (delivery_ == Delivery::Prompt)
		deliverAll();
}

void QuarantineModel::deliver(unsigned at)
{
	Message message = network_[at];

	network_.erase(network_.begin() + at);
	quarantine_merge(nodes_[message.to].quarantine, &message.entry, now_);
}

void QuarantineModel::deliverAll()
{
	while (!network_.empty())
		deliver(network_.size() - 1);
}

/* Receives entries of many other requests, twice as many as fit. */
void QuarantineModel::fillTable(unsigned n)
{
	for (std::size_t i = 0; i < 2 * kEntries; i++) {
		struct quarantine_entry entry = { 1000 + nr_filler_++, 5, 1, 0,
						  1000 };

		quarantine_merge(nodes_[n].quarantine, &entry, now_);
	}
	if (quarantine_expire(nodes_[n].quarantine, now_) > kEntries)
		violate("more entries than max_entries");
}

void QuarantineModel::check()
{
	for (unsigned n = 0; n < kNodes; n++)
		for (uint64_t f = 0; f < kCrashing; f++)
			if (nodes_[n].reported[f] >= kCrashes &&
			    now_ - nodes_[n].last_reported[f] < kQuarantine &&
			    !refused(n, f))
				violate("not refused after enough crashes");
}

/* A daemon must not count more crashes than its backend server had. */
void QuarantineModel::checkCounts(unsigned n)
{
	json_t *dump = quarantine_dump(nodes_[n].quarantine, now_);
	json_t *suspect;
	size_t i;

	json_array_foreach (json_object_get(dump, "suspects"), i, suspect) {
		uint64_t fingerprint =
			std::stoull(json_string_value(
					    json_object_get(suspect,
							    "fingerprint")),
				    nullptr, 16);

		if (json_is_true(json_object_get(suspect, "own")) &&
		    json_integer_value(json_object_get(suspect, "crashes")) >
			    nodes_[n].crashes[fingerprint])
			violate("one crash counted twice");
	}
	json_decref(dump);
}

void QuarantineModel::apply(const Op &op)
{
	unsigned node = op.a % kNodes;

	switch (op.kind % 32) {
	case 1 ... 10:
		start(node, op.b % kFingerprints);
		break;
	case 11 ... 16:
		finish(node, op.b);
		break;
	case 17 ... 19:
		sendEntries(node, op.b % kNodes);
		break;
	case 20 ... 23:
		if (network_.empty())
			break;
		if (op.b % 4 == 0)
			network_.push_back(network_[op.a % network_.size()]);
		if (op.b % 8 == 1)
			network_.erase(network_.begin() +
				       op.a % network_.size());
		else
			deliver(op.a % network_.size());
		break;
	case 24 ... 25:
		if (late_reports_.empty())
			break;
		report(late_reports_[op.a % late_reports_.size()]);
		late_reports_.erase(late_reports_.begin() +
				    op.a % late_reports_.size());
		break;
	case 26 ... 27:
		now_ += op.b % (op.c % 8 ? 100 : 1500) * kMs;
		break;
	case 28: /* a crash that is not caused by a request */
		if (op.b % 4 == 0)
			crash(node, op.c % 2 || delivery_ == Delivery::Prompt);
		break;
	case 29:
		if (op.b % 8 == 0)
			boot(node);
		break;
	case 30:
		quarantine_expire(nodes_[node].quarantine, now_);
		break;
	case 31:
		if (delivery_ == Delivery::Crowded && op.b % 4 == 0)
			fillTable(node);
		break;
	}
	check();
}

void QuarantineModel::settle()
{
	constexpr int kRounds = 40;

	/* Each round delivers the messages of the previous one. */
	for (int i = 0; i < kRounds; i++) {
		deliverAll();
		for (unsigned from = 0; from < kNodes; from++)
			for (unsigned to = 0; to < kNodes; to++)
				sendEntries(from, to);
		now_ += kQuarantine / 8;
	}
	for (unsigned n = 0; n < kNodes; n++) {
		for (uint64_t f = 0; f < kFingerprints; f++)
			if (refused(n, f))
				violate("a quarantine does not end");
		if (quarantine_expire(nodes_[n].quarantine, now_))
			violate("entries are left");
	}
}
