#ifndef RELAY_INVARIANTS_H
#define RELAY_INVARIANTS_H

#include <map>
#include <string>
#include <vector>

/*
 * Checks the guarantees to callers against the requests that callers sent and
 * those that servers ran. It is separate from the soak, so that a test can show
 * that violations are detected.
 */

/* A request as its caller recorded it. */
struct SentRequest {
	bool order;
	int status; /* 0: no answer */
};

/* How often an invariant was checked and how often it was violated. */
struct CheckResult {
	const char *invariant;
	long checked, violated;
};

/* By request id: what callers sent, and how often servers ran it. */
std::vector<CheckResult>
check_invariants(const std::map<std::string, SentRequest> &sent,
		 const std::map<std::string, int> &runs);

#endif
