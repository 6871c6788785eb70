#ifndef ADMIT_ADMIT_H
#define ADMIT_ADMIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/cleanup.h"

/*
 * Admission of requests to the slots of one backend server: a concurrency
 * limit that starts cold, a bounded queue with three priorities, and fairness
 * between callers. The owner serializes the calls with its lock.
 *
 * Use: admit_arrive() for each request; after it returned ADMIT_QUEUED, after
 * admit_done(), admit_cancel() and admit_set_policy(), and at
 * admit_next_timer(): admit_next() until it returns NULL. Every request that
 * was queued comes back exactly once: from admit_next(), in the list of expired
 * ones of admit_next() or admit_expire(), as *displaced of admit_arrive(), or
 * by admit_cancel() returning true. Those not from admit_next() did not run.
 *
 * Order of the queue. The priorities share the starts in rounds of at most 21,
 * of which orders get up to 16, lookups 4 and background 1, in this order. A
 * strict order would let a permanent load of a higher priority hold up a
 * lower one until its deadline; so each waiting priority moves on in each
 * round. Within a priority the callers take turns by deficit round robin: with
 * n callers waiting, each gets 1/n of the cost that is started, however many
 * requests another has.
 *
 * A full queue. Each priority has an eighth of the places guaranteed. An
 * arrival displaces a request of a lower priority above its guarantee; when
 * its own priority is below its guarantee, any request above one; else the
 * newest request of the caller of its priority with the most places, if that
 * caller has at least two more than its own. Else it is refused.
 *
 * All times are monotonic nanoseconds; deadlines are absolute. A `now` below
 * an earlier one counts as the earlier one.
 */

enum admit_priority {
	ADMIT_ORDER,
	ADMIT_LOOKUP,
	ADMIT_BACKGROUND,
	ADMIT_NR_PRIORITIES
};

#define ADMIT_COST_MAX 16

enum admit_state {
	ADMIT_IDLE,
	ADMIT_WAITING,
	ADMIT_RUNNING
};

struct admit_caller;

/* Embedded by the calling code; it owns it until the request came back. */
struct admit_request {
	/* Set by the calling code before admit_arrive(). */
	enum admit_priority priority;
	uint64_t caller;  /* hash of the caller's name */
	int64_t deadline; /* INT64_MAX: none */
	/*
	 * Until when the answer is worth most; 0: none. A request that would
	 * miss it by waiting does not wait, so that the queue holds those that
	 * still gain by it; when a slot is free it runs all the same.
	 */
	int64_t objective;
	/*
	 * Until when it is to be answered as long as other servers may do so;
	 * 0: none. It is refused when this one would not, even with a free
	 * slot.
	 */
	int64_t due;
	int cost; /* share of a caller's turn, 1 (also 0) to ADMIT_COST_MAX */

	/* Set by the library. */
	int64_t arrival;
	int64_t started;
	uint64_t life; /* life of the backend server that it runs on */
	enum admit_state state;
	struct admit_caller *queue;
	struct cds_list_head node; /* links of the queue or of a result list */
};

enum admit_verdict {
	ADMIT_RUN,		/* takes a slot now; end with admit_done() */
	ADMIT_QUEUED,		/* comes back later */
	ADMIT_REFUSED_FULL,	/* queue full: not-run */
	ADMIT_REFUSED_DEADLINE, /* would not be answered in time: not-run */
	ADMIT_REFUSED_DRAINING	/* not-run */
};

const char *admit_verdict_name(enum admit_verdict verdict);

enum admit_outcome {
	ADMIT_ANSWERED, /* answered in full */
	ADMIT_FAILED,	/* deadline passed or unusable answer */
	ADMIT_SHED,	/* the backend server refused it for its load */
	ADMIT_LOST	/* connection lost or refused: admit_backend_lost() */
};

struct admit_limit_policy;

/*
 * Starts that a cold backend server bears: a token bucket that fills with
 * per_s and holds burst. It starts empty but for one start, since an earlier
 * process may have started others a moment before.
 */
struct admit_cold_rate {
	double per_s;
	double burst; /* 1 or more */
};

/*
 * The rate for a server that tolerates per_s starts, where at most
 * per_s * overage + slack may start in any second. Pure.
 */
struct admit_cold_rate admit_cold_rate_within(double per_s, double overage,
					      int slack);

/* Plain settings; taken again by admit_set_policy() from each new version. */
struct admit_options {
	int slots;	 /* 1 or more */
	int queue_max;	 /* 0 or more */
	int cold_slots;	 /* 1..slots */
	int64_t ramp_ns; /* time from cold_slots to slots at the earliest */
	const struct admit_limit_policy *limit_policy; /* NULL: observed */
};

/*
 * State of the limit. It moves in steps of one, so that a change of slots
 * needs no conversion of the progress made.
 */
#define ADMIT_WINDOW 16
struct admit_ramp {
	int slots;
	int cold_slots;
	int64_t ramp_ns;
	int limit;
	int64_t step_start;  /* when the limit last changed */
	int good;	     /* answers in good time since then */
	int backoff;	     /* doublings of time and answers for a step */
	int64_t best_median; /* of service time in ns; 0: not known */
	int nr_window;
	int64_t window[ADMIT_WINDOW]; /* last service times in ns */
};

/* How the limit moves. Functions other than cold() may be NULL. */
struct admit_limit_policy {
	const char *name;
	/* The backend server is new or was lost. */
	void (*cold)(struct admit_ramp *ramp, int64_t now);
	/* A request ended; service_ns is its time on the backend server. */
	void (*done)(struct admit_ramp *ramp, enum admit_outcome outcome,
		     int64_t service_ns, int64_t now);
	/* Time passed, or settings changed. */
	void (*tick)(struct admit_ramp *ramp, int64_t now);
	/* When tick() next raises the limit if no request ends. */
	int64_t (*next)(const struct admit_ramp *ramp);
};

extern const struct admit_limit_policy admit_limit_fixed;    /* slots */
extern const struct admit_limit_policy admit_limit_time;     /* by time */
extern const struct admit_limit_policy admit_limit_observed; /* by both */

struct admit;

/* Never NULL. The limit starts at cold_slots, except with admit_limit_fixed. */
struct admit *admit_new(const struct admit_options *options, int64_t now);

/* No request may be queued. */
void admit_free(struct admit *admit);
DEFINE_CLEANUP(struct admit, admit_free)

/*
 * Takes new settings. Requests queued above a smaller queue_max and running
 * above a smaller slots stay; a larger slots is reached by the ramp.
 */
void admit_set_policy(struct admit *admit, const struct admit_options *options,
		      int64_t now);

/*
 * A request arrives. *displaced is a queued request that lost its place to
 * it, or NULL: answer that one `not-run`, queue full.
 */
enum admit_verdict admit_arrive(struct admit *admit,
				struct admit_request *request, int64_t now,
				struct admit_request **displaced);

/*
 * The next request to run when a slot is free, else NULL. Requests met on the
 * way that cannot meet their deadline are added to the list expired, which
 * the calling code initializes.
 */
struct admit_request *admit_next(struct admit *admit, int64_t now,
				 struct cds_list_head *expired);

/*
 * The backend server is cold until the deadline and bears the rate of starts;
 * a deadline that has passed ends it. Unlike the limit, which counts what runs,
 * this holds by time.
 */
void admit_set_cold(struct admit *admit, const struct admit_cold_rate *rate,
		    int64_t deadline, int64_t now);

/* Until when starts are limited by the cold rate. */
int64_t admit_cold_deadline(const struct admit *admit);

/* A running request ended and frees its slot. */
void admit_done(struct admit *admit, struct admit_request *request,
		enum admit_outcome outcome, int64_t now);

/* True when the request was queued and is taken off; false when it runs. */
bool admit_cancel(struct admit *admit, struct admit_request *request);

/* Adds all queued requests that cannot meet their deadline to expired. */
void admit_expire(struct admit *admit, int64_t now,
		  struct cds_list_head *expired);

/*
 * When admit_expire() or admit_next() should be called next though no request
 * ends; INT64_MAX for never. While requests run that is soon: a call that comes
 * much later shows that the process was stopped, and the service times of the
 * requests that ran are not counted.
 */
int64_t admit_next_timer(const struct admit *admit);

/*
 * The connection of a request to the backend server was lost or refused; life
 * is the request's. True for the first report of that life: the limit falls
 * to cold_slots and a new life begins. Reports of an older life are of the
 * same crash and change nothing. Call it before admit_done().
 */
bool admit_backend_lost(struct admit *admit, uint64_t life, int64_t now);

/* The present life, for a connection that was lost while idle. */
uint64_t admit_life(const struct admit *admit);

/* Refuses all further arrivals; queued requests still run. */
void admit_drain(struct admit *admit);

/* The concurrency limit in force. */
int admit_limit(struct admit *admit, int64_t now);
int admit_running(const struct admit *admit);
int admit_queued(const struct admit *admit);
/*
 * How long a request of the priority is expected to run: the mean, or longer
 * when those that run take longer already.
 */
int64_t admit_service_ns(const struct admit *admit,
			 enum admit_priority priority);
/* When a request that came now would start, by the mean service time. */
int64_t admit_wait_ns(const struct admit *admit);
/* Below the limit of a warm backend server. */
bool admit_cold(const struct admit *admit);

/* State as JSON; the caller owns the reference. */
json_t *admit_dump(const struct admit *admit);

#endif
