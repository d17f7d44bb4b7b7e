/* One HTTP header of a request or a response, as received. */
#ifndef PISTACHIO_FORWARD_HEADER_H
#define PISTACHIO_FORWARD_HEADER_H

#include <stdbool.h>
#include <stddef.h>

typedef struct header {
	const char *name;
	const char *value;
} header_t;

const char *header_find(const header_t *headers, size_t count, const char *name);
bool header_is_hop_by_hop(const header_t *headers, size_t count, const char *name);

#endif
