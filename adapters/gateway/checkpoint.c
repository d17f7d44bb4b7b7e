/* Reads and writes the checkpoint, and collects its contents. */
#include "adapters/gateway/checkpoint.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/gateway/checkpoint_record.h"
#include "adapters/gateway/duties.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/request_flight.h"
#include "adapters/gateway/rollouts.h"
#include "adapters/gateway/sole_versions.h"
#include "adapters/gateway/stream_slices.h"
#include "adapters/gateway/usage_table.h"
#include "adapters/log_glib.h"
#include "core/forward/call_pacer.h"
#include "core/forward/object_writer.h"
#include "core/hash.h"
#include "platform/wire.h"

#define LOG_COMPONENT "checkpoint"
#define CALL_TIMEOUT_MS 1500
/* Bound on the age of bucket levels, see token-limits-notes.md. */
#define RECORD_PERIOD (280 * PD_MSEC)
/* Of the latest slice: streams that begin after its last write are lost in a kill of all. */
#define STREAMS_PERIOD (70 * PD_MSEC)
/* Upstreams whose speeds are in a record, so that it does not grow with the fleet. */
#define SPEEDS_RECORDED_MAX 64
/* Minimum time before an unanswered read is repeated. */
#define READ_PERIOD (100 * PD_MSEC)
/*
 * A process waits this long for the record before it serves without it, as the
 * store may reject this call while it answers others.
 */
#define RECOVERY_TIMEOUT PD_SEC
/* The recorded fleet size is used for this long after the start. */
#define FLEET_SIZE_MAX_AGE (60 * PD_SEC)
/* Minimum time between reads of the streams, and what each gateway adds to it. */
#define STREAMS_READ_PERIOD PD_SEC
#define STREAMS_READ_PERIOD_PER_GATEWAY (15 * PD_MSEC)
#define OBJECT_NAME_SIZE 16
/* A record that was written so long before the other one is out of date. */
#define OLDER_RECORD_MAX (5 * PD_SEC)

static const char *const slot_names[CHECKPOINT_SLOTS] = { "slot-0", "slot-1" };

typedef struct checkpoint_object checkpoint_object_t;

/* A write in flight. */
typedef struct write_call {
	checkpoint_object_t *object;
	unsigned int number;
} write_call_t;

/* One object of the checkpoint. */
struct checkpoint_object {
	gateway_checkpoint_t *checkpoint;
	wire_kind_t kind;
	char name[OBJECT_NAME_SIZE];
	object_writer_t *writer;
	write_call_t calls[CALL_PACER_IN_FLIGHT_MAX];
};

typedef struct reader reader_t;

/* A read in flight. */
typedef struct read_call {
	reader_t *reader;
	unsigned int number;
	pd_time_t started_at;
} read_call_t;

/* Reads all objects of a kind. */
struct reader {
	gateway_checkpoint_t *checkpoint;
	wire_kind_t kind;
	bool requested;
	pd_time_t requested_at;
	/* start of the latest read that was answered; 0: none */
	pd_time_t read_started_at;
	call_pacer_t *pacer;
	read_call_t calls[CALL_PACER_IN_FLIGHT_MAX];
	void (*handle_page)(gateway_checkpoint_t *checkpoint,
			    const wire_page_t *page);
};

struct gateway_checkpoint {
	gateway_t *gateway;
	pd_time_t first_write_at;
	/* the record was read, or RECOVERY_TIMEOUT has passed */
	bool recovery_ended;
	int slot; /* slot that this gateway writes; -1: none */
	unsigned int fleet_size; /* as read */
	char *leader; /* id of its VM, as last read or written; NULL: none */
	/* time of day, before this start; 0: unknown */
	pd_time_t previous_write_at;
	reader_t record_reader;
	reader_t counts_reader;
	reader_t streams_reader;
	checkpoint_object_t records[CHECKPOINT_SLOTS];
	checkpoint_object_t counts[CHECKPOINT_SLOTS];
	checkpoint_object_t streams[CHECKPOINT_SLOTS][STREAM_SLICES];
};

static void handle_records(gateway_checkpoint_t *checkpoint,
			   const wire_page_t *page);
static void handle_counts(gateway_checkpoint_t *checkpoint,
			  const wire_page_t *page);
static void handle_streams(gateway_checkpoint_t *checkpoint,
			   const wire_page_t *page);

/* Initializes a reader of the objects of one kind, without a request. */
static void reader_init(reader_t *reader, gateway_checkpoint_t *checkpoint,
			wire_kind_t kind)
{
	reader->checkpoint = checkpoint;
	reader->kind = kind;
	reader->pacer = call_pacer_create(READ_PERIOD);
	for (unsigned int i = 0; i < CALL_PACER_IN_FLIGHT_MAX; i++) {
		reader->calls[i].reader = reader;
		reader->calls[i].number = i;
	}
}

/* Initializes an object of the checkpoint, which is not written yet; copies NAME. */
static void object_init(checkpoint_object_t *object,
			gateway_checkpoint_t *checkpoint, wire_kind_t kind,
			const char *name)
{
	object->checkpoint = checkpoint;
	object->kind = kind;
	g_strlcpy(object->name, name, sizeof(object->name));
	object->writer = object_writer_create(RECORD_PERIOD);
	for (unsigned int i = 0; i < CALL_PACER_IN_FLIGHT_MAX; i++) {
		object->calls[i].object = object;
		object->calls[i].number = i;
	}
}

/* Initializes the objects of a slot. */
static void slot_init(gateway_checkpoint_t *checkpoint, unsigned int slot)
{
	object_init(&checkpoint->records[slot], checkpoint, WIRE_RECORDS,
		    slot_names[slot]);
	object_init(&checkpoint->counts[slot], checkpoint, WIRE_COUNTS,
		    slot_names[slot]);
	for (unsigned int i = 0; i < STREAM_SLICES; i++) {
		char name[OBJECT_NAME_SIZE];

		g_snprintf(name, sizeof(name), "%s-%u", slot_names[slot], i);
		object_init(&checkpoint->streams[slot][i], checkpoint,
			    WIRE_STREAMS, name);
	}
}

/*
 * Returns a checkpoint that begins by reading the record; the caller owns it.
 */
gateway_checkpoint_t *gateway_checkpoint_create(gateway_t *gateway)
{
	gateway_checkpoint_t *checkpoint = g_new0(gateway_checkpoint_t, 1);

	checkpoint->gateway = gateway;
	checkpoint->slot = -1;
	reader_init(&checkpoint->record_reader, checkpoint, WIRE_RECORDS);
	checkpoint->record_reader.handle_page = handle_records;
	checkpoint->record_reader.requested = true;
	reader_init(&checkpoint->counts_reader, checkpoint, WIRE_COUNTS);
	checkpoint->counts_reader.handle_page = handle_counts;
	reader_init(&checkpoint->streams_reader, checkpoint, WIRE_STREAMS);
	checkpoint->streams_reader.handle_page = handle_streams;
	for (unsigned int i = 0; i < CHECKPOINT_SLOTS; i++)
		slot_init(checkpoint, i);
	return checkpoint;
}

/* Returns whether the record was read or its timeout has passed. */
bool gateway_checkpoint_recovery_has_ended(const gateway_checkpoint_t *checkpoint,
					   pd_time_t now)
{
	return checkpoint->record_reader.read_started_at ||
	       checkpoint->recovery_ended ||
	       now - checkpoint->gateway->started_at > RECOVERY_TIMEOUT;
}

/*
 * Returns the fleet size before this start, or 0 once that is out of date.
 * Without it, gateways that all start at once would each assume a small fleet
 * until they have heard from each other, and use the share of several.
 */
unsigned int gateway_checkpoint_fleet_size(const gateway_checkpoint_t *checkpoint,
					   pd_time_t now)
{
	return now - checkpoint->gateway->started_at < FLEET_SIZE_MAX_AGE
		       ? checkpoint->fleet_size
		       : 0;
}

/* Requests a read. One that began before this call does not satisfy it. */
static void reader_request(reader_t *reader)
{
	reader->requested = true;
	reader->requested_at = gateway_now();
	call_pacer_reset(reader->pacer, reader->requested_at);
}

/* Requests the record again, to learn when it was written before this start. */
void gateway_checkpoint_request_record(gateway_checkpoint_t *checkpoint)
{
	reader_request(&checkpoint->record_reader);
}

/*
 * Returns the time of day of the last write before this start, or 0 if unknown.
 */
pd_time_t gateway_checkpoint_previous_write_at(const gateway_checkpoint_t *checkpoint)
{
	return checkpoint->previous_write_at;
}

/* Requests the usage counts, which are merged into the gateway's when read. */
void gateway_checkpoint_request_counts(gateway_checkpoint_t *checkpoint)
{
	reader_request(&checkpoint->counts_reader);
}

/*
 * Requests the versions that began streams, unless they were read lately. What is read
 * is added to those known.
 */
void gateway_checkpoint_request_streams(gateway_checkpoint_t *checkpoint)
{
	reader_t *reader = &checkpoint->streams_reader;
	pd_time_t period = MAX(STREAMS_READ_PERIOD,
			       (pd_time_t)gateway_count(checkpoint->gateway) *
				       STREAMS_READ_PERIOD_PER_GATEWAY);

	if (!reader->requested &&
	    (!reader->read_started_at ||
	     gateway_now() - reader->read_started_at >= period))
		reader_request(reader);
}

/* Returns whether requested versions of streams are still to be read. */
bool gateway_checkpoint_is_reading_streams(const gateway_checkpoint_t *checkpoint)
{
	return checkpoint->streams_reader.requested;
}

/* Returns when the latest answered read of the counts began; 0: none was. */
pd_time_t gateway_checkpoint_counts_read_at(const gateway_checkpoint_t *checkpoint)
{
	return checkpoint->counts_reader.read_started_at;
}

/*
 * Restores bucket levels. Only done at the start; later those of peers are
 * newer.
 */
static void restore_accounts(gateway_checkpoint_t *checkpoint,
			     const checkpoint_record_t *record)
{
	pd_time_t now = gateway_now();

	for (guint i = 0; i < record->accounts->len; i++) {
		const account_record_t *entry =
			&g_array_index(record->accounts, account_record_t, i);

		token_limits_restore(checkpoint->gateway->limits, entry->account,
				     entry->level, entry->demand, now);
	}
}

/*
 * Applies the recorded clock offsets. Which clocks are off cannot be determined
 * after a restart of all, as the gateways that knew it were killed.
 */
static void restore_clocks(gateway_checkpoint_t *checkpoint,
			   const checkpoint_record_t *record)
{
	gateway_t *gateway = checkpoint->gateway;

	for (guint i = 0; i < record->clocks->len; i++) {
		const clock_record_t *entry =
			&g_array_index(record->clocks, clock_record_t, i);
		bool own = !strcmp(entry->node, gateway->settings->node_id);

		time_vote_correct(gateway->vote, own ? NULL : entry->node,
				  entry->offset);
		if (own)
			log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
				 "clock corrected own_off_ms=%" PRId64,
				 entry->offset / PD_MSEC);
	}
}

/* Restores the roll-outs that ran, for what the store does not have of them. */
static void restore_rollouts(gateway_checkpoint_t *checkpoint,
			     const checkpoint_record_t *record)
{
	gateway_t *gateway = checkpoint->gateway;
	pd_time_t now = gateway_rollouts_now(gateway);

	for (guint i = 0; i < record->rollouts->len; i++) {
		const rollout_record_t *entry =
			&g_array_index(record->rollouts, rollout_record_t, i);

		rollouts_restore(gateway->rollouts, &entry->report,
				 entry->sent_new, entry->sent_all, now);
	}
}

/* Restores the speeds of upstreams. */
static void restore_speeds(gateway_checkpoint_t *checkpoint,
			   const checkpoint_record_t *record)
{
	for (guint i = 0; i < record->speeds->len; i++) {
		const speed_record_t *entry =
			&g_array_index(record->speeds, speed_record_t, i);

		forward_upstreams_restore_speed(checkpoint->gateway->upstreams,
						entry->short_id, entry->level);
	}
}

/* Returns the leader as it is logged, borrowed. */
static const char *leader_or_none(const char *leader)
{
	return leader ? leader : "none";
}

/* Stores a copy of the leader's VM id; NULL: none. */
static void set_leader(gateway_checkpoint_t *checkpoint, const char *leader)
{
	g_free(checkpoint->leader);
	checkpoint->leader = g_strdup(leader);
}

/*
 * Sets the time of the last write before this start. If gateways that started
 * since have overwritten that record, theirs has the time.
 */
static void set_previous_write_at(gateway_checkpoint_t *checkpoint,
				  const checkpoint_record_t *record)
{
	const gateway_t *gateway = checkpoint->gateway;
	pd_time_t start = time_vote_wall(gateway->vote, gateway->started_at);

	if (checkpoint->previous_write_at)
		return;
	if (record->written_at < start)
		checkpoint->previous_write_at = record->written_at;
	else if (record->previous_write_at < start)
		checkpoint->previous_write_at = record->previous_write_at;
}

/* Restores limits, clocks, fleet size and leadership from a record. */
static void restore_record(gateway_checkpoint_t *checkpoint,
			   const checkpoint_record_t *record, uint64_t revision)
{
	checkpoint->fleet_size = record->fleet_size;
	restore_accounts(checkpoint, record);
	restore_clocks(checkpoint, record);
	sole_versions_restore(checkpoint->gateway->sole_versions, record);
	restore_speeds(checkpoint, record);
	if (rollouts_is_enabled(checkpoint->gateway->rollouts))
		restore_rollouts(checkpoint, record);
	if (!g_strcmp0(record->leader, checkpoint->gateway->settings->node_id))
		gateway_duties_resume(checkpoint->gateway->duties);
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "restored revision=%" G_GUINT64_FORMAT
		 " gateways=%u accounts=%u clocks_off=%u leader=%s",
		 revision, record->fleet_size, record->accounts->len,
		 record->clocks->len, leader_or_none(record->leader));
}

/*
 * Handles a record. Only a gateway that has not served yet restores from it. Returns the
 * time of day at which it was written, 0 if that is unknown.
 */
static pd_time_t handle_record(gateway_checkpoint_t *checkpoint,
			       const char *text, uint64_t revision)
{
	pd_error_t err;
	checkpoint_record_t *record = checkpoint_record_parse(text, &err);
	pd_time_t written_at;

	if (!record) {
		log_error(LOG_COMPONENT, "record", &err);
		return 0;
	}
	set_previous_write_at(checkpoint, record);
	if (!checkpoint->leader)
		set_leader(checkpoint, record->leader);
	if (!checkpoint->recovery_ended)
		restore_record(checkpoint, record, revision);
	written_at = record->written_at;
	checkpoint_record_destroy(record);
	return written_at;
}

/*
 * Restores the only versions of a record that is not the newest, whose writer may have been
 * out of touch; a record that was written well before NEWEST_AT is out of date.
 */
static void handle_older_record(gateway_checkpoint_t *checkpoint,
				const char *text, pd_time_t newest_at)
{
	pd_error_t err;
	checkpoint_record_t *record = checkpoint_record_parse(text, &err);

	if (!record)
		log_error(LOG_COMPONENT, "record", &err);
	else if (!checkpoint->recovery_ended &&
		 newest_at - record->written_at <= OLDER_RECORD_MAX)
		sole_versions_restore(checkpoint->gateway->sole_versions, record);
	checkpoint_record_destroy(record);
}

/* Returns whether entry I of a page is a record of a gateway; all have a fleet size. */
static bool is_record(const wire_page_t *page, size_t i)
{
	char *text = wire_page_spec(page, i);
	pd_error_t err;
	checkpoint_record_t *record = text ? checkpoint_record_parse(text, &err)
					   : NULL;
	bool valid = record && record->fleet_size;

	checkpoint_record_destroy(record);
	g_free(text);
	return valid;
}

/* Handles a page of records: the most recently written one counts, and others' versions. */
static void handle_records(gateway_checkpoint_t *checkpoint, const wire_page_t *page)
{
	pd_time_t written_at = 0;
	uint64_t revision = 0;
	size_t newest = 0;
	char *text;

	for (size_t i = 0; i < wire_page_count(page); i++) {
		if (wire_page_object_revision(page, i) > revision &&
		    is_record(page, i)) {
			revision = wire_page_object_revision(page, i);
			newest = i;
		}
	}
	if (!wire_page_count(page) && !checkpoint->recovery_ended &&
	    !strcmp(checkpoint->gateway->settings->node_start, "first"))
		sole_versions_restore_first(checkpoint->gateway->sole_versions,
					    wire_page_revision(page));
	text = revision ? wire_page_spec(page, newest) : NULL;
	if (text)
		written_at = handle_record(checkpoint, text, revision);
	g_free(text);
	for (size_t i = 0; i < wire_page_count(page) && written_at; i++) {
		text = i != newest ? wire_page_spec(page, i) : NULL;
		if (text)
			handle_older_record(checkpoint, text, written_at);
		g_free(text);
	}
}

/* Merges the counts of one object; logs an error if they are malformed. */
static void merge_counts(gateway_checkpoint_t *checkpoint, const char *text)
{
	const gateway_t *gateway = checkpoint->gateway;
	pd_error_t err;

	if (usage_table_merge(text, gateway->usage, gateway->inflight, &err) < 0)
		log_error(LOG_COMPONENT, "counts", &err);
}

/* Merges a page of counts. */
static void handle_counts(gateway_checkpoint_t *checkpoint, const wire_page_t *page)
{
	for (size_t i = 0; i < wire_page_count(page); i++) {
		char *text = wire_page_spec(page, i);

		if (text)
			merge_counts(checkpoint, text);
		g_free(text);
	}
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "counts read objects=%zu more=%d",
		 wire_page_count(page), wire_page_has_more(page));
}

/* Merges one object with versions of streams; logs an error if it is malformed. */
static void merge_streams(gateway_checkpoint_t *checkpoint, const char *text)
{
	const gateway_t *gateway = checkpoint->gateway;
	pd_time_t now = gateway_now();
	pd_error_t err;

	if (stream_slice_merge(text, gateway->stream_journal, gateway->streams,
			       now, time_vote_wall(gateway->vote, now), &err) < 0)
		log_error(LOG_COMPONENT, "streams", &err);
}

/* Merges a page of versions of streams; all objects fit into one. */
static void handle_streams(gateway_checkpoint_t *checkpoint, const wire_page_t *page)
{
	for (size_t i = 0; i < wire_page_count(page); i++) {
		char *text = wire_page_spec(page, i);

		if (text)
			merge_streams(checkpoint, text);
		g_free(text);
	}
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "streams read objects=%zu",
		 wire_page_count(page));
}

/*
 * Handles the answer to a read. Returns false, with an error logged, if it has
 * no valid page.
 */
static bool reader_handle_reply(reader_t *reader, const http1_reply_t *reply)
{
	wire_page_t *page;
	pd_error_t err;

	/* The checkpoint was never written. */
	if (reply->status == 404)
		return true;
	if (reply->status != 200) {
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "read failed status=%d", reply->status);
		return false;
	}
	page = wire_page_parse(reply->body, reply->len, &err);
	if (!page) {
		log_error(LOG_COMPONENT, "read", &err);
		return false;
	}
	reader->handle_page(reader->checkpoint, page);
	wire_page_destroy(page);
	return true;
}

/* Ends a read. A reply is ignored if another one has satisfied the request. */
static void on_read_reply(void *ctx, const http1_reply_t *reply)
{
	const read_call_t *call = ctx;
	reader_t *reader = call->reader;
	call_end_t end = CALL_ANSWERED;

	if (!reader->requested) {
		end = reply->status ? CALL_ANSWERED : CALL_LOST;
	} else if (reader_handle_reply(reader, reply)) {
		reader->read_started_at =
			MAX(reader->read_started_at, call->started_at);
		reader->requested = reader->read_started_at < reader->requested_at;
	} else {
		end = reply->status ? CALL_REFUSED : CALL_LOST;
	}
	call_pacer_end(reader->pacer, call->number, end, gateway_now());
}

/* Sends a read if one is requested and due. */
static void reader_run(reader_t *reader, pd_time_t now)
{
	read_call_t *call;
	char *path;

	if (!reader->requested || !call_pacer_is_due(reader->pacer, now))
		return;
	call = &reader->calls[call_pacer_begin(reader->pacer, now)];
	call->started_at = now;
	path = wire_list_path(reader->kind, NULL);
	http1_client_call(reader->checkpoint->gateway->store,
			  &(http1_request_t){
				  .method = "GET",
				  .path = path,
				  .timeout_ms = CALL_TIMEOUT_MS,
				  .on_reply = on_read_reply,
				  .ctx = call,
			  });
	g_free(path);
}

/* Returns the outcome of a write by its HTTP status; 0: no answer. */
static write_end_t write_outcome(const http1_reply_t *reply)
{
	switch (reply->status) {
	case 200:
	case 201:
		return WRITE_DONE;
	case 409:
		return WRITE_CONFLICT;
	case 0:
		return WRITE_LOST;
	default:
		return WRITE_REFUSED;
	}
}

/* Handles what another gateway has written to an object. */
static void object_handle_conflict(checkpoint_object_t *object,
				   const char *text, uint64_t revision)
{
	switch (object->kind) {
	case WIRE_COUNTS:
		merge_counts(object->checkpoint, text);
		break;
	case WIRE_STREAMS:
		merge_streams(object->checkpoint, text);
		break;
	case WIRE_RECORDS:
		handle_record(object->checkpoint, text, revision);
		break;
	case WIRE_CONFIG:
	case WIRE_UPSTREAMS:
	case WIRE_LEASES:
	case WIRE_ROLLOUTS:
		break;
	}
}

/* Ends a write. After a conflict, what another gateway wrote is merged. */
static void on_write_reply(void *ctx, const http1_reply_t *reply)
{
	const write_call_t *call = ctx;
	checkpoint_object_t *object = call->object;
	write_end_t end = write_outcome(reply);
	uint64_t revision = 0;
	pd_error_t err;
	char *text = NULL;

	if (end == WRITE_DONE || end == WRITE_CONFLICT) {
		text = wire_record_parse(reply->body, reply->len, &revision, &err);
		if (!text)
			log_error(LOG_COMPONENT, object->name, &err);
	} else {
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "write=%s failed status=%d", object->name, reply->status);
	}
	/* The next write includes what another gateway wrote. */
	if (text && end == WRITE_CONFLICT)
		object_handle_conflict(object, text, revision);
	object_writer_end(object->writer, call->number, end, revision,
			  gateway_now());
	g_free(text);
}

/*
 * Returns the contents of an object, owned by the caller: records are stamped
 * with the current time.
 */
static char *object_spec(const checkpoint_object_t *object, const char *text,
			 pd_time_t now)
{
	const time_vote_t *vote = object->checkpoint->gateway->vote;

	if (object->kind != WIRE_RECORDS)
		return g_strdup(text);
	return checkpoint_record_stamp(text, time_vote_wall(vote, now));
}

/* Writes TEXT to an object, unless it equals what was last written. */
static void object_write(checkpoint_object_t *object, const char *text,
			 pd_time_t now)
{
	uint64_t revision = object_writer_revision(object->writer);
	uint64_t digest = hash_string(text);
	unsigned int number;
	char *spec;
	char *path;
	char *body;

	if (!object_writer_needs_write(object->writer, digest, now))
		return;
	number = object_writer_begin(object->writer, digest, now);
	path = wire_object_path(object->kind, revision ? object->name : NULL);
	spec = object_spec(object, text, now);
	body = wire_record_format(object->name, spec, revision);
	http1_client_call(object->checkpoint->gateway->store,
			  &(http1_request_t){
				  .method = revision ? "PUT" : "POST",
				  .path = path,
				  .body = body,
				  .timeout_ms = CALL_TIMEOUT_MS,
				  .on_reply = on_write_reply,
				  .ctx = &object->calls[number],
			  });
	g_free(spec);
	g_free(path);
	g_free(body);
}

typedef struct account_writer {
	const token_limits_t *limits;
	checkpoint_record_t *record;
	pd_time_t now;
} account_writer_t;

/* Adds the state of an account's limit to the record of CTX, an account_writer_t. */
static void add_account(void *ctx, const char *account, const token_use_t *use)
{
	const account_writer_t *writer = ctx;

	if (use->has_level)
		checkpoint_record_add_account(writer->record, account, use->level,
					      token_limits_demand(writer->limits,
								  account,
								  writer->now));
}

typedef struct clock_writer {
	checkpoint_record_t *record;
	const char *own_node;
} clock_writer_t;

/*
 * Adds a clock's offset to the record of CTX, a clock_writer_t; NODE NULL: the own
 * clock.
 */
static void add_clock(void *ctx, const char *node, pd_time_t offset)
{
	const clock_writer_t *writer = ctx;

	checkpoint_record_add_clock(writer->record,
				    node ? node : writer->own_node, offset);
}

/*
 * Sets the leader in a record and logs a change. Until the leader is known
 * after a start, the recorded one is kept, as all gateways may be killed again
 * before.
 */
static void add_leader(gateway_checkpoint_t *checkpoint, checkpoint_record_t *record)
{
	const char *leader = gateway_peers_leader_vm(checkpoint->gateway->peers);

	if (leader && g_strcmp0(leader, checkpoint->leader)) {
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "leader=%s before=%s",
			 leader, leader_or_none(checkpoint->leader));
		set_leader(checkpoint, leader);
	}
	record->leader = g_strdup(checkpoint->leader);
}

/* Adds a service with its only version to the record of CTX. */
static void add_version(void *ctx, const char *service, uint64_t version_id)
{
	checkpoint_record_add_version(ctx, service, version_id);
}

/* Adds the upstreams whose speeds differ most from the usual ones to a record. */
static void add_speeds(const gateway_t *gateway, checkpoint_record_t *record)
{
	unsigned int count = 0;

	for (int off = UPSTREAM_SPEED_LEVEL_MAX; off > 0; off--) {
		LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
			const forward_upstream_t *upstream =
				LIST_ENTRY(it, forward_upstream_t, node);

			if (ABS(upstream->speed.level) != off ||
			    !forward_upstream_is_serving(upstream))
				continue;
			if (count++ >= SPEEDS_RECORDED_MAX)
				return;
			checkpoint_record_add_speed(record,
						    forward_upstream_short_id(
							    upstream),
						    upstream->speed.level);
		}
	}
}

typedef struct rollout_writer {
	const rollouts_t *rollouts;
	checkpoint_record_t *record;
} rollout_writer_t;

/* Adds a roll-out that runs to the record of CTX, a rollout_writer_t. */
static void add_rollout(void *ctx, const rollout_report_t *report)
{
	const rollout_writer_t *writer = ctx;
	uint64_t sent_new;
	uint64_t sent_all;

	if (report->state != ROLLOUT_RUNNING)
		return;
	rollouts_sent(writer->rollouts, report->service, &sent_new, &sent_all);
	checkpoint_record_add_rollout(writer->record, report, sent_new, sent_all);
}

/* Returns the current record as JSON, owned by the caller. */
static char *create_record_text(gateway_checkpoint_t *checkpoint, pd_time_t now)
{
	gateway_t *gateway = checkpoint->gateway;
	checkpoint_record_t *record = checkpoint_record_create();
	account_writer_t accounts = { gateway->limits, record, now };
	clock_writer_t clocks = { record, gateway->settings->node_id };
	rollout_writer_t rollouts = { gateway->rollouts, record };
	char *text;

	record->fleet_size = gateway_count(gateway);
	record->previous_write_at = checkpoint->previous_write_at;
	add_leader(checkpoint, record);
	token_limits_each(gateway->limits, now, add_account, &accounts);
	time_vote_each_offset(gateway->vote, now, add_clock, &clocks);
	record->upstreams_revision =
		gateway_each_sole_version(gateway, add_version, record);
	rollouts_each(gateway->rollouts, add_rollout, &rollouts);
	add_speeds(gateway, record);
	text = checkpoint_record_format(record);
	checkpoint_record_destroy(record);
	return text;
}

/* Writes the slices of streams of a slot that have changed and are due. */
static void write_streams(gateway_checkpoint_t *checkpoint, int slot, pd_time_t now)
{
	const gateway_t *gateway = checkpoint->gateway;
	int64_t latest = time_vote_wall(gateway->vote, now) / STREAM_SLICE_LENGTH;

	for (unsigned int i = 0; i < STREAM_SLICES; i++) {
		checkpoint_object_t *object = &checkpoint->streams[slot][i];
		const stream_slice_t *slice =
			stream_journal_slice(gateway->stream_journal, i);
		char *text;

		object_writer_set_period(object->writer, slice->number == latest
								 ? STREAMS_PERIOD
								 : RECORD_PERIOD);
		if (!object_writer_is_due(object->writer, now))
			continue;
		text = stream_slice_encode(slice, gateway->streams, now);
		if (text)
			object_write(object, text, now);
		g_free(text);
	}
}

/* Writes the counts, the record and the streams of a slot that are due. */
static void write_slot(gateway_checkpoint_t *checkpoint, int slot, pd_time_t now)
{
	gateway_t *gateway = checkpoint->gateway;
	checkpoint_object_t *counts = &checkpoint->counts[slot];
	checkpoint_object_t *record = &checkpoint->records[slot];
	pd_time_t period =
		usage_write_period(gateway_window_length(gateway),
				   gateway_peers_counts_period(gateway->peers, now),
				   now - gateway->started_at);
	pd_time_t wall = time_vote_wall(gateway->vote, now);
	char *text;

	/*
	 * A write that began late must not make the writer miss its next turn.
	 */
	object_writer_set_period(counts->writer, period * 3 / 4);
	if (object_writer_is_due(counts->writer, now) &&
	    (usage_is_writer_turn(wall, period, slot) ||
	     !object_writer_is_regular(counts->writer))) {
		gateway_requests_update_snapshot(gateway);
		text = usage_table_encode(gateway->usage, gateway->inflight,
					  gateway_first_due_window(gateway));
		object_write(counts, text, now);
		g_free(text);
	}
	if (object_writer_is_due(record->writer, now)) {
		text = create_record_text(checkpoint, now);
		object_write(record, text, now);
		g_free(text);
	}
	write_streams(checkpoint, slot, now);
}

/*
 * Returns when this gateway may write first. Jitter keeps gateways that start
 * together from writing at once.
 */
static pd_time_t first_write_at(const gateway_checkpoint_t *checkpoint)
{
	const gateway_t *gateway = checkpoint->gateway;
	pd_time_t wait = usage_first_write_delay(gateway_count(gateway));

	return gateway->started_at + wait + gateway_jitter(gateway, wait);
}

/*
 * Sets the expected duration of writes to that of the first read, until some
 * writes are answered.
 */
static void set_expected_write_time(gateway_checkpoint_t *checkpoint)
{
	pd_time_t time = call_pacer_answer_time(checkpoint->record_reader.pacer);

	for (unsigned int i = 0; i < CHECKPOINT_SLOTS; i++) {
		object_writer_set_answer_time(checkpoint->records[i].writer, time);
		object_writer_set_answer_time(checkpoint->counts[i].writer, time);
		for (unsigned int j = 0; j < STREAM_SLICES; j++)
			object_writer_set_answer_time(checkpoint->streams[i][j].writer,
						      time);
	}
}

/*
 * Ends recovery once the record was read or its timeout has passed. Without
 * the record the use of limits is unknown: buckets start empty, as full ones
 * would grant all limits anew after each kill of all gateways.
 */
static void end_recovery(gateway_checkpoint_t *checkpoint, pd_time_t now)
{
	if (checkpoint->recovery_ended ||
	    !gateway_checkpoint_recovery_has_ended(checkpoint, now))
		return;
	checkpoint->recovery_ended = true;
	checkpoint->first_write_at = first_write_at(checkpoint);
	set_expected_write_time(checkpoint);
	if (checkpoint->record_reader.read_started_at)
		return;
	checkpoint->record_reader.requested = false;
	token_limits_begin_empty(checkpoint->gateway->limits);
	log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
		 "record not read within 1 s, limits start empty");
}

/* Runs due reads, and due writes if this gateway is a checkpoint writer. */
void gateway_checkpoint_run(gateway_checkpoint_t *checkpoint, pd_time_t now)
{
	int slot;

	end_recovery(checkpoint, now);
	reader_run(&checkpoint->record_reader, now);
	reader_run(&checkpoint->counts_reader, now);
	reader_run(&checkpoint->streams_reader, now);
	if (!checkpoint->recovery_ended || now < checkpoint->first_write_at)
		return;
	slot = gateway_peers_checkpoint_slot(checkpoint->gateway->peers, now);
	if (slot != checkpoint->slot)
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "slot=%d before=%d",
			 slot, checkpoint->slot);
	checkpoint->slot = slot;
	if (slot >= 0)
		write_slot(checkpoint, slot, now);
}
