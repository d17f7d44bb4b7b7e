/* Probes upstreams whose requests broke off, and records those that ended. */
#include "adapters/gateway/quarantine_checks.h"

#include <string.h>

#include "adapters/gateway/gateway.h"
#include "adapters/gateway/peers.h"
#include "adapters/gateway/upstream_probe.h"
#include "adapters/gateway/upstream_reach.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "quarantine"
/* The connections of an upstream that ends break at once; one probe serves them all. */
#define CHECK_SHARED_TIME PD_MSEC
/* Requests and parts of prompts that one probe decides about. */
#define CHECK_SUSPECTS_MAX 2048
#define EXPIRY_PERIOD PD_SEC
/* The registration of an upstream that ended silently expires within this time. */
#define SILENCE_TTL (10 * PD_SEC)
/* Requests whose upstream may turn out to have ended; further ones are ignored. */
#define SILENCES_MAX 1024
/*
 * From the end of an upstream until all gateways have received which requests ran there:
 * a probe and one message, or one to an aggregator and its spread in larger fleets.
 */
#define SETTLE_TIME_MESH (10 * PD_MSEC)
#define SETTLE_TIME_LARGE (40 * PD_MSEC)

/* Requests that wait for the same probe of an upstream. */
typedef struct check {
	list_node_t node; /* in gateway->quarantine_checks */
	forward_upstream_t *upstream;
	bool silent; /* an upstream that does not answer counts as ended */
	pd_time_t started_at;
	GArray *suspects; /* of uint64_t, keys */
} check_t;

/* A request that was given up without an answer, while its upstream was registered. */
typedef struct silence {
	list_node_t node; /* in gateway->silences */
	forward_upstream_t *upstream;
	unsigned int upstream_incarnation;
	pd_time_t connected_at; /* its connection; 0: not known */
	quarantine_suspects_t suspects;
	pd_time_t since;
} silence_t;

/* Records that an upstream ended under a request or part, for all gateways. */
static void record_end(gateway_t *gateway, const forward_upstream_t *upstream,
		       uint64_t key)
{
	bool was_held = quarantine_is_held(gateway->quarantine, key);

	quarantine_record_end(gateway->quarantine, key,
			      forward_upstream_short_id(upstream), gateway_now());
	if (!was_held && quarantine_is_held(gateway->quarantine, key)) {
		log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
			 "%s=%016" G_GINT64_MODIFIER "x held=1 upstream=%s",
			 quarantine_is_part(key) ? "part" : "fingerprint", key,
			 upstream->id);
		metrics_add(gateway->metrics, "gateway_quarantined_total", 1);
	}
}

/* Records that an upstream ended while it ran a request, for all gateways. */
void gateway_quarantine_record_ends(gateway_t *gateway,
				    const forward_upstream_t *upstream,
				    const quarantine_suspects_t *suspects)
{
	for (unsigned int i = 0; i < suspects->count; i++)
		record_end(gateway, upstream, suspects->keys[i]);
}

/* Returns whether the result of a probe proves that the upstream has ended. */
static bool is_end(const gateway_t *gateway, const check_t *check,
		   upstream_probe_result_t result)
{
	switch (result) {
	case UPSTREAM_PROBE_CONNECTED:
		return false;
	case UPSTREAM_PROBE_REFUSED:
		return !gateway_reach_is_cut_off(gateway, check->upstream->service);
	case UPSTREAM_PROBE_SILENT:
		return check->silent &&
		       !gateway_reach_is_suspicious(gateway,
						    check->upstream->service);
	}
	return false;
}

/* Records what a probe has shown of the requests that wait for it. */
static void on_probe_done(gateway_t *gateway, forward_upstream_t *upstream,
			  upstream_probe_result_t result, void *ctx)
{
	check_t *check = ctx;

	if (is_end(gateway, check, result)) {
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "ended=%s suspects=%u",
			 upstream->id, check->suspects->len);
		metrics_add(gateway->metrics, "gateway_upstream_ends_total", 1);
		for (guint i = 0; i < check->suspects->len; i++)
			record_end(gateway, upstream,
				   g_array_index(check->suspects, uint64_t, i));
		gateway_peers_send_quarantine(gateway->peers);
	}
	list_remove(&check->node);
	g_array_unref(check->suspects);
	g_free(check);
}

/* Returns the check of an upstream that a request can join, borrowed, or NULL. */
static check_t *find_check(const gateway_t *gateway,
			   const forward_upstream_t *upstream, bool silent,
			   pd_time_t now)
{
	LIST_FOR_EACH (it, &gateway->quarantine_checks) {
		check_t *check = LIST_ENTRY(it, check_t, node);

		if (check->upstream == upstream && check->silent == silent &&
		    now - check->started_at <= CHECK_SHARED_TIME)
			return check;
	}
	return NULL;
}

/* Has a check decide about suspects as well. */
static void add_suspects(check_t *check, const quarantine_suspects_t *suspects)
{
	if (check->suspects->len + suspects->count <= CHECK_SUSPECTS_MAX)
		g_array_append_vals(check->suspects, suspects->keys,
				    suspects->count);
}

/* Probes an upstream to find out whether it ended while it ran a request. */
static void start_check(gateway_t *gateway, forward_upstream_t *upstream,
			const quarantine_suspects_t *suspects, bool silent)
{
	pd_time_t now = gateway_now();
	check_t *check = find_check(gateway, upstream, silent, now);

	if (!suspects->count)
		return;
	if (check) {
		add_suspects(check, suspects);
		return;
	}
	check = g_new0(check_t, 1);
	check->upstream = upstream;
	check->silent = silent;
	check->started_at = now;
	check->suspects = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	add_suspects(check, suspects);
	list_append(&gateway->quarantine_checks, &check->node);
	metrics_add(gateway->metrics, "gateway_quarantine_probes_total", 1);
	upstream_probe_start(gateway, upstream, on_probe_done, check);
}

/*
 * The connection on which a request ran has broken: finds out why. Upstreams that leave
 * end anyway.
 */
void gateway_quarantine_check_broken(gateway_t *gateway,
				     forward_upstream_t *upstream,
				     const quarantine_suspects_t *suspects)
{
	if (forward_upstream_is_serving(upstream))
		start_check(gateway, upstream, suspects, false);
}

/*
 * A request was given up before its answer was complete. If its upstream says nothing
 * more and its registration expires, it may have ended with its VM. CONNECTED_AT is of the
 * request's connection; 0: not known.
 */
void gateway_quarantine_watch_silent(gateway_t *gateway,
				     forward_upstream_t *upstream,
				     pd_time_t connected_at,
				     const quarantine_suspects_t *suspects)
{
	silence_t *silence;

	if (!suspects->count || gateway->silence_count >= SILENCES_MAX)
		return;
	silence = g_new0(silence_t, 1);
	silence->upstream = forward_upstream_ref(upstream);
	silence->upstream_incarnation = upstream->incarnation;
	silence->connected_at = connected_at;
	silence->suspects = *suspects;
	silence->since = gateway_now();
	list_append(&gateway->silences, &silence->node);
	gateway->silence_count++;
}

/* Stops watching a silent upstream. */
static void silence_free(gateway_t *gateway, silence_t *silence)
{
	list_remove(&silence->node);
	gateway->silence_count--;
	forward_upstream_unref(silence->upstream);
	g_free(silence);
}

/* Returns whether another upstream serves at the address of one. */
bool gateway_upstream_is_replaced(const gateway_t *gateway,
				  const forward_upstream_t *gone)
{
	LIST_FOR_EACH (it, forward_upstreams_list(gateway->upstreams)) {
		const forward_upstream_t *upstream =
			LIST_ENTRY(it, forward_upstream_t, node);

		if (upstream != gone && forward_upstream_is_serving(upstream) &&
		    upstream->port == gone->port &&
		    !strcmp(upstream->address, gone->address))
			return true;
	}
	return false;
}

/* Returns whether the process of an upstream that was silent was started again. */
static bool has_restarted(const silence_t *silence)
{
	const forward_upstream_t *upstream = silence->upstream;

	return upstream->incarnation != silence->upstream_incarnation &&
	       !(silence->connected_at &&
		 upstream_process_is_present(&upstream->process,
					     silence->connected_at));
}

/* Probes silent upstreams whose registration has expired; those that answer live. */
static void run_silences(gateway_t *gateway, pd_time_t now)
{
	LIST_FOR_EACH_SAFE (it, &gateway->silences) {
		silence_t *silence = LIST_ENTRY(it, silence_t, node);
		forward_upstream_t *upstream = silence->upstream;

		if (has_restarted(silence) ||
		    (upstream->stage == FORWARD_GONE &&
		     gateway_upstream_is_replaced(gateway, upstream)))
			gateway_quarantine_record_ends(gateway, upstream,
						       &silence->suspects);
		else if (upstream->stage == FORWARD_GONE)
			start_check(gateway, upstream, &silence->suspects, true);
		else if (upstream->stage == FORWARD_SERVING &&
			 upstream->answered_at <= silence->since &&
			 now - silence->since < SILENCE_TTL)
			continue;
		silence_free(gateway, silence);
	}
}

/*
 * Returns how long a request waits after its connection broke, until it is known here
 * what ended under it at other gateways.
 */
pd_time_t gateway_quarantine_settle_time(const gateway_t *gateway)
{
	return gateway_peers_is_mesh(gateway->peers) ? SETTLE_TIME_MESH
						     : SETTLE_TIME_LARGE;
}

/* Sends what is not sent yet, and forgets what is old. */
void gateway_quarantine_run(gateway_t *gateway, pd_time_t now)
{
	run_silences(gateway, now);
	gateway_peers_send_quarantine(gateway->peers);
	if (now < gateway->quarantine_expire_at)
		return;
	gateway->quarantine_expire_at = now + EXPIRY_PERIOD;
	quarantine_expire(gateway->quarantine, now);
}
