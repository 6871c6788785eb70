#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "control_internal.h"

#define HOST_LIST_INTERVAL_NS (10 * NS_PER_SEC)
#define HOST_LIST_TIMEOUT_SEC 5
#define SOURCE_TIMEOUT_SEC 5

/* A read of the configuration source that dist requested. */
struct source_read {
	struct control *control;
	struct dist_source_call call;
};

static enum dist_outcome source_outcome(struct control *control,
					const struct source_read *read,
					const struct fetch *fetch,
					struct blob **blob)
{
	*blob = NULL;
	if (fetch->status == 304)
		return DIST_UNCHANGED;
	if (fetch->status == 404)
		return DIST_MISSING;
	if (fetch->status != 200)
		return DIST_FAILED;
	counter_add(&control->source_bytes, fetch->body->len);
	if (!read->call.is_part)
		control->manifest_revision = fetch->revision;
	*blob = blob_new(fetch->body->data, fetch->body->len);
	if (read->call.has_known &&
	    !digest_compare(&(*blob)->digest, &read->call.known))
		return DIST_UNCHANGED;
	return DIST_VALUE;
}

static void source_done(struct fetch *fetch)
{
	struct source_read *read = fetch->ctx;
	struct control *control = read->control;
	enum dist_outcome outcome;
	struct blob *blob;

	outcome = source_outcome(control, read, fetch, &blob);
	if (outcome == DIST_FAILED)
		log_event(LOG_WARNING, "source_read_failed",
			  "path=%s status=%d", log_quote(fetch->path),
			  fetch->status);
	dist_source_result(control->dist, read->call.call, outcome,
			   outcome == DIST_VALUE ? blob : NULL,
			   clock_monotonic_ns());
	if (blob)
		blob_unref(blob);
	g_free(read);
}

static char *source_path(const struct control *control,
			 const struct dist_source_call *call)
{
	char hex[DIGEST_HEX_CHARS + 1];

	if (call->is_part) {
		digest_to_hex(&call->digest, hex);
		return g_strdup_printf("/v1/values/part/%s", hex);
	}
	if (call->wait_ms > 0 && call->has_known)
		return g_strdup_printf("/v1/values/manifest?after=%" PRId64
				       "&wait_ms=%" PRId64,
				       control->manifest_revision,
				       call->wait_ms);
	return g_strdup("/v1/values/manifest");
}

void control_read_source(struct control *control,
			 const struct dist_source_call *call)
{
	struct source_read *read = g_new0(struct source_read, 1);
	struct fetch *fetch = g_new0(struct fetch, 1);

	read->control = control;
	read->call = *call;
	fetch->address = control->options.settings->source;
	fetch->path = source_path(control, call);
	fetch->read_timeout_sec =
		SOURCE_TIMEOUT_SEC + (int)(call->wait_ms / 1000);
	fetch->done = source_done;
	fetch->ctx = read;
	counter_add(&control->source_calls, 1);
	fetch_start(control->fetches, fetch);
}

static void mark_leaving_hosts(struct control *control,
			       const struct host_list *list)
{
	for (size_t i = 0; i < list->nr; i++)
		control->options.ops->mark_leaving(control->options.ctx,
						   list->hosts[i].host,
						   list->hosts[i].leaving);
}

static void host_list_done(struct fetch *fetch)
{
	struct control *control = fetch->ctx;
	struct host_list *list = NULL;
	struct findings findings;

	control->host_list_pending = false;
	findings_init(&findings);
	if (fetch->status == 200) {
		counter_add(&control->hosts_bytes, fetch->body->len);
		list = host_list_parse((const char *)fetch->body->data,
				       fetch->body->len, &findings);
	}
	if (list) {
		dist_host_list(control->dist, list, clock_monotonic_ns());
		mark_leaving_hosts(control, list);
		host_list_unref(list);
	} else {
		log_event(LOG_WARNING, "host_list_read_failed",
			  "status=%d findings=%zu", fetch->status,
			  findings.nr_errors);
	}
	findings_release(&findings);
}

void control_read_host_list(struct control *control, int64_t now)
{
	struct fetch *fetch;
	int64_t half = HOST_LIST_INTERVAL_NS / 2;

	if (now < control->host_list_deadline || control->host_list_pending)
		return;
	/* Jitter spreads the reads of daemons that started at the same time. */
	control->host_list_deadline =
		now + half + (int64_t)rng_below(&control->rng, 2 * half);
	control->host_list_pending = true;
	fetch = g_new0(struct fetch, 1);
	fetch->address = control->options.settings->host_list;
	fetch->path = g_strdup("/v1/hosts");
	fetch->read_timeout_sec = HOST_LIST_TIMEOUT_SEC;
	fetch->done = host_list_done;
	fetch->ctx = control;
	fetch_start(control->fetches, fetch);
}
