#include "base/clock.h"
#include "base/completion.h"
#include "control_internal.h"

/* How long an operator's question may wait for the control thread. */
#define QUESTION_WAIT_NS (2 * NS_PER_SEC)

struct question {
	struct control *control;
	enum control_question what;
	int refs;
	struct completion completion;
	json_t *answer;
	struct dist_version *version; /* a reference */
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
		int64_t heard = 0;
		bool known = dist_member_version(control->dist, hosts[i]->host,
						 &id, &heard);

		json_array_append_new(
			array,
			json_pack("{s:s, s:s, s:s, s:o, s:I}", "host",
				  hosts[i]->host, "zone", hosts[i]->zone,
				  "control", hosts[i]->control, "version",
				  version_json(&id), "heard_ms_ago",
				  (json_int_t)(known ? (now - heard) / NS_PER_MS
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

static void question_unref(struct question *question)
{
	if (!g_atomic_int_dec_and_test(&question->refs))
		return;
	json_decref(question->answer);
	if (question->version)
		dist_version_unref(question->version);
	completion_release(&question->completion);
	g_free(question);
}

static json_t *make_answer(struct question *question)
{
	struct control *control = question->control;
	struct dist_version *in_force = dist_in_force(control->dist);

	switch (question->what) {
	case CONTROL_STATUS:
		return status_json(control);
	case CONTROL_FLEET:
		return fleet_json(control);
	case CONTROL_DUMP:
		return dump_json(control);
	case CONTROL_VERSION_IN_FORCE:
		if (in_force)
			question->version = dist_version_ref(in_force);
		return NULL;
	}
	return NULL;
}

static void answer_question(void *arg)
{
	struct question *question = arg;

	question->answer = make_answer(question);
	completion_signal(&question->completion);
	question_unref(question);
}

/* Waits for the control thread; the caller drops the reference. */
static struct question *ask(struct control *control, enum control_question what,
			    bool *answered)
{
	struct question *question = g_new0(struct question, 1);

	question->control = control;
	question->what = what;
	question->refs = 2;
	completion_init(&question->completion);
	net_loop_defer(control->loop, answer_question, question);
	*answered = completion_wait(&question->completion,
				    clock_monotonic_ns() + QUESTION_WAIT_NS);
	return question;
}

json_t *control_ask(struct control *control, enum control_question what)
{
	bool answered;
	struct question *question = ask(control, what, &answered);
	json_t *answer = answered ? json_incref(question->answer) : NULL;

	question_unref(question);
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
	struct question *question =
		ask(control, CONTROL_VERSION_IN_FORCE, &answered);
	json_t *answer = NULL;

	if (answered && question->version)
		answer = explain_version(question->version, query, error);
	else
		g_set_error(error, TREE_ERROR, TREE_ERROR_NOT_FOUND,
			    "no version is in force");
	question_unref(question);
	return answer;
}
