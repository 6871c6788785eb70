#ifndef GODWITSPUR_FETCH_H
#define GODWITSPUR_FETCH_H

#include <stdint.h>

#include "net/address.h"
#include "net/loop.h"

/*
 * HTTP reads by neon, which blocks, on a small pool of threads. The result is
 * handed to the loop that asked.
 */

#define FETCH_BODY_MAX (1024 * 1024)

/* Status codes below 0 are failures without an HTTP answer. */
enum {
	FETCH_FAILED = -1,
	FETCH_TOO_LONG = -2
};

/* A read; owned by the pool from fetch_start() until done has returned. */
struct fetch {
	struct cds_list_head node;
	struct net_address address;
	char *path;			   /* with query; freed by the pool */
	int read_timeout_sec;		   /* neon counts whole seconds */
	void (*done)(struct fetch *fetch); /* on the loop's thread */
	void *ctx;

	/* The result. */
	int status;	  /* HTTP status or FETCH_* */
	int64_t revision; /* header Revision; 0 when absent */
	GByteArray *body;
};

struct fetch_pool;

struct fetch_pool *fetch_pool_new(struct net_loop *loop, int nr_threads);

/* Waits for the reads that run; results that were not handed on are dropped. */
void fetch_pool_free(struct fetch_pool *pool);

/* Takes ownership of fetch, which g_new0() allocated. */
void fetch_start(struct fetch_pool *pool, struct fetch *fetch);

#endif
