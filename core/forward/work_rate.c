/* Sums the gateways' totals and calculates a rate that rises fast and falls slowly. */
#include "core/forward/work_rate.h"

/*
 * Load comes in waves of tens of seconds and in bursts of a few seconds. Upstreams take
 * seconds to start, so the rate follows a rise within about two seconds, while a lull
 * of a few seconds releases no upstream.
 */
#define SAMPLE_PERIOD (500 * PD_MSEC)
#define RISE_WEIGHT 0.1 /* weight of a sample above the rate */
#define FALL_WEIGHT 0.02 /* weight of a sample below the rate */

/* Refused work is stored as that of a service with this prefix before its name. */
#define REFUSED_PREFIX "away:"

typedef struct service_work {
	double own;
	GHashTable *peers; /* peer -> double: its last reported total */
	double added; /* work added since the last sample */
	double rate;
} service_work_t;

struct work_rate {
	GHashTable *services; /* name -> service_work_t */
	pd_time_t sampled_at;
};

/* Frees a service_work_t. */
static void service_destroy(void *data)
{
	service_work_t *service = data;

	g_hash_table_unref(service->peers);
	g_free(service);
}

/* Returns an object without any work; the caller owns it. */
work_rate_t *work_rate_create(void)
{
	work_rate_t *work = g_new0(work_rate_t, 1);

	work->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       service_destroy);
	return work;
}

/* Frees the object; NULL is allowed. */
void work_rate_destroy(work_rate_t *work)
{
	if (!work)
		return;
	g_hash_table_unref(work->services);
	g_free(work);
}

/* Returns a service's work, and creates it if needed. */
static service_work_t *work_service(work_rate_t *work, const char *name)
{
	service_work_t *service = g_hash_table_lookup(work->services, name);

	if (service)
		return service;
	service = g_new0(service_work_t, 1);
	service->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(work->services, g_strdup(name), service);
	return service;
}

/* Adds work that this gateway sends to a service. */
void work_rate_add(work_rate_t *work, const char *service, double amount)
{
	service_work_t *entry = work_service(work, service);

	entry->own += amount;
	entry->added += amount;
}

/*
 * Adds work that this gateway refused for lack of engines. Without it the fleet would
 * be sized by the work that it completes, and stay too small for the demand.
 */
void work_rate_add_refused(work_rate_t *work, const char *service, double amount)
{
	char *name = g_strconcat(REFUSED_PREFIX, service, NULL);

	work_rate_add(work, name, amount);
	g_free(name);
}

/*
 * Records the total work that a peer has sent to a service since the peer's start. The
 * first total is only the base for the next ones.
 */
void work_rate_record_peer(work_rate_t *work, const char *peer,
			   const char *service, double total)
{
	service_work_t *entry = work_service(work, service);
	double *last = g_hash_table_lookup(entry->peers, peer);

	if (!last) {
		last = g_new(double, 1);
		*last = total;
		g_hash_table_insert(entry->peers, g_strdup(peer), last);
		return;
	}
	entry->added += MAX(total - *last, 0);
	*last = total;
}

/* Forgets the totals of all peers, because others report for them from now on. */
void work_rate_clear_peers(work_rate_t *work)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, work->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_remove_all(((service_work_t *)value)->peers);
}

/* Updates the rates if a sample is due. */
void work_rate_update(work_rate_t *work, pd_time_t now)
{
	pd_time_t elapsed = now - work->sampled_at;
	GHashTableIter iter;
	gpointer value;

	if (elapsed < SAMPLE_PERIOD)
		return;
	g_hash_table_iter_init(&iter, work->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		service_work_t *service = value;
		double sample = service->added * PD_SEC / (double)elapsed;
		double weight = sample > service->rate ? RISE_WEIGHT : FALL_WEIGHT;

		if (work->sampled_at)
			service->rate += (sample - service->rate) * weight;
		service->added = 0;
	}
	work->sampled_at = now;
}

/* Returns the work per second that all gateways send to a service. */
double work_rate_get(const work_rate_t *work, const char *service)
{
	const service_work_t *entry = g_hash_table_lookup(work->services, service);

	return entry ? entry->rate : 0;
}

/* Returns the work per second that all gateways refuse for a service. */
double work_rate_refused(const work_rate_t *work, const char *service)
{
	char *name = g_strconcat(REFUSED_PREFIX, service, NULL);
	double rate = work_rate_get(work, name);

	g_free(name);
	return rate;
}

/* Calls EACH with the total work that this gateway has sent to every service. */
void work_rate_each_own(const work_rate_t *work, work_rate_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, work->services);
	while (g_hash_table_iter_next(&iter, &name, &value))
		each(ctx, name, ((service_work_t *)value)->own);
}
