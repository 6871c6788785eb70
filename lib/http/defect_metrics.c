#include "http/defect_metrics.h"
#include "http/grammar.h"

struct http_defect_metrics {
	/* Of responses, then of requests. */
	struct counter counters[2][HTTP_NR_DEFECTS];
};

struct http_defect_metrics *http_defect_metrics_new(struct metrics *metrics)
{
	static const char *const messages[] = { "response", "request" };
	struct http_defect_metrics *defects =
		g_new0(struct http_defect_metrics, 1);

	for (int i = 0; i < 2; i++) {
		for (int kind = 1; kind < HTTP_NR_DEFECTS; kind++) {
			struct counter *counter = &defects->counters[i][kind];

			counter->name = g_strdup_printf(
				"godwitspur_malformed_total{message=\"%s\","
				"kind=\"%s\"}",
				messages[i],
				http_defect_name((enum http_defect)kind));
			counter->help = "Messages that were malformed.";
			metrics_add_counter(metrics, counter);
		}
	}
	return defects;
}

void http_defect_metrics_update(struct http_defect_metrics *defects)
{
	for (int i = 0; i < 2; i++)
		for (int kind = 1; kind < HTTP_NR_DEFECTS; kind++)
			counter_set(&defects->counters[i][kind],
				    http_defect_total(i,
						      (enum http_defect)kind));
}
