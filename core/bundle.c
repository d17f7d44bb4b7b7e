/* The bundle in memory: construction and lookups. */
#include "core/bundle.h"

#include <string.h>

static const char *const priority_names[PRIORITIES] = {
	[PRIORITY_URGENT] = "urgent",
	[PRIORITY_NORMAL] = "normal",
	[PRIORITY_BATCH] = "batch",
};

/* Frees a target; value destructor of the table. */
static void target_destroy(void *data)
{
	target_t *target = data;

	g_free(target->name);
	g_free(target->machine_class);
	g_free(target);
}

/* Frees an account; value destructor of the table. */
static void account_destroy(void *data)
{
	account_t *account = data;

	g_free(account->name);
	g_free(account->key_hash);
	g_ptr_array_unref(account->allowed);
	g_free(account);
}

/*
 * Returns a bundle with the documented defaults and no targets or accounts; the
 * caller owns it.
 */
bundle_t *bundle_create(void)
{
	bundle_t *bundle = g_new0(bundle_t, 1);

	bundle->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						target_destroy);
	bundle->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 account_destroy);
	bundle->first_token_target = 590 * PD_MSEC;
	bundle->token_gap_target = 38 * PD_MSEC;
	bundle->drain_bound = 2 * PD_SEC;
	bundle->claim_retention = 24 * 3600 * PD_SEC;
	bundle->queue_limit = 256;
	bundle->reclaimable_percent = 59;
	bundle->spare_zones = 1;
	bundle->headroom_percent = 30;
	return bundle;
}

/* Frees a bundle with its targets and accounts; NULL is allowed. */
void bundle_destroy(bundle_t *bundle)
{
	if (!bundle)
		return;
	g_hash_table_unref(bundle->targets);
	g_hash_table_unref(bundle->accounts);
	g_free(bundle->name);
	g_free(bundle);
}

/*
 * Adds a model or service with defaults, replacing one of that name; returns
 * it, borrowed.
 */
target_t *bundle_add_target(bundle_t *bundle, target_kind_t kind, const char *name)
{
	target_t *target = g_new0(target_t, 1);

	target->kind = kind;
	target->name = g_strdup(name);
	target->priority = PRIORITY_NORMAL;
	target->repeatable = true;
	target->timeout = 60 * PD_SEC;
	g_hash_table_replace(bundle->targets, target->name, target);
	return target;
}

/*
 * Adds a client account with default limits that may call no target, replacing
 * one with that key; returns it, borrowed.
 */
account_t *bundle_add_account(bundle_t *bundle, const char *name,
			      const char *key_hash)
{
	account_t *account = g_new0(account_t, 1);

	account->name = g_strdup(name);
	account->key_hash = g_strdup(key_hash);
	account->requests_per_second = 100;
	account->burst = 200;
	account->allowed = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_replace(bundle->accounts, account->key_hash, account);
	return account;
}

/* Returns the model or service with that name, borrowed, or NULL. */
const target_t *bundle_target(const bundle_t *bundle, const char *name)
{
	return g_hash_table_lookup(bundle->targets, name);
}

/* Returns the account whose key has that hash, borrowed, or NULL. */
const account_t *bundle_account(const bundle_t *bundle, const char *key_hash)
{
	return g_hash_table_lookup(bundle->accounts, key_hash);
}

/* Returns whether the account may call the model or service with that name. */
bool account_allows(const account_t *account, const char *target)
{
	for (guint i = 0; i < account->allowed->len; i++) {
		if (!strcmp(g_ptr_array_index(account->allowed, i), target))
			return true;
	}
	return false;
}

/* Returns the name of a priority as used in bundles. */
const char *priority_name(priority_t priority)
{
	g_assert(priority >= PRIORITY_URGENT && priority < PRIORITIES);
	return priority_names[priority];
}

/* Parses the name of a priority. Returns 0, or -1 if the name is unknown. */
int priority_parse(const char *name, priority_t *priority)
{
	for (int i = 0; i < PRIORITIES; i++) {
		if (!strcmp(name, priority_names[i])) {
			*priority = (priority_t)i;
			return 0;
		}
	}
	return -1;
}
