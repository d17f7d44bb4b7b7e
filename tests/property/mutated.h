/* Generates corrupted input for decoders. */
#ifndef PISTACHIO_TEST_MUTATED_H
#define PISTACHIO_TEST_MUTATED_H

#include <rapidcheck.h>

#include <string>

/*
 * Returns valid input with up to three bytes changed and possibly truncated.
 * It reaches deeper into a decoder than random bytes do.
 */
static inline std::string mutated(std::string bytes)
{
	auto changes = *rc::gen::inRange(0, 4);

	for (int i = 0; i < changes && !bytes.empty(); i++) {
		auto at = *rc::gen::inRange<size_t>(0, bytes.size());

		bytes[at] = *rc::gen::arbitrary<char>();
	}
	if (*rc::gen::inRange(0, 3) == 0)
		bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
	return bytes;
}

#endif
