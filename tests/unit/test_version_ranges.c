/* Measures how many streams have a known version by the ranges of a release. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/forward/version_ranges.h"

#define T0 (1000 * PD_SEC)
#define STREAMS 10000

/* Half of ten upstreams are replaced in steps of 0.84 s from 2 s on, as in the report. */
static version_ranges_t *release(pd_time_t ttl)
{
	version_ranges_t *ranges = version_ranges_create(ttl);

	for (unsigned int i = 0; i <= 5; i++) {
		const version_share_t shares[] = { { 1, 10 - i }, { 2, i } };

		version_ranges_set(ranges, shares, 2,
				   i ? T0 + 2 * PD_SEC + i * 840 * PD_MSEC : 0);
	}
	return ranges;
}

static void test_share_of_streams_that_is_known(void **state)
{
	static const int ttls_s[] = { 4, 10, 15, 30 };
	static const double kills_s[] = { 7.2, 12, 20.5, 29.8, 40 };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(ttls_s); i++) {
		version_ranges_t *ranges = release(ttls_s[i] * PD_SEC);

		for (size_t j = 0; j < G_N_ELEMENTS(kills_s); j++) {
			pd_time_t now = T0 + (pd_time_t)(kills_s[j] * PD_SEC);
			unsigned int known = 0;

			for (uint64_t k = 1; k <= STREAMS; k++) {
				uint64_t version =
					version_ranges_find(ranges, k, now);

				known += version != 0;
				if (version)
					assert_int_equal(version,
							 version_ranges_choose(ranges,
									       k));
			}
			print_message("ttl %d s, kill at %.1f s: %.3f known\n",
				      ttls_s[i], kills_s[j],
				      (double)known / STREAMS);
		}
		version_ranges_destroy(ranges);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_share_of_streams_that_is_known),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
