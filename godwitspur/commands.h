#ifndef GODWITSPUR_COMMANDS_H
#define GODWITSPUR_COMMANDS_H

/*
 * Subcommands of the program. argv[0] is the name of the subcommand; the
 * return value is the exit status.
 */

enum cmd_status {
	CMD_OK,
	CMD_FAILED, /* invalid input, or an operation failed */
	CMD_USAGE   /* invalid arguments */
};

/* check FILE: validates a tree and prints all findings. */
int cmd_check(int argc, char **argv);

/* explain FILE PATH: prints effective values and the levels that set them. */
int cmd_explain(int argc, char **argv);

/* diff OLD NEW: prints effective changes between two trees. */
int cmd_diff(int argc, char **argv);

/* render FILE DIR: writes the parts of a tree, then their manifest. */
int cmd_render(int argc, char **argv);

/* run FILE: runs the daemon with the settings in FILE. */
int cmd_run(int argc, char **argv);

/* relay [FILE]: runs the daemon on the users' platform. */
int cmd_relay(int argc, char **argv);

/* trace ID [FILE...]: prints the lines of a request in collected logs. */
int cmd_trace(int argc, char **argv);

/* status ADDRESS...: queries daemons one by one and prints their versions. */
int cmd_status(int argc, char **argv);

/* dump, metrics and drain ADDRESS: each sends one request to a daemon. */
int cmd_dump(int argc, char **argv);
int cmd_metrics(int argc, char **argv);
int cmd_drain(int argc, char **argv);

#endif
