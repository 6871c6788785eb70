#include "relay/local_server.h"

#include <string.h>

static void use(struct local_server *server, const char *id)
{
	g_free(server->id);
	server->id = g_strdup(id);
	server->alive_at = 0;
	server->is_replaced = false;
}

/* Whether the registration is the one that is known, perhaps with changes. */
static bool is_known(const struct local_server *server,
		     const struct mesh_target *target)
{
	return !g_strcmp0(server->registered_id, target->id) &&
	       !strcmp(server->service, target->service) &&
	       server->started_ms == target->started_ms;
}

/* Whether the next boot in use has registered. */
static bool is_in_use(const struct local_server *server,
		      const struct mesh_target *target)
{
	return server->id && strcmp(server->id, server->registered_id) != 0 &&
	       !strcmp(server->id, target->id) &&
	       !strcmp(server->service, target->service);
}

bool local_server_register(struct local_server *server,
			   const struct mesh_target *target)
{
	bool was_in_use = is_in_use(server, target);

	if (is_known(server, target))
		return false;
	if (!was_in_use)
		use(server, target->id);
	g_free(server->registered_id);
	g_free(server->service);
	server->registered_id = g_strdup(target->id);
	server->service = g_strdup(target->service);
	server->started_ms = target->started_ms;
	return !was_in_use;
}

void local_server_forget(struct local_server *server)
{
	g_clear_pointer(&server->registered_id, g_free);
	g_clear_pointer(&server->id, g_free);
	g_clear_pointer(&server->service, g_free);
	server->alive_at = 0;
	server->is_replaced = false;
}

bool local_server_is_other(const struct local_server *server, const char *id)
{
	return server->id && strcmp(server->id, id) != 0;
}

/*
 * Whether another server must be of the registered service. The settings name
 * the service of the server beside this daemon, and change before the server
 * does. That is enough for a daemon that has seen no other server. Besides, an
 * address is used again only some time after its server has ended.
 */
static bool is_next_boot(const struct local_server *server,
			 const struct local_server_answer *answer)
{
	if (!answer->is_healthy ||
	    g_strcmp0(answer->service, server->service) != 0)
		return false;
	if (!server->saw_another)
		return true;
	return server->alive_at &&
	       answer->now - server->alive_at < answer->reuse_after_ns;
}

enum local_server_change
local_server_answered(struct local_server *server,
		      const struct local_server_answer *answer)
{
	bool was_replaced = server->is_replaced;

	if (!server->first_id)
		server->first_id = g_strdup(answer->id);
	else if (strcmp(server->first_id, answer->id) != 0)
		server->saw_another = true;
	if (!server->id)
		return LOCAL_SERVER_SAME;
	if (!local_server_is_other(server, answer->id)) {
		server->alive_at = answer->sent;
		server->is_replaced = false;
		return LOCAL_SERVER_SAME;
	}
	if (is_next_boot(server, answer)) {
		use(server, answer->id);
		server->alive_at = answer->sent;
		return LOCAL_SERVER_NEXT_BOOT;
	}
	server->is_replaced = true;
	return was_replaced ? LOCAL_SERVER_SAME : LOCAL_SERVER_REPLACED;
}
