/*
 * Measures the calls that standby placers make to the platform and the time of a
 * takeover, by the number of placers: their leases compete for one fake object
 * on a simulated clock.
 */
#include <glib.h>
#include <stdio.h>

#include "core/lease.h"

#define STEP (50 * PD_MSEC)
#define STEPS_PER_SECOND (PD_SEC / STEP)
#define SETTLE_SECONDS 120
#define MEASURE_SECONDS 600
#define TAKEOVER_TIMEOUT (200 * PD_SEC)
#define PLACERS_MAX 320

typedef struct simulation {
	lease_t *leases[PLACERS_MAX];
	unsigned int count;
	uint64_t version;
	lease_record_t *record;
	unsigned int calls;
	unsigned int conflicts;
	unsigned int terminated; /* index plus one of that placer; 0: none */
	pd_time_t now;
} simulation_t;

/* Answers a read or write of the lease object. */
static void handle_lease_call(simulation_t *simulation, lease_t *lease,
			      const placer_action_t *action)
{
	lease_reply_t reply = { .op = action->lease.op };

	simulation->calls++;
	if (action->kind == PLACER_LEASE_READ) {
		reply.status = simulation->record ? STORE_OK : STORE_MISSING;
		reply.record = simulation->record;
	} else if (action->lease.version != simulation->version) {
		reply.status = STORE_CONFLICT;
		simulation->conflicts++;
	} else {
		lease_record_destroy(simulation->record);
		simulation->record = lease_record_copy(action->lease.record);
		simulation->version++;
	}
	reply.version = simulation->version;
	lease_handle_reply(lease, &reply, simulation->now);
}

/*
 * Advances the simulation by one step. Calls are answered only after all
 * placers have run, so that simultaneous writes conflict.
 */
static void step(simulation_t *simulation)
{
	list_node_t actions[PLACERS_MAX];

	simulation->now += STEP;
	for (unsigned int i = 0; i < simulation->count; i++) {
		list_init(&actions[i]);
		if (i + 1 != simulation->terminated)
			lease_run(simulation->leases[i], simulation->now,
				  &actions[i]);
	}
	for (unsigned int i = 0; i < simulation->count; i++) {
		list_node_t *node;

		while ((node = list_pop(&actions[i]))) {
			placer_action_t *action =
				LIST_ENTRY(node, placer_action_t, node);

			handle_lease_call(simulation, simulation->leases[i],
					  action);
			placer_action_destroy(action);
		}
	}
}

/* Returns the index plus one of the placer that holds the lease, or 0. */
static unsigned int find_leader(const simulation_t *simulation)
{
	for (unsigned int i = 0; i < simulation->count; i++) {
		if (i + 1 != simulation->terminated &&
		    lease_is_held(simulation->leases[i], simulation->now))
			return i + 1;
	}
	return 0;
}

/*
 * Runs for SECONDS. Returns the largest number of calls in any second, and
 * stores the total in TOTAL.
 */
static unsigned int run_seconds(simulation_t *simulation, unsigned int seconds,
				unsigned int *total)
{
	unsigned int peak = 0;

	*total = 0;
	for (unsigned int second = 0; second < seconds; second++) {
		simulation->calls = 0;
		for (unsigned int i = 0; i < STEPS_PER_SECOND; i++)
			step(simulation);
		peak = MAX(peak, simulation->calls);
		*total += simulation->calls;
	}
	return peak;
}

/* Runs one simulation and prints its result as a line of CSV. */
static void measure(unsigned int count, uint32_t seed)
{
	simulation_t simulation = { .count = count, .now = PD_SEC };
	unsigned int start_peak;
	unsigned int peak;
	unsigned int total;
	pd_time_t terminated_at;

	for (unsigned int i = 0; i < count; i++) {
		char *id = g_strdup_printf("placer-%u", i);

		simulation.leases[i] = lease_create(id, &lease_timing_placer,
						    seed * PLACERS_MAX + i);
		g_free(id);
	}
	start_peak = run_seconds(&simulation, SETTLE_SECONDS, &total);
	peak = run_seconds(&simulation, MEASURE_SECONDS, &total);
	simulation.conflicts = 0;
	simulation.terminated = find_leader(&simulation);
	terminated_at = simulation.now;
	while (!find_leader(&simulation) &&
	       simulation.now - terminated_at < TAKEOVER_TIMEOUT)
		step(&simulation);
	printf("%u,%u,%.1f,%u,%u,%.1f,%u\n", count, seed,
	       (double)total / MEASURE_SECONDS, peak, start_peak,
	       (double)(simulation.now - terminated_at) / PD_SEC,
	       simulation.conflicts);
	for (unsigned int i = 0; i < count; i++)
		lease_destroy(simulation.leases[i]);
	lease_record_destroy(simulation.record);
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
