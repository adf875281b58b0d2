#include "span/peer_sight.hpp"

namespace span {

using pith::Micros;

void PeerSight::windows(Micros proxy, Micros control_node) {
    proxy_window_ = proxy;
    control_window_ = control_node;
}

void PeerSight::heard(Micros now, const std::string& peer, std::uint64_t life, std::uint64_t sequence,
                      bool misses_us) {
    Peer& known = peers_[peer];
    if (life < known.life || (life == known.life && sequence <= known.sequence)) return;
    known.life = life;
    known.sequence = sequence;
    known.heard = now;
    known.missed_us = misses_us ? now : -pith::kNever;
}

bool PeerSight::heard_within(const std::string& peer, Micros now, Micros window) const {
    const auto known = peers_.find(peer);
    return known != peers_.end() && now - known->second.heard <= window;
}

bool PeerSight::in_sight(const knell::Member& member, Micros now) const {
    if (member.rec.role != "proxy")
        return member.rec.state <= knell::kDraining && now - member.heard <= control_window_;
    const auto known = peers_.find(member.rec.name);
    return known != peers_.end() && now - known->second.heard <= proxy_window_ &&
           now - known->second.missed_us > proxy_window_;
}

std::vector<std::string> PeerSight::missed(const knell::Knell& members, Micros now, Micros window) const {
    std::vector<std::string> names;
    for (const auto* member : members.live("proxy"))
        if (!heard_within(member->rec.name, now, window)) names.push_back(member->rec.name);
    return names;
}

std::vector<std::string> PeerSight::in_reach(const knell::Knell& members, Micros now, Micros window) const {
    std::vector<std::string> names;
    for (const auto* member : members.live("proxy"))
        if (heard_within(member->rec.name, now, window) && in_sight(*member, now))
            names.push_back(member->rec.name);
    return names;
}

}  // namespace span
