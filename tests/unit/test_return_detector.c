/* Tests of recognizing requests whose callers were refused and come back. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/forward/return_detector.h"

#define ROUTE "r"
#define SEED 7
#define REQUESTS 4000
#define DEADLINE (10 * PD_SEC)

/* A route whose callers come back after some tenths of their deadline. */
typedef struct load {
	pd_time_t deadline;
	pd_time_t rare_deadline; /* 0: none */
	double rare_part;
	double returned_part;
} load_t;

/* What was recognized, as parts of each kind. */
typedef struct result {
	double first; /* that were taken for returned ones */
	double rare_first;
	double returned;
} result_t;

typedef struct kind {
	double count;
	double recognized;
} kind_t;

static double part_of(const kind_t *kind)
{
	return kind->count > 0 ? kind->recognized / kind->count : 0;
}

/* Sends the requests of a load; returns what was recognized after the first tenth. */
static result_t run(return_detector_t *detector, const load_t *load)
{
	GRand *random = g_rand_new_with_seed(SEED);
	kind_t kinds[3] = { 0 };
	result_t result;

	for (int i = 0; i < REQUESTS; i++) {
		bool rare = g_rand_double(random) < load->rare_part;
		bool returned = g_rand_double(random) < load->returned_part;
		pd_time_t left = rare ? load->rare_deadline : load->deadline;
		kind_t *kind = &kinds[returned ? 2 : rare ? 1 : 0];
		bool recognized;

		/* It has waited for 0.1 to 0.7 of its time. */
		if (returned)
			left = (pd_time_t)((double)left *
					   g_rand_double_range(random, 0.3, 0.9));
		recognized = return_detector_record(detector, ROUTE, left);
		if (i < REQUESTS / 10)
			continue;
		kind->count++;
		kind->recognized += recognized;
	}
	g_rand_free(random);
	result.first = part_of(&kinds[0]);
	result.rare_first = part_of(&kinds[1]);
	result.returned = part_of(&kinds[2]);
	print_message("taken for returned: first %.3f, rare %.3f, returned "
		      "%.3f\n",
		      result.first, result.rare_first, result.returned);
	return result;
}

static int setup(void **state)
{
	*state = return_detector_create();
	return 0;
}

static int teardown(void **state)
{
	return_detector_destroy(*state);
	return 0;
}

/* Guards against callers who return as told and wait behind newcomers. */
static void test_returned_requests_are_recognized(void **state)
{
	const load_t load = { .deadline = DEADLINE, .returned_part = 0.6 };
	result_t result = run(*state, &load);

	assert_true(result.first < 0.01);
	assert_true(result.returned > 0.95);
}

/* Guards against recognition that fails as soon as most requests are returned ones. */
static void test_most_requests_are_returned_ones(void **state)
{
	const load_t load = { .deadline = DEADLINE, .returned_part = 0.75 };
	result_t result = run(*state, &load);

	assert_true(result.first < 0.01);
	assert_true(result.returned > 0.8);
}

/* Guards against a few callers with long deadlines who make all others look returned. */
static void test_few_long_deadlines_change_nothing(void **state)
{
	const load_t load = { .deadline = DEADLINE,
			      .rare_deadline = 6 * DEADLINE,
			      .rare_part = 0.1,
			      .returned_part = 0.4 };
	result_t result = run(*state, &load);

	assert_true(result.first < 0.05);
	assert_true(result.rare_first < 0.01);
}

/* Guards against first requests with the longer one of two deadlines being put first. */
static void test_the_longer_of_mixed_deadlines_is_not_taken_for_returned(void **state)
{
	const load_t load = { .deadline = DEADLINE / 4,
			      .rare_deadline = DEADLINE,
			      .rare_part = 0.5,
			      .returned_part = 0.3 };

	assert_true(run(*state, &load).rare_first < 0.01);
}

/* Guards against requests that state no deadline being put first, or moving the usual. */
static void test_no_deadline_is_not_returned(void **state)
{
	for (int i = 0; i < 100; i++) {
		assert_false(return_detector_record(*state, ROUTE, 0));
		assert_false(return_detector_record(*state, ROUTE, DEADLINE));
	}
	assert_true(return_detector_record(*state, ROUTE, DEADLINE * 8 / 10));
}

/* Guards against a shorter deadline after which all requests look returned for long. */
static void test_a_changed_deadline_is_learned(void **state)
{
	int recognized = 0;

	for (int i = 0; i < 100; i++)
		return_detector_record(*state, ROUTE, DEADLINE);
	for (int i = 0; i < 100; i++)
		recognized += return_detector_record(*state, ROUTE, DEADLINE / 2);
	print_message("%d taken for returned after the change\n", recognized);
	assert_true(recognized < 60);
	assert_false(return_detector_record(*state, ROUTE, DEADLINE / 2));
	for (int i = 0; i < 100; i++)
		assert_false(return_detector_record(*state, ROUTE, DEADLINE));
	assert_true(return_detector_record(*state, ROUTE, DEADLINE / 2));
}

/* Guards against a route that is judged by the deadline of another, or by few requests. */
static void test_routes_are_told_apart(void **state)
{
	for (int i = 0; i < 100; i++)
		return_detector_record(*state, "other", DEADLINE);
	assert_false(return_detector_record(*state, ROUTE, DEADLINE));
	for (int i = 0; i < 10; i++)
		assert_false(return_detector_record(*state, ROUTE, DEADLINE / 2));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_returned_requests_are_recognized,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_most_requests_are_returned_ones,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_few_long_deadlines_change_nothing,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_the_longer_of_mixed_deadlines_is_not_taken_for_returned,
			setup, teardown),
		cmocka_unit_test_setup_teardown(test_no_deadline_is_not_returned,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_changed_deadline_is_learned,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_routes_are_told_apart,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
