#pragma once
// The worst 5 s of a customer as this node saw the fleet: its own releases and what partners told
// (docs/design.md 8.3). An operator's measure, read by nothing that decides.
#include <array>
#include <cstddef>

#include "pith/time.hpp"

namespace tide {

class Worst {
  public:
    static constexpr pith::Micros kEvery = 250 * pith::kMilli;
    // `total` counts up; to be called each kEvery, and what was missed is passed over.
    void note(pith::Micros now, double total);
    double most() const;  // within the last ten minutes
    double last() const { return last_; }

  private:
    static constexpr std::size_t kBack = 20;   // 5 s
    static constexpr std::size_t kSlots = 10;  // minutes
    std::array<double, kBack> ring_{};
    std::array<double, kSlots> worst_{};
    std::size_t at_ = 0, slot_ = 0, n_ = 0;
    pith::Micros slot_from_ = -1;
    double last_ = 0;
};

}  // namespace tide
