// show, diff: the bundle that stands, and what another one would change.
#include <cstdint>
#include <iostream>
#include <map>

#include "bundle_file.hpp"
#include "helm/helm.hpp"
#include "output.hpp"
#include "session.hpp"

namespace helm {

namespace {

constexpr std::size_t kShownDigest = 12;  // characters

// The highest number that any keeper tells.
pith::Result<std::string> standing_bundle(Session* session) {
    std::string newest;
    std::uint64_t highest = 0;
    for (const auto& answer : session->ask(session->of_role("keeper"), "GET", "/v1/bundle")) {
        if (!answer.ok()) continue;
        const auto bundle = creed::read_told(answer.answer->body());
        if (!bundle || bundle->number <= highest) continue;
        highest = bundle->number;
        newest = answer.answer->body();
    }
    if (newest.empty())
        return pith::fail(pith::Kind::not_found, "no keeper tells of a bundle: push one with `helm push`");
    return newest;
}

using Entries = std::map<std::string, std::string>;  // what a bundle names -> its content in words

std::string route_in_words(const creed::Route& route) {
    std::string words = route.path + " -> " + route.service + (route.write ? " write" : " read") + " " +
                        std::to_string(route.timeout / pith::kMilli) + " ms";
    for (const auto& method : route.methods) words += " " + method;
    return words;
}

Entries entries_of(const creed::Bundle& bundle) {
    Entries entries;
    for (const auto& service : bundle.services) entries["service " + service.name] = "";
    for (const auto& route : bundle.routes) entries["route " + route.name] = route_in_words(route);
    for (const auto& customer : bundle.customers) {
        std::string words = formatted("%g/s", customer.second.allowance);
        for (const auto& route : customer.second.routes) words += " " + route;
        entries["customer " + customer.first] = words;
    }
    for (const auto& key : bundle.keys) entries["key " + key.first.substr(0, kShownDigest)] = key.second;
    return entries;
}

void print_changes(const Entries& before, const Entries& after) {
    for (const auto& entry : before)
        if (after.count(entry.first) == 0) std::cout << "- " << entry.first << " " << entry.second << "\n";
    for (const auto& entry : after) {
        const auto old = before.find(entry.first);
        if (old == before.end())
            std::cout << "+ " << entry.first << " " << entry.second << "\n";
        else if (old->second != entry.second)
            std::cout << "~ " << entry.first << " " << old->second << "  =>  " << entry.second << "\n";
    }
}

}  // namespace

int run_show(const Arguments&) {
    auto session = Session::open();
    if (!session) return print_error(session.error());
    auto text = standing_bundle(&*session);
    if (!text) return print_error(text.error());
    while (!text->empty() && text->back() == '\n') text->pop_back();
    return write_output(*text, false);
}

int run_diff(const Arguments& arguments) {
    const auto text = read_bundle_file(arguments);
    if (!text) return print_error(text.error());
    const auto given = parse_bundle(*text);
    if (!given) return print_error(given.error());
    auto session = Session::open();
    if (!session) return print_error(session.error());
    const auto standing_text = standing_bundle(&*session);
    if (!standing_text) return print_error(standing_text.error());
    const auto standing = parse_bundle(*standing_text);
    if (!standing) return print_error(standing.error());
    std::cout << "number " << standing->number << " -> " << given->number
              << (given->number <= standing->number ? "  (would be refused: take a higher number)" : "")
              << "\n";
    print_changes(entries_of(*standing), entries_of(*given));
    return kSuccess;
}

}  // namespace helm
