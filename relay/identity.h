#ifndef RELAY_IDENTITY_H
#define RELAY_IDENTITY_H

#include "http/message.h"
#include "mesh/view.h"

/*
 * Who sent a caller's request: the organisation whose key it carries. The name
 * and priority are copied, because the key may move to another organisation
 * while the request waits. Of the key only the digest is kept.
 */
struct identity {
	bool has_key;
	struct digest key;
	char name[MESH_ORGANISATION_NAME_MAX + 1]; /* "": no organisation */
	int priority; /* on an anonymous route that of the route */
};

/*
 * Identifies the sender of a request and removes its key, and what it claims to
 * be its organisation, from the message. Returns NULL, or why the request has
 * to be refused with 401. Without organisations nothing is changed. The address
 * of the sender does not count: callers on a host may share that of its backend
 * server, so the calls of servers use anonymous routes.
 */
const char *identity_take(struct identity *identity,
			  const struct mesh_config *config,
			  const struct mesh_route *route,
			  struct http_message *message);

/*
 * Whether a request may use what is kept for urgent ones. The organisation's
 * priority decides before that of the route.
 */
bool identity_is_urgent(const struct identity *identity, bool is_urgent_route);

/*
 * Looks the key up again in a new configuration. Returns false if the key was
 * revoked. *moved is set if it now belongs to another organisation.
 */
bool identity_refresh(struct identity *identity,
		      const struct mesh_config *config, bool *moved);

#endif
