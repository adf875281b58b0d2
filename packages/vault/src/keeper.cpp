#include "vault/keeper.hpp"

#include "pith/hash.hpp"

namespace vault {

using pith::Micros;

namespace {
constexpr std::size_t kMaxMarks = 512;
constexpr std::size_t kTell = 2;  // keepers that tell a proxy of a change at once
}

KeeperCore::KeeperCore(knell::Config k, VaultConfig v, Held h, std::uint64_t nonce)
    : knell_(k),
      vault_(v, h, nonce),
      feed_(nonce),
      electorate_(Electorate::Config{v.name, k.address, k.seeds, v.first_start}, h, nonce),
      discovered_(v.keepers.empty()) {
    for (const auto& f : h.floors) {
        knell_.accept(f.first, f.second.first, f.second.second);
        floors_[f.first] = f.second.first;
    }
    for (const auto& p : v.keepers) keepers_[p.first] = p.second;
    knell_.freight().commit = vault_.commit();
    if (vault_.commit() > 0) {
        fed_ = vault_.commit();
        feed_.add({0, kBundle, vault_.commit(), vault_.hash(), vault_.text()});
    }
    elected();
}

void KeeperCore::elected() {
    if (!discovered_ || elected_ || !electorate_.founded()) return;
    elected_ = true;
    vault_.electorate(electorate_.held().members);
    feed_.electors(electorate_.held().members);
}

void KeeperCore::spread_feed(Acts* a) {
    const auto n = feed_.news();
    // Each proxy is told by two of those keepers that live; it asks the others, and its peers, by itself.
    const auto ks = knell_.live("keeper");
    for (const auto* m : knell_.live("proxy")) {
        const auto far = [m](const std::string& k) { return pith::hash64(m->rec.name + '|' + k); };
        std::size_t before = 0;
        for (const auto* k : ks) before += far(k->rec.name) < far(knell_.name()) ? 1 : 0;
        if (before < kTell) a->out.push_back({m->rec.address, n});
    }
}

void KeeperCore::told(Acts* a) {
    if (vault_.commit() <= fed_) return;
    fed_ = vault_.commit();
    knell_.freight().commit = fed_;
    feed_.add({0, kBundle, fed_, vault_.hash(), vault_.text()});
    spread_feed(a);
}

void KeeperCore::take_mark(const weft::ChangeRec& c, Acts* a) {
    auto i = marks_.find(c.hash);
    if (i != marks_.end() && i->second.number >= c.number) return;
    if (i == marks_.end() && marks_.size() >= kMaxMarks) return;
    marks_[c.hash] = c;
    feed_.add(c);
    spread_feed(a);
    // Partners among the keepers are told in the feed's own form.
    weft::FeedSaid f;
    f.changes.push_back(c);
    for (const auto& k : keepers_)
        if (k.first != knell_.name()) a->out.push_back({k.second, f});
}

void KeeperCore::mark(Micros now, const std::string& server, bool drain, Acts* a) {
    (void)now;
    auto i = marks_.find(server);
    weft::ChangeRec c;
    c.kind = kServerMark;
    c.number = i == marks_.end() ? 1 : i->second.number + 1;
    c.hash = server;
    c.text = drain ? "drain" : "serve";
    take_mark(c, a);
}

void KeeperCore::tick(Micros now, Acts* a) {
    knell_.tick(now, &a->out);
    if (discovered_) {
        keepers_.clear();
        for (const auto* m : knell_.live("keeper")) keepers_[m->rec.name] = m->rec.address;
        vault_.peers(keepers_);
        electorate_.tick(now, knell_, a);
        for (const auto& e : electorate_.held().members)
            if (elected_) vault_.readdress(e.name, knell_.address(e.name));
    }
    for (auto& k : keepers_) {
        const std::string at = knell_.address(k.first);
        if (k.first == knell_.name() || at.empty() || at == k.second) continue;
        k.second = at;
        vault_.readdress(k.first, at);
    }
    // Epochs that were heard are not forgotten with the processes that heard them (docs/design.md 4.4).
    for (const auto& e : knell_.epochs()) {
        auto& f = floors_[e.first];
        if (f >= e.second.epoch) continue;
        f = e.second.epoch;
        a->jobs.push_back(Job{Job::floor, 0, f, e.first, e.second.holder, {}});
    }
    vault_.tick(now, a);
    told(a);
}

void KeeperCore::push(Micros now, std::uint64_t op, const std::string& text, Acts* a) {
    vault_.push(now, op, text, a);
    told(a);
}

void KeeperCore::wrote(Micros now, std::uint64_t token, bool ok, Acts* a) {
    if ((token & kElectorateToken) != 0) {
        electorate_.wrote(token, ok);
        elected();
        if (!ok) vault_.wrote(now, 0, false, a);
        return;
    }
    vault_.wrote(now, token, ok, a);
    told(a);
}

void KeeperCore::hear(Micros now, const weft::Envelope& e, Acts* a) {
    const bool fresh = knell_.hear(now, e, &a->out);
    if (const auto* q = std::get_if<weft::FeedAsk>(&e.msg)) {
        const std::string to = knell_.address(e.from);
        if (!to.empty()) a->out.push_back({to, feed_.answer(*q)});
        vault_.want(now, q->commit, to, a);
        return;
    }
    if (const auto* h = std::get_if<weft::Heartbeat>(&e.msg)) {
        // Somebody acts on a higher commit than stands here: have it told (docs/design.md 5.2).
        if (fresh) vault_.want(now, h->commit, h->me.address, a);
        return;
    }
    if (const auto* l = std::get_if<weft::Listing>(&e.msg)) {
        if (knell_.accept("listing", l->epoch, l->holder) &&
            (l->epoch > listing_.epoch || (l->epoch == listing_.epoch && l->version > listing_.version)))
            listing_ = *l;
        return;
    }
    if (const auto* q = std::get_if<weft::ListingAsk>(&e.msg)) {
        const std::string to = knell_.address(e.from);
        if (!to.empty() && listing_.epoch != 0 &&
            (listing_.epoch > q->epoch || (listing_.epoch == q->epoch && listing_.version > q->version)))
            a->out.push_back({to, listing_});
        return;
    }
    if (const auto* f = std::get_if<weft::FeedSaid>(&e.msg)) {
        if (keepers_.count(e.from) != 0)
            for (const auto& c : f->changes)
                if (c.kind == kServerMark) take_mark(c, a);
        return;
    }
    if (const auto* r = std::get_if<weft::StateSaid>(&e.msg)) {
        if (keepers_.count(e.from) == 0) vault_.learn(now, r->commit, r->hash, r->text, a);
    }
    const auto from = a->out.size();
    if (discovered_) electorate_.hear(now, e, knell_, a);
    vault_.hear(now, e, a);
    // What we say of our state tells of the electorate as well (docs/design.md 5.7).
    if (discovered_)
        for (auto i = from; i < a->out.size(); ++i)
            if (auto* r = std::get_if<weft::StateSaid>(&a->out[i].msg)) electorate_.fill(now, knell_, r);
    told(a);
}

}  // namespace vault
