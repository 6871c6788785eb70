#include <stdio.h>
#include <unistd.h>

#include "cmd_tree.h"
#include "daemon.h"

static int run(const char *file)
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
	/*
	 * Other threads of the daemon still use memory that returning would
	 * free, so the process exits here.
	 */
	if (daemon_run(settings, &error))
		_exit(CMD_OK);
	fprintf(stderr, "godwitspur: %s\n", error->message);
	return CMD_FAILED;
}

int cmd_run(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE", "settings of the daemon");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, file, end };
	int status;

	if (cmd_parse_args(argc, argv, table, help, end,
			   "Runs the daemon until a planned stop.", &status))
		status = run(file->filename[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
