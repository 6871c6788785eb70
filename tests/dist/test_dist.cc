#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "fleet.h"

/* Tests single rules on one dist instance, with events made by the test. */

namespace
{

bool accept_all(void *, const dist_version *, findings *)
{
	return true;
}

const dist_validator validator = { accept_all };

std::string part_entry(const std::string &name, const std::string &hex,
		       size_t bytes)
{
	return "{\"name\":\"" + name + "\",\"digest\":\"" + hex +
	       "\",\"bytes\":" + std::to_string(bytes) + "}";
}

std::string manifest(int64_t number, const std::string &entries)
{
	return "{\"format\":1,\"version\":" + std::to_string(number) +
	       ",\"parts\":[" + entries + "]}";
}

/*
 * The daemon of host h0 with a host list of nr hosts, h0, h1... in zones z0..z2
 * in turn; with nr 0, without a host list.
 */
struct Daemon {
	::rng rng;
	::member *member;
	::dist *dist;
	host_list *list = nullptr;
	int64_t now = NS_PER_SEC;
	std::vector<dist_peer_call> peers;
	std::vector<dist_announce> announces;
	std::vector<dist_source_call> sources;
	size_t accepts = 0, crashes = 0;

	explicit Daemon(size_t nr, const char *seed = nullptr)
	{
		std::vector<std::string> names(nr);
		std::vector<member_host> hosts;
		member_options mo = {};
		dist_options options = {};

		rng_init(&rng, 1);
		mo.host = mo.control = "h0";
		mo.zone = "z0";
		mo.region = "r";
		mo.seeds = &seed;
		mo.nr_seeds = seed ? 1 : 0;
		mo.rng = &rng;
		member = member_new(&mo);
		options.member = member;
		options.rng = &rng;
		options.validator = &validator;
		options.now = now;
		dist = dist_new(&options);
		for (size_t i = 0; i < nr; i++) {
			static const char *const zones[] = { "z0", "z1", "z2" };

			names[i] = "h" + std::to_string(i);
			hosts.push_back({ names[i].c_str(), zones[i % 3], "r",
					  names[i].c_str(), false, 0 });
		}
		if (nr) {
			list = host_list_new(1, hosts.data(), nr);
			dist_host_list(dist, list, now);
		} else {
			dist_tick(dist, now);
		}
		drain();
	}
	~Daemon()
	{
		dist_free(dist);
		member_free(member);
		host_list_unref(list);
	}
	void drain()
	{
		while (dist_action *action = dist_next_action(dist)) {
			if (action->kind == DIST_ACTION_PEER) {
				peers.push_back(action->peer);
				if (action->peer.announce)
					announces.push_back(
						*action->peer.announce);
			} else if (action->kind == DIST_ACTION_SOURCE) {
				sources.push_back(action->source);
			}
			accepts += action->kind == DIST_ACTION_ACCEPT;
			crashes += action->kind == DIST_ACTION_CRASHES;
			dist_action_free(action);
		}
	}
	/* Ticks every 100 ms until the condition holds or the time is over. */
	bool wait(int64_t ns, const std::function<bool()> &done)
	{
		for (int64_t end = now + ns; now < end && !done();) {
			now += 100 * NS_PER_MS;
			dist_tick(dist, now);
			drain();
		}
		return done();
	}
	dist_announce from(const char *host) const
	{
		dist_announce announce = {};

		strcpy(announce.host, host);
		strcpy(announce.control, host);
		announce.confirmation_age_ms = -1;
		return announce;
	}
	void answer_announces()
	{
		std::vector<dist_peer_call> calls;

		calls.swap(peers);
		for (const dist_peer_call &call : calls) {
			dist_announce answer = from(call.control);

			if (call.procedure == DIST_ANNOUNCE)
				dist_peer_announced(dist, call.call, &answer,
						    now);
		}
		drain();
	}
	void answer_source(dist_outcome outcome, const std::string &bytes = "")
	{
		blob *blob = outcome == DIST_VALUE
				     ? blob_new(bytes.data(), bytes.size())
				     : nullptr;

		dist_source_result(dist, sources.back().call, outcome, blob,
				   now);
		blob_unref(blob);
		drain();
	}
	bool wait_source(size_t nr)
	{
		return wait(60 * NS_PER_SEC,
			    [&] { return sources.size() >= nr; });
	}
	/* Answers the source's calls so that a version of one part is read. */
	void accept(int64_t number)
	{
		std::string part = "{\"n\":" + std::to_string(number) + "}";
		size_t nr = sources.size(), before = accepts;

		if (!nr || sources.back().is_part) {
			ASSERT_TRUE(wait_source(nr + 1));
		}
		answer_source(DIST_VALUE,
			      manifest(number, part_entry("root", hex_of(part),
							  part.size())));
		ASSERT_TRUE(wait(5 * NS_PER_SEC,
				 [&] { return sources.back().is_part; }));
		answer_source(DIST_VALUE, part);
		ASSERT_EQ(accepts, before + 1);
	}
};

} // namespace

/* Guards against accepting a manifest that is invalid or exceeds a limit. */
TEST(Dist, ManifestLimits)
{
	const std::string hex(64, 'a');
	const std::string good = part_entry("root", hex, 1048576);
	std::string many, big;
	struct {
		std::string text;
		bool valid;
	} cases[] = {
		{ manifest(1, good), true },
		{ manifest(DIST_NUMBER_MAX, good), true },
		{ manifest(0, good), false },
		{ manifest(DIST_NUMBER_MAX + 1, good), false },
		{ manifest(1, ""), false },
		{ "{}", false },
		{ "{\"format\":2,\"version\":1,\"parts\":[" + good + "]}",
		  false },
		{ "{\"format\":1,\"version\":1,\"version\":2,\"parts\":[" +
			  good + "]}",
		  false },
		{ "{\"format\":1,\"version\":1,\"x\":1,\"parts\":[" + good +
			  "]}",
		  false },
		{ manifest(1, good + "," + good), false },
		{ manifest(1, part_entry("service/a", hex, 1) + "," + good),
		  false },
		{ manifest(1, part_entry("other", hex, 1)), false },
		{ manifest(1, part_entry("service/", hex, 1)), false },
		{ manifest(1, part_entry("service/A", hex, 1)), false },
		{ manifest(1, part_entry("root", "aa", 1)), false },
		{ manifest(1, part_entry("root", hex, 0)), false },
		{ manifest(1, part_entry("root", hex, 1048577)), false },
	};

	for (int i = 0; i < 8193; i++) {
		char name[32];

		snprintf(name, sizeof(name), "service/a%05d", i);
		many += (i ? "," : "") + part_entry(name, hex, 1);
		if (i < 17)
			big += (i ? "," : "") + part_entry(name, hex, 1048576);
	}
	auto parse = [](const std::string &text) {
		blob *blob = blob_new(text.data(), text.size());
		findings found;
		int64_t number;
		dist_version *version;
		bool valid;

		findings_init(&found);
		version = dist_version_parse(blob, &found, &number);
		valid = version != nullptr;
		EXPECT_EQ(valid, !found.nr_errors);
		findings_release(&found);
		dist_version_unref(version);
		blob_unref(blob);
		return valid;
	};
	for (const auto &c : cases)
		EXPECT_EQ(parse(c.text), c.valid) << c.text;
	EXPECT_FALSE(parse(manifest(1, many)));
	EXPECT_FALSE(parse(manifest(1, big)));
	EXPECT_FALSE(parse(manifest(1, good) + std::string(1048576, ' ')));
}

/*
 * Guards against members that watch the source while the readers of their zone
 * confirm it, and against members that never take over.
 */
TEST(Dist, LowerRanksTakeOverByAgeOfConfirmation)
{
	Daemon daemon(60);
	size_t rank = member_rank(daemon.member, daemon.now);
	int64_t start = daemon.now;
	int64_t limit;

	ASSERT_GE(rank, 2u);
	limit = 15 * NS_PER_SEC + (int64_t)(rank - 1) * 5 * NS_PER_SEC;
	ASSERT_TRUE(daemon.wait_source(1));
	EXPECT_EQ(daemon.sources[0].wait_ms, 0);
	daemon.answer_source(DIST_MISSING);
	daemon.wait(5 * NS_PER_SEC, [&] {
		daemon.answer_announces();
		return false;
	});
	dist_announce call = daemon.from("h3"), answer;
	call.confirmation_age_ms = 0;
	dist_on_announce(daemon.dist, &call, &answer, daemon.now);
	start = daemon.now;
	ASSERT_TRUE(daemon.wait(limit + NS_PER_SEC, [&] {
		daemon.answer_announces();
		return daemon.sources.size() > 1;
	}));
	EXPECT_GE(daemon.now - start, limit);
	EXPECT_EQ(daemon.sources[1].wait_ms, DIST_WATCH_MS);
}

/*
 * Guards against failed readers that keep their ranks: the next members become
 * readers as soon as the failed ones are suspected.
 */
TEST(Dist, FailedReadersAreReplacedOnceSuspected)
{
	Daemon daemon(9);

	daemon.wait(20 * NS_PER_SEC,
		    [&] { return member_rank(daemon.member, daemon.now) < 2; });
	EXPECT_LT(member_rank(daemon.member, daemon.now), 2u);
	ASSERT_TRUE(daemon.wait_source(daemon.sources.size() + 1));
	EXPECT_EQ(daemon.sources.back().wait_ms, DIST_WATCH_MS);
}

/* Guards against calls to a failing source without back-off. */
TEST(Dist, FailingSourceIsCalledLessOften)
{
	Daemon daemon(1);
	int64_t last = 0, gap = 0;

	for (size_t i = 1; i <= 10; i++) {
		ASSERT_TRUE(daemon.wait_source(i));
		gap = daemon.now - last;
		EXPECT_LE(i > 1 ? gap : 0, 31 * NS_PER_SEC);
		last = daemon.now;
		daemon.answer_source(DIST_FAILED);
	}
	EXPECT_GE(gap, 14 * NS_PER_SEC);
}

/*
 * Guards against a start gate that opens too early, or never when peers do not
 * answer.
 */
TEST(Dist, StartGate)
{
	Daemon answered(9), partly(9), silent(9);
	const int64_t start = answered.now;

	EXPECT_EQ(answered.peers.size(), 3u);
	answered.accept(1);
	EXPECT_FALSE(dist_is_serving(answered.dist));
	answered.wait(200 * NS_PER_MS, [] { return false; });
	answered.peers.clear();
	EXPECT_TRUE(answered.wait(10 * NS_PER_SEC, [&] {
		answered.answer_announces();
		return dist_is_serving(answered.dist);
	}));
	EXPECT_LT(answered.now - start, 5 * NS_PER_SEC);

	dist_announce answer = partly.from(partly.peers[0].host);
	dist_peer_announced(partly.dist, partly.peers[0].call, &answer,
			    partly.now);
	partly.accept(1);
	EXPECT_TRUE(partly.wait(10 * NS_PER_SEC,
				[&] { return dist_is_serving(partly.dist); }));
	EXPECT_GE(partly.now - start, 2 * NS_PER_SEC);
	EXPECT_LT(partly.now - start, 6 * NS_PER_SEC);

	silent.accept(1);
	EXPECT_TRUE(silent.wait(20 * NS_PER_SEC,
				[&] { return dist_is_serving(silent.dist); }));
	EXPECT_GE(silent.now - start, 10 * NS_PER_SEC);
}

/* Guards against a daemon without peers while the host list is unavailable. */
TEST(Dist, SeedsReplaceMissingHostList)
{
	Daemon daemon(0, "seed:1");

	ASSERT_EQ(daemon.peers.size(), 1u);
	EXPECT_STREQ(daemon.peers[0].control, "seed:1");
	daemon.answer_announces();
	daemon.accept(1);
	EXPECT_TRUE(dist_is_serving(daemon.dist));
}

/* Guards against announcements only within the zone, and against too many. */
TEST(Dist, AnnouncesToFourWithOneOfAnotherZone)
{
	Daemon daemon(30);
	size_t own = 0;

	daemon.accept(1);
	daemon.peers.clear();
	daemon.wait(300 * NS_PER_MS, [&] { return daemon.peers.size() >= 4; });
	ASSERT_GE(daemon.peers.size(), 4u);
	for (size_t i = 0; i < 4; i++)
		own += std::stoi(daemon.peers[i].host + 1) % 3 == 0;
	EXPECT_EQ(own, 3u);
	EXPECT_EQ(daemon.announces.back().in_force.number, 1);
}

/*
 * Guards against a newest version whose parts never arrive and which delays an
 * older version that a peer has in force.
 */
TEST(Dist, IncompleteCandidateDoesNotDelayCompleteOne)
{
	Daemon daemon(3);
	std::string part = "{}";
	std::string text =
		manifest(5, part_entry("root", hex_of(part), part.size()));
	dist_announce call = daemon.from("h1"), answer;
	auto find = [&](dist_procedure procedure, int64_t number) {
		for (const dist_peer_call &peer : daemon.peers)
			if (peer.procedure == procedure &&
			    (!number || peer.id.number == number))
				return peer.call;
		return (uint64_t)0;
	};
	auto give = [&](uint64_t id, const std::string &bytes) {
		blob *blob = blob_new(bytes.data(), bytes.size());

		dist_peer_result(daemon.dist, id, DIST_VALUE, blob, daemon.now);
		blob_unref(blob);
		daemon.drain();
	};

	call.in_force.number = 5;
	digest_compute(&call.in_force.digest, text.data(), text.size());
	call.candidate.number = 6;
	dist_on_announce(daemon.dist, &call, &answer, daemon.now);
	daemon.drain();
	EXPECT_TRUE(find(DIST_GET_MANIFEST, 6));
	give(find(DIST_GET_MANIFEST, 5), text);
	give(find(DIST_GET_PART, 0), part);
	ASSERT_TRUE(dist_in_force(daemon.dist));
	EXPECT_EQ(dist_in_force(daemon.dist)->id.number, 5);
	EXPECT_EQ(dist_newest_known(daemon.dist).number, 6);
}

/*
 * Guards against a slow link on which every part arrives after its deadline and
 * is discarded.
 */
TEST(Dist, UsesBytesThatArriveLate)
{
	Daemon daemon(3);
	std::string part = "{}";
	std::string text =
		manifest(5, part_entry("root", hex_of(part), part.size()));
	dist_announce call = daemon.from("h1"), answer;

	call.in_force.number = 5;
	digest_compute(&call.in_force.digest, text.data(), text.size());
	dist_on_announce(daemon.dist, &call, &answer, daemon.now);
	for (const std::string &bytes : { text, part }) {
		blob *blob = blob_new(bytes.data(), bytes.size());
		uint64_t id;

		daemon.drain();
		id = daemon.peers.back().call;
		daemon.wait(1500 * NS_PER_MS, [] { return false; });
		dist_peer_result(daemon.dist, id, DIST_VALUE, blob, daemon.now);
		blob_unref(blob);
	}
	daemon.drain();
	EXPECT_EQ(daemon.accepts, 1u);
}

/* Guards against parts of previous versions that stay in memory. */
TEST(Dist, DropsPartsOfPreviousVersion)
{
	Daemon daemon(1);
	struct digest digest;
	blob *old;

	daemon.accept(1);
	digest = dist_in_force(daemon.dist)->parts[0].digest;
	old = dist_on_get_part(daemon.dist, &digest);
	ASSERT_TRUE(old);
	EXPECT_EQ(old->refs, 2);
	daemon.accept(2);
	EXPECT_EQ(old->refs, 1);
	EXPECT_FALSE(dist_on_get_part(daemon.dist, &digest));
	blob_unref(old);
}

/* Guards against crash entries that are lost or wait for the next exchange. */
TEST(Dist, AnnouncesCrashEntries)
{
	Daemon daemon(9);
	dist_announce call = daemon.from("h1"), answer;
	dist_crash crash = { 7, 4, 2, 0, 1000 };

	call.nr_crashes = 1;
	call.crashes[0] = crash;
	dist_on_announce(daemon.dist, &call, &answer, daemon.now);
	daemon.drain();
	EXPECT_EQ(daemon.crashes, 1u);
	daemon.announces.clear();
	dist_set_crashes(daemon.dist, &crash, 1, daemon.now);
	daemon.drain();
	ASSERT_EQ(daemon.announces.size(), 4u);
	EXPECT_EQ(daemon.announces[0].crashes[0].fingerprint, 7u);
	dist_set_crashes(daemon.dist, &crash, 1, daemon.now);
	daemon.drain();
	EXPECT_EQ(daemon.announces.size(), 4u);
	dist_on_announce(daemon.dist, &call, &answer, daemon.now);
	EXPECT_EQ(answer.nr_crashes, 1u);
}

/*
 * Guards against a daemon that, after a pause, announces an outdated version or
 * does not query its peers.
 */
TEST(Dist, QueriesBeforeItAnnouncesAfterPause)
{
	Daemon daemon(2);

	daemon.answer_announces();
	daemon.accept(1);
	daemon.wait(NS_PER_SEC, [] { return false; });
	daemon.announces.clear();
	daemon.peers.clear();
	daemon.now += 5 * NS_PER_SEC;
	dist_tick(daemon.dist, daemon.now);
	daemon.drain();
	ASSERT_FALSE(daemon.announces.empty());
	EXPECT_EQ(daemon.announces.back().in_force.number, 0);
	EXPECT_TRUE(dist_is_serving(daemon.dist));
	daemon.answer_announces();
	daemon.wait(2 * NS_PER_SEC, [] { return false; });
	EXPECT_EQ(daemon.announces.back().in_force.number, 1);
}

/* Guards against a stopping daemon that starts calls or does not answer. */
TEST(Dist, StopEndsCallsButAnswers)
{
	Daemon daemon(9);
	dist_announce call = daemon.from("h1"), answer;

	daemon.accept(1);
	dist_stop(daemon.dist, daemon.now);
	daemon.peers.clear();
	daemon.sources.clear();
	daemon.wait(30 * NS_PER_SEC, [] { return false; });
	EXPECT_EQ(daemon.peers.size() + daemon.sources.size(), 0u);
	EXPECT_EQ(dist_next_deadline(daemon.dist), DEADLINE_NEVER);
	dist_on_announce(daemon.dist, &call, &answer, daemon.now);
	EXPECT_EQ(answer.in_force.number, 1);
}

/* Guards against a conflict or refusal that is not in the state dump. */
TEST(Dist, ShowsConflictAndRefusal)
{
	Daemon daemon(9);
	dist_announce call = daemon.from("h1"), answer;
	version_id announced;
	int64_t when;
	json_t *dump;

	daemon.accept(3);
	call.in_force = dist_in_force(daemon.dist)->id;
	call.in_force.digest.bytes[0] ^= 1;
	dist_on_announce(daemon.dist, &call, &answer, daemon.now);
	EXPECT_TRUE(dist_has_conflict(daemon.dist));
	EXPECT_TRUE(dist_member_version(daemon.dist, "h1", &announced, &when));
	EXPECT_EQ(announced.number, 3);
	ASSERT_TRUE(daemon.wait_source(daemon.sources.size() + 1));
	daemon.answer_source(DIST_VALUE, manifest(4, ""));
	dump = dist_dump(daemon.dist, daemon.now);
	ASSERT_TRUE(dump);
	EXPECT_TRUE(json_is_true(json_object_get(dump, "conflict")));
	EXPECT_EQ(json_array_size(json_object_get(dump, "refusals")), 1u);
	json_decref(dump);
}
