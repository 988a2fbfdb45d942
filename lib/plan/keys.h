/*
 * Index of customers' keys. Only keyed hashes are kept, under a secret that the owner draws, so
 * that a key can't be read from memory and the time of a look-up tells nothing about other keys.
 */
#ifndef AP_PLAN_KEYS_H
#define AP_PLAN_KEYS_H

#include "base/base.h"

#define AP_KEYS_SECRET_LEN 16
#define AP_KEY_UNKNOWN UINT32_MAX

typedef struct ap_keys ap_keys_t;

/**
 * ap_keys_new() - creates an empty index.
 * @secret: AP_KEYS_SECRET_LEN random bytes
 * @n: keys that will be added at most
 *
 * Return: NULL when out of memory.
 */
ap_keys_t *ap_keys_new(const unsigned char *secret, size_t n);
void ap_keys_free(ap_keys_t *keys);
/**
 * ap_keys_add() - adds a key.
 * @customer: number of the customer who holds it; not AP_KEY_UNKNOWN
 *
 * Return: false if the index is full, or another customer holds the key.
 */
bool ap_keys_add(ap_keys_t *keys, const char *key, size_t len, uint32_t customer);
/** ap_keys_find() - returns the number of the customer who holds the key, or AP_KEY_UNKNOWN. */
uint32_t ap_keys_find(const ap_keys_t *keys, const char *key, size_t len);

#endif
