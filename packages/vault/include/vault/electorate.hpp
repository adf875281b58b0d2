#pragma once
// Where no keepers are listed: how they found one electorate, once, and learn it (docs/design.md 5.7).
// A state machine: disk work is asked for and reported back; it touches no disk itself.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "knell/knell.hpp"
#include "vault/vault.hpp"

namespace vault {

constexpr std::size_t kMaxElectors = 7;
constexpr std::uint64_t kElectorateToken = std::uint64_t{1} << 63;  // marks our disk jobs' tokens

// Keepers that count for a founding: all that membership knows, but those that left, and those that have been
// down for `hold`.
std::map<std::string, std::string> keepers_known(const knell::Knell& k, pith::Micros now, pith::Micros hold);

class Electorate {
  public:
    struct Config {
        std::string name, address;
        std::vector<std::string> seeds;
        bool first_start = false;
        pith::Micros settle = 1500 * pith::kMilli;  // the table of keepers has not changed for so long
        pith::Micros least = 2 * pith::kSecond;     // since we started
        pith::Micros again = 400 * pith::kMilli;
        pith::Micros hold = 30 * pith::kSecond;  // a keeper that is down holds up a founding for so long
    };
    Electorate(Config c, const Held& h, std::uint64_t nonce);

    void tick(pith::Micros now, const knell::Knell& k, Acts* a);
    void hear(pith::Micros now, const weft::Envelope& e, const knell::Knell& k, Acts* a);
    void wrote(std::uint64_t token, bool ok);
    void fill(pith::Micros now, const knell::Knell& k, weft::StateSaid* r) const;

    bool founded() const { return founded_; }
    const Proposal& held() const { return held_; }  // the electorate, or what was proposed; id 0: neither

  private:
    struct Word {
        weft::StateSaid said;
        pith::Micros at;
    };
    bool mine() const { return held_.id != 0 && held_.founder == c_.name; }
    bool first() const { return c_.first_start || held_.id != 0; }
    const Word* lately(pith::Micros now, const std::string& name) const;
    bool seeds_agree(pith::Micros now, const knell::Knell& k,
                     const std::map<std::string, std::string>& known) const;
    void write(Job::What what, const Proposal& p, Acts* a);
    void propose(pith::Micros now, std::vector<weft::ElectorRec> members, Acts* a);
    void carry_on(pith::Micros now, const std::vector<weft::ElectorRec>& now_there, bool settled,
                  const knell::Knell& k, Acts* a);
    void ask_all(pith::Micros now, const knell::Knell& k, Acts* a);

    Config c_;
    Proposal held_;  // on disk
    bool founded_ = false, disk_ok_ = true;
    std::set<std::uint64_t> withdrawn_;  // on disk
    std::uint64_t nonce_, serial_ = 0;
    Job job_{};  // under way; token 0: none
    std::map<std::string, Word> said_;
    std::set<std::string> reckoned_;  // the table of keepers as it was last
    pith::Micros changed_ = pith::kNever, started_ = pith::kNever, next_ask_ = 0, next_far_ = 0,
                 next_propose_ = 0;
};

}  // namespace vault
