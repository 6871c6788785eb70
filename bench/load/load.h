#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "quantiles/quantiles.h"

/*
 * Load for callers' HTTP: concurrent requests over kept connections, in a
 * closed loop or at a rate, bounded in number and time.
 */

#define LOAD_ADDRESSES_MAX 16
#define LOAD_CONCURRENCY_MAX 256
#define LOAD_SECONDS_MAX 3600
#define LOAD_BODY_MAX (64 << 20)

struct load_options {
	/* 127.0.0.X:PORT; connections use them in turn. */
	const char *addresses[LOAD_ADDRESSES_MAX];
	int nr_addresses;
	const char *method;
	const char *path;   /* URI-escaped, may have a query */
	const char *caller; /* for Godwitspur-Caller; NULL: no header */
	int concurrency;
	double rate;   /* requests a second over all; 0: closed loop */
	int64_t count; /* 0: no bound by number */
	int seconds;   /* bound by time, 1..LOAD_SECONDS_MAX */
	int timeout;   /* seconds to wait for a connection or an answer */
	size_t body_bytes;
	/* Gets a ticket for each request and sends it as Idempotency-Key. */
	bool tickets;
	/* With tickets: sends again, with the same ticket, what did not run
	 * for certain, up to this many times. */
	int resends;
};

/* How requests ended, each counted once, after its last resend. */
enum load_end {
	LOAD_SUCCESS, /* status 2xx */
	LOAD_RAN,     /* other statuses, by Godwitspur-Outcome */
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_NO_OUTCOME, /* other status without that header */
	LOAD_NO_TICKET,	 /* no ticket was given, nothing was sent */
	LOAD_CONNECT,	 /* no connection */
	LOAD_TIMEOUT,	 /* no answer in time */
	LOAD_BROKEN,	 /* connection lost, or a response cut short */
	NR_LOAD_ENDS
};

extern const char *const load_end_names[NR_LOAD_ENDS];

struct load_result {
	uint64_t requests;
	uint64_t ends[NR_LOAD_ENDS];
	uint64_t resends;
	uint64_t replays;     /* answers with Godwitspur-Replayed */
	uint64_t connections; /* opened */
	uint64_t bytes;	      /* of response bodies */
	double seconds;
	/*
	 * Latencies in ns, tickets and resends included. At a rate they run
	 * from the time at which the request was due, so that a stalled
	 * server is not spared the requests that wait for it.
	 */
	struct quantiles success;
	struct quantiles all;
};

/* Whether text is 127.0.0.X:PORT; sets host (16 bytes) and port. */
bool load_parse_address(const char *text, char host[16], unsigned *port);

/*
 * Runs the load and waits for its end. On failure, which is never that of a
 * request, writes the reason to standard error and returns false.
 */
bool load_run(const struct load_options *options, struct load_result *result);

/* The result as a table. */
void load_print(const struct load_result *result, FILE *out);

/* The result as JSON; the caller owns the reference. */
json_t *load_to_json(const struct load_options *options,
		     const struct load_result *result);

#endif
