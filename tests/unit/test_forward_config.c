/* Routes, keys and shares of a version of the configuration. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/config.h"

static forward_route_t *add_route(forward_config_t *config, const char *name,
				  const char *host, const char *prefix)
{
	forward_route_t *route = forward_config_add_route(config);

	route->name = g_strdup(name);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	return route;
}

static int setup(void **state)
{
	forward_config_t *config = forward_config_create();

	add_route(config, "all", "a.example", "/");
	add_route(config, "long", "a.example", "/x/y/");
	add_route(config, "short", "a.example", "/x/");
	add_route(config, "other", "b.example", "/x/");
	forward_config_index_routes(config);
	*state = config;
	return 0;
}

static int teardown(void **state)
{
	forward_config_unref(*state);
	return 0;
}

static void assert_route(const forward_config_t *config, const char *host,
			 const char *target, const char *name)
{
	const forward_route_t *route = forward_config_route(config, host, target);

	assert_string_equal(route ? route->name : "none", name);
}

static void test_the_longest_prefix_wins(void **state)
{
	assert_route(*state, "a.example", "/x/y/z", "long");
	assert_route(*state, "a.example", "/x/z", "short");
	assert_route(*state, "a.example", "/q", "all");
	assert_route(*state, "b.example", "/q", "none");
	assert_route(*state, "c.example", "/x/", "none");
}

static void test_host_ignores_case_and_port(void **state)
{
	assert_route(*state, "A.Example:8080", "/x/y/", "long");
}

/*
 * A query can hold slashes. Counted as path, a request for one route would run
 * at the service of another.
 */
static void test_a_query_is_no_path(void **state)
{
	assert_route(*state, "a.example", "/x?/y/", "all");
	assert_route(*state, "a.example", "/x/?/y/", "short");
}

static void test_shares_follow_their_weights(void **state)
{
	forward_config_t *config = forward_config_create();
	forward_route_t *route = add_route(config, "r", "h", "/");

	(void)state;
	forward_route_add_service(route, "one", 90);
	forward_route_add_service(route, "two", 10);
	assert_string_equal(forward_route_pick_service(route, 0), "one");
	assert_string_equal(forward_route_pick_service(route, 0.89), "one");
	assert_string_equal(forward_route_pick_service(route, 0.91), "two");
	assert_string_equal(forward_route_pick_service(route, 0.999), "two");
	forward_config_unref(config);
}

static void test_a_key_names_its_account(void **state)
{
	forward_config_t *config = forward_config_create();
	forward_account_t *account = forward_config_add_account(config);

	(void)state;
	account->name = g_strdup("mill");
	forward_config_add_key(config, "k1", account);
	forward_config_add_key(config, "k2", account);
	assert_ptr_equal(forward_config_account(config, "k2"), account);
	assert_null(forward_config_account(config, "k3"));
	forward_config_unref(config);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_the_longest_prefix_wins,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_host_ignores_case_and_port,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_query_is_no_path, setup,
						teardown),
		cmocka_unit_test(test_shares_follow_their_weights),
		cmocka_unit_test(test_a_key_names_its_account),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
