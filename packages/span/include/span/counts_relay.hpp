#pragma once
// Counts of a peer that this proxy does not hear itself, had through others that do (docs/design.md 6.5,
// "Heard through others"). Hearing is not transitive: of two nodes that a cut parts, most of the fleet may go
// on hearing both.
//
// Asking side: names the peers that are missed to a few that are heard, again and again while they are
// missed. Passing side: sends each word of a named peer on, until the asking has stopped for `hold`.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pith/time.hpp"
#include "weft/messages.hpp"

namespace span {

class CountsRelay {
  public:
    struct Tuning {
        pith::Micros every = 250 * pith::kMilli;  // between two asks
        pith::Micros hold = pith::kSecond;        // an ask counts so long
        std::size_t helpers = 2;                  // asked at once, by turns
        std::size_t most_named = 8;               // in one ask: what is passed on must not fill links
        std::size_t most_listeners = 64;          // of one peer's words
    };
    explicit CountsRelay(const Tuning& tuning) : tuning_(tuning) {}

    // Whom to ask for what, if it is time: addresses are looked up by the caller.
    struct Ask {
        std::vector<std::string> helpers;
        weft::RelayAsk message;
    };
    Ask ask(pith::Micros now, const std::vector<std::string>& missed,
            const std::vector<std::string>& in_reach);
    // Somebody misses these peers.
    void asked(pith::Micros now, const std::string& by, const std::vector<std::string>& peers);
    // Who is to be sent what `peer` just said.
    std::vector<std::string> listeners(pith::Micros now, const std::string& peer);

  private:
    Tuning tuning_;
    pith::Micros next_ = 0;
    std::size_t turn_ = 0, first_ = 0;
    std::map<std::string, std::map<std::string, pith::Micros>> until_;  // by peer and listener
};

}  // namespace span
