#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "cmd_tree.h"
#include "trace/trace.h"

static bool read_file(struct trace *trace, const char *path)
{
	FILE *log = fopen(path, "r");
	bool ok = log && trace_read(trace, log, path);

	if (!ok)
		fprintf(stderr, "godwitspur: %s: %s\n", path, strerror(errno));
	if (log)
		fclose(log);
	return ok;
}

static int run(const char *id, const char **paths, int nr_paths)
{
	CLEANUP(trace_freep) struct trace *trace = trace_new(id);
	bool ok = true;

	for (int i = 0; i < nr_paths; i++)
		ok &= read_file(trace, paths[i]);
	if (!nr_paths && !trace_read(trace, stdin, "stdin")) {
		fprintf(stderr, "godwitspur: standard input: %s\n",
			strerror(errno));
		ok = false;
	}
	trace_print(trace, stdout);
	return ok && trace_nr_lines(trace) ? CMD_OK : CMD_FAILED;
}

int cmd_trace(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *id = arg_str1(NULL, NULL, "ID", "id of the request");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 0, 10000,
			  "logs of daemons; default: standard input");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, id, files, end };
	int status;

	if (cmd_parse_args(argc, argv, table, help, end,
			   "Prints the log lines of a request from all daemons "
			   "in order, and why it ended.",
			   &status))
		status = run(id->sval[0], files->filename, files->count);
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
