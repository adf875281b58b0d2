#pragma once
// What fails, as the brief lists it, each a scenario drawn from a seed (docs/proof.md).
#include <string>
#include <vector>

#include "loom/world.hpp"

namespace loom {

struct Result {
    std::string scenario, deployment, cast;
    std::uint64_t seed = 0;
    Checks::Sums sums;
    std::map<std::string, std::vector<std::string>> faults;
    std::map<std::string, std::uint64_t> refusals, wrongful;
    std::map<std::string, double> worst_by;
    std::uint64_t counts = 0, count_bytes = 0;  // frames of counts between proxies
    Micros latest_to_leaving = 0;  // a send to a server that the platform's listing showed as leaving, at the latest
    std::uint64_t dropped = 0;  // datagrams, by links that were full
    Micros longest_wait = 0;    // of anything at a link
    std::uint64_t frames = 0, probes = 0, sessions = 0, listings = 0, acked = 0;
    std::string line() const;  // one line; the same seed gives the same line
};

std::vector<std::string> scenarios();
Result run(const std::string& scenario, const std::string& deployment, std::uint64_t seed,
           const tide::Tuning& t = tide::Tuning{}, const span::CoreTuning& ct = span::CoreTuning{},
           const Breaks& b = Breaks{}, Micros question_takes = 0);

}  // namespace loom
