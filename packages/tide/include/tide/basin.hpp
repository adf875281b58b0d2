#pragma once
// All customers' gates on this proxy, in shards, each under its own short lock (docs/design.md 6.6).
#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "tide/gate.hpp"
#include "tide/tally.hpp"

namespace tide {

struct Left {  // visits that left S
    std::vector<Id> released, expired;
};

struct GateView {
    std::string customer;
    double allowance = 0, rate = 0, e = 0, e0 = 0, t = 0;
    std::uint64_t released = 0, turned_away = 0;
    std::size_t queued = 0;
    Standing standing = Standing::whole;
};

struct Count {
    weft::CountRec rec;
    double untold = 0;  // releases that partners need not hear of yet; below 0: no tolerance is given
                        // (docs/design.md 6.4)
    bool here = true;  // something was released or came here of late: what else it tells is no news to peers
};

class Basin {
  public:
    explicit Basin(Tuning t) : t_(t) {}

    // The newest allowances; visits of customers that are gone come back as expired.
    void allowances(pith::Micros now, const std::map<std::string, Grant>& a, Left* left);
    bool tolerant() const { return t_.over > 0; }
    void world(pith::Micros now, std::size_t nodes, Standing s, double part = 1);
    Verdict arrive(pith::Micros now, const std::string& customer, Id id, pith::Micros deadline);
    pith::Micros retry_after(const std::string& customer);  // until a pass is likely to come free
    bool draw(pith::Micros now, const std::string& customer);
    bool again(pith::Micros now, const std::string& customer, Id id, pith::Micros deadline);
    bool leave(pith::Micros now, const std::string& customer, Id id);
    void sense(pith::Micros now, const std::vector<Sensed>& v, const Tally& t);
    bool advance(pith::Micros now, Left* left);  // false where all is at rest
    bool waiting();                              // does anybody stand in a queue
    // Of customers with a limit that something happened to of late; `all`: of every one.
    std::vector<Count> counts(pith::Micros now, bool all = false);
    std::vector<GateView> view();
    std::map<std::string, double> shares();

  private:
    struct Cell {
        Gate gate;
        std::uint64_t away = 0;
        bool busy = false, told_of = false;  // in the lists below
        pith::Micros touched = 0;
        pith::Micros moved = -pith::kNever;  // last release or arrival here
    };
    using Named = std::pair<const std::string, Cell>;
    struct Shard {
        std::mutex m;
        std::map<std::string, Cell> g;
        // Those that are stepped, and those whose counts are told: customers at rest cost nothing.
        std::vector<Named*> busy, recent;
        void touch(pith::Micros now, Named* c, bool here = false);
    };
    Shard& shard(const std::string& c);
    static constexpr std::size_t kShards = 8;
    Tuning t_;
    std::array<Shard, kShards> s_;
    std::mutex wm_;
    std::size_t nodes_ = 1;
    Standing standing_ = Standing::whole;
    double part_ = 1;
    std::map<std::string, std::uint64_t>
        gone_;  // touched by the control shard only; counts of customers taken out, lest they begin anew
};

}  // namespace tide
