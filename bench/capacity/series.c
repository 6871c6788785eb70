#include <stdio.h>

#include "series.h"

void series_add(struct series *series, double x, double y)
{
	if (series->nr == SERIES_POINTS_MAX)
		return;
	series->x[series->nr] = x;
	series->y[series->nr++] = y;
}

void series_fit(const struct series *series, double *slope, double *offset)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, n = (double)series->nr;
	double d;

	for (size_t i = 0; i < series->nr; i++) {
		sx += series->x[i];
		sy += series->y[i];
		sxx += series->x[i] * series->x[i];
		sxy += series->x[i] * series->y[i];
	}
	d = n * sxx - sx * sx;
	*slope = d > 0 ? (n * sxy - sx * sy) / d : 0;
	*offset = n > 0 ? (sy - *slope * sx) / n : 0;
}

void series_print(const struct series *series)
{
	double slope, offset;

	series_fit(series, &slope, &offset);
	printf("%-32s over %-16s", series->name, series->over);
	for (size_t i = 0; i < series->nr; i++)
		printf(" %g:%.3g", series->x[i], series->y[i]);
	printf(" | slope %.4g %s, offset %.3g, at %g: %.3g\n",
	       slope * series->factor, series->slope, offset, series->target,
	       offset + slope * series->target);
}

json_t *series_json(const struct series *series)
{
	json_t *points = json_array();
	double slope, offset;

	series_fit(series, &slope, &offset);
	for (size_t i = 0; i < series->nr; i++)
		json_array_append_new(points, json_pack("[f, f]", series->x[i],
							series->y[i]));
	return json_pack("{s:s, s:s, s:o, s:f, s:f, s:f, s:f}", "name",
			 series->name, "over", series->over, "points", points,
			 "slope", slope, "offset", offset, "target",
			 series->target, "at_target",
			 offset + slope * series->target);
}
