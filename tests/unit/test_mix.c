/* The choice of VMs, by hand-made offers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "core/mix.h"

#define ZONES 4
#define OPTIONS (ZONES * 2)
#define MANY 1000

/* In each zone, eight slots on demand for 100 or reclaimable for 30. */
static void make_offers(mix_option_t *options)
{
	for (unsigned int i = 0; i < OPTIONS; i++) {
		options[i] = (mix_option_t){ .zone = i / 2,
					     .slots = 8,
					     .reclaimable = i % 2 == 1,
					     .price = i % 2 ? 30 : 100,
					     .max = MANY };
	}
}

static mix_need_t make_need(unsigned int slots, unsigned int urgent)
{
	return (mix_need_t){ .slots = slots,
			     .urgent = urgent,
			     .max_vms = MANY,
			     .spare_zones = 1,
			     .reclaimable_percent = 59 };
}

static unsigned int slots_of(const mix_option_t *options, int zone)
{
	unsigned int slots = 0;

	for (unsigned int i = 0; i < OPTIONS; i++) {
		if (zone < 0 || options[i].zone == (unsigned int)zone)
			slots += options[i].desired * options[i].slots;
	}
	return slots;
}

static void assert_shares(const mix_option_t *options, unsigned int percent)
{
	unsigned int reclaimable = 0;
	unsigned int all = 0;

	for (unsigned int i = 0; i < OPTIONS; i++) {
		all += options[i].desired;
		reclaimable += options[i].reclaimable ? options[i].desired : 0;
	}
	assert_true(reclaimable * 100 <= all * percent);
}

/*
 * A whole zone is reclaimed at once. Urgent callers must not notice, so what
 * stays in the other zones has to be enough for them, whichever zone goes.
 */
static void test_the_loss_of_a_zone_leaves_enough(void **state)
{
	mix_option_t options[OPTIONS];

	(void)state;
	for (unsigned int slots = 8; slots <= 200; slots += 8) {
		mix_need_t need = make_need(slots, slots);

		make_offers(options);
		mix_choose(MIX_SWEEP, &need, options, OPTIONS);
		assert_shares(options, 59);
		for (int zone = 0; zone < ZONES; zone++)
			assert_true(slots_of(options, -1) - slots_of(options, zone) >=
				    slots);
	}
}

/* The cheap zone is used more where urgent work leaves room for it. */
static void test_cheap_zones_come_first(void **state)
{
	mix_option_t options[OPTIONS];
	mix_need_t need = make_need(80, 8);

	(void)state;
	make_offers(options);
	options[0].price = 50;
	options[1].price = 15;
	mix_choose(MIX_SWEEP, &need, options, OPTIONS);
	assert_int_equal(slots_of(options, -1), 80);
	assert_true(slots_of(options, 0) >= 64);
}

/*
 * Starts in one zone are refused for minutes. The VMs there stay, and the rest
 * is bought elsewhere.
 */
static void test_a_refused_zone_is_passed_over(void **state)
{
	mix_option_t options[OPTIONS];
	mix_need_t need = make_need(64, 0);

	(void)state;
	make_offers(options);
	options[0].max = 0;
	options[1].max = 0;
	mix_choose(MIX_SWEEP, &need, options, OPTIONS);
	assert_int_equal(slots_of(options, 0), 0);
	assert_int_equal(slots_of(options, -1), 64);
}

/*
 * Prices swing by a tenth. Swapping a VM that runs for one a little cheaper
 * would be paid twice while the new one starts.
 */
static void test_small_swings_move_nothing(void **state)
{
	mix_option_t options[OPTIONS];
	mix_need_t need = make_need(64, 16);
	unsigned int before[OPTIONS];

	(void)state;
	make_offers(options);
	mix_choose(MIX_SWEEP, &need, options, OPTIONS);
	for (unsigned int i = 0; i < OPTIONS; i++) {
		before[i] = options[i].desired;
		options[i].current = options[i].desired;
		options[i].price = options[i].price * (i % 3 ? 100 : 110) / 100;
	}
	mix_choose(MIX_SWEEP, &need, options, OPTIONS);
	for (unsigned int i = 0; i < OPTIONS; i++)
		assert_int_equal(options[i].desired, before[i]);
}

/* Small VMs for a small need: slots beyond it are worth nothing. */
static void test_a_small_need_takes_a_small_vm(void **state)
{
	mix_option_t options[2] = {
		{ .slots = 16, .price = 150, .max = MANY },
		{ .slots = 4, .price = 60, .max = MANY },
	};
	mix_need_t need = { .slots = 4, .max_vms = MANY, .reclaimable_percent = 100 };

	(void)state;
	mix_choose(MIX_SWEEP, &need, options, 2);
	assert_int_equal(options[0].desired, 0);
	assert_int_equal(options[1].desired, 1);
}

/* A target that asks for a number of VMs gets it, spread over the zones. */
static void test_a_fixed_number_is_spread(void **state)
{
	mix_option_t options[OPTIONS];
	mix_need_t need = { .min_vms = 9,
			    .max_vms = 9,
			    .spare_zones = 1,
			    .reclaimable_percent = 59 };

	(void)state;
	make_offers(options);
	mix_choose(MIX_EVEN, &need, options, OPTIONS);
	assert_int_equal(slots_of(options, -1), 72);
	assert_shares(options, 59);
	for (int zone = 0; zone < ZONES; zone++)
		assert_true(slots_of(options, zone) >= 16);
}

/*
 * The share of reclaimable VMs is one of all VMs: what other targets have on
 * demand leaves room for it.
 */
static void test_other_targets_count_for_the_share(void **state)
{
	mix_option_t options[OPTIONS];
	mix_need_t need = make_need(32, 8);
	unsigned int on_demand = 0;

	(void)state;
	need.other_vms = 4;
	make_offers(options);
	mix_choose(MIX_SWEEP, &need, options, OPTIONS);
	for (unsigned int i = 0; i < OPTIONS; i += 2)
		on_demand += options[i].desired;
	assert_int_equal(slots_of(options, -1), 32);
	assert_int_equal(on_demand, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_the_loss_of_a_zone_leaves_enough),
		cmocka_unit_test(test_cheap_zones_come_first),
		cmocka_unit_test(test_a_refused_zone_is_passed_over),
		cmocka_unit_test(test_small_swings_move_nothing),
		cmocka_unit_test(test_a_small_need_takes_a_small_vm),
		cmocka_unit_test(test_a_fixed_number_is_spread),
		cmocka_unit_test(test_other_targets_count_for_the_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
