/*
 * What the holder of the duties keeps in the lease's record, for whoever holds
 * it next: the last usage report, and the load that each fleet is planned for.
 */
#ifndef PISTACHIO_GATEWAY_DUTIES_NOTE_H
#define PISTACHIO_GATEWAY_DUTIES_NOTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct duties_note {
	int64_t window; /* of the report */
	char *report; /* as it is sent; NULL: none yet */
	GHashTable *fleets; /* service -> duties_fleet_t */
} duties_note_t;

/* What a service's fleet was planned for. */
typedef struct duties_fleet {
	double need; /* engines' worth of load; 0: not noted */
	bool shortage; /* reclaimable upstreams were refused */
} duties_fleet_t;

duties_note_t *duties_note_create(void);
duties_note_t *duties_note_read(const char *text);
void duties_note_destroy(duties_note_t *note);
void duties_note_set_report(duties_note_t *note, int64_t window,
			    const char *report);
void duties_note_set_fleet(duties_note_t *note, const char *service,
			   const duties_fleet_t *fleet);
duties_fleet_t duties_note_fleet(const duties_note_t *note, const char *service);
char *duties_note_write(const duties_note_t *note);

#endif
