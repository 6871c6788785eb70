#include <stdio.h>
#include <string.h>

#include "commands.h"

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
};

static const struct command commands[] = {
	{ "run", cmd_run, "run the daemon" },
	{ "relay", cmd_relay, "run the daemon on the users' platform" },
	{ "check", cmd_check, "validate a settings tree" },
	{ "explain", cmd_explain, "show effective settings and their origin" },
	{ "diff", cmd_diff, "show effective changes between two trees" },
	{ "render", cmd_render, "write the values to publish" },
	{ "status", cmd_status, "show the version that each daemon runs" },
	{ "dump", cmd_dump, "show the state of a daemon" },
	{ "metrics", cmd_metrics, "show the metrics of a daemon" },
	{ "trace", cmd_trace, "show the log lines of a request" },
	{ "drain", cmd_drain, "start a planned stop of a daemon" },
};

#define NR_COMMANDS (sizeof(commands) / sizeof(commands[0]))

static void usage(FILE *out)
{
	fprintf(out, "usage: godwitspur COMMAND [ARGUMENT...]\n\n");
	for (size_t i = 0; i < NR_COMMANDS; i++)
		fprintf(out, "  %-8s %s\n", commands[i].name,
			commands[i].summary);
	fprintf(out, "\nEach command takes --help.\n");
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		usage(stderr);
		return CMD_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "help")) {
		usage(stdout);
		return CMD_OK;
	}
	for (size_t i = 0; i < NR_COMMANDS; i++)
		if (!strcmp(commands[i].name, argv[1]))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "godwitspur: %s: no such command\n", argv[1]);
	usage(stderr);
	return CMD_USAGE;
}
