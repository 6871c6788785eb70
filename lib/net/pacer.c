#include "net/pacer.h"

#include <glib.h>

#include "base/clock.h"

/* Share of the link that paced output uses; the rest is for what is short. */
#define RATE_SHARE 0.9

/* A slice takes the link this long, which is what others wait behind it. */
#define SLICE_NS (8 * NS_PER_MS)

/* Short writes delay paced output by at most so many slices. */
#define DEBT_SLICES 8

struct net_pacer {
	struct timers *timers;
	struct cds_list_head waiting;
	double bytes_per_ns;
	double slice;	/* bytes */
	double credit;	/* bytes that may be written; below 0 after others */
	int64_t filled; /* when credit was last added */
	struct timer timer;
};

static void fill(struct net_pacer *pacer, int64_t now)
{
	double gained = (double)(now - pacer->filled) * pacer->bytes_per_ns;

	pacer->filled = now;
	pacer->credit = MIN(pacer->credit + gained, pacer->slice);
}

static struct net_paced *shortest(const struct net_pacer *pacer)
{
	struct net_paced *paced, *best = NULL;

	cds_list_for_each_entry (paced, &pacer->waiting, node) {
		if (!best || paced->left < best->left)
			best = paced;
	}
	return best;
}

static void write_slice(struct net_pacer *pacer, struct net_paced *paced)
{
	size_t bytes_max = MIN(paced->left, (size_t)pacer->slice);
	size_t written = paced->write(paced, bytes_max);

	pacer->credit -= (double)written;
	/* The write may have closed its owner, which removed it. */
	if (paced->waiting && (written < bytes_max || !paced->left))
		net_pacer_remove(pacer, paced);
}

/* The next slice is due when the debt is paid off. */
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

	fill(pacer, now);
	while (pacer->credit >= 0 && (paced = shortest(pacer)))
		write_slice(pacer, paced);
	if (!cds_list_empty(&pacer->waiting))
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
	CDS_INIT_LIST_HEAD(&pacer->waiting);
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
	if (paced->waiting)
		return;
	paced->waiting = true;
	cds_list_add_tail(&paced->node, &pacer->waiting);
	fill(pacer, now);
	if (!pacer->timer.position)
		set_timer(pacer, now);
}

void net_pacer_remove(struct net_pacer *pacer, struct net_paced *paced)
{
	if (!paced->waiting)
		return;
	paced->waiting = false;
	cds_list_del(&paced->node);
	if (cds_list_empty(&pacer->waiting))
		timers_cancel(pacer->timers, &pacer->timer);
}

void net_pacer_charge(struct net_pacer *pacer, size_t bytes, int64_t now)
{
	fill(pacer, now);
	pacer->credit =
		MAX(pacer->credit - (double)bytes, -DEBT_SLICES * pacer->slice);
}

size_t net_pacer_backlog(const struct net_pacer *pacer)
{
	const struct net_paced *paced;
	size_t bytes = 0;

	cds_list_for_each_entry (paced, &pacer->waiting, node)
		bytes += paced->left;
	return bytes;
}

int64_t net_pacer_time(const struct net_pacer *pacer, size_t bytes)
{
	return (int64_t)((double)bytes / pacer->bytes_per_ns);
}
