/* Simulates a day in steps of a second. Load is in concurrent requests. */
#include "bench/placement_world.h"

#include <math.h>
#include <string.h>

#include "bench/placement_cloud.h"

#define DAY_SECONDS 14400
#define BURST_COUNT 4
#define RAMP_SECONDS 180.0
#define SERVICE_SECONDS 7.6 /* 200 tokens, 38 ms apart */
#define PREFILL_SECONDS 0.25
#define FIRST_TOKEN_TARGET_SECONDS 0.59
#define URGENT_SHARE 0.3
#define BASE_SHARE 0.15
#define DEMAND_PERIOD_SECONDS 10
#define RATE_SMOOTHING_SECONDS 20 /* by which entries smooth the arrival rate */
#define BACKLOG_SECONDS 60 /* within which the backlog is to be served */
#define PRICE_PERIOD_SECONDS 60
#define RECLAIMABLE_PERCENT 59
#define BOUND_PERIOD_SECONDS 10
#define LATE_FRACTION_MAX 0.05

typedef struct burst {
	double start;
	double duration;
	double peak_share;
} burst_t;

/* The current load; UNBOUNDED is the load if no request ever waited. */
typedef struct load {
	double running;
	double waiting;
	double urgent_waiting;
	double unbounded;
	double rate; /* arrivals per second, smoothed */
} load_t;

typedef struct day {
	const day_config_t *config;
	GRand *arrivals;
	GRand *departures;
	burst_t bursts[BURST_COUNT];
	load_t load;
	cloud_t *cloud;
	placer_t *placer;
	unsigned int second;
	unsigned int list_version; /* last one sent to the placer */
	day_result_t result;
} day_t;

/* Returns a random number of the standard normal distribution. */
static double random_normal(GRand *random)
{
	double u = 1 - g_rand_double(random);
	double v = g_rand_double(random);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * v);
}

/*
 * Returns a random count: the normal approximation of a Poisson distribution.
 */
static double random_count(GRand *random, double mean)
{
	double count = round(mean + sqrt(mean) * random_normal(random));

	return MAX(count, 0);
}

/* Chooses the bursts of demand of the day. One of them reaches the peak. */
static void create_bursts(day_t *day)
{
	for (int i = 0; i < BURST_COUNT; i++) {
		double span = (double)DAY_SECONDS / BURST_COUNT;

		day->bursts[i].start =
			span * (i + 0.1 + 0.3 * g_rand_double(day->arrivals));
		day->bursts[i].duration = 600 + 600 * g_rand_double(day->arrivals);
		day->bursts[i].peak_share =
			0.5 + 0.5 * g_rand_double(day->arrivals);
	}
	day->bursts[1].peak_share = 1;
}

/* Returns the demand at SECOND, as a share of the peak. */
static double demand_share(const day_t *day, double second)
{
	double share = BASE_SHARE;

	for (int i = 0; i < BURST_COUNT; i++) {
		const burst_t *burst = &day->bursts[i];
		double in = (second - burst->start) / RAMP_SECONDS;
		double out = (burst->start + burst->duration - second) /
			     RAMP_SECONDS;
		double shape = CLAMP(MIN(in, out), 0, 1);

		share = MAX(share, burst->peak_share * shape);
	}
	return share;
}

static void perform_action(day_t *day, placer_action_t *action);

/* Passes an event to the placer and performs the resulting actions. */
static void handle_event(day_t *day, placer_event_t *event)
{
	list_node_t actions;
	list_node_t *node;

	event->now = (pd_time_t)(day->second + 1) * PD_SEC;
	list_init(&actions);
	placer_handle(day->placer, event, &actions);
	while ((node = list_pop(&actions))) {
		placer_action_t *action = LIST_ENTRY(node, placer_action_t, node);

		perform_action(day, action);
		placer_action_destroy(action);
	}
}

/* Answers a lease operation. The only placer always obtains the lease. */
static void perform_lease(day_t *day, const placer_action_t *action)
{
	placer_event_t event = { .kind = PLACER_LEASE_REPLY,
				 .lease = { .op = action->lease.op } };

	if (action->kind == PLACER_LEASE_READ) {
		event.lease.status = STORE_MISSING;
	} else {
		event.lease.status = STORE_OK;
		event.lease.version = action->lease.version + 1;
	}
	handle_event(day, &event);
}

/* Performs one action of the placer and reports its result. */
static void perform_action(day_t *day, placer_action_t *action)
{
	placer_event_t event = { .kind = PLACER_TICK };

	switch (action->kind) {
	case PLACER_LEASE_READ:
	case PLACER_LEASE_WRITE:
		perform_lease(day, action);
		break;
	case PLACER_BUY:
		event.kind = PLACER_PURCHASE_REPLY;
		event.purchase.tag = action->buy.intent.tag;
		event.purchase.status =
			cloud_buy(day->cloud, &action->buy.intent, day->second);
		day->result.bought += event.purchase.status == STORE_OK;
		day->result.refused += event.purchase.status != STORE_OK;
		handle_event(day, &event);
		break;
	case PLACER_RELEASE:
		cloud_release(day->cloud, action->release.vm_id);
		break;
	case PLACER_ENGINE_ORDER:
		event.kind = PLACER_ENGINE_REPLY;
		event.engine.vm_id = action->engine.vm_id;
		event.engine.running =
			cloud_drain(day->cloud, action->engine.vm_id, day->second);
		handle_event(day, &event);
		break;
	case PLACER_DECISION:
		break;
	}
}

/* Sends the placer a bundle with one model. */
static void send_bundle(day_t *day)
{
	bundle_t *bundle = bundle_create();
	target_t *target = bundle_add_target(bundle, TARGET_MODEL, CLOUD_TARGET);
	placer_event_t event = { .kind = PLACER_BUNDLE, .bundle = bundle };

	target->workers = 1;
	target->most_workers = day->config->most_workers;
	target->machine_class = g_strdup("any");
	bundle->headroom_percent = day->config->headroom;
	bundle->reclaimable_percent = RECLAIMABLE_PERCENT;
	handle_event(day, &event);
}

/* Sends the placer the prices, demand and VM list that are due, and a tick. */
static void send_events(day_t *day)
{
	placer_event_t tick = { .kind = PLACER_TICK };
	double backlog = day->load.waiting + day->load.urgent_waiting;
	double requests =
		(day->load.rate + backlog / BACKLOG_SECONDS) * SERVICE_SECONDS;
	const demand_t demand = {
		.target = CLOUD_TARGET,
		.requests = (unsigned int)ceil(requests),
		.urgent = (unsigned int)ceil(requests * URGENT_SHARE),
	};

	if (day->second % PRICE_PERIOD_SECONDS == 0) {
		placer_event_t event = { .kind = PLACER_PRICES };

		event.prices.offers = cloud_offers(day->cloud, &event.prices.count);
		handle_event(day, &event);
	}
	if (day->second % DEMAND_PERIOD_SECONDS == 0) {
		placer_event_t event = { .kind = PLACER_DEMAND,
					 .demand = { &demand, 1 } };

		handle_event(day, &event);
	}
	/* Like the runner, which reads the list only while it is active. */
	if (placer_is_active(day->placer) &&
	    cloud_list_version(day->cloud) != day->list_version) {
		placer_event_t event = { .kind = PLACER_VM_LIST };

		day->list_version = cloud_list_version(day->cloud);
		event.vm_list.vms = cloud_list(day->cloud, &event.vm_list.count);
		handle_event(day, &event);
	}
	handle_event(day, &tick);
}

/*
 * Serves requests for one second. Urgent ones wait only for other urgent ones,
 * the rest wait for all.
 */
static void serve_requests(day_t *day)
{
	load_t *load = &day->load;
	double slots = cloud_live_slots(day->cloud);
	double share = demand_share(day, day->second);
	double rate = share * day->config->peak / SERVICE_SECONDS;
	double arrived = random_count(day->arrivals, rate);
	double urgent = round(arrived * URGENT_SHARE);
	double noise = random_normal(day->departures);
	double leaving = load->running / SERVICE_SECONDS;
	double slots_freed_per_s = MAX(slots, 1) / SERVICE_SECONDS;
	double max_queue_seconds = FIRST_TOKEN_TARGET_SECONDS - PREFILL_SECONDS;
	double moved = MAX(0, load->running - slots);
	double start;

	load->rate += (arrived - load->rate) / RATE_SMOOTHING_SECONDS;
	load->unbounded += arrived - load->unbounded / SERVICE_SECONDS;
	load->running -= CLAMP(leaving + sqrt(leaving) * noise, 0, load->running);
	if (moved > 0) {
		moved = MAX(0, load->running - slots);
		load->running -= moved;
		load->waiting += moved;
		day->result.moved += moved;
	}
	load->urgent_waiting += urgent;
	load->waiting += arrived - urgent;
	start = MIN(load->urgent_waiting, MAX(0, slots - load->running));
	load->urgent_waiting -= start;
	load->running += start;
	start = MIN(load->waiting, MAX(0, slots - load->running));
	load->waiting -= start;
	load->running += start;
	day->result.requests += arrived;
	day->result.urgent += urgent;
	/* Those behind the requests that start within the wait are late. */
	day->result.urgent_late +=
		CLAMP(load->urgent_waiting - max_queue_seconds * slots_freed_per_s,
		      0, urgent);
	day->result.late += CLAMP(load->urgent_waiting -
					  max_queue_seconds * slots_freed_per_s,
				  0, urgent);
	day->result.late += CLAMP(load->waiting + load->urgent_waiting -
					  max_queue_seconds * slots_freed_per_s,
				  0, arrived - urgent);
}

/*
 * Adds a second of the lower bounds of the cost. BOUND is the load that would
 * run if nothing ever waited, less the share that may be late, at the cheapest
 * slot price of the moment, in fractions of a VM, without start-up times or
 * spares. It ignores the limit on the share of reclaimable VMs: next to the VMs
 * of the services, all of the few that the mean load needs may be reclaimable.
 * BOUND_WITH_SPARES is the price of whole VMs, with spares for the loss of a
 * zone.
 */
static void add_cost_bounds(day_t *day)
{
	double reclaimable = cloud_min_slot_price(day->cloud, true);
	double on_demand = cloud_min_slot_price(day->cloud, false);
	double price = MIN(reclaimable, on_demand);

	day->result.bound +=
		day->load.unbounded * (1 - LATE_FRACTION_MAX) * price / 3600;
	if (day->second % BOUND_PERIOD_SECONDS == 0) {
		const mix_need_t need = {
			.slots = (unsigned int)ceil(day->load.unbounded),
			.urgent = (unsigned int)ceil(day->load.unbounded *
						     URGENT_SHARE),
			.max_vms = UINT32_MAX,
			.spare_zones = 1,
			.reclaimable_percent = RECLAIMABLE_PERCENT,
			.other_vms = CLOUD_SERVICE_VMS,
		};

		day->result.bound_with_spares +=
			cloud_min_price(day->cloud, &need) *
			BOUND_PERIOD_SECONDS / 3600;
	}
}

/*
 * Simulates a day and returns its result. The same seed gives every rule the
 * same day.
 */
day_result_t day_run(const day_config_t *config)
{
	static const char *const zones[] = { "a", "b", "c", "d", NULL };
	const placer_config_t placer = { .id = "p",
					 .zones = zones,
					 .seed = config->seed,
					 .rule = config->rule };
	day_t day = { .config = config };

	day.arrivals = g_rand_new_with_seed(config->seed);
	day.departures = g_rand_new_with_seed(config->seed + 1000);
	day.cloud = cloud_create(zones, config->seed + 2000, DAY_SECONDS);
	day.placer = placer_create(&placer);
	create_bursts(&day);
	send_bundle(&day);
	for (day.second = 0; day.second < DAY_SECONDS; day.second++) {
		cloud_step(day.cloud, day.second);
		serve_requests(&day);
		send_events(&day);
		add_cost_bounds(&day);
	}
	day.result.cost = cloud_cost(day.cloud);
	placer_destroy(day.placer);
	cloud_destroy(day.cloud);
	g_rand_free(day.arrivals);
	g_rand_free(day.departures);
	return day.result;
}
