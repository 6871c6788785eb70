#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/rng.h"
#include "http/client.h"

#define READ_BYTES 16384

/* The idle timeout when the server announces none with Keep-Alive. */
#define IDLE_DEFAULT_NS (4 * NS_PER_SEC)

/* Longer announced idle timeouts count as this one. */
#define IDLE_MAX_S 3600

/*
 * Share of the announced idle timeout within which a connection is reused, so
 * that no request is sent while the server closes the connection.
 */
#define IDLE_PERCENT 70

/*
 * Most responses that are passed over while a request waits for its own:
 * provisional ones and those to other requests. A faulty server may send them
 * without end.
 */
#define PASSED_OVER_MAX 8

/*
 * Ids of requests that a connection keeps, the latest ones. Second copies of
 * responses come within the next few.
 */
#define CARRIED_MAX 256

struct http_client {
	struct net_source source;
	struct http_client_options options;
	struct http_reader reader;
	GByteArray *out;
	const char *body; /* of the request, after out; borrowed */
	size_t body_len;
	size_t out_done;    /* bytes of both that were written */
	char *request_id;   /* of the latest request */
	GArray *carried;    /* uint64_t: hashes of request ids, a ring */
	guint nr_carried;   /* requests with an id so far */
	int nr_passed_over; /* responses, since the request was sent */
	uint32_t events;
	int64_t idle_deadline;
	int64_t idle_since;
	bool connected;
	bool busy;	 /* a request is outstanding */
	bool broken;	 /* writing has failed: the server has reset it */
	bool ended;	 /* the end of the response was read before all of the
			    request had arrived at the server */
	bool unreusable; /* no further request may use the connection */
	bool closed;
};

static void set_events(struct http_client *client, uint32_t events)
{
	if (client->events == events || client->closed)
		return;
	client->events = events;
	net_loop_modify(client->options.loop, &client->source, events);
}

static void close_fd(struct http_client *client)
{
	if (client->closed)
		return;
	client->closed = true;
	net_loop_remove(client->options.loop, &client->source);
	close(client->source.fd);
}

static void end_request(struct http_client *client, enum http_end end,
			struct http_message *response)
{
	client->busy = false;
	client->body = NULL;
	client->body_len = 0;
	client->options.ops->done(client, end, response, client->options.ctx);
}

static void fail(struct http_client *client, enum http_end end)
{
	bool was_busy = client->busy;

	close_fd(client);
	if (was_busy && !client->out_done)
		end = HTTP_END_NOT_SENT;
	if (was_busy)
		end_request(client, end, NULL);
	else
		client->options.ops->closed(client, client->options.ctx);
}

static void set_idle_deadline(struct http_client *client,
			      const struct http_message *response)
{
	const char *text = http_message_value(response, HTTP_ROLE_KEEP_ALIVE);
	const char *at = text ? strstr(text, "timeout=") : NULL;
	int64_t now = clock_monotonic_ns();
	int64_t wait = IDLE_DEFAULT_NS;
	int64_t seconds;

	if (at) {
		seconds = g_ascii_strtoll(at + strlen("timeout="), NULL, 10);
		wait = CLAMP(seconds, 0, IDLE_MAX_S) * NS_PER_SEC *
		       IDLE_PERCENT / 100;
	}
	client->idle_since = now;
	client->idle_deadline = now + wait;
}

static bool is_written(const struct http_client *client)
{
	return client->out_done == client->out->len + client->body_len;
}

/* Returns whether a copy of the response would fit any request. */
static bool lacks_id(const struct http_client *client,
		     const struct http_message *response)
{
	return client->request_id &&
	       !http_message_value(response, HTTP_ROLE_REQUEST_ID);
}

/* Returns whether the response has the id of another request. */
static bool is_for_other_request(const struct http_client *client,
				 const struct http_message *response)
{
	const char *id = http_message_value(response, HTTP_ROLE_REQUEST_ID);

	return client->request_id && id && strcmp(id, client->request_id) != 0;
}

/*
 * Passes over a response that does not end the request. Returns whether bytes
 * after it still have to be parsed.
 */
static bool pass_over(struct http_client *client, struct http_message *response)
{
	if (response->status >= 200)
		client->unreusable = true;
	http_message_free(response);
	http_reader_next(&client->reader);
	if (++client->nr_passed_over <= PASSED_OVER_MAX)
		return true;
	fail(client, HTTP_END_MALFORMED);
	return false;
}

/*
 * Handles a complete response; more says that bytes follow it. Returns whether
 * the bytes after it still have to be parsed, because the response was
 * provisional or for another request.
 */
static bool handle_response(struct http_client *client, bool more)
{
	struct http_message *response = http_reader_take(&client->reader);
	bool reusable = response->keep_alive && !more && !client->unreusable &&
			is_written(client) && !lacks_id(client, response);

	if (response->status < 200 || is_for_other_request(client, response))
		return pass_over(client, response);
	set_idle_deadline(client, response);
	http_reader_next(&client->reader);
	if (!reusable) {
		client->unreusable = true;
		close_fd(client);
	}
	end_request(client, HTTP_END_ANSWERED, response);
	return false;
}

static void parse_bytes(struct http_client *client, const char *data,
			size_t len)
{
	/* Bytes that belong to no request make the connection unusable. */
	if (!client->busy) {
		fail(client, HTTP_END_MALFORMED);
		return;
	}
	while (len) {
		size_t used;

		switch (http_reader_feed(&client->reader, data, len, &used)) {
		case HTTP_READ_MORE:
			return;
		case HTTP_READ_DONE:
			data += used;
			len -= used;
			if (!handle_response(client, len > 0))
				return;
			break;
		default:
			fail(client, HTTP_END_MALFORMED);
			return;
		}
	}
}

static ssize_t write_some(const struct http_client *client)
{
	size_t head_len = client->out->len;

	if (client->out_done < head_len)
		return send(client->source.fd,
			    client->out->data + client->out_done,
			    head_len - client->out_done,
			    MSG_NOSIGNAL | (client->body_len ? MSG_MORE : 0));
	return send(client->source.fd,
		    client->body + (client->out_done - head_len),
		    client->body_len - (client->out_done - head_len),
		    MSG_NOSIGNAL);
}

static void write_out(struct http_client *client)
{
	while (!is_written(client)) {
		ssize_t n = write_some(client);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			set_events(client,
				   EPOLLOUT | (client->ended ? 0u : EPOLLIN));
			return;
		}
		if (n < 0) {
			/*
			 * The server may have responded before it closed. The
			 * error is reported once only: after it, the connection
			 * looks to recv() as if it was closed in order.
			 */
			set_events(client, EPOLLIN);
			client->broken = true;
			client->unreusable = true;
			return;
		}
		client->out_done += (size_t)n;
	}
	if (!client->ended)
		set_events(client, EPOLLIN);
}

/* Takes the error of the socket, if any. */
static bool has_error(struct http_client *client)
{
	socklen_t len = sizeof(int);
	int error = 0;

	getsockopt(client->source.fd, SOL_SOCKET, SO_ERROR, &error, &len);
	return error != 0;
}

/* Returns whether the server's host has received the whole request. */
static bool request_has_arrived(const struct http_client *client)
{
	int unconfirmed = 0;

	return is_written(client) &&
	       !ioctl(client->source.fd, SIOCOUTQ, &unconfirmed) &&
	       !unconfirmed;
}

/* Ends the request whose response the end of the connection has completed. */
static void finish_at_eof(struct http_client *client)
{
	if (client->broken || has_error(client)) {
		fail(client, HTTP_END_LOST);
		return;
	}
	client->unreusable = true;
	handle_response(client, false);
}

static int tcp_state(const struct http_client *client)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	getsockopt(client->source.fd, IPPROTO_TCP, TCP_INFO, &info, &len);
	return info.tcpi_state;
}

/*
 * Writes the rest of a request whose response the server has ended already. A
 * server that has closed the connection, or exited, resets it now. One that
 * reads on confirms the whole request and the shutdown after it.
 */
static void write_after_end(struct http_client *client)
{
	if (!is_written(client))
		write_out(client);
	if (client->broken) {
		fail(client, HTTP_END_LOST);
		return;
	}
	if (!is_written(client))
		return;
	shutdown(client->source.fd, SHUT_WR);
	/* EPOLLHUP stays set from now on, so only changes are reported. */
	set_events(client, EPOLLET);
	if (tcp_state(client) == TCP_CLOSE)
		finish_at_eof(client);
}

/*
 * A response without a length is completed by an orderly close only. While the
 * request is still being sent, that is not known yet: the process of a server
 * that ends by accident also closes its connections, and the reset follows when
 * the next bytes of the request arrive.
 */
static void handle_eof(struct http_client *client)
{
	if (!client->busy || !client->reader.head_done ||
	    http_reader_end(&client->reader) != HTTP_READ_DONE ||
	    is_for_other_request(client, client->reader.message)) {
		fail(client, HTTP_END_LOST);
		return;
	}
	if (client->broken || request_has_arrived(client)) {
		finish_at_eof(client);
		return;
	}
	client->ended = true;
	write_after_end(client);
}

static void read_some(struct http_client *client)
{
	char buffer[READ_BYTES];
	ssize_t n = recv(client->source.fd, buffer, sizeof(buffer), 0);

	if (n > 0)
		parse_bytes(client, buffer, (size_t)n);
	else if (n == 0)
		handle_eof(client);
	else if (errno != EAGAIN && errno != EINTR)
		fail(client, HTTP_END_LOST);
}

static bool finish_connect(struct http_client *client)
{
	if (has_error(client)) {
		fail(client, HTTP_END_NOT_SENT);
		return false;
	}
	client->connected = true;
	return true;
}

static void on_ready(struct net_source *source, uint32_t events)
{
	struct http_client *client =
		caa_container_of(source, struct http_client, source);

	if (client->closed)
		return;
	if (!client->connected) {
		if (finish_connect(client))
			write_out(client);
		return;
	}
	if (client->ended) {
		write_after_end(client);
		return;
	}
	if (events & EPOLLOUT) {
		write_out(client);
		if (!(events & ~(uint32_t)EPOLLOUT))
			return;
	}
	read_some(client);
}

struct http_client *http_client_new(const struct http_client_options *options)
{
	struct http_client *client;
	int fd = net_connect(&options->address, NULL);

	if (fd < 0)
		return NULL;
	client = g_new0(struct http_client, 1);
	client->options = *options;
	client->source.fd = fd;
	client->source.ready = on_ready;
	client->out = g_byte_array_new();
	client->carried = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	client->events = EPOLLIN | EPOLLOUT;
	http_reader_init(&client->reader, false, options->roles,
			 &options->limits);
	if (!net_loop_add(options->loop, &client->source, client->events)) {
		close_fd(client);
		http_client_free(client);
		return NULL;
	}
	return client;
}

static void free_client(void *arg)
{
	struct http_client *client = arg;

	http_reader_release(&client->reader);
	g_byte_array_unref(client->out);
	g_array_unref(client->carried);
	g_free(client->request_id);
	g_free(client);
}

void http_client_free(struct http_client *client)
{
	close_fd(client);
	/* Events of this loop iteration may still refer to the connection. */
	net_loop_defer(client->options.loop, free_client, client);
}

static void note_carried(struct http_client *client, const char *request_id)
{
	uint64_t hash = hash_string(request_id);
	guint index = client->nr_carried++ % CARRIED_MAX;

	if (index == client->carried->len)
		g_array_append_val(client->carried, hash);
	else
		g_array_index(client->carried, uint64_t, index) = hash;
}

bool http_client_has_carried(const struct http_client *client,
			     const char *request_id)
{
	uint64_t hash = hash_string(request_id);

	for (guint i = 0; i < client->carried->len; i++)
		if (g_array_index(client->carried, uint64_t, i) == hash)
			return true;
	return false;
}

void http_client_send(struct http_client *client, const GString *head,
		      const void *body, size_t body_len, const char *request_id)
{
	client->busy = true;
	g_free(client->request_id);
	client->request_id = g_strdup(request_id);
	if (request_id)
		note_carried(client, request_id);
	client->nr_passed_over = 0;
	g_byte_array_set_size(client->out, 0);
	client->out_done = 0;
	client->reader.no_body = !strncmp(head->str, "HEAD ", 5);
	g_byte_array_append(client->out, (const guint8 *)head->str,
			    (guint)head->len);
	client->body = body;
	client->body_len = body_len;
	if (client->connected)
		write_out(client);
}

bool http_client_is_connected(const struct http_client *client)
{
	return client->connected;
}

bool http_client_has_begun(const struct http_client *client)
{
	return client->reader.started || client->nr_passed_over > 0;
}

bool http_client_is_idle(const struct http_client *client)
{
	return client->connected && !client->busy && !client->unreusable &&
	       !client->closed;
}

int64_t http_client_idle_deadline(const struct http_client *client)
{
	return client->idle_deadline;
}

int64_t http_client_idle_since(const struct http_client *client)
{
	return client->idle_since;
}
