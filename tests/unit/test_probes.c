/* Probes of upstreams: their rate is bounded, and all upstreams are probed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "tests/harness/drive.h"

#define MODELS 24
#define SECONDS 30
#define TICK (20 * PD_MSEC)
#define PROBES_MAX (6 * SECONDS + 1)

/* Answers a probe of that VM. */
static void answer_probe(drive_t *drive, const char *vm_id)
{
	event_t event = { .kind = EVENT_LOAD,
			  .load = { .vm_id = vm_id, .answered = true } };

	drive_event(drive, &event);
}

/*
 * Answers all probes for SECONDS; returns their number, and adds the probed VMs
 * to PROBED.
 */
static unsigned int answer_probes(drive_t *drive, GHashTable *probed)
{
	unsigned int probes = 0;
	action_t *probe;

	for (int i = 0; i < SECONDS * PD_SEC / TICK; i++) {
		drive_tick(drive, TICK);
		while ((probe = drive_take(drive, ACTION_PROBE))) {
			probes++;
			g_hash_table_add(probed, g_strdup(probe->probe.vm_id));
			answer_probe(drive, probe->probe.vm_id);
			action_destroy(probe);
		}
		drive_clear(drive);
	}
	return probes;
}

/*
 * With a hundred upstreams in the subset, probing each of them every second
 * would exceed a node's budget for control traffic and show in the traffic
 * between zones.
 */
static void test_probe_rate_is_bounded_and_covers_all(void **state)
{
	drive_t *drive = drive_create("entry-1", "zone-a", 7);
	GHashTable *probed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	unsigned int probes;

	(void)state;
	drive_bundle(drive, 1);
	drive_vms(drive, MODELS, 8, 4);
	probes = answer_probes(drive, probed);
	assert_in_range(probes, PROBES_MAX / 2, PROBES_MAX);
	assert_int_equal(g_hash_table_size(probed), MODELS + 2 * 8);
	g_hash_table_unref(probed);
	drive_destroy(drive);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_probe_rate_is_bounded_and_covers_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
