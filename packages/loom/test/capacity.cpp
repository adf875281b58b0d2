#define BOOST_TEST_MODULE loom_capacity
#include "loom/capacity.hpp"

#include <boost/test/unit_test.hpp>

namespace {
loom::Load small() {
    loom::Load l;
    l.nodes = 6;
    l.tenants = 12;
    l.routes = 10;
    l.run = 2 * pith::kSecond;
    return l;
}

// Of processor and memory, which are the machine's.
bool measured(const std::string& n) {
    return n.find("_us") != std::string::npos || n.find("cpu") != std::string::npos ||
           n.find("memory") != std::string::npos;
}
}  // namespace

BOOST_AUTO_TEST_CASE(a_fleet_serves_and_a_seed_replays) {
    const auto a = loom::capacity(small(), 3), b = loom::capacity(small(), 3);
    BOOST_TEST(a.at("ready_share") == 1);
    BOOST_TEST(a.at("acked") == 1);
    BOOST_TEST(a.at("members_known") == 8);
    BOOST_TEST(a.at("partners_known") == 5);
    BOOST_TEST(a.at("servers_known") == 36);
    BOOST_TEST(a.at("match_found") == 1);
    BOOST_TEST(a.at("frames_dropped") == 0);
    BOOST_TEST(a.at("offered_s") > 0.9 * small().rate);
    BOOST_TEST(a.at("proxy.out_Counts_bytes_s") > 0);
    // A change is told as a difference, and all act on it: each proxy is told by two control nodes.
    BOOST_TEST(a.at("config.acting_share") == 1);
    BOOST_TEST(a.at("config.keeper_FeedSaid_frames") * (small().keepers - 1) >= 2 * small().nodes);
    BOOST_TEST(a.at("config.keeper_FeedSaid_bytes") < a.at("config_bytes"));
    BOOST_TEST(a.at("zone.proxy_News_frames") >= a.at("death.proxy_News_frames"));
    BOOST_TEST_REQUIRE(a.size() == b.size());
    for (const auto& c : a)
        if (!measured(c.first)) BOOST_TEST(c.second == b.at(c.first), c.first);
}

BOOST_AUTO_TEST_CASE(a_line_and_a_power_are_found) {
    std::multimap<double, double> line, square;
    for (double x : {1.0, 2.0, 5.0, 9.0}) {
        line.emplace(x, 3 + 2 * x);
        square.emplace(x, 4 * x * x);
    }
    const auto f = loom::fit(line), g = loom::fit(square);
    BOOST_TEST(f.a == 3, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(f.b == 2, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(f.residual < 1e-9);
    BOOST_TEST(g.power == 2, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(g.power_error < 1e-9);
}

BOOST_AUTO_TEST_CASE(unknown_names_are_refused) {
    loom::Load l;
    BOOST_TEST(loom::load_from("nodes=50,tenants=7,patterns=1", &l));
    BOOST_TEST(l.nodes == 50);
    BOOST_TEST(l.tenants == 7);
    BOOST_TEST(l.patterns);
    BOOST_TEST(!loom::load_from("nodes=0", &l));
    BOOST_TEST(!loom::load_from("moons=3", &l));
    BOOST_TEST(!loom::load_from("nodes", &l));
}
