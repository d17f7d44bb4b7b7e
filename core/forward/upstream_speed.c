/* Estimates the speed of an upstream by a decayed mean in the logarithmic domain. */
#include "core/forward/upstream_speed.h"

#include <math.h>

/*
 * The estimate follows the last samples of about this number: some ten seconds of an
 * engine's streams at all gateways. Upstreams that pause for half a second spoil a few.
 */
#define SAMPLES_MAX 30.0
/*
 * Samples that the usual speed counts for, so that the level is moderate: without it, slow
 * engines got 0.58 of their part of the requests, and a hang now and then changed a level.
 */
#define PRIOR_SAMPLES 4.0
#define KNOWN_SAMPLES_MIN 3.0
/* Speeds of neighbouring levels, as a ratio. */
#define LEVEL_FACTOR 1.2
/*
 * Levels that an estimate has to be off before the level changes; over a half. At 0.8 some
 * engines of a steady speed went on to the next level by chance, and stayed there.
 */
#define LEVEL_HYSTERESIS 0.9
/* A sample moves the estimate by this factor at most, so that a hang counts as slow only. */
#define OUTLIER_FACTOR 8.0
/* Logarithms of samples beyond it are no times: in microseconds it is a hundred days. */
#define LOG_TIME_MAX 30.0

/* Forgets what is known, as the upstream was started again. */
void upstream_speed_reset(upstream_speed_t *speed)
{
	*speed = (upstream_speed_t){ 0 };
}

/* Adds COUNT samples with the mean LOG_MEAN to the estimate. */
static void add_samples(upstream_speed_t *speed, unsigned int count, double log_mean)
{
	double limit = log(OUTLIER_FACTOR);
	double off = log_mean - speed->log_time;

	if (!(speed->samples > 0)) {
		speed->log_time = log_mean;
		speed->samples = count;
		return;
	}
	off = fmax(fmin(off, limit), -limit);
	speed->samples = fmin(speed->samples + count, SAMPLES_MAX);
	speed->log_time += off * fmin(count / speed->samples, 1);
}

/* Records a sample that was taken here: a positive TIME, in any unit. */
void upstream_speed_record_own(upstream_speed_t *speed, double time)
{
	if (!(time > 0))
		return;
	speed->unsent++;
	speed->unsent_sum += log(time);
	add_samples(speed, 1, log(time));
}

/* Records COUNT samples of a peer, with the mean of their logarithms; ignores implausible ones. */
void upstream_speed_record_peer(upstream_speed_t *speed, unsigned int count,
				double log_mean)
{
	if (count && fabs(log_mean) <= LOG_TIME_MAX)
		add_samples(speed, count, log_mean);
}

/* Returns whether there are samples enough to take part in the usual speed. */
bool upstream_speed_is_known(const upstream_speed_t *speed)
{
	return speed->samples >= KNOWN_SAMPLES_MIN;
}

/* Sets the level that is used. Returns whether it changed. */
static bool set_level(upstream_speed_t *speed, int level)
{
	if (level == speed->level)
		return false;
	speed->level = level;
	speed->factor = pow(LEVEL_FACTOR, level);
	return true;
}

/*
 * Sets the level as another gateway has it; ignores one out of range. Returns whether it
 * changed.
 */
bool upstream_speed_set_level(upstream_speed_t *speed, int level)
{
	if (level < -UPSTREAM_SPEED_LEVEL_MAX || level > UPSTREAM_SPEED_LEVEL_MAX)
		return false;
	speed->prior_level = level;
	return set_level(speed, level);
}

/*
 * Updates the level by the estimate; USUAL_LOG_TIME is the mean of its service's upstreams.
 * While samples are missing, the level known before counts too: without it, three samples
 * that confirmed it moved the level towards 0. Returns whether it changed.
 */
bool upstream_speed_update_level(upstream_speed_t *speed, double usual_log_time)
{
	double measured = (usual_log_time - speed->log_time) / log(LEVEL_FACTOR);
	double weight = speed->samples / (speed->samples + PRIOR_SAMPLES);
	double missing = fmax(1 - speed->samples / SAMPLES_MAX, 0);
	double exact =
		measured * weight + speed->prior_level * (1 - weight) * missing;

	if (!upstream_speed_is_known(speed))
		return false;
	if (fabs(exact - speed->level) < LEVEL_HYSTERESIS)
		return false;
	exact = fmax(fmin(exact, UPSTREAM_SPEED_LEVEL_MAX),
		     -UPSTREAM_SPEED_LEVEL_MAX);
	return set_level(speed, (int)lround(exact));
}

/* Returns the speed as a multiple of the usual one; exactly 1 at level 0. */
double upstream_speed_factor(const upstream_speed_t *speed)
{
	return speed->level ? speed->factor : 1;
}
