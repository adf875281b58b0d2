#pragma once
/// A planned stop, step by step: a state machine that the daemon and loom drive alike (docs/design.md 8.1).
/// Times are monotonic microseconds.
#include <cstddef>

#include "pith/time.hpp"

namespace span {

class Farewell {
  public:
    /// What is to be done next, each told once: no new requests from now on; answers still awaited are given
    /// up and their callers told so; say that we left; end.
    enum Act { none, close_doors, give_up, leave, end };

    /// `grace`: from the signal until the platform ends the process by force.
    explicit Farewell(pith::Micros grace = 6 * pith::kSecond);

    void begin(pith::Micros now) { began_ = now; }
    bool begun() const { return began_ >= 0; }
    bool doors_closed() const { return done_ >= close_doors; }
    Act tick(pith::Micros now, std::size_t in_flight);

  private:
    pith::Micros notice_, patience_, stay_;  // after the signal: doors close; give up; leave at the latest
    pith::Micros last_words_;                // after leaving
    pith::Micros began_ = -1, left_ = 0;
    Act done_ = none;
};

}  // namespace span
