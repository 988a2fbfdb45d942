/* Times until a change is active and a dead entry is removed on all nodes. */
#include "times.h"

double time_to_activate(fleet_t *f, double *mean)
{
	uint64_t generation;
	ap_usec_t begin = f->sim.now;
	double worst = 0.0, sum = 0.0;
	int up = 0;

	for (int i = 5; i < f->n; i += 10)
		fleet_stop(&f->nodes[i]);
	generation = fleet_change(f, 0);
	fake_run(&f->sim, begin + 60 * AP_SEC);
	for (int i = 0; i < f->n; i++) {
		const node_t *node = &f->nodes[i];
		double took = (double)(node->activated_at - begin) / AP_SEC;

		if (node->down)
			continue;
		if (generation == 0 || node->generation != generation)
			took = 60.0;
		worst = took > worst ? took : worst;
		sum += took;
		up++;
	}
	*mean = sum / up;
	return worst;
}

static bool has_removed(fleet_t *f, int by, int of)
{
	size_t n = ap_member_entries(f->nodes[by].member, f->scratch, ENTRIES_MAX);

	for (size_t i = 0; i < n; i++) {
		if (strcmp(f->scratch[i].id, f->nodes[of].entry.id) == 0)
			return false;
	}
	return true;
}

void time_to_remove(fleet_t *f, double *region, double *fleet)
{
	int dead = 1;
	ap_usec_t begin = f->sim.now;
	bool region_done = false;

	*region = *fleet = 60.0;
	fleet_stop(&f->nodes[dead]);
	for (int t = 1; t <= 600; t++) {
		bool in_region = true, all = true;

		fake_run(&f->sim, begin + t * 100 * AP_MSEC);
		for (int i = 0; i < f->n; i++) {
			bool same;

			if (f->nodes[i].down || has_removed(f, i, dead))
				continue;
			same = strcmp(f->nodes[i].entry.region, f->nodes[dead].entry.region) == 0;
			all = false;
			in_region = in_region && !same;
		}
		if (in_region && !region_done) {
			region_done = true;
			*region = t / 10.0;
		}
		if (all) {
			*fleet = t / 10.0;
			break;
		}
	}
	fleet_start(f, dead);
	fake_run(&f->sim, f->sim.now + 20 * AP_SEC);
}
