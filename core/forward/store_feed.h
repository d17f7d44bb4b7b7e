/* When a gateway lists or watches one kind of object in the store. */
#ifndef PISTACHIO_STORE_FEED_H
#define PISTACHIO_STORE_FEED_H

#include <stdbool.h>

#include <glib.h>

#include "ports/clock.h"

/*
 * How long a watch waits for a change. A store that goes silent in the middle
 * shows only by the missing answer, so this and a margin bound how long a
 * gateway stays blind after the store is back.
 */
#define STORE_WATCH_WAIT (2 * PD_SEC)

typedef struct store_feed store_feed_t;

typedef enum store_call_kind {
	STORE_CALL_NONE,
	STORE_CALL_LIST,
	STORE_CALL_WATCH
} store_call_kind_t;

/* A call to make now. */
typedef struct store_call {
	store_call_kind_t kind;
	pd_time_t wait; /* of a watch at the store, for a change */
	pd_time_t timeout;
} store_call_t;

/* What the gateway knows of the fleet, as far as it decides who asks. */
typedef struct store_feed_fleet {
	bool is_mesh; /* all watch, and send updates to each other */
	bool is_large; /* a few watch for all */
	bool is_watcher; /* this gateway watches for the others */
	bool must_call; /* it asks, as no other does so for it */
	bool aggregator_lost_store; /* who watches for it is not served */
	unsigned int poll_group_size; /* gateways that share the polling */
} store_feed_fleet_t;

store_feed_t *store_feed_create(GRand *random);
void store_feed_destroy(store_feed_t *feed);
store_call_t store_feed_next_call(store_feed_t *feed,
				  const store_feed_fleet_t *fleet, pd_time_t now);
void store_feed_record_answer(store_feed_t *feed, pd_time_t now);
void store_feed_end_listing(store_feed_t *feed, pd_time_t now);
void store_feed_restart_listing(store_feed_t *feed, pd_time_t now);
void store_feed_record_failure(store_feed_t *feed,
			       const store_feed_fleet_t *fleet, pd_time_t now);
bool store_feed_is_calling(const store_feed_t *feed);
bool store_feed_is_listing(const store_feed_t *feed);
bool store_feed_is_unreachable(const store_feed_t *feed);

#endif
