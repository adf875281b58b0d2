#define BOOST_TEST_MODULE mime_soak
#include "mime/soak.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

// Seeded runs of a whole fleet of real processes under troubles that overlap, judged by what callers and
// servers saw (docs/proof.md, "Soak"). `mime soak` runs as many seeds, and as large a fleet, as one likes.

using namespace mime;
using pith::kMilli;

namespace {

SoakVerdict run(std::uint64_t seed) {
    char folder[] = "/tmp/ms-soak-XXXXXX";
    SoakPlan plan;
    plan.fleet.program = MS_PROGRAM;
    plan.fleet.mime = MS_MIME;
    plan.fleet.folder = ::mkdtemp(folder);
    plan.seconds = 18;
    plan.fleet.memory_mb = 96;
    plan.seed = seed;
    const auto verdict = soak(plan);
    BOOST_REQUIRE_MESSAGE(verdict.has_value(), pith::why(verdict));
    if (verdict->broken.empty() && std::system(("rm -rf " + plan.fleet.folder).c_str()) != 0)
        BOOST_TEST_MESSAGE("not removed: " << plan.fleet.folder);
    return *verdict;
}

// An account in which one request is as it should not be.
struct Account {
    SoakLedger ledger;
    SoakVerdict judge() { return ledger.judge(); }
    bool breaks(SoakRule rule) { return judge().broken.count(rule) != 0; }
};

// Moments are given, so that no test waits for a bound to pass.
void judges_leaving_servers() {
    constexpr pith::Micros kShown = 100 * pith::kSecond, kBound = 2 * pith::kSecond;
    for (const pith::Micros after : {kBound, kBound + 1}) {
        Account account;
        account.ledger.shown_leaving("i1", kShown);
        account.ledger.sent("a", "p1", false, kShown);
        account.ledger.arrived("a", "i1", kMilli, kShown + after);
        BOOST_TEST(account.breaks(SoakRule::drain) == (after > kBound));
        BOOST_TEST(account.judge().latest_to_leaving == after);
        account.ledger.troubled("p1", kShown + pith::kSecond);  // not in touch
        BOOST_TEST(!account.breaks(SoakRule::drain));
        BOOST_TEST(account.judge().not_judged == 1u);
    }
}

// An answer with a server's name that names its try, and has the status that the server gave or another.
void judges_statuses() {
    for (const int seen : {425, 0, 200}) {
        Account account;
        account.ledger.sent("a", "p1", true);
        account.ledger.gave_status("a", account.ledger.arrived("a", "i1", kMilli), 425);
        account.ledger.answered("a", {seen, "a", "i1", false});
        BOOST_TEST(account.breaks(SoakRule::mixed) == (seen != 425));
    }
}

// Four reads whose callers leave at once. `sent_late`: how long after that they reach a server; `works_for`:
// how long it then works on.
bool gone_is_broken(pith::Micros sent_late, pith::Micros works_for, bool in_touch = true) {
    constexpr pith::Micros kLeft = 100 * pith::kSecond;
    Account account;
    for (const char* name : {"a", "b", "c", "d"}) {
        account.ledger.sent(name, "p1", false, kLeft);
        account.ledger.left(name, "reset", kLeft);
        const auto arrival = account.ledger.arrived(name, "i1", pith::kSecond, kLeft + sent_late);
        account.ledger.worked(name, arrival, WorkEnd::broken_off, kLeft + sent_late + works_for);
    }
    if (!in_touch) account.ledger.troubled("p1", kLeft);
    return account.breaks(SoakRule::gone);
}

void judges_leaving_callers() {
    constexpr pith::Micros kBound = 500 * kMilli;
    BOOST_TEST(!gone_is_broken(0, kBound));
    BOOST_TEST(gone_is_broken(0, kBound + 1));
    BOOST_TEST(!gone_is_broken(kBound, 0));
    BOOST_TEST(gone_is_broken(kBound + 1, 0));
    BOOST_TEST(!gone_is_broken(kBound + 1, 0, false));
}

}  // namespace

BOOST_AUTO_TEST_CASE(each_rule_is_seen_to_be_broken) {
    Account mixed;
    mixed.ledger.sent("a", "p1", false);
    mixed.ledger.answered("a", {200, "b", "", false});
    BOOST_TEST(mixed.breaks(SoakRule::mixed));

    judges_statuses();

    Account twice;
    twice.ledger.sent("a", "p1", true);
    twice.ledger.arrived("a", "i1", kMilli);
    BOOST_TEST(!twice.breaks(SoakRule::twice));
    twice.ledger.arrived("a", "i2", kMilli);
    BOOST_TEST(twice.breaks(SoakRule::twice));

    Account refused;
    refused.ledger.sent("a", "p1", true);
    refused.ledger.arrived("a", "i1", kMilli);
    refused.ledger.answered("a", {503, "", "", true});
    BOOST_TEST(refused.breaks(SoakRule::refused));

    Account lost;
    lost.ledger.sent("a", "p1", false);
    lost.ledger.arrived("a", "i1", kMilli);
    lost.ledger.ended("a", CallerEnd::cut);
    BOOST_TEST(lost.breaks(SoakRule::lost));

    judges_leaving_servers();
    judges_leaving_callers();

    Account failed;
    failed.ledger.failed("p1 ended by itself");
    BOOST_TEST(failed.breaks(SoakRule::fault));

    Account killed;  // a node that was killed promises nothing
    killed.ledger.troubled("p1");
    killed.ledger.sent("a", "p1", false);
    killed.ledger.arrived("a", "i1", kMilli);
    killed.ledger.ended("a", CallerEnd::cut);
    BOOST_TEST(!killed.breaks(SoakRule::lost));
    BOOST_TEST(killed.judge().not_judged == 1u);
}

BOOST_AUTO_TEST_CASE(no_rule_is_broken_under_troubles_that_overlap) {
    std::uint64_t requests = 0;
    for (const std::uint64_t seed : {1u, 2u, 3u}) {
        const auto verdict = run(seed);
        BOOST_TEST_MESSAGE("seed=" << seed << " " << verdict.line());
        BOOST_TEST(verdict.broken.empty(), "seed=" << seed << " " << verdict.line());
        requests += verdict.requests;
    }
    BOOST_TEST(requests > 100u);
}
