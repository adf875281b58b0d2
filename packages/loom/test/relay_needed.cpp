#define BOOST_TEST_MODULE loom_relay_needed
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "loom/scenario.hpp"

// A customer floods the machines beside the control nodes, and one of those is cut off from the others, both
// ways: seed by seed the limit holds with the relay, and does not without it.
BOOST_AUTO_TEST_CASE(without_the_relay_a_pair_that_is_cut_exceeds_its_limit) {
    constexpr std::uint64_t kSeeds = 8;
    span::CoreTuning no_relay;
    no_relay.relay.helpers = 0;
    std::vector<loom::Result> with(kSeeds), without(kSeeds);
    const auto play = [](std::uint64_t seed, const span::CoreTuning& tuning) {
        return loom::run("core_cut_both+flood_core", "wide", seed, tide::Tuning{}, tuning);
    };
    std::vector<std::thread> threads;
    for (std::uint64_t i = 0; i < kSeeds; ++i)
        threads.emplace_back([&, i] {
            with[i] = play(i + 1, span::CoreTuning{});
            without[i] = play(i + 1, no_relay);
        });
    for (auto& thread : threads) thread.join();
    for (std::uint64_t i = 0; i < kSeeds; ++i) {
        BOOST_TEST_MESSAGE("seed " << i + 1 << ": room in the limit " << with[i].sums.least_room
                                   << ", without the relay " << without[i].sums.least_room);
        BOOST_TEST(with[i].faults.count("allowance") == 0u, with[i].line());
        BOOST_TEST(without[i].faults.count("allowance") == 1u, without[i].line());
    }
}
