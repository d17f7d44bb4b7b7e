/*
 * Keeps the cloud's offers. After a refused start an offer is not used for an
 * exponential backoff with jitter. Refusals last minutes and affect many zones
 * at once; permanent retries would use up the cloud's rate limit and coincide
 * with those of all its other customers.
 */
#include "core/offers.h"

#include <string.h>

#include "core/mix.h"

#define BACKOFF_MIN (5 * PD_SEC)
#define BACKOFF_MAX (120 * PD_SEC)
#define ANY_CLASS "any"

typedef struct offer_state {
	offer_t offer;
	pd_time_t backoff; /* 0 after a granted start */
	pd_time_t retry_at;
} offer_state_t;

struct offers {
	const GPtrArray *zones; /* borrowed, of char * */
	GRand *random; /* borrowed */
	GArray *states; /* of offer_state_t */
};

/* Frees the strings of an offer; clear function of the array. */
static void state_clear(void *data)
{
	offer_state_t *state = data;

	g_free(state->offer.zone);
	g_free(state->offer.machine_class);
}

/* Appends a copy of OFFER. */
static void offers_add(offers_t *offers, const offer_t *offer)
{
	offer_state_t state = { .offer = *offer };

	state.offer.zone = g_strdup(offer->zone);
	state.offer.machine_class = g_strdup(offer->machine_class);
	state.offer.slots = MAX(1, offer->slots);
	g_array_append_val(offers->states, state);
}

/*
 * Adds on-demand and reclaimable offers at one price for each zone, which are
 * used until prices are known.
 */
static void offers_add_defaults(offers_t *offers)
{
	for (guint i = 0; i < offers->zones->len; i++) {
		offer_t offer = { .zone = g_ptr_array_index(offers->zones, i),
				  .machine_class = (char *)ANY_CLASS,
				  .price = 1 };

		offers_add(offers, &offer);
		offer.reclaimable = true;
		offers_add(offers, &offer);
	}
}

/*
 * Returns the offers for ZONES; the caller owns them. ZONES and RANDOM are
 * borrowed and must outlive them.
 */
offers_t *offers_create(const GPtrArray *zones, GRand *random)
{
	offers_t *offers = g_new0(offers_t, 1);

	offers->zones = zones;
	offers->random = random;
	offers->states = g_array_new(FALSE, TRUE, sizeof(offer_state_t));
	g_array_set_clear_func(offers->states, state_clear);
	offers_add_defaults(offers);
	return offers;
}

/* Frees the offers; NULL is allowed. */
void offers_destroy(offers_t *offers)
{
	if (!offers)
		return;
	g_array_unref(offers->states);
	g_free(offers);
}

/* Returns the state of the offer at INDEX, borrowed until the next update. */
static offer_state_t *offers_state(const offers_t *offers, size_t index)
{
	return &g_array_index(offers->states, offer_state_t, index);
}

/* Returns the offer with these properties, borrowed, or NULL. */
static offer_state_t *offers_find(const offers_t *offers, const char *zone,
				  const char *machine_class, bool reclaimable)
{
	for (guint i = 0; i < offers->states->len; i++) {
		offer_state_t *state = offers_state(offers, i);

		if (state->offer.reclaimable == reclaimable &&
		    !strcmp(state->offer.zone, zone) &&
		    !strcmp(state->offer.machine_class, machine_class))
			return state;
	}
	return NULL;
}

/* Returns the index of ZONE among the zones to buy in, or -1. */
int offers_zone_index(const offers_t *offers, const char *zone)
{
	for (guint i = 0; i < offers->zones->len && i < MIX_ZONES_MAX; i++) {
		if (!strcmp(g_ptr_array_index(offers->zones, i), zone))
			return (int)i;
	}
	return -1;
}

/*
 * Replaces the offers and keeps their backoff. Offers in other zones are
 * ignored.
 */
void offers_update(offers_t *offers, const offer_t *list, size_t count)
{
	offers_t old = *offers;

	offers->states = g_array_new(FALSE, TRUE, sizeof(offer_state_t));
	g_array_set_clear_func(offers->states, state_clear);
	for (size_t i = 0; i < count; i++) {
		const offer_state_t *before;

		if (offers_zone_index(offers, list[i].zone) < 0)
			continue;
		offers_add(offers, &list[i]);
		before = offers_find(&old, list[i].zone, list[i].machine_class,
				     list[i].reclaimable);
		if (before) {
			offer_state_t *state =
				offers_state(offers, offers->states->len - 1);

			state->backoff = before->backoff;
			state->retry_at = before->retry_at;
		}
	}
	g_array_unref(old.states);
	if (offers->states->len == 0)
		offers_add_defaults(offers);
}

/* Returns the number of offers. */
size_t offers_count(const offers_t *offers)
{
	return offers->states->len;
}

/* Returns the offer at INDEX, borrowed until the next update. */
const offer_t *offers_at(const offers_t *offers, size_t index)
{
	return &offers_state(offers, index)->offer;
}

/* Returns whether a start may be requested now. */
bool offers_is_available(const offers_t *offers, size_t index, pd_time_t now)
{
	return now >= offers_state(offers, index)->retry_at;
}

/* Returns the offer that INTENT buys, borrowed, or NULL. */
static offer_state_t *offers_find_for_intent(offers_t *offers, const intent_t *intent)
{
	return offers_find(offers, intent->zone, intent->machine_class,
			   intent->reclaimable);
}

/* Records that the cloud refused a start, and sets or doubles the backoff. */
void offers_note_refusal(offers_t *offers, const intent_t *intent, pd_time_t now)
{
	offer_state_t *state = offers_find_for_intent(offers, intent);

	/* Concurrent purchases count as one refusal. */
	if (!state || now < state->retry_at)
		return;
	state->backoff = state->backoff ? MIN(state->backoff * 2, BACKOFF_MAX)
					: BACKOFF_MIN;
	state->retry_at = now + state->backoff / 2 +
			  (pd_time_t)(g_rand_double(offers->random) *
				      (double)state->backoff);
}

/* Records that the cloud granted a start, and resets the backoff. */
void offers_note_grant(offers_t *offers, const intent_t *intent)
{
	offer_state_t *state = offers_find_for_intent(offers, intent);

	if (state)
		state->backoff = 0;
}
