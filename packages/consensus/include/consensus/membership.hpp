#pragma once
// Who votes on the control state, and which change of that is due (docs/control.md, "Membership").
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pith/time.hpp"
#include "weft/messages.hpp"

namespace consensus {

constexpr std::size_t kMaxVoters = 7;

// Node name -> identity of the disk that answered.
using Answered = std::map<std::string, std::string>;

bool is_voter(const std::vector<weft::Voter>& set, const std::string& name, const std::string& disk);
// A majority of `voters`, and of `joining` as well while membership changes.
bool has_quorum(const weft::ControlState& state, const Answered& answered);
// All voters by name, of both sets.
std::set<std::string> voter_names(const weft::ControlState& state);
bool same_voters(const std::vector<weft::Voter>& a, const std::vector<weft::Voter>& b);

// What the proposer knows of a control node.
struct Candidate {
    std::string name, disk, address, zone;
    bool live = false;        // membership says so, and it answered of late
    bool leaving = false;     // it said that it will stop
    bool writable = false;    // its disk takes writes
    bool synced = false;      // it knows the newest decided revision
    pith::Micros absent = 0;  // for how long it has been neither live nor writable; 0: it is well
};

struct MembershipTuning {
    pith::Micros replace_after = pith::kSecond;      // a voter is absent, and another stands ready
    pith::Micros shrink_after = 15 * pith::kSecond;  // a voter is absent, and none stands ready
    std::size_t least = 3;                           // voters; never shrunk below
};

// The next set of voters: at most one joins and one goes. The present set where nothing is due.
std::vector<weft::Voter> next_voters(const weft::ControlState& state, const std::vector<Candidate>& nodes,
                                     const MembershipTuning& tuning);

}  // namespace consensus
