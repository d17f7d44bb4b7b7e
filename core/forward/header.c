/* Looking headers up, and telling which concern one connection only. */
#include "core/forward/header.h"

#include <string.h>
#include <strings.h>

/* Returns the value of the first header of that name, or NULL. */
const char *header_find(const header_t *headers, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++) {
		if (!strcasecmp(headers[i].name, name))
			return headers[i].value;
	}
	return NULL;
}

/* Says whether a comma-separated list has the token. */
static bool list_has(const char *list, const char *token)
{
	size_t len = strlen(token);

	while (*list) {
		size_t item;

		list += strspn(list, " \t,");
		item = strcspn(list, " \t,");
		if (item == len && !strncasecmp(list, token, len))
			return true;
		list += item;
	}
	return false;
}

/*
 * Says whether a header ends at this connection: one of the fixed ones, or one
 * that a Connection header names. Passed on, they would speak of a connection
 * that the next side does not have.
 */
bool header_is_hop_by_hop(const header_t *headers, size_t count, const char *name)
{
	static const char *const fixed[] = {
		"Connection",	      "Keep-Alive", "Proxy-Connection",
		"Proxy-Authenticate", "TE",	    "Trailer",
		"Transfer-Encoding",  "Upgrade",    "Proxy-Authorization",
		"Content-Length",
	};

	for (size_t i = 0; i < sizeof(fixed) / sizeof(fixed[0]); i++) {
		if (!strcasecmp(fixed[i], name))
			return true;
	}
	for (size_t i = 0; i < count; i++) {
		if (!strcasecmp(headers[i].name, "Connection") &&
		    list_has(headers[i].value, name))
			return true;
	}
	return false;
}
