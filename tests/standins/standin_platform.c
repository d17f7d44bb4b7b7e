/*
 * Stand-in for the platform: an object store with versions, conditional writes
 * and long-poll watches, a VM list that is published late, a cloud API, prices,
 * and a rate-limited weight store. Tests set faults and VMs by paths under
 * /standin/.
 */
#include <glib.h>
#include <string.h>

#include "adapters/json.h"
#include "core/list.h"
#include "tests/standins/standin.h"

#define WRITES_PER_S 300.0
#define READS_PER_S 2000.0
#define WEIGHTS_PER_S 4.0
#define OBJECT_BYTES_MAX (1024 * 1024)
#define USEC_PER_S 1e6

typedef struct object {
	char *key;
	char *body;
	size_t len;
	uint64_t version;
} object_t;

static void object_free(void *data)
{
	object_t *object = data;

	g_free(object->key);
	g_free(object->body);
	g_free(object);
}

/* A pending long poll for a newer version of an object. */
typedef struct watch {
	list_node_t node;
	http_exchange_t *exchange; /* NULL once the caller has disconnected */
	char *key;
	uint64_t after; /* version that the caller has */
	uint64_t until_ms; /* deadline, by the loop's clock */
} watch_t;

/* A token bucket that holds at most a second's tokens. */
typedef struct bucket {
	double tokens;
	double rate; /* tokens per second */
	gint64 refilled_at; /* last refill; monotonic microseconds */
} bucket_t;

typedef struct platform {
	uv_loop_t *loop;
	GHashTable *objects; /* key -> object_t */
	uint64_t version; /* of the last write */
	list_node_t watches;
	uv_timer_t sweep_timer;
	json_t *vms; /* id -> item of the list, current */
	char *vms_published; /* the list as last published, in JSON */
	uint64_t vms_version;
	int64_t lag_ms; /* from a change to its publication */
	bool store_down; /* object calls fail with 503 */
	bool purchases_rejected; /* purchases fail with 503 */
	int64_t replies_to_lose; /* number of writes to apply without a reply */
	int64_t delay_ms; /* added to every object call */
	/* The following faults apply only to writes of claims. */
	int64_t reply_delay_ms; /* applied at once, reply delayed */
	int64_t write_delay_ms; /* connection aborted at once, applied later */
	int64_t conflicts_left; /* number of writes to reject with 412 */
	int64_t rate_limits_left; /* number of writes to reject with 429 */
	bucket_t writes;
	bucket_t reads;
	bucket_t weights;
	int64_t counts[3]; /* by COUNT_* */
	GHashTable *purchased_tags; /* tags for which a VM was started */
	bool forgets_tags; /* a repeated tag starts another VM */
	int64_t purchase_replies_to_lose; /* purchases to make without a reply */
	json_t *order_counts; /* tag -> number of purchase requests */
	uint64_t fencing_token; /* highest fencing token seen */
	int64_t stale_orders; /* orders whose fencing token was stale */
	json_t *prices;
} platform_t;

enum { COUNT_WRITES, COUNT_READS, COUNT_CONFLICTS };

/* Takes one token; returns false if there is none. */
static bool bucket_take(bucket_t *bucket)
{
	gint64 now = g_get_monotonic_time();

	bucket->tokens +=
		bucket->rate * (double)(now - bucket->refilled_at) / USEC_PER_S;
	bucket->tokens = MIN(bucket->tokens, bucket->rate);
	bucket->refilled_at = now;
	if (bucket->tokens < 1)
		return false;
	bucket->tokens -= 1;
	return true;
}

static void reply_status(http_exchange_t *exchange, int status)
{
	standin_reply_text(exchange, status, NULL, "{}", 2);
}

/* Replies with an object and its version as ETag. */
static void reply_object(http_exchange_t *exchange, const object_t *object)
{
	char *etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", object->version);

	standin_reply_text(exchange, 200, etag, object->body, object->len);
	g_free(etag);
}

static void watch_on_disconnect(void *ctx)
{
	watch_t *watch = ctx;

	watch->exchange = NULL;
}

static void watch_free(watch_t *watch)
{
	list_remove(&watch->node);
	g_free(watch->key);
	g_free(watch);
}

/* Answers the watches of an object that are behind its version. */
static void watches_notify(platform_t *platform, const object_t *object)
{
	LIST_FOR_EACH_SAFE (it, &platform->watches) {
		watch_t *watch = LIST_ENTRY(it, watch_t, node);

		if (strcmp(watch->key, object->key) ||
		    object->version <= watch->after)
			continue;
		if (watch->exchange)
			reply_object(watch->exchange, object);
		watch_free(watch);
	}
}

/* Ends watches that have timed out, with 304, or whose caller disconnected. */
static void on_watch_sweep(uv_timer_t *timer)
{
	platform_t *platform = timer->data;
	uint64_t now = uv_now(platform->loop);

	LIST_FOR_EACH_SAFE (it, &platform->watches) {
		watch_t *watch = LIST_ENTRY(it, watch_t, node);

		if (watch->exchange && now < watch->until_ms)
			continue;
		if (watch->exchange)
			reply_status(watch->exchange, 304);
		watch_free(watch);
	}
}

/* Replies with an object, or waits up to "wait_ms" for a version above "after". */
static void object_get(platform_t *platform, http_exchange_t *exchange,
		       const char *key)
{
	const char *after = http_exchange_query(exchange, "after");
	const char *wait = http_exchange_query(exchange, "wait_ms");
	const object_t *object = g_hash_table_lookup(platform->objects, key);
	watch_t *watch;

	if (object &&
	    (!after || object->version > g_ascii_strtoull(after, NULL, 10))) {
		reply_object(exchange, object);
		return;
	}
	if (!after || !wait) {
		reply_status(exchange, object ? 304 : 404);
		return;
	}
	watch = g_new0(watch_t, 1);
	watch->exchange = exchange;
	watch->key = g_strdup(key);
	watch->after = g_ascii_strtoull(after, NULL, 10);
	watch->until_ms = uv_now(platform->loop) + g_ascii_strtoull(wait, NULL, 10);
	http_exchange_on_disconnect(exchange, watch_on_disconnect, watch);
	list_append(&platform->watches, &watch->node);
}

/* Lists the objects whose key has the prefix of the query, in no order. */
static void object_list(platform_t *platform, http_exchange_t *exchange)
{
	const char *prefix = http_exchange_query(exchange, "prefix");
	json_t *items = json_array();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, platform->objects);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const object_t *object = value;

		if (!prefix || g_str_has_prefix(object->key, prefix))
			json_array_append_new(
				items,
				json_pack("{s:s, s:I, s:s%}", "key", object->key,
					  "version", (json_int_t)object->version,
					  "body", object->body, object->len));
	}
	standin_reply_json(exchange, 200, json_pack("{s:o}", "objects", items));
}

/* A write. It owns copies of its parameters, as it can outlive the exchange. */
typedef struct write {
	platform_t *platform;
	http_exchange_t *exchange; /* NULL once the caller has disconnected */
	char *key;
	char *body;
	size_t len;
	char *match; /* required current version, or NULL */
	bool must_not_exist; /* the object must not exist */
	uint64_t version; /* created by the write */
} write_t;

static write_t *write_create(platform_t *platform, http_exchange_t *exchange,
			     const char *key)
{
	write_t *write = g_new0(write_t, 1);
	const char *data = http_exchange_body(exchange, &write->len);

	write->platform = platform;
	write->exchange = exchange;
	write->key = g_strdup(key);
	write->body = g_strndup(data, write->len);
	write->match = g_strdup(http_exchange_header(exchange, "if-match"));
	write->must_not_exist =
		http_exchange_header(exchange, "if-none-match") != NULL;
	return write;
}

static void write_free(write_t *write)
{
	g_free(write->key);
	g_free(write->body);
	g_free(write->match);
	g_free(write);
}

static void write_on_disconnect(void *ctx)
{
	write_t *write = ctx;

	write->exchange = NULL;
}

/* Returns true if the write's precondition holds for OBJECT, which may be NULL. */
static bool write_precondition_holds(const write_t *write, const object_t *object)
{
	if (write->must_not_exist)
		return object == NULL;
	if (!write->match)
		return true;
	return object && *write->match == '"' &&
	       g_ascii_strtoull(write->match + 1, NULL, 10) == object->version;
}

/* Applies a write; returns false if its precondition fails. */
static bool write_apply(write_t *write)
{
	platform_t *platform = write->platform;
	object_t *object = g_hash_table_lookup(platform->objects, write->key);

	if (!write_precondition_holds(write, object)) {
		platform->counts[COUNT_CONFLICTS]++;
		return false;
	}
	if (!object) {
		object = g_new0(object_t, 1);
		object->key = g_strdup(write->key);
		g_hash_table_insert(platform->objects, object->key, object);
	}
	g_free(object->body);
	object->body = g_strndup(write->body, write->len);
	object->len = write->len;
	object->version = ++platform->version;
	write->version = object->version;
	platform->counts[COUNT_WRITES]++;
	watches_notify(platform, object);
	return true;
}

/* Replies to a write that was applied, and frees it. */
static void write_reply(void *ctx)
{
	write_t *write = ctx;
	char *etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", write->version);

	if (write->exchange) {
		http_exchange_on_disconnect(write->exchange, NULL, NULL);
		standin_reply_text(write->exchange, 200, etag, "{}", 2);
	}
	g_free(etag);
	write_free(write);
}

/* Applies a write whose connection was aborted, and frees it. */
static void write_apply_late(void *ctx)
{
	write_t *write = ctx;

	write_apply(write);
	write_free(write);
}

/* Rejects a write of claims if a fault is set; returns true if it did. */
static bool write_is_rejected(platform_t *platform, http_exchange_t *exchange)
{
	int status = 0;

	if (platform->conflicts_left > 0) {
		platform->conflicts_left--;
		platform->counts[COUNT_CONFLICTS]++;
		status = 412;
	} else if (platform->rate_limits_left > 0) {
		platform->rate_limits_left--;
		status = 429;
	}
	if (status)
		reply_status(exchange, status);
	return status != 0;
}

/* Applies a conditional write, subject to the faults that are set. */
static void object_put(platform_t *platform, http_exchange_t *exchange,
		       const char *key)
{
	bool claims = g_str_has_prefix(key, "claims/");
	write_t *write;

	if (claims && write_is_rejected(platform, exchange))
		return;
	write = write_create(platform, exchange, key);
	if (write->len > OBJECT_BYTES_MAX) {
		reply_status(exchange, 413);
		write_free(write);
	} else if (claims && platform->write_delay_ms) {
		http_exchange_abort(exchange);
		standin_start_timer(platform->loop,
				    (uint64_t)platform->write_delay_ms,
				    write_apply_late, write);
	} else if (!write_apply(write)) {
		reply_status(exchange, 412);
		write_free(write);
	} else if (platform->replies_to_lose > 0) {
		platform->replies_to_lose--;
		http_exchange_abort(exchange);
		write_free(write);
	} else if (claims && platform->reply_delay_ms) {
		http_exchange_on_disconnect(exchange, write_on_disconnect, write);
		standin_start_timer(platform->loop,
				    (uint64_t)platform->reply_delay_ms,
				    write_reply, write);
	} else {
		write_reply(write);
	}
}

static void object_delete(platform_t *platform, http_exchange_t *exchange,
			  const char *key)
{
	platform->counts[COUNT_WRITES]++;
	g_hash_table_remove(platform->objects, key);
	reply_status(exchange, 200);
}

/* Dispatches a call to the object store, within its rate limits. */
static void on_objects(platform_t *platform, http_exchange_t *exchange)
{
	static const char prefix[] = "/objects/";
	const char *path = http_exchange_path(exchange);
	bool put = !strcmp(http_exchange_method(exchange), "PUT");
	bool delete = !strcmp(http_exchange_method(exchange), "DELETE");

	if (platform->store_down) {
		reply_status(exchange, 503);
		return;
	}
	if (!bucket_take(put || delete ? &platform->writes : &platform->reads)) {
		reply_status(exchange, 429);
		return;
	}
	if (put) {
		object_put(platform, exchange, path + strlen(prefix));
		return;
	}
	if (delete) {
		object_delete(platform, exchange, path + strlen(prefix));
		return;
	}
	platform->counts[COUNT_READS]++;
	if (!strcmp(path, "/objects"))
		object_list(platform, exchange);
	else
		object_get(platform, exchange, path + strlen(prefix));
}

/* Publishes the current VM list. Spare VMs are left out. */
static void vms_publish(void *ctx)
{
	platform_t *platform = ctx;
	json_t *items = json_array();
	json_t *list;
	const char *id;
	json_t *item;

	json_object_foreach(platform->vms, id, item)
	{
		if (strcmp(json_string_or(item, "state", ""), "spare") != 0)
			json_array_append(items, item);
	}
	list = json_pack("{s:o}", "vms", items);
	g_free(platform->vms_published);
	platform->vms_published = json_dumps(list, JSON_COMPACT | JSON_SORT_KEYS);
	platform->vms_version++;
	json_decref(list);
}

/* Publishes the VM list after the configured lag. */
static void vms_schedule_publish(platform_t *platform)
{
	if (platform->lag_ms == 0)
		vms_publish(platform);
	else
		standin_start_timer(platform->loop, (uint64_t)platform->lag_ms,
				    vms_publish, platform);
}

/* Replies with the published VM list, or 304 if it is at version "after". */
static void vms_get(platform_t *platform, http_exchange_t *exchange)
{
	const char *after = http_exchange_query(exchange, "after");
	char *etag;

	if (after && g_ascii_strtoull(after, NULL, 10) == platform->vms_version) {
		reply_status(exchange, 304);
		return;
	}
	etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", platform->vms_version);
	standin_reply_text(exchange, 200, etag, platform->vms_published,
			   strlen(platform->vms_published));
	g_free(etag);
}

/* Counts orders with a stale fencing token. They are carried out all the same. */
static void record_fencing_token(platform_t *platform, uint64_t fencing_token)
{
	if (fencing_token < platform->fencing_token)
		platform->stale_orders++;
	platform->fencing_token = MAX(platform->fencing_token, fencing_token);
}

/* Returns a spare VM of that zone and service, borrowed, or NULL. */
static json_t *find_spare(platform_t *platform, const char *zone, const char *serves)
{
	const char *id;
	json_t *item;

	json_object_foreach(platform->vms, id, item)
	{
		if (!strcmp(json_string_or(item, "state", ""), "spare") &&
		    !strcmp(json_string_or(item, "zone", ""), zone) &&
		    !strcmp(json_string_or(item, "serves", ""), serves))
			return item;
	}
	return NULL;
}

/* Makes a spare VM live under the order's tag. */
static void start_vm(platform_t *platform, json_t *item, json_t *order)
{
	const char *tag = json_string_or(order, "tag", "");

	json_object_set_new(item, "state", json_string("live"));
	json_object_set_new(item, "tag", json_string(tag));
	json_object_set(item, "reclaimable", json_object_get(order, "reclaimable"));
	g_hash_table_add(platform->purchased_tags, g_strdup(tag));
	vms_schedule_publish(platform);
}

/*
 * Makes a spare VM of the order's zone and service live. Returns the HTTP status:
 * 201 if a VM was started, 200 if the tag has one already, 503 if none is spare.
 */
static int purchase_vm(platform_t *platform, json_t *order)
{
	const char *tag = json_string_or(order, "tag", "");
	json_t *spare = find_spare(platform, json_string_or(order, "zone", ""),
				   json_string_or(order, "serves", ""));

	record_fencing_token(platform,
			     (uint64_t)json_integer_or(order, "fence", 0));
	json_object_set_new(platform->order_counts, tag,
			    json_integer(json_integer_or(platform->order_counts,
							 tag, 0) +
					 1));
	if (!platform->forgets_tags &&
	    g_hash_table_contains(platform->purchased_tags, tag))
		return 200;
	if (!spare || platform->purchases_rejected)
		return 503;
	start_vm(platform, spare, order);
	return 201;
}

/* Carries out a purchase; aborts the connection if its reply is to be lost. */
static void vms_post(platform_t *platform, http_exchange_t *exchange)
{
	json_t *order = standin_parse_body(exchange);
	int status = purchase_vm(platform, order);

	if (status == 201 && platform->purchase_replies_to_lose > 0) {
		platform->purchase_replies_to_lose--;
		http_exchange_abort(exchange);
	} else {
		reply_status(exchange, status);
	}
	json_decref(order);
}

/* Releases a VM, which becomes spare. */
static void vms_delete(platform_t *platform, http_exchange_t *exchange,
		       const char *id)
{
	const char *fencing_token = http_exchange_query(exchange, "fence");
	json_t *item = json_object_get(platform->vms, id);

	record_fencing_token(platform,
			     fencing_token
				     ? g_ascii_strtoull(fencing_token, NULL, 10)
				     : 0);
	if (!item) {
		reply_status(exchange, 404);
		return;
	}
	json_object_set_new(item, "state", json_string("spare"));
	json_object_del(item, "tag");
	vms_schedule_publish(platform);
	reply_status(exchange, 200);
}

static void on_vms(platform_t *platform, http_exchange_t *exchange)
{
	static const char prefix[] = "/vms/";
	const char *method = http_exchange_method(exchange);
	const char *path = http_exchange_path(exchange);

	if (!strcmp(method, "GET")) {
		platform->counts[COUNT_READS]++;
		vms_get(platform, exchange);
	} else if (!strcmp(method, "POST")) {
		vms_post(platform, exchange);
	} else {
		vms_delete(platform, exchange, path + strlen(prefix));
	}
}

/* Adds a VM; the body is its item in the VM list. */
static void standin_add_vm(platform_t *platform, http_exchange_t *exchange)
{
	json_t *item = standin_parse_body(exchange);

	json_object_set(platform->vms, json_string_or(item, "id", "?"), item);
	json_decref(item);
	vms_schedule_publish(platform);
	reply_status(exchange, 200);
}

/* Gives a VM its reclaim notice; by default it leaves in 30 s. */
static void standin_notice(platform_t *platform, http_exchange_t *exchange)
{
	json_t *body = standin_parse_body(exchange);
	json_t *item =
		json_object_get(platform->vms, json_string_or(body, "id", ""));

	if (item) {
		json_object_set_new(item, "state", json_string("leaving"));
		json_object_set_new(item, "leaves_in_ms",
				    json_integer(json_integer_or(body, "leaves_in_ms",
								 30000)));
		vms_schedule_publish(platform);
	}
	reply_status(exchange, item ? 200 : 404);
	json_decref(body);
}

/* Sets the faults; those that the body lacks are cleared, but for the lag. */
static void standin_faults(platform_t *platform, http_exchange_t *exchange)
{
	json_t *body = standin_parse_body(exchange);

	platform->store_down =
		json_is_true(json_object_get(body, "store_down"));
	platform->purchases_rejected =
		json_is_true(json_object_get(body, "starts_refused"));
	platform->replies_to_lose = json_integer_or(body, "lose_answers", 0);
	platform->purchase_replies_to_lose =
		json_integer_or(body, "lose_purchases", 0);
	platform->forgets_tags =
		json_is_true(json_object_get(body, "forgets_tags"));
	platform->delay_ms = json_integer_or(body, "delay_ms", 0);
	platform->reply_delay_ms = json_integer_or(body, "late_answers_ms", 0);
	platform->write_delay_ms = json_integer_or(body, "late_writes_ms", 0);
	platform->conflicts_left = json_integer_or(body, "conflicts", 0);
	platform->rate_limits_left = json_integer_or(body, "too_many", 0);
	platform->lag_ms = json_integer_or(body, "lag_ms", platform->lag_ms);
	reply_status(exchange, 200);
	json_decref(body);
}

static void standin_counts(platform_t *platform, http_exchange_t *exchange)
{
	standin_reply_json(
		exchange, 200,
		json_pack("{s:I, s:I, s:I}", "writes",
			  (json_int_t)platform->counts[COUNT_WRITES], "reads",
			  (json_int_t)platform->counts[COUNT_READS], "conflicts",
			  (json_int_t)platform->counts[COUNT_CONFLICTS]));
}

/* Replies with the purchases by tag and the number of stale orders. */
static void standin_orders(platform_t *platform, http_exchange_t *exchange)
{
	standin_reply_json(exchange, 200,
			   json_pack("{s:O, s:I}", "orders",
				     platform->order_counts, "stale_orders",
				     (json_int_t)platform->stale_orders));
}

/* Replaces the body that /prices replies with. */
static void standin_prices(platform_t *platform, http_exchange_t *exchange)
{
	json_decref(platform->prices);
	platform->prices = standin_parse_body(exchange);
	reply_status(exchange, 200);
}

static void on_standin(platform_t *platform, http_exchange_t *exchange)
{
	const char *path = http_exchange_path(exchange);

	if (!strcmp(path, "/standin/vms"))
		standin_add_vm(platform, exchange);
	else if (!strcmp(path, "/standin/notice"))
		standin_notice(platform, exchange);
	else if (!strcmp(path, "/standin/faults"))
		standin_faults(platform, exchange);
	else if (!strcmp(path, "/standin/orders"))
		standin_orders(platform, exchange);
	else if (!strcmp(path, "/standin/prices"))
		standin_prices(platform, exchange);
	else
		standin_counts(platform, exchange);
}

/* An object call that is held back for the configured delay. */
typedef struct delayed_request {
	platform_t *platform;
	http_exchange_t *exchange; /* NULL once the caller has disconnected */
} delayed_request_t;

static void delayed_on_disconnect(void *ctx)
{
	delayed_request_t *delayed_request = ctx;

	delayed_request->exchange = NULL;
}

static void delayed_run(void *ctx)
{
	delayed_request_t *delayed_request = ctx;

	if (delayed_request->exchange) {
		http_exchange_on_disconnect(delayed_request->exchange, NULL, NULL);
		on_objects(delayed_request->platform, delayed_request->exchange);
	}
	g_free(delayed_request);
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	platform_t *platform = ctx;
	const char *path = http_exchange_path(exchange);

	if (g_str_has_prefix(path, "/objects") && platform->delay_ms) {
		delayed_request_t *delayed_request = g_new0(delayed_request_t, 1);

		delayed_request->platform = platform;
		delayed_request->exchange = exchange;
		http_exchange_on_disconnect(exchange, delayed_on_disconnect,
					    delayed_request);
		standin_start_timer(platform->loop, (uint64_t)platform->delay_ms,
				    delayed_run, delayed_request);
	} else if (g_str_has_prefix(path, "/objects")) {
		on_objects(platform, exchange);
	} else if (g_str_has_prefix(path, "/vms")) {
		on_vms(platform, exchange);
	} else if (!strcmp(path, "/prices")) {
		standin_reply_json(exchange, 200, json_incref(platform->prices));
	} else if (g_str_has_prefix(path, "/weights/")) {
		reply_status(exchange, bucket_take(&platform->weights) ? 200 : 429);
	} else if (g_str_has_prefix(path, "/standin/")) {
		on_standin(platform, exchange);
	} else {
		reply_status(exchange, 404);
	}
}

int main(void)
{
	platform_t platform = {
		.loop = uv_default_loop(),
		.lag_ms = 200,
		.writes = { WRITES_PER_S, WRITES_PER_S, 0 },
		.reads = { READS_PER_S, READS_PER_S, 0 },
		.weights = { WEIGHTS_PER_S, WEIGHTS_PER_S, 0 },
	};

	platform.objects = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 object_free);
	platform.purchased_tags =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	platform.vms = json_object();
	platform.order_counts = json_object();
	platform.prices = json_pack("{s:[]}", "offers");
	list_init(&platform.watches);
	vms_publish(&platform);
	uv_timer_init(platform.loop, &platform.sweep_timer);
	platform.sweep_timer.data = &platform;
	uv_timer_start(&platform.sweep_timer, on_watch_sweep, 100, 100);
	standin_serve(platform.loop, on_request, &platform);
	standin_run(platform.loop);
	return 0;
}
