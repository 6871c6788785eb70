#include <gtest/gtest.h>

#include <fcntl.h>
#include <string>
#include <unistd.h>

extern "C" {
#include "base/counters.h"
#include "base/digest.h"
#include "base/findings.h"
#include "base/log.h"
#include "base/rng.h"
}

/* Guards against a digest that differs from the published SHA-256 vector. */
TEST(Digest, MatchesPublishedVector)
{
	struct digest d, parsed;
	char hex[DIGEST_HEX_CHARS + 1];

	digest_compute(&d, "abc", 3);
	digest_to_hex(&d, hex);
	EXPECT_STREQ(hex, "ba7816bf8f01cfea414140de5dae2223"
			  "b00361a396177a9cb410ff61f20015ad");
	ASSERT_TRUE(digest_from_hex(&parsed, hex));
	EXPECT_EQ(digest_compare(&d, &parsed), 0);
}

/* Guards against several hex forms of one digest. */
TEST(Digest, RefusesMalformedHex)
{
	std::string good(DIGEST_HEX_CHARS, 'a');
	struct digest d;

	EXPECT_FALSE(digest_from_hex(&d, ""));
	EXPECT_FALSE(digest_from_hex(&d, (good + "a").c_str()));
	EXPECT_FALSE(digest_from_hex(&d, good.substr(1).c_str()));
	good[5] = 'A';
	EXPECT_FALSE(digest_from_hex(&d, good.c_str()));
	good[5] = 'g';
	EXPECT_FALSE(digest_from_hex(&d, good.c_str()));
}

/* Guards against two manifests with one version number comparing as equal. */
TEST(VersionId, OrdersByNumberThenDigest)
{
	struct version_id a = {}, b = {};

	a.number = 1;
	b.number = 2;
	a.digest.bytes[0] = 9;
	EXPECT_LT(version_id_compare(&a, &b), 0);
	b.number = 1;
	EXPECT_GT(version_id_compare(&a, &b), 0);
	EXPECT_EQ(version_id_compare(&a, &a), 0);
}

/* Guards against a random sequence that cannot be replayed from its seed. */
TEST(Rng, ReplaysFromSeed)
{
	struct rng a, b;

	rng_init(&a, 42);
	rng_init(&b, 42);
	for (int i = 0; i < 100; i++) {
		EXPECT_EQ(rng_below(&a, 7), rng_below(&b, 7));
		EXPECT_LT(rng_below(&a, 7), 7u);
		EXPECT_LT(rng_below(&b, 7), 7u);
	}
	EXPECT_EQ(rng_below(&a, 0), 0u);
}

/* Guards against findings that lose their location or their severity. */
TEST(Findings, KeepsLocationAndSeverity)
{
	struct findings f;
	json_t *json;

	findings_init(&f);
	findings_add(&f, FINDING_ERROR, "tree.json", "/zones/z1", "no %s",
		     "region");
	findings_add(&f, FINDING_WARNING, "tree.json", "/services", "empty");
	findings_add_at(&f, "tree.json", 3, 4, "unexpected token");
	EXPECT_EQ(f.nr_errors, 2u);
	EXPECT_EQ(f.nr_warnings, 1u);
	json = findings_to_json(&f);
	ASSERT_EQ(json_array_size(json), 3u);
	EXPECT_STREQ(json_string_value(
			     json_object_get(json_array_get(json, 0), "path")),
		     "/zones/z1");
	EXPECT_EQ(json_integer_value(
			  json_object_get(json_array_get(json, 2), "line")),
		  3);
	json_decref(json);
	findings_release(&f);
	EXPECT_EQ(f.nr_errors, 0u);
}

/* Guards against a finding that is lost because it quotes invalid UTF-8. */
TEST(Findings, AcceptsMessagesWithInvalidUtf8)
{
	struct findings f;
	json_t *json;

	findings_init(&f);
	findings_add_at(&f, "manifest", 1, 9, "near '%s'",
			"[servic\\\xcd\x8c\x02");
	json = findings_to_json(&f);
	EXPECT_EQ(json_array_size(json), 1u);
	json_decref(json);
	findings_release(&f);
}

/*
 * Guards against a daemon that blocks when the reader of its log stops, and
 * against lines that are dropped without a trace.
 */
TEST(Log, FullPipeDropsAndCountsLines)
{
	std::string text;
	char buffer[65536];
	int flags = fcntl(STDERR_FILENO, F_GETFL);
	ssize_t n;
	int fds[2];

	ASSERT_EQ(pipe(fds), 0);
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	log_set_output(fds[1]);
	while (write(fds[1], buffer, 1) == 1)
		;
	for (int i = 0; i < 3; i++)
		log_event(LOG_INFO, "full_pipe", "n=%d", i);
	while (read(fds[0], buffer, sizeof(buffer)) > 0)
		;
	log_event(LOG_INFO, "pipe_read", "n=4");
	n = read(fds[0], buffer, sizeof(buffer));
	ASSERT_GT(n, 0);
	text.assign(buffer, (size_t)n);
	EXPECT_NE(text.find("event=pipe_read dropped=3 n=4"), std::string::npos)
		<< text;
	log_set_output(STDERR_FILENO);
	fcntl(STDERR_FILENO, F_SETFL, flags);
	close(fds[0]);
	close(fds[1]);
}

/* Guards against log values that break the key=value form of a line. */
TEST(Log, QuotesValuesThatNeedIt)
{
	EXPECT_STREQ(log_quote("plain"), "plain");
	EXPECT_STREQ(log_quote("two words"), "\"two words\"");
	EXPECT_STREQ(log_quote("a\nb"), "\"a\\nb\"");
	EXPECT_STREQ(log_quote(""), "\"\"");
}

/* Guards against frequent lines of one event that flood the log. */
TEST(Log, LimitsRateOfEachEvent)
{
	testing::internal::CaptureStderr();
	for (int i = 0; i < 10 * LOG_LINES_PER_SEC; i++)
		log_event(LOG_INFO, "storm", "n=%d", i);
	log_event(LOG_INFO, "other_event", "n=1");
	std::string out = testing::internal::GetCapturedStderr();
	long lines = std::count(out.begin(), out.end(), '\n');

	/* The loop may extend over two seconds of the rate limit. */
	EXPECT_LE(lines, 2 * LOG_LINES_PER_SEC + 1);
	EXPECT_NE(out.find("event=other_event"), std::string::npos);
}

/* Guards against metrics text that a Prometheus scraper rejects. */
TEST(Metrics, RendersFamiliesOnceAndCumulativeBuckets)
{
	struct counter ran = {};
	struct counter lost = {};
	struct histogram hist = {};
	struct metrics metrics;
	GString *out = g_string_new(NULL);

	ran.name = "requests_total{outcome=\"ran\"}";
	ran.help = "Requests by outcome.";
	lost.name = "requests_total{outcome=\"unknown\"}";
	lost.help = ran.help;
	hist.name = "added_seconds";
	hist.help = "Added time.";
	metrics_init(&metrics);
	metrics_add_counter(&metrics, &ran);
	metrics_add_counter(&metrics, &lost);
	metrics_add_histogram(&metrics, &hist);
	counter_add(&ran, 3);
	histogram_observe(&hist, 60);
	histogram_observe(&hist, 10000000);
	metrics_render(&metrics, out);
	std::string text(out->str);

	EXPECT_EQ(text.find("# TYPE requests_total counter"),
		  text.rfind("# TYPE requests_total counter"));
	EXPECT_NE(text.find("requests_total{outcome=\"ran\"} 3\n"),
		  std::string::npos);
	EXPECT_NE(text.find("added_seconds_bucket{le=\"0.0001\"} 1\n"),
		  std::string::npos);
	EXPECT_NE(text.find("added_seconds_bucket{le=\"+Inf\"} 2\n"),
		  std::string::npos);
	EXPECT_NE(text.find("added_seconds_count 2\n"), std::string::npos);
	g_string_free(out, TRUE);
}
