#include "mesh/host.h"

struct mesh_host *mesh_host_new(void)
{
	struct mesh_host *host = g_new0(struct mesh_host, 1);

	host->regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return host;
}

const char *mesh_host_region(const struct mesh_host *host, const char *zone)
{
	const char *region = g_hash_table_lookup(host->regions, zone);

	return region ? region : host->region;
}

void mesh_host_free(struct mesh_host *host)
{
	g_free(host->name);
	g_free(host->zone);
	g_free(host->region);
	g_hash_table_unref(host->regions);
	g_free(host->ip);
	g_free(host->service);
	g_free(host->backend_text);
	g_free(host);
}
