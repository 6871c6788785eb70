#ifndef RELAY_STORE_READER_H
#define RELAY_STORE_READER_H

#include "base/timer.h"
#include "net/address.h"
#include "net/loop.h"
#include "platform/platform.h"

/*
 * Reads the platform's store: all items once, then what changes. Calls are
 * priced and the store's rate is shared by all daemons, so changes are asked
 * for at an interval and not one by one. On the control thread.
 */

struct store_reader;

struct store_reader_ops {
	/*
	 * Changes up to page->revision; with them nothing that was published
	 * before confirmed is missing. Items of a complete reading come with 0,
	 * since what it lacks is known only at its end.
	 */
	void (*changes)(void *ctx, const struct platform_page *page,
			int64_t confirmed);
	/*
	 * A complete reading has ended. keys are those that it found; what it
	 * did not find was deleted by the revision.
	 */
	void (*complete)(void *ctx, GHashTable *keys, int64_t revision,
			 int64_t confirmed);
	/* A call failed, after others that were answered. */
	void (*lost)(void *ctx);
	/* A call was answered after others that failed. */
	void (*regained)(void *ctx);
	/* Whether the fleet starts for the first time and has no callers. */
	bool (*is_early)(void *ctx);
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
 * Reads on from a revision, 0 for all items; does nothing while it reads
 * already.
 */
void store_reader_start(struct store_reader *reader, int64_t revision);

/* Makes no further call until it is started again. */
void store_reader_stop(struct store_reader *reader);

bool store_reader_is_running(const struct store_reader *reader);

/* When the first of the calls that failed in a row was made; 0: none did. */
int64_t store_reader_lost_since(const struct store_reader *reader);

uint64_t store_reader_nr_calls(const struct store_reader *reader);

#endif
