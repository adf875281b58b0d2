// allowance: what the proxies released and turned away, summed up by customer.
#include <algorithm>
#include <map>

#include "commands.hpp"
#include "helm/helm.hpp"
#include "json_fields.hpp"
#include "output.hpp"
#include "session.hpp"

namespace helm {

namespace json = boost::json;

namespace {

// Over all proxies: counts and rates are added up, the others are the highest that one tells.
struct CustomerTotals {
    double allowance = 0;  // a second
    double released = 0, turned_away = 0, queued = 0, rate = 0;
    double assumed = 0, worst_5s = 0, last_5s = 0;

    void add(const json::object& customer) {
        allowance = number_field(customer, "allowance_per_s");
        released += number_field(customer, "released");
        turned_away += number_field(customer, "turned_away");
        queued += number_field(customer, "queued");
        rate += number_field(customer, "rate_per_s");
        assumed = std::max(assumed, number_field(customer, "assumed"));
        worst_5s = std::max(worst_5s, number_field(customer, "worst_5s"));
        last_5s = std::max(last_5s, number_field(customer, "last_5s"));
    }
    // 1: the worst five seconds took all of their allowance.
    double worst_of_allowance() const { return allowance > 0 ? worst_5s / (5 * allowance) : 0; }
    json::object to_json(const std::string& name) const {
        return {{"customer", name},           {"allowance_per_s", allowance},
                {"rate_per_s", rate},         {"released", released},
                {"turned_away", turned_away}, {"queued", queued},
                {"assumed", assumed},         {"last_5s", last_5s},
                {"worst_5s", worst_5s},       {"worst_of_allowance", worst_of_allowance()}};
    }
    std::vector<std::string> cells(const std::string& name) const {
        return {name,
                formatted("%g", allowance),
                formatted("%.1f", rate),
                formatted("%.0f", released),
                formatted("%.0f", turned_away),
                formatted("%.0f", queued),
                formatted("%.1f", assumed),
                formatted("%.0f", last_5s),
                formatted("%.0f", worst_5s) + formatted(" (%.0f%%)", 100 * worst_of_allowance())};
    }
};

}  // namespace

int run_allowance(const Arguments& arguments) {
    auto session = Session::open();
    if (!session) return print_error(session.error());
    const auto answers = session->ask(session->of_role("proxy"), "GET", "/v1/allowances");
    std::map<std::string, CustomerTotals> totals;
    for (const auto& answer : answers) {
        if (!answer.ok()) continue;
        for (const auto& customer : objects_in(answer.body(), "customers")) {
            const std::string name = text_field(customer, "customer");
            if (arguments.empty() || name == arguments[0]) totals[name].add(customer);
        }
    }
    const Table table({{"CUSTOMER", 16},
                       {"ALLOWANCE/S", 11},
                       {"RATE/S", 8},
                       {"RELEASED", 10},
                       {"TURNED_AWAY", 11},
                       {"QUEUED", 6},
                       {"ASSUMED", 7},
                       {"LAST_5S", 7},
                       {"WORST_5S"}});
    Report report("customers");
    report.add_line(table.header());
    for (const auto& entry : totals) {
        report.add_item(entry.second.to_json(entry.first));
        report.add_line(table.row(entry.second.cells(entry.first)));
    }
    const int code = report.print(answers);
    if (code == kSuccess && !arguments.empty() && report.empty())
        return print_error({pith::Kind::not_found, "no customer of that name: see `helm allowance`"});
    return code;
}

}  // namespace helm
