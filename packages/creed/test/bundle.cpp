#define BOOST_TEST_MODULE creed_bundle
#include "creed/bundle.hpp"

#include <boost/test/unit_test.hpp>

#include "pith/hash.hpp"

namespace {

std::string good() {
    return R"({"number":4,"services":[{"name":"bids"},{"name":"notices"}],)"
           R"("routes":[{"name":"read-notice","path":"/notices/*","methods":["GET","HEAD"],"service":"notices","kind":"read","timeout_ms":800},)"
           R"({"name":"lodge","path":"/bids","methods":["POST"],"service":"bids","kind":"write","timeout_ms":2000},)"
           R"({"name":"any-notice","path":"/notices/**","methods":["GET"],"service":"notices","kind":"read","timeout_ms":800}],)"
           R"("customers":[{"name":"large","allowance_per_s":120,"routes":["read-notice","lodge"]}],)"
           R"("keys":[{"digest":")" +
           creed::key_digest("abc") + R"(","customer":"large"}]})";
}

std::string swapped(const std::string& a, const std::string& b) {
    std::string s = good();
    auto i = s.find(a);
    BOOST_REQUIRE(i != std::string::npos);
    return s.replace(i, a.size(), b);
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_good_bundle_is_read_and_matched) {
    auto b = creed::read_bundle(good());
    BOOST_TEST_REQUIRE(pith::why(b) == "");
    creed::Policy p(*b);
    bool m = false;
    BOOST_TEST(p.match("GET", "/notices/7", &m)->name == "read-notice");
    BOOST_TEST(p.match("GET", "/notices/7/addenda", &m)->name == "any-notice");
    BOOST_TEST((p.match("GET", "/nothing", &m) == nullptr));
    BOOST_TEST(m);
    BOOST_TEST((p.match("DELETE", "/bids", &m) == nullptr));
    BOOST_TEST(!m);
    BOOST_TEST((p.match("GET", "/notices//7", &m) == nullptr));
    BOOST_TEST(p.customer_of("abc")->name == "large");
    BOOST_TEST((p.customer_of("abd") == nullptr));
    BOOST_TEST(!creed::Policy::allowed(*p.customer("large"), *p.match("GET", "/notices/7/addenda", &m)));
}

// An approved list: each broken bundle, the path to its fault, the remedy.
BOOST_AUTO_TEST_CASE(broken_bundles_are_refused_with_the_path) {
    const std::string c[][3] = {
        {"\"number\":4", "\"number\":0", "/number: must be a whole number from 1 to 4611686018427387903"},
        {"\"number\":4", "\"number\":4,\"number\":5", "/number: the field stands there twice: remove one"},
        {"\"number\":4", "\"number\":4,\"colour\":1",
         "/colour: unknown field: remove it or correct its name"},
        {"\"service\":\"bids\"", "\"service\":\"bid\"",
         "/routes/1/service: \"bid\" is not in /services: add it there or correct it"},
        {"\"kind\":\"write\"", "\"kind\":\"read\"",
         "/routes/1/methods: POST on a read route: make its kind \"write\""},
        {"\"routes\":[\"read-notice\"", "\"routes\":[\"read-notices\"",
         "/customers/0/routes: \"read-notices\" is not in /routes: add it there or correct it"},
        {"120", "-1", "/customers/0/allowance_per_s: must be a number from 0.1 to 100000"},
        {"\"customer\":\"large\"", "\"customer\":\"huge\"",
         "/keys/0/customer: \"huge\" is not in /customers: add it there or correct it"},
        {"\"path\":\"/notices/**\"", "\"path\":\"/notices/*\"",
         "/routes/2/path: GET /notices/* is taken by another route: remove one"},
        {"[{\"name\":\"bids\"}", "[{\"name\":\"notices\"}",
         "/services/1/name: \"notices\" is used twice: rename one"},
    };
    for (const auto& e : c) {
        auto b = creed::read_bundle(swapped(e[0], e[1]));
        BOOST_REQUIRE_MESSAGE(!b.has_value(), e[1]);
        BOOST_TEST(b.error().message == e[2]);
    }
    // Every cut of a good bundle is refused, none throws.
    const std::string g = good();
    for (std::size_t i = 0; i < g.size(); ++i) BOOST_TEST(!creed::read_bundle(g.substr(0, i)).has_value());
}

BOOST_AUTO_TEST_CASE(only_a_trusted_signature_counts) {
    pith::crypto_start();
    std::string pk, sk, pk2, sk2;
    creed::keygen(&pk, &sk);
    creed::keygen(&pk2, &sk2);
    auto s = creed::sign(good(), sk);
    BOOST_REQUIRE(s.has_value());
    auto r = creed::read_signed(*s, {pk});
    BOOST_TEST_REQUIRE(pith::why(r) == "");
    BOOST_TEST(r->bundle.number == 4u);
    BOOST_TEST(!creed::read_signed(*s, {pk2}).has_value());
    std::string bad = *s;
    bad.replace(bad.find("\"number\":4"), 10, "\"number\":5");
    BOOST_TEST(!creed::read_signed(bad, {pk}).has_value());
    BOOST_TEST(!creed::read_signed(good(), {pk}).has_value());
}

// The open form, as a platform sends it: unsigned, by host and prefix, with fields that we don't know.
namespace {

std::string open_form() {
    return R"({"number":7,"colour":1,"routes":[)"
           R"({"name":"r-1","host":"jepu9.example","prefix":"/lepu270/","kind":"read","timeout_ms":800,"aim_ms":200,"priority":2,"split":[{"service":"a","weight":90},{"service":"b","weight":10}],"tries":2,"open":false},)"
           R"({"name":"r-2","host":"jepu9.example","prefix":"/lepu270/deep/","kind":"write","timeout_ms":1000.5,"service":"c","split":null,"open":true},)"
           R"({"name":"r-3","host":"hulo84.example","prefix":"/","kind":"read","timeout_ms":800,"service":"c"}],)"
           R"("services":[{"name":"a","health":"/health","most_connections":150,"protocol":"h1"},{"name":"b"},{"name":"c"}],)"
           R"("limits":{"header_bytes":16384,"body_bytes":67108864,"header_ms":3000,"idle_ms":15000},)"
           R"("customers":[{"name":"yefi830","keys":["k1","k2"],"priority":0,"allowance_per_s":148,"burst":148},{"name":"free","keys":["k3"]}]})";
}

std::string reopened(const std::string& a, const std::string& b) {
    std::string s = open_form();
    const auto i = s.find(a);
    BOOST_REQUIRE(i != std::string::npos);
    return s.replace(i, a.size(), b);
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_open_bundle_is_matched_by_host_and_longest_prefix) {
    const std::string t = open_form();
    auto r = creed::read_signed(t, {creed::kUnsigned});
    BOOST_TEST_REQUIRE(pith::why(r) == "");
    BOOST_TEST(r->text == t);  // kept byte for byte
    BOOST_TEST(r->bundle.hash == pith::digest_hex(t));
    auto told = creed::read_told(t);
    BOOST_TEST_REQUIRE(pith::why(told) == "");
    const creed::Policy p(*told);
    bool m = false;
    auto at = [&](const char* host, const char* path) {
        const auto* x = p.match("GET", path, &m, host);
        return x == nullptr ? std::string("none") : x->name;
    };
    BOOST_TEST(at("jepu9.example", "/lepu270/2f") == "r-1");
    BOOST_TEST(at("JEPU9.example:80", "/lepu270/deep/2f") == "r-2");
    BOOST_TEST(at("jepu9.example", "/lepu270/deep") == "r-1");
    BOOST_TEST(at("jepu9.example", "/lepu270") == "none");
    BOOST_TEST(at("jepu9.example", "/") == "none");
    BOOST_TEST(at("hulo84.example", "/any/thing") == "r-3");
    BOOST_TEST(at("other.example", "/any/thing") == "none");
    BOOST_TEST(p.customer_of("k2")->name == "yefi830");
    BOOST_TEST(p.customer_of("k2")->burst == 148);
    BOOST_TEST(p.customer_of("k3")->allowance == 0);
    const auto& b = p.bundle();
    BOOST_TEST(b.limits.body_bytes == 67108864u);
    BOOST_TEST(b.limits.idle_time == 15 * pith::kSecond);
    BOOST_TEST(b.routes[0].aim == 200 * pith::kMilli);
    BOOST_TEST(b.routes[0].tries == 2u);
    BOOST_TEST(b.routes[1].open);
    BOOST_TEST(b.services[0].most_connections == 150u);
}

BOOST_AUTO_TEST_CASE(weights_split_tries_and_a_try_stays_where_it_is) {
    const creed::Policy p(creed::read_bundle(open_form(), true).value());
    const auto& r = p.bundle().routes[0];
    int a = 0;
    for (int i = 0; i < 10000; ++i) {
        const std::string id = "try" + std::to_string(i);
        a += creed::Policy::service_for(r, id) == "a" ? 1 : 0;
        BOOST_TEST_REQUIRE(creed::Policy::service_for(r, id) == creed::Policy::service_for(r, id));
    }
    BOOST_TEST(a > 8800);
    BOOST_TEST(a < 9200);
}

// Each way of being invalid, by name.
BOOST_AUTO_TEST_CASE(invalid_open_bundles_are_refused_whole) {
    const std::string c[][3] = {
        {"\"service\":\"a\"", "\"service\":\"z\"",
         "/routes/0/split/0/service: \"z\" is not in /services: add it there or correct it"},
        {"\"service\":\"c\",\"split\"", "\"service\":\"z\",\"split\"",
         "/routes/1/service: \"z\" is not in /services: add it there or correct it"},
        {"\"weight\":90},{\"service\":\"b\",\"weight\":10}", "\"weight\":0},{\"service\":\"b\",\"weight\":0}",
         "/routes/0/split: the weights add up to 0: give one of them some"},
        {"\"weight\":10", "\"weight\":-10", "/routes/0/split/1/weight: must be a number from 0 to 1000000000"},
        {"\"/lepu270/\"", "\"lepu270/\"", "/routes/0/prefix: must begin with /"},
        {"\"kind\":\"read\"", "\"kind\":\"odd\"", "/routes/0/kind: must be \"read\" or \"write\""},
        {"\"k3\"", "\"k1\"", "/customers/1/keys/0: is used twice: give each customer its own key"},
        {"\"/lepu270/deep/\"", "\"/lepu270/\"",
         "/routes/1/prefix: jepu9.example/lepu270/ is taken by another route: remove one"},
        {"\"timeout_ms\":800,\"aim_ms\"", "\"aim_ms\"", "/routes/0/timeout_ms: missing: add it"},
        {"\"number\":7", "\"number\":7,\"number\":8", "/number: the field stands there twice: remove one"},
    };
    for (const auto& e : c) {
        auto b = creed::read_bundle(reopened(e[0], e[1]), true);
        BOOST_REQUIRE_MESSAGE(!b.has_value(), e[1]);
        BOOST_TEST(b.error().message == e[2]);
    }
    const std::string g = open_form();
    for (std::size_t i = 0; i < g.size(); ++i)
        BOOST_TEST(!creed::read_bundle(g.substr(0, i), true).has_value());
    // Strict reading knows none of it, and an unsigned bundle counts only where that is set.
    BOOST_TEST(!creed::read_bundle(g).has_value());
    BOOST_TEST(!creed::read_signed(g, {}).has_value());
}
