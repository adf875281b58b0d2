#define BOOST_TEST_MODULE knell_members
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>

#include "knell/knell.hpp"

using namespace knell;
using pith::kMilli;
using pith::kSecond;
using pith::Micros;

namespace {

// A handful of machines with instant delivery; `cut` names those that nothing reaches or leaves.
struct Field {
    std::map<std::string, std::unique_ptr<Knell>> n;
    std::set<std::string> cut;
    Micros now = 0;
    std::size_t carried = 0;
    void add(const std::string& name, std::uint64_t inc = 1) {
        Config c;
        c.name = name;
        c.address = name;
        c.locality = "a";
        c.role = "proxy";
        c.seeds = {"n0", "n1", "n2"};
        c.inc = inc;
        n[name] = std::make_unique<Knell>(c);
    }
    void carry(const std::string& from, weft::Out o) {
        for (auto& s : o) {
            if (cut.count(from) || cut.count(s.address) || !n.count(s.address) || s.address == from) continue;
            ++carried;
            weft::Out b;
            n[s.address]->hear(now, weft::Envelope{n[from]->name(), n[from]->inc(), 0, s.msg}, &b);
            carry(s.address, std::move(b));
        }
    }
    void run(Micros d) {
        for (const Micros end = now + d; now < end; now += 50 * kMilli)
            for (auto& p : n) {
                if (cut.count(p.first)) continue;
                weft::Out o;
                p.second->tick(now, &o);
                carry(p.first, std::move(o));
            }
    }
};

}  // namespace

BOOST_AUTO_TEST_CASE(all_find_each_other_and_a_death_is_known_within_two_seconds) {
    Field f;
    for (int i = 0; i < 18; ++i) f.add("n" + std::to_string(i));
    f.run(2 * kSecond);
    for (auto& p : f.n) BOOST_TEST(p.second->live().size() == 17u);
    f.cut.insert("n5");
    f.run(2 * kSecond + 300 * kMilli);
    for (auto& p : f.n)
        if (p.first != "n5") BOOST_TEST(!p.second->is_live("n5"));
    f.cut.clear();
    f.run(2 * kSecond);
    for (auto& p : f.n)
        if (p.first != "n5") BOOST_TEST(p.second->is_live("n5"));
}

BOOST_AUTO_TEST_CASE(a_later_life_wins_even_when_its_clock_went_back) {
    Field f;
    for (int i = 0; i < 5; ++i) f.add("n" + std::to_string(i), 100);
    f.run(kSecond);
    f.add("n3", 7);  // a new life with a lower number
    f.run(2 * kSecond);
    BOOST_TEST(f.n["n3"]->inc() > 100u);
    for (auto& p : f.n)
        if (p.first != "n3") BOOST_TEST(p.second->members().at("n3").rec.inc == f.n["n3"]->inc());
}

// A node lost for good is replaced under its name at another address, with nothing remembered of its lives.
BOOST_AUTO_TEST_CASE(a_name_moves_to_another_address) {
    Field f;
    for (int i = 0; i < 5; ++i) f.add("n" + std::to_string(i));
    f.run(2 * kSecond);
    Config c;
    c.name = "n3";
    c.address = "elsewhere";
    c.role = "proxy";
    c.seeds = {"n0", "n1", "n2"};
    c.inc = 1;
    f.n.erase("n3");
    f.n["elsewhere"] = std::make_unique<Knell>(c);
    f.run(2 * kSecond);
    for (auto& p : f.n)
        if (p.first != "elsewhere") {
            BOOST_TEST(p.second->address("n3") == "elsewhere");
            BOOST_TEST(p.second->is_live("n3"));
        }
    BOOST_TEST(f.n["elsewhere"]->inc() > 1u);
}

BOOST_AUTO_TEST_CASE(one_node_does_a_duty_and_a_lower_epoch_is_refused) {
    Field f;
    for (int i = 0; i < 7; ++i) f.add("n" + std::to_string(i));
    f.run(2 * kSecond);
    std::string who;
    for (auto& p : f.n)
        if (p.second->mine("listing", "proxy")) {
            BOOST_TEST(who.empty());
            who = p.first;
        }
    BOOST_REQUIRE(!who.empty());
    const auto e = f.n[who]->take("listing");
    f.run(kSecond);
    f.cut.insert(who);
    f.run(3 * kSecond);
    std::string next;
    for (auto& p : f.n)
        if (p.first != who && p.second->mine("listing", "proxy")) next = p.first;
    BOOST_REQUIRE(!next.empty());
    const auto g = f.n[next]->take("listing");
    BOOST_TEST(g > e);
    f.run(kSecond);
    for (auto& p : f.n)
        if (p.first != who) BOOST_TEST(!p.second->accept("listing", e, who));
    f.cut.clear();
    f.run(2 * kSecond);
    BOOST_TEST(!f.n[who]->holds("listing"));
}

// A holder that comes back at once, before anybody missed it, must not go on under the epoch of its former
// life.
BOOST_AUTO_TEST_CASE(a_new_life_takes_a_new_epoch) {
    Config c;
    c.name = "n1";
    Knell k(c);
    k.accept("listing", 9, "n1");
    BOOST_TEST(!k.holds("listing"));
    BOOST_TEST(k.take("listing") == 10u);
    BOOST_TEST(k.take("listing") == 10u);
    BOOST_TEST(k.holds("listing"));
}

// Heartbeats go to few: the cost of an idle beat does not grow with the square of the fleet.
BOOST_AUTO_TEST_CASE(a_quiet_fleet_says_little) {
    Field f;
    for (int i = 0; i < 18; ++i) f.add("n" + std::to_string(i));
    f.run(5 * kSecond);
    f.carried = 0;
    f.run(15 * kSecond);
    // 18 nodes x 50 beats x 3 watchers, and the seeds each 5 s
    BOOST_TEST(f.carried < 18u * 50u * 4u);
}

// A node that one machine does not hear, but we do, is not taken for down: it is told, and outdoes the
// verdict.
BOOST_AUTO_TEST_CASE(a_verdict_against_what_we_hear_is_not_believed) {
    Field f;
    for (const char* n : {"n0", "n1", "n2"}) f.add(n);
    f.run(2 * kSecond);
    BOOST_REQUIRE(f.n["n0"]->is_live("n1"));
    weft::News v;
    v.members.push_back(f.n["n0"]->members().at("n1").rec);
    v.members[0].state = kDown;
    ++v.members[0].version;
    weft::Out hb, out;
    f.n["n1"]->tick(f.now + kSecond, &hb);
    BOOST_REQUIRE(!hb.empty());
    f.n["n0"]->hear(f.now, weft::Envelope{"n1", 1, 0, hb[0].msg}, &out);
    out.clear();
    f.n["n0"]->hear(f.now + 100 * kMilli, weft::Envelope{"n2", 1, 0, v}, &out);
    BOOST_TEST(f.n["n0"]->is_live("n1"));
    BOOST_REQUIRE(out.size() == 1u);
    BOOST_TEST(out[0].address == "n1");
    weft::Out answer;
    f.n["n1"]->hear(f.now + 110 * kMilli, weft::Envelope{"n0", 1, 0, out[0].msg}, &answer);
    BOOST_REQUIRE(!answer.empty());
    const auto* said = std::get_if<weft::News>(&answer[0].msg);
    BOOST_REQUIRE(said != nullptr);
    BOOST_TEST(said->members.at(0).version > v.members[0].version);
    // One that we have not heard either for two beats is believed to be down.
    out.clear();
    f.n["n0"]->hear(f.now + 2 * kSecond, weft::Envelope{"n2", 1, 0, v}, &out);
    BOOST_TEST(!f.n["n0"]->is_live("n1"));
}

// Two sides call each other down; none of the seeds is on one of them. Once the cut is mended both know within a second.
BOOST_AUTO_TEST_CASE(sides_that_called_each_other_down_meet_soon_after_a_cut) {
    Field f;
    for (int i = 0; i < 9; ++i) f.add("n" + std::to_string(i));
    f.run(2 * kSecond);
    f.cut.insert("n7");  // stands still meanwhile, as seen from here: it is called down
    f.run(20 * kSecond);
    for (auto& p : f.n)
        if (p.first != "n7") BOOST_TEST(!p.second->is_live("n7"));
    f.cut.clear();
    f.run(kSecond);
    for (auto& p : f.n)
        if (p.first != "n7") BOOST_TEST(p.second->is_live("n7"));
    for (auto& p : f.n)
        if (p.first != "n7") BOOST_TEST(f.n["n7"]->is_live(p.first));
}
