#define BOOST_TEST_MODULE tide_tally
// What partners told, and the totals that are kept of it (docs/design.md 6.4).
#include "tide/tally.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

#include "pith/hash.hpp"

using pith::kMilli;
using tide::Tally;

namespace {
constexpr int kPartners = 9, kCustomers = 5;
std::string partner(std::uint64_t i) { return "p" + std::to_string(i); }
std::string customer(std::uint64_t i) { return "c" + std::to_string(i); }

Tally::Share summed(const Tally& tally, const std::string& name) {
    Tally::Share sum;
    for (int i = 0; i < kPartners; ++i) {
        const auto one = tally.of(partner(static_cast<std::uint64_t>(i)), name);
        sum.passed += one.passed;
        sum.rate += one.rate;
        sum.queued += one.queued;
    }
    return sum;
}
}  // namespace

BOOST_AUTO_TEST_CASE(totals_are_the_sum_of_all_partners_whatever_comes_late_twice_or_leaves) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        pith::Rng random(seed);
        Tally tally{Tally::Times{}};
        pith::Micros now = 0;
        for (int step = 0; step < 300; ++step) {
            now += static_cast<pith::Micros>(random.below(400)) * kMilli;
            const auto who = partner(random.below(kPartners));
            const auto what = random.below(10);
            if (what == 0) {
                tally.forget(who);
            } else if (what < 3) {
                tally.tick(now, {{customer(random.below(kCustomers)), 7.5}});
            } else {
                weft::Counts counts;
                counts.seq = random.below(50);
                for (std::uint64_t i = random.below(4); i > 0; --i)
                    counts.counts.push_back({customer(random.below(kCustomers)), random.below(1000),
                                             random.below(90000),
                                             static_cast<std::uint32_t>(random.below(30))});
                tally.hear(now, who, 1 + random.below(3), counts);
            }
            for (std::uint64_t i = 0; i < kCustomers; ++i) {
                const auto all = tally.of_all(customer(i)), sum = summed(tally, customer(i));
                BOOST_TEST(all.passed == sum.passed, boost::test_tools::tolerance(1e-9));
                BOOST_TEST(all.rate == sum.rate, boost::test_tools::tolerance(1e-9));
                BOOST_TEST(all.queued == sum.queued);
            }
        }
    }
}
