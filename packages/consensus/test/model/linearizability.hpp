#pragma once
/// Linearizability of a history of operators' calls against one register that holds a numbered bundle.
///
/// The sequential object: `(number, hash)`, at first `(0, "")`, and every number that was ever decided with
/// its content.
///  - An order with a number above the held one is decided and held.
///  - An order with a decided number and its content, or with a lower number that never was decided, changes
///  nothing
///    and is acknowledged.
///  - An order with a decided number and another content is refused as taken.
///  - Where lower numbers are refused, one that was not decided with that content is refused as old.
///  - A read returns what is held.
/// A call takes effect at one instant between its start and its end. One with an unclear outcome (no answer,
/// or a temporary refusal) takes effect at any instant after its start, or never.
///
/// The search follows Wing and Gong with memoization (Lowe). Calls that change nothing are placed as soon as
/// they fit, orders that are decided as late as another call's end requires; neither loses a linearization.
#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "pith/hash.hpp"

namespace consensus::model {

enum class EventKind : std::uint8_t { order, read };

enum class EventOutcome : std::uint8_t {
    acknowledged,  ///< of an order: confirmed; of a read: it returned `number` and `hash`
    taken,         ///< of an order: refused, the number was decided with another content
    old,     ///< of an order: refused, a higher number stands and this one was not decided with that content
    unclear  ///< no answer, or one that neither confirms nor refuses
};

/// `end` of a call that was never answered.
constexpr std::uint64_t kNoEnd = UINT64_MAX;

/// One call. Times are of any one clock that all calls share; calls that share an instant count as
/// concurrent.
struct HistoryEvent {
    std::string client;
    EventKind kind = EventKind::read;
    std::uint64_t number = 0;  ///< sent with an order, returned by a read
    std::string hash;          ///< of the content sent or returned
    std::uint64_t start = 0, end = kNoEnd;
    EventOutcome outcome = EventOutcome::unclear;
};

inline std::string describe(const HistoryEvent& event) {
    static const char* const outcomes[] = {"acknowledged", "taken", "old", "unclear"};
    const std::string end = event.end == kNoEnd ? "never" : std::to_string(event.end);
    return event.client + (event.kind == EventKind::order ? " order " : " read ") +
           std::to_string(event.number) + "/" + event.hash.substr(0, 8) + " [" + std::to_string(event.start) +
           ", " + end + "] " + outcomes[static_cast<int>(event.outcome)];
}

/// Violations that can be named without a search; empty where there is none.
class DirectChecks {
  public:
    explicit DirectChecks(const std::vector<HistoryEvent>& history) : history_(history) {}

    std::string run() const {
        std::string found = contents_differ();
        if (found.empty()) found = read_of_nothing();
        if (found.empty()) found = stale_read();
        return found;
    }

  private:
    static bool returned(const HistoryEvent& event) {
        return event.kind == EventKind::read && event.outcome == EventOutcome::acknowledged;
    }

    std::string contents_differ() const {
        std::map<std::uint64_t, const HistoryEvent*> seen;
        for (const auto& event : history_) {
            if (!returned(event)) continue;
            const auto first = seen.emplace(event.number, &event).first->second;
            if (first->hash != event.hash)
                return "two contents under one number: " + describe(*first) + "; " + describe(event);
        }
        for (const auto& event : history_) {
            const auto read = seen.find(event.number);
            if (event.kind != EventKind::order || event.outcome != EventOutcome::acknowledged ||
                read == seen.end())
                continue;
            if (read->second->hash != event.hash)
                return "acknowledged, but its number has another content: " + describe(event) + "; " +
                       describe(*read->second);
        }
        return {};
    }

    std::string read_of_nothing() const {
        for (const auto& read : history_) {
            if (!returned(read) || read.number == 0) continue;
            const bool ordered =
                std::any_of(history_.begin(), history_.end(), [&read](const HistoryEvent& order) {
                    return order.kind == EventKind::order && order.number == read.number &&
                           order.hash == read.hash && order.start <= read.end;
                });
            if (!ordered) return "a read returned what nobody had ordered: " + describe(read);
        }
        return {};
    }

    std::string stale_read() const {
        std::vector<const HistoryEvent*> ended;
        for (const auto& event : history_)
            if (event.outcome == EventOutcome::acknowledged && event.end != kNoEnd) ended.push_back(&event);
        std::sort(ended.begin(), ended.end(), [](const auto* a, const auto* b) { return a->end < b->end; });
        std::vector<const HistoryEvent*> reads;
        for (const auto& event : history_)
            if (returned(event)) reads.push_back(&event);
        std::sort(reads.begin(), reads.end(),
                  [](const auto* a, const auto* b) { return a->start < b->start; });
        const HistoryEvent* highest = nullptr;
        std::size_t next = 0;
        for (const auto* read : reads) {
            for (; next < ended.size() && ended[next]->end < read->start; ++next)
                if (highest == nullptr || ended[next]->number > highest->number) highest = ended[next];
            if (highest != nullptr && highest->number > read->number)
                return "a stale read: " + describe(*read) + " after " + describe(*highest);
        }
        return {};
    }

    const std::vector<HistoryEvent>& history_;
};

/// Searches for an order of the calls that the sequential object explains.
class LinearizationSearch {
  public:
    LinearizationSearch(const std::vector<HistoryEvent>& history, std::size_t remembered)
        : history_(history), remembered_(remembered) {
        for (std::size_t i = 0; i < history.size(); ++i) {
            const auto& event = history[i];
            if (event.kind == EventKind::read && event.outcome != EventOutcome::acknowledged) continue;
            points_.push_back({event.start, false, i});
            if (event.end != kNoEnd && event.outcome != EventOutcome::unclear)
                points_.push_back({event.end, true, i});
        }
        std::sort(points_.begin(), points_.end(), [](const Point& a, const Point& b) {
            return std::tie(a.time, a.is_end, a.event) < std::tie(b.time, b.is_end, b.event);
        });
    }

    std::string run() {
        if (explore(State{}, 0)) return {};
        const auto& event = history_[points_[furthest_].event];
        return "no order of the calls explains " + describe(event) +
               " (held at its end at the latest: " + std::to_string(furthest_held_) + ")";
    }

  private:
    struct Point {
        std::uint64_t time = 0;
        bool is_end = false;
        std::size_t event = 0;
    };
    struct State {
        std::uint64_t number = 0;
        std::string hash;
        std::map<std::uint64_t, std::string> decided;
        std::set<std::size_t> pending;  // started, without effect yet
        std::uint64_t key = 0;          // of what is decided and what has taken effect
    };

    /// Whether an order below the held number may be too old for the object to know what was decided under
    /// it.
    bool forgotten(const State& state, std::uint64_t number) const {
        if (state.decided.size() <= remembered_) return false;
        const auto above = std::distance(state.decided.upper_bound(number), state.decided.end());
        return static_cast<std::size_t>(above) >= remembered_;
    }

    /// Whether the call may take effect now without a change of the object.
    bool fits(const State& state, const HistoryEvent& event) const {
        if (event.kind == EventKind::read) return event.number == state.number && event.hash == state.hash;
        if (event.number > state.number) return false;
        if (event.outcome == EventOutcome::unclear) return true;
        const auto decided = state.decided.find(event.number);
        const bool other = decided != state.decided.end() && decided->second != event.hash;
        if (event.outcome == EventOutcome::taken) return other;
        if (event.outcome == EventOutcome::old) {
            const bool decided_so = decided != state.decided.end() && !other;
            return event.number < state.number && (!decided_so || forgotten(state, event.number));
        }
        return !other || forgotten(state, event.number);
    }

    void place_unchanging(State* state) const {
        for (auto i = state->pending.begin(); i != state->pending.end();) {
            const bool placed = fits(*state, history_[*i]);
            if (placed) state->key ^= pith::Rng(*i + 1).next();
            i = placed ? state->pending.erase(i) : std::next(i);
        }
    }

    void decide(State* state, std::size_t index) const {
        const auto& order = history_[index];
        state->number = order.number;
        state->hash = order.hash;
        state->decided[order.number] = order.hash;
        state->pending.erase(index);
        state->key ^= pith::Rng(~static_cast<std::uint64_t>(index)).next();
        place_unchanging(state);
    }

    /// `at`: the next point in time. False where no linearization goes on from here.
    bool explore(State state, std::size_t at) {
        for (; at < points_.size(); ++at) {
            const Point& point = points_[at];
            if (!point.is_end) {
                state.pending.insert(point.event);
                place_unchanging(&state);
            } else if (state.pending.count(point.event) != 0) {
                return decide_until_placed(state, at);
            }
        }
        return true;
    }

    bool decide_until_placed(const State& state, std::size_t at) {
        if (!failed_.insert(pith::Rng(state.key ^ (at * 0x9e3779b97f4a7c15ULL)).next()).second) return false;
        if (at >= furthest_) {
            furthest_ = at;
            furthest_held_ = state.number;
        }
        const auto& waiting = history_[points_[at].event];
        for (const std::size_t index : state.pending) {
            const auto& order = history_[index];
            const bool refused = order.outcome == EventOutcome::taken || order.outcome == EventOutcome::old;
            if (order.kind != EventKind::order || refused) continue;
            if (order.number <= state.number) continue;
            if (waiting.kind == EventKind::read && order.number > waiting.number) continue;
            State next = state;
            decide(&next, index);
            if (explore(std::move(next), at)) return true;
        }
        return false;
    }

    const std::vector<HistoryEvent>& history_;
    std::size_t remembered_;
    std::vector<Point> points_;
    std::unordered_set<std::uint64_t> failed_;
    std::size_t furthest_ = 0;
    std::uint64_t furthest_held_ = 0;
};

/// Empty where the history is linearizable, else the violation. `remembered`: an order whose number has so
/// many decided ones above it may be acknowledged whatever its content, as the register keeps only the newest
/// numbers.
inline std::string check(const std::vector<HistoryEvent>& history, std::size_t remembered = SIZE_MAX) {
    const std::string direct = DirectChecks(history).run();
    return direct.empty() ? LinearizationSearch(history, remembered).run() : direct;
}

}  // namespace consensus::model
