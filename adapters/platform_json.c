/*
 * Encodes and decodes objects that are stored on the platform or listed by it.
 */
#include "adapters/platform_json.h"

#include <string.h>

#include "adapters/json.h"
#include "core/upstreams.h"

static const char *const claim_state_names[] = {
	[CLAIM_HELD] = "held",
	[CLAIM_DONE] = "done",
	[CLAIM_RELEASED] = "released",
};

static const char *const vm_state_names[] = {
	[VM_STARTING] = "starting",
	[VM_LIVE] = "live",
	[VM_LEAVING] = "leaving",
};

static const char *const vm_role_names[] = {
	[VM_MODEL] = "model",
	[VM_SERVICE] = "service",
};

/* Returns the index of NAME in NAMES, or -1 with ERR set, which names WHAT. */
static int name_to_index(const char *const *names, size_t count,
			 const char *name, const char *what, pd_error_t *err)
{
	for (size_t i = 0; i < count; i++) {
		if (!strcmp(names[i], name))
			return (int)i;
	}
	return pd_error_set(err, PD_ERROR_INPUT, "%s: unknown value %s", what,
			    name);
}

/*
 * Returns OBJECT as JSON text with sorted keys, owned by the caller, and
 * releases OBJECT.
 */
static char *dump_and_release(json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
	char *copy = g_strdup(text);

	free(text);
	json_decref(object);
	return copy;
}

/* Returns a claim as a JSON object, owned by the caller. */
static json_t *claim_encode(const claim_t *claim)
{
	json_t *object = json_object();

	json_object_set_new(object, "key", json_string(claim->key));
	json_object_set_new(object, "nonce", json_string(claim->nonce));
	json_object_set_new(object, "digest", json_string(claim->digest));
	json_object_set_new(object, "state",
			    json_string(claim_state_names[claim->state]));
	json_object_set_new(object, "made_at", json_integer(claim->made_at));
	if (claim->state == CLAIM_DONE)
		json_object_set_new(object, "status", json_integer(claim->status));
	if (claim->answer)
		json_object_set_new(object, "answer",
				    json_stringn_nocheck(claim->answer,
							 strlen(claim->answer)));
	return object;
}

/* Returns a table of claims as JSON text, owned by the caller. */
char *claim_table_encode(const claim_table_t *table)
{
	json_t *object = json_object();
	json_t *claims = json_array();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, table->claims);
	while (g_hash_table_iter_next(&it, NULL, &value))
		json_array_append_new(claims, claim_encode(value));
	json_object_set_new(object, "claims", claims);
	return dump_and_release(object);
}

/* Decodes a claim into TABLE; returns 0, or -1 with ERR set. */
static int claim_decode(const json_t *object, claim_table_t *table, pd_error_t *err)
{
	const char *key;
	const char *nonce;
	const char *digest;
	const char *state;
	int64_t made_at;
	claim_t *claim;
	int index;

	if (json_read_string(object, "key", &key, err) < 0 ||
	    json_read_string(object, "nonce", &nonce, err) < 0 ||
	    json_read_string(object, "digest", &digest, err) < 0 ||
	    json_read_string(object, "state", &state, err) < 0 ||
	    json_read_integer(object, "made_at", &made_at, err) < 0)
		return -1;
	index = name_to_index(claim_state_names, G_N_ELEMENTS(claim_state_names),
			      state, "state", err);
	if (index < 0)
		return -1;
	claim = claim_table_put(table, key, nonce, digest);
	claim->state = (claim_state_t)index;
	claim->made_at = made_at;
	claim->status = (int)json_integer_or(object, "status", 0);
	claim->answer = g_strdup(json_string_or(object, "answer", NULL));
	return 0;
}

/*
 * Decodes a table of claims. Returns it, owned by the caller, or NULL with ERR
 * set if it is malformed.
 */
claim_table_t *claim_table_decode(const char *data, size_t len, pd_error_t *err)
{
	claim_table_t *table = NULL;
	json_t *object = json_parse(data, len, err);
	json_t *claims;
	json_t *item;
	size_t i;

	if (!object || json_read_array(object, "claims", &claims, err) < 0)
		goto error;
	table = claim_table_create();
	json_array_foreach(claims, i, item)
	{
		if (claim_decode(item, table, err) < 0)
			goto error;
	}
	json_decref(object);
	return table;
error:
	claim_table_destroy(table);
	json_decref(object);
	return NULL;
}

/* Returns an intent as a JSON object, owned by the caller. */
static json_t *intent_encode(const intent_t *intent)
{
	json_t *object = json_object();

	json_object_set_new(object, "tag", json_string(intent->tag));
	if (intent->vm_id)
		json_object_set_new(object, "vm_id", json_string(intent->vm_id));
	json_object_set_new(object, "target", json_string(intent->target));
	json_object_set_new(object, "zone", json_string(intent->zone));
	json_object_set_new(object, "machine_class",
			    json_string(intent->machine_class ? intent->machine_class
							      : ""));
	json_object_set_new(object, "reclaimable",
			    json_boolean(intent->reclaimable));
	return object;
}

/* Returns a lease record as JSON text, owned by the caller. */
char *lease_record_encode(const lease_record_t *record)
{
	json_t *object = json_object();
	json_t *intents = json_array();

	json_object_set_new(object, "holder",
			    json_string(record->holder ? record->holder : ""));
	json_object_set_new(object, "fence",
			    json_integer((json_int_t)record->fence));
	json_object_set_new(object, "renewals",
			    json_integer((json_int_t)record->renewals));
	for (unsigned int i = 0; i < record->intent_count; i++)
		json_array_append_new(intents, intent_encode(&record->intents[i]));
	json_object_set_new(object, "intents", intents);
	return dump_and_release(object);
}

/*
 * Decodes an intent, which then owns its strings; returns 0, or -1 with ERR
 * set.
 */
static int intent_decode(const json_t *object, intent_t *intent, pd_error_t *err)
{
	const char *tag;
	const char *target;
	const char *zone;

	if (json_read_string(object, "tag", &tag, err) < 0 ||
	    json_read_string(object, "target", &target, err) < 0 ||
	    json_read_string(object, "zone", &zone, err) < 0)
		return -1;
	intent->tag = g_strdup(tag);
	intent->vm_id = g_strdup(json_string_or(object, "vm_id", NULL));
	intent->target = g_strdup(target);
	intent->zone = g_strdup(zone);
	intent->machine_class =
		g_strdup(json_string_or(object, "machine_class", ""));
	intent->reclaimable =
		json_is_true(json_object_get(object, "reclaimable"));
	return 0;
}

/*
 * Decodes a lease record. Returns it, owned by the caller, or NULL with ERR set
 * if it is malformed or has more than INTENTS_MAX intents.
 */
lease_record_t *lease_record_decode(const char *data, size_t len, pd_error_t *err)
{
	lease_record_t *record = lease_record_create();
	json_t *object = json_parse(data, len, err);
	const char *holder;
	int64_t fence;
	json_t *intents;
	json_t *item;
	size_t i;

	if (!object || json_read_string(object, "holder", &holder, err) < 0 ||
	    json_read_integer(object, "fence", &fence, err) < 0 ||
	    json_read_array(object, "intents", &intents, err) < 0)
		goto error;
	record->holder = g_strdup(holder);
	record->fence = (uint64_t)fence;
	record->renewals = (uint64_t)json_integer_or(object, "renewals", 0);
	json_array_foreach(intents, i, item)
	{
		if (record->intent_count == INTENTS_MAX) {
			pd_error_set(err, PD_ERROR_TOO_LARGE,
				     "more than %d intents", INTENTS_MAX);
			goto error;
		}
		if (intent_decode(item, &record->intents[record->intent_count],
				  err) < 0)
			goto error;
		record->intent_count++;
	}
	json_decref(object);
	return record;
error:
	json_decref(object);
	lease_record_destroy(record);
	return NULL;
}

/*
 * Decodes a VM, which then owns its strings; returns 0, or -1 with ERR set and
 * no strings to free.
 */
static int vm_decode(const json_t *object, vm_t *vm, pd_error_t *err)
{
	const char *id;
	const char *zone;
	const char *address;
	const char *role;
	const char *state;
	const char *serves;
	int64_t port;
	int role_index;
	int state_index;

	if (json_read_string(object, "id", &id, err) < 0 ||
	    json_read_string(object, "zone", &zone, err) < 0 ||
	    json_read_string(object, "address", &address, err) < 0 ||
	    json_read_string(object, "role", &role, err) < 0 ||
	    json_read_string(object, "state", &state, err) < 0 ||
	    json_read_string(object, "serves", &serves, err) < 0 ||
	    json_read_integer(object, "port", &port, err) < 0)
		return -1;
	role_index = name_to_index(vm_role_names, G_N_ELEMENTS(vm_role_names),
				   role, "role", err);
	state_index = name_to_index(vm_state_names, G_N_ELEMENTS(vm_state_names),
				    state, "state", err);
	if (role_index < 0 || state_index < 0)
		return -1;
	if (port < 1 || port > UINT16_MAX)
		return pd_error_set(err, PD_ERROR_INPUT, "port: out of range");
	vm->id = g_strdup(id);
	vm->zone = g_strdup(zone);
	vm->address = g_strdup(address);
	vm->serves = g_strdup(serves);
	vm->machine_class = g_strdup(json_string_or(object, "machine_class", ""));
	vm->tag = g_strdup(json_string_or(object, "tag", NULL));
	vm->port = (uint16_t)port;
	vm->role = (vm_role_t)role_index;
	vm->state = (vm_state_t)state_index;
	vm->reclaimable = json_is_true(json_object_get(object, "reclaimable"));
	vm->slots = (unsigned int)json_integer_or(object, "slots", 1);
	vm->leaves_in = json_integer_or(object, "leaves_in_ms", 0) * PD_MSEC;
	return 0;
}

/* Frees a list of VMs; NULL is allowed. */
void vm_list_free(GArray *vms)
{
	if (vms)
		g_array_unref(vms);
}

/* Frees the strings of an item of a list of VMs. */
static void vm_item_clear(void *item)
{
	vm_clear(item);
}

/*
 * Decodes a VM list. Returns an array of vm_t, owned by the caller, or NULL
 * with ERR set if it is malformed.
 */
GArray *vm_list_decode(const char *data, size_t len, pd_error_t *err)
{
	GArray *vms = g_array_new(FALSE, TRUE, sizeof(vm_t));
	json_t *object = json_parse(data, len, err);
	json_t *items;
	json_t *item;
	size_t i;

	g_array_set_clear_func(vms, vm_item_clear);
	if (!object || json_read_array(object, "vms", &items, err) < 0)
		goto error;
	json_array_foreach(items, i, item)
	{
		vm_t vm = { 0 };

		if (vm_decode(item, &vm, err) < 0)
			goto error;
		g_array_append_val(vms, vm);
	}
	json_decref(object);
	return vms;
error:
	json_decref(object);
	vm_list_free(vms);
	return NULL;
}

/* Returns an entry's registration as JSON text, owned by the caller. */
char *member_info_encode(const member_info_t *info)
{
	json_t *object = json_object();

	json_object_set_new(object, "id", json_string(info->id));
	json_object_set_new(object, "zone", json_string(info->zone));
	json_object_set_new(object, "address", json_string(info->address));
	json_object_set_new(object, "peer_port", json_integer(info->peer_port));
	json_object_set_new(object, "http_port", json_integer(info->http_port));
	json_object_set_new(object, "incarnation",
			    json_integer((json_int_t)info->incarnation));
	return dump_and_release(object);
}

/*
 * Decodes an entry's registration into INFO, which then owns its strings.
 * Returns 0, or -1 with ERR set and INFO untouched.
 */
int member_info_decode(const char *data, size_t len, member_info_t *info,
		       pd_error_t *err)
{
	json_t *object = json_parse(data, len, err);
	const char *id;
	const char *zone;
	const char *address;
	int64_t peer_port;
	int64_t http_port;
	int64_t incarnation;

	if (!object || json_read_string(object, "id", &id, err) < 0 ||
	    json_read_string(object, "zone", &zone, err) < 0 ||
	    json_read_string(object, "address", &address, err) < 0 ||
	    json_read_integer(object, "peer_port", &peer_port, err) < 0 ||
	    json_read_integer(object, "http_port", &http_port, err) < 0 ||
	    json_read_integer(object, "incarnation", &incarnation, err) < 0) {
		json_decref(object);
		return -1;
	}
	memset(info, 0, sizeof(*info));
	info->id = g_strdup(id);
	info->zone = g_strdup(zone);
	info->address = g_strdup(address);
	info->peer_port = (uint16_t)peer_port;
	info->http_port = (uint16_t)http_port;
	info->incarnation = (uint64_t)incarnation;
	json_decref(object);
	return 0;
}
