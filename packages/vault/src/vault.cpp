#include "vault/vault.hpp"

#include <algorithm>

namespace vault {

using pith::fail;
using pith::Kind;
using pith::Micros;

namespace {
constexpr std::size_t kMaxOps = 16;
constexpr std::size_t kMaxTasks = 64;
constexpr std::size_t kMaxPromises = 1024;
constexpr std::size_t kOldPromises = 16;  // below the commit, for operators to look at
constexpr std::size_t kStagedTexts = 4;   // a keeper that has let one go asks for it
}  // namespace

void let_go(std::uint64_t commit, std::map<std::uint64_t, std::string>* p, std::uint64_t* below) {
    const auto end = p->lower_bound(commit);
    auto n = static_cast<std::size_t>(std::distance(p->begin(), end));
    for (; n > kOldPromises; --n) {
        *below = std::max(*below, p->begin()->first + 1);
        p->erase(p->begin());
    }
}

void apply(const Job& j, Held* h) {
    switch (j.what) {
        case Job::promise:
            h->promises[j.number] = j.hash;
            break;
        case Job::commit:
            if (j.number <= h->commit) break;
            h->commit = j.number;
            h->hash = j.hash;
            h->text = j.text;
            let_go(h->commit, &h->promises, &h->below);
            break;
        case Job::found:
            for (const auto& p : j.promises) h->promises[p.number] = p.hash;
            h->founded = true;
            break;
        case Job::floor:
            h->floors[j.hash] = {j.number, j.text};
            break;
        case Job::withdraw:
            h->withdrawn.insert(j.number);
            h->proposal = Proposal{};
            break;
        case Job::drop:
            h->proposal = Proposal{};
            break;
        case Job::propose:
        case Job::elect:
            h->proposal = Proposal{j.hash, j.number, j.electors, !j.text.empty()};
            h->elected = j.what == Job::elect;
            break;
    }
}

Vault::Vault(VaultConfig c, Held h, std::uint64_t nonce)
    : c_(std::move(c)),
      promises_(std::move(h.promises)),
      commit_(h.commit),
      hash_(std::move(h.hash)),
      text_(std::move(h.text)),
      below_(h.below),
      voting_(h.founded),
      nonce_(nonce) {}

std::string Vault::address(const std::string& name) const {
    for (const auto& k : c_.keepers)
        if (k.first == name) return k.second;
    const auto p = peers_.find(name);
    return p == peers_.end() ? std::string() : p->second;
}

bool Vault::is_elector(const std::string& name) const {
    return std::any_of(c_.keepers.begin(), c_.keepers.end(),
                       [&name](const auto& k) { return k.first == name; });
}

void Vault::electorate(const std::vector<weft::ElectorRec>& v) {
    c_.keepers.clear();
    for (const auto& e : v) c_.keepers.emplace_back(e.name, e.address);
    said_.clear();  // what was said before is not the electorate's word
    next_ask_ = 0;
}

void Vault::readdress(const std::string& name, const std::string& address) {
    for (auto& k : c_.keepers)
        if (k.first == name && !address.empty()) k.second = address;
}

bool Vault::is_keeper(const std::string& name) const { return !address(name).empty(); }

void Vault::submit(Task t, Acts* a) {
    t.job.token = ++token_;
    a->jobs.push_back(t.job);
    tasks_[token_] = std::move(t);
}

void Vault::push(Micros now, std::uint64_t op, const std::string& text, Acts* a) {
    auto s = creed::read_signed(text, c_.signers);
    if (!s) {
        a->answers.push_back({op, tl::unexpected<pith::Error>(s.error())});
        return;
    }
    const auto n = s->bundle.number;
    auto no = [&](Kind k, const std::string& m) { a->answers.push_back({op, fail(k, m)}); };
    // Said before, or overtaken where that is acknowledged: once a majority is known to hold what stands.
    const bool stands = n <= commit_ && (c_.acknowledge_old || (n == commit_ && s->bundle.hash == hash_));
    if (n <= commit_ && !stands) {
        const std::string m = "number " + std::to_string(n) +
                              (n == commit_ ? " stands with other content" : " is below the standing one") +
                              ": take a number above " + std::to_string(commit_);
        no(Kind::bundle_old, m);
        return;
    }
    if (!elector()) {
        no(Kind::no_majority, c_.keepers.empty()
                                  ? "no electorate is known here yet: start the other keepers, or come back"
                                  : "this keeper is none of the electorate's: push to one of those");
        return;
    }
    if (!voting_) {
        no(Kind::no_majority,
           "this keeper's disk was emptied and it has not heard all other keepers yet: push to another "
           "keeper");
        return;
    }
    if (ops_.size() >= kMaxOps) {
        no(Kind::crowded, "16 pushes are under way here: come back in a second");
        return;
    }
    const auto id = ++op_serial_ ^ (nonce_ << 20);
    caller_[id] = op;
    Op& o = ops_[id];
    o = Op{id, n, s->bundle.hash, s->text, false, false, {}, {}, {}, {}, now + c_.patience, now + c_.again};
    if (stands) {
        confirm(id, a);
        return;
    }
    // Our own promise is on disk before anybody else is asked (docs/design.md 5.3).
    const std::string why = stage(n, o.hash, o.text, {}, id, a);
    if (!why.empty()) refused_by(id, c_.name, why, a);
}

void Vault::confirm(std::uint64_t id, Acts* a) {
    Op& o = ops_[id];
    o.number = commit_;
    o.hash = hash_;
    o.text = text_;
    o.committing = true;
    o.waiting = false;
    for (const auto& k : c_.keepers) o.staged.insert(k.first);  // most hold it: told the hash, not the text
    o.committed = {c_.name};
    ask(o, a);
    committed_by(id, c_.name, a);
}

// A commit now stands here. Pushes under way at or below it are acknowledged with it, where they are to be.
void Vault::overtake(Acts* a) {
    if (!c_.acknowledge_old) return;
    std::vector<std::uint64_t> v;
    for (const auto& p : ops_)
        if (!p.second.committing && p.second.number <= commit_) v.push_back(p.first);
    for (auto id : v) confirm(id, a);
}

void Vault::keep_text(std::uint64_t n, const std::string& hash, const std::string& text) {
    staged_[n] = {hash, text};
    while (staged_.size() > kStagedTexts) staged_.erase(staged_.begin());
}

std::string Vault::stage(std::uint64_t n, const std::string& hash, const std::string& text,
                         const std::string& from, std::uint64_t op, Acts* a) {
    if (!voting_) return "emptied: no vote until all other keepers were heard";
    if (!disk_ok_) return "disk failed: mend the disk and start the keeper again";
    const auto least = std::max(commit_, below_);
    if (n < least) return "number " + std::to_string(least) + " stands: take a higher one";
    auto taken = [&](const std::map<std::uint64_t, std::string>& m) {
        auto i = m.find(n);
        return i != m.end() && i->second != hash;
    };
    if (taken(promises_) || taken(writing_) || (n == commit_ && hash != hash_))
        return "number " + std::to_string(n) + " was taken by other content: take a higher one";
    if (tasks_.size() >= kMaxTasks || promises_.size() >= kMaxPromises)
        return "disk is slow: come back in a second";
    Task t;
    t.job.what = Job::promise;
    t.job.number = n;
    t.job.hash = hash;
    t.from = from;
    t.address = from.empty() ? std::string() : address(from);
    t.op = op;
    writing_[n] = hash;
    if (!from.empty()) keep_text(n, hash, text);  // the commit brings the hash alone
    submit(std::move(t), a);
    return {};
}

void Vault::commit(std::uint64_t n, const std::string& hash, const std::string& text, const std::string& from,
                   std::uint64_t op, Acts* a) {
    if (!disk_ok_ || tasks_.size() >= kMaxTasks) {
        if (!from.empty())
            a->out.push_back(
                {address(from), weft::CommitSaid{op, n, 0, disk_ok_ ? "disk is slow" : "disk failed"}});
        return;
    }
    if (n < commit_ || (n == commit_ && hash == hash_)) {
        // A higher one stands here, or this very one: nothing slips back.
        if (from.empty())
            committed_by(op, c_.name, a);
        else
            a->out.push_back({address(from), weft::CommitSaid{op, n, 1, {}}});
        return;
    }
    Task t;
    t.job.what = Job::commit;
    t.job.number = n;
    t.job.hash = hash;
    t.job.text = text;
    t.from = from;
    t.address = from.empty() ? std::string() : address(from);
    t.op = op;
    submit(std::move(t), a);
}

void Vault::learn(Micros now, std::uint64_t n, const std::string& hash, const std::string& text, Acts* a) {
    (void)now;
    if (n <= commit_ || text.empty()) return;
    for (const auto& t : tasks_)
        if (t.second.job.what == Job::commit && t.second.job.number >= n) return;
    next_want_ = 0;
    auto s = creed::read_signed(text, c_.signers);
    if (!s || s->bundle.number != n || s->bundle.hash != hash) return;
    commit(n, hash, s->text, {}, 0, a);
}

void Vault::ask(Op& o, Acts* a) {
    for (const auto& k : c_.keepers) {
        if (k.first == c_.name) continue;
        if (o.committing) {
            if (o.committed.count(k.first) == 0)
                a->out.push_back({k.second, weft::CommitAsk{o.id, o.number, o.hash,
                                                            o.staged.count(k.first) != 0 ? "" : o.text}});
        } else if (o.staged.count(k.first) == 0 && o.refused.count(k.first) == 0) {
            a->out.push_back({k.second, weft::StageAsk{o.id, o.number, o.hash, o.text}});
        }
    }
}

void Vault::staged_by(Micros now, std::uint64_t op, const std::string& who, Acts* a) {
    auto i = ops_.find(op);
    if (i == ops_.end() || i->second.committing) return;
    Op& o = i->second;
    o.staged.insert(who);
    if (who == c_.name) ask(o, a);
    if (o.staged.count(c_.name) == 0 || o.staged.size() < majority()) return;
    o.committing = true;
    for (const auto& k : c_.keepers) o.staged.insert(k.first);  // all were told the text: now the hash
    o.next = now + c_.again;
    const Op b = o;  // commit() may end it
    ask(o, a);
    commit(b.number, b.hash, b.text, {}, op, a);
}

void Vault::committed_by(std::uint64_t op, const std::string& who, Acts* a) {
    auto i = ops_.find(op);
    if (i == ops_.end()) return;
    i->second.committed.insert(who);
    if (i->second.committed.size() >= majority()) finish(op, i->second.number, a);
}

void Vault::refused_by(std::uint64_t op, const std::string& who, const std::string& why, Acts* a) {
    auto i = ops_.find(op);
    if (i == ops_.end() || i->second.committing || i->second.waiting) return;
    Op& o = i->second;
    o.refused.insert(who);
    o.why = why;
    if (who != c_.name && c_.keepers.size() - o.refused.size() >= majority()) return;
    // No majority can be had for this content under this number from here. Others may still have
    // staged it, but a majority refused it: it can never be committed (docs/design.md 5.3).
    const bool overtaken =
        o.why.find("taken") != std::string::npos || o.why.find("higher") != std::string::npos;
    if (overtaken && c_.acknowledge_old) {
        // What overtook it may come to stand here yet, and is then acknowledged in its place.
        o.waiting = true;
        if (o.number <= commit_) confirm(op, a);
    } else if (overtaken)
        finish(op, fail(Kind::bundle_taken, o.why), a);
    else
        finish(op,
               fail(Kind::outcome_unknown,
                    "not acknowledged (" + o.why + "): push the same file again, or a higher number"),
               a);
}

void Vault::finish(std::uint64_t op, pith::Result<std::uint64_t> r, Acts* a) {
    auto c = caller_.find(op);
    if (c != caller_.end()) {
        const auto o = ops_.find(op);
        a->answers.push_back(
            {c->second, std::move(r), o == ops_.end() ? std::string() : std::string(o->second.hash)});
        caller_.erase(c);
    }
    ops_.erase(op);
}

void Vault::wrote(Micros now, std::uint64_t token, bool ok, Acts* a) {
    if (token == 0 && !ok) disk_ok_ = false;
    auto i = tasks_.find(token);
    if (i == tasks_.end()) return;
    const Task t = i->second;
    tasks_.erase(i);
    const Job& j = t.job;
    if (!ok) {
        // A failed sync is never tried again as if it had passed: this disk has no more say
        // (docs/design.md 5.5).
        disk_ok_ = false;
        founding_ = false;
        if (j.what == Job::promise) {
            if (t.from.empty())
                refused_by(t.op, c_.name, "disk failed", a);
            else
                a->out.push_back({t.address, weft::StageSaid{t.op, j.number, 0, "disk failed", commit_}});
        } else if (j.what == Job::commit && !t.from.empty()) {
            a->out.push_back({t.address, weft::CommitSaid{t.op, j.number, 0, "disk failed"}});
        }
        return;
    }
    if (j.what == Job::promise) {
        promises_[j.number] = j.hash;
        writing_.erase(j.number);
        let_go(commit_, &promises_, &below_);
        if (t.from.empty())
            staged_by(now, t.op, c_.name, a);
        else
            a->out.push_back({t.address, weft::StageSaid{t.op, j.number, 1, {}, commit_}});
    } else if (j.what == Job::commit) {
        if (j.number > commit_) {
            commit_ = j.number;
            hash_ = j.hash;
            text_ = j.text;
            a->committed = true;
            let_go(commit_, &promises_, &below_);
            staged_.erase(staged_.begin(), staged_.upper_bound(commit_));
        }
        if (!t.from.empty())
            a->out.push_back({t.address, weft::CommitSaid{t.op, j.number, 1, {}}});
        else if (t.op != 0)
            committed_by(t.op, c_.name, a);
        overtake(a);
        try_found(a);  // it may have waited for this commit
    } else {
        for (const auto& p : j.promises) promises_[p.number] = p.hash;
        founding_ = false;
        voting_ = true;
    }
}

void Vault::hear(Micros now, const weft::Envelope& e, Acts* a) {
    if (!is_keeper(e.from)) return;
    if (const auto* m = std::get_if<weft::StageAsk>(&e.msg)) {
        auto s = creed::read_signed(m->text, c_.signers);
        std::string why = "the bundle does not check here";
        if (s && s->bundle.number == m->number && s->bundle.hash == m->hash)
            why = stage(m->number, m->hash, s->text, e.from, m->op, a);
        if (!why.empty())
            a->out.push_back({address(e.from), weft::StageSaid{m->op, m->number, 0, why, commit_}});
    } else if (const auto* q = std::get_if<weft::StageSaid>(&e.msg)) {
        if (!is_elector(e.from)) return;
        if (q->commit > commit_) want(now, q->commit, address(e.from), a);
        if (q->ok != 0)
            staged_by(now, q->op, e.from, a);
        else
            refused_by(q->op, e.from, q->why, a);
    } else if (const auto* c = std::get_if<weft::CommitAsk>(&e.msg)) {
        heard_commit(now, e.from, *c, a);
    } else if (const auto* d = std::get_if<weft::CommitSaid>(&e.msg)) {
        if (!is_elector(e.from)) return;
        if (d->ok != 0) committed_by(d->op, e.from, a);
        if (d->ok != 0 || d->why != "text") return;
        const auto i = ops_.find(d->op);
        if (i != ops_.end() && i->second.committing && i->second.number == d->number)
            a->out.push_back(
                {address(e.from), weft::CommitAsk{d->op, d->number, i->second.hash, i->second.text}});
        else if (d->number == commit_)  // acknowledged meanwhile
            a->out.push_back({address(e.from), weft::CommitAsk{d->op, commit_, hash_, text_}});
    } else if (const auto* k = std::get_if<weft::StateAsk>(&e.msg)) {
        weft::StateSaid r;
        r.nonce = k->nonce;
        r.voting = voting_ ? 1 : 0;
        r.empty = promises_.empty() && commit_ == 0 ? 1 : 0;
        r.commit = commit_;
        r.hash = hash_;
        if (k->commit < commit_) r.text = text_;
        for (const auto& p : promises_) r.promises.push_back({p.first, p.second});
        for (const auto& p : writing_)
            if (promises_.count(p.first) == 0) r.promises.push_back({p.first, p.second});
        a->out.push_back({address(e.from), r});
    } else if (const auto* r = std::get_if<weft::StateSaid>(&e.msg)) {
        learn(now, r->commit, r->hash, r->text, a);
        if (r->text.empty() && r->commit > commit_) want(now, r->commit, address(e.from), a);
        if (!voting_ && is_elector(e.from) && r->nonce == nonce_) {
            said_[e.from] = *r;
            try_found(a);
        }
    }
}

// Its text comes along only to those that did not stage it, and on request.
void Vault::heard_commit(Micros now, const std::string& from, const weft::CommitAsk& c, Acts* a) {
    (void)now;
    const auto i = staged_.find(c.number);
    if (c.number < commit_ || (c.number == commit_ && c.hash == hash_)) {
        commit(c.number, c.hash, {}, from, c.op, a);
    } else if (!c.text.empty()) {
        auto s = creed::read_signed(c.text, c_.signers);
        if (s && s->bundle.number == c.number && s->bundle.hash == c.hash)
            commit(c.number, c.hash, s->text, from, c.op, a);
    } else if (i != staged_.end() && i->second.first == c.hash) {
        commit(c.number, c.hash, std::string(i->second.second), from, c.op, a);
    } else {
        a->out.push_back({address(from), weft::CommitSaid{c.op, c.number, 0, "text"}});
    }
}

void Vault::want(Micros now, std::uint64_t n, const std::string& address, Acts* a) {
    if (n <= commit_ || now < next_want_ || address.empty()) return;
    for (const auto& t : tasks_)
        if (t.second.job.what == Job::commit && t.second.job.number >= n) return;  // on its way to the disk
    next_want_ = now + c_.again;
    a->out.push_back({address, weft::StateAsk{0, commit_}});
}

// An emptied keeper takes over every promise that any other holds; for a number promised twice it keeps
// a hash that no content has, so that it never votes there (docs/design.md 5.3).
void Vault::try_found(Acts* a) {
    if (voting_ || founding_ || !disk_ok_ || !elector() || said_.size() + 1 < c_.keepers.size()) return;
    // Others may have let go promises below their commit: it stands here first (docs/design.md 5.3).
    for (const auto& s : said_)
        if (s.second.commit > commit_) return;
    std::map<std::uint64_t, std::string> all = promises_;
    for (const auto& s : said_)
        for (const auto& p : s.second.promises) {
            auto i = all.emplace(p.number, p.hash);
            if (!i.second && i.first->second != p.hash) i.first->second = "conflict";
        }
    Task t;
    t.job.what = Job::found;
    for (const auto& p : all) t.job.promises.push_back({p.first, p.second});
    founding_ = true;
    submit(std::move(t), a);
}

void Vault::tick(Micros now, Acts* a) {
    if (now >= next_ask_) {
        next_ask_ = now + (voting_ || !elector() ? 5 * pith::kSecond : c_.again);
        if (!voting_ || c_.keepers.size() > 1)
            for (const auto& k : c_.keepers)
                if (k.first != c_.name) a->out.push_back({k.second, weft::StateAsk{nonce_, kNoText}});
        if (!voting_) try_found(a);
    }
    std::vector<std::uint64_t> ended;
    for (auto& p : ops_) {
        Op& o = p.second;
        if (now >= o.until) {
            ended.push_back(p.first);
        } else if (now >= o.next && o.waiting) {
            o.next = now + c_.again;
            for (const auto& k : c_.keepers)
                if (k.first != c_.name) a->out.push_back({k.second, weft::StateAsk{nonce_, kNoText}});
        } else if (now >= o.next && (o.committing || o.staged.count(c_.name) != 0)) {
            o.next = now + c_.again;
            if (o.committing) o.staged.clear();  // asked again: with the text
            ask(o, a);
        }
    }
    for (auto id : ended)
        if (ops_[id].waiting)
            finish(id, fail(Kind::bundle_taken, ops_[id].why), a);
        else
            finish(
                id,
                fail(
                    Kind::outcome_unknown,
                    "no majority of keepers answered in time; the bundle may stand later: push the same file "
                    "again, or a higher number"),
                a);
}

}  // namespace vault
