#ifndef RELAY_STORE_READER_H
#define RELAY_STORE_READER_H

#include "base/timer.h"
#include "net/address.h"
#include "net/loop.h"
#include "platform/platform.h"

/*
 * Reads the platform's store: all items once, then the changes. Each call has a
 * price and all daemons share the store's rate limit, so changes are requested
 * at an interval instead of one by one. All revisions are positions
 * (mesh/position.h). On a response of a higher era than the last one, all items
 * are read again; a response of a lower era is dropped, and the call is
 * repeated as after a failure. Runs on the control thread.
 */

struct store_reader;

struct store_reader_ops {
	/*
	 * Changes up to page->revision. With them, all that was published
	 * before the time confirmed is known. confirmed is 0 for the items of a
	 * full read, since deletions are known only at its end.
	 */
	void (*changes)(void *ctx, const struct platform_page *page,
			int64_t confirmed);
	/*
	 * A full read has ended. keys are those of all items that it found;
	 * any other item was deleted at the revision or before. confirmed is 0
	 * if the items may be stale.
	 */
	void (*complete)(void *ctx, GHashTable *keys, int64_t revision,
			 int64_t confirmed);
	/* A call failed. */
	void (*failed)(void *ctx);
	/* A call failed after a successful one; called after failed. */
	void (*lost)(void *ctx);
	/* A call succeeded; called before its changes are handed over. */
	void (*answered)(void *ctx);
	/* A call succeeded after failed ones; called after answered. */
	void (*recovered)(void *ctx);
	/*
	 * Whether the fleet starts for the first time and the local server has
	 * not registered yet. Full reads are then repeated and may be stale.
	 */
	bool (*is_bootstrapping)(void *ctx);
	/* The highest era that this daemon knows from others; 0: none. */
	int64_t (*known_era)(void *ctx);
};

struct store_reader_options {
	struct net_loop *loop;
	struct timers *timers;
	struct net_address address;
	const struct store_reader_ops *ops;
	void *ctx;
};

struct store_reader *
store_reader_new(const struct store_reader_options *options);

/*
 * Starts to watch for changes after a revision, or with 0 to read all items.
 * Does nothing if the reader is running.
 */
void store_reader_start(struct store_reader *reader, int64_t revision);

/* Cancels the call in flight and makes none until started again. */
void store_reader_stop(struct store_reader *reader);

bool store_reader_is_running(const struct store_reader *reader);

/* Start of the first of the latest failed calls in a row; 0: none failed. */
int64_t store_reader_lost_since(const struct store_reader *reader);

uint64_t store_reader_nr_calls(const struct store_reader *reader);

#endif
