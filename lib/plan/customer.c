/* Customers of a plan: regions and the use of allowances. */
#include "plan/customer.h"

#include <string.h>

bool ap_customer_allows_region(const ap_customer_t *c, const char *region)
{
	if (!c || c->n_homes == 0)
		return true;
	for (size_t i = 0; i < c->n_homes; i++) {
		if (strcmp(c->homes[i], region) == 0)
			return true;
	}
	return false;
}

bool ap_customer_limited(const ap_customer_t *c)
{
	return c && c->rate > 0;
}

double ap_customer_cost(const ap_customer_t *c, bool counted, uint64_t tokens)
{
	if (c->unit == AP_UNIT_REQUESTS)
		return 1;
	return counted ? (double)tokens : c->plain_tokens;
}
