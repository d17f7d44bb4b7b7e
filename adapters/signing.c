/* Ed25519 signatures and BLAKE2b hashes with libsodium. */
#include "adapters/signing.h"

#include <sodium.h>
#include <string.h>

/*
 * Initializes libsodium; must be called before any other function here. Returns
 * 0, or -1 with ERR set.
 */
int signing_init(pd_error_t *err)
{
	if (sodium_init() < 0)
		return pd_error_set(err, PD_ERROR_UNAVAILABLE,
				    "can't initialize libsodium");
	return 0;
}

/* Returns LEN bytes as a hex string, owned by the caller. */
static char *to_hex(const unsigned char *bytes, size_t len)
{
	char *hex = g_malloc(len * 2 + 1);

	sodium_bin2hex(hex, len * 2 + 1, bytes, len);
	return hex;
}

/*
 * Decodes exactly LEN bytes from a hex string; spaces and line ends are
 * ignored. Returns 0, or -1 if the string holds anything else.
 */
static int from_hex(const char *hex, unsigned char *bytes, size_t len)
{
	size_t decoded_len = 0;

	if (sodium_hex2bin(bytes, len, hex, strlen(hex), "\r\n ", &decoded_len,
			   NULL) != 0 ||
	    decoded_len != len)
		return -1;
	return 0;
}

/* Generates an Ed25519 key pair in hex; the caller owns both strings. */
void signing_keygen(char **public_key, char **secret_key)
{
	unsigned char public_bytes[crypto_sign_PUBLICKEYBYTES];
	unsigned char secret_bytes[crypto_sign_SECRETKEYBYTES];

	crypto_sign_keypair(public_bytes, secret_bytes);
	*public_key = to_hex(public_bytes, sizeof(public_bytes));
	*secret_key = to_hex(secret_bytes, sizeof(secret_bytes));
	sodium_memzero(secret_bytes, sizeof(secret_bytes));
}

/*
 * Returns the signature of DATA in hex, owned by the caller, or NULL with ERR
 * set if the secret key is malformed.
 */
char *signing_sign(const char *secret_key, const char *data, size_t len,
		   pd_error_t *err)
{
	unsigned char secret[crypto_sign_SECRETKEYBYTES];
	unsigned char signature[crypto_sign_BYTES];

	if (from_hex(secret_key, secret, sizeof(secret)) < 0) {
		pd_error_set(err, PD_ERROR_SIGNATURE,
			     "secret key: expected %zu bytes of hex",
			     sizeof(secret));
		return NULL;
	}
	crypto_sign_detached(signature, NULL, (const unsigned char *)data, len,
			     secret);
	sodium_memzero(secret, sizeof(secret));
	return to_hex(signature, sizeof(signature));
}

/*
 * Verifies a signature in hex with a public key in hex. Returns 0, or -1 with
 * ERR set if the key is malformed or the signature is invalid.
 */
int signing_verify(const char *public_key, const char *signature,
		   const char *data, size_t len, pd_error_t *err)
{
	unsigned char key[crypto_sign_PUBLICKEYBYTES];
	unsigned char bytes[crypto_sign_BYTES];

	if (from_hex(public_key, key, sizeof(key)) < 0)
		return pd_error_set(err, PD_ERROR_SIGNATURE,
				    "public key: expected %zu bytes of hex",
				    sizeof(key));
	if (from_hex(signature, bytes, sizeof(bytes)) < 0 ||
	    crypto_sign_verify_detached(bytes, (const unsigned char *)data, len,
					key) != 0)
		return pd_error_set(err, PD_ERROR_SIGNATURE,
				    "signature does not match the operators' "
				    "public key");
	return 0;
}

/* Returns the BLAKE2b-256 hash of DATA in hex, owned by the caller. */
char *signing_hash(const char *data, size_t len)
{
	unsigned char hash[crypto_generichash_BYTES];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)data, len,
			   NULL, 0);
	return to_hex(hash, sizeof(hash));
}

/*
 * Returns a new random 256-bit key in hex, for an account or for peers, owned
 * by the caller.
 */
char *signing_random_key(void)
{
	unsigned char bytes[32];

	randombytes_buf(bytes, sizeof(bytes));
	return to_hex(bytes, sizeof(bytes));
}
