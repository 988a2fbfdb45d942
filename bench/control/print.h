/* Prints figures beside their targets, which are stated for a fleet of 420 nodes. */
#ifndef AP_BENCH_PRINT_H
#define AP_BENCH_PRINT_H

#define BYTES_TARGET 18000.0	  /* per second and node, sent and received */
#define CORE_TARGET 3.2		  /* per cent of a core */
#define MEMORY_TARGET 128.0	  /* MB */
#define CONVERGENCE_TARGET 17.0	  /* seconds until all nodes know a change or a failure */
#define STORE_IDLE_TARGET 30.0	  /* calls per second by the whole fleet */
#define STORE_WRITES_TARGET 200.0 /* per second by the whole fleet, in the worst minute */
#define STORE_READS_TARGET 1000.0 /* likewise */

/** print_verdict() - prints a figure, its target and whether the figure is at most the target. */
void print_verdict(const char *what, double figure, const char *unit, double target);

#endif
