/*
 * Tests routes, API keys and weighted services of a version of the
 * configuration.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/forward/config.h"

/* Adds a route with a name, a host and a path prefix. Returns it, borrowed. */
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

/* Checks which route a target has; the NAME "none" stands for no route. */
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

static void test_case_and_port_of_a_host_are_ignored(void **state)
{
	assert_route(*state, "A.Example:8080", "/x/y/", "long");
}

/*
 * Guards against a query with slashes that is matched as part of the path, so
 * that a request is sent to the service of another route.
 */
static void test_a_query_is_not_matched(void **state)
{
	assert_route(*state, "a.example", "/x?/y/", "all");
	assert_route(*state, "a.example", "/x/?/y/", "short");
}

static void test_services_are_picked_by_weight(void **state)
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

static void test_a_key_identifies_its_account(void **state)
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
		cmocka_unit_test_setup_teardown(test_case_and_port_of_a_host_are_ignored,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_a_query_is_not_matched,
						setup, teardown),
		cmocka_unit_test(test_services_are_picked_by_weight),
		cmocka_unit_test(test_a_key_identifies_its_account),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
