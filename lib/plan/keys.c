/* Index of customers' keys: a hash table with open addressing over 128-bit keyed hashes. */
#include "plan/keys.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS_MIN 8
#define FREE_SHARE 2 /* slots for each key, so that runs of taken ones stay short */

_Static_assert(AP_KEYS_SECRET_LEN == crypto_shorthash_siphashx24_KEYBYTES, "length of the secret");

/* A slot is taken if @customer isn't AP_KEY_UNKNOWN. */
typedef struct key_slot {
	unsigned char hash[crypto_shorthash_siphashx24_BYTES];
	uint32_t customer;
} key_slot_t;

struct ap_keys {
	unsigned char secret[AP_KEYS_SECRET_LEN];
	size_t mask; /* number of slots, a power of two, less one */
	size_t n_max;
	size_t n;
	key_slot_t *slots;
};

ap_keys_t *ap_keys_new(const unsigned char *secret, size_t n)
{
	ap_keys_t *keys = calloc(1, sizeof(*keys));
	size_t slots = SLOTS_MIN;

	if (!keys)
		return NULL;
	while (slots < FREE_SHARE * n)
		slots *= 2;
	keys->slots = malloc(slots * sizeof(*keys->slots));
	if (!keys->slots) {
		free(keys);
		return NULL;
	}
	for (size_t i = 0; i < slots; i++)
		keys->slots[i].customer = AP_KEY_UNKNOWN;
	memcpy(keys->secret, secret, sizeof(keys->secret));
	keys->mask = slots - 1;
	keys->n_max = n;
	return keys;
}

void ap_keys_free(ap_keys_t *keys)
{
	if (!keys)
		return;
	free(keys->slots);
	sodium_memzero(keys->secret, sizeof(keys->secret));
	free(keys);
}

/* Returns the slot that holds the key, or the free one where it belongs. */
static key_slot_t *slot_of(const ap_keys_t *keys, const char *key, size_t len, unsigned char *hash)
{
	uint64_t at;

	crypto_shorthash_siphashx24(hash, (const unsigned char *)key, len, keys->secret);
	memcpy(&at, hash, sizeof(at));
	for (;; at++) {
		key_slot_t *slot = &keys->slots[at & keys->mask];

		if (slot->customer == AP_KEY_UNKNOWN ||
		    memcmp(slot->hash, hash, sizeof(slot->hash)) == 0)
			return slot;
	}
}

bool ap_keys_add(ap_keys_t *keys, const char *key, size_t len, uint32_t customer)
{
	unsigned char hash[crypto_shorthash_siphashx24_BYTES];
	key_slot_t *slot = slot_of(keys, key, len, hash);

	if (slot->customer != AP_KEY_UNKNOWN)
		return slot->customer == customer;
	if (keys->n == keys->n_max)
		return false;
	memcpy(slot->hash, hash, sizeof(hash));
	slot->customer = customer;
	keys->n++;
	return true;
}

uint32_t ap_keys_find(const ap_keys_t *keys, const char *key, size_t len)
{
	unsigned char hash[crypto_shorthash_siphashx24_BYTES];

	return slot_of(keys, key, len, hash)->customer;
}
