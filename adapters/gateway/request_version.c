/*
 * The software version at which a stream goes on: the one that began it, as this gateway
 * or another one knows. core/forward/stream-versions-notes.md compares the ways.
 */
#include <inttypes.h>

#include "adapters/gateway/checkpoint.h"
#include "adapters/gateway/fleet_feed.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/request_state.h"
#include "adapters/gateway/sole_versions.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "request"
/* A request waits for the answers of other gateways for at most this long. */
#define VERSION_WAIT_MAX (150 * PD_MSEC)
/* While the store can be reached, it waits for a read of its streams as well. */
#define VERSION_READ_MAX PD_SEC
/* They are asked again, as they may receive the version meanwhile. */
#define VERSION_ASK_PERIOD (40 * PD_MSEC)

/* Returns the only service of a request's route, borrowed; NULL: it has several. */
static const char *only_service(const gateway_request_t *request)
{
	return request->route->weighted_services->len == 1 ? request->service
							   : NULL;
}

/* Returns the hash of the attempt that brought the first event; 0: it has no id. */
static uint64_t first_attempt(const gateway_request_t *request)
{
	const forward_call_t *call = request->call;
	const char *id = call->resume_after && call->resumes ? call->resumes
							     : call->id;

	return id ? stream_versions_hash(id) : 0;
}

/* Logs the version at which a stream goes on, and by what it is known. */
static void log_version(const gateway_request_t *request, uint64_t version_id,
			const char *known_by)
{
	const gateway_t *gateway = request->gateway;
	const char *resumes = request->call->resumes;
	pd_time_t now = gateway_now();

	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "id=%s resumes=%s version_id=%016" G_GINT64_MODIFIER
		 "x known_by=%s store_answered_ms_ago=%" PRId64
		 " revision=%" G_GUINT64_FORMAT,
		 request->call->id ? request->call->id : "-",
		 resumes ? resumes : "-", version_id, known_by,
		 gateway_peers_store_answer_age(gateway->peers, now) / PD_MSEC,
		 fleet_feed_upstreams_revision(gateway->feed));
}

/* Returns the version that began the stream that a request resumes; 0: unknown. */
static uint64_t known_version(const gateway_request_t *request)
{
	const stream_versions_t *streams = request->gateway->streams;
	const char *service = only_service(request);
	uint64_t version_id =
		stream_versions_find(streams, first_attempt(request));

	if (version_id) {
		log_version(request, version_id, "record");
		return version_id;
	}
	if (service)
		version_id = gateway_sole_version(request->gateway, service,
						  request->version_wanted_at);
	if (version_id)
		log_version(request, version_id, "sole");
	return version_id;
}

/* Has a request go on at a version, in that service of its route that runs it. */
static void set_version(gateway_request_t *request, uint64_t version_id)
{
	const GArray *services = request->route->weighted_services;

	request->version_id = version_id;
	for (guint i = 0; i < services->len; i++) {
		const char *service =
			g_array_index(services, forward_weighted_service_t, i).service;

		if (forward_upstreams_has_version(request->gateway->upstreams,
						  service, version_id)) {
			request->service = service;
			return;
		}
	}
}

/* Asks other gateways and the checkpoint for the version of a request's stream. */
static void ask_peers(gateway_request_t *request, pd_time_t now)
{
	request->version_asked_at = now;
	gateway_checkpoint_request_streams(request->gateway->checkpoint);
	metrics_add(request->gateway->metrics,
		    "gateway_stream_version_queries_total", 1);
	gateway_peers_query_stream(request->gateway->peers,
				   first_attempt(request), only_service(request));
}

/*
 * Has a request proceed at the version of the stream that it resumes. Returns false if
 * that is unknown.
 */
static bool proceed_at_known_version(gateway_request_t *request)
{
	uint64_t version_id = known_version(request);

	if (!version_id)
		return false;
	request->version_asked_at = 0;
	set_version(request, version_id);
	gateway_request_proceed(request);
	return true;
}

/*
 * Finds out at which version a stream goes on if the request resumes one, and has the
 * request proceed then. A service that had one version, as far as is known here, needs a
 * read of the store; others are asked if that takes long, or at once where it would not help.
 */
void gateway_request_find_version(gateway_request_t *request)
{
	const char *service;

	if (request->route->kind != FORWARD_STREAM ||
	    !request->route->resumable || !request->call->resume_after) {
		gateway_request_proceed(request);
		return;
	}
	/* After the request was read, so after its stream began. */
	request->version_wanted_at = gateway_now();
	if (proceed_at_known_version(request))
		return;
	request->state = REQUEST_QUEUED;
	service = only_service(request);
	if (service &&
	    sole_versions_request(request->gateway->sole_versions, service))
		request->version_asked_at = request->version_wanted_at;
	else
		ask_peers(request, request->version_wanted_at);
}

/* Returns whether another gateway or the store may still answer a request's query. */
static bool may_be_answered(const gateway_request_t *request, pd_time_t now)
{
	const gateway_t *gateway = request->gateway;
	pd_time_t waited = now - request->version_wanted_at;

	if (waited <= VERSION_WAIT_MAX)
		return true;
	if (waited > VERSION_READ_MAX)
		return false;
	return sole_versions_is_reading(gateway->sole_versions,
					request->version_wanted_at) ||
	       (gateway_checkpoint_is_reading_streams(gateway->checkpoint) &&
		fleet_feed_is_store_reachable(gateway->feed));
}

/* Has a request proceed if other gateways have sent its version; refuses it in time. */
void gateway_request_check_version(gateway_request_t *request, pd_time_t now)
{
	if (proceed_at_known_version(request))
		return;
	if (!may_be_answered(request, now)) {
		metrics_add(request->gateway->metrics,
			    "gateway_stream_versions_unknown_total", 1);
		gateway_request_give_up(request, RETRY_AFTER_NO_UPSTREAM,
					"version of the stream unknown");
	} else if (now - request->version_asked_at >= VERSION_ASK_PERIOD) {
		ask_peers(request, now);
	}
}

/* Records for all gateways that a version begins a request's stream. */
static void record_version(const gateway_request_t *request, uint64_t version_id)
{
	gateway_t *gateway = request->gateway;
	const stream_record_t record = { first_attempt(request), version_id };
	pd_time_t now = gateway_now();

	if (!record.attempt)
		return;
	stream_versions_record(gateway->streams, record.attempt,
			       record.version_id, now);
	stream_journal_add(gateway->stream_journal, &record,
			   time_vote_wall(gateway->vote, now));
}

/*
 * Ties a request that is sent to the version of its upstream where the service has several:
 * its stream begins there or not at all, so the version can be recorded before the first
 * event. Roll-outs choose the version of each attempt, and are left to that; a relayed
 * request that is refused here may begin at another version elsewhere.
 */
void gateway_request_pin_version(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;

	if (request->version_id || request->route->kind != FORWARD_STREAM ||
	    !request->route->resumable || caller_is_gateway(request->caller) ||
	    gateway_request_is_restricted(request) ||
	    !stream_versions_is_ambiguous(gateway->streams,
					  request->upstream_version_id,
					  gateway_now()))
		return;
	record_version(request, request->upstream_version_id);
	if (request->upstream_version_id == FORWARD_VERSION_UNKNOWN)
		return;
	request->version_id = request->upstream_version_id;
	request->version_pinned = true;
}

/* Records the version of a stream with the first event that this gateway forwards. */
void gateway_request_record_version(gateway_request_t *request)
{
	if (request->version_recorded || !request->route->resumable)
		return;
	request->version_recorded = true;
	request->version_id = request->upstream_version_id;
	if (!request->version_pinned)
		record_version(request, request->version_id);
}

/* Returns whether the caller has, or had before, a part of the stream of a request. */
bool gateway_request_is_resumed(const gateway_request_t *request)
{
	return request->route->kind == FORWARD_STREAM &&
	       (request->call->resume_after ||
		(request->events && request->events->count));
}

/* Returns the version of the process that an attempt was sent to, as is known now. */
static uint64_t attempt_version(const gateway_request_t *request)
{
	const forward_upstream_t *upstream = request->upstream;

	if (request->upstream_incarnation != upstream->incarnation)
		return upstream_process_is_former(&upstream->process,
						  request->connected_at)
			       ? request->upstream_version_id
			       : FORWARD_VERSION_UNKNOWN;
	if (upstream_process_is_unregistered(&upstream->process,
					     request->connected_at))
		return FORWARD_VERSION_UNKNOWN;
	return upstream->version_id;
}

/*
 * Records the version of an attempt if another one is known now than when it was sent, as the
 * upstream's process was started again. Returns false if its stream began at another
 * version.
 */
bool gateway_request_update_version(gateway_request_t *request)
{
	uint64_t version_id = attempt_version(request);
	bool fits;

	if (version_id == request->upstream_version_id)
		return true;
	request->upstream_version_id = version_id;
	if (!request->version_recorded && !request->version_pinned)
		return true;
	fits = !request->resumed_version_id ||
	       request->resumed_version_id == version_id;
	request->version_id = fits ? version_id : STREAM_VERSION_DISPUTED;
	record_version(request, request->version_id);
	return fits || version_id == FORWARD_VERSION_UNKNOWN;
}

/*
 * Sets the version of an attempt to what is known as its request is sent. Returns false if
 * the request is bound to another one.
 */
bool gateway_request_resolve_version(gateway_request_t *request)
{
	request->upstream_version_id = attempt_version(request);
	return !request->version_id ||
	       request->version_id == request->upstream_version_id;
}

/* Sends the version of a stream that breaks off to gateways that may lack it. */
void gateway_request_share_version(gateway_request_t *request)
{
	if (request->upstream && request->sent_at)
		gateway_request_update_version(request);
	if (request->version_recorded &&
	    stream_versions_is_unsent(request->gateway->streams,
				      first_attempt(request)))
		gateway_peers_send_streams(request->gateway->peers);
}
