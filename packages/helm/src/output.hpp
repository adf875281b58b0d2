#pragma once
// What commands print: tables and lines for people, or one JSON object with --json.
#include <boost/json.hpp>
#include <string>
#include <vector>

#include "helm/fleet.hpp"
#include "pith/error.hpp"

namespace helm {

// Prints why a command failed; gives its exit code.
int print_error(const pith::Error& error);
// Writes to --out, or prints. `secret`: the file is for its owner only.
int write_output(const std::string& text, bool secret);
std::string padded(std::string text, std::size_t width);
// The decimal text of a number: "%g", "%.1f" and the like.
std::string formatted(const char* format, double value);

// Columns of fixed width, two blanks between; the last one is as wide as its text.
class Table {
  public:
    struct Column {
        const char* title;
        std::size_t width = 0;
    };
    explicit Table(std::vector<Column> columns) : columns_(std::move(columns)) {}
    std::string header() const;
    std::string row(const std::vector<std::string>& cells) const;

  private:
    std::vector<Column> columns_;
};

// What a command found in the fleet's answers.
class Report {
  public:
    // `key`: of the items in the JSON object.
    explicit Report(const char* key) : key_(key) {}
    void add_line(std::string line) { lines_.push_back(std::move(line)); }
    void add_item(boost::json::value item) { items_.push_back(std::move(item)); }
    void add_field(const char* key, boost::json::value value) { fields_[key] = std::move(value); }
    bool empty() const { return items_.empty(); }
    // Prints all, and names the nodes that did not answer: the exit code tells whether there are any.
    int print(const std::vector<NodeAnswer>& answers) const;

  private:
    const char* key_;
    std::vector<std::string> lines_;
    boost::json::array items_;
    boost::json::object fields_;
};

// Names the nodes that did not answer, in `partial` too; kPartial where there are any.
int print_missing(const std::vector<NodeAnswer>& answers, boost::json::array* partial);

}  // namespace helm
