#include "span/pool.hpp"

#include <algorithm>
#include <tuple>
#include <cmath>

#include "pith/hash.hpp"
#include "span/listing_changes.hpp"

namespace span {

using pith::Micros;
using Lock = std::lock_guard<std::mutex>;

namespace {
constexpr std::size_t kMaxServices = 64;
constexpr std::size_t kMaxGone = 2048;
constexpr std::size_t kMaxPeers = 512;
constexpr std::size_t kLarge = 24, kSubset = 5;
constexpr double kSticky = 0.4;
constexpr double kFirstTime = 50e3, kForget = 10e6, kCold = 2, kHope = 0.85;
constexpr double kLately = 20;  // answers that the share of failures is of
constexpr Micros kMovedFor = 10 * pith::kSecond, kPeerGone = 3 * pith::kSecond;
constexpr std::size_t kMostTold = 2048;
constexpr double kRounding = 1e-9;  // five fifths are one

std::size_t slots(const weft::ServerRec& r) { return r.slots == 0 ? kSlots : r.slots; }

// Expected wait of one more request at a server of `n` slots that has `l`, in service times. Below its slots
// a little grows with the load: what others sent there meanwhile is not known.
double queueing(double l, double n) {
    const double full = 1 / (n + 1);
    return l < n ? full * (l / n) * (l / n) : full + (l - n) / n;
}

// One life of a server: who leaves, and who is well, is told of it.
std::string key(const std::string& address, const std::string& instance) { return address + ' ' + instance; }

// 24 bits: two servers that share them are taken for more loaded than they are, no worse.
std::uint32_t load_hash(const std::string& address, const std::string& instance) {
    return static_cast<std::uint32_t>(pith::hash64(key(address, instance)) & 0xffffff);
}
}  // namespace

Pool::Pool(std::string node, std::string locality, PoolTuning t)
    : node_(std::move(node)), locality_(std::move(locality)), t_(t) {}

Pool::Shard* Pool::shard(const std::string& service) {
    Lock l(m_);
    auto i = shards_.find(service);
    if (i != shards_.end()) return i->second.get();
    if (shards_.size() >= kMaxServices) return nullptr;
    auto& s = shards_[service] = std::make_unique<Shard>();
    s->rng = pith::Rng(pith::hash64(node_ + '|' + service));
    return s.get();
}

std::vector<std::pair<std::string, Pool::Shard*>> Pool::shards() {
    Lock l(m_);
    std::vector<std::pair<std::string, Shard*>> v;
    for (auto& p : shards_) v.emplace_back(p.first, p.second.get());
    return v;
}

void Pool::nodes(std::size_t n) {
    if (n > nodes_) nodes_ = n;
    // In a large fleet peers' load is not told: a server is shared by few nodes instead (docs/design.md 7.3).
    const bool large = n > kLarge;
    subset_ = large ? kSubset : t_.subset;
    sticky_ = large ? kSticky : t_.sticky;
}

// Decays in a peer's word of its load are all of one rate, so that their sum can be kept.
double Pool::load(const Server& v, Micros now) const {
    double l = static_cast<double>(v.flight);
    if (v.peers > 0.01)
        l += t_.peer_weight * v.peers *
             std::exp(-static_cast<double>(now - v.peers_at) / static_cast<double>(t_.peer_keep));
    const Micros shed = now - v.shed_at;
    if (shed < v.shed_for)  // it was full: its slots and its queue
        l += static_cast<double>(slots(v.rec) + t_.extra) *
             (1 - static_cast<double>(shed) / static_cast<double>(v.shed_for));
    return l;
}

// What was learnt of a server fades to a little below the service's mean, so that one that was slow is tried
// again.
double Pool::learnt(const Shard& s, const Server& v, Micros now) {
    const double mean = s.mean > 0 ? s.mean : kFirstTime;
    if (v.time <= 0) return mean;
    const double to = kHope * mean;
    return to + (v.time - to) * std::exp(-static_cast<double>(now - v.time_at) / kForget);
}

double Pool::time(const Shard& s, const Server& v, Micros now) const {
    const double t = learnt(s, v, now);
    return now < v.cold_until ? t * kCold : t;
}

void Pool::fade(Server* v, Micros now) {
    const double f = std::exp(-static_cast<double>(now - v->fails_at) / kForget) *
                     (v->tried > kLately ? kLately / v->tried : 1);
    v->fails *= f;
    v->tried *= f;
    v->fails_at = now;
}

double Pool::success(const Server& v, Micros now) {
    if (v.fails <= 0.01) return 1;
    const double f = std::exp(-static_cast<double>(now - v.fails_at) / kForget);
    return std::max(0.1, 1 - v.fails * f / (v.tried * f + 2));
}

// The servers that may be picked, and a stable few of them for each proxy by rendezvous weight, its own zone
// first (docs/design.md 7.3).
void Pool::rank(Shard* s, const std::string& service) {
    std::vector<std::pair<std::uint64_t, Server*>> v;
    s->fit.clear();
    s->by_hash.clear();
    for (auto& p : s->s) {
        p.second.preferred = p.second.rec.locality == locality_;
        p.second.sticky = false;
        p.second.hash = load_hash(p.first, p.second.rec.instance);
        s->by_hash[p.second.hash] = &p.second;
        if (p.second.rec.state != kServing || p.second.drained || p.second.left) continue;
        std::uint64_t w = pith::hash64(node_ + '|' + service + '|' + p.first) >> 1;
        if (!p.second.preferred) w |= 1ULL << 63;
        s->fit.push_back(&p.second);
        v.emplace_back(w, &p.second);
    }
    std::sort(v.begin(), v.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (std::size_t i = 0; i < v.size() && i < subset_; ++i) v[i].second->sticky = true;
}

void Pool::listing(Micros now, const weft::Listing& l) {
    // The same one again lets those go that were missing for long.
    if (std::tie(l.epoch, l.holder, l.version) < std::tie(epoch_, holder_, version_)) return;
    epoch_ = l.epoch;
    holder_ = l.holder;
    version_ = l.version;
    std::map<std::string, std::vector<const weft::ServerRec*>> by;
    for (const auto& r : l.servers) {
        by[r.service].push_back(&r);
        if (r.state == kLeaving) leaving(r.address, r.instance, true);  // all are told the listing anyway
    }
    std::set<std::string> all;
    {
        Lock g(m_);
        for (const auto& p : shards_) all.insert(p.first);
    }
    for (const auto& p : by) all.insert(p.first);
    std::map<std::string, std::string> owner;  // an address belongs to one service
    for (const auto& r : l.servers) owner[r.address] = r.service;
    for (const auto& name : all) {
        Shard* s = shard(name);
        if (s == nullptr) continue;
        Lock g(s->m);
        std::set<std::string> here;
        for (const auto* r : by[name]) {
            here.insert(r->address);
            auto& v = s->s[r->address];
            if (v.rec.instance != r->instance) {  // another server on that address: nothing carries over
                v = Server{};
                Lock gm(m_);
                auto m = marks_.find(r->address);
                v.drained = m != marks_.end() && m->second;
                v.left = gone_.count(key(r->address, r->instance)) != 0;
                v.cold_until = now + static_cast<Micros>(r->cold_us);
            }
            // The same listing may be told again later: a cold time only gets shorter.
            v.cold_until = std::min(v.cold_until, now + static_cast<Micros>(r->cold_us));
            v.rec = *r;
            v.missing = 0;
        }
        for (auto i = s->s.begin(); i != s->s.end();) {
            auto& v = i->second;
            auto o = owner.find(i->first);
            if (here.count(i->first) != 0) {
                ++i;
            } else if (o != owner.end() && o->second != name) {
                i = s->s.erase(i);  // handed to another service: gone at once
            } else {
                // Missing: no longer sent visits; remembered a while, since a listing can be cut short.
                if (v.missing == 0) v.missing = now;
                if (now - v.missing > t_.keep_gone)
                    i = s->s.erase(i);
                else {
                    v.rec.state = kLeaving;
                    ++i;
                }
            }
        }
        rank(s, name);
    }
}

std::vector<std::string> Pool::withdraw(Micros now, const std::vector<std::uint64_t>& servers) {
    std::vector<std::string> withdrawn;
    if (servers.empty()) return withdrawn;
    const std::set<std::uint64_t> wanted(servers.begin(), servers.end());
    for (const auto& [service, s] : shards()) {
        Lock l(s->m);
        const std::size_t before = withdrawn.size();
        for (auto& [address, v] : s->s) {
            if (v.rec.state != kServing || wanted.count(server_hash(address, v.rec.instance)) == 0) continue;
            v.rec.state = kLeaving;
            if (v.missing == 0) v.missing = now;
            withdrawn.push_back(v.rec.instance);
        }
        if (withdrawn.size() > before) rank(s, service);
    }
    return withdrawn;
}

void Pool::mark(const std::string& address, bool drain) {
    {
        Lock l(m_);
        marks_[address] = drain;
    }
    for (auto& p : shards()) {
        Lock l(p.second->m);
        auto i = p.second->s.find(address);
        if (i == p.second->s.end()) continue;
        i->second.drained = drain;
        rank(p.second, p.first);
    }
}

void Pool::leaving(const std::string& address, const std::string& instance, bool told) {
    {
        Lock l(m_);
        // Kept apart from the listing, which may lag and even go back: leaving is final for an instance.
        const std::string k = key(address, instance);
        if (!gone_.insert(k).second) return;
        gone_order_.push_back(k);
        if (gone_order_.size() > kMaxGone) {
            gone_.erase(gone_order_.front());
            gone_order_.pop_front();
        }
        if (!told && news_.size() < 256) news_.push_back({address, instance, 2});
    }
    for (auto& p : shards()) {
        Lock l(p.second->m);
        auto i = p.second->s.find(address);
        if (i == p.second->s.end() || i->second.rec.instance != instance) continue;
        i->second.left = true;
        rank(p.second, p.first);
    }
}

std::vector<weft::ProbeRec> Pool::leaving_news() {
    Lock l(m_);
    return std::move(news_);
}

// verdict: 0 well, 1 failed, 2 leaving
void Pool::probe(Micros now, const std::string& address, const std::string& instance, std::uint8_t verdict) {
    if (verdict == 2) {
        leaving(address, instance, true);
        return;
    }
    for (auto& p : shards()) {
        Shard* s = p.second;
        Lock l(s->m);
        auto i = s->s.find(address);
        if (i == s->s.end() || i->second.rec.instance != instance) continue;
        i->second.probe_bad = verdict == 1;
        if (verdict == 0 && i->second.out_until > now && i->second.strikes >= t_.strikes) {
            i->second.out_until = now;  // it may return, slowly: one strike ejects again
            i->second.strikes = t_.strikes - 1;
        }
    }
}

// The least of the estimated times of an answer: service time times queueing, over the chance of success
// squared, and a part of a service time for another zone (docs/design.md 7.3).
std::optional<Slot> Pool::pick(Micros now, const std::string& service,
                               const std::vector<std::string>& not_these, bool* known, Micros within) {
    *known = false;
    Shard* s = shard(service);
    if (s == nullptr) return {};
    Lock l(s->m);
    Server* best = nullptr;
    double least = 0, at = 0;
    const double mean = s->mean > 0 ? s->mean : kFirstTime;
    const std::size_t n = s->fit.size();
    const std::size_t first = n == 0 ? 0 : s->turn++ % n;  // ties go round
    for (std::size_t k = 0; k < n; ++k) {
        Server& v = *s->fit[first + k < n ? first + k : first + k - n];
        if (v.moved_until > now) continue;
        *known = true;
        const std::size_t free = slots(v.rec);
        if (v.out_until > now || v.flight >= free + (within > 0 ? t_.extra : 0)) continue;
        if (std::find(not_these.begin(), not_these.end(), v.rec.address) != not_these.end()) continue;
        const double there = load(v, now), p = success(v, now);
        double e = time(*s, v, now) * (1 + queueing(there, static_cast<double>(free)));
        // Full as far as known. A node that has none there may lend some: what peers told may be old.
        const double most = static_cast<double>(free + t_.extra * (v.flight == 0 ? 2 : 1));
        if (there >= most) continue;
        if (v.flight >= free && e > static_cast<double>(within)) continue;
        e /= p * p;
        if (v.rec.locality != locality_) e += t_.zone * mean;
        if (!v.sticky) e += sticky_ * mean;
        if (v.probe_bad) e += 1e9;
        e *= 1 + t_.jitter * s->rng.unit();
        if (best == nullptr || e < least) {
            best = &v;
            least = e;
            at = there;
        }
    }
    if (best == nullptr) return {};
    ++best->flight;
    ++best->visits;
    return Slot{best->rec.address, service, best->rec.instance, at};
}

// Never more than a part of a service is out at a time.
void Pool::eject(Shard* s, Server* v, Micros now, Micros first) {
    std::size_t out = 0;
    for (const auto* p : s->fit) out += p != v && p->out_until > now ? 1 : 0;
    if (static_cast<double>(out + 1) > t_.most_ejected * static_cast<double>(s->fit.size())) return;
    Micros d = first;
    for (std::size_t k = 0; k < v->outs && d < t_.most_out; ++k) d *= 2;
    ++v->outs;
    v->out_until = now + std::min(d, t_.most_out);
    v->strikes = std::max(v->strikes, t_.strikes);
    v->fails = v->tried = 0;  // it returns on one strike's notice
}

void Pool::done(Micros now, const Slot& c, Outcome o, Micros took) {
    Shard* s = shard(c.service);
    if (s == nullptr) return;
    Lock l(s->m);
    auto i = s->s.find(c.address);
    if (i == s->s.end() || i->second.rec.instance != c.instance) return;
    Server& v = i->second;
    if (v.flight > 0) --v.flight;
    if (o == Outcome::unused) return;
    if (o == Outcome::shed) {  // its own word that it lives
        // Several at once are one word; a server that is still full after its time is spared for twice as
        // long, else one that hangs would take a send of the budget from each request that tries it.
        if (v.shed_for == 0)
            v.shed_for = t_.shed_for;
        else if (now - v.shed_at >= v.shed_for / 2)
            v.shed_for = std::min(2 * v.shed_for, t_.most_shed);
        v.shed_at = v.seen = now;
        return;
    }
    if (o == Outcome::misdirected) {
        v.moved_until = now + kMovedFor;  // the listing names another instance by then, or is believed again
        return;
    }
    fade(&v, now);
    v.tried += 1;
    if (o == Outcome::well || o == Outcome::slow) {
        // One request's own time, without the queue that was there; a tail of five moves it little.
        double x = static_cast<double>(took) / (1 + queueing(c.load, static_cast<double>(slots(v.rec))));
        if (now < v.cold_until) x /= kCold;
        const double old = s->mean > 0 ? learnt(*s, v, now) : x;
        v.time = old + 0.15 * (std::min(x, 2 * old) - old);
        v.time_at = now;
        s->mean = s->mean > 0 ? s->mean + 0.02 * (std::min(x, 3 * s->mean) - s->mean) : x;
    }
    if (o == Outcome::well) {
        v.strikes = 0;
        v.shed_for = 0;
        if (v.fails < 0.5) v.outs = 0;
        v.well = v.seen = now;
        return;
    }
    ++v.failures;
    v.fails += 1;
    const bool often = v.tried >= t_.fail_least && v.fails >= t_.fail_share * v.tried;
    if (++v.strikes < t_.strikes && !often && o != Outcome::unproven) return;
    if (v.out_until > now) return;  // of requests that were there when it was ejected
    eject(s, &v, now, o == Outcome::unproven ? t_.unproven_out : t_.first_out);
}

Micros Pool::service_time(const std::string& service) {
    Shard* s = shard(service);
    if (s == nullptr) return static_cast<Micros>(kFirstTime);
    Lock l(s->m);
    return static_cast<Micros>(s->mean > 0 ? s->mean : kFirstTime);
}

std::vector<std::uint32_t> Pool::load_news(bool all) {
    std::vector<std::uint32_t> r;
    for (const auto& [n, s] : shards()) {
        Lock l(s->m);
        for (auto& p : s->s) {
            Server& v = p.second;
            const auto f = static_cast<std::uint32_t>(std::min<std::size_t>(v.flight, 255));
            if (f == v.told && !(all && f > 0)) continue;
            v.told = f;
            if (r.size() < kMostTold) r.push_back(v.hash << 8 | f);
        }
    }
    return r;
}

void Pool::told_load(Micros now, const std::string& peer, std::uint64_t inc, std::uint64_t seq,
                     const std::vector<std::uint32_t>& v) {
    for (auto i = peers_.begin(); i != peers_.end();)
        i = now - i->second.heard > kPeerGone ? peers_.erase(i) : std::next(i);
    if (peers_.count(peer) == 0 && peers_.size() >= kMaxPeers) return;
    Peer& p = peers_[peer];
    if (inc < p.inc || (inc == p.inc && seq <= p.seq)) return;  // late or twice
    if (inc != p.inc) p = Peer{};                               // what its last life told has faded by itself
    p.inc = inc;
    p.seq = seq;
    p.heard = now;
    if (v.empty() || t_.peer_weight <= 0) return;
    const auto keep = static_cast<double>(t_.peer_keep);
    for (const auto& [n, s] : shards()) {
        Lock l(s->m);
        for (const std::uint32_t x : v) {
            const auto i = s->by_hash.find(x >> 8);
            if (i == s->by_hash.end()) continue;
            Server& w = *i->second;
            auto& old = p.load[x >> 8];
            const auto f = static_cast<double>(x & 255);
            w.peers *= std::exp(-static_cast<double>(now - w.peers_at) / keep);
            const double was = old.first * std::exp(-static_cast<double>(now - old.second) / keep);
            w.peers = std::max(0.0, w.peers - was) + f;
            w.peers_at = now;
            if (f > 0)
                old = {f, now};
            else
                p.load.erase(x >> 8);
        }
    }
}

std::vector<std::uint64_t> Pool::well_since(Micros t) {
    std::vector<std::uint64_t> r;
    for (const auto& [n, s] : shards()) {
        Lock l(s->m);
        for (const auto& p : s->s)
            if (p.second.well >= t) r.push_back(pith::hash64(key(p.first, p.second.rec.instance)));
    }
    return r;
}

void Pool::told_well(Micros now, const std::vector<std::uint64_t>& v) {
    if (v.empty()) return;
    const std::set<std::uint64_t> in(v.begin(), v.end());
    for (const auto& [n, s] : shards()) {
        Lock l(s->m);
        for (auto& p : s->s)
            if (in.count(pith::hash64(key(p.first, p.second.rec.instance))) != 0) p.second.seen = now;
    }
}

std::vector<weft::ServerRec> Pool::unseen_since(Micros t) {
    std::vector<weft::ServerRec> r;
    for (const auto& [n, s] : shards()) {
        Lock l(s->m);
        for (const auto& p : s->s)
            if (p.second.rec.state == kServing && p.second.seen < t) r.push_back(p.second.rec);
    }
    return r;
}

bool Pool::stands(const Slot& c) {
    Shard* s = shard(c.service);
    if (s == nullptr) return false;
    Lock l(s->m);
    auto i = s->s.find(c.address);
    return i != s->s.end() && i->second.rec.instance == c.instance && i->second.rec.state == kServing &&
           !i->second.drained && !i->second.left;
}

// A bucket: over any time, however long, a node's sends beyond the first are at most a fifth of its first
// ones and what the bucket holds; so all nodes' are at most a fifth of all and the sum of the buckets
// (docs/design.md 7.3).
double Pool::most_credit() const {
    return std::max(1.0, t_.budget_safety * t_.fleet_slack / static_cast<double>(nodes_.load()));
}

void Pool::first_visit(const std::string& service) {
    Shard* s = shard(service);
    if (s == nullptr) return;
    Lock l(s->m);
    s->credit = std::min(most_credit(), s->credit + t_.budget);
}

bool Pool::has_retry(const std::string& service) {
    Shard* s = shard(service);
    if (s == nullptr) return false;
    Lock l(s->m);
    return s->credit >= 1.0 - kRounding;
}

bool Pool::take_retry(const std::string& service) {
    Shard* s = shard(service);
    if (s == nullptr) return false;
    Lock l(s->m);
    s->credit = std::min(most_credit(), s->credit);  // nodes may have come
    if (s->credit < 1.0 - kRounding) return false;
    s->credit = std::max(0.0, s->credit - 1.0);
    return true;
}

std::vector<ServerView> Pool::view(Micros now) {
    std::vector<ServerView> r;
    for (const auto& [n, s] : shards()) {
        Lock l(s->m);
        for (const auto& p : s->s) {
            const Server& v = p.second;
            const char* st = v.left                    ? "leaving"
                             : v.drained               ? "drained"
                             : v.missing != 0          ? "missing"
                             : v.rec.state == kServing ? "serving"
                                                       : "leaving";
            r.push_back({p.first, n, v.rec.instance, v.rec.locality, st, v.flight, v.preferred,
                         v.out_until > now, v.visits, v.failures});
        }
    }
    return r;
}

std::vector<weft::ServerRec> Pool::servers() {
    std::vector<weft::ServerRec> r;
    for (const auto& [n, s] : shards()) {
        Lock l(s->m);
        for (const auto& p : s->s) r.push_back(p.second.rec);
    }
    return r;
}

std::vector<std::string> Pool::services() {
    Lock l(m_);
    std::vector<std::string> v;
    for (const auto& p : shards_) v.push_back(p.first);
    return v;
}

}  // namespace span
