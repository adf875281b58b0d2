#define BOOST_TEST_MODULE span_plan
#include "span/plan.hpp"

#include <boost/test/unit_test.hpp>

using namespace span;

namespace {

creed::Policy policy(int number, const std::string& key) {
    const std::string t =
        R"({"number":)" + std::to_string(number) +
        R"(,"services":[{"name":"bids"},{"name":"notices"}],"routes":[{"name":"read","path":"/notices/*","methods":["GET","HEAD"],"service":"notices","kind":"read","timeout_ms":800},{"name":"lodge","path":"/bids","methods":["POST"],"service":"bids","kind":"write","timeout_ms":2000}],"customers":[{"name":"large","allowance_per_s":120,"routes":["read","lodge"]},{"name":"small","allowance_per_s":5,"routes":["read"]}],"keys":[{"digest":")" +
        creed::key_digest(key) + R"(","customer":"large"},{"digest":")" + creed::key_digest("s") +
        R"(","customer":"small"}]})";
    return creed::Policy(creed::read_bundle(t).value());
}

std::string said(const Head& h, const creed::Policy* p) {
    auto r = plan(h, p, 1000);
    if (!r) return pith::kind_text(r.error().kind);
    return r->customer + " " + r->route + " " + r->service + (r->write ? " write" : " read") +
           (r->retry ? " retry" : "") + (r->head_only ? " head" : "") + " by " + std::to_string(r->deadline);
}

}  // namespace

// An approved transcript: what each head is planned to.
BOOST_AUTO_TEST_CASE(heads_and_their_plans) {
    const auto p = policy(3, "abc");
    const std::pair<Head, std::string> c[] = {
        {{"GET", "/notices/7", "abc", "t1", "500", ""}, "large read notices read by 501000"},
        {{"GET", "/notices/7?page=2", "abc", "t1", "500", "1"}, "large read notices read by 501000"},
        {{"HEAD", "/notices/7", "s", "t1", "500", "2"}, "small read notices read retry head by 501000"},
        {{"POST", "/bids", "abc", "t1", "60000", ""}, "large lodge bids write by 60001000"},
        {{"POST", "/bids", "s", "t1", "500", ""}, "not_allowed"},
        {{"POST", "/notices/7", "abc", "t1", "500", ""}, "method_wrong"},
        {{"GET", "/nothing", "abc", "t1", "500", ""}, "no_route"},
        {{"GET", "/notices/7", "abd", "t1", "500", ""}, "key_unknown"},
        {{"GET", "/notices/7", "", "t1", "500", ""}, "key_unknown"},
        {{"GET", "/notices/7", "abc", "", "500", ""}, "bad_visit"},
        {{"GET", "/notices/7", "abc", "t 1", "500", ""}, "bad_visit"},
        {{"GET", "/notices/7", "abc", "t1", "", ""}, "bad_visit"},
        {{"GET", "/notices/7", "abc", "t1", "0", ""}, "bad_visit"},
        {{"GET", "/notices/7", "abc", "t1", "-5", ""}, "bad_visit"},
        {{"GET", "/notices/7", "abc", "t1", "60001", ""}, "bad_visit"},
        {{"GET", "/notices/7", "abc", "t1", "500", "0"}, "bad_visit"},
        {{"GET", "/notices/../bids", "abc", "t1", "500", ""}, "bad_visit"},
        {{"GET", "/notices/%2e%2e", "abc", "t1", "500", ""}, "bad_visit"},
        {{"GET", "http://x/notices/7", "abc", "t1", "500", ""}, "bad_visit"},
    };
    for (const auto& e : c)
        BOOST_TEST(said(e.first, &p) == e.second, e.first.method << " " << e.first.target);
    BOOST_TEST(said(c[0].first, nullptr) == "not_ready");
}

BOOST_AUTO_TEST_CASE(the_newest_policy_decides_at_release) {
    const auto a = policy(3, "abc"), b = policy(4, "abc"), c = policy(5, "other"), d = policy(6, "abc");
    const Head h{"GET", "/notices/7", "abc", "t1", "500", ""};
    const auto old = plan(h, &a, 1000).value();
    BOOST_TEST(plan_again(h, &b, old, 2000).value().bundle == 4u);
    BOOST_TEST(plan_again(h, &b, old, 2000).value().deadline == old.deadline);
    BOOST_TEST((plan_again(h, &c, old, 2000).error().kind == pith::Kind::key_unknown));
    BOOST_TEST((plan_again(h, &d, old, old.deadline).error().kind == pith::Kind::late));
}

BOOST_AUTO_TEST_CASE(a_refusal_tells_all) {
    Refusal r{{pith::Kind::over_allowance, "come back"}, false, "t\"1", {}, 1500};
    BOOST_TEST(refusal_json(r) ==
               "{\"kind\":\"over_allowance\",\"ran\":\"no\",\"message\":\"come "
               "back\",\"try\":\"t\\\"1\",\"retry_after_ms\":2}\n");
}

namespace {

Dialect loose() {
    Dialect d;
    d.strict = false;
    d.expect = "Expect-Instance";
    return d;
}

creed::Policy open_policy(bool customers) {
    const std::string t =
        std::string(R"({"number":7,"routes":[)") +
        R"({"name":"r","host":"h.example","prefix":"/a/","kind":"read","timeout_ms":800,"aim_ms":200,"priority":2,"service":"s","tries":2},)" +
        R"({"name":"w","host":"h.example","prefix":"/b/","kind":"write","timeout_ms":300,"service":"s"},)" +
        R"({"name":"o","host":"h.example","prefix":"/o/","kind":"read","timeout_ms":800,"service":"s","open":true}],)" +
        R"("services":[{"name":"s"}])" +
        (customers ? R"(,"customers":[{"name":"c","keys":["k"],"priority":1,"allowance_per_s":10,"burst":5}]})"
                   : "}");
    return creed::Policy(creed::read_bundle(t, true).value());
}

std::string said_loosely(const Head& h, const creed::Policy& p) {
    auto r = plan(h, &p, 1000, loose());
    if (!r) return pith::kind_text(r.error().kind);
    return (r->customer.empty() ? "nobody" : r->customer) + " " + r->route + " by " + std::to_string(r->deadline) +
           " offer " + std::to_string(r->offer_by) + " rank " + std::to_string(r->priority) + " tries " +
           std::to_string(r->tries);
}

}  // namespace

// Hosts and prefixes, open routes, bundles without customers, heads that leave something out.
BOOST_AUTO_TEST_CASE(heads_of_another_dialect) {
    const auto p = open_policy(true), q = open_policy(false);
    const std::pair<Head, std::string> c[] = {
        {{"GET", "/a/1?x=%20", "k", "t1", "500", "", "h.example"}, "c r by 501000 offer 51000 rank 1002 tries 2"},
        {{"GET", "/a/%2e", "k", "t1", "500.7", "", "H.example:80"}, "c r by 501000 offer 51000 rank 1002 tries 2"},
        {{"GET", "/a/1", "k", "t1", "", "", "h.example"}, "c r by 801000 offer 51000 rank 1002 tries 2"},
        {{"POST", "/b/1", "k", "t1", "500", "", "h.example"}, "c w by 301000 offer 301000 rank 1000 tries 3"},
        {{"GET", "/o/1", "", "t1", "500", "", "h.example"}, "nobody o by 501000 offer 501000 rank 0 tries 3"},
        {{"GET", "/o/1", "unheard-of", "t1", "500", "", "h.example"}, "nobody o by 501000 offer 501000 rank 0 tries 3"},
        {{"GET", "/a/1", "", "t1", "500", "", "h.example"}, "key_unknown"},
        {{"GET", "/a/1", "z", "t1", "500", "", "h.example"}, "key_unknown"},
        {{"GET", "/c/1", "z", "t1", "500", "", "h.example"}, "no_route"},
        {{"GET", "/a/1", "k", "t1", "500", "", "g.example"}, "no_route"},
    };
    for (const auto& e : c) BOOST_TEST(said_loosely(e.first, p) == e.second, e.first.target);
    BOOST_TEST(said_loosely(c[6].first, q) == "nobody r by 501000 offer 51000 rank 2 tries 2");
}
