#define BOOST_TEST_MODULE helm_control_status
// The control side as helm tells of it, by what its nodes answer.
#include "helm/control_status.hpp"

#include <boost/test/unit_test.hpp>

#include "helm/helm.hpp"

namespace {

namespace json = boost::json;
using helm::ControlFault;
using helm::ControlStatus;
using helm::NodeAnswer;
using helm::Vote;

json::array voters(std::initializer_list<std::pair<const char*, const char*>> set) {
    json::array list;
    for (const auto& voter : set) list.push_back(json::object{{"name", voter.first}, {"disk", voter.second}});
    return list;
}

const json::array kThree = voters({{"k1", "d1"}, {"k2", "d2"}, {"k3", "d3"}});

json::object status(const std::string& name, const std::string& disk, int revision,
                    const json::array& set = kThree, const json::array& joining = {}) {
    return {{"name", name},
            {"role", "keeper"},
            {"epoch", 4},
            {"revision", revision},
            {"bundle", 3},
            {"disk", "well"},
            {"disk_id", disk},
            {"ready", true},
            {"voting", true},
            {"spare", false},
            {"proposer", name == "k2"},
            {"electorate", json::object{{"voters", set}, {"joining", joining}, {"founded", true}}},
            {"survey", json::array{}}};
}

NodeAnswer answered(const json::object& body) {
    NodeAnswer answer;
    answer.node = {json::value_to<std::string>(body.at("name")), "keeper", "10.0.0.1:1", "live"};
    answer.answer = weft::json_answer(200, json::serialize(body));
    return answer;
}

NodeAnswer silent(const std::string& name, const std::string& state) {
    NodeAnswer answer;
    answer.node = {name, "keeper", "10.0.0.1:1", state};
    return answer;
}

ControlFault fault_of(const ControlStatus& control, const std::string& name) {
    const auto* node = control.find(name);
    BOOST_REQUIRE_MESSAGE(node != nullptr, name);
    return node->fault;
}

std::string text(ControlFault fault) { return helm::fault_text(fault); }

bool names(const std::vector<std::string>& advice, const std::string& words) {
    for (const auto& line : advice)
        if (line.find(words) != std::string::npos) return true;
    return false;
}

}  // namespace

BOOST_AUTO_TEST_CASE(all_well) {
    const auto control = helm::control_status(
        {answered(status("k1", "d1", 7)), answered(status("k2", "d2", 7)), answered(status("k3", "d3", 7))});
    BOOST_TEST(control.founded);
    BOOST_TEST(control.epoch == 4u);
    BOOST_TEST(control.revision == 7u);
    BOOST_TEST(control.proposer == "k2");
    BOOST_TEST(control.nodes.size() == 3u);
    for (const auto& node : control.nodes) {
        BOOST_TEST(text(node.fault) == "well", node.name);
        BOOST_TEST(helm::remedy(control, node).empty(), node.name);
        BOOST_TEST((node.vote == Vote::voter), node.name);
    }
    BOOST_TEST(control.has_majority());
    BOOST_TEST(helm::control_advice(control).empty());
}

BOOST_AUTO_TEST_CASE(each_fault_is_told_apart_and_has_its_remedy) {
    auto failed = status("k1", "d1", 5);
    failed["disk"] = "failed";
    const auto emptied = status("k3", "d3-new", 7);
    auto proposer = status("k2", "d2", 7);
    const auto control = helm::control_status({answered(failed), answered(proposer), answered(emptied)});
    BOOST_TEST(text(fault_of(control, "k1")) == "disk refuses writes");
    BOOST_TEST(control.find("k1")->behind == 2u);
    BOOST_TEST(helm::remedy(control, *control.find("k1")).find("make room") != std::string::npos);
    BOOST_TEST(text(fault_of(control, "k3")) == "emptied disk");
    BOOST_TEST(control.find("k3")->voting_disk == "d3");
    BOOST_TEST(control.find("k3")->disk == "d3-new");
    // Two of three don't count: nobody can take the new disk in.
    BOOST_TEST(!control.has_majority());
    BOOST_TEST(helm::remedy(control, *control.find("k3")).find("no majority") != std::string::npos);
    BOOST_TEST(names(helm::control_advice(control), "no majority of the voters (1 of 3 count)"));
    BOOST_TEST(names(helm::control_advice(control), "mend 1 or more of k1, k3"));

    const auto behind = helm::control_status(
        {answered(status("k1", "d1", 4)), answered(status("k2", "d2", 7)), silent("k3", "down")});
    BOOST_TEST(text(fault_of(behind, "k1")) == "not yet told");
    BOOST_TEST(behind.find("k1")->behind == 3u);
    BOOST_TEST(helm::remedy(behind, *behind.find("k1")).find("is 3 behind") == 0u);
    BOOST_TEST(text(fault_of(behind, "k3")) == "down");
    BOOST_TEST(helm::remedy(behind, *behind.find("k3")).find("has a vote") != std::string::npos);
    BOOST_TEST(!behind.find("k3")->known);
    BOOST_TEST(behind.has_majority());
}

BOOST_AUTO_TEST_CASE(what_only_the_proposer_reaches_is_told_by_its_survey) {
    auto proposer = status("k2", "d2", 7);
    proposer["survey"] = json::array{
        json::object{{"name", "k1"}, {"disk", "d1"}, {"votes", true}, {"writable", true}, {"revision", 6}},
        json::object{{"name", "k3"}, {"disk", "d3"}, {"votes", true}, {"writable", false}, {"revision", 7}}};
    const auto control =
        helm::control_status({silent("k1", "live"), answered(proposer), silent("k3", "live")});
    BOOST_TEST(text(fault_of(control, "k1")) == "no answer to helm");
    BOOST_TEST(control.find("k1")->behind == 1u);
    BOOST_TEST(text(fault_of(control, "k3")) == "disk refuses writes");
    // One that is down is not taken for live by what it said before.
    const auto later = helm::control_status({silent("k1", "down"), answered(proposer), silent("k3", "live")});
    BOOST_TEST(text(fault_of(later, "k1")) == "down");
}

BOOST_AUTO_TEST_CASE(a_change_of_membership_and_a_spare) {
    const auto joining = voters({{"k2", "d2"}, {"k3", "d3"}, {"k4", "d4"}});
    const auto control = helm::control_status(
        {silent("k1", "down"), answered(status("k2", "d2", 7, kThree, joining)),
         answered(status("k3", "d3", 7, kThree, joining)), answered(status("k4", "d4", 7, kThree, joining)),
         answered(status("k5", "d5", 7, kThree, joining))});
    BOOST_TEST((control.find("k4")->vote == Vote::joining));
    BOOST_TEST((control.find("k5")->vote == Vote::none));
    BOOST_TEST(control.joining.size() == 3u);
    BOOST_TEST(control.has_majority());
    // A voter's new disk counts among those that join, and not among those that were.
    const auto exchanged = voters({{"k1", "d1-new"}, {"k2", "d2"}, {"k3", "d3"}});
    const auto exchange =
        helm::control_status({answered(status("k1", "d1-new", 7, kThree, exchanged)),
                              answered(status("k2", "d2", 7, kThree, exchanged)), silent("k3", "down")});
    BOOST_TEST(text(fault_of(exchange, "k1")) == "well");
    BOOST_TEST(exchange.counted(exchange.voters, Vote::voter) == 1u);
    BOOST_TEST(exchange.counted(exchange.joining, Vote::joining) == 2u);
    BOOST_TEST(!exchange.has_majority());
}

BOOST_AUTO_TEST_CASE(nothing_founded_and_nobody_there) {
    BOOST_TEST(
        names(helm::control_advice(helm::control_status({silent("k1", "live")})), "no keeper answers"));
    auto fresh = status("k1", "d1", 0, {});
    fresh["electorate"] = json::object{{"voters", json::array{}}, {"founded", false}};
    const auto control = helm::control_status({answered(fresh)});
    BOOST_TEST(!control.founded);
    BOOST_TEST(names(helm::control_advice(control), "no voters are founded yet"));
    // A status of another shape is no reason to fail.
    BOOST_TEST(
        !helm::control_status({answered({{"name", "k1"}, {"electorate", 3}, {"survey", "x"}})}).founded);
}

BOOST_AUTO_TEST_CASE(advice_by_a_keepers_own_status) {
    const auto first = [](const json::object& body) {
        const auto lines = helm::advice(body, 0);
        return lines.empty() ? std::string() : lines.front();
    };
    BOOST_TEST(first(status("k1", "d1", 7)).empty());
    // An emptied disk is no spare, though it has no vote.
    auto emptied = status("k1", "d1-new", 7);
    emptied["voting"] = false;
    emptied["spare"] = true;
    BOOST_TEST(first(emptied).find("has no vote: its disk was emptied") == 0u);
    auto spare = status("k4", "d4", 7);
    spare["voting"] = false;
    spare["spare"] = true;
    BOOST_TEST(first(spare).find("keeps a copy and has no vote") == 0u);
}
