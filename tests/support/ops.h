#ifndef SUPPORT_OPS_H
#define SUPPORT_OPS_H

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

/*
 * A step of a stateful property test. The World class, which holds the state
 * under test, takes kind modulo its number of kinds and a, b and c modulo the
 * number of choices. Thus any sequence is valid and shrinks to steps of kind 0,
 * which do nothing.
 */
struct Op {
	unsigned kind, a, b, c;
};

inline void showValue(const Op &op, std::ostream &os)
{
	os << "{" << op.kind << "," << op.a << "," << op.b << "," << op.c
	   << "}";
}

namespace rc
{
template <> struct Arbitrary<Op> {
	static Gen<Op> arbitrary()
	{
		auto number = gen::inRange(0u, 1u << 20);
		return gen::build<Op>(gen::set(&Op::kind, number),
				      gen::set(&Op::a, number),
				      gen::set(&Op::b, number),
				      gen::set(&Op::c, number));
	}
};
} // namespace rc

/* RapidCheck draws lengths up to this, which gives 400 steps on average. */
constexpr int kStepsMax = 800;

inline rc::Gen<std::vector<Op>> genOps()
{
	return rc::gen::resize(kStepsMax,
			       rc::gen::arbitrary<std::vector<Op>>());
}

/* Applies the steps to World(args...); returns the first violation or "". */
template <typename World, typename... Args>
std::string runWorld(const std::vector<Op> &ops, Args... args)
{
	World world(args...);

	for (const Op &op : ops) {
		world.apply(op);
		if (!world.violation.empty())
			return world.violation;
	}
	world.settle();
	return world.violation;
}

template <typename World, typename... Args> void fuzzWorld(Args... args)
{
	std::size_t steps = 0;
	bool ok = rc::check([&] {
		std::vector<Op> ops = *genOps();
		std::string violation = runWorld<World>(ops, args...);

		steps += ops.size();
		if (!violation.empty())
			RC_FAIL(violation);
	});

	EXPECT_TRUE(ok);
	std::printf("fuzz steps: %zu\n", steps);
}

/*
 * Expects that one of the first 300 sequences causes a violation that contains
 * the text of the environment variable VIOLATION, or any violation if that is
 * not set.
 */
template <typename World, typename... Args> void expectViolation(Args... args)
{
	const char *text = std::getenv("VIOLATION");
	constexpr int kTries = 300;

	for (int seed = 0; seed < kTries; seed++) {
		auto ops = genOps()(rc::Random(seed), kStepsMax).value();
		std::string violation = runWorld<World>(ops, args...);

		if (!violation.empty() &&
		    violation.find(text ? text : "") != std::string::npos) {
			std::printf("found after %d sequences: %s\n", seed + 1,
				    violation.c_str());
			return;
		}
	}
	FAIL() << "no sequence caused the expected violation";
}

#endif
