/*
 * Counts the upstreams that ended under each request and each part of prompts.
 * quarantine-notes.md argues the bound on them.
 */
#include "core/forward/quarantine.h"

#include "core/hash.h"
#include "core/list.h"

/* Requests that are remembered; the one idle for longest is forgotten first. */
#define ENTRIES_MAX 4096
/* A request that nobody has tried for so long is forgotten. */
#define IDLE_TTL (60 * PD_SEC)
/* However often it is tried, so long after the last end. */
#define END_TTL (600 * PD_SEC)
/* Reports make an end appear later than it was, by the time of their way. */
#define REPORT_DELAY_MAX PD_SEC
/* Slots of the table of what upstreams completed lately; a power of two. */
#define SUCCESSES 8192
/* The bit of a key that is set for a part, and cleared for a request. */
#define PART_BIT ((uint64_t)1)
/* An end is no fault of a request that an upstream completed so shortly before. */
#define SUCCESS_TTL (10 * PD_SEC)

typedef struct end {
	uint32_t upstream; /* short id */
	bool cleared; /* once it is, it stays so */
	pd_time_t at;
} end_t;

typedef struct entry {
	list_node_t node; /* in quarantine->entries */
	uint64_t fingerprint;
	pd_time_t tried_at;
	unsigned int end_count;
	end_t ends[QUARANTINE_ENDS_KEPT];
	/* ends up to then, and REPORT_DELAY_MAX, were forgotten if they are not in ENDS */
	pd_time_t forgotten_until;
	bool was_held; /* so all gateways were sent it */
	bool unsent; /* changed since it was last sent to other gateways */
} entry_t;

typedef struct success {
	uint64_t fingerprint;
	pd_time_t at;
} success_t;

struct quarantine {
	GHashTable *by_fingerprint; /* uint64_t, in the entry -> entry_t */
	list_node_t entries; /* the one idle for longest first */
	success_t successes[SUCCESSES]; /* indexed by the fingerprint, which is a hash */
	unsigned int held;
	uint64_t holds; /* how often a request began to be held */
	bool unsent; /* an entry is to be sent at once */
};

/* Returns the key of a part of prompts; never 0. */
uint64_t quarantine_part_key(uint64_t part_id)
{
	return hash_number(part_id) | PART_BIT;
}

/* Returns whether a key is that of a part, and not of a request. */
bool quarantine_is_part(uint64_t key)
{
	return key & PART_BIT;
}

/*
 * Sets SUSPECTS to a request, whose key is its fingerprint, and the parts of its prompt
 * that others may share.
 */
void quarantine_find_suspects(const forward_call_t *call, uint64_t fingerprint,
			      quarantine_suspects_t *suspects)
{
	suspects->count = 0;
	suspects->keys[suspects->count++] = fingerprint;
	/* The last part is the request's own. */
	for (unsigned int i = 0; i + 1 < call->part_count; i++)
		suspects->keys[suspects->count++] =
			quarantine_part_key(call->parts[i].id);
}

/* Returns an empty quarantine; the caller owns it. */
quarantine_t *quarantine_create(void)
{
	quarantine_t *quarantine = g_new0(quarantine_t, 1);

	quarantine->by_fingerprint = g_hash_table_new(g_int64_hash, g_int64_equal);
	list_init(&quarantine->entries);
	return quarantine;
}

/* Returns the number of upstreams that ended under a request and count. */
static unsigned int entry_open_ends(const entry_t *entry)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < entry->end_count; i++)
		count += !entry->ends[i].cleared;
	return count;
}

/* Returns whether an entry's request or part gets no further upstream. */
static bool entry_is_held(const entry_t *entry)
{
	return entry_open_ends(entry) >= (quarantine_is_part(entry->fingerprint)
						  ? QUARANTINE_PART_ENDS
						  : QUARANTINE_ENDS);
}

/* Forgets a request. */
static void entry_destroy(quarantine_t *quarantine, entry_t *entry)
{
	quarantine->held -= entry_is_held(entry);
	g_hash_table_remove(quarantine->by_fingerprint, &entry->fingerprint);
	list_remove(&entry->node);
	g_free(entry);
}

/* Frees the quarantine; NULL is allowed. */
void quarantine_destroy(quarantine_t *quarantine)
{
	if (!quarantine)
		return;
	LIST_FOR_EACH_SAFE (it, &quarantine->entries)
		entry_destroy(quarantine, LIST_ENTRY(it, entry_t, node));
	g_hash_table_unref(quarantine->by_fingerprint);
	g_free(quarantine);
}

/* Returns the entry of a request, borrowed, or NULL. */
static entry_t *find_entry(const quarantine_t *quarantine, uint64_t fingerprint)
{
	return g_hash_table_lookup(quarantine->by_fingerprint, &fingerprint);
}

/*
 * Forgets the request that has been idle for longest, one that is not held if there is
 * any. There must be a request.
 */
static void evict(quarantine_t *quarantine)
{
	entry_t *evicted = LIST_ENTRY(quarantine->entries.next, entry_t, node);

	LIST_FOR_EACH (it, &quarantine->entries) {
		entry_t *entry = LIST_ENTRY(it, entry_t, node);

		if (entry_is_held(entry))
			continue;
		evicted = entry;
		break;
	}
	entry_destroy(quarantine, evicted);
}

/* Returns the entry of a request, borrowed; adds one that is missing. */
static entry_t *get_entry(quarantine_t *quarantine, uint64_t fingerprint)
{
	entry_t *entry = find_entry(quarantine, fingerprint);

	if (entry)
		return entry;
	if (g_hash_table_size(quarantine->by_fingerprint) >= ENTRIES_MAX)
		evict(quarantine);
	entry = g_new0(entry_t, 1);
	entry->fingerprint = fingerprint;
	g_hash_table_insert(quarantine->by_fingerprint, &entry->fingerprint, entry);
	list_append(&quarantine->entries, &entry->node);
	return entry;
}

/* Records that a request was tried at a time. */
static void entry_touch(quarantine_t *quarantine, entry_t *entry, pd_time_t at)
{
	if (at <= entry->tried_at)
		return;
	entry->tried_at = at;
	list_remove(&entry->node);
	list_append(&quarantine->entries, &entry->node);
}

/* Counts an entry as held or not, after a change of its ends. */
static void update_held(quarantine_t *quarantine, entry_t *entry, bool was_held)
{
	bool held = entry_is_held(entry);

	quarantine->held += held && !was_held;
	quarantine->held -= was_held && !held;
	quarantine->holds += held && !was_held;
	entry->was_held |= held;
}

/* Returns the end of an upstream, borrowed, or NULL. */
static end_t *entry_find_end(entry_t *entry, uint32_t upstream)
{
	for (unsigned int i = 0; i < entry->end_count; i++) {
		if (entry->ends[i].upstream == upstream)
			return &entry->ends[i];
	}
	return NULL;
}

/* Returns the oldest end that was cleared, borrowed, or NULL. */
static end_t *entry_oldest_cleared(entry_t *entry)
{
	end_t *oldest = NULL;

	for (unsigned int i = 0; i < entry->end_count; i++) {
		end_t *end = &entry->ends[i];

		if (end->cleared && (!oldest || end->at < oldest->at))
			oldest = end;
	}
	return oldest;
}

/*
 * Returns a place for an end, or NULL if there is none. One that counts may take that of
 * an older one that was cleared. That is forgotten, so reports of it must not be taken for
 * new, or they would be sent on for ever.
 */
static end_t *entry_add_end(entry_t *entry, bool cleared, pd_time_t at)
{
	end_t *oldest;

	if (entry->forgotten_until && at <= entry->forgotten_until + REPORT_DELAY_MAX)
		return NULL;
	if (entry->end_count < QUARANTINE_ENDS_KEPT)
		return &entry->ends[entry->end_count++];
	oldest = cleared ? NULL : entry_oldest_cleared(entry);
	if (!oldest || at <= oldest->at + REPORT_DELAY_MAX)
		return NULL;
	entry->forgotten_until = MAX(entry->forgotten_until, oldest->at);
	return oldest;
}

/*
 * Records that an upstream ended under a request, or that this was cleared. Each end
 * becomes known and cleared once at most, in any order of reports. Returns whether it
 * changed anything.
 */
static bool entry_set_end(quarantine_t *quarantine, entry_t *entry,
			  uint32_t upstream, bool cleared, pd_time_t at)
{
	bool was_held = entry_is_held(entry);
	end_t *end = entry_find_end(entry, upstream);

	if (end && (end->cleared || !cleared))
		return false;
	if (!end) {
		end = entry_add_end(entry, cleared, at);
		if (!end)
			return false;
		end->upstream = upstream;
		end->at = at;
	}
	end->cleared = cleared;
	update_held(quarantine, entry, was_held);
	return true;
}

/* Clears all ends of a request. Returns whether there was one that counted. */
static bool entry_clear(quarantine_t *quarantine, entry_t *entry)
{
	bool was_held = entry_is_held(entry);
	bool changed = entry_open_ends(entry) > 0;

	for (unsigned int i = 0; i < entry->end_count; i++)
		entry->ends[i].cleared = true;
	update_held(quarantine, entry, was_held);
	return changed;
}

/* Has an entry sent to other gateways. */
static void mark_unsent(quarantine_t *quarantine, entry_t *entry)
{
	entry->unsent = true;
	quarantine->unsent = true;
}

/* Returns the slot in which a request's last success is remembered. */
static success_t *success_slot(quarantine_t *quarantine, uint64_t fingerprint)
{
	return &quarantine->successes[(fingerprint >> 1) % SUCCESSES];
}

/* Returns whether an upstream has completed a request here lately. */
static bool was_completed(quarantine_t *quarantine, uint64_t fingerprint,
			  pd_time_t now)
{
	const success_t *success = success_slot(quarantine, fingerprint);

	return success->fingerprint == fingerprint &&
	       now - success->at < SUCCESS_TTL;
}

/*
 * Records that an upstream ended while it ran a request. One that upstreams complete
 * is no suspect: it may be one of many that ask for the same.
 */
void quarantine_record_end(quarantine_t *quarantine, uint64_t fingerprint,
			   uint32_t upstream, pd_time_t now)
{
	entry_t *entry;

	if (was_completed(quarantine, fingerprint, now))
		return;
	entry = get_entry(quarantine, fingerprint);
	entry_touch(quarantine, entry, now);
	if (entry_set_end(quarantine, entry, upstream, false, now))
		mark_unsent(quarantine, entry);
}

/*
 * Records that an upstream completed a request: those that ended did so for another.
 * Only what all gateways hold is sent at once.
 */
void quarantine_record_success(quarantine_t *quarantine, uint64_t fingerprint,
			       pd_time_t now)
{
	success_t *success = success_slot(quarantine, fingerprint);
	entry_t *entry = find_entry(quarantine, fingerprint);

	success->fingerprint = fingerprint;
	success->at = now;
	if (!entry || !entry_clear(quarantine, entry))
		return;
	entry->unsent = true;
	quarantine->unsent |= entry->was_held;
}

/*
 * Applies what another gateway knows of a request, and clears it if it was completed
 * here. FORWARD: what is new is sent on, as the sender does not reach all gateways.
 */
void quarantine_merge(quarantine_t *quarantine, const quarantine_report_t *report,
		      bool forward, pd_time_t now)
{
	bool changed = false;
	entry_t *entry;

	if (report->idle > IDLE_TTL || !report->end_count)
		return;
	entry = get_entry(quarantine, report->fingerprint);
	entry_touch(quarantine, entry, now - report->idle);
	for (unsigned int i = 0;
	     i < MIN(report->end_count, QUARANTINE_ENDS_KEPT); i++)
		changed |= entry_set_end(quarantine, entry,
					 report->ends[i].upstream,
					 report->ends[i].cleared,
					 now - report->ends[i].age);
	if (was_completed(quarantine, report->fingerprint, now) &&
	    entry_clear(quarantine, entry))
		mark_unsent(quarantine, entry);
	else if (changed && forward)
		mark_unsent(quarantine, entry);
}

/* Returns whether an upstream ended under a request. */
bool quarantine_is_suspect(const quarantine_t *quarantine, uint64_t fingerprint)
{
	const entry_t *entry = find_entry(quarantine, fingerprint);

	return entry && entry_open_ends(entry);
}

/* Returns whether a request gets no further upstream. */
bool quarantine_is_held(const quarantine_t *quarantine, uint64_t fingerprint)
{
	const entry_t *entry = find_entry(quarantine, fingerprint);

	return entry && entry_is_held(entry);
}

/* Returns whether a key is among suspects. */
static bool is_among(uint64_t key, const quarantine_suspects_t *suspects)
{
	for (unsigned int i = 0; i < suspects->count; i++) {
		if (suspects->keys[i] == key)
			return true;
	}
	return false;
}

/* Returns whether all ends that count against an entry count against OTHER as well. */
static bool ends_are_shared(const entry_t *entry, entry_t *other)
{
	for (unsigned int i = 0; i < entry->end_count; i++) {
		const end_t *end = &entry->ends[i];
		const end_t *same = entry_find_end(other, end->upstream);

		if (!end->cleared && (!same || same->cleared))
			return false;
	}
	return true;
}

/*
 * Returns whether another part explains the ends of a held part: it is held for the same
 * ones, and not among SUSPECTS.
 */
static bool is_explained(const quarantine_t *quarantine, const entry_t *entry,
			 const quarantine_suspects_t *suspects)
{
	unsigned int left = quarantine->held;

	for (const list_node_t *it = quarantine->entries.prev;
	     left && it != &quarantine->entries; it = it->prev) {
		entry_t *other = LIST_ENTRY(it, entry_t, node);

		if (!entry_is_held(other))
			continue;
		left--;
		if (quarantine_is_part(other->fingerprint) &&
		    !is_among(other->fingerprint, suspects) &&
		    ends_are_shared(entry, other))
			return true;
	}
	return false;
}

/*
 * Returns whether a request gets no further upstream, as it is held or a part of its prompt
 * is. A part that always was together with another one that the request lacks is let
 * through: the first event clears it, or an end tells them apart.
 */
bool quarantine_rejects(const quarantine_t *quarantine,
			const quarantine_suspects_t *suspects)
{
	for (unsigned int i = 0; i < suspects->count; i++) {
		const entry_t *entry = find_entry(quarantine, suspects->keys[i]);

		if (entry && entry_is_held(entry) &&
		    !(quarantine_is_part(entry->fingerprint) &&
		      is_explained(quarantine, entry, suspects)))
			return true;
	}
	return false;
}

/* Returns when a request is forgotten if nobody tries it again. */
static pd_time_t entry_expires_at(const entry_t *entry)
{
	pd_time_t last_end = 0;

	for (unsigned int i = 0; i < entry->end_count; i++)
		last_end = MAX(last_end, entry->ends[i].at);
	return MIN(entry->tried_at + IDLE_TTL, last_end + END_TTL);
}

/*
 * Records that a caller tries a request. Returns 0 if it may get an upstream, or how
 * long it is held if nobody tries it.
 */
pd_time_t quarantine_record_attempt(quarantine_t *quarantine,
				    uint64_t fingerprint, pd_time_t now)
{
	entry_t *entry = find_entry(quarantine, fingerprint);

	if (!entry || !entry_is_held(entry) || entry_expires_at(entry) <= now)
		return 0;
	entry_touch(quarantine, entry, now);
	return MAX(entry_expires_at(entry) - now, 1);
}

/* Returns an entry as of NOW. */
static quarantine_report_t entry_report(const entry_t *entry, pd_time_t now)
{
	quarantine_report_t report = {
		.fingerprint = entry->fingerprint,
		.idle = MAX(now - entry->tried_at, 0),
		.end_count = entry->end_count,
	};

	for (unsigned int i = 0; i < entry->end_count; i++) {
		report.ends[i].upstream = entry->ends[i].upstream;
		report.ends[i].cleared = entry->ends[i].cleared;
		report.ends[i].age = MAX(now - entry->ends[i].at, 0);
	}
	return report;
}

/* Returns whether other gateways lack a change that is sent at once. */
bool quarantine_has_unsent(const quarantine_t *quarantine)
{
	return quarantine->unsent;
}

/*
 * Sets REPORTS, of QUARANTINE_REPORTS_MAX, to requests of which other gateways lack a
 * change, and takes them for sent; ALL: suspects too, else those that are held or were
 * so. Returns their number.
 */
unsigned int quarantine_take_unsent(quarantine_t *quarantine, bool all,
				    pd_time_t now, quarantine_report_t *reports)
{
	unsigned int count = 0;

	LIST_FOR_EACH (it, &quarantine->entries) {
		entry_t *entry = LIST_ENTRY(it, entry_t, node);

		if (!entry->unsent || (!all && !entry->was_held))
			continue;
		if (count == QUARANTINE_REPORTS_MAX)
			return count;
		entry->unsent = false;
		reports[count++] = entry_report(entry, now);
	}
	quarantine->unsent &= !all;
	return count;
}

/* Sets up to MOST reports to the requests held that were tried last; returns their number. */
unsigned int quarantine_list_held(const quarantine_t *quarantine, pd_time_t now,
				  quarantine_report_t *reports, unsigned int most)
{
	unsigned int count = 0;

	for (const list_node_t *it = quarantine->entries.prev;
	     it != &quarantine->entries && count < MIN(most, quarantine->held);
	     it = it->prev) {
		const entry_t *entry = LIST_ENTRY(it, entry_t, node);

		if (entry_is_held(entry))
			reports[count++] = entry_report(entry, now);
	}
	return count;
}

/* Returns the number of requests that are held. */
unsigned int quarantine_held_count(const quarantine_t *quarantine)
{
	return quarantine->held;
}

/* Returns how often a request began to be held. */
uint64_t quarantine_holds(const quarantine_t *quarantine)
{
	return quarantine->holds;
}

/* Forgets requests that nobody has tried for long. */
void quarantine_expire(quarantine_t *quarantine, pd_time_t now)
{
	LIST_FOR_EACH_SAFE (it, &quarantine->entries) {
		entry_t *entry = LIST_ENTRY(it, entry_t, node);

		if (entry_expires_at(entry) <= now)
			entry_destroy(quarantine, entry);
	}
}
