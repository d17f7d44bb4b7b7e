/* Smoothed latencies of each target, and the prediction from them. */
#include "core/predict.h"

#define EWMA_WEIGHT 0.05 /* weight of one request in the average */
/*
 * Values used before any request was measured. Without them, an entry that
 * starts under overload would fill its queues in the first second, and all
 * those callers would be late.
 */
#define DEFAULT_FIRST_TOKEN_TIME (100 * PD_MSEC)
#define DEFAULT_SERVICE_TIME (1 * PD_SEC)

typedef struct latencies {
	double first_token_time; /* dispatch to the first token */
	double service_time; /* dispatch to the end */
} latencies_t;

struct predict {
	GHashTable *targets; /* name -> latencies_t [PRIORITIES], owned */
};

/* Returns a predictor without measurements; the caller owns it. */
predict_t *predict_create(void)
{
	predict_t *predict = g_new0(predict_t, 1);

	predict->targets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return predict;
}

/* Frees the predictor; NULL is allowed. */
void predict_destroy(predict_t *predict)
{
	if (!predict)
		return;
	g_hash_table_unref(predict->targets);
	g_free(predict);
}

/*
 * Returns the latencies of a target and priority, borrowed; creates them with
 * the default values if there are none.
 */
static latencies_t *predict_get_latencies(predict_t *predict, const char *target,
					  priority_t priority)
{
	latencies_t *latencies = g_hash_table_lookup(predict->targets, target);

	if (latencies)
		return &latencies[priority];
	latencies = g_new0(latencies_t, PRIORITIES);
	for (int i = 0; i < PRIORITIES; i++) {
		latencies[i].first_token_time = DEFAULT_FIRST_TOKEN_TIME;
		latencies[i].service_time = DEFAULT_SERVICE_TIME;
	}
	g_hash_table_insert(predict->targets, g_strdup(target), latencies);
	return &latencies[priority];
}

/* Adds DURATION to the exponentially weighted moving average VALUE. */
static void update_ewma(double *value, pd_time_t duration)
{
	*value += EWMA_WEIGHT * ((double)duration - *value);
}

/* Records an attempt whose first token came DURATION after its dispatch. */
void predict_record_first_token(predict_t *predict, const char *target,
				priority_t priority, pd_time_t duration)
{
	update_ewma(&predict_get_latencies(predict, target, priority)->first_token_time,
		    duration);
}

/* Records an attempt that occupied its slot for DURATION. */
void predict_record_completion(predict_t *predict, const char *target,
			       priority_t priority, pd_time_t duration)
{
	update_ewma(&predict_get_latencies(predict, target, priority)->service_time,
		    duration);
}

/*
 * Returns the expected time to the first token of a request with AHEAD others
 * of its priority queued before it, if this entry has SLOTS requests of that
 * priority running. That number is what the entry currently gets of engines
 * that it shares with other entries and with more urgent work.
 */
pd_time_t predict_time_to_first_token(predict_t *predict, const char *target,
				      priority_t priority, unsigned int ahead,
				      double slots)
{
	const latencies_t *latencies =
		predict_get_latencies(predict, target, priority);

	return (pd_time_t)(latencies->first_token_time +
			   latencies->service_time * (ahead + 1) / MAX(slots, 1));
}
