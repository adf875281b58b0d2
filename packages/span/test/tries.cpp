#define BOOST_TEST_MODULE span_tries
#include "span/tries.hpp"

#include <malloc.h>

#include <boost/test/unit_test.hpp>

#include "pith/hash.hpp"

using span::Tries;

namespace {

constexpr std::size_t kLongestId = 128;
constexpr std::size_t kAll = Tries::kShards * Tries::kMost;

std::string name(std::size_t number) {
    std::string id = std::to_string(number);
    return id + std::string(kLongestId - id.size(), 'i');
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_try_is_known_once_it_was_sent_and_let_go_where_it_was_not) {
    pith::crypto_start();
    Tries tries;
    BOOST_TEST(tries.begin(1, "c", "a"));
    BOOST_TEST(!tries.begin(2, "c", "a"));
    BOOST_TEST(tries.begin(2, "d", "a"));
    tries.let_go("c", "a");
    BOOST_TEST(tries.begin(3, "c", "a"));
    tries.sent("c", "a");
    tries.let_go("c", "a");
    BOOST_TEST(!tries.begin(4, "c", "a"));
    tries.not_run("c", "a");
    BOOST_TEST(tries.begin(5, "c", "a"));
    BOOST_TEST(!tries.begin(Tries::kKeep, "c", "a"));
    BOOST_TEST(tries.begin(Tries::kKeep + 6, "c", "a"));
}

// However long callers make their ids.
BOOST_AUTO_TEST_CASE(what_is_remembered_of_tries_is_small) {
    constexpr std::size_t kMostBytes = 8 * 1000 * 1000;
    pith::crypto_start();
    const auto before = ::mallinfo2().uordblks;
    Tries tries;
    for (std::size_t i = 0; i < 2 * kAll; ++i) {
        tries.begin(static_cast<pith::Micros>(i), "customer", name(i));
        tries.sent("customer", name(i));
    }
    const auto held = ::mallinfo2().uordblks - before;
    BOOST_TEST_MESSAGE("held=" << held);
    BOOST_TEST(held <= kMostBytes);
    BOOST_TEST(!tries.begin(static_cast<pith::Micros>(2 * kAll), "customer", name(2 * kAll - 1)));
}
