/* Tests of when refused callers are told to come back. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>

#include "core/forward/room_rate.h"

#define START (1000 * PD_SEC)
#define SLOT (100 * PD_MSEC)
#define SLOTS 100 /* 10 s */
#define CALLERS 1000
#define SEED 7
#define RETRY_AFTER_MIN (400 * PD_MSEC)

/* Returns a rate after some seconds in which ADMITTED and REFUSED came every 10 ms. */
static room_rate_t rate_after(double admitted, double refused)
{
	room_rate_t rate = { 0 };

	for (pd_time_t now = START; now < START + 6 * PD_SEC; now += 10 * PD_MSEC) {
		room_rate_record(&rate, true, admitted, now);
		room_rate_record(&rate, false, refused, now);
	}
	return rate;
}

/* Guards against a wait that does not depend on how much is ahead of a caller. */
static void test_wait_grows_with_the_excess(void **state)
{
	pd_time_t last = 0;

	(void)state;
	for (int refused = 4; refused < 14; refused += 2) {
		room_rate_t rate = rate_after(10, refused);
		pd_time_t wait = room_rate_retry_after(&rate, 60 * PD_SEC, 0.5);

		assert_true(wait > last);
		last = wait;
	}
}

/* Guards against telling callers to come back when they have no time left for the answer. */
static void test_wait_is_within_the_time_left(void **state)
{
	static const pd_time_t times[] = { 0, PD_SEC, 2 * PD_SEC, 5 * PD_SEC,
					   60 * PD_SEC };

	(void)state;
	for (int refused = 0; refused < 20; refused++) {
		room_rate_t rate = rate_after(refused < 18 ? 2 : 0, refused);

		for (size_t i = 0; i < G_N_ELEMENTS(times); i++) {
			for (int draw = 0; draw < 10; draw++) {
				pd_time_t wait =
					room_rate_retry_after(&rate, times[i],
							      draw / 10.0);

				assert_true(wait >= RETRY_AFTER_MIN);
				assert_true(wait <=
					    MAX(times[i] / 3, RETRY_AFTER_MIN));
			}
		}
	}
}

/* Guards against callers who were refused together and return together. */
static void test_callers_refused_at_once_are_spread(void **state)
{
	static const pd_time_t times[] = { 4 * PD_SEC, 5 * PD_SEC, 8 * PD_SEC,
					   30 * PD_SEC };

	(void)state;
	for (int refused = 1; refused < 60; refused++) {
		room_rate_t rate = rate_after(20, refused);

		for (size_t i = 0; i < G_N_ELEMENTS(times); i++) {
			unsigned int slots[SLOTS] = { 0 };

			for (int j = 0; j < CALLERS; j++) {
				double draw = (j + 0.5) / CALLERS;

				slots[room_rate_retry_after(&rate, times[i], draw) / SLOT]++;
			}
			for (int j = 0; j < SLOTS; j++)
				assert_true(slots[j] <= CALLERS / 5);
		}
	}
}

/*
 * Guards against callers that return into a new shortage of their own making. Half as much
 * again as there is room for is asked for in one second, and half of the room after it.
 */
static void test_returning_callers_find_room(void **state)
{
	room_rate_t rate = { 0 };
	GRand *random = g_rand_new_with_seed(SEED);
	unsigned int returns[SLOTS] = { 0 };
	unsigned int found = 0;
	unsigned int returned = 0;
	const unsigned int room = 100; /* in a slot */

	(void)state;
	for (unsigned int i = 0; i < SLOTS / 2; i++) {
		unsigned int newcomers = i < 10 ? room * 3 / 2 : room / 2;
		unsigned int calls = newcomers + returns[i];

		for (unsigned int j = 0; j < calls; j++) {
			bool admitted = j < room;
			pd_time_t now = START + i * SLOT + j * SLOT / calls;
			pd_time_t wait;

			room_rate_record(&rate, admitted, 1, now);
			/* Returned requests go before newcomers. */
			if (i >= 10 && j < returns[i]) {
				returned++;
				found += admitted;
			}
			if (admitted)
				continue;
			wait = room_rate_retry_after(&rate, 10 * PD_SEC,
						     g_rand_double(random));
			returns[(now + wait - START) / SLOT]++;
		}
	}
	print_message("%u of %u returning callers found room\n", found, returned);
	assert_true(returned > 300);
	assert_true(found > 0.95 * returned);
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wait_grows_with_the_excess),
		cmocka_unit_test(test_wait_is_within_the_time_left),
		cmocka_unit_test(test_callers_refused_at_once_are_spread),
		cmocka_unit_test(test_returning_callers_find_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
