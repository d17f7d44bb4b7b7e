/* The latest decisions of each request, for `pistachioctl explain`. */
#ifndef PISTACHIO_EXPLAIN_H
#define PISTACHIO_EXPLAIN_H

#include "ports/event.h"

typedef struct explain explain_t;

explain_t *explain_create(void);
void explain_record(explain_t *explain, const decision_t *decision);
char *explain_json(const explain_t *explain, const char *request_id);

#endif
