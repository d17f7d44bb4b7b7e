/* Sends events to one entry's core and collects its actions. */
#include "tests/harness/drive.h"

#include <string.h>

#define START (1000 * PD_SEC)
#define WALL_START 1700000000
#define MAX_TOKENS 8

/*
 * Returns a driver with an entry that has no bundle and no upstreams. The
 * caller owns it; the strings are copied.
 */
drive_t *drive_create(const char *id, const char *zone, uint64_t seed)
{
	drive_t *drive = g_new0(drive_t, 1);
	const entry_config_t config = {
		.self = { .id = (char *)id,
			  .zone = (char *)zone,
			  .address = (char *)"127.0.0.1",
			  .incarnation = 1 },
		.subset = 24,
		.seed = seed,
	};

	drive->entry = entry_create(&config);
	drive->now = START;
	drive->wall = WALL_START;
	list_init(&drive->actions);
	return drive;
}

/* Frees the driver, its entry and the remaining actions. */
void drive_destroy(drive_t *drive)
{
	action_list_clear(&drive->actions);
	entry_destroy(drive->entry);
	g_free(drive);
}

/* Handles an event at the current simulated time. */
void drive_event(drive_t *drive, event_t *event)
{
	event->now = drive->now;
	event->wall = drive->wall;
	entry_handle(drive->entry, event, &drive->actions);
}

/* Advances the clock by STEP and sends one tick. */
void drive_tick(drive_t *drive, pd_time_t step)
{
	event_t event = { .kind = EVENT_TICK };

	drive->now += step;
	drive->wall = WALL_START + (drive->now - START) / PD_SEC;
	drive_event(drive, &event);
}

/*
 * Puts a bundle in force with model "m", repeatable service "s", urgent service
 * "once" that is not repeatable, and two accounts that may call all of them,
 * the second of which is urgent.
 */
void drive_bundle(drive_t *drive, uint64_t generation)
{
	static const char *const names[] = { "m", "s", "once" };
	bundle_t *bundle = bundle_create();
	GBytes *envelope = g_bytes_new_static("e", 1);
	account_t *accounts[] = {
		bundle_add_account(bundle, "a", DRIVE_KEY_HASH),
		bundle_add_account(bundle, "b", DRIVE_URGENT_KEY_HASH),
	};
	event_t event = { .kind = EVENT_BUNDLE, .bundle = { bundle, envelope } };
	target_t *once;

	bundle->generation = generation;
	bundle_add_target(bundle, TARGET_MODEL, "m");
	bundle_add_target(bundle, TARGET_SERVICE, "s");
	once = bundle_add_target(bundle, TARGET_SERVICE, "once");
	once->repeatable = false;
	once->priority = PRIORITY_URGENT;
	accounts[1]->has_priority = true;
	accounts[1]->priority = PRIORITY_URGENT;
	for (size_t i = 0; i < G_N_ELEMENTS(accounts); i++) {
		accounts[i]->requests_per_second = 1e6;
		accounts[i]->burst = 1e6;
		for (size_t k = 0; k < G_N_ELEMENTS(names); k++)
			g_ptr_array_add(accounts[i]->allowed, g_strdup(names[k]));
	}
	drive_event(drive, &event);
	bundle_destroy(event.bundle.bundle);
	g_bytes_unref(envelope);
}

/* Appends a live VM that serves that name. Its id is owned by the caller. */
static void add_vm(GArray *vms, vm_role_t role, const char *serves,
		   unsigned int index, unsigned int slots)
{
	vm_t vm = { .zone = (char *)"zone-a",
		    .machine_class = (char *)"any",
		    .address = (char *)"127.0.0.1",
		    .port = 1,
		    .role = role,
		    .state = VM_LIVE,
		    .slots = slots,
		    .serves = (char *)serves };

	vm.id = g_strdup_printf("%s-%u", serves, index + 1);
	g_array_append_val(vms, vm);
}

/*
 * Sends a list of MODELS live VMs for "m", and SERVICES for each of "s" and
 * "once".
 */
void drive_vms(drive_t *drive, unsigned int models, unsigned int services,
	       unsigned int slots)
{
	GArray *vms = g_array_new(FALSE, TRUE, sizeof(vm_t));
	event_t event = { .kind = EVENT_VM_LIST };

	for (unsigned int i = 0; i < models; i++)
		add_vm(vms, VM_MODEL, "m", i, slots);
	for (unsigned int i = 0; i < services; i++) {
		add_vm(vms, VM_SERVICE, "s", i, slots);
		add_vm(vms, VM_SERVICE, "once", i, slots);
	}
	event.vm_list.vms = (const vm_t *)(void *)vms->data;
	event.vm_list.count = vms->len;
	drive_event(drive, &event);
	for (guint i = 0; i < vms->len; i++)
		g_free(g_array_index(vms, vm_t, i).id);
	g_array_unref(vms);
}

/* Sends a request with the given account key; returns the caller's id. */
static caller_id_t send_request(drive_t *drive, const char *key_hash,
				target_kind_t kind, const char *target,
				const char *idempotency_key)
{
	GBytes *body = g_bytes_new_static("prompt", strlen("prompt"));
	event_t event = {
		.kind = EVENT_REQUEST,
		.request = { .caller = ++drive->next_caller,
			     .kind = kind,
			     .key_hash = key_hash,
			     .target = target,
			     .path = "/",
			     .idempotency_key = idempotency_key,
			     .body = body,
			     .max_tokens = MAX_TOKENS },
	};

	drive_event(drive, &event);
	g_bytes_unref(body);
	return drive->next_caller;
}

/* Sends a request of the normal account; returns the caller's id. */
caller_id_t drive_request(drive_t *drive, target_kind_t kind,
			  const char *target, const char *idempotency_key)
{
	return send_request(drive, DRIVE_KEY_HASH, kind, target, idempotency_key);
}

/* Sends a model request of the urgent account; returns the caller's id. */
caller_id_t drive_urgent_request(drive_t *drive, const char *target)
{
	return send_request(drive, DRIVE_URGENT_KEY_HASH, TARGET_MODEL, target,
			    NULL);
}

/* Sends an upstream's event about an attempt. */
void drive_upstream(drive_t *drive, upstream_event_kind_t kind,
		    attempt_id_t attempt, uint64_t offset, bool written)
{
	event_t event = { .kind = EVENT_UPSTREAM,
			  .upstream = { .kind = kind,
					.attempt = attempt,
					.offset = offset,
					.data = "t",
					.len = 1,
					.status = 200,
					.written = written } };

	drive_event(drive, &event);
}

/* Replies to a read or write of a claims object. TABLE is borrowed. */
void drive_store_reply(drive_t *drive, const action_t *request_action,
		       store_status_t status, uint64_t version,
		       claim_table_t *table)
{
	event_t event = { .kind = EVENT_STORE_REPLY,
			  .store = { .op = request_action->store.op,
				     .status = status,
				     .version = version,
				     .table = table } };

	drive_event(drive, &event);
}

/*
 * Removes and returns the first action of that kind, owned by the caller; NULL
 * if there is none.
 */
action_t *drive_take(drive_t *drive, action_kind_t kind)
{
	LIST_FOR_EACH (it, &drive->actions) {
		action_t *action = LIST_ENTRY(it, action_t, node);

		if (action->kind != kind)
			continue;
		list_remove(&action->node);
		return action;
	}
	return NULL;
}

/* Returns the number of collected actions of that kind. */
unsigned int drive_count(const drive_t *drive, action_kind_t kind)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, &drive->actions)
		count += LIST_ENTRY(it, action_t, node)->kind == kind;
	return count;
}

/* Frees all collected actions. */
void drive_clear(drive_t *drive)
{
	action_list_clear(&drive->actions);
}
