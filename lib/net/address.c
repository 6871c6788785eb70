#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "net/address.h"

#define LISTEN_BACKLOG 1024

/*
 * The kernel ends a connection whose sent bytes stay unacknowledged this long.
 * Otherwise requests would remain outstanding on a connection to a host that
 * lost power or its network.
 */
#define USER_TIMEOUT_MS 3000

GQuark net_error_quark(void)
{
	return g_quark_from_static_string("net-error");
}

/* Splits IPv4:PORT or [IPv6]:PORT. Returns false for any other form. */
static gboolean split(const char *text, char *host, size_t host_size,
		      const char **port)
{
	const char *colon = strrchr(text, ':');
	size_t len;

	if (!colon)
		return FALSE;
	len = (size_t)(colon - text);
	if (*text == '[') {
		if (len < 2 || text[len - 1] != ']')
			return FALSE;
		text++;
		len -= 2;
	} else if (memchr(text, ':', len)) {
		return FALSE;
	}
	if (!len || len >= host_size)
		return FALSE;
	memcpy(host, text, len);
	host[len] = '\0';
	*port = colon + 1;
	return TRUE;
}

static gboolean parse_port(const char *text, unsigned *port)
{
	guint64 value;

	/*
	 * Each address has one text form, as in the settings tree, but GLib
	 * accepts leading zeros and a leading vertical tab.
	 */
	if (*text < '1' || *text > '9' ||
	    !g_ascii_string_to_unsigned(text, 10, 1, 65535, &value, NULL))
		return FALSE;
	*port = (unsigned)value;
	return TRUE;
}

gboolean net_address_parse(struct net_address *address, const char *text,
			   GError **error)
{
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&address->storage;
	struct sockaddr_in *in4 = (struct sockaddr_in *)&address->storage;
	const char *port;

	memset(address, 0, sizeof(*address));
	if (!split(text, address->host, sizeof(address->host), &port) ||
	    !parse_port(port, &address->port))
		goto malformed;
	if (*text != '[' &&
	    inet_pton(AF_INET, address->host, &in4->sin_addr) == 1) {
		in4->sin_family = AF_INET;
		in4->sin_port = htons((uint16_t)address->port);
		address->len = sizeof(*in4);
		return TRUE;
	}
	if (*text == '[' &&
	    inet_pton(AF_INET6, address->host, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons((uint16_t)address->port);
		address->len = sizeof(*in6);
		return TRUE;
	}
malformed:
	g_set_error(error, NET_ERROR, NET_ERROR_ADDRESS,
		    "%s: not an address of the form IP:PORT or [IPv6]:PORT",
		    text);
	return FALSE;
}

static void set_no_delay(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static void set_user_timeout(int fd)
{
	unsigned timeout_ms = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		   sizeof(timeout_ms));
}

static int fail(int fd, const struct net_address *address, const char *what,
		GError **error)
{
	int saved = errno;

	if (fd >= 0)
		close(fd);
	g_set_error(error, NET_ERROR, NET_ERROR_SOCKET, "%s:%u: %s: %s",
		    address->host, address->port, what, g_strerror(saved));
	return -1;
}

int net_listen(const struct net_address *address, GError **error)
{
	int type = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
	int fd = socket(address->storage.ss_family, type, 0);
	int on = 1;

	if (fd < 0)
		return fail(fd, address, "socket", error);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	/* Accepted sockets inherit these two options. */
	set_no_delay(fd);
	set_user_timeout(fd);
	if (bind(fd, (const struct sockaddr *)&address->storage, address->len) <
	    0)
		return fail(fd, address, "bind", error);
	if (listen(fd, LISTEN_BACKLOG) < 0)
		return fail(fd, address, "listen", error);
	return fd;
}

int net_connect(const struct net_address *address, GError **error)
{
	int type = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
	int fd = socket(address->storage.ss_family, type, 0);

	if (fd < 0)
		return fail(fd, address, "socket", error);
	set_no_delay(fd);
	set_user_timeout(fd);
	if (connect(fd, (const struct sockaddr *)&address->storage,
		    address->len) < 0 &&
	    errno != EINPROGRESS)
		return fail(fd, address, "connect", error);
	return fd;
}
