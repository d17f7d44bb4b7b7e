/*
 * Several placers share one lease through a store that loses replies, delays
 * writes and goes down, while processes pause, die, and have clocks that drift
 * and jump. At no real time may two of them hold the lease: users would pay for
 * VMs bought twice, and engines would get contradictory orders.
 */
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "tests/property/fake_store.h"

static const size_t PLACERS = 4;
static const pd_time_t STEP = 100 * PD_MSEC;
static const int STEPS = 3000;
static const int FAULT_FREE_STEPS = 1500;
static const pd_time_t MIN_JUMP_GAP = 10 * PD_SEC;

/* A request to the store, then its reply. */
struct message {
	size_t from;
	unsigned incarnation; /* of the process that sent it */
	placer_action_t *request;
	pd_time_t arrives_at;
	pd_time_t reply_at; /* when the reply is back */
	bool reply_lost;
	bool handled = false;
	struct lease_reply reply = {};
};

struct process {
	lease_t *lease = nullptr;
	unsigned incarnation = 0;
	double clock_rate = 1; /* relative to real time */
	pd_time_t clock_offset = 0;
	pd_time_t paused_until = 0;
	pd_time_t jumped_at = 0;

	pd_time_t clock(pd_time_t now) const
	{
		return clock_offset +
		       (pd_time_t)std::llround((double)now * clock_rate);
	}
};

class world
{
      public:
	world(uint32_t seed) : random(g_rand_new_with_seed(seed))
	{
		for (auto &process : processes) {
			process.clock_rate = 1 + (random_fraction() - 0.5) * 0.02;
			process.clock_offset =
				(pd_time_t)(random_fraction() * 1e6) * PD_MSEC;
			start(process);
		}
	}

	~world()
	{
		for (auto &process : processes)
			lease_destroy(process.lease);
		for (auto &message : messages)
			free_message(message);
		g_rand_free(random);
	}

	world(const world &) = delete;
	world &operator=(const world &) = delete;

	void step(bool faults)
	{
		now += STEP;
		if (faults)
			inject_fault();
		else
			down_until = 0;
		deliver_requests();
		for (size_t i = 0; i < PLACERS; i++)
			run(i, faults);
	}

	/*
	 * Returns how many processes consider themselves the holder. Paused
	 * ones count: they act as the holder when they resume.
	 */
	size_t believers() const
	{
		return (size_t)std::count_if(
			processes.begin(), processes.end(),
			[this](const process &p) {
				return lease_is_held(p.lease, p.clock(now));
			});
	}

	unsigned takeovers() const
	{
		return store.takeovers;
	}

	unsigned lost = 0;
	unsigned requests = 0;

      private:
	double random_fraction()
	{
		return g_rand_double(random);
	}

	void start(process &process)
	{
		std::string id = "p" + std::to_string(++started);

		lease_destroy(process.lease);
		process.lease = lease_create(id.c_str(), &lease_timing_placer,
					     g_rand_int(random));
		process.incarnation++;
	}

	void inject_fault()
	{
		process &victim = processes[(size_t)(random_fraction() * PLACERS)];
		double choice = random_fraction();

		if (choice < 0.004) {
			start(victim);
		} else if (choice < 0.012) {
			victim.paused_until =
				now + (pd_time_t)(random_fraction() * 60 *
						  (double)PD_SEC);
		} else if (choice < 0.02 && now - victim.jumped_at > MIN_JUMP_GAP) {
			victim.jumped_at = now;
			victim.clock_offset += (pd_time_t)(random_fraction() *
							   60 * (double)PD_SEC);
		} else if (choice < 0.022) {
			down_until = now + (pd_time_t)(random_fraction() * 30 *
						       (double)PD_SEC);
		}
	}

	void send(size_t from, placer_action_t *request, bool faults)
	{
		message message = {};
		double delay_s = faults && random_fraction() < 0.1
					 ? 15 * random_fraction()
					 : 0.005;

		requests++;
		message.from = from;
		message.incarnation = processes[from].incarnation;
		message.request = request;
		message.arrives_at = now + (pd_time_t)(delay_s * (double)PD_SEC);
		message.reply_at = message.arrives_at + 10 * PD_MSEC;
		message.reply_lost = faults && random_fraction() < 0.1;
		messages.push_back(message);
	}

	void run(size_t i, bool faults)
	{
		process &process = processes[i];
		list_node_t actions;
		list_node_t *node;

		if (now < process.paused_until)
			return;
		for (auto &message : messages) {
			if (message.from != i || !message.handled ||
			    message.reply_lost ||
			    message.incarnation != process.incarnation ||
			    now < message.reply_at)
				continue;
			lease_handle_reply(process.lease, &message.reply,
					   process.clock(now));
			message.reply_lost = true;
		}
		list_init(&actions);
		lease_run(process.lease, process.clock(now), &actions);
		while ((node = list_pop(&actions)))
			send(i, LIST_ENTRY(node, placer_action_t, node), faults);
	}

	void deliver_requests()
	{
		for (auto &message : messages) {
			if (!message.handled && message.arrives_at <= now)
				apply(message);
		}
		messages.remove_if([this](message &message) {
			bool over = message.handled &&
				    (message.reply_lost ||
				     message.incarnation !=
					     processes[message.from].incarnation);

			if (over)
				free_message(message);
			return over;
		});
	}

	void apply(message &message)
	{
		message.handled = true;
		message.reply = store.apply(message.request, now < down_until);
		lost += message.reply_lost && message.reply.status == STORE_OK &&
			message.request->kind == PLACER_LEASE_WRITE;
	}

	static void free_message(message &message)
	{
		placer_action_destroy(message.request);
		lease_record_destroy(
			const_cast<lease_record_t *>(message.reply.record));
	}

	GRand *random;
	std::vector<process> processes = std::vector<process>(PLACERS);
	std::list<message> messages;
	fake_store store;
	pd_time_t now = PD_SEC;
	pd_time_t down_until = 0;
	unsigned started = 0;
};

static bool check_one_holder()
{
	return rc::check("at most one placer believes it holds the lease", [] {
		world world(*rc::gen::arbitrary<uint32_t>());

		for (int i = 0; i < STEPS; i++) {
			world.step(true);
			RC_ASSERT(world.believers() <= 1);
		}
		RC_CLASSIFY(world.takeovers() > 2,
			    "taken over more than twice");
		RC_CLASSIFY(world.lost > 0, "an answer was lost after a write");
	});
}

static bool check_recovers()
{
	return rc::check("after the faults one placer holds the lease", [] {
		world world(*rc::gen::arbitrary<uint32_t>());

		for (int i = 0; i < STEPS; i++)
			world.step(true);
		for (int i = 0; i < FAULT_FREE_STEPS; i++)
			world.step(false);
		RC_ASSERT(world.believers() == 1);
	});
}

int main()
{
	bool passed = check_one_holder();

	passed = check_recovers() && passed;
	return passed ? 0 : 1;
}
