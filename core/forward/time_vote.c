/* Votes on the difference between the time of day and the own steady clock. */
#include "core/forward/time_vote.h"

#include <stdlib.h>

#define VOTES_MAX 64
#define VOTE_KEPT (30 * PD_SEC) /* drift over that time is far under a second */

typedef struct ballot {
	pd_time_t difference;
	pd_time_t heard_at;
} ballot_t;

struct time_vote {
	GHashTable *ballots; /* peer -> ballot_t */
	ballot_t fleet; /* the outcome of a vote of many, as told */
};

/* Returns a vote of nobody but oneself; the caller owns it. */
time_vote_t *time_vote_create(void)
{
	time_vote_t *vote = g_new0(time_vote_t, 1);

	vote->ballots =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return vote;
}

/* Frees the vote; NULL is allowed. */
void time_vote_destroy(time_vote_t *vote)
{
	if (!vote)
		return;
	g_hash_table_unref(vote->ballots);
	g_free(vote);
}

/* Hears a peer's time of day; NOW is the own steady clock. */
void time_vote_hear(time_vote_t *vote, const char *who, pd_time_t wall,
		    pd_time_t now)
{
	ballot_t *ballot = g_hash_table_lookup(vote->ballots, who);

	if (!ballot) {
		ballot = g_new0(ballot_t, 1);
		g_hash_table_insert(vote->ballots, g_strdup(who), ballot);
	}
	ballot->difference = wall - now;
	ballot->heard_at = now;
}

/* Hears the outcome of a vote of many, which goes before the own one. */
void time_vote_follow(time_vote_t *vote, pd_time_t wall, pd_time_t now)
{
	vote->fleet.difference = wall - now;
	vote->fleet.heard_at = now;
}

static int by_value(const void *a, const void *b)
{
	pd_time_t left = *(const pd_time_t *)a;
	pd_time_t right = *(const pd_time_t *)b;

	return (left > right) - (left < right);
}

/* Returns the time of day that the middle of all votes says. */
pd_time_t time_vote_wall(const time_vote_t *vote, pd_time_t own_wall, pd_time_t now)
{
	pd_time_t votes[VOTES_MAX];
	size_t count = 0;
	GHashTableIter iter;
	gpointer value;

	if (vote->fleet.heard_at && now - vote->fleet.heard_at < VOTE_KEPT)
		return vote->fleet.difference + now;
	votes[count++] = own_wall - now;
	g_hash_table_iter_init(&iter, vote->ballots);
	while (count < VOTES_MAX && g_hash_table_iter_next(&iter, NULL, &value)) {
		const ballot_t *ballot = value;

		if (now - ballot->heard_at < VOTE_KEPT)
			votes[count++] = ballot->difference;
	}
	qsort(votes, count, sizeof(votes[0]), by_value);
	return votes[(count - 1) / 2] + now;
}
