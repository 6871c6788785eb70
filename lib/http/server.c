#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "http/server_internal.h"

#define READ_BYTES 16384

/* Bytes after a request that are kept until it is answered. */
#define AHEAD_MAX 65536

/* A persistent connection frees its buffer after a longer response. */
#define OUT_KEEP_BYTES 8192

/* Retry-After of a request that is refused for lack of memory. */
#define RETRY_AFTER "Retry-After: 0.500\r\n"

static void conn_read_pipelined(struct http_server_conn *conn);

void server_conn_set_events(struct http_server_conn *conn, uint32_t events)
{
	if (conn->events == events)
		return;
	conn->events = events;
	net_loop_modify(conn->server->options.loop, &conn->source, events);
}

static void free_conn(void *arg)
{
	struct http_server_conn *conn = arg;

	http_reader_release(&conn->reader);
	g_byte_array_unref(conn->out);
	g_byte_array_unref(conn->pipelined);
	g_free(conn);
}

void server_conn_close(struct http_server_conn *conn)
{
	struct http_server *server = conn->server;
	bool serving = conn->state == CONN_SERVING;

	if (conn->state == CONN_CLOSED)
		return;
	conn->state = CONN_CLOSED;
	server_conn_release_memory(conn);
	timers_cancel(server->options.timers, &conn->timer);
	net_loop_remove(server->options.loop, &conn->source);
	close(conn->source.fd);
	cds_list_del(&conn->node);
	server->nr_conns--;
	if (serving)
		server->options.ops->disconnected(conn, server->options.ctx);
	/* Events of this loop iteration may still refer to the connection. */
	net_loop_defer(server->options.loop, free_conn, conn);
}

static void wait_for_request(struct http_server_conn *conn)
{
	struct http_server *server = conn->server;

	conn->state = CONN_READING;
	http_reader_next(&conn->reader);
	server_conn_idle(conn);
	conn->reader.limits = server->options.limits.message;
	timers_set(server->options.timers, &conn->timer,
		   clock_monotonic_ns() + server->options.limits.idle_max_ns);
	server_conn_set_events(conn, EPOLLIN | EPOLLRDHUP);
}

static void finish_reply(struct http_server_conn *conn)
{
	if (conn->out->len > OUT_KEEP_BYTES) {
		g_byte_array_unref(conn->out);
		conn->out = g_byte_array_new();
	}
	g_byte_array_set_size(conn->out, 0);
	conn->out_done = 0;
	if (conn->close_after) {
		/* Lets the caller read the whole response before a reset. */
		shutdown(conn->source.fd, SHUT_WR);
		if (!server_conn_linger(conn))
			server_conn_close(conn);
		return;
	}
	wait_for_request(conn);
	conn_read_pipelined(conn);
}

static void write_out(struct http_server_conn *conn)
{
	while (conn->out_done < conn->out->len) {
		ssize_t n =
			send(conn->source.fd, conn->out->data + conn->out_done,
			     conn->out->len - conn->out_done, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			server_conn_set_events(conn, EPOLLOUT);
			return;
		}
		if (n < 0) {
			server_conn_close(conn);
			return;
		}
		conn->out_done += (guint)n;
		server_conn_wrote(conn, (size_t)n);
	}
	finish_reply(conn);
}

static void append_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

static bool has_body(int status)
{
	return status >= 200 && status != 204 && status != 304;
}

void http_server_reply(struct http_server_conn *conn,
		       const struct http_reply *reply)
{
	char line[128];

	if (conn->state != CONN_SERVING)
		return;
	conn->state = CONN_WRITING;
	conn->data = NULL;
	conn->close_after |= reply->close || conn->server->draining;
	snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\n", reply->status,
		 http_status_phrase(reply->status));
	append_text(conn->out, line);
	if (reply->fields)
		append_text(conn->out, reply->fields);
	if (has_body(reply->status)) {
		snprintf(line, sizeof(line), "Content-Length: %zu\r\n",
			 reply->body_len);
		append_text(conn->out, line);
	}
	append_text(conn->out,
		    conn->close_after ? "Connection: close\r\n\r\n" : "\r\n");
	if (has_body(reply->status) && !conn->is_head)
		g_byte_array_append(conn->out, reply->body,
				    (guint)reply->body_len);
	server_conn_writing(conn);
	write_out(conn);
}

void http_server_abort(struct http_server_conn *conn)
{
	conn->data = NULL;
	/* In this state server_conn_close() does not call disconnected(). */
	if (conn->state == CONN_SERVING)
		conn->state = CONN_WRITING;
	server_conn_close(conn);
}

void http_server_set_data(struct http_server_conn *conn, void *data)
{
	conn->data = data;
}

void *http_server_data(const struct http_server_conn *conn)
{
	return conn->data;
}

void server_conn_refuse(struct http_server_conn *conn, int status)
{
	struct http_reply reply = {
		.status = status,
		.fields = status == 503 ? RETRY_AFTER : NULL,
		.body = "",
		.close = true,
	};

	conn->state = CONN_SERVING;
	conn->unread = true;
	http_server_reply(conn, &reply);
}

static void dispatch_request(struct http_server_conn *conn)
{
	struct http_server *server = conn->server;
	struct http_message *message = http_reader_take(&conn->reader);

	timers_cancel(server->options.timers, &conn->timer);
	conn->state = CONN_SERVING;
	if (!server_conn_serving(conn, message)) {
		http_message_free(message);
		return;
	}
	conn->close_after = !message->keep_alive;
	conn->is_head = !strcmp(message->method, "HEAD");
	server->options.ops->request(conn, message, server->options.ctx);
}

void server_conn_send_continue(struct http_server_conn *conn)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct http_message *message = conn->reader.message;

	if (!conn->reader.head_done || !message ||
	    !message->values[HTTP_ROLE_EXPECT])
		return;
	g_clear_pointer(&message->values[HTTP_ROLE_EXPECT], g_free);
	if (send(conn->source.fd, line, sizeof(line) - 1, MSG_NOSIGNAL) < 0)
		server_conn_close(conn);
}

static void parse_bytes(struct http_server_conn *conn, const char *data,
			size_t len)
{
	struct http_server *server = conn->server;
	bool was_started = conn->reader.started;
	size_t used;

	switch (http_reader_feed(&conn->reader, data, len, &used)) {
	case HTTP_READ_MORE:
		if (!was_started && conn->reader.started)
			timers_set(server->options.timers, &conn->timer,
				   clock_monotonic_ns() +
					   server->options.limits
						   .request_read_max_ns);
		if (server_conn_read_part(conn, len))
			server_conn_send_continue(conn);
		return;
	case HTTP_READ_DONE:
		g_byte_array_append(conn->pipelined,
				    (const guint8 *)data + used,
				    (guint)(len - used));
		dispatch_request(conn);
		return;
	case HTTP_READ_HEAD_TOO_LARGE:
		server_conn_refuse(conn, 431);
		return;
	case HTTP_READ_BODY_TOO_LARGE:
		server_conn_refuse(conn, 413);
		return;
	default:
		server_conn_refuse(conn, 400);
	}
}

/* Parses the bytes that arrived after the previous request. */
static void conn_read_pipelined(struct http_server_conn *conn)
{
	g_autoptr(GByteArray) bytes = conn->pipelined;

	conn->pipelined = g_byte_array_new();
	if (bytes->len)
		parse_bytes(conn, (const char *)bytes->data, bytes->len);
}

static void read_some(struct http_server_conn *conn)
{
	char buffer[READ_BYTES];
	ssize_t n = recv(conn->source.fd, buffer, sizeof(buffer), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		server_conn_close(conn);
		return;
	}
	parse_bytes(conn, buffer, (size_t)n);
}

static void on_conn_ready(struct net_source *source, uint32_t events)
{
	struct http_server_conn *conn =
		caa_container_of(source, struct http_server_conn, source);

	switch (conn->state) {
	case CONN_READING:
		if (!server_conn_is_waiting(conn))
			read_some(conn);
		else if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
			server_conn_close(conn);
		break;
	case CONN_SERVING:
		if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
			server_conn_close(conn);
		else
			/* Input stays in the socket until the response. */
			server_conn_set_events(conn, EPOLLRDHUP);
		break;
	case CONN_WRITING:
		if (events & (EPOLLHUP | EPOLLERR))
			server_conn_close(conn);
		else
			write_out(conn);
		break;
	case CONN_LINGERING:
		server_conn_discard(conn);
		break;
	case CONN_CLOSED:
		break;
	}
}

static void on_conn_timer(struct timer *timer, int64_t now)
{
	struct http_server_conn *conn =
		caa_container_of(timer, struct http_server_conn, timer);

	if (server_conn_run_timer(conn, now))
		return;
	if (conn->state == CONN_READING && conn->reader.started)
		server_conn_refuse(conn, 408);
	else if (conn->state != CONN_CLOSED)
		server_conn_close(conn);
}

static void format_ip(const struct sockaddr_storage *address, char *text,
		      socklen_t size)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;

	if (address->ss_family == AF_INET)
		inet_ntop(AF_INET, &v4->sin_addr, text, size);
	else if (address->ss_family == AF_INET6)
		inet_ntop(AF_INET6, &v6->sin6_addr, text, size);
}

static void add_conn(struct http_server *server, int fd,
		     const struct sockaddr_storage *peer)
{
	struct http_server_conn *conn = g_new0(struct http_server_conn, 1);

	format_ip(peer, conn->peer_ip, sizeof(conn->peer_ip));
	conn->server = server;
	conn->source.fd = fd;
	conn->source.ready = on_conn_ready;
	conn->timer.fire = on_conn_timer;
	conn->out = g_byte_array_new();
	conn->pipelined = g_byte_array_new();
	http_reader_init(&conn->reader, true, server->options.roles,
			 &server->options.limits.message);
	server_conn_init_memory(conn);
	cds_list_add_tail(&conn->node, &server->conns);
	server->nr_conns++;
	conn->events = EPOLLIN | EPOLLRDHUP;
	net_loop_add(server->options.loop, &conn->source, conn->events);
	wait_for_request(conn);
}

static void on_listener_ready(struct net_source *source, uint32_t events)
{
	struct http_server *server =
		caa_container_of(source, struct http_server, listener);
	struct sockaddr_storage peer = { 0 };
	socklen_t len = sizeof(peer);
	int fd;

	(void)events;
	while ((fd = accept4(source->fd, (struct sockaddr *)&peer, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0 ||
	       ((errno == EMFILE || errno == ENFILE) &&
		server_close_idlest(server))) {
		if (fd >= 0 && server_has_place(server))
			add_conn(server, fd, &peer);
		else if (fd >= 0)
			close(fd);
		len = sizeof(peer);
	}
	if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
		log_event(LOG_ERR, "accept_failed", "errno=%d", errno);
}

struct http_server *http_server_new(const struct http_server_options *options,
				    GError **error)
{
	struct http_server *server = g_new0(struct http_server, 1);

	server->options = *options;
	CDS_INIT_LIST_HEAD(&server->conns);
	server->listener.fd = net_listen(&options->listen, error);
	server->listener.ready = on_listener_ready;
	if (server->listener.fd < 0) {
		g_free(server);
		return NULL;
	}
	server_init_memory(server);
	net_loop_add(options->loop, &server->listener, EPOLLIN);
	return server;
}

/* Whether a connection waits for the first byte of a request. */
static bool is_idle(const struct http_server_conn *conn)
{
	return conn->state == CONN_READING && !conn->reader.started;
}

void http_server_stop(struct http_server *server)
{
	struct http_server_conn *conn, *next;

	if (server->listener.fd >= 0) {
		/* Closing resets the connections that were not accepted. */
		on_listener_ready(&server->listener, EPOLLIN);
		net_loop_remove(server->options.loop, &server->listener);
		close(server->listener.fd);
		server->listener.fd = -1;
	}
	cds_list_for_each_entry_safe (conn, next, &server->conns, node) {
		/* Its next request may have arrived already. */
		if (is_idle(conn))
			read_some(conn);
		if (is_idle(conn))
			server_conn_close(conn);
	}
}

bool http_server_is_transferring(const struct http_server *server)
{
	const struct http_server_conn *conn;

	cds_list_for_each_entry (conn, &server->conns, node) {
		if (conn->state == CONN_WRITING ||
		    conn->state == CONN_LINGERING ||
		    (conn->state == CONN_READING && conn->reader.started))
			return true;
	}
	return false;
}

void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits)
{
	server->options.limits = *limits;
}

void http_server_drain(struct http_server *server)
{
	server->draining = true;
}

unsigned http_server_nr_conns(const struct http_server *server)
{
	return server->nr_conns;
}

const char *http_server_peer_ip(const struct http_server_conn *conn)
{
	return conn->peer_ip;
}
