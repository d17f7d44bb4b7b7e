/* Converts checkpoint records to JSON and back. */
#include "adapters/gateway/checkpoint_record.h"

#include <stdlib.h>
#include <string.h>

#include "adapters/json.h"
#include "core/forward/upstream_speed.h"

/* Upper bound on a plausible fleet; larger numbers are errors. */
#define GATEWAYS_MAX 100000
/*
 * Coarse, as offsets change slightly all the time and each change would cause a
 * write of the record.
 */
#define CLOCK_OFFSET_UNIT (100 * PD_MSEC)
/*
 * A clock that is off by more is misconfigured, and an offset would not help.
 */
#define CLOCK_OFFSET_MAX (3600 * PD_SEC)

/* Frees what an account_record_t owns. */
static void account_clear(void *data)
{
	g_free(((account_record_t *)data)->account);
}

/* Frees what a clock_record_t owns. */
static void clock_clear(void *data)
{
	g_free(((clock_record_t *)data)->node);
}

/* Frees what a version_record_t owns. */
static void version_clear(void *data)
{
	g_free(((version_record_t *)data)->service);
}

/* Frees what a rollout_record_t owns. */
static void rollout_clear(void *data)
{
	rollout_record_t *entry = data;

	g_free((char *)entry->report.service);
	g_free((char *)entry->report.to);
}

/* Returns an empty record; the caller owns it. */
checkpoint_record_t *checkpoint_record_create(void)
{
	checkpoint_record_t *record = g_new0(checkpoint_record_t, 1);

	record->accounts = g_array_new(FALSE, TRUE, sizeof(account_record_t));
	g_array_set_clear_func(record->accounts, account_clear);
	record->clocks = g_array_new(FALSE, TRUE, sizeof(clock_record_t));
	g_array_set_clear_func(record->clocks, clock_clear);
	record->versions = g_array_new(FALSE, TRUE, sizeof(version_record_t));
	g_array_set_clear_func(record->versions, version_clear);
	record->rollouts = g_array_new(FALSE, TRUE, sizeof(rollout_record_t));
	g_array_set_clear_func(record->rollouts, rollout_clear);
	record->speeds = g_array_new(FALSE, TRUE, sizeof(speed_record_t));
	return record;
}

/* Frees a record, which may be NULL. */
void checkpoint_record_destroy(checkpoint_record_t *record)
{
	if (!record)
		return;
	g_free(record->leader);
	g_array_unref(record->accounts);
	g_array_unref(record->clocks);
	g_array_unref(record->versions);
	g_array_unref(record->rollouts);
	g_array_unref(record->speeds);
	g_free(record);
}

/* Adds an account. LEVEL is in tokens, DEMAND in tokens per second. */
void checkpoint_record_add_account(checkpoint_record_t *record,
				   const char *account, double level, double demand)
{
	const account_record_t entry = { g_strdup(account), level, demand };

	g_array_append_val(record->accounts, entry);
}

/* Adds a clock that is ahead of the fleet's time by OFFSET. */
void checkpoint_record_add_clock(checkpoint_record_t *record, const char *node,
				 pd_time_t offset)
{
	const clock_record_t entry = { g_strdup(node), offset };

	g_array_append_val(record->clocks, entry);
}

/* Adds a service of which only one version served lately. */
void checkpoint_record_add_version(checkpoint_record_t *record,
				   const char *service, uint64_t version_id)
{
	const version_record_t entry = { g_strdup(service), version_id };

	g_array_append_val(record->versions, entry);
}

/* Adds a roll-out, and the requests that the new version and all versions had. */
void checkpoint_record_add_rollout(checkpoint_record_t *record,
				   const rollout_report_t *report,
				   uint64_t sent_new, uint64_t sent_all)
{
	rollout_record_t entry = { *report, sent_new, sent_all };

	entry.report.service = g_strdup(report->service);
	entry.report.to = g_strdup(report->to);
	g_array_append_val(record->rollouts, entry);
}

/* Adds an upstream with the level of its speed. */
void checkpoint_record_add_speed(checkpoint_record_t *record, uint32_t short_id,
				 int level)
{
	const speed_record_t entry = { short_id, level };

	g_array_append_val(record->speeds, entry);
}

/* Returns a non-negative integer, or 0 for any other value. */
static uint64_t non_negative(const json_t *value)
{
	json_int_t number = json_integer_value(value);

	return number > 0 ? (uint64_t)number : 0;
}

/* Reads {account: [level, demand]}; invalid entries are skipped. */
static void read_accounts(checkpoint_record_t *record, json_t *accounts)
{
	const char *account;
	json_t *pair;

	json_object_foreach(accounts, account, pair)
	{
		const json_t *level = json_array_get(pair, 0);
		const json_t *demand = json_array_get(pair, 1);

		if (json_is_integer(level) && json_is_integer(demand))
			checkpoint_record_add_account(
				record, account, (double)json_integer_value(level),
				(double)non_negative(demand));
	}
}

/* Reads {node: offset in CLOCK_OFFSET_UNIT}; invalid offsets are skipped. */
static void read_clocks(checkpoint_record_t *record, json_t *clocks)
{
	const char *node;
	json_t *offset;

	json_object_foreach(clocks, node, offset)
	{
		json_int_t units = json_integer_value(offset);

		if (units && units > -CLOCK_OFFSET_MAX / CLOCK_OFFSET_UNIT &&
		    units < CLOCK_OFFSET_MAX / CLOCK_OFFSET_UNIT)
			checkpoint_record_add_clock(record, node,
						    units * CLOCK_OFFSET_UNIT);
	}
}

/* Reads {service: version id in hex}; invalid ids are skipped. */
static void read_versions(checkpoint_record_t *record, json_t *versions)
{
	const char *service;
	json_t *value;

	json_object_foreach(versions, service, value)
	{
		const char *text = json_string_value(value);
		uint64_t version_id = text ? g_ascii_strtoull(text, NULL, 16) : 0;

		if (version_id)
			checkpoint_record_add_version(record, service, version_id);
	}
}

/* Returns a time of day given in ms, or 0 for any other value. */
static pd_time_t read_time(const json_t *root, const char *key)
{
	return pd_time_from_ms(non_negative(json_object_get(root, key)));
}

/* Reads {short id in hex: level}; ids and levels that there are not are skipped. */
static void read_speeds(checkpoint_record_t *record, json_t *speeds)
{
	const char *short_id;
	json_t *level;

	json_object_foreach(speeds, short_id, level)
	{
		json_int_t value = json_integer_value(level);
		guint64 id;

		if (json_is_integer(level) && value >= -UPSTREAM_SPEED_LEVEL_MAX &&
		    value <= UPSTREAM_SPEED_LEVEL_MAX &&
		    g_ascii_string_to_unsigned(short_id, 16, 0, UINT32_MAX, &id,
					       NULL))
			checkpoint_record_add_speed(record, (uint32_t)id,
						    (int)value);
	}
}

/* Reads {service: {...}}; entries without a version, period or known step are skipped. */
static void read_rollouts(checkpoint_record_t *record, json_t *rollouts)
{
	const char *service;
	json_t *entry;

	json_object_foreach(rollouts, service, entry)
	{
		uint64_t step = non_negative(json_object_get(entry, "step"));
		const rollout_report_t report = {
			.service = service,
			.to = json_string_or(entry, "to", NULL),
			.revision = non_negative(
				json_object_get(entry, "revision")),
			.ordered_at = read_time(entry, "at"),
			.period = read_time(entry, "period"),
			.step = (rollout_step_t)step,
			.bad = json_is_true(json_object_get(entry, "bad")),
		};

		if (report.to && report.period > 0 &&
		    report.period <= ROLLOUT_PERIOD_MAX && step < ROLLOUT_STEPS)
			checkpoint_record_add_rollout(
				record, &report,
				non_negative(json_object_get(entry, "new")),
				non_negative(json_object_get(entry, "all")));
	}
}

/*
 * Parses a record. Returns it, owned by the caller, or NULL with ERR set if
 * TEXT is not JSON. Invalid fields are skipped, which leaves their values
 * unknown.
 */
checkpoint_record_t *checkpoint_record_parse(const char *text, pd_error_t *err)
{
	json_t *root = json_parse(text, strlen(text), err);
	checkpoint_record_t *record;

	if (!root)
		return NULL;
	record = checkpoint_record_create();
	record->fleet_size = (unsigned int)MIN(
		non_negative(json_object_get(root, "gateways")), GATEWAYS_MAX);
	record->leader = g_strdup(json_string_or(root, "leader", NULL));
	record->written_at = read_time(root, "at");
	record->previous_write_at = read_time(root, "before");
	read_accounts(record, json_object_get(root, "accounts"));
	read_clocks(record, json_object_get(root, "clocks"));
	read_versions(record, json_object_get(root, "versions"));
	record->upstreams_revision =
		non_negative(json_object_get(root, "versions_as_of"));
	read_rollouts(record, json_object_get(root, "rollouts"));
	read_speeds(record, json_object_get(root, "speeds"));
	json_decref(root);
	return record;
}

/* Returns the accounts as JSON, owned by the caller: name -> [level, demand]. */
static json_t *write_accounts(const checkpoint_record_t *record)
{
	json_t *accounts = json_object();

	for (guint i = 0; i < record->accounts->len; i++) {
		const account_record_t *entry =
			&g_array_index(record->accounts, account_record_t, i);

		json_object_set_new(accounts, entry->account,
				    json_pack("[I, I]", (json_int_t)entry->level,
					      (json_int_t)entry->demand));
	}
	return accounts;
}

/* Returns the clocks as JSON, owned by the caller: node -> offset. */
static json_t *write_clocks(const checkpoint_record_t *record)
{
	json_t *clocks = json_object();

	for (guint i = 0; i < record->clocks->len; i++) {
		const clock_record_t *entry =
			&g_array_index(record->clocks, clock_record_t, i);

		json_object_set_new(clocks, entry->node,
				    json_integer(entry->offset / CLOCK_OFFSET_UNIT));
	}
	return clocks;
}

/* Returns the versions as JSON, owned by the caller: service -> version id. */
static json_t *write_versions(const checkpoint_record_t *record)
{
	json_t *versions = json_object();

	for (guint i = 0; i < record->versions->len; i++) {
		const version_record_t *entry =
			&g_array_index(record->versions, version_record_t, i);
		char *text = g_strdup_printf("%" G_GINT64_MODIFIER "x",
					     entry->version_id);

		json_object_set_new(versions, entry->service, json_string(text));
		g_free(text);
	}
	return versions;
}

/* Returns the speeds as JSON, owned by the caller: short id -> level. */
static json_t *write_speeds(const checkpoint_record_t *record)
{
	json_t *speeds = json_object();
	char short_id[16];

	for (guint i = 0; i < record->speeds->len; i++) {
		const speed_record_t *entry =
			&g_array_index(record->speeds, speed_record_t, i);

		g_snprintf(short_id, sizeof(short_id), "%x", entry->short_id);
		json_object_set_new(speeds, short_id, json_integer(entry->level));
	}
	return speeds;
}

/* Returns the roll-outs as JSON, owned by the caller: by service. */
static json_t *write_rollouts(const checkpoint_record_t *record)
{
	json_t *rollouts = json_object();

	for (guint i = 0; i < record->rollouts->len; i++) {
		const rollout_record_t *entry =
			&g_array_index(record->rollouts, rollout_record_t, i);
		const rollout_report_t *report = &entry->report;

		json_object_set_new(
			rollouts, report->service,
			json_pack("{s:s, s:I, s:I, s:I, s:i, s:b, s:I, s:I}",
				  "to", report->to, "revision",
				  (json_int_t)report->revision, "at",
				  (json_int_t)(report->ordered_at / PD_MSEC),
				  "period", (json_int_t)(report->period / PD_MSEC),
				  "step", (int)report->step, "bad", report->bad,
				  "new", (json_int_t)entry->sent_new, "all",
				  (json_int_t)entry->sent_all));
	}
	return rollouts;
}

/*
 * Returns the record as JSON without the time of writing; the caller owns it.
 */
char *checkpoint_record_format(const checkpoint_record_t *record)
{
	json_t *root = json_pack("{s:i, s:o, s:o}", "gateways",
				 (int)record->fleet_size, "accounts",
				 write_accounts(record), "clocks",
				 write_clocks(record));
	char *text;
	char *copy;

	if (record->versions->len) {
		json_object_set_new(root, "versions", write_versions(record));
		json_object_set_new(
			root, "versions_as_of",
			json_integer((json_int_t)record->upstreams_revision));
	}
	if (record->speeds->len)
		json_object_set_new(root, "speeds", write_speeds(record));
	if (record->rollouts->len)
		json_object_set_new(root, "rollouts", write_rollouts(record));
	if (record->leader)
		json_object_set_new(root, "leader", json_string(record->leader));
	if (record->previous_write_at)
		json_object_set_new(root, "before",
				    json_integer(record->previous_write_at /
						 PD_MSEC));
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	copy = g_strdup(text);

	free(text);
	json_decref(root);
	return copy;
}

/*
 * Returns the JSON of a record with the time of writing added, owned by the
 * caller. It is added last because a new time alone is no reason to write.
 */
char *checkpoint_record_stamp(const char *text, pd_time_t at)
{
	return g_strdup_printf("{\"at\":%" G_GINT64_FORMAT ",%s", at / PD_MSEC,
			       text + 1);
}
