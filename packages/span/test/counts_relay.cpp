#define BOOST_TEST_MODULE span_counts_relay
#include "span/counts_relay.hpp"

#include <boost/test/unit_test.hpp>

using namespace span;
using pith::kMilli;
using pith::kSecond;

BOOST_AUTO_TEST_CASE(helpers_take_turns) {
    CountsRelay relay(CountsRelay::Tuning{});
    std::set<std::string> asked;
    for (int i = 0; i < 3; ++i) {
        const auto ask = relay.ask(kSecond + i * 250 * kMilli, {"missed"}, {"a", "b", "c", "d"});
        BOOST_TEST(ask.helpers.size() == 2u);
        BOOST_TEST(ask.message.peers.size() == 1u);
        asked.insert(ask.helpers.begin(), ask.helpers.end());
    }
    BOOST_TEST(asked.size() == 4u);
}

BOOST_AUTO_TEST_CASE(asks_keep_their_distance_and_name_few) {
    CountsRelay::Tuning tuning;
    tuning.most_named = 2;
    CountsRelay relay(tuning);
    const std::vector<std::string> missed{"x", "y", "z"};
    BOOST_TEST(relay.ask(kSecond, missed, {"a"}).message.peers == (std::vector<std::string>{"x", "y"}),
               boost::test_tools::per_element());
    BOOST_TEST(relay.ask(kSecond + 249 * kMilli, missed, {"a"}).helpers.empty());
    BOOST_TEST(relay.ask(kSecond + 250 * kMilli, missed, {"a"}).message.peers ==
                   (std::vector<std::string>{"z", "x"}),
               boost::test_tools::per_element());
    BOOST_TEST(relay.ask(2 * kSecond, {}, {"a"}).helpers.empty());
    BOOST_TEST(relay.ask(3 * kSecond, missed, {}).helpers.empty());
}

BOOST_AUTO_TEST_CASE(who_asked_is_told_until_the_asking_stops) {
    CountsRelay relay(CountsRelay::Tuning{});
    relay.asked(kSecond, "a", {"x"});
    relay.asked(kSecond + 500 * kMilli, "b", {"x"});
    BOOST_TEST(relay.listeners(kSecond + 900 * kMilli, "x") == (std::vector<std::string>{"a", "b"}),
               boost::test_tools::per_element());
    BOOST_TEST(relay.listeners(kSecond + 1200 * kMilli, "x") == (std::vector<std::string>{"b"}),
               boost::test_tools::per_element());
    BOOST_TEST(relay.listeners(3 * kSecond, "x").empty());
    BOOST_TEST(relay.listeners(kSecond, "y").empty());
}

// No more than so many listeners and names, whoever asks for what.
BOOST_AUTO_TEST_CASE(what_is_asked_is_bounded) {
    CountsRelay::Tuning tuning;
    tuning.most_listeners = 3;
    CountsRelay relay(tuning);
    for (int i = 0; i < 10; ++i) relay.asked(kSecond, "n" + std::to_string(i), {"x"});
    BOOST_TEST(relay.listeners(kSecond, "x").size() == 3u);
    std::vector<std::string> many;
    for (int i = 0; i < 100; ++i) many.push_back("y" + std::to_string(i));
    relay.asked(kSecond, "a", many);
    BOOST_TEST(relay.listeners(kSecond, "y7").size() == 1u);
    BOOST_TEST(relay.listeners(kSecond, "y8").empty());
}
