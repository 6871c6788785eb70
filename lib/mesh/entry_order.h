#ifndef MESH_ENTRY_ORDER_H
#define MESH_ENTRY_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The order of the entries that backend servers write of themselves. The store
 * may carry out a write long after later ones, and after the entry is gone, so
 * its revisions do not tell that order. Pure: no I/O, no clock.
 */

struct entry_order {
	int64_t started_ms; /* Unix ms of the server's start; 0: not known */
	int64_t sequence;   /* counts its writes since then */
};

enum entry_relation {
	/* Written after the known entry. */
	ENTRY_LATER,
	/* Written before it, or the same. */
	ENTRY_FORMER,
	/*
	 * Of an earlier start by its time, or of a start without a time. It is
	 * a late write, unless the time of day was set back between the starts.
	 */
	ENTRY_DOUBTFUL,
};

/*
 * The starts of one id or of one address. The time of the present start may be
 * earlier than that of the one before it; in the order of starts it then counts
 * as later than that one. All zero: nothing is known beyond the times.
 */
struct entry_starts {
	int64_t present_ms; /* the present start, by its time; 0: see above */
	int64_t counted_ms; /* its place in the order of starts */
	struct entry_order doubtful; /* the last doubtful write */
	int nr_doubtful;	     /* writes of that start, in their order */
};

/* Compares two entries by the times of their starts, then by sequence. */
enum entry_relation entry_order_compare(const struct entry_order *known,
					const struct entry_order *entry);

/* The order of an entry with the place of its start in the order of starts. */
struct entry_order entry_starts_place(const struct entry_starts *starts,
				      const struct entry_order *entry);

/* Makes a start the present one, in spite of its time. */
void entry_starts_take(struct entry_starts *starts, int64_t started_ms,
		       int64_t counted_ms);

/*
 * Notes a doubtful write. Returns whether its start is the present one: it goes
 * on writing, and a server that has ended does not, except for some writes that
 * the store carries out late.
 */
bool entry_starts_doubt(struct entry_starts *starts,
			const struct entry_order *entry);

/* Ends the doubt: the known start has written again. */
void entry_starts_settle(struct entry_starts *starts);

/*
 * Ranks are numbers above 0 that grow with the start, and then with the
 * sequence.
 */
int64_t entry_order_rank(const struct entry_order *order);

/* The time of the start of a rank, in Unix ms. */
int64_t entry_rank_started(int64_t rank);

#endif
