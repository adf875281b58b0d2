#pragma once
/// Widths of the simulated machines' links: what is sent waits its turn, and datagrams that find the queue
/// full are lost (docs/design.md 9.3).
///
/// A machine has one link, with a direction out and one in, each a queue that is served in order at a
/// constant rate. Streams wait as long as it takes; a datagram is dropped where the bytes before it exceed
/// the queue. Times are microseconds.
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "pith/time.hpp"

namespace loom {

struct LinkWidth {
    double bytes_per_s = 0;           ///< 0: no limit
    std::size_t queue_bytes = 65536;  ///< before a datagram that is still taken
};

enum class Carriage { datagram, stream };

class LinkWidths {
  public:
    void set(const std::string& machine, const LinkWidth& width) { widths_[machine] = width; }
    bool limited() const { return !widths_.empty(); }
    /// When the last byte has left `machine`; none: it was dropped.
    std::optional<pith::Micros> leaves(pith::Micros now, const std::string& machine, std::size_t bytes,
                                       Carriage how);
    /// When the last byte has come in at `machine`; none: it was dropped.
    std::optional<pith::Micros> arrives(pith::Micros now, const std::string& machine, std::size_t bytes,
                                        Carriage how);

    /// When something last waited for over half a second at that machine's link; kNever below zero: never.
    pith::Micros choked_at(const std::string& machine) const;

    std::uint64_t dropped() const { return dropped_; }
    pith::Micros longest_wait() const { return longest_wait_; }

  private:
    std::optional<pith::Micros> pass(pith::Micros now, pith::Micros* free_at, const std::string& machine,
                                     std::size_t bytes, Carriage how);

    std::map<std::string, LinkWidth> widths_;
    std::map<std::string, pith::Micros> out_free_at_, in_free_at_, choked_at_;
    std::uint64_t dropped_ = 0;
    pith::Micros longest_wait_ = 0;
};

}  // namespace loom
