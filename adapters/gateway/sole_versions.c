/* Restores which services ran one software version only. */
#include "adapters/gateway/sole_versions.h"

#include <inttypes.h>

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
	GArray *pending; /* version_record_t, until the history is read; owns them */
	uint64_t revision; /* up to which the history was read */
	unsigned int pages;
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
	versions->pending = g_array_new(FALSE, FALSE, sizeof(version_record_t));
	g_array_set_clear_func(versions->pending, version_clear);
	return versions;
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
	    record->upstreams_revision < versions->revision)
		versions->revision = record->upstreams_revision;
	versions->pages = 0;
	for (guint i = 0; i < record->versions->len; i++) {
		const version_record_t *entry =
			&g_array_index(record->versions, version_record_t, i);
		const version_record_t copy = { g_strdup(entry->service),
						entry->version_id };

		g_array_append_val(versions->pending, copy);
	}
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
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "sole versions restored services=%u revision=%" PRIu64,
		 versions->pending->len, versions->revision);
	g_array_set_size(versions->pending, 0);
}

/* Gives up what is pending. */
static void drop_pending(sole_versions_t *versions, int status)
{
	log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
		 "sole versions dropped services=%u revision=%" PRIu64
		 " status=%d",
		 versions->pending->len, versions->revision, status);
	g_array_set_size(versions->pending, 0);
}

/* Handles a page of the history; the one that has no events is the last. */
static void handle_page(sole_versions_t *versions, const wire_page_t *page)
{
	versions->revision = wire_page_revision(page);
	if (!wire_page_count(page)) {
		restore_pending(versions);
		return;
	}
	record_versions(versions->gateway, page);
	if (++versions->pages >= PAGES_MAX)
		drop_pending(versions, 0);
}

/* Ends a call for a page of the history. */
static void on_reply(void *ctx, const http1_reply_t *reply)
{
	sole_versions_t *versions = ctx;
	wire_page_t *page = NULL;
	pd_error_t err;

	versions->calling = false;
	/* The history is gone. */
	if (reply->status == 410) {
		drop_pending(versions, reply->status);
		return;
	}
	if (reply->status == 200) {
		page = wire_page_parse(reply->body, reply->len, &err);
		if (!page)
			log_error(LOG_COMPONENT, "history of upstreams", &err);
	}
	if (!page) {
		versions->next_call_at = gateway_now() + CALL_PERIOD;
		return;
	}
	handle_page(versions, page);
	wire_page_destroy(page);
	sole_versions_run(versions, gateway_now());
}

/*
 * Calls for the next page of the history if something is to be restored. From the listing
 * on this gateway learns of changes in any case.
 */
void sole_versions_run(sole_versions_t *versions, pd_time_t now)
{
	char *path;

	if (!versions->pending->len || versions->calling ||
	    now < versions->next_call_at || !versions->gateway->upstreams_listed)
		return;
	if (now - versions->gateway->started_at > STREAM_VERSIONS_TTL_MIN) {
		drop_pending(versions, 0);
		return;
	}
	versions->calling = true;
	path = wire_watch_path(WIRE_UPSTREAMS, versions->revision, 0);
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
