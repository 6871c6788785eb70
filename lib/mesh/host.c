#include "mesh/host.h"

void mesh_host_free(struct mesh_host *host)
{
	g_free(host->name);
	g_free(host->zone);
	g_free(host->region);
	g_free(host->ip);
	g_free(host->service);
	g_free(host->backend_text);
	g_free(host);
}
