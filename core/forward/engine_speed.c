/* Estimates a high quantile of the measured prefill speeds. */
#include "core/forward/engine_speed.h"

/*
 * Tokens per second, until anything is known. Engines that two customers run process
 * 40,000 and 160,000; a guess between them is wrong by a factor of two for about a
 * second.
 */
#define RATE_DEFAULT 80000.0
/* Tokens per second; values outside these bounds are not the speed of an engine. */
#define RATE_MIN 100.0
#define RATE_MAX 1e8
/* Own samples from which on a gateway uses and reports its own estimate. */
#define SAMPLES_MIN 10
/*
 * The first samples move the estimate by STEP_FIRST divided by the number of samples
 * and so find the speed. The later ones move it by STEP_MIN, which follows a
 * replacement of the engines within some hundred requests.
 */
#define STEP_FIRST 1.0
#define STEP_MIN 0.02
/*
 * Ratio of steps down to steps up, so that one sample in ten is above the estimate.
 * Most samples are slower than the engine, because it also had requests of other
 * gateways that this one did not know of yet. By the median, an engine with 42,800
 * tokens a second was estimated at 21,000, and twice as many engines were ordered.
 */
#define STEP_DOWN_FACTOR 0.11
/* Weight of a peer's report in the average, so that no single peer decides. */
#define PEER_WEIGHT 0.2
/*
 * Only prompts that are well above the mean length count, as the times of others depend
 * on connections and the duration of batch steps: by all above the mean, an engine with
 * 157,000 tokens a second was estimated at 70,000.
 */
#define LONG_PROMPT_FACTOR 1.5
#define MEAN_WEIGHT 0.05

typedef struct speed {
	double rate; /* tokens per second, own estimate; 0: no samples */
	unsigned int sample_count;
	double mean_tokens; /* of prompts that were processed alone */
	double peer_rate; /* tokens per second, reported by peers; 0: none */
} speed_t;

struct engine_speeds {
	GHashTable *services; /* name -> speed_t */
};

/* Returns an object in which no speed is known; the caller owns it. */
engine_speeds_t *engine_speeds_create(void)
{
	engine_speeds_t *speeds = g_new0(engine_speeds_t, 1);

	speeds->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return speeds;
}

/* Frees the speeds; NULL is allowed. */
void engine_speeds_destroy(engine_speeds_t *speeds)
{
	if (!speeds)
		return;
	g_hash_table_unref(speeds->services);
	g_free(speeds);
}

/* Returns a service's speed, and creates an unknown one if needed. */
static speed_t *speed_of(engine_speeds_t *speeds, const char *service)
{
	speed_t *speed = g_hash_table_lookup(speeds->services, service);

	if (!speed) {
		speed = g_new0(speed_t, 1);
		g_hash_table_insert(speeds->services, g_strdup(service), speed);
	}
	return speed;
}

/*
 * Moves the estimate towards a high quantile, by steps whose size does not depend on
 * the distance of the sample. With a mean, an upstream that hangs or is several times
 * slower than the others would give all gateways a wrong speed.
 */
static void speed_add_sample(speed_t *speed, double rate)
{
	double step;

	speed->sample_count++;
	if (speed->sample_count == 1) {
		speed->rate = rate;
		return;
	}
	step = MAX(STEP_FIRST / speed->sample_count, STEP_MIN);
	if (rate > speed->rate)
		speed->rate = MIN(speed->rate * (1 + step), rate);
	else
		speed->rate =
			MAX(speed->rate / (1 + step * STEP_DOWN_FACTOR), rate);
}

/*
 * Records that an engine with nothing else to process took ELAPSED from the send of a
 * prompt with TOKENS uncached tokens to its first event.
 */
void engine_speeds_record_sample(engine_speeds_t *speeds, const char *service,
				 double tokens, pd_time_t elapsed)
{
	speed_t *speed = speed_of(speeds, service);
	double rate = tokens * PD_SEC / (double)MAX(elapsed, 1);
	bool is_long = tokens >= speed->mean_tokens * LONG_PROMPT_FACTOR;

	speed->mean_tokens += (tokens - speed->mean_tokens) * MEAN_WEIGHT;
	if (is_long && rate >= RATE_MIN && rate <= RATE_MAX)
		speed_add_sample(speed, rate);
}

/* Records the tokens per second that a peer estimated; ignores implausible values. */
void engine_speeds_record_peer(engine_speeds_t *speeds, const char *service,
			       double rate)
{
	speed_t *speed;

	if (!(rate >= RATE_MIN && rate <= RATE_MAX))
		return;
	speed = speed_of(speeds, service);
	speed->peer_rate += speed->peer_rate > 0
				    ? (rate - speed->peer_rate) * PEER_WEIGHT
				    : rate;
}

/* Returns the own estimate, or that of the peers if own samples are few; 0: neither. */
static double speed_rate(const speed_t *speed)
{
	if (!speed)
		return 0;
	if (speed->sample_count >= SAMPLES_MIN || speed->peer_rate <= 0)
		return speed->rate;
	return speed->peer_rate;
}

/*
 * Returns whether the speed of a service's engines is known well enough to size a fleet
 * by it. After a start the first prompts wait for those of other gateways that have not
 * been reported yet; a fleet was ordered five times too large by three such samples.
 */
bool engine_speeds_is_known(const engine_speeds_t *speeds, const char *service)
{
	const speed_t *speed = g_hash_table_lookup(speeds->services, service);

	return speed &&
	       (speed->sample_count >= SAMPLES_MIN || speed->peer_rate > 0);
}

/*
 * Returns the prompt tokens per second that an engine of a service processes, or
 * RATE_DEFAULT if nothing is known.
 */
double engine_speeds_rate(const engine_speeds_t *speeds, const char *service)
{
	double rate = speed_rate(g_hash_table_lookup(speeds->services, service));

	return rate > 0 ? rate : RATE_DEFAULT;
}

/* Calls EACH with this gateway's own estimates that have enough samples. */
void engine_speeds_each_own(const engine_speeds_t *speeds,
			    engine_speeds_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, speeds->services);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const speed_t *speed = value;

		if (speed->sample_count >= SAMPLES_MIN)
			each(ctx, name, speed->rate);
	}
}
