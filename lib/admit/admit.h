#ifndef ADMIT_ADMIT_H
#define ADMIT_ADMIT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/cleanup.h"

/*
 * Admission control for the slots of one backend server: a concurrency limit
 * that rises from a low value after a start of the server, a bounded queue with
 * three priorities, and fairness between callers. The owner serializes the
 * calls with its lock.
 *
 * Use: admit_arrive() for each request; after it returned ADMIT_QUEUED, after
 * admit_done(), admit_cancel() and admit_set_policy(), and at
 * admit_next_timer(): admit_next() until it returns NULL. Every queued request
 * is returned exactly once: by admit_next(), in the list of expired requests of
 * admit_next() or admit_expire(), as *displaced of admit_arrive(), or by
 * admit_cancel() returning true. Only those returned by admit_next() run.
 *
 * Queue order. The priorities share the starts in rounds of at most 21, of
 * which orders get up to 16, lookups 4 and background 1, in this order. With a
 * strict order, a permanent load of a higher priority would starve a lower one
 * until its requests reach their deadlines; so each priority with queued
 * requests gets starts in each round. Within a priority the callers take turns
 * by deficit round robin: with n callers waiting, each gets 1/n of the started
 * cost, however many requests the others have queued.
 *
 * Levels. A request of a lower level goes before all of higher ones, whatever
 * their priorities, and an arrival to a full queue displaces the newest request
 * of the highest level above its own. The above applies among the requests of a
 * level. All requests have level 0 unless the calling code sets another.
 *
 * Full queue. Each priority has an eighth of the queue guaranteed. An arrival
 * displaces a request of a lower priority that exceeds its guarantee, or of any
 * priority that exceeds its guarantee when the arrival's own priority is below
 * its own. Otherwise it displaces the newest request of the caller with the
 * most queued requests in the same priority, if that caller has at least two
 * more than the arrival's caller. Otherwise it is refused.
 *
 * All times are monotonic nanoseconds; deadlines are absolute. A `now` that is
 * earlier than a previous one is replaced by the previous one.
 */

enum admit_priority {
	ADMIT_ORDER,
	ADMIT_LOOKUP,
	ADMIT_BACKGROUND,
	ADMIT_NR_PRIORITIES
};

#define ADMIT_COST_MAX 16

/* Levels of requests; a larger level counts as the last one. */
#define ADMIT_LEVELS 4

enum admit_state {
	ADMIT_IDLE,
	ADMIT_WAITING,
	ADMIT_RUNNING
};

struct admit_caller;

/*
 * Embedded in a structure of the calling code, which must keep it until a
 * queued request has been returned and a running one has ended.
 */
struct admit_request {
	/* Set by the calling code before admit_arrive(). */
	enum admit_priority priority;
	int level; /* of the caller's organisation; 0 is the most urgent */
	uint64_t caller;  /* hash of the caller's name */
	int64_t deadline; /* INT64_MAX: none */
	/*
	 * Latency objective as an absolute time; 0: none. A request that would
	 * miss it by waiting is not queued, so that the queue holds only
	 * requests that can still meet theirs; if a slot is free, it runs
	 * even so.
	 */
	int64_t objective;
	/*
	 * Time until which the request is to be answered as long as it can
	 * still be sent to other servers; 0: none. If this server would answer
	 * later, the request is refused even if a slot is free.
	 */
	int64_t due;
	/*
	 * Expected run time on this server at its present speed; 0: not known.
	 * Replaces the mean of the priority, which has requests of very
	 * different work.
	 */
	int64_t expected_ns;
	int cost; /* in the caller's turn, 1 (or 0) to ADMIT_COST_MAX */

	/* Set by the library. */
	int64_t arrival;
	int64_t started;
	uint64_t life; /* life of the backend server; see admit_life() */
	enum admit_state state;
	struct admit_caller *caller_queue;
	struct cds_list_head node; /* links of the queue or of a result list */
};

enum admit_verdict {
	ADMIT_RUN,		/* has a slot; call admit_done() at its end */
	ADMIT_QUEUED,		/* returned later, see above */
	ADMIT_REFUSED_FULL,	/* queue full: not-run */
	ADMIT_REFUSED_DEADLINE, /* would not be answered in time: not-run */
	ADMIT_REFUSED_DRAINING	/* not-run */
};

const char *admit_verdict_name(enum admit_verdict verdict);

enum admit_outcome {
	ADMIT_ANSWERED, /* answered in full */
	ADMIT_FAILED,	/* deadline passed or unusable answer */
	ADMIT_SHED,	/* refused by the backend server for overload */
	ADMIT_LOST	/* connection lost or refused: admit_backend_lost() */
};

struct admit_limit_policy;

/*
 * Rate limit for the starts of requests on a cold backend server: a token
 * bucket that fills with per_s and holds burst. It starts with one token at
 * most, since an earlier process may just have started other requests.
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

/* Settings; admit_set_policy() applies those of a new version. */
struct admit_options {
	int slots;	 /* 1 or more */
	int queue_max;	 /* 0 or more */
	int cold_slots;	 /* 1..slots */
	int64_t ramp_ns; /* shortest time from cold_slots to slots */
	const struct admit_limit_policy *limit_policy; /* NULL: observed */
};

/*
 * State of the concurrency limit. The limit moves in steps of one, so that a
 * change of slots needs no conversion of the progress made.
 */
#define ADMIT_WINDOW 16
struct admit_ramp {
	int slots;
	int cold_slots;
	int64_t ramp_ns;
	int limit;
	int64_t step_start;  /* when the limit last changed */
	int nr_fast;	     /* fast answers since step_start */
	int backoff;	     /* a step needs 2^backoff times time and answers */
	int64_t best_median; /* of service time in ns; 0: not known */
	int nr_window;
	int64_t window[ADMIT_WINDOW]; /* last service times in ns */
};

/* Policy of the concurrency limit. Functions except cold() may be NULL. */
struct admit_limit_policy {
	const char *name;
	/* Called when the backend server is new or was lost. */
	void (*cold)(struct admit_ramp *ramp, int64_t now);
	/* Called when a request that took service_ns on the server ended. */
	void (*done)(struct admit_ramp *ramp, enum admit_outcome outcome,
		     int64_t service_ns, int64_t now);
	/* Called when time has passed or settings have changed. */
	void (*tick)(struct admit_ramp *ramp, int64_t now);
	/* When tick() raises the limit next if no request ends. */
	int64_t (*next)(const struct admit_ramp *ramp);
};

/* The limit is always slots. */
extern const struct admit_limit_policy admit_limit_fixed;
/* The limit rises with time. */
extern const struct admit_limit_policy admit_limit_time;
/* The limit rises with time and with fast answers. */
extern const struct admit_limit_policy admit_limit_observed;

struct admit;

/* Never NULL. The limit starts at cold_slots, except with admit_limit_fixed. */
struct admit *admit_new(const struct admit_options *options, int64_t now);

/* No request may be queued. */
void admit_free(struct admit *admit);
DEFINE_CLEANUP(struct admit, admit_free)

/*
 * Applies new settings. Requests that are queued beyond a smaller queue_max or
 * run beyond a smaller slots are kept; a larger slots is reached by the ramp.
 */
void admit_set_policy(struct admit *admit, const struct admit_options *options,
		      int64_t now);

/*
 * Admits, queues or refuses a request. *displaced is the queued request that it
 * displaced, or NULL; answer that request `not-run`, queue full.
 */
enum admit_verdict admit_arrive(struct admit *admit,
				struct admit_request *request, int64_t now,
				struct admit_request **displaced);

/*
 * Returns the next request to run, or NULL when no slot is free or none is
 * queued. Requests before it that cannot meet their deadline are added to the
 * list expired, which the calling code initializes.
 */
struct admit_request *admit_next(struct admit *admit, int64_t now,
				 struct cds_list_head *expired);

/*
 * Limits the rate of starts until the deadline, while the backend server is
 * cold. A deadline in the past ends the limit. The concurrency limit, which
 * counts running requests, applies as well. The server was warm for the last
 * time at last_warm, or started at that time: what was started since then
 * counts as started at the cold rate when the limit begins.
 */
void admit_set_cold(struct admit *admit, const struct admit_cold_rate *rate,
		    int64_t deadline, int64_t last_warm, int64_t now);

/* Until when starts are limited by the cold rate. */
int64_t admit_cold_deadline(const struct admit *admit);

/*
 * Whether a running request has taken much longer than requests of its priority
 * do on average; false while the average is not known. Its answer may be lost.
 */
bool admit_is_overdue(const struct admit *admit,
		      const struct admit_request *request, int64_t now);

/* Ends a running request and frees its slot. */
void admit_done(struct admit *admit, struct admit_request *request,
		enum admit_outcome outcome, int64_t now);

/* Removes a request from the queue; false when it is not queued. */
bool admit_cancel(struct admit *admit, struct admit_request *request);

/* Removes all requests from the queue and adds them to cancelled. */
void admit_cancel_all(struct admit *admit, struct cds_list_head *cancelled);

/* Adds all queued requests that cannot meet their deadline to expired. */
void admit_expire(struct admit *admit, int64_t now,
		  struct cds_list_head *expired);

/*
 * When to call admit_expire() and admit_next() next if no request ends;
 * INT64_MAX for never. While requests run, this is at most 250 ms away: a call
 * that comes much later shows that this process was suspended, and the service
 * times of the requests that were running are then discarded.
 */
int64_t admit_next_timer(const struct admit *admit);

/*
 * Reports that the connection of a request to the backend server was lost or
 * refused; life is the request's. Returns true for the first report of that
 * life: the limit falls to cold_slots and a new life begins. Reports of an
 * older life stem from the same crash and change nothing. Call it before
 * admit_done().
 */
bool admit_backend_lost(struct admit *admit, uint64_t life, int64_t now);

/*
 * Number of the backend server's current life, the time between two losses; for
 * a connection that was lost while idle.
 */
uint64_t admit_life(const struct admit *admit);

/* Refuses all new requests; queued requests still run. */
void admit_drain(struct admit *admit);

/* The concurrency limit in force. */
int admit_limit(struct admit *admit, int64_t now);
int admit_running(const struct admit *admit);
int admit_queued(const struct admit *admit);
/*
 * Expected service time of a request of the priority: the mean, or more when
 * running requests have already taken longer.
 */
int64_t admit_service_ns(const struct admit *admit,
			 enum admit_priority priority);
/* Expected queueing time of a new request, by the mean service time. */
int64_t admit_wait_ns(const struct admit *admit);
/* Whether the limit is below that of a warm backend server. */
bool admit_cold(const struct admit *admit);

/* State as JSON; the caller owns the reference. */
json_t *admit_dump(const struct admit *admit);

#endif
