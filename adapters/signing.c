/* Ed25519 and BLAKE2b by libsodium. */
#include "adapters/signing.h"

#include <sodium.h>
#include <string.h>

/* Readies the library; the first thing a program does with it. */
int signing_init(pd_error_t *err)
{
	if (sodium_init() < 0)
		return pd_error_set(err, PD_ERROR_UNAVAILABLE,
				    "libsodium can't start");
	return 0;
}

static char *to_hex(const unsigned char *bytes, size_t len)
{
	char *hex = g_malloc(len * 2 + 1);

	sodium_bin2hex(hex, len * 2 + 1, bytes, len);
	return hex;
}

static int from_hex(const char *hex, unsigned char *bytes, size_t len)
{
	size_t decoded_len = 0;

	if (sodium_hex2bin(bytes, len, hex, strlen(hex), "\r\n ", &decoded_len,
			   NULL) != 0 ||
	    decoded_len != len)
		return -1;
	return 0;
}

/* Makes a pair of keys in hex; the caller owns both strings. */
void signing_keygen(char **public_key, char **secret_key)
{
	unsigned char public_bytes[crypto_sign_PUBLICKEYBYTES];
	unsigned char secret_bytes[crypto_sign_SECRETKEYBYTES];

	crypto_sign_keypair(public_bytes, secret_bytes);
	*public_key = to_hex(public_bytes, sizeof(public_bytes));
	*secret_key = to_hex(secret_bytes, sizeof(secret_bytes));
	sodium_memzero(secret_bytes, sizeof(secret_bytes));
}

/* Returns the signature of DATA in hex, owned by the caller. */
char *signing_sign(const char *secret_key, const char *data, size_t len,
		   pd_error_t *err)
{
	unsigned char secret[crypto_sign_SECRETKEYBYTES];
	unsigned char signature[crypto_sign_BYTES];

	if (from_hex(secret_key, secret, sizeof(secret)) < 0) {
		pd_error_set(err, PD_ERROR_SIGNATURE,
			     "the secret key is not %zu bytes of hex",
			     sizeof(secret));
		return NULL;
	}
	crypto_sign_detached(signature, NULL, (const unsigned char *)data, len,
			     secret);
	sodium_memzero(secret, sizeof(secret));
	return to_hex(signature, sizeof(signature));
}

/* Checks a signature in hex against a public key in hex. */
int signing_verify(const char *public_key, const char *signature,
		   const char *data, size_t len, pd_error_t *err)
{
	unsigned char key[crypto_sign_PUBLICKEYBYTES];
	unsigned char bytes[crypto_sign_BYTES];

	if (from_hex(public_key, key, sizeof(key)) < 0)
		return pd_error_set(err, PD_ERROR_SIGNATURE,
				    "the public key is not %zu bytes of hex",
				    sizeof(key));
	if (from_hex(signature, bytes, sizeof(bytes)) < 0 ||
	    crypto_sign_verify_detached(bytes, (const unsigned char *)data, len,
					key) != 0)
		return pd_error_set(err, PD_ERROR_SIGNATURE,
				    "the signature is not the operators'");
	return 0;
}

/* Returns the BLAKE2b-256 of DATA in hex, owned by the caller. */
char *signing_hash(const char *data, size_t len)
{
	unsigned char hash[crypto_generichash_BYTES];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)data, len,
			   NULL, 0);
	return to_hex(hash, sizeof(hash));
}

/* Returns a fresh random key in hex, for an account or for peers, owned by the caller. */
char *signing_random_key(void)
{
	unsigned char bytes[32];

	randombytes_buf(bytes, sizeof(bytes));
	return to_hex(bytes, sizeof(bytes));
}
