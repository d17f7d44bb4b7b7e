/*
 * Limits of upstreams, the permits held for them, and the buckets from which permits
 * are issued. upstream-limits-notes.md argues the bound.
 */
#include "core/forward/upstream_limits.h"

#include <math.h>

/* Limits that are remembered; further ones are ignored until others are forgotten. */
#define LIMITS_MAX 1024
/*
 * The fraction of a rate that is issued. The rest is a reserve for permits that two
 * gateways issue while they learn which of them does.
 */
#define ISSUED_FRACTION 0.95
/*
 * How long after its request a permit may be used: for a while, and for as long as an
 * upstream takes PERMIT_TTL_REQUESTS. Where requests are rare, a permit would otherwise
 * expire before one comes.
 */
#define PERMIT_TTL PD_SEC
#define PERMIT_TTL_REQUESTS 2
#define PERMIT_TTL_MAX (10 * PD_SEC)
/* Unissued permits add up to one, and to what comes in during this time. */
#define ISSUE_BURST_TIME (250 * PD_MSEC)
/* A limit that ended is remembered for as long as older messages may name it. */
#define LIFTED_TTL (10 * PD_SEC)
/* A limit that no response has confirmed for so long is forgotten. */
#define UNCONFIRMED_TTL (60 * PD_SEC)
/* Time constants of the rates of requests and of permits received. */
#define DEMAND_TIME PD_SEC
#define PERMIT_RATE_TIME (2 * PD_SEC)
/* Less demand than this, in requests per second, is none. */
#define DEMAND_MIN 0.1
/* Permits are requested for this multiple of the demand until the next request. */
#define REQUEST_FACTOR 1.25
#define WAIT_MAX (60 * PD_SEC)

typedef struct limit_entry {
	bool limited;
	double rate; /* requests per second */
	pd_time_t observed_at; /* when a response said so */
	bool unsent; /* observed here, and not sent to other gateways yet */
	GArray *permits; /* pd_time_t: when each permit held expires, ascending */
	double level; /* permits that may be issued now */
	pd_time_t level_at; /* time up to which the level is current */
} limit_entry_t;

/* A rate of events, as a sum in which each one decays exponentially. */
typedef struct decayed_rate {
	double sum;
	pd_time_t at;
} decayed_rate_t;

typedef struct service_demand {
	decayed_rate_t requested; /* attempts of requests to find an upstream */
	decayed_rate_t permits; /* received */
} service_demand_t;

struct upstream_limits {
	GHashTable *entries; /* short id -> limit_entry_t */
	GHashTable *services; /* service -> service_demand_t */
	double share; /* of each rate that is issued here; 0: none */
	pd_time_t issues_from;
	GRand *random;
};

/* Frees a limit_entry_t. */
static void entry_destroy(void *data)
{
	limit_entry_t *entry = data;

	g_array_unref(entry->permits);
	g_free(entry);
}

/* Returns an empty set of limits; the caller owns it. */
upstream_limits_t *upstream_limits_create(void)
{
	upstream_limits_t *limits = g_new0(upstream_limits_t, 1);

	limits->entries = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						NULL, entry_destroy);
	limits->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	limits->random = g_rand_new_with_seed(0);
	return limits;
}

/* Frees the limits; NULL is allowed. */
void upstream_limits_destroy(upstream_limits_t *limits)
{
	if (!limits)
		return;
	g_hash_table_unref(limits->entries);
	g_hash_table_unref(limits->services);
	g_rand_free(limits->random);
	g_free(limits);
}

/* Seeds the choice of upstreams that permits are requested for. */
void upstream_limits_seed(upstream_limits_t *limits, uint32_t seed)
{
	g_rand_set_seed(limits->random, seed);
}

/* Returns whether nothing is known of any limit, not even of one that ended. */
bool upstream_limits_are_empty(const upstream_limits_t *limits)
{
	return !g_hash_table_size(limits->entries);
}

/* Returns the entry of an upstream, borrowed, or NULL. */
static limit_entry_t *find_entry(const upstream_limits_t *limits, uint32_t short_id)
{
	return g_hash_table_lookup(limits->entries, GUINT_TO_POINTER(short_id));
}

/* Adds an empty entry. Returns it, borrowed, or NULL if there are too many. */
static limit_entry_t *add_entry(upstream_limits_t *limits, uint32_t short_id,
				pd_time_t now)
{
	limit_entry_t *entry;

	if (g_hash_table_size(limits->entries) >= LIMITS_MAX)
		return NULL;
	entry = g_new0(limit_entry_t, 1);
	entry->permits = g_array_new(FALSE, FALSE, sizeof(pd_time_t));
	entry->level_at = now;
	g_hash_table_insert(limits->entries, GUINT_TO_POINTER(short_id), entry);
	return entry;
}

/* Returns how long what is known of a limit is kept without a response. */
static pd_time_t knowledge_ttl(bool limited)
{
	return limited ? UNCONFIRMED_TTL : LIFTED_TTL;
}

/* Sets a limit as observed at a time. Returns whether it changed. */
static bool entry_set(limit_entry_t *entry, bool limited, double rate,
		      pd_time_t observed_at)
{
	bool changed = entry->limited != limited ||
		       (limited && entry->rate != rate);

	entry->observed_at = observed_at;
	entry->limited = limited;
	entry->rate = limited ? rate : 0;
	if (!limited)
		g_array_set_size(entry->permits, 0);
	return changed;
}

/*
 * Records that a response of an upstream named its limit, RATE requests per second, or
 * none. Returns whether that is new.
 */
bool upstream_limits_record_response(upstream_limits_t *limits, uint32_t short_id,
				     bool limited, double rate, pd_time_t now)
{
	limit_entry_t *entry = find_entry(limits, short_id);

	if (!entry && limited)
		entry = add_entry(limits, short_id, now);
	if (!entry)
		return false;
	entry->unsent = true;
	return entry_set(entry, limited, rate, now);
}

/*
 * Applies what another gateway knows of a limit, unless it is older than what is known
 * here. Returns whether it changed anything.
 */
bool upstream_limits_merge(upstream_limits_t *limits,
			   const upstream_limit_t *limit, pd_time_t now)
{
	limit_entry_t *entry = find_entry(limits, limit->short_id);
	pd_time_t observed_at = now - limit->age;

	if (limit->age > knowledge_ttl(limit->limited))
		return false;
	if (!entry && limit->limited)
		entry = add_entry(limits, limit->short_id, now);
	if (!entry || observed_at <= entry->observed_at)
		return false;
	entry->unsent = false;
	return entry_set(entry, limit->limited, limit->rate, observed_at);
}

/* Records that other gateways were sent what is known of an upstream's limit. */
void upstream_limits_mark_sent(upstream_limits_t *limits, uint32_t short_id)
{
	limit_entry_t *entry = find_entry(limits, short_id);

	if (entry)
		entry->unsent = false;
}

/* Forgets the limit of an upstream that is gone. */
void upstream_limits_forget(upstream_limits_t *limits, uint32_t short_id)
{
	g_hash_table_remove(limits->entries, GUINT_TO_POINTER(short_id));
}

/* Returns whether an entry is too old to be kept. */
static gboolean entry_is_expired(gpointer short_id, gpointer data, gpointer now)
{
	const limit_entry_t *entry = data;
	pd_time_t age = *(const pd_time_t *)now - entry->observed_at;

	(void)short_id;
	return age > knowledge_ttl(entry->limited);
}

/* Forgets limits that ended or were not confirmed for long. */
void upstream_limits_expire(upstream_limits_t *limits, pd_time_t now)
{
	g_hash_table_foreach_remove(limits->entries, entry_is_expired, &now);
}

/* Removes the permits of an entry that have expired. */
static void drop_expired_permits(limit_entry_t *entry, pd_time_t now)
{
	guint expired = 0;

	while (expired < entry->permits->len &&
	       g_array_index(entry->permits, pd_time_t, expired) <= now)
		expired++;
	if (expired)
		g_array_remove_range(entry->permits, 0, expired);
}

/* Returns an entry as of NOW. */
static upstream_limit_t entry_export(uint32_t short_id, limit_entry_t *entry,
				     pd_time_t now)
{
	drop_expired_permits(entry, now);
	return (upstream_limit_t){
		.short_id = short_id,
		.limited = entry->limited,
		.rate = entry->rate,
		.age = MAX(now - entry->observed_at, 0),
		.permits = entry->permits->len,
		.observed = entry->unsent,
	};
}

/*
 * Sets what is known of the limit of the upstream with LIMIT's short id, its permits
 * excepted. Returns false and sets nothing if that is nothing.
 */
bool upstream_limits_get(const upstream_limits_t *limits, pd_time_t now,
			 upstream_limit_t *limit)
{
	limit_entry_t *entry = find_entry(limits, limit->short_id);
	unsigned int permits = limit->permits;

	if (!entry)
		return false;
	*limit = entry_export(limit->short_id, entry, now);
	limit->permits = permits;
	return true;
}

/*
 * Calls EACH with CTX and each limit, those that ended included; permits are those
 * held. EACH must not change the set.
 */
void upstream_limits_each(const upstream_limits_t *limits, pd_time_t now,
			  upstream_limits_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer short_id;
	gpointer data;

	g_hash_table_iter_init(&iter, limits->entries);
	while (g_hash_table_iter_next(&iter, &short_id, &data)) {
		upstream_limit_t limit =
			entry_export(GPOINTER_TO_UINT(short_id), data, now);

		each(ctx, &limit);
	}
}

/* Returns whether requests to an upstream need a permit. */
bool upstream_limits_is_limited(const upstream_limits_t *limits, uint32_t short_id)
{
	const limit_entry_t *entry = find_entry(limits, short_id);

	return entry && entry->limited;
}

/* Returns whether a request may be sent to an upstream now. */
bool upstream_limits_has_permit(const upstream_limits_t *limits,
				uint32_t short_id, pd_time_t now)
{
	limit_entry_t *entry = find_entry(limits, short_id);

	if (!entry || !entry->limited)
		return true;
	drop_expired_permits(entry, now);
	return entry->permits->len > 0;
}

/*
 * Uses up a permit for one attempt at an upstream, if it has a limit. Returns whether
 * the attempt is allowed.
 */
bool upstream_limits_use_permit(upstream_limits_t *limits, uint32_t short_id,
				pd_time_t now)
{
	limit_entry_t *entry = find_entry(limits, short_id);

	if (!upstream_limits_has_permit(limits, short_id, now))
		return false;
	if (entry && entry->limited)
		g_array_remove_index(entry->permits, 0);
	return true;
}

/* Returns the events per second, with time constant TAU. */
static double decayed_rate_get(const decayed_rate_t *rate, pd_time_t tau,
			       pd_time_t now)
{
	return rate->sum * exp(-(double)(now - rate->at) / (double)tau) *
	       PD_SEC / (double)tau;
}

/* Adds COUNT events at NOW. */
static void decayed_rate_add(decayed_rate_t *rate, double count, pd_time_t tau,
			     pd_time_t now)
{
	rate->sum = rate->sum * exp(-(double)(now - rate->at) / (double)tau) + count;
	rate->at = now;
}

/* Returns the demand for a service, borrowed; creates one that is missing. */
static service_demand_t *get_service(upstream_limits_t *limits, const char *service)
{
	service_demand_t *demand = g_hash_table_lookup(limits->services, service);

	if (!demand) {
		demand = g_new0(service_demand_t, 1);
		g_hash_table_insert(limits->services, g_strdup(service), demand);
	}
	return demand;
}

/* Returns how long after its request a permit may be used. */
static pd_time_t permit_ttl(double rate)
{
	double extra = PERMIT_TTL_REQUESTS * (double)PD_SEC / MAX(rate, 1e-3);

	return MIN(PERMIT_TTL + (pd_time_t)extra, PERMIT_TTL_MAX);
}

/*
 * Adds permits of an upstream of a service that were requested at REQUESTED_AT. That is
 * a time of this gateway's clock, so a grant that arrives late adds none.
 */
void upstream_limits_add_permits(upstream_limits_t *limits, const char *service,
				 uint32_t short_id, unsigned int count,
				 pd_time_t requested_at, pd_time_t now)
{
	limit_entry_t *entry = find_entry(limits, short_id);
	pd_time_t expires_at;

	if (!entry || !entry->limited || requested_at > now)
		return;
	expires_at = requested_at + permit_ttl(entry->rate);
	if (expires_at <= now)
		return;
	drop_expired_permits(entry, now);
	for (unsigned int i = 0;
	     i < count && entry->permits->len < UPSTREAM_PERMITS_MAX; i++)
		g_array_append_val(entry->permits, expires_at);
	decayed_rate_add(&get_service(limits, service)->permits, count,
			 PERMIT_RATE_TIME, now);
}

/* Records that a request of a caller needs an upstream of a service. */
void upstream_limits_record_demand(upstream_limits_t *limits,
				   const char *service, pd_time_t now)
{
	decayed_rate_add(&get_service(limits, service)->requested, 1,
			 DEMAND_TIME, now);
}

/* Returns the requests per second that need an upstream of a service, here. */
double upstream_limits_demand(const upstream_limits_t *limits,
			      const char *service, pd_time_t now)
{
	const service_demand_t *demand =
		g_hash_table_lookup(limits->services, service);

	return demand ? decayed_rate_get(&demand->requested, DEMAND_TIME, now) : 0;
}

/* Returns how many permits to request for a service, without those held. */
static unsigned int permits_needed(const upstream_limits_t *limits,
				   const char *service,
				   const upstream_permit_need_t *need,
				   pd_time_t now)
{
	double demand = upstream_limits_demand(limits, service, now);
	double until_next = demand * (double)need->period / PD_SEC * REQUEST_FACTOR;

	if (demand < DEMAND_MIN && !need->queued)
		return 0;
	return (unsigned int)ceil(until_next) + need->queued;
}

/*
 * Sets how many permits to request for each of COUNT limits of a service, whose permits
 * are those held. What the demand needs until the next request is spread over the
 * limits, from a random one on, so that gateways request them of different upstreams.
 */
void upstream_limits_plan_requests(upstream_limits_t *limits, const char *service,
				   upstream_limit_t *candidates, unsigned int count,
				   const upstream_permit_need_t *need,
				   pd_time_t now)
{
	unsigned int needed = permits_needed(limits, service, need, now);
	unsigned int first =
		count ? (unsigned int)g_rand_int_range(limits->random, 0,
						       (gint32)count)
		      : 0;
	unsigned int held = 0;

	for (unsigned int i = 0; i < count; i++) {
		held += candidates[i].permits;
		candidates[i].permits = 0;
	}
	for (unsigned int i = held; count && i < needed; i++) {
		upstream_limit_t *candidate = &candidates[(first + i) % count];

		if (candidate->permits < UPSTREAM_PERMITS_MAX)
			candidate->permits++;
	}
}

/*
 * Returns how long a request waits for a permit of a service behind AHEAD others, by
 * the rate at which permits arrived lately, RATE_MIN per second at least.
 */
pd_time_t upstream_limits_estimate_wait(const upstream_limits_t *limits,
					const char *service, unsigned int ahead,
					double rate_min, pd_time_t now)
{
	const service_demand_t *demand =
		g_hash_table_lookup(limits->services, service);
	double rate = demand ? decayed_rate_get(&demand->permits,
						PERMIT_RATE_TIME, now)
			     : 0;

	rate = MAX(rate, rate_min);
	if (rate * WAIT_MAX <= (ahead + 1.0) * PD_SEC)
		return WAIT_MAX;
	return (pd_time_t)((ahead + 1.0) / rate * PD_SEC);
}

/*
 * Returns the part of an upstream's capacity that a limit of RATE takes away, from 0 to
 * 1, where one without a limit gets USUAL requests per second.
 */
double upstream_limits_lost_capacity(double rate, double usual)
{
	return usual > rate ? 1 - rate / usual : 0;
}

/* Empties the bucket of an entry as of a time. */
static void entry_empty(gpointer short_id, gpointer data, gpointer from)
{
	limit_entry_t *entry = data;

	(void)short_id;
	entry->level = 0;
	entry->level_at = *(const pd_time_t *)from;
}

/*
 * Sets which part of each rate this gateway issues permits for; 0: none. It begins with
 * nothing and after a while, as another gateway may still issue.
 */
void upstream_limits_set_issuing(upstream_limits_t *limits, double share,
				 pd_time_t now)
{
	if (share > 0 && limits->share <= 0) {
		limits->issues_from = now + UPSTREAM_LIMITS_HANDOVER_TIME;
		g_hash_table_foreach(limits->entries, entry_empty,
				     &limits->issues_from);
	}
	limits->share = share;
}

/*
 * Issues permits for an upstream, WANTED at most. Returns their number, which is 0 if
 * another gateway issues them.
 */
unsigned int upstream_limits_grant(upstream_limits_t *limits, uint32_t short_id,
				   unsigned int wanted, pd_time_t now)
{
	limit_entry_t *entry = find_entry(limits, short_id);
	double rate;
	unsigned int granted;

	if (!entry || !entry->limited || limits->share <= 0 ||
	    now < limits->issues_from)
		return 0;
	rate = entry->rate * limits->share * ISSUED_FRACTION;
	entry->level += rate * (double)MAX(now - entry->level_at, 0) / PD_SEC;
	entry->level =
		MIN(entry->level, 1 + rate * (double)ISSUE_BURST_TIME / PD_SEC);
	entry->level_at = MAX(entry->level_at, now);
	granted = MIN(wanted, (unsigned int)entry->level);
	entry->level -= granted;
	return granted;
}
