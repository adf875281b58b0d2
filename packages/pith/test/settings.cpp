#define BOOST_TEST_MODULE pith_settings
#include "pith/settings.hpp"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

#include "pith/hash.hpp"
#include "pith/log.hpp"

namespace {

struct SecretFile {
    std::string path;
    SecretFile() {
        char t[] = "/tmp/ms-secret-XXXXXX";
        int fd = mkstemp(t);
        if (fd >= 0) close(fd);
        path = t;
        std::ofstream(path) << std::string(64, 'a') << "\n";
    }
    ~SecretFile() { std::remove(path.c_str()); }
};

std::string text(const std::string& extra, const std::string& sec) {
    return R"({"fleet":"demo","name":"p1","locality":"a","weft":"127.0.0.1:7001","visits":"127.0.0.1:8001",)"
           R"("operator_address":"127.0.0.1:9001","platform":"127.0.0.1:9500","seeds":["127.0.0.1:7101"],)"
           R"("keepers":[{"name":"k1","address":"127.0.0.1:7101"}],"secret_file":")" +
           sec + "\"" + extra + "}";
}

}  // namespace

BOOST_AUTO_TEST_CASE(good_settings_and_flags_over_them) {
    SecretFile f;
    auto s = pith::read_settings("proxy", text("", f.path),
                                 {{"locality", "b"}, {"seeds", "10.0.0.1:1,10.0.0.2:2"}});
    BOOST_TEST_REQUIRE(pith::why(s) == "");
    BOOST_TEST(s->locality == "b");
    BOOST_TEST(s->seeds.size() == 2u);
    BOOST_TEST(s->secret.size() == 32u);
}

// Each fault is refused with a message that names the remedy: an approved list.
BOOST_AUTO_TEST_CASE(faults_name_the_remedy) {
    SecretFile f;
    const std::pair<std::string, std::string> c[] = {
        {R"(,"colour":"red")", "settings: \"colour\" is not known: remove it or correct its name"},
        {R"(,"threads":"two")", "settings: \"threads\" must be a whole number"},
        {R"(,"threads":99)", "settings: \"threads\" must be 1 to 16"},
        {R"(,"log_level":"loud")", "settings: \"log_level\" must be debug, info, warn or error"},
        {R"(,"first_start":"yes")", "settings: \"first_start\" must be true or false"},
        {R"(,"old_numbers":"drop")", "settings: \"old_numbers\" must be refuse or acknowledge"},
        {R"(,"signers":["zz"])", "settings: signer \"zz\" is not 64 hex digits: copy it from `helm keygen`"},
    };
    for (const auto& e : c) {
        auto s = pith::read_settings("proxy", text(e.first, f.path), {});
        BOOST_REQUIRE(!s.has_value());
        BOOST_TEST(s.error().message == e.second);
    }
    auto s = pith::read_settings("proxy", text("", f.path), {{"weft", "localhost:7001"}});
    BOOST_REQUIRE(!s.has_value());
    BOOST_TEST(
        s.error().message ==
        "settings: \"weft\" must be an IP number and a port, such as 10.0.0.4:7000: names are not looked up");
}

// Where no keepers are listed they are discovered (docs/design.md 5.7).
BOOST_AUTO_TEST_CASE(no_keepers_need_be_listed) {
    SecretFile f;
    std::string t = text(R"(,"first_start":true,"old_numbers":"acknowledge")", f.path);
    const std::string listed = R"("keepers":[{"name":"k1","address":"127.0.0.1:7101"}],)";
    t.erase(t.find(listed), listed.size());
    auto s = pith::read_settings("proxy", t, {});
    BOOST_TEST_REQUIRE(pith::why(s) == "");
    BOOST_TEST(s->keepers.empty());
    BOOST_TEST(s->first_start);
    BOOST_TEST(s->old_numbers == "acknowledge");
    auto l = pith::read_settings("proxy", text("", f.path), {});
    BOOST_TEST_REQUIRE(pith::why(l) == "");
    BOOST_TEST(!l->first_start);
    BOOST_TEST(l->old_numbers == "refuse");
}

BOOST_AUTO_TEST_CASE(log_lines_keep_one_event_per_line) {
    BOOST_TEST(pith::log_line("seen", {{"a", 1}, {"b", "two words"}, {"c", "x\ny\"z"}}) ==
               "event=seen a=1 b=\"two words\" c=\"x\\x0ay\\\"z\"");
}
