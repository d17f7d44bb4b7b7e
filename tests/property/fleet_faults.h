/* Random draws of a simulated fleet, and the faults of its gateways. */
#ifndef PISTACHIO_TEST_FLEET_FAULTS_H
#define PISTACHIO_TEST_FLEET_FAULTS_H

#include <glib.h>
#include <rapidcheck.h>

#include <vector>

extern "C" {
#include "ports/clock.h"
}

enum fault_kind { RESTART, FREEZE, CUT };

struct fault {
	fault_kind kind;
	pd_time_t at;
	pd_time_t lasts;
	unsigned first; /* gateways from this one on */
	unsigned count;

	bool hits(unsigned i) const
	{
		return i >= first && i < first + count;
	}

	/*
	 * Calls HIT with each gateway of SIZE that it hits SINCE the start, and with
	 * whether it is over then. Each step of the simulation must divide its times.
	 */
	template <typename F>
	void each_hit(pd_time_t since, unsigned size, F hit) const
	{
		if (since < at || since > at + lasts)
			return;
		for (unsigned i = first; i < first + count && i < size; i++)
			hit(i, since == at + lasts);
	}
};

/* Removes the items for which OVER is true; the others may change places. */
template <typename T, typename F>
void remove_over(std::vector<T> &items, F over)
{
	for (size_t i = 0; i < items.size();) {
		if (over(items[i])) {
			items[i] = items.back();
			items.pop_back();
		} else {
			i++;
		}
	}
}

/*
 * Draws a fault of 0.2 to 6 s within AT_MAX tenths of a second, in a fleet of SIZE. The
 * gateways that serve all, which rank first, are hit more often than others.
 */
static inline fault make_fault(unsigned size, int at_max)
{
	fault one = {};

	one.kind = *rc::gen::element(RESTART, FREEZE, CUT);
	one.at = *rc::gen::inRange(0, at_max) * 100 * PD_MSEC;
	one.lasts = *rc::gen::inRange(2, 60) * 100 * PD_MSEC;
	one.first = *rc::gen::element(0U, 0U, 1U, size / 2);
	one.count = *rc::gen::element(1U, 2U, size / 3);
	return one;
}

/* Draws for a simulation; it can't be copied. */
class random_draws
{
      public:
	explicit random_draws(uint32_t seed)
	    : random(g_rand_new_with_seed(seed))
	{
	}
	random_draws(const random_draws &) = delete;
	random_draws &operator=(const random_draws &) = delete;

	~random_draws()
	{
		g_rand_free(random);
	}

      protected:
	pd_time_t delay(pd_time_t most)
	{
		return (pd_time_t)(g_rand_double(random) * (double)most);
	}

	/* Returns a number below COUNT. */
	unsigned draw(size_t count)
	{
		return (unsigned)g_rand_int_range(random, 0, (int)count);
	}

	GRand *random;
};

#endif
