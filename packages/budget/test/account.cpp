#define BOOST_TEST_MODULE budget_account
#include "budget/account.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

#include "budget/limited_json.hpp"
#include "budget/process_limits.hpp"

using budget::Account;

BOOST_AUTO_TEST_CASE(nothing_beyond_a_limit_is_taken) {
    Account account(100);
    BOOST_TEST(account.take(60));
    BOOST_TEST(!account.take(41));
    BOOST_TEST(account.take(40));
    account.give(60);
    BOOST_TEST(account.held() == 40u);
    BOOST_TEST(account.peak() == 100u);
    BOOST_TEST(!account.take_below(50, 11));
    BOOST_TEST(account.take_below(50, 10));
}

BOOST_AUTO_TEST_CASE(what_parts_hold_counts_for_the_whole) {
    Account whole(100), one(80, &whole), other(80, &whole);
    BOOST_TEST(one.take(70));
    BOOST_TEST(!other.take(31));
    BOOST_TEST(other.held() == 0u);
    BOOST_TEST(other.take(30));
    BOOST_TEST(whole.held() == 100u);
    one.give(70);
    BOOST_TEST(whole.held() == 30u);
}

BOOST_AUTO_TEST_CASE(threads_together_keep_to_the_limit) {
    Account whole(1000), part(900, &whole);
    std::atomic<bool> beyond{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i)
        threads.emplace_back([&] {
            for (int turn = 0; turn < 20000; ++turn) {
                if (!part.take(300)) continue;
                if (part.held() > 900 || whole.held() > 1000) beyond = true;
                part.give(300);
            }
        });
    for (auto& thread : threads) thread.join();
    BOOST_TEST(!beyond);
    BOOST_TEST(part.held() == 0u);
    BOOST_TEST(whole.held() == 0u);
    BOOST_TEST(part.peak() <= 900u);
}

// Whatever a machine has, the shares together are within it, and leave room for the process itself.
BOOST_AUTO_TEST_CASE(shares_are_within_the_memory_of_the_machine) {
    constexpr std::size_t kMega = 1000 * 1000;
    for (const std::size_t megabytes : {32, 64, 78, 160, 260, 4096}) {
        for (const std::size_t descriptors : {200, 550, 3900, 20000}) {
            const budget::ProcessLimits limits(megabytes * kMega, descriptors);
            const std::size_t shares =
                limits.callers.bytes.limit() + limits.operators.bytes.limit() + limits.nodes.bytes.limit();
            const std::size_t connections =
                limits.callers.connections.limit() * (budget::kConnectionBytes + 2 * budget::kReceiveBuffer) +
                limits.operators.connections.limit() * (budget::kConnectionBytes + budget::kReceiveBuffer) +
                limits.nodes.connections.limit() * budget::kReceiveBuffer;
            BOOST_TEST(shares <= limits.bytes.limit() + 3);
            BOOST_TEST(shares + connections <= megabytes * kMega * 3 / 4);
            BOOST_TEST(2 * limits.callers.connections.limit() < descriptors);
            BOOST_TEST(limits.callers.connections.limit() + limits.operators.connections.limit() +
                           limits.nodes.connections.limit() <=
                       limits.connections.limit());
        }
    }
    const budget::ProcessLimits machine(0, 0);
    BOOST_TEST(machine.bytes.limit() > 0u);
    BOOST_TEST(machine.callers.connections.limit() > 0u);
}

BOOST_AUTO_TEST_CASE(a_text_of_small_values_is_limited_by_what_it_takes) {
    std::string text = "[0";
    for (int i = 0; i < 100000; ++i) text += ",0";
    text += "]";
    boost::system::error_code ec;
    budget::parse_json(text, 100 * text.size(), ec);
    BOOST_TEST(!ec);
    budget::parse_json(text, text.size(), ec);
    BOOST_TEST((ec == boost::system::errc::not_enough_memory));
    budget::parse_json("{", 1000, ec);
    BOOST_TEST((ec && ec != boost::system::errc::not_enough_memory));
}
