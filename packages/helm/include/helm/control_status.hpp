#pragma once
// The control side as a whole, put together from its nodes' statuses: who votes, with which disk, who is
// behind and why (docs/control.md, "Membership"; docs/operators.md, "What to do when").
#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "helm/fleet.hpp"

namespace helm {

enum class Vote { none, voter, joining };

// What is wrong with a control node; where several things are, the first of these.
enum class ControlFault {
    none,
    down,          // membership says so, or nobody knows of it
    no_answer,     // to us; membership has it as live
    disk_refuses,  // its disk takes no writes now
    emptied_disk,  // its name has a vote, under the identity of another disk
    not_yet_told,  // it knows a lower revision than the newest that is decided
};

struct ControlNodeStatus {
    std::string name;
    Vote vote = Vote::none;
    std::string disk;         // the identity that it has now, as far as known
    std::string voting_disk;  // the identity that its vote goes with; empty without a vote
    std::uint64_t revision = 0, behind = 0;
    bool known = false;  // revision and disk were told by itself or by the proposer
    ControlFault fault = ControlFault::none;

    // Its vote counts now, as far as is seen from here.
    bool counts() const;
};

struct ControlStatus {
    bool answered = false;  // by any control node
    bool founded = false;   // voters are known
    std::uint64_t epoch = 0, revision = 0;
    std::string proposer;  // empty where no node that answered says that it is
    std::vector<std::string> voters, joining;
    std::vector<ControlNodeStatus> nodes;  // by name

    const ControlNodeStatus* find(const std::string& name) const;
    // Votes of `set` (voters or joining) that count now, and how many it takes.
    std::size_t counted(const std::vector<std::string>& set, Vote as) const;
    bool has_majority() const;
};

// `answers`: of all keepers, to GET /v1/status.
ControlStatus control_status(const std::vector<NodeAnswer>& answers);

const char* fault_text(ControlFault fault);
// What to do; empty where nothing is wrong.
std::string remedy(const ControlStatus& control, const ControlNodeStatus& node);
// What is wrong with the whole and what to do; empty where nothing is.
std::vector<std::string> control_advice(const ControlStatus& control);
boost::json::object to_json(const ControlStatus& control);

}  // namespace helm
