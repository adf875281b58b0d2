// Servers behind the simulated fleet: slots, queue, failures, replacement.
#include <algorithm>

#include "world_types.hpp"

namespace loom {

using pith::kMilli;

namespace {
constexpr int kServerSlots = 2;
constexpr std::size_t kServerQueue = 8;
}  // namespace

void World::server_take(std::size_t i, std::uint64_t life, VisitPtr v, std::function<void(int)> answer) {
    Server& s = *s_[i];
    if (!s.up || s.life != life) {
        answer(0);
        return;
    }
    if (s.service != v->service)
        checks.fail("unallowed", "a visit for " + v->service + " reached " + s.service);
    if (s.instance != v->errand->slot().instance && !breaks_.trust_address) {
        answer(421);
        return;
    }
    // It works on two, queues eight more, and turns away the rest without running them.
    if (s.busy >= kServerSlots && s.line.size() >= kServerQueue) {
        answer(503);
        return;
    }
    s.line.emplace_back(v, std::move(answer));
    server_next(i);
}

void World::server_next(std::size_t i) {
    Server& s = *s_[i];
    while (s.busy < kServerSlots && !s.line.empty()) {
        auto job = s.line.front();
        s.line.pop_front();
        ++s.busy;
        const auto life = s.life;
        if (s.mode == "hang") continue;  // taken, and never answered
        const Micros w =
            std::max<Micros>(kMilli, static_cast<Micros>(static_cast<double>(s.work) * (0.5 + rng_.unit())));
        later(w, [this, i, life, job] {
            Server& t = *s_[i];
            if (!t.up || t.life != life) {
                job.second(0);
                return;
            }
            --t.busy;
            const int code = t.mode == "lose" ? 0 : t.mode == "garbage" ? 1 : t.mode == "error" ? 500 : 200;
            checks.ran(job.first->try_id, job.first->write, code == 200);
            job.second(code);
            server_next(i);
        });
    }
}

std::vector<weft::ServerRec> World::listed() const {
    std::vector<weft::ServerRec> v;
    for (const auto& s : s_)
        if (s->listed)
            v.push_back({s->address, s->service, s->instance, s->locality,
                         s->leaving && !breaks_.ignore_leaving ? span::kLeaving : span::kServing});
    return v;
}

void World::server_mode(std::size_t i, const std::string& mode, Micros work) {
    if (s_[i]->mode == "hang" && mode != "hang") {
        server_crash(i);  // it is started anew: what hung is lost
        s_[i]->up = true;
    }
    s_[i]->mode = mode;
    s_[i]->work = work;
}

void World::server_crash(std::size_t i) {
    Server& s = *s_[i];
    s.up = false;
    ++s.life;
    s.busy = 0;
    auto l = std::move(s.line);
    s.line.clear();
    for (auto& j : l) j.second(0);
}

void World::server_replace(std::size_t i, const std::string& service) {
    Server& s = *s_[i];
    server_crash(i);
    s.up = true;
    s.leaving = false;
    s.known_at = s.shown_at = 0;
    s.service = service.empty() ? s.service : service;
    s.instance = "i" + std::to_string(i + 1) + "-" + std::to_string(s.life);
    s.mode = "well";
    s.work = d_.work;
    listings_.emplace_back(now_, listed());
}

bool World::says_leaving(const Server& s) const {
    return s.leaving && d_.servers_say_leaving && !breaks_.ignore_leaving;
}

// From when the platform's listing shows that it leaves a machine in touch has 2 s, while the platform is as it should be.
void World::judge_leaving(const std::string& node, const Server& s) {
    if (!s.leaving) return;
    // Where servers say so themselves also a machine that just woke or is cut off knows it in time.
    if (s.known_at > 0 && d_.servers_say_leaving) checks.to_leaving(now_, s.known_at);
    if (s.shown_at == 0 || list_fails_ || !list_how_.empty() || !in_touch(node)) return;
    const Micros since = std::max(s.shown_at, platform_changed_ + list_lag_);
    checks.to_leaving(now_, since, node);
    checks.latest_to_leaving = std::max(checks.latest_to_leaving, now_ - since);
}

void World::server_leave(std::size_t i) {
    s_[i]->leaving = true;
    s_[i]->shown_at = now_ + list_lag_;
    if (breaks_.ignore_leaving) s_[i]->known_at = now_;
    listings_.emplace_back(now_, listed());
}

}  // namespace loom
