#ifndef CAPACITY_SERIES_H
#define CAPACITY_SERIES_H

#include <jansson.h>
#include <stddef.h>

/* Measured points of one quantity over another, with a least-squares line. */

#define SERIES_POINTS_MAX 8

struct series {
	const char *name;  /* name and unit of the measured quantity */
	const char *over;  /* the independent quantity */
	double target;	   /* x at which the line is evaluated */
	double factor;	   /* multiplies the slope for printing */
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

/* Fits a line by least squares; with fewer than two points its slope is 0. */
void series_fit(const struct series *series, double *slope, double *offset);

/* Prints the points, the slope and the line's value at the target. */
void series_print(const struct series *series);

json_t *series_json(const struct series *series);

#endif
