/* The table of engines and the prefixes they are thought to hold. */
#include "core/prefix_cache.h"

#include "core/prefix.h"

#define PREFIXES_PER_ENGINE_MAX 64 /* prefixes remembered of one engine */
/*
 * News that an engine dropped a prefix can be lost. Then its prompts would be
 * sent there for nothing, seen only as slower first tokens; so belief that
 * neither news nor an attempt has renewed ends after this long.
 */
#define CACHED_PREFIX_TTL (30 * PD_SEC)

typedef struct cached_prefix {
	uint64_t prefix;
	pd_time_t expires_at;
} cached_prefix_t;

struct prefix_cache {
	GHashTable *engines; /* vm id -> GArray of cached_prefix_t, owned */
};

static void destroy_prefixes(void *data)
{
	g_array_unref(data);
}

/* Returns an empty table; the caller owns it. */
prefix_cache_t *prefix_cache_create(void)
{
	prefix_cache_t *cache = g_new0(prefix_cache_t, 1);

	cache->engines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       destroy_prefixes);
	return cache;
}

/* Frees the table; NULL is allowed. */
void prefix_cache_destroy(prefix_cache_t *cache)
{
	if (!cache)
		return;
	g_hash_table_unref(cache->engines);
	g_free(cache);
}

/*
 * Returns the name of the prompt's first PREFIX_BYTES, as engines use it in
 * their news; 0 if the prompt is shorter.
 */
uint64_t prefix_cache_hash_prompt(GBytes *prompt)
{
	uint64_t hashes[PREFIX_BYTES / PREFIX_BLOCK_BYTES];
	gsize len;
	const char *data = g_bytes_get_data(prompt, &len);

	if (len < PREFIX_BYTES)
		return 0;
	prefix_hashes(data, PREFIX_BYTES, hashes, G_N_ELEMENTS(hashes));
	return hashes[G_N_ELEMENTS(hashes) - 1];
}

static cached_prefix_t *find_prefix(GArray *list, uint64_t prefix)
{
	for (guint i = 0; list && i < list->len; i++) {
		cached_prefix_t *cached = &g_array_index(list, cached_prefix_t, i);

		if (cached->prefix == prefix)
			return cached;
	}
	return NULL;
}

/* Makes room by dropping the belief that ends first. */
static void evict_first_to_expire(GArray *list)
{
	guint first = 0;

	for (guint i = 1; i < list->len; i++) {
		if (g_array_index(list, cached_prefix_t, i).expires_at <
		    g_array_index(list, cached_prefix_t, first).expires_at)
			first = i;
	}
	g_array_remove_index_fast(list, first);
}

/* Notes that an attempt with that prefix goes there: it will be held. */
void prefix_cache_record_send(prefix_cache_t *cache, const char *vm_id,
			      uint64_t prefix, pd_time_t now)
{
	GArray *list = g_hash_table_lookup(cache->engines, vm_id);
	cached_prefix_t *cached = find_prefix(list, prefix);
	cached_prefix_t added = { prefix, now + CACHED_PREFIX_TTL };

	if (!prefix)
		return;
	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(cached_prefix_t));
		g_hash_table_insert(cache->engines, g_strdup(vm_id), list);
	}
	if (cached) {
		cached->expires_at = added.expires_at;
		return;
	}
	if (list->len >= PREFIXES_PER_ENGINE_MAX)
		evict_first_to_expire(list);
	g_array_append_val(list, added);
}

static void remove_prefix(prefix_cache_t *cache, const char *vm_id, uint64_t prefix)
{
	GArray *list = g_hash_table_lookup(cache->engines, vm_id);
	cached_prefix_t *cached = find_prefix(list, prefix);

	if (cached)
		g_array_remove_index_fast(
			list,
			(guint)(cached - (cached_prefix_t *)(void *)list->data));
}

/* Says whether nothing more can be noted of an engine without dropping some. */
static bool is_full(const prefix_cache_t *cache, const char *vm_id)
{
	const GArray *list = g_hash_table_lookup(cache->engines, vm_id);

	return list && list->len >= PREFIXES_PER_ENGINE_MAX;
}

/*
 * Takes an engine's news in the order in which it happened. An engine tells of
 * every block it caches, far more than this entry will ask for; news that finds
 * no room is left out, or it would push out what this entry sent there itself.
 */
void prefix_cache_apply_events(prefix_cache_t *cache, const char *vm_id,
			       const cache_event_t *events, size_t count,
			       pd_time_t now)
{
	for (size_t i = 0; i < count; i++) {
		if (events[i].held && !is_full(cache, vm_id))
			prefix_cache_record_send(cache, vm_id, events[i].prefix,
						 now);
		else if (!events[i].held)
			remove_prefix(cache, vm_id, events[i].prefix);
	}
}

/* Says whether an engine probably holds the prefix; 0 is held nowhere. */
bool prefix_cache_contains(const prefix_cache_t *cache, const char *vm_id,
			   uint64_t prefix, pd_time_t now)
{
	const cached_prefix_t *cached =
		find_prefix(g_hash_table_lookup(cache->engines, vm_id), prefix);

	return prefix && cached && cached->expires_at > now;
}
