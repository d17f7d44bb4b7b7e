/*
 * Schedules the calls of one gateway. Every gateway needs each change at once,
 * each call costs money, and a store that stopped answering is detected only by
 * a timeout.
 */
#include "core/forward/store_feed.h"

#include "core/forward/store_poll.h"

/*
 * In a large fleet a few gateways watch for all, and the others call the store
 * only if it has not answered those lately. Shorter waits let them detect that
 * sooner.
 */
#define WATCHER_WAIT (800 * PD_MSEC)
#define WATCH_TIMEOUT_MARGIN (800 * PD_MSEC)
#define LIST_TIMEOUT (1500 * PD_MSEC)
/*
 * In a large fleet a gateway that starts delays its first watch after its first
 * listing. Until it has received messages of peers it counts as one of the few
 * watchers, and of hundreds that start at once all but three would make calls
 * for nothing.
 */
#define FIRST_WATCH_DELAY (200 * PD_MSEC)
#define FIRST_WATCH_JITTER (200 * PD_MSEC)
/* The mean pause of a watcher after a failed call. */
#define WATCHER_RETRY_PAUSE (150 * PD_MSEC)

struct store_feed {
	GRand *random; /* borrowed */
	bool listing;
	/* a page of the listing was received, and more follow */
	bool listing_partial;
	bool calling;
	bool unreachable; /* the last call failed, here or at the aggregator */
	bool polling; /* no gateway had an answer from the store lately */
	unsigned int failures; /* consecutive */
	/* earliest, in a large fleet; 0: no listing has ended yet */
	pd_time_t first_watch_at;
	pd_time_t next_call_at;
};

/*
 * Returns a feed that begins with a listing; RANDOM is borrowed. The caller
 * owns it.
 */
store_feed_t *store_feed_create(GRand *random)
{
	store_feed_t *feed = g_new0(store_feed_t, 1);

	feed->random = random;
	feed->listing = true;
	return feed;
}

/* Frees a feed; NULL is allowed. */
void store_feed_destroy(store_feed_t *feed)
{
	g_free(feed);
}

/* Returns whether a call is in flight. */
bool store_feed_is_calling(const store_feed_t *feed)
{
	return feed->calling;
}

/* Returns whether the next call lists, or continues a listing. */
bool store_feed_is_listing(const store_feed_t *feed)
{
	return feed->listing;
}

/* Returns whether the store did not answer the last call. */
bool store_feed_is_unreachable(const store_feed_t *feed)
{
	return feed->unreachable;
}

/* Returns a random time from 0 to MAX. */
static pd_time_t feed_random_time(store_feed_t *feed, pd_time_t max)
{
	return (pd_time_t)(g_rand_double(feed->random) * (double)max);
}

/*
 * Returns a random pause before the next call after a failed one, or before a
 * first poll.
 */
static pd_time_t feed_pause(store_feed_t *feed, const store_feed_fleet_t *fleet)
{
	pd_time_t mean = WATCHER_RETRY_PAUSE;

	if (!fleet->is_watcher)
		mean = store_poll_pause(fleet->poll_group_size, feed->failures);
	return feed_random_time(feed, 2 * mean);
}

/*
 * Starts to poll, as no gateway had an answer from the store lately. If the
 * aggregator has none either, the store counts as unreachable here as well;
 * otherwise it may be only the watchers that have failed.
 */
static void feed_start_polling(store_feed_t *feed,
			       const store_feed_fleet_t *fleet, pd_time_t now)
{
	feed->polling = true;
	if (fleet->aggregator_lost_store)
		feed->unreachable = true;
	feed->next_call_at = now + feed_pause(feed, fleet);
}

/*
 * Returns whether a gateway that started has yet to learn which gateways of a
 * large fleet watch.
 */
static bool feed_delays_first_watch(const store_feed_t *feed,
				    const store_feed_fleet_t *fleet, pd_time_t now)
{
	return !feed->listing && now < feed->first_watch_at && fleet->is_large;
}

/*
 * Returns how long the store may hold the next watch open. While the store is
 * unreachable it is 0: a call made while the store is silent ends only by its
 * timeout.
 */
static pd_time_t feed_wait(const store_feed_t *feed, const store_feed_fleet_t *fleet)
{
	if (feed->unreachable)
		return 0;
	return fleet->is_mesh ? STORE_WATCH_WAIT : WATCHER_WAIT;
}

/* Returns the next call, a listing or a watch. */
static store_call_t feed_next_call(const store_feed_t *feed,
				   const store_feed_fleet_t *fleet)
{
	pd_time_t wait = feed_wait(feed, fleet);

	if (feed->listing)
		return (store_call_t){ STORE_CALL_LIST, 0, LIST_TIMEOUT };
	return (store_call_t){ STORE_CALL_WATCH, wait, wait + WATCH_TIMEOUT_MARGIN };
}

/* Returns the call to make now, if any, which then is in flight. */
store_call_t store_feed_next_call(store_feed_t *feed,
				  const store_feed_fleet_t *fleet, pd_time_t now)
{
	static const store_call_t nothing = { .kind = STORE_CALL_NONE };

	if (feed->calling)
		return nothing;
	if (!fleet->must_call && !feed->listing_partial) {
		feed->unreachable = false;
		feed->polling = false;
		feed->failures = 0;
		return nothing;
	}
	if (!feed->polling && !feed->listing && !fleet->is_watcher)
		feed_start_polling(feed, fleet, now);
	if (now < feed->next_call_at || feed_delays_first_watch(feed, fleet, now))
		return nothing;
	feed->calling = true;
	return feed_next_call(feed, fleet);
}

/* Records that the call in flight was answered. */
void store_feed_record_answer(store_feed_t *feed, pd_time_t now)
{
	feed->calling = false;
	feed->listing_partial = feed->listing;
	feed->unreachable = false;
	feed->polling = false;
	feed->failures = 0;
	feed->next_call_at = now;
}

/* Records that the listing is complete; changes are watched from now on. */
void store_feed_end_listing(store_feed_t *feed, pd_time_t now)
{
	feed->listing = false;
	feed->listing_partial = false;
	if (!feed->first_watch_at)
		feed->first_watch_at = now + FIRST_WATCH_DELAY +
				       feed_random_time(feed, FIRST_WATCH_JITTER);
}

/* Starts a new listing, as the history to watch from was discarded. */
void store_feed_restart_listing(store_feed_t *feed, pd_time_t now)
{
	feed->calling = false;
	feed->listing_partial = false;
	feed->listing = true;
	feed->next_call_at = now;
}

/* Records that the call in flight was refused, or timed out. */
void store_feed_record_failure(store_feed_t *feed,
			       const store_feed_fleet_t *fleet, pd_time_t now)
{
	feed->calling = false;
	feed->listing_partial = false;
	feed->unreachable = true;
	feed->next_call_at = now + feed_pause(feed, fleet);
	feed->failures++;
}
