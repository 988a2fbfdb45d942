/*
 * Exchanges the configuration with other instances: pushes new heads, compares generations and
 * sends requested segments.
 */
#include "spread/private.h"
#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

#define PUSH_FANOUT 4		       /* peers that get a new head at once */
#define PEER_QUERY_PERIOD (2 * AP_SEC) /* between queries of a peer */
#define START_QUERY_PERIOD AP_SEC      /* between queries until this instance is ready */
#define START_FANOUT 3		       /* peers queried at once until then */

static void send_to(ap_spread_t *s, const char *to, const ap_spread_message_t *msg)
{
	ap_wire_out_t out;

	ap_wire_out_begin(&out, AP_WIRE_SPREAD, s->cfg.self.inc, ++s->seq);
	ap_wire_pack_spread(&out.pk, msg);
	ap_wire_out_send(&out, &s->cfg.peer, to);
	ap_wire_out_end(&out);
}

static ap_spread_message_t new_message(const ap_spread_t *s, ap_spread_type_t type)
{
	ap_spread_message_t msg = {.type = type, .generation = head_generation(s->head)};

	if (s->head)
		msg.nonce = s->head->history[0].nonce;
	return msg;
}

static void send_generation(ap_spread_t *s, const char *to, ap_spread_type_t type)
{
	ap_spread_message_t msg = new_message(s, type);

	send_to(s, to, &msg);
}

static void send_head(ap_spread_t *s, const char *to)
{
	ap_spread_message_t msg = new_message(s, AP_SPREAD_HEAD);
	char *text = head_format(s->head);

	msg.data = text;
	msg.len = strlen(text);
	send_to(s, to, &msg);
	free(text);
}

static bool in_own_region(const ap_spread_t *s, const ap_entry_t *entry)
{
	return strcmp(entry->region, s->cfg.self.region) == 0;
}

/* Returns a random peer in @region, or NULL if there is none. */
static const ap_entry_t *random_in_region(ap_spread_t *s, const char *region)
{
	const ap_entry_t *pick = NULL;
	size_t seen = 0;

	for (size_t i = 0; i < s->n_entries; i++) {
		if (strcmp(s->entries[i].region, region) != 0)
			continue;
		if (ap_rng_below(&s->rng, ++seen) == 0)
			pick = &s->entries[i];
	}
	return pick;
}

const ap_entry_t *spread_random_peer(ap_spread_t *s)
{
	const ap_entry_t *pick = random_in_region(s, s->cfg.self.region);

	if (pick || s->n_entries == 0)
		return pick;
	return &s->entries[ap_rng_below(&s->rng, s->n_entries)];
}

static bool region_seen_before(const ap_spread_t *s, size_t at)
{
	for (size_t i = 0; i < at; i++) {
		if (strcmp(s->entries[i].region, s->entries[at].region) == 0)
			return true;
	}
	return false;
}

static void for_each_remote_region(ap_spread_t *s, void (*send)(ap_spread_t *, const char *))
{
	for (size_t i = 0; i < s->n_entries; i++) {
		const ap_entry_t *peer;

		if (in_own_region(s, &s->entries[i]) || region_seen_before(s, i))
			continue;
		peer = random_in_region(s, s->entries[i].region);
		send(s, peer->id);
	}
}

static void send_query(ap_spread_t *s, const char *to)
{
	send_generation(s, to, AP_SPREAD_QUERY);
}

void spread_push_head(ap_spread_t *s)
{
	for (int i = 0; i < PUSH_FANOUT; i++) {
		const ap_entry_t *peer = spread_random_peer(s);

		if (peer)
			send_head(s, peer->id);
	}
	if (s->delegate)
		for_each_remote_region(s, send_head);
}

void spread_request_segments(ap_spread_t *s)
{
	ap_spread_message_t msg = new_message(s, AP_SPREAD_REQUEST);
	const ap_head_t *head = s->fetch.head;

	for (size_t i = 0; i < head->n; i++) {
		if (segment_find(s->segments, head->segments[i]))
			continue;
		msg.ids[msg.n_ids++] = head->segments[i];
		if (msg.n_ids < SEGMENT_REQUEST_MAX)
			continue;
		send_to(s, s->fetch.from, &msg);
		msg.n_ids = 0;
	}
	if (msg.n_ids > 0)
		send_to(s, s->fetch.from, &msg);
}

static void send_segments(ap_spread_t *s, const char *to, const ap_spread_message_t *want)
{
	for (size_t i = 0; i < want->n_ids; i++) {
		const ap_segment_t *seg = segment_find(s->segments, want->ids[i]);
		ap_spread_message_t msg = new_message(s, AP_SPREAD_SEGMENT);

		if (!seg)
			continue;
		msg.data = seg->text;
		msg.len = seg->len;
		send_to(s, to, &msg);
	}
}

static void compare_generations(ap_spread_t *s, const char *from, const ap_spread_message_t *msg)
{
	uint64_t own = head_generation(s->head);

	if (msg->generation > own) {
		if (!s->fetch.head)
			send_generation(s, from, AP_SPREAD_QUERY);
		return;
	}
	s->peers_confirmed++;
	if (msg->generation < own || (own > 0 && !ap_id_eq(msg->nonce, s->head->history[0].nonce)))
		send_head(s, from);
	else if (msg->type == AP_SPREAD_QUERY)
		send_generation(s, from, AP_SPREAD_DIGEST);
}

void spread_handle_message(ap_spread_t *s, const char *from, const ap_spread_message_t *msg)
{
	ap_head_t *head;

	s->peer_heard_at = s->now;
	switch (msg->type) {
	case AP_SPREAD_DIGEST:
	case AP_SPREAD_QUERY:
		compare_generations(s, from, msg);
		break;
	case AP_SPREAD_HEAD:
		head = head_parse(msg->data, msg->len, NULL);
		if (head && !spread_offer_head(s, head, from))
			s->peers_confirmed++;
		break;
	case AP_SPREAD_REQUEST:
		send_segments(s, from, msg);
		break;
	case AP_SPREAD_SEGMENT:
		spread_segment_received(s, msg->data, msg->len);
		break;
	}
}

void spread_peers_tick(ap_spread_t *s)
{
	if (s->now >= s->next_query && s->n_entries > 0) {
		s->next_query = s->now + (s->ready ? PEER_QUERY_PERIOD : START_QUERY_PERIOD);
		for (int i = 0; i < (s->ready ? 1 : START_FANOUT); i++)
			send_query(s, spread_random_peer(s)->id);
	}
	if (s->delegate && s->now >= s->next_region_query) {
		s->next_region_query = s->now + REGION_QUERY_PERIOD;
		for_each_remote_region(s, send_query);
	}
}
