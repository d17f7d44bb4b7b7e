/* reach-notes.md compares what a gateway that is cut off can do. */
#include "core/forward/reach.h"

/* Upstreams that requests could not be sent to until others are probed. */
#define FAILURES_PROBED 2
/*
 * A connection proves nothing for longer than this. An upstream that can't be connected
 * to is tried again before.
 */
#define OUTCOME_TTL (4 * PD_SEC)
/*
 * Different upstreams that are probed in a round until its next decision; all of them
 * where fewer serve. Most rounds end with the first wave.
 */
#define PROBES_FIRST_WAVE 2
#define PROBES_SECOND_WAVE 6
#define PROBES_MAX 12
#define ROUND_PERIOD PD_SEC
/* A connection is established within a few milliseconds, or is unlikely to be. */
#define WAVE_PERIOD (100 * PD_MSEC)
/* While it is cut off, to notice the end. */
#define CUT_OFF_PROBE_PERIOD (200 * PD_MSEC)
#define CUT_OFF_PROBES 3
/* Results of probes that decide whether a cut is over. */
#define RESULTS_KEPT 32
#define RESULTS_MIN 6
#define RESULTS_MASK (((uint64_t)1 << RESULTS_KEPT) - 1)

/* How the last connection of a request to an upstream went. */
typedef struct outcome {
	uint32_t short_id; /* of the upstream */
	bool connected;
	pd_time_t at;
} outcome_t;

struct reach {
	GArray *outcomes; /* outcome_t, oldest first, beginning with a failure */
	unsigned int failed; /* number of these that are failures */
	bool cut_off;
	GArray *probed; /* short ids of the upstreams probed in this round */
	unsigned int result_count; /* of the probes of this round */
	unsigned int connected; /* of these, how many connected */
	/* probes while cut off, the last one in bit 0; 1: connected, 0: not or not yet */
	uint64_t results;
	unsigned int results_kept;
	pd_time_t probe_at; /* when the next round may begin */
	pd_time_t wave_at; /* when the last probes of this round were started */
};

/* Returns the state of a gateway that is not cut off; the caller owns it. */
reach_t *reach_create(void)
{
	reach_t *reach = g_new0(reach_t, 1);

	reach->outcomes = g_array_new(FALSE, FALSE, sizeof(outcome_t));
	reach->probed = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return reach;
}

/* Frees the state; NULL is allowed. */
void reach_destroy(reach_t *reach)
{
	if (!reach)
		return;
	g_array_unref(reach->outcomes);
	g_array_unref(reach->probed);
	g_free(reach);
}

/* Ends a round of probes; results that come later are ignored. */
static void end_round(reach_t *reach)
{
	g_array_set_size(reach->probed, 0);
	reach->result_count = 0;
	reach->connected = 0;
}

/* Removes the outcome at INDEX. */
static void remove_outcome(reach_t *reach, guint index)
{
	reach->failed -= !g_array_index(reach->outcomes, outcome_t, index).connected;
	g_array_remove_index(reach->outcomes, index);
}

/*
 * Removes outcomes that are too old, and connections older than any failure: they don't
 * show that upstreams can be connected to since.
 */
static void expire_outcomes(reach_t *reach, pd_time_t now)
{
	while (reach->outcomes->len) {
		const outcome_t *oldest =
			&g_array_index(reach->outcomes, outcome_t, 0);

		if (!oldest->connected && now - oldest->at <= OUTCOME_TTL)
			return;
		remove_outcome(reach, 0);
	}
}

/* Removes all outcomes. */
static void clear_outcomes(reach_t *reach)
{
	g_array_set_size(reach->outcomes, 0);
	reach->failed = 0;
}

/* Records how a connection of a request to an upstream went. */
void reach_record_outcome(reach_t *reach, uint32_t short_id, bool connected,
			  pd_time_t now)
{
	const outcome_t outcome = { short_id, connected, now };

	for (guint i = reach->outcomes->len; i-- > 0;) {
		if (g_array_index(reach->outcomes, outcome_t, i).short_id == short_id)
			remove_outcome(reach, i);
	}
	g_array_append_val(reach->outcomes, outcome);
	reach->failed += !connected;
	expire_outcomes(reach, now);
}

/* Returns whether so many connections have failed that upstreams are probed. */
static bool needs_probes(const reach_t *reach)
{
	return reach->failed >= FAILURES_PROBED &&
	       2 * reach->failed >= reach->outcomes->len;
}

/* Returns up to which number of probes a round goes on that has had PROBED of them. */
static unsigned int wave_end(unsigned int probed, unsigned int serving)
{
	if (probed <= PROBES_FIRST_WAVE)
		return MIN(serving, PROBES_FIRST_WAVE);
	if (probed <= PROBES_SECOND_WAVE)
		return MIN(serving, PROBES_SECOND_WAVE);
	return MIN(serving, PROBES_MAX);
}

/* Returns whether more than half of the probes kept have connected. */
static bool most_connected(const reach_t *reach)
{
	unsigned int count = (unsigned int)__builtin_popcountll(reach->results);

	return reach->results_kept >= RESULTS_MIN &&
	       2 * count > reach->results_kept;
}

/* Begins a cut, of which the probes of the round were the first results. */
static void begin_cut(reach_t *reach)
{
	reach->cut_off = true;
	reach->results = (1u << reach->connected) - 1;
	reach->results_kept = reach->result_count;
	end_round(reach);
}

/* Ends a cut, and the suspicion that led to it. */
static void end_cut(reach_t *reach)
{
	reach->cut_off = false;
	clear_outcomes(reach);
	end_round(reach);
}

/*
 * Decides by the probes of a round so far. The gateway is cut off if all of the first two
 * waves failed, or if fewer than a third of all probes connected.
 */
static void decide(reach_t *reach, unsigned int serving)
{
	bool is_last = reach->result_count >= MIN(serving, PROBES_MAX);

	if (reach->connected == PROBES_FIRST_WAVE &&
	    reach->result_count == PROBES_FIRST_WAVE) {
		clear_outcomes(reach);
		end_round(reach);
	} else if (reach->result_count < MIN(serving, PROBES_SECOND_WAVE)) {
		return;
	} else if (!reach->connected ||
		   (is_last && 3 * reach->connected < reach->result_count)) {
		begin_cut(reach);
	} else if (is_last || 2 * reach->connected >= reach->result_count) {
		end_round(reach);
	}
}

/*
 * Records the result of a probe, where SERVING upstreams serve. Returns whether a cut
 * begins or ends with it.
 */
bool reach_record_probe_result(reach_t *reach, bool connected, unsigned int serving)
{
	if (reach->cut_off) {
		/* Which of the last probes it was makes no difference. */
		if (connected)
			reach->results |= reach->results + 1;
		if (!connected || !most_connected(reach))
			return false;
		end_cut(reach);
		return true;
	}
	if (reach->result_count >= reach->probed->len)
		return false;
	reach->result_count++;
	reach->connected += connected;
	if (reach->result_count == reach->probed->len)
		decide(reach, serving);
	return reach->cut_off;
}

/* Returns whether the gateway may be cut off: most connections have failed lately. */
bool reach_is_suspicious(const reach_t *reach)
{
	return reach->cut_off || needs_probes(reach);
}

/* Returns whether the gateway is cut off from all upstreams or most. */
bool reach_is_cut_off(const reach_t *reach)
{
	return reach->cut_off;
}

/* Returns whether the gateway is cut off and no probe connects. */
bool reach_is_total(const reach_t *reach)
{
	return reach->cut_off && !reach->results;
}

/*
 * Returns how many upstreams to probe now, where SERVING serve: none while requests can
 * be sent. The next wave of a round does not wait for probes that hang.
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
	expire_outcomes(reach, now);
	if (reach->probed->len) {
		unsigned int end = wave_end(reach->probed->len + 1, serving);
		bool all_ended = reach->result_count >= reach->probed->len;

		if (!all_ended && now - reach->wave_at < WAVE_PERIOD)
			return 0;
		reach->wave_at = now;
		if (end > reach->probed->len)
			return end - reach->probed->len;
		if (!all_ended)
			return 0;
		end_round(reach); /* fewer upstreams serve now */
	}
	if (!needs_probes(reach) || serving < 2 || now < reach->probe_at)
		return 0;
	reach->probe_at = now + ROUND_PERIOD;
	reach->wave_at = now;
	return wave_end(0, serving);
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

/* Records that an upstream is being probed. One that hangs counts as not connected. */
void reach_record_probe(reach_t *reach, uint32_t short_id)
{
	if (reach->cut_off) {
		reach->results = reach->results << 1 & RESULTS_MASK;
		reach->results_kept = MIN(reach->results_kept + 1, RESULTS_KEPT);
	}
	g_array_append_val(reach->probed, short_id);
}
