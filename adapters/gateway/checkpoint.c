/* The store calls of the checkpoint, and what goes into it. */
#include "adapters/gateway/checkpoint.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/gateway/checkpoint_record.h"
#include "adapters/gateway/duties.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/request_flight.h"
#include "adapters/gateway/usage_table.h"
#include "adapters/log_glib.h"
#include "core/forward/call_pacer.h"
#include "core/forward/object_writer.h"
#include "core/hash.h"
#include "platform/wire.h"

#define PART "checkpoint"
#define CALL_TIMEOUT_MS 1500
/* Levels of limits may be that old, see token-limits-notes.md. */
#define RECORD_PERIOD (280 * PD_MSEC)
/* How often a call for reading is repeated that was not answered. */
#define READ_PERIOD (100 * PD_MSEC)
/*
 * A start waits so long for the record before it serves without it: the store may
 * turn this call away and serve the others.
 */
#define WAIT_MAX PD_SEC
/* So long after a start the fleet is taken to be as large as in the record. */
#define SIZE_KEPT (60 * PD_SEC)

static const char *const slot_names[CHECKPOINT_SLOTS] = { "slot-0", "slot-1" };

typedef struct stored stored_t;

/* A write that is out. */
typedef struct stored_call {
	stored_t *stored;
	unsigned int number;
} stored_call_t;

/* One object of the checkpoint. */
struct stored {
	gateway_checkpoint_t *checkpoint;
	wire_kind_t kind;
	const char *name;
	object_writer_t *writer;
	stored_call_t calls[CALL_PACER_CALLS];
};

typedef struct reading reading_t;

/* A call for reading that is out. */
typedef struct reading_call {
	reading_t *reading;
	unsigned int number;
	pd_time_t begun_at;
} reading_call_t;

/* The reading of all objects of a kind. */
struct reading {
	gateway_checkpoint_t *checkpoint;
	wire_kind_t kind;
	bool wanted;
	pd_time_t wanted_at;
	pd_time_t read_at; /* when the call that was answered began; 0: never */
	call_pacer_t *pacer;
	reading_call_t calls[CALL_PACER_CALLS];
	void (*take)(gateway_checkpoint_t *checkpoint, const wire_page_t *page);
};

struct gateway_checkpoint {
	gateway_t *gateway;
	pd_time_t first_write_at;
	bool settled; /* the wait for the first read is over */
	int slot; /* that is written, as seen last; -1: none */
	unsigned int gateways; /* as read */
	char *leader; /* as read or written last; NULL: none was named */
	pd_time_t written_at; /* time of day, before this start; 0: unknown */
	reading_t record_reading;
	reading_t counts_reading;
	stored_t records[CHECKPOINT_SLOTS];
	stored_t counts[CHECKPOINT_SLOTS];
};

static void take_records(gateway_checkpoint_t *checkpoint, const wire_page_t *page);
static void take_counts(gateway_checkpoint_t *checkpoint, const wire_page_t *page);

static void reading_init(reading_t *reading, gateway_checkpoint_t *checkpoint,
			 wire_kind_t kind)
{
	reading->checkpoint = checkpoint;
	reading->kind = kind;
	reading->pacer = call_pacer_create(READ_PERIOD);
	for (unsigned int i = 0; i < CALL_PACER_CALLS; i++) {
		reading->calls[i].reading = reading;
		reading->calls[i].number = i;
	}
}

static void stored_init(stored_t *stored, gateway_checkpoint_t *checkpoint,
			wire_kind_t kind, unsigned int slot)
{
	stored->checkpoint = checkpoint;
	stored->kind = kind;
	stored->name = slot_names[slot];
	stored->writer = object_writer_create(RECORD_PERIOD);
	for (unsigned int i = 0; i < CALL_PACER_CALLS; i++) {
		stored->calls[i].stored = stored;
		stored->calls[i].number = i;
	}
}

/* Returns a checkpoint that is read first; the caller owns it. */
gateway_checkpoint_t *gateway_checkpoint_create(gateway_t *gateway)
{
	gateway_checkpoint_t *checkpoint = g_new0(gateway_checkpoint_t, 1);

	checkpoint->gateway = gateway;
	checkpoint->slot = -1;
	reading_init(&checkpoint->record_reading, checkpoint, WIRE_RECORDS);
	checkpoint->record_reading.take = take_records;
	checkpoint->record_reading.wanted = true;
	reading_init(&checkpoint->counts_reading, checkpoint, WIRE_COUNTS);
	checkpoint->counts_reading.take = take_counts;
	for (unsigned int i = 0; i < CHECKPOINT_SLOTS; i++) {
		stored_init(&checkpoint->records[i], checkpoint, WIRE_RECORDS, i);
		stored_init(&checkpoint->counts[i], checkpoint, WIRE_COUNTS, i);
	}
	return checkpoint;
}

/* Returns whether the record was read, or is not waited for any longer. */
bool gateway_checkpoint_is_settled(const gateway_checkpoint_t *checkpoint,
				   pd_time_t now)
{
	return checkpoint->record_reading.read_at || checkpoint->settled ||
	       now - checkpoint->gateway->started_at > WAIT_MAX;
}

/*
 * Returns how many gateways there were before a start, 0 once that says nothing
 * any more. Until they have heard each other, gateways that all start at once
 * would each take themselves for one of a few and use the share of many.
 */
unsigned int gateway_checkpoint_gateways(const gateway_checkpoint_t *checkpoint,
					 pd_time_t now)
{
	return now - checkpoint->gateway->started_at < SIZE_KEPT
		       ? checkpoint->gateways
		       : 0;
}

static void reading_want(reading_t *reading)
{
	reading->wanted = true;
	reading->wanted_at = gateway_now();
	call_pacer_renew(reading->pacer, reading->wanted_at);
}

/* Has the record read again for when it was written before this start. */
void gateway_checkpoint_read_record(gateway_checkpoint_t *checkpoint)
{
	reading_want(&checkpoint->record_reading);
}

/* Returns the time of day of the last write before this start; 0: it is not known. */
pd_time_t gateway_checkpoint_written_at(const gateway_checkpoint_t *checkpoint)
{
	return checkpoint->written_at;
}

/* Has the counts of usage read and merged. */
void gateway_checkpoint_read_counts(gateway_checkpoint_t *checkpoint)
{
	reading_want(&checkpoint->counts_reading);
}

/* Returns when the last call began that has read the counts; 0: none has. */
pd_time_t gateway_checkpoint_counts_read_at(const gateway_checkpoint_t *checkpoint)
{
	return checkpoint->counts_reading.read_at;
}

/* Levels are of use to a start only; later the peers' are newer. */
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
 * Corrects the clocks that were off: which of them are cannot be seen any more, as
 * the gateways that knew were killed.
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
			log_line(G_LOG_LEVEL_WARNING, PART,
				 "clock corrected own_off_ms=%" PRId64,
				 entry->offset / PD_MSEC);
	}
}

static const char *leader_text(const char *leader)
{
	return leader ? leader : "none";
}

/* Notes whom the record names as the leader, copied; NULL: nobody. */
static void note_leader(gateway_checkpoint_t *checkpoint, const char *leader)
{
	g_free(checkpoint->leader);
	checkpoint->leader = g_strdup(leader);
}

/*
 * Takes when the last record before this start was written. Others that have started
 * since may have written over it, and say in theirs when that was.
 */
static void note_written(gateway_checkpoint_t *checkpoint,
			 const checkpoint_record_t *record)
{
	const gateway_t *gateway = checkpoint->gateway;
	pd_time_t start = time_vote_wall(gateway->vote, gateway->started_at);

	if (checkpoint->written_at)
		return;
	if (record->written_at < start)
		checkpoint->written_at = record->written_at;
	else if (record->before < start)
		checkpoint->written_at = record->before;
}

static void restore_record(gateway_checkpoint_t *checkpoint,
			   const checkpoint_record_t *record, uint64_t revision)
{
	checkpoint->gateways = record->gateways;
	restore_accounts(checkpoint, record);
	restore_clocks(checkpoint, record);
	if (!g_strcmp0(record->leader, checkpoint->gateway->settings->node_id))
		gateway_duties_resume(checkpoint->gateway->duties);
	log_line(G_LOG_LEVEL_INFO, PART,
		 "restored revision=%" G_GUINT64_FORMAT
		 " gateways=%u accounts=%u clocks_off=%u leader=%s",
		 revision, record->gateways, record->accounts->len,
		 record->clocks->len, leader_text(record->leader));
}

/* Takes a record; only a start that has not served yet restores from it. */
static void take_record(gateway_checkpoint_t *checkpoint, const char *text,
			uint64_t revision)
{
	pd_error_t err;
	checkpoint_record_t *record = checkpoint_record_read(text, &err);

	if (!record) {
		log_error(PART, "record", &err);
		return;
	}
	note_written(checkpoint, record);
	if (!checkpoint->leader)
		note_leader(checkpoint, record->leader);
	if (!checkpoint->settled)
		restore_record(checkpoint, record, revision);
	checkpoint_record_destroy(record);
}

/* Takes the record that was written last. */
static void take_records(gateway_checkpoint_t *checkpoint, const wire_page_t *page)
{
	uint64_t revision = 0;
	size_t newest = 0;
	char *text;

	for (size_t i = 0; i < wire_page_count(page); i++) {
		if (wire_page_object_revision(page, i) > revision) {
			revision = wire_page_object_revision(page, i);
			newest = i;
		}
	}
	text = revision ? wire_page_spec(page, newest) : NULL;
	if (text)
		take_record(checkpoint, text, revision);
	g_free(text);
}

static void merge_counts(gateway_checkpoint_t *checkpoint, const char *text)
{
	const gateway_t *gateway = checkpoint->gateway;
	pd_error_t err;

	if (usage_table_merge(text, gateway->usage, gateway->inflight, &err) < 0)
		log_error(PART, "counts", &err);
}

static void take_counts(gateway_checkpoint_t *checkpoint, const wire_page_t *page)
{
	for (size_t i = 0; i < wire_page_count(page); i++) {
		char *text = wire_page_spec(page, i);

		if (text)
			merge_counts(checkpoint, text);
		g_free(text);
	}
	log_line(G_LOG_LEVEL_INFO, PART, "counts read objects=%zu more=%d",
		 wire_page_count(page), wire_page_has_more(page));
}

static bool reading_take(reading_t *reading, const http1_reply_t *reply)
{
	wire_page_t *page;
	pd_error_t err;

	/* Nothing was ever written. */
	if (reply->status == 404)
		return true;
	if (reply->status != 200) {
		log_line(G_LOG_LEVEL_WARNING, PART, "read failed status=%d",
			 reply->status);
		return false;
	}
	page = wire_page_read(reply->body, reply->len, &err);
	if (!page) {
		log_error(PART, "read", &err);
		return false;
	}
	reading->take(reading->checkpoint, page);
	wire_page_destroy(page);
	return true;
}

static void read_replied(void *ctx, const http1_reply_t *reply)
{
	const reading_call_t *call = ctx;
	reading_t *reading = call->reading;
	call_end_t end = CALL_ANSWERED;

	if (!reading->wanted) {
		end = reply->status ? CALL_ANSWERED : CALL_LOST;
	} else if (reading_take(reading, reply)) {
		reading->read_at = MAX(reading->read_at, call->begun_at);
		reading->wanted = reading->read_at < reading->wanted_at;
	} else {
		end = reply->status ? CALL_REFUSED : CALL_LOST;
	}
	call_pacer_end(reading->pacer, call->number, end, gateway_now());
}

static void reading_run(reading_t *reading, pd_time_t now)
{
	reading_call_t *call;
	char *path;

	if (!reading->wanted || !call_pacer_is_due(reading->pacer, now))
		return;
	call = &reading->calls[call_pacer_begin(reading->pacer, now)];
	call->begun_at = now;
	path = wire_list_path(reading->kind, NULL);
	http1_client_call(reading->checkpoint->gateway->store,
			  &(http1_ask_t){
				  .method = "GET",
				  .path = path,
				  .timeout_ms = CALL_TIMEOUT_MS,
				  .on_reply = read_replied,
				  .ctx = call,
			  });
	g_free(path);
}

static write_end_t write_end_of(const http1_reply_t *reply)
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

static void write_replied(void *ctx, const http1_reply_t *reply)
{
	const stored_call_t *call = ctx;
	stored_t *stored = call->stored;
	write_end_t end = write_end_of(reply);
	uint64_t revision = 0;
	pd_error_t err;
	char *text = NULL;

	if (end == WRITE_DONE || end == WRITE_CONFLICT) {
		text = wire_record_read(reply->body, reply->len, &revision, &err);
		if (!text)
			log_error(PART, stored->name, &err);
	} else {
		log_line(G_LOG_LEVEL_WARNING, PART, "write=%s failed status=%d",
			 stored->name, reply->status);
	}
	/* What another gateway wrote goes into the next write. */
	if (text && end == WRITE_CONFLICT && stored->kind == WIRE_COUNTS)
		merge_counts(stored->checkpoint, text);
	else if (text && end == WRITE_CONFLICT)
		take_record(stored->checkpoint, text, revision);
	object_writer_end(stored->writer, call->number, end, revision,
			  gateway_now());
	g_free(text);
}

/* Returns what an object is to hold, owned by the caller. */
static char *stored_text(const stored_t *stored, const char *text, pd_time_t now)
{
	const time_vote_t *vote = stored->checkpoint->gateway->vote;

	if (stored->kind != WIRE_RECORDS)
		return g_strdup(text);
	return checkpoint_record_stamp(text, time_vote_wall(vote, now));
}

static void stored_write(stored_t *stored, const char *text, pd_time_t now)
{
	uint64_t revision = object_writer_revision(stored->writer);
	uint64_t digest = hash_string(text);
	unsigned int number;
	char *spec;
	char *path;
	char *body;

	if (!object_writer_needs(stored->writer, digest, now))
		return;
	number = object_writer_begin(stored->writer, digest, now);
	path = wire_object_path(stored->kind, revision ? stored->name : NULL);
	spec = stored_text(stored, text, now);
	body = wire_record_write(stored->name, spec, revision);
	http1_client_call(stored->checkpoint->gateway->store,
			  &(http1_ask_t){
				  .method = revision ? "PUT" : "POST",
				  .path = path,
				  .body = body,
				  .timeout_ms = CALL_TIMEOUT_MS,
				  .on_reply = write_replied,
				  .ctx = &stored->calls[number],
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

static void add_account(void *ctx, const char *account, const token_use_t *use)
{
	const account_writer_t *writer = ctx;

	if (use->has_level)
		checkpoint_record_account(writer->record, account, use->level,
					  token_limits_demand(writer->limits, account,
							      writer->now));
}

typedef struct clock_writer {
	checkpoint_record_t *record;
	const char *own_node;
} clock_writer_t;

static void add_clock(void *ctx, const char *who, pd_time_t offset)
{
	const clock_writer_t *writer = ctx;

	checkpoint_record_clock(writer->record, who ? who : writer->own_node,
				offset);
}

/*
 * Names the leader in a record, and logs when that is another one. Until a start has
 * heard who leads, it names whom the record did: all gateways may be killed before.
 */
static void add_leader(gateway_checkpoint_t *checkpoint, checkpoint_record_t *record)
{
	const char *leader = gateway_peers_leader(checkpoint->gateway->peers);

	if (leader && g_strcmp0(leader, checkpoint->leader)) {
		log_line(G_LOG_LEVEL_INFO, PART, "leader=%s before=%s", leader,
			 leader_text(checkpoint->leader));
		note_leader(checkpoint, leader);
	}
	record->leader = g_strdup(checkpoint->leader);
}

/* Returns the record as of now, owned by the caller. */
static char *compose_record(gateway_checkpoint_t *checkpoint, pd_time_t now)
{
	gateway_t *gateway = checkpoint->gateway;
	checkpoint_record_t *record = checkpoint_record_create();
	account_writer_t accounts = { gateway->limits, record, now };
	clock_writer_t clocks = { record, gateway->settings->node_id };
	char *text;

	record->gateways = gateway_count(gateway);
	record->before = checkpoint->written_at;
	add_leader(checkpoint, record);
	token_limits_each(gateway->limits, now, add_account, &accounts);
	time_vote_each_offset(gateway->vote, now, add_clock, &clocks);
	text = checkpoint_record_write(record);
	checkpoint_record_destroy(record);
	return text;
}

static void write_slot(gateway_checkpoint_t *checkpoint, int slot, pd_time_t now)
{
	gateway_t *gateway = checkpoint->gateway;
	stored_t *counts = &checkpoint->counts[slot];
	stored_t *record = &checkpoint->records[slot];
	pd_time_t period =
		usage_write_period(gateway_window_length(gateway),
				   gateway_peers_counts_period(gateway->peers, now),
				   now - gateway->started_at);
	pd_time_t wall = time_vote_wall(gateway->vote, now);
	char *text;

	/* A turn that was begun late must not cost the next one. */
	object_writer_set_period(counts->writer, period * 3 / 4);
	if (object_writer_is_due(counts->writer, now) &&
	    (usage_is_writer_turn(wall, period, slot) ||
	     !object_writer_is_regular(counts->writer))) {
		gateway_requests_note_flight(gateway);
		text = usage_table_write(gateway->usage, gateway->inflight,
					 gateway_first_window_due(gateway));
		stored_write(counts, text, now);
		g_free(text);
	}
	if (object_writer_is_due(record->writer, now)) {
		text = compose_record(checkpoint, now);
		stored_write(record, text, now);
		g_free(text);
	}
}

/* Returns when this gateway may write first, at random so that all don't at once. */
static pd_time_t first_write_at(const gateway_checkpoint_t *checkpoint)
{
	const gateway_t *gateway = checkpoint->gateway;
	pd_time_t wait = usage_first_write_delay(gateway_count(gateway));

	return gateway->started_at + wait + gateway_jitter(gateway, wait);
}

/* Has writes take as long as the first read did, until some were answered. */
static void expect_answers(gateway_checkpoint_t *checkpoint)
{
	pd_time_t time = call_pacer_answer_time(checkpoint->record_reading.pacer);

	for (unsigned int i = 0; i < CHECKPOINT_SLOTS; i++) {
		object_writer_expect(checkpoint->records[i].writer, time);
		object_writer_expect(checkpoint->counts[i].writer, time);
	}
}

/*
 * Ends the wait of a start for the record. What accounts have used is not known
 * then; taken for nothing, each kill of all would grant their limits once more.
 */
static void end_wait(gateway_checkpoint_t *checkpoint, pd_time_t now)
{
	if (checkpoint->settled || !gateway_checkpoint_is_settled(checkpoint, now))
		return;
	checkpoint->settled = true;
	checkpoint->first_write_at = first_write_at(checkpoint);
	expect_answers(checkpoint);
	if (checkpoint->record_reading.read_at)
		return;
	checkpoint->record_reading.wanted = false;
	token_limits_begin_empty(checkpoint->gateway->limits);
	log_line(G_LOG_LEVEL_WARNING, PART, "not read in time, limits start empty");
}

/* Reads what is asked for, and writes if this gateway is a writer. */
void gateway_checkpoint_run(gateway_checkpoint_t *checkpoint, pd_time_t now)
{
	int slot;

	end_wait(checkpoint, now);
	reading_run(&checkpoint->record_reading, now);
	reading_run(&checkpoint->counts_reading, now);
	if (!checkpoint->settled || now < checkpoint->first_write_at)
		return;
	slot = gateway_peers_checkpoint_slot(checkpoint->gateway->peers, now);
	if (slot != checkpoint->slot)
		log_line(G_LOG_LEVEL_INFO, PART, "slot=%d before=%d", slot,
			 checkpoint->slot);
	checkpoint->slot = slot;
	if (slot >= 0)
		write_slot(checkpoint, slot, now);
}
