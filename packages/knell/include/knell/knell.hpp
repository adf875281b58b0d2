#pragma once
// Membership: heartbeats to a few watchers named by ring place; duties under epochs (docs/design.md 4).
// A state machine: fed with (now, message), it gives back what to send. No socket, clock or disk.
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pith/time.hpp"
#include "weft/messages.hpp"

namespace knell {

enum State : std::uint8_t { kLive = 0, kDraining = 1, kLeft = 2, kDown = 3 };

struct Config {
    std::string name, address, locality, role, operator_address;
    std::vector<std::string> seeds;
    std::uint64_t inc = 1;
    pith::Micros beat = 300 * pith::kMilli;
    pith::Micros down_after = 1500 * pith::kMilli;
    pith::Micros forget_after = 600 * pith::kSecond;
    std::size_t watchers = 3;
    std::size_t fan_out = 8;  // members that news goes to at once; those pass on what is news to them
};

// What heartbeats carry for the others (docs/design.md 4.2).
struct Freight {
    std::uint64_t commit = 0, list_epoch = 0, list_version = 0;
};

struct Member {
    weft::MemberRec rec;
    pith::Micros heard = -pith::kNever;  // last word from itself, monotonic, ours
    pith::Micros since = 0;              // when its state was last changed here
    Freight freight;
    std::uint64_t print = 0;  // hash of what the record says of its state, for table()
};

class Knell {
  public:
    explicit Knell(Config c);

    void tick(pith::Micros now, weft::Out* out);
    // True where the envelope comes from the newest incarnation known of its sender.
    bool hear(pith::Micros now, const weft::Envelope& e, weft::Out* out);
    void say(State s, pith::Micros now, weft::Out* out);  // our own state: draining, left
    pith::Micros due() const { return next_; }

    Freight& freight() { return freight_; }
    std::uint64_t inc() const { return c_.inc; }
    const std::string& name() const { return c_.name; }
    const std::string& role() const { return c_.role; }
    const std::string& own_address() const { return c_.address; }
    const std::map<std::string, Member>& members() const { return m_; }
    std::vector<const Member*> live(const std::string& role = "") const;
    bool is_live(const std::string& name) const;
    std::string address(const std::string& name) const;
    std::uint64_t table() const;

    // Duties: is it ours now, under which epoch; what others claim (docs/design.md 4.4).
    bool mine(const std::string& duty, const std::string& role) const;
    // Who is to do it, the first first: the live members of a role, this one too if it is live.
    std::vector<weft::MemberRec> order(const std::string& duty, const std::string& role) const;
    const std::string& locality() const { return c_.locality; }
    std::uint64_t take(const std::string& duty);  // a new epoch above all heard
    bool holds(const std::string& duty) const;
    bool accept(const std::string& duty, std::uint64_t epoch, const std::string& holder);
    const std::map<std::string, weft::EpochRec>& epochs() const { return epochs_; }

  private:
    weft::MemberRec self() const;
    static std::uint64_t print(const weft::MemberRec& r);
    std::vector<const Member*> watchers() const;
    void merge(pith::Micros now, const weft::MemberRec& r, std::vector<weft::MemberRec>* news,
               weft::Out* out);
    void spread(const std::vector<weft::MemberRec>& v, weft::Out* out, bool all = false);
    std::size_t turn_ = 0;
    std::vector<weft::MemberRec> all() const;

    Config c_;
    State state_ = kLive;
    std::uint64_t version_ = 1;
    std::map<std::string, Member> m_;
    std::map<std::string, weft::EpochRec> epochs_;
    std::set<std::string> taken_;  // in this life
    Freight freight_;
    pith::Micros next_ = 0, joined_ = -pith::kNever, asked_ = -pith::kNever;
    pith::Micros last_ = -pith::kNever;
    std::string asked_last_;  // of those called down
};

}  // namespace knell
