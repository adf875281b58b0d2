#pragma once
/// What operators, machines and links do to a World over time, and what must hold once they have stopped.
#include <algorithm>
#include <string>
#include <vector>

#include "world.hpp"

namespace consensus::model {

struct Stimulus {
    enum class Kind : std::uint8_t {
        order,
        read,
        crash,
        start,
        wipe,
        isolate,
        heal,
        refuse_writes,
        take_writes,
        leave
    };
    Micros at = 0;
    Kind kind = Kind::read;
    std::size_t node = 0;
    std::uint64_t number = 0;  // of an order
    unsigned variant = 0;
};

inline void apply(const Stimulus& stimulus, World* world) {
    const std::size_t i = stimulus.node;
    using Kind = Stimulus::Kind;
    switch (stimulus.kind) {
        case Kind::order:
            if (world->runs(i)) world->order(i, stimulus.number, stimulus.variant);
            break;
        case Kind::read:
            if (world->runs(i)) world->read(i);
            break;
        case Kind::crash:
            world->crash(i);
            break;
        case Kind::start:
            world->start(i);
            break;
        case Kind::wipe:
            world->crash(i);
            world->wipe(i);
            world->start(i);
            break;
        case Kind::isolate:
            world->isolate(i, true);
            break;
        case Kind::heal:
            world->isolate(i, false);
            break;
        case Kind::refuse_writes:
            world->refuse_writes(i, true);
            break;
        case Kind::take_writes:
            world->refuse_writes(i, false);
            break;
        case Kind::leave:
            if (world->runs(i)) world->leave(i);
            break;
    }
}

struct Scenario {
    std::string name;
    WorldConfig config;
    std::vector<Stimulus> script;  // by time
    Micros end = pith::kSecond;
    std::vector<std::size_t> gone;  // nodes that never come back
};

/// Whether every membership that stands, or may come to, has a majority of its disks without the nodes in
/// `lost`.
inline bool keeps_majority(const World& world, const std::vector<std::size_t>& lost) {
    const weft::ControlState& newest = world.auditor().newest();
    std::vector<weft::ControlState> states{newest};
    Answered intact;
    for (std::size_t i = 0; i < world.size(); ++i) {
        const Node& node = world.node(i);
        const DurableState& disk = *node.disk;
        if (disk.state.revision > newest.revision) states.push_back(disk.state);
        if (node.control && node.control->acceptor().wanted().state.revision > newest.revision)
            states.push_back(node.control->acceptor().wanted().state);
        if (std::find(lost.begin(), lost.end(), i) == lost.end()) intact[world.node(i).name] = disk.disk;
    }
    for (const auto* events :
         {&world.queue(), &world.parked()}) {  // proposed, and perhaps not accepted anywhere yet
        for (const auto& event : *events) {
            if (event.type != Event::Type::message) continue;
            const auto* accept = std::get_if<weft::AcceptAsk>(&event.envelope->msg);
            if (accept != nullptr && accept->state.revision > newest.revision)
                states.push_back(accept->state);
        }
    }
    return std::all_of(states.begin(), states.end(), [&intact](const weft::ControlState& state) {
        return state.voters.empty() || has_quorum(state, intact);
    });
}

/// Without further trouble, each event in the order in which it was caused.
inline void run_until(World* world, Micros until) {
    while (world->now() < until && !world->violation()) {
        if (world->queue().empty())
            world->tick();
        else
            world->step();
    }
}

/// Ends all trouble, except that `gone` nodes stay away, and judges what a quiet fleet must do by then.
class QuietChecks {
  public:
    QuietChecks(World* world, std::vector<std::size_t> gone) : world_(world), gone_(std::move(gone)) {}

    void run() {
        end_trouble();
        const bool tolerated = keeps_majority(*world_, gone_);
        if (tolerated) run_until(world_, world_->now() + kRepairTime);
        if (tolerated && !world_->violation()) check_membership();
        if (tolerated && !world_->violation()) check_order();
        if (tolerated && !world_->violation()) check_reads();
        if (!world_->violation()) world_->edit_auditor().check_history();
    }

  private:
    static constexpr Micros kRepairTime = 4 * pith::kSecond;  // for a voter that is away or was emptied
    static constexpr Micros kOrderTime = 1 * pith::kSecond;
    static constexpr Micros kReadTime = 700 * pith::kMilli;
    static constexpr std::uint64_t kLastNumber = 1000;

    bool is_gone(std::size_t i) const { return std::find(gone_.begin(), gone_.end(), i) != gone_.end(); }

    void end_trouble() {
        world_->end_parked();
        for (std::size_t i = 0; i < world_->size(); ++i) {
            world_->isolate(i, false);
            world_->refuse_writes(i, false);
            if (is_gone(i) || world_->node(i).leaving) world_->crash(i);
            if (!is_gone(i)) world_->start(i);
        }
    }

    bool others_stand_ready() const {
        const std::size_t voters = world_->config().voters;
        return world_->size() - gone_.size() >= voters;
    }

    void check_membership() {
        if (!others_stand_ready()) return;
        const weft::ControlState& state = world_->auditor().newest();
        Auditor& auditor = world_->edit_auditor();
        if (!state.joining.empty())
            auditor.fail(Invariant::replaced_in_time,
                         "a change of membership has not ended: " + describe(state));
        for (const auto& voter : state.voters) {
            for (std::size_t i = 0; i < world_->size(); ++i) {
                const Node& node = world_->node(i);
                if (node.name != voter.name) continue;
                if (is_gone(i) || node.disk->disk != voter.disk)
                    auditor.fail(Invariant::replaced_in_time,
                                 voter.disk + " has not been replaced: " + describe(state));
                else if (node.disk->state.revision < state.revision && state.revision > 0)
                    auditor.fail(Invariant::redundant_again, voter.disk + " still lacks " + describe(state));
            }
        }
    }

    void check_order() {
        number_ = std::max(kLastNumber, world_->auditor().newest().number + 1);
        const std::size_t at = first_running();
        const std::uint64_t op = world_->order(at, number_, 0);
        const Micros until = world_->now() + kOrderTime;
        while (world_->auditor().is_open(op) && world_->now() < until)
            run_until(world_, world_->now() + kTick);
        if (world_->violation()) return;
        if (world_->auditor().call(op).outcome != EventOutcome::acknowledged)
            world_->edit_auditor().fail(Invariant::order_in_time,
                                        "not acknowledged: " + describe(world_->auditor().call(op)));
    }

    void check_reads() {
        std::vector<std::uint64_t> ops;
        for (std::size_t i = 0; i < world_->size(); ++i)
            if (world_->runs(i)) ops.push_back(world_->read(i));
        run_until(world_, world_->now() + kReadTime);
        for (const auto op : ops) {
            if (world_->violation()) return;
            const HistoryEvent& read = world_->auditor().call(op);
            if (read.outcome != EventOutcome::acknowledged || read.number < number_)
                world_->edit_auditor().fail(Invariant::read_in_time, "not answered: " + describe(read));
        }
    }

    std::size_t first_running() const {
        std::size_t i = 0;
        while (i + 1 < world_->size() && !world_->runs(i)) ++i;
        return i;
    }

    World* world_;
    std::vector<std::size_t> gone_;
    std::uint64_t number_ = 0;
};

}  // namespace consensus::model
