// status, watch: every node, the control side as a whole, and what to do about what is wrong.
#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

#include "commands.hpp"
#include "flags.hpp"
#include "helm/control_status.hpp"
#include "helm/helm.hpp"
#include "json_fields.hpp"
#include "output.hpp"
#include "session.hpp"

namespace helm {

namespace json = boost::json;

namespace {

constexpr int kMostTimes = 100000;
constexpr int kLeastEvery = 100, kMostEvery = 60000;  // ms
constexpr std::size_t kShownDisk = 8;                 // characters of an identity

using Lines = std::vector<std::string>;

double highest_bundle(const std::vector<NodeAnswer>& answers) {
    double highest = 0;
    for (const auto& answer : answers)
        if (answer.ok()) highest = std::max(highest, number_field(answer.body(), "bundle"));
    return highest;
}

// Those that the node holds now, by its own word: "sweep@3 listing@1 ".
std::string held_duties(const std::string& name, const json::object& status) {
    std::string held;
    for (const auto& duty : objects_in(status, "duties"))
        if (text_field(duty, "holder") == name)
            held += text_field(duty, "duty") + "@" + text_field(duty, "epoch") + " ";
    return held;
}

Lines advice_for(const NodeAnswer& answer, const json::object& status, double behind,
                 const ControlStatus& control) {
    Lines lines = advice(status, behind);
    const auto* node = control.find(answer.node.name);
    if (lines.empty() && node != nullptr && node->fault != ControlFault::none)
        lines.push_back(remedy(control, *node));
    return lines;
}

// One line a node that answered.
void add_nodes(const std::vector<NodeAnswer>& answers, const ControlStatus& control, Report* report,
               Lines* problems) {
    const Table table({{"NAME", 10},
                       {"ROLE", 7},
                       {"ZONE", 8},
                       {"BUNDLE", 7},
                       {"BEHIND", 6},
                       {"READY", 5},
                       {"STANDING", 8},
                       {"DISK", 6},
                       {"INCARNATION", 17},
                       {"DUTIES"}});
    report->add_line(table.header());
    const double highest = highest_bundle(answers);
    for (const auto& answer : answers) {
        if (!answer.ok()) continue;
        auto status = answer.body();
        const auto field = [&status](const char* key) { return text_field(status, key); };
        const double behind = highest - number_field(status, "bundle");
        report->add_line(
            table.row({answer.node.name, field("role"), field("locality"), field("bundle"),
                       formatted("%.0f", behind), field("ready"), field("standing"), field("disk"),
                       field("incarnation"), held_duties(answer.node.name, status)}));
        json::array said;
        for (const auto& line : advice_for(answer, status, behind, control)) {
            said.emplace_back(line);
            problems->push_back(answer.node.name + ": " + line);
        }
        status["behind"] = behind;
        status["advice"] = said;
        report->add_item(status);
    }
}

std::string vote_text(Vote vote) {
    if (vote == Vote::none) return "no";
    return vote == Vote::voter ? "yes" : "joining";
}

std::string short_identity(const std::string& disk) {
    return disk.empty() ? "-" : disk.substr(0, kShownDisk);
}

std::string state_text(const ControlNodeStatus& node) {
    std::string text = fault_text(node.fault);
    if (node.fault == ControlFault::emptied_disk) text += ", votes with " + short_identity(node.voting_disk);
    return text;
}

std::string names_in(const Lines& names) {
    std::string text;
    for (const auto& name : names) text += (text.empty() ? "" : ",") + name;
    return text;
}

std::string summary(const ControlStatus& control) {
    std::string text = "control: epoch " + std::to_string(control.epoch) + ", revision " +
                       std::to_string(control.revision) + ", proposer " +
                       (control.proposer.empty() ? "not seen" : control.proposer) + ", " +
                       std::to_string(control.counted(control.voters, Vote::voter)) + " of " +
                       std::to_string(control.voters.size()) + " votes count";
    if (!control.joining.empty())
        text += ", changing from " + names_in(control.voters) + " to " + names_in(control.joining);
    return text;
}

// The control side: what all agree on, then one line a keeper, also of those that did not answer.
void add_control(const ControlStatus& control, Report* report, Lines* problems) {
    for (const auto& line : control_advice(control)) problems->push_back("control: " + line);
    report->add_field("control", to_json(control));
    if (!control.founded) return;
    report->add_line("");
    report->add_line(summary(control));
    const Table table(
        {{"KEEPER", 10}, {"VOTE", 7}, {"DISK_ID", 8}, {"REVISION", 8}, {"BEHIND", 6}, {"STATE"}});
    report->add_line(table.header());
    for (const auto& node : control.nodes) {
        const std::string revision = node.known ? std::to_string(node.revision) : "-";
        const std::string behind = node.known ? std::to_string(node.behind) : "-";
        report->add_line(table.row({node.name, vote_text(node.vote), short_identity(node.disk), revision,
                                    behind, state_text(node)}));
    }
}

// Those that did not answer have no line among the nodes, and no advice there.
void add_silent_keepers(const std::vector<NodeAnswer>& answers, const ControlStatus& control,
                        Lines* problems) {
    for (const auto& node : control.nodes) {
        const bool answered = std::any_of(answers.begin(), answers.end(), [&node](const NodeAnswer& answer) {
            return answer.ok() && answer.node.name == node.name;
        });
        if (!answered) problems->push_back(node.name + ": " + remedy(control, node));
    }
}

std::vector<NodeAnswer> of_keepers(const std::vector<NodeAnswer>& answers) {
    std::vector<NodeAnswer> keepers;
    std::copy_if(answers.begin(), answers.end(), std::back_inserter(keepers),
                 [](const NodeAnswer& answer) { return answer.node.role == "keeper"; });
    return keepers;
}

}  // namespace

int run_status(const Arguments&) {
    auto session = Session::open();
    if (!session) return print_error(session.error());
    const auto answers = session->ask(session->nodes(), "GET", "/v1/status");
    const ControlStatus control = control_status(of_keepers(answers));
    Report report("nodes");
    Lines problems;
    add_nodes(answers, control, &report, &problems);
    add_control(control, &report, &problems);
    add_silent_keepers(answers, control, &problems);
    if (!problems.empty()) report.add_line("");
    for (auto& line : problems) report.add_line(std::move(line));
    return report.print(answers);
}

int run_watch(const Arguments& arguments) {
    const int times = std::max(1, std::min(FLAGS_times, kMostTimes));
    const std::chrono::milliseconds every(std::max(kLeastEvery, std::min(FLAGS_every_ms, kMostEvery)));
    int code = kSuccess;
    for (int i = 0; i < times; ++i) {
        if (i > 0) std::this_thread::sleep_for(every);
        code = run_status(arguments);
        std::cout << std::flush;
    }
    return code;
}

}  // namespace helm
