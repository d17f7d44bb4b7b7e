/*
 * Simulates gateways that share the rate limit of one upstream, with late messages,
 * restarts, freezes and cuts. Guards against gateways that together send an upstream
 * more than the rate it names, and against leaving that unused.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/forward/upstream_limits.h"
}
#include "tests/property/cases.h"
#include "tests/property/fleet_faults.h"

static const pd_time_t start = 1000 * PD_SEC;
static const pd_time_t step = 5 * PD_MSEC;
static const pd_time_t named_at = 4 * PD_SEC; /* when the upstream names its limit */
static const pd_time_t duration = 30 * PD_SEC;
/* A gateway is not held to the limit until so long after a fault of its own. */
static const pd_time_t excused = 3 * PD_SEC;
static const pd_time_t window = 4 * PD_SEC;
static const unsigned mesh_max = 12;
/* Gateways in rank order that issue permits if those before them are silent. */
static const unsigned candidates = 3;
static const uint32_t upstream = 77;
/* Requests a second at a gateway for one of seven services, of 28 for all. */
static const double service_demand = 4;

enum message_kind { STATE, REQUEST, GRANT };

struct message {
	message_kind kind;
	unsigned from;
	unsigned to;
	upstream_limit_t limit;
	bool has_limit;
	pd_time_t requested_at;
};

struct gateway {
	upstream_limits_t *limits = nullptr;
	pd_time_t next_at = 0;
	pd_time_t heard_at[candidates] = {};
	pd_time_t behind = 0; /* its steady clock lacks freezes */
	pd_time_t faulty_until = 0;
	bool frozen = false;
	bool down = false;
};

class fleet : private random_draws
{
      public:
	fleet(unsigned size, double limit, double load, pd_time_t work, uint32_t seed)
	    : random_draws(seed), gateways(size), rate(limit), demand(load),
	      work_max(work)
	{
		period = size <= mesh_max ? 250 * PD_MSEC
			 : size <= 100	  ? 200 * PD_MSEC
					  : 2 * PD_MSEC * size;
		for (unsigned i = 0; i < size; i++)
			boot(i);
	}
	~fleet()
	{
		for (gateway &one : gateways)
			upstream_limits_destroy(one.limits);
	}

	void run(const std::vector<fault> &faults)
	{
		for (now = start; now < start + duration; now += step) {
			for (const fault &one : faults)
				apply(one);
			deliver();
			for (unsigned i = 0; i < gateways.size(); i++)
				if (!gateways[i].frozen && !gateways[i].down &&
				    local(i) >= gateways[i].next_at)
					tick(i);
			send_requests();
		}
	}

	double allowed() const
	{
		return 1.5 * rate * window / PD_SEC + 5;
	}

	/* Returns the most requests that arrived in any window. */
	unsigned worst() const
	{
		unsigned most = 0;
		size_t first = 0;

		for (size_t i = 0; i < sends.size(); i++) {
			while (sends[first] <= sends[i] - window)
				first++;
			most = std::max(most, (unsigned)(i - first + 1));
		}
		return most;
	}

	unsigned total = 0; /* requests sent from 3 s after the limit was named on */

      private:
	pd_time_t local(unsigned i) const
	{
		return now - gateways[i].behind;
	}

	void boot(unsigned i)
	{
		gateway &one = gateways[i];

		upstream_limits_destroy(one.limits);
		one.limits = upstream_limits_create();
		upstream_limits_seed(one.limits, g_rand_int(random));
		one.next_at = local(i) + delay(period);
		std::fill(one.heard_at, one.heard_at + candidates, 0);
	}

	void apply(const fault &one)
	{
		pd_time_t begin = start + one.at;
		pd_time_t end = begin + one.lasts;

		if (now < begin || now > end + step)
			return;
		bool over = now >= end;
		cut = one.kind == CUT ? (over ? nullptr : &one) : cut;
		for (unsigned i = one.first;
		     i < one.first + one.count && i < gateways.size(); i++) {
			gateway &gate = gateways[i];

			gate.faulty_until =
				std::max(gate.faulty_until, now + excused);
			if (one.kind == FREEZE) {
				gate.frozen = !over;
				gate.behind += over ? 0 : step;
			}
			if (one.kind == RESTART) {
				if (gate.down && over)
					boot(i);
				gate.down = !over;
			}
		}
	}

	/* A cut holds messages back until it ends. */
	bool is_held(const message &one) const
	{
		return (cut && cut->hits(one.from) != cut->hits(one.to)) ||
		       gateways[one.to].frozen;
	}

	void post(const message &one)
	{
		messages.emplace(now + PD_MSEC + delay(30 * PD_MSEC), one);
	}

	void deliver()
	{
		std::vector<message> arrived;
		std::vector<message> held;

		while (!messages.empty() && messages.begin()->first <= now) {
			arrived.push_back(messages.begin()->second);
			messages.erase(messages.begin());
		}
		for (const message &one : arrived) {
			if (is_held(one))
				held.push_back(one);
			else if (!gateways[one.to].down)
				receive(one);
		}
		for (const message &one : held)
			messages.emplace(now + step, one);
	}

	void receive(const message &one)
	{
		gateway &to = gateways[one.to];
		pd_time_t at = local(one.to);

		if (one.kind == STATE) {
			to.heard_at[one.from] = at;
			return;
		}
		if (one.has_limit &&
		    upstream_limits_merge(to.limits, &one.limit, at))
			spread_at = one.to < candidates ? now : spread_at;
		if (one.kind == GRANT) {
			upstream_limits_add_permits(to.limits, "s", upstream,
						    one.limit.permits,
						    one.requested_at, at);
			return;
		}
		message reply = { GRANT,	 one.to, one.from,
				  known(one.to), false,	 one.requested_at };

		reply.has_limit = reply.limit.age >= 0;
		reply.limit.permits = upstream_limits_grant(to.limits, upstream,
							    one.limit.permits, at);
		post(reply);
	}

	static void copy(void *ctx, const upstream_limit_t *limit)
	{
		*static_cast<upstream_limit_t *>(ctx) = *limit;
	}

	/* Returns what a gateway knows; the age is negative if that is nothing. */
	upstream_limit_t known(unsigned i) const
	{
		upstream_limit_t limit = { upstream, false, 0, -1, 0, false };

		upstream_limits_each(gateways[i].limits, local(i), copy, &limit);
		return limit;
	}

	/* Returns the gateway that is taken to issue permits. */
	unsigned issuer(unsigned i) const
	{
		pd_time_t silence = std::max(1200 * PD_MSEC, 3 * period);

		for (unsigned c = 0; c < candidates && c < i; c++)
			if (gateways[i].heard_at[c] &&
			    local(i) - gateways[i].heard_at[c] < silence)
				return c;
		return i;
	}

	void tick(unsigned i)
	{
		gateway &one = gateways[i];
		unsigned to = issuer(i);
		bool issues = to == i &&
			      (i < candidates || gateways.size() <= mesh_max);
		unsigned reached =
			cut ? (cut->hits(i)
				       ? cut->count
				       : (unsigned)gateways.size() - cut->count)
			    : (unsigned)gateways.size();
		pd_time_t at = local(i);

		one.next_at =
			at + (pd_time_t)((double)period *
					 (0.7 + 0.6 * g_rand_double(random)));
		upstream_limits_set_issuing(
			one.limits,
			issues ? (double)reached / (double)gateways.size() : 0,
			at);
		if (i < candidates)
			for (unsigned j = 0; j < gateways.size(); j++)
				if (j != i)
					post({ STATE, i, j, {}, false, 0 });
		if (issues && !upstream_limits_are_empty(one.limits))
			push(i);
		if (!upstream_limits_are_empty(one.limits))
			request(i, to);
	}

	/* Tells those that have not asked what is known. */
	void push(unsigned i)
	{
		for (unsigned j = 0; j < gateways.size(); j++)
			if (j != i && upstream_limits_are_empty(gateways[j].limits))
				post({ GRANT, i, j, known(i), true, 0 });
	}

	void request(unsigned i, unsigned to)
	{
		gateway &one = gateways[i];
		upstream_limit_t limit = known(i);
		upstream_permit_need_t need = { 0, period };
		pd_time_t at = local(i);

		upstream_limits_plan_requests(one.limits, "s", &limit, 1, &need,
					      at);
		if (to == i)
			upstream_limits_add_permits(
				one.limits, "s", upstream,
				upstream_limits_grant(one.limits, upstream,
						      limit.permits, at),
				at, at);
		else
			post({ REQUEST, i, to, limit, limit.observed, at });
		upstream_limits_mark_sent(one.limits, upstream);
	}

	void send_requests()
	{
		due += demand * (double)step / PD_SEC;
		for (; due >= 1; due--) {
			unsigned i = draw(gateways.size());
			gateway &one = gateways[i];

			if (one.frozen || one.down)
				continue;
			upstream_limits_record_demand(one.limits, "s", local(i));
			if (!upstream_limits_use_permit(one.limits, upstream,
							local(i)))
				continue;
			answers.emplace(now + 20 * PD_MSEC + delay(work_max), i);
			if (now < start + named_at + excused)
				continue;
			total++;
			if (now >= one.faulty_until)
				sends.push_back(now);
		}
		receive_answers();
	}

	void receive_answers()
	{
		while (!answers.empty() && answers.begin()->first <= now) {
			unsigned i = answers.begin()->second;

			answers.erase(answers.begin());
			if (now < start + named_at || gateways[i].frozen ||
			    gateways[i].down)
				continue;
			if (upstream_limits_record_response(gateways[i].limits,
							    upstream, true,
							    rate, local(i)))
				gateways[i].next_at = local(i);
		}
	}

	std::vector<gateway> gateways;
	double rate;
	double demand;
	pd_time_t work_max;
	pd_time_t period;
	pd_time_t now = start;
	pd_time_t spread_at = 0;
	const fault *cut = nullptr;
	double due = 0;
	std::multimap<pd_time_t, message> messages;
	std::multimap<pd_time_t, unsigned> answers;
	std::vector<pd_time_t> sends; /* of gateways that are held to the limit */
};

static bool prop_sum(unsigned size)
{
	std::string name = "a named rate is kept in sum, " +
			   std::to_string(size) + " gateways";

	return rc::check(name, [size] {
		auto rate = *rc::gen::element(0.5, 2.0, 3.2, 10.0, 60.0);
		auto factor = *rc::gen::element(0.5, 2.0, 10.0, 100.0);
		auto work = *rc::gen::element(50, 1000) * PD_MSEC;
		std::vector<fault> faults;
		unsigned count = *rc::gen::inRange(0U, 3U);

		for (unsigned i = 0; i < count; i++)
			faults.push_back(make_fault(size, 220));
		fleet all(size, rate, std::min(rate * factor, 2000.0), work,
			  *rc::gen::arbitrary<uint32_t>());
		all.run(faults);
		if (getenv("SHOW"))
			printf("%u rate %.1f x%.1f faults %zu: %u of %.0f\n",
			       size, rate, factor, faults.size(), all.worst(),
			       all.allowed());
		RC_ASSERT(all.worst() <= all.allowed());
	});
}

/* Guards against limits that are kept by hardly using the upstream. */
static bool prop_used(unsigned size)
{
	std::string name =
		"a named rate is used, " + std::to_string(size) + " gateways";

	return rc::check(name, [size] {
		auto rate = *rc::gen::element(0.5, 3.2, 10.0, 60.0);
		double seconds = (double)(duration - named_at - excused) / PD_SEC;
		fleet all(size, rate, std::max(rate * 10, size * service_demand),
			  300 * PD_MSEC, *rc::gen::arbitrary<uint32_t>());

		all.run({});
		if (getenv("SHOW"))
			printf("%u rate %.1f: %u of %.0f\n", size, rate,
			       all.total, rate * seconds);
		RC_ASSERT(all.total >= rate * seconds * 0.6);
	});
}

int main()
{
	bool ok = true;

	set_cases(40); /* each simulates 30 s */
	for (unsigned size : { 6U, 63U, 300U }) {
		ok &= prop_sum(size);
		ok &= prop_used(size);
	}
	return ok ? 0 : 1;
}
