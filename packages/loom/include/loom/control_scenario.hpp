#pragma once
// The control side on its worst days, each day drawn from a seed (docs/proof.md, "Control side").
#include <map>
#include <string>
#include <vector>

#include "loom/world.hpp"

namespace loom {

struct ControlResult {
    std::string scenario;
    std::uint64_t seed = 0;
    std::map<std::string, std::vector<std::string>> faults;
    std::map<std::string, double> figures;  // by name, with its unit
    std::string line() const;               // the same seed gives the same line
};

std::vector<std::string> control_scenarios();
ControlResult run_control(const std::string& scenario, std::uint64_t seed, const Breaks& breaks = Breaks{});

}  // namespace loom
