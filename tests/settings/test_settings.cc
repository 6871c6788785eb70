#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <unistd.h>

extern "C" {
#include "dist/dist.h"
#include "net/address.h"
/* The field "operator" of struct settings is a C++ keyword. */
#define operator operator_address
#include "../../godwitspur/settings.h"
#undef operator
}

namespace
{

/*
 * Reads valid settings with an additional JSON member. *errors receives the
 * number of findings that are errors.
 */
struct settings *read_settings_with(const std::string &member, size_t *errors)
{
	char file[] = "/tmp/test_settings.XXXXXX";
	int fd = mkstemp(file);
	std::string text =
		R"({"host":"h1","zone":"z1","region":"be",
		"caller":"127.0.0.1:1","traffic":"127.0.0.1:2",
		"control":"127.0.0.1:3","operator":"127.0.0.1:4",
		"source":"127.0.0.1:5","host_list":"127.0.0.1:6")" +
		member + "}";
	struct findings findings;
	struct settings *settings;

	EXPECT_EQ(write(fd, text.data(), text.size()), (ssize_t)text.size());
	close(fd);
	findings_init(&findings);
	settings = settings_read(file, &findings);
	*errors = findings.nr_errors;
	findings_release(&findings);
	unlink(file);
	return settings;
}

/*
 * Guards against a daemon that silently uses the default distribution policy
 * when the setting is invalid or its key is misspelled.
 */
TEST(Settings, Distribution)
{
	static const struct {
		const char *member;
		const struct dist_policy *policy; /* NULL: rejected */
	} cases[] = {
		{ "", &dist_policy_gossip },
		{ R"(,"distribution":"gossip")", &dist_policy_gossip },
		{ R"(,"distribution":"direct")", &dist_policy_direct },
		{ R"(,"distribution":"Direct")", nullptr },
		{ R"(,"distribution":1)", nullptr },
		{ R"(,"distribution":null)", nullptr },
		{ R"(,"distributions":"direct")", nullptr },
	};

	for (const auto &c : cases) {
		size_t errors;
		struct settings *settings =
			read_settings_with(c.member, &errors);

		SCOPED_TRACE(c.member);
		EXPECT_EQ(settings != nullptr, c.policy != nullptr);
		EXPECT_EQ(errors, c.policy ? 0U : 1U);
		if (!settings)
			continue;
		EXPECT_EQ(settings->policy, c.policy);
		settings_free(settings);
	}
}

} // namespace
