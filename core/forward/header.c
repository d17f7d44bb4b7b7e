/* Looks up HTTP headers, and identifies hop-by-hop ones. */
#include "core/forward/header.h"

#include <string.h>
#include <strings.h>

/* Returns the value of the first header with that name, borrowed, or NULL. */
const char *header_find(const header_t *headers, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++) {
		if (!strcasecmp(headers[i].name, name))
			return headers[i].value;
	}
	return NULL;
}

/* Returns whether a comma-separated list contains a token, ignoring case. */
static bool list_contains(const char *list, const char *token)
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
 * Returns whether a header applies to one connection only: one of the fixed
 * list, or one that a Connection header names. If it were forwarded, it would
 * describe a connection that the receiver does not have.
 */
bool header_is_hop_by_hop(const header_t *headers, size_t count, const char *name)
{
	static const char *const hop_by_hop[] = {
		"Connection",	      "Keep-Alive", "Proxy-Connection",
		"Proxy-Authenticate", "TE",	    "Trailer",
		"Transfer-Encoding",  "Upgrade",    "Proxy-Authorization",
		"Content-Length",
	};

	for (size_t i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]); i++) {
		if (!strcasecmp(hop_by_hop[i], name))
			return true;
	}
	for (size_t i = 0; i < count; i++) {
		if (!strcasecmp(headers[i].name, "Connection") &&
		    list_contains(headers[i].value, name))
			return true;
	}
	return false;
}
