#include "relay/identity.h"

#include <string.h>

#include "platform/platform.h"

static void set_organisation(struct identity *identity,
			     const struct mesh_organisation *organisation)
{
	g_strlcpy(identity->name, organisation->name, sizeof(identity->name));
	identity->priority = organisation->priority;
}

/* The value without the white space after it, which is not part of it. */
static size_t key_length(const char *value)
{
	size_t len = strlen(value);

	while (len && (value[len - 1] == ' ' || value[len - 1] == '\t'))
		len--;
	return len;
}

static const char *find_organisation(struct identity *identity,
				     const struct mesh_config *config,
				     const struct http_message *message)
{
	const char *value = http_message_value(message, HTTP_ROLE_KEY);
	const struct mesh_organisation *organisation;
	size_t len = value ? key_length(value) : 0;

	if (!len)
		return "key-missing";
	if (http_message_is_repeated(message, HTTP_ROLE_KEY))
		return "key-repeated";
	digest_compute(&identity->key, value, len);
	organisation = mesh_organisations_find_key(config->organisations,
						   &identity->key);
	if (!organisation)
		return "key-unknown";
	identity->has_key = true;
	set_organisation(identity, organisation);
	return NULL;
}

/* Overwrites the key and removes the fields that must not be forwarded. */
static void strip_fields(struct http_message *message)
{
	char *value = message->values[HTTP_ROLE_KEY];

	if (value)
		memset(value, 0, strlen(value));
	g_clear_pointer(&message->values[HTTP_ROLE_KEY], g_free);
	http_fields_strip(message->fields, &platform_field_roles,
			  HTTP_ROLE_KEY);
	http_fields_strip(message->fields, &platform_field_roles,
			  HTTP_ROLE_ORGANISATION);
}

const char *identity_take(struct identity *identity,
			  const struct mesh_config *config,
			  const struct mesh_route *route,
			  struct http_message *message)
{
	const char *refusal = NULL;

	memset(identity, 0, sizeof(*identity));
	if (!config->organisations)
		return NULL;
	if (route->anonymous)
		identity->priority = MAX(route->priority, 0);
	else
		refusal = find_organisation(identity, config, message);
	strip_fields(message);
	return refusal;
}

bool identity_is_urgent(const struct identity *identity, bool is_urgent_route)
{
	if (!*identity->name)
		return is_urgent_route;
	return identity->priority == 0 ||
	       (identity->priority == 1 && is_urgent_route);
}

bool identity_refresh(struct identity *identity,
		      const struct mesh_config *config, bool *moved)
{
	const struct mesh_organisation *organisation;

	*moved = false;
	if (!identity->has_key || !config->organisations)
		return true;
	organisation = mesh_organisations_find_key(config->organisations,
						   &identity->key);
	if (!organisation)
		return false;
	*moved = strcmp(organisation->name, identity->name) != 0;
	set_organisation(identity, organisation);
	return true;
}
