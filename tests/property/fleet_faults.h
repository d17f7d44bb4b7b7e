/* Faults of the gateways of a simulated fleet. */
#ifndef PISTACHIO_TEST_FLEET_FAULTS_H
#define PISTACHIO_TEST_FLEET_FAULTS_H

#include <rapidcheck.h>

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
};

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

#endif
