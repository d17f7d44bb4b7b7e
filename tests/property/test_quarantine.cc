/*
 * Simulates gateways whose callers try requests that end upstreams, with late messages,
 * restarts, freezes and cuts. Guards against a request under which one upstream ends
 * after the other.
 */
#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "tests/property/cases.h"
#include "tests/property/quarantine_fleet.h"

static const pd_time_t duration = 20 * PD_SEC;
static const unsigned runs_per_attempt = 2;
static const uint64_t request = 78;

/* An attempt of the caller: waits, runs at an upstream, or waits for a retry. */
struct attempt {
	enum { WAITS, RUNS, SETTLES } state = WAITS;
	pd_time_t until = 0;
	unsigned at = 0; /* its gateway */
	uint64_t gateway_start = 0;
	unsigned runs = 0;
};

class fleet : private quarantine_fleet
{
      public:
	/* AT_ONCE attempts begin within SPREAD. */
	fleet(unsigned size, unsigned at_once, pd_time_t spread, pd_time_t gap,
	      pd_time_t run, uint32_t seed)
	    : quarantine_fleet(size, seed), attempts(at_once), gap_max(gap),
	      run_max(run)
	{
		for (attempt &one : attempts)
			one.until = start + delay(spread);
	}
	void run(const std::vector<fault> &faults)
	{
		for (now = start; now < start + duration; now += step) {
			apply_and_deliver(faults);
			for (attempt &one : attempts)
				advance(one);
			repeat_all();
		}
	}

	unsigned ends = 0;
	unsigned tries = 0;
	unsigned refused = 0;

      private:
	/* The caller tries again later, through any gateway. */
	void finish(attempt &one)
	{
		one.state = attempt::WAITS;
		one.until = now + 6 * PD_MSEC + delay(gap_max);
		one.runs = 0;
	}

	void begin_run(attempt &one)
	{
		one.state = attempt::RUNS;
		one.until = now + 5 * PD_MSEC + delay(run_max);
		one.runs++;
	}

	void advance(attempt &one)
	{
		if (one.state != attempt::WAITS) {
			const gateway &gate = gateways[one.at];

			if (gate.down || gate.start != one.gateway_start) {
				finish(one);
				return;
			}
			if (gate.frozen)
				return;
			if (quarantine_is_held(gate.quarantine, request)) {
				finish(one);
				return;
			}
		}
		if (now < one.until)
			return;
		switch (one.state) {
		case attempt::WAITS:
			arrive(one);
			return;
		case attempt::RUNS:
			end_upstream(one);
			return;
		case attempt::SETTLES:
			begin_run(one);
			return;
		}
	}

	bool runs_elsewhere(const attempt &one) const
	{
		for (const attempt &other : attempts)
			if (&other != &one && other.state != attempt::WAITS &&
			    other.at == one.at)
				return true;
		return false;
	}

	void arrive(attempt &one)
	{
		one.at = any();
		gateway &gate = gateways[one.at];

		if (gate.down || gate.frozen) {
			finish(one);
			return;
		}
		tries++;
		one.gateway_start = gate.start;
		if (quarantine_record_attempt(gate.quarantine, request, now) ||
		    (quarantine_is_suspect(gate.quarantine, request) &&
		     runs_elsewhere(one))) {
			refused++;
			finish(one);
			return;
		}
		begin_run(one);
	}

	void end_upstream(attempt &one)
	{
		ends++;
		quarantine_record_end(gateways[one.at].quarantine, request,
				      ends, now);
		send(one.at);
		if (one.runs >= runs_per_attempt) {
			finish(one);
			return;
		}
		one.state = attempt::SETTLES;
		one.until = now + (is_mesh ? 10 : 40) * PD_MSEC;
	}

	std::vector<attempt> attempts;
	pd_time_t gap_max;
	pd_time_t run_max;
};

static bool prop_ends(unsigned size, unsigned faults_max)
{
	std::string name = "few upstreams end under one request, " +
			   std::to_string(size) + " gateways, " +
			   std::to_string(faults_max) + " faults";

	return rc::check(name, [size, faults_max] {
		auto at_once = *rc::gen::element(1U, 1U, 2U, 4U);
		auto spread = *rc::gen::element(0, 30, 2000) * PD_MSEC;
		auto gap = *rc::gen::element(20, 300, 2000) * PD_MSEC;
		auto run = *rc::gen::element(10, 200, 2000) * PD_MSEC;
		std::vector<fault> faults;

		for (unsigned i = 0; i < faults_max; i++)
			faults.push_back(make_fault(size, 150));
		fleet all(size, at_once, spread, gap, run,
			  *rc::gen::arbitrary<uint32_t>());
		all.run(faults);
		if (getenv("SHOW"))
			printf("%u: %u at once, %u of %u tries refused, %u "
			       "ended\n",
			       size, at_once, all.refused, all.tries, all.ends);
		/* See quarantine-notes.md. */
		RC_ASSERT(all.ends <= (at_once + 1) * (1 + faults_max));
		RC_ASSERT(all.ends >= 1U);
	});
}

int main()
{
	bool good = true;

	set_cases(40);
	for (unsigned size : { 6U, 63U, 300U }) {
		good &= prop_ends(size, 0);
		good &= prop_ends(size, 2);
	}
	return good ? 0 : 1;
}
