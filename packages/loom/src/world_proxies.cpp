// What a simulated proxy asks of its surroundings: the platform's listing, probes, whether callers may come.
#include "world_types.hpp"

namespace loom {

using pith::kSecond;

void World::carry(Node& n, span::Todo& d) {
    send(n, d.out);
    left(n, d.left);
    if (d.policy) {
        n.bundle = n.core->policy()->number();
        checks.acted(now_, n.name, n.life, breaks_.slip_back && n.bundle > 11 ? 1 : n.bundle,
                     n.core->policy()->bundle().hash);
    }
    const std::string name = n.name;
    const auto life = n.life;
    if (d.list != 0) {
        ++listings;
        later(2 * trip(), [this, name, life, question = d.list] {
            on_node(name, life, [this, question](Node& m) {
                if (list_fails_) {
                    m.core->list_failed(now_, question, 0);
                    return;
                }
                std::vector<weft::ServerRec> v;
                for (const auto& l : listings_)
                    if (l.first + list_lag_ <= now_) v = l.second;
                if (list_how_ == "empty") v.clear();
                if (list_how_ == "twice" && v.size() > 1) {
                    v.push_back(v[0]);
                    v.back().service = v[1].service;
                }
                for (const auto& l : v)
                    for (const auto& s : s_)
                        if (l.state == span::kLeaving && s->instance == l.instance && s->known_at == 0)
                            s->known_at = now_;
                span::Todo e;
                m.core->listed(now_, question, v, &e);
                carry(m, e);
            });
        });
    }
    if (!d.probe.empty()) {
        auto probe = d.probe;
        probes += probe.size();
        sessions += probe.size();
        later(4 * trip(), [this, name, life, probe] {
            on_node(name, life, [this, probe](Node& m) {
                std::vector<weft::ProbeRec> r;
                for (const auto& p : probe) {
                    std::uint8_t verdict = 1;
                    for (const auto& s : s_)
                        if (s->address == p.address && s->up && s->instance == p.instance &&
                            s->service == p.service)
                            verdict = says_leaving(*s) ? 2 : 0;
                    if (verdict == 2)
                        for (const auto& s : s_)
                            if (s->address == p.address && s->known_at == 0) s->known_at = now_;
                    r.push_back({p.address, p.instance, verdict});
                }
                span::Todo e;
                m.core->probed(now_, r, &e);
                carry(m, e);
            });
        });
    }
}

// ---- callers

void World::look_ready() {
    // The platform looks each second which machines may have callers.
    for (const auto& p : names("proxy")) {
        const bool ok =
            up(p) && now_ >= n_[p]->frozen_until && n_[p]->core->ready() && !n_[p]->farewell.begun();
        if (ok)
            ready_.insert(p);
        else
            ready_.erase(p);
    }
    later(kSecond, [this] { look_ready(); });
}

}  // namespace loom
