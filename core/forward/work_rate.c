/* Sums entries' totals and takes a rate that rises fast and falls slowly. */
#include "core/forward/work_rate.h"

/*
 * Load comes in waves of tens of seconds and in bursts of a few. Upstreams take
 * seconds to start, so a rise counts within about two seconds, and a lull of a
 * few seconds lets nothing go.
 */
#define SAMPLE_PERIOD (500 * PD_MSEC)
#define RISE_WEIGHT 0.1 /* of a sample above the rate */
#define FALL_WEIGHT 0.02 /* of a sample below it */

/* Work that was turned away is kept as that of a service of such a name. */
#define REFUSED_PREFIX "away:"

typedef struct service_work {
	double own;
	GHashTable *peers; /* peer -> double: its total as last heard */
	double added; /* since the last sample */
	double rate;
} service_work_t;

struct work_rate {
	GHashTable *services; /* name -> service_work_t */
	pd_time_t sampled_at;
};

static void service_destroy(void *data)
{
	service_work_t *service = data;

	g_hash_table_unref(service->peers);
	g_free(service);
}

/* Returns an empty count; the caller owns it. */
work_rate_t *work_rate_create(void)
{
	work_rate_t *work = g_new0(work_rate_t, 1);

	work->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       service_destroy);
	return work;
}

/* Frees the count; NULL is allowed. */
void work_rate_destroy(work_rate_t *work)
{
	if (!work)
		return;
	g_hash_table_unref(work->services);
	g_free(work);
}

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

/* Adds what this entry sends. */
void work_rate_add(work_rate_t *work, const char *service, double amount)
{
	service_work_t *known = work_service(work, service);

	known->own += amount;
	known->added += amount;
}

/*
 * Adds what this entry turned away for want of engines. Without it the fleet is
 * sized by what it got done, and stays too small for what is asked of it.
 */
void work_rate_add_refused(work_rate_t *work, const char *service, double amount)
{
	char *name = g_strconcat(REFUSED_PREFIX, service, NULL);

	work_rate_add(work, name, amount);
	g_free(name);
}

/* Hears what a peer has sent since it started; the first time sets the base. */
void work_rate_record_peer(work_rate_t *work, const char *peer,
			   const char *service, double total)
{
	service_work_t *known = work_service(work, service);
	double *last = g_hash_table_lookup(known->peers, peer);

	if (!last) {
		last = g_new(double, 1);
		*last = total;
		g_hash_table_insert(known->peers, g_strdup(peer), last);
		return;
	}
	known->added += MAX(total - *last, 0);
	*last = total;
}

/* Forgets what peers told, when others tell it from now on. */
void work_rate_clear_peers(work_rate_t *work)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, work->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_remove_all(((service_work_t *)value)->peers);
}

/* Takes a sample if one is due. */
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

/* Returns the work a second that all entries send to a service. */
double work_rate_get(const work_rate_t *work, const char *service)
{
	const service_work_t *known = g_hash_table_lookup(work->services, service);

	return known ? known->rate : 0;
}

/* Returns the work a second that all entries turn away from a service. */
double work_rate_refused(const work_rate_t *work, const char *service)
{
	char *name = g_strconcat(REFUSED_PREFIX, service, NULL);
	double rate = work_rate_get(work, name);

	g_free(name);
	return rate;
}

/* Calls EACH with what this entry has sent to every service. */
void work_rate_each_own(const work_rate_t *work, work_rate_each_t each, void *ctx)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, work->services);
	while (g_hash_table_iter_next(&iter, &name, &value))
		each(ctx, name, ((service_work_t *)value)->own);
}
