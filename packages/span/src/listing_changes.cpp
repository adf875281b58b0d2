#include "span/listing_changes.hpp"

#include <algorithm>
#include <set>
#include <tuple>

#include "pith/hash.hpp"
#include "span/pool.hpp"

namespace span {

namespace {

constexpr std::size_t kMostChanges = 16;

ListingLabel base_of(const weft::ListingChange& change) {
    return {change.base_epoch, change.base_holder, change.base_version};
}

ListingLabel label_of(const weft::ListingChange& change) {
    return {change.epoch, change.holder, change.version};
}

bool by_address(const weft::ServerRec& a, const weft::ServerRec& b) {
    return std::tie(a.address, a.instance) < std::tie(b.address, b.instance);
}

}  // namespace

bool ListingLabel::operator<(const ListingLabel& other) const {
    return std::tie(epoch, holder, version) < std::tie(other.epoch, other.holder, other.version);
}

bool ListingLabel::operator==(const ListingLabel& other) const {
    return std::tie(epoch, holder, version) == std::tie(other.epoch, other.holder, other.version);
}

ListingLabel label_of(const weft::Listing& listing) {
    return {listing.epoch, listing.holder, listing.version};
}

std::uint64_t server_hash(const std::string& address, const std::string& instance) {
    return pith::hash64(address + ' ' + instance);
}

void sort_servers(std::vector<weft::ServerRec>* servers) {
    std::stable_sort(servers->begin(), servers->end(), by_address);
}

bool same_server(const weft::ServerRec& a, const weft::ServerRec& b) {
    return a.address == b.address && a.service == b.service && a.instance == b.instance &&
           a.state == b.state && a.locality == b.locality && a.slots == b.slots && a.version == b.version;
}

weft::ListingChange difference(const weft::Listing& from, const weft::Listing& to) {
    weft::ListingChange change;
    change.base_epoch = from.epoch;
    change.base_holder = from.holder;
    change.base_version = from.version;
    change.epoch = to.epoch;
    change.holder = to.holder;
    change.version = to.version;
    std::set<std::string> kept;
    for (const auto& server : to.servers) {
        kept.insert(server.address);
        const auto old = std::lower_bound(from.servers.begin(), from.servers.end(), server, by_address);
        if (old == from.servers.end() || !same_server(*old, server)) change.changed.push_back(server);
    }
    for (const auto& server : from.servers)
        if (kept.count(server.address) == 0) change.removed.push_back(server.address);
    return change;
}

bool apply(const weft::ListingChange& change, weft::Listing* listing) {
    if (!(base_of(change) == label_of(*listing))) return false;
    std::set<std::string> replaced(change.removed.begin(), change.removed.end());
    for (const auto& server : change.changed) replaced.insert(server.address);
    auto& servers = listing->servers;
    servers.erase(std::remove_if(servers.begin(), servers.end(),
                                 [&replaced](const weft::ServerRec& server) {
                                     return replaced.count(server.address) != 0;
                                 }),
                  servers.end());
    servers.insert(servers.end(), change.changed.begin(), change.changed.end());
    sort_servers(&servers);
    listing->epoch = change.epoch;
    listing->holder = change.holder;
    listing->version = change.version;
    return true;
}

std::vector<weft::ServerRec> withdrawn_servers(const weft::Listing& from, const weft::Listing& to) {
    std::set<std::pair<std::string, std::string>> serving;
    for (const auto& server : to.servers)
        if (server.state == kServing) serving.insert({server.address, server.instance});
    std::vector<weft::ServerRec> withdrawn;
    for (const auto& server : from.servers)
        if (server.state == kServing && serving.count({server.address, server.instance}) == 0)
            withdrawn.push_back(server);
    return withdrawn;
}

void ListingHistory::add(const weft::ListingChange& change) {
    if (!changes_.empty() && !(label_of(changes_.back()) == base_of(change))) changes_.clear();
    changes_.push_back(change);
    if (changes_.size() > kMostChanges) changes_.pop_front();
}

std::vector<weft::ListingChange> ListingHistory::since(const ListingLabel& base) const {
    const auto first = std::find_if(changes_.begin(), changes_.end(),
                                    [&base](const auto& change) { return base_of(change) == base; });
    return {first, changes_.end()};
}

}  // namespace span
