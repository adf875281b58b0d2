#pragma once
/// Exhaustive search within bounds: every schedule that leaves the default one at most `deviations` times,
/// for each place and kind of deviation. The default schedule delivers in the order of sending, writes
/// succeed, and time moves only when nothing is in flight. A message that is held back may come at any later
/// point; that costs nothing more.
#include <algorithm>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scenario.hpp"

namespace consensus::model {

struct Deviation {
    enum class Kind : std::uint8_t {
        hold,            ///< the next event comes later, or never
        duplicate,       ///< the next message comes once more, later or never
        release,         ///< one that was held back comes now
        fail_save,       ///< the disk refuses the write that is next
        fail_but_land,   ///< it says so, and has it nevertheless
        crash,           ///< the node that the next event is for loses its memory, and starts again
        crash_and_land,  ///< the same, and its write under way is on disk
        power_off,       ///< the same, and starts again only after it was replaced
        wipe,            ///< the same, with an empty disk
        isolate,         ///< the node that the next event is for is cut off for a while
        early            ///< what is next in the script happens now
    } kind = Kind::hold;
    std::size_t step = 0;   // of the path
    std::size_t index = 0;  // of the event held back that comes
};

inline const char* name_of(Deviation::Kind kind) {
    static const char* const names[] = {"hold",          "duplicate", "release",        "fail_save",
                                        "fail_but_land", "crash",     "crash_and_land", "power_off",
                                        "wipe",          "isolate",   "early"};
    return names[static_cast<int>(kind)];
}

struct SearchStatistics {
    std::uint64_t states = 0, paths = 0, pruned = 0;
    std::size_t depth = 0;  // events of the longest path
    bool complete = true;   // false: ended by the limit of states
};

struct Finding {
    Violation violation;
    std::vector<Deviation> path;
};

/// One schedule under way.
class Run {
  public:
    explicit Run(const Scenario& scenario)
        : world(scenario.config), todo(scenario.script), end(scenario.end) {}

    bool ended() const { return world.now() >= end && todo.empty() && world.queue().empty(); }

    bool stimulus_due() const { return !todo.empty() && todo.front().at <= world.now(); }

    void step() {
        ++steps;
        if (stimulus_due())
            next_stimulus();
        else if (!world.queue().empty())
            world.step();
        else
            world.advance(todo.empty() ? end : todo.front().at);
    }

    void take(const Deviation& deviation) {
        using Kind = Deviation::Kind;
        switch (deviation.kind) {
            case Kind::hold:
                world.park(0);
                break;
            case Kind::duplicate:
                world.park_copy(0);
                break;
            case Kind::release:
                world.release(deviation.index);
                break;
            case Kind::fail_save:
                world.fail_save(0, SaveEnd::lost);
                break;
            case Kind::fail_but_land:
                world.fail_save(0, SaveEnd::landed);
                break;
            case Kind::crash:
                crash(SaveEnd::lost);
                break;
            case Kind::crash_and_land:
                crash(SaveEnd::landed);
                break;
            case Kind::power_off:
                later(kPowerOff, Stimulus::Kind::start);
                world.crash(world.queue().front().to);
                break;
            case Kind::wipe:
                apply(Stimulus{world.now(), Stimulus::Kind::wipe, world.queue().front().to}, &world);
                break;
            case Kind::isolate:
                later(kIsolated, Stimulus::Kind::heal);
                world.isolate(world.queue().front().to, true);
                break;
            case Kind::early:
                next_stimulus();
                break;
        }
        ++steps;
    }

    std::uint64_t fingerprint() const {
        std::uint64_t mixed = world.fingerprint();
        for (const auto& s : todo)
            mixed = mix(mixed, mix(static_cast<std::uint64_t>(s.at),
                                   static_cast<std::uint64_t>(s.kind) * 64 + s.node));
        return mixed;
    }

    World world;
    std::vector<Stimulus> todo;
    Micros end;
    std::size_t steps = 0;

  private:
    static constexpr Micros kPowerOff = 3 * pith::kSecond;
    static constexpr Micros kIsolated = 1 * pith::kSecond;

    void next_stimulus() {
        const Stimulus stimulus = todo.front();
        todo.erase(todo.begin());
        apply(stimulus, &world);
    }
    void crash(SaveEnd save) {
        const std::size_t i = world.queue().front().to;
        world.crash(i, save);
        world.start(i);
    }
    void later(Micros after, Stimulus::Kind kind) {
        const Stimulus stimulus{world.now() + after, kind, world.queue().front().to};
        const auto at = std::upper_bound(todo.begin(), todo.end(), stimulus,
                                         [](const Stimulus& a, const Stimulus& b) { return a.at < b.at; });
        todo.insert(at, stimulus);
    }
};

struct SearchBounds {
    unsigned deviations = 1;
    std::uint64_t most_states = UINT64_MAX;
    std::vector<Deviation::Kind> kinds{Deviation::Kind::hold,      Deviation::Kind::duplicate,
                                       Deviation::Kind::fail_save, Deviation::Kind::fail_but_land,
                                       Deviation::Kind::crash,     Deviation::Kind::crash_and_land,
                                       Deviation::Kind::power_off, Deviation::Kind::wipe,
                                       Deviation::Kind::isolate,   Deviation::Kind::early};
    bool quiet_checks = true;  // at the end of each path
};

class Search {
  public:
    Search(Scenario scenario, SearchBounds bounds)
        : scenario_(std::move(scenario)), bounds_(std::move(bounds)) {}

    /// Ends at the first violation.
    std::optional<Finding> run() {
        explore(Run(scenario_), bounds_.deviations);
        return finding_;
    }
    const SearchStatistics& statistics() const { return statistics_; }

    /// The same schedule again, each event written to `log`.
    static void replay(const Scenario& scenario, const Finding& finding, bool quiet_checks,
                       std::ostream* log) {
        Run run(scenario);
        run.world.log_to(log);
        std::size_t next = 0;
        while (!run.world.violation() && !run.ended()) {
            if (next < finding.path.size() && finding.path[next].step == run.steps) {
                *log << "  -- " << name_of(finding.path[next].kind) << "\n";
                run.take(finding.path[next++]);
            } else {
                run.step();
            }
        }
        if (!run.world.violation() && quiet_checks) QuietChecks(&run.world, scenario.gone).run();
    }

  private:
    void explore(Run run, unsigned left) {
        while (!finding_) {
            if (run.world.violation()) {
                finding_ = Finding{*run.world.violation(), path_};
                return;
            }
            if (!enter(run, left)) return;
            if (run.ended()) {
                end_path(&run);
                return;
            }
            deviate(run, left);
            if (!finding_) run.step();
        }
    }

    /// False where the same state was entered before with as much left to spend.
    bool enter(const Run& run, unsigned left) {
        auto& spent = visited_[run.fingerprint()];
        if (spent > left) {
            ++statistics_.pruned;
            return false;
        }
        spent = left + 1;
        ++statistics_.states;
        statistics_.depth = std::max(statistics_.depth, run.steps);
        if (statistics_.states >= bounds_.most_states) statistics_.complete = false;
        return statistics_.complete;
    }

    void end_path(Run* run) {
        ++statistics_.paths;
        if (!bounds_.quiet_checks) return;
        QuietChecks(&run->world, scenario_.gone).run();
        if (run->world.violation()) finding_ = Finding{*run->world.violation(), path_};
    }

    void deviate(const Run& run, unsigned left) {
        release_held(run, left);
        if (left == 0 || run.stimulus_due() || run.world.queue().empty()) return;
        for (const auto kind : bounds_.kinds)
            if (!finding_ && makes_sense(run, kind)) branch(run, Deviation{kind, run.steps, 0}, left - 1);
    }

    /// What was held back for a node matters only before the node's next event, or before time moves on.
    void release_held(const Run& run, unsigned left) {
        const auto& parked = run.world.parked();
        const auto& queue = run.world.queue();
        for (std::size_t i = 0; i < parked.size() && !finding_; ++i) {
            const bool same_node = !queue.empty() && queue.front().to == parked[i].to;
            if (run.stimulus_due() || queue.empty() || same_node)
                branch(run, Deviation{Deviation::Kind::release, run.steps, i}, left);
        }
    }

    bool makes_sense(const Run& run, Deviation::Kind kind) const {
        const Event& next = run.world.queue().front();
        const bool save = next.type == Event::Type::save;
        using Kind = Deviation::Kind;
        switch (kind) {
            case Kind::duplicate:
                return !save;
            case Kind::fail_save:
            case Kind::fail_but_land:
                return save;
            case Kind::crash_and_land:
                return writes(run.world, next.to) && run.world.runs(next.to);
            case Kind::wipe:
                return run.world.runs(next.to) && may_lose(run, next.to);
            case Kind::crash:
            case Kind::power_off:
            case Kind::isolate:
                return run.world.runs(next.to);
            case Kind::early:
                return !run.todo.empty();
            default:
                return true;
        }
    }
    /// Together with the nodes that the script takes away for good.
    bool may_lose(const Run& run, std::size_t i) const {
        std::vector<std::size_t> lost = scenario_.gone;
        lost.push_back(i);
        return keeps_majority(run.world, lost);
    }
    static bool writes(const World& world, std::size_t i) {
        return std::any_of(world.queue().begin(), world.queue().end(), [i](const Event& event) {
            return event.type == Event::Type::save && event.to == i;
        });
    }

    void branch(const Run& run, const Deviation& deviation, unsigned left) {
        Run other = run;
        path_.push_back(deviation);
        other.take(deviation);
        explore(std::move(other), left);
        path_.pop_back();
    }

    Scenario scenario_;
    SearchBounds bounds_;
    SearchStatistics statistics_;
    std::unordered_map<std::uint64_t, unsigned> visited_;
    std::vector<Deviation> path_;
    std::optional<Finding> finding_;
};

}  // namespace consensus::model
