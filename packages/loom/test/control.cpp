#define BOOST_TEST_MODULE loom_control
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <thread>

#include "loom/control_scenario.hpp"

// The control side on its worst days, with fixed seeds. `loom --control all --seeds A-B` runs as many as one
// likes.

namespace {

struct Job {
    std::string scenario;
    std::uint64_t seed = 0;
    loom::Breaks breaks;
};

std::vector<loom::ControlResult> run_all(const std::vector<Job>& jobs) {
    constexpr int kThreads = 5;
    std::vector<loom::ControlResult> results(jobs.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < kThreads; ++i)
        threads.emplace_back([&] {
            for (std::size_t k = next++; k < jobs.size(); k = next++)
                results[k] = loom::run_control(jobs[k].scenario, jobs[k].seed, jobs[k].breaks);
        });
    for (auto& thread : threads) thread.join();
    return results;
}

std::vector<Job> seeds(const std::string& scenario, std::uint64_t most, const loom::Breaks& breaks = {}) {
    std::vector<Job> jobs;
    for (std::uint64_t seed = 1; seed <= most; ++seed) jobs.push_back({scenario, seed, breaks});
    return jobs;
}

void nothing_broken(const std::string& scenario, std::uint64_t most) {
    for (const auto& result : run_all(seeds(scenario, most))) {
        BOOST_TEST(result.faults.empty(), result.line());
        BOOST_TEST(result.figures.at("acknowledged") > 0, result.line());
    }
}

bool caught(const std::string& scenario, std::uint64_t most, const loom::Breaks& breaks,
            const std::string& rule) {
    for (const auto& result : run_all(seeds(scenario, most, breaks)))
        if (result.faults.count(rule) != 0) return true;
    return false;
}

// A mechanism taken out, the day that shows it, and the check that catches it.
struct Proof {
    const char* what;
    void (*take_out)(loom::Breaks*);
    const char *scenario, *rule;
    std::uint64_t most;  // seeds
};

const Proof kProofs[] = {
    {"local_read", [](loom::Breaks* b) { b->control.local_read = true; }, "cut_each_voter",
     "answered_while_cut", 3},
    {"local_read", [](loom::Breaks* b) { b->control.local_read = true; }, "cut_each_voter",
     "not_linearizable", 3},
    {"numbers_only", [](loom::Breaks* b) { b->control.numbers_only = true; }, "races", "not_linearizable", 3},
    {"skip_prepare", [](loom::Breaks* b) { b->control.skip_prepare = true; }, "all_at_each_step",
     "two_states", 12},
    {"ignore_accepted", [](loom::Breaks* b) { b->control.ignore_accepted = true; }, "all_at_each_step",
     "two_states", 12},
    {"no_joint", [](loom::Breaks* b) { b->control.no_joint = true; }, "split_replacement", "two_states", 24},
    {"no_joint", [](loom::Breaks* b) { b->control.no_joint = true; }, "split_replacement", "not_linearizable",
     24},
    {"ignore_disk_identity", [](loom::Breaks* b) { b->control.ignore_disk_identity = true; }, "emptied_voter",
     "not_linearizable", 6},
    {"ignore_disk_identity", [](loom::Breaks* b) { b->control.ignore_disk_identity = true; }, "emptied_voter",
     "ack_early", 6},
    {"never_replace", [](loom::Breaks* b) { b->never_replace = true; }, "two_replacements", "not_replaced",
     6},
    {"never_replace", [](loom::Breaks* b) { b->never_replace = true; }, "grown", "not_replaced", 3},
    {"never_replace", [](loom::Breaks* b) { b->never_replace = true; }, "grown", "unacknowledged", 6},
    {"hasty_leave", [](loom::Breaks* b) { b->hasty_leave = true; }, "replacement", "left_as_voter", 12},
    {"disk_failed_for_life", [](loom::Breaks* b) { b->disk_failed_for_life = true; }, "disk_troubles",
     "disk_not_back", 3},
    {"disk_failed_for_life", [](loom::Breaks* b) { b->disk_failed_for_life = true; }, "disk_troubles",
     "late_ack", 3},
    {"lying_disk", [](loom::Breaks* b) { b->lying_disk = true; }, "all_at_each_step", "bundle_lost", 3},
    {"lying_disk", [](loom::Breaks* b) { b->lying_disk = true; }, "races", "ack_early", 3},
    {"deaf_control", [](loom::Breaks* b) { b->deaf_control = true; }, "thousand_changes", "not_caught_up", 1},
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_run_replays_the_same) {
    const auto results = run_all({{"races", 3, {}}, {"races", 3, {}}});
    BOOST_TEST(results[0].line() == results[1].line());
}

BOOST_AUTO_TEST_CASE(a_voter_cut_off_for_20_s_confirms_refuses_and_hands_out_nothing) {
    nothing_broken("cut_each_voter", 6);
    nothing_broken("cut_with_spare", 6);
}

BOOST_AUTO_TEST_CASE(races_of_operators_have_one_content_a_number) { nothing_broken("races", 10); }

BOOST_AUTO_TEST_CASE(a_voter_is_replaced_and_the_next_loss_finds_a_majority) {
    nothing_broken("replacement", 36);
    nothing_broken("two_replacements", 8);
}

BOOST_AUTO_TEST_CASE(a_split_in_the_midst_of_a_replacement_leaves_one_state) {
    nothing_broken("split_replacement", 24);
}

BOOST_AUTO_TEST_CASE(an_emptied_voter_has_no_say_under_its_old_name) { nothing_broken("emptied_voter", 6); }

BOOST_AUTO_TEST_CASE(all_end_at_each_step_of_an_order) { nothing_broken("all_at_each_step", 9); }

BOOST_AUTO_TEST_CASE(full_stalled_slow_and_refusing_disks_come_back_by_themselves) {
    nothing_broken("disk_troubles", 10);
}

BOOST_AUTO_TEST_CASE(a_grown_fleet_bears_two_losses_at_once) { nothing_broken("grown", 5); }

BOOST_AUTO_TEST_CASE(a_thousand_changes_leave_quick_restarts_and_small_disks) {
    for (const auto& result : run_all(seeds("thousand_changes", 5))) {
        BOOST_TEST(result.faults.empty(), result.line());
        BOOST_TEST(result.figures.at("acknowledged") >= 1000, result.line());
        BOOST_TEST(result.figures.at("restart_ms") < 2000, result.line());
        std::cout << result.line() << "\n";
    }
}

BOOST_AUTO_TEST_CASE(every_mechanism_is_missed) {
    for (const auto& proof : kProofs) {
        loom::Breaks breaks;
        proof.take_out(&breaks);
        BOOST_TEST(caught(proof.scenario, proof.most, breaks, proof.rule),
                   proof.what << " is not caught as " << proof.rule << " by " << proof.scenario);
    }
}
