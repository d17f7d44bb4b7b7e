/*
 * Fleets of members under random loss, pauses, partitions and deaths. Once the
 * network is whole again, all live members must see each other, and must see
 * the dead as dead, within a bounded time.
 */
#include <rapidcheck.h>

extern "C" {
#include "tests/harness/gossip.h"
}

namespace
{
/* A round of pings over the fleet, suspicion, and dissemination. */
constexpr pd_time_t kConvergenceTime = 60 * PD_SEC;

constexpr uint64_t kQuietBytes = 150; /* per node, on average */

unsigned int random_size()
{
	return *rc::gen::inRange(3U, 16U);
}

void assert_converged(const gossip_t *gossip)
{
	for (unsigned int i = 0; i < gossip->size; i++) {
		if (gossip->nodes[i].dead)
			continue;
		for (unsigned int k = 0; k < gossip->size; k++) {
			member_state_t state;

			if (i == k)
				continue;
			state = gossip_get_state(gossip, i, k);
			if (gossip->nodes[k].dead)
				RC_ASSERT(state >= MEMBER_DEAD);
			else
				RC_ASSERT(state == MEMBER_ALIVE);
		}
	}
}

/*
 * A VM is paused by its host for a while, or a link loses many messages. A
 * member that stayed declared dead would get no updates and no requests.
 */
bool check_frozen()
{
	return rc::check("a frozen member is seen alive again", [] {
		gossip_t *gossip =
			gossip_create(random_size(),
				      *rc::gen::arbitrary<uint32_t>(), 0.05);
		auto paused = *rc::gen::inRange(0U, gossip->size);
		auto seconds = *rc::gen::inRange(1, 400);

		gossip->nodes[paused].frozen_until = gossip->now + seconds * PD_SEC;
		gossip_run(gossip, seconds * PD_SEC);
		gossip->loss = 0;
		gossip_run(gossip, kConvergenceTime);
		assert_converged(gossip);
		gossip_destroy(gossip);
	});
}

/*
 * Two regions are partitioned for minutes and each considers the other dead.
 * When the link is back they must find each other without an operator.
 */
bool check_split()
{
	return rc::check("two halves find each other again", [] {
		gossip_t *gossip =
			gossip_create(random_size(),
				      *rc::gen::arbitrary<uint32_t>(), 0);
		auto seconds = *rc::gen::inRange(1, 400);

		gossip->partition_size = *rc::gen::inRange(1U, gossip->size);
		gossip_run(gossip, seconds * PD_SEC);
		gossip->partition_size = 0;
		gossip_run(gossip, kConvergenceTime);
		assert_converged(gossip);
		gossip_destroy(gossip);
	});
}

/* Some members die, some are paused, and a fifth of the messages is lost. */
bool check_deaths()
{
	return rc::check("the dead are found and the living kept", [] {
		gossip_t *gossip =
			gossip_create(random_size(),
				      *rc::gen::arbitrary<uint32_t>(), 0.2);

		for (unsigned int i = 1; i < gossip->size; i++) {
			gossip_run(gossip, *rc::gen::inRange(0, 2000) * PD_MSEC);
			if (*rc::gen::inRange(0, 4) == 0)
				gossip_kill(gossip, i);
			else if (*rc::gen::inRange(0, 3) == 0)
				gossip->nodes[i].frozen_until =
					gossip->now + 8 * PD_SEC;
		}
		gossip_run(gossip, 10 * PD_SEC);
		gossip->loss = 0;
		gossip_run(gossip, kConvergenceTime);
		assert_converged(gossip);
		gossip_destroy(gossip);
	});
}

/* A dead member is replaced by a new process of the same name. */
bool check_rejoin()
{
	return rc::check("a member that starts anew is seen alive", [] {
		gossip_t *gossip =
			gossip_create(random_size(),
				      *rc::gen::arbitrary<uint32_t>(), 0);
		auto index = *rc::gen::inRange(0U, gossip->size);

		gossip_kill(gossip, index);
		gossip_run(gossip, *rc::gen::inRange(0, 100) * PD_SEC);
		members_destroy(gossip->nodes[index].members);
		gossip_join(gossip, index,
			    gossip->nodes[index].info.incarnation + 1000000);
		gossip_run(gossip, kConvergenceTime);
		assert_converged(gossip);
		gossip_destroy(gossip);
	});
}

/*
 * Urgent updates reach all members within seconds although messages are lost.
 */
bool check_news()
{
	return rc::check("news reaches every member", [] {
		gossip_t *gossip =
			gossip_create(random_size(),
				      *rc::gen::arbitrary<uint32_t>(), 0.2);

		gossip_run(gossip, *rc::gen::inRange(0, 3000) * PD_MSEC);
		gossip_announce(gossip, 0, 7, true);
		gossip_run(gossip, 30 * PD_SEC);
		for (unsigned int i = 0; i < gossip->size; i++) {
			RC_ASSERT(gossip->nodes[i].generation == 7U);
			RC_ASSERT(gossip->nodes[i].has_leaving);
		}
		gossip_destroy(gossip);
	});
}

/*
 * A link that loses one message in twenty must not remove a healthy entry: its
 * peers would hand over nothing to it and divide its share of the accounts'
 * limits among them.
 */
bool check_no_false_deaths()
{
	return rc::check("nobody is declared dead over lost messages", [] {
		gossip_t *gossip =
			gossip_create(*rc::gen::inRange(3U, 40U),
				      *rc::gen::arbitrary<uint32_t>(), 0.05);

		for (int second = 0; second < 30; second++) {
			gossip_run(gossip, PD_SEC);
			for (unsigned int i = 0; i < gossip->size; i++)
				RC_ASSERT(gossip_viewers(gossip, i,
							 MEMBER_DEAD) == 0U);
		}
		gossip_destroy(gossip);
	});
}

/*
 * What a node sends must not grow with the fleet, even after all start at once.
 */
bool check_cost()
{
	return rc::check("a node's cost does not grow with the fleet", [] {
		gossip_t *gossip =
			gossip_create(*rc::gen::inRange(3U, 100U),
				      *rc::gen::arbitrary<uint32_t>(), 0);

		gossip_run(gossip, 20 * PD_SEC);
		for (unsigned int i = 0; i < gossip->size; i++)
			RC_ASSERT(gossip->nodes[i].bytes <= 20 * kQuietBytes * 2U);
		gossip_destroy(gossip);
	});
}
} // namespace

#define START_CONVERGENCE_TIME (30 * PD_SEC)

/* Restarts every member, knowing only those that started before it. */
static void start_staggered(gossip_t *gossip)
{
	for (unsigned int i = 0; i < gossip->size; i++) {
		gossip_node_t *node = &gossip->nodes[i];

		members_destroy(node->members);
		node->members = members_create(&node->info, i * 7919 + 1);
		for (unsigned int k = 0; k < i; k++)
			members_seed(node->members, &gossip->nodes[k].info, 1,
				     gossip->now);
	}
}

/*
 * A fleet starts one entry after the other, and each finds in the platform's
 * list only those before it. Until all know each other, accounts get more than
 * their limit and operators see a part of the fleet.
 */
static bool check_start()
{
	return rc::check("a fleet that starts in turn knows itself soon", [] {
		auto size = *rc::gen::inRange<unsigned int>(2, 65);
		auto seed = *rc::gen::arbitrary<uint32_t>();
		gossip_t *gossip = gossip_create(size, seed, 0);

		start_staggered(gossip);
		gossip_run(gossip, START_CONVERGENCE_TIME);
		for (unsigned int i = 0; i < size; i++)
			RC_ASSERT(members_alive(gossip->nodes[i].members) == size);
		gossip_destroy(gossip);
	});
}

int main()
{
	bool passed = check_frozen();

	passed = check_split() && passed;
	passed = check_deaths() && passed;
	passed = check_rejoin() && passed;
	passed = check_news() && passed;
	passed = check_no_false_deaths() && passed;
	passed = check_cost() && passed;
	passed = check_start() && passed;
	return passed ? 0 : 1;
}
