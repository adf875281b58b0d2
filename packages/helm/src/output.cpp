#include "output.hpp"

#include <sys/stat.h>

#include <cstdio>
#include <fstream>
#include <iostream>

#include "flags.hpp"
#include "helm/helm.hpp"

namespace helm {

namespace json = boost::json;
using pith::Kind;

namespace {
constexpr mode_t kOwnerOnly = 077, kOwnerWrites = 022;
constexpr std::size_t kMaxNumberText = 64;
}  // namespace

int print_error(const pith::Error& error) {
    if (FLAGS_json)
        std::cout << json::serialize(
                         json::object{{"kind", pith::kind_text(error.kind)}, {"message", error.message}})
                  << "\n";
    else
        std::cerr << "helm: " << error.message << "\n";
    if (error.kind == Kind::settings_wrong) return kUsage;
    if (error.kind == Kind::unreachable) return kUnreachable;
    if (error.kind == Kind::outcome_unknown) return kOutcomeUnknown;
    return kRefused;
}

int write_output(const std::string& text, bool secret) {
    if (FLAGS_out.empty()) {
        std::cout << text << "\n";
        return kSuccess;
    }
    const mode_t mask_before = ::umask(secret ? kOwnerOnly : kOwnerWrites);
    std::ofstream file(FLAGS_out, std::ios::binary | std::ios::trunc);
    ::umask(mask_before);
    file << text << "\n";
    file.close();
    if (file) return kSuccess;
    return print_error(
        {Kind::settings_wrong, "can't write " + FLAGS_out + ": give a path that can be written"});
}

std::string padded(std::string text, std::size_t width) {
    if (text.size() < width) text.append(width - text.size(), ' ');
    return text + "  ";
}

std::string formatted(const char* format, double value) {
    char text[kMaxNumberText];
    std::snprintf(text, sizeof text, format, value);
    return text;
}

std::string Table::header() const {
    std::vector<std::string> titles;
    for (const auto& column : columns_) titles.emplace_back(column.title);
    return row(titles);
}

std::string Table::row(const std::vector<std::string>& cells) const {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i)
        line += i + 1 < cells.size() ? padded(cells[i], columns_[i].width) : cells[i];
    return line;
}

int Report::print(const std::vector<NodeAnswer>& answers) const {
    if (!FLAGS_json)
        for (const auto& line : lines_) std::cout << line << "\n";
    json::array partial;
    const int code = print_missing(answers, &partial);
    if (!FLAGS_json) return code;
    json::object all{{key_, items_}};
    for (const auto& field : fields_) all[field.key()] = field.value();
    all["partial"] = std::move(partial);
    std::cout << json::serialize(all) << "\n";
    return code;
}

int print_missing(const std::vector<NodeAnswer>& answers, json::array* partial) {
    int code = kSuccess;
    for (const auto& answer : answers) {
        if (answer.ok()) continue;
        const Node& node = answer.node;
        const std::string why = answer.failure();
        if (!FLAGS_json)
            std::cerr << "helm: partial: " << node.name << " (" << node.state << "): " << why << "\n";
        partial->push_back(json::object{{"name", node.name}, {"state", node.state}, {"why", why}});
        code = kPartial;
    }
    return code;
}

}  // namespace helm
