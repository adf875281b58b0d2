#pragma once
/// A soak: a whole fleet of real processes, callers that keep their connections, a crowd of clients that
/// don't behave, servers and a schedule of troubles in series and overlapping, drawn from a seed; judged by
/// SoakLedger (docs/proof.md, "Soak").
#include <cstdint>

#include "mime/fleet.hpp"
#include "mime/soak_ledger.hpp"
#include "pith/error.hpp"

namespace mime {

struct SoakPlan {
    FleetPlan fleet;
    int servers = 9, callers = 24;
    double seconds = 20;    ///< of traffic
    double pause_s = 0.8;   ///< mean time between two troubles
    std::size_t crowd = 8;  ///< clients that don't behave, at each proxy
    std::uint64_t seed = 1;
};

/// Runs to its end. An error: the fleet did not come up.
pith::Result<SoakVerdict> soak(const SoakPlan& plan);

}  // namespace mime
