/*
 * Compares the routing of the entry core under load with three common policies
 * and with bounds for perfect knowledge, in every scenario, for both sites, over
 * fixed seeds. Writes CSV to stdout and a table to stderr.
 *
 *   bench_decisions [SEEDS [SCENARIO [SITE]]]
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/sim.h"

#define DEFAULT_SEED_COUNT 10
#define FIRST_TOKEN_TARGET_MS 590.0
#define TOKEN_GAP_TARGET_MS 38.0

static const char *const policy_names[POLICY_COUNT] = { "entry", "round-robin",
							"least", "prefix" };

typedef enum measure {
	M_OFFERED,
	M_DONE,
	M_REFUSED,
	M_URGENT_REFUSED,
	M_FIRST_P50,
	M_FIRST_P95,
	M_URGENT_P99,
	M_URGENT_BOUND,
	M_FIRST_BOUND,
	M_GAP_P95,
	M_IN_TARGET, /* fraction of the calls not refused */
	M_GOODPUT, /* fraction of the capacity */
	M_SMALL_FAILED, /* fraction of small accounts' calls refused or late */
	M_RECOMPUTED,
	M_HITS, /* hit rate of the engines' prefix caches */
	M_REFUSAL_WAIT_MS, /* longest wait that ended in a refusal */
	M_NO_RETRY_AFTER, /* refusals without Retry-After */
	MEASURE_COUNT
} measure_t;

static const char *const measure_names[MEASURE_COUNT] = {
	"asked",	  "done",	"refused",    "urgent_refused",
	"first_p50",	  "first_p95",	"urgent_p99", "urgent_bound_p99",
	"first_bound",	  "gap_p95",	"in_target",  "goodput",
	"small_out",	  "recomputed", "hits",	      "refusal_held_ms",
	"no_retry_after",
};

/* Orders doubles, for g_array_sort(). */
static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Returns the nearest-rank percentile PART, from 0 to 1, and sorts VALUES. */
static double percentile(GArray *values, double part)
{
	if (!values->len)
		return 0;
	g_array_sort(values, compare_doubles);
	return g_array_index(values, double,
			     (guint)(part * (values->len - 1) + 0.5));
}

/*
 * Returns the time to first token on an idle engine that has cached the prefix.
 */
static double bound_ms(const call_t *call)
{
	unsigned int suffix = call->prompt - PREFIX_TOKENS;
	unsigned int iterations =
		(suffix + ENGINE_CHUNK_TOKENS - 1) / ENGINE_CHUNK_TOKENS;

	return iterations * (ENGINE_BASE_MS + ENGINE_TOKEN_MS) +
	       suffix * ENGINE_PREFILL_MS;
}

/* Returns the work of a call on an engine, in iterations of one slot. */
static double call_work(const call_t *call)
{
	return call->tokens +
	       (double)(call->prompt - PREFIX_TOKENS) / ENGINE_CHUNK_TOKENS;
}

/* Converts a time span to milliseconds. */
static double to_ms(pd_time_t span)
{
	return (double)span / PD_MSEC;
}

/* Returns the mean time between the tokens of a call in milliseconds. */
static double gap_ms(const call_t *call)
{
	return call->tokens < 2 ? 0
				: to_ms(call->done_at - call->first_at) /
					  (call->tokens - 1);
}

typedef struct tally {
	GArray *first, *urgent, *bound, *urgent_bound, *gap;
	double answered, in_target, good, work;
	double small, small_failed;
} tally_t;

/* Adds a call to the tally and to the counters of M. */
static void count_call(const call_t *call, tally_t *tally, double *m)
{
	bool urgent = call->priority == PRIORITY_URGENT;
	double first = to_ms(call->first_at - call->at);
	double bound = bound_ms(call);
	double gap = gap_ms(call);
	bool good = call->done_at && first <= FIRST_TOKEN_TARGET_MS &&
		    gap <= TOKEN_GAP_TARGET_MS;

	m[M_OFFERED]++;
	tally->work += call_work(call);
	g_array_append_val(tally->bound, bound);
	if (urgent)
		g_array_append_val(tally->urgent_bound, bound);
	if (call->account > BATCH_ACCOUNT) {
		tally->small++;
		tally->small_failed += !good;
	}
	if (call->refused) {
		m[M_REFUSED]++;
		m[M_URGENT_REFUSED] += urgent;
		m[M_NO_RETRY_AFTER] += call->retry_after == 0;
		m[M_REFUSAL_WAIT_MS] = MAX(m[M_REFUSAL_WAIT_MS],
					   to_ms(call->refused_at - call->at));
		return;
	}
	tally->answered++;
	tally->in_target += good;
	if (good)
		tally->good += call_work(call);
	if (!call->first_at)
		return;
	m[M_DONE] += call->done_at != 0;
	g_array_append_val(tally->first, first);
	g_array_append_val(tally->gap, gap);
	if (urgent)
		g_array_append_val(tally->urgent, first);
}

/* Creates an empty array of doubles. The caller owns it. */
static GArray *new_double_array(void)
{
	return g_array_new(FALSE, FALSE, sizeof(double));
}

/* Computes all measures of a completed simulation into M. */
static void measure(const sim_t *sim, double *m)
{
	tally_t tally = { .first = new_double_array(),
			  .urgent = new_double_array(),
			  .bound = new_double_array(),
			  .urgent_bound = new_double_array(),
			  .gap = new_double_array() };
	double offered_rate;
	double hits = 0;
	double admitted = 0;

	for (guint i = 0; i < sim->calls->len; i++)
		count_call(sim_call(sim, i), &tally, m);
	for (unsigned int i = 0; i < sim->site->engines; i++)
		m[M_RECOMPUTED] += (double)sim_engine(sim, i)->recomputed;
	for (unsigned int i = 0; i < sim->site->engines; i++) {
		hits += (double)sim_engine(sim, i)->hits;
		admitted += (double)sim_engine(sim, i)->admitted;
	}
	m[M_HITS] = hits / MAX(admitted, 1);
	m[M_FIRST_P50] = percentile(tally.first, 0.5);
	m[M_FIRST_P95] = percentile(tally.first, 0.95);
	m[M_URGENT_P99] = percentile(tally.urgent, 0.99);
	m[M_URGENT_BOUND] = percentile(tally.urgent_bound, 0.99);
	m[M_FIRST_BOUND] = percentile(tally.bound, 0.95);
	m[M_GAP_P95] = percentile(tally.gap, 0.95);
	m[M_IN_TARGET] = tally.answered ? tally.in_target / tally.answered : 0;
	offered_rate = (double)sim->calls->len /
		       ((double)sim->scenario->duration / PD_SEC);
	m[M_GOODPUT] = tally.good / tally.work * offered_rate /
		       site_capacity(sim->site);
	m[M_SMALL_FAILED] = tally.small ? tally.small_failed / tally.small : 0;
	g_array_unref(tally.first);
	g_array_unref(tally.urgent);
	g_array_unref(tally.bound);
	g_array_unref(tally.urgent_bound);
	g_array_unref(tally.gap);
}

/* Prints the measures of one run as a line of CSV. */
static void print_row(const char *site, const char *scenario,
		      const char *policy, unsigned int seed, const double *m)
{
	printf("%s,%s,%s,%u", site, scenario, policy, seed);
	for (int i = 0; i < MEASURE_COUNT; i++)
		printf(",%.3f", m[i]);
	printf("\n");
	fflush(stdout);
}

/* Prints the mean and standard deviation of the main measures to stderr. */
static void print_summary(const char *site, const char *scenario,
			  const char *policy, double all[][MEASURE_COUNT],
			  unsigned int seeds)
{
	static const measure_t shown[] = { M_FIRST_P95,	 M_URGENT_P99,
					   M_GAP_P95,	 M_IN_TARGET,
					   M_GOODPUT,	 M_SMALL_FAILED,
					   M_REFUSED,	 M_HITS,
					   M_RECOMPUTED, M_REFUSAL_WAIT_MS };

	fprintf(stderr, "%-9s%-10s%-12s", site, scenario, policy);
	for (size_t k = 0; k < G_N_ELEMENTS(shown); k++) {
		double sum = 0;
		double squares = 0;
		double mean;

		for (unsigned int i = 0; i < seeds; i++) {
			sum += all[i][shown[k]];
			squares += all[i][shown[k]] * all[i][shown[k]];
		}
		mean = sum / seeds;
		fprintf(stderr, " %9.4g±%-7.2g", mean,
			sqrt(MAX(squares / seeds - mean * mean, 0)));
	}
	fprintf(stderr, "\n");
}

/* Runs a scenario under every policy with each seed and prints the results. */
static void run_all(const site_t *site, const scenario_t *scenario,
		    unsigned int seeds)
{
	double(*all)[MEASURE_COUNT] = g_malloc0(seeds * sizeof(*all));

	for (policy_t policy = 0; policy < POLICY_COUNT; policy++) {
		memset(all, 0, seeds * sizeof(*all));
		for (unsigned int i = 0; i < seeds; i++) {
			sim_t *sim = sim_create(policy, site, scenario, i + 1);

			sim_run(sim);
			measure(sim, all[i]);
			print_row(site->name, scenario->name,
				  policy_names[policy], i + 1, all[i]);
			sim_destroy(sim);
		}
		print_summary(site->name, scenario->name, policy_names[policy],
			      all, seeds);
	}
	g_free(all);
}

int main(int argc, char **argv)
{
	unsigned int seeds = argc > 1 ? (unsigned int)atoi(argv[1])
				      : DEFAULT_SEED_COUNT;

	printf("site,scenario,policy,seed");
	for (int i = 0; i < MEASURE_COUNT; i++)
		printf(",%s", measure_names[i]);
	printf("\n");
	fprintf(stderr, "site     scenario  policy       first_p95 ms      "
			"urgent_p99 ms     gap_p95 ms        in_target         "
			"goodput           small_out         refused           "
			"hits              recomputed        held_ms\n");
	for (size_t s = 0; s < G_N_ELEMENTS(sites); s++) {
		if (argc > 3 && strcmp(argv[3], sites[s].name))
			continue;
		for (int k = 0; k < SCENARIO_COUNT; k++) {
			if (argc > 2 && strcmp(argv[2], scenario_table[k].name))
				continue;
			run_all(&sites[s], &scenario_table[k], seeds);
		}
	}
	return 0;
}
