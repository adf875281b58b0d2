// What a simulated proxy asks of its surroundings: the platform's listing, probes, whether callers may come.
#include "world_types.hpp"

namespace loom {

using pith::kSecond;

// The platform has a question: what it shows now is what it answers, as late as that may be.
void World::read_listing(const std::string& name, std::uint64_t life, std::uint64_t question) {
    std::vector<weft::ServerRec> shown;
    for (const auto& listing : listings_)
        if (listing.first + list_lag_ <= now_) shown = listing.second;
    if (list_how_ == "empty") shown.clear();
    if (list_how_ == "twice" && shown.size() > 1) {
        shown.push_back(shown[0]);
        shown.back().service = shown[1].service;
    }
    const bool fails = list_fails_;
    later(trip() + d_.question_takes, [this, name, life, question, shown = std::move(shown), fails] {
        on_node(name, life, [this, question, shown, fails](Node& node) {
            if (fails) {
                node.core->list_failed(now_, question, 0);
                return;
            }
            hear_listing(node, question, shown);
        });
    });
}

void World::hear_listing(Node& node, std::uint64_t question, const std::vector<weft::ServerRec>& shown) {
    for (const auto& record : shown)
        for (const auto& server : s_)
            if (record.state == span::kLeaving && server->instance == record.instance && server->known_at == 0)
                server->known_at = now_;
    span::Todo todo;
    node.core->listed(now_, question, shown, &todo);
    carry(node, todo);
}

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
        later(trip(), [this, name, life, question = d.list] { read_listing(name, life, question); });
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
