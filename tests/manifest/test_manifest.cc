#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "dist/dist.h"
#include "tree/tree.h"
}

static std::string part(const std::string &name, const std::string &bytes)
{
	return "{\"name\":\"" + name + "\",\"digest\":\"" +
	       std::string(64, 'a') + "\",\"bytes\":" + bytes + "}";
}

static std::string manifest(const std::string &parts)
{
	return "{\"format\":1,\"version\":7,\"parts\":[" + parts + "]}";
}

/* A manifest of nr parts: root and nr - 1 services. */
static std::string manifest_of(int nr)
{
	std::string parts = part("root", "1");
	char name[32];

	for (int i = 1; i < nr; i++) {
		snprintf(name, sizeof(name), "service/%04d", i);
		parts += "," + part(name, "1");
	}
	return manifest(parts);
}

static bool dist_accepts(const std::string &text)
{
	struct blob *blob = blob_new(text.data(), text.size());
	struct findings findings;
	int64_t number;

	findings_init(&findings);
	struct dist_version *version =
		dist_version_parse(blob, &findings, &number);
	bool accepted = version != nullptr;

	dist_version_unref(version);
	findings_release(&findings);
	blob_unref(blob);
	return accepted;
}

static bool tree_accepts(const std::string &text)
{
	struct findings findings;

	findings_init(&findings);
	struct manifest *parsed =
		manifest_parse(text.data(), text.size(), &findings);
	bool accepted = parsed != nullptr;

	manifest_free(parsed);
	findings_release(&findings);
	return accepted;
}

/*
 * Guards against a manifest that only one of the two parsers accepts: daemons
 * would fetch the parts of a version that can never be accepted, or refuse one
 * that passed the check before it was published.
 */
TEST(Manifest, BothParsersAgree)
{
	const std::string root = part("root", "9");
	const struct {
		std::string text;
		bool accepted;
	} cases[] = {
		{ manifest(root), true },
		{ manifest(root + "," + part("service/a", "9")), true },
		{ manifest(part("service/a", "9")), false },
		{ manifest(part("service/a", "9") + "," + root), false },
		{ manifest(root + "," + root), false },
		{ manifest(""), false },
		{ manifest_of(DIST_PARTS_MAX), true },
		{ manifest_of(DIST_PARTS_MAX + 1), false },
	};

	for (const auto &c : cases) {
		EXPECT_EQ(dist_accepts(c.text), c.accepted)
			<< c.text.substr(0, 200);
		EXPECT_EQ(tree_accepts(c.text), c.accepted)
			<< c.text.substr(0, 200);
	}
}

/* Guards against sizes whose sum overflows, which UBSan reports. */
TEST(Manifest, RefusesSizesThatOverflowTogether)
{
	for (const char *bytes :
	     { "9223372036854775807", "-9223372036854775808" }) {
		std::string text = manifest(part("root", bytes) + "," +
					    part("service/a", bytes) + "," +
					    part("service/b", bytes));

		EXPECT_FALSE(dist_accepts(text));
		EXPECT_FALSE(tree_accepts(text));
	}
}
