/* Token buckets of client accounts. */
#include "core/limits.h"

#include <math.h>

/*
 * Smallest burst of an entry, in requests. A small account's burst divided by
 * the entries is less than one request; two calls a second apart would be
 * refused although the account is within its limit.
 */
#define BURST_MIN_REQUESTS 3.0

typedef struct bucket {
	double tokens;
	pd_time_t refilled_at;
} bucket_t;

struct limits {
	GHashTable *buckets; /* account name -> bucket_t, owned */
};

/* Returns an empty set of buckets; the caller owns it. */
limits_t *limits_create(void)
{
	limits_t *limits = g_new0(limits_t, 1);

	limits->buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return limits;
}

/* Frees the buckets; NULL is allowed. */
void limits_destroy(limits_t *limits)
{
	if (!limits)
		return;
	g_hash_table_unref(limits->buckets);
	g_free(limits);
}

/*
 * Returns the bucket of the account, borrowed; creates a full one if there is
 * none.
 */
static bucket_t *limits_get_bucket(limits_t *limits, const account_t *account,
				   double burst, pd_time_t now)
{
	bucket_t *bucket = g_hash_table_lookup(limits->buckets, account->name);

	if (bucket)
		return bucket;
	bucket = g_new0(bucket_t, 1);
	bucket->tokens = burst;
	bucket->refilled_at = now;
	g_hash_table_insert(limits->buckets, g_strdup(account->name), bucket);
	return bucket;
}

/*
 * Takes one request from the account's bucket, for which this entry has the
 * SHARE (0 to 1) of the rate. The burst is scaled by the square root of the
 * share, since the fluctuation of random arrivals grows with the root of their
 * number; scaled by the share itself, it would refuse callers of an account
 * within its limit. The sum of the bursts is then at most the account's burst
 * times the root of the number of entries.
 *
 * Returns false if the bucket is empty, and sets RETRY_AFTER to the time until
 * it holds a request again; 0 if it never will.
 */
bool limits_take(limits_t *limits, const account_t *account, double share,
		 pd_time_t now, pd_time_t *retry_after)
{
	double burst = MAX(account->burst * sqrt(share), BURST_MIN_REQUESTS);
	double rate = account->requests_per_second * share;
	bucket_t *bucket = limits_get_bucket(limits, account, burst, now);
	double refill = rate * (double)(now - bucket->refilled_at) / PD_SEC;

	bucket->tokens = MIN(bucket->tokens + refill, burst);
	bucket->refilled_at = now;
	if (bucket->tokens >= 1.0) {
		bucket->tokens -= 1.0;
		return true;
	}
	if (rate <= 0) {
		*retry_after = 0; /* retrying won't help */
		return false;
	}
	/* 0 would mean that retrying won't help. */
	*retry_after = MAX((pd_time_t)((1.0 - bucket->tokens) / rate * PD_SEC),
			   PD_MSEC);
	return false;
}
