#pragma once
// Times are whole microseconds (docs/design.md 2.3). Only monotonic time decides anything.
#include <chrono>
#include <cstdint>

namespace pith {

using Micros = std::int64_t;
constexpr Micros kMilli = 1000;
constexpr Micros kSecond = 1000 * 1000;
constexpr Micros kNever = INT64_MAX / 4;

inline Micros mono_now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

// For logs and first incarnations only.
inline Micros wall_now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace pith
