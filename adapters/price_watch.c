/* Polls and decodes the cloud's prices. */
#include "adapters/price_watch.h"

#include "adapters/json.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "prices"
#define PRICE_PERIOD_MS 30000
#define SLOTS_MAX 100000

struct price_watch {
	price_watch_config_t config;
	uv_timer_t timer;
	bool request_in_flight;
};

/*
 * Decodes one offer; OFFER then owns its strings. Returns 0, or -1 with ERR set
 * and OFFER without strings.
 */
static int offer_decode(const json_t *object, offer_t *offer, pd_error_t *err)
{
	const char *zone;
	const char *machine_class;
	int64_t slots;

	if (json_read_string(object, "zone", &zone, err) < 0 ||
	    json_read_string(object, "machine_class", &machine_class, err) < 0 ||
	    json_read_integer(object, "price", &offer->price, err) < 0 ||
	    json_read_integer(object, "slots", &slots, err) < 0)
		return -1;
	if (slots < 1 || slots > SLOTS_MAX || offer->price < 0)
		return pd_error_set(err, PD_ERROR_INPUT,
				    "offer: slots or price out of range");
	offer->zone = g_strdup(zone);
	offer->machine_class = g_strdup(machine_class);
	offer->slots = (unsigned int)slots;
	offer->reclaimable =
		json_is_true(json_object_get(object, "reclaimable"));
	return 0;
}

/* Frees the strings of an offer_t. */
static void offer_clear(void *data)
{
	offer_t *offer = data;

	g_free(offer->zone);
	g_free(offer->machine_class);
}

/*
 * Decodes a JSON object with offers. Returns an array of offer_t, which the
 * caller unreferences, or NULL with ERR set if it is malformed.
 */
GArray *offers_decode(const char *data, size_t len, pd_error_t *err)
{
	GArray *offers = g_array_new(FALSE, TRUE, sizeof(offer_t));
	json_t *object = json_parse(data, len, err);
	json_t *items;
	json_t *item;
	size_t i;

	g_array_set_clear_func(offers, offer_clear);
	if (!object || json_read_array(object, "offers", &items, err) < 0)
		goto error;
	json_array_foreach(items, i, item)
	{
		offer_t offer = { 0 };

		if (offer_decode(item, &offer, err) < 0)
			goto error;
		g_array_append_val(offers, offer);
	}
	json_decref(object);
	return offers;
error:
	json_decref(object);
	g_array_unref(offers);
	return NULL;
}

/*
 * Delivers the offers of an answer. Without a valid answer the previous prices
 * remain in use: stale prices cost a little, no prices a lot.
 */
static void watch_on_answer(void *ctx, const platform_answer_t *answer)
{
	price_watch_t *watch = ctx;
	pd_error_t err;
	GArray *offers;

	watch->request_in_flight = false;
	if (answer->status != STORE_OK)
		return;
	offers = offers_decode(answer->body, answer->len, &err);
	if (!offers) {
		log_error(LOG_COMPONENT, "ignored invalid prices", &err);
		return;
	}
	watch->config.on_prices(watch->config.ctx,
				(const offer_t *)offers->data, offers->len);
	g_array_unref(offers);
}

/* Requests the prices, unless a request is still in flight. */
static void watch_on_timer(uv_timer_t *timer)
{
	price_watch_t *watch = timer->data;

	if (watch->request_in_flight)
		return;
	watch->request_in_flight = true;
	platform_read_prices(watch->config.platform, watch_on_answer, watch);
}

/* Returns a paused watch, which lives as long as the loop. */
price_watch_t *price_watch_create(uv_loop_t *loop, const price_watch_config_t *config)
{
	price_watch_t *watch = g_new0(price_watch_t, 1);

	watch->config = *config;
	uv_timer_init(loop, &watch->timer);
	watch->timer.data = watch;
	return watch;
}

/* Stops polling, or polls at once and then every PRICE_PERIOD_MS. */
void price_watch_set_paused(price_watch_t *watch, bool paused)
{
	if (paused)
		uv_timer_stop(&watch->timer);
	else
		uv_timer_start(&watch->timer, watch_on_timer, 0, PRICE_PERIOD_MS);
}
