/* Prints figures and targets. */
#include "print.h"

#include <stdio.h>

static const char *verdict(double figure, double target)
{
	return figure <= target ? "met" : "MISSED";
}

void print_verdict(const char *what, double figure, const char *unit, double target)
{
	printf("  %-46s %10.2f %-8s target %8.1f  %s\n", what, figure, unit, target,
	       verdict(figure, target));
}
