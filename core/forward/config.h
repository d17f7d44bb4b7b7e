/*
 * The configuration in force: routes, services, client accounts (which the
 * platform calls tenants), and limits of requests. A version is read once and
 * not changed after that; requests in progress keep a reference to the version
 * they started with.
 */
#ifndef PISTACHIO_FORWARD_CONFIG_H
#define PISTACHIO_FORWARD_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ports/clock.h"

#define FORWARD_PRIORITY_UNSET (-1)

/* Whether requests of a route may be executed more than once. */
typedef enum forward_route_kind {
	FORWARD_SAFE, /* may be executed more than once */
	FORWARD_UNSAFE, /* at most once per attempt of the caller */
	FORWARD_STREAM /* as unsafe, unless the route is resumable */
} forward_route_kind_t;

typedef struct forward_zone_price {
	char *zone;
	double price;
} forward_zone_price_t;

/* A service behind the gateways: engines of a model, or plain upstreams. */
typedef struct forward_service {
	char *name;
	unsigned int connections_max; /* to one upstream, from all gateways */
	bool is_engine;
	unsigned int engine_slots; /* requests in a batch */
	double engine_kv_tokens; /* capacity of the KV cache */
	/* running requests can be copied to another engine */
	bool engine_can_migrate;
	bool autoscaled; /* this system orders its upstreams */
	unsigned int zone_min;
	unsigned int zone_max;
	pd_time_t boot_time;
	double spot_price; /* relative to an upstream that can't be reclaimed */
	GArray *zone_prices; /* of forward_zone_price_t */
} forward_service_t;

typedef struct forward_weighted_service {
	char *service;
	double weight;
} forward_weighted_service_t;

typedef struct forward_route {
	char *name;
	char *host; /* in lower case */
	char *prefix;
	forward_route_kind_t kind;
	bool is_public; /* needs no API key */
	bool resumable;
	bool has_prompt; /* its requests contain a prompt */
	int priority; /* 0 is the highest */
	unsigned int upstreams_max; /* tried for one attempt of a caller */
	pd_time_t timeout;
	pd_time_t latency_goal; /* for the answer, or a stream's first event */
	pd_time_t event_gap_goal; /* between events; 0: none */
	GArray *weighted_services; /* of forward_weighted_service_t */
} forward_route_t;

typedef struct forward_account {
	char *name;
	/* overrides the route's; FORWARD_PRIORITY_UNSET: does not */
	int priority;
	bool limits_tokens; /* the limit counts tokens, not requests */
	double default_tokens; /* counted for a request that states none */
	double rate; /* per second, over all gateways; 0: no limit */
	double burst;
} forward_account_t;

typedef struct forward_config {
	unsigned int refs;
	uint64_t version;
	GPtrArray *routes; /* of forward_route_t */
	GPtrArray *services; /* of forward_service_t */
	GPtrArray *accounts; /* of forward_account_t */
	GHashTable *by_host; /* host -> GPtrArray of routes, longest prefix first */
	GHashTable *by_key; /* API key -> forward_account_t */
	size_t header_bytes_max; /* bytes */
	size_t body_bytes_max; /* bytes */
	pd_time_t header_timeout;
	pd_time_t idle_timeout;
} forward_config_t;

forward_config_t *forward_config_create(void);
forward_config_t *forward_config_ref(forward_config_t *config);
void forward_config_unref(forward_config_t *config);
forward_route_t *forward_config_add_route(forward_config_t *config);
void forward_route_add_service(forward_route_t *route, const char *service,
			       double weight);
forward_service_t *forward_config_add_service(forward_config_t *config);
forward_account_t *forward_config_add_account(forward_config_t *config);
void forward_config_add_key(forward_config_t *config, const char *key,
			    forward_account_t *account);
void forward_config_index_routes(forward_config_t *config);
const forward_route_t *forward_config_route(const forward_config_t *config,
					    const char *host, const char *target);
const forward_account_t *forward_config_account(const forward_config_t *config,
						const char *key);
const forward_service_t *forward_config_service(const forward_config_t *config,
						const char *name);
const char *forward_route_pick_service(const forward_route_t *route, double draw);
double forward_service_price(const forward_service_t *service, const char *zone);

#endif
