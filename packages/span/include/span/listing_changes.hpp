#pragma once
/// Listings of servers told by what differs (docs/design.md 7.2).
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "weft/messages.hpp"

namespace span {

/// Orders listings: by the duty's epoch, then who asked the platform, then its count. Epoch 0: none.
struct ListingLabel {
    std::uint64_t epoch = 0;
    std::string holder;
    std::uint64_t version = 0;
    bool operator<(const ListingLabel& other) const;
    bool operator==(const ListingLabel& other) const;
};
ListingLabel label_of(const weft::Listing& listing);

/// One life of a server, as digests name it.
std::uint64_t server_hash(const std::string& address, const std::string& instance);

/// The order in which listings are held and compared: by address and instance.
void sort_servers(std::vector<weft::ServerRec>* servers);
/// Alike in all but `cold_us`, which runs down by itself.
bool same_server(const weft::ServerRec& a, const weft::ServerRec& b);

/// Both listings sorted.
weft::ListingChange difference(const weft::Listing& from, const weft::Listing& to);
/// False, and nothing is changed, where `change` does not begin at that listing.
bool apply(const weft::ListingChange& change, weft::Listing* listing);

/// Servers that served under `from` and do not under `to`.
std::vector<weft::ServerRec> withdrawn_servers(const weft::Listing& from, const weft::Listing& to);

/// The newest changes, by which a listing of a little while ago becomes the newest.
class ListingHistory {
  public:
    void add(const weft::ListingChange& change);
    void clear() { changes_.clear(); }
    /// The changes from `base` to the newest, in order; none where `base` is older than what is kept.
    std::vector<weft::ListingChange> since(const ListingLabel& base) const;

  private:
    std::deque<weft::ListingChange> changes_;
};

}  // namespace span
