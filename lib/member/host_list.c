#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "member/member.h"

/* More hosts than any fleet has; a longer list is taken for corrupt. */
#define HOSTS_MAX 16384

static int compare_hosts(const void *a, const void *b)
{
	const struct member_host *left = a;
	const struct member_host *right = b;

	return strcmp(left->host, right->host);
}

static const char *copy_string(char **at, const char *text)
{
	size_t size = strlen(text) + 1;
	char *copy = memcpy(*at, text, size);

	*at += size;
	return copy;
}

struct host_list *host_list_new(int64_t revision,
				const struct member_host *hosts, size_t nr)
{
	struct host_list *list = g_new0(struct host_list, 1);
	size_t bytes = 0;
	char *at;

	for (size_t i = 0; i < nr; i++)
		bytes += strlen(hosts[i].host) + strlen(hosts[i].zone) +
			 strlen(hosts[i].region) + strlen(hosts[i].control) + 4;
	list->refs = 1;
	list->revision = revision;
	list->nr = nr;
	list->hosts = g_new0(struct member_host, nr + 1);
	at = list->strings = g_malloc(bytes + 1);
	for (size_t i = 0; i < nr; i++) {
		struct member_host *host = &list->hosts[i];

		host->host = copy_string(&at, hosts[i].host);
		host->zone = copy_string(&at, hosts[i].zone);
		host->region = copy_string(&at, hosts[i].region);
		host->control = copy_string(&at, hosts[i].control);
		host->leaving = hosts[i].leaving;
		host->hash = hash_string(host->host);
	}
	qsort(list->hosts, nr, sizeof(*list->hosts), compare_hosts);
	for (size_t i = 1; i < nr; i++) {
		if (!strcmp(list->hosts[i - 1].host, list->hosts[i].host)) {
			host_list_unref(list);
			return NULL;
		}
	}
	return list;
}

struct host_list *host_list_ref(struct host_list *list)
{
	__atomic_add_fetch(&list->refs, 1, __ATOMIC_RELAXED);
	return list;
}

void host_list_unref(struct host_list *list)
{
	if (!list || __atomic_sub_fetch(&list->refs, 1, __ATOMIC_ACQ_REL))
		return;
	g_free(list->hosts);
	g_free(list->strings);
	g_free(list);
}

static bool is_name(const char *text)
{
	size_t len = strlen(text);

	if (!len || len > MEMBER_NAME_MAX || text[0] == '-')
		return false;
	return strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") == len;
}

/* Parses one entry and adds each of its errors to the findings. */
static void parse_host(const json_t *entry, size_t index,
		       struct member_host *host, struct findings *findings)
{
	const struct {
		const char *key;
		const char **value;
	} names[] = {
		{ "host", &host->host },
		{ "zone", &host->zone },
		{ "region", &host->region },
	};
	const char *state = json_string_value(json_object_get(entry, "state"));
	g_autofree char *path = g_strdup_printf("/hosts/%zu", index);

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		const char *text =
			json_string_value(json_object_get(entry, names[i].key));

		if (!text || !is_name(text))
			findings_add(findings, FINDING_ERROR, NULL, path,
				     "%s is missing or not a name: 1 to 63 of "
				     "a-z, 0-9 and -, not "
				     "starting with -",
				     names[i].key);
		*names[i].value = text ? text : "";
	}
	host->control = json_string_value(json_object_get(entry, "control"));
	if (!host->control || !*host->control ||
	    strlen(host->control) > MEMBER_CONTROL_MAX)
		findings_add(findings, FINDING_ERROR, NULL, path,
			     "control is missing or not 1 to 63 bytes long");
	if (!host->control)
		host->control = "";
	if (!state ||
	    (strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0))
		findings_add(findings, FINDING_ERROR, NULL, path,
			     "state is neither live nor leaving");
	host->leaving = state && !strcmp(state, "leaving");
}

struct host_list *host_list_parse(const char *text, size_t len,
				  struct findings *findings)
{
	json_error_t error;
	json_t *root = json_parse(text, len, JSON_REJECT_DUPLICATES, &error);
	json_t *revision = json_object_get(root, "revision");
	json_t *hosts = json_object_get(root, "hosts");
	size_t nr = json_array_size(hosts);
	size_t errors = findings->nr_errors;
	struct host_list *list = NULL;
	struct member_host *entries = NULL;

	if (!root)
		findings_add_at(findings, NULL, error.line, error.column, "%s",
				error.text);
	else if (!json_is_integer(revision) || !json_is_array(hosts))
		findings_add(
			findings, FINDING_ERROR, NULL, "",
			"revision is not an integer or hosts not an array");
	else if (nr > HOSTS_MAX)
		findings_add(findings, FINDING_ERROR, NULL, "/hosts",
			     "hosts has %zu entries, more than %d", nr,
			     HOSTS_MAX);
	if (findings->nr_errors == errors) {
		entries = g_new0(struct member_host, nr + 1);
		for (size_t i = 0; i < nr; i++)
			parse_host(json_array_get(hosts, i), i, &entries[i],
				   findings);
	}
	if (findings->nr_errors == errors) {
		list = host_list_new(json_integer_value(revision), entries, nr);
		if (!list)
			findings_add(findings, FINDING_ERROR, NULL, "/hosts",
				     "two entries have the same host");
	}
	g_free(entries);
	json_decref(root);
	return list;
}
