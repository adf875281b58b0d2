#include "span/farewell.hpp"

#include <algorithm>

namespace span {

using pith::kMilli;
using pith::Micros;

namespace {
// The platform looks each second; a caller connected meanwhile is served.
constexpr Micros kNoticeIn = 2200 * kMilli;
constexpr Micros kForAnswers = 700 * kMilli;  // before the grace ends
constexpr Micros kForLeaving = 400 * kMilli;
constexpr Micros kLastWords = 150 * kMilli;  // for answers and frames on their way out
}  // namespace

Farewell::Farewell(Micros grace)
    : notice_(std::min(kNoticeIn, grace / 2)),
      patience_(grace - std::min(kForAnswers, grace / 6)),
      stay_(grace - std::min(kForLeaving, grace / 8)),
      last_words_(std::min(kLastWords, grace / 16)) {}

Farewell::Act Farewell::tick(Micros now, std::size_t in_flight) {
    if (!begun()) return none;
    const Micros t = now - began_;
    if (done_ == none && t >= notice_) return done_ = close_doors;
    if (done_ == close_doors && in_flight > 0 && t >= patience_) return done_ = give_up;
    if ((done_ == close_doors || done_ == give_up) && (in_flight == 0 || t >= stay_)) {
        left_ = now;
        return done_ = leave;
    }
    if (done_ == leave && now - left_ >= last_words_) return done_ = end;
    return none;
}

}  // namespace span
