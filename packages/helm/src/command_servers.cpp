// servers: the servers behind the gateway, as the proxies see them.
#include <map>

#include "commands.hpp"
#include "helm/helm.hpp"
#include "json_fields.hpp"
#include "output.hpp"
#include "session.hpp"

namespace helm {

namespace json = boost::json;

namespace {

void add_to(json::object* total, const char* key, double value) {
    (*total)[key] = static_cast<std::int64_t>(number_field(*total, key) + value);
}

// What one proxy sees is added to what the others do.
void add_view(const json::object& server, json::object* total) {
    constexpr const char* kCounts[] = {"in_flight", "visits", "failures"};
    if (total->empty()) {
        *total = server;
        for (const char* key : {"proxies", "ejected_by"}) (*total)[key] = 0;
        for (const char* key : kCounts) (*total)[key] = 0;
    }
    add_to(total, "proxies", 1);
    add_to(total, "ejected_by", bool_field(server, "ejected") ? 1 : 0);
    for (const char* key : kCounts) add_to(total, key, number_field(server, key));
}

}  // namespace

int run_servers(const Arguments&) {
    auto session = Session::open();
    if (!session) return print_error(session.error());
    const auto answers = session->ask(session->of_role("proxy"), "GET", "/v1/servers");
    std::map<std::string, json::object> totals;  // by service and address
    for (const auto& answer : answers) {
        if (!answer.ok()) continue;
        for (const auto& server : objects_in(answer.body(), "servers"))
            add_view(server, &totals[text_field(server, "service") + " " + text_field(server, "address")]);
    }
    const Table table({{"SERVICE", 12},
                       {"ADDRESS", 21},
                       {"INSTANCE", 14},
                       {"ZONE", 6},
                       {"STATE", 8},
                       {"IN_FLIGHT", 9},
                       {"VISITS", 8},
                       {"FAILURES", 8},
                       {"EJECTED_BY"}});
    Report report("servers");
    report.add_line(table.header());
    for (const auto& entry : totals) {
        const auto& server = entry.second;
        std::vector<std::string> cells;
        for (const char* key :
             {"service", "address", "instance", "locality", "state", "in_flight", "visits", "failures"})
            cells.push_back(text_field(server, key));
        cells.push_back(text_field(server, "ejected_by") + " of " + text_field(server, "proxies"));
        report.add_item(server);
        report.add_line(table.row(cells));
    }
    return report.print(answers);
}

}  // namespace helm
