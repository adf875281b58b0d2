#include "vault/electorate.hpp"

#include <algorithm>

#include "pith/hash.hpp"

namespace vault {

using pith::Micros;
using weft::ElectorRec;

namespace {
constexpr std::size_t kMaxWithdrawn = 64;
constexpr Micros kLately = 2 * pith::kSecond;

std::set<std::string> names_of(const std::vector<ElectorRec>& v) {
    std::set<std::string> s;
    for (const auto& e : v) s.insert(e.name);
    return s;
}
}  // namespace

std::map<std::string, std::string> keepers_known(const knell::Knell& k, Micros now, Micros hold) {
    std::map<std::string, std::string> v;
    for (const auto& p : k.members()) {
        const auto& m = p.second;
        if (m.rec.role != "keeper" || m.rec.state == knell::kLeft) continue;
        if (m.rec.state == knell::kDown && now - m.since > hold) continue;
        v[p.first] = m.rec.address;
    }
    return v;
}

Electorate::Electorate(Config c, const Held& h, std::uint64_t nonce)
    : c_(std::move(c)), held_(h.proposal), founded_(h.elected), withdrawn_(h.withdrawn), nonce_(nonce) {}

// One disk job at a time: what is held changes only as it is on disk.
void Electorate::write(Job::What what, const Proposal& p, Acts* a) {
    job_ =
        Job{what, kElectorateToken | ++serial_, p.id, p.founder, p.adopted ? "adopted" : "", {}, p.members};
    a->jobs.push_back(job_);
}

void Electorate::wrote(std::uint64_t token, bool ok) {
    if (token != job_.token || token == 0) return;
    const Job j = job_;
    job_ = Job{};
    if (!ok) {
        disk_ok_ = false;  // never tried again as if it had passed (docs/design.md 5.5)
        return;
    }
    if (j.what == Job::withdraw) withdrawn_.insert(j.number);
    if (j.what == Job::withdraw || j.what == Job::drop) {
        held_ = Proposal{};
        return;
    }
    held_ = Proposal{j.hash, j.number, j.electors, !j.text.empty()};
    founded_ = j.what == Job::elect;
    next_propose_ = 0;
}

void Electorate::fill(Micros now, const knell::Knell& k, weft::StateSaid* r) const {
    r->founder = held_.founder;
    r->proposal = held_.id;
    r->electors = held_.members;
    r->founded = founded_ ? 1 : 0;
    r->first = first() && disk_ok_ ? 1 : 0;
    r->withdrawn.assign(withdrawn_.begin(), withdrawn_.end());
    for (const auto& p : keepers_known(k, now, c_.hold)) r->keepers.push_back(p.first);
}

const Electorate::Word* Electorate::lately(Micros now, const std::string& name) const {
    const auto i = said_.find(name);
    return i == said_.end() || now - i->second.at > kLately ? nullptr : &i->second;
}

// Each seed answered us lately, having us in its table, and knows of no keeper that we do not: of two
// founders the seed that both asked named the one to the other (docs/design.md 5.7).
bool Electorate::seeds_agree(Micros now, const knell::Knell& k,
                             const std::map<std::string, std::string>& known) const {
    for (const auto& at : c_.seeds) {
        if (at == c_.address) continue;
        const Word* w = nullptr;
        for (const auto* m : k.live())
            if (m->rec.address == at) w = lately(now, m->rec.name);
        if (w == nullptr) return false;
        const auto& v = w->said.keepers;
        bool me = false;
        for (const auto& n : v) {
            me = me || n == c_.name;
            if (n != c_.name && known.count(n) == 0) return false;
        }
        if (!me) return false;
    }
    return true;
}

void Electorate::ask_all(Micros now, const knell::Knell& k, Acts* a) {
    if (now < next_ask_) return;
    next_ask_ = now + c_.again;
    const bool far = now >= next_far_;
    if (far) next_far_ = now + 5 * c_.again;
    for (const auto* m : k.live()) {
        const bool seed = std::find(c_.seeds.begin(), c_.seeds.end(), m->rec.address) != c_.seeds.end();
        if (far || seed || m->rec.role == "keeper")
            a->out.push_back({m->rec.address, weft::StateAsk{nonce_, kNoText}});
    }
}

void Electorate::tick(Micros now, const knell::Knell& k, Acts* a) {
    if (started_ == pith::kNever) started_ = now;
    if (founded_) return;
    ask_all(now, k, a);
    const auto known = keepers_known(k, now, c_.hold);
    std::set<std::string> names;
    for (const auto& p : known) names.insert(p.first);
    if (changed_ == pith::kNever || names != reckoned_) {
        reckoned_ = names;
        changed_ = now;
    }
    if (!disk_ok_ || job_.token != 0) return;
    bool heard = true, others = false;
    std::map<std::string, std::string> there;
    if (first()) there[c_.name] = c_.address;
    for (const auto& p : known) {
        const Word* w = k.is_live(p.first) ? lately(now, p.first) : nullptr;
        heard = heard && w != nullptr;
        if (w == nullptr) continue;
        others = others || w->said.proposal != 0;
        if (w->said.first != 0) there[p.first] = p.second;
    }
    std::vector<ElectorRec> members;
    for (const auto& p : there)
        if (members.size() < kMaxElectors) members.push_back({p.first, p.second});
    const bool settled =
        heard && now - started_ >= c_.least && now - changed_ >= c_.settle && seeds_agree(now, k, known);
    if (mine())
        carry_on(now, members, settled, k, a);
    else if (held_.id == 0 && settled && !others && !members.empty() && members[0].name == c_.name &&
             withdrawn_.size() < kMaxWithdrawn)
        propose(now, std::move(members), a);
}

void Electorate::propose(Micros now, std::vector<ElectorRec> members, Acts* a) {
    Proposal p;
    p.founder = c_.name;
    p.id = pith::hash64(c_.name + '/' + std::to_string(nonce_) + '/' + std::to_string(++serial_)) | 1;
    p.members = std::move(members);
    next_propose_ = now;
    write(Job::propose, p, a);
}

// Our own proposal is on disk: it is founded as soon as all whom it names hold it, or withdrawn.
void Electorate::carry_on(Micros now, const std::vector<ElectorRec>& there, bool settled,
                          const knell::Knell& k, Acts* a) {
    bool all = true, one_not = false, lower = false;
    for (const auto& m : held_.members) {
        if (m.name == c_.name) continue;
        const auto i = said_.find(m.name);
        if (i != said_.end() && i->second.said.proposal == held_.id) continue;
        all = false;
        one_not = one_not || lately(now, m.name) != nullptr;
    }
    if (all) {
        write(Job::elect, held_, a);
        return;
    }
    for (const auto& p : said_) {
        const auto& s = p.second.said;
        lower = lower || (lately(now, p.first) != nullptr && s.proposal != 0 && s.founder < c_.name);
    }
    // One that our emptied disk took over may have been founded before: only where one whom it names does not
    // hold it, it was not (docs/design.md 5.7).
    const bool changed = settled && names_of(there) != names_of(held_.members);
    if ((lower || changed) && (!held_.adopted || one_not)) {
        write(Job::withdraw, held_, a);
        return;
    }
    if (now < next_propose_) return;
    next_propose_ = now + c_.again;
    for (const auto& m : held_.members) {
        const auto i = said_.find(m.name);
        if (m.name == c_.name || (i != said_.end() && i->second.said.proposal == held_.id)) continue;
        const std::string at = k.address(m.name);
        a->out.push_back({at.empty() ? m.address : at, weft::Propose{held_.id, held_.members}});
    }
}

void Electorate::hear(Micros now, const weft::Envelope& e, const knell::Knell& k, Acts* a) {
    (void)k;
    if (const auto* p = std::get_if<weft::Propose>(&e.msg)) {
        const auto names = names_of(p->electors);
        if (founded_ || !disk_ok_ || job_.token != 0 || held_.id != 0 || !c_.first_start || p->id == 0 ||
            p->electors.size() > kMaxElectors || names.size() != p->electors.size() ||
            names.count(c_.name) == 0 || names.count(e.from) == 0 || e.from == c_.name)
            return;
        write(Job::propose, Proposal{e.from, p->id, p->electors, false}, a);
        return;
    }
    const auto* r = std::get_if<weft::StateSaid>(&e.msg);
    if (r == nullptr || founded_) return;
    if (r->nonce == nonce_) {
        Word& w = said_[e.from];
        w.said = *r;
        w.said.text.clear();
        w.said.promises.clear();
        w.at = now;
    }
    if (!disk_ok_ || job_.token != 0) return;
    if (r->founded != 0 && !r->electors.empty() && r->electors.size() <= kMaxElectors) {
        // Proxies tell the members alone.
        const auto id = r->proposal != 0 ? r->proposal : std::uint64_t{1};
        write(Job::elect, Proposal{r->founder, id, r->electors, false}, a);
        return;
    }
    if (held_.id != 0 && !mine()) {
        if (e.from == held_.founder &&
            std::find(r->withdrawn.begin(), r->withdrawn.end(), held_.id) != r->withdrawn.end())
            write(Job::drop, held_, a);
        return;
    }
    // Somebody holds a proposal of ours that we do not know: our disk was emptied. It may have been founded.
    if (r->founder != c_.name || r->proposal == 0 || r->proposal == held_.id ||
        withdrawn_.count(r->proposal) != 0 || r->electors.empty())
        return;
    if (held_.id == 0)
        write(Job::propose, Proposal{c_.name, r->proposal, r->electors, true}, a);
    else if (!held_.adopted)
        write(Job::withdraw, held_, a);
}

}  // namespace vault
