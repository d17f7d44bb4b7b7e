/* reach-notes.md compares what a gateway that is cut off can do. */
#include "core/forward/reach.h"

/* Upstreams that requests could not be sent to until others are probed. */
#define FAILURES_PROBED 2
/* A failure proves nothing for longer than this. */
#define FAILURE_TTL (3 * PD_SEC)
/*
 * Probes of different upstreams that fail without one that connects; all of them where
 * fewer serve, but never a single one. Most rounds end with the first wave.
 */
#define PROBES_CUT_OFF 6
#define PROBES_FIRST_WAVE 2
#define ROUND_PERIOD PD_SEC
/* While it is cut off, to notice the end. */
#define CUT_OFF_PROBE_PERIOD (200 * PD_MSEC)
#define CUT_OFF_PROBES 2

typedef struct failure {
	uint32_t short_id; /* of the upstream */
	pd_time_t at;
} failure_t;

struct reach {
	GArray *failures; /* failure_t, of different upstreams, oldest first */
	bool cut_off;
	GArray *probed; /* short ids of the upstreams probed in this round */
	unsigned int failed_probes; /* in this round */
	pd_time_t probe_at; /* when the next round may begin */
};

/* Returns the state of a gateway that is not cut off; the caller owns it. */
reach_t *reach_create(void)
{
	reach_t *reach = g_new0(reach_t, 1);

	reach->failures = g_array_new(FALSE, FALSE, sizeof(failure_t));
	reach->probed = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return reach;
}

/* Frees the state; NULL is allowed. */
void reach_destroy(reach_t *reach)
{
	if (!reach)
		return;
	g_array_unref(reach->failures);
	g_array_unref(reach->probed);
	g_free(reach);
}

/* Ends a round of probes. */
static void end_round(reach_t *reach)
{
	g_array_set_size(reach->probed, 0);
	reach->failed_probes = 0;
}

/*
 * Records that a connection to an upstream was established. Returns whether that ends
 * a time in which the gateway was cut off.
 */
bool reach_record_connected(reach_t *reach)
{
	bool was_cut_off = reach->cut_off;

	g_array_set_size(reach->failures, 0);
	end_round(reach);
	reach->cut_off = false;
	return was_cut_off;
}

/* Removes the failure of an upstream, and those that are too old. */
static void remove_failures(reach_t *reach, uint32_t short_id, pd_time_t now)
{
	for (guint i = reach->failures->len; i-- > 0;) {
		const failure_t *failure =
			&g_array_index(reach->failures, failure_t, i);

		if (failure->short_id == short_id || now - failure->at > FAILURE_TTL)
			g_array_remove_index(reach->failures, i);
	}
}

/* Records that a request could not be sent to an upstream. */
void reach_record_failure(reach_t *reach, uint32_t short_id, pd_time_t now)
{
	const failure_t failure = { short_id, now };

	remove_failures(reach, short_id, now);
	g_array_append_val(reach->failures, failure);
}

/* Returns how many probes of a round have to fail, where SERVING upstreams serve. */
static unsigned int probes_needed(unsigned int serving)
{
	return MIN(serving, PROBES_CUT_OFF);
}

/*
 * Records that a probe failed, where SERVING upstreams serve. Returns whether the
 * gateway is cut off from now on, and was not before.
 */
bool reach_record_probe_failure(reach_t *reach, unsigned int serving)
{
	/* A round ends with a connection; its other probes count no more. */
	if (reach->failed_probes >= reach->probed->len)
		return false;
	reach->failed_probes++;
	if (reach->cut_off || reach->failed_probes < probes_needed(serving))
		return false;
	reach->cut_off = true;
	return true;
}

/* Returns whether a request could not be sent since the last connection. */
bool reach_is_suspicious(const reach_t *reach)
{
	return reach->cut_off || reach->failures->len > 0;
}

/* Returns whether the gateway is cut off from all upstreams. */
bool reach_is_cut_off(const reach_t *reach)
{
	return reach->cut_off;
}

/*
 * Returns how many upstreams to probe now, where SERVING serve: none while requests can
 * be sent, or while probes are under way.
 */
unsigned int reach_take_probes(reach_t *reach, unsigned int serving, pd_time_t now)
{
	if (reach->cut_off) {
		if (now < reach->probe_at)
			return 0;
		end_round(reach);
		reach->probe_at = now + CUT_OFF_PROBE_PERIOD;
		return MIN(serving, CUT_OFF_PROBES);
	}
	remove_failures(reach, 0, now);
	if (reach->failures->len < FAILURES_PROBED || serving < 2) {
		end_round(reach);
		return 0;
	}
	if (reach->failed_probes < reach->probed->len)
		return 0;
	if (reach->probed->len && reach->probed->len < probes_needed(serving))
		return probes_needed(serving) - reach->probed->len;
	if (now < reach->probe_at)
		return 0;
	end_round(reach);
	reach->probe_at = now + ROUND_PERIOD;
	return MIN(PROBES_FIRST_WAVE, probes_needed(serving));
}

/* Returns whether an upstream was not probed in this round. */
bool reach_may_probe(const reach_t *reach, uint32_t short_id)
{
	for (guint i = 0; i < reach->probed->len; i++) {
		if (g_array_index(reach->probed, uint32_t, i) == short_id)
			return false;
	}
	return true;
}

/* Records that an upstream is being probed. */
void reach_record_probe(reach_t *reach, uint32_t short_id)
{
	g_array_append_val(reach->probed, short_id);
}
