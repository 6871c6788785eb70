#include "base/clock.h"
#include "base/completion.h"
#include "control_internal.h"

/* Longest wait of an operator's query for the control thread. */
#define QUERY_TIMEOUT_NS (2 * NS_PER_SEC)

struct query {
	struct control *control;
	enum control_query_kind kind;
	int refs;
	struct completion completion;
	json_t *answer;
	struct dist_version *version; /* holds a reference */
};

static json_t *version_json(const struct version_id *id)
{
	char hex[DIGEST_HEX_CHARS + 1];

	digest_to_hex(&id->digest, hex);
	if (!id->number)
		return json_null();
	return json_pack("{s:I, s:s}", "number", (json_int_t)id->number,
			 "digest", hex);
}

static json_t *refusals_json(const struct control *control)
{
	json_t *array = json_array();
	struct dist_refusal *refusal;

	cds_list_for_each_entry (refusal, dist_refusals(control->dist), node)
		json_array_append_new(
			array, json_pack("{s:o, s:o}", "version",
					 version_json(&refusal->id), "findings",
					 findings_to_json(&refusal->findings)));
	return array;
}

static json_t *status_json(struct control *control)
{
	const struct settings *settings = control->options.settings;
	struct dist_version *in_force = dist_in_force(control->dist);
	struct version_id none = { 0 };
	struct version_id newest = dist_newest_known(control->dist);
	const struct version_id *id = in_force ? &in_force->id : &none;

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:o, s:o, s:b, s:b, s:b, s:o, s:I}",
		"host", settings->host, "zone", settings->zone, "region",
		settings->region, "control", settings->control_text, "version",
		version_json(id), "newest", version_json(&newest), "behind",
		version_id_compare(id, &newest) < 0, "serving",
		dist_is_serving(control->dist), "conflict",
		dist_has_conflict(control->dist), "refused",
		refusals_json(control), "source_calls",
		(json_int_t)dist_source_calls(control->dist));
}

static json_t *fleet_json(struct control *control)
{
	int64_t now = clock_monotonic_ns();
	size_t nr = member_count_peers(control->member, now);
	const struct member_host **hosts =
		g_new0(const struct member_host *, nr + 1);
	json_t *array = json_array();

	nr = member_sample(control->member, MEMBER_ANY_ZONE, nr, hosts, now);
	for (size_t i = 0; i < nr; i++) {
		struct version_id id = { 0 };
		int64_t received_at = 0;
		bool known = dist_member_version(control->dist, hosts[i]->host,
						 &id, &received_at);

		json_array_append_new(
			array,
			json_pack("{s:s, s:s, s:s, s:o, s:I}", "host",
				  hosts[i]->host, "zone", hosts[i]->zone,
				  "control", hosts[i]->control, "version",
				  version_json(&id), "heard_ms_ago",
				  (json_int_t)(known ? (now - received_at) /
							       NS_PER_MS
						     : -1)));
	}
	g_free(hosts);
	return array;
}

static json_t *dump_json(struct control *control)
{
	int64_t now = clock_monotonic_ns();

	return json_pack("{s:o, s:o, s:o, s:i}", "status", status_json(control),
			 "dist", dist_dump(control->dist, now), "member",
			 member_dump(control->member, now), "peer_connections",
			 (int)g_hash_table_size(control->peers));
}

static void query_unref(struct query *pending)
{
	if (!g_atomic_int_dec_and_test(&pending->refs))
		return;
	json_decref(pending->answer);
	if (pending->version)
		dist_version_unref(pending->version);
	completion_release(&pending->completion);
	g_free(pending);
}

static json_t *make_answer(struct query *pending)
{
	struct control *control = pending->control;
	struct dist_version *in_force = dist_in_force(control->dist);

	switch (pending->kind) {
	case CONTROL_STATUS:
		return status_json(control);
	case CONTROL_FLEET:
		return fleet_json(control);
	case CONTROL_DUMP:
		return dump_json(control);
	case CONTROL_VERSION_IN_FORCE:
		if (in_force)
			pending->version = dist_version_ref(in_force);
		return NULL;
	}
	return NULL;
}

static void answer_query(void *arg)
{
	struct query *pending = arg;

	pending->answer = make_answer(pending);
	completion_signal(&pending->completion);
	query_unref(pending);
}

/*
 * Runs a query on the control thread and waits for its answer up to the
 * timeout. The caller drops the returned reference.
 */
static struct query *run_query(struct control *control,
			       enum control_query_kind kind, bool *answered)
{
	struct query *pending = g_new0(struct query, 1);

	pending->control = control;
	pending->kind = kind;
	pending->refs = 2;
	completion_init(&pending->completion);
	net_loop_defer(control->loop, answer_query, pending);
	*answered = completion_wait(&pending->completion,
				    clock_monotonic_ns() + QUERY_TIMEOUT_NS);
	return pending;
}

json_t *control_query(struct control *control, enum control_query_kind kind)
{
	bool answered;
	struct query *pending = run_query(control, kind, &answered);
	json_t *answer = answered ? json_incref(pending->answer) : NULL;

	query_unref(pending);
	return answer;
}

static json_t *explain_version(const struct dist_version *version,
			       const struct explain_query *query,
			       GError **error)
{
	CLEANUP(explanation_freep) struct explanation *explanation = NULL;
	CLEANUP(tree_freep) struct tree *tree = control_assemble(version);

	if (tree)
		explanation = tree_explain(tree, query, error);
	return explanation ? explanation_to_json(explanation) : NULL;
}

json_t *control_explain(struct control *control,
			const struct explain_query *query, GError **error)
{
	bool answered;
	struct query *pending =
		run_query(control, CONTROL_VERSION_IN_FORCE, &answered);
	json_t *answer = NULL;

	if (answered && pending->version)
		answer = explain_version(pending->version, query, error);
	else
		g_set_error(error, TREE_ERROR, TREE_ERROR_NOT_FOUND,
			    "no version is in force");
	query_unref(pending);
	return answer;
}
