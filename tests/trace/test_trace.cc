#include <gtest/gtest.h>

#include <cstdio>
#include <string>

extern "C" {
#include "trace/trace.h"
}

namespace
{

void read_text(struct trace *trace, const std::string &text, const char *name)
{
	FILE *log = fmemopen((void *)text.data(), text.size(), "r");

	EXPECT_TRUE(trace_read(trace, log, name));
	fclose(log);
}

std::string print(struct trace *trace)
{
	char *text = nullptr;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);
	std::string result;

	trace_print(trace, out);
	fclose(out);
	result.assign(text, size);
	free(text);
	return result;
}

/* Log lines of two hosts, recorded in runs of the bench. */
const char *const CALLER_LOG =
	"<6>ts=1780506245.100 event=attempt_failed id=ab1 attempt=1 "
	"backend=i-1 reason=target-deadline sent=0 left_ms=300\n"
	"<6>ts=1780506245.110 event=request_failed id=ab12 route=other "
	"reason=deadline outcome=unknown status=504 held_ms=9\n"
	"<6>ts=1780506245.120 event=request_failed suppressed=3 id=ab1 "
	"route=stock version=7 service=shop reason=target-deadline "
	"outcome=not-run status=503 placed=1 sent=0 held_ms=21 left_ms=280\n";
const char *const SERVER_LOG =
	"<6>ts=1780506245.105 event=admission_refused id=ab1 "
	"reason=target-deadline running=8 queued=20\n";

/* Guards against lines that are missing, unsorted or of other requests. */
TEST(Trace, SortsLinesOfAllHosts)
{
	struct trace *trace = trace_new("ab1");
	std::string text;

	read_text(trace, SERVER_LOG, "server");
	read_text(trace, CALLER_LOG, "caller");
	EXPECT_EQ(trace_nr_lines(trace), 3u);
	text = print(trace);
	EXPECT_LT(text.find("attempt_failed"), text.find("admission_refused"));
	EXPECT_LT(text.find("admission_refused"), text.find("request_failed"));
	EXPECT_EQ(text.find("ab12"), std::string::npos);
	EXPECT_NE(text.find("ab1 failed at caller after 21 ms, route stock: "
			    "target-deadline: the servers of its service are "
			    "at capacity"),
		  std::string::npos)
		<< text;
	EXPECT_NE(text.find("has not run and may be sent again"),
		  std::string::npos);
	trace_free(trace);
}

/* Guards against a summary that claims more than the logged outcome. */
TEST(Trace, SummarizesHowRequestEnded)
{
	static const struct {
		const char *log, *sentence;
	} cases[] = {
		{ "<6>ts=1.000 event=request_failed id=x route=r "
		  "reason=backend-lost outcome=unknown held_ms=5\n",
		  "It may have run." },
		{ "<6>ts=1.000 event=request_refused id=x reason=no-route "
		  "status=404\n",
		  "refused at log before it was routed: no-route" },
		{ "<6>ts=1.000 event=request_served id=x status=200\n",
		  "x was answered at log." },
		{ "<6>ts=1.000 event=admission_refused id=x reason=version\n",
		  "the log of its caller's host is missing" },
		{ "no line of this form id=\n<6>id=\n",
		  "no line in these logs" },
		{ "<6>event=request_failed id=x\n", "x failed at log" },
	};

	for (const auto &test_case : cases) {
		struct trace *trace = trace_new("x");
		std::string text;

		read_text(trace, test_case.log, "log");
		text = print(trace);
		EXPECT_NE(text.find(test_case.sentence), std::string::npos)
			<< text;
		trace_free(trace);
	}
}

} // namespace
