#ifndef TREE_POLICY_H
#define TREE_POLICY_H

#include "tree/tree.h"

/*
 * The keys of POLICY, private to the library. Validation, inheritance,
 * explanation, comparison and rendering all read the one table of keys.
 */

enum policy_key_type {
	POLICY_INT64,
	POLICY_INT,
	POLICY_PRIORITY
};

/* Whose availability zone supplies the zone override of a key. */
enum policy_side {
	POLICY_CALLER_SIDE,
	POLICY_TARGET_SIDE
};

struct policy_key {
	const char *name;
	enum policy_key_type type;
	enum policy_side side;
	size_t offset; /* in struct policy */
	int64_t min, max;
	int64_t builtin;
};

#define POLICY_KEYS 14
extern const struct policy_key policy_keys[POLICY_KEYS];

/* In a set of keys, the bit 1 << i stands for policy_keys[i]. */
#define POLICY_ALL_KEYS ((1u << POLICY_KEYS) - 1)
unsigned policy_side_keys(enum policy_side side);

int64_t policy_get(const struct policy *policy, const struct policy_key *key);
void policy_set(struct policy *policy, const struct policy_key *key,
		int64_t value);

/* Appends the value of a key as it is written in a tree, without quotes. */
void policy_format(const struct policy *policy, const struct policy_key *key,
		   GString *out);

/* Sets all built-in defaults. */
void policy_init(struct policy *policy);

/* The keys that one level of the tree sets. */
struct override {
	unsigned set;
	struct policy values;
};

/* Copies those of the given keys that the override sets. */
void policy_apply(struct policy *policy, const struct override *override,
		  unsigned keys);

#endif
