#ifndef CAPACITY_SERIES_H
#define CAPACITY_SERIES_H

#include <jansson.h>
#include <stddef.h>

/* Measured points of one quantity over another, and a line through them. */

#define SERIES_POINTS_MAX 8

struct series {
	const char *name;  /* of the quantity, with its unit */
	const char *over;  /* what it is measured over */
	double target;	   /* where the line is evaluated */
	double factor;	   /* from the slope to the printed slope */
	const char *slope; /* unit of the printed slope */
	size_t nr;
	double x[SERIES_POINTS_MAX];
	double y[SERIES_POINTS_MAX];
};

#define SERIES(name_, over_, target_, factor_, slope_)           \
	{                                                        \
		.name = name_, .over = over_, .target = target_, \
		.factor = factor_, .slope = slope_               \
	}

void series_add(struct series *series, double x, double y);

/* The line of least squares; a slope of 0 through fewer than two points. */
void series_fit(const struct series *series, double *slope, double *offset);

/* Prints the points, the slope and the value at the target. */
void series_print(const struct series *series);

json_t *series_json(const struct series *series);

#endif
