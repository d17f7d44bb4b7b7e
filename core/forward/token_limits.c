/*
 * Token buckets of the client accounts, shared by all gateways. token-limits-notes.md
 * has a bound of what they grant in the worst case.
 */
#include "core/forward/token_limits.h"

#include "core/forward/peer_uses.h"

/*
 * The fraction of what a window allows that buckets hand out. The rest is a reserve for
 * requests that several gateways grant at the same moment, before they learn of each
 * other's.
 */
#define USABLE_FRACTION 0.95
/*
 * Between two rounds of reports from its peers, a gateway takes at most this multiple
 * of its even share of the bucket. Without that limit, a flood at all gateways at once
 * took a tenth more than a window allows, as each gateway emptied the whole bucket by
 * itself. Gateways with uneven load still get what they need within a few rounds.
 */
#define SHARE_FACTOR 4.0
/*
 * Requests that are granted per round regardless of the share, while the bucket is at
 * least this full: callers send in bursts, and in a fleet of hundreds the share is less
 * than one request. With one request, 280 gateways refused 12 in 100 of the requests of
 * accounts that used half of their limits, and after a restart of all most of them for
 * ten seconds and more. What a flood takes beyond the bucket in a round grows by the
 * same factor, so a bucket that runs low is shared strictly.
 */
#define BURST_REQUESTS 3
#define BURST_LEVEL_MIN 0.25
/*
 * Initial fill of a bucket, as a fraction of its size, if the checkpoint has no record
 * of the account because it is new.
 */
#define INITIAL_FILL 0.15
/*
 * Fraction of the checkpointed level that a new gateway process starts with. The record
 * is about 0.2 s old when all gateways are killed, and in that time a level falls by
 * less than this, see token-limits-notes.md. With a quarter, 333 requests of accounts
 * within their limits were refused on six days with two kills of all gateways each;
 * with half of the level, 40.
 */
#define RESTORED_FRACTION 0.5
/*
 * How long a new gateway process uses the checkpointed demand until it has measured its
 * own.
 */
#define RESTORED_DEMAND_TTL (1500 * PD_MSEC)
/* Minimum time until all gateways know what one of them has granted. */
#define LAG_MIN (500 * PD_MSEC)
/*
 * The part of a bucket that is kept for streams that were accepted before and are taken
 * up again: a flood of new requests would leave them nothing.
 */
#define RESUMED_FRACTION 0.25
/* A request that is larger than the bucket needs the bucket to be this full. */
#define OVERSIZED_REQUEST_LEVEL 0.8

typedef struct bucket {
	double level;
	double own_granted; /* tokens granted here since the start of this process */
	double reported_granted; /* part of own_granted that the current aggregator knows */
	double requested; /* own_granted plus what was refused */
	/* value of requested at the last report to the checkpoint writers */
	double reported_requested;
	double measured_requested; /* value of requested at the last measurement of demand */
	pd_time_t measured_at; /* 0: never */
	double demand; /* tokens per second, at this gateway */
	double restored_demand; /* tokens per second, of all gateways, before this start */
	pd_time_t restored_at; /* when the checkpoint was read; 0: it had no record */
	double rate; /* tokens per second, as of the last request */
	bool has_shared_level; /* the level is from a peer or the checkpoint */
	double size; /* 0: the account's limit is not known yet */
	double debt_max; /* how far the level may fall below 0 */
	pd_time_t updated_at; /* time up to which the level is current */
	double round_tokens; /* granted since the round began */
	unsigned int round_requests; /* requests granted since the round began */
	double round_level; /* level at the beginning of the round; negative: not set yet */
	pd_time_t round_began_at; /* when the first report of the round came */
	peer_uses_t *peers;
} bucket_t;

struct token_limits {
	token_limits_config_t config;
	double initial_fill; /* of a new bucket, as a fraction of its size */
	unsigned int gateway_count; /* gateways that share the buckets */
	pd_time_t lag; /* time until all gateways know what one has granted */
	GRand *random;
	GHashTable *buckets; /* account name -> bucket_t */
};

/* Frees a bucket_t. */
static void bucket_destroy(void *data)
{
	bucket_t *bucket = data;

	peer_uses_destroy(bucket->peers);
	g_free(bucket);
}

/*
 * Returns an empty set of buckets; the caller owns it. FULL says that nothing can have
 * been used before, so buckets start full. A gateway that starts later does not know
 * what was used: if its buckets were full, a restart of all gateways would grant every
 * account its burst once more, on top of a window that may be used up.
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

/* Replaces the configuration; the levels of the buckets stay. */
void token_limits_configure(token_limits_t *limits,
			    const token_limits_config_t *config)
{
	limits->config = *config;
}

/* Sets the number of gateways that share the buckets. */
void token_limits_set_gateway_count(token_limits_t *limits,
				    unsigned int gateway_count)
{
	limits->gateway_count = gateway_count;
}

/* Sets the time until all gateways know what one has granted, LAG_MIN at least. */
void token_limits_set_lag(token_limits_t *limits, pd_time_t lag)
{
	limits->lag = MAX(lag, LAG_MIN);
}

/* Seeds the random admission, so that gateways decide independently of each other. */
void token_limits_seed(token_limits_t *limits, uint32_t seed)
{
	g_rand_set_seed(limits->random, seed);
}

/* Makes new buckets start empty, because earlier use could not be read. */
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

/* Returns an account's bucket, and creates an empty one if needed. */
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
 * Returns the size of an account's bucket: as much as a window allows, less what flows
 * in during the window. Requests come in bursts, and a bucket of only the account's
 * burst refused 8 in 100 of the requests of accounts that use about half of their rate;
 * this one refuses 2 in 100.
 */
static double bucket_size(const token_limits_t *limits,
			  const forward_account_t *account)
{
	const token_limits_config_t *config = &limits->config;
	double flow = account->rate * (double)config->window / PD_SEC;
	double allowed = (flow + account->burst) * (1 + config->overage);

	if (account->limits_tokens)
		allowed += config->slack;
	return MAX(allowed * USABLE_FRACTION - flow, account->burst);
}

/* Updates the level to NOW, by the limit that was seen last. */
static void bucket_update(bucket_t *bucket, pd_time_t now)
{
	bucket->level += bucket->rate * (double)(now - bucket->updated_at) / PD_SEC;
	bucket->updated_at = now;
	bucket->level -= peer_uses_predict(bucket->peers, now);
	bucket->level = CLAMP(bucket->level, -bucket->debt_max, bucket->size);
}

/*
 * Updates the level to NOW by an account's limit. A bucket is created as soon as a peer
 * reports use of the account, and fills from then on. When it filled only from the
 * first request at this gateway on, it lacked everything that peers had used before,
 * and in large fleets, where requests of an account are rare at each gateway, every
 * seventh was refused.
 */
static void bucket_refill(const token_limits_t *limits, bucket_t *bucket,
			  const forward_account_t *account, pd_time_t now)
{
	bool first = bucket->size <= 0;

	bucket->size = bucket_size(limits, account);
	bucket->rate = account->rate;
	/* After a window without grants, earlier grants don't matter any more. */
	bucket->debt_max =
		MAX(bucket->size,
		    account->rate * (double)limits->config.window / PD_SEC);
	if (first && !bucket->has_shared_level)
		bucket->level += bucket->size * limits->initial_fill;
	bucket_update(bucket, now);
}

/* Returns the tokens per second that callers of an account request at all gateways. */
static double bucket_demand(const bucket_t *bucket, pd_time_t now)
{
	double demand = bucket->demand + peer_uses_demand(bucket->peers, now);

	if (bucket->restored_at && now - bucket->restored_at < RESTORED_DEMAND_TTL)
		return MAX(demand, bucket->restored_demand);
	return demand;
}

/*
 * Returns whether a request passes random admission. Until all gateways know of each
 * other's grants, together they must not grant more than the bucket's level and what
 * flows in. So where callers request more, each request is granted with the probability
 * that limits the grants to that. This holds for any number of gateways and any size of
 * requests. Shares alone don't ensure it, as each gateway grants at least one request a
 * round: just after a kill of all gateways, 63 gateways that did not know each other
 * yet granted 1.6 buckets within half a second to an account that sent seven times its
 * usual load. An account that requests less than that is always admitted, as the
 * probability is one.
 */
static bool bucket_admits_randomly(token_limits_t *limits,
				   const bucket_t *bucket, pd_time_t now)
{
	double demand = bucket_demand(bucket, now);
	double level = bucket->level - bucket->size * RESUMED_FRACTION;
	double grants = bucket->rate + MAX(level, 0) * PD_SEC / (double)limits->lag;

	if (limits->gateway_count <= 1 || grants >= demand)
		return true;
	return g_rand_double(limits->random) * demand < grants;
}

/*
 * Returns whether this gateway may take more in this round. The level may have been raised
 * since it began, and streams that are taken up come all at once.
 */
static bool bucket_is_within_share(const bucket_t *bucket,
				   unsigned int gateway_count, bool resumes)
{
	double level = resumes ? MAX(bucket->round_level, bucket->level)
			       : bucket->round_level;
	double share = level * SHARE_FACTOR / MAX(gateway_count, 1);
	bool bursts = resumes || bucket->level >= bucket->size * BURST_LEVEL_MIN;

	return gateway_count <= 1 ||
	       bucket->round_requests < (bursts ? BURST_REQUESTS : 1) ||
	       bucket->round_tokens < share;
}

/* Begins a new round: the peers' totals include by now what this gateway took. */
static void bucket_begin_round(bucket_t *bucket, pd_time_t now)
{
	if (now - bucket->round_began_at < PEER_USES_INTERVAL_MIN)
		return;
	bucket->round_began_at = now;
	bucket->round_tokens = 0;
	bucket->round_requests = 0;
	bucket->round_level = -1;
}

/* Takes tokens out of the account's bucket, for a resumed stream or a new request. */
static bool limits_take(token_limits_t *limits,
			const forward_account_t *account, double amount,
			bool resumes, pd_time_t now, token_decision_t *decision)
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
	/* The reports of all peers of the round have arrived only by now. */
	if (bucket->round_level < 0)
		bucket->round_level = MAX(bucket->level, 0);
	decision->level = bucket->level;
	decision->needed = needed;
	bucket->requested += amount;
	if (bucket->level >= needed &&
	    bucket_is_within_share(bucket, limits->gateway_count, resumes) &&
	    (resumes || bucket_admits_randomly(limits, bucket, now))) {
		bucket->level -= amount;
		bucket->round_tokens += amount;
		bucket->round_requests++;
		bucket->own_granted += amount;
		return true;
	}
	decision->retry_after =
		(pd_time_t)((needed - bucket->level) / account->rate * PD_SEC);
	decision->retry_after = MAX(decision->retry_after, PEER_USES_INTERVAL_MIN);
	return false;
}

/*
 * Takes AMOUNT tokens out of the account's bucket for a new request. Returns false if they
 * are not granted. DECISION is set to the level and the tokens needed, and for a refusal
 * to the time after which to retry.
 */
bool token_limits_take(token_limits_t *limits, const forward_account_t *account,
		       double amount, pd_time_t now, token_decision_t *decision)
{
	return limits_take(limits, account, amount, false, now, decision);
}

/*
 * Does the same for a request that takes up a stream which was accepted before. Only as
 * many of these come as streams broke off, so that they need no random admission.
 */
bool token_limits_take_resumed(token_limits_t *limits,
			       const forward_account_t *account, double amount,
			       pd_time_t now, token_decision_t *decision)
{
	return limits_take(limits, account, amount, true, now, decision);
}

/* Returns the tokens of a request that did not run to the bucket. */
void token_limits_refund(token_limits_t *limits, const char *account, double amount)
{
	bucket_t *bucket = g_hash_table_lookup(limits->buckets, account);

	if (!bucket)
		return;
	bucket->level += amount;
	bucket->own_granted -= amount;
}

/*
 * Initializes an account's bucket from the checkpoint, by the shared level and the
 * tokens per second that callers requested. A negative level is taken over in full.
 * Does nothing if the bucket has a level already.
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

/* Creates an account's bucket before its first request. */
void token_limits_add_account(token_limits_t *limits,
			      const forward_account_t *account, pd_time_t now)
{
	if (account->rate > 0)
		bucket_refill(limits, limits_bucket(limits, account->name, now),
			      account, now);
}

/*
 * Records how many tokens callers have requested at a peer since it started, including
 * those that it refused. Has to follow token_limits_record_peer_use() for the same
 * message.
 */
void token_limits_record_peer_demand(token_limits_t *limits,
				     const char *account, const char *peer,
				     double requested, pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);

	peer_uses_report_demand(bucket->peers, peer, requested, now);
}

/* Returns the tokens per second that callers of an account request at all gateways. */
double token_limits_demand(const token_limits_t *limits, const char *account,
			   pd_time_t now)
{
	const bucket_t *bucket = g_hash_table_lookup(limits->buckets, account);

	return bucket ? bucket_demand(bucket, now) : 0;
}

/* Records that the current aggregator knows all tokens that were granted here. */
void token_limits_mark_reported(token_limits_t *limits)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bucket_t *bucket = value;

		bucket->reported_granted = bucket->own_granted;
	}
}

/*
 * Sets a bucket's level to that of the aggregator, which receives the totals of all
 * gateways. Totals alone are not enough: the first one that a gateway receives does not
 * show what was used before its own start, so what all others granted in the first
 * tenths of a second after a restart of all would stay in its bucket.
 */
void token_limits_set_level(token_limits_t *limits, const char *account,
			    double level, pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);

	/*
	 * The aggregator's level includes what peers were predicted to use until now.
	 */
	peer_uses_predict(bucket->peers, now);
	bucket->level = level - (bucket->own_granted - bucket->reported_granted);
	bucket->updated_at = now;
	bucket->has_shared_level = true;
}

/*
 * Records how many tokens a peer has granted since it started. RECENT says that it
 * started so recently that all of them count; of an older peer only later increases are
 * known to be new.
 */
void token_limits_record_peer_use(token_limits_t *limits, const char *account,
				  const char *peer, double granted, bool recent,
				  pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);
	double used;

	if (!peer_uses_report(bucket->peers, peer, granted, recent, now, &used))
		return;
	bucket->level -= used;
	bucket_begin_round(bucket, now);
}

/*
 * Forgets the reports of all peers, because others report for them from now on. The
 * tokens that they have granted stay subtracted.
 */
void token_limits_clear_peers(token_limits_t *limits)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		peer_uses_clear(((bucket_t *)value)->peers);
}

/*
 * Removes a peer that has ended: stops predicting its use, and returns to the buckets what
 * was predicted for the time since. During an outage of many gateways their predicted use
 * would leave nothing to those that are left and to the streams of the others.
 */
void token_limits_remove_peer(token_limits_t *limits, const char *peer,
			      pd_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bucket_t *bucket = value;

		bucket->level +=
			peer_uses_remove(bucket->peers, peer, limits->lag, now);
	}
}

/*
 * Raises a bucket's level to that of a peer that has run for longer, for a gateway that
 * has just started and does not know what was used before.
 */
void token_limits_raise_level(token_limits_t *limits, const char *account,
			      double level, pd_time_t now)
{
	bucket_t *bucket = limits_bucket(limits, account, now);

	bucket->level = MAX(bucket->level, level);
	bucket->updated_at = now;
	bucket->has_shared_level = true;
}

/* Measures the demand at this gateway, if the last measurement is long enough ago. */
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

/* Updates a bucket to NOW and returns the account's use. */
static token_use_t bucket_get_use(bucket_t *bucket, pd_time_t now)
{
	if (bucket->size > 0)
		bucket_update(bucket, now);
	bucket_measure_demand(bucket, now);
	return (token_use_t){ .granted = bucket->own_granted,
			      .requested = bucket->requested,
			      .has_level = bucket->size > 0,
			      .level = bucket->level };
}

/* Calls EACH with this gateway's view of every account's use. */
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

/* Calls EACH for the accounts with requests since the last call. */
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
