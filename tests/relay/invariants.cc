#include "invariants.h"

std::vector<CheckResult>
check_invariants(const std::map<std::string, SentRequest> &sent,
		 const std::map<std::string, int> &runs)
{
	CheckResult once = { "an order runs at most once", 0, 0 };
	CheckResult not_run = { "an order answered 503 did not run", 0, 0 };
	CheckResult ran = { "a request answered 200 ran", 0, 0 };
	CheckResult requested = { "what a server ran was sent by a caller", 0,
				  0 };

	for (const auto &one : sent) {
		auto found = runs.find(one.first);
		int nr = found == runs.end() ? 0 : found->second;

		if (one.second.order) {
			once.checked++;
			once.violated += nr > 1;
		}
		if (one.second.order && one.second.status == 503) {
			not_run.checked++;
			not_run.violated += nr > 0;
		}
		if (one.second.status == 200) {
			ran.checked++;
			ran.violated += nr == 0;
		}
	}
	for (const auto &run : runs) {
		requested.checked++;
		requested.violated += !sent.count(run.first);
	}
	return { once, not_run, ran, requested };
}
