#include <string.h>

#include "base/completion.h"
#include "local_job.h"

/* A request of the ingress for the backend server of the same host. */
struct local_job {
	struct target_job job; /* first: callbacks cast back */
	int refs;
	struct completion completion;
	struct traffic_answer answer;
};

static void local_unref(struct local_job *local)
{
	if (!g_atomic_int_dec_and_test(&local->refs))
		return;
	xdr_free((xdrproc_t)xdr_traffic_answer, &local->answer);
	completion_release(&local->completion);
	g_free(local);
}

static void local_reply(struct target_job *job, struct traffic_answer *answer)
{
	struct local_job *local = (struct local_job *)job;

	local->answer = *answer;
	memset(answer, 0, sizeof(*answer));
	completion_signal(&local->completion);
}

static void local_free(struct target_job *job)
{
	local_unref((struct local_job *)job);
}

static struct local_job *local_new(const struct traffic_request *request)
{
	struct local_job *local = g_new0(struct local_job, 1);

	local->refs = 2; /* the waiting thread and the target */
	local->job.request = *request;
	local->job.reply = local_reply;
	local->job.free = local_free;
	completion_init(&local->completion);
	return local;
}

enum rpc_status local_request(struct target *target,
			      const struct traffic_request *request,
			      int64_t deadline, struct traffic_answer *answer)
{
	struct local_job *local = local_new(request);
	enum rpc_status status = RPC_TIMED_OUT;

	target_submit(target, &local->job);
	if (completion_wait(&local->completion, deadline)) {
		*answer = local->answer;
		memset(&local->answer, 0, sizeof(local->answer));
		status = RPC_DONE;
	}
	local_unref(local);
	return status;
}
