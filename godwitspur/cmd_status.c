#include <argtable2.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "client.h"
#include "commands.h"

#define ADDRESSES_MAX 4096
#define DIGEST_CHARS_SHOWN 12

/* The answers of all asked daemons. */
struct report {
	json_t *daemons;   /* array of status objects or errors */
	json_int_t newest; /* highest version number in force anywhere */
	int nr_behind;
	int nr_unreachable;
};

static json_int_t version_number(json_t *daemon)
{
	json_t *version = json_object_get(daemon, "version");

	return json_integer_value(json_object_get(version, "number"));
}

static void ask(struct report *report, const char *address)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = client_call(address, "GET", "/status", &error);
	json_t *daemon = text ? json_loads(text, 0, NULL) : NULL;

	if (!daemon) {
		report->nr_unreachable++;
		daemon = json_pack("{s:s}", "error",
				   error ? error->message : "answered no JSON");
	}
	json_object_set_new(daemon, "operator", json_string(address));
	report->newest = MAX(report->newest, version_number(daemon));
	json_array_append_new(report->daemons, daemon);
}

/* A daemon is behind when it says so or when another runs a newer version. */
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
	printf("%zu daemons, %d behind, %d unreachable\n",
	       json_array_size(report->daemons), report->nr_behind,
	       report->nr_unreachable);
}

static void print_json(const struct report *report)
{
	json_t *json =
		json_pack("{s:O, s:I, s:i, s:i}", "daemons", report->daemons,
			  "newest", report->newest, "behind", report->nr_behind,
			  "unreachable", report->nr_unreachable);
	char *text = json_dumps(json, JSON_INDENT(2));

	printf("%s\n", text);
	free(text);
	json_decref(json);
}

static int run(const char **addresses, int nr, int as_json)
{
	struct report report = { .daemons = json_array() };
	int status;

	for (int i = 0; i < nr; i++)
		ask(&report, addresses[i]);
	mark_behind(&report);
	if (as_json)
		print_json(&report);
	else
		print_table(&report);
	status =
		report.nr_behind || report.nr_unreachable ? CMD_FAILED : CMD_OK;
	json_decref(report.daemons);
	return status;
}

int cmd_status(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *addresses =
		arg_strn(NULL, NULL, "ADDRESS", 1, ADDRESSES_MAX,
			 "operator addresses of daemons");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, json, addresses, end };
	int errors = arg_parse(argc, argv, table);
	int status = CMD_OK;

	if (help->count) {
		printf("usage: godwitspur %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		printf("Exit status 1 when a daemon is behind or "
		       "unreachable.\n\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
	} else if (errors) {
		arg_print_errors(stderr, end, argv[0]);
		status = CMD_USAGE;
	} else {
		status = run(addresses->sval, addresses->count, json->count);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
