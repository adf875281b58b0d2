#pragma once
/// How late a frame is, without clocks that agree: by how much longer it took than the quickest frame of the
/// same sender's life. The first frame of a life counts as one that was not late. Times are monotonic
/// microseconds of the two sides.
#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "pith/time.hpp"

namespace span {

class FrameDelay {
  public:
    pith::Micros late_by(pith::Micros now, const std::string& sender, std::uint64_t life,
                         std::uint64_t sent_at) {
        const pith::Micros taken = now - static_cast<pith::Micros>(sent_at);
        auto& known = senders_[sender];
        if (known.life != life) known = {life, taken};
        known.least = std::min(known.least, taken);
        return taken - known.least;
    }

  private:
    struct Sender {
        std::uint64_t life = 0;
        pith::Micros least = 0;
    };
    std::map<std::string, Sender> senders_;
};

}  // namespace span
