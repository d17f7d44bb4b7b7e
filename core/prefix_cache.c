/* The table of engines and the prefixes that they probably hold. */
#include "core/prefix_cache.h"

#include "core/prefix.h"

#define PREFIXES_PER_ENGINE_MAX 64 /* the rest are evicted or ignored */
/*
 * The event that an engine dropped a prefix can be lost. Its prompts would then
 * be sent there in vain, with slower first tokens as the only sign; so a prefix
 * expires if neither an event nor an attempt has renewed it within this time.
 */
#define CACHED_PREFIX_TTL (30 * PD_SEC)

typedef struct cached_prefix {
	uint64_t prefix;
	pd_time_t expires_at;
} cached_prefix_t;

struct prefix_cache {
	GHashTable *engines; /* vm id -> GArray of cached_prefix_t, owned */
};

/* Frees the prefixes of one engine. */
static void destroy_prefixes(void *data)
{
	g_array_unref(data);
}

/* Returns an empty table. The caller owns it. */
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
 * Returns the hash of the prompt's first PREFIX_BYTES, as engines use it in
 * their cache events; 0 if the prompt is shorter.
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

/* Returns the record of PREFIX in LIST, borrowed, or NULL. LIST may be NULL. */
static cached_prefix_t *find_prefix(GArray *list, uint64_t prefix)
{
	for (guint i = 0; list && i < list->len; i++) {
		cached_prefix_t *cached = &g_array_index(list, cached_prefix_t, i);

		if (cached->prefix == prefix)
			return cached;
	}
	return NULL;
}

/* Removes the prefix that expires first. */
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

/*
 * Records that an attempt with that prefix is sent to the engine, which will
 * cache it.
 */
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

/* Removes a prefix that the engine has dropped. */
static void remove_prefix(prefix_cache_t *cache, const char *vm_id, uint64_t prefix)
{
	GArray *list = g_hash_table_lookup(cache->engines, vm_id);
	cached_prefix_t *cached = find_prefix(list, prefix);

	if (cached)
		g_array_remove_index_fast(
			list,
			(guint)(cached - (cached_prefix_t *)(void *)list->data));
}

/* Returns whether adding a prefix of the engine would evict another. */
static bool engine_is_full(const prefix_cache_t *cache, const char *vm_id)
{
	const GArray *list = g_hash_table_lookup(cache->engines, vm_id);

	return list && list->len >= PREFIXES_PER_ENGINE_MAX;
}

/*
 * Applies an engine's cache events in their order. An engine reports each block
 * that it caches, far more than this entry will look up; events that find the
 * list full are ignored, as they would evict what this entry itself sent there.
 */
void prefix_cache_apply_events(prefix_cache_t *cache, const char *vm_id,
			       const cache_event_t *events, size_t count,
			       pd_time_t now)
{
	for (size_t i = 0; i < count; i++) {
		if (events[i].held && !engine_is_full(cache, vm_id))
			prefix_cache_record_send(cache, vm_id, events[i].prefix,
						 now);
		else if (!events[i].held)
			remove_prefix(cache, vm_id, events[i].prefix);
	}
}

/* Returns whether an engine probably holds the prefix; never true for 0. */
bool prefix_cache_contains(const prefix_cache_t *cache, const char *vm_id,
			   uint64_t prefix, pd_time_t now)
{
	const cached_prefix_t *cached =
		find_prefix(g_hash_table_lookup(cache->engines, vm_id), prefix);

	return prefix && cached && cached->expires_at > now;
}
