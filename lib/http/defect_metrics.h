#ifndef HTTP_DEFECT_METRICS_H
#define HTTP_DEFECT_METRICS_H

#include "base/counters.h"

/* Malformed messages of the process, by kind, as metrics. */

struct http_defect_metrics;

/* Registers the counters, which must not be freed before the metrics. */
struct http_defect_metrics *http_defect_metrics_new(struct metrics *metrics);

/* Copies the present totals to the counters, before they are rendered. */
void http_defect_metrics_update(struct http_defect_metrics *defects);

#endif
