#pragma once
// A keeper without sockets, clock or disk: membership, vault and feed together (docs/design.md 5).
#include <map>
#include <string>

#include "knell/knell.hpp"
#include "vault/electorate.hpp"
#include "vault/feed.hpp"
#include "vault/vault.hpp"

namespace vault {

class KeeperCore {
  public:
    KeeperCore(knell::Config k, VaultConfig v, Held h, std::uint64_t nonce);
    void tick(pith::Micros now, Acts* a);
    void hear(pith::Micros now, const weft::Envelope& e, Acts* a);
    void push(pith::Micros now, std::uint64_t op, const std::string& text, Acts* a);
    void wrote(pith::Micros now, std::uint64_t token, bool ok, Acts* a);
    void mark(pith::Micros now, const std::string& server, bool drain, Acts* a);
    void say(knell::State s, pith::Micros now, Acts* a) { knell_.say(s, now, &a->out); }

    const knell::Knell& knell() const { return knell_; }
    const Vault& vault() const { return vault_; }
    const Electorate& electorate() const { return electorate_; }
    bool discovered() const { return discovered_; }
    const Feed& feed() const { return feed_; }
    const weft::Listing& listing() const { return listing_; }
    const std::map<std::string, weft::ChangeRec>& marks() const { return marks_; }

  private:
    void told(Acts* a);
    void elected();
    void spread_feed(Acts* a);
    void take_mark(const weft::ChangeRec& c, Acts* a);

    knell::Knell knell_;
    Vault vault_;
    Feed feed_;
    Electorate electorate_;
    bool discovered_, elected_ = false;
    std::uint64_t fed_ = 0;
    std::map<std::string, std::uint64_t> floors_;  // on disk, or on its way there
    weft::Listing listing_;
    std::map<std::string, weft::ChangeRec> marks_;  // soft: server address -> newest mark
    std::map<std::string, std::string> keepers_;
};

}  // namespace vault
