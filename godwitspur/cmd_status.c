#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "client.h"
#include "cmd_tree.h"

#define ADDRESSES_MAX 4096
#define DIGEST_CHARS_SHOWN 12

/* The status of all queried daemons. */
struct report {
	json_t *daemons;   /* array of status objects or errors */
	json_int_t newest; /* highest version number in force anywhere */
	int nr_behind;
	int nr_unreachable;
	int nr_starting; /* daemons that do not accept requests yet */
	int nr_refused;	 /* daemons that refuse a version newer than theirs */
	int nr_conflict; /* daemons that received two digests for one number */
};

static json_int_t version_number(json_t *daemon)
{
	json_t *version = json_object_get(daemon, "version");

	return json_integer_value(json_object_get(version, "number"));
}

static void query_daemon(struct report *report, const char *address)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = client_call(address, "GET", "/status", &error);
	json_t *daemon = text ? json_loads(text, 0, NULL) : NULL;

	if (!daemon) {
		report->nr_unreachable++;
		daemon = json_pack("{s:s}", "error",
				   error ? error->message
					 : "the response is not JSON");
	}
	json_object_set_new(daemon, "operator", json_string(address));
	report->newest = MAX(report->newest, version_number(daemon));
	report->nr_starting +=
		json_is_false(json_object_get(daemon, "serving"));
	report->nr_refused +=
		json_array_size(json_object_get(daemon, "refused")) > 0;
	report->nr_conflict +=
		json_is_true(json_object_get(daemon, "conflict"));
	json_array_append_new(report->daemons, daemon);
}

/*
 * A daemon is behind when its own status reports it, or when another daemon
 * runs a newer version.
 */
static void mark_behind(struct report *report)
{
	json_t *daemon;
	size_t i;

	json_array_foreach (report->daemons, i, daemon) {
		bool behind = !json_object_get(daemon, "error") &&
			      (version_number(daemon) < report->newest ||
			       json_is_true(json_object_get(daemon, "behind")));

		json_object_set_new(daemon, "behind", json_boolean(behind));
		report->nr_behind += behind;
	}
}

static const char *text_of(json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static const char *state_of(json_t *daemon)
{
	if (json_object_get(daemon, "error"))
		return "unreachable";
	if (json_is_true(json_object_get(daemon, "draining")))
		return "draining";
	if (!json_is_true(json_object_get(daemon, "serving")))
		return "starting";
	if (json_is_true(json_object_get(daemon, "conflict")))
		return "conflict";
	if (json_array_size(json_object_get(daemon, "refused")))
		return "refused";
	return json_is_true(json_object_get(daemon, "behind")) ? "behind"
							       : "current";
}

static void print_refusals(json_t *daemon)
{
	json_t *refused = json_object_get(daemon, "refused");
	json_t *refusal, *finding;
	size_t i, j;

	json_array_foreach (refused, i, refusal) {
		json_t *version = json_object_get(refusal, "version");
		json_t *findings = json_object_get(refusal, "findings");

		printf("    refused version %" JSON_INTEGER_FORMAT "\n",
		       json_integer_value(json_object_get(version, "number")));
		json_array_foreach (findings, j, finding)
			printf("      %s: %s: %s\n", text_of(finding, "path"),
			       text_of(finding, "severity"),
			       text_of(finding, "message"));
	}
}

static void print_table(const struct report *report)
{
	json_t *daemon;
	size_t i;

	printf("%-22s %-12s %-8s %10s %-14s %s\n", "OPERATOR", "HOST", "ZONE",
	       "VERSION", "DIGEST", "STATE");
	json_array_foreach (report->daemons, i, daemon) {
		json_t *version = json_object_get(daemon, "version");

		printf("%-22s %-12s %-8s %10" JSON_INTEGER_FORMAT
		       " %-14.*s %s\n",
		       text_of(daemon, "operator"), text_of(daemon, "host"),
		       text_of(daemon, "zone"), version_number(daemon),
		       DIGEST_CHARS_SHOWN, text_of(version, "digest"),
		       state_of(daemon));
		if (json_object_get(daemon, "error"))
			printf("    %s\n", text_of(daemon, "error"));
		print_refusals(daemon);
	}
	printf("%zu daemons, %d behind, %d unreachable",
	       json_array_size(report->daemons), report->nr_behind,
	       report->nr_unreachable);
	if (report->nr_starting)
		printf(", %d starting", report->nr_starting);
	if (report->nr_refused)
		printf(", %d refused a version", report->nr_refused);
	if (report->nr_conflict)
		printf(", %d with a conflict", report->nr_conflict);
	putchar('\n');
}

static void print_json(const struct report *report)
{
	json_t *json =
		json_pack("{s:O, s:I, s:i, s:i, s:i, s:i, s:i}", "daemons",
			  report->daemons, "newest", report->newest, "behind",
			  report->nr_behind, "unreachable",
			  report->nr_unreachable, "starting",
			  report->nr_starting, "refused", report->nr_refused,
			  "conflict", report->nr_conflict);
	char *text = json_dumps(json, JSON_INDENT(2));

	printf("%s\n", text);
	free(text);
	json_decref(json);
}

static int run(const char **addresses, int nr, int as_json)
{
	struct report report = { .daemons = json_array() };
	bool ok;

	for (int i = 0; i < nr; i++)
		query_daemon(&report, addresses[i]);
	mark_behind(&report);
	if (as_json)
		print_json(&report);
	else
		print_table(&report);
	ok = !report.nr_behind && !report.nr_unreachable &&
	     !report.nr_starting && !report.nr_refused && !report.nr_conflict;
	json_decref(report.daemons);
	return ok ? CMD_OK : CMD_FAILED;
}

int cmd_status(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *addresses =
		arg_strn(NULL, NULL, "ADDRESS", 1, ADDRESSES_MAX,
			 "operator addresses of daemons");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, json, addresses, end };
	int status;

	if (cmd_parse_args(argc, argv, table, help, end,
			   "Prints which version each daemon runs. Exit status "
			   "1 when a daemon is\nunreachable, behind, starting, "
			   "refuses a "
			   "newer version or has seen a conflict.",
			   &status))
		status = run(addresses->sval, addresses->count, json->count);
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
