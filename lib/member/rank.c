/* Assignment of duties to instances by rendezvous hash. */
#include "member/member.h"

#include <string.h>

static bool eligible(const ap_entry_t *e, const char *region, const char *data_centre)
{
	if (e->draining)
		return false;
	if (region && strcmp(region, e->region) != 0)
		return false;
	return !data_centre || strcmp(data_centre, e->data_centre) == 0;
}

size_t ap_member_rank(const ap_entry_t *entries, size_t n, const char *key, const char *region,
		      const char *data_centre, const ap_entry_t **out, size_t k)
{
	double scores[AP_DUTY_MAX];
	uint64_t duty = ap_hash_str(key, 0);
	size_t kept = 0;

	if (k > AP_DUTY_MAX)
		k = AP_DUTY_MAX;
	for (size_t i = 0; i < n; i++) {
		double score;
		size_t at;

		if (!eligible(&entries[i], region, data_centre))
			continue;
		score = ap_rendezvous(duty, ap_hash_str(entries[i].id, 0), 1.0);
		at = kept < k ? kept++ : k;
		while (at > 0 && scores[at - 1] < score) {
			if (at < k) {
				scores[at] = scores[at - 1];
				out[at] = out[at - 1];
			}
			at--;
		}
		if (at < k) {
			scores[at] = score;
			out[at] = &entries[i];
		}
	}
	return kept;
}

bool ap_member_has_duty(const ap_entry_t *entries, size_t n, const char *key, const char *region,
			const char *data_centre, const char *id, size_t k)
{
	const ap_entry_t *first[AP_DUTY_MAX];
	size_t found = ap_member_rank(entries, n, key, region, data_centre, first, k);

	for (size_t i = 0; i < found; i++) {
		if (strcmp(first[i]->id, id) == 0)
			return true;
	}
	return false;
}
