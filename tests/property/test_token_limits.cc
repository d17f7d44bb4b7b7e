/*
 * What an account is granted over entries that hear of each other late, while it
 * sends many times its limit and all entries are killed, once or again and again.
 *
 * All entries are killed at the height of a flood. What the account had used by then
 * nobody knew after the start: each entry began with a guess, each granted at least
 * one request a round whatever its share was, and of the first sums that it heard it
 * could not tell what was used before. The log showed 1.6 buckets granted in the
 * half second after the start, by 63 entries, and the upstreams ran up to 12.6 %
 * more than a window allows, at the cost of the other accounts' callers.
 *
 * The sum over any window must stay within what the settings allow, for few and for
 * many entries, small and large requests, and any number of kills.
 */
#include <rapidcheck.h>

#include <cstdlib>
#include <deque>
#include <string>
#include <vector>

extern "C" {
#include "core/forward/token_limits.h"
}

static const pd_time_t start = 1000 * PD_SEC;
static const pd_time_t step = 10 * PD_MSEC;
static const pd_time_t write_period = 100 * PD_MSEC;
static const pd_time_t day = 30 * PD_SEC;
static const unsigned mesh_max = 12; /* beyond, an aggregator sums up for all */
static const token_limits_config_t config = { 8 * PD_SEC, 0.1, 140000 };

struct request {
	pd_time_t at;
	double tokens;
};

struct node {
	token_limits_t *limits = nullptr;
	pd_time_t tells_at = 0;
	pd_time_t counts_at = 0; /* when it tells who keeps the record */
};

/* A fleet with one account, and the record that it keeps in the store. */
class fleet
{
      public:
	fleet(unsigned size, double rate, double tokens, double asks, uint32_t seed)
	    : nodes(size), random(g_rand_new_with_seed(seed)), mean(tokens),
	      factor(asks)
	{
		account.name = const_cast<char *>("mill");
		account.in_tokens = true;
		account.rate = rate;
		account.burst = rate;
		period = size <= mesh_max ? 250 * PD_MSEC
			 : size <= 100	  ? 200 * PD_MSEC
					  : 2 * PD_MSEC * size;
		start_all(true);
	}
	fleet(const fleet &) = delete;
	fleet &operator=(const fleet &) = delete;

	~fleet()
	{
		stop_all();
		g_rand_free(random);
	}

	void run(const std::vector<pd_time_t> &kills, pd_time_t down)
	{
		pd_time_t back = 0;

		for (now = start; now < start + day; now += step) {
			for (pd_time_t kill : kills)
				if (now == start + kill && !back) {
					stop_all();
					back = now + down;
				}
			if (back && now >= back) {
				start_all(false);
				back = 0;
			}
			if (back)
				continue;
			tell();
			if (now >= writes_at)
				write_record();
			ask();
		}
	}

	double allowed() const
	{
		return (account.rate * 8 + account.burst) * (1 + config.overage) +
		       config.slack;
	}

	/* The most that was granted in any window of eight seconds. */
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

	unsigned asked = 0;
	unsigned refused = 0;

      private:
	void start_all(bool first)
	{
		lives++;
		for (node &entry : nodes) {
			entry = node();
			entry.limits = token_limits_create(&config, first);
			token_limits_seed(entry.limits, g_rand_int(random));
			token_limits_set_gateway_count(entry.limits,
						       (unsigned)nodes.size());
			token_limits_set_lag(entry.limits, period * 5 / 2);
			if (!first)
				token_limits_restore(entry.limits, account.name,
						     level, demand, now);
			token_limits_add_account(entry.limits, &account,
						 first ? start : now);
			entry.tells_at =
				now + g_rand_int_range(random, 0, (int)period);
		}
		/* The first write comes when it is known who goes first. */
		writes_at = now + 300 * PD_MSEC;
	}

	pd_time_t count_period() const
	{
		return std::max(write_period,
				write_period / 100 * (pd_time_t)nodes.size());
	}

	void stop_all()
	{
		for (node &entry : nodes)
			token_limits_destroy(entry.limits);
	}

	std::string name(size_t number) const
	{
		return std::to_string(number) + "#" + std::to_string(lives);
	}

	static void note_use(void *ctx, const char *, const token_use_t *use)
	{
		*static_cast<token_use_t *>(ctx) = *use;
	}

	token_use_t use_of(const node &entry) const
	{
		token_use_t use = {};

		token_limits_each(entry.limits, now, note_use, &use);
		return use;
	}

	void hear(node &to, size_t from, const token_use_t &use)
	{
		token_limits_record_peer_use(to.limits, account.name,
					     name(from).c_str(), use.total,
					     true, now);
		token_limits_record_peer_demand(to.limits, account.name,
						name(from).c_str(),
						use.requested, now);
	}

	void tell()
	{
		for (size_t i = 0; i < nodes.size(); i++) {
			if (now >= nodes[i].counts_at && i > 0) {
				nodes[i].counts_at = now + count_period();
				hear_sum(i, use_of(nodes[i]));
			}
			if (now < nodes[i].tells_at)
				continue;
			nodes[i].tells_at = now + period;
			if (nodes.size() <= mesh_max)
				tell_mesh(i);
			else if (i > 0)
				tell_aggregator(i);
		}
	}

	void tell_mesh(size_t from)
	{
		token_use_t use = use_of(nodes[from]);

		for (size_t i = 0; i < nodes.size(); i++)
			if (i != from)
				hear(nodes[i], from, use);
	}

	/* The first entry hears another, for the record and for its sums. */
	void hear_sum(size_t from, const token_use_t &use)
	{
		hear(nodes[0], from, use);
		sum_total += use.total - last(from).total;
		sum_asked += use.requested - last(from).requested;
		last(from) = use;
	}

	/* The aggregator hears one entry, and answers with the sums of all others. */
	void tell_aggregator(size_t from)
	{
		node &entry = nodes[from];
		token_use_t use = use_of(entry);
		token_use_t aggregator;

		hear_sum(from, use);
		token_limits_mark_reported(entry.limits);
		aggregator = use_of(nodes[0]);
		token_limits_record_peer_use(entry.limits, account.name,
					     "everybody",
					     sum_total - use.total + aggregator.total,
					     false, now);
		token_limits_record_peer_demand(entry.limits, account.name,
						"everybody",
						sum_asked - use.requested +
							aggregator.requested,
						now);
		token_limits_set_level(entry.limits, account.name,
				       aggregator.level, now);
	}

	token_use_t &last(size_t number)
	{
		if (sums_of != lives) {
			sums_of = lives;
			lasts.assign(nodes.size(), token_use_t());
			sum_total = 0;
			sum_asked = 0;
		}
		return lasts[number];
	}

	void write_record()
	{
		writes_at = now + write_period;
		level = use_of(nodes[0]).level;
		demand = token_limits_demand(nodes[0].limits, account.name, now);
	}

	/* Callers ask at random entries, for sizes around the mean. */
	void ask()
	{
		due += account.rate * factor * (double)step / PD_SEC;
		while (due > 0) {
			double tokens = mean * (0.2 + 1.6 * g_rand_double(random));
			node &entry =
				nodes[(size_t)g_rand_int_range(random, 0,
							       (int)nodes.size())];
			token_decision_t decision;

			due -= tokens;
			asked++;
			if (token_limits_take(entry.limits, &account, tokens,
					      now, &decision))
				grants.push_back({ now, tokens });
			else
				refused++;
		}
	}

	std::vector<node> nodes;
	GRand *random;
	forward_account_t account = {};
	double mean;
	double factor; /* of the limit, that callers ask for */
	pd_time_t period;
	pd_time_t now = start;
	pd_time_t writes_at = 0;
	unsigned lives = 0;
	double due = 0;
	double level = 0;
	double demand = 0;
	unsigned sums_of = 0;
	std::vector<token_use_t> lasts;
	double sum_total = 0;
	double sum_asked = 0;
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

/* An account that keeps its limit is refused little, also after a kill of all. */
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

int main()
{
	bool ok = true;

	/* Each case is 30 s of a fleet: CASES=1000 is for long runs by hand. */
	const char *given = getenv("RC_PARAMS");
	const char *cases = getenv("CASES");
	std::string params = given ? given : "seed=20261202";

	params += std::string(" max_success=") + (cases ? cases : "40");
	setenv("RC_PARAMS", params.c_str(), 1);
	for (unsigned size : { 6U, 63U, 300U }) {
		ok &= prop_kills(size);
		ok &= prop_within(size);
	}
	return ok ? 0 : 1;
}
