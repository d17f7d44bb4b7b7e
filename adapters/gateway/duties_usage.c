/* The reports of usage. */
#include <inttypes.h>

#include "adapters/gateway/checkpoint.h"
#include "adapters/gateway/duties_state.h"
#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "core/forward/usage_gap.h"
#include "platform/wire.h"

#define PART "duties"
#define REPORT_RETRY (500 * PD_MSEC)
/* A report waits so long for the record at most. */
#define COUNTS_WAIT (700 * PD_MSEC)

static void report_replied(void *ctx, const http1_reply_t *reply)
{
	gateway_duties_t *duties = ctx;

	duties->reporting = false;
	log_line(G_LOG_LEVEL_INFO, PART, "usage window=%" PRId64 " status=%d",
		 duties->sent, reply->status);
	/* A report that is refused for what it says is not sent again. */
	if (reply->status >= 200 && reply->status < 500 && reply->status != 429)
		duties->reported = duties->sent;
	else
		duties->report_at = gateway_now() + REPORT_RETRY;
}

static void send_report(gateway_duties_t *duties, const duties_note_t *note)
{
	duties->reporting = true;
	duties->sent = note->window;
	duties_post(duties, wire_usage_path(), note->report, report_replied,
		    duties);
}

static void add_count(void *ctx, const char *account, uint64_t count)
{
	uint64_t *sum = g_hash_table_lookup(ctx, account);

	if (!sum) {
		sum = g_new0(uint64_t, 1);
		g_hash_table_insert(ctx, g_strdup(account), sum);
	}
	*sum += count;
}

typedef struct lost_sum {
	GHashTable *counts;
	uint64_t sum;
} lost_sum_t;

static void add_lost(void *ctx, const usage_entry_t *entry)
{
	lost_sum_t *lost = ctx;

	add_count(lost->counts, entry->account, entry->count);
	lost->sum += entry->count;
}

/* Adds the requests that were in flight in a window when their VMs lost power. */
static void add_all_lost(const gateway_duties_t *duties, int64_t window,
			 GHashTable *counts)
{
	const gateway_t *gateway = duties->gateway;
	lost_sum_t lost = { .counts = counts };

	usage_inflight_each_lost(gateway->inflight, gateway->usage, window,
				 add_lost, &lost);
	if (!lost.sum)
		return;
	log_line(G_LOG_LEVEL_INFO, PART,
		 "usage in_flight window=%" PRId64 " requests=%" PRIu64, window,
		 lost.sum);
	metrics_add(gateway->metrics, "gateway_usage_in_flight_total",
		    (double)lost.sum);
}

/*
 * Writes a window's report into the lease before it is sent, so that the next leader
 * repeats it with the same counts.
 */
static void note_report(gateway_duties_t *duties, int64_t window, pd_time_t now)
{
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	duties_note_t *note = duties_note_read(duties_noted_text(duties));
	char *report;
	char *text;

	usage_each_sum(duties->gateway->usage, window, add_count, counts);
	add_all_lost(duties, window, counts);
	report = wire_usage_write(window, counts);
	duties_note_set_report(note, window, report);
	duties_note_needs(duties, note);
	text = duties_note_write(note);
	lease_set_note(duties->lease, text, now);
	duties_note_destroy(note);
	g_free(text);
	g_free(report);
	g_hash_table_unref(counts);
}

/*
 * Has the checkpointed counts read before a report is made: its writers have those
 * of gateways that have died since. Returns whether there is no more to wait for.
 */
static bool has_counts(gateway_duties_t *duties, pd_time_t now)
{
	gateway_checkpoint_t *checkpoint = duties->gateway->checkpoint;

	if (!duties->counts_asked_at) {
		duties->counts_asked_at = now;
		gateway_checkpoint_read_counts(checkpoint);
	}
	return gateway_checkpoint_counts_read_at(checkpoint) >=
		       duties->counts_asked_at ||
	       now - duties->counts_asked_at > COUNTS_WAIT;
}

/*
 * Returns the window to report next. If no report was ever noted, as all gateways
 * were killed before the lease was taken, windows with counts may still be due.
 */
static int64_t next_window(const gateway_duties_t *duties,
			   const duties_note_t *note, int64_t ended)
{
	const gateway_t *gateway = duties->gateway;
	int64_t due = gateway_first_window_due(gateway);

	if (note->report)
		return MAX(note->window + 1, due);
	return usage_first_window(gateway->usage, due, ended);
}

/* Returns the last window that may be reported if its counts are COMPLETE. */
static int64_t last_window(const gateway_t *gateway, bool complete, pd_time_t now)
{
	pd_time_t due = gateway_report_due(gateway);
	pd_time_t wall = time_vote_wall(gateway->vote, now);

	return (wall - usage_report_delay(complete, due)) /
		       gateway_window_length(gateway) -
	       1;
}

/*
 * Logs and counts for how long a window's counts were not checkpointed before all
 * gateways were killed: what was counted then is lost.
 */
static void report_gap(const gateway_duties_t *duties, int64_t window, pd_time_t now)
{
	const gateway_t *gateway = duties->gateway;
	pd_time_t oldest = gateway_peers_oldest_start(gateway->peers, now);
	const usage_gap_t gap = {
		.from = gateway_checkpoint_written_at(gateway->checkpoint),
		.to = time_vote_wall(gateway->vote, oldest),
	};
	pd_time_t missing = usage_gap_in_window(&gap, window,
						gateway_window_length(gateway)) /
			    PD_MSEC;

	if (!missing)
		return;
	log_line(G_LOG_LEVEL_WARNING, PART,
		 "usage gap window=%" PRId64 " ms=%" PRId64 " from_ms=%" PRId64
		 " to_ms=%" PRId64,
		 window, missing, gap.from / PD_MSEC, gap.to / PD_MSEC);
	metrics_add(gateway->metrics, "gateway_usage_gap_ms_total",
		    (double)missing);
}

/* Logs and counts a report that is made though counts may be on their way. */
static void report_open(gateway_duties_t *duties, int64_t window,
			const usage_coverage_t *coverage)
{
	gateway_t *gateway = duties->gateway;

	log_line(G_LOG_LEVEL_WARNING, PART,
		 "usage open window=%" PRId64 " open=%" PRIu64
		 " counted=%" PRIu64,
		 window, coverage->open, coverage->counted);
	metrics_add(gateway->metrics, "gateway_usage_open_total", 1);
	usage_watermarks_give_up(gateway->watermarks, gateway->usage, window);
}

/*
 * Returns whether the report of a window may be made. It waits for gateways that have
 * counted in it and are cut off, and then for what they have told the writers.
 */
static bool may_report(gateway_duties_t *duties, int64_t window, pd_time_t now)
{
	const gateway_t *gateway = duties->gateway;
	usage_coverage_t coverage =
		usage_watermarks_coverage(gateway->watermarks, gateway->usage,
					  window);
	bool complete = usage_coverage_is_complete(&coverage);
	bool waits = !complete && window > last_window(gateway, false, now);

	if (waits != duties->counts_open) {
		duties->counts_open = waits;
		duties->counts_asked_at = 0;
		log_line(G_LOG_LEVEL_INFO, PART,
			 "usage waits=%d window=%" PRId64 " open=%" PRIu64
			 " counted=%" PRIu64,
			 waits, window, coverage.open, coverage.counted);
		return false;
	}
	if (!waits && !complete)
		report_open(duties, window, &coverage);
	return !waits;
}

/* Reports the next window that has ended, or repeats a report that was not taken. */
void duties_run_usage(gateway_duties_t *duties, pd_time_t now)
{
	int64_t ended = last_window(duties->gateway, true, now);
	int64_t window;
	const duties_note_t *note;

	if (duties->reporting || now < duties->report_at ||
	    !lease_is_settled(duties->lease, now))
		return;
	note = duties_noted(duties);
	if (note->report && duties->reported < note->window) {
		send_report(duties, note);
		return;
	}
	if ((note->report && note->window >= ended) || !has_counts(duties, now))
		return;
	window = next_window(duties, note, ended);
	if (!may_report(duties, window, now))
		return;
	duties->counts_asked_at = 0;
	report_gap(duties, window, now);
	note_report(duties, window, now);
}
