#pragma once
// Requests at the servers of one service, by the daemons' own pool and errands, apart from allowances and
// bundles: how long they take, and what is turned away (docs/design.md 7.3). One seed, one result.
#include <cstdint>
#include <string>

#include "span/pool.hpp"

namespace loom {

struct Yard {
    int nodes = 15, servers = 12;
    double load = 0.65;                     // of all slots, at the servers' own speeds
    pith::Micros work = 60 * pith::kMilli;  // mean; deviation 30 %, one in a hundred takes five times
    pith::Micros aim = 200 * pith::kMilli;  // an answer within it has its full worth
    pith::Micros deadline = pith::kSecond;
    pith::Micros cadence = 100 * pith::kMilli;  // between a node's counts
    pith::Micros warm = 5 * pith::kSecond, run = 40 * pith::kSecond;
    double even = 0.3;                           // how even the clients are over nodes: 1 for all alike
    double speed_least = 0.7, speed_most = 1.6;  // a server's time, of `work`
    double writes = 0.3;
    int slow = 0, grey = 0, cold = 0;  // servers four times slower; failing 30 %; twice as slow
    pith::Micros cold_for = 15 * pith::kSecond;
};

struct Figures {
    std::uint64_t offered = 0, well = 0, in_aim = 0, failed = 0, refused = 0, sheds = 0, resends = 0,
                  afar = 0,
                  told = 0;  // afar: sends to another zone; told: bytes of load in counts, to one peer each
    double retry_over = 0;   // resends over a fifth of the requests in the worst 10 s
    pith::Micros mean = 0, p50 = 0, p99 = 0;
    std::string line() const;
};

Figures figures(const Yard& y, const span::PoolTuning& t, std::uint64_t seed);

}  // namespace loom
