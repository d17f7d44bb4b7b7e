/*
 * The cloud's offers: prices by zone and machine class, with the backoff after
 * refused starts.
 */
#ifndef PISTACHIO_OFFERS_H
#define PISTACHIO_OFFERS_H

#include <glib.h>

#include "ports/placer_event.h"

typedef struct offers offers_t;

offers_t *offers_create(const GPtrArray *zones, GRand *random);
void offers_destroy(offers_t *offers);
void offers_update(offers_t *offers, const offer_t *list, size_t count);
size_t offers_count(const offers_t *offers);
const offer_t *offers_at(const offers_t *offers, size_t index);
int offers_zone_index(const offers_t *offers, const char *zone);
bool offers_is_available(const offers_t *offers, size_t index, pd_time_t now);
void offers_note_refusal(offers_t *offers, const intent_t *intent, pd_time_t now);
void offers_note_grant(offers_t *offers, const intent_t *intent);

#endif
