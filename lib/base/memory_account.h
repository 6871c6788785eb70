#ifndef BASE_MEMORY_ACCOUNT_H
#define BASE_MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/counters.h"

/*
 * An account of the bytes that a thread holds for others: message heads,
 * bodies, records and responses. It decides whether more may be held and which
 * holder gives way when it runs short. It does no I/O and has no clock; `now`
 * is monotonic ns. All calls are on one thread.
 */

/*
 * Resident memory of a process without requests: code, view, control thread and
 * the allocator's slack. The daemon has 7 to 20 MB.
 */
#define MEMORY_BASE_BYTES 24000000

/* The reserve is 1 / this of the limit. */
#define MEMORY_RESERVE_SHARE 8

/* Holders of at most this many bytes may use the reserve. */
#define MEMORY_SMALL_BYTES 16384

/*
 * A holder has made progress when this many bytes were added or taken. Smaller
 * steps do not count, so that single bytes do not keep a connection open.
 */
#define MEMORY_PROGRESS_BYTES 16384

/*
 * A holder without progress for this long gives way when room is short, unless
 * its owner sets another time. It is above the pauses of a caller that gets no
 * processor for a while.
 */
#define MEMORY_STALLED_NS (250 * INT64_C(1000000))

/* Connections may take 1 / this of the limit by what each has at the least. */
#define MEMORY_CONNS_SHARE 4

/* Receive buffers of the larger size may take 1 / this of the limit. */
#define MEMORY_BUFFERS_SHARE 8

struct memory_account {
	size_t limit;	/* bytes */
	size_t reserve; /* part of the limit for small and internal holders */
	size_t used;
	size_t buffers; /* receive buffers of the larger size, used or not */
	struct cds_list_head holds; /* those that may give way */
	struct counter *evicted;    /* counts holders that gave way */
};

/* Bytes of one holder; embedded in the owning object. */
struct memory_hold {
	struct cds_list_head node;	/* in account->holds while may_yield */
	struct memory_account *account; /* NULL: not accounted */
	size_t bytes;
	size_t moved; /* bytes since the last progress */
	int64_t progressed;
	int64_t stalled_ns; /* without progress for this long, it gives way */
	bool may_yield;
	/* Frees what the holder has; called by memory_account_make_room(). */
	void (*yield)(struct memory_hold *hold);
};

/* Sets up the account of a process that may use memory_bytes in all. */
void memory_account_init(struct memory_account *account, size_t memory_bytes);

/* Returns how many connections may be open when each has conn_bytes. */
size_t memory_account_conns_max(const struct memory_account *account,
				size_t conn_bytes);

/*
 * Returns whether a connection may have a receive buffer of the larger size,
 * and then takes its bytes from their share until they are given back. The
 * caller charges them while they may be in use.
 */
bool memory_account_take_buffer(struct memory_account *account, size_t bytes);
void memory_account_give_buffer(struct memory_account *account, size_t bytes);

/*
 * Returns whether a holder that has held bytes may hold more bytes as well.
 * True without an account.
 */
bool memory_account_fits(const struct memory_account *account, size_t held,
			 size_t more);

/* As memory_account_fits() for holders that may use the reserve. */
bool memory_account_fits_reserve(const struct memory_account *account,
				 size_t more);

/*
 * Makes holders give way until the bytes fit: those without progress, the one
 * with the largest product of bytes and time since its progress first. Returns
 * whether the bytes fit. The calling holder may be among those that gave way.
 */
bool memory_account_make_room(struct memory_account *account, size_t held,
			      size_t more, int64_t now);

/*
 * Makes holders give way until what is held fits into the limit, whether or not
 * they are stalled; one that has made progress just now does not. For bytes
 * that cannot be refused, as the response to a request that has run.
 */
void memory_account_shrink(struct memory_account *account, int64_t now);

void memory_hold_init(struct memory_hold *hold, struct memory_account *account,
		      int64_t now);

/* Sets the bytes of a holder, whether or not they fit. */
void memory_hold_set(struct memory_hold *hold, size_t bytes);

/* Notes that bytes were received from or taken by the holder's peer. */
void memory_hold_moved(struct memory_hold *hold, size_t bytes, int64_t now);

/* Sets whether the holder may give way. Its progress starts anew. */
void memory_hold_set_yield(struct memory_hold *hold, bool may_yield,
			   int64_t now);

/* Releases all bytes of the holder and takes it out of the account. */
void memory_hold_release(struct memory_hold *hold);

#endif
