#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <arpa/inet.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "net/conn.h"
#include "net/output.h"
#include "wire/wire.h"

#define READ_BYTES 65536

/*
 * An empty buffer that has held more bytes than this is freed. A host has
 * hundreds of connections, and each may have carried a long response.
 */
#define BUFFER_KEEP_BYTES 8192

/* Unsent output of at least this length is paced. */
#define PACED_MIN_BYTES 16384

/*
 * A host that vanished is noticed by these times of TCP, so that a record which
 * it has sent in part does not stay in the account. They are above the times
 * after which other daemons give such a connection up.
 */
#define KEEPALIVE_IDLE_S 10
#define KEEPALIVE_INTERVAL_S 5
#define KEEPALIVE_PROBES 3

/*
 * A record without progress for this long closes its connection when room is
 * short. The connection may carry requests that run; no request is still
 * awaited on one that has been silent for so long.
 */
#define RECORD_STALLED_NS (5 * NS_PER_SEC)

/* A long record and its place in the account. */
struct long_record {
	struct net_conn *conn; /* valid while it is not complete */
	unsigned char *data;
	size_t len;
	struct memory_hold hold;
};

struct net_conn {
	struct net_source source; /* first member, cast by on_ready() */
	struct net_conn_options options;
	gint refs;
	pthread_mutex_t lock; /* guards output, connecting and closed */
	struct net_output output;
	struct net_paced paced; /* loop's thread only */
	bool connecting;
	bool closed;
	int64_t last_read; /* atomic */
	GByteArray *input; /* loop's thread only */
	/* A long record that has arrived in part; loop's thread only. */
	struct long_record *long_record;
	size_t long_done;
	/* Bytes of a record that are still to be dropped. */
	size_t drop_left;
	unsigned char dropped_head[NET_DROPPED_HEAD_BYTES];
	size_t dropped_head_len;
};

static void on_ready(struct net_source *source, uint32_t events);
static size_t write_paced(struct net_paced *paced, size_t bytes_max);

static void set_keepalive(int fd)
{
	int on = 1, idle = KEEPALIVE_IDLE_S, interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void free_long_record(void *arg)
{
	struct long_record *record = arg;

	memory_hold_release(&record->hold);
	g_free(record->data);
	g_free(record);
}

struct net_conn *net_conn_new(const struct net_conn_options *options)
{
	struct net_conn *conn = g_new0(struct net_conn, 1);
	int on = 1;

	conn->options = *options;
	conn->source.fd = options->fd;
	conn->source.ready = on_ready;
	conn->paced.write = write_paced;
	conn->refs = 2; /* held by the caller and by the loop */
	conn->connecting = options->connecting;
	net_output_init(&conn->output, options->account);
	conn->input = g_byte_array_new();
	pthread_mutex_init(&conn->lock, NULL);
	setsockopt(options->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (options->account)
		set_keepalive(options->fd);
	net_loop_add(options->loop, &conn->source,
		     EPOLLIN | (conn->connecting ? EPOLLOUT : 0));
	return conn;
}

struct net_conn *net_conn_ref(struct net_conn *conn)
{
	g_atomic_int_inc(&conn->refs);
	return conn;
}

void net_conn_unref(struct net_conn *conn)
{
	if (!g_atomic_int_dec_and_test(&conn->refs))
		return;
	close(conn->source.fd);
	if (conn->options.free_ctx)
		conn->options.free_ctx(conn->options.ctx);
	net_output_clear(&conn->output);
	g_byte_array_unref(conn->input);
	pthread_mutex_destroy(&conn->lock);
	g_free(conn);
}

int64_t net_conn_last_read(const struct net_conn *conn)
{
	return __atomic_load_n(&conn->last_read, __ATOMIC_RELAXED);
}

void *net_conn_ctx(const struct net_conn *conn)
{
	return conn->options.ctx;
}

bool net_conn_established(struct net_conn *conn)
{
	bool connecting;

	pthread_mutex_lock(&conn->lock);
	connecting = conn->connecting;
	pthread_mutex_unlock(&conn->lock);
	return !connecting;
}

static void drop_loop_reference(void *arg)
{
	net_conn_unref(arg);
}

/* Closes the connection once and notifies its owner; loop's thread only. */
static void close_now(struct net_conn *conn, const char *reason)
{
	bool was_closed;

	pthread_mutex_lock(&conn->lock);
	was_closed = conn->closed;
	conn->closed = true;
	pthread_mutex_unlock(&conn->lock);
	if (was_closed)
		return;
	net_loop_remove(conn->options.loop, &conn->source);
	if (conn->options.pacer)
		net_pacer_remove(conn->options.pacer, &conn->paced);
	shutdown(conn->source.fd, SHUT_RDWR);
	net_output_clear(&conn->output);
	if (conn->long_record)
		free_long_record(conn->long_record);
	conn->long_record = NULL;
	conn->options.ops->on_closed(conn, reason);
	net_loop_defer(conn->options.loop, drop_loop_reference, conn);
}

static void close_deferred(void *arg)
{
	struct net_conn *conn = arg;

	close_now(conn, "closed locally");
	net_conn_unref(conn);
}

void net_conn_close(struct net_conn *conn)
{
	net_loop_defer(conn->options.loop, close_deferred, net_conn_ref(conn));
}

static size_t unsent_bytes(const struct net_conn *conn)
{
	return conn->output.unsent;
}

bool net_conn_is_transferring(struct net_conn *conn)
{
	bool transferring;

	pthread_mutex_lock(&conn->lock);
	transferring =
		!conn->closed && (conn->input->len || conn->long_record ||
				  conn->drop_left || unsent_bytes(conn));
	pthread_mutex_unlock(&conn->lock);
	return transferring;
}

static void count_sent(struct net_conn *conn, size_t bytes)
{
	if (conn->options.traffic)
		counter_add(&conn->options.traffic->bytes_sent, bytes);
}

/*
 * Counts output that was written at once. It is charged to the pacer, as it
 * takes its share of the link from paced output.
 */
static void count_unpaced(struct net_conn *conn, size_t bytes)
{
	count_sent(conn, bytes);
	if (conn->options.pacer)
		net_pacer_charge(conn->options.pacer, bytes,
				 clock_monotonic_ns());
}

static bool is_paced(const struct net_conn *conn, size_t unsent)
{
	return conn->options.pacer && unsent >= PACED_MIN_BYTES;
}

static void queue_paced_output(struct net_conn *conn)
{
	conn->paced.bytes_left = unsent_bytes(conn);
	net_pacer_add(conn->options.pacer, &conn->paced, clock_monotonic_ns());
}

bool net_conn_send(struct net_conn *conn, const void *data, size_t len)
{
	const struct net_record record = { .data = data, .len = len };

	return net_conn_send_record(conn, &record);
}

bool net_conn_send_record(struct net_conn *conn,
			  const struct net_record *record)
{
	size_t len = record->len +
		     (record->body ? g_bytes_get_size(record->body) : 0);
	ssize_t sent = 0;
	bool ok = false;

	pthread_mutex_lock(&conn->lock);
	if (conn->closed ||
	    (unsent_bytes(conn) > NET_OUTPUT_SHORT_BYTES &&
	     unsent_bytes(conn) + len > conn->options.output_max))
		goto out;
	if (!conn->connecting && !unsent_bytes(conn) && !is_paced(conn, len))
		sent = net_output_write_record(conn->source.fd, record);
	/*
	 * Before a write error the socket may have accepted a part of the
	 * record. The return value stays true then, and on_closed() reports
	 * the failure.
	 */
	ok = true;
	if (conn->options.traffic)
		counter_add(&conn->options.traffic->records_sent, 1);
	if (sent > 0)
		count_unpaced(conn, (size_t)sent);
	if (sent >= 0 && (size_t)sent < len) {
		net_output_add(&conn->output, record, (size_t)sent);
		if (!conn->connecting && is_paced(conn, unsent_bytes(conn)))
			queue_paced_output(conn);
		else if (!conn->paced.queued)
			net_loop_modify(conn->options.loop, &conn->source,
					EPOLLIN | EPOLLOUT);
	}
out:
	pthread_mutex_unlock(&conn->lock);
	if (sent < 0)
		net_conn_close(conn);
	return ok;
}

/* Writes at most bytes_max of the output and counts them; -1 on an error. */
static ssize_t write_output(struct net_conn *conn, size_t bytes_max)
{
	ssize_t sent =
		net_output_write(&conn->output, conn->source.fd, bytes_max);

	if (sent > 0)
		count_sent(conn, (size_t)sent);
	return sent;
}

/* Writes unsent output, or queues it for pacing. False on a write error. */
static bool flush_output(struct net_conn *conn)
{
	ssize_t sent = 0;

	pthread_mutex_lock(&conn->lock);
	if (is_paced(conn, unsent_bytes(conn))) {
		queue_paced_output(conn);
		net_loop_modify(conn->options.loop, &conn->source, EPOLLIN);
		goto out;
	}
	sent = write_output(conn, unsent_bytes(conn));
	if (sent >= 0 && !unsent_bytes(conn))
		net_loop_modify(conn->options.loop, &conn->source, EPOLLIN);
out:
	pthread_mutex_unlock(&conn->lock);
	return sent >= 0;
}

/* Writes the next slice of the output; called by the pacer. */
static size_t write_paced(struct net_paced *paced, size_t bytes_max)
{
	struct net_conn *conn = caa_container_of(paced, struct net_conn, paced);
	ssize_t sent;

	pthread_mutex_lock(&conn->lock);
	bytes_max = MIN(bytes_max, unsent_bytes(conn));
	sent = write_output(conn, bytes_max);
	if (sent >= 0 && (size_t)sent < bytes_max)
		net_loop_modify(conn->options.loop, &conn->source,
				EPOLLIN | EPOLLOUT);
	paced->bytes_left = unsent_bytes(conn);
	pthread_mutex_unlock(&conn->lock);
	if (sent < 0)
		net_conn_close(conn);
	return sent < 0 ? 0 : (size_t)sent;
}

/* Completes a connection attempt. Returns false when the attempt failed. */
static bool finish_connect(struct net_conn *conn)
{
	socklen_t len = sizeof(int);
	int error = 0;

	if (getsockopt(conn->source.fd, SOL_SOCKET, SO_ERROR, &error, &len) ||
	    error) {
		close_now(conn, g_strerror(error ? error : errno));
		return false;
	}
	pthread_mutex_lock(&conn->lock);
	conn->connecting = false;
	pthread_mutex_unlock(&conn->lock);
	return true;
}

static void count_record(struct net_conn *conn)
{
	if (conn->options.traffic)
		counter_add(&conn->options.traffic->records_received, 1);
}

static void replace_buffer(GByteArray **buffer)
{
	g_byte_array_unref(*buffer);
	*buffer = g_byte_array_new();
}

static void on_record_stalled(struct memory_hold *hold)
{
	struct long_record *record =
		caa_container_of(hold, struct long_record, hold);

	log_event(LOG_WARNING, "record_stalled", "held=%zu", record->len);
	close_now(record->conn, "record is stalled");
}

/*
 * Begins a long record of which a part has arrived. It is dropped when it does
 * not fit into the account and its receiver allows that.
 */
static void begin_long_record(struct net_conn *conn, const unsigned char *data,
			      size_t have, size_t len)
{
	struct memory_account *account = conn->options.account;
	struct long_record *record;

	if (account && conn->options.ops->on_dropped &&
	    !memory_account_make_room(account, 0, len, clock_monotonic_ns())) {
		conn->drop_left = len - have;
		conn->dropped_head_len = MIN(have, NET_DROPPED_HEAD_BYTES);
		memcpy(conn->dropped_head, data, conn->dropped_head_len);
		return;
	}
	record = g_new0(struct long_record, 1);
	record->data = g_malloc(len);
	record->len = len;
	memory_hold_init(&record->hold, account, clock_monotonic_ns());
	memory_hold_set(&record->hold, len);
	record->conn = conn;
	record->hold.yield = on_record_stalled;
	record->hold.stalled_ns = RECORD_STALLED_NS;
	memory_hold_set_yield(&record->hold, true, clock_monotonic_ns());
	memcpy(record->data, data, have);
	conn->long_record = record;
	conn->long_done = have;
}

/* Delivers the whole records of the input. False on a protocol violation. */
static bool deliver_records(struct net_conn *conn)
{
	size_t used = 0;
	size_t len;

	while (conn->input->len - used >= WIRE_MARK_BYTES) {
		const unsigned char *mark = conn->input->data + used;
		size_t have = conn->input->len - used - WIRE_MARK_BYTES;

		if (!wire_read_mark(mark, &len)) {
			close_now(conn, "record has several fragments");
			return false;
		}
		if (len > conn->options.record_max) {
			close_now(conn, "record exceeds the size limit");
			return false;
		}
		if (have < len && len >= NET_LONG_RECORD_BYTES &&
		    have >= MIN(len, NET_DROPPED_HEAD_BYTES)) {
			begin_long_record(conn, mark + WIRE_MARK_BYTES, have,
					  len);
			used = conn->input->len;
			break;
		}
		if (have < len)
			break;
		used += WIRE_MARK_BYTES;
		count_record(conn);
		conn->options.ops->on_record(conn, conn->input->data + used,
					     len);
		used += len;
	}
	if (used)
		g_byte_array_remove_range(conn->input, 0, (guint)used);
	if (!conn->input->len && used > BUFFER_KEEP_BYTES)
		replace_buffer(&conn->input);
	return true;
}

static void deliver_long_record(struct net_conn *conn)
{
	struct long_record *record = conn->long_record;

	count_record(conn);
	memory_hold_set_yield(&record->hold, false, 0);
	conn->options.ops->on_record(conn, record->data, record->len);
	/* Unless the receiver has taken it, or closed the connection. */
	if (conn->long_record)
		free_long_record(conn->long_record);
	conn->long_record = NULL;
}

GBytes *net_conn_take_record(struct net_conn *conn)
{
	struct long_record *record = conn->long_record;

	if (!record || conn->long_done < record->len)
		return NULL;
	conn->long_record = NULL;
	return g_bytes_new_with_free_func(record->data, record->len,
					  free_long_record, record);
}

/* Handles bytes that were read; those of a long record are in its buffer. */
static void take_input(struct net_conn *conn, const unsigned char *data,
		       size_t len)
{
	if (conn->drop_left) {
		conn->drop_left -= len;
		if (conn->drop_left)
			return;
		conn->options.ops->on_dropped(conn, conn->dropped_head,
					      conn->dropped_head_len);
	} else if (conn->long_record) {
		conn->long_done += len;
		memory_hold_moved(&conn->long_record->hold, len,
				  clock_monotonic_ns());
		if (conn->long_done == conn->long_record->len)
			deliver_long_record(conn);
	} else {
		g_byte_array_append(conn->input, data, (guint)len);
		deliver_records(conn);
	}
}

static void read_input(struct net_conn *conn)
{
	unsigned char buffer[READ_BYTES];
	unsigned char *place = buffer;
	size_t room = sizeof(buffer);
	ssize_t n;

	/* A long record is read into its own buffer, and no further. */
	if (conn->drop_left) {
		room = MIN(room, conn->drop_left);
	} else if (conn->long_record) {
		place = conn->long_record->data + conn->long_done;
		room = MIN(room, conn->long_record->len - conn->long_done);
	}
	n = recv(conn->source.fd, place, room, MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		close_now(conn, g_strerror(errno));
		return;
	}
	if (!n) {
		close_now(conn, "closed by the peer");
		return;
	}
	__atomic_store_n(&conn->last_read, clock_monotonic_ns(),
			 __ATOMIC_RELAXED);
	if (conn->options.traffic)
		counter_add(&conn->options.traffic->bytes_received, (size_t)n);
	take_input(conn, place, (size_t)n);
}

static bool is_closed(struct net_conn *conn)
{
	bool closed;

	pthread_mutex_lock(&conn->lock);
	closed = conn->closed;
	pthread_mutex_unlock(&conn->lock);
	return closed;
}

void net_conn_read_pending(struct net_conn *conn)
{
	int waiting = 0;

	while (!is_closed(conn) && net_conn_established(conn) &&
	       !ioctl(conn->source.fd, FIONREAD, &waiting) && waiting)
		read_input(conn);
}

static void on_ready(struct net_source *source, uint32_t events)
{
	struct net_conn *conn = (struct net_conn *)source;

	/* An earlier event of this loop iteration may have closed it. */
	if (is_closed(conn))
		return;
	if (conn->connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) &&
	    !finish_connect(conn))
		return;
	if ((events & EPOLLOUT) && !flush_output(conn)) {
		close_now(conn, "write error");
		return;
	}
	if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
		read_input(conn);
}

void net_conn_peer(const struct net_conn *conn, char *text, size_t size)
{
	struct sockaddr_storage storage = { 0 };
	socklen_t len = sizeof(storage);
	char host[INET6_ADDRSTRLEN] = "?";
	unsigned port = 0;

	if (!getpeername(conn->source.fd, (struct sockaddr *)&storage, &len)) {
		if (storage.ss_family == AF_INET) {
			struct sockaddr_in *in = (struct sockaddr_in *)&storage;

			inet_ntop(AF_INET, &in->sin_addr, host, sizeof(host));
			port = ntohs(in->sin_port);
		} else if (storage.ss_family == AF_INET6) {
			struct sockaddr_in6 *in =
				(struct sockaddr_in6 *)&storage;

			inet_ntop(AF_INET6, &in->sin6_addr, host, sizeof(host));
			port = ntohs(in->sin6_port);
		}
	}
	snprintf(text, size, "%s:%u", host, port);
}
