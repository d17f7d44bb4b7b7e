/* Reclaim notices and cache events in the table of upstreams. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/prefix.h"
#include "core/upstreams.h"

#define START (1000 * PD_SEC)

static const vm_t model = { .id = (char *)"vm-1",
			    .zone = (char *)"zone-a",
			    .machine_class = (char *)"any",
			    .address = (char *)"127.0.0.1",
			    .port = 1,
			    .role = VM_MODEL,
			    .state = VM_LIVE,
			    .serves = (char *)"m",
			    .tag = (char *)"",
			    .slots = 4 };

static int setup(void **state)
{
	*state = upstreams_create("entry-1", "zone-a", 24);
	return 0;
}

static int teardown(void **state)
{
	upstreams_destroy(*state);
	return 0;
}

/*
 * An engine learns of its reclaim before the platform's list shows it. The list
 * continues to show it as live, and requests that are sent there would be lost.
 */
static void test_lagging_list_does_not_undo_notice(void **state)
{
	upstreams_t *upstreams = *state;

	upstreams_update(upstreams, &model, 1, START);
	assert_true(upstreams_record_notice(upstreams, "vm-1", START + 30 * PD_SEC));
	for (int i = 1; i <= 10; i++)
		upstreams_update(upstreams, &model, 1, START + i * PD_SEC);
	assert_false(upstream_is_usable(upstreams_find(upstreams, "vm-1")));
}

/* A notice may arrive from a peer before the VM itself is listed. */
static void test_notice_may_precede_listing(void **state)
{
	upstreams_t *upstreams = *state;

	upstreams_record_notice(upstreams, "vm-1", START + 30 * PD_SEC);
	upstreams_update(upstreams, &model, 1, START);
	assert_false(upstream_is_usable(upstreams_find(upstreams, "vm-1")));
}

/*
 * The cloud first gives thirty seconds and then two. Streams that are moved by
 * the first notice would be cut off.
 */
static void test_earlier_notice_takes_effect(void **state)
{
	upstreams_t *upstreams = *state;

	upstreams_update(upstreams, &model, 1, START);
	assert_true(upstreams_record_notice(upstreams, "vm-1", START + 30 * PD_SEC));
	assert_true(upstreams_record_notice(upstreams, "vm-1", START + 2 * PD_SEC));
	assert_false(upstreams_record_notice(upstreams, "vm-1",
					     START + 20 * PD_SEC));
	assert_int_equal(upstreams_find(upstreams, "vm-1")->leaves_at,
			 START + 2 * PD_SEC);
}

/*
 * A notice that gets a few milliseconds earlier at each entry that forwards it
 * must not count as new each time, or it circulates for ever.
 */
static void test_slightly_earlier_notice_is_not_new(void **state)
{
	upstreams_t *upstreams = *state;

	assert_true(upstreams_record_notice(upstreams, "vm-1", START + 30 * PD_SEC));
	assert_false(upstreams_record_notice(upstreams, "vm-1",
					     START + 30 * PD_SEC - 5 * PD_MSEC));
}

/*
 * A VM has been gone for minutes and its id is reused. If the notice still
 * held, the new VM would cost money and serve nobody.
 */
static void test_reused_vm_id_is_usable(void **state)
{
	upstreams_t *upstreams = *state;

	upstreams_update(upstreams, &model, 1, START);
	upstreams_record_notice(upstreams, "vm-1", START + 2 * PD_SEC);
	upstreams_update(upstreams, NULL, 0, START + 3 * PD_SEC);
	upstreams_update(upstreams, NULL, 0, START + 120 * PD_SEC);
	upstreams_update(upstreams, &model, 1, START + 130 * PD_SEC);
	assert_true(upstream_is_usable(upstreams_find(upstreams, "vm-1")));
}

/*
 * The notice is repeated long after the VM should have gone: the VM is late and
 * still exists. Without the notice, it would get new requests and cut them off.
 */
static void test_repeated_notice_is_retained(void **state)
{
	upstreams_t *upstreams = *state;

	upstreams_record_notice(upstreams, "vm-1", START + 2 * PD_SEC);
	upstreams_record_notice(upstreams, "vm-1", START + 54 * PD_SEC);
	upstreams_update(upstreams, NULL, 0, START + 63 * PD_SEC);
	upstreams_update(upstreams, &model, 1, START + 64 * PD_SEC);
	assert_false(upstream_is_usable(upstreams_find(upstreams, "vm-1")));
}

/* Cache events say which prefixes an engine holds and has dropped. */
static void test_cache_events_are_recorded(void **state)
{
	upstreams_t *upstreams = *state;
	const uint64_t prefixes[] = { 11, 22, 33 };
	cache_event_t events[] = { { 11, true }, { 22, true } };
	load_report_t report = { .vm_id = "vm-1",
				 .answered = true,
				 .cache = events,
				 .cache_count = 2 };
	const upstream_t *upstream;

	upstreams_update(upstreams, &model, 1, START);
	upstream = upstreams_find(upstreams, "vm-1");
	upstreams_record_report(upstreams, &report, START);
	assert_int_equal(upstream_cached_tokens(upstream, prefixes, 3),
			 2 * PREFIX_BLOCK_BYTES / PREFIX_BYTES_PER_TOKEN);
	events[1].held = false;
	upstreams_record_report(upstreams, &report, START);
	assert_int_equal(upstream_cached_tokens(upstream, prefixes, 3),
			 PREFIX_BLOCK_BYTES / PREFIX_BYTES_PER_TOKEN);
}

/*
 * An engine with a huge cache must not grow the entry's memory without bound.
 */
static void test_cache_events_are_bounded(void **state)
{
	upstreams_t *upstreams = *state;
	cache_event_t event = { .held = true };
	const load_report_t report = { .vm_id = "vm-1",
				       .answered = true,
				       .cache = &event,
				       .cache_count = 1 };

	upstreams_update(upstreams, &model, 1, START);
	for (event.prefix = 1; event.prefix <= 100000; event.prefix++)
		upstreams_record_report(upstreams, &report, START);
	assert_in_range(g_hash_table_size(
				upstreams_find(upstreams, "vm-1")->cached_prefixes),
			1, 4096);
}

#define TABLE_TEST(name) cmocka_unit_test_setup_teardown(name, setup, teardown)

int main(void)
{
	const struct CMUnitTest tests[] = {
		TABLE_TEST(test_lagging_list_does_not_undo_notice),
		TABLE_TEST(test_notice_may_precede_listing),
		TABLE_TEST(test_earlier_notice_takes_effect),
		TABLE_TEST(test_slightly_earlier_notice_is_not_new),
		TABLE_TEST(test_reused_vm_id_is_usable),
		TABLE_TEST(test_repeated_notice_is_retained),
		TABLE_TEST(test_cache_events_are_recorded),
		TABLE_TEST(test_cache_events_are_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
