#define BOOST_TEST_MODULE consensus_model
// The control core as a whole under every schedule within bounds, and under random ones beyond
// (docs/control.md, "Proof"). Longer runs by hand: tools/model_main.cpp.
#include <boost/test/unit_test.hpp>
#include <iostream>

#include "model/catalogue.hpp"

using namespace consensus::model;

namespace {

HistoryEvent order(std::uint64_t number, const std::string& hash, std::uint64_t start, std::uint64_t end,
                   EventOutcome outcome = EventOutcome::acknowledged) {
    return HistoryEvent{"operator", EventKind::order, number, hash, start, end, outcome};
}

HistoryEvent read(std::uint64_t number, const std::string& hash, std::uint64_t start, std::uint64_t end) {
    return HistoryEvent{"reader", EventKind::read, number, hash, start, end, EventOutcome::acknowledged};
}

HistoryEvent lost(std::uint64_t number, const std::string& hash, std::uint64_t start) {
    return order(number, hash, start, kNoEnd, EventOutcome::unclear);
}

Scenario scenario_named(const std::string& name) {
    for (const auto& scenario : scenarios())
        if (scenario.name == name) return scenario;
    BOOST_FAIL("no scenario " + name);
    return {};
}

void expect_no_violation(const std::string& name, const SearchBounds& bounds) {
    const Scenario scenario = scenario_named(name);
    Search search(scenario, bounds);
    const auto finding = search.run();
    const auto& s = search.statistics();
    std::cout << name << ": states " << s.states << ", depth " << s.depth << ", paths " << s.paths
              << ", deviations " << bounds.deviations << "\n";
    BOOST_TEST(s.complete);
    if (!finding) return;
    Search::replay(scenario, *finding, bounds.quiet_checks, &std::cout);
    BOOST_ERROR(name << ": " << name_of(finding->violation.invariant) << ": " << finding->violation.text);
}

/// The first violation with a mechanism taken out: by the search of the short scenarios, then by walks.
std::optional<Violation> first_violation(const Fault& fault) {
    for (const char* name : {"sequence", "wipe", "swap"}) {
        Scenario scenario = scenario_named(name);
        fault.apply(&scenario.config);
        SearchBounds bounds;
        if (scenario.name == "swap") bounds.kinds = {Deviation::Kind::hold};
        bounds.most_states = kMutationStates;
        bounds.quiet_checks = false;  // safety alone
        const auto finding = Search(scenario, bounds).run();
        if (finding) {
            std::cout << fault.name << ": caught by the search of " << name << " as "
                      << name_of(finding->violation.invariant) << ": " << finding->violation.text << "\n";
            return finding->violation;
        }
    }
    for (std::uint64_t seed = 1; seed <= kMutationWalks; ++seed) {
        WalkConfig config = walk_config(seed);
        fault.apply(&config.world);
        config.quiet_checks = false;
        const auto violation = Walk(config, seed).run();
        if (violation) {
            std::cout << fault.name << ": caught by walk " << seed << " as " << name_of(violation->invariant)
                      << ": " << violation->text << "\n";
            return violation;
        }
    }
    return {};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(linearizability)

BOOST_AUTO_TEST_CASE(good_histories_pass) {
    BOOST_TEST(check({}) == "");
    BOOST_TEST(check({read(0, "", 1, 2), order(1, "x", 3, 4), read(1, "x", 5, 6)}) == "");
    // Concurrent calls may take effect in any order.
    BOOST_TEST(check({order(1, "x", 1, 10), read(0, "", 2, 3), read(1, "x", 4, 5)}) == "");
    // The same order again, and a lower one that never was decided, change nothing.
    BOOST_TEST(check({order(2, "x", 1, 2), order(2, "x", 3, 4), order(1, "y", 5, 6), read(2, "x", 7, 8)}) ==
               "");
    // Of two contents under one number one is refused.
    BOOST_TEST(check({order(1, "x", 1, 9), order(1, "y", 2, 8, EventOutcome::taken), read(1, "x", 10, 11)}) ==
               "");
    // It stays refused below a higher number.
    BOOST_TEST(check({order(1, "x", 1, 2), order(2, "z", 3, 4), order(1, "y", 5, 6, EventOutcome::taken)}) ==
               "");
    // An unclear order takes effect late, or never.
    BOOST_TEST(check({lost(1, "x", 1), read(0, "", 2, 3), read(1, "x", 4, 5)}) == "");
    BOOST_TEST(check({lost(1, "x", 1), order(1, "y", 2, 3), read(1, "y", 4, 5)}) == "");
    // The number of an order that never took effect is taken by another content.
    BOOST_TEST(check({lost(5, "x", 1), order(5, "y", 2, 3), order(5, "x", 4, 5, EventOutcome::taken)}) == "");
    // Two lower numbers that were never decided.
    BOOST_TEST(check({order(7, "z", 1, 2), order(5, "x", 3, 4), order(5, "y", 5, 6)}) == "");
}

BOOST_AUTO_TEST_CASE(bad_histories_are_named) {
    auto violation = [](const std::vector<HistoryEvent>& history) { return check(history); };
    auto begins = [](const std::string& text, const std::string& with) {
        return text.compare(0, with.size(), with) == 0;
    };
    BOOST_TEST(begins(violation({order(1, "x", 1, 2), read(0, "", 3, 4)}), "a stale read"));
    BOOST_TEST(
        begins(violation({order(1, "x", 1, 9), read(1, "x", 2, 3), read(0, "", 4, 5)}), "a stale read"));
    BOOST_TEST(
        begins(violation({order(1, "x", 1, 2), lost(1, "y", 1), read(1, "x", 3, 4), read(1, "y", 5, 6)}),
               "two contents under one number"));
    BOOST_TEST(begins(violation({order(1, "x", 1, 2), order(1, "y", 3, 4), read(1, "y", 5, 6)}),
                      "acknowledged, but"));
    BOOST_TEST(begins(violation({read(1, "x", 1, 2)}), "a read returned what nobody had ordered"));
    BOOST_TEST(begins(violation({read(1, "x", 1, 2), order(1, "x", 3, 4)}),
                      "a read returned what nobody had ordered"));
    // Both confirmed under one number, though nobody read in between.
    BOOST_TEST(
        begins(violation({order(1, "x", 1, 2), order(1, "y", 3, 4)}), "no order of the calls explains"));
    BOOST_TEST(
        begins(violation({order(1, "x", 1, 8), order(1, "y", 2, 9)}), "no order of the calls explains"));
    BOOST_TEST(begins(violation({order(1, "x", 1, 2), order(2, "z", 3, 4), order(1, "y", 5, 6)}),
                      "no order of the calls explains"));
    // Refused, though nothing else was decided under its number.
    BOOST_TEST(
        begins(violation({order(1, "x", 1, 2, EventOutcome::taken)}), "no order of the calls explains"));
    BOOST_TEST(begins(violation({order(2, "x", 1, 2), order(1, "y", 3, 4, EventOutcome::taken)}),
                      "no order of the calls explains"));
    BOOST_TEST(begins(violation({order(2, "x", 1, 2), order(2, "x", 3, 4, EventOutcome::taken)}),
                      "no order of the calls explains"));
    // Reads that see two unclear orders in opposite order.
    BOOST_TEST(
        !violation({lost(1, "x", 1), lost(2, "y", 1), read(2, "y", 2, 3), read(1, "x", 4, 5)}).empty());
    // Read as 1 after a number above it must have been decided, as 2 was read by an overlapping call that
    // ended first.
    BOOST_TEST(
        !violation({lost(1, "x", 1), lost(2, "y", 1), read(1, "x", 4, 8), read(2, "y", 2, 3)}).empty());
}

BOOST_AUTO_TEST_CASE(old_numbers_may_be_forgotten) {
    const std::vector<HistoryEvent> history{order(1, "x", 1, 2), order(2, "a", 3, 4), order(3, "b", 5, 6),
                                            order(1, "y", 7, 8)};
    BOOST_TEST(check(history) != "");
    BOOST_TEST(check(history, 3) != "");
    BOOST_TEST(check(history, 2) == "");
}

BOOST_AUTO_TEST_CASE(long_histories_are_quick) {
    std::vector<HistoryEvent> history;
    for (std::uint64_t i = 1; i <= 400; ++i) {
        const std::string hash = "h" + std::to_string(i);
        history.push_back(i % 7 == 0 ? lost(i, hash, 10 * i) : order(i, hash, 10 * i, 10 * i + 15));
        history.push_back(order(i, hash, 10 * i + 20, 10 * i + 25));
        history.push_back(read(i, hash, 10 * i + 26, 10 * i + 29));
    }
    BOOST_TEST(check(history) != "");  // a read of i follows an order of i + 1 that has ended
    history.clear();
    for (std::uint64_t i = 1; i <= 400; ++i) {
        const std::string hash = "h" + std::to_string(i);
        history.push_back(i % 7 == 0 ? lost(i, hash, 10 * i) : order(i, hash, 10 * i, 10 * i + 5));
        history.push_back(order(i, hash, 10 * i + 2, 10 * i + 7));
        history.push_back(read(i, hash, 10 * i + 1, 10 * i + 9));
    }
    BOOST_TEST(check(history) == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(exhaustive)

BOOST_AUTO_TEST_CASE(racing_orders) { expect_no_violation("race", SearchBounds{}); }

BOOST_AUTO_TEST_CASE(orders_in_sequence) { expect_no_violation("sequence", SearchBounds{}); }

// Longer scenarios: every place of each of these faults, without the free choice of when a message comes
// after all.
BOOST_AUTO_TEST_CASE(changes_of_membership) {
    using Kind = Deviation::Kind;
    SearchBounds bounds;
    bounds.kinds = {Kind::fail_save, Kind::fail_but_land, Kind::crash,  Kind::crash_and_land,
                    Kind::power_off, Kind::wipe,          Kind::isolate};
    for (const char* name : {"replace", "wipe", "cut", "leave"}) expect_no_violation(name, bounds);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(random_walks) {
    for (std::uint64_t seed = 1; seed <= kWalksInTests; ++seed) {
        const auto violation = Walk(walk_config(seed), seed).run();
        if (violation)
            BOOST_ERROR("walk " << seed << ": " << name_of(violation->invariant) << ": " << violation->text);
    }
}

BOOST_AUTO_TEST_CASE(each_mutation_is_caught) {
    for (const auto& fault : faults()) BOOST_TEST(first_violation(fault).has_value(), fault.name);
}
