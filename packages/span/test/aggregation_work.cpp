#define BOOST_TEST_MODULE span_aggregation_work
// What an aggregator spends on sums, in entries of partners that are read (docs/design.md 7.8).
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "span/aggregation.hpp"
#include "tide/basin.hpp"

using pith::kMilli;
using pith::kSecond;

namespace {

struct Fleet {
    int proxies, customers;
    tide::Tally tally{tide::Tally::Times{}};

    Fleet(int proxies_, int customers_) : proxies(proxies_), customers(customers_) {
        std::vector<std::string> names;
        for (int c = 0; c < customers; ++c) names.push_back(customer(c));
        tally.customers(names);
    }
    static std::string customer(int c) { return "customer" + std::to_string(c); }
    static std::string proxy(int p) { return "proxy" + std::to_string(p); }

    // Every proxy tells that it released `released` requests of each customer.
    void all_tell(pith::Micros now, std::uint64_t sequence, std::uint32_t released) {
        for (int p = 0; p < proxies; ++p) {
            weft::Counts counts;
            counts.seq = sequence;
            for (int c = 0; c < customers; ++c)
                weft::put_brief(&counts.brief, {weft::brief_hash(customer(c)), released, 10, 1});
            tally.hear(now, proxy(p), 1, counts);
        }
    }
    std::vector<tide::Count> own_counts() const {
        std::vector<tide::Count> counts;
        for (int c = 0; c < customers; ++c) counts.push_back({{customer(c), 0, 0, 0}, 1, true});
        return counts;
    }
};

}  // namespace

// An aggregator that reads each partner for each proxy it tells has no time left to ask the platform.
BOOST_AUTO_TEST_CASE(sums_for_all_proxies_do_not_read_every_partner_for_each_of_them) {
    for (const int proxies : {15, 84, 300}) {
        Fleet fleet(proxies, 82);
        fleet.all_tell(1 * kSecond, 1, 0);
        fleet.all_tell(1 * kSecond + 400 * kMilli, 2, 50);
        span::SumsTeller teller{span::SumsTeller::Tuning{}};
        const auto before = fleet.tally.entries_read();
        BOOST_TEST(teller.due(2 * kSecond, fleet.own_counts(), fleet.tally));
        const auto customers = teller.chosen();
        BOOST_TEST(customers.size() == 82u);
        for (int p = 0; p < proxies; ++p)
            span::SumsTeller::word(Fleet::proxy(p), customers, fleet.tally, {}, 1);
        const auto read = fleet.tally.entries_read() - before;
        // A word leaves out what its receiver said itself: one entry a customer and proxy.
        const auto needed = static_cast<std::uint64_t>(proxies) * customers.size();
        BOOST_TEST_MESSAGE(proxies << " proxies: " << read << " entries read, " << needed << " are needed");
        BOOST_TEST(read <= needed);
    }
}
