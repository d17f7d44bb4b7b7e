/* Unit tests of the choice of VMs, with hand-made offers. */
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
#define UNLIMITED 1000

/*
 * Fills OPTIONS: in each zone VMs of eight slots, on demand for 100 and
 * reclaimable for 30.
 */
static void make_offers(mix_option_t *options)
{
	for (unsigned int i = 0; i < OPTIONS; i++) {
		options[i] = (mix_option_t){ .zone = i / 2,
					     .slots = 8,
					     .reclaimable = i % 2 == 1,
					     .price = i % 2 ? 30 : 100,
					     .max = UNLIMITED };
	}
}

static mix_need_t make_need(unsigned int slots, unsigned int urgent)
{
	return (mix_need_t){ .slots = slots,
			     .urgent = urgent,
			     .max_vms = UNLIMITED,
			     .spare_zones = 1,
			     .reclaimable_percent = 59 };
}

/* Returns the desired slots in ZONE; in all zones if it is negative. */
static unsigned int zone_slots(const mix_option_t *options, int zone)
{
	unsigned int slots = 0;

	for (unsigned int i = 0; i < OPTIONS; i++) {
		if (zone < 0 || options[i].zone == (unsigned int)zone)
			slots += options[i].desired * options[i].slots;
	}
	return slots;
}

/* Asserts that at most PERCENT per cent of the VMs are reclaimable. */
static void assert_reclaimable_share(const mix_option_t *options,
				     unsigned int percent)
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
 * A whole zone is reclaimed at once. Urgent callers must not notice it, so the
 * slots in the other zones have to suffice for them, whichever zone is lost.
 */
static void test_zone_loss_leaves_urgent_slots(void **state)
{
	mix_option_t options[OPTIONS];

	(void)state;
	for (unsigned int slots = 8; slots <= 200; slots += 8) {
		mix_need_t need = make_need(slots, slots);

		make_offers(options);
		mix_choose(MIX_SWEEP, &need, options, OPTIONS);
		assert_reclaimable_share(options, 59);
		for (int zone = 0; zone < ZONES; zone++)
			assert_true(zone_slots(options, -1) -
					    zone_slots(options, zone) >=
				    slots);
	}
}

/* The cheap zone is used more as far as urgent work permits. */
static void test_cheap_zone_is_preferred(void **state)
{
	mix_option_t options[OPTIONS];
	mix_need_t need = make_need(80, 8);

	(void)state;
	make_offers(options);
	options[0].price = 50;
	options[1].price = 15;
	mix_choose(MIX_SWEEP, &need, options, OPTIONS);
	assert_int_equal(zone_slots(options, -1), 80);
	assert_true(zone_slots(options, 0) >= 64);
}

/*
 * Starts in one zone are refused for minutes. VMs that exist there stay, and
 * the rest is bought in other zones.
 */
static void test_zone_that_refuses_is_avoided(void **state)
{
	mix_option_t options[OPTIONS];
	mix_need_t need = make_need(64, 0);

	(void)state;
	make_offers(options);
	options[0].max = 0;
	options[1].max = 0;
	mix_choose(MIX_SWEEP, &need, options, OPTIONS);
	assert_int_equal(zone_slots(options, 0), 0);
	assert_int_equal(zone_slots(options, -1), 64);
}

/*
 * Prices swing by a tenth. Replacing a running VM by one that is a little
 * cheaper would be paid twice while the new one starts.
 */
static void test_small_price_swings_move_nothing(void **state)
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

/* A small need gets a small VM, as slots beyond the need have no value. */
static void test_small_need_takes_small_vm(void **state)
{
	mix_option_t options[2] = {
		{ .slots = 16, .price = 150, .max = UNLIMITED },
		{ .slots = 4, .price = 60, .max = UNLIMITED },
	};
	mix_need_t need = { .slots = 4,
			    .max_vms = UNLIMITED,
			    .reclaimable_percent = 100 };

	(void)state;
	mix_choose(MIX_SWEEP, &need, options, 2);
	assert_int_equal(options[0].desired, 0);
	assert_int_equal(options[1].desired, 1);
}

/* A target with a fixed number of VMs gets it, spread over the zones. */
static void test_fixed_number_is_spread(void **state)
{
	mix_option_t options[OPTIONS];
	mix_need_t need = { .min_vms = 9,
			    .max_vms = 9,
			    .spare_zones = 1,
			    .reclaimable_percent = 59 };

	(void)state;
	make_offers(options);
	mix_choose(MIX_EVEN, &need, options, OPTIONS);
	assert_int_equal(zone_slots(options, -1), 72);
	assert_reclaimable_share(options, 59);
	for (int zone = 0; zone < ZONES; zone++)
		assert_true(zone_slots(options, zone) >= 16);
}

/*
 * The share of reclaimable VMs is one of all VMs: on-demand VMs of other
 * targets leave room for reclaimable ones.
 */
static void test_other_targets_count_for_share(void **state)
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
	assert_int_equal(zone_slots(options, -1), 32);
	assert_int_equal(on_demand, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_zone_loss_leaves_urgent_slots),
		cmocka_unit_test(test_cheap_zone_is_preferred),
		cmocka_unit_test(test_zone_that_refuses_is_avoided),
		cmocka_unit_test(test_small_price_swings_move_nothing),
		cmocka_unit_test(test_small_need_takes_small_vm),
		cmocka_unit_test(test_fixed_number_is_spread),
		cmocka_unit_test(test_other_targets_count_for_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
