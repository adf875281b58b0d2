#define BOOST_TEST_MODULE span_core
#include "span/core.hpp"

#include <boost/test/unit_test.hpp>

using namespace span;

namespace {

std::string bundle(int number) {
    return R"({"number":)" + std::to_string(number) +
           R"(,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h","prefix":"/","kind":"read","timeout_ms":800,"service":"s"}]})";
}

weft::MemberRec member(const std::string& n, const std::string& role) {
    weft::MemberRec r;
    r.name = r.address = n;
    r.role = role;
    r.inc = 1;
    r.version = 1;
    return r;
}

// One proxy with one listed keeper, started on bundle 4.
struct One {
    tide::Basin basin{tide::Tuning{}};
    Pool pool{"me", "z", PoolTuning{}};
    ProxyCore core;
    pith::Micros now = pith::kSecond;
    One() : core(config(), {{"k", "k"}}, CoreTuning{}, &basin, &pool) {
        Todo d;
        core.tick(now, &d);
        beat("k", "keeper", 4);
        feed(4);
        weft::Listing l;
        l.epoch = l.version = 1;
        l.holder = "p";
        l.servers.push_back({});
        l.servers[0].address = "10.0.0.1:80";
        l.servers[0].service = l.servers[0].instance = "s";
        hear("p", l);
    }
    static knell::Config config() {
        knell::Config c;
        c.name = c.address = "me";
        c.role = "proxy";
        c.seeds = {"p"};
        return c;
    }
    weft::Out hear(const std::string& from, weft::Msg m) {
        Todo d;
        weft::Envelope e;
        e.from = from;
        e.inc = 1;
        e.msg = std::move(m);
        core.hear(now, e, &d);
        return d.out;
    }
    weft::Out beat(const std::string& from, const std::string& role, std::uint64_t commit) {
        weft::Heartbeat h;
        h.me = member(from, role);
        h.commit = commit;
        return hear(from, h);
    }
    void feed(int n) {
        weft::FeedSaid f;
        f.feed = 1;
        f.digest = 1;
        f.place = static_cast<std::uint64_t>(n);
        f.commit = static_cast<std::uint64_t>(n);
        f.changes.push_back({1, vault::kBundle, static_cast<std::uint64_t>(n), told(n).hash, told(n).text});
        hear("k", f);
    }
    static creed::Bundle told(int n) { return creed::read_told(bundle(n)).value(); }
};

const weft::StateAsk* asked(const weft::Out& o, const std::string& whom) {
    for (const auto& s : o)
        if (s.address == whom)
            if (const auto* q = std::get_if<weft::StateAsk>(&s.msg)) return q;
    return nullptr;
}

}  // namespace

// A proxy cut off from all keepers hears of a higher bundle from a peer: the peer is asked, and its word taken.
BOOST_AUTO_TEST_CASE(a_bundle_is_had_from_a_peer_that_acts_on_it) {
    One x;
    BOOST_TEST_REQUIRE(x.core.started());
    BOOST_TEST_REQUIRE((x.core.policy()->number() == 4));
    BOOST_TEST((asked(x.beat("p", "proxy", 4), "p") == nullptr));
    const auto o = x.beat("p", "proxy", 6);
    BOOST_TEST_REQUIRE((asked(o, "p") != nullptr));
    BOOST_TEST(asked(o, "p")->commit == 4u);
    BOOST_TEST((asked(x.beat("p", "proxy", 6), "p") == nullptr));  // not with each beat
    weft::StateSaid s;
    s.commit = 6;
    s.hash = One::told(6).hash;
    s.text = bundle(6);
    x.hear("p", s);
    BOOST_TEST((x.core.policy()->number() == 6));
    s.commit = 5;
    s.hash = One::told(5).hash;
    s.text = bundle(5);
    x.hear("p", s);  // never back
    BOOST_TEST((x.core.policy()->number() == 6));
    s.commit = 7;
    x.hear("p", s);  // what does not fit its number and hash is nothing
    BOOST_TEST((x.core.policy()->number() == 6));
    // And it tells others that ask.
    const auto t = x.hear("p", weft::StateAsk{0, 5});
    BOOST_TEST_REQUIRE(t.size() == 1u);
    BOOST_TEST(std::get<weft::StateSaid>(t[0].msg).text == bundle(6));
}
