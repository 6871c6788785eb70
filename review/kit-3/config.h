#ifndef REVIEW_CONFIG_H
#define REVIEW_CONFIG_H

/*
 * A configuration with the services "shop" and "docs", with all routes of host
 * mesh.example. Rows are those of the routes table, separated by commas.
 */
struct config {
	int version;
	const char *rows;
	long body_max;	    /* max_body_bytes */
	const char *warmup; /* of the services; NULL: 3s */
};

#define ROUTE_ORDERS                                                    \
	"[\"orders\",\"mesh.example\",\"/orders/\",\"non_idempotent\"," \
	"\"2000ms\",\"600ms\",1,\"shop\",2]"
#define ROUTE_STOCK                                                          \
	"[\"stock\",\"mesh.example\",\"/stock/\",\"idempotent\",\"2000ms\"," \
	"\"500ms\",2,\"shop\",2]"
#define ROUTE_LEAFLETS                                                \
	"[\"leaflets\",\"mesh.example\",\"/leaflets/\",\"download\"," \
	"\"2000ms\",\"600ms\",2,\"docs\",2]"

#define ROUTE_SPLIT(shop, docs)                                            \
	"[\"look\",\"mesh.example\",\"/look/\",\"idempotent\",\"2000ms\"," \
	"\"500ms\",2,null,2,[{\"service\":\"shop\",\"weight\":" #shop      \
	"},{\"service\":\"docs\",\"weight\":" #docs "}]]"

/* Publishes the configuration; returns when the store has acknowledged it. */
void kit_publish(const struct config *config);

#endif
