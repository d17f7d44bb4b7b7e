/*
 * A simulation of one scenario under one routing policy on a simulated clock.
 * The policy is either the real entry core, of which several instances exchange
 * messages through an in-memory list, or one of the baselines.
 */
#ifndef PISTACHIO_BENCH_SIM_H
#define PISTACHIO_BENCH_SIM_H

#include "bench/fake_engine.h"
#include "bench/scenario.h"
#include "core/entry.h"

#define SIM_ENTRIES_MAX 6

typedef enum policy {
	POLICY_ENTRY, /* the entry core */
	POLICY_ROUND_ROBIN,
	POLICY_LEAST_OUTSTANDING, /* fewest requests sent and not completed */
	POLICY_PREFIX, /* rendezvous hash of the prompt's prefix */
	POLICY_COUNT
} policy_t;

typedef struct sim_peer_msg {
	unsigned int to;
	peer_msg_t *msg;
} sim_peer_msg_t;

typedef struct sim {
	policy_t policy;
	const site_t *site;
	const scenario_t *scenario;
	GRand *rand;
	GArray *calls; /* of call_t, owned */
	GHashTable *calls_by_body; /* body -> index of the call */
	GPtrArray *engines; /* of fake_engine_t, owned */
	entry_t *entries[SIM_ENTRIES_MAX];
	size_t cache_events_sent[SIM_ENTRIES_MAX][32]; /* by engine */
	GArray *messages; /* of sim_peer_msg_t, in transit */
	unsigned int next_engine[SIM_ENTRIES_MAX]; /* round robin */
	unsigned int outstanding[SIM_ENTRIES_MAX][32];
	bool vms_changed;
	pd_time_t now;
} sim_t;

sim_t *sim_create(policy_t policy, const site_t *site,
		  const scenario_t *scenario, uint32_t seed);
void sim_run(sim_t *sim);
void sim_destroy(sim_t *sim);
fake_engine_t *sim_engine(const sim_t *sim, unsigned int index);
call_t *sim_call(const sim_t *sim, unsigned int index);
unsigned int sim_find_engine(const sim_t *sim, const char *id);

/* sim_entries.c: the policy of the entry core. */
void entries_create(sim_t *sim, uint32_t seed);
void entries_destroy(sim_t *sim);
void entries_tick(sim_t *sim);
void entries_send_vm_list(sim_t *sim);
void entries_submit(sim_t *sim, unsigned int entry, unsigned int index);
void entries_report_upstream(sim_t *sim, const job_t *job,
			     upstream_event_kind_t kind);
void entries_report_load(sim_t *sim, const job_t *job, unsigned int index);

/* baselines.c */
void baseline_submit(sim_t *sim, unsigned int entry, unsigned int index);
void baseline_on_token(sim_t *sim, const job_t *job, unsigned int engine,
		       bool last);
void baseline_on_engine_lost(sim_t *sim, const job_t *job, unsigned int engine);

#endif
