/* The table of upstreams, indexed by id, short id and service. */
#include "core/forward/upstreams.h"

#include <string.h>

#include "core/hash.h"

/*
 * While the store is unreachable, registrations expire although their upstreams
 * run; those are registered again within about 2 s of its recovery. If they
 * counted as gone at once, the whole fleet would vanish at the end of each
 * outage.
 */
#define REREGISTRATION_GRACE (2300 * PD_MSEC)
/*
 * How long a gone upstream is remembered, so that older updates about it are
 * recognized.
 */
#define TOMBSTONE_TTL (60 * PD_SEC)

/* A sturdy response counts for so long after which others of its service are brittle. */
#define BRITTLENESS_LAG (2 * PD_SEC)

struct forward_upstreams {
	list_node_t list; /* of forward_upstream_t, the gone ones included */
	GHashTable *by_id; /* id -> forward_upstream_t; the ids are borrowed */
	GHashTable *by_short_id;
	GHashTable *groups; /* service -> GPtrArray of its serving upstreams */
	GHashTable *brittle; /* service -> forward_brittleness_t of its last such answer */
	engine_speeds_t *speeds;
	GHashTable *restored_speeds; /* short id -> level, of upstreams not seen yet */
	uint64_t digests[FORWARD_DIGEST_BUCKETS];
	pd_time_t grace_until;
	/* next call of forward_upstreams_expire() that has work; 0: none */
	pd_time_t next_expiry_at;
};

/* Returns the key of a short id in by_short_id. */
static gpointer short_id_key(uint32_t short_id)
{
	return GUINT_TO_POINTER(short_id);
}

/* Returns an empty table; the caller owns it. */
forward_upstreams_t *forward_upstreams_create(void)
{
	forward_upstreams_t *set = g_new0(forward_upstreams_t, 1);

	list_init(&set->list);
	set->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	set->by_short_id = g_hash_table_new(g_direct_hash, g_direct_equal);
	set->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)g_ptr_array_unref);
	set->brittle =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	set->speeds = engine_speeds_create();
	set->restored_speeds = g_hash_table_new(NULL, NULL);
	return set;
}

/* Takes a reference. Returns UPSTREAM. */
forward_upstream_t *forward_upstream_ref(forward_upstream_t *upstream)
{
	upstream->refs++;
	return upstream;
}

/* Drops a reference; the last one frees the upstream. */
void forward_upstream_unref(forward_upstream_t *upstream)
{
	if (--upstream->refs)
		return;
	g_hash_table_unref(upstream->cached_parts);
	g_free(upstream->id);
	g_free(upstream->service);
	g_free(upstream->address);
	g_free(upstream->zone);
	g_free(upstream->version);
	g_free(upstream);
}

/* Removes an upstream from its group, if it is in one. */
static void leave_group(forward_upstream_t *upstream)
{
	GPtrArray *group = upstream->group;
	forward_upstream_t *last;

	if (!group)
		return;
	last = g_ptr_array_index(group, group->len - 1);
	last->group_index = upstream->group_index;
	g_ptr_array_remove_index_fast(group, upstream->group_index);
	upstream->group = NULL;
}

/* Adds an upstream, which must be in no group, to the group of its service. */
static void join_group(forward_upstreams_t *set, forward_upstream_t *upstream)
{
	GPtrArray *group = g_hash_table_lookup(set->groups, upstream->service);

	if (!group) {
		group = g_ptr_array_new();
		g_hash_table_insert(set->groups, g_strdup(upstream->service),
				    group);
	}
	upstream->group = group;
	upstream->group_index = group->len;
	g_ptr_array_add(group, upstream);
}

/* Returns the digest bucket that an upstream belongs to. */
unsigned int forward_upstream_bucket(const forward_upstream_t *upstream)
{
	return (unsigned int)(upstream->id_hash % FORWARD_DIGEST_BUCKETS);
}

/*
 * Updates the group and the digest of an upstream that changed. Gone ones are
 * left out of the digests, as gateways forget them at different times.
 */
static void update_indexes(forward_upstreams_t *set, forward_upstream_t *upstream)
{
	uint64_t digest = upstream->stage == FORWARD_GONE
				  ? 0
				  : hash_number(upstream->id_hash ^
						hash_number(upstream->revision));

	set->digests[forward_upstream_bucket(upstream)] += digest - upstream->digest;
	upstream->digest = digest;
	leave_group(upstream);
	if (forward_upstream_is_serving(upstream))
		join_group(set, upstream);
}

/* Removes an upstream from the table and drops the table's reference. */
static void set_delete(forward_upstreams_t *set, forward_upstream_t *upstream)
{
	uint32_t short_id = forward_upstream_short_id(upstream);

	upstream->stage = FORWARD_GONE;
	update_indexes(set, upstream);
	g_hash_table_remove(set->by_id, upstream->id);
	if (forward_upstreams_find_by_short_id(set, short_id) == upstream)
		g_hash_table_remove(set->by_short_id, short_id_key(short_id));
	list_remove(&upstream->node);
	forward_upstream_unref(upstream);
}

/* Frees the table; NULL is allowed. Upstreams with other references live on. */
void forward_upstreams_destroy(forward_upstreams_t *set)
{
	if (!set)
		return;
	LIST_FOR_EACH_SAFE (it, &set->list)
		set_delete(set, LIST_ENTRY(it, forward_upstream_t, node));
	g_hash_table_unref(set->by_id);
	g_hash_table_unref(set->by_short_id);
	g_hash_table_unref(set->groups);
	g_hash_table_unref(set->brittle);
	engine_speeds_destroy(set->speeds);
	g_hash_table_unref(set->restored_speeds);
	g_free(set);
}

/* Returns the head of the list of all upstreams, the gone ones included. */
list_node_t *forward_upstreams_list(forward_upstreams_t *set)
{
	return &set->list;
}

/* Returns the measured speeds of engines, borrowed. */
engine_speeds_t *forward_upstreams_speeds(const forward_upstreams_t *set)
{
	return set->speeds;
}

/*
 * Returns the upstreams of a service that accept new requests, borrowed; NULL
 * if there has been none.
 */
const GPtrArray *forward_upstreams_serving(const forward_upstreams_t *set,
					   const char *service)
{
	return g_hash_table_lookup(set->groups, service);
}

/*
 * Sets the level of an upstream's speed as it was before all gateways were killed, now or
 * when the upstream is first seen. Samples correct it.
 */
void forward_upstreams_restore_speed(forward_upstreams_t *set,
				     uint32_t short_id, int level)
{
	forward_upstream_t *upstream =
		forward_upstreams_find_by_short_id(set, short_id);

	if (upstream)
		upstream_speed_set_level(&upstream->speed, level);
	else
		g_hash_table_insert(set->restored_speeds, short_id_key(short_id),
				    GINT_TO_POINTER(level));
}

/* Updates the speeds of a service's upstreams. Returns whether a level changed. */
static bool update_group_speeds(const GPtrArray *group)
{
	double log_sum = 0;
	unsigned int known = 0;
	bool changed = false;

	for (guint i = 0; i < group->len; i++) {
		const forward_upstream_t *upstream = g_ptr_array_index(group, i);

		if (!upstream_speed_is_known(&upstream->speed))
			continue;
		known++;
		log_sum += upstream->speed.log_time;
	}
	if (known < 2)
		return false;
	for (guint i = 0; i < group->len; i++) {
		forward_upstream_t *upstream = g_ptr_array_index(group, i);

		changed |= upstream_speed_update_level(&upstream->speed,
						       log_sum / known);
	}
	return changed;
}

/*
 * Updates the relative speeds of all upstreams by the samples of all gateways, which this
 * one must have. Returns whether a level changed.
 */
bool forward_upstreams_update_speeds(forward_upstreams_t *set)
{
	GHashTableIter iter;
	gpointer group;
	bool changed = false;

	g_hash_table_iter_init(&iter, set->groups);
	while (g_hash_table_iter_next(&iter, NULL, &group))
		changed |= update_group_speeds(group);
	return changed;
}

/* Returns whether an upstream of a service that runs another version accepts requests. */
bool forward_upstreams_has_other_version(const forward_upstreams_t *set,
					 const char *service, uint64_t version_id)
{
	const GPtrArray *serving = forward_upstreams_serving(set, service);

	for (guint i = 0; serving && i < serving->len; i++) {
		const forward_upstream_t *upstream = g_ptr_array_index(serving, i);

		if (upstream->version_id != version_id)
			return true;
	}
	return false;
}

/* Returns whether an upstream of a service that runs a version accepts new requests. */
bool forward_upstreams_has_version(const forward_upstreams_t *set,
				   const char *service, uint64_t version_id)
{
	const GPtrArray *serving = forward_upstreams_serving(set, service);

	for (guint i = 0; serving && i < serving->len; i++) {
		const forward_upstream_t *upstream = g_ptr_array_index(serving, i);

		if (upstream->version_id == version_id)
			return true;
	}
	return false;
}

/*
 * Returns the part of the slots of a service's upstreams that is in use; 0: there are none.
 * Upstreams that rest have no slots for this gateway; if all do, all slots are in use.
 */
double forward_upstreams_utilization(const forward_upstreams_t *set,
				     const char *service, pd_time_t now)
{
	const GPtrArray *serving = forward_upstreams_serving(set, service);
	double running = 0;
	double slots = 0;

	for (guint i = 0; serving && i < serving->len; i++) {
		const forward_upstream_t *upstream = g_ptr_array_index(serving, i);

		if (forward_upstream_is_resting(upstream, now))
			continue;
		running += forward_upstream_running(upstream);
		slots += upstream->slots;
	}
	if (slots > 0)
		return running / slots;
	return forward_upstreams_count_resting(set, service, now) > 0;
}

/*
 * Returns when the first of the serving upstreams of a service is back if all of them rest;
 * 0: one does not, or there are none.
 */
pd_time_t forward_upstreams_rest_until(const forward_upstreams_t *set,
				       const char *service, pd_time_t now)
{
	const GPtrArray *serving = forward_upstreams_serving(set, service);
	pd_time_t first = 0;

	for (guint i = 0; serving && i < serving->len; i++) {
		const forward_upstream_t *upstream = g_ptr_array_index(serving, i);

		if (!forward_upstream_is_resting(upstream, now))
			return 0;
		first = first ? MIN(first, upstream->rest_until)
			      : upstream->rest_until;
	}
	return first;
}

/* Returns how many of the serving upstreams of a service rest. */
unsigned int forward_upstreams_count_resting(const forward_upstreams_t *set,
					     const char *service, pd_time_t now)
{
	const GPtrArray *serving = forward_upstreams_serving(set, service);
	unsigned int count = 0;

	for (guint i = 0; serving && i < serving->len; i++)
		count += forward_upstream_is_resting(g_ptr_array_index(serving, i),
						     now);
	return count;
}

/*
 * Returns a digest of the ids and revisions of the upstreams in a bucket. Two
 * tables with the same upstreams at the same revisions have the same digests.
 * The highest revision would not do: a gateway that missed one update but received
 * the next has that as well.
 */
uint64_t forward_upstreams_digest(const forward_upstreams_t *set, unsigned int bucket)
{
	return set->digests[bucket];
}

/*
 * Returns the short id of an upstream, for messages that name many of them.
 * Among a thousand upstreams two collide in about one fleet of ten thousand;
 * one of these two is then given the other's load.
 */
uint32_t forward_upstream_short_id(const forward_upstream_t *upstream)
{
	return (uint32_t)upstream->id_hash;
}

/* Returns an upstream by its short id, borrowed, or NULL. */
forward_upstream_t *forward_upstreams_find_by_short_id(forward_upstreams_t *set,
						       uint32_t short_id)
{
	return g_hash_table_lookup(set->by_short_id, short_id_key(short_id));
}

/* Returns an upstream by its id, borrowed, or NULL. */
forward_upstream_t *forward_upstreams_find(forward_upstreams_t *set, const char *id)
{
	return g_hash_table_lookup(set->by_id, id);
}

/* Sets the speed that an upstream had before all gateways were killed, if it is known. */
static void restore_speed(forward_upstreams_t *set, forward_upstream_t *upstream)
{
	gpointer key = short_id_key(forward_upstream_short_id(upstream));

	upstream_speed_set_level(
		&upstream->speed,
		GPOINTER_TO_INT(g_hash_table_lookup(set->restored_speeds, key)));
	g_hash_table_remove(set->restored_speeds, key);
}

/*
 * Adds an upstream about which nothing but the id is known. Returns it,
 * borrowed.
 */
static forward_upstream_t *set_add(forward_upstreams_t *set, const char *id)
{
	forward_upstream_t *upstream = g_new0(forward_upstream_t, 1);

	upstream->refs = 1;
	upstream->id = g_strdup(id);
	upstream->id_hash = hash_number(hash_string(id));
	upstream->service = g_strdup("");
	upstream->address = g_strdup("");
	upstream->zone = g_strdup("");
	upstream->version = g_strdup("");
	list_init(&upstream->idle_links);
	upstream->cached_parts =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	list_append(&set->list, &upstream->node);
	g_hash_table_insert(set->by_id, upstream->id, upstream);
	g_hash_table_insert(set->by_short_id,
			    short_id_key(forward_upstream_short_id(upstream)),
			    upstream);
	restore_speed(set, upstream);
	return upstream;
}

/* Replaces an owned string by a copy of WITH, if they differ. */
static void replace_string(char **text, const char *with)
{
	if (!strcmp(*text, with))
		return;
	g_free(*text);
	*text = g_strdup(with);
}

/*
 * Sets the start time of an upstream; 0 is ignored. A time that differs from
 * the previous one means that it restarted.
 */
static void update_start_time(forward_upstream_t *upstream,
			      const forward_registration_t *registration)
{
	int64_t start_time_ms = registration->start_time_ms;

	if (!start_time_ms)
		return;
	if (upstream->start_time_ms && upstream->start_time_ms != start_time_ms) {
		forward_upstream_record_restart(upstream);
		upstream_process_record_restart(&upstream->process,
						registration->read_at);
	}
	upstream->start_time_ms = start_time_ms;
}

/* Ids below are of no version. */
#define VERSION_IDS_MIN 16

/*
 * Returns the id of a service's software version, never 0 or FORWARD_VERSION_UNKNOWN.
 * VERSION may be empty.
 */
uint64_t forward_version_id(const char *service, const char *version)
{
	return MAX(hash_pair(service, version), VERSION_IDS_MIN);
}

/* Sets the software version of an upstream of a known service; NULL: unknown. */
static void set_version(forward_upstream_t *upstream, const char *version)
{
	replace_string(&upstream->version, version ? version : "");
	upstream->version_id =
		forward_version_id(upstream->service, upstream->version);
}

/*
 * Applies a registration from the platform or a peer, unless a newer revision
 * is known. Returns whether it changed anything.
 */
bool forward_upstreams_apply(forward_upstreams_t *set,
			     const forward_registration_t *registration)
{
	forward_upstream_t *upstream =
		forward_upstreams_find(set, registration->id);

	if (!upstream)
		upstream = set_add(set, registration->id);
	upstream->listed = true;
	if (registration->revision == upstream->revision && !*upstream->version)
		set_version(upstream, registration->version);
	if (registration->revision <= upstream->revision)
		return false;
	update_start_time(upstream, registration);
	leave_group(upstream); /* the service may change */
	/*
	 * A new revision shows that it was registered again after it had
	 * expired. The same revision, repeated by a peer, does not: when it
	 * counted, upstreams that had left were used for seconds.
	 */
	upstream->gone_at = 0;
	replace_string(&upstream->service, registration->service);
	replace_string(&upstream->address, registration->address);
	replace_string(&upstream->zone, registration->zone);
	set_version(upstream, registration->version);
	upstream->port = registration->port;
	upstream->slots = registration->slots;
	upstream->stage = registration->stage;
	upstream->reclaimable = registration->reclaimable;
	upstream->revision = registration->revision;
	update_indexes(set, upstream);
	return true;
}

/*
 * Marks an upstream as gone, as its registration was removed at a revision.
 * Returns whether it is gone now and was not before. A registration that may
 * have expired in an outage of the store may be renewed until the end of the
 * grace period.
 */
bool forward_upstreams_remove(forward_upstreams_t *set, const char *id,
			      uint64_t revision, pd_time_t now)
{
	forward_upstream_t *upstream = forward_upstreams_find(set, id);
	bool may_have_expired = now < set->grace_until;

	if (!upstream)
		upstream = set_add(set, id);
	if (revision < upstream->revision || upstream->stage == FORWARD_GONE)
		return false;
	if (upstream->gone_at)
		return false;
	upstream->gone_at = now;
	set->next_expiry_at = now;
	if (may_have_expired && upstream->stage == FORWARD_SERVING &&
	    upstream->revision) {
		upstream->gone_at = set->grace_until;
		return false; /* forward_upstreams_expire() reports it */
	}
	upstream->stage = FORWARD_GONE;
	upstream->revision = revision;
	update_indexes(set, upstream);
	return true;
}

/*
 * Applies a change of stage from a peer to an upstream that is known, as of a
 * revision. Returns whether it changed anything.
 */
bool forward_upstreams_update_stage(forward_upstreams_t *set,
				    forward_upstream_t *upstream,
				    const forward_stage_update_t *change,
				    pd_time_t now)
{
	const forward_registration_t registration = {
		.id = upstream->id,
		.start_time_ms = change->start_time_ms,
		.service = upstream->service,
		.address = upstream->address,
		.port = upstream->port,
		.zone = upstream->zone,
		.version = upstream->version,
		.slots = upstream->slots,
		.stage = change->stage,
		.reclaimable = upstream->reclaimable,
		.revision = change->revision,
		.read_at = now,
	};

	if (change->stage == FORWARD_GONE)
		return forward_upstreams_remove(set, upstream->id,
						change->revision, now);
	return forward_upstreams_apply(set, &registration);
}

/* Begins to read a full listing of the platform. */
void forward_upstreams_begin_listing(forward_upstreams_t *set)
{
	LIST_FOR_EACH (it, &set->list)
		LIST_ENTRY(it, forward_upstream_t, node)->listed = false;
}

/*
 * Ends a full listing: upstreams that were not in it are gone, as of its
 * revision.
 */
void forward_upstreams_end_listing(forward_upstreams_t *set, uint64_t revision,
				   pd_time_t now)
{
	LIST_FOR_EACH (it, &set->list) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!upstream->listed && upstream->revision <= revision)
			forward_upstreams_remove(set, upstream->id, revision, now);
	}
}

/*
 * Starts the grace period for registrations that may have expired in an outage
 * of the store that ended at AT.
 */
void forward_upstreams_store_recovered(forward_upstreams_t *set, pd_time_t at)
{
	set->grace_until = at + REREGISTRATION_GRACE;
}

/* Has forward_upstreams_expire() do work at WHEN at the latest. */
static void schedule_expiry(forward_upstreams_t *set, pd_time_t when)
{
	if (!set->next_expiry_at || when < set->next_expiry_at)
		set->next_expiry_at = when;
}

/*
 * Marks upstreams as gone whose registration was not renewed within the grace
 * period, calling ON_GONE with CTX and the id of each, and deletes those that
 * have been gone for TOMBSTONE_TTL.
 */
void forward_upstreams_expire(forward_upstreams_t *set, pd_time_t now,
			      void (*on_gone)(void *ctx, const char *id), void *ctx)
{
	if (!set->next_expiry_at || now < set->next_expiry_at)
		return;
	set->next_expiry_at = 0;
	LIST_FOR_EACH_SAFE (it, &set->list) {
		forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (!upstream->gone_at)
			continue;
		if (now >= upstream->gone_at && upstream->stage != FORWARD_GONE) {
			upstream->stage = FORWARD_GONE;
			update_indexes(set, upstream);
			on_gone(ctx, upstream->id);
		}
		if (now - upstream->gone_at > TOMBSTONE_TTL)
			set_delete(set, upstream);
		else
			schedule_expiry(set, now >= upstream->gone_at
						     ? upstream->gone_at +
							       TOMBSTONE_TTL + 1
						     : upstream->gone_at);
	}
}

/* Returns the number of upstreams that accept new requests, of all services. */
unsigned int forward_upstreams_count_serving(const forward_upstreams_t *set)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, &set->list)
		count += forward_upstream_is_serving(
			LIST_ENTRY(it, forward_upstream_t, node));
	return count;
}

/* Returns whether an upstream accepts new requests. */
bool forward_upstream_is_serving(const forward_upstream_t *upstream)
{
	return upstream->stage == FORWARD_SERVING && !upstream->leaving &&
	       upstream->revision;
}

/*
 * Returns the requests of all gateways that run there, as far as they are
 * known.
 */
unsigned int forward_upstream_running(const forward_upstream_t *upstream)
{
	return upstream->running + upstream->peers_running;
}

/*
 * Returns the prompt tokens of all gateways' requests that it has yet to
 * process.
 */
double forward_upstream_prefill_tokens(const forward_upstream_t *upstream)
{
	return upstream->prefill_tokens + upstream->peers_prefill_tokens;
}

/*
 * Records that the process of an upstream leaves, by one of its responses. It accepts no new
 * requests from then on, whatever its registration says. Returns whether that is new.
 */
bool forward_upstreams_record_leaving(forward_upstreams_t *set,
				      forward_upstream_t *upstream)
{
	if (upstream->leaving)
		return false;
	upstream->leaving = true;
	update_indexes(set, upstream);
	return true;
}

/*
 * Records what a response of an upstream said: how many rejections in a second it bears; 0:
 * any number. Returns whether that is new of it.
 */
bool forward_upstreams_record_brittleness(forward_upstreams_t *set,
					  forward_upstream_t *upstream,
					  unsigned int rejections_max,
					  pd_time_t now)
{
	const forward_brittleness_t brittleness = { now, rejections_max };
	bool changed = upstream->brittleness.rejections_max != rejections_max;

	upstream->brittleness = brittleness;
	if (rejections_max)
		forward_upstreams_merge_brittleness(set, upstream->service,
						    &brittleness);
	return changed;
}

/*
 * Records that a response of some upstream of a service named a number of rejections.
 * Returns whether it is newer by more than FORWARD_BRITTLENESS_REPEAT than what was known.
 */
bool forward_upstreams_merge_brittleness(forward_upstreams_t *set,
					 const char *service,
					 const forward_brittleness_t *brittleness)
{
	forward_brittleness_t *known = g_hash_table_lookup(set->brittle, service);
	pd_time_t before = known ? known->at : 0;

	if (known && brittleness->at <= known->at)
		return false;
	if (!known) {
		known = g_new0(forward_brittleness_t, 1);
		g_hash_table_insert(set->brittle, g_strdup(service), known);
	}
	*known = *brittleness;
	return !before || brittleness->at - before > FORWARD_BRITTLENESS_REPEAT;
}

/* Returns what the last brittle response of a service's upstreams said; all 0: none. */
forward_brittleness_t forward_upstreams_brittleness(const forward_upstreams_t *set,
						    const char *service)
{
	const forward_brittleness_t *known =
		g_hash_table_lookup(set->brittle, service);

	return known ? *known : (forward_brittleness_t){ 0 };
}

/*
 * Returns how many rejections in a second an upstream bears; 0: any number. An upstream
 * becomes brittle together with others of its service: what the last brittle one of them
 * said holds for it if its own last response is older.
 */
unsigned int forward_upstreams_rejections_max(const forward_upstreams_t *set,
					      const forward_upstream_t *upstream)
{
	const forward_brittleness_t *own = &upstream->brittleness;
	const forward_brittleness_t *known =
		g_hash_table_lookup(set->brittle, upstream->service);

	if (own->rejections_max || !known ||
	    (own->at && known->at - own->at < BRITTLENESS_LAG))
		return own->rejections_max;
	return known->rejections_max;
}
