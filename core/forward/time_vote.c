/* Votes on the difference between the time of day and the own steady clock. */
#include "core/forward/time_vote.h"

#include <stdbool.h>
#include <stdlib.h>

#define READING_MAX_AGE \
	(30 * PD_SEC) /* drift over that time is far under a second */
/* A clock that has stepped has no vote for so long; most jump back before. */
#define DISTRUST_TIME (60 * PD_SEC)
#define VOTE_PERIOD (100 * PD_MSEC)
/* What a cut held up comes at once when it ends, and then what is sent anew. */
#define MESSAGE_DELAY_MAX (3 * PD_SEC)

typedef struct reading {
	pd_time_t difference; /* from the own steady clock */
	pd_time_t received_at; /* 0: not yet */
	pd_time_t trusted_from;
	pd_time_t correction; /* how far it was ahead before a restart of all */
	bool stepped; /* since its gateway has started */
	pd_time_t behind_since; /* readings that fell behind came; 0: they did not */
} reading_t;

struct time_vote {
	GHashTable *peers; /* name -> reading_t */
	reading_t own;
	reading_t fleet; /* the outcome of a vote of many, as received */
	pd_time_t difference; /* the outcome of the own vote */
	pd_time_t own_step_at; /* 0: the own clock has not stepped */
	pd_time_t next_vote_at;
};

/* Returns a vote of nobody yet; the caller owns it. */
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

/* Takes the own clock's reading. Returns by how much it has stepped, 0 if not. */
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

static bool is_recent(const reading_t *reading, pd_time_t now)
{
	return reading->received_at && now - reading->received_at < READING_MAX_AGE;
}

static void add_vote(GArray *votes, const reading_t *reading, pd_time_t now)
{
	pd_time_t difference = reading->difference;

	if (!is_recent(reading, now) || now < reading->trusted_from)
		return;
	if (!reading->stepped)
		difference -= reading->correction;
	g_array_append_val(votes, difference);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	pd_time_t left = *(const pd_time_t *)a;
	pd_time_t right = *(const pd_time_t *)b;

	return (left > right) - (left < right);
}

/* Returns whether more than half of the votes are nearer to NEXT than to HELD. */
static bool majority_is_nearer(const GArray *votes, pd_time_t next, pd_time_t held)
{
	guint nearer = 0;

	for (guint i = 0; i < votes->len; i++) {
		pd_time_t one = g_array_index(votes, pd_time_t, i);

		nearer += ABS(one - next) < ABS(one - held);
	}
	return 2 * nearer > votes->len;
}

/* Counts the votes. Returns by how much the outcome has stepped, 0 if it has not. */
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
 * Takes the own clock's reading, and counts the votes if that is due. NOW is the own
 * steady clock.
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
 * Takes a difference from the own steady clock. One that falls behind though the clock
 * has not JUMPED is taken for that of a message that was under way for long, unless
 * others follow for longer than messages are held up.
 */
static void reading_take(reading_t *reading, pd_time_t difference, bool stepped,
			 pd_time_t now)
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
 * Takes a peer's clock reading. STEP_AGE is how long ago that clock has stepped, 0 if
 * it has not; what is known of a clock holds over a restart of its gateway.
 */
void time_vote_receive_reading(time_vote_t *vote, const char *peer,
			       pd_time_t wall, pd_time_t step_age, pd_time_t now)
{
	reading_t *reading = peer_reading(vote, peer);
	bool stepped = step_age > 0 &&
		       now - step_age >= reading->received_at - CLOCK_STEP_MIN;

	reading_take(reading, wall - now, stepped, now);
	reading->stepped = step_age > 0;
	if (step_age > 0 && step_age < DISTRUST_TIME)
		reading->trusted_from = MAX(reading->trusted_from,
					    now - step_age + DISTRUST_TIME);
}

/*
 * Corrects a clock, the own one if WHO is NULL, by how far it was ahead of the
 * fleet's time before a restart of all gateways. That holds until it jumps.
 */
void time_vote_correct(time_vote_t *vote, const char *peer, pd_time_t offset)
{
	reading_t *reading = peer ? peer_reading(vote, peer) : &vote->own;

	reading->correction = offset;
	vote->next_vote_at = 0;
}

static void report_offset(const time_vote_t *vote, const char *peer,
			  const reading_t *reading, pd_time_t now,
			  clock_each_t each, void *ctx)
{
	pd_time_t offset = reading->difference + now - time_vote_wall(vote, now);

	if (is_recent(reading, now) && ABS(offset) >= CLOCK_STEP_MIN)
		each(ctx, peer, offset);
}

/* Calls EACH for clocks that are off. */
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

/* Takes the outcome of a vote of many, which goes before the own one. */
void time_vote_receive_result(time_vote_t *vote, pd_time_t wall, pd_time_t now)
{
	reading_take(&vote->fleet, wall - now, false, now);
}

/* Returns the fleet's time of day. */
pd_time_t time_vote_wall(const time_vote_t *vote, pd_time_t now)
{
	if (is_recent(&vote->fleet, now))
		return vote->fleet.difference + now;
	return vote->difference + now;
}

/* Returns the time of day by the own clock. */
pd_time_t time_vote_own_wall(const time_vote_t *vote, pd_time_t now)
{
	return vote->own.difference + now;
}

/* Returns how long ago the own clock has stepped; 0: it has not. */
pd_time_t time_vote_own_step_age(const time_vote_t *vote, pd_time_t now)
{
	return vote->own_step_at ? MAX(now - vote->own_step_at, 1) : 0;
}
