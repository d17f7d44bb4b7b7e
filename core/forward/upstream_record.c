/* What this entry knows of one upstream: its failures, and prompts that it holds. */
#include "core/forward/upstreams.h"

/*
 * An upstream that failed is left alone, twice as long each time, and then
 * tried with one request. The first backoff is about one aim of a plain call; the
 * last is short enough that one which recovers is used again within seconds.
 */
#define BACKOFF_INITIAL (150 * PD_MSEC)
#define BACKOFF_MAX (3 * PD_SEC)
#define BACKOFF_FAILURES_MIN 2
/* One that can't be reached counts as having failed so often: 600 ms. */
#define CONNECT_FAILURE_WEIGHT 4
/* How long one that turned a request away counts as full. */
#define REJECTION_PAUSE (150 * PD_MSEC)
/* A test request that was not answered for so long is given up on. */
#define PROBE_TIMEOUT (2 * PD_SEC)
/*
 * Parts of prompts stay at an engine until memory runs out; belief in them ends
 * after this long without use, or a lost cache would draw requests for ever.
 */
#define CACHED_PART_TTL (30 * PD_SEC)
#define CACHED_PARTS_MAX 4096

static bool is_cached(const forward_upstream_t *upstream, uint64_t id, pd_time_t now)
{
	const pd_time_t *used = g_hash_table_lookup(upstream->cached_parts, &id);

	return used && now - *used < CACHED_PART_TTL;
}

/* Returns how many tokens of the call's prompt the upstream has still to read. */
double forward_upstream_uncached_tokens(const forward_upstream_t *upstream,
					const forward_call_t *call, pd_time_t now)
{
	double known = 0;

	for (unsigned int i = 0; i < call->part_count; i++) {
		/* A part counts only if all before it are there too. */
		if (!is_cached(upstream, call->parts[i].id, now))
			break;
		known += call->parts[i].tokens;
	}
	return MAX(call->prompt_tokens - known, 0);
}

static gboolean part_is_stale(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	return *(pd_time_t *)data - *(pd_time_t *)value >= CACHED_PART_TTL;
}

/* Notes that an upstream gets a call, whose prompt it then holds. */
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

/* Notes a failure that speaks against the upstream. */
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
 * Notes that no connection could be had. One that has crashed runs nothing, so
 * by its load it looks the best of all and draws request after request; it is
 * left alone from the first time on. In a wave of crashes some hundred requests
 * went from one to the next of them until they were given up.
 */
void forward_upstream_record_connect_failure(forward_upstream_t *upstream,
					     pd_time_t now)
{
	upstream->failures = MAX(upstream->failures, CONNECT_FAILURE_WEIGHT - 1);
	forward_upstream_record_failure(upstream, now);
}

/*
 * Notes that the upstream had no room. The loads of many entries are known late;
 * its own word is newer.
 */
void forward_upstream_record_rejection(forward_upstream_t *upstream, pd_time_t now)
{
	upstream->full_until = now + REJECTION_PAUSE;
}

/*
 * Forgets what is known of the start before. One that crashed and runs again
 * under its id holds no prompts and has no runs; believed to be the old one, it
 * would be left alone for failures that ended, or draw the requests of subjects
 * that it has to read anew. What this entry has in progress there is counted
 * until each of it ends.
 */
void forward_upstream_record_restart(forward_upstream_t *upstream)
{
	upstream->incarnation++;
	upstream->peers_running = 0;
	upstream->peers_prefill_tokens = 0;
	upstream->failures = 0;
	upstream->backoff_until = 0;
	upstream->full_until = 0;
	upstream->probe_started_at = 0;
	g_hash_table_remove_all(upstream->cached_parts);
}

/* Notes a sound answer. */
void forward_upstream_record_success(forward_upstream_t *upstream)
{
	upstream->failures = 0;
	upstream->backoff_until = 0;
	upstream->probe_started_at = 0;
}

/* Says whether it failed lately, or is being tested by one request. */
bool forward_upstream_in_backoff(const forward_upstream_t *upstream, pd_time_t now)
{
	if (upstream->failures < BACKOFF_FAILURES_MIN)
		return false;
	return now < upstream->backoff_until ||
	       (upstream->probe_started_at &&
		now - upstream->probe_started_at < PROBE_TIMEOUT);
}
