// Contact with a majority before serving, without a write (docs/control.md, "Serving").
#include <algorithm>

#include "consensus/control_register.hpp"

namespace consensus {

using pith::Micros;

namespace {
constexpr Micros kSplitWait = 40 * pith::kMilli;  // for an attempt under way to end
constexpr unsigned kMostSplits = 3;               // then it is completed
constexpr Micros kBehindEvery = 300 * pith::kMilli;
}  // namespace

void ControlRegister::begin_look(Micros now) {
    const unsigned splits = look_.splits;
    look_ = Look{};
    look_.splits = splits;
    look_.serial = ++serial_;
    look_.start = decided_;
    look_.resend_at = now + config_.tuning.resend;
    look_.until = now + config_.tuning.patience;
    for (const auto& order : orders_)
        if (!order.second.forwarded) look_.orders.insert(order.first);
    for (const auto& read : reads_) look_.reads.insert(read.first);
    for (const auto& name : voter_names(decided_)) send(name, weft::PrepareAsk{look_.serial, weft::Ballot{}});
}

void ControlRegister::looked(Micros now, const std::string& from, const weft::PrepareSaid& said,
                             Actions* actions) {
    if (look_.serial == 0 || said.serial != look_.serial) return;
    look_.said[from] = said;
    look_.said_at[from] = now;
    evaluate_look(now, actions);
}

// The state accepted under the highest ballot is decided where a quorum of its own membership has accepted
// just that. The answers also are a quorum of the membership that we began with: nothing newer can have been
// decided before the look.
void ControlRegister::evaluate_look(Micros now, Actions* actions) {
    weft::ControlState best = look_.start;
    weft::Ballot under;
    for (const auto& s : look_.said) {
        if (!(under < s.second.accepted)) continue;
        under = s.second.accepted;
        best = s.second.state;
    }
    if (best.revision < look_.start.revision) return;
    const Answered all = answered(look_.said);
    for (const auto& name : voter_names(best))
        if (voter_names(look_.start).count(name) == 0 && look_.said.count(name) == 0)
            send(name, weft::PrepareAsk{look_.serial, weft::Ballot{}});
    if (!has_quorum(look_.start, all) || !has_quorum(best, all)) return;
    std::map<std::string, weft::PrepareSaid> same;
    for (const auto& s : look_.said)
        if (s.second.accepted == under) same.insert(s);
    if (!has_quorum(best, answered(same))) {
        if (look_.settle_at == 0) look_.settle_at = now + kSplitWait;
        return;
    }
    const Look done = std::move(look_);
    look_ = Look{};
    looked_once_ = true;
    decide(now, best, actions);
    settle_orders(done.orders, actions);
    confirm_reads(done.reads);
    answer_reads(actions);
}

void ControlRegister::tick_look(Micros now, Actions* actions) {
    (void)actions;
    if (look_.serial != 0 && look_.settle_at != 0 && now >= look_.settle_at) {
        ++look_.splits;
        if (look_.splits >= kMostSplits) {
            look_ = Look{};
            completion_due_ = true;  // settles the same reads and orders
            return;
        }
        begin_look(now);
        return;
    }
    if (look_.serial != 0 && now >= look_.until) look_ = Look{};
    if (look_.serial != 0 &&
        look_.start.epoch != decided_.epoch) {  // those that it asks may be gone for good
        begin_look(now);
        return;
    }
    if (look_.serial != 0) {
        if (now < look_.resend_at) return;
        look_.resend_at = now + config_.tuning.resend;
        // All are asked again: what a node said that is cut off since must not hold the others up.
        for (const auto& at : look_.said_at)
            if (now - at.second > config_.tuning.read_patience) look_.said.erase(at.first);
        for (const auto& name : voter_names(look_.start))
            send(name, weft::PrepareAsk{look_.serial, weft::Ballot{}});
        return;
    }
    if (!known_) return;
    const bool reads =
        std::any_of(reads_.begin(), reads_.end(), [](const auto& r) { return !r.second.confirmed; });
    const bool orders = std::any_of(orders_.begin(), orders_.end(), [this](const auto& o) {
        return !o.second.forwarded && o.second.number <= decided_.number;
    });
    const bool behind = (behind_ > decided_.number || !looked_once_) && now >= next_behind_;
    if (behind) next_behind_ = now + kBehindEvery;
    if (reads || orders || behind) begin_look(now);
}

}  // namespace consensus
