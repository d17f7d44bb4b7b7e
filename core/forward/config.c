/* Builds a version of the configuration, and looks things up in it. */
#include "core/forward/config.h"

#include <string.h>

#define HEADER_BYTES_MAX_DEFAULT 16384
#define BODY_BYTES_MAX_DEFAULT (4 * 1024 * 1024)
#define HEADER_TIMEOUT_DEFAULT (5 * PD_SEC)
#define IDLE_TIMEOUT_DEFAULT (15 * PD_SEC)
#define ROUTE_TIMEOUT_DEFAULT (30 * PD_SEC)

/* Frees what a forward_weighted_service_t owns. */
static void weighted_service_clear(void *data)
{
	g_free(((forward_weighted_service_t *)data)->service);
}

/* Frees what a forward_zone_price_t owns. */
static void zone_price_clear(void *data)
{
	g_free(((forward_zone_price_t *)data)->zone);
}

/* Frees a forward_route_t. */
static void route_destroy(void *data)
{
	forward_route_t *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_unref(route->weighted_services);
	g_free(route);
}

/* Frees a forward_service_t. */
static void service_destroy(void *data)
{
	forward_service_t *service = data;

	g_free(service->name);
	g_array_unref(service->zone_prices);
	g_free(service);
}

/* Frees a forward_account_t. */
static void account_destroy(void *data)
{
	forward_account_t *account = data;

	g_free(account->name);
	g_free(account);
}

/*
 * Returns an empty version with the default limits; the caller owns the
 * reference.
 */
forward_config_t *forward_config_create(void)
{
	forward_config_t *config = g_new0(forward_config_t, 1);

	config->refs = 1;
	config->routes = g_ptr_array_new_with_free_func(route_destroy);
	config->services = g_ptr_array_new_with_free_func(service_destroy);
	config->accounts = g_ptr_array_new_with_free_func(account_destroy);
	config->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						(GDestroyNotify)g_ptr_array_unref);
	config->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	config->header_bytes_max = HEADER_BYTES_MAX_DEFAULT;
	config->body_bytes_max = BODY_BYTES_MAX_DEFAULT;
	config->header_timeout = HEADER_TIMEOUT_DEFAULT;
	config->idle_timeout = IDLE_TIMEOUT_DEFAULT;
	return config;
}

/* Takes a reference. Returns CONFIG. */
forward_config_t *forward_config_ref(forward_config_t *config)
{
	config->refs++;
	return config;
}

/* Drops a reference; the last one frees the version. NULL is allowed. */
void forward_config_unref(forward_config_t *config)
{
	if (!config || --config->refs)
		return;
	g_hash_table_unref(config->by_host);
	g_hash_table_unref(config->by_key);
	g_ptr_array_unref(config->routes);
	g_ptr_array_unref(config->services);
	g_ptr_array_unref(config->accounts);
	g_free(config);
}

/* Returns a new route, owned by the version, for the caller to fill in. */
forward_route_t *forward_config_add_route(forward_config_t *config)
{
	forward_route_t *route = g_new0(forward_route_t, 1);

	route->weighted_services =
		g_array_new(FALSE, TRUE, sizeof(forward_weighted_service_t));
	g_array_set_clear_func(route->weighted_services, weighted_service_clear);
	route->upstreams_max = 1;
	route->timeout = ROUTE_TIMEOUT_DEFAULT;
	g_ptr_array_add(config->routes, route);
	return route;
}

/* Adds a service that gets requests of a route in proportion to its weight. */
void forward_route_add_service(forward_route_t *route, const char *service,
			       double weight)
{
	forward_weighted_service_t weighted = { g_strdup(service), weight };

	g_array_append_val(route->weighted_services, weighted);
}

/* Returns a new service, owned by the version, for the caller to fill in. */
forward_service_t *forward_config_add_service(forward_config_t *config)
{
	forward_service_t *service = g_new0(forward_service_t, 1);

	service->zone_prices =
		g_array_new(FALSE, TRUE, sizeof(forward_zone_price_t));
	g_array_set_clear_func(service->zone_prices, zone_price_clear);
	g_ptr_array_add(config->services, service);
	return service;
}

/* Returns a new account, owned by the version, for the caller to fill in. */
forward_account_t *forward_config_add_account(forward_config_t *config)
{
	forward_account_t *account = g_new0(forward_account_t, 1);

	account->priority = FORWARD_PRIORITY_UNSET;
	g_ptr_array_add(config->accounts, account);
	return account;
}

/* Assigns an API key to an account of this version. */
void forward_config_add_key(forward_config_t *config, const char *key,
			    forward_account_t *account)
{
	g_hash_table_insert(config->by_key, g_strdup(key), account);
}

/* Compares routes for sorting, longest prefix first. */
static gint compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const forward_route_t *const *left = a;
	const forward_route_t *const *right = b;
	size_t left_len = strlen((*left)->prefix);
	size_t right_len = strlen((*right)->prefix);

	return (left_len < right_len) - (left_len > right_len);
}

/* Indexes the routes for lookups; must be called once, after all are added. */
void forward_config_index_routes(forward_config_t *config)
{
	for (guint i = 0; i < config->routes->len; i++) {
		forward_route_t *route = g_ptr_array_index(config->routes, i);
		GPtrArray *routes =
			g_hash_table_lookup(config->by_host, route->host);

		if (!routes) {
			routes = g_ptr_array_new();
			g_hash_table_insert(config->by_host, route->host, routes);
		}
		g_ptr_array_add(routes, route);
	}
	GHashTableIter iter;
	gpointer routes;

	g_hash_table_iter_init(&iter, config->by_host);
	while (g_hash_table_iter_next(&iter, NULL, &routes))
		g_ptr_array_sort(routes, compare_prefix_length);
}

/* Returns the host in lower case and without its port; the caller owns it. */
static char *normalize_host(const char *host)
{
	const char *colon = strrchr(host, ':');
	size_t len = colon ? (size_t)(colon - host) : strlen(host);

	return g_ascii_strdown(host, (gssize)len);
}

/*
 * Returns the route of a host with the longest prefix of the target's path, or
 * NULL. The query is not part of the path.
 */
const forward_route_t *forward_config_route(const forward_config_t *config,
					    const char *host, const char *target)
{
	char *normalized = normalize_host(host);
	GPtrArray *routes = g_hash_table_lookup(config->by_host, normalized);
	size_t path_len = strcspn(target, "?#");

	g_free(normalized);
	for (guint i = 0; routes && i < routes->len; i++) {
		const forward_route_t *route = g_ptr_array_index(routes, i);
		size_t len = strlen(route->prefix);

		if (len <= path_len && !strncmp(target, route->prefix, len))
			return route;
	}
	return NULL;
}

/* Returns the account of an API key, or NULL. */
const forward_account_t *forward_config_account(const forward_config_t *config,
						const char *key)
{
	return g_hash_table_lookup(config->by_key, key);
}

/* Returns a service by its name, or NULL. */
const forward_service_t *forward_config_service(const forward_config_t *config,
						const char *name)
{
	for (guint i = 0; i < config->services->len; i++) {
		const forward_service_t *service =
			g_ptr_array_index(config->services, i);

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

/*
 * Returns the name of a service of the route, picked by weight with DRAW, a
 * random number from 0 to 1; NULL if the route has none.
 */
const char *forward_route_pick_service(const forward_route_t *route, double draw)
{
	double total = 0;

	for (guint i = 0; i < route->weighted_services->len; i++)
		total += g_array_index(route->weighted_services,
				       forward_weighted_service_t, i)
				 .weight;
	draw *= total;
	for (guint i = 0; i < route->weighted_services->len; i++) {
		const forward_weighted_service_t *weighted =
			&g_array_index(route->weighted_services,
				       forward_weighted_service_t, i);

		draw -= weighted->weight;
		if (draw < 0)
			return weighted->service;
	}
	if (!route->weighted_services->len)
		return NULL;
	return g_array_index(route->weighted_services,
			     forward_weighted_service_t, 0)
		.service;
}

/*
 * Returns the price per second of an upstream in a zone, 1 if none is
 * configured.
 */
double forward_service_price(const forward_service_t *service, const char *zone)
{
	for (guint i = 0; i < service->zone_prices->len; i++) {
		const forward_zone_price_t *price =
			&g_array_index(service->zone_prices,
				       forward_zone_price_t, i);

		if (!strcmp(price->zone, zone))
			return price->price;
	}
	return 1;
}
