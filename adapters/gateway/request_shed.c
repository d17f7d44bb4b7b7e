/* Load shedding: refuses requests while the engines of their service are overloaded. */
#include "adapters/gateway/request_state.h"
#include "adapters/gateway/peers.h"
#include "adapters/log_glib.h"
#include "core/forward/engine_cost.h"
#include "core/forward/shed.h"

/* Returns the load shedder of a service; creates one that is missing. */
static shed_t *get_shedder(gateway_t *gateway, const char *service)
{
	shed_t *shed = g_hash_table_lookup(gateway->shedders, service);

	if (!shed) {
		shed = shed_create();
		g_hash_table_insert(gateway->shedders, g_strdup(service), shed);
	}
	return shed;
}

/* Returns how fast a service takes in work; adds it if it is missing. */
static room_rate_t *get_room(gateway_t *gateway, const char *service)
{
	room_rate_t *room = g_hash_table_lookup(gateway->rooms, service);

	if (!room) {
		room = g_new0(room_rate_t, 1);
		g_hash_table_insert(gateway->rooms, g_strdup(service), room);
	}
	return room;
}

/* Returns the work of a request, in prompt tokens, if its shared parts are cached. */
double gateway_request_unshared_work(const gateway_request_t *request)
{
	const forward_call_t *call = request->call;
	double rate = gateway_engine_rate(request->gateway, request->service);

	return MAX(call->prompt_tokens - forward_call_shared_tokens(call), 0) +
	       call->output_tokens *
		       engine_time_to_tokens(rate, ENGINE_OUTPUT_TOKEN_TIME);
}

/*
 * Returns the weight of an account; 0 if its limit is not in tokens, so that it can't be
 * compared with those of others.
 */
static double account_weight(const forward_account_t *account)
{
	return account->limits_tokens ? account->rate : 0;
}

/* Returns whether the shedder of its service admits a request. */
static bool is_admitted(const gateway_request_t *request, double work)
{
	gateway_t *gateway = request->gateway;
	shed_t *shed = get_shedder(gateway, request->service);
	double draw = g_rand_double(gateway->random);
	account_request_t asked = { .work = work, .returned = request->returned };

	if (!request->account)
		return shed_admit(shed, request->rank, work, draw);
	asked.account = request->account->name;
	asked.weight = account_weight(request->account);
	return shed_admit_account(shed, request->rank, &asked, draw);
}

/* Returns whether a request is admitted; one that is not was refused with a 503. */
bool gateway_request_admit(gateway_request_t *request)
{
	gateway_t *gateway = request->gateway;
	pd_time_t now = gateway_now();
	double work;
	room_rate_t *room;

	request->returned = return_detector_record(gateway->returns,
						   request->route->name,
						   request->call->time_left);
	if (!request->route->has_prompt)
		return true;
	work = gateway_request_unshared_work(request);
	room = get_room(gateway, request->service);
	if (is_admitted(request, work)) {
		room_rate_record(room, true, work, now);
		return true;
	}
	room_rate_record(room, false, work, now);
	work_rate_add_refused(gateway->work, request->service, work);
	gateway_request_give_up(request,
				room_rate_retry_after(room, request->deadline - now,
						      g_rand_double(gateway->random)),
				"engines pressed");
	return false;
}

/* Returns how long after the arrival of a request its first event counts as late. */
static pd_time_t first_event_time_max(const gateway_request_t *request)
{
	double prefill_time =
		request->call->prompt_tokens * (double)PD_SEC /
		gateway_engine_rate(request->gateway, request->service);

	return request->route->latency_goal + (pd_time_t)prefill_time;
}

/* Records once whether the request was delayed or rejected by OVERLOADED engines. */
void gateway_request_record_outcome(gateway_request_t *request, bool overloaded)
{
	if (request->outcome_recorded || !request->route->has_prompt)
		return;
	request->outcome_recorded = true;
	shed_record_outcome(get_shedder(request->gateway, request->service),
			    overloaded);
}

/* Records that the first event was received, in time or late. */
void gateway_request_record_first_event(gateway_request_t *request)
{
	gateway_request_record_outcome(request,
				       gateway_now() - request->arrived_at >
					       first_event_time_max(request));
}

/* Records a first event as late as soon as it is overdue. */
void gateway_request_check_first_event(gateway_request_t *request, pd_time_t now)
{
	if (!request->outcome_recorded && request->route->has_prompt &&
	    request->route->latency_goal &&
	    now - request->arrived_at > first_event_time_max(request))
		gateway_request_record_outcome(request, true);
}

/* Returns what an account can be expected to ask for here, of all services. */
static double expected_work(const gateway_t *gateway, const char *account,
			    const shed_ranks_t *ranks)
{
	GHashTableIter iter;
	gpointer shed;
	double expected = 0;

	g_hash_table_iter_init(&iter, gateway->shedders);
	while (g_hash_table_iter_next(&iter, NULL, &shed))
		expected += shed_expected_work(shed, account, ranks);
	return expected;
}

/* Sets what the accounts ask all gateways for of the service of a shedder. */
static void set_account_demands(gateway_t *gateway, shed_t *shed, pd_time_t now)
{
	const GPtrArray *accounts;

	if (!gateway->config)
		return;
	accounts = gateway->config->accounts;
	for (guint i = 0; i < accounts->len; i++) {
		const forward_account_t *account = accounts->pdata[i];
		shed_ranks_t ranks = gateway_account_ranks(account);
		fleet_demand_t demand = { account->name,
					  account_weight(account), 0 };
		double expected;

		if (demand.weight <= 0)
			continue;
		expected = expected_work(gateway, account->name, &ranks);
		if (expected <= 0)
			continue;
		/* What exceeds an account's limit was refused before. */
		demand.per_second =
			MIN(token_limits_demand(gateway->limits, account->name, now),
			    account->rate) *
			shed_expected_work(shed, account->name, &ranks) / expected;
		shed_set_account_demand(shed, &demand, &ranks);
	}
}

/* Logs the state of a load shedder. */
static void log_shed(const char *service, shed_t *shed,
		     const shed_utilization_t *utilization)
{
	account_counts_t counts = shed_count_accounts(shed);

	log_line(G_LOG_LEVEL_INFO, "shed",
		 "service=%s share=%.2f fill=%.2f known=%d pressed=%.2f "
		 "accounts_below=%u accounts_limited=%u",
		 service, shed_admitted_share(shed), utilization->ratio,
		 utilization->includes_peers, shed_overload_ratio(shed),
		 counts.below, counts.limited);
}

/* Updates the load shedders that are due, and logs changes of their shares. */
void gateway_shedders_run(gateway_t *gateway, pd_time_t now)
{
	GHashTableIter iter;
	gpointer service;
	gpointer shed;
	shed_utilization_t utilization = {
		.includes_peers =
			gateway_peers_loads_are_current(gateway->peers, now),
	};

	g_hash_table_iter_init(&iter, gateway->shedders);
	while (g_hash_table_iter_next(&iter, &service, &shed)) {
		bool changed;

		/* Checked first, as this visits all upstreams. */
		if (!shed_update_is_due(shed, now))
			continue;
		utilization.ratio = forward_upstreams_utilization(gateway->upstreams,
								  service, now);
		changed = shed_update(shed, &utilization, now);
		if (shed_admitted_share(shed) < 1)
			set_account_demands(gateway, shed, now);
		if (changed)
			log_shed(service, shed, &utilization);
	}
}
