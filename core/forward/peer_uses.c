/*
 * Predictions of peers' use. An aggregator updates the buckets of all accounts for each
 * message of hundreds of peers, so a prediction must not iterate over the peers: one
 * sum of rates covers all peers that reported lately.
 */
#include "core/forward/peer_uses.h"

#include <glib.h>

#include "core/list.h"

/*
 * How long a silent peer is predicted to go on using tokens, also if it is cut off.
 * Otherwise gateways whose reports are late or lost would each grant the whole limit.
 */
#define PREDICTION_TIME_MAX (15 * PD_SEC)

typedef struct peer_use {
	list_node_t node; /* in the list of predicted peers, oldest report first */
	peer_uses_t *uses;
	bool predicted;
	double total;
	double rate; /* tokens per second */
	pd_time_t reported_at;
	double requested;
	double demand; /* tokens per second: the rate at which requested grows */
	pd_time_t demand_reported_at; /* 0: never reported */
} peer_use_t;

struct peer_uses {
	GHashTable *peers; /* name -> peer_use_t */
	list_node_t predicted;
	double rate; /* tokens per second, of all predicted peers */
	pd_time_t updated_at; /* time up to which pending is current */
	double pending; /* tokens predicted, but not returned by peer_uses_predict() yet */
};

/* Removes a peer's rate from the sum of the predicted ones. */
static void stop_predicting(peer_use_t *use)
{
	peer_uses_t *uses = use->uses;

	if (!use->predicted)
		return;
	use->predicted = false;
	list_remove(&use->node);
	uses->rate -= use->rate;
	/* Keeps rounding errors from adding up. */
	if (list_empty(&uses->predicted))
		uses->rate = 0;
}

/* Adds a peer's rate to the sum of the predicted ones. */
static void start_predicting(peer_use_t *use)
{
	use->predicted = true;
	list_append(&use->uses->predicted, &use->node);
	use->uses->rate += use->rate;
}

/* Frees a peer_use_t. */
static void peer_use_destroy(void *data)
{
	stop_predicting(data);
	g_free(data);
}

/* Returns a table without peers; the caller owns it. */
peer_uses_t *peer_uses_create(pd_time_t now)
{
	peer_uses_t *uses = g_new0(peer_uses_t, 1);

	list_init(&uses->predicted);
	uses->updated_at = now;
	uses->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    peer_use_destroy);
	return uses;
}

/* Frees the table; NULL is allowed. */
void peer_uses_destroy(peer_uses_t *uses)
{
	if (!uses)
		return;
	g_hash_table_unref(uses->peers);
	g_free(uses);
}

/* Returns the tokens that a peer uses at its last rate from time FROM to time TO. */
static double predicted_use(const peer_use_t *use, pd_time_t from, pd_time_t to)
{
	pd_time_t end = MIN(to, use->reported_at + PREDICTION_TIME_MAX);

	return end > from ? use->rate * (double)(end - from) / PD_SEC : 0;
}

/*
 * Updates the predictions to NOW, and stops those of peers that were silent for too
 * long.
 */
static void peer_uses_update(peer_uses_t *uses, pd_time_t now)
{
	if (now <= uses->updated_at)
		return;
	while (!list_empty(&uses->predicted)) {
		peer_use_t *oldest =
			LIST_ENTRY(uses->predicted.next, peer_use_t, node);

		if (now - oldest->reported_at < PREDICTION_TIME_MAX)
			break;
		uses->pending += predicted_use(oldest, uses->updated_at, now);
		stop_predicting(oldest);
	}
	uses->pending += uses->rate * (double)(now - uses->updated_at) / PD_SEC;
	uses->updated_at = now;
}

/* Returns the tokens that peers are predicted to have used since the last call. */
double peer_uses_predict(peer_uses_t *uses, pd_time_t now)
{
	double amount;

	peer_uses_update(uses, now);
	amount = uses->pending;
	uses->pending = 0;
	return amount;
}

/* Adds a peer with its first reported total. */
static void add_peer(peer_uses_t *uses, const char *peer, double total,
		     pd_time_t now)
{
	peer_use_t *use = g_new0(peer_use_t, 1);

	use->uses = uses;
	use->total = total;
	use->reported_at = now;
	list_init(&use->node);
	start_predicting(use);
	g_hash_table_insert(uses->peers, g_strdup(peer), use);
}

/*
 * Records a peer's report of all tokens that it has used since its start. USED is set
 * to the tokens that all peers have used since the last prediction; a peer's first
 * report counts in full if it is RECENT, else not at all. Returns false and sets USED
 * to 0 if the report comes too early or its total has fallen.
 */
bool peer_uses_report(peer_uses_t *uses, const char *peer, double total,
		      bool recent, pd_time_t now, double *used)
{
	peer_use_t *use = g_hash_table_lookup(uses->peers, peer);
	double growth;

	*used = 0;
	peer_uses_update(uses, now);
	if (!use) {
		add_peer(uses, peer, total, now);
		*used = recent ? total : 0;
		return true;
	}
	if (now - use->reported_at < PEER_USES_INTERVAL_MIN)
		return false;
	growth = total - use->total;
	stop_predicting(use);
	/* A falling total is that of another set of peers, so the growth is unknown. */
	if (growth >= 0) {
		double span = (double)(now - use->reported_at);

		*used = peer_uses_predict(uses, now) + growth -
			predicted_use(use, use->reported_at, now);
		use->rate += (growth * PD_SEC / span - use->rate) *
			     PEER_USES_RATE_WEIGHT;
	}
	use->total = total;
	use->reported_at = now;
	start_predicting(use);
	return growth >= 0;
}

/*
 * Records a peer's report of all tokens that callers have requested there since its
 * start, granted or not. Has to follow peer_uses_report() for the same message.
 */
void peer_uses_report_demand(peer_uses_t *uses, const char *peer,
			     double requested, pd_time_t now)
{
	peer_use_t *use = g_hash_table_lookup(uses->peers, peer);

	if (!use || (use->demand_reported_at &&
		     now - use->demand_reported_at < PEER_USES_INTERVAL_MIN))
		return;
	if (use->demand_reported_at && requested >= use->requested)
		use->demand += ((requested - use->requested) * PD_SEC /
					(double)(now - use->demand_reported_at) -
				use->demand) *
			       PEER_USES_RATE_WEIGHT;
	use->requested = requested;
	use->demand_reported_at = now;
}

/*
 * Returns the tokens per second that callers request at all peers, except silent ones.
 */
double peer_uses_demand(const peer_uses_t *uses, pd_time_t now)
{
	double demand = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, uses->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const peer_use_t *use = value;

		if (now - use->demand_reported_at < PREDICTION_TIME_MAX)
			demand += use->demand;
	}
	return demand;
}

/*
 * Removes a peer that has ended. Returns the tokens that were predicted for it later than
 * LAG after its last report: while it lives, it reports more often.
 */
double peer_uses_remove(peer_uses_t *uses, const char *peer, pd_time_t lag,
			pd_time_t now)
{
	const peer_use_t *use = g_hash_table_lookup(uses->peers, peer);
	double unused = 0;

	peer_uses_update(uses, now);
	if (use)
		unused = predicted_use(use, use->reported_at + lag, now);
	g_hash_table_remove(uses->peers, peer);
	return unused;
}

/* Removes all peers, because others report for them from now on. */
void peer_uses_clear(peer_uses_t *uses)
{
	g_hash_table_remove_all(uses->peers);
}
