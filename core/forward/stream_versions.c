/* Remembers which version began each stream, and which versions have served. */
#include "core/forward/stream_versions.h"

#include "core/forward/upstreams.h"
#include "core/hash.h"

/* Streams of one generation; beyond that, older ones are forgotten sooner. */
#define GENERATION_MAX 131072
/* Records that are not sent yet; further ones are found by asking only. */
#define UNSENT_MAX 8192

/* A version of a service, and when an upstream of it was last registered. */
typedef struct served_version {
	uint64_t version_id;
	pd_time_t at;
} served_version_t;

typedef struct service_versions {
	GArray *served; /* of served_version_t */
	bool restored; /* what served before known_since is in it */
} service_versions_t;

struct stream_versions {
	/* attempt -> version id, as pointers; entries move to the next table when used */
	GHashTable *current;
	GHashTable *previous;
	pd_time_t rotated_at;
	pd_time_t ttl; /* a stream may be resumed for so long after its first event */
	pd_time_t next_ttl; /* from next_ttl_at on, if that is not 0 */
	pd_time_t next_ttl_at;
	GArray *unsent; /* of stream_record_t */
	bool urgent; /* one of these is of a service with several versions */
	GHashTable *services; /* name -> service_versions_t */
	bool first; /* no stream began before what is known */
	pd_time_t known_since; /* all versions that registered since then are known */
};

/* Frees a service_versions_t. */
static void service_versions_free(void *data)
{
	service_versions_t *service = data;

	g_array_unref(service->served);
	g_free(service);
}

/* Returns an empty table; the caller owns it. Streams may be resumed within TTL. */
stream_versions_t *stream_versions_create(pd_time_t ttl, pd_time_t now)
{
	stream_versions_t *streams = g_new0(stream_versions_t, 1);

	streams->current = g_hash_table_new(g_direct_hash, g_direct_equal);
	streams->previous = g_hash_table_new(g_direct_hash, g_direct_equal);
	streams->rotated_at = now;
	streams->ttl = ttl;
	streams->unsent = g_array_new(FALSE, FALSE, sizeof(stream_record_t));
	streams->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, service_versions_free);
	streams->known_since = now;
	return streams;
}

/* Frees the table; NULL is allowed. */
void stream_versions_destroy(stream_versions_t *streams)
{
	if (!streams)
		return;
	g_hash_table_unref(streams->current);
	g_hash_table_unref(streams->previous);
	g_array_unref(streams->unsent);
	g_hash_table_unref(streams->services);
	g_free(streams);
}

/*
 * Sets how long after its first event a stream may be resumed. A shorter time holds for
 * streams that begin from now on, so it is used once those before it are over.
 */
void stream_versions_set_ttl(stream_versions_t *streams, pd_time_t ttl,
			     pd_time_t now)
{
	if (ttl >= streams->ttl) {
		streams->ttl = ttl;
		streams->next_ttl_at = 0;
	} else if (!streams->next_ttl_at || ttl != streams->next_ttl) {
		streams->next_ttl = ttl;
		streams->next_ttl_at = now + streams->ttl;
	}
}

/* Uses a shorter time that was set once longer streams are over. */
static void shorten_ttl(stream_versions_t *streams, pd_time_t now)
{
	if (!streams->next_ttl_at || now < streams->next_ttl_at)
		return;
	streams->ttl = streams->next_ttl;
	streams->next_ttl_at = 0;
}

/* Returns the hash by which the attempt with an id is known; never 0. */
uint64_t stream_versions_hash(const char *attempt_id)
{
	return MAX(hash_string(attempt_id), 1);
}

/* Forgets the streams that were recorded before the last rotation. */
static void rotate(stream_versions_t *streams, pd_time_t now)
{
	GHashTable *oldest = streams->previous;

	streams->previous = streams->current;
	streams->current = oldest;
	g_hash_table_remove_all(oldest);
	streams->rotated_at = now;
}

/* Sets the version of a stream. */
static void set_version(stream_versions_t *streams, uint64_t attempt,
			uint64_t version_id, pd_time_t now)
{
	if (now - streams->rotated_at >= streams->ttl ||
	    g_hash_table_size(streams->current) >= GENERATION_MAX)
		rotate(streams, now);
	g_hash_table_insert(streams->current, GSIZE_TO_POINTER(attempt),
			    GSIZE_TO_POINTER(version_id));
}

/* Records that a version began a stream here, or goes on with it. */
void stream_versions_record(stream_versions_t *streams, uint64_t attempt,
			    uint64_t version_id, pd_time_t now)
{
	const stream_record_t record = { attempt, version_id };

	set_version(streams, attempt, version_id, now);
	if (streams->unsent->len >= UNSENT_MAX)
		return;
	g_array_append_val(streams->unsent, record);
	if (!streams->urgent)
		streams->urgent =
			stream_versions_is_ambiguous(streams, version_id, now);
}

/*
 * Returns the version of a stream for which one was known here, 0 for none, and another
 * gateway recorded one. Two that differ were recorded as an upstream's process was
 * started again unnoticed; the stream goes on at none of them.
 */
static uint64_t merged_version(uint64_t known, uint64_t recorded)
{
	if (!known || known == FORWARD_VERSION_UNKNOWN)
		return recorded;
	return known == recorded ? known : STREAM_VERSION_DISPUTED;
}

/* Records what another gateway knows. */
void stream_versions_merge(stream_versions_t *streams,
			   const stream_record_t *record, pd_time_t now)
{
	uint64_t known = stream_versions_find(streams, record->attempt);
	uint64_t merged;

	if (!record->attempt || !record->version_id)
		return;
	merged = merged_version(known, record->version_id);
	if (merged != known)
		set_version(streams, record->attempt, merged, now);
}

/* Returns the version that began a stream; 0: unknown. */
uint64_t stream_versions_find(const stream_versions_t *streams, uint64_t attempt)
{
	gpointer key = GSIZE_TO_POINTER(attempt);
	gpointer version_id = g_hash_table_lookup(streams->current, key);

	if (!version_id)
		version_id = g_hash_table_lookup(streams->previous, key);
	return GPOINTER_TO_SIZE(version_id);
}

/* Returns whether other gateways may lack the record of a stream. */
bool stream_versions_is_unsent(const stream_versions_t *streams, uint64_t attempt)
{
	for (guint i = streams->unsent->len; i-- > 0;) {
		if (g_array_index(streams->unsent, stream_record_t, i).attempt ==
		    attempt)
			return true;
	}
	return false;
}

/* Sets up to MOST records to those not sent yet, and returns their number. */
unsigned int stream_versions_take_unsent(stream_versions_t *streams,
					 stream_record_t *records,
					 unsigned int most)
{
	unsigned int count = MIN(streams->unsent->len, most);

	for (unsigned int i = 0; i < count; i++)
		records[i] = g_array_index(streams->unsent, stream_record_t, i);
	if (count)
		g_array_remove_range(streams->unsent, 0, count);
	streams->urgent = streams->urgent && streams->unsent->len;
	return count;
}

/* Returns whether a stream was not sent yet whose version only its record tells. */
bool stream_versions_has_urgent(const stream_versions_t *streams)
{
	return streams->urgent;
}

/* Returns the versions of a service, borrowed; adds one that is missing. */
static service_versions_t *get_service(stream_versions_t *streams, const char *name)
{
	service_versions_t *service = g_hash_table_lookup(streams->services, name);

	if (service)
		return service;
	service = g_new0(service_versions_t, 1);
	service->served = g_array_new(FALSE, FALSE, sizeof(served_version_t));
	g_hash_table_insert(streams->services, g_strdup(name), service);
	return service;
}

/* Records that an upstream of a service runs a version, and forgets old ones. */
void stream_versions_record_serving(stream_versions_t *streams, const char *name,
				    uint64_t version_id, pd_time_t now)
{
	GArray *served = get_service(streams, name)->served;
	const served_version_t added = { version_id, now };
	bool known = false;

	shorten_ttl(streams, now);
	for (guint i = served->len; i-- > 0;) {
		served_version_t *version =
			&g_array_index(served, served_version_t, i);

		if (version->version_id == version_id) {
			version->at = now;
			known = true;
		} else if (now - version->at > streams->ttl) {
			g_array_remove_index_fast(served, i);
		}
	}
	if (!known)
		g_array_append_val(served, added);
}

/*
 * Records that registrations are known from NOW on, as the store was listed for the first
 * time.
 */
void stream_versions_begin_history(stream_versions_t *streams, pd_time_t now)
{
	streams->known_since = now;
}

/*
 * Records that no gateway had begun a stream before the registrations that are known, until
 * versions may have registered unseen.
 */
void stream_versions_record_first(stream_versions_t *streams)
{
	streams->first = true;
}

/* Records that versions may have registered and left unseen until NOW. */
void stream_versions_lose_history(stream_versions_t *streams, pd_time_t now)
{
	GHashTableIter iter;
	gpointer service;

	streams->known_since = now;
	streams->first = false;
	g_hash_table_iter_init(&iter, streams->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		((service_versions_t *)service)->restored = false;
}

/*
 * Records that only one version of a service served before this gateway started, as
 * the previous gateways knew.
 */
void stream_versions_restore_sole(stream_versions_t *streams, const char *service,
				  uint64_t version_id, pd_time_t now)
{
	stream_versions_record_serving(streams, service, version_id, now);
	get_service(streams, service)->restored = true;
}

/* Returns the only version of a service of which streams can be; 0: not known. */
static uint64_t sole_version(const stream_versions_t *streams,
			     const service_versions_t *service, pd_time_t now)
{
	uint64_t sole = 0;

	if (!service->restored && !streams->first &&
	    now - streams->known_since < streams->ttl)
		return 0;
	for (guint i = 0; i < service->served->len; i++) {
		const served_version_t *version =
			&g_array_index(service->served, served_version_t, i);

		if (now - version->at > streams->ttl)
			continue;
		if (sole)
			return 0;
		sole = version->version_id;
	}
	return sole;
}

/*
 * Returns the version of all streams of a service that may still be resumed, whether or
 * not they are known; 0: there may be several. It says nothing of streams that began after
 * the latest registrations were read.
 */
uint64_t stream_versions_sole(const stream_versions_t *streams,
			      const char *service, pd_time_t now)
{
	const service_versions_t *versions =
		g_hash_table_lookup(streams->services, service);

	return versions ? sole_version(streams, versions, now) : 0;
}

/* Returns whether a version is among those that served of a service. */
static bool has_served(const service_versions_t *service, uint64_t version_id)
{
	for (guint i = 0; i < service->served->len; i++) {
		if (g_array_index(service->served, served_version_t, i).version_id ==
		    version_id)
			return true;
	}
	return false;
}

/*
 * Returns whether an unknown stream of the service of VERSION_ID may have begun at another
 * version. A version that served nowhere is taken for ambiguous.
 */
bool stream_versions_is_ambiguous(const stream_versions_t *streams,
				  uint64_t version_id, pd_time_t now)
{
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, streams->services);
	while (g_hash_table_iter_next(&iter, NULL, &service)) {
		if (has_served(service, version_id))
			return !sole_version(streams, service, now);
	}
	return true;
}

/* Calls EACH with CTX for each service with such a version. */
void stream_versions_each_sole(const stream_versions_t *streams, pd_time_t now,
			       stream_versions_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer name;
	gpointer service;

	g_hash_table_iter_init(&iter, streams->services);
	while (g_hash_table_iter_next(&iter, &name, &service)) {
		uint64_t sole = sole_version(streams, service, now);

		if (sole)
			each(ctx, name, sole);
	}
}
