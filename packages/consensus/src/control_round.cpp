// Attempts to decide a state: promises, content, acceptances (docs/control.md, "Register").
#include <algorithm>

#include "consensus/control_register.hpp"

namespace consensus {

using pith::Micros;

namespace {
constexpr std::size_t kRecentNumbers = 32;  // decided numbers that are remembered with their content
constexpr Micros kRoundPatience = 1200 * pith::kMilli;
constexpr unsigned kMostDoublings = 4;  // of the wait after lost ballots

void remember(weft::ControlState* state) {
    if (state->number == 0) return;
    state->recent.push_back({state->number, pith::hash64(state->hash)});
    if (state->recent.size() > kRecentNumbers) state->recent.erase(state->recent.begin());
}
}  // namespace

bool ControlRegister::round_due(Micros now) const {
    if (round_.phase != Phase::idle || !known_ || now < next_round_) return false;
    if (order_due() || completion_due_) return true;
    if (!proposer()) return false;
    if (!decided_.joining.empty()) return true;
    return !same_voters(next_voters(decided_, candidates(now), config_.tuning.membership), decided_.voters);
}

void ControlRegister::begin_round(Micros now, Actions* actions) {
    completion_due_ = false;
    round_ = Round{};
    round_.phase = Phase::prepare;
    round_.serial = ++serial_;
    round_.ballot = weft::Ballot{++highest_round_, config_.name, config_.life};
    round_.start = decided_;
    round_.found = decided_;
    round_.resend_at = now + config_.tuning.resend;
    round_.until = now + kRoundPatience;
    for (const auto& order : orders_)
        if (!order.second.forwarded) round_.orders.insert(order.first);
    for (const auto& read : reads_) round_.reads.insert(read.first);
    if (config_.mutations.skip_prepare)
        choose(now, actions);
    else
        ask_promises(round_.start);
}

void ControlRegister::ask_promises(const weft::ControlState& state) {
    for (const auto& name : voter_names(state))
        if (round_.promises.count(name) == 0) send(name, weft::PrepareAsk{round_.serial, round_.ballot});
}

// Promises count once they are a quorum of the membership that we began with, and of the one in the state
// that was accepted under the highest ballot among them (docs/control.md, "Why one state a revision").
void ControlRegister::promised(Micros now, const std::string& from, const weft::PrepareSaid& said,
                               Actions* actions) {
    highest_round_ = std::max(highest_round_, said.promised.round);
    if (round_.phase == Phase::idle || said.serial != round_.serial) return;
    if (round_.ballot < said.accepted || (said.ok == 0 && round_.ballot < said.promised)) {
        lost_ballot(now, said.promised < said.accepted ? said.accepted : said.promised);
        return;
    }
    if (said.ok == 0 || !round_.promises.emplace(from, said).second) return;
    if (round_.phase == Phase::accept) ask_accept(from, false);
    if (round_.phase != Phase::prepare) return;
    if (round_.found_under < said.accepted && !config_.mutations.ignore_accepted) {
        round_.found = said.state;
        round_.found_under = said.accepted;
        ask_promises(round_.found);
    }
    // A majority that knows less than was decided has lost something: nothing is built on that.
    if (round_.found.revision < round_.start.revision) return;
    const Answered all = answered(round_.promises);
    if (has_quorum(round_.start, all) && has_quorum(round_.found, all)) choose(now, actions);
}

// What was found is completed, with the orders that wait on top of it, or a change of membership.
void ControlRegister::choose(Micros now, Actions* actions) {
    (void)actions;
    round_.proposed = round_.found;
    if (!carry_orders(&round_.proposed)) change_membership(now, &round_.proposed);
    if (round_.proposed.hash.empty() || content_of(round_.proposed.hash) != nullptr) {
        begin_accept(now);
        return;
    }
    round_.phase = Phase::content;
    round_.resend_at = now;
    tick_round(now);
}

bool ControlRegister::carry_orders(weft::ControlState* state) {
    const Order* highest = nullptr;
    for (const auto id : round_.orders) {
        const auto i = orders_.find(id);
        if (i == orders_.end() || i->second.number <= state->number) continue;
        if (highest == nullptr || i->second.number > highest->number) highest = &i->second;
    }
    if (highest == nullptr) return false;
    state->number = highest->number;
    state->hash = highest->hash;
    ++state->revision;
    remember(state);
    contents_.put(highest->hash, *highest->text);
    return true;
}

// Only on top of a state that is decided: a joint set first, then the new set alone.
void ControlRegister::change_membership(Micros now, weft::ControlState* state) const {
    if (state->revision != decided_.revision || proposer_name() != config_.name) return;
    if (!state->joining.empty()) {
        state->voters = state->joining;
        state->joining.clear();
    } else {
        const auto next = next_voters(*state, candidates(now), config_.tuning.membership);
        if (same_voters(next, state->voters)) return;
        (config_.mutations.no_joint ? state->voters : state->joining) = next;
    }
    ++state->epoch;
    ++state->revision;
}

void ControlRegister::begin_accept(Micros now) {
    round_.phase = Phase::accept;
    round_.resend_at = now + config_.tuning.resend;
    const std::set<std::string> of_start = voter_names(round_.start), of_found = voter_names(round_.found);
    for (const auto& name : voter_names(round_.proposed)) {
        const bool promise_due = round_.promises.count(name) == 0 && !config_.mutations.skip_prepare &&
                                 (of_start.count(name) != 0 || of_found.count(name) != 0);
        if (!promise_due) ask_accept(name, false);  // else as its promise comes, which tells what it holds
    }
}

// The content goes along to those that are known to lack it, as a difference to what they hold; to others on
// request.
void ControlRegister::ask_accept(const std::string& to, bool whole) {
    weft::AcceptAsk ask;
    ask.serial = round_.serial;
    ask.ballot = round_.ballot;
    ask.state = round_.proposed;
    const std::string& hash = round_.proposed.hash;
    const auto promise = round_.promises.find(to);
    const bool lacks = promise != round_.promises.end() && promise->second.state.hash != hash;
    if (to != config_.name && !hash.empty() && (whole || lacks) && content_of(hash) != nullptr)
        ask.packed = contents_.packed(hash, whole ? std::string() : promise->second.state.hash, &ask.base);
    send(to, std::move(ask));
}

void ControlRegister::accepted(Micros now, const std::string& from, const weft::AcceptSaid& said,
                               Actions* actions) {
    highest_round_ = std::max(highest_round_, said.promised.round);
    if (round_.phase != Phase::accept || said.serial != round_.serial) return;
    if (said.needs_content != 0) {
        ask_accept(from, true);
        return;
    }
    if (said.ok == 0) {
        if (round_.ballot < said.promised) lost_ballot(now, said.promised);
        return;
    }
    round_.accepted[from] = counted_disk(from, said.disk);
    if (has_quorum(round_.proposed, round_.accepted)) round_decided(now, actions);
}

void ControlRegister::round_decided(Micros now, Actions* actions) {
    const Round done = std::move(round_);
    round_ = Round{};
    lost_ = 0;
    decide(now, done.proposed, actions);
    for (const auto& peer : peers_)
        if (peer.second.live) send(peer.first, weft::Decided{done.ballot, done.proposed});
    settle_orders(done.orders, actions);
    confirm_reads(done.reads);
    answer_reads(actions);
}

// Somebody else proposes: we come back after a time that is drawn, and longer the more often.
void ControlRegister::lost_ballot(Micros now, const weft::Ballot& by) {
    highest_round_ = std::max(highest_round_, by.round);
    const std::uint64_t steps = std::uint64_t{2} << std::min(lost_, kMostDoublings);
    ++lost_;
    next_round_ = now + config_.tuning.back_off * static_cast<Micros>(1 + random_.below(steps));
    completion_due_ = completion_due_ || !round_.reads.empty();
    round_ = Round{};
}

void ControlRegister::tick_round(Micros now) {
    if (round_.phase == Phase::idle) return;
    if (now >= round_.until) {
        round_ = Round{};
        next_round_ = now + config_.tuning.back_off;
        return;
    }
    if (now < round_.resend_at) return;
    round_.resend_at = now + config_.tuning.resend;
    if (round_.phase == Phase::prepare) {
        ask_promises(round_.start);
        ask_promises(round_.found);
    } else if (round_.phase == Phase::content) {
        for (const auto& promise : round_.promises)
            if (promise.second.state.hash == round_.proposed.hash)
                send(promise.first, weft::ContentAsk{round_.proposed.hash, acceptor_.wanted().state.hash});
    } else {
        for (const auto& name : voter_names(round_.proposed))
            if (round_.accepted.count(name) == 0) ask_accept(name, false);
    }
}

}  // namespace consensus
