#ifndef GODWITSPUR_FETCH_H
#define GODWITSPUR_FETCH_H

#include <stdint.h>

#include "net/address.h"
#include "net/loop.h"

/*
 * HTTP GET requests on a small pool of threads, because a call blocks. Results
 * are delivered on the event loop that was given to fetch_pool_new().
 */

#define FETCH_BODY_MAX (1024 * 1024)

/* Status of a fetch without a complete, valid response of this length. */
#define FETCH_FAILED (-1)

/* A GET request; the pool owns it from fetch_start() until done() returns. */
struct fetch {
	struct cds_list_head node;
	struct net_address address;
	char *path;	      /* includes the query; freed by the pool */
	int read_timeout_sec; /* until the whole response has arrived */
	void (*done)(struct fetch *fetch); /* runs on the loop's thread */
	void *ctx;

	/* Result, valid in done(). */
	int status;	  /* HTTP status or FETCH_FAILED */
	int64_t revision; /* header Revision; 0 when absent */
	GByteArray *body;
};

struct fetch_pool;

struct fetch_pool *fetch_pool_new(struct net_loop *loop, int nr_threads);

/* Waits for running requests; results not delivered yet are dropped. */
void fetch_pool_free(struct fetch_pool *pool);

/* Takes ownership of fetch, which must be allocated with g_new0(). */
void fetch_start(struct fetch_pool *pool, struct fetch *fetch);

#endif
