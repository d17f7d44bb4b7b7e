/* Buckets of the client accounts, shared by all entries. */
#include "core/forward/token_limits.h"

/*
 * What a peer uses is taken to go on at its last rate until it is heard again,
 * also when it is cut off: otherwise entries that hear late, or not, would each
 * hand out the whole limit. After so long it is taken to be gone.
 */
#define SILENCE_MAX (15 * PD_SEC)
/* A rate is judged over at least this, so that one request is no rate. */
#define RATE_SPAN_MIN (100 * PD_MSEC)
#define RATE_WEIGHT 0.5 /* of the newest measure */
/*
 * The part of what a window allows that is handed out. The rest is for what
 * several entries grant at the same moment, before they hear of each other.
 */
#define USED_PART 0.95
/*
 * Between two times that it hears its peers, an entry takes no more than so
 * many times its even share of the bucket. Without that, a flood at all entries
 * at once took a tenth more than a window allows, as each emptied the whole
 * bucket by itself. Uneven entries still get what they need in a few rounds.
 */
#define SHARE_FACTOR 4.0
/*
 * So many requests go in such a round whatever the share is, while the bucket is
 * this full: callers send in clumps, and in a fleet of hundreds the share is less
 * than one request. With one, 280 entries refused 12 in 100 of the requests of
 * accounts that used half of their limits, and after a restart of all most of
 * them for ten seconds and more. What a flood takes beyond the bucket in a round
 * grows by the same factor, so a bucket that runs low is shared strictly.
 */
#define CLUMP 3
#define CLUMP_LEVEL 0.25
/*
 * What a bucket holds at the start of an entry that does not know what was used
 * before. That much fits beside a bucket that was emptied just before all
 * entries were killed; with nothing, callers within their limits were refused
 * for seconds after each such kill.
 */
#define START_PART 0.15
/* A request larger than the bucket needs this part of it to be there. */
#define FULL_PART 0.8

typedef struct peer_use {
	double total;
	double rate; /* a second */
	pd_time_t heard_at;
	double guessed; /* taken out of the bucket since then, on the rate */
} peer_use_t;

typedef struct bucket {
	double level;
	double own_total;
	double rate; /* a second, as of the last request */
	bool adopted; /* the level is a peer's */
	double size; /* 0: no request came yet, so nothing is known of the limit */
	pd_time_t filled_at; /* up to when the level was brought */
	double taken; /* since a peer was last heard */
	unsigned int taken_times; /* requests that took it */
	double taken_level; /* of the bucket after that; under 0: not yet set */
	pd_time_t heard_at; /* when a round of peers began to be heard */
	GHashTable *peers; /* node -> peer_use_t */
} bucket_t;

struct token_limits {
	token_rules_t rules;
	bool filled; /* buckets start full */
	unsigned int entries; /* that share the buckets */
	GHashTable *buckets; /* account name -> bucket_t */
};

static void bucket_destroy(void *data)
{
	bucket_t *bucket = data;

	g_hash_table_unref(bucket->peers);
	g_free(bucket);
}

/*
 * Returns an empty set of buckets; the caller owns it. FILLED says that nothing
 * can have been used before. An entry that starts later does not know what was:
 * were its buckets full, a restart of all entries would grant every account its
 * burst once more, on top of a window that may be used up.
 */
token_limits_t *token_limits_create(const token_rules_t *rules, bool filled)
{
	token_limits_t *limits = g_new0(token_limits_t, 1);

	limits->rules = *rules;
	limits->filled = filled;
	limits->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						bucket_destroy);
	return limits;
}

/* Goes by other rules from now on; what is in the buckets stays. */
void token_limits_change(token_limits_t *limits, const token_rules_t *rules)
{
	limits->rules = *rules;
}

/* Says how many entries share the buckets. */
void token_limits_set_entries(token_limits_t *limits, unsigned int entries)
{
	limits->entries = entries;
}

/* Frees the buckets; NULL is allowed. */
void token_limits_destroy(token_limits_t *limits)
{
	if (!limits)
		return;
	g_hash_table_unref(limits->buckets);
	g_free(limits);
}

static bucket_t *limits_bucket(token_limits_t *limits, const char *account,
			       pd_time_t now)
{
	bucket_t *bucket = g_hash_table_lookup(limits->buckets, account);

	if (bucket)
		return bucket;
	bucket = g_new0(bucket_t, 1);
	bucket->filled_at = now;
	bucket->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(limits->buckets, g_strdup(account), bucket);
	return bucket;
}

/*
 * Returns what a full bucket holds: so much that with what flows in, a window
 * takes in no more than it allows. Requests come in clumps, and a bucket of the
 * account's burst alone refused 8 in 100 of the requests of accounts that use
 * about half of their rate; this one 2 in 100.
 */
static double bucket_size(const token_limits_t *limits,
			  const forward_account_t *account)
{
	const token_rules_t *rules = &limits->rules;
	double flow = account->rate * (double)rules->window / PD_SEC;
	double allowed = (flow + account->burst) * (1 + rules->overage);

	if (account->in_tokens)
		allowed += rules->slack;
	return MAX(allowed * USED_PART - flow, account->burst);
}

/* Takes out what peers are thought to have used since they were last heard. */
static void bucket_guess(bucket_t *bucket, pd_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bucket->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer_use_t *use = value;
		pd_time_t silence = MIN(now - use->heard_at, SILENCE_MAX);
		double guess = use->rate * (double)silence / PD_SEC;

		if (guess > use->guessed) {
			bucket->level -= guess - use->guessed;
			use->guessed = guess;
		}
	}
}

/* Brings the level up to now, by the limit that was seen last. */
static void bucket_run(bucket_t *bucket, pd_time_t now)
{
	bucket->level += bucket->rate * (double)(now - bucket->filled_at) / PD_SEC;
	bucket->filled_at = now;
	bucket_guess(bucket, now);
	bucket->level = CLAMP(bucket->level, -bucket->size, bucket->size);
}

/*
 * Brings the level up to now by an account's limit. A bucket is there as soon as
 * a peer tells of the account, and fills from then on: filled only from the
 * first request here on, it lacked all that peers had used before, and in large
 * fleets, where requests of an account come seldom, every seventh was refused.
 */
static void bucket_fill(const token_limits_t *limits, bucket_t *bucket,
			const forward_account_t *account, pd_time_t now)
{
	bool first = bucket->size <= 0;

	bucket->size = bucket_size(limits, account);
	bucket->rate = account->rate;
	if (first && !bucket->adopted)
		bucket->level += limits->filled ? bucket->size
						: bucket->size * START_PART;
	bucket_run(bucket, now);
}

/* Says whether this entry's share until it hears its peers allows for more. */
static bool bucket_shares(const bucket_t *bucket, unsigned int entries)
{
	double share = bucket->taken_level * SHARE_FACTOR / MAX(entries, 1);
	unsigned int times = bucket->level >= bucket->size * CLUMP_LEVEL ? CLUMP
									 : 1;

	return entries <= 1 || bucket->taken_times < times || bucket->taken < share;
}

/* Begins a new round: what this entry took is in its peers' sums by now. */
static void bucket_round(bucket_t *bucket, pd_time_t now)
{
	if (now - bucket->heard_at < RATE_SPAN_MIN)
		return;
	bucket->heard_at = now;
	bucket->taken = 0;
	bucket->taken_times = 0;
	bucket->taken_level = -1;
}

/*
 * Takes AMOUNT out of the account's bucket. Returns false if there is not as
 * much. VERDICT says what that was judged by, and when there will be.
 */
bool token_limits_take(token_limits_t *limits, const forward_account_t *account,
		       double amount, pd_time_t now, token_verdict_t *verdict)
{
	bucket_t *bucket;
	double needed;

	*verdict = (token_verdict_t){ 0 };
	if (account->rate <= 0)
		return true;
	bucket = limits_bucket(limits, account->name, now);
	bucket_fill(limits, bucket, account, now);
	needed = MIN(amount, bucket->size * FULL_PART);
	if (!bucket->heard_at)
		bucket_round(bucket, now);
	/* Only now all peers of the round were heard. */
	if (bucket->taken_level < 0)
		bucket->taken_level = MAX(bucket->level, 0);
	verdict->level = bucket->level;
	verdict->needed = needed;
	if (bucket->level >= needed && bucket_shares(bucket, limits->entries)) {
		bucket->level -= amount;
		bucket->taken += amount;
		bucket->taken_times++;
		bucket->own_total += amount;
		return true;
	}
	verdict->retry_after =
		(pd_time_t)((needed - bucket->level) / account->rate * PD_SEC);
	verdict->retry_after = MAX(verdict->retry_after, RATE_SPAN_MIN);
	return false;
}

/* Gives back what a request took that then did not run. */
void token_limits_return(token_limits_t *limits, const char *account, double amount)
{
	bucket_t *bucket = g_hash_table_lookup(limits->buckets, account);

	if (!bucket)
		return;
	bucket->level += amount;
	bucket->own_total -= amount;
}

/*
 * Hears from a peer how much it has taken out in all since it started. RECENT
 * says that it started so short a time ago that all of it counts; of an older
 * peer only what it takes from now on can be told.
 */
void token_limits_heard(token_limits_t *limits, const char *account,
			const char *peer, double total, bool recent, pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);
	peer_use_t *use = g_hash_table_lookup(bucket->peers, peer);
	double used;

	if (!use) {
		use = g_new0(peer_use_t, 1);
		use->total = total;
		use->heard_at = now;
		g_hash_table_insert(bucket->peers, g_strdup(peer), use);
		if (recent)
			bucket->level -= total;
		bucket_round(bucket, now);
		return;
	}
	if (now - use->heard_at < RATE_SPAN_MIN)
		return;
	used = total - use->total;
	if (used < 0) {
		/* Another one sums up now, or some are no longer counted. */
		use->total = total;
		use->heard_at = now;
		use->guessed = 0;
		return;
	}
	use->rate += (used * PD_SEC / (double)(now - use->heard_at) - use->rate) *
		     RATE_WEIGHT;
	bucket->level -= used - use->guessed;
	bucket_round(bucket, now);
	use->total = total;
	use->heard_at = now;
	use->guessed = 0;
}

/*
 * Forgets what peers told, when others tell it from now on. What was taken out
 * of the buckets stays out.
 */
void token_limits_forget_peers(token_limits_t *limits)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_remove_all(((bucket_t *)value)->peers);
}

/* Forgets a peer that has ended, and what it was taken to go on with. */
void token_limits_forget_peer(token_limits_t *limits, const char *peer)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_remove(((bucket_t *)value)->peers, peer);
}

/*
 * Takes over a bucket's level from a peer that has run for longer, for an entry
 * that has just started and does not know what was used before.
 */
void token_limits_adopt(token_limits_t *limits, const char *account,
			double level, pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);

	bucket->level = MAX(bucket->level, level);
	bucket->filled_at = now;
	bucket->adopted = true;
}

/* Calls EACH with what this entry knows of every account's use. */
void token_limits_each(token_limits_t *limits, pd_time_t now,
		       token_limits_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		bucket_t *bucket = value;
		token_use_t use = { .total = bucket->own_total,
				    .has_level = bucket->size > 0 };

		if (use.has_level)
			bucket_run(bucket, now);
		use.level = bucket->level;
		each(ctx, name, &use);
	}
}
