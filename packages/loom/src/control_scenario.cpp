#include "loom/control_scenario.hpp"

#include <algorithm>

#include "loom/control_clients.hpp"

namespace loom {

using pith::kMilli;
using pith::kSecond;

namespace {

constexpr Micros kFounded = 5 * kSecond;   // the first membership stands by then
constexpr Micros kSyncTime = 4 * kSecond;  // a lost voter is replaced by then
constexpr Micros kRollOut = 2 * kSecond;   // from an acknowledgement, or the end of a cut, to all
constexpr Micros kSettle = 8 * kSecond;    // after the last trouble, before the end is judged

std::string milliseconds(Micros t) { return std::to_string(t / kMilli) + " ms"; }

Deployment control_fleet(int control_nodes, int spares) {
    Deployment d = foundation();
    d.proxies = 4;
    d.keepers = control_nodes;
    d.spares = spares;
    d.servers = 3;
    d.customers.resize(1);
    d.customers[0].rate = 1;
    d.discovered = true;
    d.reads_every = 150 * kMilli;
    return d;
}

// A fleet, its operators and what watches them.
class Stage {
  public:
    Stage(const Deployment& deployment, std::uint64_t seed, const Breaks& breaks)
        : world(deployment, seed, tide::Tuning{}, span::CoreTuning{}, breaks),
          operators(&world),
          watch(&world, &operators),
          random(seed * 6007 + 11) {
        watch.start(kFounded);
        order_at(kFounded - kSecond, "k1");
    }

    std::string any_control() {
        const auto all = world.names("keeper");
        return all[random.below(all.size())];
    }
    Micros between(Micros from, Micros to) {
        return from + static_cast<Micros>(random.below(static_cast<std::uint64_t>(to - from)));
    }
    // An order under a number of its own, above all before.
    void order_at(Micros t, const std::string& node) {
        world.at(t, [this, node] { operators.order(node, ++number, "a"); });
    }
    // Orders at any node, one each `every`.
    void orders(Micros from, Micros to, Micros every) {
        for (Micros t = from; t < to; t += every) order_at(t, any_control());
    }
    // A voter of the newest membership; `place` counts round.
    std::string voter(std::size_t place) const {
        const auto& voters = world.newest().voters;
        return voters.empty() ? "k1" : voters[place % voters.size()].name;
    }
    void wipe(const std::string& node) {
        world.kill(node);
        world.empty_disk(node);
    }
    // Disks that take writes again let their node vote again within a second.
    void disk_well_from(const std::string& node) {
        world.fault_disk(node, DiskFault::none);
        world.slow_disk(node, 0);
        world.at(world.now() + kSecond, [this, node] {
            const auto* control = world.control(node);
            if (control == nullptr || !world.runs_well(node)) return;
            if (!control->control().acceptor().writable())
                world.checks.fail("disk_not_back", node + " refuses to write at " +
                                                       milliseconds(world.now()) +
                                                       ", a second after its disk takes writes");
        });
    }
    void run_until(Micros t) { world.run_until(t); }
    // Everybody knows one state, proxies act on its number, and nothing acknowledged was lost.
    void judge_end() {
        world.judge_history();
        for (const auto& name : world.names("keeper")) {
            const auto* control = world.control(name);
            if (control != nullptr) judge_caught_up(name, *control);
        }
        for (const auto& name : world.names("proxy"))
            if (world.up(name) && world.checks.acts[name] < world.checks.highest_acked)
                world.checks.fail("not_mended", name + " ends at " + std::to_string(world.checks.acts[name]) +
                                                    " of " + std::to_string(world.checks.highest_acked));
        if (world.newest().number < world.checks.highest_acked)
            world.checks.fail("bundle_lost", "number " + std::to_string(world.checks.highest_acked) +
                                                 " was acknowledged, " +
                                                 std::to_string(world.newest().number) + " stands");
        for (const auto& delivery : operators.deliveries())
            if (delivery.end == pith::kNever)
                world.checks.fail("unacknowledged", "order " + std::to_string(delivery.number) + " of " +
                                                        milliseconds(delivery.start) +
                                                        " had no answer to the end");
    }
    void judge_caught_up(const std::string& name, const consensus::ControlNode& control) {
        const auto& state = control.control().decided();
        if (state.number < world.checks.highest_acked)
            world.checks.fail("not_caught_up", name + " knows number " + std::to_string(state.number) +
                                                   " of " + std::to_string(world.checks.highest_acked) +
                                                   " at " + milliseconds(world.now()));
        else if (state.number > 0 && control.control().text() == nullptr)
            world.checks.fail("not_caught_up", name + " has no content of number " +
                                                   std::to_string(state.number) + " at " +
                                                   milliseconds(world.now()));
    }

    World world;
    Operators operators;
    ControlWatch watch;
    pith::Rng random;
    std::uint64_t number = 0;
    std::map<std::string, double> figures;
};

// ---- a voter is cut off for 20 s

// Nothing that a cut-off node says is a confirmation, a refusal or the text of a bundle.
void judge_cut(Stage* stage, const std::string& node, Micros from, Micros to) {
    for (const auto& call : stage->world.calls()) {
        if (call.node != node || call.start < from || call.start >= to || call.end >= to) continue;
        if (call.outcome == CallOutcome::acknowledged)
            stage->world.checks.fail("answered_while_cut",
                                     node + " answered " + call.answer + " at " + milliseconds(call.end));
        if (call.outcome == CallOutcome::taken || call.outcome == CallOutcome::rejected)
            stage->world.checks.fail("refused_while_cut",
                                     node + " refused with " + call.answer + " at " + milliseconds(call.end));
    }
}

void cut_each_voter(Stage* stage, std::uint64_t seed) {
    World& world = stage->world;
    constexpr Micros kCut = 20 * kSecond, kFrom = 8 * kSecond;
    constexpr Micros kTo = kFrom + kCut;
    world.at(kFrom, [stage, &world, seed] {
        // With it, a proxy that starts anew on its side of the cut.
        const std::string node = stage->voter(static_cast<std::size_t>(seed)), proxy = "p4";
        const auto cut = [&world, node, proxy](bool on) {
            world.isolate(node, on);
            world.isolate(proxy, on);
            world.cut(node, proxy, false);
            world.cut(proxy, node, false);
        };
        cut(true);
        const std::uint64_t below = stage->number;
        for (Micros t = 0; t < kCut - kSecond; t += 700 * kMilli) {
            world.at(kFrom + t, [&world, node] { world.read(node); });
            // New numbers, the one that stands with its content and with another, and an old one.
            world.at(kFrom + t, [&world, node, below, t] {
                world.push(node, 1000 + static_cast<std::uint64_t>(t / kMilli), "b");
            });
            world.at(kFrom + t + 100 * kMilli, [&world, node, below] { world.push(node, below, "a"); });
            world.at(kFrom + t + 200 * kMilli, [&world, node, below] { world.push(node, below, "b"); });
        }
        world.at(kFrom + 3 * kSecond, [&world, proxy] {
            world.kill(proxy);
            world.restart(proxy);
        });
        for (Micros t = 4 * kSecond; t < kCut; t += 500 * kMilli)
            world.at(kFrom + t, [&world, proxy] {
                if (world.takes_callers(proxy))
                    world.checks.fail("ready_while_cut",
                                      proxy + " takes callers at " + milliseconds(world.now()));
            });
        world.at(kTo - 1, [stage, node] { judge_cut(stage, node, kFrom, kTo); });
        world.at(kTo, [cut] { cut(false); });
        world.at(kTo, [stage, &world, node] {
            const std::uint64_t acked = world.checks.highest_acked;
            world.at(kTo + kRollOut, [&world, node, acked] {
                const auto* control = world.control(node);
                if (control != nullptr && control->control().decided().number < acked)
                    world.checks.fail("not_caught_up",
                                      node + " knows " + std::to_string(control->control().decided().number) +
                                          " of " + std::to_string(acked) + " 2 s after its cut");
            });
        });
    });
    // The other side's numbers stay below the cut-off side's, which are decided after the cut or never.
    stage->orders(kFrom + 2 * kSecond, kTo + 4 * kSecond, 800 * kMilli);
    stage->run_until(kTo + kSettle + 6 * kSecond);
}

// ---- races of operators

struct Contender {
    std::uint64_t number = 0;
    std::string note;
    std::size_t delivery = 0;
};

// What was acknowledged, or lost its number, stays so: each order is sent again to every node, later.
void send_all_again(Stage* stage, const std::vector<Contender>& contenders, Micros at) {
    World& world = stage->world;
    world.at(at, [stage, &world, contenders] {
        for (const auto& contender : contenders) {
            const auto before = stage->operators.deliveries()[contender.delivery].outcome;
            for (const auto& node : world.names("keeper")) {
                if (!world.up(node)) continue;
                const auto call = world.push(node, contender.number, contender.note);
                world.at(world.now() + 3900 * kMilli, [&world, call, contender, before] {
                    const auto& again = world.call(call);
                    if (again.outcome == CallOutcome::unclear || again.outcome == before) return;
                    world.checks.fail("answer_changed", "order " + std::to_string(contender.number) + " " +
                                                            contender.note + " was answered otherwise by " +
                                                            again.node + " later: " + again.answer);
                });
            }
        }
    });
}

void races(Stage* stage, std::uint64_t) {
    World& world = stage->world;
    auto contenders = std::make_shared<std::vector<Contender>>();
    const auto contend = [stage, &world, contenders](Micros t, std::uint64_t number,
                                                     const std::string& note) {
        world.at(t, [stage, contenders, number, note] {
            const auto delivery = stage->operators.order(stage->any_control(), number, note);
            contenders->push_back({number, note, delivery});
        });
    };
    Micros t = 7 * kSecond;
    std::uint64_t next = 100;
    for (int race = 0; race < 8; ++race) {
        const std::uint64_t operators = 2 + stage->random.below(7);
        const bool one_number = race % 2 == 0;
        if (race % 3 != 2) {  // answers of one node are lost meanwhile
            const std::string node = stage->any_control();
            world.at(t, [&world, node] { world.lose_answers(node, true); });
            world.at(t + 900 * kMilli, [&world, node] { world.lose_answers(node, false); });
        }
        if (race % 3 == 1) {  // or a node dies in the midst
            const std::string node = stage->any_control();
            world.at(t + stage->between(0, 60 * kMilli), [&world, node] { world.kill(node); });
            world.at(t + 2 * kSecond, [&world, node] { world.restart(node); });
        }
        for (std::uint64_t i = 0; i < operators; ++i) {
            const std::uint64_t number = one_number ? next : next + i;
            contend(t + stage->between(0, 40 * kMilli), number, std::string(1, static_cast<char>('b' + i)));
        }
        next += operators;
        t += 3 * kSecond;
    }
    world.at(t + 2 * kSecond,
             [stage, contenders, t] { send_all_again(stage, *contenders, t + 2 * kSecond); });
    // And once more after the membership has changed: a voter's disk is lost.
    world.at(t + 8 * kSecond, [stage] { stage->wipe(stage->voter(0)); });
    world.at(t + 16 * kSecond,
             [stage, contenders, t] { send_all_again(stage, *contenders, t + 16 * kSecond); });
    stage->run_until(t + 16 * kSecond + kSettle);
    for (const auto& contender : *contenders) {
        const auto& delivery = stage->operators.deliveries()[contender.delivery];
        if (delivery.outcome == CallOutcome::rejected)
            world.checks.fail("rejected", "order " + std::to_string(contender.number) + " " + contender.note);
    }
}

// ---- replacement

enum class Loss { kill, wipe, cut, power };

void lose(Stage* stage, const std::string& node, Loss loss, Micros back) {
    World& world = stage->world;
    if (loss == Loss::wipe)
        stage->wipe(node);
    else if (loss == Loss::cut)
        world.isolate(node, true);
    else
        world.kill(node);
    if (back <= 0) return;
    world.at(world.now() + back, [&world, node, loss] {
        if (loss == Loss::cut) world.isolate(node, false);
        world.restart(node);
    });
}

// A voter that is told to leave hands its vote over before it ends, where a majority is well and another node
// can take it.
void look_until_ended(Stage* stage, const std::string& node, const std::string& disk, Micros since) {
    World& world = stage->world;
    if (world.up(node)) {
        world.at(world.now() + kMilli,
                 [stage, node, disk, since] { look_until_ended(stage, node, disk, since); });
        return;
    }
    if (stage->watch.calm_since() > since || !consensus::is_voter(world.newest().voters, node, disk)) return;
    world.checks.fail("left_as_voter", disk + " ended at " + milliseconds(world.now()) + " and still votes");
}

void stop_by_plan(Stage* stage, const std::string& node) {
    if (!stage->world.up(node)) return;
    stage->world.stop(node);
    look_until_ended(stage, node, stage->world.disk(node).disk, stage->world.now());
}

// A voter goes: its disk is lost and it comes back empty, or a spare takes its place, planned or not. A
// second voter is lost a while after, at a step that the seed draws, within syncTime and beyond.
void replacement(Stage* stage, std::uint64_t seed) {
    World& world = stage->world;
    constexpr Micros kFrom = 8 * kSecond;
    const auto how = seed % 4;
    const auto which = static_cast<std::size_t>(seed / 4 % 3);
    const Micros step = static_cast<Micros>(seed / 12 % 12) * 500 * kMilli + stage->between(0, 500 * kMilli);
    const auto next_loss = static_cast<Loss>(stage->random.below(3));
    world.at(kFrom, [stage, &world, how, which, step, next_loss] {
        const std::string gone = stage->voter(which);
        const std::string second = stage->voter(which + 1 + stage->random.below(2));
        if (how == 0) {  // wiped, and back at once
            stage->wipe(gone);
            world.at(world.now() + 300 * kMilli, [&world, gone] { world.restart(gone); });
        } else if (how == 1) {  // gone for good; a spare is there already
            stage->wipe(gone);
        } else if (how == 2) {  // gone for good; a spare is started a second later
            stage->wipe(gone);
            world.at(world.now() + kSecond, [&world] { world.restart("k4"); });
        } else {  // planned: the new one first, then stop of the old one
            world.at(world.now() + kSecond, [stage, gone] { stop_by_plan(stage, gone); });
        }
        // Within syncTime only what comes back may be lost; after it a disk as well.
        const Loss loss = next_loss == Loss::wipe && step < kSyncTime + kSecond ? Loss::kill : next_loss;
        world.at(world.now() + step, [stage, second, loss] { lose(stage, second, loss, 3 * kSecond); });
        world.at(world.now() + step + 16 * kSecond,
                 [stage] { lose(stage, stage->voter(0), Loss::power, 3 * kSecond); });
    });
    if (how == 1 || how == 3) world.at(kFrom - 4 * kSecond, [&world] { world.restart("k4"); });
    stage->orders(kFrom - kSecond, kFrom + 30 * kSecond, 600 * kMilli);
    stage->run_until(kFrom + 30 * kSecond + kSettle);
}

// Two machines replaced by others 9 s apart, then one of those that are left loses power for 3 s.
void two_replacements(Stage* stage, std::uint64_t seed) {
    World& world = stage->world;
    constexpr Micros kFrom = 8 * kSecond, kApart = 9 * kSecond;
    for (int i = 0; i < 2; ++i) {
        const std::string fresh = "k" + std::to_string(4 + i);
        world.at(kFrom + i * kApart, [stage, &world, fresh, seed, i] {
            std::string old;
            for (std::size_t place = static_cast<std::size_t>(seed); old.empty(); ++place)
                if (stage->voter(place) < "k4") old = stage->voter(place);
            if ((seed >> i & 1) != 0) {  // planned
                world.restart(fresh);
                world.at(world.now() + 2 * kSecond, [&world, old] { world.stop(old); });
            } else {
                stage->wipe(old);
                world.at(world.now() + 500 * kMilli, [&world, fresh] { world.restart(fresh); });
            }
        });
    }
    const Micros power = kFrom + 2 * kApart - 2 * kSecond + stage->between(0, 4 * kSecond);
    const auto last = stage->random.below(3);
    world.at(power, [stage, last] {
        lose(stage, stage->voter(static_cast<std::size_t>(last)), Loss::power, 3 * kSecond);
    });
    stage->orders(kFrom - kSecond, power + 8 * kSecond, 500 * kMilli);
    stage->run_until(power + 8 * kSecond + kSettle);
}

// While a voter that seems lost is being replaced, the network splits at a chosen write of the other voter
// that has a say: the proposer and the new one here, the two others there. Both sides get orders, under one
// number too.
void split_replacement(Stage* stage, std::uint64_t seed) {
    World& world = stage->world;
    constexpr Micros kFrom = 8 * kSecond, kSplit = 6 * kSecond;
    world.at(kFrom - 3 * kSecond, [&world] { world.restart("k4"); });
    world.at(kFrom, [stage, &world, seed] {
        std::vector<std::string> others;
        std::string proposer;
        for (const auto& voter : world.newest().voters) {
            const auto* control = world.control(voter.name);
            if (control != nullptr && control->control().proposer() && proposer.empty())
                proposer = voter.name;
            else
                others.push_back(voter.name);
        }
        if (proposer.empty() || others.size() != 2) {
            world.checks.fail("no_proposer", "at " + milliseconds(world.now()));
            return;
        }
        const std::string lost = others[seed % 2], second = others[1 - seed % 2];
        const auto split = [&world, proposer, lost, second](bool on) {
            for (const auto& here : {proposer, std::string("k4")})
                for (const auto& there : {lost, second}) {
                    world.cut(here, there, on);
                    world.cut(there, here, on);
                }
        };
        world.isolate(lost, true);
        const int nth = static_cast<int>(seed / 2 % 4);
        world.when_writing(second, nth, [stage, &world, split, proposer, lost, second] {
            world.isolate(lost, false);
            split(true);
            for (int i = 0; i < 12; ++i)
                world.at(world.now() + i * 300 * kMilli, [&world, proposer, lost, second, i] {
                    world.push(i % 2 == 0 ? proposer : "k4", 500, "here");
                    world.push(i % 2 == 0 ? second : lost, 500, "there");
                    world.read(proposer);
                    world.read(second);
                });
            world.at(world.now() + kSplit, [split] { split(false); });
        });
        // Where that write never came, the lost one comes back all the same.
        world.at(kFrom + 10 * kSecond, [&world, lost] { world.isolate(lost, false); });
    });
    stage->orders(kFrom + 18 * kSecond, kFrom + 22 * kSecond, 700 * kMilli);
    stage->run_until(kFrom + 22 * kSecond + kSettle);
}

// One voter is away while an order is acknowledged by the two others; then one of these loses its disk and
// comes back empty as the absent one does, and the other dies. The two know nothing of the order, and have no
// say.
void emptied_voter(Stage* stage, std::uint64_t seed) {
    World& world = stage->world;
    constexpr Micros kFrom = 8 * kSecond;
    world.at(kFrom, [stage, &world, seed] {
        const auto place = static_cast<std::size_t>(seed);
        const std::string away = stage->voter(place), emptied = stage->voter(place + 1 + seed / 3 % 2),
                          holder = stage->voter(place + 2 - seed / 3 % 2);
        world.kill(away);
        stage->operators.order(emptied, ++stage->number, "a");
        const Micros empties = kFrom + kSecond + stage->between(0, 300 * kMilli);
        world.at(empties, [stage, &world, emptied, holder, away] {
            stage->wipe(emptied);
            world.kill(holder);
            world.restart(away);
            world.restart(emptied);
        });
        for (Micros t = empties + 100 * kMilli; t < empties + 5 * kSecond; t += 200 * kMilli)
            world.at(t, [&world, away, emptied, t] {
                world.read(emptied);
                world.read(away);
                world.push(emptied, 300 + static_cast<std::uint64_t>(t / kSecond), "by the emptied one");
            });
        world.at(empties + 6 * kSecond, [&world, holder] { world.restart(holder); });
    });
    stage->orders(kFrom + 9 * kSecond, kFrom + 14 * kSecond, 500 * kMilli);
    stage->run_until(kFrom + 14 * kSecond + kSettle);
}

// ---- disks and power

// All end at each step of an order, of every control node in turn, before its write is on disk or just after.
void all_at_each_step(Stage* stage, std::uint64_t seed) {
    World& world = stage->world;
    Micros t = 8 * kSecond;
    for (std::uint64_t i = 0; i < 6; ++i, t += 5 * kSecond) {
        const std::uint64_t x = seed * 6 + i;
        const std::string node = "k" + std::to_string(x % 3 + 1);
        const int nth = static_cast<int>(x / 3 % 3);
        const bool after = (x / 9 & 1) != 0;
        world.at(t, [&world, node, nth, after] { world.power_off_at(node, nth, after, true); });
        stage->order_at(t, stage->any_control());
        stage->order_at(t + 30 * kMilli, stage->any_control());
        world.at(t + kSecond, [stage, &world] {
            for (const char* role : {"proxy", "keeper"})
                for (const auto& name : world.names(role))
                    world.at(world.now() + stage->between(0, 800 * kMilli),
                             [&world, name] { world.restart(name); });
        });
    }
    stage->run_until(t + kSettle);
}

struct DiskTrouble {
    DiskFault fault = DiskFault::none;
    bool stalled = false, slow = false;
};

void trouble_disk(Stage* stage, const std::string& node, const DiskTrouble& trouble, Micros how_long) {
    World& world = stage->world;
    if (trouble.stalled) world.stall_disk(node, how_long);
    if (trouble.slow) world.slow_disk(node, 700 * kMilli);
    if (trouble.fault != DiskFault::none) world.fault_disk(node, trouble.fault);
    world.at(world.now() + how_long, [stage, node] { stage->disk_well_from(node); });
}

// Full, stalled, slow and refusing disks, one after the other, then two at once.
void disk_troubles(Stage* stage, std::uint64_t seed) {
    World& world = stage->world;
    const DiskTrouble kinds[] = {{DiskFault::full, false, false},
                                 {DiskFault::none, true, false},
                                 {DiskFault::none, false, true},
                                 {DiskFault::refusing, false, false}};
    Micros t = 8 * kSecond;
    for (std::uint64_t i = 0; i < 10; ++i, t += 4500 * kMilli) {
        const bool two = i >= 5;
        const Micros how_long = stage->between(300 * kMilli, 2800 * kMilli);
        for (std::uint64_t k = 0; k < (two ? 2 : 1); ++k) {
            const DiskTrouble trouble = kinds[(seed + i + k * (1 + i % 3)) % 4];
            const std::size_t place = static_cast<std::size_t>(seed + i + k);
            world.at(t + static_cast<Micros>(k) * stage->between(0, 400 * kMilli),
                     [stage, place, trouble, how_long] {
                         trouble_disk(stage, stage->voter(place), trouble, how_long);
                     });
        }
    }
    stage->orders(8 * kSecond, t, 700 * kMilli);
    stage->run_until(t + kSettle);
}

// ---- many changes

class ManyChanges {
  public:
    ManyChanges(Stage* stage, std::uint64_t changes) : stage_(stage), changes_(changes) {}
    void run() {
        World& world = stage_->world;
        world.at(8 * kSecond, [this] { change(); });
        for (Micros t = 12 * kSecond; t < 600 * kSecond; t += 6 * kSecond) world.at(t, [this] { trouble(); });
        while (!done_ && world.now() < 600 * kSecond) world.run_until(world.now() + kSecond);
        if (!done_) world.checks.fail("slow_changes", "only " + std::to_string(made_) + " changes in 600 s");
        world.run_until(world.now() + kSettle);
        restart_each();
        bytes("at_the_end");
        const double early = stage_->figures["bytes_on_disk_early"],
                     late = stage_->figures["bytes_on_disk_at_the_end"];
        if (late > early * kGrowth)
            world.checks.fail("disk_grows",
                              std::to_string(early) + " bytes early, " + std::to_string(late) + " late");
    }

  private:
    static constexpr double kGrowth = 1.1;
    static constexpr Micros kCaughtUp = 2 * kSecond;

    // The next change goes out as soon as the last one is acknowledged.
    void change() {
        const auto& all = stage_->operators.deliveries();
        if (!all.empty() && all.back().end == pith::kNever) {
            stage_->world.at(stage_->world.now() + 10 * kMilli, [this] { change(); });
            return;
        }
        if (made_ == changes_) {
            done_ = true;
            return;
        }
        ++made_;
        if (made_ == changes_ / 5) bytes("early");
        stage_->operators.order(stage_->any_control(), ++stage_->number, "a");
        stage_->world.at(stage_->world.now() + 10 * kMilli, [this] { change(); });
    }
    // One at a time: restarted, emptied, frozen, moved.
    void trouble() {
        if (done_) return;
        World& world = stage_->world;
        const std::string node = stage_->voter(static_cast<std::size_t>(troubles_));
        const auto how = troubles_++ % 4;
        if (how == 0) world.kill(node);
        if (how == 1) stage_->wipe(node);
        if (how == 2) world.freeze(node, 3 * kSecond);
        if (how == 3) world.move(node);
        const Micros back = stage_->between(200 * kMilli, 2500 * kMilli);
        if (how != 2) world.at(world.now() + back, [&world, node] { world.restart(node); });
    }
    void bytes(const std::string& when) {
        double most = 0;
        for (const auto& name : stage_->world.names("keeper"))
            if (!stage_->world.disk(name).state.hash.empty())
                most =
                    std::max(most, static_cast<double>(consensus::encode(stage_->world.disk(name)).size()));
        stage_->figures["bytes_on_disk_" + when] = most;
    }
    // After all the changes: how long each takes from its start until it knows the newest number and content.
    void restart_each() {
        World& world = stage_->world;
        double worst = 0;
        for (const auto& name : world.names("keeper")) {
            if (!world.up(name)) continue;
            world.kill(name);
            world.run_until(world.now() + 500 * kMilli);
            world.restart(name);
            const Micros from = world.now();
            while (world.now() - from < kCaughtUp && !caught_up(name))
                world.run_until(world.now() + 10 * kMilli);
            worst = std::max(worst, static_cast<double>(world.now() - from) / 1000);
            if (!caught_up(name))
                world.checks.fail("not_caught_up", name + " does not know " + std::to_string(stage_->number) +
                                                       " 2 s after its restart");
            world.run_until(world.now() + 3 * kSecond);
        }
        stage_->figures["restart_ms"] = worst;
    }
    bool caught_up(const std::string& name) const {
        const auto* control = stage_->world.control(name);
        return control != nullptr &&
               control->control().decided().number >= stage_->world.checks.highest_acked &&
               control->control().text() != nullptr;
    }

    Stage* stage_;
    std::uint64_t changes_, made_ = 0, troubles_ = 0;
    bool done_ = false;
};

void thousand_changes(Stage* stage, std::uint64_t) { ManyChanges(stage, 1000).run(); }

// ---- a grown fleet

// Two of seven voters are lost at once and replaced by new machines; then two more.
void grown(Stage* stage, std::uint64_t) {
    World& world = stage->world;
    Micros t = 10 * kSecond;
    world.at(t - kSecond, [&world] {
        if (world.newest().voters.size() != 7)
            world.checks.fail("not_seven", std::to_string(world.newest().voters.size()) + " vote");
    });
    int fresh = 9;
    for (int pair = 0; pair < 3; ++pair, t += 12 * kSecond) {
        const auto first = static_cast<std::size_t>(stage->random.below(7));
        const auto apart = static_cast<std::size_t>(1 + stage->random.below(6));
        const Micros gap = stage->between(0, 3 * kSecond) * static_cast<Micros>(pair % 2);
        world.at(t, [stage, &world, first, apart, gap] {
            const std::string one = stage->voter(first), two = stage->voter(first + apart);
            stage->wipe(one);
            world.at(world.now() + gap, [stage, two] { stage->wipe(two); });
        });
        for (int i = 0; i < 2; ++i, ++fresh)
            world.at(t + kSecond, [&world, name = "k" + std::to_string(fresh)] { world.restart(name); });
    }
    stage->orders(8 * kSecond, t, 600 * kMilli);
    stage->run_until(t + kSettle);
    if (world.newest().voters.size() != 7)
        world.checks.fail("not_seven", std::to_string(world.newest().voters.size()) + " vote at the end");
}

struct Entry {
    const char* name;
    int control_nodes, spares;
    void (*play)(Stage*, std::uint64_t);
};
const Entry kEntries[] = {{"cut_each_voter", 3, 0, cut_each_voter},
                          {"cut_with_spare", 4, 0, cut_each_voter},
                          {"races", 3, 1, races},
                          {"replacement", 3, 1, replacement},
                          {"two_replacements", 3, 2, two_replacements},
                          {"split_replacement", 3, 1, split_replacement},
                          {"emptied_voter", 3, 0, emptied_voter},
                          {"all_at_each_step", 3, 0, all_at_each_step},
                          {"disk_troubles", 3, 0, disk_troubles},
                          {"thousand_changes", 3, 1, thousand_changes},
                          {"grown", 8, 6, grown}};

}  // namespace

std::vector<std::string> control_scenarios() {
    std::vector<std::string> names;
    for (const auto& entry : kEntries) names.emplace_back(entry.name);
    return names;
}

ControlResult run_control(const std::string& scenario, std::uint64_t seed, const Breaks& breaks) {
    ControlResult result;
    result.scenario = scenario;
    result.seed = seed;
    const auto entry = std::find_if(std::begin(kEntries), std::end(kEntries),
                                    [&scenario](const Entry& e) { return scenario == e.name; });
    if (entry == std::end(kEntries)) {
        result.faults["unknown_scenario"].push_back(scenario);
        return result;
    }
    Stage stage(control_fleet(entry->control_nodes, entry->spares), seed, breaks);
    entry->play(&stage, seed);
    stage.judge_end();
    result.faults = stage.world.checks.faults();
    result.figures = stage.figures;
    double slowest = 0, acknowledged = 0;
    for (const auto& delivery : stage.operators.deliveries()) {
        if (delivery.end == pith::kNever) continue;
        slowest = std::max(slowest, static_cast<double>(delivery.end - delivery.start) / 1000);
        acknowledged += delivery.outcome == CallOutcome::acknowledged ? 1 : 0;
    }
    result.figures["slowest_order_ms"] = slowest;
    result.figures["acknowledged"] = acknowledged;
    result.figures["frames"] = static_cast<double>(stage.world.frames);
    result.figures["revision"] = static_cast<double>(stage.world.newest().revision);
    return result;
}

std::string ControlResult::line() const {
    std::string text = scenario + " seed=" + std::to_string(seed);
    for (const auto& figure : figures)
        text += " " + figure.first + "=" + std::to_string(static_cast<long long>(figure.second));
    for (const auto& fault : faults) {
        text += "\n    BROKEN " + fault.first;
        for (const auto& what : fault.second) text += "\n      " + what;
    }
    return text;
}

}  // namespace loom
