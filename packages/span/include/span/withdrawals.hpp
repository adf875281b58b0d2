#pragma once
/// Servers that were lately found to leave or to be gone, by server_hash: told with each digest until every
/// node must have heard of them, and kept out of use while the listing that shows it is not there yet
/// (docs/design.md 7.2).
#include <cstdint>
#include <map>
#include <vector>

#include "pith/time.hpp"
#include "span/listing_changes.hpp"

namespace span {

class Withdrawals {
  public:
    /// `label`: of the listing, or a later one, that shows it.
    void note(pith::Micros now, std::uint64_t server, const ListingLabel& label);
    /// The listing of this label shows it as serving, as the platform answered a question that began at
    /// `asked_at`. That counts where the question began after the withdrawal was heard of: then a listing
    /// before was cut short. True where it had been noted and is no more.
    bool returned(std::uint64_t server, const ListingLabel& label, pith::Micros asked_at);
    bool noted_after(pith::Micros moment, std::uint64_t server) const;
    bool empty() const { return servers_.empty(); }
    void forget_old(pith::Micros now);
    /// Those to be told: noted here within kTold.
    std::vector<std::uint64_t> recent(pith::Micros now) const;
    /// Those that are known here, whatever listings show.
    std::vector<std::uint64_t> all() const;

  private:
    static constexpr pith::Micros kTold = 3 * pith::kSecond;
    static constexpr pith::Micros kKept = 20 * pith::kSecond;
    struct Noted {
        pith::Micros at = 0;
        ListingLabel label;
    };
    std::map<std::uint64_t, Noted> servers_;
};

}  // namespace span
