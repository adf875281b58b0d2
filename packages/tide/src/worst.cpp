#include "tide/worst.hpp"

#include <algorithm>

namespace tide {

void Worst::note(pith::Micros now, double total) {
    if (slot_from_ < 0) slot_from_ = now;
    for (std::size_t i = 0; i < kSlots && now - slot_from_ >= 60 * pith::kSecond; ++i) {
        slot_from_ += 60 * pith::kSecond;
        slot_ = (slot_ + 1) % kSlots;
        worst_[slot_] = 0;
    }
    if (now - slot_from_ >= 60 * pith::kSecond) slot_from_ = now;
    // The first 5 s of a life see partners' older counts come in: they are no window yet.
    last_ = n_ < kBack ? 0 : std::max(0.0, total - ring_[at_]);
    ring_[at_] = total;
    at_ = (at_ + 1) % kBack;
    ++n_;
    worst_[slot_] = std::max(worst_[slot_], last_);
}

double Worst::most() const { return *std::max_element(worst_.begin(), worst_.end()); }

}  // namespace tide
