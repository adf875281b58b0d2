#include "loom/control_clients.hpp"

#include <algorithm>

namespace loom {

using pith::kMilli;
using pith::kSecond;

namespace {
constexpr Micros kLook = 20 * kMilli;
constexpr Micros kTryPatience = kSecond;        // then the operator goes on to the next node
constexpr Micros kTryPause = 50 * kMilli;       // before the next try
constexpr Micros kAckWithin = 4 * kSecond;      // of calm
constexpr Micros kReadWithin = kSecond;         // of calm
constexpr Micros kReadSettle = 2 * kSecond;     // until a node that came back knows the others
constexpr Micros kReplaceWithin = 4 * kSecond;  // syncTime
constexpr std::size_t kMostVotersWatched = 16;

std::string milliseconds(Micros t) { return std::to_string(t / kMilli) + " ms"; }
}  // namespace

// ---- operators

std::size_t Operators::order(const std::string& node, std::uint64_t number, const std::string& note) {
    Delivery delivery;
    delivery.number = number;
    delivery.note = note;
    delivery.nodes = world_->names("keeper");
    const auto first = std::find(delivery.nodes.begin(), delivery.nodes.end(), node);
    if (first != delivery.nodes.end()) std::rotate(delivery.nodes.begin(), first, delivery.nodes.end());
    delivery.start = world_->now();
    deliveries_.push_back(std::move(delivery));
    step(deliveries_.size() - 1);
    return deliveries_.size() - 1;
}

void Operators::step(std::size_t index) {
    Delivery& delivery = deliveries_[index];
    const Micros now = world_->now();
    if (delivery.call != 0) {
        const OperatorCall& call = world_->call(delivery.call);
        if (call.outcome != CallOutcome::unclear) {
            delivery.outcome = call.outcome;
            delivery.end = call.end;
            return;
        }
        const bool ended = call.end != pith::kNever || !world_->up(call.node);
        if (ended || now - delivery.tried >= kTryPatience) delivery.call = 0;
    }
    if (delivery.call == 0 && now >= delivery.tried + (delivery.tried == 0 ? 0 : kTryPause)) {
        const std::string& node = delivery.nodes[delivery.next++ % delivery.nodes.size()];
        delivery.tried = now;
        if (world_->up(node)) delivery.call = world_->push(node, delivery.number, delivery.note);
    }
    world_->at(now + kLook, [this, index] { step(index); });
}

bool Operators::all_done() const {
    return std::all_of(deliveries_.begin(), deliveries_.end(),
                       [](const Delivery& delivery) { return delivery.end != pith::kNever; });
}

// ---- watch

void ControlWatch::start(Micros at) {
    world_->at(at, [this] { look(); });
}

bool ControlWatch::quorum(const std::set<std::string>& nodes) const {
    const auto majority = [this, &nodes](const std::vector<weft::Voter>& voters) {
        std::size_t count = 0;
        for (const auto& voter : voters)
            count += nodes.count(voter.name) != 0 && world_->disk(voter.name).disk == voter.disk ? 1 : 0;
        return count >= voters.size() / 2 + 1;
    };
    const auto& state = world_->newest();
    return !state.voters.empty() && majority(state.voters) &&
           (state.joining.empty() || majority(state.joining));
}

// The largest set of voters that run well, are linked with each other and are a majority; and whoever else
// runs well and is linked with all of these. Empty where there is none.
std::set<std::string> ControlWatch::well_majority() const {
    std::vector<std::string> able;
    for (const auto& name : consensus::voter_names(world_->newest()))
        if (world_->runs_well(name)) able.push_back(name);
    if (able.size() > kMostVotersWatched) able.resize(kMostVotersWatched);
    std::set<std::string> best;
    for (std::uint32_t subset = 1; subset < (1U << able.size()); ++subset) {
        std::set<std::string> nodes;
        for (std::size_t i = 0; i < able.size(); ++i)
            if ((subset >> i & 1) != 0) nodes.insert(able[i]);
        if (nodes.size() <= best.size() || !quorum(nodes)) continue;
        const bool whole = std::all_of(nodes.begin(), nodes.end(), [this, &nodes](const std::string& a) {
            return std::all_of(nodes.begin(), nodes.end(),
                               [this, &a](const std::string& b) { return world_->linked(a, b); });
        });
        if (whole) best = nodes;
    }
    if (best.empty()) return best;
    std::set<std::string> with_others = best;
    for (const auto& name : world_->names("keeper"))
        if (world_->runs_well(name) &&
            std::all_of(best.begin(), best.end(),
                        [this, &name](const std::string& b) { return world_->linked(name, b); }))
            with_others.insert(name);
    return with_others;
}

void ControlWatch::look() {
    const Micros now = world_->now();
    const auto majority = well_majority();
    if (majority.empty())
        calm_since_ = pith::kNever;
    else
        calm_since_ = std::min(calm_since_, now);
    for (const auto& name : majority) well_since_.emplace(name, now);
    for (auto i = well_since_.begin(); i != well_since_.end();)
        i = majority.count(i->first) == 0 ? well_since_.erase(i) : std::next(i);
    look_at_orders();
    look_at_reads();
    look_at_voters();
    world_->at(now + kLook, [this] { look(); });
}

void ControlWatch::look_at_orders() {
    if (calm_since_ == pith::kNever) return;
    const auto& all = operators_->deliveries();
    for (std::size_t i = 0; i < all.size(); ++i) {
        const Delivery& delivery = all[i];
        const Micros since = std::max(delivery.start, calm_since_);
        if (delivery.end != pith::kNever || world_->now() - since <= kAckWithin || !late_.insert(i).second)
            continue;
        world_->checks.fail("late_ack", "order " + std::to_string(delivery.number) + " sent at " +
                                            milliseconds(delivery.start) + " had no answer at " +
                                            milliseconds(world_->now()) + ", with a majority well since " +
                                            milliseconds(calm_since_));
    }
}

// A read at a node that is well, and linked with a well majority since long before, is answered.
void ControlWatch::look_at_reads() {
    const auto& calls = world_->calls();
    for (; reads_seen_ < calls.size(); ++reads_seen_) {
        const OperatorCall& call = calls[reads_seen_];
        if (call.end == pith::kNever && world_->now() - call.start < kReadWithin) break;
        if (call.kind != CallKind::read || call.outcome != CallOutcome::unclear || call.lost) continue;
        const auto since = well_since_.find(call.node);
        if (since == well_since_.end() || since->second + kReadSettle > call.start) continue;
        if (call.answer.empty() && call.end != pith::kNever) continue;
        world_->checks.fail("read_unavailable",
                            "a read at " + call.node + " at " + milliseconds(call.start) + " had " +
                                (call.answer.empty() ? "no answer" : call.answer) +
                                "; the node and a majority were well since " + milliseconds(since->second));
    }
}

// A voter that is gone for good is replaced in time, where another control node is well and can take its
// place.
void ControlWatch::look_at_voters() {
    const Micros now = world_->now();
    std::set<std::string> lost;
    std::set<std::string> names;
    for (const auto& voter : world_->newest().voters) {
        names.insert(voter.name);
        const bool there = world_->up(voter.name) && world_->disk(voter.name).disk == voter.disk;
        if (!there) lost.insert(voter.disk);
    }
    for (auto i = lost_since_.begin(); i != lost_since_.end();)
        i = lost.count(i->first) == 0 ? lost_since_.erase(i) : std::next(i);
    Micros ready_since = pith::kNever;  // of the first that could take a place
    for (const auto& well : well_since_) {
        const bool own_place = names.count(well.first) == 0 || lost.count(world_->disk(well.first).disk) != 0;
        if (own_place) ready_since = std::min(ready_since, well.second);
    }
    for (const auto& disk : lost) {
        const Micros since = lost_since_.emplace(disk, now).first->second;
        if (calm_since_ == pith::kNever || ready_since == pith::kNever) continue;
        const Micros owed = std::max({since, calm_since_, ready_since});
        if (now - owed <= kReplaceWithin || !overdue_.insert(disk).second) continue;
        world_->checks.fail("not_replaced", disk + " is lost since " + milliseconds(since) +
                                                ", and still votes at " + milliseconds(now));
    }
}

}  // namespace loom
