/* Figures beside the targets that are stated for 420 nodes. */
#ifndef AP_BENCH_PRINT_H
#define AP_BENCH_PRINT_H

#define BYTES_TARGET 18000.0	  /* a second and node, both ways */
#define CORE_TARGET 3.2		  /* per cent of a core */
#define MEMORY_TARGET 128.0	  /* MB */
#define CONVERGENCE_TARGET 17.0	  /* seconds */
#define STORE_IDLE_TARGET 30.0	  /* calls a second, whole fleet */
#define STORE_WRITES_TARGET 200.0 /* a second, in the worst minute */
#define STORE_READS_TARGET 1000.0

/** row() - prints one figure, its target and whether that is met: a lower figure is better. */
void print_verdict(const char *what, double figure, const char *unit, double target);

#endif
