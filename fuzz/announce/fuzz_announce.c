#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "../expect.h"
#include "dist/dist.h"

/*
 * Fuzzes the distribution of configuration in one daemon whose peers send
 * arbitrary announcements in any order. The input is a list of events. The
 * reply to a call of the daemon holds the requested value from a fixed set of
 * versions, a wrong value or none. Checked after each event: accepted versions
 * only increase, no accepted version has content that the validator refuses,
 * and the calls to the source stay within the token bucket.
 */

#define NR_VERSIONS 8
#define NR_PARTS 2
#define EVENTS_MAX 400
#define INTERVAL (DIST_SOURCE_INTERVAL_MS * INT64_C(1000000))

static struct blob *manifests[NR_VERSIONS];
static struct blob *parts[NR_VERSIONS][NR_PARTS];
static struct version_id ids[NR_VERSIONS];

/*
 * Returns the version number of an index into ids. The validator refuses the
 * content of index 4. Indexes 5 and 6 share a number.
 */
static int version_number(int version)
{
	return version == 6 ? 6 : version + 1;
}

static bool is_bad(const struct blob *blob)
{
	return !strncmp(blob->bytes, "bad", 3);
}

static void make_version(int version)
{
	char hex[NR_PARTS][DIGEST_HEX_CHARS + 1];
	g_autofree char *text = NULL;

	for (int i = 0; i < NR_PARTS; i++) {
		g_autofree char *part = g_strdup_printf(
			"%s %d %d", version == 4 && i ? "bad" : "good",
			/* All versions have the same root part. */
			i ? version : 0, i);

		parts[version][i] = blob_new(part, strlen(part));
		digest_to_hex(&parts[version][i]->digest, hex[i]);
	}
	text = g_strdup_printf(
		"{\"format\":1,\"version\":%d,\"parts\":["
		"{\"name\":\"root\",\"digest\":\"%s\",\"bytes\":%zu},"
		"{\"name\":\"service/a\",\"digest\":\"%s\",\"bytes\":%zu}]}",
		version_number(version), hex[0], parts[version][0]->len, hex[1],
		parts[version][1]->len);
	manifests[version] = blob_new(text, strlen(text));
	ids[version].number = version_number(version);
	ids[version].digest = manifests[version]->digest;
}

static bool validate(void *ctx, const struct dist_version *version,
		     struct findings *findings)
{
	(void)ctx;
	for (size_t i = 0; i < version->nr_parts; i++) {
		if (!is_bad(version->parts[i].blob))
			continue;
		findings_add(findings, FINDING_ERROR, NULL, "", "bad");
		return false;
	}
	return true;
}

static const struct dist_validator validator = { .accept = validate };

/* A call of the daemon that waits for its result. */
struct pending_call {
	bool is_source;
	enum dist_procedure procedure;
	bool is_part;
	uint64_t call;
	struct version_id id;
	struct digest digest;
};

struct fuzz_run {
	const uint8_t *data;
	size_t left;
	struct rng rng;
	struct member *member;
	struct dist *dist;
	int64_t start;
	int64_t now;
	struct version_id accepted;
	uint64_t nr_source_calls;
	int64_t last_source_call;
	/* Ring of the most recent calls; older ones time out. */
	struct pending_call pending[64];
	size_t nr_pending;
};

/* Reads a big-endian integer, which is shorter at the end of the input. */
static uint64_t read_uint(struct fuzz_run *run, size_t bytes)
{
	uint64_t value = 0;

	for (; bytes && run->left; bytes--, run->left--)
		value = value << 8 | *run->data++;
	return value;
}

static void add_pending_call(struct fuzz_run *run,
			     const struct pending_call *pending)
{
	run->pending[run->nr_pending++ % G_N_ELEMENTS(run->pending)] = *pending;
}

static void check_accepted(struct fuzz_run *run,
			   const struct dist_version *version)
{
	expect(version_id_compare(&version->id, &run->accepted) > 0);
	expect(!version->nr_missing);
	for (size_t i = 0; i < version->nr_parts; i++) {
		const struct dist_part *part = &version->parts[i];

		expect(part->blob && !is_bad(part->blob));
		expect(!digest_compare(&part->blob->digest, &part->digest));
	}
	run->accepted = version->id;
}

/*
 * The token bucket starts empty and holds at most one token, so calls are at
 * least one interval apart and at most one per interval since the start.
 */
static void check_source_call(struct fuzz_run *run)
{
	run->nr_source_calls++;
	expect(run->now - run->last_source_call >= INTERVAL);
	expect(run->nr_source_calls <=
	       (uint64_t)((run->now - run->start) / INTERVAL));
	run->last_source_call = run->now;
}

static void process_action(struct fuzz_run *run,
			   const struct dist_action *action)
{
	struct pending_call pending = { 0 };

	if (action->kind == DIST_ACTION_ACCEPT) {
		check_accepted(run, action->version);
	} else if (action->kind == DIST_ACTION_SOURCE) {
		check_source_call(run);
		pending.is_source = true;
		pending.is_part = action->source.is_part;
		pending.call = action->source.call;
		pending.digest = action->source.digest;
		add_pending_call(run, &pending);
	} else if (action->kind == DIST_ACTION_PEER) {
		pending.procedure = action->peer.procedure;
		pending.is_part = action->peer.procedure == DIST_GET_PART;
		pending.call = action->peer.call;
		pending.id = action->peer.id;
		pending.digest = action->peer.digest;
		add_pending_call(run, &pending);
	} else if (action->kind == DIST_ACTION_CRASHES) {
		expect(action->crashes.nr <= DIST_CRASHES_MAX);
	}
}

static void process_actions(struct fuzz_run *run)
{
	struct dist_action *action;
	json_t *dump;

	while ((action = dist_next_action(run->dist))) {
		process_action(run, action);
		dist_action_free(action);
	}
	expect(dist_source_calls(run->dist) == run->nr_source_calls);
	dump = dist_dump(run->dist, run->now);
	expect(dump != NULL);
	json_decref(dump);
}

/* Reads the id of a known version, or an arbitrary number and digest. */
static void read_version_id(struct fuzz_run *run, struct version_id *id)
{
	uint8_t choice = (uint8_t)read_uint(run, 1);

	memset(id, 0, sizeof(*id));
	if (choice < 128) {
		*id = ids[choice % NR_VERSIONS];
		return;
	}
	id->number = (int64_t)read_uint(run, 8);
	memset(id->digest.bytes, (int)read_uint(run, 1), DIGEST_BYTES);
	if (choice >= 192)
		id->digest = ids[choice % NR_VERSIONS].digest;
}

static void read_name(struct fuzz_run *run, char *text, size_t size)
{
	static const char *const known[] = { "self", "b", "c", "d" };
	uint8_t choice = (uint8_t)read_uint(run, 1);
	size_t len = choice % size;

	if (choice < 128) {
		g_strlcpy(text, known[choice % G_N_ELEMENTS(known)], size);
		return;
	}
	for (size_t i = 0; i < len; i++)
		text[i] = (char)read_uint(run, 1);
}

static void read_announce(struct fuzz_run *run, struct dist_announce *announce)
{
	memset(announce, 0, sizeof(*announce));
	read_name(run, announce->host, sizeof(announce->host));
	read_name(run, announce->control, sizeof(announce->control));
	announce->incarnation = read_uint(run, 1);
	read_version_id(run, &announce->in_force);
	read_version_id(run, &announce->candidate);
	announce->confirmation_age_ms =
		(int64_t)read_uint(run, read_uint(run, 1) % 2 ? 8 : 2);
	/* The codec refuses more than DIST_CRASHES_MAX crashes. */
	announce->nr_crashes = read_uint(run, 1) % (DIST_CRASHES_MAX + 1);
	for (size_t i = 0; i < announce->nr_crashes; i++) {
		announce->crashes[i].fingerprint = read_uint(run, 1);
		announce->crashes[i].count = (uint32_t)read_uint(run, 4);
		announce->crashes[i].left_ms = (uint32_t)read_uint(run, 4);
	}
}

/* Returns the value that a call requests, or NULL if no version has it. */
static struct blob *requested_value(const struct pending_call *pending,
				    uint8_t choice)
{
	if (pending->is_source && !pending->is_part)
		return manifests[choice % NR_VERSIONS];
	for (int i = 0; i < NR_VERSIONS; i++) {
		if (!pending->is_part &&
		    !digest_compare(&ids[i].digest, &pending->id.digest))
			return manifests[i];
		for (int j = 0; pending->is_part && j < NR_PARTS; j++)
			if (!digest_compare(&parts[i][j]->digest,
					    &pending->digest))
				return parts[i][j];
	}
	return NULL;
}

static void complete_call(struct fuzz_run *run)
{
	uint8_t index = (uint8_t)read_uint(run, 1);
	uint8_t choice = (uint8_t)read_uint(run, 1);
	size_t nr = MIN(run->nr_pending, G_N_ELEMENTS(run->pending));
	struct pending_call *pending = &run->pending[nr ? index % nr : 0];
	struct dist_announce announce;
	enum dist_outcome outcome = DIST_VALUE;
	struct blob *blob = requested_value(pending, choice);

	if (choice >= 240)
		outcome = DIST_FAILED;
	else if (choice >= 220)
		outcome = DIST_MISSING;
	else if (choice >= 210)
		outcome = DIST_UNCHANGED;
	else if (choice >= 200)
		blob = parts[choice % NR_VERSIONS][1];
	if (outcome == DIST_VALUE && !blob)
		outcome = DIST_MISSING;
	if (outcome != DIST_VALUE)
		blob = NULL;
	if (pending->is_source) {
		dist_source_result(run->dist, pending->call, outcome, blob,
				   run->now);
	} else if (pending->procedure == DIST_ANNOUNCE && choice < 240) {
		read_announce(run, &announce);
		dist_peer_announced(run->dist, pending->call, &announce,
				    run->now);
	} else {
		dist_peer_result(run->dist, pending->call, outcome, blob,
				 run->now);
	}
}

static void apply_host_list(struct fuzz_run *run)
{
	static const struct member_host hosts[] = {
		{ "self", "z1", "r", "127.0.0.1:1", false, 0 },
		{ "b", "z1", "r", "127.0.0.1:2", false, 0 },
		{ "c", "z1", "r", "127.0.0.1:3", true, 0 },
		{ "d", "z2", "r", "127.0.0.1:4", false, 0 },
	};
	struct host_list *list =
		host_list_new((int64_t)read_uint(run, 1), hosts,
			      read_uint(run, 1) % (G_N_ELEMENTS(hosts) + 1));

	dist_host_list(run->dist, list, run->now);
	host_list_unref(list);
}

static void process_event(struct fuzz_run *run)
{
	struct dist_announce call, reply;
	struct blob *blob;
	uint8_t kind = (uint8_t)read_uint(run, 1);

	switch (kind % 8) {
	case 0:
	case 1:
		read_announce(run, &call);
		dist_on_announce(run->dist, &call, &reply, run->now);
		/* Muted after a pause, the daemon reports version 0 (none). */
		expect(!reply.in_force.number ||
		       !version_id_compare(&reply.in_force, &run->accepted));
		break;
	case 2:
	case 3:
	case 4:
		complete_call(run);
		break;
	case 5:
		run->now += (int64_t)read_uint(run, 2) * 1000000;
		dist_tick(run->dist, run->now);
		break;
	case 6:
		run->now = MAX(run->now, dist_next_deadline(run->dist));
		dist_tick(run->dist, run->now);
		break;
	default:
		if (kind < 128) {
			apply_host_list(run);
			break;
		}
		read_version_id(run, &call.in_force);
		blob = dist_on_get_manifest(run->dist, &call.in_force);
		blob_unref(blob);
		blob = dist_on_get_part(run->dist, &call.in_force.digest);
		blob_unref(blob);
	}
}

static void init_run(struct fuzz_run *run)
{
	static const char *const seeds[] = { "127.0.0.1:2" };
	struct member_options member_options = {
		.host = "self",
		.zone = "z1",
		.region = "r",
		.control = "127.0.0.1:1",
		.seeds = seeds,
		.nr_seeds = 1,
		.rng = &run->rng,
	};
	struct dist_options options = {
		.incarnation = 1,
		.rng = &run->rng,
		.validator = &validator,
		.now = INT64_C(1000000000),
	};

	rng_init(&run->rng, 20261204);
	run->member = member_new(&member_options);
	options.member = run->member;
	run->start = run->now = run->last_source_call = options.now;
	run->dist = dist_new(&options);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fuzz_run run = { .data = data, .left = size };

	if (!manifests[0])
		for (int i = 0; i < NR_VERSIONS; i++)
			make_version(i);
	init_run(&run);
	for (int i = 0; i < EVENTS_MAX && run.left; i++) {
		process_event(&run);
		process_actions(&run);
	}
	dist_free(run.dist);
	member_free(run.member);
	return 0;
}
