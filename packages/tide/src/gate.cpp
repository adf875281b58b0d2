#include "tide/gate.hpp"

#include <algorithm>
#include <cmath>

namespace tide {

using pith::kMilli;
using pith::kSecond;
using pith::Micros;

namespace {
constexpr Micros kStep = kMilli;
constexpr Micros kLongGap = 3 * kSecond;  // after it only a settling step or two are worth their cost
constexpr double kLead = 0.5;
constexpr double kRateTau = 0.5;
constexpr double kOfOver = 0.4;  // of the tolerance, into the rate
}  // namespace

const char* standing_text(Standing s) {
    switch (s) {
        case Standing::whole:
            return "whole";
        case Standing::part:
            return "part";
        case Standing::share:
            return "share";
        case Standing::floor:
            return "floor";
    }
    return "unknown";
}

Gate::Gate(Micros now, const Grant& grant, std::size_t nodes, const Tuning& t)
    : t_(t), g_(grant), nodes_(std::max<std::size_t>(1, nodes)), net_(Rates{}), at_(now) {
    net_ = Net(rates());
}

double Gate::tolerance() const {
    if (t_.over <= 0) return 0;
    return t_.over * (g_.rate * static_cast<double>(t_.window) / 1e6 + g_.burst) + t_.slack;
}

// With a burst the pool is the burst, and k4 follows, so that a node at rest has the whole burst as free passes
// and saturation gives k4 * e0 = rate (docs/paper.md). Of the tolerance four tenths go into the rate and half of
// what is left into the pool; the rest is for errors of sensing and those cut off (docs/design.md 6.5).
Rates Gate::rates() const {
    const double n = static_cast<double>(nodes_), spare = t_.over > 0 ? t_.over * g_.burst + t_.slack : 0;
    double v = g_.rate * (t_.head + kOfOver * t_.over);
    double pool = g_.burst > 0 ? g_.burst + spare / 2 : spare / 2;
    double least = std::min(t_.least_pool, v * 0.4 + 0.5);
    if (standing_ == Standing::part) {
        v *= part_;
        pool *= part_;
        least = std::min(t_.least_pool, v * 0.4 + 0.5);
    }
    if (standing_ == Standing::share) {
        v = g_.rate / n;
        pool /= n;
        least = 0.2;
    }
    if (standing_ == Standing::floor) {
        v = g_.rate * t_.floor / n;
        pool = t_.over > 0 ? t_.slack / 8 / n : 0;
        least = 0.02;
    }
    Rates r;
    r.e0 = std::max(std::max(v / t_.k4, pool), least);
    r.k4 = v / r.e0;
    r.k2 = t_.k2_over_k4 * std::max(r.k4, t_.k4);
    r.k1 = t_.k1;
    r.k3 = t_.k3;
    r.k5 = t_.k5;
    r.kf = t_.kf;
    r.k6 = t_.k6;
    return r;
}

void Gate::spend() {
    const double n = static_cast<double>(nodes_);
    net_.spend();
    net_.lend(tolerance() / 4 / n);
}

double Gate::untold() const {
    return std::max(0.0, net_.mass().e - net_.mass().t + tolerance() / 8) / static_cast<double>(nodes_);
}

bool Gate::allowance(Micros now, const Grant& g) {
    if (g == g_) return false;
    run(now);
    g_ = g;
    net_.rates(rates());
    return true;
}

void Gate::world(Micros now, std::size_t nodes, Standing s, double part) {
    nodes = std::max<std::size_t>(1, nodes);
    if (nodes == nodes_ && s == standing_ && part == part_) return;
    run(now);
    nodes_ = nodes;
    // A share is used apart from what partners do: nothing of theirs is charged to it.
    if (s != standing_ && (s >= Standing::share || standing_ >= Standing::share)) net_.forget_partners();
    standing_ = s;
    part_ = part;
    net_.rates(rates());
}

// Passes come back at k4*e0 for the whole fleet, and all who queue anywhere share them: what stands before a
// visit is everybody's queue and what partners released beyond the passes there are (docs/design.md 6.3).
double Gate::wait_s() const {
    const Mass& m = net_.mass();
    const double full = std::max(net_.rates().k4 * net_.rates().e0, 0.01);
    return (static_cast<double>(live_) + ext_queue_ + std::max(0.0, m.t - m.e)) / full;
}

Micros Gate::retry_after() const {
    const double full = std::max(net_.rates().k4 * net_.rates().e0, 0.01);
    const double one = std::max(0.0, 1 - net_.mass().e) / full;  // until the next whole pass
    return static_cast<Micros>(std::min(30.0, wait_s() + one) * 1e6) + kMilli;
}

Verdict Gate::arrive(Micros now, Id id, Micros deadline) {
    // Where nobody waits and passes are there for all that is sensed, r1, r2 and rout are carried out for one
    // unit at once (docs/design.md 6.3).
    if (!g_.limited() || (live_ == 0 && deadline > now && draw_free(now))) {
        if (!g_.limited()) note_release(now);
        return Verdict{false, true, 0};
    }
    run(now);
    const Micros most = std::min(deadline, now + t_.wait);
    if (most <= now || live_ >= t_.queue || wait_s() * 1e6 > static_cast<double>(most - now)) {
        return Verdict{false, false, retry_after()};
    }
    q_.push_back({id, most, false});
    in_[id] = most;
    ++live_;
    net_.arrive(1.0);
    return Verdict{true, false, 0};
}

void Gate::note_release(Micros now) {
    if (!g_.limited()) {
        rate_ *= std::exp(-static_cast<double>(std::max<Micros>(0, now - at_)) / 1e6 / kRateTau);
        at_ = std::max(at_, now);
    }
    ++released_;
    rate_ += 1.0 / kRateTau;
}

bool Gate::draw_free(Micros now) {
    run(now);
    if (net_.mass().e - net_.mass().t < 1 || !net_.draw()) return false;
    note_release(now);
    return true;
}

bool Gate::draw(Micros now) {
    if (g_.limited()) {
        run(now);
        if (!net_.draw()) return false;
    }
    note_release(now);
    return true;
}

void Gate::again(Micros now, Id id, Micros deadline) {
    run(now);
    q_.push_front({id, deadline, false});
    in_[id] = deadline;
    ++live_;
    net_.arrive(1.0);
}

void Gate::drop_mass(double n) {
    const double left = net_.withdraw(n);
    void_ += left;
}

bool Gate::leave(Micros now, Id id) {
    run(now);
    auto i = in_.find(id);
    if (i == in_.end()) return false;
    in_.erase(i);
    --live_;
    drop_mass(1.0);
    return true;
}

void Gate::sense(Micros now, double mass, double queued) {
    run(now);
    const bool shared = standing_ <= Standing::part;
    if (shared) net_.sense(mass);
    ext_queue_ = shared ? queued : 0;
}

void Gate::close(std::vector<Id>* expired) {
    for (const auto& p : in_) expired->push_back(p.first);
    in_.clear();
    q_.clear();
    drop_mass(static_cast<double>(live_));
    live_ = 0;
}

double Gate::slack() const {
    const Mass& m = net_.mass();
    return m.s + m.es + m.f + m.out - static_cast<double>(live_) - void_ - lead_;
}

void Gate::run(Micros now) {
    if (now <= at_) return;
    Micros d = now - at_;
    rate_ *= std::exp(-static_cast<double>(d) / 1e6 / kRateTau);
    if (live_ == 0 && net_.at_rest()) {
        net_.rest();
        at_ = now;
        return;
    }
    if (d > kLongGap) {
        // Far behind (a freeze): what is queued is judged by its deadline first; the rest settles in big
        // stable steps.
        const Micros big = d - kLongGap;
        for (int i = 0; i < 8; ++i) net_.step(static_cast<double>(big) / 8e6);
        at_ += big;
        d = kLongGap;
    }
    const Micros n = d / kStep;
    for (Micros i = 0; i < n; ++i) {
        net_.step(1e-3);
        if (live_ == 0 && net_.at_rest()) {
            net_.rest();
            at_ = now;
            return;
        }
    }
    at_ += n * kStep;
}

void Gate::advance(Micros now, std::vector<Id>* released, std::vector<Id>* expired) {
    // A visit whose time ran out is out of S before anything is released (docs/design.md 6.3).
    while (!q_.empty() && in_.count(q_.front().id) == 0) q_.pop_front();
    for (auto& w : q_) {
        if (w.gone || w.deadline > now) continue;
        w.gone = true;
        if (in_.erase(w.id) == 0) continue;
        --live_;
        drop_mass(1.0);
        expired->push_back(w.id);
    }
    run(now);
    if (void_ > 0) void_ -= net_.take(void_);
    if (lead_ > 0) lead_ -= net_.take(lead_);
    while (live_ > 0 && (!g_.limited() || net_.mass().out + kLead - lead_ >= 1.0)) {
        if (g_.limited()) {
            lead_ += 1.0 - net_.take(1.0);
        } else {
            drop_mass(1.0);  // it has no limit: all go at once
        }
        while (!q_.empty() && (q_.front().gone || in_.count(q_.front().id) == 0)) q_.pop_front();
        if (q_.empty()) break;
        released->push_back(q_.front().id);
        in_.erase(q_.front().id);
        q_.pop_front();
        --live_;
        ++released_;
        rate_ += 1.0 / kRateTau;
    }
    if (live_ == 0) {
        while (!q_.empty()) q_.pop_front();
        // Nothing waits: what mass is left belongs to nobody but the lead.
        const double rest = net_.mass().out;
        if (rest > 0 && lead_ <= 0) net_.take(rest);
    }
}

}  // namespace tide
