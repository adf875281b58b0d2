#pragma once
/// The scenarios that are searched, the mix of the walks, and the mechanisms that are taken out on purpose.
#include <functional>
#include <string>
#include <vector>

#include "search.hpp"
#include "walk.hpp"

namespace consensus::model {

constexpr std::uint64_t kWalksInTests = 500;
constexpr std::uint64_t kMutationWalks = 6000;    // until a mutation is caught
constexpr std::uint64_t kMutationStates = 40000;  // of each scenario

/// A mechanism taken out (docs/control.md, "Mutations").
struct Fault {
    std::string name;
    std::function<void(WorldConfig*)> apply = [](WorldConfig* /*config*/) {};
};

inline std::vector<Fault> faults() {
    return {{"skip_prepare", [](WorldConfig* c) { c->mutations.skip_prepare = true; }},
            {"ignore_accepted", [](WorldConfig* c) { c->mutations.ignore_accepted = true; }},
            {"local_read", [](WorldConfig* c) { c->mutations.local_read = true; }},
            {"no_joint", [](WorldConfig* c) { c->mutations.no_joint = true; }},
            {"ignore_disk_identity", [](WorldConfig* c) { c->mutations.ignore_disk_identity = true; }},
            {"numbers_only", [](WorldConfig* c) { c->mutations.numbers_only = true; }},
            {"lying_disk", [](WorldConfig* c) { c->lying_disks = true; }}};
}

/// Nodes by their place: a, b and c vote, d is a spare.
inline std::vector<Scenario> scenarios() {
    using Kind = Stimulus::Kind;
    constexpr Micros ms = pith::kMilli;
    std::vector<Scenario> all;
    WorldConfig three;
    three.spares = 0;
    WorldConfig spare;
    all.push_back(
        {"race",
         three,
         {{100 * ms, Kind::order, 0, 1, 0}, {100 * ms, Kind::order, 1, 1, 1}, {100 * ms, Kind::read, 2}},
         400 * ms,
         {}});
    all.push_back({"sequence",
                   three,
                   {{100 * ms, Kind::order, 0, 1, 0},
                    {200 * ms, Kind::order, 1, 2, 1},
                    {200 * ms, Kind::order, 2, 1, 0},
                    {300 * ms, Kind::read, 1}},
                   400 * ms,
                   {}});
    all.push_back({"replace",
                   spare,
                   {{100 * ms, Kind::order, 0, 1, 0},
                    {200 * ms, Kind::crash, 2},
                    {900 * ms, Kind::order, 1, 2, 0},
                    {2400 * ms, Kind::order, 0, 3, 0},
                    {2400 * ms, Kind::read, 3}},
                   3500 * ms,
                   {2}});
    all.push_back({"wipe",
                   spare,
                   {{100 * ms, Kind::order, 0, 1, 0},
                    {200 * ms, Kind::wipe, 1},
                    {300 * ms, Kind::order, 2, 2, 0},
                    {1500 * ms, Kind::read, 1}},
                   2000 * ms,
                   {}});
    all.push_back({"cut",
                   spare,
                   {{100 * ms, Kind::order, 0, 1, 0},
                    {150 * ms, Kind::isolate, 0},
                    {160 * ms, Kind::order, 0, 2, 0},
                    {160 * ms, Kind::order, 1, 2, 1},
                    {1200 * ms, Kind::read, 0},
                    {3200 * ms, Kind::heal, 0},
                    {3300 * ms, Kind::read, 0}},
                   3600 * ms,
                   {}});
    // Those that decide that c is replaced are cut off just then, and c is back.
    all.push_back({"swap",
                   spare,
                   {{100 * ms, Kind::order, 0, 1, 0},
                    {200 * ms, Kind::isolate, 2},
                    {2330 * ms, Kind::heal, 2},
                    {2330 * ms, Kind::isolate, 0},
                    {2330 * ms, Kind::isolate, 3},
                    {2400 * ms, Kind::order, 2, 2, 0},
                    {4400 * ms, Kind::heal, 0},
                    {4400 * ms, Kind::heal, 3}},
                   4800 * ms,
                   {}});
    all.push_back({"leave",
                   spare,
                   {{100 * ms, Kind::order, 0, 1, 0},
                    {200 * ms, Kind::leave, 1},
                    {220 * ms, Kind::order, 1, 2, 0},
                    {900 * ms, Kind::crash, 1},
                    {950 * ms, Kind::read, 0}},
                   1500 * ms,
                   {1}});
    return all;
}

inline WalkConfig walk_config(std::uint64_t seed) {
    pith::Rng random(seed ^ 0x5eedULL);
    WalkConfig config;
    config.world.spares = random.below(3);
    if (random.below(4) == 0) {
        config.world.voters = 5;
        config.world.spares = random.below(2);
    }
    config.world.refuse_old = random.below(3) == 0;
    config.trouble = static_cast<unsigned>(5 + random.below(40));
    return config;
}

}  // namespace consensus::model
