#include "base/clock.h"
#include "base/rng.h"
#include "mesh/readers.h"

/* Added delay for each rank, so that the daemons do not all read at once. */
#define RANK_STEP_NS (120 * NS_PER_MS)
#define RANK_STEPS_MAX 16

/*
 * While the readers are heard but cannot read the store, it is down or turns
 * daemons away. After these ranks further ones are added slowly: in an outage
 * they would not help, and the store gets their calls when it returns.
 */
#define EAGER_RANKS 8
#define LATE_RANK_STEP_NS (600 * NS_PER_MS)

/* A daemon that received nothing for this long publishes its items. */
#define SILENCE_NS (1800 * NS_PER_MS)

uint64_t readers_hash(const char *ip)
{
	return hash_mix(hash_string(ip), hash_string("reader"));
}

static int64_t rank_wait(const struct readers_state *state)
{
	return MIN(state->rank, RANK_STEPS_MAX) * RANK_STEP_NS;
}

static int64_t silent_from(const struct readers_state *state)
{
	return state->received_at + SILENCE_NS;
}

static int64_t reads_from(const struct readers_state *state)
{
	int64_t from = state->covered_at + READERS_STALE_NS + rank_wait(state);
	int64_t late = MAX(state->rank - EAGER_RANKS, 0) * LATE_RANK_STEP_NS;

	return MIN(from + late, MAX(from, silent_from(state)));
}

static int64_t publishes_from(const struct readers_state *state)
{
	return silent_from(state) + rank_wait(state);
}

bool readers_should_read(const struct readers_state *state, int64_t now)
{
	return state->rank < READERS_TARGET || !state->covered_at ||
	       now > reads_from(state);
}

bool readers_should_publish(const struct readers_state *state, int64_t now)
{
	bool has_read =
		state->read_at &&
		now - state->read_at <= READERS_READ_AGE_MAX_MS * NS_PER_MS;

	return state->rank < READERS_TARGET ||
	       (has_read && readers_should_read(state, now)) ||
	       now > publishes_from(state);
}

int64_t readers_next_deadline(const struct readers_state *state, int64_t now)
{
	int64_t next = DEADLINE_NEVER;

	if (reads_from(state) >= now)
		next = reads_from(state) + 1;
	if (publishes_from(state) >= now)
		next = MIN(next, publishes_from(state) + 1);
	return next;
}
