#define BOOST_TEST_MODULE helm_page
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "pith/settings.hpp"

// Every log event, metric, setting and command of the code stands on the operators' page.

namespace {

std::string text(const std::filesystem::path& p) {
    std::ifstream f(p);
    std::stringstream s;
    s << f.rdbuf();
    return s.str();
}

std::set<std::string> found(const std::string& s, const std::regex& r) {
    std::set<std::string> v;
    for (auto i = std::sregex_iterator(s.begin(), s.end(), r); i != std::sregex_iterator(); ++i)
        v.insert((*i)[1]);
    return v;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_operators_page_is_complete) {
    const std::filesystem::path root = std::filesystem::path(MS_TEST_DIR) / ".." / ".." / "..";
    const std::string page = text(root / "docs" / "operators.md");
    std::string code;
    for (const auto& e : std::filesystem::recursive_directory_iterator(root / "packages")) {
        const std::string p = e.path().string();
        if (e.path().extension() == ".cpp" && p.find("/src/") != std::string::npos &&
            p.find("/mime/") == std::string::npos && p.find("/loom/") == std::string::npos)
            code += text(e.path());
    }
    code += text(root / "app" / "main.cpp");
    auto all = found(code, std::regex(R"re(log_event\([^"]*"([a-z_]+)")re"));
    BOOST_TEST(all.size() > 15u);
    auto more = found(code, std::regex(R"re(m\.add\(\s*"([a-z_0-9]+)")re"));
    BOOST_TEST(more.size() > 25u);
    all.insert(more.begin(), more.end());
    more =
        found(text(root / "packages/helm/src/helm.cpp"), std::regex(R"re(\{"([a-z-]+)", "[A-Z\[\]|-]*",)re"));
    BOOST_TEST(more.size() > 14u);
    all.insert(more.begin(), more.end());
#define X(n, d) all.insert(#n);
    PITH_SETTINGS(X)
#undef X
    for (const char* n : {"threads", "seeds", "keepers", "signers", "first_start"}) all.insert(n);
    for (const auto& w : all)
        BOOST_TEST(page.find("`" + w + "`") != std::string::npos, w << " is not on the page");
}
