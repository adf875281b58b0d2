#pragma once
// Which peers this proxy hears by itself, and which of them say that they do not hear it
// (docs/design.md 6.5). Words passed on by others do not count here: see CountsRelay.
#include <map>
#include <string>
#include <vector>

#include "knell/knell.hpp"
#include "pith/time.hpp"

namespace span {

class PeerSight {
  public:
    // How long a word of a proxy, or of a control node, keeps it in sight.
    void windows(pith::Micros proxy, pith::Micros control_node);
    // A word came straight from a peer. `misses_us`: it says that it does not hear this proxy. Words that are
    // older than the newest one (by life and sequence) change nothing.
    void heard(pith::Micros now, const std::string& peer, std::uint64_t life, std::uint64_t sequence,
               bool misses_us);
    bool heard_within(const std::string& peer, pith::Micros now, pith::Micros window) const;
    // Both ways: it is heard, and does not say that it fails to hear this proxy.
    bool in_sight(const knell::Member& member, pith::Micros now) const;
    // Live proxies that were not heard within `window`.
    std::vector<std::string> missed(const knell::Knell& members, pith::Micros now, pith::Micros window) const;
    // Live proxies that were heard within `window` and do hear this proxy.
    std::vector<std::string> in_reach(const knell::Knell& members, pith::Micros now,
                                      pith::Micros window) const;
    pith::Micros window() const { return proxy_window_; }

  private:
    struct Peer {
        std::uint64_t life = 0, sequence = 0;
        pith::Micros heard = -pith::kNever;
        pith::Micros missed_us = -pith::kNever;  // when it last said so
    };
    std::map<std::string, Peer> peers_;
    pith::Micros proxy_window_ = 0, control_window_ = 0;
};

}  // namespace span
