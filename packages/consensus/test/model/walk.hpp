#pragma once
/// Seeded random walks, beyond the bounds of the search: any order of events, several faults, racing
/// operators.
#include <string>
#include <vector>

#include "scenario.hpp"

namespace consensus::model {

struct WalkConfig {
    WorldConfig world;
    unsigned steps = 600;
    unsigned most_orders = 12;
    unsigned trouble = 30;  // of 1000 steps, how many are a fault or the end of one
    bool quiet_checks = true;
};

class Walk {
  public:
    Walk(const WalkConfig& config, std::uint64_t seed)
        : config_(config), random_(seed), world_(config.world) {}

    std::optional<Violation> run(std::ostream* log = nullptr) {
        world_.log_to(log);
        for (unsigned i = 0; i < config_.steps && !world_.violation(); ++i) step();
        if (!world_.violation()) world_.edit_auditor().check_history();
        if (!world_.violation() && config_.quiet_checks) QuietChecks(&world_, {}).run();
        if (!world_.violation() && config_.quiet_checks)
            QuietChecks(&world_, choose_gone()).run();  // the next loss
        return world_.violation();
    }

  private:
    std::size_t any_node() { return random_.below(world_.size()); }

    void step() {
        const std::uint64_t draw = random_.below(1000);
        if (draw < config_.trouble)
            trouble();
        else if (draw < config_.trouble + 25)
            call();
        else if (world_.queue().empty() || draw > 985)
            world_.advance(world_.now() + static_cast<Micros>(1 + random_.below(20)) * kTick);
        else
            event();
    }

    // Mostly in order, as links keep it; now and then any.
    void event() {
        const std::size_t in_flight = world_.queue().size();
        const std::size_t index = random_.below(4) == 0 ? random_.below(in_flight) : 0;
        const bool save = world_.queue()[index].type == Event::Type::save;
        const std::uint64_t draw = random_.below(100);
        if (draw < 2 && !save)
            world_.park_copy(index);
        else if (draw < 5)
            world_.park(index);
        else if (draw < 7 && !save)
            world_.drop(index);
        else if (draw < 9 && save)
            world_.fail_save(index, random_.below(2) == 0 ? SaveEnd::lost : SaveEnd::landed);
        else
            world_.step(index);
        if (!world_.parked().empty() && random_.below(20) == 0)
            world_.release(random_.below(world_.parked().size()));
    }

    void call() {
        const std::size_t i = any_node();
        if (!world_.runs(i)) return;
        if (orders_ >= config_.most_orders || random_.below(2) == 0) {
            world_.read(i);
            return;
        }
        ++orders_;
        const std::uint64_t draw = random_.below(10);
        if (draw < 5 || highest_ == 0) ++highest_;
        const std::uint64_t number = draw < 9 ? highest_ : 1 + random_.below(highest_);
        world_.order(i, number, static_cast<unsigned>(random_.below(3)));
    }

    void trouble() {
        const std::size_t i = any_node();
        switch (random_.below(11)) {
            case 0:
            case 1:
                world_.crash(i, random_.below(2) == 0 ? SaveEnd::lost : SaveEnd::landed);
                if (random_.below(2) == 0) world_.start(i);
                break;
            case 2:
            case 3:
                world_.start(i);
                break;
            case 4:
                if (!keeps_majority(world_, {i})) break;
                world_.crash(i);
                world_.wipe(i);
                if (random_.below(3) != 0) world_.start(i);
                break;
            case 5:
                world_.refuse_writes(i, random_.below(2) == 0);
                break;
            case 6:
                world_.isolate(i, true);
                break;
            case 7:
                world_.cut(i, any_node(), true);
                break;
            case 8:
                if (world_.runs(i)) world_.leave(i);
                break;
            default:
                world_.isolate(i, false);
                world_.refuse_writes(i, false);
                break;
        }
        // Long enough for a change of membership to begin, now and then.
        if (random_.below(4) == 0)
            run_until(&world_, world_.now() + static_cast<Micros>(random_.below(3000)) * pith::kMilli);
    }

    // One that stays away, where that leaves a majority of every membership that may stand.
    std::vector<std::size_t> choose_gone() {
        if (config_.world.spares == 0 || random_.below(2) == 0) return {};
        const std::size_t i = any_node();
        return keeps_majority(world_, {i}) ? std::vector<std::size_t>{i} : std::vector<std::size_t>{};
    }

    WalkConfig config_;
    pith::Rng random_;
    World world_;
    std::uint64_t highest_ = 0;
    unsigned orders_ = 0;
};

}  // namespace consensus::model
