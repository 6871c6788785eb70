#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "helpers.h"

/* Text of SMALL_TREE, its replacement, path and message of the finding. */
struct Fault {
	std::string text, path, message;
};

static std::vector<Fault> read_faults()
{
	std::vector<Fault> faults;

	for (const auto &c : read_cases("faults.txt"))
		faults.push_back(
			{ replaced(SMALL_TREE, c[0], c[1]), c[2], c[3] });
	return faults;
}

static bool contains(const std::vector<std::string> &findings,
		     const std::string &path, const std::string &message)
{
	return std::any_of(findings.begin(), findings.end(),
			   [&](const std::string &finding) {
				   return finding.rfind(path + ": ", 0) == 0 &&
					  finding.find(message) !=
						  std::string::npos;
			   });
}

class Faults : public testing::TestWithParam<Fault>
{
};

/* Guards against a fault that is accepted or reported at another place. */
TEST_P(Faults, AreRefusedWithTheirPath)
{
	const Fault &fault = GetParam();
	auto result = parse(fault.text);

	EXPECT_FALSE(result.value);
	EXPECT_TRUE(contains(result.findings, fault.path, fault.message))
		<< fault.path << ": " << fault.message << "\nfound\n"
		<< result.text();
}

/* The path in a whole tree for a path in parts. */
static std::string whole_path(const std::string &finding)
{
	if (finding.rfind("/service/", 0) == 0)
		return "/services/" + finding.substr(strlen("/service/"));
	if (finding.rfind("/root", 0) == 0)
		return finding.substr(strlen("/root"));
	return finding;
}

/* Guards against daemons that accept a tree that the command check refuses,
 * or the reverse. */
TEST_P(Faults, GiveTheSameFindingsInParts)
{
	const Fault &fault = GetParam();
	auto whole = parse(fault.text);
	auto parts = assemble_document(fault.text);

	/* The version is in the manifest and not in a part. */
	if (fault.path == "/version")
		return;
	for (auto &finding : parts.findings)
		finding = whole_path(finding);
	EXPECT_EQ(parts.findings, whole.findings);
	EXPECT_FALSE(parts.value);
}

INSTANTIATE_TEST_SUITE_P(Tree, Faults, testing::ValuesIn(read_faults()));

/* Guards against a SMALL_TREE with a fault of its own, since the cases of
 * faults.txt are changes of it. */
TEST(Parse, AcceptsTheSmallTreeAndTheExamples)
{
	for (const std::string &text :
	     { std::string(SMALL_TREE),
	       read_file(EXAMPLES_DIR "/kapokhuis.json"),
	       read_file(EXAMPLES_DIR "/consortium.json") }) {
		auto result = parse(text);

		EXPECT_TRUE(result.value) << result.text();
		EXPECT_TRUE(result.findings.empty()) << result.text();
	}
}

/* Guards against reporting only the first fault. */
TEST(Parse, CollectsFaultsOfAllKinds)
{
	std::string text = replaced(SMALL_TREE, "\"slots\": 12",
				    "\"slots\": 0, \"slots\": 0");

	text = replaced(text, "\"zone\": \"z1\"", "\"zone\": \"z9\"");
	text = replaced(text, "\"prefix\": \"/docs\"", "\"prefix\": \"x\"");
	auto result = parse(text);
	ASSERT_EQ(result.findings.size(), 4u) << result.text();
	EXPECT_EQ(result.findings[0].rfind("3:", 0), 0u) << result.text();
	EXPECT_NE(result.findings[0].find("duplicate object key"),
		  std::string::npos);
}

/* Guards against syntax errors without line and column, and against crashes
 * on text that is no tree at all. */
TEST(Parse, ReportsSyntaxErrorsAtTheirPlace)
{
	const struct {
		const char *text;
		const char *place;
	} cases[] = {
		{ "", "1:1: " },
		{ "{", "1:1: " },
		{ "{\n  \"version\": 7,,\n}", "2:" },
		{ "{\"a\":1} x", "1:" },
		{ "{\"a\": \"\\u0000\"}", "1:" },
		{ "{\"version\": 99999999999999999999}", "1:" },
		{ "{\"a\": \"\xff\"}", "1:" },
		{ "[]", ": expected an object, found an array" },
	};

	for (const auto &c : cases) {
		auto result = parse(c.text);

		EXPECT_FALSE(result.value) << c.text;
		ASSERT_FALSE(result.findings.empty()) << c.text;
		EXPECT_EQ(result.findings[0].rfind(c.place, 0), 0u)
			<< c.text << "\n"
			<< result.text();
	}
}

/* Guards against a warning that refuses the tree, as services start and end
 * without targets. */
TEST(Parse, WarnsOfServicesWithoutTarget)
{
	auto result = parse(R"({"version":1,"services":{"a":{}}})");

	EXPECT_TRUE(result.value);
	ASSERT_EQ(result.findings.size(), 1u);
	EXPECT_EQ(result.findings[0], "/services/a: service without target");
}

/* Guards against a tree without services, which would refuse every call. */
TEST(Parse, RefusesTreesWithoutServices)
{
	for (const char *text :
	     { R"({"version":1})", R"({"version":1,"services":{}})" }) {
		auto result = parse(text);

		EXPECT_FALSE(result.value);
		EXPECT_EQ(result.findings.back(), ": no services");
	}
}

static std::string tree_with_services(int nr, const std::string &service)
{
	std::string text = R"({"version":1,"zones":{"z":{"region":"r"}},)"
			   R"("services":{)";

	for (int i = 0; i < nr; i++)
		text += (i ? ",\"s" : "\"s") + std::to_string(i) +
			"\":" + service;
	return text + "}}";
}

static std::string tree_with_targets(int nr)
{
	std::string targets;

	for (int i = 0; i < nr; i++)
		targets += (i ? ",{\"host\":\"h" : "{\"host\":\"h") +
			   std::to_string(i) +
			   "\",\"zone\":\"z\",\"traffic\":\"127.0." +
			   std::to_string(i / 200) + "." +
			   std::to_string(i % 200) + ":1\"}";
	return tree_with_services(1, "{\"targets\":[" + targets + "]}");
}

/* Guards against limits that are off by one, or not checked: the source
 * refuses a larger value, and daemons have 32 MB. */
TEST(Parse, AppliesLimits)
{
	std::string padding(TREE_BYTES_MAX, ' ');
	/* A part of 1 MB: {"routes":[{...,"prefix":"/aaa"}]}. */
	std::string route = "{\"routes\":[{\"methods\":[\"GET\"],"
			    "\"name\":\"r\",\"prefix\":\"/";
	std::string end = "\"}]}";
	size_t room = TREE_PART_BYTES_MAX - route.size() - end.size();
	std::string deep = "\"defaults\": { \"x\": ";
	const struct {
		std::string text;
		const char *message; /* NULL when it is accepted */
	} cases[] = {
		{ tree_with_services(TREE_SERVICES_MAX, "{}"), nullptr },
		{ tree_with_services(TREE_SERVICES_MAX + 1, "{}"),
		  "4097 services, more than 4096" },
		{ tree_with_services(1, route + std::string(room, 'a') + end),
		  nullptr },
		{ tree_with_services(1,
				     route + std::string(room + 1, 'a') + end),
		  "part of 1048577 bytes, more than 1048576" },
		{ SMALL_TREE + padding, "bytes, more than 16777216" },
		{ SMALL_TREE + padding.substr(strlen(SMALL_TREE)), nullptr },
		{ replaced(SMALL_TREE, "\"defaults\": {",
			   deep + std::string(14, '[') + std::string(14, ']') +
				   ","),
		  "unknown key" },
		{ replaced(SMALL_TREE, "\"defaults\": {",
			   deep + std::string(15, '[') + std::string(15, ']') +
				   ","),
		  "nested deeper than 16 levels" },
	};

	for (const auto &c : cases) {
		auto result = parse(c.text);
		std::string all = result.text();

		EXPECT_EQ((bool)result.value, !c.message) << all.substr(0, 500);
		EXPECT_NE(all.find(c.message ? c.message : ""),
			  std::string::npos)
			<< all.substr(0, 500);
		EXPECT_EQ(all.find("deeper") != std::string::npos,
			  c.message && strstr(c.message, "deeper"));
	}
	EXPECT_TRUE(parse(tree_with_targets(TREE_TARGETS_MAX)).value);
	EXPECT_FALSE(parse(tree_with_targets(TREE_TARGETS_MAX + 1)).value);
}

/* Guards against findings that fill the memory of a daemon, and against an
 * error that goes unnoticed behind many warnings. */
TEST(Parse, BoundsTheNumberOfFindings)
{
	std::string services = tree_with_services(3000, "{}");
	std::string faulty = replaced(services, "\"s2999\":{}", "\"s2999\":1");
	auto result = parse(services);

	EXPECT_TRUE(result.value);
	ASSERT_EQ(result.findings.size(), 1001u);
	EXPECT_EQ(result.findings.back(), ": 2000 more findings left out");
	EXPECT_FALSE(parse(faulty).value);
	result = parse(tree_with_services(3000, "1"));
	EXPECT_FALSE(result.value);
	EXPECT_EQ(result.findings.size(), 1001u);
}

/* Guards against crashes on, and partly valid results from, damaged text:
 * whatever is accepted must also be accepted in parts, with the same table. */
RC_GTEST_PROP(Parse, SurvivesMutations, ())
{
	std::string text = SMALL_TREE;
	int nr = *rc::gen::inRange(1, 5);

	for (int i = 0; i < nr; i++) {
		size_t at = *rc::gen::inRange<size_t>(0, text.size());
		size_t len = *rc::gen::inRange<size_t>(0, 30);
		size_t from = *rc::gen::inRange<size_t>(0, text.size());

		switch (*rc::gen::inRange(0, 4)) {
		case 0:
			text[at] = *rc::gen::arbitrary<char>();
			break;
		case 1:
			text.erase(at, len);
			break;
		case 2:
			text.insert(at, text.substr(from, len));
			break;
		default:
			text[at] = *rc::gen::elementOf(
				std::string("\"{}[],:/-0129tfn"));
		}
		if (text.empty())
			text = " ";
	}
	auto result = parse(text);
	if (!result.value) {
		RC_ASSERT(!result.findings.empty());
		return;
	}
	auto again = round_trip(result.value.get());
	RC_ASSERT((bool)again.value);
	RC_ASSERT(describe(new_table(result.value.get(), "z1").get()) ==
		  describe(new_table(again.value.get(), "z1").get()));
}
