#define BOOST_TEST_MODULE weft_plain
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include "weft/link.hpp"

namespace {

const std::string kSecret(32, 's');

struct Pair {
    boost::asio::io_context io;
    weft::Link a{io, "fleet", kSecret, "a", true}, b{io, "fleet", kSecret, "b", true};
    std::vector<weft::Envelope> at_a, at_b;
    std::string a_is, b_is;
    Pair() {
        a_is = a.open("127.0.0.1:0", [this](weft::Envelope& e) { at_a.push_back(e); }).value();
        b_is = b.open("127.0.0.1:0", [this](weft::Envelope& e) { at_b.push_back(e); }).value();
    }
    // Runs until that holds, at most so many turns.
    template <class F>
    bool until(F f) {
        for (int i = 0; i < 4000 && !f(); ++i) io.run_one_for(std::chrono::milliseconds(5));
        return f();
    }
};

}  // namespace

BOOST_AUTO_TEST_CASE(small_soft_frames_and_large_ones_arrive_whole) {
    Pair p;
    weft::StateAsk q;
    q.revision = 7;
    p.a.send(p.b_is, q);
    weft::FeedSaid f;
    f.changes.push_back({1, 1, 7, "hash", std::string(3000000, 'x')});
    p.a.send(p.b_is, f);
    p.a.send(p.b_is, f);
    BOOST_TEST_REQUIRE(p.until([&] { return p.at_b.size() == 3; }));
    int large = 0;
    for (const auto& e : p.at_b) {
        BOOST_TEST(e.from == "a");
        const auto* w = std::get_if<weft::FeedSaid>(&e.msg);
        large += w != nullptr && w->changes.at(0).text.size() == 3000000 ? 1 : 0;
    }
    BOOST_TEST(large == 2);
}

BOOST_AUTO_TEST_CASE(a_dead_peer_costs_nothing_and_one_that_returns_is_heard) {
    Pair p;
    weft::FeedSaid f;
    f.changes.push_back({1, 1, 7, "hash", std::string(3000, 'x')});
    const std::string at = p.b_is;
    p.b.close();
    for (int i = 0; i < 300; ++i) p.a.send(at, f);
    BOOST_TEST(p.a.tally().unsent > 0u);
    weft::Link c{p.io, "fleet", kSecret, "c", true};
    std::size_t heard = 0;
    BOOST_TEST_REQUIRE(pith::why(c.open(at, [&](weft::Envelope&) { ++heard; })) == "");
    BOOST_TEST(p.until([&] {
        if (heard == 0) p.a.send(at, f);
        return heard > 0;
    }));
}

BOOST_AUTO_TEST_CASE(strangers_frames_are_dropped_and_counted) {
    Pair p;
    weft::Link x{p.io, "fleet", std::string(32, 't'), "x", true};
    BOOST_TEST_REQUIRE(pith::why(x.open("127.0.0.1:0", [](weft::Envelope&) {})) == "");
    x.send(p.b_is, weft::StateAsk{});
    x.send(p.b_is, weft::FeedSaid{});
    BOOST_TEST(p.until([&] { return p.b.tally().dropped == 2; }));
    BOOST_TEST(p.at_b.empty());
}
