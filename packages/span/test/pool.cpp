#define BOOST_TEST_MODULE span_pool
#include "span/pool.hpp"

#include <boost/test/unit_test.hpp>
#include <functional>

#include "span/farewell.hpp"
#include "span/tries.hpp"

using namespace span;
using pith::kMilli;
using pith::kSecond;

namespace {

weft::Listing listing(std::uint64_t epoch, std::uint64_t version, std::vector<weft::ServerRec> s) {
    return weft::Listing{epoch, "p1", version, std::move(s)};
}

weft::ServerRec srv(int port, const std::string& service, const std::string& inst,
                    std::uint8_t st = kServing) {
    return {"127.0.0.1:" + std::to_string(port), service, inst, "a", st};
}

std::string picked(Pool& p, pith::Micros now, const std::string& service) {
    bool known = false;
    auto s = p.pick(now, service, {}, &known);
    return s ? s->instance : known ? "busy" : "none";
}

}  // namespace

BOOST_AUTO_TEST_CASE(two_at_a_time_and_least_in_flight_first) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, {srv(1, "bids", "i1"), srv(2, "bids", "i2")}));
    std::map<std::string, int> n;
    for (int i = 0; i < 4; ++i) ++n[picked(p, 0, "bids")];
    BOOST_TEST(n["i1"] == 2);
    BOOST_TEST(n["i2"] == 2);
    BOOST_TEST(picked(p, 0, "bids") == "busy");
    BOOST_TEST(picked(p, 0, "other") == "none");
}

BOOST_AUTO_TEST_CASE(an_address_handed_to_another_service_is_gone_at_once) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, {srv(1, "bids", "i1"), srv(2, "bids", "i2")}));
    p.listing(1, listing(1, 2, {srv(1, "notices", "i3"), srv(2, "bids", "i2")}));
    BOOST_TEST(!p.stands({"127.0.0.1:1", "bids", "i1"}));
    BOOST_TEST(p.stands({"127.0.0.1:1", "notices", "i3"}));
    BOOST_TEST(picked(p, 1, "bids") == "i2");
    p.listing(2, listing(1, 1, {srv(1, "bids", "i1")}));  // an older listing come late
    BOOST_TEST(!p.stands({"127.0.0.1:1", "bids", "i1"}));
}

BOOST_AUTO_TEST_CASE(leaving_drained_and_missing_servers_get_nothing_new) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, {srv(1, "b", "i1"), srv(2, "b", "i2"), srv(3, "b", "i3"), srv(4, "b", "i4")}));
    p.listing(1, listing(1, 2, {srv(1, "b", "i1", kLeaving), srv(2, "b", "i2"), srv(3, "b", "i3")}));
    p.mark("127.0.0.1:2", true);
    BOOST_TEST(picked(p, 1, "b") == "i3");
    BOOST_TEST(picked(p, 1, "b") == "i3");
    BOOST_TEST(picked(p, 1, "b") == "busy");
    p.mark("127.0.0.1:2", false);
    BOOST_TEST(picked(p, 1, "b") == "i2");
    p.leaving("127.0.0.1:2", "i2");
    BOOST_TEST(picked(p, 1, "b") == "busy");
    BOOST_TEST(!p.stands({"127.0.0.1:4", "b", "i4"}));
}

// A listing that goes back in time and forth again does not bring a leaving server back.
BOOST_AUTO_TEST_CASE(an_instance_that_said_it_leaves_never_returns) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, {srv(1, "b", "i2"), srv(2, "b", "i9")}));
    p.leaving("127.0.0.1:1", "i2");
    p.listing(1, listing(1, 2, {srv(1, "b", "i1"), srv(2, "b", "i9")}));
    p.listing(2, listing(1, 3, {srv(1, "b", "i2"), srv(2, "b", "i9")}));
    BOOST_TEST(!p.stands({"127.0.0.1:1", "b", "i2"}));
    // Nor where the listing itself had said so.
    p.listing(2, listing(1, 4, {srv(2, "b", "i9", kLeaving), srv(5, "b", "i5")}));
    p.listing(2, listing(1, 5, {srv(2, "b", "i9"), srv(5, "b", "i5")}));
    BOOST_TEST(!p.stands({"127.0.0.1:2", "b", "i9"}));
    // Also where it is told before it is listed here.
    p.probe(3, "127.0.0.1:3", "i7", 2);
    p.listing(4, listing(1, 6, {srv(3, "b", "i7"), srv(2, "b", "i9")}));
    BOOST_TEST(!p.stands({"127.0.0.1:3", "b", "i7"}));
}

BOOST_AUTO_TEST_CASE(a_failing_server_is_ejected_never_a_whole_service) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, {srv(1, "b", "i1"), srv(2, "b", "i2")}));
    auto fail = [&](const char* a, const char* i, pith::Micros t) {
        for (int k = 0; k < 3; ++k) p.done(t, {a, "b", i}, Outcome::lost, 1);
    };
    fail("127.0.0.1:1", "i1", 0);
    for (int i = 0; i < 2; ++i) BOOST_TEST(picked(p, 0, "b") == "i2");
    fail("127.0.0.1:2", "i2", 0);
    BOOST_TEST(picked(p, 0, "b") == "i2");  // its strikes freed slots; it is not ejected as well
    BOOST_TEST(picked(p, 3 * kSecond, "b") == "i1");
}

BOOST_AUTO_TEST_CASE(retries_stay_within_a_fifth_and_a_small_slack) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, {srv(1, "b", "i1")}));
    int n = 0;
    for (int i = 0; i < 1000; ++i) {
        p.first_visit("b");
        while (p.take_retry("b")) ++n;
    }
    BOOST_TEST(n <= 202);
    BOOST_TEST(n >= 195);
}

BOOST_AUTO_TEST_CASE(a_try_is_begun_once_and_memory_is_bounded) {
    Tries t;
    BOOST_TEST(t.begin(0, "c", "1"));
    BOOST_TEST(!t.begin(0, "c", "1"));
    BOOST_TEST(t.begin(0, "d", "1"));
    t.let_go("c", "1");
    BOOST_TEST(t.begin(0, "c", "1"));
    t.sent("c", "1");
    t.let_go("c", "1");
    BOOST_TEST(!t.begin(0, "c", "1"));
    BOOST_TEST(t.begin(Tries::kKeep + kSecond, "c", "1"));
}

// A server that somebody's visit has shown to live needs no probe; its next instance does.
BOOST_AUTO_TEST_CASE(visits_spare_probes) {
    Pool here("p1", "a", PoolTuning{}), there("p2", "a", PoolTuning{});
    for (auto* p : {&here, &there}) p->listing(0, listing(1, 1, {srv(1, "s", "i1"), srv(2, "s", "i2")}));
    BOOST_TEST(there.unseen_since(1).size() == 2u);
    bool known = false;
    const auto s = here.pick(kSecond, "s", {}, &known);
    BOOST_REQUIRE(s);
    here.done(2 * kSecond, *s, Outcome::well, 10);
    const auto news = here.well_since(kSecond);
    BOOST_TEST(news.size() == 1u);
    there.told_well(2 * kSecond, news);
    BOOST_TEST(there.unseen_since(kSecond).size() == 1u);
    BOOST_TEST(there.unseen_since(kSecond)[0].address != s->address);
    BOOST_TEST(there.unseen_since(3 * kSecond).size() == 2u);
    there.listing(4 * kSecond, listing(1, 2, {srv(1, "s", "j1"), srv(2, "s", "j2")}));
    there.told_well(5 * kSecond, news);
    BOOST_TEST(there.unseen_since(kSecond).size() == 2u);
}

// A planned stop: doors, patience, the last words, the end; each told once, within the grace.
BOOST_AUTO_TEST_CASE(a_farewell_in_order) {
    const auto all = [](std::size_t in_flight_until_ms) {
        Farewell f;
        std::string s;
        BOOST_TEST(f.tick(0, 3) == Farewell::none);
        f.begin(kSecond);
        for (pith::Micros t = 0; t <= 6 * kSecond; t += 20 * pith::kMilli) {
            const auto n = t < static_cast<pith::Micros>(in_flight_until_ms) * pith::kMilli ? 1U : 0U;
            const auto a = f.tick(kSecond + t, n);
            if (a == Farewell::none) continue;
            static const char* const name[] = {"", "doors", "give_up", "leave", "end"};
            s += std::string(name[a]) + "@" + std::to_string(t / pith::kMilli) + " ";
        }
        return s;
    };
    BOOST_TEST(all(0) == "doors@2200 leave@2220 end@2380 ");
    BOOST_TEST(all(4000) == "doors@2200 leave@4000 end@4160 ");
    BOOST_TEST(all(5400) == "doors@2200 give_up@5300 leave@5400 end@5560 ");
    BOOST_TEST(all(60000) == "doors@2200 give_up@5300 leave@5600 end@5760 ");
}

// The grace is the operators', in `bounds`: a request that its server works on is not broken off before its last sixth.
BOOST_AUTO_TEST_CASE(a_farewell_does_not_break_off_requests_before_the_grace_ends) {
    for (const pith::Micros grace : {kSecond, 3 * kSecond, 6 * kSecond, 10 * kSecond, 30 * kSecond}) {
        Farewell farewell(grace);
        farewell.begin(0);
        pith::Micros doors = 0, given_up = 0, ended = 0;
        for (pith::Micros t = 0; ended == 0 && t <= grace; t += 5 * pith::kMilli) {
            const auto act = farewell.tick(t, 1);
            if (act == Farewell::close_doors) doors = t;
            if (act == Farewell::give_up) given_up = t;
            if (act == Farewell::end) ended = t;
        }
        BOOST_TEST(doors > 0);
        BOOST_TEST(doors <= 2200 * pith::kMilli);
        BOOST_TEST(given_up > doors);
        BOOST_TEST(given_up >= grace * 5 / 6, "given up after " << given_up << " of " << grace);
        BOOST_TEST(ended > given_up);
        BOOST_TEST(ended < grace);
    }
}

// A server that is missing is forgotten in time, also where the listing does not change again.
BOOST_AUTO_TEST_CASE(missing_servers_are_let_go) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, {srv(1, "s", "i1"), srv(2, "s", "i2")}));
    const auto less = listing(1, 2, {srv(1, "s", "i1")});
    p.listing(kSecond, less);
    BOOST_TEST(p.servers().size() == 2u);
    p.listing(5 * kSecond, less);
    BOOST_TEST(p.servers().size() == 2u);
    p.listing(12 * kSecond, less);
    BOOST_TEST(p.servers().size() == 1u);
}

namespace {

// What one gateway sends where each answer takes `took(instance)`, one request at a time.
std::map<std::string, int> sent(Pool& p, pith::Micros* now, int n,
                                const std::function<pith::Micros(const std::string&)>& took) {
    std::map<std::string, int> m;
    for (int i = 0; i < n; ++i) {
        bool known = false;
        const auto s = p.pick(*now, "s", {}, &known, kSecond);
        BOOST_REQUIRE(s);
        ++m[s->instance];
        *now += 20 * kMilli;
        p.done(*now, *s, Outcome::well, took(s->instance));
    }
    return m;
}

std::vector<weft::ServerRec> several(int n, const std::string& zone = "a") {
    std::vector<weft::ServerRec> v;
    for (int i = 1; i <= n; ++i) {
        v.push_back(srv(i, "s", "i" + std::to_string(i)));
        v.back().locality = zone;
    }
    return v;
}

}  // namespace

BOOST_AUTO_TEST_CASE(slots_as_listed_and_a_few_more_where_the_time_allows) {
    auto l = several(1);
    l[0].slots = 3;
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, l));
    bool known = false;
    for (int i = 0; i < 3; ++i) BOOST_TEST(p.pick(0, "s", {}, &known).has_value());
    BOOST_TEST(!p.pick(0, "s", {}, &known));
    BOOST_TEST(!p.pick(0, "s", {}, &known, 60 * kMilli));  // 50 ms of work, and a wait for a slot
    for (int i = 0; i < 2; ++i) BOOST_TEST(p.pick(0, "s", {}, &known, kSecond).has_value());
    BOOST_TEST(!p.pick(0, "s", {}, &known, kSecond));
}

BOOST_AUTO_TEST_CASE(a_slow_server_is_used_less_and_tried_again) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, several(4)));
    pith::Micros now = 0;
    bool slow = true;
    const auto took = [&slow](const std::string& i) { return (slow && i == "i2" ? 240 : 60) * kMilli; };
    sent(p, &now, 100, took);
    BOOST_TEST(sent(p, &now, 100, took)["i2"] <= 3);
    slow = false;
    now += 30 * kSecond;
    sent(p, &now, 100, took);
    BOOST_TEST(sent(p, &now, 100, took)["i2"] >= 15);
}

BOOST_AUTO_TEST_CASE(a_cold_server_is_spared_until_it_is_warm) {
    auto l = several(4);
    l[1].cold_us = 5 * kSecond;
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, l));
    pith::Micros now = 0;
    const auto took = [&now](const std::string& i) {
        return (now < 5 * kSecond && i == "i2" ? 120 : 60) * kMilli;
    };
    BOOST_TEST(sent(p, &now, 100, took)["i2"] == 0);
    p.listing(now, listing(1, 2, l));  // an old word of it does not make it colder
    now = 5 * kSecond;
    BOOST_TEST(sent(p, &now, 100, took)["i2"] >= 15);
}

BOOST_AUTO_TEST_CASE(a_server_that_fails_often_is_used_less_and_at_last_not) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, several(4)));
    pith::Micros now = 0;
    pith::Rng r(5);
    std::map<std::string, int> n;
    const auto go = [&](double fails, int times) {
        n.clear();
        for (int i = 0; i < times; ++i) {
            bool known = false;
            const auto s = p.pick(now, "s", {}, &known, kSecond);
            BOOST_REQUIRE(s);
            ++n[s->instance];
            now += 20 * kMilli;
            p.done(now, *s, s->instance == "i3" && r.unit() < fails ? Outcome::failed : Outcome::well,
                   60 * kMilli);
        }
    };
    go(0.3, 200);
    go(0.3, 200);
    BOOST_TEST(n["i3"] < 25);  // of 50 each
    BOOST_TEST(n["i1"] > 50);
    go(0, 1500);
    go(0, 200);
    BOOST_TEST(n["i3"] >= 30);  // forgiven
    // Every second one fails: never three in a row, and yet it is ejected.
    bool ejected = false;
    for (int i = 0; i < 40; ++i) {
        p.done(now, {"127.0.0.1:3", "s", "i3"}, i % 2 == 0 ? Outcome::failed : Outcome::well, 60 * kMilli);
        for (const auto& v : p.view(now)) ejected = ejected || (v.instance == "i3" && v.ejected);
    }
    BOOST_TEST(ejected);
}

BOOST_AUTO_TEST_CASE(a_shed_is_no_failure_and_spares_the_server_a_moment) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, several(2)));
    for (int i = 0; i < 20; ++i) p.done(0, {"127.0.0.1:1", "s", "i1"}, Outcome::shed, kMilli);
    for (const auto& v : p.view(0)) {
        BOOST_TEST(!v.ejected);
        BOOST_TEST(v.failures == 0u);
    }
    BOOST_TEST(picked(p, kMilli, "s") == "i2");
    BOOST_TEST(picked(p, kMilli, "s") == "i2");
    BOOST_TEST(picked(p, 200 * kMilli, "s") == "i1");
    // A storm: all are full for the moment, none is out.
    p.done(kSecond, {"127.0.0.1:1", "s", "i1"}, Outcome::shed, kMilli);
    p.done(kSecond, {"127.0.0.1:2", "s", "i2"}, Outcome::shed, kMilli);
    bool known = false;
    BOOST_TEST(p.pick(kSecond + 151 * kMilli, "s", {}, &known).has_value());
}

BOOST_AUTO_TEST_CASE(a_misdirected_instance_is_gone_until_the_listing_says_otherwise) {
    Pool p("p1", "a", PoolTuning{});
    auto l = several(2);
    p.listing(0, listing(1, 1, l));
    p.done(0, {"127.0.0.1:1", "s", "i1"}, Outcome::misdirected, kMilli);
    for (int i = 0; i < 2; ++i) BOOST_TEST(picked(p, kMilli, "s") == "i2");
    BOOST_TEST(picked(p, kMilli, "s") == "busy");
    for (const auto& v : p.view(kMilli)) BOOST_TEST(!v.ejected);
    l[0].instance = "i9";
    p.listing(kSecond, listing(1, 2, l));
    BOOST_TEST(picked(p, kSecond, "s") == "i9");
}

BOOST_AUTO_TEST_CASE(a_server_that_takes_no_connection_is_out_one_second_then_two) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, several(2)));
    const auto out = [&p](pith::Micros t) {
        for (const auto& v : p.view(t))
            if (v.instance == "i1") return v.ejected;
        return false;
    };
    const Slot s{"127.0.0.1:1", "s", "i1"};
    p.done(0, s, Outcome::unproven, 0);
    BOOST_TEST(out(kSecond - 1));
    BOOST_TEST(!out(kSecond));
    p.done(kSecond, s, Outcome::unproven, 0);
    BOOST_TEST(out(3 * kSecond - 1));
    BOOST_TEST(!out(3 * kSecond));
}

BOOST_AUTO_TEST_CASE(own_zone_first_while_it_is_not_much_slower) {
    auto l = several(4, "b");
    l[0].locality = "a";
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, l));
    pith::Micros now = 0;
    BOOST_TEST(sent(p, &now, 50, [](const std::string&) { return 60 * kMilli; })["i1"] == 50);
    const auto took = [](const std::string& i) { return (i == "i1" ? 120 : 60) * kMilli; };
    sent(p, &now, 100, took);
    BOOST_TEST(sent(p, &now, 100, took)["i1"] < 20);
}

// What peers have in flight counts, fades, and is told only where it changed.
BOOST_AUTO_TEST_CASE(peers_load_counts_and_fades) {
    Pool here("p1", "a", PoolTuning{}), there("p2", "a", PoolTuning{});
    for (auto* p : {&here, &there}) p->listing(0, listing(1, 1, several(2)));
    std::vector<Slot> held;
    bool known = false;
    for (int i = 0; i < 6; ++i)
        if (auto s = there.pick(0, "s", {"127.0.0.1:2"}, &known, kSecond)) held.push_back(*s);
    BOOST_REQUIRE(held.size() == 4u);
    auto news = there.load_news(false);
    BOOST_TEST(news.size() == 1u);
    BOOST_TEST(there.load_news(false).empty());
    BOOST_TEST(there.load_news(true).size() == 1u);
    here.told_load(0, "p2", 1, 1, news);
    here.told_load(0, "p2", 1, 1, news);  // twice: counts once
    for (int i = 0; i < 2; ++i) {
        auto s = here.pick(kMilli, "s", {}, &known);
        BOOST_REQUIRE(s);
        BOOST_TEST(s->instance == "i2");
        here.done(kMilli, *s, Outcome::unused, 0);
    }
    // Faded after a while without word.
    std::map<std::string, int> n;
    for (int i = 0; i < 4; ++i) ++n[picked(here, kSecond, "s")];
    BOOST_TEST(n["i1"] == 2);
    // Told that it is over: at once. A late word of the past changes nothing.
    Pool other("p3", "a", PoolTuning{});
    other.listing(0, listing(1, 1, several(1)));
    other.told_load(0, "p2", 1, 1, news);
    for (const auto& s : held) there.done(kMilli, s, Outcome::well, kMilli);
    const auto over = there.load_news(true);
    BOOST_TEST(over.size() == 1u);
    other.told_load(2 * kMilli, "p2", 1, 3, over);
    other.told_load(2 * kMilli, "p2", 1, 2, news);
    const auto s = other.pick(2 * kMilli, "s", {}, &known);
    BOOST_REQUIRE(s);
    BOOST_TEST(s->load < 0.01);
}

// By brute force: whatever nodes do, over any span of time, the fleet's sends beyond the first are at most a
// fifth of the first ones and the buckets' sum.
BOOST_AUTO_TEST_CASE(the_budget_holds_over_any_window) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        pith::Rng r(seed);
        const std::size_t n = 1 + r.below(12);
        std::vector<std::unique_ptr<Pool>> v;
        PoolTuning t;
        t.fleet_slack = 5 + static_cast<double>(r.below(66));
        double sum = 0;
        for (std::size_t i = 0; i < n; ++i) {
            v.push_back(std::make_unique<Pool>("p" + std::to_string(i), "a", t));
            v.back()->listing(0, listing(1, 1, several(1)));
            v.back()->nodes(n);
            sum += std::max(1.0, 0.8 * t.fleet_slack / static_cast<double>(std::max<std::size_t>(n, 4)));
        }
        BOOST_TEST(sum <= std::max(t.fleet_slack, static_cast<double>(n)));
        // Bursts of first ones, bursts of others, and silence between.
        std::vector<double> at;  // -0.2 for a first one, 1 for another, in order of time
        for (int burst = 0; burst < 60; ++burst) {
            const double firsts = r.unit();
            const auto k = r.below(60);
            Pool& p = *v[r.below(n)];
            const bool all = r.below(3) == 0;
            for (std::uint64_t i = 0; i < k; ++i) {
                Pool& q = all ? *v[r.below(n)] : p;
                if (r.unit() < firsts) {
                    q.first_visit("s");
                    at.push_back(-0.2);
                } else if (q.take_retry("s")) {
                    at.push_back(1);
                }
            }
        }
        double worst = 0;
        for (std::size_t i = 0; i < at.size(); ++i) {
            double x = 0;
            for (std::size_t j = i; j < at.size(); ++j) worst = std::max(worst, x += at[j]);
        }
        BOOST_TEST(worst <= sum + 1e-6);
    }
}

// Where fewer nodes are known for a while, the bucket does not grow back; where more come, it shrinks at
// once.
BOOST_AUTO_TEST_CASE(the_budget_goes_by_the_most_nodes_ever_known) {
    PoolTuning t;
    t.fleet_slack = 50;
    Pool p("p1", "a", t);
    p.listing(0, listing(1, 1, several(1)));
    const auto all = [&p] {
        for (int i = 0; i < 1000; ++i) p.first_visit("s");
        int n = 0;
        while (p.take_retry("s")) ++n;
        return n;
    };
    BOOST_TEST(all() == 10);  // of 4 at least
    p.nodes(20);
    BOOST_TEST(all() == 2);
    p.nodes(3);
    BOOST_TEST(all() == 2);
    for (int i = 0; i < 1000; ++i) p.first_visit("s");
    p.nodes(40);
    BOOST_TEST(p.take_retry("s"));
    BOOST_TEST(!p.take_retry("s"));
}

// One that hangs and sheds all else must not take a send of the budget every 150 ms.
BOOST_AUTO_TEST_CASE(a_server_that_goes_on_shedding_is_spared_longer) {
    Pool p("p1", "a", PoolTuning{});
    p.listing(0, listing(1, 1, several(2)));
    int sheds = 0;
    for (pith::Micros now = 0; now < 20 * kSecond; now += 10 * kMilli) {
        bool known = false;
        const auto s = p.pick(now, "s", {}, &known, kSecond);
        BOOST_REQUIRE(s);
        sheds += s->instance == "i1" ? 1 : 0;
        p.done(now, *s, s->instance == "i1" ? Outcome::shed : Outcome::well, 60 * kMilli);
    }
    BOOST_TEST(sheds <= 20);
    p.done(20 * kSecond, {"127.0.0.1:1", "s", "i1"}, Outcome::well, 60 * kMilli);
    p.done(20 * kSecond, {"127.0.0.1:1", "s", "i1"}, Outcome::shed, kMilli);
    std::map<std::string, int> n;
    for (int i = 0; i < 4; ++i) ++n[picked(p, 20 * kSecond + 200 * kMilli, "s")];
    BOOST_TEST(n["i1"] == 2);
}
