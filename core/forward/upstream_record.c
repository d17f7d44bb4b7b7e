/*
 * What this gateway has observed of one upstream: its failures, and the prompts
 * that it has cached.
 */
#include "core/forward/upstreams.h"

/*
 * An upstream that fails is not used for a time that doubles with each failure,
 * and is then tried with one request. The first backoff is about one latency
 * goal of a plain call; the longest is short enough for one that recovers to be
 * used again within seconds.
 */
#define BACKOFF_INITIAL (150 * PD_MSEC)
#define BACKOFF_MAX (3 * PD_SEC)
#define BACKOFF_FAILURES_MIN 2
/* A failed connection counts as so many in a row: a backoff of 600 ms. */
#define CONNECT_FAILURE_WEIGHT 4
/* How long an upstream that rejected a request counts as full. */
#define REJECTION_PAUSE (150 * PD_MSEC)
/* A probe request without a response for so long no longer blocks others. */
#define PROBE_TIMEOUT (2 * PD_SEC)
/*
 * Engines keep parts of prompts cached until memory runs out. After this time
 * without use a part is assumed to be evicted; otherwise an upstream that lost
 * its cache would attract requests for ever.
 */
#define CACHED_PART_TTL (30 * PD_SEC)
#define CACHED_PARTS_MAX 4096

/* Returns whether an upstream is assumed to have a prompt part cached. */
static bool is_cached(const forward_upstream_t *upstream, uint64_t id, pd_time_t now)
{
	const pd_time_t *used = g_hash_table_lookup(upstream->cached_parts, &id);

	return used && now - *used < CACHED_PART_TTL;
}

/*
 * Returns the tokens of the call's prompt that are not in the upstream's prefix
 * cache, as far as is known.
 */
double forward_upstream_uncached_tokens(const forward_upstream_t *upstream,
					const forward_call_t *call, pd_time_t now)
{
	double cached = 0;

	for (unsigned int i = 0; i < call->part_count; i++) {
		/*
		 * A prefix cache can use a part only if all parts before it are
		 * cached.
		 */
		if (!is_cached(upstream, call->parts[i].id, now))
			break;
		cached += call->parts[i].tokens;
	}
	return MAX(call->prompt_tokens - cached, 0);
}

/*
 * Returns whether a cached part was last used too long before *DATA, a
 * pd_time_t.
 */
static gboolean part_is_stale(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(pd_time_t *)data - *(pd_time_t *)value >= CACHED_PART_TTL;
}

/*
 * Records that a call is sent to an upstream, which then has its prompt cached.
 */
void forward_upstream_record_send(forward_upstream_t *upstream,
				  const forward_call_t *call, pd_time_t now)
{
	if (g_hash_table_size(upstream->cached_parts) > CACHED_PARTS_MAX)
		g_hash_table_foreach_remove(upstream->cached_parts,
					    part_is_stale, &now);
	for (unsigned int i = 0; i < call->part_count; i++) {
		pd_time_t *used = g_hash_table_lookup(upstream->cached_parts,
						      &call->parts[i].id);

		if (!used) {
			uint64_t *id = g_new(uint64_t, 1);

			*id = call->parts[i].id;
			used = g_new(pd_time_t, 1);
			g_hash_table_insert(upstream->cached_parts, id, used);
		}
		*used = now;
	}
	if (upstream->failures >= BACKOFF_FAILURES_MIN)
		upstream->probe_started_at = now;
}

/* Records a failure of the upstream, which is in backoff from the second in a row on. */
void forward_upstream_record_failure(forward_upstream_t *upstream, pd_time_t now)
{
	pd_time_t backoff = BACKOFF_INITIAL;

	upstream->failures++;
	upstream->probe_started_at = 0;
	if (upstream->failures < BACKOFF_FAILURES_MIN)
		return;
	for (unsigned int i = BACKOFF_FAILURES_MIN;
	     i < upstream->failures && backoff < BACKOFF_MAX; i++)
		backoff *= 2;
	upstream->backoff_until = now + MIN(backoff, BACKOFF_MAX);
}

/*
 * Records that no connection could be made. A crashed upstream runs nothing, so
 * its cost is the lowest and request after request is sent to it; it is
 * therefore backed off from the first failure on. In a wave of crashes, some
 * hundred requests went from one crashed upstream to the next until they were
 * given up.
 */
void forward_upstream_record_connect_failure(forward_upstream_t *upstream,
					     pd_time_t now)
{
	upstream_process_record_unreached(&upstream->process, now);
	upstream->failures = MAX(upstream->failures, CONNECT_FAILURE_WEIGHT - 1);
	forward_upstream_record_failure(upstream, now);
}

/*
 * Records that nobody listens at the upstream's address, so its process has ended. Where
 * processes do not keep their ids, the next one there is not this upstream.
 */
void forward_upstream_record_refusal(forward_upstream_t *upstream, pd_time_t now)
{
	if (upstream->start_time_ms)
		upstream_process_record_refused(&upstream->process, now);
}

/*
 * Records that the upstream had no free slot. That is newer than the loads that
 * peers reported.
 */
void forward_upstream_record_rejection(forward_upstream_t *upstream, pd_time_t now)
{
	upstream->full_until = now + REJECTION_PAUSE;
}

/*
 * Records that the upstream rejected a request and asked for a time of rest. A shorter one
 * doesn't end one that it asked for before.
 */
void forward_upstream_record_rest(forward_upstream_t *upstream, pd_time_t rest,
				  pd_time_t now)
{
	upstream->rest_until = MAX(upstream->rest_until, now + rest);
}

/* Returns whether the upstream has asked this gateway for no requests now. */
bool forward_upstream_is_resting(const forward_upstream_t *upstream, pd_time_t now)
{
	return now < upstream->rest_until;
}

/*
 * Resets what was observed before a restart. A process that crashed and runs
 * again under its id has nothing cached and no requests. With the old state it
 * would stay backed off for failures that are over, or be sent requests whose
 * prompts it has to process anew. This gateway's requests there are
 * counted until each of them ends.
 */
void forward_upstream_record_restart(forward_upstream_t *upstream)
{
	upstream->incarnation++;
	upstream->peers_running = 0;
	upstream->peers_prefill_tokens = 0;
	upstream->failures = 0;
	upstream->backoff_until = 0;
	upstream->full_until = 0;
	upstream->rest_until = 0;
	upstream->leaving = false;
	upstream->brittleness = (forward_brittleness_t){ 0 };
	upstream->probe_started_at = 0;
	upstream_speed_reset(&upstream->speed);
	g_hash_table_remove_all(upstream->cached_parts);
}

/* Records a valid response, which ends the backoff. */
void forward_upstream_record_success(forward_upstream_t *upstream)
{
	upstream->failures = 0;
	upstream->backoff_until = 0;
	upstream->probe_started_at = 0;
}

/*
 * Returns whether the upstream has failed recently, or is being probed by one
 * request.
 */
bool forward_upstream_in_backoff(const forward_upstream_t *upstream, pd_time_t now)
{
	if (upstream->failures < BACKOFF_FAILURES_MIN)
		return false;
	return now < upstream->backoff_until ||
	       (upstream->probe_started_at &&
		now - upstream->probe_started_at < PROBE_TIMEOUT);
}
