#ifndef NET_ADDRESS_H
#define NET_ADDRESS_H

#include <glib.h>
#include <sys/socket.h>

/* Addresses by IP number: 127.0.0.1:7001 or [::1]:7001. */

#define NET_ERROR (net_error_quark())
GQuark net_error_quark(void);

enum net_error {
	NET_ERROR_ADDRESS,
	NET_ERROR_SOCKET
};

struct net_address {
	struct sockaddr_storage storage;
	socklen_t len;
	char host[64]; /* the IP number without brackets */
	unsigned port;
};

/* Parses IP:PORT; names are refused, nothing is looked up. */
gboolean net_address_parse(struct net_address *address, const char *text,
			   GError **error);

/* Opens a listening TCP socket, or returns -1. */
int net_listen(const struct net_address *address, GError **error);

/* Starts a non-blocking connection, or returns -1. */
int net_connect(const struct net_address *address, GError **error);

#endif
