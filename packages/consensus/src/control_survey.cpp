// What the control nodes hold: who is behind, whose disk was emptied or takes no writes (docs/control.md,
// "Membership").
#include <algorithm>

#include "consensus/control_register.hpp"

namespace consensus {

using pith::Micros;

namespace {
constexpr Micros kRepairEvery = 300 * pith::kMilli;
constexpr int kSurveysMissed = 3;  // then a node counts as silent
}  // namespace

void ControlRegister::tick_survey(Micros now) {
    if (!known_ || !proposer()) {
        surveyed_.clear();
        answered_at_.clear();
        absent_since_.clear();
        if (known_) compare_with_proposer(now);
        return;
    }
    note_absence(now);
    repair(now);
    if (now < next_survey_) return;
    next_survey_ = now + (all_well(now) ? config_.tuning.survey : config_.tuning.survey_soon);
    survey_serial_ = ++serial_;
    std::set<std::string> names = voter_names(decided_);
    for (const auto& peer : peers_)
        if (peer.second.live) names.insert(peer.first);
    for (const auto& name : names) send(name, weft::PrepareAsk{survey_serial_, weft::Ballot{}});
}

// Whoever of the two is behind learns of it: a node that all others take for the proposer must know so
// itself.
void ControlRegister::compare_with_proposer(Micros now) {
    if (now < next_survey_) return;
    next_survey_ = now + config_.tuning.survey;
    send(proposer_name(), weft::StateAsk{decided_.revision});
}

void ControlRegister::surveyed_by(Micros now, const std::string& from, const weft::PrepareSaid& said) {
    if (said.serial != survey_serial_) return;
    surveyed_[from] = said;
    answered_at_[from] = now;
    if (said.revision < decided_.revision)
        send(from, weft::Decided{said.accepted, decided_});
    else if (said.revision > decided_.revision)
        send(from, weft::StateAsk{decided_.revision});
}

bool ControlRegister::all_well(Micros now) const {
    if (!decided_.joining.empty()) return false;
    const auto nodes = candidates(now);
    for (const auto& voter : decided_.voters) {
        const auto node = std::find_if(nodes.begin(), nodes.end(),
                                       [&](const Candidate& c) { return c.name == voter.name; });
        if (node == nodes.end() || !node->live || node->leaving || !node->writable ||
            node->disk != voter.disk)
            return false;
        if (!node->synced) return false;
    }
    return true;
}

void ControlRegister::note_absence(Micros now) {
    for (const auto& node : candidates(now)) {
        const bool well = node.live && node.writable;
        if (well)
            absent_since_.erase(node.name);
        else
            absent_since_.emplace(node.name, now);
    }
}

std::vector<Candidate> ControlRegister::candidates(Micros now) const {
    std::set<std::string> names = voter_names(decided_);
    for (const auto& peer : peers_) names.insert(peer.first);
    names.insert(config_.name);
    std::vector<Candidate> nodes;
    for (const auto& name : names) {
        Candidate node;
        node.name = name;
        const auto absent = absent_since_.find(name);
        if (absent != absent_since_.end()) node.absent = std::max<Micros>(1, now - absent->second);
        const auto peer = peers_.find(name);
        const auto said = surveyed_.find(name);
        const auto at = answered_at_.find(name);
        if (said != surveyed_.end()) {
            node.disk = said->second.disk;
            node.writable = said->second.writable != 0;
            node.synced = said->second.revision >= decided_.revision;
        }
        const bool lately =
            at != answered_at_.end() &&
            now - at->second <= kSurveysMissed * config_.tuning.survey_soon + config_.tuning.survey;
        if (name == config_.name) {
            node.address = config_.address;
            node.live = true;
            node.leaving = leaving_;
            node.disk = acceptor_.durable().disk;
            node.writable = acceptor_.writable();
            node.synced = true;
        } else if (peer != peers_.end()) {
            node.address = peer->second.address;
            node.zone = peer->second.zone;
            node.live = peer->second.live && lately;
            // A proposer that has just taken over goes by what membership knew before.
            if (!peer->second.live)
                node.absent = std::max({node.absent, Micros{1}, now - peer->second.since});
            node.leaving = peer->second.leaving;
        }
        nodes.push_back(std::move(node));
    }
    return nodes;
}

// A voter that is well but has not accepted what is decided is asked to accept just that; where it has
// promised a higher ballot, a new attempt brings all to one state.
void ControlRegister::repair(Micros now) {
    if (now < next_repair_ || round_.phase != Phase::idle) return;
    weft::ControlState newest;
    weft::Ballot under;
    for (const auto& s : surveyed_) {
        if (!(under < s.second.accepted) || !is_voter(decided_.voters, s.first, s.second.disk)) continue;
        under = s.second.accepted;
        newest = s.second.state;
    }
    if (under.round == 0) return;
    // Accepted, and perhaps decided, by an attempt whose proposer died before it told anybody.
    if (newest.revision > decided_.revision) {
        next_repair_ = now + kRepairEvery;
        if (look_.serial == 0) begin_look(now);
        return;
    }
    for (const auto& voter : decided_.voters) {
        const auto said = surveyed_.find(voter.name);
        const auto at = answered_at_.find(voter.name);
        if (said == surveyed_.end() || said->second.disk != voter.disk || said->second.accepted == under)
            continue;
        if (said->second.writable == 0 || now - at->second > config_.tuning.survey_soon) continue;
        next_repair_ = now + kRepairEvery;
        if (newest.revision != decided_.revision || under < said->second.promised) {
            completion_due_ = true;
            return;
        }
        weft::AcceptAsk ask;
        ask.serial = ++serial_;
        ask.ballot = under;
        ask.state = newest;
        if (said->second.state.hash != newest.hash && content_of(newest.hash) != nullptr)
            ask.packed = contents_.packed(newest.hash, said->second.state.hash, &ask.base);
        send(voter.name, std::move(ask));
    }
}

}  // namespace consensus
