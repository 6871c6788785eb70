#include <errno.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "net/output.h"

/* Most parts of the output that are passed to the socket at once. */
#define WRITE_PARTS 16

/* Bytes to send: a copy of unsent bytes, or the body of a record. */
struct output_part {
	struct cds_list_head node;
	GBytes *bytes;
	size_t done;
	bool is_copy;
};

void net_output_init(struct net_output *output, struct memory_account *account)
{
	CDS_INIT_LIST_HEAD(&output->parts);
	output->unsent = 0;
	memory_hold_init(&output->hold, account, 0);
}

static void free_part(struct output_part *part)
{
	cds_list_del(&part->node);
	g_bytes_unref(part->bytes);
	g_free(part);
}

void net_output_clear(struct net_output *output)
{
	struct output_part *part, *next;

	cds_list_for_each_entry_safe (part, next, &output->parts, node)
		free_part(part);
	output->unsent = 0;
	memory_hold_set(&output->hold, 0);
}

/* Removes sent bytes from the front of the output. */
static void remove_sent(struct net_output *output, size_t bytes)
{
	struct output_part *part, *next;
	size_t copied = 0;

	output->unsent -= bytes;
	cds_list_for_each_entry_safe (part, next, &output->parts, node) {
		size_t left = g_bytes_get_size(part->bytes) - part->done;
		size_t n = MIN(left, bytes);

		if (!bytes)
			break;
		part->done += n;
		bytes -= n;
		copied += part->is_copy ? n : 0;
		if (n == left)
			free_part(part);
	}
	memory_hold_set(&output->hold, output->hold.bytes - copied);
}

/*
 * Sends parts without waiting for room in the socket. Returns the bytes sent, 0
 * when the socket is full, or -1.
 */
static ssize_t send_parts(int fd, struct iovec *parts, size_t nr)
{
	struct msghdr message = { .msg_iov = parts, .msg_iovlen = nr };
	ssize_t n;

	do
		n = sendmsg(fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
	while (n < 0 && errno == EINTR);
	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
		return 0;
	return n;
}

/*
 * Writes at most bytes_max of the output and removes what was written. Returns
 * the bytes written, or -1.
 */
ssize_t net_output_write(struct net_output *output, int fd, size_t bytes_max)
{
	size_t done = 0;

	while (done < bytes_max) {
		struct iovec parts[WRITE_PARTS];
		size_t nr = 0, left = bytes_max - done;
		struct output_part *part;
		ssize_t n;

		cds_list_for_each_entry (part, &output->parts, node) {
			size_t len;
			const char *data = g_bytes_get_data(part->bytes, &len);

			if (nr == WRITE_PARTS || !left)
				break;
			parts[nr].iov_base = (char *)data + part->done;
			parts[nr].iov_len = MIN(len - part->done, left);
			left -= parts[nr++].iov_len;
		}
		n = send_parts(fd, parts, nr);
		if (n < 0)
			return -1;
		if (!n)
			break;
		remove_sent(output, (size_t)n);
		done += (size_t)n;
	}
	return (ssize_t)done;
}

static void add_part(struct net_output *output, GBytes *bytes, size_t done,
		     bool is_copy)
{
	struct output_part *part = g_new0(struct output_part, 1);

	part->bytes = bytes;
	part->done = done;
	part->is_copy = is_copy;
	cds_list_add_tail(&part->node, &output->parts);
	output->unsent += g_bytes_get_size(bytes) - done;
	if (is_copy)
		memory_hold_set(&output->hold,
				output->hold.bytes + g_bytes_get_size(bytes));
}

static void add_copy(struct net_output *output, const unsigned char *data,
		     size_t len)
{
	if (len)
		add_part(output, g_bytes_new(data, len), 0, true);
}

/* Queues what follows the first bytes of a record, which were sent. */
void net_output_add(struct net_output *output, const struct net_record *record,
		    size_t sent)
{
	size_t body_len = record->body ? g_bytes_get_size(record->body) : 0;
	size_t body_at = record->body ? record->body_at : record->len;
	size_t tail_at = body_at;

	if (sent < body_at) {
		add_copy(output, record->data + sent, body_at - sent);
		sent = 0;
	} else {
		sent -= body_at;
	}
	if (sent < body_len) {
		add_part(output, g_bytes_ref(record->body), sent, false);
		sent = 0;
	} else {
		sent -= body_len;
	}
	tail_at += sent;
	add_copy(output, record->data + tail_at, record->len - tail_at);
}

/* Writes until the socket is full. Returns the bytes written, or -1. */
static ssize_t write_some(int fd, const unsigned char *data, size_t len)
{
	size_t done = 0;

	while (done < len) {
		struct iovec part = { (void *)(data + done), len - done };
		ssize_t n = send_parts(fd, &part, 1);

		if (n < 0)
			return -1;
		if (!n)
			break;
		done += (size_t)n;
	}
	return (ssize_t)done;
}

/* Writes a record to an empty socket as far as that accepts it. */
ssize_t net_output_write_record(int fd, const struct net_record *record)
{
	size_t body_len = 0;
	const unsigned char *body =
		record->body ? g_bytes_get_data(record->body, &body_len) : NULL;
	const struct {
		const unsigned char *data;
		size_t len;
	} parts[] = {
		{ record->data, body ? record->body_at : record->len },
		{ body, body_len },
		{ record->data + record->body_at,
		  body ? record->len - record->body_at : 0 },
	};
	ssize_t sum = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		ssize_t n = write_some(fd, parts[i].data, parts[i].len);

		if (n < 0)
			return -1;
		sum += n;
		if ((size_t)n < parts[i].len)
			break;
	}
	return sum;
}
