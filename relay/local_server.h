#ifndef RELAY_LOCAL_SERVER_H
#define RELAY_LOCAL_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "mesh/view.h"

/*
 * Decides which server beside the daemon may get requests: the registered one,
 * or its next boot before that is registered. Whichever server answers at the
 * address may be of another service, as addresses are used again. It answers
 * for restarts of many servers at once, whose registrations take their time. No
 * I/O, no clock: times are monotonic nanoseconds.
 */

struct local_server {
	char *registered_id; /* NULL: none is registered */
	char *id;	     /* in use: the registered one, or its next boot */
	char *service;	     /* of the registration */
	int64_t started_ms;  /* Unix ms of the registered start; 0: unknown */
	int64_t alive_at;    /* the one in use ran then; 0: not known */
	char *first_id;	     /* that answered this process first */
	bool saw_another;    /* another one answered after that */
	/* The last probe was answered by a server that must get no requests. */
	bool is_replaced;
};

/* The answer of a server to a health probe. */
struct local_server_answer {
	const char *id;
	bool is_healthy; /* it is not leaving, among others */
	int64_t sent;	 /* when the probe was sent */
	int64_t now;
	int64_t reuse_after_ns; /* 0: an address may be used again at once */
	/* By settings read after the answer; NULL: they can't be read. */
	const char *service;
};

enum local_server_change {
	LOCAL_SERVER_SAME,
	LOCAL_SERVER_NEXT_BOOT, /* it is in use from now on */
	LOCAL_SERVER_REPLACED,	/* by one whose service is not known */
};

/* Applies a registration; returns whether a server unknown so far is in use. */
bool local_server_register(struct local_server *server,
			   const struct mesh_target *target);

/* No server is registered. */
void local_server_forget(struct local_server *server);

/* Whether the answer is that of another server than the one in use. */
bool local_server_is_other(const struct local_server *server, const char *id);

/* Applies an answer; returns what it changed. */
enum local_server_change
local_server_answered(struct local_server *server,
		      const struct local_server_answer *answer);

#endif
