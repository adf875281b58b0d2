#include "consensus/membership.hpp"

#include <algorithm>

namespace consensus {

namespace {

bool majority(const std::vector<weft::Voter>& set, const Answered& answered) {
    std::size_t count = 0;
    for (const auto& voter : set) {
        const auto i = answered.find(voter.name);
        if (i != answered.end() && i->second == voter.disk) ++count;
    }
    return count >= set.size() / 2 + 1;
}

const Candidate* find(const std::vector<Candidate>& nodes, const std::string& name) {
    for (const auto& node : nodes)
        if (node.name == name) return &node;
    return nullptr;
}

// A node that may take a voter's place now.
bool stands_ready(const Candidate& node) {
    return node.live && !node.leaving && node.writable && node.synced;
}

std::map<std::string, std::size_t> voters_by_zone(const std::vector<weft::Voter>& voters,
                                                  const std::vector<Candidate>& nodes) {
    std::map<std::string, std::size_t> count;
    for (const auto& voter : voters) {
        const Candidate* node = find(nodes, voter.name);
        if (node != nullptr) ++count[node->zone];
    }
    return count;
}

// The best that is not among `voters`: in the zone with the fewest of them, then by name. Null where none is
// ready.
// `staying`: those of them that keep their place.
const Candidate* best_ready(const std::vector<weft::Voter>& voters, const std::vector<weft::Voter>& staying,
                            const std::vector<Candidate>& nodes) {
    auto zones = voters_by_zone(staying, nodes);
    const Candidate* best = nullptr;
    for (const auto& node : nodes) {
        const bool votes = std::any_of(voters.begin(), voters.end(),
                                       [&node](const weft::Voter& v) { return v.name == node.name; });
        if (votes || !stands_ready(node)) continue;
        if (best == nullptr || zones[node.zone] < zones[best->zone]) best = &node;
    }
    return best;
}

weft::Voter voter_of(const Candidate& node) { return weft::Voter{node.name, node.disk, node.address}; }

void sort_by_name(std::vector<weft::Voter>* voters) {
    std::sort(voters->begin(), voters->end(),
              [](const weft::Voter& a, const weft::Voter& b) { return a.name < b.name; });
}

// The voter whose place should be taken first: one that leaves, where `leaving_too`, or the longest absent.
std::size_t worst_voter(const std::vector<weft::Voter>& voters, const std::vector<Candidate>& nodes,
                        pith::Micros absent_for, bool leaving_too) {
    std::size_t worst = voters.size();
    pith::Micros longest = 0;
    for (std::size_t i = 0; i < voters.size(); ++i) {
        const Candidate* node = find(nodes, voters[i].name);
        if (node == nullptr) continue;
        const pith::Micros absent = leaving_too && node->leaving ? pith::kNever : node->absent;
        if (absent < absent_for || absent <= longest) continue;
        worst = i;
        longest = absent;
    }
    return worst;
}

}  // namespace

bool is_voter(const std::vector<weft::Voter>& set, const std::string& name, const std::string& disk) {
    return std::any_of(set.begin(), set.end(),
                       [&](const weft::Voter& v) { return v.name == name && v.disk == disk; });
}

bool has_quorum(const weft::ControlState& state, const Answered& answered) {
    if (state.voters.empty() || !majority(state.voters, answered)) return false;
    return state.joining.empty() || majority(state.joining, answered);
}

std::set<std::string> voter_names(const weft::ControlState& state) {
    std::set<std::string> names;
    for (const auto& voter : state.voters) names.insert(voter.name);
    for (const auto& voter : state.joining) names.insert(voter.name);
    return names;
}

bool same_voters(const std::vector<weft::Voter>& a, const std::vector<weft::Voter>& b) {
    if (a.size() != b.size()) return false;
    return std::all_of(a.begin(), a.end(),
                       [&b](const weft::Voter& v) { return is_voter(b, v.name, v.disk); });
}

std::vector<weft::Voter> next_voters(const weft::ControlState& state, const std::vector<Candidate>& nodes,
                                     const MembershipTuning& tuning) {
    std::vector<weft::Voter> voters = state.voters;
    // A voter that came back with another disk: the new identity takes the place of the old one.
    for (auto& voter : voters) {
        const Candidate* node = find(nodes, voter.name);
        if (node == nullptr || node->disk.empty() || node->disk == voter.disk || !stands_ready(*node))
            continue;
        voter = voter_of(*node);
        return voters;
    }
    const std::size_t replaced = worst_voter(voters, nodes, tuning.replace_after, true);
    std::vector<weft::Voter> staying = voters;
    if (replaced < voters.size()) staying.erase(staying.begin() + static_cast<std::ptrdiff_t>(replaced));
    const Candidate* ready = best_ready(voters, staying, nodes);
    if (ready != nullptr) {
        if (replaced < voters.size())
            voters[replaced] = voter_of(*ready);
        else if (voters.size() < std::min<std::size_t>(state.target, kMaxVoters))
            voters.push_back(voter_of(*ready));
        sort_by_name(&voters);
        return voters;
    }
    // Fewer voters need a smaller majority; with an odd number one less gains nothing.
    const std::size_t gone = worst_voter(voters, nodes, tuning.shrink_after, false);
    if (gone < voters.size() && voters.size() > tuning.least && voters.size() % 2 == 0)
        voters.erase(voters.begin() + static_cast<std::ptrdiff_t>(gone));
    return voters;
}

}  // namespace consensus
