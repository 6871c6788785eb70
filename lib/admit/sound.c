#include "admit/sound.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* Weight of a new request in the share. */
#define WEIGHT (1.0 / 16)

/* From this share of failures on a server is not sound. */
#define FAILING_MAX 0.1

/* Without new requests the share halves in this time, so that it is tried. */
#define HALF_LIFE_NS (1 * NS_PER_SEC)

/* From this share of refused offers on all servers are taken for unsound. */
#define REFUSED_MAX 0.5

/* How long unsound servers are not asked to refuse then. */
#define ASKING_PAUSE_NS (1 * NS_PER_SEC)

static double failing_at(const struct sound *sound, int64_t now)
{
	double age = (double)MAX(now - sound->counted, 0);

	return sound->failing * exp2(-age / HALF_LIFE_NS);
}

void sound_count(struct sound *sound, bool failed, int64_t now)
{
	double failing = failing_at(sound, now);

	sound->failing = failing + ((failed ? 1 : 0) - failing) * WEIGHT;
	sound->counted = now;
}

bool sound_holds(const struct sound *sound, int64_t now)
{
	return failing_at(sound, now) < FAILING_MAX;
}

void sound_asking_count(struct sound_asking *asking, bool refused, int64_t now)
{
	sound_count(&asking->offers, refused, now);
	if (failing_at(&asking->offers, now) > REFUSED_MAX)
		asking->resumes = now + ASKING_PAUSE_NS;
}

bool sound_asking_holds(const struct sound_asking *asking, int64_t now)
{
	return now >= asking->resumes;
}
