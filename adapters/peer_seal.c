/* Seals and opens frames with HMAC-SHA-512-256 by libsodium. */
#include "adapters/peer_seal.h"

#include <sodium.h>
#include <string.h>

/* A key is replaced by putting the new one first and the old one second. */
#define KEYS_MAX 2

struct peer_keys {
	unsigned char keys[KEYS_MAX][crypto_auth_KEYBYTES];
	unsigned int count;
};

G_STATIC_ASSERT(PEER_SEAL_BYTES == crypto_auth_BYTES);

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
 * Reads the keys in a file, one a line in hex: frames are sealed with the first
 * and opened with any. The caller owns them; NULL with ERR set if it is bad.
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

/* Wipes and frees the keys; NULL is allowed. */
void peer_keys_destroy(peer_keys_t *keys)
{
	if (!keys)
		return;
	sodium_memzero(keys, sizeof(*keys));
	g_free(keys);
}

/* Returns the seal followed by the message, owned by the caller. */
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
 * Checks the seal in front of a message; the message follows it in DATA.
 * Returns -1 with ERR set if no key fits.
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
