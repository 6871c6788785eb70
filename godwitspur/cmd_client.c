#include <ne_request.h>
#include <ne_session.h>
#include <stdio.h>

#include "client.h"
#include "cmd_tree.h"
#include "net/address.h"

#define CONNECT_TIMEOUT_SEC 2
#define READ_TIMEOUT_SEC 5
#define READ_BYTES 16384

static char *read_answer(ne_session *session, ne_request *request,
			 const char *address, GError **error)
{
	g_autoptr(GString) text = g_string_new(NULL);
	char buffer[READ_BYTES];
	ssize_t n = -1;

	if (ne_begin_request(request) == NE_OK)
		while ((n = ne_read_response_block(request, buffer,
						   sizeof(buffer))) > 0)
			g_string_append_len(text, buffer, n);
	if (n < 0 || ne_end_request(request) != NE_OK) {
		g_set_error(error, NET_ERROR, NET_ERROR_SOCKET, "%s: %s",
			    address, ne_get_error(session));
		return NULL;
	}
	if (ne_get_status(request)->code != 200) {
		g_set_error(error, NET_ERROR, NET_ERROR_SOCKET,
			    "%s: HTTP status %d: %s", address,
			    ne_get_status(request)->code, text->str);
		return NULL;
	}
	return g_strdup(text->str);
}

char *client_call(const char *address, const char *method, const char *path,
		  GError **error)
{
	struct net_address parsed;
	ne_request *request;
	ne_session *session;
	char *answer;

	if (!net_address_parse(&parsed, address, error))
		return NULL;
	session = ne_session_create("http", parsed.host, parsed.port);
	ne_set_connect_timeout(session, CONNECT_TIMEOUT_SEC);
	ne_set_read_timeout(session, READ_TIMEOUT_SEC);
	request = ne_request_create(session, method, path);
	answer = read_answer(session, request, address, error);
	ne_request_destroy(request);
	ne_session_destroy(session);
	return answer;
}

static int print_answer(const char *address, const char *method,
			const char *path)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *answer = client_call(address, method, path, &error);

	if (!answer) {
		fprintf(stderr, "godwitspur: %s\n", error->message);
		return CMD_FAILED;
	}
	printf("%s\n", g_strchomp(answer));
	return CMD_OK;
}

/* Sends one request to the daemon at ADDRESS and prints the response body. */
static int run_call(int argc, char **argv, const char *method, const char *path,
		    const char *summary)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_str *address = arg_str1(NULL, NULL, "ADDRESS",
					   "operator address of the daemon");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, address, end };
	int status;

	if (cmd_parse_args(argc, argv, table, help, end, summary, &status))
		status = print_answer(address->sval[0], method, path);
	arg_freetable(table, G_N_ELEMENTS(table));
	return status;
}

int cmd_dump(int argc, char **argv)
{
	return run_call(argc, argv, "GET", "/dump",
			"Prints the whole state of a daemon as JSON.");
}

int cmd_metrics(int argc, char **argv)
{
	return run_call(argc, argv, "GET", "/metrics",
			"Prints the metrics of a daemon as Prometheus text.");
}

int cmd_drain(int argc, char **argv)
{
	return run_call(argc, argv, "POST", "/drain",
			"Starts a planned stop: the daemon takes no new work "
			"and ends when nothing is in flight.");
}
