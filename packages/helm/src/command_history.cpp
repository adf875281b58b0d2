// history: what each keeper knows as decided.
#include "commands.hpp"
#include "helm/helm.hpp"
#include "json_fields.hpp"
#include "output.hpp"
#include "session.hpp"

namespace helm {

namespace json = boost::json;

namespace {
constexpr std::size_t kShownHash = 16;  // characters
}  // namespace

int run_history(const Arguments&) {
    auto session = Session::open();
    if (!session) return print_error(session.error());
    const auto answers = session->ask(session->of_role("keeper"), "GET", "/v1/status");
    Report report("keepers");
    for (const auto& answer : answers) {
        if (!answer.ok()) continue;
        const auto status = answer.body();
        const auto* recent = status.if_contains("recent");
        report.add_item(json::object{{"keeper", answer.node.name},
                                     {"standing", number_field(status, "bundle")},
                                     {"hash", string_field(status, "hash")},
                                     {"revision", number_field(status, "revision")},
                                     {"epoch", number_field(status, "epoch")},
                                     {"recent", recent == nullptr ? json::value() : *recent}});
        report.add_line(answer.node.name + " standing " + text_field(status, "bundle") + "  " +
                        string_field(status, "hash").substr(0, kShownHash) + "  revision " +
                        text_field(status, "revision") + " epoch " + text_field(status, "epoch"));
        for (const auto& decided : objects_in(status, "recent"))
            report.add_line("  number " + text_field(decided, "number") + "  " +
                            text_field(decided, "fingerprint"));
    }
    return report.print(answers);
}

}  // namespace helm
