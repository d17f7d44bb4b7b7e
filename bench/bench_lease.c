/*
 * What placers that stand by cost the platform, and how fast one takes over, by
 * the number of placers: their leases on a simulated clock and one fake object.
 */
#include <glib.h>
#include <stdio.h>

#include "core/lease.h"

#define STEP (50 * PD_MSEC)
#define STEPS_A_SECOND (PD_SEC / STEP)
#define SETTLE_SECONDS 120
#define MEASURE_SECONDS 600
#define TAKEOVER_LIMIT (200 * PD_SEC)
#define PLACERS_MAX 320

typedef struct fake {
	lease_t *leases[PLACERS_MAX];
	unsigned int count;
	uint64_t version;
	lease_record_t *record;
	unsigned int calls;
	unsigned int conflicts;
	unsigned int dead; /* index plus one of a placer that died */
	pd_time_t now;
} fake_t;

static void answer(fake_t *fake, lease_t *lease, const placer_action_t *action)
{
	lease_reply_t reply = { .op = action->lease.op };

	fake->calls++;
	if (action->kind == PLACER_LEASE_READ) {
		reply.status = fake->record ? STORE_OK : STORE_MISSING;
		reply.record = fake->record;
	} else if (action->lease.version != fake->version) {
		reply.status = STORE_CONFLICT;
		fake->conflicts++;
	} else {
		lease_record_destroy(fake->record);
		fake->record = lease_record_copy(action->lease.record);
		fake->version++;
	}
	reply.version = fake->version;
	lease_handle_reply(lease, &reply, fake->now);
}

/* Answers come after all have asked, so that those who ask at once collide. */
static void step(fake_t *fake)
{
	list_node_t asked[PLACERS_MAX];

	fake->now += STEP;
	for (unsigned int i = 0; i < fake->count; i++) {
		list_init(&asked[i]);
		if (i + 1 != fake->dead)
			lease_run(fake->leases[i], fake->now, &asked[i]);
	}
	for (unsigned int i = 0; i < fake->count; i++) {
		list_node_t *node;

		while ((node = list_pop(&asked[i]))) {
			placer_action_t *action =
				LIST_ENTRY(node, placer_action_t, node);

			answer(fake, fake->leases[i], action);
			placer_action_destroy(action);
		}
	}
}

static unsigned int holder(const fake_t *fake)
{
	for (unsigned int i = 0; i < fake->count; i++) {
		if (i + 1 != fake->dead && lease_is_held(fake->leases[i], fake->now))
			return i + 1;
	}
	return 0;
}

/* Returns the most calls in any second, and all in TOTAL. */
static unsigned int run_seconds(fake_t *fake, unsigned int seconds,
				unsigned int *total)
{
	unsigned int peak = 0;

	*total = 0;
	for (unsigned int second = 0; second < seconds; second++) {
		fake->calls = 0;
		for (unsigned int i = 0; i < STEPS_A_SECOND; i++)
			step(fake);
		peak = MAX(peak, fake->calls);
		*total += fake->calls;
	}
	return peak;
}

static void measure(unsigned int count, uint32_t seed)
{
	fake_t fake = { .count = count, .now = PD_SEC };
	unsigned int start_peak;
	unsigned int peak;
	unsigned int total;
	pd_time_t died_at;

	for (unsigned int i = 0; i < count; i++) {
		char *id = g_strdup_printf("placer-%u", i);

		fake.leases[i] = lease_create(id, &lease_timing_placer,
					      seed * PLACERS_MAX + i);
		g_free(id);
	}
	start_peak = run_seconds(&fake, SETTLE_SECONDS, &total);
	peak = run_seconds(&fake, MEASURE_SECONDS, &total);
	fake.conflicts = 0;
	fake.dead = holder(&fake);
	died_at = fake.now;
	while (!holder(&fake) && fake.now - died_at < TAKEOVER_LIMIT)
		step(&fake);
	printf("%u,%u,%.1f,%u,%u,%.1f,%u\n", count, seed,
	       (double)total / MEASURE_SECONDS, peak, start_peak,
	       (double)(fake.now - died_at) / PD_SEC, fake.conflicts);
	for (unsigned int i = 0; i < count; i++)
		lease_destroy(fake.leases[i]);
	lease_record_destroy(fake.record);
}

int main(void)
{
	static const unsigned int counts[] = { 6, 40, 320 };

	printf("placers,seed,calls_a_second,peak_calls,start_peak_calls,"
	       "takeover_s,conflicts\n");
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		for (uint32_t seed = 1; seed <= 5; seed++)
			measure(counts[i], seed);
	}
	return 0;
}
