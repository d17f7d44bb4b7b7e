/*
 * Measures membership on a simulated clock, at sizes from today's to the
 * planned one: how soon a death is known, how often the living are doubted, how
 * fast urgent news spreads, and what a node sends. Bytes are those of frames
 * and their answers, without TCP and IP.
 */
#include <stdio.h>

#include "tests/harness/gossip.h"

#define SEED 20261202
#define SETTLE (60 * PD_SEC)
#define STEADY_SECONDS 120
#define LIMIT (120 * PD_SEC)
#define WAVE_VMS 72
#define WAVE_SECONDS 10
#define FREEZE (8 * PD_SEC)

typedef struct result {
	double first_dead_s; /* after the death: the first that calls it dead */
	double all_dead_s;
	unsigned int suspected; /* second by second: pairs of living members */
	unsigned int called_dead;
	double leaving_s; /* until every member knows */
	double generation_s;
	double messages; /* a node a second, quiet */
	double bytes;
	double wave_bytes; /* a node, in the busiest second of the news */
	double wave_s; /* until every member knows of a zone's VMs */
	double wave_peak; /* bytes a node in the busiest second of that */
	double wave_mean; /* bytes a node a second, over ten seconds */
	uint64_t largest; /* bytes of a message */
} result_t;

static uint64_t sum_bytes(const gossip_t *gossip)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < gossip->size; i++)
		sum += gossip->nodes[i].bytes;
	return sum;
}

static uint64_t sum_messages(const gossip_t *gossip)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < gossip->size; i++)
		sum += gossip->nodes[i].messages;
	return sum;
}

static void count_doubts(const gossip_t *gossip, result_t *result)
{
	for (unsigned int i = 0; i < gossip->size; i++) {
		unsigned int dead;

		if (gossip->nodes[i].dead ||
		    gossip->now < gossip->nodes[i].frozen_until)
			continue;
		dead = gossip_viewers(gossip, i, MEMBER_DEAD);
		result->called_dead += dead;
		result->suspected +=
			gossip_viewers(gossip, i, MEMBER_SUSPECT) - dead;
	}
}

static void measure_steady(gossip_t *gossip, unsigned int frozen, result_t *result)
{
	uint64_t bytes = sum_bytes(gossip);
	uint64_t messages = sum_messages(gossip);
	double node_seconds = (double)gossip->size * STEADY_SECONDS;

	for (int second = 0; second < STEADY_SECONDS; second++) {
		/* A tenth of the fleet pauses by turns, as VMs do. */
		if (frozen && second % 20 == 0)
			for (unsigned int i = 0; i < gossip->size; i += 10)
				gossip->nodes[i].frozen_until = gossip->now + FREEZE;
		gossip_run(gossip, PD_SEC);
		count_doubts(gossip, result);
	}
	result->bytes = (double)(sum_bytes(gossip) - bytes) / node_seconds;
	result->messages = (double)(sum_messages(gossip) - messages) / node_seconds;
}

static void measure_death(gossip_t *gossip, result_t *result)
{
	unsigned int victim = gossip->size / 2;
	pd_time_t since = gossip->now;

	gossip_kill(gossip, victim);
	while (gossip->now - since < LIMIT) {
		unsigned int viewers;

		gossip_run(gossip, 5 * GOSSIP_STEP);
		viewers = gossip_viewers(gossip, victim, MEMBER_DEAD);
		if (viewers && result->first_dead_s == 0)
			result->first_dead_s =
				(double)(gossip->now - since) / PD_SEC;
		if (viewers == gossip->size - 1)
			break;
	}
	result->all_dead_s = (double)(gossip->now - since) / PD_SEC;
}

static void measure_news(gossip_t *gossip, result_t *result)
{
	pd_time_t since = gossip->now;
	uint64_t bytes = sum_bytes(gossip);

	gossip_announce(gossip, 0, 1, true);
	gossip_run(gossip, PD_SEC);
	result->wave_bytes = (double)(sum_bytes(gossip) - bytes) / gossip->size;
	gossip_run(gossip, LIMIT - PD_SEC);
	for (unsigned int i = 0; i < gossip->size; i++) {
		const gossip_node_t *node = &gossip->nodes[i];

		if (node->dead)
			continue;
		result->leaving_s =
			MAX(result->leaving_s,
			    node->has_leaving
				    ? (double)(node->leaving_at - since) / PD_SEC
				    : (double)LIMIT / PD_SEC);
		result->generation_s =
			MAX(result->generation_s,
			    node->generation
				    ? (double)(node->generation_at - since) / PD_SEC
				    : (double)LIMIT / PD_SEC);
	}
}

/* A zone's VMs, 72 at the planned size, are all told to leave. */
static void measure_wave(gossip_t *gossip, result_t *result)
{
	pd_time_t since = gossip->now;
	uint64_t first = sum_bytes(gossip);

	for (unsigned int vm = 0; vm < WAVE_VMS; vm++)
		gossip_announce_wave(gossip, 0, vm);
	for (int second = 0; second < WAVE_SECONDS; second++) {
		uint64_t bytes = sum_bytes(gossip);
		double sent;

		gossip_run(gossip, PD_SEC);
		sent = (double)(sum_bytes(gossip) - bytes) / gossip->size;
		result->wave_peak = MAX(result->wave_peak, sent);
	}
	result->wave_mean = (double)(sum_bytes(gossip) - first) / gossip->size /
			    WAVE_SECONDS;
	gossip_run(gossip, LIMIT);
	for (unsigned int i = 0; i < gossip->size; i++) {
		const gossip_node_t *node = &gossip->nodes[i];
		bool all = node->wave_known_count == WAVE_VMS;

		if (!node->dead)
			result->wave_s = MAX(result->wave_s,
					     (double)(all ? node->wave_known_at - since
							  : LIMIT) /
						     PD_SEC);
	}
}

static void measure(unsigned int size, double loss, unsigned int frozen)
{
	gossip_t *gossip = gossip_create(size, SEED, loss);
	result_t result = { 0 };

	gossip_run(gossip, SETTLE);
	measure_steady(gossip, frozen, &result);
	gossip_run(gossip, SETTLE);
	measure_death(gossip, &result);
	gossip_run(gossip, SETTLE);
	measure_news(gossip, &result);
	measure_wave(gossip, &result);
	for (unsigned int i = 0; i < size; i++)
		result.largest =
			MAX(result.largest, gossip->nodes[i].message_bytes_max);
	printf("%u,%.2f,%s,%.1f,%.1f,%u,%u,%.2f,%.2f,%.2f,%.0f,%.0f,%.1f,%.0f,%"
	       ".0f,%u\n",
	       size, loss, frozen ? "yes" : "no", result.first_dead_s,
	       result.all_dead_s, result.suspected, result.called_dead,
	       result.leaving_s, result.generation_s, result.messages,
	       result.bytes, result.wave_bytes, result.wave_s, result.wave_peak,
	       result.wave_mean, (unsigned int)result.largest);
	gossip_destroy(gossip);
}

int main(void)
{
	static const unsigned int sizes[] = { 6, 24, 96, 320 };
	static const double losses[] = { 0, 0.05, 0.2 };

	printf("members,loss,frozen,first_dead_s,all_dead_s,suspected_pair_s,"
	       "dead_pair_s,leaving_s,generation_s,messages_per_s,bytes_per_s,"
	       "news_second_bytes,wave_s,wave_peak_bytes,wave_mean_bytes,"
	       "largest_message\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(losses); k++)
			measure(sizes[i], losses[k], 0);
		measure(sizes[i], 0, 1);
	}
	return 0;
}
