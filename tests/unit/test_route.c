/* The choice of an upstream, and the load estimate that it uses. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/entry_state.h"
#include "tests/harness/drive.h"

#define SLOTS 16

static int setup(void **state)
{
	drive_t *drive = drive_create("entry-1", "zone-a", 7);

	drive_bundle(drive, 1);
	drive_vms(drive, 4, 0, SLOTS);
	drive_clear(drive);
	*state = drive;
	return 0;
}

static int teardown(void **state)
{
	drive_destroy(*state);
	return 0;
}

/* Chooses an upstream for model "m" as the only sender. */
static route_result_t choose(drive_t *drive, priority_t priority,
			     uint64_t prefix, route_choice_t *choice)
{
	target_t target = { .kind = TARGET_MODEL, .name = (char *)"m" };
	route_query_t query = { .target = &target,
				.priority = priority,
				.prefix = prefix,
				.cache = drive->entry->prefixes,
				.rand = drive->entry->rand,
				.sender_count = 1,
				.now = drive->now };

	return route_choose(drive->entry->upstreams, &query, choice);
}

/* Sends a load report of RUNNING requests. */
static void report(drive_t *drive, const char *vm_id, unsigned int running)
{
	event_t event = {
		.kind = EVENT_LOAD,
		.load = { .vm_id = vm_id, .answered = true, .running = running }
	};

	drive_event(drive, &event);
}

static void test_engine_with_cached_prefix_is_chosen(void **state)
{
	drive_t *drive = *state;

	prefix_cache_record_send(drive->entry->prefixes, "m-3", 7, drive->now);
	for (int i = 0; i < 20; i++) {
		route_choice_t choice;

		assert_int_equal(choose(drive, PRIORITY_NORMAL, 7, &choice),
				 ROUTE_CHOSEN);
		assert_string_equal(choice.upstream->vm.id, "m-3");
		route_choice_clear(&choice);
	}
}

/*
 * Reports lag, so a single low one must not make an engine look empty: all
 * entries would send there together, and their callers would wait in a long
 * queue.
 */
static void test_single_report_changes_load_estimate_little(void **state)
{
	drive_t *drive = *state;
	upstream_t *upstream = upstreams_find(drive->entry->upstreams, "m-1");

	for (int i = 0; i < 10; i++)
		report(drive, "m-1", 12);
	assert_true(upstream_load(upstream) > 11);
	report(drive, "m-1", 0);
	assert_true(upstream_load(upstream) > 11);
}

/* Normal requests fill the engines; an urgent one must still find a slot. */
static void test_slots_are_reserved_for_urgent_requests(void **state)
{
	drive_t *drive = *state;
	route_choice_t choice;

	for (int i = 0; i < 4 * SLOTS; i++)
		drive_request(drive, TARGET_MODEL, "m", NULL);
	assert_int_equal(choose(drive, PRIORITY_NORMAL, 0, &choice),
			 ROUTE_ALL_BUSY);
	assert_int_equal(choose(drive, PRIORITY_URGENT, 0, &choice), ROUTE_CHOSEN);
	route_choice_clear(&choice);
}

/*
 * An engine rejects attempts beyond its slots. Urgent requests that were sent
 * there repeatedly would use up their attempts and be refused.
 */
static void test_rejecting_engine_is_not_overcommitted(void **state)
{
	drive_t *drive = *state;
	route_choice_t choice;

	drive_vms(drive, 1, 0, SLOTS);
	report(drive, "m-1", SLOTS);
	assert_int_equal(choose(drive, PRIORITY_URGENT, 0, &choice), ROUTE_CHOSEN);
	choice.upstream->rejects_when_full = true;
	route_choice_clear(&choice);
	for (int i = 0; i < SLOTS; i++)
		drive_urgent_request(drive, "m");
	assert_int_equal(choose(drive, PRIORITY_URGENT, 0, &choice),
			 ROUTE_ALL_BUSY);
}

/*
 * The load balancer sends all calls to one entry of six. Limited to its share,
 * or twice that, the entry would refuse callers while engines are idle.
 */
static void test_free_capacity_beyond_share_is_used(void **state)
{
	drive_t *drive = *state;
	upstream_t *upstream = upstreams_find(drive->entry->upstreams, "m-1");
	target_t target = { .kind = TARGET_MODEL, .name = (char *)"m" };
	route_query_t query = { .target = &target,
				.priority = PRIORITY_NORMAL,
				.cache = drive->entry->prefixes,
				.rand = drive->entry->rand,
				.sender_count = 6,
				.now = drive->now };
	route_choice_t choice;

	drive_vms(drive, 1, 0, SLOTS);
	for (int second = 0; second < 6; second++) {
		while (route_choose(drive->entry->upstreams, &query, &choice) ==
		       ROUTE_CHOSEN) {
			upstream_record_send(choice.upstream);
			route_choice_clear(&choice);
		}
		assert_true(upstream->running <= SLOTS);
		if (second == 0)
			assert_in_range(upstream->running, 4, 6);
		report(drive, "m-1", upstream->running);
	}
	assert_int_equal(upstream->running, SLOTS - SLOTS / 8);
}

/*
 * With 790 upstreams a choice must not walk them all, so the subset is first.
 */
static void test_subset_is_first_in_list(void **state)
{
	drive_t *drive = *state;
	bool chosen = true;
	unsigned int subset = 0;

	drive_vms(drive, 100, 0, SLOTS);
	LIST_FOR_EACH (it, upstreams_list(drive->entry->upstreams)) {
		const upstream_t *upstream = LIST_ENTRY(it, upstream_t, node);

		assert_true(chosen || !upstream->in_subset);
		chosen = upstream->in_subset;
		subset += chosen;
	}
	assert_int_equal(subset, 24);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_engine_with_cached_prefix_is_chosen,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_single_report_changes_load_estimate_little,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_slots_are_reserved_for_urgent_requests,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_rejecting_engine_is_not_overcommitted,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_free_capacity_beyond_share_is_used,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_subset_is_first_in_list,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
