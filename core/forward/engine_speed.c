/* Follows a high quantile of the speeds at which prompts were read. */
#include "core/forward/engine_speed.h"

/*
 * Tokens a second, until anything was seen. Engines that two customers run read
 * 40,000 and 160,000; a guess between them is wrong by a factor of two for a
 * second or so.
 */
#define RATE_DEFAULT 80000.0
/* What is seen or told outside these bounds is no engine's speed. */
#define RATE_MIN 100.0
#define RATE_MAX 1e8
/* Own sample_count from which on an entry goes by them, and tells them. */
#define SAMPLES_MIN 10
/*
 * A sight moves the estimate by this part of it divided by the number of sample_count,
 * at least by STEP_MIN: the first ones find the speed, the later ones follow
 * engines that were replaced by others within some hundred requests.
 */
#define STEP_FIRST 1.0
#define STEP_MIN 0.02
/*
 * Steps down are this part of steps up, so that one sight in ten is faster than
 * the estimate. Most sample_count are slower than the engine: requests of other entries
 * were there that this one had not heard of. By the median, an engine that read
 * 42,800 tokens a second was taken for one of 21,000, and twice as many ordered.
 */
#define STEP_DOWN_FACTOR 0.11
/* What peers tell is smoothed, so that no single one decides. */
#define PEER_WEIGHT 0.2
/*
 * Prompts that are not well above the mean tell of connections and of the pace of
 * steps, not of reading: by all above it, an engine that read 157,000 tokens a
 * second was taken for one of 70,000.
 */
#define LONG_PROMPT_FACTOR 1.5
#define MEAN_WEIGHT 0.05

typedef struct speed {
	double rate; /* own estimate; 0: nothing seen */
	unsigned int sample_count;
	double mean_tokens; /* of prompts that were read alone */
	double peer_rate; /* by peers; 0: nothing */
} speed_t;

struct engine_speeds {
	GHashTable *services; /* name -> speed_t */
};

/* Returns speeds of which nothing is known; the caller owns them. */
engine_speeds_t *engine_speeds_create(void)
{
	engine_speeds_t *speeds = g_new0(engine_speeds_t, 1);

	speeds->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return speeds;
}

/* Frees them; NULL is allowed. */
void engine_speeds_destroy(engine_speeds_t *speeds)
{
	if (!speeds)
		return;
	g_hash_table_unref(speeds->services);
	g_free(speeds);
}

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
 * Moves towards a high quantile: by the same steps, however far off the sight is. With a mean, an upstream that hangs or is several times slower than
 * the others would teach all entries a wrong speed.
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
 * Notes that an engine which had nothing else to read took so long from the send
 * of a prompt with so many unread tokens to its first event.
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

/* Notes the speed that a peer learned. */
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

static double speed_rate(const speed_t *speed)
{
	if (!speed)
		return 0;
	if (speed->sample_count >= SAMPLES_MIN || speed->peer_rate <= 0)
		return speed->rate;
	return speed->peer_rate;
}

/*
 * Says whether enough was seen or told of a service's engines to order some by
 * it. After a start the first prompts wait for others that nobody has told of
 * yet; a fleet was ordered five times too large by three of them.
 */
bool engine_speeds_is_known(const engine_speeds_t *speeds, const char *service)
{
	const speed_t *speed = g_hash_table_lookup(speeds->services, service);

	return speed &&
	       (speed->sample_count >= SAMPLES_MIN || speed->peer_rate > 0);
}

/* Returns the prompt tokens that an engine of a service reads in a second. */
double engine_speeds_rate(const engine_speeds_t *speeds, const char *service)
{
	double rate = speed_rate(g_hash_table_lookup(speeds->services, service));

	return rate > 0 ? rate : RATE_DEFAULT;
}

/* Calls EACH with what this entry has seen itself, where that is enough. */
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
