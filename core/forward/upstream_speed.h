/*
 * The speed of each upstream, relative to the usual one of its service: learned from the
 * times of answers, by samples that gateways share. It answers loads that upstreams of
 * unequal speed serve together: with equal shares, requests queue at the slow ones while
 * the fast ones idle. docs/design/upstream-speed.md compares the methods.
 */
#ifndef PISTACHIO_UPSTREAM_SPEED_H
#define PISTACHIO_UPSTREAM_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/* Speeds are used in levels, so that gateways agree on them; level 0 is the usual speed. */
#define UPSTREAM_SPEED_LEVEL_MAX 7

typedef struct upstream_speed {
	double log_time; /* decayed mean of the logarithms of the samples */
	double samples; /* behind it, decayed; 0: none */
	int level;
	int prior_level; /* as the checkpoint or an aggregator had it last */
	double factor; /* of the level, if that is not 0 */
	/* taken here and not sent to other gateways yet */
	unsigned int unsent;
	double unsent_sum; /* of the logarithms */
} upstream_speed_t;

void upstream_speed_reset(upstream_speed_t *speed);
void upstream_speed_record_own(upstream_speed_t *speed, double time);
void upstream_speed_record_peer(upstream_speed_t *speed, unsigned int count,
				double log_mean);
bool upstream_speed_is_known(const upstream_speed_t *speed);
bool upstream_speed_set_level(upstream_speed_t *speed, int level);
bool upstream_speed_update_level(upstream_speed_t *speed, double usual_log_time);
double upstream_speed_factor(const upstream_speed_t *speed);

#endif
