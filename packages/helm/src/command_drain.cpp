// drain, undrain: no more visits for a server, or no more callers for a proxy, and the contrary.
#include <algorithm>
#include <iostream>

#include "commands.hpp"
#include "helm/helm.hpp"
#include "json_fields.hpp"
#include "output.hpp"
#include "pith/settings.hpp"
#include "session.hpp"

namespace helm {

using pith::Kind;

namespace {

pith::Error refusal(const NodeAnswer& answer) {
    if (!answer.answer) return answer.answer.error();
    return {Kind::forbidden, text_field(answer.body(), "message")};
}

int mark_proxy(Session* session, const std::string& name, const std::string& mark) {
    const auto proxies = session->of_role("proxy");
    const auto proxy =
        std::find_if(proxies.begin(), proxies.end(), [&name](const Node& node) { return node.name == name; });
    if (proxy == proxies.end())
        return print_error({Kind::not_found, "no proxy is named " + name +
                                                 ", nor is it a server's IP:PORT: see `helm status`"});
    const auto answer = session->ask_one(*proxy, "POST", "/v1/node?mark=" + mark);
    if (!answer.ok()) return print_error(refusal(answer));
    std::cout << "marked " << mark << ": " << name << "\n";
    return kSuccess;
}

// Any one keeper tells the others, and the proxies.
int mark_server(Session* session, const std::string& address, const std::string& mark) {
    pith::Error last{Kind::unreachable, "no keeper is known: check --nodes"};
    for (const auto& keeper : session->of_role("keeper")) {
        const auto answer = session->ask_one(keeper, "POST", "/v1/mark?server=" + address + "&mark=" + mark);
        if (answer.ok()) {
            std::cout << "marked " << mark << ": " << address << " by " << keeper.name << "\n";
            return kSuccess;
        }
        last = refusal(answer);
    }
    return print_error(last);
}

int set_mark(const Arguments& arguments, const std::string& mark) {
    if (arguments.empty())
        return print_error(
            {Kind::settings_wrong,
             mark + " needs a server's IP:PORT or a proxy's name: see `helm servers`, `helm status`"});
    auto session = Session::open();
    if (!session) return print_error(session.error());
    const std::string& target = arguments[0];
    return pith::address_ok(target) ? mark_server(&*session, target, mark)
                                    : mark_proxy(&*session, target, mark);
}

}  // namespace

int run_drain(const Arguments& arguments) { return set_mark(arguments, "drain"); }

int run_undrain(const Arguments& arguments) { return set_mark(arguments, "serve"); }

}  // namespace helm
