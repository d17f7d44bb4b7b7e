/* Logs from whom the configuration came, how old it is, and when a newer one is known. */
#include "adapters/gateway/config_origin.h"

#include <inttypes.h>

#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "config"
/* Refusals that the configuration decided are logged this often at most. */
#define REFUSAL_PERIOD PD_SEC
/* A newer configuration that is known for so long, and not applied, is logged as often. */
#define BEHIND_MAX PD_SEC

/* Returns how long ago something happened at AT, in ms; -1: it did not. */
static int64_t ms_ago(pd_time_t at)
{
	return at ? (gateway_now() - at) / PD_MSEC : -1;
}

/* Returns the version of the configuration in force; 0: there is none. */
static uint64_t version_in_force(const gateway_t *gateway)
{
	return gateway->config ? gateway->config->version : 0;
}

/* Returns a name as it is logged, borrowed. */
static const char *name_or_none(const char *name)
{
	return name ? name : "none";
}

/*
 * Records that a configuration of BYTES was applied in place of version BEFORE. SOURCE, which
 * is copied, is "store" or "peer".
 */
void gateway_config_record_applied(gateway_t *gateway, const char *source,
				   uint64_t before, size_t bytes)
{
	config_origin_t *origin = &gateway->config_origin;
	const forward_config_t *config = gateway->config;
	bool heard = origin->heard_version >= config->version;

	g_free(origin->source);
	origin->source = g_strdup(source);
	origin->applied_at = gateway_now();
	log_line(G_LOG_LEVEL_INFO, "gateway",
		 "config=%" PRIu64 " before=%" PRIu64
		 " source=%s from=%s bytes=%zu routes=%u services=%u "
		 "accounts=%u "
		 "heard_ms_ago=%" PRId64 " fetches=%u",
		 config->version, before, source,
		 name_or_none(origin->fetched_from), bytes, config->routes->len,
		 config->services->len, config->accounts->len,
		 ms_ago(heard ? origin->heard_at : 0), origin->fetches);
	origin->fetches = 0;
	g_clear_pointer(&origin->fetched_from, g_free);
}

/* Records that the store told this gateway which configuration it has now. */
void gateway_config_record_read(gateway_t *gateway)
{
	gateway->config_origin.read_at = gateway_now();
}

/* Records that a gateway has a version of the configuration; FROM is copied. */
void gateway_config_record_heard(gateway_t *gateway, uint64_t version,
				 const char *from)
{
	config_origin_t *origin = &gateway->config_origin;

	if (version <= origin->heard_version)
		return;
	/* While one is missing, the time since when it is counts. */
	if (origin->heard_version <= version_in_force(gateway))
		origin->heard_at = gateway_now();
	origin->heard_version = version;
	g_free(origin->heard_from);
	origin->heard_from = g_strdup(from);
}

/* Records that the configuration was requested from a peer; FROM is copied. */
void gateway_config_record_fetch(gateway_t *gateway, const char *from)
{
	config_origin_t *origin = &gateway->config_origin;

	origin->fetches++;
	g_free(origin->fetched_from);
	origin->fetched_from = g_strdup(from);
}

/* Logs what is known of the configuration in force, with the EVENT that calls for it. */
static void log_state(const gateway_t *gateway, GLogLevelFlags level,
		      const char *event)
{
	const config_origin_t *origin = &gateway->config_origin;

	log_line(level, LOG_COMPONENT,
		 "%s version=%" PRIu64 " source=%s applied_ms_ago=%" PRId64
		 " read_ms_ago=%" PRId64 " store_answered_ms_ago=%" PRId64
		 " heard=%" PRIu64 " heard_from=%s heard_ms_ago=%" PRId64
		 " fetches=%u fetched_from=%s",
		 event, version_in_force(gateway), name_or_none(origin->source),
		 ms_ago(origin->applied_at), ms_ago(origin->read_at),
		 gateway_peers_store_answer_age(gateway->peers, gateway_now()) /
			 PD_MSEC,
		 origin->heard_version, name_or_none(origin->heard_from),
		 ms_ago(origin->heard_at), origin->fetches,
		 name_or_none(origin->fetched_from));
}

/* Logs under which configuration a request is refused, for a REASON that it decides. */
void gateway_config_log_refusal(gateway_t *gateway, const char *reason)
{
	config_origin_t *origin = &gateway->config_origin;
	pd_time_t now = gateway_now();
	char *event;

	if (origin->refusal_logged_at &&
	    now - origin->refusal_logged_at < REFUSAL_PERIOD)
		return;
	origin->refusal_logged_at = now;
	event = g_strdup_printf("refused=\"%s\"", reason);
	log_state(gateway, G_LOG_LEVEL_INFO, event);
	g_free(event);
}

/* Logs while a newer configuration is known and not applied. */
void gateway_config_run(gateway_t *gateway, pd_time_t now)
{
	config_origin_t *origin = &gateway->config_origin;

	if (origin->heard_version <= version_in_force(gateway) ||
	    now - origin->heard_at < BEHIND_MAX ||
	    now - origin->behind_logged_at < BEHIND_MAX)
		return;
	origin->behind_logged_at = now;
	log_state(gateway, G_LOG_LEVEL_WARNING, "behind=1");
}
