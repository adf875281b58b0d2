// Links between the simulated processes: what is cut, lost, late or delivered twice.
#include "weft/link.hpp"
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

std::string World::machine(const std::string& node) const {
    return d_.shared_hosts ? "m" + node.substr(1) : node;
}

void World::set_link_widths() {
    if (d_.narrow_link <= 0) return;
    for (const auto& role : role_) links_.set(machine(role.first), {d_.narrow_link});
    for (const auto& keeper : names("keeper")) links_.set(machine(keeper), {d_.wide_link});
}

Micros World::bytes_out(const std::string& node, std::size_t bytes) {
    return links_.leaves(now_, machine(node), bytes, Carriage::stream).value_or(now_) - now_;
}

Micros World::bytes_in(const std::string& node, std::size_t bytes) {
    return links_.arrives(now_, machine(node), bytes, Carriage::stream).value_or(now_) - now_;
}

void World::send(Node& n, const weft::Out& out) {
    std::size_t size = 0;  // counts go to all partners alike
    std::map<std::size_t, std::size_t> sizes;  // by kind of message: one kind is alike to all receivers, or nearly so
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
        std::size_t bytes = 0;
        Carriage how = Carriage::stream;
        Micros left_at = now_;
        if (links_.limited() && machine(to) != machine(n.name)) {
            auto& known = sizes[e.msg.index()];
            if (known == 0) known = weft::pack("fleet", "secret", e).size();
            bytes = known;
            how = weft::goes_as_datagram(e.msg, bytes) ? Carriage::datagram : Carriage::stream;
            const auto leaves = links_.leaves(now_, machine(n.name), bytes, how);
            if (!leaves) continue;
            left_at = *leaves;
        }
        const int copies = twice_ > 0 && rng_.unit() < twice_ ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            Micros t = left_at - now_ + trip();
            if (extra_ > 0) t += static_cast<Micros>(rng_.below(static_cast<std::uint64_t>(extra_)));
            if (!up(to)) continue;
            const auto life = n_[to]->life;
            const auto hear = [this, to, life, e] {
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
            };
            if (bytes == 0) {
                later(t, hear);
                continue;
            }
            later(t, [this, to, bytes, how, hear] {
                const auto arrives = links_.arrives(now_, machine(to), bytes, how);
                if (arrives) at(*arrives, hear);
            });
        }
    }
}

}  // namespace loom
