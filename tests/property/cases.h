/* The number of cases of properties that simulate many seconds each. */
#ifndef PISTACHIO_TEST_CASES_H
#define PISTACHIO_TEST_CASES_H

#include <cstdlib>
#include <string>

/*
 * Sets the parameters of rapidcheck: COUNT cases, or CASES of the environment for long
 * runs by hand, with a fixed seed unless RC_PARAMS has one.
 */
static inline void set_cases(unsigned count)
{
	const char *given = getenv("RC_PARAMS");
	const char *cases = getenv("CASES");
	std::string params = given ? given : "seed=20261202";

	params += " max_success=" +
		  (cases ? std::string(cases) : std::to_string(count));
	setenv("RC_PARAMS", params.c_str(), 1);
}

#endif
