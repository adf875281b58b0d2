#define BOOST_TEST_MODULE loom_herd
#include <boost/test/unit_test.hpp>

#include "loom/scenario.hpp"

// Many nodes are killed at one moment and come back (scenario herd of loom.seeds).
BOOST_AUTO_TEST_CASE(nothing_that_must_never_happen_as_many_are_killed_at_once) {
    for (const char* deployment : {"firm", "foundation"})
        for (const std::uint64_t seed : {1u, 2u, 62u, 65u}) {
            const auto result = loom::run("herd", deployment, seed);
            BOOST_TEST(result.faults.empty(), result.line());
        }
}
