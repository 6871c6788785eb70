#include "admit/sound.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* Weight of a new result in the smoothed share of failures. */
#define WEIGHT (1.0 / 16)

/* A server whose share of failures reaches this value is not sound. */
#define FAILING_MAX 0.1

/*
 * Without new results the share of failures halves in this time, so that the
 * server is tried again.
 */
#define HALF_LIFE_NS (1 * NS_PER_SEC)

/* Above this share of refused attempts, all servers are taken for unsound. */
#define REFUSED_MAX 0.5

/* Failover is then disabled for this time. */
#define FAILOVER_PAUSE_NS (1 * NS_PER_SEC)

static double failing_at(const struct sound *sound, int64_t now)
{
	double age = (double)MAX(now - sound->updated, 0);

	return sound->failing * exp2(-age / HALF_LIFE_NS);
}

void sound_record(struct sound *sound, bool failed, int64_t now)
{
	double failing = failing_at(sound, now);

	sound->failing = failing + ((failed ? 1 : 0) - failing) * WEIGHT;
	sound->updated = now;
}

bool sound_check(const struct sound *sound, int64_t now)
{
	return failing_at(sound, now) < FAILING_MAX;
}

void failover_record(struct failover_control *control, bool refused,
		     int64_t now)
{
	sound_record(&control->attempts, refused, now);
	if (failing_at(&control->attempts, now) > REFUSED_MAX)
		control->enabled_from = now + FAILOVER_PAUSE_NS;
}

bool failover_enabled(const struct failover_control *control, int64_t now)
{
	return now >= control->enabled_from;
}
