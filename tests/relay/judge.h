#ifndef RELAY_JUDGE_H
#define RELAY_JUDGE_H

#include <map>
#include <string>
#include <vector>

/*
 * Judges the promises to callers from what callers and servers saw; kept apart
 * from the soak, so that planted faults show that it catches them.
 */

/* A request as its caller saw it. */
struct Sent {
	bool order;
	int status; /* 0: no answer */
};

/* A promise, how often it had something to judge, and how often it broke. */
struct Check {
	const char *promise;
	long judged, broken;
};

/* By request id: what was sent, and how often servers ran it. */
std::vector<Check> judge(const std::map<std::string, Sent> &sent,
			 const std::map<std::string, int> &runs);

#endif
