#include "helm/control_status.hpp"

#include <algorithm>
#include <map>
#include <set>

#include "json_fields.hpp"

namespace helm {

namespace json = boost::json;

namespace {

// What is known of one control node, from wherever.
struct Evidence {
    json::object status;    // by itself; empty where it did not answer
    json::object surveyed;  // by the proposer
    std::string state;      // as membership has it: live, draining or down
};

using Identities = std::map<std::string, std::string>;  // node name -> disk identity

std::uint64_t whole_field(const json::object& object, const char* key) {
    return static_cast<std::uint64_t>(std::max(0.0, number_field(object, key)));
}

Identities identities(const json::object& electorate, const char* set) {
    Identities found;
    for (const auto& voter : objects_in(electorate, set))
        found[string_field(voter, "name")] = string_field(voter, "disk");
    return found;
}

std::vector<std::string> names_of(const Identities& set) {
    std::vector<std::string> names;
    for (const auto& entry : set) names.push_back(entry.first);
    return names;
}

// The status that knows most: of the highest revision; of several, the proposer's.
const json::object* newest_status(const std::vector<json::object>& statuses) {
    const json::object* newest = nullptr;
    for (const auto& status : statuses) {
        if (!bool_field(object_field(status, "electorate"), "founded")) continue;
        const auto rank = [](const json::object& s) {
            return std::make_pair(whole_field(s, "revision"), bool_field(s, "proposer"));
        };
        if (newest == nullptr || rank(*newest) < rank(status)) newest = &status;
    }
    return newest;
}

ControlFault fault_of(const Evidence& evidence, const ControlNodeStatus& node) {
    if (evidence.status.empty()) {
        const bool up = evidence.state == "live" || evidence.state == "draining";
        return up ? ControlFault::no_answer : ControlFault::down;
    }
    if (string_field(evidence.status, "disk") == "failed") return ControlFault::disk_refuses;
    if (!node.voting_disk.empty() && node.disk != node.voting_disk) return ControlFault::emptied_disk;
    return node.behind > 0 ? ControlFault::not_yet_told : ControlFault::none;
}

// The same where only the proposer can tell.
ControlFault surveyed_fault(const Evidence& evidence, const ControlNodeStatus& node) {
    if (!bool_field(evidence.surveyed, "writable")) return ControlFault::disk_refuses;
    if (!node.voting_disk.empty() && node.disk != node.voting_disk) return ControlFault::emptied_disk;
    return ControlFault::no_answer;
}

ControlNodeStatus node_status(const std::string& name, const Evidence& evidence, const ControlStatus& control,
                              const Identities& voters, const Identities& joining) {
    ControlNodeStatus node;
    node.name = name;
    const auto as_voter = voters.find(name), as_joining = joining.find(name);
    // While a voter's disk is exchanged it is in both sets; the new identity is the one that it has.
    if (as_voter != voters.end()) {
        node.vote = Vote::voter;
        node.voting_disk = as_voter->second;
    }
    if (as_joining != joining.end() && (as_voter == voters.end() || as_joining->second != as_voter->second)) {
        node.vote = Vote::joining;
        node.voting_disk = as_joining->second;
    }
    const bool answered = !evidence.status.empty();
    const json::object& source = answered ? evidence.status : evidence.surveyed;
    node.known = !source.empty();
    node.disk = string_field(source, answered ? "disk_id" : "disk");
    node.revision = whole_field(source, "revision");
    node.behind = node.known ? control.revision - std::min(control.revision, node.revision) : 0;
    node.fault = fault_of(evidence, node);
    if (node.fault == ControlFault::no_answer && node.known) node.fault = surveyed_fault(evidence, node);
    return node;
}

std::string joined(const std::vector<std::string>& names) {
    std::string text;
    for (const auto& name : names) text += (text.empty() ? "" : ", ") + name;
    return text;
}

std::size_t majority_of(std::size_t size) { return size / 2 + 1; }

// The voters whose votes don't count now.
std::vector<std::string> missing_votes(const ControlStatus& control, const std::vector<std::string>& set) {
    std::vector<std::string> names;
    for (const auto& name : set) {
        const auto* node = control.find(name);
        if (node == nullptr || !node->counts()) names.push_back(name);
    }
    return names;
}

std::string no_majority(const ControlStatus& control, const std::vector<std::string>& set, Vote as,
                        const char* of) {
    const std::size_t counted = control.counted(set, as), needed = majority_of(set.size());
    if (set.empty() || counted >= needed) return {};
    return "no majority of the " + std::string(of) + " (" + std::to_string(counted) + " of " +
           std::to_string(set.size()) + " count): pushes and reads are told to come back; mend " +
           std::to_string(needed - counted) + " or more of " + joined(missing_votes(control, set));
}

}  // namespace

bool ControlNodeStatus::counts() const {
    return fault == ControlFault::none || fault == ControlFault::not_yet_told ||
           fault == ControlFault::no_answer;
}

const ControlNodeStatus* ControlStatus::find(const std::string& name) const {
    const auto node = std::find_if(nodes.begin(), nodes.end(),
                                   [&name](const ControlNodeStatus& n) { return n.name == name; });
    return node == nodes.end() ? nullptr : &*node;
}

// A node that joins with another disk than it votes with does not count among the voters.
std::size_t ControlStatus::counted(const std::vector<std::string>& set, Vote as) const {
    return static_cast<std::size_t>(std::count_if(set.begin(), set.end(), [&](const std::string& name) {
        const auto* node = find(name);
        const bool exchanged = node != nullptr && as == Vote::voter && node->vote == Vote::joining;
        return node != nullptr && node->counts() && !exchanged;
    }));
}

bool ControlStatus::has_majority() const {
    if (!founded || counted(voters, Vote::voter) < majority_of(voters.size())) return false;
    return joining.empty() || counted(joining, Vote::joining) >= majority_of(joining.size());
}

ControlStatus control_status(const std::vector<NodeAnswer>& answers) {
    ControlStatus control;
    std::map<std::string, Evidence> evidence;
    std::vector<json::object> statuses;
    for (const auto& answer : answers) {
        Evidence& of_node = evidence[answer.node.name];
        of_node.state = answer.node.state;
        if (!answer.ok()) continue;
        of_node.status = answer.body();
        statuses.push_back(of_node.status);
    }
    control.answered = !statuses.empty();
    const json::object* newest = newest_status(statuses);
    if (newest == nullptr) return control;
    control.founded = true;
    control.epoch = whole_field(*newest, "epoch");
    control.revision = whole_field(*newest, "revision");
    if (bool_field(*newest, "proposer")) control.proposer = string_field(*newest, "name");
    const json::object electorate = object_field(*newest, "electorate");
    const Identities voters = identities(electorate, "voters"), joining = identities(electorate, "joining");
    control.voters = names_of(voters);
    control.joining = names_of(joining);
    for (const auto& surveyed : objects_in(*newest, "survey"))
        evidence[string_field(surveyed, "name")].surveyed = surveyed;
    for (const auto* set : {&control.voters, &control.joining})
        for (const auto& name : *set) evidence.emplace(name, Evidence{});
    for (const auto& entry : evidence)
        control.nodes.push_back(node_status(entry.first, entry.second, control, voters, joining));
    return control;
}

const char* fault_text(ControlFault fault) {
    switch (fault) {
        case ControlFault::none:
            return "well";
        case ControlFault::down:
            return "down";
        case ControlFault::no_answer:
            return "no answer to helm";
        case ControlFault::disk_refuses:
            return "disk refuses writes";
        case ControlFault::emptied_disk:
            return "emptied disk";
        case ControlFault::not_yet_told:
            return "not yet told";
    }
    return "";
}

std::string remedy(const ControlStatus& control, const ControlNodeStatus& node) {
    switch (node.fault) {
        case ControlFault::none:
            return {};
        case ControlFault::down:
            if (node.vote == Vote::none)
                return "is down and has no vote: start it again, so that it stands ready";
            return "is down and has a vote: start it again, or start another keeper, which then takes its "
                   "place";
        case ControlFault::no_answer:
            return "gives helm no answer: look at the net between here and its operators' address";
        case ControlFault::disk_refuses:
            return "its disk refuses writes: make room, and it goes on by itself; or replace the disk and "
                   "start it again "
                   "on an empty folder";
        case ControlFault::emptied_disk:
            if (control.has_majority())
                return "has another disk than it votes with: the others take the new one in within seconds; "
                       "if they "
                       "don't, look at the net between it and them";
            return "has another disk than it votes with, and no majority can take the new one in: start the "
                   "other "
                   "voters on the disks that they had";
        case ControlFault::not_yet_told:
            return "is " + std::to_string(node.behind) +
                   " behind: it is told within a second; if it is not, look at the net between it and " +
                   (control.proposer.empty() ? "the other keepers" : control.proposer);
    }
    return {};
}

std::vector<std::string> control_advice(const ControlStatus& control) {
    if (!control.answered) return {"no keeper answers: start them, or name one that runs in --nodes"};
    if (!control.founded)
        return {"no voters are founded yet: start all keepers; where none are listed, with first_start"};
    std::vector<std::string> advice;
    const std::string voters = no_majority(control, control.voters, Vote::voter, "voters");
    const std::string joining = no_majority(control, control.joining, Vote::joining, "joining voters");
    if (!voters.empty()) advice.push_back(voters);
    if (!joining.empty()) advice.push_back(joining);
    if (advice.empty() && control.proposer.empty())
        advice.emplace_back(
            "no keeper that answers proposes: it is being chosen anew, or helm can't reach it");
    return advice;
}

json::object to_json(const ControlStatus& control) {
    static constexpr const char* kVotes[] = {"no", "yes", "joining"};
    json::array nodes;
    for (const auto& node : control.nodes)
        nodes.push_back(json::object{{"name", node.name},
                                     {"vote", kVotes[static_cast<std::size_t>(node.vote)]},
                                     {"disk_id", node.disk},
                                     {"voting_disk_id", node.voting_disk},
                                     {"revision", node.revision},
                                     {"behind", node.behind},
                                     {"known", node.known},
                                     {"state", fault_text(node.fault)},
                                     {"remedy", remedy(control, node)}});
    const auto list = [](const std::vector<std::string>& words) {
        return json::array(words.begin(), words.end());
    };
    return {{"founded", control.founded},
            {"epoch", control.epoch},
            {"revision", control.revision},
            {"proposer", control.proposer},
            {"voters", list(control.voters)},
            {"joining", list(control.joining)},
            {"majority", control.has_majority()},
            {"nodes", nodes},
            {"advice", list(control_advice(control))}};
}

}  // namespace helm
