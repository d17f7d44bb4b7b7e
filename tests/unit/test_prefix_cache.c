/* The assumed contents of the engines' prefix caches. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/prefix_cache.h"

#define NOW (1000 * PD_SEC)

static void test_sends_and_events_are_recorded(void **state)
{
	prefix_cache_t *cache = prefix_cache_create();
	const cache_event_t events[] = { { 8, true }, { 7, false } };

	(void)state;
	prefix_cache_record_send(cache, "vm-1", 7, NOW);
	assert_true(prefix_cache_contains(cache, "vm-1", 7, NOW));
	assert_false(prefix_cache_contains(cache, "vm-2", 7, NOW));
	prefix_cache_apply_events(cache, "vm-1", events, 2, NOW);
	assert_false(prefix_cache_contains(cache, "vm-1", 7, NOW));
	assert_true(prefix_cache_contains(cache, "vm-1", 8, NOW));
	prefix_cache_destroy(cache);
}

/*
 * The event that an engine dropped a prefix is lost. Its prompts would be sent
 * there in vain for ever, and their callers would wait for the whole prefill.
 */
static void test_cached_prefix_expires(void **state)
{
	prefix_cache_t *cache = prefix_cache_create();

	(void)state;
	prefix_cache_record_send(cache, "vm-1", 7, NOW);
	assert_true(prefix_cache_contains(cache, "vm-1", 7, NOW + 29 * PD_SEC));
	assert_false(prefix_cache_contains(cache, "vm-1", 7, NOW + 31 * PD_SEC));
	prefix_cache_destroy(cache);
}

/* An engine that reports prefixes without end must not exhaust the memory. */
static void test_cached_prefixes_are_bounded(void **state)
{
	prefix_cache_t *cache = prefix_cache_create();
	unsigned int held = 0;

	(void)state;
	for (uint64_t i = 1; i <= 1000; i++)
		prefix_cache_record_send(cache, "vm-1", i, NOW + (pd_time_t)i);
	for (uint64_t i = 1; i <= 1000; i++)
		held += prefix_cache_contains(cache, "vm-1", i, NOW + 1000);
	assert_int_equal(held, 64);
	assert_true(prefix_cache_contains(cache, "vm-1", 1000, NOW + 1000));
	prefix_cache_destroy(cache);
}

static void test_short_prompt_has_no_prefix(void **state)
{
	char text[PREFIX_BYTES + 8];
	GBytes *too_short;
	GBytes *first;
	GBytes *second;

	(void)state;
	memset(text, 'x', sizeof(text));
	too_short = g_bytes_new(text, PREFIX_BYTES - 1);
	first = g_bytes_new(text, PREFIX_BYTES + 1);
	second = g_bytes_new(text, PREFIX_BYTES + 8);
	assert_int_equal(prefix_cache_hash_prompt(too_short), 0);
	assert_true(prefix_cache_hash_prompt(first) != 0);
	assert_true(prefix_cache_hash_prompt(first) ==
		    prefix_cache_hash_prompt(second));
	g_bytes_unref(too_short);
	g_bytes_unref(first);
	g_bytes_unref(second);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_sends_and_events_are_recorded),
		cmocka_unit_test(test_cached_prefix_expires),
		cmocka_unit_test(test_cached_prefixes_are_bounded),
		cmocka_unit_test(test_short_prompt_has_no_prefix),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
