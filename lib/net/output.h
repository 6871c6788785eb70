#ifndef NET_OUTPUT_H
#define NET_OUTPUT_H

#include <glib.h>
#include <sys/types.h>

#include "base/memory_account.h"

/*
 * Output that a socket has not accepted yet. Bodies are referred to, all else
 * is copied and accounted for; the account of a body is that of its owner.
 */

/*
 * A record to send, with its mark. The body goes in at body_at of the data, and
 * is not copied. NULL: the data are all.
 */
struct net_record {
	const unsigned char *data;
	size_t len;
	GBytes *body;
	size_t body_at;
};

struct net_output {
	struct cds_list_head parts;
	size_t unsent; /* bytes */
	struct memory_hold hold;
};

void net_output_init(struct net_output *output, struct memory_account *account);
void net_output_clear(struct net_output *output);

/* Adds what follows the first bytes of a record, which were sent. */
void net_output_add(struct net_output *output, const struct net_record *record,
		    size_t sent);

/*
 * Writes at most bytes_max of the output as far as the socket accepts it.
 * Returns the bytes written, or -1 on an error.
 */
ssize_t net_output_write(struct net_output *output, int fd, size_t bytes_max);

/* The same for a record, of which nothing is added to an output. */
ssize_t net_output_write_record(int fd, const struct net_record *record);

#endif
