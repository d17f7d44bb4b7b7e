/*
 * The load: every gateway wants each change at once, each call is paid for, and a store
 * that goes silent shows only by an answer that does not come.
 */
#include "core/forward/store_feed.h"

#include "core/forward/store_poll.h"

/*
 * Where a few watch for many, the others go by how long ago the store was last
 * heard; shorter waits let them notice sooner that none of the few hears it.
 */
#define WATCHER_WAIT (800 * PD_MSEC)
#define WATCH_TIMEOUT_MARGIN (800 * PD_MSEC)
#define LIST_TIMEOUT (1500 * PD_MSEC)
/*
 * In a large fleet a start waits after its first listing before it watches. Until it
 * has heard its peers it takes itself for one of the few that watch, and hundreds
 * that start at once would all make calls that all but three don't need.
 */
#define FIRST_WATCH_DELAY (200 * PD_MSEC)
#define FIRST_WATCH_JITTER (200 * PD_MSEC)
/* The mean pause after a failed call of one that watches for all. */
#define WATCHER_RETRY_PAUSE (150 * PD_MSEC)

struct store_feed {
	GRand *random; /* borrowed */
	bool listing;
	bool listing_partial; /* a page of the listing was answered; more follow */
	bool calling;
	bool unreachable; /* the last call failed, here or at the aggregator */
	bool polling; /* as one of many, since nobody has heard the store */
	unsigned int failures; /* in a row */
	pd_time_t first_watch_at; /* in a large fleet; 0: nothing is listed yet */
	pd_time_t next_call_at;
};

/* Returns a feed that begins with a listing; RANDOM is borrowed. The caller owns it. */
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

/* Returns whether a call is under way. */
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

/* Draws a time up to MAX. */
static pd_time_t feed_random_time(store_feed_t *feed, pd_time_t max)
{
	return (pd_time_t)(g_rand_double(feed->random) * (double)max);
}

/* Draws the pause before the next call after a failed one, or a first poll. */
static pd_time_t feed_pause(store_feed_t *feed, const store_feed_fleet_t *fleet)
{
	pd_time_t mean = WATCHER_RETRY_PAUSE;

	if (!fleet->is_watcher)
		mean = store_poll_pause(fleet->poll_group_size, feed->failures);
	return feed_random_time(feed, 2 * mean);
}

/*
 * Begins to poll, as nobody has heard the store. If it is away, and not just those
 * dead that watch it, it counts as lost here as well.
 */
static void feed_start_polling(store_feed_t *feed,
			       const store_feed_fleet_t *fleet, pd_time_t now)
{
	feed->polling = true;
	if (fleet->aggregator_lost_store)
		feed->unreachable = true;
	feed->next_call_at = now + feed_pause(feed, fleet);
}

/* Returns whether a start waits until it knows who of a large fleet watches. */
static bool feed_delays_first_watch(const store_feed_t *feed,
				    const store_feed_fleet_t *fleet, pd_time_t now)
{
	return !feed->listing && now < feed->first_watch_at && fleet->is_large;
}

/*
 * Returns how long the next watch waits. While the store is lost it does not: a call
 * that is made in a silence never ends but by its timeout.
 */
static pd_time_t feed_wait(const store_feed_t *feed, const store_feed_fleet_t *fleet)
{
	if (feed->unreachable)
		return 0;
	return fleet->is_mesh ? STORE_WATCH_WAIT : WATCHER_WAIT;
}

static store_call_t feed_next_call(const store_feed_t *feed,
				   const store_feed_fleet_t *fleet)
{
	pd_time_t wait = feed_wait(feed, fleet);

	if (feed->listing)
		return (store_call_t){ STORE_CALL_LIST, 0, LIST_TIMEOUT };
	return (store_call_t){ STORE_CALL_WATCH, wait, wait + WATCH_TIMEOUT_MARGIN };
}

/* Returns the call that is to be made now, if any. It then is under way. */
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

/* Takes that the call was answered. */
void store_feed_record_answer(store_feed_t *feed, pd_time_t now)
{
	feed->calling = false;
	feed->listing_partial = feed->listing;
	feed->unreachable = false;
	feed->polling = false;
	feed->failures = 0;
	feed->next_call_at = now;
}

/* Takes that a listing is complete; changes are watched from now on. */
void store_feed_end_listing(store_feed_t *feed, pd_time_t now)
{
	feed->listing = false;
	feed->listing_partial = false;
	if (!feed->first_watch_at)
		feed->first_watch_at = now + FIRST_WATCH_DELAY +
				       feed_random_time(feed, FIRST_WATCH_JITTER);
}

/* Takes that the history to watch from is gone: all is listed anew. */
void store_feed_restart_listing(store_feed_t *feed, pd_time_t now)
{
	feed->calling = false;
	feed->listing_partial = false;
	feed->listing = true;
	feed->next_call_at = now;
}

/* Takes that the call was refused, or not answered in time. */
void store_feed_record_failure(store_feed_t *feed,
			       const store_feed_fleet_t *fleet, pd_time_t now)
{
	feed->calling = false;
	feed->listing_partial = false;
	feed->unreachable = true;
	feed->next_call_at = now + feed_pause(feed, fleet);
	feed->failures++;
}
