/*
 * Simulates gateways that roll a version out, with late messages, restarts, freezes, cuts
 * and a kill of all. Guards against a bad version that gets more requests than the bound,
 * and a good one that is not completed in time.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "tests/property/cases.h"
#include "tests/property/rollout_fleet.h"

static const pd_time_t duration = period + 2 * PD_SEC;
static const unsigned upstreams = 6; /* of each version */

/* How a version is bad. */
struct flaw {
	double part = 0; /* of its answers that are bad */
	bool is_slow = false; /* else they fail */
	bool one_route = false;
	pd_time_t from = 0; /* since the order */
	double load = 0; /* of its upstreams, as part of an old one's, from which it is bad */
};

struct answer {
	unsigned at; /* its gateway */
	unsigned gateway_start;
	bool is_new;
	bool bad;
	bool failed;
	const char *route;
	pd_time_t sent_at;
};

class fleet : private gateway_fleet
{
      public:
	fleet(unsigned size, double per_second, pd_time_t usual_time,
	      const flaw &version, uint32_t seed)
	    : gateway_fleet(size, seed), rate(per_second), time(usual_time),
	      how(version), old_id(rollout_version_id("s", "v1")),
	      new_id(rollout_version_id("s", "v2"))
	{
		warm_up();
	}

	void run(const std::vector<fault> &faults)
	{
		for (now = start; now < start + duration; now += step) {
			advance(faults);
			finish_answers();
			for (owed += rate * step / PD_SEC; owed >= 1; owed--)
				send();
			if (now < start + period)
				continue;
			if (!final_all)
				final_all = all;
		}
	}

	bool is_completed_in_time() const
	{
		return state == ROLLOUT_COMPLETED && ended_at <= start + period;
	}

	rollout_state_t final_state() const
	{
		return state;
	}

	unsigned all = 0; /* requests */
	unsigned final_all = 0; /* until the deadline */
	unsigned exposed = 0; /* to the new version by gateways in touch, until then */
	unsigned late = 0; /* of these, and later ones, those 5 s after the 50th */
	unsigned bad = 0; /* answers to gateways in touch */

      private:
	/* Has the gateways serve the old version for 40 s before the order. */
	void warm_up()
	{
		for (int i = 0; i < rate * 40; i++) {
			const rollout_times_t times = { 0, 0,
							time / 2 + delay(time) };

			rollouts_record_answer(gateways[draw(gateways.size())].rollouts,
					       "s", draw(2) ? "a" : "b", old_id,
					       false, &times);
		}
	}

	/* Returns whether the new version's upstreams are loaded enough to be bad. */
	bool is_loaded(double part) const
	{
		double used = std::max(1.0, part * upstreams);
		double of_old = rate * time / PD_SEC / upstreams;

		return new_running / used >= how.load * of_old;
	}

	bool is_bad(const char *route, double part)
	{
		return now - start >= how.from &&
		       (!how.one_route || *route == 'a') && is_loaded(part) &&
		       g_rand_double(random) < how.part;
	}

	void send()
	{
		unsigned i = draw(gateways.size());
		const char *route = draw(2) ? "a" : "b";

		if (!gateways[i].serves())
			return;
		rollout_use_t use = rollouts_choose(gateways[i].rollouts, "s",
						    g_rand_double(random), now);
		bool has_new = now >= upstreams_at;
		answer one = { i,     gateways[i].number_of_start,
			       false, false,
			       false, route,
			       now };
		pd_time_t takes = time / 2 + delay(time);

		if (use.only && !has_new && !use.may_fall_back)
			return;
		one.is_new = use.only && has_new;
		all++;
		if (one.is_new) {
			count_exposed(i);
			one.bad = is_bad(route, use.upstreams_part);
			one.failed = one.bad && !how.is_slow;
			if (one.bad && how.is_slow)
				takes *= 4;
		} else {
			one.failed = draw(100) < 2;
		}
		(one.is_new ? new_running : old_running)++;
		rollouts_record_send(gateways[i].rollouts, "s", route,
				     one.is_new ? new_id : old_id);
		answers.emplace(now + takes, one);
	}

	void count_exposed(unsigned i)
	{
		if (!is_in_touch(i))
			return;
		exposed += now < start + period;
		late += fiftieth_at && now > fiftieth_at + settings.rollback_time;
	}

	void finish_answers()
	{
		while (!answers.empty() && answers.begin()->first <= now) {
			answer one = answers.begin()->second;
			const gateway &at = gateways[one.at];

			answers.erase(answers.begin());
			if (at.frozen) {
				answers.emplace(now + 10 * step, one);
				continue;
			}
			(one.is_new ? new_running : old_running)--;
			if (at.down || at.number_of_start != one.gateway_start)
				continue;
			receive_answer(one);
		}
	}

	void receive_answer(const answer &one)
	{
		const rollout_times_t times = { 0, 0, now - one.sent_at };

		rollouts_record_answer(gateways[one.at].rollouts, "s",
				       one.route, one.is_new ? new_id : old_id,
				       one.failed, &times);
		if (one.bad && is_in_touch(one.at) && ++bad == 50)
			fiftieth_at = now;
	}

	double rate;
	pd_time_t time; /* of a usual answer */
	flaw how;
	uint64_t old_id;
	uint64_t new_id;
	double owed = 0; /* requests to send */
	unsigned new_running = 0;
	pd_time_t fiftieth_at = 0;
	std::multimap<pd_time_t, answer> answers;
};

/* Draws a way of being bad. A version that turns bad does so well before the ramp. */
static flaw make_flaw()
{
	flaw how;

	how.part = *rc::gen::element(0.3, 0.6, 1.0);
	how.is_slow = *rc::gen::arbitrary<bool>();
	how.one_route = *rc::gen::arbitrary<bool>();
	how.from = *rc::gen::element(0, 0, 3, 7) * PD_SEC;
	how.load = *rc::gen::element(0.0, 0.0, 0.3, 0.8);
	return how;
}

/* Draws faults, and a kill of all gateways if KILLS. */
static std::vector<fault> make_faults(unsigned size, unsigned count, bool kills)
{
	std::vector<fault> faults;

	for (unsigned i = 0; i < count; i++)
		faults.push_back(make_fault(size, 110));
	if (kills)
		faults.push_back({ RESTART, *rc::gen::inRange(5, 110) * 100 * PD_MSEC,
				   800 * PD_MSEC, 0, size });
	return faults;
}

static void show(unsigned size, const flaw &how, double rate, const fleet &one)
{
	if (getenv("SHOW"))
		printf("%u: %.0f/s part %.1f slow %d route %d from %ld load "
		       "%.1f: "
		       "%u of %u exposed, %u late, %u bad, state %d\n",
		       size, rate, how.part, how.is_slow, how.one_route,
		       (long)(how.from / PD_SEC), how.load, one.exposed,
		       one.final_all, one.late, one.bad, one.final_state());
}

static bool prop_bad(unsigned size, unsigned faults_max, bool kills)
{
	std::string name = "a bad version is rolled back, " +
			   std::to_string(size) + " gateways, " +
			   std::to_string(faults_max) + " faults" +
			   (kills ? " and a kill of all" : "");

	return rc::check(name, [=] {
		flaw how = make_flaw();
		double rate = *rc::gen::element(60.0, 300.0, 1000.0);
		auto time = *rc::gen::element(40, 200) * PD_MSEC;
		auto faults = make_faults(size, faults_max, kills);
		fleet all(size, rate, time, how, *rc::gen::arbitrary<uint32_t>());

		all.run(faults);
		show(size, how, rate, all);
		RC_ASSERT(all.exposed <= settings.exposure_share * all.final_all +
						 settings.exposure_slack);
		RC_ASSERT(all.late == 0U);
	});
}

static bool prop_good(unsigned size)
{
	std::string name = "a good version is completed, " +
			   std::to_string(size) + " gateways";

	return rc::check(name, [=] {
		double rate = *rc::gen::element(60.0, 300.0, 1000.0);
		auto time = *rc::gen::element(40, 200) * PD_MSEC;
		fleet all(size, rate, time, flaw(),
			  *rc::gen::arbitrary<uint32_t>());

		all.run({});
		show(size, flaw(), rate, all);
		RC_ASSERT(all.is_completed_in_time());
	});
}

int main()
{
	bool good = true;

	set_cases(8);
	for (unsigned size : { 6U, 63U, 300U }) {
		good &= prop_good(size);
		good &= prop_bad(size, 0, false);
		good &= prop_bad(size, 2, false);
		good &= prop_bad(size, 1, true);
	}
	return good ? 0 : 1;
}
