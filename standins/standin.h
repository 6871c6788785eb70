#ifndef STANDINS_STANDIN_H
#define STANDINS_STANDIN_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What the stand-ins (test doubles of the platform) share: HTTP servers with
 * one thread for each connection, one lock for the state of the process, and
 * the fault that a test sets on the control address. The protocols are in
 * docs/platform.md.
 */

/* One HTTP request with its whole body. */
struct request {
	struct MHD_Connection *connection;
	char *target; /* as received, with the query */
	const char *method;
	const char *path; /* decoded, without the query */
	GByteArray *body; /* the first body_max bytes */
	size_t body_len;  /* received, also beyond body_max */
};

/* One listen address. handle() may block; it runs in its connection's thread.
 */
struct server {
	const char *name;    /* for log lines */
	const char *address; /* 127.0.0.x:port */
	size_t body_max;     /* a longer body is answered with 413 */
	enum MHD_Result (*handle)(struct request *request);
	MHD_AcceptPolicyCallback accept;     /* or NULL */
	MHD_NotifyConnectionCallback notify; /* or NULL */
	struct MHD_Daemon *daemon;	     /* set by standin_run() */
};

struct fault {
	int mode; /* index into the modes of the program; 0 is none */
	int64_t ms;
	bool hang;
};

/* The state that all threads share; everything else in it is the program's. */
struct standin {
	pthread_mutex_t lock;
	pthread_cond_t changed; /* any change that a waiting request must see */
	bool stopping;
	struct fault fault;
};

extern struct standin standin;

/*
 * Parses the command line and prepares the state shared by threads. Prints
 * usage and exits with status 2 when it is wrong, with 0 after --help. The
 * first entry of the table is --help.
 */
void standin_parse(int argc, char **argv, void **argtable);

/* Serves until SIGTERM or SIGINT; the exit status of the program. */
int standin_run(struct server *servers, size_t nr);

/*
 * Waits with the lock held until a change or the deadline (monotonic ns).
 * False when the deadline has passed or the program stops.
 */
bool standin_wait(int64_t deadline);

/* Wakes all waiting requests; call with the lock held. */
void standin_notify(void);

/* True when the request has this method and path. */
bool request_is(const struct request *request, const char *method,
		const char *path);

/* A header or a parameter of the query; NULL when absent. */
const char *request_header(const struct request *request, const char *name);
const char *request_query(const struct request *request, const char *name);

/*
 * Reads a number from the query; fallback when the parameter is absent. False
 * when it is not a whole number in [0, max].
 */
bool request_number(const struct request *request, const char *name,
		    int64_t max, int64_t fallback, int64_t *value);

/* Parses a whole number in [0, max]. */
bool parse_number(const char *text, int64_t max, int64_t *value);

/*
 * Answers with a copy of the body and pairs of header names and values up to
 * NULL.
 */
enum MHD_Result reply(const struct request *request, unsigned int status,
		      const void *body, size_t len, ...) G_GNUC_NULL_TERMINATED;

/* Answers with a line of text that says why. */
enum MHD_Result reply_text(const struct request *request, unsigned int status,
			   const char *text);

/* Answers with a JSON document and releases it. */
enum MHD_Result reply_json(const struct request *request, unsigned int status,
			   json_t *json);

/* A JSON string; bytes that are not UTF-8 are replaced. null for NULL. */
json_t *json_text(const char *text);

/*
 * Answers POST /fault?mode=M&ms=N&hang=1. modes ends with NULL; changed() is
 * called with the lock held and may be NULL.
 */
enum MHD_Result fault_control(const struct request *request,
			      const char *const *modes, void (*changed)(void));

/* Waits fault.ms with the lock held; a change of the fault ends the wait. */
void fault_delay(void);

#endif
