#include "judge.h"

std::vector<Check> judge(const std::map<std::string, Sent> &sent,
			 const std::map<std::string, int> &runs)
{
	Check once = { "an order runs at most once", 0, 0 };
	Check not_run = { "an order answered 503 did not run", 0, 0 };
	Check ran = { "a request answered 200 ran", 0, 0 };
	Check asked = { "what a server ran was sent by a caller", 0, 0 };

	for (const auto &one : sent) {
		auto found = runs.find(one.first);
		int nr = found == runs.end() ? 0 : found->second;

		if (one.second.order) {
			once.judged++;
			once.broken += nr > 1;
		}
		if (one.second.order && one.second.status == 503) {
			not_run.judged++;
			not_run.broken += nr > 0;
		}
		if (one.second.status == 200) {
			ran.judged++;
			ran.broken += nr == 0;
		}
	}
	for (const auto &run : runs) {
		asked.judged++;
		asked.broken += !sent.count(run.first);
	}
	return { once, not_run, ran, asked };
}
