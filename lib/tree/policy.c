#include <string.h>

#include "tree/policy.h"

#define KEY(key_name, key_type, key_side, key_min, key_max, key_builtin)       \
	{                                                                      \
		.name = #key_name, .type = (key_type),                         \
		.side = POLICY_##key_side##_SIDE,                              \
		.offset = offsetof(struct policy, key_name), .min = (key_min), \
		.max = (key_max), .builtin = (key_builtin)                     \
	}

const struct policy_key policy_keys[POLICY_KEYS] = {
	KEY(deadline_ms, POLICY_INT64, CALLER, 1, 600000, 2000),
	KEY(priority, POLICY_PRIORITY, CALLER, 0, PRIORITY_COUNT - 1,
	    PRIORITY_LOOKUP),
	KEY(retry_ratio_percent, POLICY_INT, CALLER, 0, 100, 10),
	KEY(retry_max, POLICY_INT, CALLER, 0, 5, 2),
	KEY(slots, POLICY_INT, TARGET, 1, 10000, 10),
	KEY(queue_max, POLICY_INT, TARGET, 0, 10000, 20),
	/* The parser also checks that effective cold_slots <= slots. */
	KEY(cold_slots, POLICY_INT, TARGET, 1, 10000, 1),
	KEY(ramp_ms, POLICY_INT64, TARGET, 0, 600000, 10000),
	KEY(ticket_life_ms, POLICY_INT64, CALLER, 1000, 3600000, 300000),
	KEY(body_max_bytes, POLICY_INT64, CALLER, 1, 1073741824, 16777216),
	KEY(eject_percent_max, POLICY_INT, CALLER, 0, 100, 34),
	KEY(quarantine_crashes, POLICY_INT, CALLER, 1, 10, 2),
	KEY(quarantine_ms, POLICY_INT64, CALLER, 1000, 3600000, 60000),
	KEY(zone_overflow_percent, POLICY_INT, CALLER, 0, 100, 80),
};

static const char *const priority_names[PRIORITY_COUNT] = {
	[PRIORITY_ORDER] = "order",
	[PRIORITY_LOOKUP] = "lookup",
	[PRIORITY_BACKGROUND] = "background",
};

static const char *const method_names[HTTP_METHOD_COUNT] = {
	[HTTP_METHOD_GET] = "GET",	 [HTTP_METHOD_HEAD] = "HEAD",
	[HTTP_METHOD_POST] = "POST",	 [HTTP_METHOD_PUT] = "PUT",
	[HTTP_METHOD_DELETE] = "DELETE", [HTTP_METHOD_OPTIONS] = "OPTIONS",
	[HTTP_METHOD_PATCH] = "PATCH",
};

const char *priority_name(enum priority priority)
{
	return priority_names[priority];
}

bool http_method_parse(const char *name, enum http_method *method)
{
	for (int i = 0; i < HTTP_METHOD_COUNT; i++) {
		if (strcmp(name, method_names[i]) != 0)
			continue;
		*method = (enum http_method)i;
		return true;
	}
	return false;
}

const char *http_method_name(enum http_method method)
{
	return method_names[method];
}

unsigned policy_side_keys(enum policy_side side)
{
	unsigned keys = 0;

	for (unsigned i = 0; i < POLICY_KEYS; i++)
		if (policy_keys[i].side == side)
			keys |= 1u << i;
	return keys;
}

int64_t policy_get(const struct policy *policy, const struct policy_key *key)
{
	const char *field = (const char *)policy + key->offset;

	switch (key->type) {
	case POLICY_INT64:
		return *(const int64_t *)(const void *)field;
	case POLICY_INT:
		return *(const int *)(const void *)field;
	case POLICY_PRIORITY:
		return *(const enum priority *)(const void *)field;
	}
	return 0;
}

void policy_set(struct policy *policy, const struct policy_key *key,
		int64_t value)
{
	char *field = (char *)policy + key->offset;

	switch (key->type) {
	case POLICY_INT64:
		*(int64_t *)(void *)field = value;
		break;
	case POLICY_INT:
		*(int *)(void *)field = (int)value;
		break;
	case POLICY_PRIORITY:
		*(enum priority *)(void *)field = (enum priority)value;
		break;
	}
}

void policy_format(const struct policy *policy, const struct policy_key *key,
		   GString *out)
{
	int64_t value = policy_get(policy, key);

	if (key->type == POLICY_PRIORITY)
		g_string_append(out, priority_name((enum priority)value));
	else
		g_string_append_printf(out, "%" G_GINT64_FORMAT, value);
}

void policy_init(struct policy *policy)
{
	memset(policy, 0, sizeof(*policy));
	for (int i = 0; i < POLICY_KEYS; i++)
		policy_set(policy, &policy_keys[i], policy_keys[i].builtin);
}

void policy_apply(struct policy *policy, const struct override *override,
		  unsigned keys)
{
	unsigned set = override->set & keys;

	for (int i = 0; set; i++, set >>= 1)
		if (set & 1)
			policy_set(policy, &policy_keys[i],
				   policy_get(&override->values,
					      &policy_keys[i]));
}
