#define BOOST_TEST_MODULE span_aggregation
// Counts through aggregators (docs/design.md 7.8): who aggregates, what the sums hold, and one scale for
// several.
#include "span/aggregation.hpp"

#include <boost/test/unit_test.hpp>

using namespace span;
using pith::kMilli;
using pith::kSecond;

namespace {

const std::string kTenant = "t1";

weft::MemberRec member(const std::string& name, const std::string& address, const std::string& zone,
                       const std::string& role) {
    weft::MemberRec record;
    record.name = name;
    record.address = address;
    record.locality = zone;
    record.role = role;
    record.inc = record.version = 1;
    return record;
}

// A proxy's membership: three machines with a control node and a proxy, one a zone, and two proxies beside.
struct Members {
    knell::Knell knell{config()};
    static knell::Config config() {
        knell::Config c;
        c.name = "me";
        c.address = "10.0.1.9:1";
        c.locality = "a";
        c.role = "proxy";
        return c;
    }
    Members() {
        weft::News news;
        for (const std::string zone : {"a", "b", "c"}) {
            news.members.push_back(member("p-" + zone, "10.0." + zone + ":1", zone, "proxy"));
            news.members.push_back(member("k-" + zone, "10.0." + zone + ":2", zone, "keeper"));
        }
        news.members.push_back(member("q", "10.0.1.8:1", "b", "proxy"));
        tell(news);
    }
    void tell(const weft::News& news) {
        weft::Out out;
        weft::Envelope envelope;
        envelope.from = "p-a";
        envelope.inc = 1;
        envelope.msg = news;
        knell.hear(1, envelope, &out);
    }
};

weft::FleetSums sums(std::uint64_t sequence, std::uint32_t released) {
    weft::FleetSums s;
    s.seq = sequence;
    weft::put_brief(&s.brief, {weft::brief_hash(kTenant), released, 0, 0});
    return s;
}

// What all others are known to have released, after a word; none where it was not taken.
std::uint32_t total_after(SumsReader* reader, const std::string& from, std::uint64_t life,
                          const weft::FleetSums& word) {
    weft::Counts counts;
    if (!reader->hear(from, life, word, &counts)) return UINT32_MAX;
    weft::BriefCount first;
    BOOST_REQUIRE(weft::get_brief(counts.brief, 0, &first));
    return first.released;
}

}  // namespace

BOOST_AUTO_TEST_CASE(proxies_beside_control_nodes_aggregate) {
    Members members;
    Aggregators aggregators;
    aggregators.look(members.knell, false);
    BOOST_TEST(!aggregators.in_use());
    aggregators.look(members.knell, true);
    BOOST_TEST(aggregators.names() == (std::set<std::string>{"p-a", "p-b", "p-c"}),
               boost::test_tools::per_element());
    BOOST_TEST(!aggregators.is_one("me"));
    const auto two = aggregators.of("q", "b");
    BOOST_REQUIRE(two.size() == 2u);
    BOOST_TEST(two[0] == "p-b");  // of its own zone first
    BOOST_TEST(two[1] != "p-b");
}

// A control node that goes takes the proxy beside it out of the aggregators, and its zone has others at once.
BOOST_AUTO_TEST_CASE(a_lost_machine_aggregates_no_more) {
    Members members;
    Aggregators aggregators;
    aggregators.look(members.knell, true);
    weft::News news;
    for (auto record : {member("p-b", "10.0.b:1", "b", "proxy"), member("k-b", "10.0.b:2", "b", "keeper")}) {
        record.version = 2;
        record.state = knell::kLeft;
        news.members.push_back(record);
    }
    members.tell(news);
    aggregators.look(members.knell, true);
    BOOST_TEST(aggregators.names().size() == 2u);
    BOOST_TEST(aggregators.of("q", "b").size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_proxy_is_told_the_sums_of_all_others) {
    tide::Tally tally(tide::Tally::Times{});
    tally.customers({kTenant});
    auto hear = [&tally](const std::string& from, std::uint64_t sequence, std::uint64_t released) {
        weft::Counts counts;
        counts.seq = sequence;
        counts.counts.push_back({kTenant, released, 0, 0});
        tally.hear(sequence * kSecond / 10, from, 1, counts);
    };
    for (const std::string from : {"a", "b"}) hear(from, 1, 0);
    hear("a", 2, 7);
    hear("b", 2, 20);
    tide::Count own;
    own.rec.customer = kTenant;
    own.rec.released = 3;
    const auto word = SumsTeller::word("a", {own}, tally, {}, 1);
    weft::BriefCount told;
    BOOST_REQUIRE(weft::get_brief(word.brief, 0, &told));
    BOOST_TEST(told.released == 23u);  // b's and the aggregator's own
    const auto other = SumsTeller::word("c", {own}, tally, {}, 1);
    BOOST_REQUIRE(weft::get_brief(other.brief, 0, &told));
    BOOST_TEST(told.released == 30u);
}

BOOST_AUTO_TEST_CASE(what_moved_much_is_told_soon_and_the_rest_with_the_keep_alive) {
    tide::Tally tally(tide::Tally::Times{});
    SumsTeller teller(SumsTeller::Tuning{});
    tide::Count customer;
    customer.rec.customer = kTenant;
    customer.rec.released = 100;
    customer.untold = 10;  // what one node may release unheard
    BOOST_TEST(teller.due(kSecond, {customer}, tally));
    customer.rec.released = 101;
    BOOST_TEST(!teller.due(kSecond + 100 * kMilli, {customer}, tally));
    customer.rec.released = 120;
    BOOST_TEST(!teller.due(kSecond + 49 * kMilli, {customer}, tally));
    BOOST_TEST(teller.due(kSecond + 51 * kMilli, {customer}, tally));
    BOOST_TEST(teller.chosen().size() == 1u);
    BOOST_TEST(!teller.due(kSecond + 400 * kMilli, {customer}, tally));
    BOOST_TEST(teller.due(kSecond + 452 * kMilli, {customer}, tally));  // the keep-alive
    BOOST_TEST(teller.chosen().empty());
}

// The aggregator that knows most leads; what another tells later of the same is not charged again.
BOOST_AUTO_TEST_CASE(two_aggregators_are_read_on_one_scale) {
    SumsReader reader;
    BOOST_TEST(total_after(&reader, "x", 1, sums(1, 100)) == 0u);  // where one begins
    BOOST_TEST(total_after(&reader, "x", 1, sums(2, 150)) == 50u);
    BOOST_TEST(total_after(&reader, "y", 1, sums(1, 1000)) == 50u);
    BOOST_TEST(total_after(&reader, "y", 1, sums(2, 1030)) == 80u);
    BOOST_TEST(total_after(&reader, "x", 1, sums(3, 180)) == 80u);
    BOOST_TEST(total_after(&reader, "x", 1, sums(4, 190)) == 90u);
}

BOOST_AUTO_TEST_CASE(late_repeated_and_former_words_change_nothing) {
    SumsReader reader;
    total_after(&reader, "x", 2, sums(5, 100));
    BOOST_TEST(total_after(&reader, "x", 2, sums(7, 130)) == 30u);
    BOOST_TEST(total_after(&reader, "x", 2, sums(7, 160)) == UINT32_MAX);
    BOOST_TEST(total_after(&reader, "x", 2, sums(6, 160)) == UINT32_MAX);
    BOOST_TEST(total_after(&reader, "x", 1, sums(9, 160)) == UINT32_MAX);
    // It starts anew, and counts from its own beginning: nothing is charged twice.
    BOOST_TEST(total_after(&reader, "x", 3, sums(1, 4)) == 30u);
    BOOST_TEST(total_after(&reader, "x", 3, sums(2, 9)) == 35u);
}

BOOST_AUTO_TEST_CASE(sums_pass_the_end_of_their_range) {
    SumsReader reader;
    total_after(&reader, "x", 1, sums(1, UINT32_MAX - 4));
    BOOST_TEST(total_after(&reader, "x", 1, sums(2, 5)) == 10u);
    BOOST_TEST(total_after(&reader, "x", 1, sums(3, 1)) ==
               10u);  // a step back: a partner was forgotten there
    BOOST_TEST(total_after(&reader, "x", 1, sums(4, 3)) == 12u);
}

// A proxy's standing follows from what the best aggregator that it hears has in sight.
BOOST_AUTO_TEST_CASE(the_best_sight_counts_while_it_is_fresh) {
    SumsReader reader;
    auto heard = [&reader](pith::Micros now, const std::string& from, std::uint32_t seen) {
        weft::FleetSums word;
        word.seen = seen;
        word.all = 90;
        reader.heard(now, from, word);
    };
    heard(1 * kSecond, "x", 30);
    heard(2 * kSecond, "y", 80);
    BOOST_TEST(reader.sight(kSecond).seen == 80u);
    heard(4 * kSecond, "x", 30);
    BOOST_TEST(reader.sight(3 * kSecond).seen == 30u);
    BOOST_TEST(reader.sight(5 * kSecond).all == 0u);
}
