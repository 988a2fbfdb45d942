/* Commands for keys: a CURVE key pair for the settings, the hash of a caller's API key. */
#include "ctl.h"

#include <stdio.h>
#include <zmq.h>

ctl_exit_t ctl_keygen(const ctl_options_t *o)
{
	char public_key[AP_CURVE_KEY_MAX];
	char secret_key[AP_CURVE_KEY_MAX];

	if (zmq_curve_keypair(public_key, secret_key) != 0)
		return ctl_fail(CTL_REFUSED, "libzmq is built without CURVE");
	if (o->json)
		ctl_print_json(json_pack("{s:s, s:s}", "public", public_key, "secret", secret_key));
	else
		printf("public = '%s'\nsecret = '%s'\n", public_key, secret_key);
	return CTL_OK;
}

ctl_exit_t ctl_key_hash(const ctl_options_t *o)
{
	char hash[AP_KEY_HASH_TEXT_MAX];

	if (!o->key || !*o->key)
		return ctl_fail(CTL_REFUSED, "key-hash needs a key in ARBUTUSPOND_KEY or --key");
	ap_key_hash(o->key, hash);
	if (o->json)
		ctl_print_json(json_pack("{s:s}", "key_hash", hash));
	else
		puts(hash);
	return CTL_OK;
}
