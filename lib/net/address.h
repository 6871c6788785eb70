#ifndef NET_ADDRESS_H
#define NET_ADDRESS_H

#include <glib.h>
#include <sys/socket.h>

/* Numeric IP addresses with a port, such as 127.0.0.1:7001 or [::1]:7001. */

#define NET_ERROR (net_error_quark())
GQuark net_error_quark(void);

enum net_error {
	NET_ERROR_ADDRESS,
	NET_ERROR_SOCKET
};

struct net_address {
	struct sockaddr_storage storage;
	socklen_t len;
	char host[64]; /* the IP address as text, without brackets */
	unsigned port;
};

/* Parses IP:PORT. Host names are refused, so no name is ever resolved. */
gboolean net_address_parse(struct net_address *address, const char *text,
			   GError **error);

/* Opens a non-blocking listening TCP socket. Returns -1 with an error. */
int net_listen(const struct net_address *address, GError **error);

/* Starts a non-blocking TCP connection. Returns -1 with an error. */
int net_connect(const struct net_address *address, GError **error);

#endif
