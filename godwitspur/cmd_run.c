#include <argtable2.h>
#include <stdio.h>

#include "commands.h"
#include "daemon.h"

static int run(const char *name, const char *file)
{
	CLEANUP(settings_freep) struct settings *settings = NULL;
	g_autoptr(GError) error = NULL;
	struct findings findings;

	findings_init(&findings);
	settings = settings_read(file, &findings);
	findings_print(&findings, stderr);
	findings_release(&findings);
	if (!settings)
		return CMD_FAILED;
	if (daemon_run(settings, &error))
		return CMD_OK;
	fprintf(stderr, "%s: %s\n", name, error->message);
	return CMD_FAILED;
}

int cmd_run(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE", "settings of the daemon");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, file, end };
	int errors = arg_parse(argc, argv, table);
	int status = CMD_OK;

	if (help->count) {
		printf("usage: godwitspur %s", argv[0]);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
	} else if (errors) {
		arg_print_errors(stderr, end, argv[0]);
		status = CMD_USAGE;
	} else {
		status = run(argv[0], file->filename[0]);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
