/*
 * Placer processes are killed and paused in the middle of purchases while the cloud
 * API loses replies. The tests count the VMs of each purchase tag, and the orders.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "adapters/json.h"
#include "tests/harness/fleet.h"

/* So many on standby that one of them reads the lease every few seconds. */
#define PLACERS 16
#define SPARE_VMS 24
#define WAIT_MS 90000
#define TARGET "cut-list"

typedef struct placement_wait {
	fleet_t *fleet;
	unsigned int count; /* awaited number of VMs or purchases */
	const char *holder; /* id of the placer that must no longer hold the lease */
} placement_wait_t;

/* Rolls out a bundle with that number of workers for the target model. */
static void set_workers(fleet_t *fleet, unsigned int workers,
			unsigned int max_workers)
{
	char *extra = g_strdup_printf("[models." TARGET "]\nworkers = %u\n"
				      "most_workers = %u\ntimeout_ms = 1000\n",
				      workers, max_workers);

	fleet->config.bundle_extra = extra;
	fleet_rollout(fleet, fleet->generation + 1);
	fleet->config.bundle_extra = NULL;
	g_free(extra);
}

static void add_spare_vms(fleet_t *fleet)
{
	for (int i = 0; i < SPARE_VMS; i++) {
		char *item = g_strdup_printf(
			"{\"id\":\"spare-%d\",\"zone\":\"zone-%c\","
			"\"address\":\"127.0.0.1\",\"port\":%d,"
			"\"role\":\"model\",\"state\":\"spare\","
			"\"serves\":\"" TARGET "\",\"slots\":8,"
			"\"reclaimable\":true,\"machine_class\":\"any\"}",
			i, 'a' + i % 4, fleet->engines[0].port);

		fleet_post(fleet, fleet->platform.port, "/standin/vms", item);
		g_free(item);
	}
}

static json_t *get_json(fleet_t *fleet, const char *path)
{
	json_t *answer = fleet_get(fleet, fleet->platform.port, path);

	assert_non_null(answer);
	return answer;
}

/* Returns the number of live VMs of the target, and the most that share a tag. */
static unsigned int count_vms(fleet_t *fleet, unsigned int *max_per_tag)
{
	json_t *list = get_json(fleet, "/vms");
	json_t *tags = json_object();
	unsigned int count = 0;
	json_t *item;
	size_t i;

	*max_per_tag = 0;
	json_array_foreach(json_object_get(list, "vms"), i, item)
	{
		const char *tag = json_string_or(item, "tag", "");
		int64_t tag_count = json_integer_or(tags, tag, 0) + 1;

		if (strcmp(json_string_or(item, "serves", ""), TARGET))
			continue;
		count++;
		json_object_set_new(tags, tag, json_integer(tag_count));
		*max_per_tag = MAX(*max_per_tag, (unsigned int)tag_count);
	}
	json_decref(tags);
	json_decref(list);
	return count;
}

/* Returns the index of the placer that holds the lease, or -1. */
static int lease_holder(fleet_t *fleet)
{
	json_t *lease =
		fleet_get(fleet, fleet->platform.port, "/objects/placer/lease");
	const char *holder = json_string_or(lease, "holder", "");
	int index = -1;

	for (int i = 0; i < PLACERS; i++) {
		char *prefix = g_strconcat(fleet->placers[i].id, "-", NULL);

		if (g_str_has_prefix(holder, prefix))
			index = i;
		g_free(prefix);
	}
	json_decref(lease);
	return index;
}

static size_t count_intents(fleet_t *fleet)
{
	json_t *lease =
		fleet_get(fleet, fleet->platform.port, "/objects/placer/lease");
	size_t count = json_array_size(json_object_get(lease, "intents"));

	json_decref(lease);
	return count;
}

static bool has_holder(void *ctx)
{
	return lease_holder(((placement_wait_t *)ctx)->fleet) >= 0;
}

static bool has_other_holder(void *ctx)
{
	placement_wait_t *wait = ctx;
	int holder = lease_holder(wait->fleet);

	return holder >= 0 &&
	       strcmp(wait->fleet->placers[holder].id, wait->holder) != 0;
}

static bool has_ordered(void *ctx)
{
	placement_wait_t *wait = ctx;
	json_t *answer = get_json(wait->fleet, "/standin/orders");
	size_t count = json_object_size(json_object_get(answer, "orders"));

	json_decref(answer);
	return count >= wait->count;
}

/* Returns true if there are COUNT VMs and the lease records no pending intents. */
static bool placement_is_done(void *ctx)
{
	placement_wait_t *wait = ctx;
	unsigned int tag_count;

	return count_vms(wait->fleet, &tag_count) == wait->count &&
	       count_intents(wait->fleet) == 0;
}

static void wait_until(fleet_t *fleet, fleet_condition_t condition,
		       placement_wait_t *wait, const char *what)
{
	if (!fleet_wait_ms(fleet, condition, wait, WAIT_MS))
		fail_msg("gave up waiting for: %s", what);
}

static int setup(void **state)
{
	const fleet_config_t config = { .entries = 1,
					.placers = PLACERS,
					.engines = 1 };
	fleet_t *fleet = fleet_create(&config);
	placement_wait_t wait = { .fleet = fleet };

	add_spare_vms(fleet);
	wait_until(fleet, has_holder, &wait, "a placer that acts");
	*state = fleet;
	return 0;
}

static int teardown(void **state)
{
	fleet_destroy(*state);
	return 0;
}

static void assert_one_vm_per_tag(fleet_t *fleet, unsigned int count)
{
	unsigned int tag_count;

	assert_int_equal(count_vms(fleet, &tag_count), count);
	assert_int_equal(tag_count, 1);
}

/*
 * The active placer is killed during its purchases, and the replies of the cloud API
 * are lost. Its successor must find the VMs by their tags; otherwise it would buy
 * them again, and users would pay for VMs that nobody asked for.
 */
static void test_killed_placer_buys_once(void **state)
{
	fleet_t *fleet = *state;
	placement_wait_t wait = { .fleet = fleet, .count = 1 };
	int holder = lease_holder(fleet);

	wait.holder = fleet->placers[holder].id;
	fleet_post(fleet, fleet->platform.port, "/standin/faults",
		   "{\"lose_purchases\":2,\"lag_ms\":500}");
	set_workers(fleet, 4, 0);
	wait_until(fleet, has_ordered, &wait, "a purchase");
	process_signal(fleet->placers[holder].process, SIGKILL);
	wait_until(fleet, has_other_holder, &wait, "another placer that acts");
	wait.count = 4;
	wait_until(fleet, placement_is_done, &wait, "four VMs");
	assert_one_vm_per_tag(fleet, 4);
}

/*
 * The active placer is paused during its purchases until another takes over, and
 * then continues with a stale lease. The remaining purchases must not be made twice,
 * even by a cloud API that does not deduplicate tags.
 */
static void test_paused_placer_buys_once(void **state)
{
	fleet_t *fleet = *state;
	placement_wait_t wait = { .fleet = fleet, .count = 5 };
	int holder = lease_holder(fleet);
	json_t *orders;

	wait.holder = fleet->placers[holder].id;
	fleet_post(fleet, fleet->platform.port, "/standin/faults",
		   "{\"lose_purchases\":2,\"lag_ms\":500,"
		   "\"forgets_tags\":true}");
	set_workers(fleet, 8, 0);
	wait_until(fleet, has_ordered, &wait, "a fifth purchase");
	process_signal(fleet->placers[holder].process, SIGSTOP);
	wait_until(fleet, has_other_holder, &wait, "another placer that acts");
	process_signal(fleet->placers[holder].process, SIGCONT);
	wait.count = 8;
	wait_until(fleet, placement_is_done, &wait, "eight VMs");
	assert_one_vm_per_tag(fleet, 8);
	orders = get_json(fleet, "/standin/orders");
	print_message("orders under an old lease: %" JSON_INTEGER_FORMAT "\n",
		      (json_int_t)json_integer_or(orders, "stale_orders", -1));
	json_decref(orders);
}

/*
 * A bundle asks for fewer VMs. Each surplus VM must be drained by an order to its
 * engine before it is released; otherwise its streams would break.
 */
static void test_surplus_is_drained_first(void **state)
{
	fleet_t *fleet = *state;
	placement_wait_t wait = { .fleet = fleet, .count = 6 };
	json_t *record;

	set_workers(fleet, 6, 0);
	wait_until(fleet, placement_is_done, &wait, "six VMs");
	record = fleet_get(fleet, fleet->engines[0].port, "/standin/orders");
	assert_true(json_array_size(json_object_get(record, "roles")) >= 2);
	assert_string_equal(json_string_value(json_array_get(
				    json_object_get(record, "roles"), 0)),
			    "draining");
	json_decref(record);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_killed_placer_buys_once),
		cmocka_unit_test(test_paused_placer_buys_once),
		cmocka_unit_test(test_surplus_is_drained_first),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
