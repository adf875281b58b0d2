#pragma once
// The fleet in virtual time from a seed (docs/design.md 10): the daemons' own state machines, with simulated
// links, disks, clocks, servers, callers and operators. One seed, one result.
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "consensus/control_node.hpp"
#include "loom/checks.hpp"
#include "loom/link_widths.hpp"
#include "pith/hash.hpp"
#include "span/core.hpp"
#include "span/errand.hpp"
#include "span/farewell.hpp"

namespace loom {

using pith::Micros;

struct CustomerPlan {
    std::string name;
    double burst = 0;
    double allowance = 0, rate = 0;  // rate: visits a second, over the fleet
    double writes = 0.25;
    bool one_proxy = false;  // all its callers sit on one proxy
    bool at_core = false;    // all its callers sit on the first proxies, as many as there are control nodes
    bool retries = false;    // retry at once, up to three times, where the answer says not run
    double flood_rate = 0;   // from flood_at to flood_end
    Micros flood_at = 0, flood_end = 0;
};

struct Deployment {
    int proxies = 15, keepers = 3, servers = 35;
    std::vector<std::string> services{"notices", "status", "lodging"};
    std::vector<CustomerPlan> customers;
    Micros work = 30 * pith::kMilli;  // a server's time for a visit
    Micros disk = 5 * pith::kMilli;   // a synced write
    Micros link = 2 * pith::kMilli, jitter = 6 * pith::kMilli;
    double small_service = 0;     // traffic of the last service, where it is not an equal part
    std::set<std::string> older;  // nodes of a version whose Counts had neither `silent` nor `well`
    bool shared_hosts = false;        // the first proxies stand on the control nodes' machines
    Micros question_takes = 0;  // the platform reads its listing as a question comes, and answers so much later
    bool servers_say_leaving = true;  // in probes and answers; else only the platform's listing shows it
    double over = 0;              // the operators' tolerance: tide::Tuning
    // Links of machines without a control node, and of those with one, bytes a second; 0: no limit.
    double narrow_link = 0, wide_link = 0;
    std::size_t request_bytes = 700, answer_bytes = 2300;  // of a visit, with heads; where links have widths
    bool discovered = false;  // no keepers are listed (docs/control.md); seeds are the first three proxies
    int spares = 0;           // keepers beyond those, started later, with first_start off
    Micros reads_every = 400 * pith::kMilli;  // operators' reads, at any control node; 0: none
    int deadline_ms = 2500, read_ms = 1000, write_ms = 2000;
};
Deployment firm();
Deployment foundation();
Deployment wide(int proxies);  // bursts and a tolerance, links across zones
Deployment narrow(int proxies);  // the same over short links of 2 Mbit/s, with 2.7 servers and 15 visits a second for each

struct Breaks {  // rules broken on purpose, to prove the checkers
    bool send_writes_twice = false, lying_disk = false, ignore_partners = false, slip_back = false,
         ignore_leaving = false, lie_not_run = false, unlimited_retries = false, stale_policy = false,
         trust_address = false, say_well = false, swap_answers = false, stay_silent = false,
         deaf_feed = false, hasty_stop = false, forget_founding = false,
         disk_failed_for_life = false,  // after one failed write a process never writes again
        deaf_control = false,           // control nodes hear no state and no content from one another
        never_replace = false,          // no voter is ever replaced
        hasty_leave = false;            // a control node that is stopped hands nothing over
    consensus::ControlMutations control;
};

// What a disk does besides taking writes in its usual time.
enum class DiskFault : std::uint8_t {
    none,
    full,      // each write fails at once
    refusing,  // each write fails after its time
};

enum class CallKind : std::uint8_t { order, read };

enum class CallOutcome : std::uint8_t {
    unclear,  // no answer, or one that leaves it open: an order may take effect at any time after its start
    acknowledged,  // of an order: it stands, or a higher number does; of a read: what stands
    taken,         // of an order: its number stands, or stood, with another content
    rejected,      // of an order: never looked at (broken, unsigned)
};

// An operator's order or read, as the operator saw it.
struct OperatorCall {
    CallKind kind = CallKind::order;
    std::string node;
    std::uint64_t number = 0;  // as ordered; none of a read
    std::string hash;
    Micros start = 0, end = pith::kNever;
    CallOutcome outcome = CallOutcome::unclear;
    // As an acknowledgement says: an order's own number where that was decided, else the one that stands; 0:
    // none does.
    std::uint64_t stands_number = 0;
    std::string stands_hash;
    std::string answer;  // "ok NUMBER", or the kind of error; empty: none came
    bool lost = false;   // the answer was given, and did not arrive
};

// What an operator's bundle changes against the deployment's plan.
struct Edit {
    std::set<std::string> revoked, removed;   // customers without keys; customers left out
    std::map<std::string, double> allowance;  // by customer
};

class World {
  public:
    World(Deployment d, std::uint64_t seed, tide::Tuning t, span::CoreTuning ct, Breaks b);
    ~World();
    void run_until(Micros t);
    Micros now() const { return now_; }
    void at(Micros t, std::function<void()> f);

    // Faults
    void kill(const std::string& node);
    void restart(const std::string& node);
    // As SIGTERM does; started again `back` after its end, if that is given.
    void stop(const std::string& node, Micros back = -1);
    // Power goes as the keeper's next but `nth` write of a bundle ends: before it is on disk, or just after.
    // `all`: of the whole fleet.
    void power_off_at(const std::string& keeper, int nth, bool after, bool all);
    // The same at a keeper's next but `nth` write of a proposal or an electorate. `how`: alone, all (the
    // whole fleet), wipe (its disk is lost), cut (it runs on, cut off until it is isolated no more).
    void fault_founding_at(const std::string& keeper, int nth, bool after, const std::string& how);
    void fault_at(const std::string& keeper, int nth, bool after, const std::string& how);
    // The same with an act of the caller's choice; the node goes on.
    void when_writing(const std::string& keeper, int nth, std::function<void()> act);
    void freeze(const std::string& node, Micros how_long);
    void cut(const std::string& a, const std::string& b, bool on);  // one way
    void isolate(const std::string& node, bool on);                 // both ways, all
    // The folder is emptied: another disk, as far as anybody can tell.
    void empty_disk(const std::string& keeper);
    void slow_disk(const std::string& keeper, Micros extra) { disk_slow_[keeper] = extra; }
    void fault_disk(const std::string& keeper, DiskFault fault) { disk_fault_[keeper] = fault; }
    void break_disk(const std::string& keeper, bool on) {
        fault_disk(keeper, on ? DiskFault::refusing : DiskFault::none);
    }
    void stall_disk(const std::string& keeper, Micros how_long);  // writes end only after it
    // The node ends, and its next start is at another address, with the same disk.
    void move(const std::string& node);
    // Operators' answers of that node are lost on their way.
    void lose_answers(const std::string& node, bool on) {
        on ? (void)answers_lost_.insert(node) : (void)answers_lost_.erase(node);
    }
    void jump_clock(const std::string& node, Micros by) { wall_off_[node] += by; }
    void lag(double loss, double twice, Micros extra) { loss_ = loss, twice_ = twice, extra_ = extra; }
    void server_mode(std::size_t i, const std::string& mode, Micros work);
    void server_crash(std::size_t i);
    void server_replace(std::size_t i, const std::string& service);  // new instance on that address
    void server_leave(std::size_t i);                                // says so, the listing follows
    void platform(Micros lag, bool fails) {
        list_lag_ = lag, list_fails_ = fails;
        platform_changed_ = now_;
    }
    void listing(const std::string& how) {  // "", "empty", "twice": an address named twice
        list_how_ = how;
        platform_changed_ = now_;
    }

    // Operators
    // Both return the number of the call, from 1 on.
    std::uint64_t push(const std::string& keeper, std::uint64_t number, const std::string& note,
                       const Edit& e = {});
    std::uint64_t read(const std::string& keeper);
    const LinkWidths& links() const { return links_; }
    const OperatorCall& call(std::uint64_t op) const { return calls_[op - 1]; }
    const std::vector<OperatorCall>& calls() const { return calls_; }
    // What operators were told of their pushes, by the order of pushes: "ok NUMBER", or the kind.
    std::map<std::uint64_t, std::string> answers() const;
    // A fault where no order of single moments explains what operators saw.
    void judge_history();
    std::size_t traps() const { return trap_.size(); }  // faults that have not come yet
    const consensus::DurableState& disk(const std::string& keeper) { return disk_[keeper]; }
    // The newest state that any control node ever knew as decided.
    const weft::ControlState& newest() const { return newest_; }
    // Null where the node is not up.
    const consensus::ControlNode* control(const std::string& keeper) const;
    // Up, awake and not about to stop, its disk well.
    bool runs_well(const std::string& node) const;
    bool linked(const std::string& a, const std::string& b) const;  // both ways
    bool takes_callers(const std::string& proxy) const;             // as the proxy itself says
    // Up, awake, its link not choked and linked to all, and so for a while.
    bool in_touch(const std::string& node) const;

    std::vector<std::string> names(const std::string& role) const;
    std::string poller() const;  // who asks the platform, by its own reckoning
    bool up(const std::string& n) const;
    Checks checks;
    std::uint64_t frames = 0, count_frames = 0, count_bytes = 0, probes = 0, sessions = 0, listings = 0;

  private:
    struct Ev {
        Micros t;
        std::uint64_t n;
        std::function<void()> f;
        bool operator<(const Ev& o) const { return t != o.t ? t > o.t : n > o.n; }
    };
    struct Trap {
        int nth = 0;
        bool after = false;
        std::string how = "alone";
        bool founding = false;
        std::function<void()> act{};
    };
    struct Visit;
    struct ByBirth;
    struct Node;
    struct Server;
    using VisitPtr = std::shared_ptr<Visit>;

    void boot(const std::string& name);
    void later(Micros d, std::function<void()> f) { at(now_ + d, std::move(f)); }
    Micros trip() {
        return d_.link + static_cast<Micros>(rng_.below(static_cast<std::uint64_t>(d_.jitter) + 1));
    }
    void on_node(const std::string& name, std::uint64_t life, std::function<void(Node&)> f);
    void send(Node& n, const weft::Out& out);
    std::string machine(const std::string& node) const;  // the one that it shares its link with
    void set_link_widths();
    // How long a visit's bytes take over the link of a node's machine, waiting included.
    Micros bytes_out(const std::string& node, std::size_t bytes);
    Micros bytes_in(const std::string& node, std::size_t bytes);
    void read_listing(const std::string& name, std::uint64_t life, std::uint64_t question);
    void hear_listing(Node& node, std::uint64_t question, const std::vector<weft::ServerRec>& shown);
    void carry(Node& n, span::Todo& d);
    void carry(Node& n, consensus::Actions& actions);
    void tick(const std::string& name, std::uint64_t life);
    void tick_if(const std::string& name, std::uint64_t life, Micros due);
    void pulse(Node& n);
    void left(Node& n, const tide::Left& l);
    void go(Node& n, const VisitPtr& v);  // its first pass came
    void arrivals(std::size_t customer, std::uint64_t gen);
    void visit(VisitPtr v);
    void drive(Node& n, VisitPtr v, span::Do d);
    void open_session(Node& n, VisitPtr v);
    void exchange(Node& n, VisitPtr v);
    void reply(Node& n, VisitPtr v, bool well, const span::Refusal& r);
    void server_take(std::size_t i, std::uint64_t life, VisitPtr v, std::function<void(int)> answer);
    void server_next(std::size_t i);
    void look_ready();
    std::vector<weft::ServerRec> listed() const;
    std::string bundle_text(const Word& w, const std::string& note) const;
    bool reachable(const std::string& proxy, std::uint64_t number, Micros since);
    void farewell(Node& n);
    void ended(std::string name);  // by a planned stop
    void await(const VisitPtr& v, std::uint64_t life);
    void crash(std::string keeper, const std::string& how);
    void boot_control(Node& n, const knell::Config& config);
    void boot_proxy(Node& n, const knell::Config& config);
    void hand_over(Node& n, Micros until);
    void save(Node& n, const consensus::SaveJob& job);
    void save_ended(const std::string& name, std::uint64_t life, const consensus::SaveJob& job);
    bool trap_springs(const std::string& name, const consensus::DurableState& next, Trap* trap);
    void write(const std::string& name, const consensus::DurableState& next);
    void note_decided(Node& n);
    void take_answer(const std::string& node, const consensus::Answer& answer);
    bool says_leaving(const Server& s) const;
    void judge_leaving(const std::string& node, const Server& s);
    void judge_acknowledged(std::uint64_t number, const std::string& hash);
    std::size_t copies(const std::vector<weft::Voter>& voters, std::uint64_t number,
                       const std::string& hash) const;
    void look_rolled_out(std::uint64_t number, Micros since);
    std::uint64_t new_call(CallKind kind, const std::string& node);
    std::string bundle_of(std::uint64_t number, const std::string& note, const Edit& e, std::string* hash);
    void read_now_and_then();

    Deployment d_;
    pith::Rng rng_;
    tide::Tuning tune_;
    span::CoreTuning core_tune_;
    Breaks breaks_;
    Micros now_ = 0;
    std::uint64_t ev_n_ = 0, lives_ = 0, try_n_ = 0;
    std::priority_queue<Ev> q_;
    std::map<std::string, std::unique_ptr<Node>> n_;
    std::map<std::string, std::string> role_, zone_;
    std::map<std::string, std::string> address_, node_at_;      // where they differ from names
    std::map<std::string, consensus::DurableState> disk_;       // by node
    std::map<std::string, consensus::DurableState> lost_disk_;  // emptied, by identity: as it was last
    std::map<std::string, std::map<std::string, std::pair<std::uint64_t, std::string>>> epochs_;  // by node
    std::map<std::string, std::uint64_t> disk_inc_;
    std::map<std::string, Micros> disk_slow_, stalled_until_, wall_off_;
    std::map<std::string, DiskFault> disk_fault_;
    std::set<std::string> ready_, answers_lost_;
    std::uint64_t disks_ = 0;
    weft::ControlState newest_;
    std::set<std::pair<std::string, std::string>> cut_;
    LinkWidths links_;
    std::vector<std::unique_ptr<Server>> s_;
    double loss_ = 0, twice_ = 0;
    Micros extra_ = 0, list_lag_ = 0;
    Micros platform_changed_ = -pith::kNever;   // what it says, or whether it answers
    std::map<std::string, Micros> troubled_;    // when a node was last started, frozen, cut off or linked again
    bool list_fails_ = false;
    std::string list_how_;
    std::map<std::string, Trap> trap_;
    std::map<std::string, Micros> back_;  // after a planned stop
    std::set<std::string> changed_;       // customers with an edit of their own: not judged as proper
    std::deque<std::pair<Micros, std::vector<weft::ServerRec>>> listings_;
    std::vector<OperatorCall> calls_;
    pith::Rng operator_rng_;
    std::set<std::string> spare_;
    std::string pk_, sk_;
};

}  // namespace loom
