/* The store calls of the checkpoint, and what goes into it. */
#include "adapters/gateway/checkpoint.h"

#include <string.h>

#include "adapters/gateway/checkpoint_record.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "platform/wire.h"

#define PART "checkpoint"
#define RECORD_NAME "fleet"
#define CALL_TIMEOUT_MS 1500
/*
 * How often the record is written while it changes; ticks make it 80 ms. What was
 * counted since the last write is lost when all gateways are killed, and a report
 * may be off by a twentieth of its window of some seconds, gossip included: with
 * 100 ms here and there, which ticks made 120, one window in some fifty kills was
 * off by 0.062 of its requests. Each write is paid for: twelve a second cost some
 * 0.007 of a day's worth, and a window lost costs 0.02.
 */
#define WRITE_PERIOD (70 * PD_MSEC)
/* All gateways may start at once, and know only then who goes first. */
#define FIRST_WRITE (150 * PD_MSEC)
#define FIRST_WRITE_SPREAD (150 * PD_MSEC)
/* The pause after a call that failed. */
#define RETRY_PAUSE (300 * PD_MSEC)
/*
 * A start waits so long for the record before it serves without it: the store may
 * turn this call away and serve the others.
 */
#define WAIT_MAX PD_SEC
/* Windows that are checkpointed: the one that runs and those not reported yet. */
#define WINDOWS_KEPT 3
/* So long after a start the fleet is taken to be as large as checkpointed. */
#define SIZE_KEPT (60 * PD_SEC)

struct gateway_checkpoint {
	gateway_t *gateway;
	pd_time_t started_at;
	bool settled; /* the wait for the first read is over */
	bool known; /* the object's revision, or that there is none */
	pd_time_t known_at; /* when that was learned last; 0: never */
	uint64_t revision; /* of the object; 0: there is none */
	bool keeps; /* goes first, as seen last */
	bool waiting; /* a call is out */
	pd_time_t next_at;
	char *sent; /* the text that is being written */
	char *written; /* the text that was written last; NULL: none */
	unsigned int gateways; /* as read */
};

/* Returns a checkpoint that will read the record first; the caller owns it. */
gateway_checkpoint_t *gateway_checkpoint_create(gateway_t *gateway)
{
	gateway_checkpoint_t *checkpoint = g_new0(gateway_checkpoint_t, 1);

	checkpoint->gateway = gateway;
	checkpoint->started_at = gateway_now();
	return checkpoint;
}

/* Says whether the record was read, or is not waited for any longer. */
bool gateway_checkpoint_is_settled(const gateway_checkpoint_t *checkpoint,
				   pd_time_t now)
{
	return checkpoint->known || checkpoint->settled ||
	       now - checkpoint->started_at > WAIT_MAX;
}

/*
 * Returns how many gateways there were before a start, 0 once that says nothing
 * any more. Until they have heard each other, gateways that all start at once
 * would each take themselves for one of a few and use the share of many.
 */
unsigned int gateway_checkpoint_gateways(const gateway_checkpoint_t *checkpoint,
					 pd_time_t now)
{
	return now - checkpoint->started_at < SIZE_KEPT ? checkpoint->gateways : 0;
}

/* Returns when the record was last read or written. */
pd_time_t gateway_checkpoint_known_at(const gateway_checkpoint_t *checkpoint)
{
	return checkpoint->known_at;
}

/* Has the record read again before it is written next. */
void gateway_checkpoint_read(gateway_checkpoint_t *checkpoint)
{
	checkpoint->known = false;
	checkpoint->next_at = 0;
}

/*
 * Says whether a record that was read is what was being written: its answer was
 * lost. Taken for another's, it would have what was counted here counted twice. It
 * names its writer: just after a start two gateways may count the same, and one that
 * took the other's record for its own lost what it had counted.
 */
static bool checkpoint_sent(const gateway_checkpoint_t *checkpoint,
			    const checkpoint_record_t *record)
{
	char *text = checkpoint_record_write(record);
	bool same = !g_strcmp0(text, checkpoint->sent);

	g_free(text);
	return same;
}

static void checkpoint_written(gateway_checkpoint_t *checkpoint)
{
	g_free(checkpoint->written);
	checkpoint->written = g_steal_pointer(&checkpoint->sent);
	usage_recorded(checkpoint->gateway->usage);
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

static void checkpoint_adopt(gateway_checkpoint_t *checkpoint, const char *text)
{
	pd_error_t err;
	checkpoint_record_t *record = checkpoint_record_read(text, &err);

	if (!record) {
		log_error(PART, RECORD_NAME, &err);
		return;
	}
	if (checkpoint_sent(checkpoint, record))
		checkpoint_written(checkpoint);
	else
		usage_adopt(checkpoint->gateway->usage, record->counts);
	checkpoint->gateways = record->gateways;
	restore_accounts(checkpoint, record);
	log_line(G_LOG_LEVEL_INFO, PART,
		 "taken revision=%" G_GUINT64_FORMAT
		 " gateways=%u accounts=%u counts=%u",
		 checkpoint->revision, record->gateways, record->accounts->len,
		 record->counts->len);
	checkpoint_record_destroy(record);
}

/* Takes the object of a reply; ADOPT says that others wrote it. */
static bool checkpoint_take(gateway_checkpoint_t *checkpoint,
			    const http1_reply_t *reply, bool adopt)
{
	uint64_t revision;
	pd_error_t err;
	char *text = wire_record_read(reply->body, reply->len, &revision, &err);

	if (!text) {
		log_error(PART, RECORD_NAME, &err);
		return false;
	}
	checkpoint->revision = revision;
	checkpoint->known = true;
	checkpoint->known_at = gateway_now();
	if (adopt)
		checkpoint_adopt(checkpoint, text);
	g_free(text);
	return true;
}

static void checkpoint_failed(gateway_checkpoint_t *checkpoint,
			      const char *what, int status)
{
	checkpoint->next_at = gateway_now() + RETRY_PAUSE;
	log_line(G_LOG_LEVEL_WARNING, PART, "%s failed status=%d", what, status);
}

/* Returns when a gateway that has just started may write. */
static pd_time_t first_write(const gateway_checkpoint_t *checkpoint)
{
	pd_time_t spread = (pd_time_t)(g_rand_double(checkpoint->gateway->random) *
				       (double)FIRST_WRITE_SPREAD);

	return checkpoint->started_at + FIRST_WRITE + spread;
}

static void read_replied(void *ctx, const http1_reply_t *reply)
{
	gateway_checkpoint_t *checkpoint = ctx;

	checkpoint->waiting = false;
	checkpoint->next_at = first_write(checkpoint);
	if (reply->status == 404) {
		checkpoint->known = true;
		checkpoint->known_at = gateway_now();
		checkpoint->revision = 0;
		return;
	}
	if (reply->status != 200 || !checkpoint_take(checkpoint, reply, true))
		checkpoint_failed(checkpoint, "read", reply->status);
}

static void write_replied(void *ctx, const http1_reply_t *reply)
{
	gateway_checkpoint_t *checkpoint = ctx;

	checkpoint->waiting = false;
	switch (reply->status) {
	case 200:
	case 201:
		checkpoint_written(checkpoint);
		checkpoint->known = checkpoint_take(checkpoint, reply, false);
		return;
	case 409:
		/* Somebody else wrote: its counts go into the next write. */
		checkpoint->known = checkpoint_take(checkpoint, reply, true);
		return;
	default:
		/* Whether it was done shows only by reading. */
		checkpoint->known = false;
		checkpoint_failed(checkpoint, "write", reply->status);
		return;
	}
}

static void checkpoint_call(gateway_checkpoint_t *checkpoint, const char *method,
			    const char *body, http1_replied_t on_reply)
{
	bool create = body && !checkpoint->revision;
	char *path = wire_object_path(WIRE_RECORDS, create ? NULL : RECORD_NAME);
	const http1_ask_t ask = {
		.method = method,
		.path = path,
		.body = body,
		.timeout_ms = CALL_TIMEOUT_MS,
		.on_reply = on_reply,
		.ctx = checkpoint,
	};

	checkpoint->waiting = true;
	http1_client_call(checkpoint->gateway->store, &ask);
	g_free(path);
}

static void add_count(void *ctx, const usage_entry_t *entry)
{
	checkpoint_record_count(ctx, entry->window, entry->account, entry->count);
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

/* Returns what is to be checkpointed now, owned by the caller. */
static char *checkpoint_compose(const gateway_checkpoint_t *checkpoint)
{
	gateway_t *gateway = checkpoint->gateway;
	checkpoint_record_t *record = checkpoint_record_create();
	account_writer_t accounts = { gateway->limits, record, gateway_now() };
	char *text;

	record->writer = g_strdup(gateway_peers_incarnation(gateway->peers));
	record->gateways = gateway_count(gateway);
	token_limits_each(gateway->limits, accounts.now, add_account, &accounts);
	usage_compose(gateway->usage, gateway_window(gateway) - WINDOWS_KEPT + 1,
		      add_count, record);
	text = checkpoint_record_write(record);
	checkpoint_record_destroy(record);
	return text;
}

static void checkpoint_write(gateway_checkpoint_t *checkpoint, pd_time_t now)
{
	char *text = checkpoint_compose(checkpoint);
	char *body;

	checkpoint->next_at = now + WRITE_PERIOD;
	if (!g_strcmp0(text, checkpoint->written)) {
		g_free(text);
		return;
	}
	g_free(checkpoint->sent);
	checkpoint->sent = text;
	body = wire_record_write(RECORD_NAME, text, checkpoint->revision);
	checkpoint_call(checkpoint, checkpoint->revision ? "PUT" : "POST", body,
			write_replied);
	g_free(body);
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
	if (checkpoint->known)
		return;
	token_limits_begin_empty(checkpoint->gateway->limits);
	log_line(G_LOG_LEVEL_WARNING, PART, "not read in time, limits start empty");
}

/* Reads the record at the start, and writes it if this gateway goes first. */
void gateway_checkpoint_run(gateway_checkpoint_t *checkpoint, pd_time_t now)
{
	bool keeps;

	end_wait(checkpoint, now);
	if (checkpoint->waiting || now < checkpoint->next_at)
		return;
	if (!checkpoint->known) {
		checkpoint_call(checkpoint, "GET", NULL, read_replied);
		return;
	}
	keeps = gateway_peers_writes_checkpoint(checkpoint->gateway->peers, now);
	if (keeps != checkpoint->keeps)
		log_line(G_LOG_LEVEL_INFO, PART,
			 "writer=%s revision=%" G_GUINT64_FORMAT,
			 keeps ? "self" : "other", checkpoint->revision);
	checkpoint->keeps = keeps;
	if (keeps || usage_owes(checkpoint->gateway->usage))
		checkpoint_write(checkpoint, now);
}
