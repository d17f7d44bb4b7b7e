/* Registers an entry in the platform's store and discovers its peers there. */
#include <stdlib.h>
#include <string.h>

#include "adapters/entry_runner_parts.h"
#include "adapters/json.h"
#include "adapters/log_glib.h"
#include "adapters/platform_json.h"
#include "core/hash.h"

#define SEEDS_RETRY_MS 1000
#define LISTED_SEEDS_PINGED_MAX 5
#define SEED_SEQUENCE 1 /* requests a reply; the core never uses this number */
/*
 * When a whole fleet starts, heartbeats alone spread the membership slowly: with
 * 48 entries it takes half a minute until all of them know each other. Reading
 * the list once more, when the others have registered, avoids that.
 */
#define SEEDS_SECOND_LIST_MS 10000
/* Long, because the list grows with the fleet and gossip spreads changes. */
#define SEEDS_PERIOD_MS 300000

/* Records whether writing this entry's record succeeded. */
static void on_registered(void *ctx, const platform_answer_t *answer)
{
	entry_runner_t *runner = ctx;

	runner->registered = answer->status == STORE_OK;
}

/* Frees an element of the array of seeds. */
static void seed_clear(void *data)
{
	member_info_clear(data);
}

/* Pings an entry; its reply carries its id and the generation of its bundle. */
static void ping_seed(entry_runner_t *runner, const char *address, uint16_t port)
{
	peer_msg_t *msg = peer_msg_create(PEER_PING);

	msg->sequence = SEED_SEQUENCE;
	msg->generation = entry_generation(runner->entry);
	member_info_copy(&msg->from, &runner->self);
	peer_link_send(runner->peers, address, port, msg);
	peer_msg_destroy(msg);
}

/*
 * Pings the seeds in the settings. While the platform's store is down, only they
 * can introduce a new entry to its peers. Their replies show which bundle is in
 * force, which is then pulled from them.
 */
static void ping_configured_seeds(entry_runner_t *runner)
{
	for (int i = 0; i < SETTINGS_SEEDS_MAX; i++) {
		const char *seed = runner->settings->peers_seeds[i];
		const char *colon = seed ? strrchr(seed, ':') : NULL;
		char *address;

		if (!colon)
			continue;
		address = g_strndup(seed, (gsize)(colon - seed));
		ping_seed(runner, address, (uint16_t)strtoul(colon + 1, NULL, 10));
		g_free(address);
	}
}

/*
 * Pings some of the entries in the platform's list. A new entry serves once one
 * of them has sent its generation. Several are pinged because listed entries may
 * be dead, and the core's own pings reach only one member a second.
 */
static void ping_listed_seeds(entry_runner_t *runner, const GArray *seeds)
{
	guint first = (guint)hash_string(runner->self.id);

	for (guint i = 0; i < MIN(seeds->len, LISTED_SEEDS_PINGED_MAX); i++) {
		guint index = (first % seeds->len + i) % seeds->len;
		const member_info_t *seed =
			&g_array_index(seeds, member_info_t, index);

		if (strcmp(seed->id, runner->self.id))
			ping_seed(runner, seed->address, seed->peer_port);
	}
}

/* Ignores the outcome: a record that was not deleted is listed again. */
static void on_deleted(void *ctx, const platform_answer_t *answer)
{
	(void)ctx;
	(void)answer;
}

/*
 * Deletes the records of entries that are gone. VMs are replaced all day, and
 * without this the list that each entry reads would grow without bound. A live
 * entry whose record was deleted by mistake finds it missing and registers
 * again.
 */
static void delete_stale_records(entry_runner_t *runner, const GArray *seeds)
{
	bool listed = false;

	for (guint i = 0; i < seeds->len; i++) {
		const char *id = g_array_index(seeds, member_info_t, i).id;
		char *key;

		listed |= !strcmp(id, runner->self.id);
		if (!entry_member_is_gone(runner->entry, id))
			continue;
		key = g_strdup_printf("entries/%s", id);
		platform_delete(runner->platform, key, on_deleted, NULL);
		g_free(key);
	}
	if (!listed)
		runner->registered = false;
}

/*
 * Delivers the listed entries to the core, pings some, deletes stale records and
 * schedules the next read.
 */
static void on_seed_list(void *ctx, const platform_answer_t *answer)
{
	entry_runner_t *runner = ctx;
	GArray *seeds = g_array_new(FALSE, TRUE, sizeof(member_info_t));
	event_t event = { .kind = EVENT_PEER_SEEDS };
	uint64_t next;
	pd_error_t err;
	json_t *list = NULL;
	json_t *items;
	json_t *item;
	size_t i;

	g_array_set_clear_func(seeds, seed_clear);
	if (answer->status == STORE_OK)
		list = json_parse(answer->body, answer->len, &err);
	if (!list || json_read_array(list, "objects", &items, &err) < 0)
		goto error;
	json_array_foreach(items, i, item)
	{
		const char *body = json_string_or(item, "body", "");
		member_info_t info = { 0 };

		if (member_info_decode(body, strlen(body), &info, &err) < 0)
			log_error("members", "dropped a record", &err);
		else
			g_array_append_val(seeds, info);
	}
	event.seeds.members = (const member_info_t *)seeds->data;
	event.seeds.count = seeds->len;
	runner_handle(runner, &event);
	ping_listed_seeds(runner, seeds);
	delete_stale_records(runner, seeds);
	next = runner->listed_after_registration ? SEEDS_PERIOD_MS
						 : SEEDS_SECOND_LIST_MS;
	runner->listed_after_registration |= runner->registered;
	uv_timer_set_repeat(&runner->seeds_timer,
			    runner->registered ? next : SEEDS_RETRY_MS);
	uv_timer_again(&runner->seeds_timer);
error:
	json_decref(list);
	g_array_unref(seeds);
	/*
	 * Only now: with a bundle read before any peer is known, this entry would
	 * serve without asking them for a later one.
	 */
	bundle_watch_start(runner->bundles);
}

/*
 * Registers this entry if necessary, pings the configured seeds while it
 * has no peers or is not registered, and reads the list of entries.
 */
static void refresh_seeds(uv_timer_t *timer)
{
	entry_runner_t *runner = timer->data;
	char *body;
	char *key;

	if (!runner->registered) {
		body = member_info_encode(&runner->self);
		key = g_strdup_printf("entries/%s", runner->self.id);
		platform_write(runner->platform, key, PLATFORM_ANY_VERSION,
			       body, strlen(body), on_registered, runner);
		g_free(body);
		g_free(key);
	}
	if (entry_members_alive(runner->entry) < 2 || !runner->registered)
		ping_configured_seeds(runner);
	platform_list(runner->platform, "entries/", on_seed_list, runner);
}

/* Starts peer discovery: at once, then periodically. */
void entry_seeds_start(entry_runner_t *runner)
{
	uv_timer_init(runner->loop, &runner->seeds_timer);
	runner->seeds_timer.data = runner;
	uv_timer_start(&runner->seeds_timer, refresh_seeds, 0, SEEDS_RETRY_MS);
}
