/* Buckets of the client accounts, shared by all entries. */
#include "core/forward/token_limits.h"

#include <math.h>

/*
 * An entry that has just started knows nothing of what others handed out. With
 * a full bucket, a restart of all entries would grant each account its burst
 * once more; empty, callers within their limit would be refused.
 */
#define START_FILL 0.3
/*
 * What a peer uses is taken to go on at its last rate until it is heard again,
 * also when it is cut off: otherwise entries that hear late, or not, would each
 * hand out the whole limit. After so long it is taken to be gone.
 */
#define SILENCE_MAX (10 * PD_SEC)
/* A rate is judged over at least this, so that one request is no rate. */
#define RATE_SPAN_MIN (100 * PD_MSEC)
#define RATE_WEIGHT 0.5 /* of the newest measure */
/* Debt is kept to so many bursts: more would lock an account out for long. */
#define DEBT_MAX 1.0

typedef struct peer_use {
	double total;
	double rate; /* a second */
	pd_time_t heard_at;
	double guessed; /* taken out of the bucket since then, on the rate */
} peer_use_t;

typedef struct bucket {
	double level;
	double own_total;
	pd_time_t filled_at; /* 0: not used yet */
	GHashTable *peers; /* node -> peer_use_t */
} bucket_t;

struct token_limits {
	GHashTable *buckets; /* account name -> bucket_t */
};

static void bucket_destroy(void *data)
{
	bucket_t *bucket = data;

	g_hash_table_unref(bucket->peers);
	g_free(bucket);
}

/* Returns an empty set of buckets; the caller owns it. */
token_limits_t *token_limits_create(void)
{
	token_limits_t *limits = g_new0(token_limits_t, 1);

	limits->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						bucket_destroy);
	return limits;
}

/* Frees the buckets; NULL is allowed. */
void token_limits_destroy(token_limits_t *limits)
{
	if (!limits)
		return;
	g_hash_table_unref(limits->buckets);
	g_free(limits);
}

static bucket_t *limits_bucket(token_limits_t *limits, const char *account)
{
	bucket_t *bucket = g_hash_table_lookup(limits->buckets, account);

	if (bucket)
		return bucket;
	bucket = g_new0(bucket_t, 1);
	bucket->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(limits->buckets, g_strdup(account), bucket);
	return bucket;
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

static void bucket_fill(bucket_t *bucket, const forward_account_t *account,
			pd_time_t now)
{
	double burst = MAX(account->burst, account->rate);

	if (!bucket->filled_at) {
		bucket->filled_at = now;
		bucket->level += burst * START_FILL;
	}
	bucket->level +=
		account->rate * (double)(now - bucket->filled_at) / PD_SEC;
	bucket->filled_at = now;
	bucket_guess(bucket, now);
	bucket->level = CLAMP(bucket->level, -burst * DEBT_MAX, burst);
}

/*
 * Takes AMOUNT out of the account's bucket. Returns false if it is empty, and
 * then sets RETRY_AFTER to when it will have filled again. A request may take
 * more than is there, as long as something is: a large one is not starved by
 * small ones, and the debt is paid before the next.
 */
bool token_limits_take(token_limits_t *limits, const forward_account_t *account,
		       double amount, pd_time_t now, pd_time_t *retry_after)
{
	bucket_t *bucket;

	if (account->rate <= 0)
		return true;
	bucket = limits_bucket(limits, account->name);
	bucket_fill(bucket, account, now);
	if (bucket->level > 0) {
		bucket->level -= amount;
		bucket->own_total += amount;
		return true;
	}
	*retry_after = (pd_time_t)((amount - bucket->level) / account->rate *
				   PD_SEC);
	return false;
}

/* Gives back what a request took that then did not run. */
void token_limits_return(token_limits_t *limits, const char *account,
			 double amount)
{
	bucket_t *bucket = g_hash_table_lookup(limits->buckets, account);

	if (!bucket)
		return;
	bucket->level += amount;
	bucket->own_total -= amount;
}

/* Hears from a peer how much it has taken out in all since it started. */
void token_limits_heard(token_limits_t *limits, const char *account,
			const char *peer, double total, pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account);
	peer_use_t *use = g_hash_table_lookup(bucket->peers, peer);
	double span;
	double used;

	if (!use) {
		use = g_new0(peer_use_t, 1);
		use->total = total;
		use->heard_at = now;
		g_hash_table_insert(bucket->peers, g_strdup(peer), use);
		return;
	}
	if (now - use->heard_at < RATE_SPAN_MIN)
		return;
	span = (double)(now - use->heard_at) / PD_SEC;
	used = total - use->total;
	use->rate += (MAX(used, 0) / span - use->rate) * RATE_WEIGHT;
	bucket->level -= used - use->guessed;
	use->total = total;
	use->heard_at = now;
	use->guessed = 0;
}

/* Calls EACH with what this entry has taken out for every account. */
void token_limits_each(const token_limits_t *limits,
		       void (*each)(void *ctx, const char *account, double total),
		       void *ctx)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, &name, &value))
		each(ctx, name, ((bucket_t *)value)->own_total);
}
