#include "vault/feed.hpp"

#include <algorithm>

namespace vault {

namespace {
constexpr std::size_t kKept = 128;
}

void Feed::add(weft::ChangeRec c) {
    c.place = ++place_;
    const std::string key = c.kind == kBundle ? std::string("bundle") : "mark/" + c.hash;
    digest_[key] = c;
    last_.push_back(std::move(c));
    if (last_.size() > kKept) last_.pop_front();
}

weft::FeedSaid Feed::answer(const weft::FeedAsk& q) const {
    weft::FeedSaid r;
    r.feed = id_;
    r.place = place_;
    r.electors = electors_;
    auto b = digest_.find("bundle");
    r.commit = b == digest_.end() ? 0 : b->second.number;
    const bool follows =
        q.feed == id_ && q.place <= place_ && (last_.empty() || q.place + 1 >= last_.front().place);
    if (follows) {
        for (const auto& c : last_)
            if (c.place > q.place) {
                r.changes.push_back(c);
                if (c.kind == kBundle && c.number <= q.commit) r.changes.back().text.clear();  // known there
            }
        return r;
    }
    r.digest = 1;
    for (const auto& p : digest_)
        if (p.second.kind != kBundle || p.second.number > q.commit) r.changes.push_back(p.second);
    return r;
}

weft::FeedSaid Feed::news() const { return answer(weft::FeedAsk{id_, place_ == 0 ? 0 : place_ - 1, 0}); }

Follower::Follower(std::vector<std::pair<std::string, std::string>> keepers, pith::Micros period)
    : discovered_(keepers.empty()), period_(period) {
    for (auto& k : keepers) tracks_[k.first].address = k.second;
}

void Follower::tick(pith::Micros now, std::uint64_t commit, weft::Out* out) {
    commit_ = commit;
    for (auto& p : tracks_) {
        Track& t = p.second;
        // Electors are asked also where they are called down: after a cut that word may be ours alone.
        if (now < t.next || !(t.live || is_elector(p.first))) continue;
        t.next = now + (t.digested ? period_ * std::max<pith::Micros>(1, static_cast<pith::Micros>(tracks_.size()) / 3)
                                   : period_ / 4);
        out->push_back({t.address, weft::FeedAsk{t.feed, t.place, commit}});
    }
}

void Follower::roster(const std::map<std::string, std::string>& live) {
    for (const auto& k : live) {
        auto i = tracks_.emplace(k.first, Track{}).first;
        i->second.live = true;
        readdress(k.first, k.second);
    }
    for (auto i = tracks_.begin(); i != tracks_.end();) {
        if (live.count(i->first) == 0) i->second.live = false;
        // What an elector told before it went still counts; of others nothing is kept.
        i = i->second.live || is_elector(i->first) || electors_.empty() ? std::next(i) : tracks_.erase(i);
    }
}

bool Follower::is_elector(const std::string& name) const {
    return std::any_of(electors_.begin(), electors_.end(), [&name](const auto& e) { return e.name == name; });
}

bool Follower::ready() const {
    if (!discovered_) return digested() >= tracks_.size() / 2 + 1;
    if (electors_.empty()) return false;
    std::size_t n = 0;
    for (const auto& e : electors_) {
        const auto i = tracks_.find(e.name);
        n += i != tracks_.end() && i->second.digested ? 1 : 0;
    }
    return n >= electors_.size() / 2 + 1;
}

void Follower::readdress(const std::string& name, const std::string& address) {
    auto i = tracks_.find(name);
    if (i == tracks_.end() || address.empty() || i->second.address == address) return;
    i->second.address = address;
    i->second.next = 0;
}

void Follower::hurry(pith::Micros now) {
    for (auto& p : tracks_) p.second.next = std::min(p.second.next, now);
}

std::vector<weft::ChangeRec> Follower::hear(pith::Micros now, const weft::Envelope& e, weft::Out* out) {
    const auto* m = std::get_if<weft::FeedSaid>(&e.msg);
    auto i = tracks_.find(e.from);
    if (m == nullptr || i == tracks_.end()) return {};
    Track& t = i->second;
    if (discovered_ && electors_.empty()) electors_ = m->electors;
    if (m->digest != 0) {
        if (m->feed == t.feed && m->place < t.place) return {};  // an old one, come late
        t.feed = m->feed;
        t.place = m->place;
        t.digested = true;
        return m->changes;
    }
    if (m->feed != t.feed || !t.digested) {  // a feed we don't follow yet: ask for its digest
        if (now >= t.next - period_ / 2) {
            t.next = now + period_ / 4;
            out->push_back({t.address, weft::FeedAsk{t.feed, t.place, commit_}});
        }
        return {};
    }
    std::vector<weft::ChangeRec> v;
    if (!m->changes.empty() && m->changes.front().place > t.place + 1) {  // a gap: from our place on
        out->push_back({t.address, weft::FeedAsk{t.feed, t.place, commit_}});
        return {};
    }
    for (const auto& c : m->changes)
        if (c.place > t.place) {
            t.place = c.place;
            v.push_back(c);
        }
    return v;
}

std::size_t Follower::digested() const {
    return static_cast<std::size_t>(
        std::count_if(tracks_.begin(), tracks_.end(), [](const auto& p) { return p.second.digested; }));
}

}  // namespace vault
