/*
 * Keys, signatures and hashes, computed by libsodium and passed as hex strings.
 */
#ifndef PISTACHIO_SIGNING_H
#define PISTACHIO_SIGNING_H

#include <glib.h>

#include "core/error.h"

int signing_init(pd_error_t *err);
void signing_keygen(char **public_key, char **secret_key);
char *signing_sign(const char *secret_key, const char *data, size_t len,
		   pd_error_t *err);
int signing_verify(const char *public_key, const char *signature,
		   const char *data, size_t len, pd_error_t *err);
char *signing_hash(const char *data, size_t len);
char *signing_random_key(void);

#endif
