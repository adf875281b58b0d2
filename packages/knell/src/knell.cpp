#include "knell/knell.hpp"

#include <algorithm>

#include "pith/hash.hpp"

namespace knell {

using weft::MemberRec;
using weft::Out;

namespace {
constexpr std::size_t kMaxMembers = 512;
constexpr std::size_t kMaxDuties = 64;

bool newer(const MemberRec& a, const MemberRec& b) {
    if (a.inc != b.inc) return a.inc > b.inc;
    if (a.version != b.version) return a.version > b.version;
    return a.state > b.state;
}
}  // namespace

Knell::Knell(Config c) : c_(std::move(c)) {}

MemberRec Knell::self() const {
    return MemberRec{c_.name, c_.address, c_.locality, c_.role,
                     c_.inc,  state_,     version_,    c_.operator_address};
}

std::vector<const Member*> Knell::live(const std::string& role) const {
    std::vector<const Member*> v;
    for (const auto& p : m_)
        if (p.second.rec.state <= kDraining && (role.empty() || p.second.rec.role == role))
            v.push_back(&p.second);
    return v;
}

bool Knell::is_live(const std::string& name) const {
    auto i = m_.find(name);
    return i != m_.end() && i->second.rec.state <= kDraining;
}

std::string Knell::address(const std::string& name) const {
    auto i = m_.find(name);
    return i == m_.end() ? std::string() : i->second.rec.address;
}

std::uint64_t Knell::print(const MemberRec& r) {
    return pith::hash64(r.name + '/' + std::to_string(r.inc) + '/' + std::to_string(r.version) + '/' +
                        std::to_string(r.state));
}

std::uint64_t Knell::table() const {
    std::uint64_t h = print(self());
    for (const auto& p : m_) h ^= p.second.print;
    return h;
}

std::vector<MemberRec> Knell::all() const {
    std::vector<MemberRec> v{self()};
    for (const auto& p : m_) v.push_back(p.second.rec);
    return v;
}

// The ring: nodes ordered by the hash of their names; our watchers are the next few (docs/design.md 4.2).
std::vector<const Member*> Knell::watchers() const {
    auto v = live();
    const std::uint64_t me = pith::hash64(c_.name);
    auto far = [me](const Member* m) { return pith::hash64(m->rec.name) - me; };
    std::sort(v.begin(), v.end(), [&far](const Member* a, const Member* b) { return far(a) < far(b); });
    if (v.size() > c_.watchers) v.resize(c_.watchers);
    return v;
}

// To all in a small fleet; in a large one to a few, at even distances round the ring from one that changes: each for
// whom it is news passes it on, and what is missed shows in the tables' hashes (docs/design.md 4.2).
void Knell::spread(const std::vector<MemberRec>& v, Out* out, bool all_of_them) {
    if (v.empty()) return;
    weft::News n;
    n.members = v;
    const auto to = live();
    if (all_of_them || to.size() <= 3 * c_.fan_out) {
        for (const auto* m : to) out->push_back({m->rec.address, n});
        return;
    }
    turn_ += 1 + (pith::hash64(c_.name) & 7);
    for (std::size_t i = 0; i < c_.fan_out; ++i)
        out->push_back({to[(turn_ + i * to.size() / c_.fan_out) % to.size()]->rec.address, n});
}

void Knell::merge(pith::Micros now, const MemberRec& r, std::vector<MemberRec>* news, Out* out) {
    if (r.name == c_.name) {
        // Somebody knows a later life of us, or calls us down: outdo it (docs/design.md 4.3).
        if (r.inc > c_.inc) {
            c_.inc = r.inc + 1;
            version_ = 1;
            news->push_back(self());
        } else if (r.inc == c_.inc &&
                   (r.version > version_ || (r.version == version_ && r.state != state_))) {
            version_ = r.version + 1;
            news->push_back(self());
        }
        return;
    }
    auto i = m_.find(r.name);
    if (i == m_.end()) {
        if (m_.size() >= kMaxMembers) return;
        Member m;
        m.rec = r;
        m.print = print(r);
        m.heard = now;  // a grace before we judge it ourselves
        m.since = now;
        m_.emplace(r.name, m);
        news->push_back(r);
    } else if (newer(r, i->second.rec)) {
        if (r.state == kDown && i->second.rec.inc == r.inc && i->second.rec.state <= kDraining &&
            now - i->second.heard < 2 * c_.beat) {
            // Somebody does not hear it, but we do: it is told, and outdoes the verdict (docs/design.md 4.2).
            weft::News n;
            n.members.push_back(r);
            out->push_back({i->second.rec.address, n});
            return;
        }
        if (i->second.rec.inc != r.inc || (i->second.rec.state > kDraining && r.state <= kDraining))
            i->second.heard = now;
        if (i->second.rec.inc != r.inc) i->second.freight = Freight{};
        i->second.rec = r;
        i->second.print = print(r);
        i->second.since = now;
        news->push_back(r);
    }
}

bool Knell::hear(pith::Micros now, const weft::Envelope& e, Out* out) {
    std::vector<MemberRec> news;
    if (const auto* h = std::get_if<weft::Heartbeat>(&e.msg)) {
        if (h->me.name != e.from || h->me.inc != e.inc) return false;
        merge(now, h->me, &news, out);
        for (const auto& r : h->epochs) accept(r.duty, r.epoch, r.holder);
    } else if (const auto* n = std::get_if<weft::News>(&e.msg)) {
        for (const auto& r : n->members) merge(now, r, &news, out);
    }
    auto i = m_.find(e.from);
    if (i == m_.end()) {
        spread(news, out);
        return false;
    }
    Member& m = i->second;
    // Replies go to where the speaker says it is: it may have moved (docs/design.md 5.6).
    const auto* beat = std::get_if<weft::Heartbeat>(&e.msg);
    const std::string to = beat != nullptr ? beat->me.address : m.rec.address;
    if (beat != nullptr && e.inc == m.rec.inc && to != m.rec.address) {
        // Another machine under this name and the same life: the speaker must begin a later one.
        weft::News n;
        n.members.push_back(m.rec);
        ++n.members[0].inc;
        out->push_back({to, n});
        return false;
    }
    if (e.inc < m.rec.inc) {
        // A word from a former life: tell it, so that it outdoes us (docs/design.md 4.3).
        if (std::holds_alternative<weft::Heartbeat>(e.msg)) {
            weft::News n;
            n.members.push_back(m.rec);
            out->push_back({to, n});
        }
        return false;
    }
    m.heard = now;
    const bool is_news = std::holds_alternative<weft::News>(e.msg);
    if (m.rec.state > kDraining && is_news) {
        // It told us something of ourselves that we outdid; spread() does not reach those that are down here.
        for (const auto& r : news)
            if (r.name == c_.name) {
                weft::News n;
                n.members.push_back(r);
                out->push_back({to, n});
            }
    }
    if (m.rec.state == kDown && e.inc == m.rec.inc && !is_news) {
        // It speaks: called down wrongly, or cut off and back. It must outdo the verdict itself.
        weft::News n;
        n.members.push_back(m.rec);
        out->push_back({to, n});
    }
    if (const auto* h = std::get_if<weft::Heartbeat>(&e.msg)) {
        m.freight = Freight{h->commit, h->list_epoch, h->list_version};
        if (h->table != table() && now - asked_ >= c_.beat) {
            asked_ = now;
            weft::News n;
            n.members = all();
            n.wants = 1;
            out->push_back({m.rec.address, n});
        }
    } else if (const auto* n = std::get_if<weft::News>(&e.msg)) {
        if (n->wants != 0) {
            weft::News b;
            b.members = all();
            out->push_back({m.rec.address, b});
        }
    }
    spread(news, out);
    return true;
}

void Knell::tick(pith::Micros now, Out* out) {
    if (now < next_) return;
    // Woken after a freeze: nobody could be heard meanwhile, so nobody is judged by it (docs/design.md 4.3).
    if (last_ > -pith::kNever && now - last_ > 3 * c_.beat)
        for (auto& p : m_) p.second.heard = std::max(p.second.heard, now - c_.beat);
    last_ = now;
    next_ = now + c_.beat;
    std::vector<MemberRec> news;
    for (auto i = m_.begin(); i != m_.end();) {
        Member& m = i->second;
        if (m.rec.state > kDraining && now - m.since > c_.forget_after) {
            i = m_.erase(i);
            continue;
        }
        ++i;
    }
    // We judge only those whose watcher we are.
    for (auto& p : m_) {
        Member& m = p.second;
        if (m.rec.state > kDraining || now - m.heard <= c_.down_after) continue;
        bool watch = false;
        auto v = live();
        const std::uint64_t at = pith::hash64(m.rec.name);
        std::vector<std::uint64_t> far;
        for (const auto* o : v)
            if (o->rec.name != m.rec.name) far.push_back(pith::hash64(o->rec.name) - at);
        const std::uint64_t mine = pith::hash64(c_.name) - at;
        std::size_t before = 0;
        for (auto f : far) before += f < mine ? 1 : 0;
        watch = before < c_.watchers;
        // Others are judged by us too when their watchers are all gone with them, only later.
        if (!watch && now - m.heard <= 3 * c_.down_after) continue;
        if (!watch) {
            bool watched = false;
            for (const auto* o : v)
                watched = watched || (o->rec.name != m.rec.name && now - o->heard <= c_.down_after);
            if (watched) continue;
        }
        m.rec.state = kDown;
        ++m.rec.version;
        m.print = print(m.rec);
        m.since = now;
        news.push_back(m.rec);
    }
    spread(news, out);
    weft::Heartbeat h;
    h.me = self();
    h.table = table();
    h.commit = freight_.commit;
    h.list_epoch = freight_.list_epoch;
    h.list_version = freight_.list_version;
    for (const auto& p : epochs_) h.epochs.push_back(p.second);
    for (const auto* m : watchers()) out->push_back({m->rec.address, h});
    // One of those called down, in turn: where a cut was mended both sides know within a few beats (4.2).
    const Member* lost = nullptr;
    for (const auto& p : m_)
        if (p.second.rec.state == kDown && p.first > asked_last_ && lost == nullptr) lost = &p.second;
    asked_last_ = lost == nullptr ? std::string() : lost->rec.name;
    if (lost != nullptr) out->push_back({lost->rec.address, h});
    // Seeds are told until somebody is known, and now and then after, so that splits heal.
    if (live().empty() || now - joined_ > 5 * pith::kSecond) {
        joined_ = now;
        for (const auto& a : c_.seeds)
            if (a != c_.address) out->push_back({a, h});
    }
}

void Knell::say(State s, pith::Micros now, Out* out) {
    (void)now;
    if (state_ == s) return;
    state_ = s;
    ++version_;
    spread({self()}, out, true);
}

namespace {
std::uint64_t place(const std::string& duty, const std::string& name) { return pith::hash64(duty + '@' + name); }
}  // namespace

bool Knell::mine(const std::string& duty, const std::string& role) const {
    if (state_ != kLive) return false;
    const std::uint64_t me = place(duty, c_.name);
    for (const auto* m : live(role))
        if (m->rec.state == kLive && place(duty, m->rec.name) < me) return false;
    return true;
}

std::vector<MemberRec> Knell::order(const std::string& duty, const std::string& role) const {
    std::vector<MemberRec> v;
    if (state_ == kLive && c_.role == role) v.push_back(self());
    for (const auto* m : live(role))
        if (m->rec.state == kLive) v.push_back(m->rec);
    std::sort(v.begin(), v.end(), [&duty](const MemberRec& a, const MemberRec& b) {
        return place(duty, a.name) < place(duty, b.name);
    });
    return v;
}

std::uint64_t Knell::take(const std::string& duty) {
    auto& r = epochs_[duty];
    r.duty = duty;
    if (r.holder != c_.name || taken_.insert(duty).second) {
        taken_.insert(duty);
        ++r.epoch;
        r.holder = c_.name;
    }
    return r.epoch;
}

bool Knell::holds(const std::string& duty) const {
    auto i = epochs_.find(duty);
    return i != epochs_.end() && i->second.holder == c_.name && taken_.count(duty) != 0;
}

bool Knell::accept(const std::string& duty, std::uint64_t epoch, const std::string& holder) {
    auto i = epochs_.find(duty);
    if (i == epochs_.end()) {
        if (epochs_.size() >= kMaxDuties) return false;
        epochs_[duty] = weft::EpochRec{duty, epoch, holder};
        return true;
    }
    auto& r = i->second;
    if (epoch < r.epoch || (epoch == r.epoch && holder < r.holder)) return false;
    r.epoch = epoch;
    r.holder = holder;
    return true;
}

}  // namespace knell
