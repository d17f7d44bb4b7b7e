/* The table of scenarios and the generation of their calls. */
#include "bench/scenario.h"

#include "core/prefix_cache.h"

#include <math.h>
#include <string.h>

#include "bench/fake_engine.h"
#include "core/hash.h"

#define PROMPT_MIN_TOKENS 306 /* shared prefix and question */
#define PROMPT_MAX_TOKENS 606
#define PROMPT_MEAN_TOKENS 456
#define ANSWER_MEAN_TOKENS 40.0
#define ANSWER_MAX_TOKENS 400
#define URGENT_ANSWER_TOKENS 16
#define PREFIX_BYTES 1024
#define TOKEN_BYTES 4
#define NORMAL_LOAD \
	0.6 /* fraction of the capacity; account limits are relative to it */
#define BURST_FROM (6 * PD_SEC)
#define BURST_UNTIL (36 * PD_SEC)
#define BURST_FACTOR 10.0
#define FLOOD_FACTOR 6.0

const site_t sites[2] = {
	{ "hanbit", 9, 6, 3, 40 },
	{ "kaipuzha", 18, 6, 4, 60 },
};

const scenario_t scenario_table[SCENARIO_COUNT] = {
	{ SCENARIO_DAY, 0, "day", 0.6, 40 * PD_SEC, 200 * PD_MSEC, 100 },
	{ SCENARIO_BURST, 0, "burst", 0.15, 40 * PD_SEC, 200 * PD_MSEC, 100 },
	{ SCENARIO_LAG, 0, "lag10", 0.6, 40 * PD_SEC, 10 * PD_SEC, 100 },
	{ SCENARIO_FLOOD, 0, "flood", 0.6, 40 * PD_SEC, 200 * PD_MSEC, 1.3 },
	{ SCENARIO_OVERLOAD, 0, "overload3", 3, 30 * PD_SEC, 200 * PD_MSEC, 100 },
	{ SCENARIO_ONE_ZONE, 1, "wave1", 0.5, 40 * PD_SEC, 200 * PD_MSEC, 100 },
	{ SCENARIO_TWO_ZONES, 2, "wave2", 0.5, 60 * PD_SEC, 200 * PD_MSEC, 100 },
	{ SCENARIO_UNEVEN, 0, "uneven", 0.6, 40 * PD_SEC, 200 * PD_MSEC, 100 },
};

static const double account_shares[ACCOUNT_COUNT] = { 0.15, 0.5, 0.2, 0.1, 0.05 };

/* Returns the mean length of a response in tokens, over all accounts. */
static double answer_mean_tokens(void)
{
	return account_shares[URGENT_ACCOUNT] * URGENT_ANSWER_TOKENS +
	       (1 - account_shares[URGENT_ACCOUNT]) * ANSWER_MEAN_TOKENS;
}

/*
 * Returns an upper bound of the requests per second that all engines together
 * can complete: full batches, and every prefix cached.
 */
double site_capacity(const site_t *site)
{
	double suffix = PROMPT_MEAN_TOKENS - PREFIX_TOKENS;
	double iterations = answer_mean_tokens() + suffix / ENGINE_CHUNK_TOKENS;
	double ms = ENGINE_BASE_MS + ENGINE_TOKEN_MS * ENGINE_SLOTS +
		    ENGINE_PREFILL_MS * suffix * ENGINE_SLOTS / iterations;

	return site->engines * ENGINE_SLOTS / (iterations * ms / 1000);
}

/* Returns the requests per second of an account at normal load. */
double account_rate(const site_t *site, unsigned int account)
{
	return site_capacity(site) * NORMAL_LOAD * account_shares[account];
}

/*
 * Returns the factor by which an account exceeds the load of the scenario at
 * AT.
 */
static double account_load_factor(const scenario_t *scenario,
				  unsigned int account, pd_time_t at)
{
	if (scenario->kind == SCENARIO_FLOOD && account == LARGE_ACCOUNT)
		return FLOOD_FACTOR;
	if (scenario->kind == SCENARIO_BURST && at >= BURST_FROM && at < BURST_UNTIL)
		return BURST_FACTOR;
	return 1;
}

/*
 * Returns a random response length in tokens: fixed for urgent calls, else
 * exponentially distributed.
 */
static unsigned int random_answer_tokens(GRand *rand, unsigned int account)
{
	double length;

	if (account == URGENT_ACCOUNT)
		return URGENT_ANSWER_TOKENS;
	length = -log(1 - g_rand_double(rand)) * ANSWER_MEAN_TOKENS;
	return CLAMP((unsigned int)length, 1, ANSWER_MAX_TOKENS);
}

/*
 * Returns the index of a random prefix. The distribution is skewed: a few
 * prefixes are requested much more often than the others.
 */
static unsigned int random_prefix(GRand *rand, const site_t *site)
{
	double skewed = pow(g_rand_double(rand), 2);

	return (unsigned int)(skewed * site->prefixes);
}

/*
 * Returns a body of TOKENS tokens that begins with the given prefix. The caller
 * owns it.
 */
static GBytes *make_body(unsigned int prefix, unsigned int tokens)
{
	size_t len = (size_t)tokens * TOKEN_BYTES;
	char *body = g_malloc(len);
	char head[16];

	memset(body, 'x', len);
	g_snprintf(head, sizeof(head), "prefix %04u", prefix);
	for (size_t i = 0; head[i]; i++)
		body[i] = head[i];
	return g_bytes_new_take(body, len);
}

/* Appends a random call of an account that arrives at AT. */
static void add_call(GArray *calls, GRand *rand, const site_t *site,
		     unsigned int account, pd_time_t at)
{
	unsigned int prefix = random_prefix(rand, site);
	call_t call = { .at = at, .account = account };

	call.priority = account == URGENT_ACCOUNT  ? PRIORITY_URGENT
			: account == BATCH_ACCOUNT ? PRIORITY_BATCH
						   : PRIORITY_NORMAL;
	call.prompt = (unsigned int)g_rand_int_range(rand, PROMPT_MIN_TOKENS,
						     PROMPT_MAX_TOKENS);
	call.tokens = random_answer_tokens(rand, account);
	call.body = make_body(prefix, call.prompt);
	call.prefix = prefix_cache_hash_prompt(call.body);
	g_array_append_val(calls, call);
}

/* Orders calls by arrival time, for g_array_sort(). */
static gint compare_arrivals(gconstpointer a, gconstpointer b)
{
	const call_t *left = a;
	const call_t *right = b;

	return (left->at > right->at) - (left->at < right->at);
}

/*
 * Returns all calls of a run, ordered by arrival time. Free them with
 * scenario_calls_free().
 */
GArray *scenario_calls(const site_t *site, const scenario_t *scenario, uint32_t seed)
{
	GArray *calls = g_array_new(FALSE, FALSE, sizeof(call_t));
	GRand *rand = g_rand_new_with_seed(seed);

	for (unsigned int account = 0; account < ACCOUNT_COUNT; account++) {
		double rate = site_capacity(site) * scenario->load *
			      account_shares[account];
		pd_time_t at = 0;

		while (at < scenario->duration) {
			double factor = account_load_factor(scenario, account, at);
			double gap = -log(1 - g_rand_double(rand)) / rate / factor;

			at += (pd_time_t)(gap * PD_SEC) + 1;
			add_call(calls, rand, site, account, at);
		}
	}
	g_array_sort(calls, compare_arrivals);
	g_rand_free(rand);
	return calls;
}

/* Frees the calls and their bodies. */
void scenario_calls_free(GArray *calls)
{
	for (guint i = 0; i < calls->len; i++)
		g_bytes_unref(g_array_index(calls, call_t, i).body);
	g_array_unref(calls);
}
