/* Reads the history of registrations, for services that ran one version only. */
#include "adapters/gateway/sole_versions.h"

#include <inttypes.h>

#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "platform/wire.h"

#define LOG_COMPONENT "checkpoint"
#define CALL_TIMEOUT_MS 500
/* Between calls, if one failed. */
#define CALL_PERIOD (100 * PD_MSEC)
/* Pages of the history that are read at most. */
#define PAGES_MAX 20

struct sole_versions {
	gateway_t *gateway;
	registration_history_t *history; /* read without a gap since a listing */
	GArray *pending; /* version_record_t, until the history is read; owns them */
	bool first_pending; /* the same, where no stream began before restore_revision */
	uint64_t restore_revision; /* up to which the history was read for those */
	unsigned int restore_pages; /* read for those */
	bool lost; /* the history was, until the next listing */
	bool restoring; /* the call in flight is for those */
	bool calling;
	pd_time_t next_call_at;
};

/* Frees what a version_record_t owns. */
static void version_clear(void *data)
{
	g_free(((version_record_t *)data)->service);
}

/* Returns an object that has nothing to restore; the caller owns it. */
sole_versions_t *sole_versions_create(gateway_t *gateway)
{
	sole_versions_t *versions = g_new0(sole_versions_t, 1);

	versions->gateway = gateway;
	versions->history = registration_history_create();
	versions->pending = g_array_new(FALSE, FALSE, sizeof(version_record_t));
	g_array_set_clear_func(versions->pending, version_clear);
	return versions;
}

/* Frees what sole_versions_create() returned; NULL is allowed. */
void sole_versions_destroy(sole_versions_t *versions)
{
	if (!versions)
		return;
	registration_history_destroy(versions->history);
	g_array_unref(versions->pending);
	g_free(versions);
}

/*
 * Records that all registrations as of a revision were listed. After a gap, versions may
 * have come and gone unseen.
 */
void sole_versions_record_listing(sole_versions_t *versions, uint64_t revision)
{
	if (registration_history_is_known(versions->history))
		return;
	if (versions->lost)
		stream_versions_lose_history(versions->gateway->streams,
					     gateway_now());
	else
		stream_versions_begin_history(versions->gateway->streams,
					      gateway_now());
	versions->lost = false;
	registration_history_begin(versions->history, revision);
}

/* Records that all changes of registrations between two revisions were read. */
void sole_versions_record_changes(sole_versions_t *versions, uint64_t from,
				  uint64_t to)
{
	registration_history_advance(versions->history, from, to);
}

/* Records that the store has discarded changes that were not read. */
void sole_versions_lose_history(sole_versions_t *versions)
{
	versions->lost = true;
	registration_history_lose(versions->history);
	stream_versions_lose_history(versions->gateway->streams, gateway_now());
}

/*
 * Requests a read of the registrations as of now. Returns false if it would not tell the
 * only version of a service, or others call the store for this gateway.
 */
bool sole_versions_request(sole_versions_t *versions, const char *service)
{
	const gateway_t *gateway = versions->gateway;
	pd_time_t now = gateway_now();

	if (!registration_history_is_known(versions->history) ||
	    !stream_versions_sole(gateway->streams, service, now) ||
	    !gateway_peers_should_watch_store(gateway->peers))
		return false;
	registration_history_request(versions->history, now);
	sole_versions_run(versions, now);
	return true;
}

/* Returns whether all registrations until SINCE were read, without a gap before. */
bool sole_versions_are_current(const sole_versions_t *versions, pd_time_t since)
{
	return registration_history_is_current(versions->history, since);
}

/* Returns whether a read that was requested at SINCE may still be answered. */
bool sole_versions_is_reading(const sole_versions_t *versions, pd_time_t since)
{
	return registration_history_is_wanted(versions->history, gateway_now()) &&
	       !registration_history_is_current(versions->history, since) &&
	       fleet_feed_is_store_reachable(versions->gateway->feed);
}

/*
 * Has the services of a record restored, besides those of records before, once the history
 * since it was written is read. A record that is too old, or does not say as of when,
 * restores nothing.
 */
void sole_versions_restore(sole_versions_t *versions,
			   const checkpoint_record_t *record)
{
	const gateway_t *gateway = versions->gateway;
	pd_time_t start = time_vote_wall(gateway->vote, gateway->started_at);

	if (!record->versions->len || !record->upstreams_revision ||
	    start - record->written_at > STREAM_VERSIONS_TTL_MIN)
		return;
	if (!versions->pending->len ||
	    record->upstreams_revision < versions->restore_revision)
		versions->restore_revision = record->upstreams_revision;
	versions->restore_pages = 0;
	for (guint i = 0; i < record->versions->len; i++) {
		const version_record_t *entry =
			&g_array_index(record->versions, version_record_t, i);
		const version_record_t copy = { g_strdup(entry->service),
						entry->version_id };

		g_array_append_val(versions->pending, copy);
	}
}

/*
 * Has all services restored on the first start of all, where no gateway had written a record
 * as of a revision: what registered after it may have served and left before this gateway
 * listed anything.
 */
void sole_versions_restore_first(sole_versions_t *versions, uint64_t revision)
{
	versions->first_pending = true;
	versions->restore_revision = revision;
	versions->restore_pages = 0;
}

/* Returns whether something is to be restored. */
static bool is_pending(const sole_versions_t *versions)
{
	return versions->pending->len || versions->first_pending;
}

/* Records the versions of the registrations in a page of the history. */
static void record_versions(const gateway_t *gateway, const wire_page_t *page)
{
	forward_registration_t registration;
	pd_error_t err;

	for (size_t i = 0; i < wire_page_count(page); i++) {
		if (wire_page_is_removed(page, i) ||
		    wire_page_parse_upstream(page, i, &registration, &err) < 0)
			continue;
		stream_versions_record_serving(
			gateway->streams, registration.service,
			forward_version_id(registration.service,
					   registration.version),
			gateway_now());
	}
}

/* Restores what is pending; versions in the history make it ambiguous. */
static void restore_pending(sole_versions_t *versions)
{
	for (guint i = 0; i < versions->pending->len; i++) {
		const version_record_t *entry =
			&g_array_index(versions->pending, version_record_t, i);

		stream_versions_restore_sole(versions->gateway->streams,
					     entry->service, entry->version_id,
					     gateway_now());
	}
	if (versions->first_pending)
		stream_versions_record_first(versions->gateway->streams);
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "sole versions restored services=%u first=%d "
		 "revision=%" PRIu64,
		 versions->pending->len, versions->first_pending,
		 versions->restore_revision);
	g_array_set_size(versions->pending, 0);
	versions->first_pending = false;
}

/* Gives up what is pending. */
static void drop_pending(sole_versions_t *versions, int status)
{
	log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
		 "sole versions dropped services=%u first=%d revision=%" PRIu64
		 " status=%d",
		 versions->pending->len, versions->first_pending,
		 versions->restore_revision, status);
	g_array_set_size(versions->pending, 0);
	versions->first_pending = false;
}

/* Handles a page of the history; the one that has no events is the last. */
static void handle_restored_page(sole_versions_t *versions, const wire_page_t *page)
{
	versions->restore_revision = wire_page_revision(page);
	if (!wire_page_count(page)) {
		restore_pending(versions);
		return;
	}
	if (++versions->restore_pages >= PAGES_MAX)
		drop_pending(versions, 0);
}

/* Handles a page of the history that shows whether a version has joined. */
static void handle_current_page(sole_versions_t *versions, const wire_page_t *page)
{
	if (registration_history_end_read(versions->history,
					  wire_page_revision(page),
					  !wire_page_count(page)))
		gateway_peers_answer_stream_queries(versions->gateway->peers);
}

/*
 * Handles a reply that has no page. Where the store has discarded what a read needs, the
 * watch that waits may still bring it; a watch that is sent later is told the same, and
 * leads to a new listing.
 */
static void handle_failure(sole_versions_t *versions, int status)
{
	versions->next_call_at = gateway_now() + CALL_PERIOD;
	if (!versions->restoring)
		registration_history_fail_read(versions->history);
	else if (status == 410)
		drop_pending(versions, status);
}

/* Ends a call for a page of the history. */
static void on_reply(void *ctx, const http1_reply_t *reply)
{
	sole_versions_t *versions = ctx;
	wire_page_t *page = NULL;
	pd_error_t err;

	versions->calling = false;
	if (reply->status == 200) {
		page = wire_page_parse(reply->body, reply->len, &err);
		if (!page)
			log_error(LOG_COMPONENT, "history of upstreams", &err);
	}
	if (!page) {
		handle_failure(versions, reply->status);
		return;
	}
	record_versions(versions->gateway, page);
	if (versions->restoring)
		handle_restored_page(versions, page);
	else
		handle_current_page(versions, page);
	wire_page_destroy(page);
	sole_versions_run(versions, gateway_now());
}

/* Returns the revision from which the history is called for now; 0: no call is due. */
static uint64_t next_revision(sole_versions_t *versions, pd_time_t now)
{
	const gateway_t *gateway = versions->gateway;

	if (versions->calling || now < versions->next_call_at ||
	    !gateway->upstreams_listed)
		return 0;
	versions->restoring = is_pending(versions);
	if (!versions->restoring)
		return registration_history_next_read(versions->history, now);
	if (now - gateway->started_at <= STREAM_VERSIONS_TTL_MIN)
		return versions->restore_revision;
	drop_pending(versions, 0);
	return 0;
}

/* Calls for the next page of the history if something is to be restored or shown. */
void sole_versions_run(sole_versions_t *versions, pd_time_t now)
{
	uint64_t revision = next_revision(versions, now);
	char *path;

	if (!revision)
		return;
	versions->calling = true;
	path = wire_watch_path(WIRE_UPSTREAMS, revision, 0);
	http1_client_call(versions->gateway->store,
			  &(http1_request_t){
				  .method = "GET",
				  .path = path,
				  .timeout_ms = CALL_TIMEOUT_MS,
				  .on_reply = on_reply,
				  .ctx = versions,
			  });
	g_free(path);
}
