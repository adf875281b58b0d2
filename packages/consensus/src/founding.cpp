#include "consensus/founding.hpp"

#include <algorithm>

#include "pith/hash.hpp"

namespace consensus {

using pith::Micros;
using weft::Voter;

namespace {
constexpr std::size_t kMaxWithdrawn = 64;
constexpr Micros kLately = 2 * pith::kSecond;
constexpr Micros kAskLate = 5;  // times `again`: between questions to nodes that are no control nodes

std::set<std::string> names_of(const std::vector<Voter>& voters) {
    std::set<std::string> names;
    for (const auto& voter : voters) names.insert(voter.name);
    return names;
}

bool same_proposal(const DurableState& a, const DurableState& b) {
    return a.founding.id == b.founding.id && a.founded == b.founded && a.withdrawn == b.withdrawn;
}

// What is held changes only as it is on disk.
bool write_under_way(const Acceptor& acceptor) {
    return !same_proposal(acceptor.wanted(), acceptor.durable());
}
}  // namespace

std::map<std::string, std::string> control_nodes_known(const knell::Knell& membership, Micros now,
                                                       Micros hold) {
    std::map<std::string, std::string> nodes;
    for (const auto& p : membership.members()) {
        const auto& m = p.second;
        if (m.rec.role != "keeper" || m.rec.state == knell::kLeft) continue;
        if (m.rec.state == knell::kDown && now - m.since > hold) continue;
        nodes[p.first] = m.rec.address;
    }
    return nodes;
}

bool Founding::may_take_part(const DurableState& held) const {
    return config_.first_start || held.founding.id != 0;
}

weft::FoundingSaid Founding::report(Micros now, std::uint64_t nonce, const knell::Knell& membership,
                                    const DurableState& held) const {
    weft::FoundingSaid said;
    said.nonce = nonce;
    said.founder = held.founding.founder;
    said.proposal = held.founding.id;
    said.voters = held.founding.voters;
    said.founded = held.founded ? 1 : 0;
    said.first = may_take_part(held) ? 1 : 0;
    said.disk = held.disk;
    said.withdrawn.assign(held.withdrawn.begin(), held.withdrawn.end());
    for (const auto& node : control_nodes_known(membership, now, config_.hold))
        said.nodes.push_back(node.first);
    return said;
}

const Founding::Word* Founding::lately(Micros now, const std::string& name) const {
    const auto i = said_.find(name);
    return i == said_.end() || now - i->second.at > kLately ? nullptr : &i->second;
}

// Each seed answered us lately, having us in its table, and knows of no control node that we do not: of two
// founders the seed that both asked named the one to the other (docs/control.md, "First start").
bool Founding::seeds_agree(Micros now, const knell::Knell& membership,
                           const std::map<std::string, std::string>& known) const {
    for (const auto& address : config_.seeds) {
        if (address == config_.address) continue;
        const Word* word = nullptr;
        for (const auto* member : membership.live())
            if (member->rec.address == address) word = lately(now, member->rec.name);
        if (word == nullptr) return false;
        bool knows_us = false;
        for (const auto& name : word->said.nodes) {
            knows_us = knows_us || name == config_.name;
            if (name != config_.name && known.count(name) == 0) return false;
        }
        if (!knows_us) return false;
    }
    return true;
}

void Founding::ask_all(Micros now, const knell::Knell& membership, weft::Out* out) {
    if (now < next_ask_) return;
    next_ask_ = now + config_.again;
    const bool far = now >= next_far_;
    if (far) next_far_ = now + kAskLate * config_.again;
    const auto& seeds = config_.seeds;
    for (const auto* member : membership.live()) {
        const bool seed = std::find(seeds.begin(), seeds.end(), member->rec.address) != seeds.end();
        if (far || seed || member->rec.role == "keeper")
            out->push_back({member->rec.address, weft::FoundingAsk{nonce_}});
    }
}

void Founding::tick(Micros now, const knell::Knell& membership, Acceptor* acceptor, weft::Out* out) {
    if (started_ == pith::kNever) started_ = now;
    const DurableState& held = acceptor->durable();
    if (held.founded) return;
    ask_all(now, membership, out);
    const auto known = control_nodes_known(membership, now, config_.hold);
    std::set<std::string> names;
    for (const auto& p : known) names.insert(p.first);
    if (changed_ == pith::kNever || names != reckoned_) {
        reckoned_ = names;
        changed_ = now;
    }
    if (!acceptor->writable() || write_under_way(*acceptor)) return;
    bool heard = true, others_propose = false;
    std::map<std::string, Voter> there;
    if (may_take_part(held)) there[config_.name] = Voter{config_.name, held.disk, config_.address};
    for (const auto& p : known) {
        const Word* word = membership.is_live(p.first) ? lately(now, p.first) : nullptr;
        heard = heard && word != nullptr;
        if (word == nullptr) continue;
        others_propose = others_propose || word->said.proposal != 0;
        if (word->said.first != 0) there[p.first] = Voter{p.first, word->said.disk, p.second};
    }
    std::vector<Voter> voters;
    for (const auto& p : there)
        if (voters.size() < kMaxVoters) voters.push_back(p.second);
    bool settled = heard;
    if (config_.listed.empty()) {
        settled = settled && now - started_ >= config_.least && now - changed_ >= config_.settle &&
                  seeds_agree(now, membership, known);
    } else {
        for (const auto& p : config_.listed) settled = settled && there.count(p.first) != 0;
        settled = settled && there.size() == config_.listed.size();
    }
    const bool ours = held.founding.id != 0 && held.founding.founder == config_.name;
    if (ours)
        carry_on(now, voters, settled, membership, acceptor, out);
    else if (held.founding.id == 0 && settled && !others_propose && !voters.empty() &&
             voters[0].name == config_.name && held.withdrawn.size() < kMaxWithdrawn)
        propose(now, std::move(voters), acceptor);
}

void Founding::propose(Micros now, std::vector<Voter> voters, Acceptor* acceptor) {
    Proposal proposal;
    proposal.founder = config_.name;
    proposal.id =
        pith::hash64(config_.name + '/' + std::to_string(nonce_) + '/' + std::to_string(++serial_)) | 1;
    proposal.voters = std::move(voters);
    next_propose_ = now;
    acceptor->edit().founding = std::move(proposal);
}

// Our own proposal is on disk: it is founded as soon as all whom it names hold it, or withdrawn.
void Founding::carry_on(Micros now, const std::vector<Voter>& there, bool settled,
                        const knell::Knell& membership, Acceptor* acceptor, weft::Out* out) {
    const Proposal held = acceptor->durable().founding;
    bool all = true, one_not = false, lower = false;
    for (const auto& voter : held.voters) {
        if (voter.name == config_.name) continue;
        const auto i = said_.find(voter.name);
        const bool holds =
            i != said_.end() && i->second.said.proposal == held.id && i->second.said.disk == voter.disk;
        if (holds) continue;
        all = false;
        one_not = one_not || lately(now, voter.name) != nullptr;
    }
    if (all) {
        acceptor->edit().founded = true;
        return;
    }
    for (const auto& p : said_) {
        const auto& said = p.second.said;
        lower =
            lower || (lately(now, p.first) != nullptr && said.proposal != 0 && said.founder < config_.name);
    }
    // One that our emptied disk took over may have been founded before: only where one whom it names does not
    // hold it, it was not.
    const bool changed = settled && !same_voters(there, held.voters);
    if ((lower || changed) && (!held.adopted || one_not)) {
        DurableState& state = acceptor->edit();
        state.withdrawn.insert(held.id);
        state.founding = Proposal{};
        return;
    }
    if (now < next_propose_) return;
    next_propose_ = now + config_.again;
    for (const auto& voter : held.voters) {
        const auto i = said_.find(voter.name);
        if (voter.name == config_.name || (i != said_.end() && i->second.said.proposal == held.id)) continue;
        const std::string at = membership.address(voter.name);
        out->push_back({at.empty() ? voter.address : at, weft::FoundingProposal{held.id, held.voters}});
    }
}

void Founding::hear(Micros now, const weft::Envelope& envelope, const knell::Knell& membership,
                    Acceptor* acceptor, weft::Out* out) {
    const DurableState& held = acceptor->durable();
    if (const auto* ask = std::get_if<weft::FoundingAsk>(&envelope.msg)) {
        const std::string to = membership.address(envelope.from);
        if (!to.empty()) out->push_back({to, report(now, ask->nonce, membership, held)});
        return;
    }
    const bool may_write = acceptor->writable() && !write_under_way(*acceptor);
    if (const auto* asked = std::get_if<weft::FoundingProposal>(&envelope.msg)) {
        const auto names = names_of(asked->voters);
        const bool sound = asked->id != 0 && asked->voters.size() <= kMaxVoters &&
                           names.size() == asked->voters.size() && names.count(envelope.from) != 0 &&
                           envelope.from != config_.name && is_voter(asked->voters, config_.name, held.disk);
        if (held.founded || !may_write || held.founding.id != 0 || !config_.first_start || !sound) return;
        if (!config_.forget)
            acceptor->edit().founding = Proposal{envelope.from, asked->id, asked->voters, false};
        return;
    }
    const auto* said = std::get_if<weft::FoundingSaid>(&envelope.msg);
    if (said == nullptr || held.founded) return;
    if (said->nonce == nonce_) said_[envelope.from] = Word{*said, now};
    if (!may_write) return;
    if (said->founded != 0 && !said->voters.empty() && said->voters.size() <= kMaxVoters) {
        DurableState& state = acceptor->edit();
        state.founding =
            Proposal{said->founder, said->proposal != 0 ? said->proposal : 1, said->voters, false};
        state.founded = true;
        return;
    }
    const bool ours = held.founding.id != 0 && held.founding.founder == config_.name;
    if (held.founding.id != 0 && !ours) {
        const auto& withdrawn = said->withdrawn;
        if (envelope.from == held.founding.founder &&
            std::find(withdrawn.begin(), withdrawn.end(), held.founding.id) != withdrawn.end())
            acceptor->edit().founding = Proposal{};
        return;
    }
    // Somebody holds a proposal of ours that we do not know: our disk was emptied. It may have been founded.
    if (said->founder != config_.name || said->proposal == 0 || said->proposal == held.founding.id ||
        held.withdrawn.count(said->proposal) != 0 || said->voters.empty())
        return;
    if (held.founding.id == 0) {
        acceptor->edit().founding = Proposal{config_.name, said->proposal, said->voters, true};
    } else if (!held.founding.adopted) {
        DurableState& state = acceptor->edit();
        state.withdrawn.insert(held.founding.id);
        state.founding = Proposal{};
    }
}

}  // namespace consensus
