#include <stdio.h>
#include <unistd.h>

#include "cmd_tree.h"
#include "platform/platform.h"
#include "relay/relay.h"

static int run(const char *path)
{
	CLEANUP(mesh_host_freep) struct mesh_host *host = NULL;
	g_autoptr(GError) error = NULL;
	struct findings findings;

	findings_init(&findings);
	host = platform_settings_read(path, &findings);
	findings_print(&findings, stderr);
	findings_release(&findings);
	if (!host)
		return CMD_FAILED;
	/*
	 * The control thread still uses memory that returning would free, so
	 * the process exits here.
	 */
	if (relay_run(path, host, &error))
		_exit(CMD_OK);
	fprintf(stderr, "godwitspur: %s\n", error->message);
	return CMD_FAILED;
}

int cmd_relay(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_file *file =
		arg_file0(NULL, NULL, "FILE",
			  "settings; default: those of the platform");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, file, end };
	const char *path = platform_settings_path();
	int status;

	if (cmd_parse_args(argc, argv, table, help, end,
			   "Runs the daemon on the users' platform until it "
			   "is stopped.",
			   &status)) {
		if (file->count)
			path = file->filename[0];
		if (path) {
			status = run(path);
		} else {
			fprintf(stderr,
				"godwitspur: relay: no FILE, and the platform "
				"provides no settings\n");
			status = CMD_USAGE;
		}
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}
