#include <string.h>

#include "../expect.h"
#include "member/member.h"

/*
 * Fuzzes the parser of the host list, which is untrusted input. An accepted
 * list must be sorted by host name and have no duplicates, and its strings must
 * fit into the buffers that members copy them to.
 */

static void expect_valid(const struct host_list *list)
{
	for (size_t i = 0; i < list->nr; i++) {
		const struct member_host *host = &list->hosts[i];

		expect(!i || strcmp(host[-1].host, host->host) < 0);
		expect(*host->host && strlen(host->host) <= MEMBER_NAME_MAX);
		expect(*host->zone && strlen(host->zone) <= MEMBER_NAME_MAX);
		expect(*host->region &&
		       strlen(host->region) <= MEMBER_NAME_MAX);
		expect(*host->control &&
		       strlen(host->control) <= MEMBER_CONTROL_MAX);
	}
}

/* Checks that a member can rank, draw and dump the hosts of the list. */
static void check_member(struct host_list *list)
{
	struct rng rng;
	struct member_options options = {
		.host = "a",
		.zone = "z",
		.region = "r",
		.control = "127.0.0.1:1",
		.rng = &rng,
	};
	const struct member_host *drawn[4];
	struct member *member;
	json_t *dump;

	rng_init(&rng, 1);
	member = member_new(&options);
	member_apply_list(member, list, 1);
	expect(member_rank(member, 1) <= list->nr + 1);
	expect(member_sample(member, MEMBER_ANY_ZONE, 4, drawn, 1) <= 4);
	dump = member_dump(member, 1);
	expect(dump != NULL);
	json_decref(dump);
	member_free(member);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct findings findings;
	struct host_list *list;
	json_t *json;

	findings_init(&findings);
	list = host_list_parse((const char *)data, size, &findings);
	expect(!list == (findings.nr_errors > 0));
	json = findings_to_json(&findings);
	expect(json_array_size(json) == findings.nr_errors);
	json_decref(json);
	findings_release(&findings);
	if (!list)
		return 0;
	expect_valid(list);
	check_member(list);
	host_list_unref(list);
	return 0;
}
