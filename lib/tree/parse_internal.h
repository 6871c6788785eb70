#ifndef TREE_PARSE_INTERNAL_H
#define TREE_PARSE_INTERNAL_H

#include "tree/check.h"
#include "tree/model.h"

/* Declarations shared by the source files of the tree parser. */

/* The state of one validation. */
struct parse {
	struct checker checker;
	struct tree *tree;
	size_t nr_targets;
	/* Values that must be unique in the whole tree. */
	GHashTable *hosts;     /* host to struct tree_target */
	GHashTable *addresses; /* canonical address to struct tree_target */
	GHashTable *routes;    /* route name to struct tree_route */
	GHashTable *prefixes;  /* prefix to a list by same_prefix */
};

/* Copies text into the string store of the tree; NULL gives NULL. */
char *parse_keep(struct parse *parse, const char *text);

/* Parses the POLICY object that is the member key of parent, if any. */
void parse_override(struct checker *checker, json_t *parent, const char *key,
		    unsigned allowed, struct override *override);

/* Parses the member "targets" of a service. */
void parse_targets(struct parse *parse, json_t *json,
		   struct tree_service *service);

/* Parses the member "routes" of a service. */
void parse_routes(struct parse *parse, json_t *json,
		  struct tree_service *service);

#endif
