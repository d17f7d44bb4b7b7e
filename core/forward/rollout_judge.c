/* Judges a new software version by the share of its answers that fail or are slow. */
#include "core/forward/rollout_judge.h"

#include <math.h>

/* The usual time is the one that nine in ten answers of the old version stay below. */
#define USUAL_PART 0.9
/*
 * An answer is slow if it takes more than this many times the usual. Engines that were
 * just started have no prompts cached, and first events take up to twice as long until
 * they have.
 */
#define SLOW_FACTOR 2.0
/* The usual time is not known by fewer answers of the old version. */
#define PACE_SAMPLES_MIN 10
/*
 * While a gateway does not know the usual time, an answer is slow if it takes more than
 * this many times the geometric mean of all gateways.
 */
#define MEAN_FACTOR 3.0
/* The mean is not known by fewer answers of the old version. */
#define MEAN_SAMPLES_MIN 20
#define LOG_UNITS 1000 /* in which logarithms are summed */
/* Fewer bad answers may be the fault of single upstreams. */
#define BAD_MIN 5
/* Shares of bad answers that differ by less are taken as equal. */
#define MARGIN 0.05
/*
 * Standard deviations by which the shares must differ. The comparison is made several
 * times a second for each route, some thousand times in a roll-out: a normal variable
 * exceeds this once in 30,000 draws.
 */
#define DEVIATIONS 4.0
/* Without an answer of the old version to compare with, a larger share is bad. */
#define PART_MAX 0.3

/* Adds a positive time to the estimate of the usual one. */
static void add_time(quantile_t *usual, pd_time_t time)
{
	if (time > 0)
		quantile_add(usual, USUAL_PART, (double)time);
}

/* Records the times of an answer of the old version. */
void rollout_pace_add(rollout_pace_t *pace, const rollout_times_t *times)
{
	add_time(&pace->first_event, times->first_event);
	add_time(&pace->mean_gap, times->mean_gap);
	if (!times->first_event)
		add_time(&pace->total, times->total);
}

/* Returns whether a time is well above the usual one. */
static bool exceeds(const quantile_t *usual, pd_time_t time)
{
	return usual->sample_count >= PACE_SAMPLES_MIN &&
	       (double)time > usual->value * SLOW_FACTOR;
}

/* Returns whether the usual times that apply to an answer are known. */
bool rollout_pace_is_known(const rollout_pace_t *pace, const rollout_times_t *times)
{
	const quantile_t *usual = times->first_event ? &pace->first_event
						     : &pace->total;

	return usual->sample_count >= PACE_SAMPLES_MIN &&
	       (!times->mean_gap ||
		pace->mean_gap.sample_count >= PACE_SAMPLES_MIN);
}

/*
 * Returns whether an answer took several times as long as the old version's. The duration
 * of a stream depends on its length, so streams are compared by the time to the first
 * event and by their pauses.
 */
bool rollout_pace_is_slow(const rollout_pace_t *pace, const rollout_times_t *times)
{
	return exceeds(&pace->first_event, times->first_event) ||
	       exceeds(&pace->mean_gap, times->mean_gap) ||
	       (!times->first_event && exceeds(&pace->total, times->total));
}

/* Returns the time of an answer that is compared: the first event, or the end. */
static pd_time_t main_time(const rollout_times_t *times)
{
	return times->first_event ? times->first_event : times->total;
}

/* Adds the logarithm of a positive time to a sum. */
static void add_log(uint64_t *count, uint64_t *sum, pd_time_t time)
{
	if (time <= 0)
		return;
	(*count)++;
	*sum += (uint64_t)(log((double)time) * LOG_UNITS);
}

/* Adds the times of an answer of the old version to the sums of a tally. */
void rollout_tally_add_times(rollout_tally_t *tally, const rollout_times_t *times)
{
	add_log(&tally->timed, &tally->log_times, main_time(times));
	add_log(&tally->gapped, &tally->log_gaps, times->mean_gap);
}

/* Returns whether a time is well above a mean. */
static bool exceeds_mean(uint64_t count, uint64_t sum, pd_time_t time)
{
	return count >= MEAN_SAMPLES_MIN &&
	       (double)time >
		       MEAN_FACTOR * exp((double)sum / LOG_UNITS / (double)count);
}

/*
 * Returns whether an answer took several times as long as the old version's on average. It
 * finds fewer slow answers than rollout_pace_is_slow(), but needs few of each gateway.
 */
bool rollout_tally_is_slow(const rollout_tally_t *old_version,
			   const rollout_times_t *times)
{
	return exceeds_mean(old_version->timed, old_version->log_times,
			    main_time(times)) ||
	       exceeds_mean(old_version->gapped, old_version->log_gaps,
			    times->mean_gap);
}

/* Adds the numbers of MORE to a tally. */
void rollout_tally_add(rollout_tally_t *tally, const rollout_tally_t *more)
{
	tally->sent += more->sent;
	tally->answers += more->answers;
	tally->failed += more->failed;
	tally->slow += more->slow;
	tally->timed += more->timed;
	tally->log_times += more->log_times;
	tally->gapped += more->gapped;
	tally->log_gaps += more->log_gaps;
}

/* Returns A - B, or 0 if B is larger. */
static uint64_t difference(uint64_t a, uint64_t b)
{
	return a > b ? a - b : 0;
}

/* Subtracts the numbers of LESS, an earlier state of the same tally. */
void rollout_tally_subtract(rollout_tally_t *tally, const rollout_tally_t *less)
{
	tally->sent = difference(tally->sent, less->sent);
	tally->answers = difference(tally->answers, less->answers);
	tally->failed = difference(tally->failed, less->failed);
	tally->slow = difference(tally->slow, less->slow);
}

/*
 * Returns whether BAD_NEW of ALL_NEW is a larger share than BAD_OLD of ALL_OLD, by the
 * margin and beyond chance (two-proportion z-test).
 */
static bool share_is_larger(uint64_t bad_old, uint64_t all_old,
			    uint64_t bad_new, uint64_t all_new)
{
	double old_part = all_old ? (double)bad_old / (double)all_old : 0;
	double new_part = all_new ? (double)bad_new / (double)all_new : 0;
	double pooled;
	double error;

	if (bad_new < BAD_MIN || new_part - old_part < MARGIN)
		return false;
	if (!all_old)
		return new_part > PART_MAX;
	pooled = (double)(bad_old + bad_new) / (double)(all_old + all_new);
	error = sqrt(pooled * (1 - pooled) *
		     (1 / (double)all_old + 1 / (double)all_new));
	return new_part - old_part > DEVIATIONS * error;
}

/* Returns whether the new version fails or is slow more often than the old one. */
bool rollout_judge_is_worse(const rollout_tally_t *old_version,
			    const rollout_tally_t *new_version)
{
	return share_is_larger(old_version->failed, old_version->answers,
			       new_version->failed, new_version->answers) ||
	       share_is_larger(old_version->slow, old_version->answers,
			       new_version->slow, new_version->answers) ||
	       share_is_larger(old_version->failed + old_version->slow,
			       old_version->answers,
			       new_version->failed + new_version->slow,
			       new_version->answers);
}
