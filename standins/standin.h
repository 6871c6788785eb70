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
 * Common code of the stand-ins, the test doubles of platform services: HTTP
 * servers with one thread per connection, one lock for the state of the
 * process, and the fault that a test injects on the control address. Each
 * implements the protocol of its service.
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

/* HTTP server on one of the two addresses, --listen and --control. */
struct server {
	size_t body_max; /* a longer body is answered with 413 */
	/* Runs in the thread of the connection, so it may block. */
	enum MHD_Result (*handle)(struct request *request);
	MHD_AcceptPolicyCallback accept;     /* or NULL */
	MHD_NotifyConnectionCallback notify; /* or NULL */
};

/* An option of the command line besides --listen and --control. */
struct setting {
	const char *name;
	const char *unit; /* "N" for a number, NULL for a flag, else a text */
	const char *help;
	int number;	  /* default, then the value; never negative */
	const char *text; /* default, then the value */
};

struct fault {
	int mode; /* index into the modes of the program; 0 is none */
	int64_t ms;
	bool hang;
};

/* State shared by all threads; lock also protects that of the program. */
struct standin {
	pthread_mutex_t lock;
	pthread_cond_t changed; /* state that waiting requests depend on */
	bool stopping;
	struct fault fault;
	const char
		*common[2]; /* header of every answer: name, value; or NULL */
};

extern struct standin standin;

/*
 * Parses the command line, calls init(), which may be NULL, and serves until
 * SIGTERM or SIGINT. Returns the exit status, which is 2 for wrong usage. The
 * last entry of settings has no name.
 */
int standin_main(int argc, char **argv, struct setting *settings,
		 void (*init)(void), const struct server *listen,
		 const struct server *control);

/*
 * Waits for standin_notify() or the deadline (monotonic ns); call with the lock
 * held. Returns false when the deadline has passed or the program stops.
 */
bool standin_wait(int64_t deadline);

/* Wakes all waiting requests; call with the lock held. */
void standin_notify(void);

/* True when the request has this method and path. */
bool request_is(const struct request *request, const char *method,
		const char *path);

/* Return a header or a query parameter; NULL if absent. */
const char *request_header(const struct request *request, const char *name);
const char *request_query(const struct request *request, const char *name);

/*
 * Reads a number from the query; sets fallback if the parameter is absent.
 * Returns false if it is not a whole number in [0, max].
 */
bool request_number(const struct request *request, const char *name,
		    int64_t max, int64_t fallback, int64_t *value);

/* Parses a whole number in [0, max]. */
bool parse_number(const char *text, int64_t max, int64_t *value);

/* Queues a response and releases it. */
enum MHD_Result reply_with(const struct request *request, unsigned int status,
			   struct MHD_Response *response);

/* Answers with a copy of the body and one header; name may be NULL. */
enum MHD_Result reply(const struct request *request, unsigned int status,
		      const void *body, size_t len, const char *name,
		      const char *value);

/* Answers with a text. */
enum MHD_Result reply_text(const struct request *request, unsigned int status,
			   const char *text);

/* Answers with a JSON document and releases its reference. */
enum MHD_Result reply_json(const struct request *request, unsigned int status,
			   json_t *json);

/* Makes a JSON string with invalid UTF-8 replaced; null for NULL. */
json_t *json_text(const char *text);

/*
 * Answers POST /fault?mode=M&ms=N&hang=1. modes ends with NULL; changed() is
 * called with the lock held and may be NULL.
 */
enum MHD_Result fault_control(const struct request *request,
			      const char *const *modes, void (*changed)(void));

/* Waits fault.ms or until the mode changes; call with the lock held. */
void fault_delay(void);

#endif
