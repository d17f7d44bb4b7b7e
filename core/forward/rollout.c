/* Decides how far each roll-out has come and which versions a request may use. */
#include "core/forward/rollout.h"

#include <string.h>

#include "core/forward/rollout_counts.h"
#include "core/hash.h"

/* The canary's part of the share of requests that a bad version may get. */
#define CANARY_PART 0.35
/*
 * The canary stops at this part of what the bound allows so far. The rest is for the time
 * until all gateways have stopped after a verdict.
 */
#define CANARY_BUDGET_PART 0.5
/*
 * Each step of the ramp lasts until its answers have been counted by all gateways: two
 * periods of states and summaries.
 */
#define RAMP_STEP_TIME (500 * PD_MSEC)
/* However late its upstreams serve, a new version has the canary's share for this long. */
#define CANARY_TIME_MIN (1500 * PD_MSEC)
/* Time to write the final status, and to repeat the write once. */
#define WRITE_MARGIN (600 * PD_MSEC)
#define WRITE_PERIOD (500 * PD_MSEC)
/* Old upstreams count as idle if no gateway reported a request there for this long. */
#define IDLE_TIME PD_SEC
/*
 * Bounds on the time that old upstreams get to finish; the second is a part of the period.
 * Completion takes IDLE_TIME from the last step on, however short the requests are.
 */
#define DRAIN_MIN IDLE_TIME
#define DRAIN_PART_MAX 0.3
/* So many requests to old upstreams end within the drain time. */
#define DRAIN_PART 0.99
/* The leader's messages arrive several times within the time after which one counts as lost. */
#define HEARTBEAT_PERIOD (500 * PD_MSEC)
#define HEARTBEAT_TIMEOUT_MAX (2 * PD_SEC)
/* Part of the time allowed after the 50th bad answer that a missed verdict may cost. */
#define HEARTBEAT_TIMEOUT_PART 0.4
/*
 * A version is held back for this long if it stays unknown whether an order is about it.
 * Orders take some 100 ms from the store to all gateways.
 */
#define HOLD_TIME_MAX (1500 * PD_MSEC)
/* Upstreams of the side that lost are gone by then, or were started for another reason. */
#define ENDED_TTL (60 * PD_SEC)
/* A version of which no upstream was seen for this long is forgotten. */
#define VERSION_TTL (30 * PD_SEC)
/* How often answers are judged, and over which time besides since the order. */
#define JUDGE_PERIOD (100 * PD_MSEC)
#define RECENT_PERIOD (500 * PD_MSEC)
#define RECENT_SNAPSHOTS 4
/* Fewer recent answers of the old version are no measure; all since the order are taken. */
#define RECENT_OLD_MIN 20

/* A software version of a service's upstreams. */
typedef struct version {
	uint64_t id;
	uint64_t revision; /* of the first registration seen */
	pd_time_t first_seen_at;
	pd_time_t last_seen_at;
} version_t;

typedef struct rollout {
	char *to;
	uint64_t to_id;
	uint64_t revision; /* of the object in the store, as last known */
	uint64_t earlier_revision; /* reports up to this one are about earlier orders */
	pd_time_t ordered_at;
	pd_time_t period;
	rollout_step_t step;
	pd_time_t step_at; /* when this gateway learned of the step */
	rollout_state_t state;
	bool has_status; /* the store has a status of this order */
	bool bad;
	uint64_t heartbeat;
	pd_time_t heard_at; /* of the last heartbeat; 0: none since this start */
	rollout_state_t written; /* the status that was last written */
	pd_time_t next_write_at; /* of the same status */
	pd_time_t new_served_at; /* since when new upstreams serve; 0: they don't */
	pd_time_t old_busy_at; /* when a request last ran at an old upstream */
	rollout_counts_t *counts;
	uint64_t restored_new; /* requests before a kill of all gateways */
	uint64_t restored_all;
	uint64_t sent_new; /* by all gateways, as last summed */
	uint64_t sent_all;
	pd_time_t judged_at;
	GArray *latest; /* sums as last judged; NULL: not yet */
	/* sums of the last two seconds, the newest first; NULL: not reached yet */
	GArray *snapshots[RECENT_SNAPSHOTS];
	pd_time_t snapshot_at;
	pd_time_t ended_at; /* when it was over; 0: it runs */
} rollout_t;

typedef struct service {
	char *name;
	GArray *versions; /* of version_t */
	/*
	 * Of all answers but those of a new version, also while no roll-out runs: a gateway
	 * of a large fleet has too few on a route within a period.
	 */
	GHashTable *paces; /* hash of a route -> rollout_pace_t */
	quantile_t duration; /* of requests */
	rollout_t *rollout; /* the newest; NULL: none */
} service_t;

struct rollouts {
	rollout_settings_t settings;
	uint64_t known_revision; /* orders are known up to this revision */
	GHashTable *services; /* name -> service_t */
};

/* Returns the id of a service's software version, as forward_upstream_t has it. */
uint64_t rollout_version_id(const char *service, const char *version)
{
	return MAX(hash_pair(service, version), 1);
}

/* Frees the snapshots of recent sums. */
static void clear_snapshots(rollout_t *rollout)
{
	for (int i = 0; i < RECENT_SNAPSHOTS; i++)
		g_clear_pointer(&rollout->snapshots[i], g_array_unref);
}

static void rollout_destroy(rollout_t *rollout)
{
	if (!rollout)
		return;
	clear_snapshots(rollout);
	g_clear_pointer(&rollout->latest, g_array_unref);
	rollout_counts_destroy(rollout->counts);
	g_free(rollout->to);
	g_free(rollout);
}

static void service_destroy(void *data)
{
	service_t *service = data;

	rollout_destroy(service->rollout);
	g_hash_table_unref(service->paces);
	g_array_unref(service->versions);
	g_free(service->name);
	g_free(service);
}

/* Returns an object without any order; the caller owns it. */
rollouts_t *rollouts_create(const rollout_settings_t *settings)
{
	rollouts_t *rollouts = g_new0(rollouts_t, 1);

	rollouts->settings = *settings;
	rollouts->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, service_destroy);
	return rollouts;
}

/* Frees the roll-outs; NULL is allowed. */
void rollouts_destroy(rollouts_t *rollouts)
{
	if (!rollouts)
		return;
	g_hash_table_unref(rollouts->services);
	g_free(rollouts);
}

/* Sets the bounds from now on. */
void rollouts_configure(rollouts_t *rollouts, const rollout_settings_t *settings)
{
	rollouts->settings = *settings;
}

/* Returns whether orders are served at all. */
bool rollouts_is_enabled(const rollouts_t *rollouts)
{
	return rollouts->settings.exposure_share > 0;
}

/* Returns a service, borrowed; NULL: nothing is known of it. */
static service_t *find_service(const rollouts_t *rollouts, const char *name)
{
	return g_hash_table_lookup(rollouts->services, name);
}

/* Returns a service, borrowed; adds one that is missing. */
static service_t *get_service(rollouts_t *rollouts, const char *name)
{
	service_t *service = find_service(rollouts, name);

	if (service)
		return service;
	service = g_new0(service_t, 1);
	service->name = g_strdup(name);
	service->versions = g_array_new(FALSE, TRUE, sizeof(version_t));
	service->paces = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g_hash_table_insert(rollouts->services, service->name, service);
	return service;
}

/* Replaces a service's roll-out by a new one to version TO. */
static rollout_t *begin_rollout(service_t *service, const char *to,
				pd_time_t period, pd_time_t ordered_at,
				pd_time_t now)
{
	rollout_t *rollout = g_new0(rollout_t, 1);

	rollout->to = g_strdup(to);
	rollout->to_id = rollout_version_id(service->name, to);
	rollout->period = period;
	rollout->ordered_at = ordered_at;
	rollout->step_at = now;
	rollout->old_busy_at = now;
	rollout->counts = rollout_counts_create();
	if (service->rollout)
		rollout->earlier_revision = service->rollout->revision;
	rollout_destroy(service->rollout);
	service->rollout = rollout;
	return rollout;
}

/* Ends a running roll-out as the store has it. Returns whether it was running. */
static bool end_rollout(rollout_t *rollout, rollout_state_t state, pd_time_t now)
{
	if (state == ROLLOUT_RUNNING || rollout->state != ROLLOUT_RUNNING)
		return false;
	rollout->state = state;
	rollout->ended_at = now;
	return true;
}

/*
 * Returns whether an order or a report at REVISION is about another roll-out than the one
 * that is known: to another version, or to the same one again after that was over.
 */
static bool is_other_order(const rollout_t *rollout, const char *to,
			   uint64_t revision, bool is_over)
{
	if (!rollout || strcmp(rollout->to, to) != 0)
		return true;
	return rollout->state != ROLLOUT_RUNNING && !is_over &&
	       revision > rollout->revision;
}

/*
 * Applies an order as the store has it, with its status if that is about the same version.
 * Returns whether it is new to this gateway.
 */
bool rollouts_apply_order(rollouts_t *rollouts, const rollout_order_t *order,
			  pd_time_t now)
{
	service_t *service = get_service(rollouts, order->service);
	rollout_t *rollout = service->rollout;
	bool is_over = order->has_state && order->state != ROLLOUT_RUNNING;
	bool is_news = false;

	if (rollout && order->revision < rollout->revision)
		return false;
	if (is_other_order(rollout, order->to, order->revision, is_over)) {
		rollout = begin_rollout(service, order->to, order->period, now,
					now);
		is_news = true;
	}
	rollout->revision = order->revision;
	rollout->has_status |= order->has_state;
	if (is_over)
		is_news |= end_rollout(rollout, order->state, now);
	return is_news;
}

/* Forgets the order of a service whose object was removed from the store at REVISION. */
void rollouts_remove_order(rollouts_t *rollouts, const char *name, uint64_t revision)
{
	service_t *service = find_service(rollouts, name);

	if (!service || !service->rollout || revision < service->rollout->revision)
		return;
	rollout_destroy(service->rollout);
	service->rollout = NULL;
}

/* Records that all orders up to a revision of the store are known. Returns whether it grew. */
bool rollouts_set_known_revision(rollouts_t *rollouts, uint64_t revision)
{
	bool grew = revision > rollouts->known_revision;

	rollouts->known_revision = MAX(rollouts->known_revision, revision);
	return grew;
}

/* Returns the revision of the store up to which all orders are known; 0: none. */
uint64_t rollouts_known_revision(const rollouts_t *rollouts)
{
	return rollouts->known_revision;
}

/* Raises the step of a roll-out, which never goes back. */
static bool raise_step(rollout_t *rollout, rollout_step_t step, pd_time_t now)
{
	if (step <= rollout->step || step >= ROLLOUT_STEPS)
		return false;
	rollout->step = step;
	rollout->step_at = now;
	return true;
}

/*
 * Merges another gateway's report. The result does not depend on the order in which
 * reports arrive, or on repetitions. Returns whether anything was new.
 */
bool rollouts_merge(rollouts_t *rollouts, const rollout_report_t *report,
		    pd_time_t now)
{
	service_t *service = get_service(rollouts, report->service);
	rollout_t *rollout = service->rollout;
	bool is_over = report->state != ROLLOUT_RUNNING;
	bool is_news = false;

	if (rollout && report->revision <= rollout->earlier_revision)
		return false;
	if (rollout && strcmp(rollout->to, report->to) != 0 &&
	    report->revision < rollout->revision)
		return false;
	if (is_other_order(rollout, report->to, report->revision, is_over)) {
		rollout = begin_rollout(service, report->to, report->period,
					report->ordered_at, now);
		is_news = true;
	}
	if (report->bad && !rollout->bad) {
		rollout->bad = true;
		is_news = true;
	}
	is_news |= end_rollout(rollout, report->state, now);
	if (report->ordered_at < rollout->ordered_at)
		rollout->ordered_at = report->ordered_at;
	rollout->revision = MAX(rollout->revision, report->revision);
	is_news |= raise_step(rollout, report->step, now);
	if (report->heartbeat > rollout->heartbeat) {
		rollout->heartbeat = report->heartbeat;
		rollout->heard_at = now;
		is_news = true;
	}
	return is_news;
}

/*
 * Restores a roll-out from the checkpoint. Its step is used again once a leader sends a
 * heartbeat; SENT_NEW of SENT_ALL requests went to the new version so far.
 */
void rollouts_restore(rollouts_t *rollouts, const rollout_report_t *report,
		      uint64_t sent_new, uint64_t sent_all, pd_time_t now)
{
	rollout_report_t silent = *report;
	service_t *service;

	silent.heartbeat = 0;
	rollouts_merge(rollouts, &silent, now);
	service = find_service(rollouts, report->service);
	if (strcmp(service->rollout->to, report->to) != 0)
		return;
	service->rollout->restored_new =
		MAX(service->rollout->restored_new, sent_new);
	service->rollout->restored_all =
		MAX(service->rollout->restored_all, sent_all);
}

/* Returns the report of a service's roll-out; its strings are borrowed. */
static rollout_report_t make_report(const service_t *service)
{
	const rollout_t *rollout = service->rollout;

	return (rollout_report_t){
		.service = service->name,
		.to = rollout->to,
		.revision = rollout->revision,
		.ordered_at = rollout->ordered_at,
		.period = rollout->period,
		.step = rollout->step,
		.state = rollout->state,
		.bad = rollout->bad,
		.heartbeat = rollout->heartbeat,
	};
}

/* Calls EACH with the report of each roll-out. */
void rollouts_each(const rollouts_t *rollouts, rollouts_report_each_t each,
		   void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const service_t *service = value;
		rollout_report_t report;

		if (!service->rollout)
			continue;
		report = make_report(service);
		each(ctx, &report);
	}
}

/* Sets the requests that a roll-out's new version and all versions got, as last summed. */
void rollouts_sent(const rollouts_t *rollouts, const char *name,
		   uint64_t *sent_new, uint64_t *sent_all)
{
	const service_t *service = find_service(rollouts, name);

	*sent_new = service && service->rollout ? service->rollout->sent_new : 0;
	*sent_all = service && service->rollout ? service->rollout->sent_all : 0;
}

/* Removes versions of which no upstream was seen lately. */
static void prune_versions(service_t *service, pd_time_t now)
{
	for (guint i = service->versions->len; i-- > 0;) {
		const version_t *version =
			&g_array_index(service->versions, version_t, i);

		if (now - version->last_seen_at > VERSION_TTL)
			g_array_remove_index(service->versions, i);
	}
}

/*
 * Records that upstreams of a version are registered; REVISION is that of one registration.
 * Returns whether the service has got a further version, so that orders should be read.
 */
bool rollouts_record_version(rollouts_t *rollouts, const char *name,
			     uint64_t version_id, uint64_t revision, pd_time_t now)
{
	version_t added = { version_id, revision, now, now };
	service_t *service;

	if (!rollouts_is_enabled(rollouts))
		return false;
	service = get_service(rollouts, name);
	prune_versions(service, now);
	for (guint i = 0; i < service->versions->len; i++) {
		version_t *version =
			&g_array_index(service->versions, version_t, i);

		if (version->id == version_id) {
			version->last_seen_at = now;
			return false;
		}
	}
	g_array_append_val(service->versions, added);
	return service->versions->len > 1;
}

/* Returns whether an order may be about a version that was seen a moment ago. */
static bool is_held(const rollouts_t *rollouts, const version_t *version,
		    pd_time_t now)
{
	return version->revision > rollouts->known_revision &&
	       now - version->first_seen_at < HOLD_TIME_MAX;
}

/* Returns the version that is held back, if others are not; 0: none. */
static uint64_t held_version(const rollouts_t *rollouts,
			     const service_t *service, pd_time_t now)
{
	uint64_t held = 0;
	bool has_other = false;

	for (guint i = 0; i < service->versions->len; i++) {
		const version_t *version =
			&g_array_index(service->versions, version_t, i);

		if (is_held(rollouts, version, now))
			held = version->id;
		else
			has_other = true;
	}
	return has_other ? held : 0;
}

/* Returns whether a version of any service is held back until orders are known. */
bool rollouts_has_held_version(const rollouts_t *rollouts, pd_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const service_t *service = value;

		if (!service->rollout && held_version(rollouts, service, now))
			return true;
	}
	return false;
}

/* Returns whether rollouts_choose() may restrict the versions of a service. */
bool rollouts_restrict(const rollouts_t *rollouts, const char *name)
{
	const service_t *service = rollouts_is_enabled(rollouts)
					   ? find_service(rollouts, name)
					   : NULL;

	return service && (service->rollout || service->versions->len > 1);
}

/* Returns the share of the requests that may use the new version at a step. */
static double step_share(const rollouts_t *rollouts, const rollout_t *rollout)
{
	const rollout_settings_t *settings = &rollouts->settings;
	double allowed = (settings->exposure_share * (double)rollout->sent_all +
			  settings->exposure_slack) *
			 CANARY_BUDGET_PART;

	switch (rollout->step) {
	case ROLLOUT_CANARY:
		return (double)rollout->sent_new < allowed
			       ? settings->exposure_share * CANARY_PART
			       : 0;
	case ROLLOUT_QUARTER:
		return 0.25;
	case ROLLOUT_HALF:
		return 0.5;
	case ROLLOUT_FULL:
	case ROLLOUT_STEPS:
		break;
	}
	return 1;
}

/*
 * Returns how long the new version is used without a heartbeat. A gateway that gets none
 * may have missed a verdict as well.
 */
static pd_time_t heartbeat_timeout(const rollouts_t *rollouts)
{
	return MIN((pd_time_t)((double)rollouts->settings.rollback_time *
			       HEARTBEAT_TIMEOUT_PART),
		   HEARTBEAT_TIMEOUT_MAX);
}

/* Returns what a request may use while a roll-out runs. */
static rollout_use_t choose_side(const rollouts_t *rollouts,
				 const rollout_t *rollout, double draw,
				 pd_time_t now)
{
	double share = step_share(rollouts, rollout);

	if (!rollout->heard_at ||
	    now - rollout->heard_at > heartbeat_timeout(rollouts))
		share = 0;
	if (draw >= share)
		return (rollout_use_t){ .except = rollout->to_id,
					.upstreams_part = 1,
					.may_fall_back = true };
	return (rollout_use_t){
		.only = rollout->to_id,
		.upstreams_part = rollout->step == ROLLOUT_CANARY ? share : 1,
		.may_fall_back = rollout->step != ROLLOUT_FULL,
	};
}

/*
 * Returns the versions that a request may use. DRAW is a random number from 0 to 1. A use
 * that excludes a version falls back to it only if no other upstream serves.
 */
rollout_use_t rollouts_choose(const rollouts_t *rollouts, const char *name,
			      double draw, pd_time_t now)
{
	static const rollout_use_t any = { .upstreams_part = 1 };
	const service_t *service = rollouts_is_enabled(rollouts)
					   ? find_service(rollouts, name)
					   : NULL;
	const rollout_t *rollout = service ? service->rollout : NULL;
	rollout_use_t use = any;

	if (!service)
		return use;
	if (!rollout) {
		use.except = held_version(rollouts, service, now);
		use.may_fall_back = true;
		return use;
	}
	if (rollout->ended_at && now - rollout->ended_at > ENDED_TTL)
		return use;
	switch (rollout->state) {
	case ROLLOUT_COMPLETED:
		use.only = rollout->to_id;
		use.may_fall_back = true;
		return use;
	case ROLLOUT_ROLLED_BACK:
		use.except = rollout->to_id;
		return use;
	case ROLLOUT_RUNNING:
		break;
	}
	if (rollout->bad) {
		use.except = rollout->to_id;
		return use;
	}
	return choose_side(rollouts, rollout, draw, now);
}

/* Returns the running roll-out of a service; NULL: none. */
static rollout_t *running_rollout(const rollouts_t *rollouts, const char *name)
{
	const service_t *service = rollouts_is_enabled(rollouts)
					   ? find_service(rollouts, name)
					   : NULL;

	return service && service->rollout && service->rollout->state == ROLLOUT_RUNNING
		       ? service->rollout
		       : NULL;
}

/* Returns the number by which a route is counted. */
static uint32_t route_number(const char *route)
{
	return MAX((uint32_t)hash_string(route), 1);
}

/* Returns this gateway's tally of a route and version. */
static rollout_tally_t *own_tally(rollout_t *rollout, uint32_t route,
				  uint64_t version_id)
{
	rollout_side_t side = version_id == rollout->to_id ? ROLLOUT_NEW
							   : ROLLOUT_OLD;

	return &rollout_counts_own(rollout->counts, route)->sides[side];
}

/* Records that a request was sent to an upstream of a version. */
void rollouts_record_send(rollouts_t *rollouts, const char *service,
			  const char *route, uint64_t version_id)
{
	rollout_t *rollout = running_rollout(rollouts, service);

	if (rollout)
		own_tally(rollout, route_number(route), version_id)->sent++;
}

/* Returns what a service's answers on a route usually take; adds it if it is missing. */
static rollout_pace_t *get_pace(service_t *service, uint32_t route)
{
	gpointer key = GUINT_TO_POINTER(route);
	rollout_pace_t *pace = g_hash_table_lookup(service->paces, key);

	if (!pace) {
		pace = g_new0(rollout_pace_t, 1);
		g_hash_table_insert(service->paces, key, pace);
	}
	return pace;
}

/*
 * Returns whether an answer was slow, by what this gateway's usually take, or by the sums
 * of all gateways while it has got too few.
 */
static bool is_slow(const rollout_t *rollout, const rollout_pace_t *pace,
		    uint32_t route, const rollout_times_t *times)
{
	const rollout_row_t *row;

	if (rollout_pace_is_known(pace, times) || !rollout->latest)
		return rollout_pace_is_slow(pace, times);
	row = rollout_rows_find(rollout->latest, route);
	return row && rollout_tally_is_slow(&row->sides[ROLLOUT_OLD], times);
}

/* Counts an answer that failed, was slow, or neither. */
static void record_outcome(rollout_tally_t *tally, bool failed, bool slow)
{
	tally->answers++;
	tally->failed += failed;
	tally->slow += slow;
}

/*
 * Records an answer of an upstream, with the times that it took, or that the upstream
 * FAILED to answer. Requests that it rejected or that did not reach it don't count.
 */
void rollouts_record_answer(rollouts_t *rollouts, const char *name,
			    const char *route, uint64_t version_id, bool failed,
			    const rollout_times_t *times)
{
	rollout_t *rollout = running_rollout(rollouts, name);
	uint32_t number = route_number(route);
	service_t *service;
	rollout_pace_t *pace;

	if (!rollouts_is_enabled(rollouts))
		return;
	service = get_service(rollouts, name);
	pace = get_pace(service, number);
	if (rollout)
		record_outcome(own_tally(rollout, number, version_id), failed,
			       !failed && is_slow(rollout, pace, number, times));
	if (failed || (rollout && version_id == rollout->to_id))
		return;
	if (rollout)
		rollout_tally_add_times(own_tally(rollout, number, version_id),
					times);
	rollout_pace_add(pace, times);
	quantile_add(&service->duration, DRAIN_PART, (double)times->total);
}

/*
 * Records that a caller left before the answer was complete. That counts if the answer was
 * slow by then: callers of a version that is too slow for them see no other sign of it.
 */
void rollouts_record_abandoned(rollouts_t *rollouts, const char *name,
			       const char *route, uint64_t version_id,
			       const rollout_times_t *times)
{
	rollout_t *rollout = running_rollout(rollouts, name);
	uint32_t number = route_number(route);

	if (!rollout ||
	    !is_slow(rollout, get_pace(find_service(rollouts, name), number),
		     number, times))
		return;
	record_outcome(own_tally(rollout, number, version_id), false, true);
}

/* Returns whether a roll-out runs whose counts gateways send each other. */
bool rollouts_is_counting(const rollouts_t *rollouts)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const service_t *service = value;

		if (service->rollout && service->rollout->state == ROLLOUT_RUNNING)
			return true;
	}
	return false;
}

/* Calls EACH with the rows of a service's roll-out. */
static void each_row(const service_t *service, const GArray *rows,
		     rollouts_count_each_t each, void *ctx)
{
	for (guint i = 0; i < rows->len; i++) {
		const rollout_row_t *row = &g_array_index(rows, rollout_row_t, i);

		for (int side = 0; side < ROLLOUT_SIDES; side++) {
			const rollout_count_t count = {
				.service = service->name,
				.to_id = service->rollout->to_id,
				.route = row->route,
				.is_new = side == ROLLOUT_NEW,
				.tally = row->sides[side],
			};

			if (count.tally.sent || count.tally.answers)
				each(ctx, &count);
		}
	}
}

/* Calls EACH with this gateway's own counts of running roll-outs. */
void rollouts_each_own_count(const rollouts_t *rollouts,
			     rollouts_count_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const service_t *service = value;
		const rollout_t *rollout = service->rollout;

		if (rollout && rollout->state == ROLLOUT_RUNNING)
			each_row(service, rollout_counts_own_rows(rollout->counts),
				 each, ctx);
	}
}

/* Calls EACH with the counts of all gateways but EXCEPT_PEER, summed. */
void rollouts_each_sum(const rollouts_t *rollouts, const char *except_peer,
		       rollouts_count_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const service_t *service = value;
		const rollout_t *rollout = service->rollout;
		GArray *sum;

		if (!rollout || rollout->state != ROLLOUT_RUNNING)
			continue;
		sum = rollout_counts_sum(rollout->counts, except_peer);
		each_row(service, sum, each, ctx);
		g_array_unref(sum);
	}
}

/*
 * Sets a peer's totals of a route and version. Counts of another roll-out than the running
 * one are ignored.
 */
void rollouts_record_peer(rollouts_t *rollouts, const char *peer,
			  const rollout_count_t *count)
{
	rollout_t *rollout = running_rollout(rollouts, count->service);

	if (!rollout || count->to_id != rollout->to_id)
		return;
	rollout_counts_of_peer(rollout->counts, peer, count->route)
		->sides[count->is_new ? ROLLOUT_NEW : ROLLOUT_OLD] = count->tally;
}

/* Forgets the totals of peers, as others will be used that include the same requests. */
void rollouts_clear_peers(rollouts_t *rollouts)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const service_t *service = value;

		if (service->rollout)
			rollout_counts_clear_peers(service->rollout->counts);
	}
}

/* Keeps the sums of the last two seconds; takes ownership of SUM. */
static void keep_snapshot(rollout_t *rollout, GArray *sum, pd_time_t now)
{
	if (now - rollout->snapshot_at < RECENT_PERIOD) {
		g_array_unref(sum);
		return;
	}
	rollout->snapshot_at = now;
	if (rollout->snapshots[RECENT_SNAPSHOTS - 1])
		g_array_unref(rollout->snapshots[RECENT_SNAPSHOTS - 1]);
	for (int i = RECENT_SNAPSHOTS - 1; i > 0; i--)
		rollout->snapshots[i] = rollout->snapshots[i - 1];
	rollout->snapshots[0] = sum;
}

/* Returns what was counted on one side of a row after an earlier state of it. */
static rollout_tally_t recent_tally(const rollout_row_t *row,
				    const rollout_row_t *earlier,
				    rollout_side_t side)
{
	rollout_tally_t tally = row->sides[side];

	rollout_tally_subtract(&tally, &earlier->sides[side]);
	return tally;
}

/*
 * Returns whether the new version is worse by a row's counts, or by those of the last two
 * seconds: one that turns bad later has many good answers before. The old version is taken
 * over the same time, as an outage may hit both.
 */
static bool row_is_worse(const rollout_t *rollout, const rollout_row_t *row)
{
	GArray *earlier_rows = rollout->snapshots[RECENT_SNAPSHOTS - 1];
	const rollout_row_t *earlier;
	rollout_tally_t recent_old;
	rollout_tally_t recent_new;

	if (rollout_judge_is_worse(&row->sides[ROLLOUT_OLD],
				   &row->sides[ROLLOUT_NEW]))
		return true;
	if (!earlier_rows)
		return false;
	earlier = rollout_rows_get(earlier_rows, row->route);
	recent_old = recent_tally(row, earlier, ROLLOUT_OLD);
	recent_new = recent_tally(row, earlier, ROLLOUT_NEW);
	if (recent_old.answers < RECENT_OLD_MIN)
		recent_old = row->sides[ROLLOUT_OLD];
	return rollout_judge_is_worse(&recent_old, &recent_new);
}

/* Judges the new version by each route, and by all together. */
static bool is_worse(const rollout_t *rollout, const GArray *rows)
{
	const rollout_tally_t old_total = rollout_rows_total(rows, ROLLOUT_OLD);
	const rollout_tally_t new_total = rollout_rows_total(rows, ROLLOUT_NEW);

	for (guint i = 0; i < rows->len; i++) {
		if (row_is_worse(rollout, &g_array_index(rows, rollout_row_t, i)))
			return true;
	}
	return rollout_judge_is_worse(&old_total, &new_total);
}

/* Sums the counts and judges them if that is due. Returns whether there is a new verdict. */
static bool judge(rollout_t *rollout, pd_time_t now)
{
	bool was_bad = rollout->bad;
	rollout_tally_t old_total;
	GArray *sum;

	if (now - rollout->judged_at < JUDGE_PERIOD)
		return false;
	rollout->judged_at = now;
	sum = rollout_counts_sum(rollout->counts, NULL);
	old_total = rollout_rows_total(sum, ROLLOUT_OLD);
	rollout->sent_new = rollout->restored_new +
			    rollout_rows_total(sum, ROLLOUT_NEW).sent;
	rollout->sent_all = rollout->restored_all + old_total.sent +
			    rollout_rows_total(sum, ROLLOUT_NEW).sent;
	rollout->bad |= is_worse(rollout, sum);
	g_clear_pointer(&rollout->latest, g_array_unref);
	rollout->latest = g_array_ref(sum);
	keep_snapshot(rollout, sum, now);
	return rollout->bad && !was_bad;
}

/* Returns how long requests at old upstreams need to end. */
static pd_time_t drain_time(const service_t *service)
{
	pd_time_t most =
		(pd_time_t)((double)service->rollout->period * DRAIN_PART_MAX);

	return CLAMP((pd_time_t)service->duration.value, MIN(DRAIN_MIN, most),
		     most);
}

/* Returns when the ramp is to begin. */
static pd_time_t commit_time(const service_t *service)
{
	const rollout_t *rollout = service->rollout;

	return rollout->ordered_at + rollout->period - WRITE_MARGIN -
	       drain_time(service) - 2 * RAMP_STEP_TIME;
}

/* Advances the step of a roll-out whose new version is not known to be bad. */
static bool advance(const service_t *service, const rollout_fleet_t *fleet,
		    pd_time_t now)
{
	rollout_t *rollout = service->rollout;
	pd_time_t from = MAX(rollout->step_at, rollout->new_served_at);
	pd_time_t least = rollout->step == ROLLOUT_CANARY ? CANARY_TIME_MIN
							  : RAMP_STEP_TIME;

	if (!fleet->new_serving || rollout->step == ROLLOUT_FULL ||
	    now < commit_time(service) || now - from < least)
		return false;
	return raise_step(rollout, rollout->step + 1, now);
}

/* Returns the status that the store should have by now. */
static rollout_state_t wanted_state(const rollout_t *rollout,
				    const rollout_fleet_t *fleet, pd_time_t now)
{
	pd_time_t deadline = rollout->ordered_at + rollout->period;
	bool is_idle = now - rollout->old_busy_at >= IDLE_TIME;

	if (rollout->bad)
		return ROLLOUT_ROLLED_BACK;
	if (!fleet->new_serving && now >= deadline)
		return ROLLOUT_ROLLED_BACK;
	if (rollout->step == ROLLOUT_FULL && fleet->new_serving &&
	    now - rollout->step_at >= IDLE_TIME &&
	    (is_idle || now >= deadline - WRITE_MARGIN))
		return ROLLOUT_COMPLETED;
	return ROLLOUT_RUNNING;
}

/*
 * Calls the hook to write the status that the store lacks: at once if it has changed, and
 * every WRITE_PERIOD until it is read back.
 */
static void write_state(const service_t *service, const rollouts_hooks_t *hooks,
			rollout_state_t state, pd_time_t now)
{
	rollout_t *rollout = service->rollout;
	const rollout_write_t write = { service->name, rollout->to,
					rollout->revision, state };

	if (state == ROLLOUT_RUNNING && rollout->has_status)
		return;
	if (state == rollout->written && now < rollout->next_write_at)
		return;
	rollout->written = state;
	rollout->next_write_at = now + WRITE_PERIOD;
	hooks->write(hooks->ctx, &write);
}

/* Performs the leader's part. Returns whether there is something to send. */
static bool lead(const service_t *service, const rollouts_hooks_t *hooks,
		 const rollout_fleet_t *fleet, pd_time_t now)
{
	rollout_t *rollout = service->rollout;
	bool is_news = false;

	if (!rollout->bad)
		is_news = advance(service, fleet, now);
	/* By the time, so that a new leader's numbers are higher. */
	if (now - rollout->heard_at >= HEARTBEAT_PERIOD || is_news) {
		rollout->heartbeat =
			MAX(rollout->heartbeat + 1, (uint64_t)(now / PD_MSEC));
		rollout->heard_at = now;
		is_news = true;
	}
	write_state(service, hooks, wanted_state(rollout, fleet, now), now);
	return is_news;
}

/* Updates since when old upstreams are idle, and new ones serve. */
static void update_fleet(rollout_t *rollout, const rollout_fleet_t *fleet,
			 pd_time_t now)
{
	if (fleet->old_running)
		rollout->old_busy_at = now;
	if (!fleet->new_serving)
		rollout->new_served_at = 0;
	else if (!rollout->new_served_at)
		rollout->new_served_at = now;
}

/* Runs one roll-out. Returns whether there is something to send. */
static bool run_rollout(const service_t *service, bool is_leader,
			const rollouts_hooks_t *hooks, pd_time_t now)
{
	rollout_t *rollout = service->rollout;
	rollout_fleet_t fleet =
		hooks->fleet(hooks->ctx, service->name, rollout->to_id);
	bool is_news;

	update_fleet(rollout, &fleet, now);
	is_news = judge(rollout, now);
	if (is_leader)
		is_news |= lead(service, hooks, &fleet, now);
	return is_news;
}

/*
 * Judges the new versions of running roll-outs, and on the leader advances their steps and
 * has their status written. Returns whether the reports have changed, so that they are to
 * be sent to other gateways.
 */
bool rollouts_run(rollouts_t *rollouts, bool is_leader,
		  const rollouts_hooks_t *hooks, pd_time_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool is_news = false;

	if (!rollouts_is_enabled(rollouts))
		return false;
	g_hash_table_iter_init(&iter, rollouts->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const service_t *service = value;

		if (service->rollout && service->rollout->state == ROLLOUT_RUNNING)
			is_news |= run_rollout(service, is_leader, hooks, now);
	}
	return is_news;
}
