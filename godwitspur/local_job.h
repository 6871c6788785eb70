#ifndef GODWITSPUR_LOCAL_JOB_H
#define GODWITSPUR_LOCAL_JOB_H

#include "net/rpc.h"
#include "target.h"

/*
 * Runs a request of this ingress on its own target without a link and waits
 * until the deadline (monotonic ns). Takes over the memory of the request;
 * the answer of RPC_DONE is the caller's.
 */
enum rpc_status local_request(struct target *target,
			      const struct traffic_request *request,
			      int64_t deadline, struct traffic_answer *answer);

#endif
