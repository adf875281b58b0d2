#define BOOST_TEST_MODULE span_harm
#include <boost/test/unit_test.hpp>

#include "pith/hash.hpp"
#include "span/listing.hpp"
#include "span/plan.hpp"

// Seeded harm to what comes from outside: refused with a reason, or read whole; never the end of a process.

using namespace span;

namespace {

std::string harm(pith::Rng& r, std::string s) {
    static const std::string odd("\0\"{}[],:\\/*%?&=\x7f\xff\n\r 0e-9", 24);
    for (auto k = 1 + r.below(4); k > 0 && !s.empty(); --k) {
        const auto at = r.below(s.size());
        switch (r.below(4)) {
            case 0:
                s[at] = odd[r.below(odd.size())];
                break;
            case 1:
                s.erase(at, 1 + r.below(9));
                break;
            case 2:
                s.insert(at, 1 + r.below(9), odd[r.below(odd.size())]);
                break;
            default:
                s.insert(at, s.substr(r.below(s.size()), r.below(40)));
        }
    }
    return s;
}

const char kBundle[] =
    R"({"number":4,"note":"n","services":[{"name":"bids"}],)"
    R"("routes":[{"name":"lodge","path":"/bids/*","methods":["POST"],"service":"bids","kind":"write","timeout_ms":2000}],)"
    R"("customers":[{"name":"large","allowance_per_s":120,"routes":["lodge"]}],)"
    R"("keys":[{"digest":"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef","customer":"large"}]})";

}  // namespace

BOOST_AUTO_TEST_CASE(bundles) {
    pith::Rng r(11);
    int well = 0;
    for (int i = 0; i < 5000; ++i) {
        auto b = creed::read_bundle(harm(r, kBundle));
        if (b) {
            ++well;
            continue;
        }
        BOOST_TEST(!b.error().message.empty());
    }
    BOOST_TEST(well < 2500);
    BOOST_TEST(creed::read_bundle(kBundle).has_value());
}

BOOST_AUTO_TEST_CASE(listings) {
    const std::string whole =
        R"({"servers":[{"address":"10.0.0.9:80","service":"bids","instance":"i-7","locality":"a","state":"serving"},)"
        R"({"address":"10.0.0.8:80","service":"bids","instance":"i-8","locality":"b","state":"leaving"}]})";
    std::vector<weft::ServerRec> v;
    std::string next;
    BOOST_TEST(read_listing(whole, &v, &next));
    BOOST_TEST(v.size() == 2u);
    pith::Rng r(12);
    int well = 0;
    for (int i = 0; i < 5000; ++i) {
        v.clear();
        if (!read_listing(harm(r, whole), &v, &next)) continue;
        ++well;
        for (const auto& s : v)
            BOOST_REQUIRE(!s.service.empty() && !s.instance.empty() && !s.address.empty());
    }
    BOOST_TEST(well < 4000);
}

BOOST_AUTO_TEST_CASE(a_listing_with_slots_warmth_versions_and_pages) {
    std::vector<weft::ServerRec> v;
    std::string next = "old";
    const auto page = [](const std::string& more, const std::string& after) {
        return R"({"servers":[{"address":"10.0.0.9:80","service":"bids","instance":"i-7")" + more + "}]" +
               after + "}";
    };
    BOOST_REQUIRE(read_listing(page("", ""), &v, &next));
    BOOST_TEST(next.empty());
    BOOST_TEST(v[0].slots == 2u);
    BOOST_TEST(v[0].cold_us == 0u);
    v.clear();
    BOOST_REQUIRE(
        read_listing(page(R"(,"slots":4,"cold_ms":2500,"version":"v3")", R"(,"next":"p2")"), &v, &next));
    BOOST_TEST(next == "p2");
    BOOST_TEST(v[0].slots == 4u);
    BOOST_TEST(v[0].cold_us == 2500000u);
    BOOST_TEST(v[0].version == "v3");
    BOOST_TEST(read_listing(page("", R"(,"next":null)"), &v, &next));
    BOOST_TEST(next.empty());
    for (const char* bad : {R"(,"slots":0)", R"(,"slots":-1)", R"(,"slots":"2")", R"(,"slots":1.5)",
                            R"(,"cold_ms":-1)", R"(,"slots":100000)"})
        BOOST_TEST(!read_listing(page(bad, ""), &v, &next), bad);
    BOOST_TEST(!read_listing(page("", R"(,"next":7)"), &v, &next));
}

// Names go into the fields of requests and tell services apart: none holds what can't be seen.
BOOST_AUTO_TEST_CASE(names_in_a_listing_hold_visible_signs_only) {
    const auto page = [](const std::string& service, const std::string& instance) {
        return R"({"servers":[{"address":"10.0.0.9:80","service":")" + service + R"(","instance":")" +
               instance + R"("}]})";
    };
    std::vector<weft::ServerRec> v;
    std::string next;
    BOOST_TEST(read_listing(page("bids desk", "i-7"), &v, &next));
    BOOST_TEST(v[0].service == "bids desk");
    for (const char* bad : {"", R"(bids\u0000x)", R"(bids\r\nX: y)", R"(bids\t)", R"(\u007f)"}) {
        BOOST_TEST(!read_listing(page(bad, "i-7"), &v, &next), bad);
        BOOST_TEST(!read_listing(page("bids", bad), &v, &next), bad);
    }
    BOOST_TEST(!read_listing(page("bids", "i 7"), &v, &next));
}

BOOST_AUTO_TEST_CASE(heads) {
    auto b = creed::read_bundle(kBundle);
    BOOST_REQUIRE(b.has_value());
    const creed::Policy p(std::move(*b));
    pith::Rng r(13);
    for (int i = 0; i < 5000; ++i) {
        const Head h{harm(r, "POST"),  harm(r, "/bids/7?x=1"), harm(r, "key-large"),
                     harm(r, "t-123"), harm(r, "2500"),        harm(r, "2")};
        auto pl = plan(h, &p, 1000);
        if (!pl) {
            BOOST_TEST(!pl.error().message.empty());
            continue;
        }
        BOOST_TEST(pl->deadline > 1000);
        BOOST_TEST(pl->deadline <= 1000 + kMaxDeadline);
        BOOST_TEST(pl->customer == "large");
    }
}
