/* Issues grants for requests to brittle upstreams. brittle-notes.md argues the bounds. */
#include "core/forward/brittle.h"

#include <glib.h>

#include "core/hash.h"

/* From the use of a grant to the arrival of its request, while a connection is made. */
#define ARRIVAL_TIME (400 * PD_MSEC)
/* Rejections within this time count together. */
#define WINDOW PD_SEC
/* A grant of which nothing is heard may have led to a rejection until so long after it. */
#define UNREPORTED_TIME (BRITTLE_GRANT_TTL + ARRIVAL_TIME + WINDOW)
/* A gateway issues nothing for so long after another one may have issued. */
#define HANDOVER_TIME UNREPORTED_TIME
/* Another gateway may have issued meanwhile if this one did not run for so long. */
#define STALL_MAX PD_SEC
/* A request is taken to have ended so long after its deadline. */
#define DEADLINE_MARGIN (500 * PD_MSEC)
#define TIME_LEFT_MAX (120 * PD_SEC)
/* After a rejection the room is taken to be this part of what runs. */
#define ROOM_AFTER_REJECTION 0.75
/* Room that was used up grows by this part of the slots, and at least one, each period. */
#define ROOM_GROWTH_PART (1.0 / 16)
#define ROOM_GROWTH_PERIOD (500 * PD_MSEC)
/* When a gateway that was denied may ask again. */
#define RETRY_MIN (20 * PD_MSEC)
#define RETRY_MAX PD_SEC
/* An upstream that nobody has asked for in this time is forgotten. */
#define IDLE_TTL (30 * PD_SEC)

/* A grant, kept while its request may run or count against the rejections. */
typedef struct grant {
	uint64_t gateway; /* hash of its address */
	uint32_t number;
	bool runs;
	pd_time_t runs_until; /* when it is taken to have ended without a report */
	bool at_risk; /* it may be rejected, or was */
	pd_time_t at_risk_until;
} grant_t;

/* An upstream that this gateway issues grants for. */
typedef struct brittle_entry {
	unsigned int slots;
	unsigned int rejections_max;
	unsigned int room; /* requests that it is taken to admit at a time */
	pd_time_t room_changed_at;
	pd_time_t issues_from;
	pd_time_t asked_at;
	GArray *grants; /* of grant_t */
	unsigned int denials; /* since the last grant */
} brittle_entry_t;

struct brittle_issuer {
	GHashTable *entries; /* short id -> brittle_entry_t */
	double share; /* of the rejections that an upstream bears */
	double raised_share; /* to be in force from raised_at + HANDOVER_TIME on */
	pd_time_t raised_at; /* 0: the share is not being raised */
	pd_time_t ran_at; /* when it last ran; 0: never */
	pd_time_t issues_from; /* for any upstream, after a stall */
	brittle_stats_t stats;
};

/*
 * Returns which of COUNT gateways, at least one, issues the grants of an upstream, by
 * rendezvous hashing with the HASHES of the gateways' addresses: one that is lost changes
 * the issuer of its own upstreams only.
 */
unsigned int brittle_find_issuer(uint64_t upstream_hash, const uint64_t *hashes,
				 unsigned int count)
{
	unsigned int best = 0;
	uint64_t best_hash = 0;

	for (unsigned int i = 0; i < count; i++) {
		uint64_t hash = hash_number(upstream_hash ^ hashes[i]);

		if (hash < best_hash)
			continue;
		best_hash = hash;
		best = i;
	}
	return best;
}

/* Frees a brittle_entry_t. */
static void entry_destroy(void *data)
{
	brittle_entry_t *entry = data;

	g_array_unref(entry->grants);
	g_free(entry);
}

/* Returns an issuer for the whole fleet; the caller owns it. */
brittle_issuer_t *brittle_issuer_create(void)
{
	brittle_issuer_t *issuer = g_new0(brittle_issuer_t, 1);

	issuer->entries = g_hash_table_new_full(g_direct_hash, g_direct_equal,
						NULL, entry_destroy);
	issuer->share = 1;
	return issuer;
}

/* Frees the issuer; NULL is allowed. */
void brittle_issuer_destroy(brittle_issuer_t *issuer)
{
	if (!issuer)
		return;
	g_hash_table_unref(issuer->entries);
	g_free(issuer);
}

/* Returns the entry of an upstream, borrowed, or NULL. */
static brittle_entry_t *find_entry(const brittle_issuer_t *issuer, uint32_t short_id)
{
	return g_hash_table_lookup(issuer->entries, GUINT_TO_POINTER(short_id));
}

/* Adds an entry for an upstream. Returns it, borrowed. */
static brittle_entry_t *add_entry(brittle_issuer_t *issuer,
				  const brittle_ask_t *ask, pd_time_t now)
{
	brittle_entry_t *entry = g_new0(brittle_entry_t, 1);

	entry->room = MAX(ask->slots, 1);
	entry->room_changed_at = now;
	entry->issues_from = PD_TIME_MAX;
	entry->grants = g_array_new(FALSE, FALSE, sizeof(grant_t));
	g_hash_table_insert(issuer->entries, GUINT_TO_POINTER(ask->short_id),
			    entry);
	return entry;
}

/* Ends what has lasted for as long as it can without a report. */
static void expire_grants(brittle_entry_t *entry, pd_time_t now)
{
	for (guint i = entry->grants->len; i-- > 0;) {
		grant_t *grant = &g_array_index(entry->grants, grant_t, i);

		grant->runs = grant->runs && now < grant->runs_until;
		grant->at_risk = grant->at_risk && now < grant->at_risk_until;
		if (!grant->runs && !grant->at_risk)
			g_array_remove_index_fast(entry->grants, i);
	}
}

/* Returns the number of requests that run at an upstream. */
static unsigned int count_running(const brittle_entry_t *entry)
{
	unsigned int count = 0;

	for (guint i = 0; i < entry->grants->len; i++)
		count += g_array_index(entry->grants, grant_t, i).runs;
	return count;
}

/*
 * Returns the number of requests that an upstream may have rejected in the last second, or
 * may still reject.
 */
static unsigned int count_at_risk(const brittle_entry_t *entry)
{
	unsigned int count = 0;

	for (guint i = 0; i < entry->grants->len; i++)
		count += g_array_index(entry->grants, grant_t, i).at_risk;
	return count;
}

/* Returns how many rejections of an upstream this gateway may cause in a second. */
static unsigned int risk_max(const brittle_issuer_t *issuer,
			     const brittle_entry_t *entry)
{
	return MAX((unsigned int)(entry->rejections_max * issuer->share), 1);
}

/* Lets the room of an upstream grow if it was used up for a while without a rejection. */
static void grow_room(brittle_entry_t *entry, pd_time_t now)
{
	unsigned int growth =
		MAX((unsigned int)(entry->slots * ROOM_GROWTH_PART), 1);

	if (now - entry->room_changed_at < ROOM_GROWTH_PERIOD)
		return;
	entry->room = MIN(entry->room + growth, entry->slots);
	entry->room_changed_at = now;
}

/*
 * Returns when a gateway that is denied may ask again. The more were denied since the last
 * grant, the later, so that the asks of a large fleet don't grow beyond what is granted.
 */
static pd_time_t denial_time(const brittle_entry_t *entry)
{
	return MIN(RETRY_MIN * MAX(entry->denials, 1), RETRY_MAX);
}

/* Records that the process runs; after a stall nothing is issued for a while. */
static void check_stall(brittle_issuer_t *issuer, pd_time_t now)
{
	bool stalled = issuer->ran_at && now - issuer->ran_at > STALL_MAX;
	GHashTableIter iter;
	gpointer value;

	issuer->ran_at = now;
	if (!stalled)
		return;
	issuer->issues_from = now + HANDOVER_TIME;
	g_hash_table_iter_init(&iter, issuer->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		brittle_entry_t *entry = value;

		entry->issues_from = MAX(entry->issues_from, issuer->issues_from);
	}
}

/*
 * Grants a request, or denies it and sets when the gateway may ask again. ISSUES_SINCE is
 * since when no other gateway is taken to issue grants for the upstream.
 */
bool brittle_issuer_request(brittle_issuer_t *issuer, const brittle_ask_t *ask,
			    pd_time_t issues_since, pd_time_t now,
			    pd_time_t *retry_after)
{
	brittle_entry_t *entry = find_entry(issuer, ask->short_id);
	grant_t grant = {
		.gateway = hash_string(ask->gateway),
		.number = ask->number,
		.runs = true,
		.runs_until = now + CLAMP(ask->time_left, 0, TIME_LEFT_MAX) +
			      DEADLINE_MARGIN,
		.at_risk = true,
		.at_risk_until = now + UNREPORTED_TIME,
	};

	check_stall(issuer, now);
	if (!entry)
		entry = add_entry(issuer, ask, now);
	entry->issues_from =
		MIN(entry->issues_from,
		    MAX(issues_since + HANDOVER_TIME, issuer->issues_from));
	entry->asked_at = now;
	entry->slots = MAX(ask->slots, 1);
	entry->room = MIN(entry->room, entry->slots);
	entry->rejections_max =
		CLAMP(ask->rejections_max, 1, BRITTLE_REJECTIONS_MAX);
	expire_grants(entry, now);
	if (now >= entry->issues_from) {
		if (count_running(entry) >= entry->room)
			grow_room(entry, now);
		if (count_running(entry) < entry->room &&
		    count_at_risk(entry) < risk_max(issuer, entry)) {
			g_array_append_val(entry->grants, grant);
			entry->denials = 0;
			issuer->stats.granted++;
			return true;
		}
	}
	entry->denials++;
	issuer->stats.denied++;
	*retry_after = MAX(denial_time(entry),
			   MIN(entry->issues_from - now, RETRY_MAX));
	return false;
}

/* Applies a rejection: the upstream has less room than was used. */
static void reduce_room(brittle_entry_t *entry, pd_time_t now)
{
	unsigned int running = count_running(entry);
	unsigned int room = (unsigned int)(running * ROOM_AFTER_REJECTION);

	entry->room = MAX(MIN(entry->room, room), 1);
	entry->room_changed_at = now;
}

/* Applies what became of a grant. */
static void apply_outcome(brittle_issuer_t *issuer, brittle_entry_t *entry,
			  grant_t *grant, brittle_outcome_t outcome, pd_time_t now)
{
	switch (outcome) {
	case BRITTLE_ADMITTED:
		grant->at_risk = false;
		return;
	case BRITTLE_ENDED:
		grant->at_risk = false;
		break;
	case BRITTLE_REJECTED:
		grant->at_risk = true;
		grant->at_risk_until = now + WINDOW;
		issuer->stats.rejected++;
		break;
	case BRITTLE_LOST:
		if (grant->at_risk)
			grant->at_risk_until = now + WINDOW;
		break;
	}
	grant->runs = false;
	if (outcome == BRITTLE_REJECTED)
		reduce_room(entry, now);
}

/*
 * Records what became of a granted request, named by its gateway's address and number; one
 * that is not known is ignored.
 */
void brittle_issuer_report(brittle_issuer_t *issuer, const char *gateway,
			   uint32_t short_id, uint32_t number,
			   brittle_outcome_t outcome, pd_time_t now)
{
	brittle_entry_t *entry = find_entry(issuer, short_id);
	uint64_t hash = hash_string(gateway);

	for (guint i = 0; entry && i < entry->grants->len; i++) {
		grant_t *grant = &g_array_index(entry->grants, grant_t, i);

		if (grant->gateway == hash && grant->number == number &&
		    grant->runs) {
			apply_outcome(issuer, entry, grant, outcome, now);
			return;
		}
	}
}

/* Ends the requests that a gateway had before it started anew; some may be rejected yet. */
void brittle_issuer_remove_gateway(brittle_issuer_t *issuer,
				   const char *gateway, pd_time_t now)
{
	uint64_t hash = hash_string(gateway);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, issuer->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		brittle_entry_t *entry = value;

		for (guint i = 0; i < entry->grants->len; i++) {
			grant_t *grant = &g_array_index(entry->grants, grant_t, i);

			if (grant->gateway == hash && grant->runs)
				apply_outcome(issuer, entry, grant,
					      BRITTLE_LOST, now);
		}
	}
}

/*
 * Sets the part of the fleet, from 0 to 1, that this gateway issues grants for: in a fleet
 * that is split each side issues its part. A larger part is in force only when another
 * gateway has stopped to issue it.
 */
void brittle_issuer_set_share(brittle_issuer_t *issuer, double share, pd_time_t now)
{
	if (share <= issuer->share) {
		issuer->share = share;
		issuer->raised_at = 0;
		return;
	}
	if (!issuer->raised_at) {
		issuer->raised_at = now;
		issuer->raised_share = share;
	}
	issuer->raised_share = MIN(issuer->raised_share, share);
	if (now - issuer->raised_at < HANDOVER_TIME)
		return;
	issuer->share = issuer->raised_share;
	issuer->raised_at = 0;
}

/* Forgets the upstreams for which KEEP returns false: another gateway issues for them. */
void brittle_issuer_filter(brittle_issuer_t *issuer, brittle_keep_fn_t keep,
			   void *ctx)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, issuer->entries);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!keep(ctx, GPOINTER_TO_UINT(key)))
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Ends what is due by now, and forgets the upstreams that nobody has asked for lately and
 * that have no grants. To be called several times a second.
 */
void brittle_issuer_run(brittle_issuer_t *issuer, pd_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	check_stall(issuer, now);
	g_hash_table_iter_init(&iter, issuer->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		brittle_entry_t *entry = value;

		expire_grants(entry, now);
		if (!entry->grants->len && now - entry->asked_at > IDLE_TTL)
			g_hash_table_iter_remove(&iter);
	}
}

/* Returns how many requests an upstream is taken to admit at a time; 0: unknown. */
unsigned int brittle_issuer_room(const brittle_issuer_t *issuer, uint32_t short_id)
{
	const brittle_entry_t *entry = find_entry(issuer, short_id);

	return entry ? entry->room : 0;
}

/* Returns figures since the creation, borrowed. */
const brittle_stats_t *brittle_issuer_stats(const brittle_issuer_t *issuer)
{
	return &issuer->stats;
}
