/* Repairs and parses JSON of several writers, parts of which may be invalid. */
#include "adapters/json_shared.h"

#include <glib.h>
#include <string.h>

#include "adapters/json.h"

/* U+FFFD, which replaces invalid characters: in UTF-8 and as an escape. */
#define REPLACEMENT_CHAR "\xef\xbf\xbd"
#define REPLACEMENT_ESCAPE "\\ufffd"
#define ESCAPE_LEN 6 /* characters of a \u escape */
/* Arrays and objects within each other in which what is invalid is looked for. */
#define DEPTH_MAX 16

/* The part of a text that is still to be read. */
typedef struct cursor {
	const char *at;
	const char *end;
	bool is_truncated; /* an array or object has no end */
} cursor_t;

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
 * Returns the text of a string, owned by the caller, with everything replaced that the
 * library rejects in strings: invalid UTF-8, control characters and unpaired surrogates.
 */
static GString *repair_string(const char *data, size_t len)
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

/* Returns a string that is not readable; the caller owns it. */
static json_t *unreadable(void)
{
	return json_string(REPLACEMENT_CHAR);
}

/* Returns whether C is a space or control character, which mean nothing between values. */
static bool is_space(char c)
{
	return (guchar)c <= ' ';
}

/* Returns whether C separates or closes values. */
static bool is_delimiter(char c)
{
	return strchr(",:[]{}", c) && c;
}

static void skip_space(cursor_t *cursor)
{
	while (cursor->at < cursor->end && is_space(*cursor->at))
		cursor->at++;
}

/* Returns the next character that is no space, or NUL at the end of the text. */
static char peek(cursor_t *cursor)
{
	skip_space(cursor);
	if (cursor->at >= cursor->end)
		return '\0';
	return *cursor->at;
}

/* Skips a string, whose quote is next. */
static void skip_string(cursor_t *cursor)
{
	cursor->at++;
	while (cursor->at < cursor->end && *cursor->at != '"')
		cursor->at += *cursor->at == '\\' && cursor->at + 1 < cursor->end
				      ? 2
				      : 1;
	if (cursor->at < cursor->end)
		cursor->at++;
}

/* Skips up to the comma, bracket or end of the text that follows the value. */
static void skip_value(cursor_t *cursor)
{
	size_t depth = 0;

	while (cursor->at < cursor->end) {
		char c = *cursor->at;

		if (c == '"') {
			skip_string(cursor);
			continue;
		}
		if (!depth && (c == ',' || c == ']' || c == '}'))
			return;
		if (c == '[' || c == '{')
			depth++;
		if (c == ']' || c == '}')
			depth--;
		cursor->at++;
	}
}

/* Reads a string that the library rejects. Returns what is left of it; owned. */
static json_t *read_string(cursor_t *cursor)
{
	const char *start = cursor->at;
	GString *text;
	json_t *value;

	skip_string(cursor);
	text = repair_string(start, (size_t)(cursor->at - start));
	value = json_loadb(text->str, text->len,
			   JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);
	g_string_free(text, TRUE);
	return value ? value : unreadable();
}

/*
 * Reads a number or word that the library rejects. Returns a real for an integer that
 * is too large; owned.
 */
static json_t *read_scalar(cursor_t *cursor)
{
	const char *start = cursor->at;
	json_t *value;

	while (cursor->at < cursor->end && !is_space(*cursor->at) &&
	       !is_delimiter(*cursor->at) && *cursor->at != '"')
		cursor->at++;
	value = json_loadb(start, (size_t)(cursor->at - start),
			   JSON_DECODE_ANY | JSON_DECODE_INT_AS_REAL, NULL);
	return value ? value : unreadable();
}

static json_t *read_value(cursor_t *cursor, unsigned int depth);

/*
 * Reads the value of a member or element and whatever follows it up to a comma or
 * bracket, which makes it unreadable. Returns it; owned.
 */
static json_t *read_item(cursor_t *cursor, unsigned int depth)
{
	json_t *value = read_value(cursor, depth);

	switch (peek(cursor)) {
	case '\0':
	case ',':
	case ']':
	case '}':
		return value;
	default:
		skip_value(cursor);
		json_decref(value);
		return unreadable();
	}
}

/* Reads an array that the library rejects. Returns what can be read of it; owned. */
static json_t *read_array(cursor_t *cursor, unsigned int depth)
{
	json_t *array = json_array();
	char next;

	cursor->at++;
	while ((next = peek(cursor)) && next != ']') {
		/* The other bracket closes nothing here. */
		if (next == ',' || next == '}')
			cursor->at++;
		else
			json_array_append_new(array, read_item(cursor, depth + 1));
	}
	cursor->is_truncated |= !next;
	cursor->at += next != '\0';
	return array;
}

/* Reads the key of a member. Returns a string without NUL; owned. */
static json_t *read_key(cursor_t *cursor)
{
	json_t *key = read_value(cursor, DEPTH_MAX);

	if (json_is_string(key) &&
	    strlen(json_string_value(key)) == json_string_length(key))
		return key;
	json_decref(key);
	return unreadable();
}

/* Reads a member whose key is next into OBJECT. */
static void read_member(cursor_t *cursor, json_t *object, unsigned int depth)
{
	json_t *key = read_key(cursor);
	json_t *value;

	if (peek(cursor) == ':') {
		cursor->at++;
		value = read_item(cursor, depth + 1);
	} else {
		skip_value(cursor);
		value = unreadable();
	}
	json_object_set_new(object, json_string_value(key), value);
	json_decref(key);
}

/* Reads an object that the library rejects. Returns what can be read of it; owned. */
static json_t *read_object(cursor_t *cursor, unsigned int depth)
{
	json_t *object = json_object();
	char next;

	cursor->at++;
	while ((next = peek(cursor)) && next != '}') {
		if (next == ',' || next == ']')
			cursor->at++;
		else
			read_member(cursor, object, depth);
	}
	cursor->is_truncated |= !next;
	cursor->at += next != '\0';
	return object;
}

/*
 * Reads a value: by the library if it accepts it, else part by part, so that only the
 * part that it rejects is lost. Returns it; owned.
 */
static json_t *read_value(cursor_t *cursor, unsigned int depth)
{
	json_error_t read; /* how far, if the value is valid */
	json_t *value;
	char next = peek(cursor);

	value = json_loadb(cursor->at, (size_t)(cursor->end - cursor->at),
			   JSON_REJECT_DUPLICATES | JSON_DECODE_ANY |
				   JSON_DISABLE_EOF_CHECK,
			   &read);
	if (value) {
		cursor->at += read.position;
		return value;
	}
	if (next == '"')
		return read_string(cursor);
	if (next != '[' && next != '{')
		return read_scalar(cursor);
	if (depth >= DEPTH_MAX) {
		skip_value(cursor);
		return unreadable();
	}
	return next == '[' ? read_array(cursor, depth)
			   : read_object(cursor, depth);
}

/*
 * Returns a parsed JSON object that several writers contributed to, owned by the
 * caller, or NULL with ERR set if it is no object or is truncated. The library rejects a
 * whole text for one string with invalid UTF-8, one number out of range or one value that
 * is nested too deeply; one invalid entry would then hide all others of its page. What
 * it rejects is replaced by a string that is not readable (see json_is_readable), but for
 * integers out of range, which become reals.
 */
json_t *json_parse_shared(const char *data, size_t len, pd_error_t *err)
{
	json_t *value = json_parse(data, len, err);
	cursor_t cursor = { .at = data, .end = data + len };

	if (value)
		return value;
	value = read_value(&cursor, 0);
	if (json_is_object(value) && !cursor.is_truncated && !peek(&cursor))
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
