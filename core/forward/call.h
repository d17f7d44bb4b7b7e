/* A caller's request, independent of the protocol by which it came. */
#ifndef PISTACHIO_FORWARD_CALL_H
#define PISTACHIO_FORWARD_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ports/clock.h"

#define PROMPT_PARTS_MAX 16

/* A part of a prompt that several requests may share. */
typedef struct prompt_part {
	uint64_t id;
	unsigned int tokens;
} prompt_part_t;

typedef struct forward_call {
	char *id; /* of this attempt of the caller; NULL: none was sent */
	char *method;
	char *target; /* path and query, forwarded unchanged */
	char *host;
	char *api_key; /* NULL: none was sent */
	pd_time_t time_left; /* how long the caller waits; 0: unstated */
	bool has_tokens;
	unsigned int prompt_tokens;
	unsigned int output_tokens; /* at most */
	prompt_part_t parts[PROMPT_PARTS_MAX]; /* in the order of the prompt */
	unsigned int part_count;
	/* id of the last event that the caller has; NULL: from the start */
	char *resume_after;
	/* id of the attempt that brought the first event of the stream; NULL: none */
	char *resumes;
	GString *headers; /* header lines to forward, as sent */
} forward_call_t;

forward_call_t *forward_call_create(void);
void forward_call_destroy(forward_call_t *call);
double forward_call_shared_tokens(const forward_call_t *call);
uint64_t forward_call_fingerprint(const forward_call_t *call,
				  const char *account, const GByteArray *body);

#endif
