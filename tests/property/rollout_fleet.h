/* Simulated gateways that roll a version out: messages, the leader, the store, faults. */
#ifndef PISTACHIO_TEST_ROLLOUT_FLEET_H
#define PISTACHIO_TEST_ROLLOUT_FLEET_H

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/forward/rollout.h"
}
#include "tests/property/fleet_faults.h"

static const pd_time_t start = 1000 * PD_SEC;
static const pd_time_t step = 2 * PD_MSEC;
static const pd_time_t run_period = 20 * PD_MSEC;
static const pd_time_t period = 12 * PD_SEC;
static const pd_time_t upstreams_at = start + PD_SEC;
static const pd_time_t state_period = 200 * PD_MSEC;
static const pd_time_t checkpoint_period = 280 * PD_MSEC;
static const pd_time_t lease_timeout = 4 * PD_SEC;
static const pd_time_t gone_timeout = PD_SEC; /* until others take over sums */
static const pd_time_t in_touch_after = 4 * PD_SEC; /* the end of a fault */
static const unsigned mesh_max = 12;
static const unsigned fanout = 5;
static const rollout_settings_t settings = { 0.1, 50, 5 * PD_SEC };

struct message {
	unsigned from;
	unsigned to;
	bool is_report;
	rollout_report_t report;
	std::string peer; /* whose counts; empty: those of all */
	std::vector<rollout_count_t> counts;
};

struct gateway {
	rollouts_t *rollouts = nullptr;
	pd_time_t state_at = 0; /* of the next */
	pd_time_t run_at = 0;
	pd_time_t faulty_at = -in_touch_after; /* when a fault hit it last */
	pd_time_t unreachable_since = 0; /* 0: it is reachable */
	unsigned number_of_start = 0;
	bool frozen = false;
	bool down = false;

	bool serves() const
	{
		return !frozen && !down;
	}
};

/* Gateways that roll "v2" of service "s" out, without requests. */
class gateway_fleet : protected random_draws
{
      protected:
	gateway_fleet(unsigned size, uint32_t seed)
	    : random_draws(seed), gateways(size), is_mesh(size <= mesh_max)
	{
		for (unsigned i = 0; i < size; i++)
			boot(i);
		leader_start = gateways[0].number_of_start;
		for (unsigned i = 0; i < (is_mesh ? size : 3U); i++)
			read_order(i);
	}
	~gateway_fleet()
	{
		for (gateway &one : gateways)
			rollouts_destroy(one.rollouts);
	}

	std::string name(unsigned i) const
	{
		return std::to_string(i) + "#" +
		       std::to_string(gateways[i].number_of_start);
	}

	void boot(unsigned i)
	{
		gateway &one = gateways[i];

		rollouts_destroy(one.rollouts);
		one.rollouts = rollouts_create(&settings);
		one.state_at = now + delay(state_period);
		one.run_at = now + delay(run_period);
		one.number_of_start++;
	}

	/* Applies the object of the store, and sends on what is new. */
	void read_order(unsigned i)
	{
		const rollout_order_t order = { "s",	  "v2",	      period,
						revision, has_status, state };

		if (rollouts_apply_order(gateways[i].rollouts, &order, now))
			spread(i);
	}

	void reboot(unsigned i)
	{
		boot(i);
		read_order(i);
		if (has_record)
			rollouts_restore(gateways[i].rollouts, &record,
					 record_new, record_all, now);
		for (unsigned j = 0; j < gateways.size(); j++)
			if (is_mesh || is_aggregator_of(j, i))
				post_report(j, i);
	}

	void apply(const fault &one)
	{
		one.each_hit(now - start, gateways.size(),
			     [&](unsigned i, bool over) {
				     gateway &gate = gateways[i];

				     gate.faulty_at = now;
				     if (one.kind == CUT)
					     cut = over ? nullptr : &one;
				     if (one.kind == FREEZE)
					     gate.frozen = !over;
				     if (one.kind != RESTART)
					     return;
				     if (gate.down && over)
					     reboot(i);
				     gate.down = !over;
			     });
	}

	bool is_in_touch(unsigned i) const
	{
		return now - gateways[i].faulty_at >= in_touch_after;
	}

	bool is_cut(unsigned i, unsigned j) const
	{
		return cut && cut->hits(i) != cut->hits(j);
	}

	/* Returns the two first gateways that I's side of a cut sees. */
	std::vector<unsigned> aggregators_of(unsigned i) const
	{
		std::vector<unsigned> found;

		for (unsigned j = 0; j < gateways.size() && found.size() < 2; j++) {
			pd_time_t since = gateways[j].unreachable_since;

			if (is_cut(i, j))
				since = start + cut->at;
			if (!since || now - since < gone_timeout)
				found.push_back(j);
		}
		return found;
	}

	bool is_aggregator_of(unsigned j, unsigned i) const
	{
		auto found = aggregators_of(i);

		return (found.size() > 0 && found[0] == j) ||
		       (found.size() > 1 && found[1] == j);
	}

	void post(message one)
	{
		if (one.from != one.to)
			messages.emplace(now + PD_MSEC + delay(5 * PD_MSEC),
					 std::move(one));
	}

	static void copy_report(void *ctx, const rollout_report_t *report)
	{
		*static_cast<rollout_report_t *>(ctx) = *report;
	}

	bool get_report(unsigned i, rollout_report_t *report) const
	{
		report->service = nullptr;
		rollouts_each(gateways[i].rollouts, copy_report, report);
		if (!report->service)
			return false;
		report->service = "s";
		report->to = "v2";
		return true;
	}

	void post_report(unsigned from, unsigned to)
	{
		message one = { from, to, true, {}, "", {} };

		if (get_report(from, &one.report))
			post(one);
	}

	void spread(unsigned i)
	{
		if (is_mesh) {
			for (unsigned j = 0; j < gateways.size(); j++)
				post_report(i, j);
			return;
		}
		for (unsigned k = 0; k < fanout; k++)
			post_report(i, draw(gateways.size()));
	}

	static void copy_count(void *ctx, const rollout_count_t *count)
	{
		rollout_count_t copy = *count;

		copy.service = "s";
		static_cast<std::vector<rollout_count_t> *>(ctx)->push_back(copy);
	}

	/* Sends a state, and as an aggregator the summaries of its followers. */
	void send_state(unsigned i)
	{
		message one = { i, 0, false, {}, name(i), {} };

		rollouts_each_own_count(gateways[i].rollouts, copy_count,
					&one.counts);
		if (is_mesh) {
			for (one.to = 0; one.to < gateways.size(); one.to++)
				post(one);
			return;
		}
		for (unsigned to : aggregators_of(i)) {
			one.to = to;
			post(one);
		}
		if (is_aggregator_of(i, i))
			send_summaries(i);
	}

	void send_summaries(unsigned i)
	{
		for (unsigned j = 0; j < gateways.size(); j++) {
			auto known = aggregators_of(j);
			message one = { i, j, false, {}, "", {} };

			if (known[j % known.size()] != i || is_aggregator_of(j, j))
				continue;
			rollouts_each_sum(gateways[i].rollouts, name(j).c_str(),
					  copy_count, &one.counts);
			post(one);
		}
	}

	void receive(const message &one)
	{
		gateway &to = gateways[one.to];

		if (one.is_report) {
			if (rollouts_merge(to.rollouts, &one.report, now))
				spread(one.to);
			return;
		}
		/* Summaries include what states have. */
		if (!one.peer.empty() && !is_mesh &&
		    !is_aggregator_of(one.to, one.to))
			return;
		for (const rollout_count_t &count : one.counts)
			rollouts_record_peer(to.rollouts, one.peer.c_str(), &count);
	}

	void deliver()
	{
		while (!messages.empty() && messages.begin()->first <= now) {
			message one = std::move(messages.begin()->second);
			const gateway &to = gateways[one.to];

			messages.erase(messages.begin());
			if (to.frozen || is_cut(one.from, one.to))
				messages.emplace(now + 10 * step, std::move(one));
			else if (!to.down)
				receive(one);
		}
	}

	/* Elects another leader if the present one was gone for the time of a lease. */
	void elect()
	{
		const gateway &one = gateways[leader];
		unsigned next = draw(gateways.size());

		if (one.serves() && one.number_of_start == leader_start)
			leader_seen_at = now;
		if (now - leader_seen_at < lease_timeout ||
		    !gateways[next].serves())
			return;
		leader = next;
		leader_start = gateways[next].number_of_start;
		leader_seen_at = now;
	}

	bool is_leader(unsigned i) const
	{
		return i == leader && gateways[i].number_of_start == leader_start &&
		       now - leader_seen_at < lease_timeout;
	}

	static rollout_fleet_t get_fleet(void *ctx, const char *, uint64_t)
	{
		const auto *fleet = static_cast<gateway_fleet *>(ctx);

		return { 6, fleet->old_running,
			 fleet->now >= upstreams_at ? 6U : 0U };
	}

	static void write(void *ctx, const rollout_write_t *write)
	{
		auto *fleet = static_cast<gateway_fleet *>(ctx);

		fleet->is_written = true;
		if (write->revision != fleet->revision)
			return;
		fleet->revision++;
		fleet->has_status = true;
		fleet->state = write->state;
		if (write->state != ROLLOUT_RUNNING)
			fleet->ended_at = fleet->now;
	}

	void run(unsigned i)
	{
		const rollouts_hooks_t hooks = { get_fleet, write, this };

		is_written = false;
		if (rollouts_run(gateways[i].rollouts, is_leader(i), &hooks, now))
			spread(i);
		if (is_written)
			read_order(i);
	}

	/* Keeps what the gateway of the first rank knows. */
	void write_checkpoint()
	{
		unsigned i = aggregators_of(0)[0];

		if (now < checkpoint_at || !gateways[i].serves())
			return;
		checkpoint_at = now + checkpoint_period;
		has_record = get_report(i, &record) &&
			     record.state == ROLLOUT_RUNNING;
		rollouts_sent(gateways[i].rollouts, "s", &record_new, &record_all);
	}

	void advance(const std::vector<fault> &faults)
	{
		for (const fault &one : faults)
			apply(one);
		deliver();
		elect();
		for (unsigned i = 0; i < gateways.size(); i++) {
			gateway &one = gateways[i];

			if (one.serves())
				one.unreachable_since = 0;
			else if (!one.unreachable_since)
				one.unreachable_since = now;
			if (!one.serves())
				continue;
			if (now >= one.run_at) {
				one.run_at += run_period;
				run(i);
			}
			if (now >= one.state_at) {
				one.state_at = now + state_period;
				send_state(i);
			}
		}
		write_checkpoint();
	}

	std::vector<gateway> gateways;
	pd_time_t now = start;
	bool is_mesh;
	const fault *cut = nullptr;
	std::multimap<pd_time_t, message> messages;
	unsigned leader = 0;
	unsigned leader_start = 0;
	pd_time_t leader_seen_at = start;
	unsigned old_running = 0;
	/* The object in the store. */
	uint64_t revision = 10;
	bool has_status = false;
	rollout_state_t state = ROLLOUT_RUNNING;
	pd_time_t ended_at = 0;
	bool is_written = false;
	/* The checkpoint. */
	pd_time_t checkpoint_at = start;
	bool has_record = false;
	rollout_report_t record = {};
	uint64_t record_new = 0;
	uint64_t record_all = 0;
};

#endif
