/*
 * Simulates gateways that share brittle upstreams, with late and lost messages, restarts,
 * freezes and cuts. Guards against gateways that together have an upstream reject more
 * requests in a second than it bears, and against leaving its room unused.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "core/forward/brittle.h"
#include "core/hash.h"
}
#include "tests/property/cases.h"
#include "tests/property/fleet_faults.h"

static const pd_time_t start = 1000 * PD_SEC;
static const pd_time_t step = 5 * PD_MSEC;
static const pd_time_t duration = 18 * PD_SEC;
static const pd_time_t used_from = 3 * PD_SEC;
static const pd_time_t cut_from = 6 * PD_SEC; /* upstreams admit a quarter */
static const pd_time_t cut_until = 13 * PD_SEC;
static const unsigned candidates_max = 24;
static const pd_time_t silence_max = 3 * PD_SEC; /* of a gateway that is alive */
static const pd_time_t answer_timeout = 50 * PD_MSEC;
static const unsigned asks_max = 4;

enum event_kind { ASK, ANSWER, REPORT, SEND, ARRIVE, RESULT, SETTLE, END };

struct event {
	event_kind kind;
	unsigned from; /* a gateway */
	unsigned to; /* the same */
	unsigned upstream;
	uint32_t number;
	unsigned boot; /* of the gateway that asked */
	bool granted; /* or admitted */
	brittle_outcome_t outcome;
	pd_time_t asked_at;
	unsigned asks; /* made before by the same request */
};

struct gateway {
	brittle_issuer_t *issuer = nullptr;
	std::vector<pd_time_t> heard_at; /* from each gateway */
	std::vector<pd_time_t> full_until; /* each upstream */
	std::map<uint32_t, event> waiting; /* number -> ask */
	std::vector<unsigned> candidates; /* the first that it takes for alive */
	pd_time_t candidates_at = 0; /* when they last changed */
	pd_time_t booted_at = 0;
	bool hears_all = true;
	unsigned boot = 0;
	bool frozen = false;
	bool down = false;
};

struct upstream_state {
	unsigned running = 0;
	std::vector<pd_time_t> rejections;
};

/* The size and the load of a simulation. */
struct setup {
	unsigned gateways;
	unsigned upstreams;
	unsigned slots;
	unsigned rejections_max;
	pd_time_t work;
	pd_time_t message_time; /* between gateways at most */
	double loss; /* of messages between gateways */
	uint32_t seed;
};

class fleet : private random_draws
{
      public:
	explicit fleet(const setup &given)
	    : random_draws(given.seed), all(given), gateways(given.gateways),
	      upstreams(given.upstreams)
	{
		for (unsigned i = 0; i < given.gateways; i++) {
			boot(i);
			find_candidates(i);
			gateways[i].candidates_at = start - 10 * PD_SEC;
			gateways[i].booted_at = start - 10 * PD_SEC;
		}
	}
	~fleet()
	{
		for (gateway &one : gateways)
			brittle_issuer_destroy(one.issuer);
	}

	void run(const std::vector<fault> &faults)
	{
		double due = 0;

		for (now = start; now < start + duration; now += step) {
			for (const fault &one : faults)
				apply(one);
			deliver();
			if (now >= start + used_from && now < start + cut_from)
				sample_use();
			if ((now - start) % (100 * PD_MSEC) == 0)
				for (unsigned i = 0; i < gateways.size(); i++)
					tick(i);
			for (due += rate() * step / PD_SEC; due >= 1; due--)
				request(draw(gateways.size()), 0);
		}
	}

	/* Returns the most rejections of any upstream in a second. */
	unsigned worst() const
	{
		unsigned most = 0;

		for (const upstream_state &one : upstreams) {
			size_t first = 0;

			for (size_t i = 0; i < one.rejections.size(); i++) {
				while (one.rejections[first] <=
				       one.rejections[i] - PD_SEC)
					first++;
				most = std::max(most, (unsigned)(i - first + 1));
			}
		}
		return most;
	}

	/* Returns which part of the room was used, of what the load could use. */
	double used() const
	{
		double possible = std::min((double)all.upstreams * all.slots,
					   rate() * (double)all.work / PD_SEC);

		return running_sum / (double)running_samples / possible;
	}

      private:
	/* Returns the requests of callers in a second. */
	double rate() const
	{
		return std::min(1.5 * all.upstreams * all.slots * PD_SEC /
					(double)all.work,
				3000.0);
	}

	void sample_use()
	{
		for (const upstream_state &one : upstreams)
			running_sum += one.running;
		running_samples++;
	}

	void boot(unsigned i)
	{
		gateway &one = gateways[i];

		brittle_issuer_destroy(one.issuer);
		one.issuer = brittle_issuer_create();
		one.heard_at.assign(gateways.size(), now - silence_max);
		one.full_until.assign(all.upstreams, 0);
		one.waiting.clear();
		one.candidates.clear();
		one.booted_at = now;
		one.boot++;
	}

	void apply(const fault &one)
	{
		pd_time_t since = now - start;

		if (one.kind == CUT) {
			if (since == one.at)
				cut = &one;
			else if (since == one.at + one.lasts)
				cut = nullptr;
			return;
		}
		one.each_hit(since, (unsigned)gateways.size(),
			     [&](unsigned i, bool over) {
				     if (one.kind == FREEZE)
					     gateways[i].frozen = !over;
				     else if (gateways[i].down && over)
					     boot(i);
				     if (one.kind == RESTART)
					     gateways[i].down = !over;
			     });
	}

	bool is_cut(unsigned a, unsigned b) const
	{
		return cut && cut->hits(a) != cut->hits(b);
	}

	/* Updates which gateways issue grants, as far as one knows. */
	void find_candidates(unsigned i)
	{
		gateway &one = gateways[i];
		std::vector<unsigned> found;

		for (unsigned c = 0; c < gateways.size(); c++) {
			if (c == i || (!gateways[c].down &&
				       !gateways[c].frozen && !is_cut(i, c)))
				one.heard_at[c] = now;
			if (now - one.heard_at[c] < silence_max &&
			    found.size() < candidates_max)
				found.push_back(c);
		}
		if (found != one.candidates)
			one.candidates_at = now;
		one.candidates = found;
	}

	/* Updates what a gateway knows of the others. */
	void tick(unsigned i)
	{
		gateway &one = gateways[i];
		unsigned alive = 0;

		if (one.down || one.frozen)
			return;
		find_candidates(i);
		for (pd_time_t heard_at : one.heard_at)
			alive += now - heard_at < silence_max;
		one.hears_all = alive == gateways.size();
		brittle_issuer_set_share(one.issuer,
					 (double)alive / (double)gateways.size(),
					 now);
		check = { this, i };
		brittle_issuer_filter(one.issuer, keeps, &check);
		brittle_issuer_run(one.issuer, now);
		deny_unanswered(i);
	}

	static pd_time_t issues_since(const gateway &one)
	{
		if (one.hears_all)
			return one.candidates_at;
		return std::max(one.candidates_at, one.booted_at + silence_max);
	}

	struct keep_check {
		fleet *self;
		unsigned i;
	};

	static bool keeps(void *ctx, uint32_t short_id)
	{
		const keep_check *check = static_cast<const keep_check *>(ctx);

		return check->self->issuer(check->i, short_id) == check->i;
	}

	/* Returns the gateway that another one takes to issue an upstream's grants. */
	unsigned issuer(unsigned i, unsigned upstream) const
	{
		const std::vector<unsigned> &candidates = gateways[i].candidates;
		std::vector<uint64_t> hashes;

		for (unsigned c : candidates)
			hashes.push_back(hash_number(c + 1));
		if (hashes.empty())
			return i;
		return candidates[brittle_find_issuer(hash_number(1000 + upstream),
						      hashes.data(),
						      (unsigned)hashes.size())];
	}

	/* Sends a message to a gateway; it may be lost. */
	void post(const event &one)
	{
		if (one.from != one.to && g_rand_double(random) < all.loss)
			return;
		events.emplace(now + (one.from == one.to
					      ? 0
					      : PD_MSEC + delay(all.message_time)),
			       one);
	}

	void request(unsigned i, unsigned asks)
	{
		gateway &one = gateways[i];
		unsigned upstream = draw(all.upstreams);
		event ask = {};

		if (one.down || one.frozen || asks == asks_max)
			return;
		for (unsigned k = 0; k < all.upstreams; k++) {
			upstream = (upstream + 1) % all.upstreams;
			if (one.full_until[upstream] <= now)
				break;
		}
		if (one.full_until[upstream] > now)
			return;
		ask.kind = ASK;
		ask.from = i;
		ask.to = issuer(i, upstream);
		ask.upstream = upstream;
		ask.number = ++last_number;
		ask.boot = one.boot;
		ask.asked_at = now;
		ask.asks = asks + 1;
		one.waiting[ask.number] = ask;
		post(ask);
	}

	void deny_unanswered(unsigned i)
	{
		gateway &one = gateways[i];
		std::vector<event> denied;

		for (const auto &ask : one.waiting)
			if (now - ask.second.asked_at > answer_timeout)
				denied.push_back(ask.second);
		for (const event &ask : denied) {
			one.waiting.erase(ask.number);
			report(ask, BRITTLE_ENDED);
			one.full_until[ask.upstream] = now + 500 * PD_MSEC;
		}
	}

	void report(const event &ask, brittle_outcome_t outcome)
	{
		event one = ask;

		if (gateways[ask.from].boot != ask.boot || gateways[ask.from].down)
			return;
		one.kind = REPORT;
		one.outcome = outcome;
		post(one);
	}

	/* A cut holds messages back until it ends, and a freeze those of its gateway. */
	bool is_held(const event &one) const
	{
		switch (one.kind) {
		case ASK:
		case REPORT:
			return is_cut(one.from, one.to) || gateways[one.to].frozen;
		case ANSWER:
			return is_cut(one.from, one.to) ||
			       gateways[one.from].frozen;
		case ARRIVE:
		case END:
			return false;
		default:
			return gateways[one.from].frozen;
		}
	}

	void deliver()
	{
		std::vector<event> due;

		do {
			due.clear();
			while (!events.empty() && events.begin()->first <= now) {
				due.push_back(events.begin()->second);
				events.erase(events.begin());
			}
			for (const event &one : due) {
				if (is_held(one))
					events.emplace(now + step, one);
				else
					handle(one);
			}
		} while (!events.empty() && events.begin()->first <= now);
	}

	void handle(const event &one)
	{
		switch (one.kind) {
		case ASK:
			receive_ask(one);
			return;
		case REPORT:
			if (!gateways[one.to].down)
				brittle_issuer_report(gateways[one.to].issuer,
						      std::to_string(one.from).c_str(),
						      one.upstream, one.number,
						      one.outcome, now);
			return;
		case ARRIVE:
			arrive(one);
			return;
		case END:
			upstreams[one.upstream].running--;
			report(one, BRITTLE_ENDED);
			return;
		default:
			if (gateways[one.from].boot == one.boot &&
			    !gateways[one.from].down)
				handle_own(one);
		}
	}

	void receive_ask(const event &ask)
	{
		gateway &to = gateways[ask.to];
		std::string name = std::to_string(ask.from);
		brittle_ask_t asked = { name.c_str(),	    ask.number,
					ask.upstream,	    all.slots,
					all.rejections_max, 10 * PD_SEC };
		event answer = ask;
		pd_time_t retry_after = 500 * PD_MSEC;

		if (to.down)
			return;
		answer.kind = ANSWER;
		answer.granted = issuer(ask.to, ask.upstream) == ask.to &&
				 brittle_issuer_request(to.issuer, &asked,
							issues_since(to), now,
							&retry_after);
		answer.asked_at = answer.granted ? ask.asked_at : retry_after;
		post(answer);
	}

	/* Handles what concerns the gateway that asked. */
	void handle_own(const event &one)
	{
		gateway &own = gateways[one.from];
		event next = one;

		switch (one.kind) {
		case ANSWER:
			if (!own.waiting.erase(one.number))
				return;
			if (!one.granted) {
				own.full_until[one.upstream] = now + one.asked_at;
				request(one.from, one.asks);
				return;
			}
			next.kind = SEND;
			events.emplace(now + (draw(20) ? PD_MSEC
						       : delay(800 * PD_MSEC)),
				       next);
			return;
		case SEND:
			if (now - one.asked_at > BRITTLE_GRANT_TTL) {
				report(one, BRITTLE_ENDED);
				return;
			}
			next.kind = ARRIVE;
			events.emplace(now + PD_MSEC + delay(2 * PD_MSEC), next);
			return;
		case RESULT:
			if (!one.granted)
				own.full_until[one.upstream] = now + 150 * PD_MSEC;
			report(one, one.granted ? BRITTLE_ADMITTED
						: BRITTLE_REJECTED);
			return;
		default:
			return;
		}
	}

	void arrive(const event &one)
	{
		upstream_state &upstream = upstreams[one.upstream];
		bool is_reduced = now >= start + cut_from &&
				  now < start + cut_until;
		unsigned room = is_reduced ? std::max(all.slots / 4, 1U)
					   : all.slots;
		event next = one;

		next.kind = RESULT;
		next.granted = upstream.running < room;
		if (!next.granted) {
			upstream.rejections.push_back(now);
			events.emplace(now + 2 * PD_MSEC, next);
			return;
		}
		upstream.running++;
		events.emplace(now + BRITTLE_SETTLE_TIME, next);
		next.kind = END;
		events.emplace(now + all.work / 2 + delay(all.work), next);
	}

	setup all;
	pd_time_t now = start;
	std::vector<gateway> gateways;
	std::vector<upstream_state> upstreams;
	std::multimap<pd_time_t, event> events;
	keep_check check = {};
	const fault *cut = nullptr;
	uint32_t last_number = 0;
	double running_sum = 0;
	unsigned running_samples = 0;
};

/* Draws a fleet of GATEWAYS and its upstreams. */
static setup make_setup(unsigned gateways)
{
	setup given = {};

	given.gateways = gateways;
	given.upstreams = *rc::gen::element(4U, 20U, 100U, 300U);
	given.slots = *rc::gen::element(4U, 12U, 96U);
	given.rejections_max = *rc::gen::element(2U, 3U, 5U, 12U);
	given.work = *rc::gen::element(20, 300, 2000) * PD_MSEC;
	given.message_time = 2 * PD_MSEC;
	given.seed = *rc::gen::arbitrary<uint32_t>();
	return given;
}

static bool prop_bound(unsigned gateways)
{
	std::string name = "brittle upstreams reject no more than they bear, " +
			   std::to_string(gateways) + " gateways";

	return rc::check(name, [gateways] {
		setup given = make_setup(gateways);
		std::vector<fault> faults;
		unsigned count = *rc::gen::inRange(0U, 3U);

		given.message_time = *rc::gen::element(2, 20, 100) * PD_MSEC;
		given.loss = *rc::gen::element(0.0, 0.02, 0.3);
		for (unsigned i = 0; i < count; i++)
			faults.push_back(make_fault(gateways, 120));
		fleet all(given);
		all.run(faults);
		if (getenv("SHOW"))
			printf("%u gateways, %u upstreams, %u slots, %d ms, "
			       "loss "
			       "%.2f, faults %u: %u of %u\n",
			       gateways, given.upstreams, given.slots,
			       (int)(given.work / PD_MSEC), given.loss, count,
			       all.worst(), given.rejections_max);
		RC_ASSERT(all.worst() <= given.rejections_max);
	});
}

/* Guards against few rejections by hardly using the upstreams. */
static bool prop_used(unsigned gateways)
{
	std::string name = "room of brittle upstreams is used, " +
			   std::to_string(gateways) + " gateways";

	return rc::check(name, [gateways] {
		setup given = make_setup(gateways);

		given.rejections_max = std::max(given.rejections_max, 3U);
		given.work = std::max(given.work, 300 * PD_MSEC);
		given.slots = std::min(given.slots, 12U);
		fleet all(given);
		all.run({});
		if (getenv("SHOW"))
			printf("%u gateways, %u upstreams, %u slots, %d ms: "
			       "used "
			       "%.2f\n",
			       gateways, given.upstreams, given.slots,
			       (int)(given.work / PD_MSEC), all.used());
		RC_ASSERT(all.used() >= 0.5);
	});
}

int main()
{
	bool ok = true;

	set_cases(20); /* each simulates 18 s */
	for (unsigned gateways : { 6U, 63U, 300U }) {
		ok &= prop_bound(gateways);
		ok &= prop_used(gateways);
	}
	return ok ? 0 : 1;
}
