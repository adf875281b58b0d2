#include "span/withdrawals.hpp"

namespace span {

void Withdrawals::note(pith::Micros now, std::uint64_t server, const ListingLabel& label) {
    const auto added = servers_.emplace(server, Noted{now, label});
    if (!added.second && added.first->second.label < label) added.first->second.label = label;
}

bool Withdrawals::returned(std::uint64_t server, const ListingLabel& label, pith::Micros asked_at) {
    const auto found = servers_.find(server);
    if (found == servers_.end() || label < found->second.label || asked_at < found->second.at) return false;
    servers_.erase(found);
    return true;
}

bool Withdrawals::noted_after(pith::Micros moment, std::uint64_t server) const {
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.at > moment;
}

void Withdrawals::forget_old(pith::Micros now) {
    for (auto i = servers_.begin(); i != servers_.end();)
        i = now - i->second.at > kKept ? servers_.erase(i) : std::next(i);
}

std::vector<std::uint64_t> Withdrawals::recent(pith::Micros now) const {
    std::vector<std::uint64_t> servers;
    for (const auto& server : servers_)
        if (now - server.second.at <= kTold) servers.push_back(server.first);
    return servers;
}

std::vector<std::uint64_t> Withdrawals::all() const {
    std::vector<std::uint64_t> servers;
    servers.reserve(servers_.size());
    for (const auto& server : servers_) servers.push_back(server.first);
    return servers;
}

}  // namespace span
