// The simulated fleet: its construction and the loop over events in virtual time.
#include "loom/world.hpp"

#include <algorithm>

#include "world_types.hpp"

namespace loom {

using pith::kMilli;
using pith::kSecond;

World::World(Deployment d, std::uint64_t seed, tide::Tuning t, span::CoreTuning ct, Breaks b)
    : d_(std::move(d)),
      rng_(seed * 7919 + 17),
      tune_(t),
      core_tune_(ct),
      breaks_(b),
      operator_rng_(seed * 104729 + 5) {
    pith::crypto_start();
    static std::pair<std::string, std::string> keys = [] {
        std::pair<std::string, std::string> k;
        creed::keygen(&k.first, &k.second);
        return k;
    }();
    pk_ = keys.first;
    sk_ = keys.second;
    const char* z[] = {"a", "b", "c"};
    for (int i = 0; i < d_.keepers + d_.spares; ++i) {
        const std::string n = "k" + std::to_string(i + 1);
        if (i >= d_.keepers) spare_.insert(n);
        role_[n] = "keeper";
        zone_[n] = z[i % 3];
    }
    for (int i = 0; i < d_.proxies; ++i) {
        const std::string n = "p" + std::to_string(i + 1);
        role_[n] = "proxy";
        zone_[n] = z[i % 3];
    }
    for (int i = 0; i < d_.servers; ++i) {
        auto s = std::make_unique<Server>();
        s->address = "10.0.0." + std::to_string(i + 1) + ":80";
        s->service = d_.services[static_cast<std::size_t>(i) % d_.services.size()];
        s->instance = "i" + std::to_string(i + 1) + "-1";
        s->locality = z[i % 3];
        s->work = d_.work;
        s_.push_back(std::move(s));
    }
    listings_.emplace_back(-pith::kNever, listed());
    set_link_widths();
    for (const auto& r : role_)
        if (spare_.count(r.first) == 0) boot(r.first);
    at(200 * kMilli, [this] { look_ready(); });
    if (d_.reads_every > 0) at(kSecond, [this] { read_now_and_then(); });
    for (std::size_t i = 0; i < d_.customers.size(); ++i) at(4 * kSecond, [this, i] { arrivals(i, 0); });
}

World::~World() = default;

void World::at(Micros t, std::function<void()> f) { q_.push(Ev{std::max(t, now_), ev_n_++, std::move(f)}); }

void World::run_until(Micros t) {
    while (!q_.empty() && q_.top().t <= t) {
        Ev e = q_.top();
        q_.pop();
        now_ = e.t;
        e.f();
    }
    now_ = t;
}

bool World::up(const std::string& n) const {
    auto i = n_.find(n);
    return i != n_.end() && i->second != nullptr;
}

std::vector<std::string> World::names(const std::string& role) const {
    std::vector<std::string> v;
    for (const auto& r : role_)
        if (r.second == role) v.push_back(r.first);
    return v;
}
}  // namespace loom
