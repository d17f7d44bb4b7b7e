/*
 * Simulates gateways to which callers send requests with a part in their prompts under
 * which upstreams end, no two alike, and sound ones that share their other parts, with
 * late messages, restarts, freezes, cuts, and relays. Guards against a part under which
 * one upstream ends after the other, and against holding what sound requests share.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "tests/property/cases.h"
#include "tests/property/quarantine_fleet.h"

static const pd_time_t duration = 12 * PD_SEC;
static const pd_time_t down_time = 3 * PD_SEC; /* of an upstream that ended */
static const unsigned tries_max = 2; /* runs of one attempt */
/* Few requests with a part are sent so long after this many upstreams ended under it. */
static const unsigned ends_max = 5;
static const pd_time_t contact_time = 3 * PD_SEC;
static const unsigned late_max = 3;
static const uint64_t first_part = 1; /* of all requests */
static const uint64_t bad_part = 2;
static const uint64_t sound_parts = 1000; /* from here on */

struct prompt_request {
	bool bad;
	quarantine_suspects_t suspects;
	unsigned at; /* its gateway */
	uint64_t gateway_start;
	unsigned upstream;
	unsigned incarnation; /* of the upstream */
	pd_time_t token_at; /* when the first token is due */
	pd_time_t end_at; /* when it is tried again; 0: it runs */
	unsigned tries;
};

struct prompt_upstream {
	pd_time_t down_until;
	unsigned incarnation;
};

class prompt_fleet : private quarantine_fleet
{
      public:
	prompt_fleet(unsigned size, unsigned upstream_count, double bad_rate,
		     unsigned part_count, pd_time_t prefill, bool relays,
		     uint32_t seed)
	    : quarantine_fleet(size, seed), upstreams(upstream_count),
	      bad_per_step(bad_rate * (double)step / PD_SEC),
	      sound_per_step(60.0 * (double)step / PD_SEC), parts(part_count),
	      prefill_max(prefill), relayed(relays)
	{
	}

	void run(const std::vector<fault> &faults)
	{
		all_faults = &faults;
		for (now = start; now < start + duration; now += step) {
			apply_and_deliver(faults);
			if (g_rand_double(random) < bad_per_step)
				arrive(true);
			if (g_rand_double(random) < sound_per_step)
				arrive(false);
			remove_over(requests, [&](prompt_request &one) {
				return advance(one);
			});
			count_running();
			repeat_all();
		}
	}

	unsigned ends = 0;
	unsigned at_once = 0; /* bad requests that ran at once, at most */
	unsigned late = 0; /* sent by gateways without a fault, see late_max */
	unsigned sound = 0; /* requests since the bad part was held first */
	unsigned sound_begun = 0; /* of these */

      private:
	unsigned pick_upstream()
	{
		for (unsigned i = 0; i < 20; i++) {
			unsigned one = draw(upstreams.size());

			if (upstreams[one].down_until <= now)
				return one;
		}
		return draw(upstreams.size());
	}

	/* Returns whether no fault has hit a gateway lately. */
	bool in_touch(unsigned i) const
	{
		for (const fault &one : *all_faults)
			if (one.hits(i) && now >= start + one.at &&
			    now < start + one.at + one.lasts + contact_time)
				return false;
		return true;
	}

	void begin(prompt_request &one)
	{
		late += one.bad && ends >= ends_max &&
			now > last_counted_end + contact_time && in_touch(one.at);
		one.upstream = pick_upstream();
		one.incarnation = upstreams[one.upstream].incarnation;
		one.token_at = now + 20 * PD_MSEC + delay(prefill_max);
		one.end_at = 0;
		one.tries++;
	}

	/* Returns whether a request is held at its gateway, and counts the attempt. */
	bool is_held(const prompt_request &one)
	{
		quarantine_t *quarantine = gateways[one.at].quarantine;

		for (unsigned i = 0; i < one.suspects.count; i++)
			quarantine_record_attempt(quarantine,
						  one.suspects.keys[i], now);
		return quarantine_rejects(quarantine, &one.suspects);
	}

	void arrive(bool bad)
	{
		prompt_request one = {};

		one.bad = bad;
		one.suspects.keys[0] = 2 * ++numbers;
		one.suspects.keys[1] = quarantine_part_key(first_part);
		one.suspects.keys[2] = quarantine_part_key(
			bad ? bad_part : sound_parts + draw(parts));
		one.suspects.count = 3;
		one.at = draw(gateways.size());
		/* A gateway that relays requests counts none of them. */
		if (relayed && one.at % 3 == 0)
			one.at = draw(gateways.size());
		const gateway &gate = gateways[one.at];

		if (gate.down || gate.frozen)
			return;
		one.gateway_start = gate.start;
		sound += !bad && held_since;
		if (is_held(one)) {
			held_since |= bad;
			return;
		}
		begin(one);
		requests.push_back(one);
	}

	/* Records the end of a request's upstream; returns whether it is given up. */
	bool lose_upstream(prompt_request &one)
	{
		quarantine_t *quarantine = gateways[one.at].quarantine;
		uint32_t id = 1 + one.upstream + 10000 * one.incarnation;

		for (unsigned i = 0; i < one.suspects.count; i++)
			quarantine_record_end(quarantine, one.suspects.keys[i],
					      id, now);
		send(one.at);
		if (one.tries >= tries_max)
			return true;
		one.end_at = now + (is_mesh ? 10 : 40) * PD_MSEC;
		return false;
	}

	/* Advances a request; returns whether it is over. */
	bool advance(prompt_request &one)
	{
		const gateway &gate = gateways[one.at];

		if (gate.down || gate.start != one.gateway_start)
			return true;
		if (gate.frozen)
			return false;
		if (quarantine_rejects(gate.quarantine, &one.suspects))
			return true;
		if (one.end_at) {
			if (now >= one.end_at)
				begin(one);
			return false;
		}
		prompt_upstream &upstream = upstreams[one.upstream];

		if (upstream.incarnation != one.incarnation)
			return lose_upstream(one);
		if (now < one.token_at)
			return false;
		if (one.bad) {
			if (++ends == ends_max)
				last_counted_end = now;
			upstream.incarnation++;
			upstream.down_until = now + down_time;
			return lose_upstream(one);
		}
		for (unsigned i = 1; i < one.suspects.count; i++)
			quarantine_record_success(gate.quarantine,
						  one.suspects.keys[i], now);
		send(one.at);
		sound_begun += held_since;
		return true;
	}

	void count_running()
	{
		unsigned running = 0;

		for (const prompt_request &one : requests)
			running += one.bad;
		at_once = std::max(at_once, running);
	}

	std::vector<prompt_upstream> upstreams;
	std::vector<prompt_request> requests;
	double bad_per_step;
	double sound_per_step;
	unsigned parts;
	pd_time_t prefill_max;
	bool relayed;
	bool held_since = false;
	const std::vector<fault> *all_faults = nullptr;
	pd_time_t last_counted_end = 0; /* of the first ends_max */
	uint64_t numbers = 0;
};

static bool prop_parts(unsigned size, unsigned faults_max)
{
	std::string name = "few upstreams end under one part of prompts, " +
			   std::to_string(size) + " gateways, " +
			   std::to_string(faults_max) + " faults";

	return rc::check(name, [size, faults_max] {
		auto rate = *rc::gen::element(3.0, 10.0, 40.0);
		auto parts = *rc::gen::element(5U, 50U);
		auto prefill = *rc::gen::element(30, 200, 600) * PD_MSEC;
		auto relays = *rc::gen::arbitrary<bool>();
		std::vector<fault> faults;

		for (unsigned i = 0; i < faults_max; i++)
			faults.push_back(make_fault(size, 100));
		prompt_fleet all(size, MAX(size * 3 / 2, 9U), rate, parts, prefill,
				 relays, *rc::gen::arbitrary<uint32_t>());
		all.run(faults);
		if (getenv("SHOW"))
			printf("%u: %.0f a second, %u ended, %u at once, "
			       "%u of %u sound ones begun\n",
			       size, rate, all.ends, all.at_once,
			       all.sound_begun, all.sound);
		/* See quarantine-notes.md. */
		RC_ASSERT(faults_max ||
			  all.ends <= QUARANTINE_PART_ENDS - 1 + all.at_once);
		RC_ASSERT(all.late <= late_max);
		RC_ASSERT(all.ends >= 1U);
		RC_ASSERT(all.sound < 20 || 2 * all.sound_begun >= all.sound);
	});
}

int main()
{
	bool good = true;

	set_cases(40);
	for (unsigned size : { 6U, 63U, 300U }) {
		good &= prop_parts(size, 0);
		good &= prop_parts(size, 2);
	}
	return good ? 0 : 1;
}
