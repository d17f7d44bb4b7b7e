/* Reports the usage of each window to the platform. */
#include <inttypes.h>

#include "adapters/gateway/checkpoint.h"
#include "adapters/gateway/duties_state.h"
#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "core/forward/usage_gap.h"
#include "platform/wire.h"

#define LOG_COMPONENT "duties"
#define REPORT_RETRY (500 * PD_MSEC)
/* How long a report waits at most for the checkpointed counts. */
#define COUNTS_TIMEOUT (700 * PD_MSEC)

/* Records that the platform accepted the report, or schedules a retry. */
static void on_report_reply(void *ctx, const http1_reply_t *reply)
{
	gateway_duties_t *duties = ctx;

	duties->report_in_flight = false;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "usage window=%" PRId64 " status=%d", duties->sent_window,
		 reply->status);
	/* A report that is rejected for its content is not sent again. */
	if (reply->status >= 200 && reply->status < 500 && reply->status != 429)
		duties->reported_window = duties->sent_window;
	else
		duties->report_at = gateway_now() + REPORT_RETRY;
}

/* Sends the report of the lease's note. */
static void send_report(gateway_duties_t *duties, const duties_note_t *note)
{
	duties->report_in_flight = true;
	duties->sent_window = note->window;
	duties_post(duties, wire_usage_path(), note->report, on_report_reply,
		    duties);
}

/* Adds COUNT to the sum of an account; CTX: account -> uint64_t. */
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

/* Adds requests of one account that were lost in flight to CTX, a lost_sum_t. */
static void add_lost(void *ctx, const usage_entry_t *entry)
{
	lost_sum_t *lost = ctx;

	add_count(lost->counts, entry->account, entry->count);
	lost->sum += entry->count;
}

/*
 * Adds the requests to COUNTS that were in flight in a window when their VMs lost power:
 * upstreams run them all the same.
 */
static void add_all_lost(const gateway_duties_t *duties, int64_t window,
			 GHashTable *counts)
{
	const gateway_t *gateway = duties->gateway;
	lost_sum_t lost = { .counts = counts };

	usage_inflight_each_lost(gateway->inflight, gateway->usage, window,
				 add_lost, &lost);
	if (!lost.sum)
		return;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "usage in_flight window=%" PRId64 " requests=%" PRIu64, window,
		 lost.sum);
	metrics_add(gateway->metrics, "gateway_usage_in_flight_total",
		    (double)lost.sum);
}

/*
 * Writes the report of a window into the lease's record before it is sent, so that the
 * next leader would repeat it with the same counts.
 */
static void save_report(gateway_duties_t *duties, int64_t window, pd_time_t now)
{
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	duties_note_t *note = duties_note_parse(duties_lease_note_text(duties));
	char *report;
	char *text;

	usage_each_sum(duties->gateway->usage, window, add_count, counts);
	add_all_lost(duties, window, counts);
	report = wire_usage_format(window, counts);
	duties_note_set_report(note, window, report);
	duties_add_needs(duties, note);
	text = duties_note_format(note);
	lease_set_note(duties->lease, text, now);
	duties_note_destroy(note);
	g_free(text);
	g_free(report);
	g_hash_table_unref(counts);
}

/*
 * Requests the checkpointed counts before a report is made, as they include those of
 * gateways that have died since. Returns whether they were read or COUNTS_TIMEOUT is
 * over.
 */
static bool are_counts_read(gateway_duties_t *duties, pd_time_t now)
{
	gateway_checkpoint_t *checkpoint = duties->gateway->checkpoint;

	if (!duties->counts_requested_at) {
		duties->counts_requested_at = now;
		gateway_checkpoint_request_counts(checkpoint);
	}
	return gateway_checkpoint_counts_read_at(checkpoint) >=
		       duties->counts_requested_at ||
	       now - duties->counts_requested_at > COUNTS_TIMEOUT;
}

/*
 * Returns the window to report next. If the lease has no report, as all gateways were
 * killed before the lease was acquired, windows with counts may still be due.
 */
static int64_t next_window(const gateway_duties_t *duties,
			   const duties_note_t *note, int64_t ended)
{
	const gateway_t *gateway = duties->gateway;
	int64_t due = gateway_first_due_window(gateway);

	if (note->report)
		return MAX(note->window + 1, due);
	return usage_first_window(gateway->usage, due, ended);
}

/* Returns the last window that may be reported now; COMPLETE: its counts are. */
static int64_t last_window(const gateway_t *gateway, bool complete, pd_time_t now)
{
	pd_time_t due = gateway_report_delay_max(gateway);
	pd_time_t wall = time_vote_wall(gateway->vote, now);

	return (wall - usage_report_delay(complete, due)) /
		       gateway_window_length(gateway) -
	       1;
}

/*
 * Logs the part of a window, in ms, that was not checkpointed before all gateways were
 * killed, and adds it to a metric: counts of that time are lost.
 */
static void log_usage_gap(const gateway_duties_t *duties, int64_t window,
			  pd_time_t now)
{
	const gateway_t *gateway = duties->gateway;
	pd_time_t oldest = gateway_peers_oldest_start(gateway->peers, now);
	const usage_gap_t gap = {
		.from = gateway_checkpoint_previous_write_at(gateway->checkpoint),
		.to = time_vote_wall(gateway->vote, oldest),
	};
	pd_time_t missing = usage_gap_in_window(&gap, window,
						gateway_window_length(gateway)) /
			    PD_MSEC;

	if (!missing)
		return;
	log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
		 "usage gap window=%" PRId64 " ms=%" PRId64 " from_ms=%" PRId64
		 " to_ms=%" PRId64,
		 window, missing, gap.from / PD_MSEC, gap.to / PD_MSEC);
	metrics_add(gateway->metrics, "gateway_usage_gap_ms_total",
		    (double)missing);
}

/*
 * Logs and counts a report that is made with incomplete counts, and waits no longer for
 * the missing ones.
 */
static void give_up_open_counts(gateway_duties_t *duties, int64_t window,
				const usage_coverage_t *coverage)
{
	gateway_t *gateway = duties->gateway;

	log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
		 "usage open window=%" PRId64 " open=%" PRIu64
		 " counted=%" PRIu64,
		 window, coverage->open, coverage->counted);
	metrics_add(gateway->metrics, "gateway_usage_open_total", 1);
	usage_watermarks_give_up(gateway->watermarks, gateway->usage, window);
}

/*
 * Returns whether the report of a window may be made. It waits for gateways that have
 * counted in the window and are out of contact, and then for the counts that they have
 * sent to the checkpoint's writers.
 */
static bool is_report_due(gateway_duties_t *duties, int64_t window, pd_time_t now)
{
	const gateway_t *gateway = duties->gateway;
	usage_coverage_t coverage =
		usage_watermarks_coverage(gateway->watermarks, gateway->usage,
					  window);
	bool complete = usage_coverage_is_complete(&coverage);
	bool waits = !complete && window > last_window(gateway, false, now);

	if (waits != duties->waiting_for_counts) {
		duties->waiting_for_counts = waits;
		duties->counts_requested_at = 0;
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
			 "usage waits=%d window=%" PRId64 " open=%" PRIu64
			 " counted=%" PRIu64,
			 waits, window, coverage.open, coverage.counted);
		return false;
	}
	if (!waits && !complete)
		give_up_open_counts(duties, window, &coverage);
	return !waits;
}

/* Reports the next window that has ended, or repeats a report that was not accepted. */
void duties_run_usage(gateway_duties_t *duties, pd_time_t now)
{
	int64_t ended = last_window(duties->gateway, true, now);
	int64_t window;
	const duties_note_t *note;

	if (duties->report_in_flight || now < duties->report_at ||
	    !lease_is_synced(duties->lease, now))
		return;
	note = duties_lease_note(duties);
	if (note->report && duties->reported_window < note->window) {
		send_report(duties, note);
		return;
	}
	if ((note->report && note->window >= ended) ||
	    !are_counts_read(duties, now))
		return;
	window = next_window(duties, note, ended);
	if (!is_report_due(duties, window, now))
		return;
	duties->counts_requested_at = 0;
	log_usage_gap(duties, window, now);
	save_report(duties, window, now);
}
