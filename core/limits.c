/* Token buckets of the client accounts. */
#include "core/limits.h"

#include <math.h>

/*
 * A small account's burst, split over the entries, is less than one request;
 * two calls a second apart would then be refused though it is within its limit.
 * So each entry grants at least this many at once.
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
 * Takes one request from the account's bucket, of which this entry holds the
 * SHARE (0 to 1) of the rate. The swing of random arrivals shrinks by the root of
 * their number, so by that the burst is split; split evenly, it would refuse
 * callers of an account within its limit. In sum the burst is then at most the
 * account's times the root of the entries.
 *
 * Returns false if the bucket is empty, and then sets RETRY_AFTER to the time
 * until it holds a request again; 0 if it never will.
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
		*retry_after = 0; /* coming back won't help */
		return false;
	}
	/* At least something: none would say that coming back won't help. */
	*retry_after = MAX((pd_time_t)((1.0 - bucket->tokens) / rate * PD_SEC),
			   PD_MSEC);
	return false;
}
