#pragma once
// Operators of the simulated fleet, and the watch over what the control nodes owe them (docs/proof.md).
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "loom/world.hpp"
#include "pith/hash.hpp"

namespace loom {

// One order on its way: brought to one control node after the other until one says how it ended.
struct Delivery {
    std::uint64_t number = 0;
    std::string note;
    std::vector<std::string> nodes;  // in the order of the tries, round and round
    std::size_t next = 0;
    std::uint64_t call = 0;  // of the World; 0: none under way
    Micros start = 0, tried = 0, end = pith::kNever;
    CallOutcome outcome = CallOutcome::unclear;
};

// Operators that send an order again, to another node, where the answer is lost or leaves it open.
class Operators {
  public:
    explicit Operators(World* world) : world_(world) {}
    // The order is first brought to `node`. Returns its place in deliveries().
    std::size_t order(const std::string& node, std::uint64_t number, const std::string& note);
    const std::deque<Delivery>& deliveries() const { return deliveries_; }
    bool all_done() const;

  private:
    void step(std::size_t index);
    World* world_;
    std::deque<Delivery> deliveries_;
};

// Looks at the fleet each few milliseconds, from outside: who runs well and is linked with whom. Orders,
// reads and replacements are owed while a majority of the voters is well.
class ControlWatch {
  public:
    ControlWatch(World* world, const Operators* operators) : world_(world), operators_(operators) {}
    void start(Micros at);
    // A majority of the voters is well and was so all the time since then; kNever: it is not.
    Micros calm_since() const { return calm_since_; }

  private:
    void look();
    std::set<std::string> well_majority() const;
    bool quorum(const std::set<std::string>& nodes) const;
    void look_at_orders();
    void look_at_reads();
    void look_at_voters();

    World* world_;
    const Operators* operators_;
    Micros calm_since_ = pith::kNever;
    std::map<std::string, Micros> well_since_;  // of those in the majority, or linked with all of it
    std::map<std::string, Micros> lost_since_;  // voters by disk: not up, or their disk is gone
    std::set<std::size_t> late_;                // deliveries that were reported
    std::set<std::string> overdue_;             // disks that were
    std::size_t reads_seen_ = 0;
};

}  // namespace loom
