/* Votes on the difference between the time of day and this VM's steady clock. */
#include "core/forward/time_vote.h"

#include <stdbool.h>
#include <stdlib.h>

/* Clocks drift by far less than a second in that time. */
#define READING_MAX_AGE (30 * PD_SEC)
/*
 * How long a clock that has stepped has no vote; most clocks step back within that
 * time.
 */
#define DISTRUST_TIME (60 * PD_SEC)
#define VOTE_PERIOD (100 * PD_MSEC)
/*
 * Messages that a network partition delayed arrive together when it ends, followed by
 * those that are sent again.
 */
#define MESSAGE_DELAY_MAX (3 * PD_SEC)

typedef struct reading {
	pd_time_t difference; /* time of day minus this VM's steady clock */
	pd_time_t received_at; /* 0: never */
	pd_time_t trusted_from;
	pd_time_t correction; /* offset from the fleet's time before all gateways were restarted */
	bool stepped; /* the clock has stepped since its gateway started */
	pd_time_t behind_since; /* since when readings are behind the earlier ones; 0: they are not */
} reading_t;

struct time_vote {
	GHashTable *peers; /* name -> reading_t */
	reading_t own;
	reading_t fleet; /* the result of an aggregator's vote, as received */
	pd_time_t difference; /* the result of the own vote */
	pd_time_t own_step_at; /* 0: never */
	pd_time_t next_vote_at;
};

/* Returns a vote without readings; the caller owns it. */
time_vote_t *time_vote_create(void)
{
	time_vote_t *vote = g_new0(time_vote_t, 1);

	vote->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return vote;
}

/* Frees the vote; NULL is allowed. */
void time_vote_destroy(time_vote_t *vote)
{
	if (!vote)
		return;
	g_hash_table_unref(vote->peers);
	g_free(vote);
}

/*
 * Stores the own clock's reading. Returns the size of its step, or 0 if it has not
 * stepped.
 */
static pd_time_t read_own(time_vote_t *vote, pd_time_t wall, pd_time_t now)
{
	pd_time_t difference = wall - now;
	pd_time_t step = difference - vote->own.difference;
	bool first = !vote->own.received_at;

	vote->own.difference = difference;
	vote->own.received_at = now;
	if (first)
		vote->difference = difference;
	if (first || ABS(step) < CLOCK_STEP_MIN)
		return 0;
	vote->own.stepped = true;
	vote->own_step_at = now;
	vote->own.trusted_from = now + DISTRUST_TIME;
	return step;
}

/* Returns whether a reading was received recently enough to be used. */
static bool is_recent(const reading_t *reading, pd_time_t now)
{
	return reading->received_at && now - reading->received_at < READING_MAX_AGE;
}

/*
 * Appends a reading's corrected difference to VOTES, unless it is old or not trusted.
 */
static void add_vote(GArray *votes, const reading_t *reading, pd_time_t now)
{
	pd_time_t difference = reading->difference;

	if (!is_recent(reading, now) || now < reading->trusted_from)
		return;
	if (!reading->stepped)
		difference -= reading->correction;
	g_array_append_val(votes, difference);
}

/* Compares two pd_time_t for sorting. */
static gint compare_times(gconstpointer a, gconstpointer b)
{
	pd_time_t left = *(const pd_time_t *)a;
	pd_time_t right = *(const pd_time_t *)b;

	return (left > right) - (left < right);
}

/* Returns whether more than half of the votes are nearer to NEXT than to CURRENT. */
static bool majority_is_nearer(const GArray *votes, pd_time_t next, pd_time_t current)
{
	guint nearer = 0;

	for (guint i = 0; i < votes->len; i++) {
		pd_time_t one = g_array_index(votes, pd_time_t, i);

		nearer += ABS(one - next) < ABS(one - current);
	}
	return 2 * nearer > votes->len;
}

/* Counts the votes. Returns the step of the result, or 0 if it has not stepped. */
static pd_time_t count_votes(time_vote_t *vote, pd_time_t now)
{
	GArray *votes = g_array_new(FALSE, FALSE, sizeof(pd_time_t));
	pd_time_t step = 0;
	pd_time_t middle;
	GHashTableIter iter;
	gpointer reading;

	add_vote(votes, &vote->own, now);
	g_hash_table_iter_init(&iter, vote->peers);
	while (g_hash_table_iter_next(&iter, NULL, &reading))
		add_vote(votes, reading, now);
	if (votes->len) {
		g_array_sort(votes, compare_times);
		middle = g_array_index(votes, pd_time_t, (votes->len - 1) / 2);
		step = middle - vote->difference;
		if (ABS(step) < CLOCK_STEP_MIN ||
		    majority_is_nearer(votes, middle, vote->difference))
			vote->difference = middle;
		else
			step = 0;
	}
	g_array_unref(votes);
	return ABS(step) < CLOCK_STEP_MIN ? 0 : step;
}

/*
 * Stores the own clock's reading and counts the votes if that is due. Returns the steps
 * of the own clock and of the fleet's time. NOW is this VM's steady clock.
 */
clock_steps_t time_vote_update(time_vote_t *vote, pd_time_t own_wall, pd_time_t now)
{
	clock_steps_t steps = { .own = read_own(vote, own_wall, now) };

	if (now < vote->next_vote_at)
		return steps;
	vote->next_vote_at = now + VOTE_PERIOD;
	steps.fleet = count_votes(vote, now);
	return steps;
}

/* Returns a peer's reading, and creates an empty one if needed. */
static reading_t *peer_reading(time_vote_t *vote, const char *peer)
{
	reading_t *reading = g_hash_table_lookup(vote->peers, peer);

	if (!reading) {
		reading = g_new0(reading_t, 1);
		g_hash_table_insert(vote->peers, g_strdup(peer), reading);
	}
	return reading;
}

/*
 * Stores a clock's difference from this VM's steady clock. If it falls behind although
 * STEPPED is not set, the message was probably delayed, and the reading is
 * ignored unless others like it follow for longer than messages are delayed.
 */
static void reading_store(reading_t *reading, pd_time_t difference,
			  bool stepped, pd_time_t now)
{
	bool behind = is_recent(reading, now) && !stepped &&
		      difference - reading->difference <= -CLOCK_STEP_MIN;

	if (!behind)
		reading->behind_since = 0;
	else if (!reading->behind_since)
		reading->behind_since = now;
	reading->received_at = now;
	if (behind && now - reading->behind_since < MESSAGE_DELAY_MAX)
		return;
	reading->behind_since = 0;
	reading->difference = difference;
}

/*
 * Stores a peer's clock reading. STEP_AGE is the time since that clock stepped, 0 if it
 * has not. The reading and the distrust of a clock survive a restart of its gateway.
 */
void time_vote_receive_reading(time_vote_t *vote, const char *peer,
			       pd_time_t wall, pd_time_t step_age, pd_time_t now)
{
	reading_t *reading = peer_reading(vote, peer);
	bool stepped = step_age > 0 &&
		       now - step_age >= reading->received_at - CLOCK_STEP_MIN;

	reading_store(reading, wall - now, stepped, now);
	reading->stepped = step_age > 0;
	if (step_age > 0 && step_age < DISTRUST_TIME)
		reading->trusted_from = MAX(reading->trusted_from,
					    now - step_age + DISTRUST_TIME);
}

/*
 * Sets the correction of a clock, the own one if PEER is NULL: its offset from the
 * fleet's time before all gateways were restarted. It applies until the clock steps.
 */
void time_vote_correct(time_vote_t *vote, const char *peer, pd_time_t offset)
{
	reading_t *reading = peer ? peer_reading(vote, peer) : &vote->own;

	reading->correction = offset;
	vote->next_vote_at = 0;
}

/* Calls EACH if a recent reading is off by CLOCK_STEP_MIN or more. */
static void report_offset(const time_vote_t *vote, const char *peer,
			  const reading_t *reading, pd_time_t now,
			  clock_each_t each, void *ctx)
{
	pd_time_t offset = reading->difference + now - time_vote_wall(vote, now);

	if (is_recent(reading, now) && ABS(offset) >= CLOCK_STEP_MIN)
		each(ctx, peer, offset);
}

/*
 * Calls EACH for the clocks whose offset from the fleet's time is CLOCK_STEP_MIN or
 * more.
 */
void time_vote_each_offset(const time_vote_t *vote, pd_time_t now,
			   clock_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer peer;
	gpointer reading;

	report_offset(vote, NULL, &vote->own, now, each, ctx);
	g_hash_table_iter_init(&iter, vote->peers);
	while (g_hash_table_iter_next(&iter, &peer, &reading))
		report_offset(vote, peer, reading, now, each, ctx);
}

/*
 * Stores the result of an aggregator's vote, which takes precedence over the own one.
 */
void time_vote_receive_result(time_vote_t *vote, pd_time_t wall, pd_time_t now)
{
	reading_store(&vote->fleet, wall - now, false, now);
}

/* Returns the fleet's time of day. */
pd_time_t time_vote_wall(const time_vote_t *vote, pd_time_t now)
{
	if (is_recent(&vote->fleet, now))
		return vote->fleet.difference + now;
	return vote->difference + now;
}

/* Returns the time of day of the own clock. */
pd_time_t time_vote_own_wall(const time_vote_t *vote, pd_time_t now)
{
	return vote->own.difference + now;
}

/* Returns the time since the own clock stepped, or 0 if it has not. */
pd_time_t time_vote_own_step_age(const time_vote_t *vote, pd_time_t now)
{
	return vote->own_step_at ? MAX(now - vote->own_step_at, 1) : 0;
}
