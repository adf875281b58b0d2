// push: hands a signed bundle to one keeper after the other until one's answer is final.
#include <iostream>

#include "bundle_file.hpp"
#include "flags.hpp"
#include "helm/helm.hpp"
#include "json_fields.hpp"
#include "output.hpp"
#include "session.hpp"

namespace helm {

namespace json = boost::json;
using pith::Kind;

namespace {

// Kinds of refusal after which the bundle may stand nevertheless, or another keeper may take it.
bool may_be_asked_again(const std::string& kind) {
    for (const auto passing : {Kind::outcome_unknown, Kind::no_majority, Kind::disk_failed, Kind::crowded})
        if (kind == pith::kind_text(passing)) return true;
    return false;
}

pith::Error refusal(const NodeAnswer& answer) {
    const std::string& keeper = answer.node.name;
    if (!answer.answer)
        return {Kind::outcome_unknown,
                keeper + " did not answer: the bundle may stand or not: push the same file again"};
    const auto body = answer.body();
    const bool again = may_be_asked_again(text_field(body, "kind"));
    return {again ? Kind::outcome_unknown : Kind::bundle_broken, keeper + ": " + text_field(body, "message")};
}

void print_acknowledged(const NodeAnswer& answer) {
    const auto body = answer.body();
    if (FLAGS_json)
        std::cout << json::serialize(body) << "\n";
    else
        std::cout << "acknowledged: number " << text_field(body, "acknowledged") << " by " << answer.node.name
                  << "; standing: " << text_field(body, "standing") << "\n";
}

}  // namespace

int run_push(const Arguments& arguments) {
    const auto text = read_bundle_file(arguments);
    if (!text) return print_error(text.error());
    auto session = Session::open();
    if (!session) return print_error(session.error());
    pith::Error last{Kind::unreachable, "no keeper is known: check --nodes"};
    for (const auto& keeper : session->of_role("keeper")) {
        const auto answer = session->ask_one(keeper, "POST", "/v1/bundle", *text);
        if (answer.ok()) {
            print_acknowledged(answer);
            return kSuccess;
        }
        last = refusal(answer);
        if (last.kind != Kind::outcome_unknown) break;
    }
    return print_error(last);
}

}  // namespace helm
