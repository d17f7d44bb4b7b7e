/*
 * Schedules a gateway's listings and watches of one kind of object in the
 * store.
 */
#ifndef PISTACHIO_STORE_FEED_H
#define PISTACHIO_STORE_FEED_H

#include <stdbool.h>

#include <glib.h>

#include "ports/clock.h"

/*
 * How long a watch waits for a change. A store that stops answering
 * meanwhile is detected only by the timeout, so this and a margin bound how long a
 * gateway gets no changes after the store has recovered.
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
	pd_time_t wait; /* for a change, at the store; of a watch */
	pd_time_t timeout;
} store_call_t;

/*
 * The state of the fleet on which it depends which gateways call the store.
 */
typedef struct store_feed_fleet {
	/* every gateway watches and sends updates to all others */
	bool is_mesh;
	bool is_large; /* a few watch for all */
	bool is_watcher; /* this gateway is one of those that watch */
	bool must_call; /* no other gateway calls the store for this one */
	/* the aggregator gets no answers from the store */
	bool aggregator_lost_store;
	/* gateways that share polling; 1: this one alone */
	unsigned int poll_group_size;
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
