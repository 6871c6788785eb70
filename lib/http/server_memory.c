#include <errno.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/log.h"
#include "http/server_internal.h"

/*
 * Receive buffers of an accepted socket, doubled by the kernel. They bound what
 * was received and not read yet, which counts as the process's memory. Sockets
 * begin with the smaller one, because what the kernel offered once it cannot
 * take back; over loopback it carries 360 MB/s, and the larger one 1,400.
 */
#define RECEIVE_BUFFER_MIN_BYTES 4096
#define RECEIVE_BUFFER_BYTES 32768

/* An open connection: its objects have 2.4 KB, and the unread bytes. */
#define CONN_BYTES (4096 + 2 * RECEIVE_BUFFER_MIN_BYTES)

/*
 * Send buffer, doubled by the kernel. By default it grows to 4 MB, for each
 * caller that does not read.
 */
#define SEND_BUFFER_BYTES 65536

/*
 * A body makes progress when this many bytes of it arrive in this time, and a
 * response when as many are taken. A rate of 5.5 KB/s is a thousandth of what
 * the slowest link of a host carries with a few callers.
 */
#define PROGRESS_BYTES 16384
#define PROGRESS_NS (3 * NS_PER_SEC)

/* A request waits for room in the account for at most this long. */
#define ROOM_WAIT_NS (500 * NS_PER_MS)
#define ROOM_CHECK_NS (20 * NS_PER_MS)

/*
 * The rest of a refused request is dropped for this time and this many bytes.
 * Closing at once would reset the connection before the caller has read the
 * response.
 */
#define LINGER_NS (1 * NS_PER_SEC)
#define LINGER_BYTES (4 * 1024 * 1024)

/* Parse buffers of an idle connection are freed above this size. */
#define IDLE_KEEP_BYTES 1024

static struct memory_account *get_account(const struct http_server_conn *conn)
{
	return conn->server->options.account;
}

static void set_timer(struct http_server_conn *conn, int64_t deadline)
{
	timers_set(conn->server->options.timers, &conn->timer, deadline);
}

static size_t message_bytes(const struct http_message *message)
{
	return message->body->len + message->fields->allocated_len +
	       message->target->allocated_len;
}

/*
 * What a request holds or will hold as far as that is announced. The parser's
 * content_length is what is left of the body or of the present chunk.
 */
static size_t needed_bytes(const struct http_server_conn *conn)
{
	const struct http_reader *reader = &conn->reader;
	size_t needed = message_bytes(reader->message) + conn->pipelined->len +
			reader->name->allocated_len +
			reader->value->allocated_len;

	if (reader->head_done && reader->parser.content_length != UINT64_MAX)
		needed += MIN(reader->parser.content_length,
			      reader->limits.body_max);
	return needed;
}

static void log_refusal(const struct http_server_conn *conn, const char *reason)
{
	const struct memory_account *account = get_account(conn);
	const struct http_message *message = conn->reader.message;
	const char *id =
		message ? http_message_value(message, HTTP_ROLE_REQUEST_ID)
			: NULL;

	log_event(LOG_INFO, "memory_refused",
		  "id=%s reason=%s held=%zu used=%zu limit=%zu "
		  "stalled_ms=%" PRId64,
		  log_quote(id ? id : ""), reason, conn->hold.bytes,
		  account->used, account->limit,
		  (clock_monotonic_ns() - conn->hold.progressed) / NS_PER_MS);
}

static void refuse_for_room(struct http_server_conn *conn, const char *reason)
{
	struct http_server_counters *counters = conn->server->options.counters;

	log_refusal(conn, reason);
	if (counters)
		counter_add(&counters->no_room, 1);
	conn->wait_until = 0;
	server_conn_refuse(conn, 503);
}

static void on_yield(struct memory_hold *hold)
{
	struct http_server_conn *conn =
		caa_container_of(hold, struct http_server_conn, hold);

	if (conn->state == CONN_READING) {
		refuse_for_room(conn, "gave-way");
	} else {
		log_refusal(conn, "slow-reader");
		server_conn_close(conn);
	}
}

static void set_buffer(int fd, int option, int bytes)
{
	setsockopt(fd, SOL_SOCKET, option, &bytes, sizeof(bytes));
}

void server_init_memory(struct http_server *server)
{
	struct http_server_options *options = &server->options;
	unsigned conns_max;

	if (!options->account)
		return;
	set_buffer(server->listener.fd, SO_RCVBUF, RECEIVE_BUFFER_MIN_BYTES);
	set_buffer(server->listener.fd, SO_SNDBUF, SEND_BUFFER_BYTES);
	conns_max = (unsigned)memory_account_conns_max(options->account,
						       CONN_BYTES);
	if (!options->conns_max || options->conns_max > conns_max)
		options->conns_max = conns_max;
}

/* Gives the socket the larger buffer if the account has room for it. */
static void enlarge_buffer(struct http_server_conn *conn)
{
	const int bytes = 2 * RECEIVE_BUFFER_BYTES;

	if (!memory_account_take_buffer(get_account(conn), (size_t)bytes))
		return;
	conn->buffer = (size_t)bytes;
	set_buffer(conn->source.fd, SO_RCVBUF, RECEIVE_BUFFER_BYTES);
	/* The kernel has bounded the window by the buffer of the listener. */
	setsockopt(conn->source.fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes,
		   sizeof(bytes));
}

void server_conn_init_memory(struct http_server_conn *conn)
{
	int64_t now = clock_monotonic_ns();

	memory_hold_init(&conn->hold, get_account(conn), now);
	conn->hold.yield = on_yield;
	memory_hold_init(&conn->base_hold, get_account(conn), now);
	if (get_account(conn))
		enlarge_buffer(conn);
}

void server_conn_release_memory(struct http_server_conn *conn)
{
	memory_hold_release(&conn->hold);
	memory_hold_release(&conn->base_hold);
	if (conn->buffer)
		memory_account_give_buffer(get_account(conn), conn->buffer);
	conn->buffer = 0;
}

/*
 * Charges what the socket may hold unread. An idle connection is read as soon
 * as bytes arrive, so idle ones leave this room to large bodies.
 */
static void charge_buffer(struct http_server_conn *conn, bool is_idle)
{
	memory_hold_set(&conn->base_hold,
			CONN_BYTES + (is_idle ? 0 : conn->buffer));
}

static void trim(GString **text)
{
	if ((*text)->allocated_len <= IDLE_KEEP_BYTES)
		return;
	g_string_free(*text, TRUE);
	*text = g_string_new(NULL);
}

void server_conn_idle(struct http_server_conn *conn)
{
	int64_t now = clock_monotonic_ns();

	memory_hold_set_yield(&conn->hold, false, now);
	conn->hold.progressed = now;
	if (!get_account(conn))
		return;
	conn->granted = 0;
	conn->wait_until = 0;
	conn->body_begun = false;
	memory_hold_set(&conn->hold, 0);
	charge_buffer(conn, true);
	trim(&conn->reader.name);
	trim(&conn->reader.value);
}

bool server_conn_serving(struct http_server_conn *conn,
			 const struct http_message *message)
{
	int64_t now = clock_monotonic_ns();

	if (!get_account(conn))
		return true;
	charge_buffer(conn, false);
	memory_hold_set_yield(&conn->hold, false, now);
	memory_hold_set(&conn->hold,
			message_bytes(message) + conn->pipelined->len);
	/* Responses that nobody reads may have taken all room. */
	if (memory_account_make_room(get_account(conn), 0, 0, now))
		return true;
	refuse_for_room(conn, "no-room");
	return false;
}

void http_server_disown(struct http_server_conn *conn, size_t bytes)
{
	memory_hold_set(&conn->hold,
			conn->hold.bytes - MIN(bytes, conn->hold.bytes));
}

void server_conn_writing(struct http_server_conn *conn)
{
	int64_t now = clock_monotonic_ns();

	if (!get_account(conn))
		return;
	memory_hold_set(&conn->hold, conn->out->len + conn->pipelined->len);
	memory_hold_set_yield(&conn->hold, true, now);
	conn->received = 0;
	set_timer(conn, now + PROGRESS_NS);
	/* Refusals are short, and those of other holders end up here as well.
	 */
	if (!conn->unread)
		memory_account_shrink(get_account(conn), now);
}

void server_conn_wrote(struct http_server_conn *conn, size_t bytes)
{
	if (!get_account(conn))
		return;
	conn->received += bytes;
	memory_hold_moved(&conn->hold, bytes, clock_monotonic_ns());
}

bool server_conn_is_waiting(const struct http_server_conn *conn)
{
	return conn->wait_until != 0;
}

/* Takes room for what the request needs. False when there is none. */
static bool take_room(struct http_server_conn *conn, size_t needed, int64_t now)
{
	if (needed > conn->granted &&
	    !memory_account_make_room(get_account(conn), conn->granted,
				      needed - conn->granted, now))
		return false;
	conn->granted = MAX(conn->granted, needed);
	memory_hold_set(&conn->hold, conn->granted);
	return true;
}

/* Leaves further bytes in the socket until there is room for them. */
static void wait_for_room(struct http_server_conn *conn, int64_t now)
{
	memory_hold_set_yield(&conn->hold, false, now);
	memory_hold_set(&conn->hold, MAX(conn->granted,
					 message_bytes(conn->reader.message)));
	if (!memory_account_fits_reserve(get_account(conn), 0)) {
		refuse_for_room(conn, "no-room");
		return;
	}
	conn->wait_until = now + ROOM_WAIT_NS;
	server_conn_set_events(conn, EPOLLRDHUP);
	set_timer(conn, now + ROOM_CHECK_NS);
}

static void begin_body(struct http_server_conn *conn, int64_t now)
{
	conn->body_begun = true;
	conn->received = 0;
	set_timer(conn, now + PROGRESS_NS);
}

bool server_conn_read_part(struct http_server_conn *conn, size_t bytes)
{
	int64_t now = clock_monotonic_ns();

	if (!get_account(conn))
		return true;
	charge_buffer(conn, false);
	memory_hold_set_yield(&conn->hold, true, now);
	memory_hold_moved(&conn->hold, bytes, now);
	conn->received += bytes;
	if (conn->reader.head_done && !conn->body_begun)
		begin_body(conn, now);
	if (take_room(conn, needed_bytes(conn), now))
		return true;
	if (conn->state == CONN_READING)
		wait_for_room(conn, now);
	return false;
}

static void check_room(struct http_server_conn *conn, int64_t now)
{
	memory_hold_set(&conn->hold, conn->granted);
	if (take_room(conn, needed_bytes(conn), now)) {
		conn->wait_until = 0;
		memory_hold_set_yield(&conn->hold, true, now);
		begin_body(conn, now);
		server_conn_set_events(conn, EPOLLIN | EPOLLRDHUP);
		server_conn_send_continue(conn);
	} else if (now >= conn->wait_until) {
		refuse_for_room(conn, "no-room");
	} else {
		set_timer(conn, now + ROOM_CHECK_NS);
	}
}

/* The progress deadline of a body, or of a response that is written. */
static void check_progress(struct http_server_conn *conn, int64_t now)
{
	struct http_server_counters *counters = conn->server->options.counters;

	if (conn->received >= PROGRESS_BYTES) {
		conn->received = 0;
		set_timer(conn, now + PROGRESS_NS);
		return;
	}
	log_refusal(conn, "no-progress");
	if (counters)
		counter_add(&counters->stalled, 1);
	if (conn->state == CONN_READING)
		server_conn_refuse(conn, 408);
	else
		server_conn_close(conn);
}

bool server_conn_run_timer(struct http_server_conn *conn, int64_t now)
{
	if (!get_account(conn) || conn->state == CONN_LINGERING)
		return false;
	if (server_conn_is_waiting(conn))
		check_room(conn, now);
	else if (conn->state == CONN_WRITING ||
		 (conn->state == CONN_READING && conn->body_begun))
		check_progress(conn, now);
	else
		return false;
	return true;
}

bool server_conn_linger(struct http_server_conn *conn)
{
	int64_t now = clock_monotonic_ns();

	if (!get_account(conn) || !conn->unread)
		return false;
	conn->state = CONN_LINGERING;
	conn->received = 0;
	http_reader_next(&conn->reader);
	memory_hold_set_yield(&conn->hold, false, now);
	memory_hold_set(&conn->hold, 0);
	set_timer(conn, now + LINGER_NS);
	server_conn_set_events(conn, EPOLLIN);
	return true;
}

void server_conn_discard(struct http_server_conn *conn)
{
	/* With this flag TCP drops the bytes and copies nothing. */
	ssize_t n = recv(conn->source.fd, NULL, LINGER_BYTES, MSG_TRUNC);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0)
		conn->received += (size_t)n;
	if (n <= 0 || conn->received >= LINGER_BYTES)
		server_conn_close(conn);
}

bool server_close_idlest(struct http_server *server)
{
	struct http_server_conn *conn, *idlest = NULL;

	cds_list_for_each_entry (conn, &server->conns, node) {
		if (conn->state != CONN_SERVING &&
		    (!idlest ||
		     conn->hold.progressed < idlest->hold.progressed))
			idlest = conn;
	}
	if (!idlest)
		return false;
	log_event(LOG_INFO, "connection_displaced",
		  "open=%u limit=%u idle_ms=%" PRId64, server->nr_conns,
		  server->options.conns_max,
		  (clock_monotonic_ns() - idlest->hold.progressed) / NS_PER_MS);
	if (server->options.counters)
		counter_add(&server->options.counters->closed, 1);
	server_conn_close(idlest);
	return true;
}

bool server_has_place(struct http_server *server)
{
	unsigned limit = server->options.conns_max;

	if (!limit || server->nr_conns < limit)
		return true;
	return server_close_idlest(server) && server->nr_conns < limit;
}
