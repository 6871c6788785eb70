#ifndef GODWITSPUR_LOCAL_JOB_H
#define GODWITSPUR_LOCAL_JOB_H

#include "net/rpc.h"
#include "target.h"

/*
 * Runs a request on the target of the same daemon, without a link, and waits
 * until the deadline (monotonic ns). Takes ownership of the request's memory;
 * on RPC_DONE the caller frees the answer with xdr_free().
 */
enum rpc_status local_request(struct target *target,
			      const struct traffic_request *request,
			      int64_t deadline, struct traffic_answer *answer);

#endif
