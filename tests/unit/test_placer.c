/*
 * Unit tests of the placer's core, with a lease that is granted, a VM list, and
 * a cloud that may refuse starts.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/placer.h"

#define TARGET "m"

typedef struct fixture {
	placer_t *placer;
	pd_time_t now;
	uint64_t version;
	bool refuse_starts;
	GHashTable *refused_zones; /* zone -> number of refusals */
	GPtrArray *bought_zones; /* of char * */
	unsigned int drains;
	unsigned int releases;
	vm_t vms[16];
	size_t count;
} fixture_t;

static void handle(fixture_t *fixture, placer_event_t *event);

/* Grants each lease write; a read finds no record. */
static void reply_to_lease(fixture_t *fixture, const placer_action_t *action)
{
	placer_event_t event = { .kind = PLACER_LEASE_REPLY,
				 .lease = { .op = action->lease.op } };

	event.lease.status = action->kind == PLACER_LEASE_READ ? STORE_MISSING
							       : STORE_OK;
	if (action->kind == PLACER_LEASE_WRITE)
		event.lease.version = ++fixture->version;
	handle(fixture, &event);
}

/* Grants a purchase and adds its VM, unless the cloud refuses it. */
static void reply_to_purchase(fixture_t *fixture, const intent_t *intent)
{
	bool refused = fixture->refuse_starts &&
		       (intent->reclaimable || !strcmp(intent->zone, "a"));
	placer_event_t event = { .kind = PLACER_PURCHASE_REPLY,
				 .purchase = { intent->tag,
					       refused ? STORE_DOWN : STORE_OK } };
	vm_t *vm = &fixture->vms[fixture->count];

	if (refused) {
		unsigned int refusals = GPOINTER_TO_UINT(
			g_hash_table_lookup(fixture->refused_zones, intent->zone));

		g_hash_table_insert(fixture->refused_zones, g_strdup(intent->zone),
				    GUINT_TO_POINTER(refusals + 1));
	} else {
		g_ptr_array_add(fixture->bought_zones, g_strdup(intent->zone));
		*vm = (vm_t){ .id = g_strdup_printf("vm-%zu", fixture->count),
			      .zone = g_strdup(intent->zone),
			      .machine_class = g_strdup("any"),
			      .address = g_strdup("127.0.0.1"),
			      .serves = g_strdup(TARGET),
			      .tag = g_strdup(intent->tag),
			      .state = VM_LIVE,
			      .reclaimable = intent->reclaimable,
			      .slots = 8 };
		fixture->count++;
	}
	handle(fixture, &event);
}

static void perform(fixture_t *fixture, placer_action_t *action)
{
	switch (action->kind) {
	case PLACER_LEASE_READ:
	case PLACER_LEASE_WRITE:
		reply_to_lease(fixture, action);
		break;
	case PLACER_BUY:
		reply_to_purchase(fixture, &action->buy.intent);
		break;
	case PLACER_RELEASE:
		fixture->releases++;
		break;
	case PLACER_ENGINE_ORDER:
		fixture->drains++;
		break;
	case PLACER_DECISION:
		break;
	}
}

static void handle(fixture_t *fixture, placer_event_t *event)
{
	list_node_t actions;
	list_node_t *node;

	event->now = fixture->now;
	list_init(&actions);
	placer_handle(fixture->placer, event, &actions);
	while ((node = list_pop(&actions))) {
		placer_action_t *action = LIST_ENTRY(node, placer_action_t, node);

		perform(fixture, action);
		placer_action_destroy(action);
	}
}

/* Lets time pass in ticks of 200 ms, with a VM list every second. */
static void run_seconds(fixture_t *fixture, unsigned int seconds)
{
	for (unsigned int i = 0; i < seconds * 5; i++) {
		placer_event_t tick = { .kind = PLACER_TICK };

		fixture->now += 200 * PD_MSEC;
		if (i % 5 == 0) {
			placer_event_t list = { .kind = PLACER_VM_LIST,
						.vm_list = { fixture->vms,
							     fixture->count } };

			handle(fixture, &list);
		}
		handle(fixture, &tick);
	}
}

/* Sends a bundle that asks for a fixed number of VMs. */
static void set_workers(fixture_t *fixture, unsigned int workers)
{
	bundle_t *bundle = bundle_create();
	target_t *target = bundle_add_target(bundle, TARGET_MODEL, TARGET);
	placer_event_t event = { .kind = PLACER_BUNDLE, .bundle = bundle };

	target->workers = workers;
	target->timeout = 10 * PD_SEC;
	handle(fixture, &event);
}

static int setup(void **state)
{
	static const char *const zones[] = { "a", "b", "c", NULL };
	const placer_config_t config = { .id = "p", .zones = zones, .seed = 1 };
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->placer = placer_create(&config);
	fixture->now = PD_SEC;
	fixture->bought_zones = g_ptr_array_new_with_free_func(g_free);
	fixture->refused_zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	*state = fixture;
	return 0;
}

static int teardown(void **state)
{
	fixture_t *fixture = *state;

	for (size_t i = 0; i < fixture->count; i++) {
		g_free(fixture->vms[i].id);
		g_free(fixture->vms[i].zone);
		g_free(fixture->vms[i].machine_class);
		g_free(fixture->vms[i].address);
		g_free(fixture->vms[i].serves);
		g_free(fixture->vms[i].tag);
	}
	placer_destroy(fixture->placer);
	g_ptr_array_unref(fixture->bought_zones);
	g_hash_table_unref(fixture->refused_zones);
	g_free(fixture);
	return 0;
}

/*
 * In a wave of reclaims the cloud refuses to start VMs: here all reclaimable
 * ones, and all in one zone, for ten minutes. VMs elsewhere must be bought at
 * once, and the refusing zone not be tried all the time.
 */
static void test_refused_starts_move_to_other_zones(void **state)
{
	fixture_t *fixture = *state;
	unsigned int refusals;

	fixture->refuse_starts = true;
	set_workers(fixture, 4);
	run_seconds(fixture, 60);
	assert_int_equal(fixture->count, 4);
	for (guint i = 0; i < fixture->bought_zones->len; i++)
		assert_string_not_equal(g_ptr_array_index(fixture->bought_zones, i),
					"a");
	run_seconds(fixture, 540);
	refusals = GPOINTER_TO_UINT(
		g_hash_table_lookup(fixture->refused_zones, "a"));
	assert_in_range(refusals, 0, 40);
}

/*
 * The bundle reduces the number of VMs. One that still has streams is drained,
 * and is kept until its engine reports that it has none.
 */
static void test_vm_with_streams_is_not_released(void **state)
{
	fixture_t *fixture = *state;
	placer_event_t event = { .kind = PLACER_ENGINE_REPLY };

	set_workers(fixture, 2);
	run_seconds(fixture, 30);
	assert_int_equal(fixture->count, 2);
	fixture->vms[0].role = VM_MODEL;
	fixture->vms[1].role = VM_MODEL;
	set_workers(fixture, 1);
	run_seconds(fixture, 5);
	assert_true(fixture->drains > 0);
	assert_int_equal(fixture->releases, 0);
	event.engine.status = STORE_OK;
	event.engine.running = 1;
	for (int i = 0; i < 2; i++) {
		event.engine.vm_id = fixture->vms[i].id;
		handle(fixture, &event);
	}
	run_seconds(fixture, 5);
	assert_int_equal(fixture->releases, 0);
	event.engine.running = 0;
	for (int i = 0; i < 2; i++) {
		event.engine.vm_id = fixture->vms[i].id;
		handle(fixture, &event);
	}
	run_seconds(fixture, 1);
	assert_int_equal(fixture->releases, 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_refused_starts_move_to_other_zones,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_vm_with_streams_is_not_released,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
