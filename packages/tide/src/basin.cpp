#include "tide/basin.hpp"

#include <algorithm>

#include "pith/hash.hpp"

namespace tide {

using pith::Micros;

Basin::Shard& Basin::shard(const std::string& c) { return s_[pith::hash64(c) % kShards]; }

namespace {
constexpr Micros kRecent = 10 * pith::kSecond;  // beyond the window that Worst looks at
}

void Basin::Shard::touch(Micros now, Named* c, bool here) {
    Cell& x = c->second;
    x.touched = now;
    if (here) x.moved = now;
    if (!x.busy) busy.push_back(c);
    if (!x.told_of) recent.push_back(c);
    x.busy = x.told_of = true;
}

void Basin::allowances(Micros now, const std::map<std::string, Grant>& a, Left* left) {
    std::size_t n;
    Standing st;
    double part;
    {
        std::lock_guard<std::mutex> l(wm_);
        n = nodes_;
        st = standing_;
        part = part_;
    }
    for (auto& s : s_) {
        std::lock_guard<std::mutex> l(s.m);
        for (auto i = s.g.begin(); i != s.g.end();) {
            auto f = a.find(i->first);
            if (f != a.end()) {
                if (i->second.gate.allowance(now, f->second)) s.touch(now, &*i);
                ++i;
                continue;
            }
            i->second.gate.close(&left->expired);
            gone_[i->first] = i->second.gate.released();
            s.busy.erase(std::remove(s.busy.begin(), s.busy.end(), &*i), s.busy.end());
            s.recent.erase(std::remove(s.recent.begin(), s.recent.end(), &*i), s.recent.end());
            i = s.g.erase(i);
        }
        for (const auto& c : a) {
            if (&shard(c.first) != &s || s.g.count(c.first) != 0) continue;
            Gate g(now, c.second, n, t_);
            g.world(now, n, st, part);
            // What partners let through a moment ago is not known here yet: passes come at k4.
            g.spend();
            // A cumulative count never starts anew within one life (docs/design.md 6.4).
            auto old = gone_.find(c.first);
            if (old != gone_.end()) g.count_from(old->second);
            s.touch(now, &*s.g.emplace(c.first, Cell{std::move(g)}).first);
        }
    }
}

void Basin::world(Micros now, std::size_t nodes, Standing st, double part) {
    {
        std::lock_guard<std::mutex> l(wm_);
        if (nodes_ == nodes && standing_ == st && part_ == part) return;
        nodes_ = nodes;
        standing_ = st;
        part_ = part;
    }
    for (auto& s : s_) {
        std::lock_guard<std::mutex> l(s.m);
        for (auto& g : s.g) {
            g.second.gate.world(now, nodes, st, part);
            s.touch(now, &g);
        }
    }
}

Verdict Basin::arrive(Micros now, const std::string& customer, Id id, Micros deadline) {
    Shard& s = shard(customer);
    std::lock_guard<std::mutex> l(s.m);
    auto i = s.g.find(customer);
    if (i == s.g.end()) return Verdict{false, false, pith::kSecond};
    const Verdict v = i->second.gate.arrive(now, id, deadline);
    if (!v.queued && !v.released) ++i->second.away;
    if (v.queued || v.released) s.touch(now, &*i, true);
    return v;
}

Micros Basin::retry_after(const std::string& customer) {
    Shard& s = shard(customer);
    std::lock_guard<std::mutex> l(s.m);
    auto i = s.g.find(customer);
    return i == s.g.end() ? pith::kSecond : i->second.gate.retry_after();
}

bool Basin::draw(Micros now, const std::string& customer) {
    Shard& s = shard(customer);
    std::lock_guard<std::mutex> l(s.m);
    auto i = s.g.find(customer);
    if (i == s.g.end() || !i->second.gate.draw(now)) return false;
    s.touch(now, &*i, true);
    return true;
}

bool Basin::again(Micros now, const std::string& customer, Id id, Micros deadline) {
    Shard& s = shard(customer);
    std::lock_guard<std::mutex> l(s.m);
    auto i = s.g.find(customer);
    if (i == s.g.end()) return false;
    i->second.gate.again(now, id, deadline);
    s.touch(now, &*i, true);
    return true;
}

bool Basin::leave(Micros now, const std::string& customer, Id id) {
    Shard& s = shard(customer);
    std::lock_guard<std::mutex> l(s.m);
    auto i = s.g.find(customer);
    return i != s.g.end() && i->second.gate.leave(now, id);
}

void Basin::sense(Micros now, const std::vector<Sensed>& v, const Tally& t) {
    for (const auto& x : v) {
        Shard& s = shard(x.customer);
        std::lock_guard<std::mutex> l(s.m);
        auto i = s.g.find(x.customer);
        if (i == s.g.end()) continue;
        i->second.gate.sense(now, x.mass, t.queued(x.customer));
        s.touch(now, &*i);
    }
}

bool Basin::advance(Micros now, Left* left) {
    bool busy = false;
    for (auto& s : s_) {
        std::lock_guard<std::mutex> l(s.m);
        std::size_t kept = 0;
        for (Named* g : s.busy) {
            Gate& q = g->second.gate;
            if (!q.idle()) q.advance(now, &left->released, &left->expired);
            busy = busy || q.queued() > 0;
            g->second.busy = !q.idle();
            if (g->second.busy) s.busy[kept++] = g;
        }
        s.busy.resize(kept);
    }
    return busy;
}

bool Basin::waiting() {
    for (auto& s : s_) {
        std::lock_guard<std::mutex> l(s.m);
        for (const Named* g : s.busy)
            if (g->second.gate.queued() > 0) return true;
    }
    return false;
}

std::vector<Count> Basin::counts(Micros now, bool all) {
    std::vector<Count> v;
    auto add = [this, &v, now](const Named& g) {
        const Gate& q = g.second.gate;
        if (!q.limited()) return;  // partners have no use for it
        v.push_back({{g.first, q.released(), static_cast<std::uint64_t>(q.rate() * 1000),
                      static_cast<std::uint32_t>(q.queued())},
                     t_.over > 0 ? q.untold() : -1, now - g.second.moved <= kRecent || q.queued() > 0});
    };
    for (auto& s : s_) {
        std::lock_guard<std::mutex> l(s.m);
        std::size_t kept = 0;
        for (Named* g : s.recent) {
            g->second.told_of = now - g->second.touched <= kRecent || g->second.gate.queued() > 0;
            if (!g->second.told_of) continue;
            s.recent[kept++] = g;
            if (!all) add(*g);
        }
        s.recent.resize(kept);
        if (!all) continue;
        for (auto& g : s.g) add(g);
    }
    return v;
}

std::vector<GateView> Basin::view() {
    std::vector<GateView> v;
    for (auto& s : s_) {
        std::lock_guard<std::mutex> l(s.m);
        for (auto& g : s.g) {
            const Gate& q = g.second.gate;
            const Mass& m = q.net().mass();
            v.push_back({g.first, q.allowance(), q.rate(), m.e, q.net().rates().e0, m.t, q.released(),
                         g.second.away, q.queued(), q.standing()});
        }
    }
    std::sort(v.begin(), v.end(),
              [](const GateView& a, const GateView& b) { return a.customer < b.customer; });
    return v;
}

std::map<std::string, double> Basin::shares() {
    std::map<std::string, double> r;
    std::size_t n;
    {
        std::lock_guard<std::mutex> l(wm_);
        n = nodes_;
    }
    for (auto& s : s_) {
        std::lock_guard<std::mutex> l(s.m);
        for (auto& g : s.g)
            if (g.second.gate.limited()) r[g.first] = g.second.gate.allowance() / static_cast<double>(n);
    }
    return r;
}

}  // namespace tide
