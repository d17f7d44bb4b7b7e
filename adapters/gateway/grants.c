/* Asks for grants of brittle upstreams, and issues those that this gateway is in charge of. */
#include "adapters/gateway/grants.h"

#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"

#define LOG_COMPONENT "grants"
/* An issuer answers within a few milliseconds; without an answer nothing is sent. */
#define ANSWER_TIMEOUT (50 * PD_MSEC)
/* An upstream whose issuer does not answer is not asked for again for so long. */
#define UNANSWERED_PAUSE (500 * PD_MSEC)
/* Denials that a gateway may collect at once, and in a second: they bound its messages. */
#define DENIALS_BURST 20.0
#define DENIALS_RATE 50.0
#define LOG_PERIOD (5 * PD_SEC)

/* A request of this gateway that asked for a grant, until its attempt has ended. */
typedef struct ask {
	gateway_request_t *request; /* NULL once it is answered */
	uint32_t number;
	uint32_t short_id; /* of the upstream */
	char *issuer; /* address of the gateway */
	pd_time_t asked_at;
} ask_t;

struct gateway_grants {
	gateway_t *gateway;
	gateway_grant_hooks_t hooks;
	brittle_issuer_t *issuer;
	GHashTable *asks; /* number -> ask_t */
	/*
	 * Of brittle_answer_t: answers of this gateway to itself, until the next flush.
	 * Their hooks may end requests, which must not happen during an ask.
	 */
	GArray *answers;
	uint32_t last_number;
	double denials; /* that it may still collect, as of denials_at */
	pd_time_t denials_at;
	uint64_t candidates; /* generation of those that issue, as of the last run */
	pd_time_t logged_at;
	uint64_t logged_granted;
	uint64_t logged_denied;
};

/* Frees an ask_t. */
static void ask_destroy(void *data)
{
	ask_t *ask = data;

	g_free(ask->issuer);
	g_free(ask);
}

/* Returns an object that asks for no grants yet; the caller owns it. */
gateway_grants_t *gateway_grants_create(gateway_t *gateway,
					const gateway_grant_hooks_t *hooks)
{
	gateway_grants_t *grants = g_new0(gateway_grants_t, 1);

	grants->gateway = gateway;
	grants->hooks = *hooks;
	grants->issuer = brittle_issuer_create();
	grants->last_number = g_rand_int(gateway->random);
	grants->asks = g_hash_table_new_full(NULL, NULL, NULL, ask_destroy);
	grants->answers = g_array_new(FALSE, FALSE, sizeof(brittle_answer_t));
	grants->denials = DENIALS_BURST;
	grants->denials_at = gateway_now();
	return grants;
}

/* Frees the object, without calls of the hooks; NULL is allowed. */
void gateway_grants_destroy(gateway_grants_t *grants)
{
	if (!grants)
		return;
	brittle_issuer_destroy(grants->issuer);
	g_hash_table_unref(grants->asks);
	g_array_unref(grants->answers);
	g_free(grants);
}

/* Returns how many denials may be collected as of NOW. */
static double denials_left(const gateway_grants_t *grants, pd_time_t now)
{
	return MIN(grants->denials +
			   DENIALS_RATE * (double)(now - grants->denials_at) / PD_SEC,
		   DENIALS_BURST);
}

/*
 * Returns whether this gateway may ask for grants. Where upstreams have no room it is
 * denied most of them, and takes brittle upstreams for full when it was denied too often.
 */
bool gateway_grants_may_ask(const gateway_grants_t *grants, pd_time_t now)
{
	return denials_left(grants, now) >= 1;
}

/* Records that this gateway was denied a grant. */
static void count_denial(gateway_grants_t *grants)
{
	pd_time_t now = gateway_now();

	grants->denials = MAX(denials_left(grants, now) - 1, 0);
	grants->denials_at = now;
	metrics_add(grants->gateway->metrics, "gateway_grant_denials_total", 1);
}

/* Returns a number that no ask has; not 0. */
static uint32_t next_number(gateway_grants_t *grants)
{
	do
		grants->last_number++;
	while (!grants->last_number ||
	       g_hash_table_contains(grants->asks,
				     GUINT_TO_POINTER(grants->last_number)));
	return grants->last_number;
}

/*
 * Asks for a grant for an upstream, which must be brittle, on behalf of REQUEST, which then
 * waits for one of the hooks; none is called before this returns. Returns the number of the
 * ask, to be reported when the attempt has ended.
 */
uint32_t gateway_grants_ask(gateway_grants_t *grants,
			    const forward_upstream_t *upstream,
			    pd_time_t time_left, gateway_request_t *request)
{
	gateway_t *gateway = grants->gateway;
	const char *own = gateway_peers_address(gateway->peers);
	const char *issuer =
		gateway_peers_grant_issuer(gateway->peers, upstream->id_hash);
	const brittle_ask_t ask = {
		.gateway = own,
		.number = next_number(grants),
		.short_id = forward_upstream_short_id(upstream),
		.slots = upstream->slots,
		.rejections_max = forward_upstreams_rejections_max(gateway->upstreams,
								   upstream),
		.time_left = time_left,
	};
	ask_t *entry = g_new0(ask_t, 1);

	entry->request = request;
	entry->number = ask.number;
	entry->short_id = ask.short_id;
	entry->issuer = g_strdup(issuer);
	entry->asked_at = gateway_now();
	g_hash_table_insert(grants->asks, GUINT_TO_POINTER(ask.number), entry);
	metrics_add(gateway->metrics, "gateway_grant_asks_total", 1);
	if (!g_strcmp0(issuer, own))
		gateway_grants_receive_ask(grants, &ask);
	else
		gateway_peers_send_grant_ask(gateway->peers, issuer, &ask);
	return ask.number;
}

/* Returns whether a grant may still be used: it expires soon after it was asked for. */
bool gateway_grants_is_fresh(const gateway_grants_t *grants, uint32_t number,
			     pd_time_t now)
{
	const ask_t *ask =
		g_hash_table_lookup(grants->asks, GUINT_TO_POINTER(number));

	return ask && now - ask->asked_at <= BRITTLE_GRANT_TTL;
}

/*
 * Reports to the issuer what became of a grant, or that it is not wanted any more; after
 * any outcome but BRITTLE_ADMITTED the number is not known any more. A number that is not
 * known is ignored.
 */
void gateway_grants_report(gateway_grants_t *grants, uint32_t number,
			   brittle_outcome_t outcome)
{
	gateway_peers_t *peers = grants->gateway->peers;
	const char *own = gateway_peers_address(peers);
	gpointer key = GUINT_TO_POINTER(number);
	const ask_t *ask = g_hash_table_lookup(grants->asks, key);

	if (!ask)
		return;
	if (outcome == BRITTLE_REJECTED)
		metrics_add(grants->gateway->metrics,
			    "gateway_brittle_rejections_total", 1);
	if (!g_strcmp0(ask->issuer, own))
		gateway_grants_receive_report(grants, own, ask->short_id,
					      number, outcome);
	else
		gateway_peers_send_grant_report(peers, ask->issuer,
						ask->short_id, number, outcome);
	if (outcome != BRITTLE_ADMITTED)
		g_hash_table_remove(grants->asks, key);
}

/* Returns whether this gateway issues the grants of an upstream. */
static bool issues_here(void *ctx, uint32_t short_id)
{
	const gateway_grants_t *grants = ctx;
	gateway_t *gateway = grants->gateway;
	const forward_upstream_t *upstream =
		forward_upstreams_find_by_short_id(gateway->upstreams, short_id);

	return upstream &&
	       !g_strcmp0(gateway_peers_grant_issuer(gateway->peers,
						     upstream->id_hash),
			  gateway_peers_address(gateway->peers));
}

/*
 * Answers an ask of a gateway. One for an upstream that another gateway issues grants for,
 * by what is known here, is denied.
 */
void gateway_grants_receive_ask(gateway_grants_t *grants, const brittle_ask_t *ask)
{
	gateway_peers_t *peers = grants->gateway->peers;
	const char *own = gateway_peers_address(peers);
	brittle_answer_t answer = { .number = ask->number,
				    .retry_after = UNANSWERED_PAUSE };

	if (issues_here(grants, ask->short_id))
		answer.granted = brittle_issuer_request(
			grants->issuer, ask,
			gateway_peers_issues_grants_since(peers), gateway_now(),
			&answer.retry_after);
	if (!g_strcmp0(ask->gateway, own))
		g_array_append_val(grants->answers, answer);
	else
		gateway_peers_send_grant_answer(peers, ask->gateway, &answer);
}

/* Applies an answer to an ask of this gateway; returns the grant if it is not wanted. */
void gateway_grants_receive_answer(gateway_grants_t *grants,
				   const brittle_answer_t *answer)
{
	ask_t *ask = g_hash_table_lookup(grants->asks,
					 GUINT_TO_POINTER(answer->number));
	gateway_request_t *request = ask ? ask->request : NULL;

	/* What is not wanted any more was reported already. */
	if (!request)
		return;
	ask->request = NULL;
	if (answer->granted) {
		grants->hooks.on_granted(request);
		return;
	}
	g_hash_table_remove(grants->asks, GUINT_TO_POINTER(answer->number));
	count_denial(grants);
	grants->hooks.on_denied(request, answer->retry_after);
}

/* Applies what became of a grant that was issued here. */
void gateway_grants_receive_report(gateway_grants_t *grants,
				   const char *gateway, uint32_t short_id,
				   uint32_t number, brittle_outcome_t outcome)
{
	brittle_issuer_report(grants->issuer, gateway, short_id, number,
			      outcome, gateway_now());
	if (outcome == BRITTLE_REJECTED)
		log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
			 "upstream=%08x rejected room=%u", short_id,
			 brittle_issuer_room(grants->issuer, short_id));
}

/* Ends the requests that a gateway had before it started anew. */
void gateway_grants_remove_gateway(gateway_grants_t *grants, const char *gateway)
{
	brittle_issuer_remove_gateway(grants->issuer, gateway, gateway_now());
}

/* Applies the answers of this gateway to itself. */
void gateway_grants_flush(gateway_grants_t *grants)
{
	while (grants->answers->len) {
		GArray *answers = grants->answers;

		/* The hooks may ask, which adds answers. */
		grants->answers =
			g_array_new(FALSE, FALSE, sizeof(brittle_answer_t));
		for (guint i = 0; i < answers->len; i++)
			gateway_grants_receive_answer(
				grants,
				&g_array_index(answers, brittle_answer_t, i));
		g_array_unref(answers);
	}
}

/* Returns the numbers of the asks that got no answer in time; the caller owns the array. */
static GArray *unanswered_asks(const gateway_grants_t *grants, pd_time_t now)
{
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, grants->asks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ask_t *ask = value;

		if (ask->request && now - ask->asked_at > ANSWER_TIMEOUT)
			g_array_append_val(numbers, ask->number);
	}
	return numbers;
}

/* Denies what the issuer does not answer: without a grant nothing is sent. */
static void deny_unanswered(gateway_grants_t *grants, pd_time_t now)
{
	GArray *numbers = unanswered_asks(grants, now);

	for (guint i = 0; i < numbers->len; i++) {
		uint32_t number = g_array_index(numbers, uint32_t, i);
		ask_t *ask = g_hash_table_lookup(grants->asks,
						 GUINT_TO_POINTER(number));
		gateway_request_t *request = ask ? ask->request : NULL;

		/* The hook of another one may have ended it. */
		if (!request)
			continue;
		metrics_add(grants->gateway->metrics,
			    "gateway_grant_asks_unanswered_total", 1);
		/* It may have been granted. */
		gateway_grants_report(grants, number, BRITTLE_ENDED);
		count_denial(grants);
		grants->hooks.on_denied(request, UNANSWERED_PAUSE);
	}
	g_array_unref(numbers);
}

/* Logs the figures of the grants that are issued here if there are new ones. */
static void log_issued(gateway_grants_t *grants, pd_time_t now)
{
	const brittle_stats_t *stats = brittle_issuer_stats(grants->issuer);

	if (now - grants->logged_at < LOG_PERIOD ||
	    (stats->granted == grants->logged_granted &&
	     stats->denied == grants->logged_denied))
		return;
	grants->logged_at = now;
	grants->logged_granted = stats->granted;
	grants->logged_denied = stats->denied;
	log_line(G_LOG_LEVEL_INFO, LOG_COMPONENT,
		 "granted=%" G_GUINT64_FORMAT " denied=%" G_GUINT64_FORMAT
		 " rejected=%" G_GUINT64_FORMAT,
		 stats->granted, stats->denied, stats->rejected);
}

/* Runs what is due by now. */
void gateway_grants_run(gateway_grants_t *grants, pd_time_t now)
{
	gateway_peers_t *peers = grants->gateway->peers;
	uint64_t candidates = gateway_peers_grant_candidates(peers);

	brittle_issuer_set_share(grants->issuer,
				 gateway_peers_fleet_share(peers), now);
	if (candidates != grants->candidates) {
		grants->candidates = candidates;
		brittle_issuer_filter(grants->issuer, issues_here, grants);
	}
	brittle_issuer_run(grants->issuer, now);
	deny_unanswered(grants, now);
	log_issued(grants, now);
}
