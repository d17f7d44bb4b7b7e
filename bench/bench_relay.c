/*
 * Measures the latency that an entry adds to a stream: time to first token and
 * time between tokens, through an entry and directly from the engine. Direct and
 * relayed streams alternate, so that load on the machine affects both alike.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/sse.h"
#include "tests/harness/fleet.h"

#define ROUND_COUNT 60
#define TOKENS_PER_STREAM 50

typedef struct samples {
	double first[ROUND_COUNT]; /* ms */
	double gap[ROUND_COUNT]; /* ms, mean over a stream */
	int count;
} samples_t;

/* Orders doubles, for qsort(). */
static int compare_doubles(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Returns the median of VALUES, and sorts them. */
static double median(double *values, int count)
{
	qsort(values, (size_t)count, sizeof(*values), compare_doubles);
	return values[count / 2];
}

/* Waits for a call, adds its latencies to SAMPLES and frees it. */
static void add_sample(samples_t *samples, call_t *call)
{
	int i = samples->count++;

	call_wait(call);
	assert_false(call->failed);
	samples->first[i] = (double)(call->first_token_at - call->sent_at) / 1000;
	samples->gap[i] = (double)(call->done_at - call->first_token_at) /
			  1000 / TOKENS_PER_STREAM;
	call_destroy(call);
}

/* Measures direct and relayed streams in alternation. */
static void run(fleet_t *fleet, samples_t *direct, samples_t *relayed)
{
	for (int i = 0; i < ROUND_COUNT; i++) {
		char *body = g_strdup_printf("{\"request_id\":\"d%d\","
					     "\"prompt\":\"page %d\","
					     "\"max_tokens\":%d}",
					     i, i, TOKENS_PER_STREAM);
		char *prompt = g_strdup_printf("page %d", i);

		add_sample(direct,
			   call_start(fleet, fleet->engines[0].port, "POST",
				      "/generate", NULL, NULL, NULL, body));
		add_sample(relayed,
			   completion_start(fleet, fleet->entries[0].port,
					    prompt, TOKENS_PER_STREAM, true));
		g_free(body);
		g_free(prompt);
	}
}

int main(void)
{
	const fleet_config_t config = { .entries = 1, .engines = 1 };
	fleet_t *fleet = fleet_create(&config);
	samples_t direct = { 0 };
	samples_t relayed = { 0 };
	double first[2];
	double gap[2];

	run(fleet, &direct, &relayed);
	first[0] = median(direct.first, ROUND_COUNT);
	first[1] = median(relayed.first, ROUND_COUNT);
	gap[0] = median(direct.gap, ROUND_COUNT);
	gap[1] = median(relayed.gap, ROUND_COUNT);
	printf("measure,direct_ms,through_entry_ms,ratio\n");
	printf("first_token,%.3f,%.3f,%.3f\n", first[0], first[1],
	       first[1] / first[0]);
	printf("between_tokens,%.3f,%.3f,%.3f\n", gap[0], gap[1], gap[1] / gap[0]);
	fleet_destroy(fleet);
	return 0;
}
