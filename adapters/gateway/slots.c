/* Asks for slots, and dispatches those of the services that this gateway is in charge of. */
#include "adapters/gateway/slots.h"

#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "core/hash.h"

#define LOG_COMPONENT "slots"
/* Slots of a service for each gateway below which they are shared out. */
#define SLOTS_PER_GATEWAY_MAX 2
/* Utilization from which on slots are scarce, and below which they aren't any more. */
#define SCARCE_UTILIZATION 0.5
#define PLENTY_UTILIZATION 0.35
/* Slots stay scarce for this long after a request was rejected or waited. */
#define SHORTAGE_TTL (5 * PD_SEC)
/* How often the state of a service is worked out anew. */
#define CHECK_PERIOD (100 * PD_MSEC)
/*
 * A dispatcher answers within a few milliseconds. Without an answer requests choose an
 * upstream by themselves, and don't ask for a while.
 */
#define ANSWER_TIMEOUT (25 * PD_MSEC)
#define UNANSWERED_PAUSE PD_SEC
/* The dispatcher repeats several times within this that a request waits. */
#define QUEUED_TIMEOUT (700 * PD_MSEC)
/* A dispatcher without requests for this long is removed. */
#define DISPATCH_IDLE_TTL (30 * PD_SEC)
#define LOG_PERIOD (5 * PD_SEC)

/* A request of this gateway that asked for a slot, until its attempt has ended. */
typedef struct ask {
	gateway_request_t *request; /* NULL once it has a slot */
	uint32_t number;
	uint32_t service; /* hash of the name */
	char *dispatcher; /* address of the gateway */
	pd_time_t asked_at;
	pd_time_t heard_at; /* when it was asked, or last answered */
	pd_time_t timeout; /* after heard_at */
} ask_t;

/* A service whose slots this gateway uses. */
typedef struct service_state {
	bool scarce;
	pd_time_t checked_at;
	pd_time_t shortage_at; /* 0: never */
} service_state_t;

/* A service whose slots this gateway dispatches. */
typedef struct dispatch_state {
	gateway_slots_t *slots;
	slot_dispatch_t *dispatch;
	char *service;
	uint32_t hash;
	pd_time_t requested_at;
	pd_time_t logged_at;
	uint64_t logged_granted;
} dispatch_state_t;

struct gateway_slots {
	gateway_t *gateway;
	gateway_slot_hooks_t hooks;
	GHashTable *services; /* name -> service_state_t */
	GHashTable *dispatches; /* hash -> dispatch_state_t */
	GHashTable *asks; /* number -> ask_t */
	/*
	 * Of slot_answer_t: answers to requests of this gateway from a dispatcher of its
	 * own, until the next flush. Their hooks may end requests and send others, which
	 * neither the dispatcher nor whoever asks or releases expects.
	 */
	GArray *answers;
	uint32_t last_number;
	pd_time_t paused_until; /* no dispatcher is asked */
};

static void ask_destroy(void *data)
{
	ask_t *ask = data;

	g_free(ask->dispatcher);
	g_free(ask);
}

static void dispatch_state_destroy(void *data)
{
	dispatch_state_t *state = data;

	slot_dispatch_destroy(state->dispatch);
	g_free(state->service);
	g_free(state);
}

/* Returns the number by which a service is named in messages. */
static uint32_t service_hash(const char *service)
{
	return (uint32_t)hash_string(service);
}

/* Returns an object that asks for no slots yet; the caller owns it. */
gateway_slots_t *gateway_slots_create(gateway_t *gateway,
				      const gateway_slot_hooks_t *hooks)
{
	gateway_slots_t *slots = g_new0(gateway_slots_t, 1);

	slots->gateway = gateway;
	slots->hooks = *hooks;
	slots->last_number = g_rand_int(gateway->random);
	slots->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	slots->dispatches =
		g_hash_table_new_full(NULL, NULL, NULL, dispatch_state_destroy);
	slots->asks = g_hash_table_new_full(NULL, NULL, NULL, ask_destroy);
	slots->answers = g_array_new(FALSE, FALSE, sizeof(slot_answer_t));
	return slots;
}

/* Frees the object, without calls of the hooks; NULL is allowed. */
void gateway_slots_destroy(gateway_slots_t *slots)
{
	if (!slots)
		return;
	g_hash_table_unref(slots->services);
	g_hash_table_unref(slots->dispatches);
	g_hash_table_unref(slots->asks);
	g_array_unref(slots->answers);
	g_free(slots);
}

/* Returns the state of a service; adds one that is missing. */
static service_state_t *get_service(gateway_slots_t *slots, const char *service)
{
	service_state_t *state = g_hash_table_lookup(slots->services, service);

	if (!state) {
		state = g_new0(service_state_t, 1);
		g_hash_table_insert(slots->services, g_strdup(service), state);
	}
	return state;
}

/* Records that a request waited for a slot, or that an upstream rejected it. */
void gateway_slots_record_shortage(gateway_slots_t *slots, const char *service)
{
	get_service(slots, service)->shortage_at = gateway_now();
}

/*
 * Returns whether a service has fewer slots than its gateways can share evenly. Brittle
 * upstreams may admit fewer requests than their slots; requests to them need grants.
 */
static bool has_few_slots(const gateway_t *gateway, const char *service)
{
	const GPtrArray *serving =
		forward_upstreams_serving(gateway->upstreams, service);
	unsigned int slots = 0;

	for (guint i = 0; serving && i < serving->len; i++) {
		const forward_upstream_t *upstream = g_ptr_array_index(serving, i);

		if (forward_upstreams_rejections_max(gateway->upstreams, upstream))
			return false;
		if (!forward_upstream_is_resting(upstream, gateway_now()))
			slots += upstream->slots;
	}
	return slots && slots < SLOTS_PER_GATEWAY_MAX * gateway_count(gateway);
}

/* Works out whether the slots of a service are scarce. */
static bool check_scarcity(const gateway_slots_t *slots, const char *service,
			   const service_state_t *state, pd_time_t now)
{
	const gateway_t *gateway = slots->gateway;
	double utilization;

	if (gateway_peers_is_mesh(gateway->peers) ||
	    !has_few_slots(gateway, service))
		return false;
	if (state->shortage_at && now - state->shortage_at < SHORTAGE_TTL)
		return true;
	utilization =
		forward_upstreams_utilization(gateway->upstreams, service, now);
	return utilization >
	       (state->scarce ? PLENTY_UTILIZATION : SCARCE_UTILIZATION);
}

/* Returns whether requests for a service are to ask for slots. */
bool gateway_slots_are_scarce(gateway_slots_t *slots, const char *service)
{
	service_state_t *state = get_service(slots, service);
	pd_time_t now = gateway_now();
	bool was_scarce = state->scarce;

	if (now - state->checked_at < CHECK_PERIOD)
		return state->scarce;
	state->checked_at = now;
	state->scarce = check_scarcity(slots, service, state, now);
	if (state->scarce != was_scarce)
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
			 "service=%s scarce=%d", service, state->scarce);
	return state->scarce;
}

/* Sends the dispatcher a message about an ask, or handles it here. */
static void send_release(gateway_slots_t *slots, const ask_t *ask, bool rejected)
{
	const char *own = gateway_peers_address(slots->gateway->peers);

	if (!g_strcmp0(ask->dispatcher, own))
		gateway_slots_receive_release(slots, own, ask->service,
					      ask->number, rejected);
	else
		gateway_peers_send_slot_release(slots->gateway->peers,
						ask->dispatcher, ask->service,
						ask->number, rejected);
}

/* Returns a number that no ask has; not 0. */
static uint32_t next_number(gateway_slots_t *slots)
{
	do
		slots->last_number++;
	while (!slots->last_number ||
	       g_hash_table_contains(slots->asks,
				     GUINT_TO_POINTER(slots->last_number)));
	return slots->last_number;
}

/*
 * Asks the dispatcher of a service for a slot on behalf of REQUEST, which then waits for
 * one of the hooks; none is called before this returns. Sets NUMBER, which names the ask
 * until it is released, and ASK's gateway and number. Returns whether there is a dispatcher
 * to ask.
 */
bool gateway_slots_ask(gateway_slots_t *slots, const char *service,
		       slot_request_t *ask, gateway_request_t *request,
		       uint32_t *number)
{
	gateway_t *gateway = slots->gateway;
	pd_time_t now = gateway_now();
	const char *own = gateway_peers_address(gateway->peers);
	const char *dispatcher;
	ask_t *entry;

	if (now < slots->paused_until)
		return false;
	dispatcher = gateway_peers_slot_dispatcher(gateway->peers, service);
	if (!dispatcher)
		return false;
	ask->gateway = own;
	ask->number = next_number(slots);
	*number = ask->number;
	entry = g_new0(ask_t, 1);
	entry->request = request;
	entry->number = ask->number;
	entry->service = service_hash(service);
	entry->dispatcher = g_strdup(dispatcher);
	entry->asked_at = now;
	entry->heard_at = now;
	entry->timeout = ANSWER_TIMEOUT;
	g_hash_table_insert(slots->asks, GUINT_TO_POINTER(ask->number), entry);
	metrics_add(gateway->metrics, "gateway_slot_asks_total", 1);
	if (!g_strcmp0(dispatcher, own))
		gateway_slots_receive_request(slots, entry->service, ask);
	else
		gateway_peers_send_slot_request(gateway->peers, dispatcher,
						entry->service, ask);
	return true;
}

/*
 * Ends an ask: the slot is free, or not wanted any more. REJECTED: the upstream had no
 * room. A number that is not known is ignored.
 */
void gateway_slots_release(gateway_slots_t *slots, uint32_t number, bool rejected)
{
	gpointer key = GUINT_TO_POINTER(number);
	ask_t *ask = g_hash_table_lookup(slots->asks, key);

	if (!ask)
		return;
	if (rejected)
		metrics_add(slots->gateway->metrics,
			    "gateway_slot_rejections_total", 1);
	g_hash_table_steal(slots->asks, key);
	send_release(slots, ask, rejected);
	ask_destroy(ask);
}

/* Applies an answer to an ask of this gateway. */
void gateway_slots_receive_answer(gateway_slots_t *slots, const slot_answer_t *answer)
{
	gpointer key = GUINT_TO_POINTER(answer->number);
	ask_t *ask = g_hash_table_lookup(slots->asks, key);
	gateway_request_t *request = ask ? ask->request : NULL;

	/* A slot that is not wanted any more was released already. */
	if (!request)
		return;
	switch (answer->kind) {
	case SLOT_QUEUED:
		ask->heard_at = gateway_now();
		ask->timeout = QUEUED_TIMEOUT;
		break;
	case SLOT_GRANTED:
		ask->request = NULL;
		metrics_observe_ms(slots->gateway->metrics,
				   "gateway_slot_wait_ms", "answer", "granted",
				   (double)(gateway_now() - ask->asked_at) /
					   PD_MSEC);
		slots->hooks.on_granted(request, answer->short_id);
		break;
	case SLOT_REFUSED:
		g_hash_table_remove(slots->asks, key);
		slots->hooks.on_refused(request, answer->retry_after);
		break;
	}
}

/* Applies the answers to requests of this gateway from dispatchers of its own. */
void gateway_slots_flush(gateway_slots_t *slots)
{
	while (slots->answers->len) {
		GArray *answers = slots->answers;

		/* The hooks may ask and release, which adds answers. */
		slots->answers = g_array_new(FALSE, FALSE, sizeof(slot_answer_t));
		for (guint i = 0; i < answers->len; i++)
			gateway_slots_receive_answer(
				slots, &g_array_index(answers, slot_answer_t, i));
		g_array_unref(answers);
	}
}

/* Sends an answer to the gateway that asked; CTX is a dispatch_state_t. */
static void on_answer(void *ctx, const slot_answer_t *answer)
{
	const dispatch_state_t *state = ctx;
	gateway_slots_t *slots = state->slots;
	gateway_peers_t *peers = slots->gateway->peers;

	if (answer->kind != SLOT_QUEUED)
		metrics_add(slots->gateway->metrics,
			    answer->kind == SLOT_GRANTED
				    ? "gateway_slot_grants_total"
				    : "gateway_slot_refusals_total",
			    1);
	if (!g_strcmp0(answer->gateway, gateway_peers_address(peers)))
		g_array_append_val(slots->answers, *answer);
	else
		gateway_peers_send_slot_answer(peers, answer);
}

/* Returns the service of the configuration with a hash, borrowed; NULL: none. */
static const char *find_service(const gateway_t *gateway, uint32_t hash)
{
	const forward_config_t *config = gateway->config;

	for (guint i = 0; config && i < config->services->len; i++) {
		const forward_service_t *service =
			g_ptr_array_index(config->services, i);

		if (service_hash(service->name) == hash)
			return service->name;
	}
	return NULL;
}

/* Sets the upstreams whose slots are dispatched to those that serve. */
static void update_upstreams(const dispatch_state_t *state)
{
	const GPtrArray *serving =
		forward_upstreams_serving(state->slots->gateway->upstreams,
					  state->service);
	guint count = serving ? serving->len : 0;
	slot_upstream_t *upstreams = g_new0(slot_upstream_t, MAX(count, 1));

	for (guint i = 0; i < count; i++) {
		const forward_upstream_t *upstream = g_ptr_array_index(serving, i);

		upstreams[i].short_id = forward_upstream_short_id(upstream);
		upstreams[i].slots = upstream->slots;
	}
	slot_dispatch_set_upstreams(state->dispatch, upstreams, count);
	g_free(upstreams);
}

/* Returns the dispatcher of a service; creates one that is missing. NULL: unknown service. */
static dispatch_state_t *get_dispatch(gateway_slots_t *slots, uint32_t hash)
{
	dispatch_state_t *state =
		g_hash_table_lookup(slots->dispatches, GUINT_TO_POINTER(hash));
	const char *service;

	if (state)
		return state;
	service = find_service(slots->gateway, hash);
	if (!service)
		return NULL;
	state = g_new0(dispatch_state_t, 1);
	state->slots = slots;
	state->service = g_strdup(service);
	state->hash = hash;
	state->dispatch = slot_dispatch_create(on_answer, state);
	update_upstreams(state);
	g_hash_table_insert(slots->dispatches, GUINT_TO_POINTER(hash), state);
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT, "service=%s dispatched=here",
		 service);
	return state;
}

/* Handles a gateway's request for a slot of a service, named by its hash. */
void gateway_slots_receive_request(gateway_slots_t *slots, uint32_t service,
				   const slot_request_t *request)
{
	dispatch_state_t *state = get_dispatch(slots, service);

	/* The gateway may have a newer configuration, and goes on without an answer. */
	if (!state)
		return;
	state->requested_at = gateway_now();
	slot_dispatch_request(state->dispatch, request, state->requested_at);
}

/* Handles that a slot which was granted here is free, or not wanted any more. */
void gateway_slots_receive_release(gateway_slots_t *slots, const char *gateway,
				   uint32_t service, uint32_t number, bool rejected)
{
	dispatch_state_t *state =
		g_hash_table_lookup(slots->dispatches, GUINT_TO_POINTER(service));

	if (state)
		slot_dispatch_release(state->dispatch, gateway, number,
				      rejected, gateway_now());
}

/* Frees the slots that a gateway had before it started anew. */
void gateway_slots_remove_gateway(gateway_slots_t *slots, const char *gateway)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, slots->dispatches);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		slot_dispatch_remove_gateway(((dispatch_state_t *)value)->dispatch,
					     gateway, gateway_now());
}

/* Logs the figures of a dispatcher if there are new ones. */
static void log_dispatch(dispatch_state_t *state, pd_time_t now)
{
	const slot_stats_t *stats = slot_dispatch_stats(state->dispatch);

	if (now - state->logged_at < LOG_PERIOD ||
	    stats->granted == state->logged_granted)
		return;
	state->logged_at = now;
	state->logged_granted = stats->granted;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "service=%s granted=%" G_GUINT64_FORMAT
		 " waited=%" G_GUINT64_FORMAT " refused=%" G_GUINT64_FORMAT
		 " waiting=%u wait_ms=%.1f",
		 state->service, stats->granted, stats->waited, stats->refused,
		 stats->queued,
		 stats->waited ? (double)stats->waiting_time /
					 (double)stats->waited / PD_MSEC
			       : 0);
}

/* Runs the dispatchers of this gateway, and removes idle ones. */
static void run_dispatches(gateway_slots_t *slots, pd_time_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, slots->dispatches);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		dispatch_state_t *state = value;

		if (now - state->requested_at > DISPATCH_IDLE_TTL) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		update_upstreams(state);
		slot_dispatch_run(state->dispatch, now);
		log_dispatch(state, now);
	}
}

/* Returns the numbers of the asks that got no answer in time; the caller owns the array. */
static GArray *unanswered_asks(const gateway_slots_t *slots, pd_time_t now)
{
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, slots->asks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ask_t *ask = value;

		if (ask->request && now - ask->heard_at > ask->timeout)
			g_array_append_val(numbers, ask->number);
	}
	return numbers;
}

/* Has requests go on without a dispatcher that does not answer. */
static void end_unanswered(gateway_slots_t *slots, pd_time_t now)
{
	GArray *numbers = unanswered_asks(slots, now);

	for (guint i = 0; i < numbers->len; i++) {
		uint32_t number = g_array_index(numbers, uint32_t, i);
		ask_t *ask = g_hash_table_lookup(slots->asks,
						 GUINT_TO_POINTER(number));
		gateway_request_t *request;

		/* The hook of another one may have ended it. */
		if (!ask || !ask->request)
			continue;
		request = ask->request;
		if (now >= slots->paused_until) {
			log_line(G_LOG_LEVEL_WARNING, LOG_COMPONENT,
				 "dispatcher=%s unanswered", ask->dispatcher);
			slots->paused_until = now + UNANSWERED_PAUSE;
		}
		metrics_add(slots->gateway->metrics,
			    "gateway_slot_asks_unanswered_total", 1);
		gateway_slots_release(slots, number, false);
		slots->hooks.on_unanswered(request);
	}
	g_array_unref(numbers);
}

/* Runs what is due by now. */
void gateway_slots_run(gateway_slots_t *slots, pd_time_t now)
{
	run_dispatches(slots, now);
	end_unanswered(slots, now);
}
