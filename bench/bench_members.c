/*
 * Measures the membership protocol on a simulated clock, for sizes from the
 * present one to the planned one: failure detection time, false suspicions,
 * dissemination time of urgent updates, and traffic per node. Bytes are those of
 * frames and their replies, without TCP and IP headers.
 */
#include <stdio.h>

#include "tests/harness/gossip.h"

#define SEED 20261202
#define SETTLE_TIME (60 * PD_SEC)
#define STEADY_SECONDS 120
#define MEASURE_TIMEOUT (120 * PD_SEC)
#define RECLAIM_VMS 72
#define RECLAIM_SECONDS 10
#define FREEZE_TIME (8 * PD_SEC)

typedef struct result {
	double first_dead_s; /* from the failure until the first node declares it */
	double all_dead_s;
	unsigned int suspected_pairs; /* pairs of live members, per second */
	unsigned int dead_pairs;
	double leaving_s; /* until every member has the update */
	double generation_s;
	double messages; /* per node and second, without updates */
	double bytes;
	double update_bytes; /* per node, in the second after the updates */
	double reclaim_s; /* until every member has those of a zone's VMs */
	double reclaim_peak; /* bytes per node in the busiest second of these */
	double reclaim_mean; /* bytes per node and second, over RECLAIM_SECONDS */
	uint64_t largest; /* message, in bytes */
} result_t;

/* Returns the bytes that all nodes have sent. */
static uint64_t sum_bytes(const gossip_t *gossip)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < gossip->size; i++)
		sum += gossip->nodes[i].bytes;
	return sum;
}

/* Returns the messages that all nodes have sent. */
static uint64_t sum_messages(const gossip_t *gossip)
{
	uint64_t sum = 0;

	for (unsigned int i = 0; i < gossip->size; i++)
		sum += gossip->nodes[i].messages;
	return sum;
}

/*
 * Counts the pairs in which a member suspects another one that runs, or has
 * declared it dead.
 */
static void count_false_suspicions(const gossip_t *gossip, result_t *result)
{
	for (unsigned int i = 0; i < gossip->size; i++) {
		unsigned int dead;

		if (gossip->nodes[i].dead ||
		    gossip->now < gossip->nodes[i].frozen_until)
			continue;
		dead = gossip_viewers(gossip, i, MEMBER_DEAD);
		result->dead_pairs += dead;
		result->suspected_pairs +=
			gossip_viewers(gossip, i, MEMBER_SUSPECT) - dead;
	}
}

/*
 * Measures traffic and false suspicions in steady state. If FROZEN, some nodes
 * freeze regularly.
 */
static void measure_steady(gossip_t *gossip, unsigned int frozen, result_t *result)
{
	uint64_t bytes = sum_bytes(gossip);
	uint64_t messages = sum_messages(gossip);
	double node_seconds = (double)gossip->size * STEADY_SECONDS;

	for (int second = 0; second < STEADY_SECONDS; second++) {
		/* VMs may pause: a tenth of the fleet freezes at a time. */
		if (frozen && second % 20 == 0)
			for (unsigned int i = 0; i < gossip->size; i += 10)
				gossip->nodes[i].frozen_until =
					gossip->now + FREEZE_TIME;
		gossip_run(gossip, PD_SEC);
		count_false_suspicions(gossip, result);
	}
	result->bytes = (double)(sum_bytes(gossip) - bytes) / node_seconds;
	result->messages = (double)(sum_messages(gossip) - messages) / node_seconds;
}

/*
 * Fails one node, and measures when the first and the last of the others
 * declare it dead.
 */
static void measure_failure(gossip_t *gossip, result_t *result)
{
	unsigned int failed = gossip->size / 2;
	pd_time_t since = gossip->now;

	gossip_kill(gossip, failed);
	while (gossip->now - since < MEASURE_TIMEOUT) {
		unsigned int viewers;

		gossip_run(gossip, 5 * GOSSIP_STEP);
		viewers = gossip_viewers(gossip, failed, MEMBER_DEAD);
		if (viewers && result->first_dead_s == 0)
			result->first_dead_s =
				(double)(gossip->now - since) / PD_SEC;
		if (viewers == gossip->size - 1)
			break;
	}
	result->all_dead_s = (double)(gossip->now - since) / PD_SEC;
}

/*
 * Measures how long a leaving notice and a new bundle generation take to reach
 * every member.
 */
static void measure_updates(gossip_t *gossip, result_t *result)
{
	pd_time_t since = gossip->now;
	uint64_t bytes = sum_bytes(gossip);

	gossip_announce(gossip, 0, 1, true);
	gossip_run(gossip, PD_SEC);
	result->update_bytes = (double)(sum_bytes(gossip) - bytes) / gossip->size;
	gossip_run(gossip, MEASURE_TIMEOUT - PD_SEC);
	for (unsigned int i = 0; i < gossip->size; i++) {
		const gossip_node_t *node = &gossip->nodes[i];

		if (node->dead)
			continue;
		result->leaving_s =
			MAX(result->leaving_s,
			    node->has_leaving
				    ? (double)(node->leaving_at - since) / PD_SEC
				    : (double)MEASURE_TIMEOUT / PD_SEC);
		result->generation_s =
			MAX(result->generation_s,
			    node->generation
				    ? (double)(node->generation_at - since) / PD_SEC
				    : (double)MEASURE_TIMEOUT / PD_SEC);
	}
}

/*
 * Measures the dissemination of the leaving notices of all VMs of a zone, 72 at
 * the planned size.
 */
static void measure_reclaim(gossip_t *gossip, result_t *result)
{
	pd_time_t since = gossip->now;
	uint64_t first = sum_bytes(gossip);

	for (unsigned int vm = 0; vm < RECLAIM_VMS; vm++)
		gossip_announce_wave(gossip, 0, vm);
	for (int second = 0; second < RECLAIM_SECONDS; second++) {
		uint64_t bytes = sum_bytes(gossip);
		double sent;

		gossip_run(gossip, PD_SEC);
		sent = (double)(sum_bytes(gossip) - bytes) / gossip->size;
		result->reclaim_peak = MAX(result->reclaim_peak, sent);
	}
	result->reclaim_mean = (double)(sum_bytes(gossip) - first) /
			       gossip->size / RECLAIM_SECONDS;
	gossip_run(gossip, MEASURE_TIMEOUT);
	for (unsigned int i = 0; i < gossip->size; i++) {
		const gossip_node_t *node = &gossip->nodes[i];
		bool all = node->wave_known_count == RECLAIM_VMS;

		if (!node->dead)
			result->reclaim_s =
				MAX(result->reclaim_s,
				    (double)(all ? node->wave_known_at - since
						 : MEASURE_TIMEOUT) /
					    PD_SEC);
	}
}

/* Runs all measurements at one size and prints the result as a line of CSV. */
static void measure(unsigned int size, double loss, unsigned int frozen)
{
	gossip_t *gossip = gossip_create(size, SEED, loss);
	result_t result = { 0 };

	gossip_run(gossip, SETTLE_TIME);
	measure_steady(gossip, frozen, &result);
	gossip_run(gossip, SETTLE_TIME);
	measure_failure(gossip, &result);
	gossip_run(gossip, SETTLE_TIME);
	measure_updates(gossip, &result);
	measure_reclaim(gossip, &result);
	for (unsigned int i = 0; i < size; i++)
		result.largest =
			MAX(result.largest, gossip->nodes[i].message_bytes_max);
	printf("%u,%.2f,%s,%.1f,%.1f,%u,%u,%.2f,%.2f,%.2f,%.0f,%.0f,%.1f,%.0f,%"
	       ".0f,%u\n",
	       size, loss, frozen ? "yes" : "no", result.first_dead_s,
	       result.all_dead_s, result.suspected_pairs, result.dead_pairs,
	       result.leaving_s, result.generation_s, result.messages, result.bytes,
	       result.update_bytes, result.reclaim_s, result.reclaim_peak,
	       result.reclaim_mean, (unsigned int)result.largest);
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
