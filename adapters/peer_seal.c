/* Authenticates frames with HMAC-SHA-512-256 (libsodium's crypto_auth). */
#include "adapters/peer_seal.h"

#include <sodium.h>
#include <string.h>

/* For rotation a key file lists the new key first and the old key second. */
#define KEYS_MAX 2

struct peer_keys {
	unsigned char keys[KEYS_MAX][crypto_auth_KEYBYTES];
	unsigned int count;
};

G_STATIC_ASSERT(PEER_SEAL_BYTES == crypto_auth_BYTES);

/*
 * Parses one line of the key file at PATH into KEYS; returns 0, or -1 with ERR
 * set.
 */
static int parse_key(peer_keys_t *keys, const char *line, const char *path,
		     pd_error_t *err)
{
	size_t decoded_len = 0;

	if (keys->count == KEYS_MAX)
		return pd_error_set(err, PD_ERROR_SETTINGS,
				    "%s: expected at most %d keys", path,
				    KEYS_MAX);
	if (sodium_hex2bin(keys->keys[keys->count], crypto_auth_KEYBYTES, line,
			   strlen(line), NULL, &decoded_len, NULL) != 0 ||
	    decoded_len != crypto_auth_KEYBYTES)
		return pd_error_set(err, PD_ERROR_SETTINGS,
				    "%s: expected %u bytes of hex a line", path,
				    crypto_auth_KEYBYTES);
	keys->count++;
	return 0;
}

/*
 * Reads a file of keys, one per line in hex. Frames are sealed with the first
 * key and accepted with any. Returns the keys, owned by the caller, or NULL
 * with ERR set if the file is unreadable or malformed.
 */
peer_keys_t *peer_keys_read(const char *path, pd_error_t *err)
{
	peer_keys_t *keys = g_new0(peer_keys_t, 1);
	char *text = NULL;
	char **lines = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		pd_error_set(err, PD_ERROR_SETTINGS, "can't read %s", path);
		goto error;
	}
	lines = g_strsplit(g_strstrip(text), "\n", -1);
	for (char **line = lines; *line; line++) {
		if (parse_key(keys, g_strstrip(*line), path, err) < 0)
			goto error;
	}
	if (keys->count == 0) {
		pd_error_set(err, PD_ERROR_SETTINGS, "%s: expected a key", path);
		goto error;
	}
	g_strfreev(lines);
	g_free(text);
	return keys;
error:
	g_strfreev(lines);
	g_free(text);
	peer_keys_destroy(keys);
	return NULL;
}

/* Overwrites and frees the keys; NULL is allowed. */
void peer_keys_destroy(peer_keys_t *keys)
{
	if (!keys)
		return;
	sodium_memzero(keys, sizeof(*keys));
	g_free(keys);
}

/* Returns the MAC followed by the message, owned by the caller. */
GBytes *peer_seal(const peer_keys_t *keys, GBytes *message)
{
	gsize len;
	const unsigned char *data = g_bytes_get_data(message, &len);
	unsigned char *sealed = g_malloc(PEER_SEAL_BYTES + len);

	crypto_auth(sealed, data, len, keys->keys[0]);
	memcpy(sealed + PEER_SEAL_BYTES, data, len);
	return g_bytes_new_take(sealed, PEER_SEAL_BYTES + len);
}

/*
 * Verifies a sealed message: DATA holds the MAC, PEER_SEAL_BYTES long, and then
 * the message. Returns 0, or -1 with ERR set if the MAC matches none of the
 * keys.
 */
int peer_unseal(const peer_keys_t *keys, const char *data, size_t len,
		pd_error_t *err)
{
	const unsigned char *seal = (const unsigned char *)data;

	for (unsigned int i = 0; len > PEER_SEAL_BYTES && i < keys->count; i++) {
		if (crypto_auth_verify(seal, seal + PEER_SEAL_BYTES,
				       len - PEER_SEAL_BYTES, keys->keys[i]) == 0)
			return 0;
	}
	return pd_error_set(err, PD_ERROR_SIGNATURE,
			    "peer message: the seal is not by our key");
}
