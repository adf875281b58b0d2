#pragma once
// The first start: how control nodes found one membership, once, and learn it (docs/control.md, "First
// start"). A state machine over the acceptor's durable document; it touches no disk itself.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "consensus/acceptor.hpp"
#include "consensus/membership.hpp"
#include "knell/knell.hpp"

namespace consensus {

struct FoundingConfig {
    std::string name, address;
    std::vector<std::string> seeds;
    // Where the settings list the control nodes: their names and addresses, ourselves among them. They found
    // together.
    std::map<std::string, std::string> listed;
    bool first_start = false;                   // this node may take part in founding
    pith::Micros settle = 1500 * pith::kMilli;  // the table of control nodes has not changed for so long
    pith::Micros least = 2 * pith::kSecond;     // since we started
    pith::Micros again = 400 * pith::kMilli;
    pith::Micros hold = 30 * pith::kSecond;  // a control node that is down holds up a founding for so long
    bool forget = false;  // mutation: what was agreed to is not written (docs/control.md, "Mutations")
};

// Control nodes that count for a founding: all that membership knows, but those that left, and those that
// have been down for `hold`.
std::map<std::string, std::string> control_nodes_known(const knell::Knell& membership, pith::Micros now,
                                                       pith::Micros hold);

class Founding {
  public:
    Founding(FoundingConfig config, std::uint64_t nonce) : config_(std::move(config)), nonce_(nonce) {}

    void tick(pith::Micros now, const knell::Knell& membership, Acceptor* acceptor, weft::Out* out);
    void hear(pith::Micros now, const weft::Envelope& envelope, const knell::Knell& membership,
              Acceptor* acceptor, weft::Out* out);
    const FoundingConfig& config() const { return config_; }

  private:
    struct Word {
        weft::FoundingSaid said;
        pith::Micros at = 0;
    };
    weft::FoundingSaid report(pith::Micros now, std::uint64_t nonce, const knell::Knell& membership,
                              const DurableState& held) const;
    bool may_take_part(const DurableState& held) const;
    const Word* lately(pith::Micros now, const std::string& name) const;
    bool seeds_agree(pith::Micros now, const knell::Knell& membership,
                     const std::map<std::string, std::string>& known) const;
    void propose(pith::Micros now, std::vector<weft::Voter> voters, Acceptor* acceptor);
    void carry_on(pith::Micros now, const std::vector<weft::Voter>& there, bool settled,
                  const knell::Knell& membership, Acceptor* acceptor, weft::Out* out);
    void ask_all(pith::Micros now, const knell::Knell& membership, weft::Out* out);

    FoundingConfig config_;
    std::uint64_t nonce_, serial_ = 0;
    std::map<std::string, Word> said_;
    std::set<std::string> reckoned_;  // the table of control nodes as it was last
    pith::Micros changed_ = pith::kNever, started_ = pith::kNever, next_ask_ = 0, next_far_ = 0,
                 next_propose_ = 0;
};

}  // namespace consensus
