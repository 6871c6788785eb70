#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "quantiles/quantiles.h"

/*
 * Generates load on the HTTP ports for callers: concurrent requests over
 * persistent connections, in a closed loop or at a fixed rate, limited in
 * number and time.
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
	const char *path;   /* percent-encoded, may have a query */
	const char *caller; /* for Godwitspur-Caller; NULL: no header */
	int concurrency;
	double rate;   /* requests/s in total; 0: closed loop */
	int64_t count; /* of requests; 0: no limit */
	int seconds;   /* longest time, 1..LOAD_SECONDS_MAX */
	int timeout;   /* seconds to wait for a connection or an answer */
	size_t body_bytes;
	/* Gets a ticket for each request and sends it as Idempotency-Key. */
	bool tickets;
	/*
	 * With tickets: how many times a request is resent with the same
	 * ticket as long as no response is a success or has the outcome "ran".
	 */
	int resends;
};

/* How a request ended; each is counted once, after its last resend. */
enum load_end {
	LOAD_SUCCESS, /* status 2xx */
	LOAD_RAN,     /* other statuses, with this Godwitspur-Outcome */
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_NO_OUTCOME, /* other status without that header */
	LOAD_NO_TICKET,	 /* no ticket was issued; request not sent */
	LOAD_CONNECT,	 /* cannot connect */
	LOAD_TIMEOUT,	 /* no response in time */
	LOAD_BROKEN,	 /* connection lost or response truncated */
	NR_LOAD_ENDS
};

extern const char *const load_end_names[NR_LOAD_ENDS];

struct load_result {
	uint64_t requests;
	uint64_t ends[NR_LOAD_ENDS];
	uint64_t resends;
	uint64_t replays;     /* responses with Godwitspur-Replayed */
	uint64_t connections; /* opened */
	uint64_t bytes;	      /* of response bodies */
	double seconds;
	/*
	 * Latencies in ns, including ticket requests and resends. At a fixed
	 * rate they count from the time at which the request was due, so that
	 * the delay of requests behind a stalled server is included.
	 */
	struct quantiles success;
	struct quantiles all;
};

/* Parses 127.0.0.X:PORT into host and port; returns false for other text. */
bool load_parse_address(const char *text, char host[16], unsigned *port);

/*
 * Runs the load and waits for its end. Failed requests are counted in result.
 * If the run itself fails, writes the reason to standard error and returns
 * false.
 */
bool load_run(const struct load_options *options, struct load_result *result);

/* Prints the result as a table. */
void load_print(const struct load_result *result, FILE *out);

/* Returns the result as JSON; the caller owns the reference. */
json_t *load_to_json(const struct load_options *options,
		     const struct load_result *result);

#endif
