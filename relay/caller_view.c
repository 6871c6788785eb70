#include <string.h>

#include "base/clock.h"
#include "mesh/explain.h"
#include "relay/call.h"

/* Applies a view to the balancer, the retry budgets and the HTTP server. */

/*
 * Most of a service's servers that outlier detection may eject, in percent. Not
 * more, because it goes by the observations of this daemon alone.
 */
#define EJECT_PERCENT_MAX 50

/* Load of the own zone from which other zones get requests too, in percent. */
#define ZONE_OVERFLOW_PERCENT 80

static void apply_targets(struct caller_side *side,
			  const struct mesh_view *view,
			  const struct mesh_service *service, int64_t now)
{
	struct balance_service settings = {
		.key = service->name,
		.eject_percent_max = EJECT_PERCENT_MAX,
		.zone_overflow_percent = ZONE_OVERFLOW_PERCENT,
	};
	struct balance_target *targets =
		g_new0(struct balance_target, view->targets->len + 1);
	g_autoptr(GPtrArray) addresses = g_ptr_array_new_with_free_func(g_free);
	size_t nr_targets = 0;

	for (guint i = 0; i < view->targets->len; i++) {
		const struct mesh_target *target =
			g_ptr_array_index(view->targets, i);
		char *address;

		if (strcmp(target->service, service->name) != 0)
			continue;
		address = g_strdup_printf("%s:%u", target->ip,
					  side->context->host->peers.port);
		g_ptr_array_add(addresses, address);
		targets[nr_targets].host = target->id;
		targets[nr_targets].zone = target->zone;
		targets[nr_targets].region =
			mesh_host_region(side->context->host, target->zone);
		targets[nr_targets].traffic = address;
		targets[nr_targets].slots = (uint32_t)target->slots;
		targets[nr_targets].cold_slots =
			(uint32_t)MAX(1, target->slots / 3);
		targets[nr_targets].in_service =
			mesh_view_in_service(view, target);
		nr_targets++;
	}
	balance_update(side->balance, &settings, targets, nr_targets, now);
	g_free(targets);
}

static int count_daemons(const struct mesh_view *view)
{
	g_autoptr(GHashTable) ips = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < view->targets->len; i++) {
		struct mesh_target *target =
			g_ptr_array_index(view->targets, i);

		g_hash_table_add(ips, target->ip);
	}
	return (int)MAX(1, g_hash_table_size(ips));
}

static void apply_retry_budget(struct caller_side *side, const char *name,
			       int64_t now)
{
	const struct mesh_host *host = side->context->host;
	guint index = (guint)balance_service_index(side->balance, name);
	struct retry_window_options options = {
		.window_ms = host->retry_window_ms,
		.ratio = host->retry_ratio,
		.slack = host->retry_slack,
		.nr_daemons = side->nr_daemons,
	};

	if (index >= side->services->len)
		g_array_set_size(side->services, index + 1);
	retry_window_set(&caller_side_service(side, (int)index)->retries,
			 &options, now);
}

static void apply_limits(struct caller_side *side,
			 const struct mesh_limits *limits)
{
	struct http_server_limits server = {
		.message = { .head_max = (size_t)limits->head_max_bytes,
			     .body_max = (size_t)limits->body_max_bytes },
		.request_read_max_ns = limits->head_wait_ms * NS_PER_MS,
		.idle_max_ns = limits->idle_wait_ms * NS_PER_MS,
	};

	http_server_set_limits(side->http, &server);
}

void caller_side_apply(struct caller_side *side, struct mesh_view *view)
{
	int64_t now = clock_monotonic_ns();
	struct mesh_service *service;
	GHashTableIter iter;

	mesh_view_unref(side->view);
	side->view = mesh_view_ref(view);
	caller_side_apply_identities(side);
	side->nr_daemons = count_daemons(view);
	if (!view->config)
		return;
	apply_limits(side, &view->config->limits);
	balance_update_begin(side->balance);
	g_hash_table_iter_init(&iter, view->config->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		apply_targets(side, view, service, now);
		apply_retry_budget(side, service->name, now);
	}
	balance_update_end(side->balance, now);
}

void caller_side_render_metrics(const struct caller_side *side, GString *out)
{
	organisation_counts_render(side->counts, out);
}

char *caller_side_explain(const struct caller_side *side,
			  const struct mesh_explain_query *query)
{
	g_autoptr(GString) text = g_string_new(NULL);
	json_t *explanation =
		side->view ? mesh_explain(side->view, query) : NULL;

	if (!explanation)
		return NULL;
	mesh_explain_print(explanation, text);
	json_decref(explanation);
	return g_strdup(text->str);
}
