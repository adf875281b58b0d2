#include "loom/link_widths.hpp"

#include <algorithm>

namespace loom {

using pith::Micros;

namespace {
constexpr Micros kChoked = 500 * pith::kMilli;
}

Micros LinkWidths::choked_at(const std::string& machine) const {
    const auto found = choked_at_.find(machine);
    return found == choked_at_.end() ? -pith::kNever : found->second;
}

std::optional<Micros> LinkWidths::leaves(Micros now, const std::string& machine, std::size_t bytes,
                                         Carriage how) {
    return pass(now, &out_free_at_[machine], machine, bytes, how);
}

std::optional<Micros> LinkWidths::arrives(Micros now, const std::string& machine, std::size_t bytes,
                                          Carriage how) {
    return pass(now, &in_free_at_[machine], machine, bytes, how);
}

std::optional<Micros> LinkWidths::pass(Micros now, Micros* free_at, const std::string& machine,
                                       std::size_t bytes, Carriage how) {
    const auto found = widths_.find(machine);
    if (found == widths_.end() || found->second.bytes_per_s <= 0) return now;
    const LinkWidth& width = found->second;
    const Micros wait = std::max<Micros>(0, *free_at - now);
    const double before = static_cast<double>(wait) * width.bytes_per_s / 1e6;
    if (how == Carriage::datagram && before > static_cast<double>(width.queue_bytes)) {
        ++dropped_;
        return {};
    }
    longest_wait_ = std::max(longest_wait_, wait);
    if (wait > kChoked) choked_at_[machine] = now;
    const auto sending = static_cast<Micros>(static_cast<double>(bytes) * 1e6 / width.bytes_per_s);
    *free_at = now + wait + sending;
    return *free_at;
}

}  // namespace loom
