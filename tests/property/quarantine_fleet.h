/* Simulated gateways that tell each other under what upstreams ended. */
#ifndef PISTACHIO_TEST_QUARANTINE_FLEET_H
#define PISTACHIO_TEST_QUARANTINE_FLEET_H

#include <map>
#include <vector>

extern "C" {
#include "core/forward/quarantine.h"
}
#include "tests/property/fleet_faults.h"

static const pd_time_t start = 1000 * PD_SEC;
static const pd_time_t step = PD_MSEC;
static const pd_time_t repeat_period = 1600 * PD_MSEC;
static const unsigned mesh_max = 12;
static const unsigned aggregators = 2; /* gateways 0 and 1 of larger fleets */
static const unsigned fanout = 5;

struct message {
	unsigned from;
	unsigned to;
	std::vector<quarantine_report_t> reports;
};

struct gateway {
	quarantine_t *quarantine = nullptr;
	pd_time_t repeat_at = 0;
	uint64_t start = 0; /* number of its start */
	bool frozen = false;
	bool down = false;
};

/* Gateways, the messages between them, and their faults. */
class quarantine_fleet : protected random_draws
{
      protected:
	quarantine_fleet(unsigned size, uint32_t seed)
	    : random_draws(seed), gateways(size), is_mesh(size <= mesh_max)
	{
		for (gateway &one : gateways)
			boot(one);
	}
	~quarantine_fleet()
	{
		for (gateway &one : gateways)
			quarantine_destroy(one.quarantine);
	}

	void apply_and_deliver(const std::vector<fault> &faults)
	{
		for (const fault &one : faults)
			apply(one);
		deliver();
	}

	void repeat_all()
	{
		for (unsigned i = 0; i < gateways.size(); i++)
			repeat(i);
	}

	void boot(gateway &one)
	{
		quarantine_destroy(one.quarantine);
		one.quarantine = quarantine_create();
		one.repeat_at = now + delay(repeat_period);
		one.start++;
	}

	unsigned any()
	{
		return draw(gateways.size());
	}

	void apply(const fault &one)
	{
		one.each_hit(now - start, gateways.size(),
			     [&](unsigned i, bool over) {
				     gateway &gate = gateways[i];

				     if (one.kind == CUT)
					     cut = over ? nullptr : &one;
				     if (one.kind == FREEZE)
					     gate.frozen = !over;
				     if (one.kind != RESTART)
					     return;
				     if (gate.down && over) {
					     boot(gate);
					     greet(i);
				     }
				     gate.down = !over;
			     });
	}

	/* Those that receive the first state of a gateway send it what they hold. */
	void greet(unsigned i)
	{
		for (unsigned j = 0; j < gateways.size(); j++)
			if (j != i && !gateways[j].down &&
			    (is_mesh || j < aggregators))
				send_held(j, i, QUARANTINE_REPORTS_MAX);
	}

	void send_held(unsigned from, unsigned to, unsigned most)
	{
		quarantine_report_t reports[QUARANTINE_REPORTS_MAX];
		unsigned count = quarantine_list_held(gateways[from].quarantine,
						      now, reports, most);

		post(from, to, reports, count);
	}

	void post(unsigned from, unsigned to,
		  const quarantine_report_t *reports, unsigned count)
	{
		if (count && from != to)
			messages.emplace(now + PD_MSEC + delay(6 * PD_MSEC),
					 message{ from,
						  to,
						  { reports, reports + count } });
	}

	void deliver()
	{
		while (!messages.empty() && messages.begin()->first <= now) {
			message one = messages.begin()->second;
			gateway &to = gateways[one.to];

			messages.erase(messages.begin());
			if (to.frozen ||
			    (cut && cut->hits(one.from) != cut->hits(one.to))) {
				messages.emplace(now + step, one);
				continue;
			}
			if (to.down)
				continue;
			for (const quarantine_report_t &report : one.reports)
				quarantine_merge(to.quarantine, &report,
						 !is_mesh, now);
			send(one.to);
		}
	}

	void send_to_all(unsigned from, const quarantine_report_t *reports,
			 unsigned count)
	{
		for (unsigned j = 0; count && j < gateways.size(); j++)
			post(from, j, reports, count);
	}

	void send_to_sample(unsigned from, const quarantine_report_t *reports,
			    unsigned count)
	{
		for (unsigned i = 0; count && i < fanout; i++)
			post(from, any(), reports, count);
	}

	void send(unsigned i)
	{
		quarantine_t *quarantine = gateways[i].quarantine;
		quarantine_report_t reports[QUARANTINE_REPORTS_MAX];
		unsigned count;

		if (!quarantine_has_unsent(quarantine))
			return;
		if (is_mesh) {
			count = quarantine_take_unsent(quarantine, true, now,
						       reports);
			send_to_all(i, reports, count);
			return;
		}
		count = quarantine_take_unsent(quarantine, false, now, reports);
		if (i < aggregators)
			send_to_all(i, reports, count);
		else
			send_to_sample(i, reports, count);
		count = quarantine_take_unsent(quarantine, true, now, reports);
		for (unsigned j = 0; i >= aggregators && j < aggregators; j++)
			post(i, j, reports, count);
	}

	void repeat(unsigned i)
	{
		gateway &one = gateways[i];

		if (one.down || one.frozen || now < one.repeat_at)
			return;
		one.repeat_at = now + repeat_period;
		for (unsigned k = 0; k < fanout; k++)
			send_held(i, any(), 8);
	}

	std::vector<gateway> gateways;
	pd_time_t now = start;
	bool is_mesh;
	const fault *cut = nullptr;
	std::multimap<pd_time_t, message> messages;
};

#endif
