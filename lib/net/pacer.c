#include "net/pacer.h"

#include <glib.h>

#include "base/clock.h"

/* Share of the link for paced output; the rest is left to short output. */
#define RATE_SHARE 0.9

/* The time that a slice occupies the link, and so delays short output. */
#define SLICE_NS (8 * NS_PER_MS)

/* Short output delays paced output by at most this number of slices. */
#define DEBT_MAX_SLICES 8

/*
 * Longest time that an output waits for a slice while others get them, apart
 * from those that have waited longer. A connection is given up after 2.5 s
 * without a byte (relay/peer_links.c).
 */
#define WAIT_MAX_NS (1 * NS_PER_SEC)

struct net_pacer {
	struct timers *timers;
	struct cds_list_head queue;
	double bytes_per_ns;
	double slice;	/* bytes */
	double credit;	/* bytes that may be written; negative: a debt */
	int64_t filled; /* when credit was last added (monotonic ns) */
	struct timer timer;
};

static void add_credit(struct net_pacer *pacer, int64_t now)
{
	double gained = (double)(now - pacer->filled) * pacer->bytes_per_ns;

	pacer->filled = now;
	pacer->credit = MIN(pacer->credit + gained, pacer->slice);
}

/* The output that has waited too long, or else that with the fewest bytes. */
static struct net_paced *find_next(const struct net_pacer *pacer, int64_t now)
{
	struct net_paced *paced, *shortest = NULL, *oldest = NULL;

	cds_list_for_each_entry (paced, &pacer->queue, node) {
		if (!shortest || paced->bytes_left < shortest->bytes_left)
			shortest = paced;
		if (!oldest || paced->written_at < oldest->written_at)
			oldest = paced;
	}
	return oldest && now - oldest->written_at >= WAIT_MAX_NS ? oldest
								 : shortest;
}

static void write_slice(struct net_pacer *pacer, struct net_paced *paced,
			int64_t now)
{
	size_t bytes_max = MIN(paced->bytes_left, (size_t)pacer->slice);
	size_t written;

	paced->written_at = now;
	written = paced->write(paced, bytes_max);
	pacer->credit -= (double)written;
	/* The write may have closed the owner, which removes the output. */
	if (paced->queued && (written < bytes_max || !paced->bytes_left))
		net_pacer_remove(pacer, paced);
}

/* Schedules the next slice for when the credit is no longer negative. */
static void set_timer(struct net_pacer *pacer, int64_t now)
{
	double debt = MAX(-pacer->credit, 0);

	timers_set(pacer->timers, &pacer->timer,
		   now + (int64_t)(debt / pacer->bytes_per_ns) + 1);
}

static void on_timer(struct timer *timer, int64_t now)
{
	struct net_pacer *pacer =
		caa_container_of(timer, struct net_pacer, timer);
	struct net_paced *paced;

	add_credit(pacer, now);
	while (pacer->credit >= 0 && (paced = find_next(pacer, now)))
		write_slice(pacer, paced, now);
	if (!cds_list_empty(&pacer->queue))
		set_timer(pacer, now);
}

struct net_pacer *net_pacer_new(const struct net_pacer_options *options,
				int64_t now)
{
	struct net_pacer *pacer = g_new0(struct net_pacer, 1);

	pacer->timers = options->timers;
	pacer->bytes_per_ns =
		options->bytes_per_s * RATE_SHARE / (double)NS_PER_SEC;
	pacer->slice = MAX(pacer->bytes_per_ns * (double)SLICE_NS, 1);
	pacer->credit = pacer->slice;
	pacer->filled = now;
	pacer->timer.fire = on_timer;
	CDS_INIT_LIST_HEAD(&pacer->queue);
	return pacer;
}

void net_pacer_free(struct net_pacer *pacer)
{
	if (!pacer)
		return;
	timers_cancel(pacer->timers, &pacer->timer);
	g_free(pacer);
}

void net_pacer_add(struct net_pacer *pacer, struct net_paced *paced,
		   int64_t now)
{
	if (paced->queued)
		return;
	paced->queued = true;
	paced->written_at = now;
	cds_list_add_tail(&paced->node, &pacer->queue);
	add_credit(pacer, now);
	if (!pacer->timer.position)
		set_timer(pacer, now);
}

void net_pacer_remove(struct net_pacer *pacer, struct net_paced *paced)
{
	if (!paced->queued)
		return;
	paced->queued = false;
	cds_list_del(&paced->node);
	if (cds_list_empty(&pacer->queue))
		timers_cancel(pacer->timers, &pacer->timer);
}

void net_pacer_charge(struct net_pacer *pacer, size_t bytes, int64_t now)
{
	add_credit(pacer, now);
	pacer->credit = MAX(pacer->credit - (double)bytes,
			    -DEBT_MAX_SLICES * pacer->slice);
}

size_t net_pacer_backlog(const struct net_pacer *pacer)
{
	const struct net_paced *paced;
	size_t bytes = 0;

	cds_list_for_each_entry (paced, &pacer->queue, node)
		bytes += paced->bytes_left;
	return bytes;
}

int64_t net_pacer_transfer_time(const struct net_pacer *pacer, size_t bytes)
{
	return (int64_t)((double)bytes / pacer->bytes_per_ns);
}
