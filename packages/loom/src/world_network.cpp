// Links between the simulated processes: what is cut, lost, late or delivered twice.
#include "world_types.hpp"

namespace loom {

namespace {
// What a control node that was away catches up by.
bool tells_state(const weft::Msg& message) {
    return std::holds_alternative<weft::StateSaid>(message) ||
           std::holds_alternative<weft::ContentSaid>(message) ||
           std::holds_alternative<weft::Decided>(message);
}
}  // namespace

void World::cut(const std::string& a, const std::string& b, bool on) {
    troubled_[a] = troubled_[b] = now_;
    if (on)
        cut_.insert({a, b});
    else
        cut_.erase({a, b});
}

bool World::linked(const std::string& a, const std::string& b) const {
    return cut_.count({a, b}) == 0 && cut_.count({b, a}) == 0;
}

void World::isolate(const std::string& node, bool on) {
    for (const auto& r : role_)
        if (r.first != node) {
            cut(node, r.first, on);
            cut(r.first, node, on);
        }
}

void World::send(Node& n, const weft::Out& out) {
    std::size_t size = 0;  // counts go to all partners alike
    for (const auto& s : out) {
        ++frames;
        if (std::holds_alternative<weft::Counts>(s.msg)) {
            if (size == 0) size = weft::pack("fleet", "secret", {n.name, n.inc(), 1, s.msg}).size();
            ++count_frames;
            count_bytes += size;
        }
        weft::Envelope e{n.name, n.inc(), ++n.seq, s.msg};
        if (d_.older.count(n.name) + d_.older.count(s.address) != 0)
            if (auto* c = std::get_if<weft::Counts>(&e.msg)) {
                c->silent.clear();
                c->well.clear();
                c->load.clear();
            }
        if (breaks_.ignore_partners)
            if (auto* c = std::get_if<weft::Counts>(&e.msg)) c->counts.clear();
        const auto moved = node_at_.find(s.address);
        const std::string to = moved != node_at_.end() ? moved->second : s.address;
        if (moved == node_at_.end() && address_.count(to) != 0) continue;  // nobody is there any more
        if (cut_.count({n.name, to}) != 0 || (loss_ > 0 && rng_.unit() < loss_)) continue;
        const int copies = twice_ > 0 && rng_.unit() < twice_ ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            Micros t = trip();
            if (extra_ > 0) t += static_cast<Micros>(rng_.below(static_cast<std::uint64_t>(extra_)));
            if (!up(to)) continue;
            const auto life = n_[to]->life;
            later(t, [this, to, life, e] {
                on_node(to, life, [this, e](Node& m) {
                    if (m.core) {
                        if (breaks_.deaf_feed && m.name.back() % 2 == 1 &&
                            (std::holds_alternative<weft::FeedSaid>(e.msg) ||
                             std::holds_alternative<weft::BundleSaid>(e.msg)) &&
                            m.core->policy() != nullptr)
                            return;
                        span::Todo d;
                        m.core->hear(now_, e, &d);
                        carry(m, d);
                    } else {
                        if (breaks_.deaf_control && tells_state(e.msg)) return;
                        consensus::Actions actions;
                        m.keeper->hear(now_, e, &actions);
                        carry(m, actions);
                    }
                });
            });
        }
    }
}

}  // namespace loom
