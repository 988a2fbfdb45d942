/*
 * Models and adapters that upstreams are about to unload. The reconciler announces a withdrawal to
 * the region before it unloads a model, so that instances choose other upstreams meanwhile. A
 * withdrawal expires by itself; the latest one by fencing token, then number, counts, whatever the
 * order of arrival.
 */
#include "report/private.h"

#include <stdlib.h>

#define REPEATS 2			/* announcements of a change after the first one */
#define LATE_MESSAGE_TIME (60 * AP_SEC) /* no message is expected to take longer */
#define KEEP_MAX (600 * AP_SEC)		/* a received withdrawal that lasts longer is ignored */
#define WITHDRAWALS_MAX 4096

static ap_withdrawal_t *find_withdrawal(const ap_report_t *r, uint32_t upstream, uint32_t name)
{
	ap_withdrawal_t *w;

	LIST_FOREACH (w, &r->withdrawals, link) {
		if (w->upstream == upstream && w->name == name)
			return w;
	}
	return NULL;
}

static ap_withdrawal_t *find_or_add(ap_report_t *r, uint32_t upstream, uint32_t name)
{
	ap_withdrawal_t *w = find_withdrawal(r, upstream, name);

	if (w || r->n_withdrawals == WITHDRAWALS_MAX)
		return w;
	w = calloc(1, sizeof(*w));
	if (!w)
		abort();
	w->upstream = upstream;
	w->name = name;
	LIST_INSERT_HEAD(&r->withdrawals, w, link);
	r->n_withdrawals++;
	return w;
}

static void remove_withdrawal(ap_report_t *r, ap_withdrawal_t *w)
{
	LIST_REMOVE(w, link);
	r->n_withdrawals--;
	free(w);
}

void report_clear_withdrawals(ap_report_t *r)
{
	ap_withdrawal_t *w = LIST_FIRST(&r->withdrawals), *next;

	LIST_INIT(&r->withdrawals);
	r->n_withdrawals = 0;
	for (; w; w = next) {
		next = LIST_NEXT(w, link);
		free(w);
	}
}

static void notify_models(const ap_report_t *r, const ap_withdrawal_t *w)
{
	const ap_report_upstream_t *up = report_by_hash(r, w->upstream);

	if (up && r->cfg.models)
		r->cfg.models(r->cfg.ctx, up->id);
}

static bool is_newer(const ap_withdrawal_item_t *item, const ap_withdrawal_t *w)
{
	return item->fence > w->fence || (item->fence == w->fence && item->number > w->number);
}

/*
 * Applies @item. @taken is set to the withdrawal that it changed, or to NULL if @item is not newer
 * than the known one or there are too many withdrawals.
 *
 * Return: true when the upstream is now withdrawn and was not before, or the other way round.
 */
static bool apply(ap_report_t *r, const ap_withdrawal_item_t *item, ap_withdrawal_t **taken)
{
	ap_withdrawal_t *w = find_or_add(r, item->upstream, item->name);
	bool before;

	*taken = NULL;
	if (!w || !is_newer(item, w))
		return false;
	before = w->active;
	w->fence = item->fence;
	w->number = item->number;
	w->changed_at = r->now;
	w->until = r->now + (ap_usec_t)item->keep * AP_MSEC;
	w->active = item->keep > 0;
	w->sends_left = 0;
	*taken = w;
	if (w->active != before)
		notify_models(r, w);
	return w->active != before;
}

static ap_withdrawal_item_t item_of(const ap_report_t *r, const ap_withdrawal_t *w)
{
	return (ap_withdrawal_item_t){
		.upstream = w->upstream,
		.name = w->name,
		.fence = w->fence,
		.number = w->number,
		.keep = w->active ? (uint64_t)((w->until - r->now) / AP_MSEC) : 0,
	};
}

void report_receive_withdrawal(ap_report_t *r, const ap_withdrawal_item_t *item)
{
	ap_withdrawal_item_t again;
	ap_withdrawal_t *w;

	if (item->keep > KEEP_MAX / AP_MSEC || !apply(r, item, &w))
		return;
	/* What was received is passed on, so that a lost message does no harm. */
	again = item_of(r, w);
	report_announce_withdrawals(r, &again, 1, false);
}

void ap_report_withdraw(ap_report_t *r, const char *upstream, const char *name, uint64_t fence,
			uint64_t number, ap_usec_t keep, ap_usec_t now)
{
	ap_withdrawal_item_t item = {.upstream = report_id_hash(upstream),
				     .name = ap_report_name_hash(name),
				     .fence = fence,
				     .number = number,
				     .keep = (uint64_t)(keep / AP_MSEC)};
	ap_withdrawal_t *w;
	bool changed;

	r->now = now;
	changed = apply(r, &item, &w);
	if (!w)
		return;
	w->sends_left = 1; /* the next flush announces a renewal */
	if (!changed)
		return;
	w->sends_left = REPEATS;
	report_announce_withdrawals(r, &item, 1, true);
}

bool ap_report_is_withdrawn(const ap_report_t *r, const char *upstream, const char *name)
{
	const ap_withdrawal_t *w =
		find_withdrawal(r, report_id_hash(upstream), ap_report_name_hash(name));

	return w && w->active && r->now < w->until;
}

void report_repeat_withdrawals(ap_report_t *r)
{
	ap_withdrawal_item_t items[WITHDRAWALS_PER_MESSAGE];
	ap_withdrawal_t *w;
	size_t n = 0;

	LIST_FOREACH (w, &r->withdrawals, link) {
		if (w->sends_left == 0 || n == WITHDRAWALS_PER_MESSAGE)
			continue;
		w->sends_left--;
		items[n++] = item_of(r, w);
	}
	if (n > 0)
		report_announce_withdrawals(r, items, n, true);
}

void report_expire_withdrawals(ap_report_t *r)
{
	ap_withdrawal_t *w, *next;

	for (w = LIST_FIRST(&r->withdrawals); w; w = next) {
		next = LIST_NEXT(w, link);
		if (w->active && r->now >= w->until) {
			w->active = false;
			w->sends_left = 0;
			notify_models(r, w);
		}
		/* A revoked or expired one is kept for a while, so that a delayed older message is
		 * ignored. */
		if (!w->active && r->now - w->changed_at >= LATE_MESSAGE_TIME)
			remove_withdrawal(r, w);
	}
}
