#ifndef DIST_DIST_RULES_H
#define DIST_DIST_RULES_H

#include "dist/dist.h"

/*
 * The rules that the safety guarantees depend on, as a table of function
 * pointers. The daemon uses dist_rules_default; tests replace single rules by
 * faulty ones to show that their oracle detects each fault.
 */

/* Input of the start gate's rule. */
struct dist_gate_view {
	bool has_version;  /* a version is accepted */
	bool knows_newer;  /* a peer reported a newer one, not refused here */
	bool all_answered; /* as many peers as wanted answered */
	size_t nr_answered;
	int64_t age; /* time since the process started */
};

struct dist_rules {
	/* The total order of versions. */
	int (*compare)(const struct version_id *a, const struct version_id *b);
	/* Whether the bytes have the digest. */
	bool (*matches)(const struct digest *digest, const struct blob *blob);
	/* Whether every part of the version is present. */
	bool (*is_complete)(const struct dist_version *version);
	/* Whether a complete version is accepted. */
	bool (*accepts)(const struct dist_validator *validator, void *ctx,
			const struct dist_version *version,
			struct findings *findings);
	/* Whether the id is among the refused versions. */
	bool (*is_refused)(const struct cds_list_head *refusals,
			   const struct version_id *id);
	/* Whether the token bucket of the source holds a token. */
	bool (*has_token)(int64_t next_token, int64_t now);
	/* Whether the start gate opens. */
	bool (*gate_opens)(const struct dist_gate_view *view);
};

extern const struct dist_rules dist_rules_default;

#endif
