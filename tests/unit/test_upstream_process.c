/* Tests which connections lead to the process of an upstream that has ended. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/upstream_process.h"

#define T0 (1000 * PD_SEC) /* when the former process ended */
#define RESTARTED (T0 + 2 * PD_SEC) /* when the next one was registered */
#define LONG_AFTER (RESTARTED + 10 * PD_SEC)
#define LAG (20 * PD_MSEC) /* until what is read was sent after an event */

/* Returns whether a connection made at CONNECTED_AT is found to have ended at NOW. */
static bool has_ended(const upstream_process_t *process, pd_time_t connected_at,
		      pd_time_t now)
{
	const upstream_connection_t connection = { .connected_at = connected_at };

	return upstream_process_has_ended(process, &connection, now);
}

static void test_silent_connections_have_ended_soon(void **state)
{
	upstream_process_t process = { 0 };

	(void)state;
	upstream_process_record_restart(&process, RESTARTED);
	assert_false(has_ended(&process, T0, RESTARTED + 250 * PD_MSEC));
	assert_true(has_ended(&process, T0, RESTARTED + PD_SEC));
}

/* Guards against silence of connections that this gateway did not read. */
static void test_silence_counts_while_data_is_read(void **state)
{
	upstream_process_t process = { 0 };
	const upstream_connection_t connection = { T0, LONG_AFTER };

	(void)state;
	upstream_process_record_restart(&process, RESTARTED);
	assert_false(upstream_process_has_ended(&process, &connection,
						LONG_AFTER + 250 * PD_MSEC));
	assert_true(upstream_process_has_ended(&process, &connection,
					       LONG_AFTER + PD_SEC));
}

/* Guards against the end of a prompt that the new process still reads. */
static void test_connections_made_after_a_failure_go_on(void **state)
{
	upstream_process_t process = { 0 };

	(void)state;
	upstream_process_record_unreached(&process, T0);
	upstream_process_record_restart(&process, RESTARTED);
	assert_false(has_ended(&process, T0 + PD_SEC, LONG_AFTER));
	assert_true(has_ended(&process, T0 - PD_SEC, LONG_AFTER));
	assert_false(has_ended(&process, RESTARTED + 1, LONG_AFTER));
	assert_false(has_ended(&process, 0, LONG_AFTER));
}

/* Guards against a failure of long ago, which another process outlived. */
static void test_failure_that_the_process_outlived_counts_no_more(void **state)
{
	upstream_process_t process = { 0 };

	(void)state;
	upstream_process_record_unreached(&process, T0);
	upstream_process_record_data(&process, T0 - PD_SEC, T0 + LAG);
	upstream_process_record_restart(&process, RESTARTED);
	assert_true(has_ended(&process, T0 + PD_SEC, LONG_AFTER));
}

/* Guards against the last data of a process, which is read after its end is known. */
static void test_data_of_before_the_end_proves_nothing(void **state)
{
	upstream_process_t process = { 0 };

	(void)state;
	upstream_process_record_unreached(&process, T0);
	upstream_process_record_data(&process, T0 - PD_SEC, T0 - PD_MSEC);
	upstream_process_record_data(&process, T0 + PD_MSEC, T0 + LAG);
	upstream_process_record_restart(&process, RESTARTED);
	assert_false(has_ended(&process, T0 + PD_SEC, LONG_AFTER));
	assert_false(upstream_process_is_proven(&process, RESTARTED - PD_MSEC));
	assert_true(upstream_process_is_proven(&process, RESTARTED + LAG));
}

/* Guards against a version that is taken for that of a process that is not registered. */
static void test_process_after_a_refusal_is_unregistered(void **state)
{
	upstream_process_t process = { 0 };

	(void)state;
	upstream_process_record_unreached(&process, T0 - PD_SEC);
	assert_false(upstream_process_is_in_doubt(&process));
	upstream_process_record_refused(&process, T0);
	upstream_process_record_refused(&process, T0 + PD_SEC);
	assert_false(upstream_process_is_unregistered(&process, T0 - PD_MSEC));
	assert_true(upstream_process_is_unregistered(&process, T0 + PD_MSEC));
	upstream_process_record_data(&process, T0 + PD_MSEC, T0 + PD_SEC + LAG);
	assert_true(upstream_process_is_unregistered(&process, T0 + PD_MSEC));
	upstream_process_record_refused(&process, T0 + PD_SEC);
	upstream_process_record_restart(&process, RESTARTED);
	assert_false(upstream_process_is_in_doubt(&process));
	assert_true(upstream_process_is_former(&process, T0 + PD_MSEC));
	assert_false(upstream_process_is_former(&process, RESTARTED));
}

/* Guards against a doubt that outlasts all registrations, or ends while none are read. */
static void test_doubt_ends_when_a_registration_would_be_read(void **state)
{
	upstream_process_t process = { 0 };

	(void)state;
	upstream_process_record_refused(&process, T0);
	upstream_process_run(&process, true, LONG_AFTER);
	assert_true(upstream_process_is_in_doubt(&process));
	upstream_process_record_connected(&process, LONG_AFTER);
	upstream_process_run(&process, false, LONG_AFTER + 8 * PD_SEC);
	upstream_process_run(&process, true, LONG_AFTER + 10 * PD_SEC);
	assert_true(upstream_process_is_in_doubt(&process));
	upstream_process_run(&process, true, LONG_AFTER + 14 * PD_SEC);
	assert_false(upstream_process_is_in_doubt(&process));
	upstream_process_record_refused(&process, T0);
	upstream_process_record_data(&process, T0 - PD_SEC, T0 + LAG);
	assert_false(upstream_process_is_in_doubt(&process));
}

static void test_each_restart_has_its_own_failure(void **state)
{
	upstream_process_t process = { 0 };

	(void)state;
	upstream_process_record_unreached(&process, T0);
	upstream_process_record_restart(&process, RESTARTED);
	upstream_process_record_restart(&process, LONG_AFTER);
	assert_true(has_ended(&process, T0 + PD_SEC, LONG_AFTER + PD_SEC));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_silent_connections_have_ended_soon),
		cmocka_unit_test(test_silence_counts_while_data_is_read),
		cmocka_unit_test(test_connections_made_after_a_failure_go_on),
		cmocka_unit_test(
			test_failure_that_the_process_outlived_counts_no_more),
		cmocka_unit_test(test_data_of_before_the_end_proves_nothing),
		cmocka_unit_test(test_process_after_a_refusal_is_unregistered),
		cmocka_unit_test(test_doubt_ends_when_a_registration_would_be_read),
		cmocka_unit_test(test_each_restart_has_its_own_failure),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
