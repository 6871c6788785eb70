#ifndef QUOTA_QUOTA_H
#define QUOTA_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/cleanup.h"

/*
 * Quotas of organisations over all daemons. Each organisation has an owner
 * among the daemons, which keeps a token bucket and grants leases from it: a
 * number of requests that another daemon may start until a deadline. A daemon
 * that does not hear from the owner may start its fallback share. Pure: no I/O,
 * no clock. All times are monotonic nanoseconds of the daemon that calls.
 *
 * The bound: in every window at most
 *
 *	(rate x window + burst) x (1 + overage) + slack
 *
 * requests of an organisation start. Let A be what this allows beyond
 * rate x window + burst, that is (rate x window + burst) x overage + slack.
 * A window then holds at most
 *
 *	bucket at its start		<= burst + QUOTA_DEPTH_SHARE x A
 *	refill of the bucket		<= rate x window
 *	leases outstanding at its start	<= 1.25 x QUOTA_LEASE_SHARE x A
 *	fallback of all daemons		<= QUOTA_FALLBACK_SHARE x A
 *	handover: carries both the bucket and the outstanding leases, 0 more
 *
 * which leaves 37% of A for the time that a request with a token waits in a
 * queue before it starts, and for two owners that both grant while they hold
 * different views.
 */
#define QUOTA_LEASE_SHARE 0.24
#define QUOTA_DEPTH_SHARE 0.08
#define QUOTA_FALLBACK_SHARE 0.25

/* A lease is never longer, so that demand that moves is followed. */
#define QUOTA_LEASE_MAX_NS (400 * INT64_C(1000000))

struct quota_bounds {
	int64_t window_ns;
	double overage;
	double slack;
};

struct quota_limit {
	double rate_per_s; /* above 0 */
	double burst;
};

/* Requests that may start in a time span of the given length. */
double quota_allowed(const struct quota_bounds *bounds,
		     const struct quota_limit *limit, int64_t span_ns);

/* How long a lease is valid from the time at which it was asked for. */
int64_t quota_lease_ns(const struct quota_bounds *bounds);

/* Most tokens of a bucket; above a small burst, so that grants can be batched.
 */
double quota_depth(const struct quota_bounds *bounds,
		   const struct quota_limit *limit);

/*
 * Requests that a daemon may start in a window without tokens. The shares of
 * all daemons add up to the fallback of the organisation; rank is the daemon's
 * place among them, from 0.
 */
int quota_fallback(const struct quota_bounds *bounds,
		   const struct quota_limit *limit, int nr_daemons, int rank);

/* The token bucket of an organisation, at its owner. */

#define QUOTA_GRANT_SLOTS 16

struct quota_bucket {
	double tokens;
	int64_t filled_at;
	int64_t grants_from; /* nothing is granted before */
	int64_t full_at;     /* when it is full if nobody asks */
	int64_t asked_at;
	double refusals_per_s; /* asks that got too few tokens; smoothed */
	int64_t refused_at;
	int64_t hold_ns; /* least time between asks of a refused daemon */
	int64_t held_at; /* when hold_ns was last adjusted */
	/* Tokens granted lately, by intervals of an eighth of a lease. */
	struct {
		int64_t number;
		double tokens;
	} granted[QUOTA_GRANT_SLOTS];
};

/* A bucket that is empty and fills at the rate from grants_from on. */
void quota_bucket_init(struct quota_bucket *bucket, int64_t grants_from);

/* Adds what has accrued, and applies a limit that has changed. */
void quota_bucket_fill(struct quota_bucket *bucket,
		       const struct quota_bounds *bounds,
		       const struct quota_limit *limit, int64_t now);

/* Takes back unused tokens and grants up to `wanted`; returns the number. */
int quota_bucket_grant(struct quota_bucket *bucket,
		       const struct quota_bounds *bounds,
		       const struct quota_limit *limit, int wanted, int unused,
		       int64_t now);

/*
 * Time until a daemon that got too few tokens should ask again: until there is
 * a token, and longer when very many daemons ask, which bounds the messages
 * that an organisation far over its limit causes.
 */
int64_t quota_bucket_wait(const struct quota_bucket *bucket,
			  const struct quota_limit *limit, int64_t now);

/* Tokens that were granted and may not have been used yet. */
double quota_bucket_outstanding(const struct quota_bucket *bucket,
				const struct quota_bounds *bounds, int64_t now);

/* Sets the state that the previous owner handed over. */
void quota_bucket_take_over(struct quota_bucket *bucket,
			    const struct quota_bounds *bounds, double tokens,
			    double outstanding, int64_t now);

/* What a daemon holds of an organisation's quota. */

struct quota_lease {
	int tokens;
	int64_t deadline; /* 0 for a request of the fallback */
};

/* Times at which requests of the fallback started, within a window. */
struct quota_ring {
	int64_t *times;
	int size, next;
};

struct quota_share {
	/* The earlier lease, which is used first, and the present one. */
	struct quota_lease leases[2];
	double demand_per_s;	/* smoothed */
	int64_t demand_at;	/* when it was last updated */
	int64_t taken_deadline; /* of the lease of the token taken last */
	int waiting;		/* requests that wait for the owner's answer */
	bool asked;		/* an ask is outstanding */
	int64_t asked_at;
	int asked_tokens;
	int64_t refused_until; /* the owner has no token until then */
	int64_t silent_until;  /* the owner is not waited for until then */
	struct quota_ring fallback;
};

enum quota_verdict {
	QUOTA_TAKEN,
	QUOTA_WAIT,   /* for the owner's answer; counted in share->waiting */
	QUOTA_REFUSED /* the allowance is used up */
};

void quota_share_release(struct quota_share *share);

/*
 * Takes a token for a request that has arrived. fallback is the result of
 * quota_fallback(), 0 while it may not be used.
 */
enum quota_verdict quota_share_take(struct quota_share *share,
				    const struct quota_bounds *bounds,
				    int fallback, int64_t now);

/* Takes a token for a request that has waited; no WAIT. */
enum quota_verdict quota_share_take_waiting(struct quota_share *share,
					    const struct quota_bounds *bounds,
					    int fallback, int64_t now);

/*
 * Gives a token back that no request was started with. The deadline is the
 * taken_deadline of its request.
 */
void quota_share_refund(struct quota_share *share, int64_t deadline,
			int64_t now);

/* Tokens to ask for now; 0: no ask is needed. */
int quota_share_wanted(const struct quota_share *share,
		       const struct quota_bounds *bounds, int64_t now);

/*
 * Begins an ask for a number of tokens. Returns the unused tokens that go back
 * to the owner with it, which the daemon does not use any more.
 */
int quota_share_ask(struct quota_share *share, int wanted, int64_t now);

/*
 * Whether a waiting request can be decided: there is a token, or there will be
 * none. One that arrived after an ask has to wait for the next one.
 */
bool quota_share_is_decided(const struct quota_share *share, int64_t now);

/* Applies the owner's answer; wait_ns: until it has a token. */
void quota_share_granted(struct quota_share *share, int tokens,
			 int64_t lease_ns, int64_t wait_ns, int64_t now);

/* A request has waited for too long; the ask is still outstanding. */
void quota_share_overdue(struct quota_share *share, int64_t now);

/* The owner did not answer or cannot be reached. */
void quota_share_failed(struct quota_share *share, int64_t now);

/* Time until a refused request may succeed. */
int64_t quota_share_retry_after(const struct quota_share *share, int64_t now);

/* The daemons, and which of them owns which organisation. */

struct quota_members {
	GPtrArray *ips; /* sorted */
	GArray *hashes; /* uint64_t, in the same order */
};

/* The identifier of an organisation in messages between daemons. */
uint64_t quota_id(const char *organisation);

struct quota_members *quota_members_new(void);
void quota_members_free(struct quota_members *members);
/* Adds an IP number, unless it is there already. */
void quota_members_add(struct quota_members *members, const char *ip);
bool quota_members_equal(const struct quota_members *a,
			 const struct quota_members *b);
/* The IP number of the owner; NULL without any daemon. */
const char *quota_members_owner(const struct quota_members *members,
				uint64_t id);
/* The place of a daemon in the ranking for an organisation, from 0. */
int quota_members_rank(const struct quota_members *members, uint64_t id,
		       const char *ip);

/* The buckets of the organisations that a daemon owns. */

struct quota_owner;

struct quota_grant {
	bool is_owner;	   /* false: ask `owner` instead */
	const char *owner; /* borrowed until the members change; may be NULL */
	int tokens;
	int64_t wait_ns;
};

/* A bucket that goes to another owner. */
struct quota_handover {
	uint64_t id;
	const char *owner; /* borrowed until the members change */
	double tokens;
	double outstanding;
};

struct quota_owner *quota_owner_new(const char *ip,
				    const struct quota_bounds *bounds);
void quota_owner_free(struct quota_owner *owner);

/*
 * Applies the daemons of a new view and takes ownership of them. Appends the
 * buckets that have to be handed over, which this daemon drops, to handovers.
 */
void quota_owner_set_members(struct quota_owner *owner,
			     struct quota_members *members, GArray *handovers,
			     int64_t now);
const struct quota_members *
quota_owner_members(const struct quota_owner *owner);

/* Decides about an ask. */
struct quota_grant quota_owner_ask(struct quota_owner *owner, uint64_t id,
				   const struct quota_limit *limit, int wanted,
				   int unused, int64_t now);

/* Receives the bucket of the previous owner. */
void quota_owner_receive(struct quota_owner *owner, uint64_t id, double tokens,
			 double outstanding, int64_t now);

/* The number of buckets. */
guint quota_owner_nr_buckets(const struct quota_owner *owner);

#endif
