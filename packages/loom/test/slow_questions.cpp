#define BOOST_TEST_MODULE loom_slow_questions
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "loom/scenario.hpp"

// The platform reads its listing as a question begins, and answers late (docs/design.md 7.2): who leaves must
// be known in time all the same.

using pith::kMilli;

namespace {

constexpr pith::Micros kBound = 2000 * kMilli;  // from when the listing shows that a server leaves

struct Day {
    std::string scenario, deployment;
    std::uint64_t seed = 0;
    pith::Micros question_takes = 0;
};

std::vector<loom::Result> run_all(const std::vector<Day>& days) {
    constexpr std::size_t kAtOnce = 8;
    std::vector<loom::Result> results(days.size());
    for (std::size_t from = 0; from < days.size(); from += kAtOnce) {
        std::vector<std::thread> threads;
        for (std::size_t i = from; i < days.size() && i < from + kAtOnce; ++i)
            threads.emplace_back([&days, &results, i] {
                const Day& day = days[i];
                results[i] = loom::run(day.scenario, day.deployment, day.seed, tide::Tuning{},
                                       span::CoreTuning{}, loom::Breaks{}, day.question_takes);
            });
        for (auto& thread : threads) thread.join();
    }
    return results;
}

void check(const std::vector<Day>& days) {
    const auto results = run_all(days);
    for (std::size_t i = 0; i < days.size(); ++i) {
        const auto& result = results[i];
        BOOST_TEST_MESSAGE(result.scenario << " " << result.deployment << " seed " << result.seed
                                           << ", a question takes " << days[i].question_takes / kMilli
                                           << " ms: the latest send to a leaving server after "
                                           << result.latest_to_leaving / kMilli << " ms, margin "
                                           << (kBound - result.latest_to_leaving) / kMilli << " ms");
        BOOST_TEST(result.faults.count("sent_to_leaving") == 0u, result.line());
        BOOST_TEST(result.latest_to_leaving <= kBound);
        BOOST_TEST(result.latest_to_leaving > 0);  // servers were still used after they were shown to leave
    }
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_slow_question_does_not_send_requests_to_servers_that_leave) {
    check({{"releases", "narrow84", 1, 400 * kMilli},
           {"releases", "narrow84", 1, 700 * kMilli},
           {"releases", "narrow84", 1, 1000 * kMilli},
           {"releases", "firm", 1, 400 * kMilli},
           {"releases", "firm", 1, 700 * kMilli},
           {"releases", "foundation", 1, 1000 * kMilli}});
}

BOOST_AUTO_TEST_CASE(a_slow_question_and_lost_words_do_not_send_requests_to_servers_that_leave) {
    check({{"releases+lag", "narrow84", 6, 400 * kMilli},
           {"releases+lag", "narrow84", 6, 700 * kMilli},
           {"releases+burst+lag", "narrow84", 5, 400 * kMilli},
           {"releases+burst+lag", "narrow84", 5, 700 * kMilli},
           {"releases+lag", "firm", 2, 700 * kMilli},
           {"releases+lag", "foundation", 3, 700 * kMilli}});
}

BOOST_AUTO_TEST_CASE(a_slow_question_and_a_lost_asker_do_not_send_requests_to_servers_that_leave) {
    check({{"releases+core_kill", "narrow84", 1, 400 * kMilli},
           {"releases+core_kill", "narrow84", 1, 700 * kMilli},
           {"dying_pollers", "narrow84", 2, 700 * kMilli},
           {"dying_pollers", "firm", 1, 400 * kMilli},
           {"dying_pollers", "firm", 2, 400 * kMilli},
           {"dying_pollers", "firm", 3, 700 * kMilli},
           {"dying_pollers", "foundation", 1, 400 * kMilli},
           {"dying_pollers", "foundation", 2, 700 * kMilli}});
}
