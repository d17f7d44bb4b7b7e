/*
 * The note that a leader keeps in the lease's record for the next leader: the last
 * usage report, and the load that each service's upstreams are planned for.
 */
#ifndef PISTACHIO_GATEWAY_DUTIES_NOTE_H
#define PISTACHIO_GATEWAY_DUTIES_NOTE_H

#include <glib.h>
#include <stdint.h>

typedef struct duties_note {
	int64_t window; /* of the report */
	char *report; /* request body; NULL: none yet */
	GHashTable *needs; /* service -> double: planned load, in engines */
} duties_note_t;

duties_note_t *duties_note_create(void);
duties_note_t *duties_note_parse(const char *text);
void duties_note_destroy(duties_note_t *note);
void duties_note_set_report(duties_note_t *note, int64_t window,
			    const char *report);
void duties_note_set_need(duties_note_t *note, const char *service, double need);
double duties_note_need(const duties_note_t *note, const char *service);
char *duties_note_format(const duties_note_t *note);

#endif
