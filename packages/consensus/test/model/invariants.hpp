#pragma once
/// What must hold of a set of control nodes, judged from outside: by what their disks took, what they call
/// decided, and what they answered.
#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/control_register.hpp"
#include "linearizability.hpp"
#include "weft/codec.hpp"

namespace consensus::model {

enum class Invariant : std::uint8_t {
    one_content,        ///< a number is decided, acknowledged and read with one content
    linearizable,       ///< orders and reads behave as calls on one register
    one_history,        ///< a revision is decided with one state
    decided_by_quorum,  ///< what a node calls decided was accepted by a quorum of that state's own voters
    no_way_back,        ///< what a node knows as decided does not go back
    majority_holds,     ///< any quorum of the newest membership holds what was acknowledged
    order_in_time,      ///< with a majority well, an order is acknowledged in bounded time
    read_in_time,       ///< with a majority well, a read is answered in bounded time
    replaced_in_time,   ///< an absent or emptied voter is replaced in bounded time
    redundant_again     ///< after a repair every voter holds the newest state
};

inline const char* name_of(Invariant invariant) {
    static const char* const names[] = {
        "one_content",    "linearizable",  "one_history",  "decided_by_quorum", "no_way_back",
        "majority_holds", "order_in_time", "read_in_time", "replaced_in_time",  "redundant_again"};
    return names[static_cast<int>(invariant)];
}

struct Violation {
    Invariant invariant = Invariant::one_content;
    std::string text;
};

/// A disk as the auditor sees it: the newest document that it took.
struct DiskView {
    std::string node;
    const DurableState* document = nullptr;
};

inline std::string bytes_of(const weft::ControlState& state) {
    weft::Writer writer;
    writer.put(state);
    return writer.bytes();
}

inline std::string describe(const weft::ControlState& state) {
    auto names = [](const std::vector<weft::Voter>& voters) {
        std::string text;
        for (const auto& voter : voters) text += (text.empty() ? "" : ",") + voter.disk;
        return "{" + text + "}";
    };
    return "r" + std::to_string(state.revision) + " " + std::to_string(state.number) + "/" +
           state.hash.substr(0, 6) + " e" + std::to_string(state.epoch) + names(state.voters) +
           (state.joining.empty() ? "" : "+" + names(state.joining));
}

inline std::string describe(const weft::Ballot& ballot) {
    return std::to_string(ballot.round) + "." + ballot.proposer + "." + std::to_string(ballot.life);
}

/// Keeps what happened that no node's memory can be trusted to keep, and judges it after each step.
class Auditor {
  public:
    explicit Auditor(bool refuses_old) : refuses_old_(refuses_old) {}

    const std::optional<Violation>& violation() const { return violation_; }
    void fail(Invariant invariant, const std::string& text) {
        if (!violation_) violation_ = Violation{invariant, text};
    }

    /// A disk reported a document as synced.
    void synced(const std::string& node, const DurableState& document) {
        if (document.accepted.round == 0) return;
        const std::string state = bytes_of(document.state);
        auto& acceptance = accepted_[state];
        acceptance[describe(document.accepted)].insert({node, document.disk});
        if (document.state.number != 0) hashes_[document.state.number].insert(document.state.hash);
    }

    /// A node calls a state decided.
    void decided(const std::string& node, const weft::ControlState& state) {
        if (state.voters.empty()) return;
        const std::string bytes = bytes_of(state);
        const auto known = decided_.emplace(state.revision, bytes);
        if (!known.second && known.first->second != bytes)
            fail(Invariant::one_history,
                 node + " calls " + describe(state) + " decided, another state of that revision was");
        if (!known.second) return;
        if (decided_.size() > 1 && !was_accepted_by_quorum(state, bytes))
            fail(Invariant::decided_by_quorum,
                 node + " calls decided what no quorum of its voters accepted: " + describe(state));
        content(state.number, state.hash, node + " decided");
        if (state.revision >= newest_.revision) newest_ = state;
    }
    const weft::ControlState& newest() const { return newest_; }

    void order_started(std::uint64_t op, const std::string& client, std::uint64_t number,
                       const std::string& hash) {
        HistoryEvent event;
        event.client = client;
        event.kind = EventKind::order;
        event.number = number;
        event.hash = hash;
        event.start = ++clock_;
        calls_[op] = Call{event, acknowledged_};
    }
    void read_started(std::uint64_t op, const std::string& client) {
        HistoryEvent event;
        event.client = client;
        event.start = ++clock_;
        calls_[op] = Call{event, acknowledged_};
    }
    void answered(const Answer& answer) {
        const auto found = calls_.find(answer.op);
        if (found == calls_.end() || found->second.event.end != kNoEnd) {
            fail(Invariant::linearizable, "an answer to a call that is not under way");
            return;
        }
        Call& call = found->second;
        call.event.end = ++clock_;
        if (call.event.kind == EventKind::order)
            judge_order(&call, answer);
        else
            judge_read(&call, answer);
    }
    /// The client of every call at this node lost its connection.
    bool is_open(std::uint64_t op) const {
        const auto found = calls_.find(op);
        return found != calls_.end() && found->second.event.end == kNoEnd;
    }
    const HistoryEvent& call(std::uint64_t op) const { return calls_.at(op).event; }
    std::size_t open_calls() const {
        return static_cast<std::size_t>(std::count_if(calls_.begin(), calls_.end(), [](const auto& call) {
            return call.second.event.end == kNoEnd && !call.second.abandoned;
        }));
    }
    void abandon(std::uint64_t op) { calls_[op].abandoned = true; }

    /// Whether each quorum that the newest membership can still form holds what was decided.
    bool holders_are_enough(const std::vector<DiskView>& disks) const {
        if (decided_.size() < 2) return true;
        Answered without;  // intact voters that hold less than the newest decided revision
        for (const auto& disk : disks)
            if (disk.document->state.revision < newest_.revision || disk.document->accepted.round == 0)
                without[disk.node] = disk.document->disk;
        return !has_quorum(newest_, without);
    }
    void fail_holders() {
        fail(Invariant::majority_holds, "a quorum holds less than what was decided: " + describe(newest_));
    }

    /// The whole history, by the search.
    void check_history() {
        std::vector<HistoryEvent> history;
        for (const auto& call : calls_) {
            history.push_back(call.second.event);
            if (call.second.stands) history.push_back(*call.second.stands);
        }
        const std::string found = check(history);
        if (!found.empty()) fail(Invariant::linearizable, found);
    }

    /// Of all that decides later verdicts and is not in the nodes' own histories.
    std::uint64_t fingerprint() const {
        std::uint64_t mixed = acknowledged_;
        for (const auto& call : calls_) {
            mixed = pith::Rng(mixed ^ call.first).next();
            mixed = pith::Rng(mixed ^ call.second.floor ^ (call.second.event.end == kNoEnd ? 0 : 1ULL << 40U))
                        .next();
        }
        return mixed;
    }

  private:
    struct Call {
        HistoryEvent event;
        std::uint64_t floor = 0;               // a lower number may not stand in its answer
        std::optional<HistoryEvent> stands{};  // what the answer to an order says that stands, as a read
        bool abandoned = false;
    };

    /// By node and disk: a node accepts under one ballot once more where its disk was emptied.
    using Acceptances = std::set<std::pair<std::string, std::string>>;

    static bool majority_of(const std::vector<weft::Voter>& voters, const Acceptances& acceptances) {
        const auto accepted =
            std::count_if(voters.begin(), voters.end(), [&acceptances](const weft::Voter& voter) {
                return acceptances.count({voter.name, voter.disk}) != 0;
            });
        return static_cast<std::size_t>(accepted) > voters.size() / 2;
    }

    bool was_accepted_by_quorum(const weft::ControlState& state, const std::string& bytes) const {
        const auto found = accepted_.find(bytes);
        if (found == accepted_.end()) return false;
        return std::any_of(found->second.begin(), found->second.end(), [&state](const auto& ballot) {
            return majority_of(state.voters, ballot.second) &&
                   (state.joining.empty() || majority_of(state.joining, ballot.second));
        });
    }

    void content(std::uint64_t number, const std::string& hash, const std::string& who) {
        if (number == 0) return;
        const auto known = contents_.emplace(number, hash);
        if (known.first->second != hash)
            fail(Invariant::one_content, who + " number " + std::to_string(number) + " with content " +
                                             hash.substr(0, 6) + ", it stands with " +
                                             known.first->second.substr(0, 6));
    }

    /// Whether another content than the order's was decided under its number. Where no node called that
    /// number decided, because the state went on at once, it must at least have been accepted.
    bool was_taken(const HistoryEvent& order) const {
        const auto known = contents_.find(order.number);
        if (known != contents_.end()) return known->second != order.hash;
        const auto accepted = hashes_.find(order.number);
        if (accepted == hashes_.end()) return false;
        return accepted->second.size() > 1 || accepted->second.count(order.hash) == 0;
    }

    void judge_refusal(Call* call, pith::Kind kind) {
        if (kind != pith::Kind::bundle_old && kind != pith::Kind::bundle_taken) return;
        HistoryEvent& order = call->event;
        const auto known = contents_.find(order.number);
        const bool other_is_known = known != contents_.end() && known->second != order.hash;
        if (kind == pith::Kind::bundle_old && refuses_old_ && !other_is_known &&
            order.number < newest_.number) {
            order.outcome = EventOutcome::old;
            return;
        }
        order.outcome = EventOutcome::taken;
        if (!was_taken(order))
            fail(Invariant::one_content, "refused, but nothing else has its number: " + describe(order));
    }

    void judge_order(Call* call, const Answer& answer) {
        if (!answer.result) {
            judge_refusal(call, answer.result.error().kind);
            return;
        }
        HistoryEvent& order = call->event;
        order.outcome = EventOutcome::acknowledged;
        const std::uint64_t stands = *answer.result;
        const auto known = contents_.find(order.number);
        if (known != contents_.end() && known->second != order.hash)
            fail(Invariant::one_content,
                 "acknowledged, but its number has another content: " + describe(order));
        content(stands, answer.hash, "an acknowledgement says");
        if (stands == order.number) {
            content(order.number, order.hash, "acknowledged:");
            const auto accepted = hashes_.find(order.number);
            if (accepted == hashes_.end() || accepted->second.count(order.hash) == 0)
                fail(Invariant::linearizable, "acknowledged, but no disk ever held it: " + describe(order));
        } else {
            // The number that stands instead: as good as a read.
            if (stands < call->floor || stands < order.number)
                fail(Invariant::linearizable,
                     "acknowledged with the older number " + std::to_string(stands) + ": " + describe(order));
            HistoryEvent read = order;
            read.kind = EventKind::read;
            read.number = stands;
            read.hash = answer.hash;
            call->stands = read;
        }
        acknowledged_ = std::max(acknowledged_, stands);
    }

    void judge_read(Call* call, const Answer& answer) {
        HistoryEvent& event = call->event;
        const bool nothing = !answer.result && answer.result.error().kind == pith::Kind::not_found;
        if (!answer.result && !nothing) return;
        event.outcome = EventOutcome::acknowledged;
        event.number = nothing ? 0 : *answer.result;
        event.hash = nothing ? std::string() : answer.hash;
        if (event.number < call->floor)
            fail(Invariant::linearizable, "a stale read: " + describe(event) + ", number " +
                                              std::to_string(call->floor) +
                                              " was acknowledged or read before");
        content(event.number, event.hash, "a read returned");
        acknowledged_ = std::max(acknowledged_, event.number);
    }

    bool refuses_old_;
    std::optional<Violation> violation_;
    std::map<std::string, std::map<std::string, Acceptances>>
        accepted_;                                           // state -> ballot -> disks that synced it
    std::map<std::uint64_t, std::set<std::string>> hashes_;  // of accepted states, by number
    std::map<std::uint64_t, std::string> decided_;           // by revision
    std::map<std::uint64_t, std::string> contents_;          // by number, of what is decided or answered
    std::map<std::uint64_t, Call> calls_;
    weft::ControlState newest_;
    std::uint64_t clock_ = 0, acknowledged_ = 0;
};

}  // namespace consensus::model
