#include "base/clock.h"
#include "base/log.h"
#include "http/client.h"
#include "mesh/position.h"
#include "relay/store_reader.h"

/* Minimum time from the start of one watch to the start of the next. */
#define WATCH_INTERVAL_NS (700 * NS_PER_MS)

/* How long the store holds a watch open when nothing changes. */
#define WATCH_WAIT_MS 400

/*
 * Time between full reads during the first start of a fleet, until the local
 * server has registered. All daemons read the store until then, since a daemon
 * is known to the others by its server's entry only. There are no callers yet,
 * so the items may be stale, which makes a read cheap.
 */
#define BOOTSTRAP_INTERVAL_NS (900 * NS_PER_MS)

/*
 * A call fails when it is not answered within this time, in addition to the
 * time for which the store may hold a watch. After failures the current retry
 * delay is added, since the store may be slow. Both stay short: while a call
 * hangs, the daemon does not notice that the store has recovered.
 */
#define CALL_TIMEOUT_NS (500 * NS_PER_MS)

/* Delay after a failed call, doubled with each further failure. */
#define RETRY_FIRST_NS (200 * NS_PER_MS)
#define RETRY_MAX_NS (800 * NS_PER_MS)

#define HEAD_MAX_BYTES 16384
#define BODY_MAX_BYTES (16 * 1024 * 1024)

enum reader_state {
	READER_STOPPED,
	READER_FULL_READ, /* reads all items */
	READER_WATCH
};

struct store_reader {
	struct store_reader_options options;
	struct http_client *client;
	struct timer timer; /* the next call, or the time limit of this one */
	enum reader_state state;
	bool calling;
	int64_t started; /* when the last call was sent */
	int64_t full_read_started;
	int64_t retry_delay;
	int64_t lost_since;
	int64_t era;	    /* in which the items are read */
	int64_t revision;   /* the watch continues after it */
	bool accepts_stale; /* the full read may be stale */
	char *after_key;
	GHashTable *keys;	    /* found by the full read */
	int64_t full_read_revision; /* of its first page */
	uint64_t nr_calls;
};

static void send_call(struct store_reader *reader, int64_t now);

static void set_timer(struct store_reader *reader, int64_t deadline)
{
	timers_set(reader->options.timers, &reader->timer, deadline);
}

static void drop_client(struct store_reader *reader)
{
	if (reader->client)
		http_client_free(reader->client);
	reader->client = NULL;
}

/* The status is that of the response, 0 if there was none. */
static void fail_call(struct store_reader *reader, const char *reason,
		      int status)
{
	int64_t now = clock_monotonic_ns();

	log_event(LOG_WARNING, "store_call_failed", "reason=%s status=%d",
		  reason, status);
	reader->calling = false;
	drop_client(reader);
	reader->options.ops->failed(reader->options.ctx);
	if (!reader->lost_since) {
		reader->lost_since = reader->started;
		reader->options.ops->lost(reader->options.ctx);
	}
	reader->retry_delay =
		CLAMP(2 * reader->retry_delay, RETRY_FIRST_NS, RETRY_MAX_NS);
	if (reader->state != READER_STOPPED)
		set_timer(reader, now + reader->retry_delay);
}

static bool is_bootstrapping(const struct store_reader *reader)
{
	return reader->options.ops->is_bootstrapping(reader->options.ctx);
}

/* When the next watch may begin. */
static int64_t next_watch(const struct store_reader *reader)
{
	return MAX(reader->started + WATCH_INTERVAL_NS, clock_monotonic_ns());
}

static void start_full_read(struct store_reader *reader)
{
	reader->state = READER_FULL_READ;
	reader->full_read_revision = 0;
	g_clear_pointer(&reader->after_key, g_free);
	g_hash_table_remove_all(reader->keys);
}

/*
 * Continues in a higher era. What was read in the one before is no start for a
 * watch, nor the first pages of a full read for its last ones. Returns whether
 * the reading starts again.
 */
static bool enter_era(struct store_reader *reader, int64_t era)
{
	bool has_read =
		reader->state == READER_WATCH ||
		(reader->state == READER_FULL_READ && reader->after_key);

	if (era <= reader->era)
		return false;
	reader->era = era;
	if (has_read)
		start_full_read(reader);
	return has_read;
}

static void mark_reachable(struct store_reader *reader)
{
	reader->retry_delay = 0;
	reader->options.ops->answered(reader->options.ctx);
	if (!reader->lost_since)
		return;
	reader->options.ops->recovered(reader->options.ctx);
	reader->lost_since = 0;
}

static void finish_full_read(struct store_reader *reader)
{
	int64_t revision = reader->full_read_revision;

	reader->state = READER_WATCH;
	reader->revision = revision;
	reader->options.ops->complete(reader->options.ctx, reader->keys,
				      revision,
				      reader->accepts_stale
					      ? 0
					      : reader->full_read_started);
	if (reader->state != READER_WATCH || reader->calling)
		return;
	if (is_bootstrapping(reader)) {
		start_full_read(reader);
		set_timer(reader, reader->started + BOOTSTRAP_INTERVAL_NS);
	} else {
		set_timer(reader, next_watch(reader));
	}
}

static void handle_range_page(struct store_reader *reader,
			      const struct platform_page *page)
{
	const struct store_reader_ops *ops = reader->options.ops;

	/*
	 * The pages are no snapshot: they may miss changes that were made
	 * between them, so the watch continues from the first page's revision.
	 */
	if (!reader->full_read_revision) {
		reader->full_read_revision = page->revision;
		reader->full_read_started = reader->started;
	}
	ops->changes(reader->options.ctx, page, 0);
	for (guint i = 0; i < page->changes->len; i++) {
		struct platform_change *change =
			g_ptr_array_index(page->changes, i);

		g_hash_table_add(reader->keys, g_strdup(change->key));
		g_free(reader->after_key);
		reader->after_key = g_strdup(change->key);
	}
	if (page->has_more && page->changes->len) {
		send_call(reader, clock_monotonic_ns());
		return;
	}
	finish_full_read(reader);
}

static void handle_watch_page(struct store_reader *reader,
			      const struct platform_page *page)
{
	reader->revision = MAX(reader->revision, page->revision);
	/* A watch is answered with the state at the time of the answer. */
	reader->options.ops->changes(reader->options.ctx, page,
				     clock_monotonic_ns());
	if (reader->state == READER_WATCH && !reader->calling)
		set_timer(reader, next_watch(reader));
}

/*
 * Checks the era of a response; returns whether to go on with it. One that
 * states none is taken as one of the era that this daemon knows.
 */
static bool check_era(struct store_reader *reader,
		      const struct http_message *response)
{
	int64_t known =
		MAX(reader->era,
		    reader->options.ops->known_era(reader->options.ctx));
	int64_t era = platform_response_era(response);

	if (era < 0)
		era = known;
	if (era < known) {
		fail_call(reader, "former-era", response->status);
		return false;
	}
	if (!enter_era(reader, era))
		return true;
	if (response->status == 200 ||
	    response->status == PLATFORM_STATUS_HISTORY_GONE) {
		mark_reachable(reader);
		send_call(reader, clock_monotonic_ns());
	} else {
		fail_call(reader, "status", response->status);
	}
	return false;
}

static void handle_response(struct store_reader *reader,
			    const struct http_message *response)
{
	CLEANUP(platform_page_freep) struct platform_page *page = NULL;

	reader->calling = false;
	if (!check_era(reader, response))
		return;
	if (response->status == PLATFORM_STATUS_HISTORY_GONE &&
	    reader->state == READER_WATCH) {
		log_event(LOG_NOTICE, "store_history_gone",
			  "revision=%" G_GINT64_FORMAT,
			  position_revision(reader->revision));
		mark_reachable(reader);
		start_full_read(reader);
		send_call(reader, clock_monotonic_ns());
		return;
	}
	if (response->status == 200)
		page = platform_parse_page(response->body);
	if (!page || !platform_page_set_era(page, reader->era)) {
		fail_call(reader,
			  response->status == 200 ? "unreadable" : "status",
			  response->status);
		return;
	}
	mark_reachable(reader);
	if (reader->state == READER_FULL_READ)
		handle_range_page(reader, page);
	else if (reader->state == READER_WATCH)
		handle_watch_page(reader, page);
}

static void on_done(struct http_client *client, enum http_end end,
		    struct http_message *response, void *ctx)
{
	CLEANUP(http_message_freep) struct http_message *owned = response;
	struct store_reader *reader = ctx;

	if (!http_client_is_idle(client))
		drop_client(reader);
	if (end == HTTP_END_ANSWERED)
		handle_response(reader, response);
	else
		fail_call(reader, "connection", 0);
}

static void on_closed(struct http_client *client, void *ctx)
{
	(void)client;
	drop_client(ctx);
}

static const struct http_client_ops client_ops = {
	.done = on_done,
	.closed = on_closed,
};

static bool connect_store(struct store_reader *reader)
{
	struct http_client_options options = {
		.loop = reader->options.loop,
		.address = reader->options.address,
		.roles = &platform_field_roles,
		.limits = { .head_max = HEAD_MAX_BYTES,
			    .body_max = BODY_MAX_BYTES },
		.ops = &client_ops,
		.ctx = reader,
	};

	if (!reader->client)
		reader->client = http_client_new(&options);
	return reader->client != NULL;
}

static void send_call(struct store_reader *reader, int64_t now)
{
	int64_t wait = CALL_TIMEOUT_NS + reader->retry_delay;
	GString *head;

	/* Others may know of a restore before this daemon. */
	enter_era(reader, reader->options.ops->known_era(reader->options.ctx));
	reader->started = now;
	if (!connect_store(reader)) {
		fail_call(reader, "connect", 0);
		return;
	}
	if (reader->state == READER_FULL_READ) {
		/* All pages of one read are read alike. */
		if (!reader->after_key)
			reader->accepts_stale = is_bootstrapping(reader);
		head = platform_range_request("", reader->after_key,
					      reader->accepts_stale);
	} else {
		head = platform_watch_request(
			"", position_revision(reader->revision), WATCH_WAIT_MS);
		wait += WATCH_WAIT_MS * NS_PER_MS;
	}
	reader->nr_calls++;
	reader->calling = true;
	set_timer(reader, now + wait);
	http_client_send(reader->client, head, "", 0, NULL);
	g_string_free(head, TRUE);
}

static void on_timer(struct timer *timer, int64_t now)
{
	struct store_reader *reader =
		caa_container_of(timer, struct store_reader, timer);

	if (reader->calling)
		fail_call(reader, "no-answer", 0);
	else if (reader->state != READER_STOPPED)
		send_call(reader, now);
}

struct store_reader *
store_reader_new(const struct store_reader_options *options)
{
	struct store_reader *reader = g_new0(struct store_reader, 1);

	reader->options = *options;
	reader->timer.fire = on_timer;
	reader->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return reader;
}

void store_reader_start(struct store_reader *reader, int64_t revision)
{
	if (reader->state != READER_STOPPED)
		return;
	/* A revision of an era that has ended is no start for a watch. */
	if (revision && position_era(revision) >= reader->era) {
		reader->era = position_era(revision);
		reader->state = READER_WATCH;
		reader->revision = revision;
	} else {
		start_full_read(reader);
	}
	send_call(reader, clock_monotonic_ns());
}

void store_reader_stop(struct store_reader *reader)
{
	reader->state = READER_STOPPED;
	reader->calling = false;
	reader->lost_since = 0;
	reader->retry_delay = 0;
	timers_cancel(reader->options.timers, &reader->timer);
	drop_client(reader);
}

bool store_reader_is_running(const struct store_reader *reader)
{
	return reader->state != READER_STOPPED;
}

int64_t store_reader_lost_since(const struct store_reader *reader)
{
	return reader->lost_since;
}

uint64_t store_reader_nr_calls(const struct store_reader *reader)
{
	return reader->nr_calls;
}
