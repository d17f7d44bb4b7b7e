/*
 * Simulates gateways whose streams break off and are taken up at others, while versions
 * of a service are released and gateways restart, freeze and are cut off. Guards against
 * streams that go on at another version, and against refusing most of them.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/forward/stream_versions.h"
}
#include "tests/property/cases.h"
#include "tests/property/fleet_faults.h"

static const pd_time_t start = 1000 * PD_SEC;
static const pd_time_t step = 5 * PD_MSEC;
static const pd_time_t duration = 40 * PD_SEC;
static const pd_time_t ttl = 30 * PD_SEC;
static const pd_time_t in_touch_after = 3 * PD_SEC;
static const pd_time_t ask_period = 40 * PD_MSEC;
static const pd_time_t wait_max = 150 * PD_MSEC;
static const unsigned mesh_max = 12;
static const unsigned aggregators = 2; /* gateways 0 and 1 of larger fleets */
static const char service[] = "s";

struct message {
	unsigned from;
	unsigned to;
	std::vector<stream_record_t> records;
};

struct gateway {
	stream_versions_t *streams = nullptr;
	pd_time_t send_at = 0;
	pd_time_t faulty_until = 0;
	uint64_t start = 0; /* number of its start */
	bool frozen = false;
	bool down = false;
	bool cut = false;
};

struct stream {
	enum { RUNS, RETURNS, ASKS } state = RUNS;
	uint64_t attempt = 0;
	uint64_t version = 0;
	unsigned at = 0;
	uint64_t gateway_start = 0;
	pd_time_t ends = 0;
	pd_time_t breaks = 0; /* after the end: it does not */
	pd_time_t next = 0; /* when its caller returns, or others are asked again */
	pd_time_t asked_since = 0;
};

class fleet : private random_draws
{
      public:
	fleet(unsigned size, double rate_, std::vector<pd_time_t> releases_,
	      uint32_t seed)
	    : random_draws(seed), gateways(size), rate(rate_), releases(releases_)
	{
		is_mesh = size <= mesh_max;
		period = is_mesh ? 250 * PD_MSEC
				 : std::max(200 * PD_MSEC, 2 * PD_MSEC * (int)size);
		for (gateway &one : gateways)
			boot(one, true);
	}
	~fleet()
	{
		for (gateway &one : gateways)
			stream_versions_destroy(one.streams);
	}

	void run(const std::vector<fault> &faults)
	{
		for (now = start; now < start + duration; now += step) {
			for (const fault &one : faults)
				apply(one);
			deliver();
			for (unsigned i = 0; i < gateways.size(); i++)
				tick(i);
			begin_streams();
			remove_over(all, [&](auto &one) { return advance(one); });
		}
	}

	unsigned joined = 0;
	/* At gateways in touch, while their version serves. */
	unsigned resumed = 0;
	unsigned refused = 0;

      private:
	void boot(gateway &one, bool first)
	{
		stream_versions_destroy(one.streams);
		one.streams = stream_versions_create(ttl, first, now);
		one.send_at = now + delay(period);
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

				     gate.faulty_until = now + in_touch_after;
				     if (one.kind == CUT)
					     gate.cut = !over;
				     if (one.kind == FREEZE)
					     gate.frozen = !over;
				     if (one.kind != RESTART)
					     return;
				     if (gate.down && over)
					     boot(gate, false);
				     gate.down = !over;
			     });
	}

	/* Returns whether a version has upstreams: two of them overlap in each release. */
	bool serves(uint64_t version) const
	{
		pd_time_t from = version == 1 ? 0 : releases[version - 2];
		pd_time_t until = version - 1 < releases.size()
					  ? releases[version - 1] + 4 * PD_SEC
					  : duration;

		return now - start >= from && now - start < until;
	}

	bool reach(unsigned a, unsigned b) const
	{
		return a == b || (!gateways[a].cut && !gateways[b].cut);
	}

	void post(unsigned from, unsigned to,
		  const std::vector<stream_record_t> &list)
	{
		if (from != to && !list.empty())
			messages.emplace(now + PD_MSEC + delay(6 * PD_MSEC),
					 message{ from, to, list });
	}

	void deliver()
	{
		std::vector<message> held;

		while (!messages.empty() && messages.begin()->first <= now) {
			message one = messages.begin()->second;
			gateway &to = gateways[one.to];

			messages.erase(messages.begin());
			if (to.frozen || !reach(one.from, one.to))
				held.push_back(one);
			else if (!to.down)
				for (const stream_record_t &record : one.records)
					stream_versions_merge(to.streams,
							      &record, now);
		}
		for (const message &one : held)
			messages.emplace(now + step, one);
	}

	/* Returns whether a gateway is sent what others record, and is asked. */
	bool keeps(unsigned i) const
	{
		return is_mesh || i < aggregators;
	}

	void send(unsigned i)
	{
		stream_record_t records[512];
		unsigned count = stream_versions_take_unsent(gateways[i].streams,
							     records, 512);
		std::vector<stream_record_t> list(records, records + count);

		for (unsigned j = 0; j < gateways.size(); j++)
			if (keeps(j))
				post(i, j, list);
	}

	void tick(unsigned i)
	{
		gateway &one = gateways[i];

		if (one.down || one.frozen)
			return;
		for (uint64_t v = 1; !one.cut && v <= releases.size() + 1; v++)
			if (serves(v))
				stream_versions_record_serving(one.streams,
							       service, v, now);
		if (now < one.send_at)
			return;
		one.send_at = now + period;
		send(i);
	}

	void begin_streams()
	{
		due += rate * (double)step / PD_SEC;
		for (; due >= 1; due--) {
			stream one;

			one.at = any();
			if (gateways[one.at].down || gateways[one.at].frozen)
				continue;
			one.attempt = ++attempts;
			one.gateway_start = gateways[one.at].start;
			do
				one.version = (uint64_t)g_rand_int_range(
					random, 1, (int)releases.size() + 2);
			while (!serves(one.version));
			one.ends = now + delay(4 * PD_SEC);
			one.breaks = g_rand_double(random) < 0.1
					     ? now + delay(one.ends - now)
					     : one.ends + 1;
			stream_versions_record(gateways[one.at].streams,
					       one.attempt, one.version, now);
			all.push_back(one);
		}
	}

	/* Advances a stream. Returns whether it is over. */
	bool advance(stream &one)
	{
		gateway &gate = gateways[one.at];

		switch (one.state) {
		case stream::RUNS:
			if (gate.down || gate.start != one.gateway_start) {
				come_back(one);
				return false;
			}
			if (gate.frozen)
				return false;
			if (now >= one.breaks && one.breaks <= one.ends) {
				if (stream_versions_is_unsent(gate.streams,
							      one.attempt))
					send(one.at);
				come_back(one);
				return false;
			}
			return now >= one.ends;
		case stream::RETURNS:
			if (now < one.next)
				return false;
			one.at = any();
			if (gateways[one.at].down || gateways[one.at].frozen) {
				come_back(one);
				return false;
			}
			one.asked_since = now;
			return resume(one);
		case stream::ASKS:
			if (gate.down || gate.frozen)
				return true;
			return resume(one);
		}
		return true;
	}

	void come_back(stream &one)
	{
		one.state = stream::RETURNS;
		one.next = now + 6 * PD_MSEC + delay(300 * PD_MSEC);
	}

	/* Goes on with a stream, asks others, or refuses it. Returns whether it is over. */
	bool resume(stream &one)
	{
		gateway &gate = gateways[one.at];
		bool counts = now >= gate.faulty_until && serves(one.version);
		uint64_t version = known(one.at, one.attempt);

		if (version) {
			joined += version != one.version;
			resumed += counts;
			return true;
		}
		if (now - one.asked_since > wait_max) {
			refused += counts;
			return true;
		}
		if (one.state != stream::ASKS || now >= one.next)
			ask(one);
		one.state = stream::ASKS;
		return false;
	}

	uint64_t known(unsigned i, uint64_t attempt) const
	{
		const gateway &gate = gateways[i];
		uint64_t version = stream_versions_find(gate.streams, attempt);

		if (!version && now >= gate.faulty_until)
			version = stream_versions_sole(gate.streams, service, now);
		return version;
	}

	void ask(stream &one)
	{
		one.next = now + ask_period;
		for (unsigned j = 0; j < gateways.size(); j++) {
			stream_record_t record = { one.attempt, 0 };

			if (!keeps(j) || gateways[j].down ||
			    gateways[j].frozen || !reach(one.at, j))
				continue;
			record.version_id = known(j, one.attempt);
			if (record.version_id)
				post(j, one.at, { record });
		}
	}

	std::vector<gateway> gateways;
	double rate;
	std::vector<pd_time_t> releases;
	pd_time_t period;
	pd_time_t now = start;
	bool is_mesh;
	double due = 0;
	uint64_t attempts = 0;
	std::multimap<pd_time_t, message> messages;
	std::vector<stream> all;
};

static bool prop_versions(unsigned size, unsigned faults_max)
{
	std::string name = "streams go on at their version, " +
			   std::to_string(size) + " gateways, " +
			   std::to_string(faults_max) + " faults";

	return rc::check(name, [size, faults_max] {
		std::vector<pd_time_t> releases;
		std::vector<fault> faults;

		for (unsigned i = *rc::gen::inRange(0U, 3U); i > 0; i--)
			releases.push_back(*rc::gen::inRange(0, 35) * PD_SEC);
		std::sort(releases.begin(), releases.end());
		for (unsigned i = 0; i < faults_max; i++)
			faults.push_back(make_fault(size, 350));
		fleet all(size, 100, releases, *rc::gen::arbitrary<uint32_t>());
		all.run(faults);
		if (getenv("SHOW"))
			printf("%u: %u faults, %zu releases: %u went on, %u "
			       "refused\n",
			       size, faults_max, releases.size(), all.resumed,
			       all.refused);
		RC_ASSERT(all.joined == 0U);
		RC_ASSERT(all.resumed >= all.refused || all.refused < 12U);
	});
}

int main()
{
	bool good = true;

	set_cases(8);
	for (unsigned size : { 6U, 63U, 300U }) {
		good &= prop_versions(size, 0);
		good &= prop_versions(size, 2);
	}
	return good ? 0 : 1;
}
