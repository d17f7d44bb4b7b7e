/*
 * Simulates an account that sends many times its limit to gateways which learn of each
 * other's use late, while all gateways are killed once or several times. Guards against
 * granting more than the limit after all gateways were killed at the height of a flood.
 * No gateway knew then what the account had used before: each started with a guess,
 * granted at least one request a round regardless of its share, and could not tell what
 * part of the first totals it received was used before. 63 gateways granted 1.6 buckets
 * in the half second after the start, and the upstreams ran up to 12.6 % more than a
 * window allows, at the cost of other accounts. The sum over any window must stay
 * within what the settings allow, for any number of gateways, size of requests and
 * number of kills.
 */
#include <rapidcheck.h>

#include <cstdlib>
#include <deque>
#include <string>
#include <vector>

extern "C" {
#include "core/forward/token_limits.h"
}
#include "tests/property/cases.h"

static const pd_time_t start = 1000 * PD_SEC;
static const pd_time_t step = 10 * PD_MSEC;
static const pd_time_t write_period = 100 * PD_MSEC;
static const pd_time_t duration = 30 * PD_SEC;
static const unsigned mesh_max =
	12; /* gateways; in larger fleets an aggregator sums up the reports */
static const token_limits_config_t config = { 8 * PD_SEC, 0.1, 140000 };

struct request {
	pd_time_t at;
	double tokens;
};

struct gateway {
	token_limits_t *limits = nullptr;
	pd_time_t reports_at = 0;
	pd_time_t reports_to_writer_at =
		0; /* when it reports to the writer of the record */
};

/* A fleet with one account, and the record of that account in the store. */
class fleet
{
      public:
	fleet(unsigned size, double rate, double tokens, double request_factor,
	      uint32_t seed)
	    : gateways(size), random(g_rand_new_with_seed(seed)), mean(tokens),
	      factor(request_factor)
	{
		account.name = const_cast<char *>("mill");
		account.limits_tokens = true;
		account.rate = rate;
		account.burst = rate;
		period = size <= mesh_max ? 250 * PD_MSEC
			 : size <= 100	  ? 200 * PD_MSEC
					  : 2 * PD_MSEC * size;
		start_gateways(true);
	}
	fleet(const fleet &) = delete;
	fleet &operator=(const fleet &) = delete;

	~fleet()
	{
		stop_gateways();
		g_rand_free(random);
	}

	void run(const std::vector<pd_time_t> &kills, pd_time_t down)
	{
		pd_time_t back = 0;

		for (now = start; now < start + duration; now += step) {
			for (pd_time_t kill : kills)
				if (now == start + kill && !back) {
					stop_gateways();
					back = now + down;
				}
			if (back && now >= back) {
				start_gateways(false);
				back = 0;
			}
			if (back)
				continue;
			send_reports();
			if (now >= writes_at)
				write_record();
			send_requests();
		}
	}

	double allowed() const
	{
		return (account.rate * 8 + account.burst) * (1 + config.overage) +
		       config.slack;
	}

	/* Returns the most tokens that were granted in any window of eight seconds. */
	double worst() const
	{
		std::deque<request> window;
		double sum = 0;
		double most = 0;

		for (const request &grant : grants) {
			window.push_back(grant);
			sum += grant.tokens;
			while (window.front().at <= grant.at - config.window) {
				sum -= window.front().tokens;
				window.pop_front();
			}
			most = std::max(most, sum);
		}
		return most;
	}

	/* Returns what was granted after the first five seconds, of what flows in. */
	double granted_share() const
	{
		const pd_time_t from = start + 5 * PD_SEC;
		double sum = 0;

		for (const request &grant : grants)
			sum += grant.at >= from ? grant.tokens : 0;
		return sum * PD_SEC /
		       (account.rate * (double)(duration - 5 * PD_SEC));
	}

	unsigned asked = 0; /* requests */
	unsigned refused = 0;

      private:
	void start_gateways(bool first)
	{
		incarnations++;
		for (gateway &one : gateways) {
			one = gateway();
			one.limits = token_limits_create(&config, first);
			token_limits_seed(one.limits, g_rand_int(random));
			token_limits_set_gateway_count(one.limits,
						       (unsigned)gateways.size());
			token_limits_set_lag(one.limits, period * 5 / 2);
			if (!first)
				token_limits_restore(one.limits, account.name,
						     level, demand, now);
			token_limits_add_account(one.limits, &account,
						 first ? start : now);
			one.reports_at =
				now + g_rand_int_range(random, 0, (int)period);
		}
		/* The first write comes when the gateways agree on the writers. */
		writes_at = now + 300 * PD_MSEC;
	}

	pd_time_t count_period() const
	{
		return std::max(write_period,
				write_period / 100 * (pd_time_t)gateways.size());
	}

	void stop_gateways()
	{
		for (gateway &one : gateways)
			token_limits_destroy(one.limits);
	}

	std::string name(size_t number) const
	{
		return std::to_string(number) + "#" + std::to_string(incarnations);
	}

	static void copy_use(void *ctx, const char *, const token_use_t *use)
	{
		*static_cast<token_use_t *>(ctx) = *use;
	}

	token_use_t use_of(const gateway &one) const
	{
		token_use_t use = {};

		token_limits_each(one.limits, now, copy_use, &use);
		return use;
	}

	void receive(gateway &to, size_t from, const token_use_t &use)
	{
		token_limits_record_peer_use(to.limits, account.name,
					     name(from).c_str(), use.granted,
					     true, now);
		token_limits_record_peer_demand(to.limits, account.name,
						name(from).c_str(),
						use.requested, now);
	}

	void send_reports()
	{
		for (size_t i = 0; i < gateways.size(); i++) {
			if (now >= gateways[i].reports_to_writer_at && i > 0) {
				gateways[i].reports_to_writer_at =
					now + count_period();
				receive_at_aggregator(i, use_of(gateways[i]));
			}
			if (now < gateways[i].reports_at)
				continue;
			gateways[i].reports_at = now + period;
			if (gateways.size() <= mesh_max)
				report_to_mesh(i);
			else if (i > 0)
				report_to_aggregator(i);
		}
	}

	void report_to_mesh(size_t from)
	{
		token_use_t use = use_of(gateways[from]);

		for (size_t i = 0; i < gateways.size(); i++)
			if (i != from)
				receive(gateways[i], from, use);
	}

	/* The first gateway receives a report, for the record and for its sums. */
	void receive_at_aggregator(size_t from, const token_use_t &use)
	{
		receive(gateways[0], from, use);
		sum_granted += use.granted - last_use(from).granted;
		sum_requested += use.requested - last_use(from).requested;
		last_use(from) = use;
	}

	/* The aggregator receives a report, and answers with the sums of all others. */
	void report_to_aggregator(size_t from)
	{
		gateway &one = gateways[from];
		token_use_t use = use_of(one);
		token_use_t aggregator;

		receive_at_aggregator(from, use);
		token_limits_mark_reported(one.limits);
		aggregator = use_of(gateways[0]);
		token_limits_record_peer_use(one.limits, account.name, "everybody",
					     sum_granted - use.granted +
						     aggregator.granted,
					     false, now);
		token_limits_record_peer_demand(one.limits, account.name,
						"everybody",
						sum_requested - use.requested +
							aggregator.requested,
						now);
		token_limits_set_level(one.limits, account.name,
				       aggregator.level, now);
	}

	token_use_t &last_use(size_t number)
	{
		if (sums_incarnation != incarnations) {
			sums_incarnation = incarnations;
			last_uses.assign(gateways.size(), token_use_t());
			sum_granted = 0;
			sum_requested = 0;
		}
		return last_uses[number];
	}

	void write_record()
	{
		writes_at = now + write_period;
		level = use_of(gateways[0]).level;
		demand = token_limits_demand(gateways[0].limits, account.name, now);
	}

	/* Sends requests of random sizes around the mean to random gateways. */
	void send_requests()
	{
		due += account.rate * factor * (double)step / PD_SEC;
		while (due > 0) {
			double tokens = mean * (0.2 + 1.6 * g_rand_double(random));
			gateway &one = gateways[(size_t)g_rand_int_range(
				random, 0, (int)gateways.size())];
			token_decision_t decision;

			due -= tokens;
			asked++;
			if (token_limits_take(one.limits, &account, tokens, now,
					      &decision))
				grants.push_back({ now, tokens });
			else
				refused++;
		}
	}

	std::vector<gateway> gateways;
	GRand *random;
	forward_account_t account = {};
	double mean;
	double factor; /* callers request this multiple of the limit */
	pd_time_t period;
	pd_time_t now = start;
	pd_time_t writes_at = 0;
	unsigned incarnations = 0;
	double due = 0;
	double level = 0;
	double demand = 0;
	unsigned sums_incarnation = 0;
	std::vector<token_use_t> last_uses;
	double sum_granted = 0;
	double sum_requested = 0;
	std::vector<request> grants;
};

static bool prop_kills(unsigned size)
{
	std::string name =
		"a window allows no more, " + std::to_string(size) + " entries";

	return rc::check(name, [size] {
		auto rate = *rc::gen::element(150000.0, 600000.0, 1400000.0);
		auto mean = *rc::gen::element(200.0, 3500.0, 9000.0, 20000.0);
		auto factor = *rc::gen::element(1.5, 3.0, 4.0, 8.0);
		auto down = *rc::gen::inRange(3, 20) * 50 * PD_MSEC;
		auto kills = *rc::gen::container<std::vector<int>>(
			*rc::gen::inRange<size_t>(0, 12), rc::gen::inRange(0, 300));
		fleet all(size, rate, mean, factor,
			  *rc::gen::arbitrary<uint32_t>());
		std::vector<pd_time_t> at;

		for (int kill : kills)
			at.push_back(kill * 100 * PD_MSEC);
		all.run(at, down);
		if (getenv("SHOW"))
			printf("%u rate %.0f mean %.0f x%.1f kills %zu: %.3f\n",
			       size, rate, mean, factor, at.size(),
			       all.worst() / all.allowed());
		RC_ASSERT(all.worst() <= all.allowed());
	});
}

/*
 * Guards against refusing requests of an account within its limit, also after a kill of
 * all gateways.
 */
static bool prop_within(unsigned size)
{
	std::string name = "callers within limits are served, " +
			   std::to_string(size) + " entries";

	return rc::check(name, [size] {
		auto down = *rc::gen::inRange(3, 20) * 50 * PD_MSEC;
		fleet all(size, 600000, 3500, 0.55,
			  *rc::gen::arbitrary<uint32_t>());

		all.run({ 9000 * PD_MSEC }, down);
		if (getenv("SHOW"))
			printf("%u refused %u of %u\n", size, all.refused,
			       all.asked);
		RC_ASSERT(all.refused * 50 <= all.asked);
	});
}

/* Guards against withholding what an account is owed while it requests more. */
static bool prop_owed(unsigned size)
{
	std::string name = "an account is granted what it is owed, " +
			   std::to_string(size) + " entries";

	return rc::check(name, [size] {
		auto mean = *rc::gen::element(200.0, 3500.0, 12000.0);
		auto factor = *rc::gen::element(0.9, 1.0, 1.5, 7.0);
		fleet all(size, 600000, mean, factor,
			  *rc::gen::arbitrary<uint32_t>());

		all.run({}, 0);
		if (getenv("SHOW"))
			printf("%u mean %.0f x%.1f: granted %.3f of the rate\n",
			       size, mean, factor, all.granted_share());
		RC_ASSERT(all.granted_share() >= 0.95 * std::min(factor, 1.0));
	});
}

int main()
{
	bool ok = true;

	set_cases(40); /* each simulates 30 s */
	for (unsigned size : { 6U, 63U, 300U }) {
		ok &= prop_kills(size);
		ok &= prop_within(size);
		ok &= prop_owed(size);
	}
	return ok ? 0 : 1;
}
