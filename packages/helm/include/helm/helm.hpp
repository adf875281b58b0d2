#pragma once
// The operators' command line over the whole fleet (docs/operators.md, docs/design.md 8.3).
#include <boost/json.hpp>
#include <string>
#include <vector>

namespace helm {

// Documented in docs/operators.md, "Exit codes of helm".
enum ExitCode { kSuccess = 0, kRefused = 1, kUsage = 2, kPartial = 3, kUnreachable = 4, kOutcomeUnknown = 5 };

// Runs one command: its name, its arguments and flags. Gives its exit code.
int run(const std::vector<std::string>& args);
std::string help();

// What is wrong with a node, by its own status, and what to do; empty where nothing is.
std::vector<std::string> advice(const boost::json::object& status, double behind);

}  // namespace helm
