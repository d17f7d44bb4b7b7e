/* Repairs and parses JSON of several writers, parts of which may be invalid. */
#include "adapters/json_shared.h"

#include <glib.h>
#include <string.h>

#include "adapters/json.h"

/* U+FFFD, which replaces invalid characters: in UTF-8 and as an escape. */
#define REPLACEMENT_CHAR "\xef\xbf\xbd"
#define REPLACEMENT_ESCAPE "\\ufffd"
#define ESCAPE_LEN 6 /* characters of a \u escape */

/* Returns the code unit of a \u escape at TEXT; -1 if there is none. */
static int read_escape(const char *text)
{
	int value = 0;

	if (text[0] != '\\' || text[1] != 'u')
		return -1;
	for (int i = 2; i < ESCAPE_LEN; i++) {
		int digit = g_ascii_xdigit_value(text[i]);

		if (digit < 0)
			return -1;
		value = value * 16 + digit;
	}
	return value;
}

/*
 * Appends the escape at TEXT, or the surrogate pair there, with an unpaired
 * surrogate replaced. Returns the length of what was read.
 */
static size_t repair_escape(GString *out, const char *text)
{
	int first = read_escape(text);
	int second;

	if (first < 0) {
		/* The escaped character must not be taken for a new escape. */
		g_string_append_len(out, text, text[1] ? 2 : 1);
		return text[1] ? 2 : 1;
	}
	second = read_escape(text + ESCAPE_LEN);
	if (first >= 0xd800 && first < 0xdc00 && second >= 0xdc00 &&
	    second < 0xe000) {
		g_string_append_len(out, text, 2 * ESCAPE_LEN);
		return 2 * ESCAPE_LEN;
	}
	if (first >= 0xd800 && first < 0xe000)
		g_string_append(out, REPLACEMENT_ESCAPE);
	else
		g_string_append_len(out, text, ESCAPE_LEN);
	return ESCAPE_LEN;
}

/*
 * Returns the text, owned by the caller, with everything replaced that the
 * library rejects in strings: invalid UTF-8, control characters and unpaired
 * surrogates.
 */
static GString *json_repair(const char *data, size_t len)
{
	char *valid = g_utf8_make_valid(data, (gssize)len);
	GString *out = g_string_sized_new(len);

	for (const char *at = valid; *at;) {
		if (*at == '\\') {
			at += repair_escape(out, at);
			continue;
		}
		g_string_append_c(out, (guchar)*at < ' ' ? ' ' : *at);
		at++;
	}
	g_free(valid);
	return out;
}

/*
 * Returns a parsed JSON object that several writers contributed to, owned by the
 * caller, or NULL with ERR set if it can't be repaired. The library rejects a
 * whole text for one string with invalid UTF-8 or one number out of range; one
 * invalid entry would then hide all others of its page. Replaced characters show
 * up as U+FFFD (see json_is_readable), and integers become reals.
 */
json_t *json_parse_shared(const char *data, size_t len, pd_error_t *err)
{
	json_t *value = json_parse(data, len, err);
	json_error_t at;
	GString *text;

	if (value)
		return value;
	text = json_repair(data, len);
	value = json_loadb(text->str, text->len,
			   JSON_ALLOW_NUL | JSON_DECODE_INT_AS_REAL, &at);
	g_string_free(text, TRUE);
	if (json_is_object(value))
		return value;
	json_decref(value);
	return NULL;
}

/*
 * Returns whether no string in a value contains a replacement character or NUL,
 * so that all are as they were written.
 */
bool json_is_readable(const json_t *value)
{
	const char *key;
	json_t *member;
	size_t i;

	switch (json_typeof(value)) {
	case JSON_STRING:
		return strlen(json_string_value(value)) ==
			       json_string_length(value) &&
		       !strstr(json_string_value(value), REPLACEMENT_CHAR);
	case JSON_ARRAY:
		json_array_foreach(value, i, member)
		{
			if (!json_is_readable(member))
				return false;
		}
		return true;
	case JSON_OBJECT:
		json_object_foreach((json_t *)value, key, member)
		{
			if (strstr(key, REPLACEMENT_CHAR) ||
			    !json_is_readable(member))
				return false;
		}
		return true;
	case JSON_INTEGER:
	case JSON_REAL:
	case JSON_TRUE:
	case JSON_FALSE:
	case JSON_NULL:
		return true;
	}
	return false;
}
