#include "relay/peer_links_internal.h"

static void dump_lane(const struct peer_links *links, enum peer_lane lane,
		      json_t *array)
{
	struct peer_link *link;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, links->lanes[lane]);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&link)) {
		bool open = link->conn && !rpc_conn_closed(link->conn);

		json_array_append_new(
			array,
			json_pack("{s:s, s:s, s:b, s:b, s:i}", "address",
				  link->address, "lane",
				  lane == PEER_LANE_LONG ? "long" : "short",
				  "open", open, "usable",
				  link->state == LINK_USABLE, "requests",
				  peer_link_count_calls(link)));
	}
}

json_t *peer_links_dump(const struct peer_links *links)
{
	json_t *array = json_array();

	for (int i = 0; i < PEER_NR_LANES; i++)
		dump_lane(links, (enum peer_lane)i, array);
	return array;
}
