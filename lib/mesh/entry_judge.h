#ifndef MESH_ENTRY_JUDGE_H
#define MESH_ENTRY_JUDGE_H

#include "base/cleanup.h"
#include "mesh/boots.h"
#include "mesh/entry_order.h"
#include "mesh/view.h"

/*
 * Decides whether an entry of a backend server is news: whether its server
 * wrote it after what is known of the same id, and whether that server is not a
 * former boot of its address. It answers for each way on which an entry comes:
 * the store, also one restored from an older copy, and other daemons. Entries
 * that are carried out late are the load that it answers. Pure: no I/O, no
 * clock.
 */

struct entry_judge;

enum entry_verdict {
	ENTRY_TAKEN,
	/* What is known of the id stays in force, as it is newer. */
	ENTRY_RULED_OUT,
	/* Its server is a former boot: it has no entry. */
	ENTRY_OF_FORMER_BOOT,
	/* Taken as the present start, in spite of its time. */
	ENTRY_TAKEN_OVER,
};

struct entry_judge *entry_judge_new(void);
void entry_judge_free(struct entry_judge *judge);
DEFINE_CLEANUP(struct entry_judge, entry_judge_free)

/* The present boots of all addresses. */
struct boots *entry_judge_boots(struct entry_judge *judge);

/*
 * Judges an entry. The configuration may be NULL; an entry of a service that it
 * does not have is judged by its id alone. known is the last entry of the same
 * id, also of one that is gone, or NULL. Unless the verdict is ENTRY_TAKEN,
 * rank is set to what other daemons are to order the outcome by
 * (entry_order_rank()).
 */
enum entry_verdict entry_judge_write(struct entry_judge *judge,
				     const struct mesh_config *config,
				     const struct mesh_target *target,
				     const struct entry_order *known,
				     int64_t *rank);

/*
 * Takes over what another daemon found: an entry with a rank above its own is
 * of the present start of its id and its address, in spite of its time.
 */
void entry_judge_learn(struct entry_judge *judge,
		       const struct mesh_target *target, int64_t rank);

/* The rank of an entry of an id, with the place of its start. */
int64_t entry_judge_rank(const struct entry_judge *judge, const char *id,
			 const struct entry_order *order);

#endif
