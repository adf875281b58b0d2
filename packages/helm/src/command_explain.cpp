// explain: what became of a try, by the proxies that remember it.
#include "commands.hpp"
#include "helm/helm.hpp"
#include "json_fields.hpp"
#include "output.hpp"
#include "session.hpp"

namespace helm {

namespace {

std::string in_words(const boost::json::object& visit) {
    const auto field = [&visit](const char* key) { return text_field(visit, key); };
    std::string words = field("node") + ": customer " + field("customer") + ", route " + field("route") +
                        ", bundle " + field("bundle") + ": " + field("end") + " (" + field("status") +
                        "), ran " + field("ran") + ", waited " + field("queued_us") + " us";
    if (!field("server").empty())
        words += ", server " + field("server") + " " + field("instance") + ", sent " + field("sends") +
                 "x in " + field("took_us") + " us";
    return words;
}

}  // namespace

int run_explain(const Arguments& arguments) {
    if (arguments.empty()) return print_error({pith::Kind::settings_wrong, "explain needs a try id"});
    auto session = Session::open();
    if (!session) return print_error(session.error());
    const auto answers = session->ask(session->of_role("proxy"), "GET", "/v1/explain?try=" + arguments[0]);
    Report report("found");
    for (const auto& answer : answers) {
        for (const auto& visit : objects_in(answer.body(), "found")) {
            report.add_item(visit);
            report.add_line(in_words(visit));
        }
    }
    const int code = report.print(answers);
    if (code == kSuccess && report.empty())
        return print_error({pith::Kind::not_found, "no proxy remembers that try: each keeps its last 4096"});
    return code;
}

}  // namespace helm
