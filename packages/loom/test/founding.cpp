#define BOOST_TEST_MODULE loom_founding
#include <boost/test/unit_test.hpp>

#include "loom/world.hpp"

// Every step of the first start and of deciding a configuration, each hit before its write is on disk and
// just after (docs/control.md).

namespace {

using pith::kMilli;
using pith::kSecond;

loom::Deployment small(int spares = 0) {
    loom::Deployment d = loom::foundation();
    d.proxies = 4;
    d.keepers = 3;
    d.servers = 3;
    d.customers.resize(1);
    d.customers[0].rate = 2;
    d.discovered = true;
    d.spares = spares;
    return d;
}

struct Run {
    loom::World w;
    explicit Run(std::uint64_t seed, const loom::Deployment& d = small(), const loom::Breaks& b = {})
        : w(d, seed, tide::Tuning{}, span::CoreTuning{}, b) {}
    void mend_at(pith::Micros t) {
        w.at(t, [this] {
            for (const char* role : {"proxy", "keeper"})
                for (const auto& n : w.names(role)) {
                    w.isolate(n, false);
                    if (!w.disk(n).decided.voters.empty() || n != "k4") w.restart(n);
                }
        });
    }
    void push_at(pith::Micros t, const std::string& k, std::uint64_t n, const std::string& note) {
        w.at(t, [this, k, n, note] { w.push(k, n, note); });
    }
    bool broken(const std::string& rule) const { return w.checks.faults().count(rule) != 0; }
    std::string faults() const {
        std::string s;
        for (const auto& f : w.checks.faults()) s += f.first + ": " + f.second.front() + "; ";
        return s;
    }
    // What stands in the end: on all proxies, and at or above what was ever acknowledged.
    std::string end() {
        w.judge_history();
        std::uint64_t top = 0;
        for (const auto& p : w.names("proxy")) top = std::max(top, w.checks.acts[p]);
        for (const auto& p : w.names("proxy"))
            if (w.checks.acts[p] != top) return p + " is behind";
        if (top < w.checks.highest_acked) return "an acknowledged bundle is lost";
        if (w.checks.electorate().empty()) return "no electorate was founded";
        return faults();
    }
};

const char* const kKeepers[] = {"k1", "k2", "k3"};

}  // namespace

BOOST_AUTO_TEST_CASE(an_undisturbed_first_start_is_quick) {
    Run r(1);
    r.push_at(4 * kSecond, "k2", 1, "a");
    r.w.run_until(4 * kSecond);
    BOOST_TEST(r.w.checks.electorate().size() == 3u);
    r.w.run_until(8 * kSecond);
    BOOST_TEST(r.w.answers().at(1) == "ok 1");
    BOOST_TEST(r.end() == "");
}

BOOST_AUTO_TEST_CASE(each_step_of_founding_hit) {
    for (const char* k : kKeepers)
        for (int nth = 0; nth < 2; ++nth)
            for (bool after : {false, true})
                for (const char* how : {"alone", "all", "wipe", "cut"})
                    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
                        Run r(seed);
                        r.w.fault_founding_at(k, nth, after, how);
                        r.mend_at(6 * kSecond);
                        r.push_at(14 * kSecond, "k1", 1, "a");
                        r.push_at(15 * kSecond, "k3", 2, "b");
                        r.w.run_until(24 * kSecond);
                        const std::string what = std::string(k) + " write " + std::to_string(nth) +
                                                 (after ? " after " : " before ") + how + " seed " +
                                                 std::to_string(seed) + ": " + r.end();
                        BOOST_TEST(r.end() == "", what);
                        BOOST_TEST(r.w.traps() == 0u, what);
                        BOOST_TEST(r.w.checks.highest_acked == 2u, what);
                    }
}

BOOST_AUTO_TEST_CASE(each_step_of_committing_hit) {
    for (const char* k : kKeepers)
        for (int nth = 0; nth < 2; ++nth)
            for (bool after : {false, true})
                for (const char* how : {"alone", "all", "wipe", "cut"})
                    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
                        Run r(seed);
                        r.push_at(5 * kSecond, "k1", 1, "a");
                        r.w.at(7 * kSecond, [&] { r.w.fault_at(k, nth, after, how); });
                        r.push_at(7 * kSecond, "k1", 5, "b");
                        r.mend_at(11 * kSecond);
                        r.push_at(16 * kSecond, "k2", 4, "old");
                        r.push_at(17 * kSecond, "k3", 5, "another");
                        r.push_at(18 * kSecond, "k2", 6, "c");
                        r.w.run_until(27 * kSecond);
                        const std::string what = std::string(k) + " write " + std::to_string(nth) +
                                                 (after ? " after " : " before ") + how + " seed " +
                                                 std::to_string(seed) + ": " + r.end();
                        BOOST_TEST(r.end() == "", what);
                        BOOST_TEST(r.w.traps() == 0u, what);
                        BOOST_TEST(r.w.checks.highest_acked == 6u, what);
                    }
}

// A split as the keepers find each other: the side that does not see all seeds founds nothing.
BOOST_AUTO_TEST_CASE(a_split_first_start_founds_one) {
    for (pith::Micros from = 0; from < 3 * kSecond; from += 250 * kMilli)
        for (int side = 1; side < 8; ++side) {
            Run r(static_cast<std::uint64_t>(side));
            auto set = [&r, side](bool on) {
                for (int i = 0; i < 3; ++i)
                    for (int j = 0; j < 3; ++j) {
                        if (((side >> i) & 1) == 0 || ((side >> j) & 1) != 0) continue;
                        for (const char* a : {"k", "p"})
                            for (const char* b : {"k", "p"}) {
                                const std::string x = a + std::to_string(i + 1),
                                                  y = b + std::to_string(j + 1);
                                r.w.cut(x, y, on);
                                r.w.cut(y, x, on);
                            }
                    }
            };
            r.w.at(from, [set] { set(true); });
            r.w.at(from + 6 * kSecond, [set] { set(false); });
            r.push_at(16 * kSecond, "k1", 1, "a");
            r.push_at(17 * kSecond, "k2", 1, "a");
            r.push_at(18 * kSecond, "k3", 1, "a");
            r.w.run_until(24 * kSecond);
            const std::string what =
                "side " + std::to_string(side) + " from " + std::to_string(from) + ": " + r.end();
            BOOST_TEST(r.end() == "", what);
            BOOST_TEST(r.w.checks.highest_acked == 1u, what);
        }
}

// Keepers cut off from each other see the same seeds, which name the one to the other.
BOOST_AUTO_TEST_CASE(keepers_that_do_not_hear_each_other_found_nothing_twice) {
    Run r(3);
    for (const char* a : kKeepers)
        for (const char* b : kKeepers) r.w.cut(a, b, true);
    r.w.run_until(20 * kSecond);
    BOOST_TEST(r.w.checks.electorate().empty());
    r.mend_at(20 * kSecond);
    r.push_at(28 * kSecond, "k2", 1, "a");
    r.w.run_until(34 * kSecond);
    BOOST_TEST(r.end() == "");
    BOOST_TEST(r.w.checks.electorate().size() == 3u);
}

// A control node that comes later has a copy and no vote while all voters are well. It takes the place of one
// that is lost, and an emptied one takes up a place under its new disk.
BOOST_AUTO_TEST_CASE(a_spare_keeps_a_copy_and_votes_in_the_place_of_a_lost_one) {
    Run r(1, small(1));
    const auto votes = [&r](const std::string& name) {
        return consensus::is_voter(r.w.newest().voters, name, r.w.disk(name).disk);
    };
    r.push_at(5 * kSecond, "k1", 1, "a");
    r.w.at(6 * kSecond, [&] { r.w.restart("k4"); });
    r.push_at(9 * kSecond, "k4", 2, "b");
    r.w.run_until(10 * kSecond);
    BOOST_TEST(r.w.answers().at(2) == "ok 2");
    BOOST_TEST(!votes("k4"));
    BOOST_TEST(r.w.disk("k4").accepted.round == 0u);  // it never accepted anything as a voter
    BOOST_REQUIRE(r.w.control("k4") != nullptr);
    BOOST_TEST(r.w.control("k4")->control().decided().number == 2u);
    BOOST_TEST(r.w.control("k4")->control().text() != nullptr);
    const std::string emptied = r.w.disk("k2").disk;
    r.w.kill("k2");
    r.w.empty_disk("k2");
    r.push_at(10500 * kMilli, "k1", 3, "c");
    r.w.run_until(14 * kSecond);
    BOOST_TEST(r.w.answers().at(3) == "ok 3");
    BOOST_TEST(votes("k4"));
    BOOST_TEST(!consensus::is_voter(r.w.newest().voters, "k2", emptied));
    BOOST_TEST(r.w.newest().voters.size() == 3u);
    r.w.restart("k2");
    r.w.run_until(18 * kSecond);
    BOOST_TEST(!votes("k2"));
    BOOST_REQUIRE(r.w.control("k2") != nullptr);
    BOOST_TEST(r.w.control("k2")->control().decided().number == 3u);
    // One that is lost after that: the emptied one takes its place, under its new disk.
    r.w.kill("k1");
    r.push_at(18500 * kMilli, "k3", 4, "d");
    r.w.run_until(22 * kSecond);
    BOOST_TEST(r.w.answers().at(4) == "ok 4");
    BOOST_TEST(votes("k2"));
    BOOST_TEST(!votes("k1"));
    // One voter alone is no majority, and neither is it with a node that has no vote.
    r.w.kill("k2");
    r.w.kill("k4");
    r.w.restart("k1");
    r.push_at(22500 * kMilli, "k3", 5, "e");
    r.push_at(22500 * kMilli, "k1", 5, "e");
    r.w.run_until(28 * kSecond);
    BOOST_TEST(r.w.answers().at(5) == "outcome_unknown");
    BOOST_TEST(r.w.answers().at(6) == "outcome_unknown");
    r.mend_at(28 * kSecond);
    r.push_at(33 * kSecond, "k2", 5, "e");
    r.w.run_until(38 * kSecond);
    BOOST_TEST(r.w.answers().at(7) == "ok 5");
    BOOST_TEST(r.end() == "");
}

// Two contents of one number: one stands, and the other is refused for ever. Numbers overtaken while under
// way end acknowledged.
BOOST_AUTO_TEST_CASE(races_of_numbers_have_one_winner_each) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Run r(seed);
        r.push_at(5 * kSecond, "k1", 1, "a");
        r.push_at(7 * kSecond, "k1", 5, "b");
        r.push_at(7 * kSecond + static_cast<pith::Micros>(seed) * kMilli, "k2", 5, "c");
        r.push_at(9 * kSecond, "k3", 9, "d");
        r.push_at(9 * kSecond + static_cast<pith::Micros>(seed) * 2 * kMilli, "k2", 8, "e");
        r.push_at(12 * kSecond, "k3", 5, "b");
        r.push_at(12 * kSecond, "k3", 5, "c");
        r.w.run_until(16 * kSecond);
        BOOST_TEST(r.end() == "");
        const auto answers = r.w.answers();
        BOOST_REQUIRE(answers.size() == 7u);
        // 409: taken in a race, or long decided.
        const auto conflict = [&answers](std::uint64_t i) {
            return answers.at(i) == "bundle_taken" || answers.at(i) == "bundle_old";
        };
        const auto well = [&answers](std::uint64_t i) { return answers.at(i).substr(0, 2) == "ok"; };
        for (std::uint64_t i : {1, 4, 5})
            BOOST_TEST(well(i), "seed " << seed << " push " << i << " " << answers.at(i));
        BOOST_TEST(well(2) != well(3), "seed " << seed);
        BOOST_TEST(conflict(well(2) ? 3 : 2), "seed " << seed);
        BOOST_TEST(well(6) == well(2), "seed " << seed);
        BOOST_TEST(well(7) == well(3), "seed " << seed);
        BOOST_TEST(conflict(well(2) ? 7 : 6), "seed " << seed);
    }
}

// The checker is proved by disks that forget what was proposed and founded.
BOOST_AUTO_TEST_CASE(disks_that_forget_the_founding_are_caught) {
    loom::Breaks b;
    b.forget_founding = true;
    bool caught = false;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Run r(seed, small(), b);
        r.w.at(6 * kSecond, [&r] {
            for (const char* role : {"proxy", "keeper"})
                for (const auto& n : r.w.names(role)) r.w.kill(n);
        });
        r.w.at(7 * kSecond, [&r] {
            for (const auto& n : r.w.names("proxy")) r.w.restart(n);
            r.w.restart("k2");
        });
        r.mend_at(20 * kSecond);
        r.w.run_until(30 * kSecond);
        caught = caught || r.broken("two_electorates");
    }
    BOOST_TEST(caught);
}
