/*
 * Tests writes of one object in a store that is slow, loses answers or executes
 * writes late.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/forward/object_writer.h"

#define START (1000 * PD_SEC)
#define PERIOD (100 * PD_MSEC)
#define STEP (20 * PD_MSEC)

/*
 * Guards against a store that is written more often than the contents change.
 */
static void test_unchanged_contents_are_not_rewritten(void **state)
{
	object_writer_t *writer = object_writer_create(PERIOD);
	unsigned int call;

	(void)state;
	assert_true(object_writer_is_due(writer, START));
	call = object_writer_begin(writer, 5, START);
	object_writer_end(writer, call, WRITE_DONE, 8, START + STEP);
	assert_int_equal(object_writer_revision(writer), 8);
	assert_false(object_writer_is_due(writer, START + STEP));
	assert_true(object_writer_is_due(writer, START + PERIOD));
	assert_true(object_writer_needs_write(writer, 6, START + PERIOD));
	assert_false(object_writer_needs_write(writer, 5, START + PERIOD));
	assert_false(object_writer_is_due(writer, START + PERIOD + STEP));
	assert_true(object_writer_is_due(writer, START + 2 * PERIOD));
	object_writer_destroy(writer);
}

/* Guards against a writer that waits for an answer that was lost. */
static void test_a_lost_answer_delays_no_write(void **state)
{
	object_writer_t *writer = object_writer_create(PERIOD);
	pd_time_t now = START;
	unsigned int first;
	unsigned int call;

	(void)state;
	call = object_writer_begin(writer, 1, now);
	object_writer_end(writer, call, WRITE_DONE, 8, now + STEP);
	now += PERIOD;
	/* executed, not answered */
	first = object_writer_begin(writer, 2, now);
	now += 3 * PERIOD;
	assert_true(object_writer_is_due(writer, now));
	call = object_writer_begin(writer, 3, now);
	object_writer_end(writer, call, WRITE_CONFLICT, 9, now + STEP);
	assert_true(object_writer_is_due(writer, now + STEP));
	call = object_writer_begin(writer, 3, now + STEP);
	object_writer_end(writer, call, WRITE_DONE, 10, now + 2 * STEP);
	assert_false(object_writer_needs_write(writer, 3, now + 2 * STEP));
	/*
	 * The late end of the first has no effect on the revision or the pause.
	 */
	object_writer_end(writer, first, WRITE_LOST, 0, now + 3 * STEP);
	assert_int_equal(object_writer_revision(writer), 10);
	assert_true(object_writer_is_due(writer, now + 2 * STEP + PERIOD));
	object_writer_destroy(writer);
}

/* Guards against taking a late answer for the latest state of the object. */
static void test_answers_may_arrive_out_of_order(void **state)
{
	object_writer_t *writer = object_writer_create(PERIOD);
	unsigned int first = object_writer_begin(writer, 1, START);
	unsigned int second = object_writer_begin(writer, 2, START + PERIOD);

	(void)state;
	object_writer_end(writer, second, WRITE_DONE, 9, START + PERIOD + STEP);
	object_writer_end(writer, first, WRITE_CONFLICT, 8, START + 2 * PERIOD);
	assert_int_equal(object_writer_revision(writer), 9);
	assert_false(object_writer_needs_write(writer, 2, START + 2 * PERIOD));
	object_writer_destroy(writer);
}

/* A call without an answer, until its timeout. */
typedef struct hung_call {
	unsigned int number;
	pd_time_t until; /* 0: none */
} hung_call_t;

/* Ends the calls that have timed out at NOW. */
static void end_hung(object_writer_t *writer, hung_call_t *hung, pd_time_t now)
{
	for (unsigned int i = 0; i < CALL_PACER_IN_FLIGHT_MAX; i++) {
		if (!hung[i].until || hung[i].until > now)
			continue;
		object_writer_end(writer, hung[i].number, WRITE_LOST, 0, now);
		hung[i].until = 0;
	}
}

/* Adds a call that times out at UNTIL. */
static void add_hung(hung_call_t *hung, unsigned int number, pd_time_t until)
{
	unsigned int i = 0;

	while (hung[i].until)
		i++;
	hung[i] = (hung_call_t){ number, until };
}

/*
 * Guards against calls that hang and leave no place for those that are
 * answered.
 */
static void test_every_second_answer_is_lost(void **state)
{
	const pd_time_t period = 30 * PD_MSEC; /* the shortest in use */
	const pd_time_t timeout = 1500 * PD_MSEC;
	object_writer_t *writer = object_writer_create(period);
	hung_call_t hung[CALL_PACER_IN_FLIGHT_MAX] = { 0 };
	pd_time_t done_at = START;
	pd_time_t oldest = 0;
	uint64_t calls = 0;

	(void)state;
	object_writer_set_answer_time(writer, 4 * PD_MSEC);
	for (pd_time_t now = START; now < START + 5 * PD_SEC; now += STEP) {
		unsigned int call;

		end_hung(writer, hung, now);
		oldest = MAX(oldest, now - done_at);
		if (!object_writer_is_due(writer, now))
			continue;
		call = object_writer_begin(writer, ++calls, now);
		if (calls % 2) {
			add_hung(hung, call, now + timeout);
			continue;
		}
		object_writer_end(writer, call, WRITE_DONE, calls, now);
		done_at = now;
	}
	assert_in_range(oldest, 0, 4 * period);
	object_writer_destroy(writer);
}

/*
 * Guards against a gateway's usage of a window that is written late, as answers
 * are lost.
 */
static void test_answers_are_lost_at_random(void **state)
{
	const pd_time_t period = 60 * PD_MSEC; /* of windows of five seconds */
	const pd_time_t timeout = 1500 * PD_MSEC;
	const pd_time_t allowed = 250 * PD_MSEC; /* a twentieth of five seconds */
	object_writer_t *writer = object_writer_create(period);
	GRand *random = g_rand_new_with_seed(1);
	hung_call_t hung[CALL_PACER_IN_FLIGHT_MAX] = { 0 };
	pd_time_t done_at = START;
	unsigned int steps = 0;
	unsigned int late = 0;
	uint64_t calls = 0;

	(void)state;
	object_writer_set_answer_time(writer, 4 * PD_MSEC);
	for (pd_time_t now = START; now < START + 1000 * PD_SEC; now += STEP) {
		unsigned int call;

		end_hung(writer, hung, now);
		steps++;
		late += now - done_at > allowed;
		if (!object_writer_is_due(writer, now))
			continue;
		call = object_writer_begin(writer, ++calls, now);
		if (g_rand_boolean(random)) {
			add_hung(hung, call, now + timeout);
			continue;
		}
		object_writer_end(writer, call, WRITE_DONE, calls, now);
		done_at = now;
	}
	/*
	 * Two independent writers are then both late at one moment in ten
	 * thousand.
	 */
	assert_in_range(late, 0, steps / 100);
	g_rand_free(random);
	object_writer_destroy(writer);
}

/*
 * Guards against an unresponsive store that is called as often as one that
 * answers.
 */
static void test_an_unresponsive_store_is_called_less_often(void **state)
{
	object_writer_t *writer = object_writer_create(PERIOD);
	unsigned int begun = 0;

	(void)state;
	for (pd_time_t now = START; now < START + 5 * PD_SEC; now += STEP) {
		if (!object_writer_is_due(writer, now))
			continue;
		object_writer_begin(writer, begun + 1, now);
		begun++;
	}
	assert_in_range(begun, 4, 8);
	object_writer_end(writer, 0, WRITE_LOST, 0, START + 5 * PD_SEC);
	assert_false(object_writer_is_due(writer, START + 5 * PD_SEC));
	object_writer_end(writer, 1, WRITE_DONE, 5, START + 5 * PD_SEC);
	assert_true(object_writer_is_due(writer, START + 6 * PD_SEC));
	object_writer_destroy(writer);
}

/* Guards against unanswered calls that accumulate without bound. */
static void test_calls_in_flight_are_bounded(void **state)
{
	object_writer_t *writer = object_writer_create(PERIOD);
	unsigned int begun = 0;

	(void)state;
	for (pd_time_t now = START; now < START + 3600 * PD_SEC; now += PD_SEC) {
		if (!object_writer_is_due(writer, now))
			continue;
		object_writer_begin(writer, begun + 1, now);
		begun++;
	}
	assert_in_range(begun, 1, CALL_PACER_IN_FLIGHT_MAX);
	object_writer_destroy(writer);
}

/* Guards against repeated calls to a store that answers slowly but reliably. */
static void test_a_slow_store_is_called_at_its_own_rate(void **state)
{
	const pd_time_t answer = 240 * PD_MSEC;
	call_pacer_t *pacer = call_pacer_create(PERIOD);
	pd_time_t begun_at[CALL_PACER_IN_FLIGHT_MAX] = { 0 };
	unsigned int calls = 0;

	(void)state;
	for (pd_time_t now = START; now < START + 10 * PD_SEC; now += STEP) {
		for (unsigned int i = 0; i < CALL_PACER_IN_FLIGHT_MAX; i++) {
			if (!begun_at[i] || now - begun_at[i] < answer)
				continue;
			begun_at[i] = 0;
			call_pacer_end(pacer, i, CALL_ANSWERED, now);
		}
		if (call_pacer_is_due(pacer, now)) {
			begun_at[call_pacer_begin(pacer, now)] = now;
			calls++;
		}
	}
	/* 41 if each waits for the one before */
	assert_in_range(calls, 38, 46);
	call_pacer_destroy(pacer);
}

/*
 * Guards against a read that waits because of earlier calls that hung in an
 * outage.
 */
static void test_calls_before_a_reset_cause_no_pause(void **state)
{
	call_pacer_t *pacer = call_pacer_create(PERIOD);
	unsigned int hung[3];
	pd_time_t now = START;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(hung); i++) {
		hung[i] = call_pacer_begin(pacer, now);
		now += PD_SEC / 2;
	}
	call_pacer_end(pacer, hung[0], CALL_LOST, now);
	assert_false(call_pacer_is_due(pacer, now));
	call_pacer_reset(pacer, now);
	assert_true(call_pacer_is_due(pacer, now));
	call_pacer_end(pacer, hung[1], CALL_LOST, now + STEP);
	assert_true(call_pacer_is_due(pacer, now + STEP));
	/* A call after the reset does cause a pause. */
	call_pacer_end(pacer, call_pacer_begin(pacer, now + STEP), CALL_LOST,
		       now + PD_SEC);
	assert_false(call_pacer_is_due(pacer, now + PD_SEC));
	call_pacer_destroy(pacer);
}

/* Guards against useless calls to a store that refuses them. */
static void test_a_refusal_causes_a_pause(void **state)
{
	call_pacer_t *pacer = call_pacer_create(PERIOD);

	(void)state;
	call_pacer_end(pacer, call_pacer_begin(pacer, START), CALL_REFUSED,
		       START + STEP);
	assert_false(call_pacer_is_due(pacer, START + 2 * PERIOD));
	assert_true(call_pacer_is_due(pacer, START + PD_SEC));
	call_pacer_destroy(pacer);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unchanged_contents_are_not_rewritten),
		cmocka_unit_test(test_a_lost_answer_delays_no_write),
		cmocka_unit_test(test_answers_may_arrive_out_of_order),
		cmocka_unit_test(test_every_second_answer_is_lost),
		cmocka_unit_test(test_answers_are_lost_at_random),
		cmocka_unit_test(test_an_unresponsive_store_is_called_less_often),
		cmocka_unit_test(test_calls_in_flight_are_bounded),
		cmocka_unit_test(test_a_slow_store_is_called_at_its_own_rate),
		cmocka_unit_test(test_calls_before_a_reset_cause_no_pause),
		cmocka_unit_test(test_a_refusal_causes_a_pause),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
