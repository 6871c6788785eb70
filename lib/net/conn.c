#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <arpa/inet.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/conn.h"
#include "wire/wire.h"

#define READ_BYTES 65536

/*
 * An empty buffer that has held more bytes than this is freed. A host has
 * hundreds of connections, and each may have carried a long response.
 */
#define BUFFER_KEEP_BYTES 8192

/* Unsent output of at least this length is paced. */
#define PACED_MIN_BYTES 16384

/* Sent bytes are removed from the output buffer in steps of this size. */
#define OUTPUT_COMPACT_BYTES 65536

struct net_conn {
	struct net_source source; /* first member, cast by on_ready() */
	struct net_conn_options options;
	gint refs;
	pthread_mutex_t lock; /* guards output, connecting and closed */
	GByteArray *output;
	size_t output_sent;
	bool output_long;	/* output held more than BUFFER_KEEP_BYTES */
	struct net_paced paced; /* loop's thread only */
	bool connecting;
	bool closed;
	int64_t last_read; /* atomic */
	GByteArray *input; /* loop's thread only */
};

static void on_ready(struct net_source *source, uint32_t events);
static size_t write_paced(struct net_paced *paced, size_t bytes_max);

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
	conn->output = g_byte_array_new();
	conn->input = g_byte_array_new();
	pthread_mutex_init(&conn->lock, NULL);
	setsockopt(options->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
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
	g_byte_array_unref(conn->output);
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
	return conn->output->len - conn->output_sent;
}

bool net_conn_is_transferring(struct net_conn *conn)
{
	bool transferring;

	pthread_mutex_lock(&conn->lock);
	transferring =
		!conn->closed && (conn->input->len || unsent_bytes(conn));
	pthread_mutex_unlock(&conn->lock);
	return transferring;
}

/* Writes until the socket is full. Returns the bytes written, or -1. */
static ssize_t write_some(int fd, const unsigned char *data, size_t len)
{
	size_t done = 0;

	while (done < len) {
		ssize_t n = send(fd, data + done, len - done,
				 MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		if (n < 0)
			return -1;
		done += (size_t)n;
	}
	return (ssize_t)done;
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

static void replace_buffer(GByteArray **buffer)
{
	g_byte_array_unref(*buffer);
	*buffer = g_byte_array_new();
}

/* Counts and removes sent bytes from the front of the output. */
static void remove_sent(struct net_conn *conn, size_t bytes)
{
	conn->output_sent += bytes;
	count_sent(conn, bytes);
	if (!unsent_bytes(conn)) {
		if (conn->output_long)
			replace_buffer(&conn->output);
		g_byte_array_set_size(conn->output, 0);
		conn->output_sent = 0;
		conn->output_long = false;
	} else if (conn->output_sent >= OUTPUT_COMPACT_BYTES) {
		g_byte_array_remove_range(conn->output, 0,
					  (guint)conn->output_sent);
		conn->output_sent = 0;
	}
}

bool net_conn_send(struct net_conn *conn, const void *data, size_t len)
{
	ssize_t sent = 0;
	bool ok = false;

	pthread_mutex_lock(&conn->lock);
	if (conn->closed ||
	    (unsent_bytes(conn) &&
	     unsent_bytes(conn) + len > conn->options.output_max))
		goto out;
	if (!conn->connecting && !unsent_bytes(conn) && !is_paced(conn, len))
		sent = write_some(conn->source.fd, data, len);
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
		g_byte_array_append(conn->output, (const guint8 *)data + sent,
				    (guint)(len - (size_t)sent));
		conn->output_long |= conn->output->len > BUFFER_KEEP_BYTES;
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
	sent = write_some(conn->source.fd,
			  conn->output->data + conn->output_sent,
			  unsent_bytes(conn));
	if (sent >= 0)
		remove_sent(conn, (size_t)sent);
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
	sent = write_some(conn->source.fd,
			  conn->output->data + conn->output_sent, bytes_max);
	if (sent > 0)
		remove_sent(conn, (size_t)sent);
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

/* Delivers the whole records of the input. False on a protocol violation. */
static bool deliver_records(struct net_conn *conn)
{
	size_t used = 0;
	size_t len;

	while (conn->input->len - used >= WIRE_MARK_BYTES) {
		const unsigned char *mark = conn->input->data + used;

		if (!wire_read_mark(mark, &len)) {
			close_now(conn, "record has several fragments");
			return false;
		}
		if (len > conn->options.record_max) {
			close_now(conn, "record exceeds the size limit");
			return false;
		}
		if (conn->input->len - used - WIRE_MARK_BYTES < len)
			break;
		used += WIRE_MARK_BYTES;
		if (conn->options.traffic)
			counter_add(&conn->options.traffic->records_received,
				    1);
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

static void read_input(struct net_conn *conn)
{
	unsigned char buffer[READ_BYTES];
	ssize_t n = recv(conn->source.fd, buffer, sizeof(buffer), MSG_DONTWAIT);

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
	g_byte_array_append(conn->input, buffer, (guint)n);
	deliver_records(conn);
}

static bool is_closed(struct net_conn *conn)
{
	bool closed;

	pthread_mutex_lock(&conn->lock);
	closed = conn->closed;
	pthread_mutex_unlock(&conn->lock);
	return closed;
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
