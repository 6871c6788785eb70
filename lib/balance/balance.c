#include "balance/state.h"

#define DEFAULT_SUBSET_OWN 10
#define DEFAULT_SUBSET_OTHER 4
#define DEFAULT_EJECT_FAILURES 5
#define DEFAULT_EJECT_FIRST (1 * NS_PER_SEC)
#define DEFAULT_EJECT_LONGEST (30 * NS_PER_SEC)
#define DEFAULT_REPORT_MAX_AGE (1 * NS_PER_SEC)
/*
 * A drain that ends in a restart takes seconds. A trial request that comes too
 * early does no harm: the draining daemon refuses it as not-run, and it never
 * reaches the backend server.
 */
#define DEFAULT_DRAINING_MAX_AGE (5 * NS_PER_SEC)

void target_free(struct target *target)
{
	g_free(target->host);
	g_free(target->zone);
	g_free(target->region);
	g_free(target->traffic);
	g_free(target);
}

static void service_free(gpointer data)
{
	struct service *service = data;

	g_hash_table_destroy(service->by_host);
	g_free(service->targets);
	g_free(service->subset);
	g_free(service->key);
	g_free(service);
}

struct balance *balance_new(const struct balance_options *options)
{
	struct balance *balance = g_new0(struct balance, 1);
	struct balance_options *own = &balance->options;

	*own = *options;
	if (!own->policy)
		own->policy = &balance_two_choices;
	if (!own->subset_own)
		own->subset_own = DEFAULT_SUBSET_OWN;
	if (!own->subset_other)
		own->subset_other = DEFAULT_SUBSET_OTHER;
	if (!own->eject_failures)
		own->eject_failures = DEFAULT_EJECT_FAILURES;
	if (!own->eject_first_ns)
		own->eject_first_ns = DEFAULT_EJECT_FIRST;
	if (!own->eject_longest_ns)
		own->eject_longest_ns = DEFAULT_EJECT_LONGEST;
	if (!own->report_max_age_ns)
		own->report_max_age_ns = DEFAULT_REPORT_MAX_AGE;
	if (!own->draining_max_age_ns)
		own->draining_max_age_ns = DEFAULT_DRAINING_MAX_AGE;
	balance->host = g_strdup(options->host);
	balance->zone = g_strdup(options->zone);
	balance->region = g_strdup(options->region);
	own->host = balance->host;
	own->zone = balance->zone;
	own->region = balance->region;
	balance->host_hash = hash_string(balance->host);
	balance->services = g_ptr_array_new_with_free_func(service_free);
	balance->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	balance->leaving =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	balance->by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
	return balance;
}

void balance_free(struct balance *balance)
{
	GHashTableIter iter;
	gpointer value;

	if (!balance)
		return;
	g_hash_table_iter_init(&iter, balance->by_handle);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		target_free(value);
	g_hash_table_destroy(balance->by_handle);
	g_hash_table_destroy(balance->by_key);
	g_hash_table_destroy(balance->leaving);
	g_ptr_array_free(balance->services, TRUE);
	g_free(balance->host);
	g_free(balance->zone);
	g_free(balance->region);
	g_free(balance->candidates);
	g_free(balance->candidate_targets);
	g_free(balance);
}

struct service *balance_service_at(const struct balance *balance, int index)
{
	if (index < 0 || (guint)index >= balance->services->len)
		return NULL;
	return g_ptr_array_index(balance->services, (guint)index);
}

struct target *balance_target_at(const struct balance *balance,
				 balance_handle handle)
{
	return g_hash_table_lookup(balance->by_handle, &handle);
}

void balance_mark_leaving(struct balance *balance, const char *host,
			  bool leaving, int64_t now)
{
	if (leaving)
		g_hash_table_add(balance->leaving, g_strdup(host));
	else
		g_hash_table_remove(balance->leaving, host);
	for (guint i = 0; i < balance->services->len; i++) {
		struct service *service =
			g_ptr_array_index(balance->services, i);
		struct target *target =
			g_hash_table_lookup(service->by_host, host);

		if (!target || target->leaving == leaving)
			continue;
		target->leaving = leaving;
		service_refresh_subset(balance, service, now);
	}
}

uint32_t balance_in_flight(const struct balance *balance, balance_handle handle)
{
	const struct target *target = balance_target_at(balance, handle);

	return target ? target->in_flight : 0;
}
