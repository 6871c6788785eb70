#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "helpers.h"

extern "C" {
#include "commands.h"
}

/* A directory of its own for each test, with trees to read. */
class Commands : public testing::Test
{
      protected:
	void SetUp() override
	{
		char name[] = "/tmp/test-tree-XXXXXX";

		directory = mkdtemp(name);
		good = write("good.json", SMALL_TREE);
		bad = write("bad.json", replaced(SMALL_TREE, "\"r1\"", "7"));
		high = write("high.json",
			     replaced(SMALL_TREE, "7", "1099511627777"));
	}

	void TearDown() override
	{
		std::filesystem::remove_all(directory);
	}

	std::string write(const std::string &name, const std::string &text)
	{
		std::string path = directory + "/" + name;

		std::ofstream(path) << text;
		return path;
	}

	/* Runs a subcommand; keeps what it prints in out and err. */
	int run(int (*command)(int, char **), std::vector<std::string> args)
	{
		std::vector<char *> argv;

		for (auto &arg : args)
			argv.push_back(arg.data());
		argv.push_back(nullptr);
		testing::internal::CaptureStdout();
		testing::internal::CaptureStderr();
		int status = command((int)args.size(), argv.data());
		out = testing::internal::GetCapturedStdout();
		err = testing::internal::GetCapturedStderr();
		return status;
	}

	std::string directory, good, bad, high, out, err;
};

/* Guards against scripts that take a failure for success or the reverse. */
TEST_F(Commands, ExitWithTheirStatus)
{
	std::string dir = directory + "/out";
	std::string none = directory + "/none.json";
	const struct {
		int (*command)(int, char **);
		std::vector<std::string> args;
		int status;
		const char *out;
		const char *err;
	} cases[] = {
		{ cmd_check,
		  { "check", good },
		  CMD_OK,
		  "version 7 is valid",
		  "" },
		{ cmd_check,
		  { "check", bad },
		  CMD_FAILED,
		  "",
		  "bad.json:/zones/z1/region: error: expected a string" },
		{ cmd_check, { "check", none }, CMD_FAILED, "", "none.json" },
		{ cmd_check, { "check" }, CMD_USAGE, "", "usage: " },
		{ cmd_check, { "check", good, bad }, CMD_USAGE, "", "usage: " },
		{ cmd_check, { "check", "--help" }, CMD_OK, "usage: ", "" },
		{ cmd_explain,
		  { "explain", good, "portal/orders" },
		  CMD_OK,
		  "priority = order from route orders",
		  "" },
		{ cmd_explain,
		  { "explain", "--json", "--zone", "z1", "--target", "h1",
		    "--method", "GET", good, "/portal/orders" },
		  CMD_OK,
		  "\"route\": \"status\"",
		  "" },
		{ cmd_explain,
		  { "explain", good, "shop" },
		  CMD_FAILED,
		  "",
		  "no service \"shop\"" },
		{ cmd_explain,
		  { "explain", bad, "portal" },
		  CMD_FAILED,
		  "",
		  "region" },
		{ cmd_explain, { "explain", good }, CMD_USAGE, "", "usage: " },
		{ cmd_explain,
		  { "explain", "--help" },
		  CMD_OK,
		  "--target",
		  "" },
		{ cmd_diff,
		  { "diff", good, high },
		  CMD_OK,
		  "no effective changes",
		  "" },
		{ cmd_diff,
		  { "diff", good, EXAMPLES_DIR "/kapokhuis.json" },
		  CMD_OK,
		  "service docs: removed",
		  "" },
		{ cmd_diff, { "diff", good, bad }, CMD_FAILED, "", "region" },
		{ cmd_diff, { "diff", good }, CMD_USAGE, "", "usage: " },
		{ cmd_diff, { "diff", "--help" }, CMD_OK, "OLD", "" },
		{ cmd_render, { "render", good, dir }, CMD_OK, "7 ", "" },
		{ cmd_render,
		  { "render", bad, dir },
		  CMD_FAILED,
		  "",
		  "region" },
		{ cmd_render,
		  { "render", good, good },
		  CMD_FAILED,
		  "",
		  "cannot create" },
		{ cmd_render, { "render", good }, CMD_USAGE, "", "usage: " },
		{ cmd_render,
		  { "render", "--help" },
		  CMD_OK,
		  "--any-number",
		  "" },
	};

	for (const auto &c : cases) {
		EXPECT_EQ(run(c.command, c.args), c.status)
			<< c.args[0] << " " << c.err;
		EXPECT_NE(out.find(c.out), std::string::npos) << out;
		EXPECT_NE(err.find(c.err), std::string::npos) << err;
		EXPECT_EQ(out.empty(), c.status != CMD_OK) << out;
	}
}

/* Guards against a rendered directory that a daemon cannot read, or with a
 * temporary file left in it. */
TEST_F(Commands, RenderWritesWhatDaemonsRead)
{
	std::string dir = directory + "/out";

	ASSERT_EQ(run(cmd_render, { "render", good, dir }), CMD_OK) << err;
	std::string text = read_file(dir + "/manifest");
	auto manifest = parse_manifest(text);
	ASSERT_TRUE(manifest.value) << manifest.text();
	char hex[DIGEST_HEX_CHARS + 1];
	struct digest digest;
	size_t nr_files = 0;
	for (size_t i = 0; i < manifest.value->nr_entries; i++) {
		const struct manifest_entry &entry = manifest.value->entries[i];

		digest_to_hex(&entry.digest, hex);
		std::string part = read_file(dir + "/part/" + hex);
		digest_compute(&digest, part.data(), part.size());
		EXPECT_EQ(digest_compare(&digest, &entry.digest), 0);
		EXPECT_EQ(part.size(), entry.bytes);
	}
	for (auto &file : std::filesystem::recursive_directory_iterator(dir))
		nr_files += file.is_regular_file();
	EXPECT_EQ(nr_files, manifest.value->nr_entries + 1);
	digest_to_hex(&manifest.value->id.digest, hex);
	EXPECT_EQ(out, std::string("7 ") + hex + "\n");
}

/* Guards against a number by mistake that leaves no later number. */
TEST_F(Commands, RenderRefusesHighNumbers)
{
	std::string dir = directory + "/out";

	EXPECT_EQ(run(cmd_render, { "render", high, dir }), CMD_FAILED);
	EXPECT_NE(err.find("--any-number"), std::string::npos);
	EXPECT_FALSE(std::filesystem::exists(dir));
	EXPECT_EQ(run(cmd_render, { "render", "--any-number", high, dir }),
		  CMD_OK);
	write("high.json", replaced(SMALL_TREE, "7", "1099511627776"));
	EXPECT_EQ(run(cmd_render, { "render", high, dir }), CMD_OK);
}

/* Guards against a manifest that names parts which were not written. */
TEST_F(Commands, RenderKeepsTheManifestWhenAPartFails)
{
	std::string dir = directory + "/out";

	ASSERT_EQ(run(cmd_render, { "render", good, dir }), CMD_OK);
	std::string before = read_file(dir + "/manifest");
	/* Directories in place of the parts make every rename fail. */
	std::filesystem::remove_all(dir + "/part");
	std::filesystem::create_directory(dir + "/part");
	ASSERT_EQ(run(cmd_render,
		      { "render", high, dir + "2", "--any-number" }),
		  CMD_OK);
	for (auto &file : std::filesystem::directory_iterator(dir + "2/part"))
		std::filesystem::create_directories(
			dir + "/part/" + file.path().filename().string() +
			"/x");
	EXPECT_EQ(run(cmd_render, { "render", high, dir, "--any-number" }),
		  CMD_FAILED);
	EXPECT_EQ(read_file(dir + "/manifest"), before);
}
