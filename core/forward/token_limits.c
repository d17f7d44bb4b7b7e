/*
 * Buckets of the client accounts, shared by all entries. token-limits-notes.md
 * adds up what they grant at worst.
 */
#include "core/forward/token_limits.h"

#include "core/forward/peer_uses.h"

/*
 * The part of what a window allows that is handed out. The rest is for what
 * several entries grant at the same moment, before they hear of each other.
 */
#define USABLE_FRACTION 0.95
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
#define BURST_REQUESTS 3
#define BURST_LEVEL_MIN 0.25
/*
 * What a bucket holds at the start of an entry if nothing at all is checkpointed of
 * the account, as it is new.
 */
#define INITIAL_FILL 0.15
/*
 * What a start takes of the level checkpointed, which is some 0.2 s old when all
 * entries are killed: in that time a level falls by less than this, see
 * token-limits-notes.md. With a quarter, 333 requests of accounts within limits
 * were refused on six days with two kills of all each, with half of it 40.
 */
#define RESTORED_FRACTION 0.5
/* A start goes by the demand checkpointed until it has measured_requested its own. */
#define RESTORED_DEMAND_TTL (1500 * PD_MSEC)
/* How long it takes at least until all entries know what one has granted. */
#define LAG_MIN (500 * PD_MSEC)
/* A request larger than the bucket needs this part of it to be there. */
#define OVERSIZED_REQUEST_LEVEL 0.8

typedef struct bucket {
	double level;
	double own_total;
	double reported_total; /* of that: told to the aggregator that is followed */
	double requested; /* own_total, and what was refused */
	double reported_requested; /* of requested: told to who keeps the record */
	double measured_requested; /* of requested: when the demand was measured_requested last */
	pd_time_t measured_at; /* 0: never */
	double demand; /* a second, here */
	double restored_demand; /* a second, at all, before this start */
	pd_time_t restored_at; /* when that was read */
	double rate; /* a second, as of the last request */
	bool has_shared_level; /* the level is a peer's, or the record's */
	double size; /* 0: nothing is known of the limit */
	double debt_max; /* what the level may be below nothing */
	pd_time_t updated_at; /* up to when the level was brought */
	double round_tokens; /* since a peer was last heard */
	unsigned int round_requests; /* requests that took it */
	double round_level; /* of the bucket after that; under 0: not yet set */
	pd_time_t round_began_at; /* when a round of peers began to be heard */
	peer_uses_t *peers;
} bucket_t;

struct token_limits {
	token_limits_config_t config;
	double initial_fill; /* of a bucket, that it starts with */
	unsigned int gateway_count; /* that share the buckets */
	pd_time_t lag; /* until all gateway_count know what one has granted */
	GRand *random;
	GHashTable *buckets; /* account name -> bucket_t */
};

static void bucket_destroy(void *data)
{
	bucket_t *bucket = data;

	peer_uses_destroy(bucket->peers);
	g_free(bucket);
}

/*
 * Returns an empty set of buckets; the caller owns it. FILLED says that nothing
 * can have been used before. An entry that starts later does not know what was:
 * were its buckets full, a restart of all entries would grant every account its
 * burst once more, on top of a window that may be used up.
 */
token_limits_t *token_limits_create(const token_limits_config_t *config, bool full)
{
	token_limits_t *limits = g_new0(token_limits_t, 1);

	limits->config = *config;
	limits->initial_fill = full ? 1 : INITIAL_FILL;
	limits->lag = LAG_MIN;
	limits->random = g_rand_new_with_seed(0);
	limits->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						bucket_destroy);
	return limits;
}

/* Goes by other rules from now on; what is in the buckets stays. */
void token_limits_configure(token_limits_t *limits,
			    const token_limits_config_t *config)
{
	limits->config = *config;
}

/* Says how many entries share the buckets. */
void token_limits_set_gateway_count(token_limits_t *limits,
				    unsigned int gateway_count)
{
	limits->gateway_count = gateway_count;
}

/* Says how long it takes until all entries know what one has granted. */
void token_limits_set_lag(token_limits_t *limits, pd_time_t lag)
{
	limits->lag = MAX(lag, LAG_MIN);
}

/* Has this entry draw other lots than others with the same requests. */
void token_limits_seed(token_limits_t *limits, uint32_t seed)
{
	g_rand_set_seed(limits->random, seed);
}

/* Has buckets start with nothing: what was used before could not be learned. */
void token_limits_begin_empty(token_limits_t *limits)
{
	limits->initial_fill = 0;
}

/* Frees the buckets; NULL is allowed. */
void token_limits_destroy(token_limits_t *limits)
{
	if (!limits)
		return;
	g_hash_table_unref(limits->buckets);
	g_rand_free(limits->random);
	g_free(limits);
}

static bucket_t *limits_bucket(token_limits_t *limits, const char *account,
			       pd_time_t now)
{
	bucket_t *bucket = g_hash_table_lookup(limits->buckets, account);

	if (bucket)
		return bucket;
	bucket = g_new0(bucket_t, 1);
	bucket->updated_at = now;
	bucket->peers = peer_uses_create(now);
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
	const token_limits_config_t *config = &limits->config;
	double flow = account->rate * (double)config->window / PD_SEC;
	double allowed = (flow + account->burst) * (1 + config->overage);

	if (account->in_tokens)
		allowed += config->slack;
	return MAX(allowed * USABLE_FRACTION - flow, account->burst);
}

/* Brings the level up to now, by the limit that was seen last. */
static void bucket_update(bucket_t *bucket, pd_time_t now)
{
	bucket->level += bucket->rate * (double)(now - bucket->updated_at) / PD_SEC;
	bucket->updated_at = now;
	bucket->level -= peer_uses_predict(bucket->peers, now);
	bucket->level = CLAMP(bucket->level, -bucket->debt_max, bucket->size);
}

/*
 * Brings the level up to now by an account's limit. A bucket is there as soon as
 * a peer tells of the account, and fills from then on: full only from the
 * first request here on, it lacked all that peers had used before, and in large
 * fleets, where requests of an account come seldom, every seventh was refused.
 */
static void bucket_refill(const token_limits_t *limits, bucket_t *bucket,
			  const forward_account_t *account, pd_time_t now)
{
	bool first = bucket->size <= 0;

	bucket->size = bucket_size(limits, account);
	bucket->rate = account->rate;
	/* After a window without grants nobody asks what was granted before. */
	bucket->debt_max =
		MAX(bucket->size,
		    account->rate * (double)limits->config.window / PD_SEC);
	if (first && !bucket->has_shared_level)
		bucket->level += bucket->size * limits->initial_fill;
	bucket_update(bucket, now);
}

/* Returns what callers of an account ask of all entries in a second. */
static double bucket_demand(const bucket_t *bucket, pd_time_t now)
{
	double demand = bucket->demand + peer_uses_demand(bucket->peers, now);

	if (bucket->restored_at && now - bucket->restored_at < RESTORED_DEMAND_TTL)
		return MAX(demand, bucket->restored_demand);
	return demand;
}

/*
 * Says whether a request goes by lot. What the entries grant together until they
 * have heard of it is not to be more than the bucket holds and what flows in, so
 * where callers ask for more, each request is granted with the probability that
 * makes it so. This holds for any number of entries and any size of requests;
 * shares alone don't, as each entry has at least one request a round: just after
 * all were killed, 63 that did not know each other yet took 1.6 buckets of an
 * account that sent seven times its usual, in half a second. An account that asks
 * for less than that never loses: the probability is one.
 */
static bool bucket_admits_randomly(token_limits_t *limits,
				   const bucket_t *bucket, pd_time_t now)
{
	double demand = bucket_demand(bucket, now);
	double grants = bucket->rate + bucket->level * PD_SEC / (double)limits->lag;

	if (limits->gateway_count <= 1 || grants >= demand)
		return true;
	return g_rand_double(limits->random) * demand < grants;
}

/* Says whether this entry's share until it hears its peers allows for more. */
static bool bucket_is_within_share(const bucket_t *bucket, unsigned int gateway_count)
{
	double share = bucket->round_level * SHARE_FACTOR / MAX(gateway_count, 1);
	unsigned int times = bucket->level >= bucket->size * BURST_LEVEL_MIN
				     ? BURST_REQUESTS
				     : 1;

	return gateway_count <= 1 || bucket->round_requests < times ||
	       bucket->round_tokens < share;
}

/* Begins a new round: what this entry took is in its peers' sums by now. */
static void bucket_begin_round(bucket_t *bucket, pd_time_t now)
{
	if (now - bucket->round_began_at < PEER_USES_INTERVAL_MIN)
		return;
	bucket->round_began_at = now;
	bucket->round_tokens = 0;
	bucket->round_requests = 0;
	bucket->round_level = -1;
}

/*
 * Takes AMOUNT out of the account's bucket. Returns false if there is not as
 * much. VERDICT says what that was judged by, and when there will be.
 */
bool token_limits_take(token_limits_t *limits, const forward_account_t *account,
		       double amount, pd_time_t now, token_decision_t *decision)
{
	bucket_t *bucket;
	double needed;

	*decision = (token_decision_t){ 0 };
	if (account->rate <= 0)
		return true;
	bucket = limits_bucket(limits, account->name, now);
	bucket_refill(limits, bucket, account, now);
	needed = MIN(amount, bucket->size * OVERSIZED_REQUEST_LEVEL);
	if (!bucket->round_began_at)
		bucket_begin_round(bucket, now);
	/* Only now all peers of the round were heard. */
	if (bucket->round_level < 0)
		bucket->round_level = MAX(bucket->level, 0);
	decision->level = bucket->level;
	decision->needed = needed;
	bucket->requested += amount;
	if (bucket->level >= needed &&
	    bucket_is_within_share(bucket, limits->gateway_count) &&
	    bucket_admits_randomly(limits, bucket, now)) {
		bucket->level -= amount;
		bucket->round_tokens += amount;
		bucket->round_requests++;
		bucket->own_total += amount;
		return true;
	}
	decision->retry_after =
		(pd_time_t)((needed - bucket->level) / account->rate * PD_SEC);
	decision->retry_after = MAX(decision->retry_after, PEER_USES_INTERVAL_MIN);
	return false;
}

/* Gives back what a request took that then did not run. */
void token_limits_refund(token_limits_t *limits, const char *account, double amount)
{
	bucket_t *bucket = g_hash_table_lookup(limits->buckets, account);

	if (!bucket)
		return;
	bucket->level += amount;
	bucket->own_total -= amount;
}

/*
 * Takes what a start finds checkpointed of an account: the shared level, and what
 * callers asked for in a second. A debt holds in full.
 */
void token_limits_restore(token_limits_t *limits, const char *account,
			  double level, double demand, pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);

	if (bucket->has_shared_level || bucket->size > 0)
		return;
	bucket->level += level > 0 ? level * RESTORED_FRACTION : level;
	bucket->has_shared_level = true;
	bucket->restored_demand = demand;
	bucket->restored_at = now;
}

/* Has an account's bucket there before its first request. */
void token_limits_add_account(token_limits_t *limits,
			      const forward_account_t *account, pd_time_t now)
{
	if (account->rate > 0)
		bucket_refill(limits, limits_bucket(limits, account->name, now),
			      account, now);
}

/*
 * Hears from a peer how much it was asked for in all since it started, also what
 * it refused; after token_limits_record_peer_use() of the same message.
 */
void token_limits_record_peer_demand(token_limits_t *limits,
				     const char *account, const char *peer,
				     double requested, pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);

	peer_uses_report_demand(bucket->peers, peer, requested, now);
}

/* Returns what callers of an account ask of all entries in a second. */
double token_limits_demand(const token_limits_t *limits, const char *account,
			   pd_time_t now)
{
	const bucket_t *bucket = g_hash_table_lookup(limits->buckets, account);

	return bucket ? bucket_demand(bucket, now) : 0;
}

/* Notes that the aggregator that is followed was told all that was round_tokens here. */
void token_limits_mark_reported(token_limits_t *limits)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bucket_t *bucket = value;

		bucket->reported_total = bucket->own_total;
	}
}

/*
 * Takes a bucket's level from the aggregator that hears all entries. Sums alone did not
 * do: of the first sum that an entry hears it can't tell what was used before its
 * start, so what all others took in the first tenths of a second after a start of
 * all stayed in its bucket.
 */
void token_limits_set_level(token_limits_t *limits, const char *account,
			    double level, pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);

	/* The level has what peers were predicted to use until now. */
	peer_uses_predict(bucket->peers, now);
	bucket->level = level - (bucket->own_total - bucket->reported_total);
	bucket->updated_at = now;
	bucket->has_shared_level = true;
}

/*
 * Hears from a peer how much it has round_tokens out in all since it started. RECENT
 * says that it started so short a time ago that all of it counts; of an older
 * peer only what it takes from now on can be told.
 */
void token_limits_record_peer_use(token_limits_t *limits, const char *account,
				  const char *peer, double total, bool recent,
				  pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);
	double used;

	if (!peer_uses_report(bucket->peers, peer, total, recent, now, &used))
		return;
	bucket->level -= used;
	bucket_begin_round(bucket, now);
}

/*
 * Forgets what peers told, when others tell it from now on. What was round_tokens out
 * of the buckets stays out.
 */
void token_limits_clear_peers(token_limits_t *limits)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		peer_uses_clear(((bucket_t *)value)->peers);
}

/* Forgets a peer that has ended, and what it was round_tokens to go on with. */
void token_limits_remove_peer(token_limits_t *limits, const char *peer)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		peer_uses_remove(((bucket_t *)value)->peers, peer);
}

/*
 * Takes over a bucket's level from a peer that has run for longer, for an entry
 * that has just started and does not know what was used before.
 */
void token_limits_raise_level(token_limits_t *limits, const char *account,
			      double level, pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);

	bucket->level = MAX(bucket->level, level);
	bucket->updated_at = now;
	bucket->has_shared_level = true;
}

/* Measures how much callers ask for here; over short times that says nothing. */
static void bucket_measure_demand(bucket_t *bucket, pd_time_t now)
{
	pd_time_t span = now - bucket->measured_at;

	if (bucket->measured_at && span < PEER_USES_INTERVAL_MIN)
		return;
	if (bucket->measured_at)
		bucket->demand +=
			((bucket->requested - bucket->measured_requested) *
				 PD_SEC / (double)span -
			 bucket->demand) *
			PEER_USES_RATE_WEIGHT;
	bucket->measured_requested = bucket->requested;
	bucket->measured_at = now;
}

/* Brings a bucket up to now and returns what there is to tell of it. */
static token_use_t bucket_get_use(bucket_t *bucket, pd_time_t now)
{
	if (bucket->size > 0)
		bucket_update(bucket, now);
	bucket_measure_demand(bucket, now);
	return (token_use_t){ .total = bucket->own_total,
			      .requested = bucket->requested,
			      .has_level = bucket->size > 0,
			      .level = bucket->level };
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
		token_use_t use = bucket_get_use(value, now);

		each(ctx, name, &use);
	}
}

/* The same for accounts of which requests came since the last time. */
void token_limits_each_changed(token_limits_t *limits, pd_time_t now,
			       token_limits_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		bucket_t *bucket = value;
		token_use_t use;

		if (bucket->reported_requested == bucket->requested)
			continue;
		bucket->reported_requested = bucket->requested;
		use = bucket_get_use(bucket, now);
		each(ctx, name, &use);
	}
}
