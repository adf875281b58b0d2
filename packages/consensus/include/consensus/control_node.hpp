#pragma once
// A control node without sockets, clock or disk: membership, the register, founding and the feed
// (docs/control.md).
#include <map>
#include <string>

#include "consensus/control_register.hpp"
#include "consensus/feed.hpp"
#include "consensus/founding.hpp"
#include "knell/knell.hpp"

namespace consensus {

class ControlNode {
  public:
    // `listed`: names and addresses where the settings list the control nodes; none: they are discovered.
    // `epochs`: duties' epochs that were written down, by duty.
    ControlNode(knell::Config membership, ControlConfig config, FoundingConfig founding, DurableState held,
                const std::map<std::string, std::pair<std::uint64_t, std::string>>& epochs);

    void tick(pith::Micros now, Actions* actions);
    void hear(pith::Micros now, const weft::Envelope& envelope, Actions* actions);
    void order(pith::Micros now, std::uint64_t op, const std::string& text, Actions* actions);
    void read(pith::Micros now, std::uint64_t op, Actions* actions);
    void saved(pith::Micros now, std::uint64_t token, bool ok, Actions* actions);
    void mark(pith::Micros now, const std::string& server, bool drain, Actions* actions);
    // A planned stop: voters hand over first; left() then tells the others.
    void leave(pith::Micros now, Actions* actions);
    bool may_end() const { return register_.handed_over(); }
    void left(pith::Micros now, Actions* actions);

    const knell::Knell& knell() const { return knell_; }
    const ControlRegister& control() const { return register_; }
    ControlRegister& control() { return register_; }
    const Founding& founding() const { return founding_; }
    const Feed& feed() const { return feed_; }
    const weft::Listing& listing() const { return listing_; }
    const std::map<std::string, weft::ChangeRec>& marks() const { return marks_; }

  private:
    // A proxy that asked for a confirmed answer.
    struct Asker {
        std::string name;
        weft::FeedAsk ask;
    };
    void after(pith::Micros now, Actions* actions);  // what every event may have brought about
    void peers_now();
    void spread_feed(Actions* actions);
    void take_mark(const weft::ChangeRec& change, Actions* actions);
    void ask_for_askers(pith::Micros now, Actions* actions);
    void answer_askers(Actions* actions);
    bool hear_soft(const weft::Envelope& envelope, bool fresh, Actions* actions);

    pith::Micros feed_read_patience_;  // of reads for proxies: they ask again anyway
    knell::Knell knell_;
    ControlRegister register_;
    Founding founding_;
    Feed feed_;
    std::uint64_t fed_ = 0;  // number that the feed told last
    std::map<std::string, std::uint64_t> epochs_;
    weft::Listing listing_;
    std::map<std::string, weft::ChangeRec> marks_;  // soft: server address -> newest mark
    // By name and incarnation. One read serves all who asked before it began; the others wait for the next.
    std::map<std::string, Asker> waiting_, asking_;
    pith::Micros next_read_ = 0;
};

}  // namespace consensus
