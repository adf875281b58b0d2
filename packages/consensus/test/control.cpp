#define BOOST_TEST_MODULE consensus_control
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/control_node.hpp"
#include "consensus/control_register.hpp"
#include "consensus/founding.hpp"
#include "consensus/membership.hpp"
#include "creed/bundle.hpp"
#include "pith/hash.hpp"

using namespace consensus;
using pith::kMilli;
using pith::kSecond;
using pith::Micros;

namespace {

using Names = std::set<std::string>;

// The first key pair of RFC 8032, section 7.1: signatures are the same in each run.
const std::string kPublicKey = "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a";
const std::string kSecretKey =
    "9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60" + kPublicKey;

std::string bundle(std::uint64_t number, const std::string& note) {
    const std::string text =
        R"({"number":)" + std::to_string(number) + R"(,"note":")" + note +
        R"(","services":[{"name":"s"}],"routes":[{"name":"r","path":"/r","methods":["GET"],"service":"s","kind":"read","timeout_ms":500}],"customers":[{"name":"c","allowance_per_s":5,"routes":["r"]}],"keys":[]})";
    return creed::sign(text, kSecretKey).value();
}

std::string hash_of(const std::string& text) {
    return creed::read_signed(text, {kPublicKey}).value().bundle.hash;
}

std::string as_text(const pith::Result<std::uint64_t>& result) {
    return result ? "ok " + std::to_string(*result) : pith::kind_text(result.error().kind);
}

struct Transfer {
    std::string from, to;  // node names; addresses are the same
    weft::Msg message;
};

template <class T>
const T* as(const Transfer& transfer) {
    return std::get_if<T>(&transfer.message);
}

DurableState empty_disk(const std::string& identity) {
    DurableState disk;
    disk.disk = identity;
    return disk;
}

DurableState founded_disk(const std::string& name, const Names& voters) {
    DurableState disk = empty_disk(name + "-1");
    disk.founded = true;
    disk.founding.founder = "k1";
    disk.founding.id = 1;
    for (const auto& voter : voters) disk.founding.voters.push_back({voter, voter + "-1", voter});
    return disk;
}

// Control nodes with instant disks and links, both of which can be broken; each is a ControlRegister.
class Cluster {
  public:
    struct Options {
        bool refuse_old = true;
        Names spares{};
    };

    explicit Cluster(Options options) : options_(std::move(options)) {
        for (const auto& name : voters_) add(name, founded_disk(name, voters_));
        for (const auto& name : options_.spares) add(name, empty_disk(name + "-1"));
        run(2 * kSecond);
    }

    // -- breaking and mending
    void cut_off(const std::string& name) { unreachable_since_.emplace(name, now_); }
    void reconnect(const std::string& name) { unreachable_since_.erase(name); }
    void reconnect_all() { unreachable_since_.clear(); }
    void lose(std::function<bool(const Transfer&)> lost) { lost_ = std::move(lost); }
    void lose_nothing() { lost_ = nullptr; }
    void refuse_writes(const std::string& name, bool refuses) { nodes_.at(name).refuses_writes = refuses; }
    void crash(const std::string& name) {
        nodes_.at(name).control.reset();
        cut_off(name);
    }
    void start(const std::string& name) {
        reconnect(name);
        leaving_.erase(name);
        boot(name);
    }
    void leave(const std::string& name) {
        leaving_.insert(name);
        control(name).leaving();
    }
    // Its folder is emptied as it is down: the disk gets another identity.
    void wipe(const std::string& name) {
        Node& node = nodes_.at(name);
        node.disk = empty_disk(name + "-" + std::to_string(++node.disks));
    }

    // -- operators
    void push(const std::string& name, std::uint64_t op, const std::string& text) {
        Actions actions;
        control(name).order(now_, op, text, &actions);
        take(name, std::move(actions));
        deliver();
    }
    void ask(const std::string& name, std::uint64_t op) {
        Actions actions;
        control(name).read(now_, op, &actions);
        take(name, std::move(actions));
        deliver();
    }
    bool answered(std::uint64_t op) const { return answers_.count(op) != 0; }
    // "ok NUMBER", the kind of the error, or nothing.
    std::string answer(std::uint64_t op) const { return answered(op) ? answers_.at(op).text : ""; }
    Micros answered_at(std::uint64_t op) const { return answers_.at(op).at; }

    void hear(const std::string& name, const std::string& from, weft::Msg message) {
        Actions actions;
        control(name).hear(now_, weft::Envelope{from, 1, 0, std::move(message)}, &actions);
        take(name, std::move(actions));
        deliver();
    }
    void run(Micros duration) {
        for (const Micros end = now_ + duration; now_ < end;) {
            now_ += kTick;
            for (auto& entry : nodes_) {
                if (!entry.second.control) continue;
                tell_peers(entry.first);
                Actions actions;
                tell_founding(entry.first, &actions);
                entry.second.control->tick(now_, &actions);
                take(entry.first, std::move(actions));
                deliver();
            }
        }
    }
    template <class Condition>
    bool run_until(Micros most, Condition holds) {
        for (const Micros end = now_ + most; now_ < end && !holds();) run(kTick);
        return holds();
    }

    // -- what there is
    Micros now() const { return now_; }
    ControlRegister& control(const std::string& name) { return *nodes_.at(name).control; }
    const DurableState& disk(const std::string& name) const { return nodes_.at(name).disk; }
    const Names& voters() const { return voters_; }
    std::string proposer() {
        for (auto& entry : nodes_)
            if (entry.second.control && entry.second.control->proposer()) return entry.first;
        return {};
    }
    // The voters, the proposer first.
    std::vector<std::string> by_rank() {
        std::vector<std::string> names{proposer()};
        for (const auto& name : voters_)
            if (name != names[0]) names.push_back(name);
        return names;
    }
    // Messages since clear_sent() that were not lost.
    const std::vector<Transfer>& sent() const { return sent_; }
    void clear_sent() { sent_.clear(); }
    std::size_t ballots() const {
        std::set<std::uint64_t> serials;
        for (const auto& transfer : sent_)
            if (const auto* ask = as<weft::PrepareAsk>(transfer); ask != nullptr && ask->ballot.round != 0)
                serials.insert(ask->serial);
        return serials.size();
    }

    static constexpr Micros kTick = 20 * kMilli;
    static constexpr Micros kLearnsFounding = 400 * kMilli;
    static constexpr Micros kDetection = 1500 * kMilli;  // a node that is silent for so long is called down

  private:
    struct Node {
        std::unique_ptr<ControlRegister> control;  // null: the process does not run
        DurableState disk;
        std::uint64_t life = 0, disks = 1;
        Micros started = 0;
        bool refuses_writes = false;
    };
    struct Answered {
        std::string text;
        Micros at = 0;
    };

    void add(const std::string& name, DurableState disk) {
        nodes_[name].disk = std::move(disk);
        boot(name);
    }
    void boot(const std::string& name) {
        Node& node = nodes_.at(name);
        ControlConfig config;
        config.name = config.address = name;
        config.signers = {kPublicKey};
        config.life = ++lives_;
        config.refuse_old = options_.refuse_old;
        node.life = lives_;
        node.started = now_;
        node.control = std::make_unique<ControlRegister>(config, node.disk);
        tell_peers(name);
        Actions actions;
        if (node.disk.founded) node.control->found(node.disk.founding.voters, &actions);
        take(name, std::move(actions));
        deliver();
    }
    void tell_peers(const std::string& name) {
        std::map<std::string, Peer> peers;
        for (const auto& entry : nodes_) {
            if (entry.first == name) continue;
            Peer peer;
            peer.address = entry.first;
            peer.live = true;
            peer.leaving = leaving_.count(entry.first) != 0;
            for (const auto& end : {entry.first, name}) {
                const auto since = unreachable_since_.find(end);
                if (since != unreachable_since_.end() && now_ - since->second >= kDetection)
                    peer.live = false;
            }
            peers[entry.first] = peer;
        }
        nodes_.at(name).control->peers(std::move(peers));
    }
    // Founding asks the others, and brings a node without a membership the first one, however long ago that
    // was.
    void tell_founding(const std::string& name, Actions* actions) {
        Node& node = nodes_.at(name);
        if (node.control->known() || now_ - node.started < kLearnsFounding) return;
        if (unreachable_since_.count(name) != 0) return;
        const DurableState founded = founded_disk(name, voters_);
        node.control->acceptor().edit().founded = true;
        node.control->acceptor().edit().founding = founded.founding;
        node.control->found(founded.founding.voters, actions);
    }
    void take(const std::string& name, Actions actions) {
        for (const auto& answer : actions.answers) {
            BOOST_TEST(answers_.count(answer.op) == 0u);  // no question is answered twice
            answers_[answer.op] = {as_text(answer.result), now_};
        }
        const std::uint64_t life = nodes_.at(name).life;
        for (const auto& save : actions.saves)
            work_.push_back([this, name, life, save] { write(name, life, save); });
        for (auto& send : actions.out) {
            Transfer transfer{name, send.address, std::move(send.msg)};
            if (lost_ && lost_(transfer)) continue;
            if (unreachable_since_.count(transfer.to) != 0 || unreachable_since_.count(name) != 0) continue;
            sent_.push_back(transfer);
            work_.push_back([this, transfer] { receive(transfer); });
        }
    }
    void write(const std::string& name, std::uint64_t life, const SaveJob& save) {
        Node& node = nodes_.at(name);
        if (!node.control || node.life != life) return;
        if (!node.refuses_writes) node.disk = save.state;
        Actions actions;
        node.control->saved(now_, save.token, !node.refuses_writes, &actions);
        take(name, std::move(actions));
    }
    void receive(const Transfer& transfer) {
        Node& node = nodes_.at(transfer.to);
        if (!node.control) return;
        Actions actions;
        node.control->hear(now_, weft::Envelope{transfer.from, 1, 0, transfer.message}, &actions);
        take(transfer.to, std::move(actions));
    }
    void deliver() {
        while (!work_.empty()) {
            const auto next = std::move(work_.front());
            work_.pop_front();
            next();
        }
    }

    Options options_;
    const Names voters_{"k1", "k2", "k3"};
    std::map<std::string, Node> nodes_;
    std::map<std::string, Micros> unreachable_since_;
    Names leaving_;
    std::function<bool(const Transfer&)> lost_;
    std::deque<std::function<void()>> work_;
    std::vector<Transfer> sent_;
    std::map<std::uint64_t, Answered> answers_;
    std::uint64_t lives_ = 0;
    Micros now_ = 0;
};

// Three voters that refuse numbers below the decided one, or acknowledge them.
struct Three : Cluster {
    explicit Three(bool acknowledge_old = false) : Cluster({!acknowledge_old, {}}) {}
};

bool is_acceptance(const Transfer& transfer) {
    const auto* said = as<weft::AcceptSaid>(transfer);
    return said != nullptr && said->ok != 0;
}

std::size_t packed_size(const Transfer& transfer) {
    if (const auto* accept = as<weft::AcceptAsk>(transfer)) return accept->packed.size();
    if (const auto* content = as<weft::ContentSaid>(transfer)) return content->packed.size();
    return 0;
}

// Messages that carried a configuration's text to a node, or to all.
std::size_t texts_to(const Cluster& cluster, const std::string& name) {
    const auto& sent = cluster.sent();
    return static_cast<std::size_t>(std::count_if(
        sent.begin(), sent.end(),
        [&name](const Transfer& transfer) { return transfer.to == name && packed_size(transfer) != 0; }));
}

template <class T>
std::size_t count_of(const Cluster& cluster) {
    const auto& sent = cluster.sent();
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [](const Transfer& t) { return as<T>(t) != nullptr; }));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(orders)

BOOST_AUTO_TEST_CASE(an_order_is_acknowledged_and_every_voter_holds_it) {
    Three three;
    three.push("k1", 1, bundle(1, "a"));
    BOOST_TEST(three.answer(1) == "ok 1");
    for (const auto& name : three.voters()) {
        BOOST_TEST(three.disk(name).state.number == 1u);
        BOOST_TEST(three.disk(name).text == bundle(1, "a"));
        BOOST_TEST(three.control(name).decided().number == 1u);
    }
    three.push("k2", 2, bundle(1, "a"));
    BOOST_TEST(three.answer(2) == "ok 1");
    three.push("k2", 3, bundle(1, "b"));
    BOOST_TEST(three.answer(3) == "bundle_old");
    three.push("k3", 4, bundle(7, "c"));
    BOOST_TEST(three.answer(4) == "ok 7");
    three.push("k3", 5, bundle(6, "c"));
    BOOST_TEST(three.answer(5) == "bundle_old");
}

BOOST_AUTO_TEST_CASE(a_lost_voter_does_not_stop_or_lose_a_bundle) {
    for (const std::string at : {"k1", "k2"}) {
        Three three;
        three.cut_off("k3");
        three.push(at, 1, bundle(1, "a"));
        three.run(kSecond);
        BOOST_TEST(three.answer(1) == "ok 1");
        three.crash(at);  // just after it said yes, and its disk is lost
        three.wipe(at);
        three.reconnect("k3");
        three.run(6 * kSecond);
        BOOST_TEST(three.disk("k3").state.number == 1u);
        BOOST_TEST(three.disk("k3").text == bundle(1, "a"));
    }
}

BOOST_AUTO_TEST_CASE(without_a_majority_nothing_is_acknowledged) {
    for (const std::string at : {"k1", "k2", "k3"}) {
        Three three;
        for (const auto& other : three.voters())
            if (other != at) three.cut_off(other);
        three.push(at, 1, bundle(1, "a"));
        three.run(4 * kSecond);
        BOOST_TEST(three.answer(1) == "outcome_unknown");
        three.reconnect_all();
        three.push(at, 2, bundle(1, "a"));
        three.run(kSecond);
        BOOST_TEST(three.answer(2) == "ok 1");
    }
}

// Neither 200 nor 4xx is said without a majority's word after the question, whatever is known here.
BOOST_AUTO_TEST_CASE(a_cut_off_node_answers_no_question) {
    for (const bool acknowledge_old : {false, true})
        for (const std::string at : {"k1", "k2", "k3"}) {
            Three three(acknowledge_old);
            three.push(at, 1, bundle(4, "a"));
            three.push(at, 2, bundle(5, "a"));
            BOOST_TEST(three.answer(2) == "ok 5");
            three.run(kSecond);
            three.cut_off(at);
            const Micros asked = three.now();
            three.push(at, 10, bundle(6, "a"));  // a new one
            three.push(at, 11, bundle(5, "a"));  // the standing one again
            three.push(at, 12, bundle(4, "a"));  // one decided before
            three.push(at, 13, bundle(5, "b"));  // other contents under decided numbers
            three.push(at, 14, bundle(4, "b"));
            three.push(at, 15, bundle(3, "a"));  // below
            three.ask(at, 16);
            for (std::uint64_t op = 10; op <= 16; ++op) BOOST_TEST(!three.answered(op));
            three.run(5 * kSecond);
            for (std::uint64_t op = 10; op <= 15; ++op) {
                BOOST_TEST(three.answer(op) == "outcome_unknown");
                BOOST_TEST(three.answered_at(op) - asked <= 3 * kSecond + Cluster::kTick);
            }
            BOOST_TEST(three.answer(16) == "no_majority");
            BOOST_TEST(three.answered_at(16) - asked <= 700 * kMilli + Cluster::kTick);
            // Long after the cut, when all the others are called down, as well.
            three.ask(at, 17);
            three.push(at, 18, bundle(5, "a"));
            three.run(5 * kSecond);
            BOOST_TEST(three.answer(17) == "no_majority");
            BOOST_TEST(three.answer(18) == "outcome_unknown");
            BOOST_TEST(three.control(at).pending() == 0u);
            three.reconnect_all();
            three.run(kSecond);
            three.ask(at, 19);
            three.run(kSecond);
            BOOST_TEST((three.answer(19) == "ok 5" || three.answer(19) == "ok 6"));
        }
}

// A voter's disk was emptied after it had accepted: what it said before counts no more, what it says now
// counts only once a majority has taken the new disk in. Content that was accepted is completed.
BOOST_AUTO_TEST_CASE(an_emptied_voter_is_another_voter) {
    Three three;
    const auto rank = three.by_rank();
    three.lose([&rank](const Transfer& t) { return t.from == rank[1] && is_acceptance(t); });
    three.cut_off(rank[2]);
    three.push(rank[0], 1, bundle(1, "a"));
    BOOST_TEST(three.disk(rank[1]).state.number == 1u);
    BOOST_TEST(!three.answered(1));
    three.crash(rank[1]);
    three.wipe(rank[1]);
    three.lose_nothing();
    three.cut_off(rank[0]);
    three.start(rank[1]);
    three.reconnect(rank[2]);
    three.push(rank[2], 2, bundle(1, "b"));
    three.run(4 * kSecond);
    BOOST_TEST(three.answer(2) == "outcome_unknown");
    BOOST_TEST(!three.control(rank[1]).voter());
    three.reconnect_all();
    three.run(2 * kSecond);
    BOOST_TEST(three.control(rank[1]).voter());
    BOOST_TEST(three.control(rank[0]).decided().epoch == 3u);  // a joint set, then the new one
    BOOST_TEST(three.control(rank[0]).decided().joining.empty());
    three.push(rank[2], 3, bundle(1, "b"));
    three.run(4 * kSecond);
    BOOST_TEST(three.answer(3) == "bundle_old");
    for (const auto& name : rank) BOOST_TEST(three.disk(name).text == bundle(1, "a"));
}

BOOST_AUTO_TEST_CASE(a_failed_sync_is_not_a_yes) {
    Three three;
    three.refuse_writes("k1", true);
    three.refuse_writes("k2", true);
    three.push("k3", 1, bundle(1, "a"));
    three.run(4 * kSecond);
    BOOST_TEST(three.answer(1) == "outcome_unknown");
    for (const std::string name : {"k1", "k2"}) {
        BOOST_TEST(!three.control(name).acceptor().writable());
        BOOST_TEST(three.disk(name).state.number == 0u);
    }
    // A disk that takes writes again has its say again, by itself.
    three.refuse_writes("k1", false);
    three.refuse_writes("k2", false);
    three.run(kSecond);
    for (const auto& name : three.voters()) BOOST_TEST(three.control(name).acceptor().writable());
    three.push("k3", 2, bundle(1, "a"));
    three.run(kSecond);
    BOOST_TEST(three.answer(2) == "ok 1");
    three.run(2 * kSecond);
    for (const auto& name : three.voters()) BOOST_TEST(three.disk(name).text == bundle(1, "a"));
}

// One failing disk of three costs no order; its node is back within a second.
BOOST_AUTO_TEST_CASE(one_failed_disk_is_left_out) {
    for (const std::string failing : {"k1", "k2", "k3"}) {
        Three three;
        three.refuse_writes(failing, true);
        three.push("k1", 1, bundle(1, "a"));
        three.run(kSecond);
        BOOST_TEST(three.answer(1) == "ok 1");
        BOOST_TEST(three.disk(failing).state.number == 0u);
        three.refuse_writes(failing, false);
        three.run(kSecond);
        BOOST_TEST(three.control(failing).acceptor().writable());
        three.run(kSecond);
        BOOST_TEST(three.disk(failing).text == bundle(1, "a"));
    }
}

BOOST_AUTO_TEST_CASE(old_numbers_are_acknowledged_where_settings_say_so) {
    Three three(true);
    three.push("k1", 1, bundle(7, "a"));
    BOOST_TEST(three.answer(1) == "ok 7");
    three.push("k2", 2, bundle(6, "b"));
    BOOST_TEST(three.answer(2) == "ok 7");
    // One number has one content, also there.
    three.push("k3", 3, bundle(7, "another"));
    BOOST_TEST(three.answer(3) == "bundle_old");
    for (const auto& name : three.voters()) BOOST_TEST(three.disk(name).text == bundle(7, "a"));
    // Not before a majority is known to hold what stands.
    three.cut_off("k2");
    three.cut_off("k3");
    three.push("k1", 4, bundle(5, "c"));
    BOOST_TEST(!three.answered(4));
    three.run(4 * kSecond);
    BOOST_TEST(three.answer(4) == "outcome_unknown");
}

// A node was cut off as 9 was decided; what it is handed then is overtaken.
BOOST_AUTO_TEST_CASE(an_order_overtaken_under_way_is_acknowledged) {
    for (const bool acknowledge_old : {true, false})
        for (const std::string at : {"k1", "k2", "k3"}) {
            Three three(acknowledge_old);
            three.cut_off(at);
            three.push(at == "k1" ? "k2" : "k1", 1, bundle(9, "high"));
            three.run(kSecond);
            BOOST_TEST(three.answer(1) == "ok 9");
            three.reconnect(at);
            three.push(at, 2, bundle(8, "low"));
            three.run(2 * kSecond);
            BOOST_TEST(three.answer(2) == (acknowledge_old ? "ok 9" : "bundle_old"));
            BOOST_TEST(three.disk(at).state.number == 9u);
            for (const auto& name : three.voters()) BOOST_TEST(three.disk(name).text == bundle(9, "high"));
        }
}

// Content "a" was accepted by a majority and its proposer does not know; then "b" is ordered under the
// number.
BOOST_AUTO_TEST_CASE(the_loser_of_a_race_is_refused) {
    enum class Then { all_are_back, proposer_is_lost, majority_is_lost };
    for (const bool acknowledge_old : {true, false})
        for (const Then then : {Then::all_are_back, Then::proposer_is_lost, Then::majority_is_lost}) {
            Three three(acknowledge_old);
            const auto rank = three.by_rank();
            three.lose([&rank](const Transfer& t) { return t.from != rank[0] && is_acceptance(t); });
            three.cut_off(rank[2]);
            three.push(rank[0], 1, bundle(5, "a"));
            BOOST_TEST(three.disk(rank[1]).state.number == 5u);
            BOOST_TEST(!three.answered(1));
            three.reconnect_all();
            three.lose_nothing();
            if (then != Then::all_are_back) three.cut_off(rank[0]);
            if (then == Then::majority_is_lost) three.cut_off(rank[1]);
            three.push(rank[2], 2, bundle(5, "b"));
            three.run(4 * kSecond);
            BOOST_TEST(three.answer(2) ==
                       (then == Then::majority_is_lost ? "outcome_unknown" : "bundle_taken"));
            BOOST_TEST(three.answer(1) == (then == Then::all_are_back ? "ok 5" : "outcome_unknown"));
            three.reconnect_all();
            three.run(3 * kSecond);
            for (const auto& name : rank) BOOST_TEST(three.disk(name).text == bundle(5, "a"));
        }
}

// Three contents of a number at three nodes that do not hear each other: one wins, once they do.
BOOST_AUTO_TEST_CASE(of_three_contents_exactly_one_wins) {
    for (const bool acknowledge_old : {true, false})
        for (const Micros apart : {Micros{0}, 300 * kMilli, kSecond, 2 * kSecond}) {
            Three three(acknowledge_old);
            for (const auto& name : three.voters()) three.cut_off(name);
            three.push("k1", 1, bundle(5, "a"));
            three.push("k2", 2, bundle(5, "b"));
            three.push("k3", 3, bundle(5, "c"));
            three.run(apart);
            three.reconnect_all();
            three.run(4 * kSecond);
            std::multiset<std::string> answers;
            for (std::uint64_t op = 1; op <= 3; ++op) answers.insert(three.answer(op));
            BOOST_TEST((answers == std::multiset<std::string>{"bundle_taken", "bundle_taken", "ok 5"}));
            const std::vector<std::string> notes{"a", "b", "c"};
            for (std::uint64_t op = 1; op <= 3; ++op)
                for (const auto& name : three.voters())
                    BOOST_TEST((three.disk(name).text == bundle(5, notes[op - 1])) ==
                               (three.answer(op) == "ok 5"));
        }
}

BOOST_AUTO_TEST_CASE(a_text_is_told_once) {
    for (const std::size_t at : {std::size_t{0}, std::size_t{1}}) {
        Three three;
        const auto rank = three.by_rank();
        three.clear_sent();
        three.push(rank[at], 1, bundle(1, "a"));
        three.run(10 * kSecond);
        BOOST_TEST(three.answer(1) == "ok 1");
        BOOST_TEST(texts_to(three, rank[0]) == 0u);  // it has it from the operator, or with the order
        BOOST_TEST(texts_to(three, rank[1]) <= 1u);
        BOOST_TEST(texts_to(three, rank[2]) == 1u);
        BOOST_TEST(count_of<weft::OrderAsk>(three) == at);
        BOOST_TEST(count_of<weft::StateSaid>(three) == 0u);
        three.cut_off(rank[2]);
        three.push(rank[0], 2, bundle(2, "b"));
        three.run(kSecond);
        three.clear_sent();
        three.reconnect(rank[2]);
        three.run(10 * kSecond);
        BOOST_TEST(three.disk(rank[2]).text == bundle(2, "b"));
        BOOST_TEST(texts_to(three, rank[2]) == 1u);
        BOOST_TEST(texts_to(three, rank[0]) + texts_to(three, rank[1]) == 0u);
    }
}

BOOST_AUTO_TEST_CASE(a_broken_order_is_answered_at_once) {
    const std::string unsound = R"({"number":1,"services":[]})";
    const std::string unsigned_text = R"({"bundle":)" + unsound + "}";
    std::string changed = bundle(1, "a");
    changed.replace(changed.find("500"), 3, "600");
    const std::map<std::string, std::string> broken{
        {"", "bundle_broken"},
        {"not JSON", "bundle_broken"},
        {R"({"bundle":1,"more":2})", "bundle_broken"},
        {std::string(creed::kMaxBundle + 1, ' '), "bundle_broken"},
        {unsigned_text, "bundle_unsigned"},
        {changed, "bundle_unsigned"},
    };
    Three three;
    for (const auto& name : three.voters()) three.cut_off(name);  // no majority is needed for that
    three.clear_sent();
    std::uint64_t op = 0;
    for (const auto& one : broken) {
        three.push("k1", ++op, one.first);
        BOOST_TEST(three.answer(op) == one.second);
    }
    // Signed by one who is not trusted here.
    std::string stranger = bundle(1, "a");
    stranger.replace(stranger.find(kPublicKey), 8, "00000000");
    three.push("k1", ++op, stranger);
    BOOST_TEST(three.answer(op) == "bundle_unsigned");
    BOOST_TEST(three.control("k1").pending() == 0u);
}

BOOST_AUTO_TEST_CASE(no_voters_known_is_no_majority) {
    ControlConfig config;
    config.name = config.address = "k1";
    config.signers = {kPublicKey};
    ControlRegister control(config, empty_disk("k1-1"));
    Actions actions;
    control.order(0, 1, bundle(1, "a"), &actions);
    control.read(0, 2, &actions);
    BOOST_REQUIRE(actions.answers.size() == 2u);
    BOOST_TEST(as_text(actions.answers[0].result) == "no_majority");
    BOOST_TEST(as_text(actions.answers[1].result) == "no_majority");
    BOOST_TEST(actions.out.empty());
    BOOST_TEST(control.pending() == 0u);
}

BOOST_AUTO_TEST_CASE(an_order_outlives_the_proposer_that_it_was_passed_on_to) {
    enum class Dies { before_the_order, after_the_order, after_the_accepts };
    for (const Dies dies : {Dies::before_the_order, Dies::after_the_order, Dies::after_the_accepts}) {
        Three three;
        const auto rank = three.by_rank();
        if (dies == Dies::before_the_order) three.crash(rank[0]);
        three.lose([&](const Transfer& t) {
            if (t.from != rank[0]) return false;
            return dies == Dies::after_the_order || as<weft::Decided>(t) || as<weft::OrderSaid>(t);
        });
        const Micros ordered = three.now();
        three.push(rank[1], 1, bundle(1, "a"));
        BOOST_TEST(!three.answered(1));
        if (dies != Dies::before_the_order) three.crash(rank[0]);
        BOOST_TEST(three.run_until(kSecond - Cluster::kTick, [&] { return three.answered(1); }));
        BOOST_TEST(three.answer(1) == "ok 1");
        BOOST_TEST(three.answered_at(1) - ordered < kSecond);
        BOOST_TEST(three.disk(rank[2]).text == bundle(1, "a"));
    }
}

BOOST_AUTO_TEST_CASE(an_outcome_for_another_life_is_ignored) {
    Three three;
    const auto rank = three.by_rank();
    std::optional<weft::OrderAsk> passed_on;
    three.lose([&](const Transfer& t) {
        if (const auto* ask = as<weft::OrderAsk>(t)) passed_on = *ask;
        return true;
    });
    three.push(rank[1], 1, bundle(1, "a"));
    BOOST_REQUIRE(passed_on.has_value());
    weft::OrderSaid said;
    said.life = passed_on->life + 1;
    said.order = passed_on->order;
    said.outcome = static_cast<std::uint8_t>(OrderOutcome::acknowledged);
    said.number = 1;
    said.hash = hash_of(bundle(1, "a"));
    three.hear(rank[1], rank[0], said);
    BOOST_TEST(!three.answered(1));
    said.life = passed_on->life;
    said.order = passed_on->order + 1;
    three.hear(rank[1], rank[0], said);
    BOOST_TEST(!three.answered(1));
    said.order = passed_on->order;
    three.hear(rank[1], rank[0], said);
    BOOST_TEST(three.answer(1) == "ok 1");
    three.hear(rank[1], rank[0], said);  // twice: the harness checks that it is answered once
}

BOOST_AUTO_TEST_CASE(an_order_that_was_decided_and_overtaken_is_acknowledged_again) {
    for (const std::string at : {"k1", "k2", "k3"}) {
        Three three;
        three.push("k1", 1, bundle(3, "a"));
        three.push("k2", 2, bundle(8, "b"));
        BOOST_TEST(three.answer(2) == "ok 8");
        three.push(at, 3, bundle(3, "a"));
        BOOST_TEST(three.answer(3) == "ok 3");
        three.push(at, 4, bundle(3, "b"));
        BOOST_TEST(three.answer(4) == "bundle_old");
        three.push(at, 5, bundle(4, "a"));
        BOOST_TEST(three.answer(5) == "bundle_old");
        for (const auto& name : three.voters()) BOOST_TEST(three.disk(name).text == bundle(8, "b"));
    }
}

// Of numbers longer ago nothing is known but that they are old: they change nothing, whatever their content.
BOOST_AUTO_TEST_CASE(the_last_32_numbers_are_remembered) {
    for (const bool acknowledge_old : {true, false}) {
        Three three(acknowledge_old);
        for (std::uint64_t number = 1; number <= 40; ++number) three.push("k1", number, bundle(number, "a"));
        BOOST_TEST(three.answer(40) == "ok 40");
        for (const auto& name : three.voters()) {
            const auto& recent = three.control(name).decided().recent;
            BOOST_REQUIRE(recent.size() == 32u);
            BOOST_TEST(recent.front().number == 9u);
            BOOST_TEST(recent.back().number == 40u);
            BOOST_TEST(three.disk(name).state.recent.size() == 32u);
        }
        three.push("k2", 50, bundle(9, "b"));
        BOOST_TEST(three.answer(50) == "bundle_old");
        three.push("k2", 51, bundle(9, "a"));
        BOOST_TEST(three.answer(51) == "ok 9");
        three.push("k3", 52, bundle(8, "b"));
        BOOST_TEST(three.answer(52) == (acknowledge_old ? "ok 40" : "bundle_old"));
        // A node that came back with a disk of long ago builds nothing on it.
        three.crash("k2");
        three.wipe("k2");
        three.start("k2");
        three.push("k2", 53, bundle(8, "b"));
        three.run(2 * kSecond);
        three.push("k2", 54, bundle(8, "b"));
        three.run(kSecond);
        BOOST_TEST(three.answer(53) == "no_majority");  // it knows no voters yet
        BOOST_TEST(three.answer(54) == (acknowledge_old ? "ok 40" : "bundle_old"));
        for (const auto& name : three.voters()) BOOST_TEST(three.disk(name).text == bundle(40, "a"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(repair)

BOOST_AUTO_TEST_CASE(a_voter_that_missed_a_change_is_repaired_without_a_ballot) {
    for (const std::size_t missing : {std::size_t{1}, std::size_t{2}}) {
        Three three;
        const auto rank = three.by_rank();
        three.push(rank[0], 1, bundle(1, "a"));
        three.lose([&](const Transfer& t) { return t.to == rank[missing] || t.from == rank[missing]; });
        three.push(rank[0], 2, bundle(2, "b"));
        BOOST_TEST(three.answer(2) == "ok 2");
        BOOST_TEST(three.disk(rank[missing]).state.number == 1u);
        three.clear_sent();
        three.lose_nothing();
        three.run(2 * kSecond);
        BOOST_TEST(three.disk(rank[missing]).text == bundle(2, "b"));
        BOOST_TEST((three.disk(rank[missing]).accepted == three.disk(rank[0]).accepted));
        BOOST_TEST(three.ballots() == 0u);
    }
}

// Its promise of a higher ballot, from an attempt of its own, forbids it to accept what was decided.
BOOST_AUTO_TEST_CASE(a_voter_that_promised_a_higher_ballot_is_repaired_by_a_new_attempt) {
    Three three;
    const auto rank = three.by_rank();
    three.push(rank[0], 1, bundle(1, "a"));
    three.cut_off(rank[2]);
    three.push(rank[2], 2, bundle(3, "c"));
    three.run(5 * kSecond);
    BOOST_TEST(three.answer(2) == "outcome_unknown");
    three.push(rank[0], 3, bundle(2, "b"));
    three.run(kSecond);
    BOOST_TEST(three.answer(3) == "ok 2");
    const auto before = three.disk(rank[0]).accepted;
    BOOST_TEST((before < three.disk(rank[2]).promised));
    three.reconnect_all();
    three.run(3 * kSecond);
    BOOST_TEST((before < three.disk(rank[0]).accepted));
    for (const auto& name : rank) {
        BOOST_TEST((three.disk(name).accepted == three.disk(rank[0]).accepted));
        BOOST_TEST(three.disk(name).text == bundle(2, "b"));
    }
    three.clear_sent();
    three.run(3 * kSecond);
    BOOST_TEST(three.ballots() == 0u);  // and it rests
}

// A spare takes the place of a lost voter, so that a second loss is survived as well.
BOOST_AUTO_TEST_CASE(a_second_loss_after_a_replacement_loses_nothing) {
    for (const std::string first : {"k1", "k2", "k3"}) {
        Cluster cluster({true, {"k4"}});
        cluster.push("k1", 1, bundle(1, "a"));
        cluster.crash(first);
        cluster.run(6 * kSecond);
        const std::string second = first == "k2" ? "k3" : "k2";
        BOOST_TEST(cluster.control("k4").voter());
        BOOST_TEST(cluster.control(second).decided().joining.empty());
        cluster.crash(second);
        cluster.push("k4", 2, bundle(2, "b"));
        cluster.run(2 * kSecond);
        BOOST_TEST(cluster.answer(2) == "ok 2");
        // The one that was replaced comes back with its old disk: it learns, and votes again in its turn.
        cluster.start(first);
        cluster.run(6 * kSecond);
        cluster.ask(first, 3);
        cluster.run(kSecond);
        BOOST_TEST(cluster.answer(3) == "ok 2");
        BOOST_TEST(cluster.control(first).voter());
    }
}

// Where another stands ready the place of a voter that leaves is taken at once; else it stays a voter.
BOOST_AUTO_TEST_CASE(a_voter_that_leaves_hands_over) {
    for (const std::string leaver : {"k1", "k2", "k3"}) {
        Cluster cluster({true, {"k4"}});
        cluster.push("k1", 1, bundle(1, "a"));
        cluster.run(2 * kSecond);
        BOOST_TEST(!cluster.control(leaver).handed_over());
        cluster.leave(leaver);
        BOOST_TEST(!cluster.control(leaver).proposer());
        BOOST_TEST(cluster.run_until(kSecond, [&] { return cluster.control(leaver).handed_over(); }));
        BOOST_TEST(cluster.control("k4").voter());
        cluster.crash(leaver);
        cluster.push("k4", 2, bundle(2, "b"));
        cluster.run(kSecond);
        BOOST_TEST(cluster.answer(2) == "ok 2");
        BOOST_TEST(cluster.disk("k4").text == bundle(2, "b"));
        Three three;
        three.leave(leaver);
        three.run(5 * kSecond);
        BOOST_TEST(!three.control(leaver).handed_over());
        three.push(leaver, 1, bundle(1, "a"));
        three.run(kSecond);
        BOOST_TEST(three.answer(1) == "ok 1");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(acceptor)

namespace {

const weft::Ballot kFirst{1, "k2", 9}, kSecondBallot{2, "k1", 9};

weft::ControlState state_of(std::uint64_t number, const std::string& hash) {
    weft::ControlState state;
    state.revision = number;
    state.number = number;
    state.hash = hash;
    state.epoch = 1;
    return state;
}

weft::AcceptAsk accept_ask(std::uint64_t serial, const weft::Ballot& ballot,
                           const weft::ControlState& state) {
    weft::AcceptAsk ask;
    ask.serial = serial;
    ask.ballot = ballot;
    ask.state = state;
    return ask;
}

// An acceptor whose disk the test moves.
struct OneDisk {
    Acceptor acceptor{empty_disk("d")};
    ContentStore contents;
    std::vector<Reply> replies;
    SaveJob job;

    void prepare(std::uint64_t serial, const weft::Ballot& ballot) {
        acceptor.prepare("k2", weft::PrepareAsk{serial, ballot}, &replies);
    }
    void accept(const weft::AcceptAsk& ask) { acceptor.accept("k2", ask, &contents, &replies); }
    bool next_save(Micros now = 0) { return acceptor.next_save(now, &job); }
    void end_save(bool ok, Micros now = 0) { acceptor.saved(now, job.token, ok, &replies); }
    void save() {
        BOOST_REQUIRE(next_save());
        end_save(true);
    }
    template <class T>
    T only_reply() {
        BOOST_REQUIRE(replies.size() == 1u);
        BOOST_TEST(replies[0].to == "k2");
        const T said = std::get<T>(replies[0].message);
        replies.clear();
        return said;
    }
    weft::PrepareSaid promise_said() { return only_reply<weft::PrepareSaid>(); }
    weft::AcceptSaid accept_said() { return only_reply<weft::AcceptSaid>(); }
    weft::PrepareSaid report() {
        prepare(99, weft::Ballot{});
        return promise_said();
    }
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_promise_waits_for_its_save) {
    OneDisk one;
    one.prepare(7, kFirst);
    BOOST_TEST(one.replies.empty());
    BOOST_REQUIRE(one.next_save());
    BOOST_TEST((one.job.state.promised == kFirst));
    BOOST_TEST(one.replies.empty());
    BOOST_TEST(!one.next_save());  // one write at a time
    one.acceptor.saved(0, one.job.token + 1, true, &one.replies);
    BOOST_TEST(one.replies.empty());  // the end of another one
    one.end_save(true);
    const auto said = one.promise_said();
    BOOST_TEST(said.serial == 7u);
    BOOST_TEST(said.ok == 1);
    BOOST_TEST(said.writable == 1);
    BOOST_TEST(said.disk == "d");
    BOOST_TEST((said.promised == kFirst));
    BOOST_TEST(!one.next_save());
    one.end_save(true);  // told twice
    BOOST_TEST(one.replies.empty());
}

BOOST_AUTO_TEST_CASE(only_what_is_synced_is_reported) {
    OneDisk one;
    one.contents.put("h", "text");
    one.accept(accept_ask(3, kFirst, state_of(5, "h")));
    const auto nothing_yet = [&one] {
        const auto said = one.report();
        BOOST_TEST(said.ok == 1);
        BOOST_TEST(said.accepted.round == 0u);
        BOOST_TEST(said.state.number == 0u);
        BOOST_TEST(one.acceptor.durable().state.number == 0u);
    };
    nothing_yet();
    BOOST_REQUIRE(one.next_save());
    BOOST_TEST(one.job.state.text == "text");
    nothing_yet();
    one.end_save(true);
    const auto accepted = one.accept_said();
    BOOST_TEST(accepted.ok == 1);
    BOOST_TEST(accepted.serial == 3u);
    BOOST_TEST(accepted.disk == "d");
    const auto said = one.report();
    BOOST_TEST((said.accepted == kFirst));
    BOOST_TEST(said.state.number == 5u);
    BOOST_TEST(one.acceptor.durable().text == "text");
}

// What comes while a write is under way waits for the next one.
BOOST_AUTO_TEST_CASE(what_comes_during_a_write_waits_for_the_next) {
    OneDisk one;
    one.prepare(1, kFirst);
    BOOST_REQUIRE(one.next_save());
    one.prepare(2, kSecondBallot);
    one.end_save(true);
    const auto first = one.promise_said();
    BOOST_TEST(first.serial == 1u);
    BOOST_REQUIRE(one.next_save());
    BOOST_TEST((one.job.state.promised == kSecondBallot));
    one.end_save(true);
    BOOST_TEST(one.promise_said().serial == 2u);
}

BOOST_AUTO_TEST_CASE(lower_ballots_are_refused) {
    const weft::Ballot promised{5, "k2", 7};
    for (const bool synced : {false, true}) {  // a promise binds from the moment it is asked for
        OneDisk one;
        one.prepare(1, promised);
        if (synced) {
            one.save();
            one.promise_said();
        }
        for (const weft::Ballot& lower : {weft::Ballot{4, "k3", 9}, {5, "k1", 9}, {5, "k2", 6}}) {
            BOOST_TEST((lower < promised));
            one.prepare(2, lower);
            const auto said = one.promise_said();
            BOOST_TEST(said.ok == 0);
            BOOST_TEST(said.serial == 2u);
            BOOST_TEST((said.promised == promised));
            one.accept(accept_ask(3, lower, state_of(1, "")));
            const auto accepted = one.accept_said();
            BOOST_TEST(accepted.ok == 0);
            BOOST_TEST(accepted.needs_content == 0);
            BOOST_TEST((accepted.promised == promised));
            BOOST_TEST(one.acceptor.wanted().state.number == 0u);
        }
        for (const weft::Ballot& higher : {weft::Ballot{5, "k2", 8}, {5, "k3", 1}, {6, "k1", 1}}) {
            BOOST_TEST((promised < higher));
            one.prepare(4, higher);
            BOOST_TEST(one.replies.empty());
        }
    }
    OneDisk one;  // the promised ballot itself may accept
    one.prepare(1, promised);
    one.save();
    one.promise_said();
    one.accept(accept_ask(2, promised, state_of(1, "")));
    one.save();
    BOOST_TEST(one.accept_said().ok == 1);
}

BOOST_AUTO_TEST_CASE(a_failed_write_is_no_yes_and_is_tried_again) {
    OneDisk one;
    one.prepare(1, kFirst);
    BOOST_REQUIRE(one.next_save());
    one.accept(accept_ask(2, kSecondBallot, state_of(1, "")));
    one.end_save(false, kSecond);
    BOOST_REQUIRE(one.replies.size() == 2u);  // that of the write, and that which waited for the next
    BOOST_TEST(std::get<weft::PrepareSaid>(one.replies[0].message).ok == 0);
    BOOST_TEST(std::get<weft::PrepareSaid>(one.replies[0].message).writable == 0);
    BOOST_TEST(std::get<weft::AcceptSaid>(one.replies[1].message).ok == 0);
    one.replies.clear();
    BOOST_TEST(!one.acceptor.writable());
    BOOST_TEST(one.acceptor.durable().promised.round == 0u);
    BOOST_TEST(one.report().writable == 0);
    one.prepare(3, weft::Ballot{9, "k1", 1});
    BOOST_TEST(one.promise_said().ok == 0);
    one.accept(accept_ask(4, weft::Ballot{9, "k1", 1}, state_of(1, "")));
    BOOST_TEST(one.accept_said().ok == 0);
    BOOST_TEST(!one.next_save(kSecond));
    BOOST_TEST(!one.next_save(kSecond + Acceptor::kRetry - 1));
    BOOST_REQUIRE(one.next_save(kSecond + Acceptor::kRetry));
    BOOST_TEST((one.job.state.promised == kSecondBallot));  // the whole document as it is now
    BOOST_TEST(one.job.state.state.number == 1u);
    one.end_save(false, 2 * kSecond);
    BOOST_TEST(!one.next_save(2 * kSecond + Acceptor::kRetry - 1));
    BOOST_REQUIRE(one.next_save(2 * kSecond + Acceptor::kRetry));
    one.end_save(true, 3 * kSecond);
    BOOST_TEST(one.replies.empty());  // nobody waits for it
    BOOST_TEST(one.acceptor.writable());
    BOOST_TEST(one.acceptor.durable().state.number == 1u);
    BOOST_TEST(!one.next_save(3 * kSecond));
}

BOOST_AUTO_TEST_CASE(a_repeated_question_is_answered_without_another_write) {
    OneDisk one;
    one.prepare(1, kFirst);
    one.save();
    one.promise_said();
    one.prepare(2, kFirst);
    const auto promised = one.promise_said();
    BOOST_TEST(promised.ok == 1);
    BOOST_TEST(promised.serial == 2u);
    BOOST_TEST(!one.next_save());
    one.accept(accept_ask(3, kFirst, state_of(1, "")));
    one.save();
    one.accept_said();
    one.accept(accept_ask(4, kFirst, state_of(1, "")));
    const auto accepted = one.accept_said();
    BOOST_TEST(accepted.ok == 1);
    BOOST_TEST(accepted.serial == 4u);
    BOOST_TEST(!one.next_save());
    one.prepare(5, kSecondBallot);  // a ballot promised since: the earlier acceptance is not said again
    one.save();
    one.promise_said();
    one.accept(accept_ask(6, kFirst, state_of(1, "")));
    BOOST_TEST(one.accept_said().ok == 0);
}

BOOST_AUTO_TEST_CASE(a_question_repeated_during_the_write_waits_as_well) {
    OneDisk one;
    one.accept(accept_ask(1, kFirst, state_of(1, "")));
    BOOST_REQUIRE(one.next_save());
    one.accept(accept_ask(2, kFirst, state_of(1, "")));
    BOOST_TEST(one.replies.empty());
    one.end_save(true);
    if (one.next_save()) one.end_save(true);
    BOOST_REQUIRE(one.replies.size() == 2u);
    for (const auto& reply : one.replies) BOOST_TEST(std::get<weft::AcceptSaid>(reply.message).ok == 1);
}

BOOST_AUTO_TEST_CASE(a_text_that_is_not_held_is_asked_for) {
    OneDisk one;
    one.prepare(1, kFirst);
    one.save();
    one.promise_said();
    auto ask = accept_ask(2, kSecondBallot, state_of(1, "h1"));
    const auto is_asked_for = [&one](const weft::AcceptAsk& without) {
        one.accept(without);
        const auto said = one.accept_said();
        BOOST_TEST(said.ok == 0);
        BOOST_TEST(said.needs_content == 1);
        BOOST_TEST(said.serial == without.serial);
        BOOST_TEST(!one.next_save());
        BOOST_TEST(one.acceptor.wanted().accepted.round == 0u);
        BOOST_TEST((one.acceptor.promised() == kFirst));
    };
    is_asked_for(ask);
    ask.base = "not held";
    ask.packed = pack_content("text 1", "a base");
    is_asked_for(ask);
    ask.base = "";
    ask.packed = "harmed, and longer than its digest";
    is_asked_for(ask);
    ask.packed = pack_content("text 1", "");
    one.accept(ask);
    BOOST_TEST(one.replies.empty());
    BOOST_REQUIRE(one.next_save());
    BOOST_TEST(one.job.state.text == "text 1");
    one.end_save(true);
    BOOST_TEST(one.accept_said().ok == 1);
    // As a difference to what is held, and nothing where the content stays.
    ask = accept_ask(3, weft::Ballot{3, "k1", 9}, state_of(2, "h2"));
    ask.base = "h1";
    ask.packed = pack_content("text 2", "text 1");
    one.accept(ask);
    one.save();
    BOOST_TEST(one.accept_said().ok == 1);
    BOOST_TEST(one.acceptor.durable().text == "text 2");
    one.contents = ContentStore();
    one.accept(accept_ask(4, weft::Ballot{4, "k1", 9}, state_of(3, "h2")));
    one.save();
    BOOST_TEST(one.accept_said().ok == 1);
    BOOST_TEST(one.acceptor.durable().text == "text 2");
}

BOOST_AUTO_TEST_CASE(a_new_membership_is_written_down_at_once) {
    OneDisk one;
    auto state = state_of(1, "");
    one.acceptor.note_decided(state);
    one.save();
    BOOST_TEST(one.acceptor.durable().decided.epoch == 1u);
    state.revision = 2;
    one.acceptor.note_decided(state);
    BOOST_TEST(!one.next_save());  // with the next write is enough
    BOOST_TEST(one.report().revision == 2u);
    state.epoch = 2;
    one.acceptor.note_decided(state);
    BOOST_REQUIRE(one.next_save());
    BOOST_TEST(one.job.state.decided.epoch == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(membership)

namespace {

// "a" or "a2": a node of one letter, and the number of its disk (1 where it isn't said).
weft::Voter voter(const std::string& text) {
    const std::string name = text.substr(0, 1);
    return {name, text.size() > 1 ? text : name + "1", name};
}

std::vector<weft::Voter> voters(const std::vector<std::string>& texts) {
    std::vector<weft::Voter> all;
    for (const auto& text : texts) all.push_back(voter(text));
    return all;
}

// A node that is well and knows the newest.
Candidate well(const std::string& text, const std::string& zone = "") {
    const weft::Voter as_voter = voter(text);
    Candidate node;
    node.name = as_voter.name;
    node.disk = as_voter.disk;
    node.address = as_voter.address;
    node.zone = zone;
    node.live = node.writable = node.synced = true;
    return node;
}

Candidate absent(const std::string& text, Micros since, const std::string& zone = "") {
    Candidate node = well(text, zone);
    node.live = false;
    node.absent = since;
    return node;
}

Candidate with(Candidate node, bool Candidate::*flag, bool value) {
    node.*flag = value;
    return node;
}

Candidate leaving(const std::string& text) { return with(well(text), &Candidate::leaving, true); }
Candidate behind(const std::string& text) { return with(well(text), &Candidate::synced, false); }
Candidate failing(const std::string& text) { return with(well(text), &Candidate::writable, false); }

std::string text_of(const std::vector<weft::Voter>& set) {
    std::string text;
    for (const auto& member : set) text += (text.empty() ? "" : " ") + member.disk;
    return text;
}

struct Case {
    std::string what;
    std::vector<std::string> present;
    std::uint32_t target;
    std::vector<Candidate> nodes;
    std::string expected;  // disks
};

const MembershipTuning kTuning;

const std::vector<Case>& cases() {
    constexpr Micros kHour = 3600 * kSecond;
    const Micros replace = kTuning.replace_after, shrink = kTuning.shrink_after;
    static const std::vector<Case> all{
        {"all are well", {"a", "b", "c"}, 3, {well("a"), well("b"), well("c")}, "a1 b1 c1"},
        {"and a spare is", {"a", "b", "c"}, 3, {well("a"), well("b"), well("c"), well("d")}, "a1 b1 c1"},
        {"nothing is known", {"a", "b", "c"}, 3, {}, "a1 b1 c1"},
        // 1. emptied disks
        {"an emptied disk", {"a", "b", "c"}, 3, {well("a"), well("b2"), well("c")}, "a1 b2 c1"},
        {"two emptied: one at a time", {"a", "b", "c"}, 3, {well("a"), well("b2"), well("c2")}, "a1 b2 c1"},
        {"emptied, it knows too little yet",
         {"a", "b", "c"},
         3,
         {well("a"), behind("b2"), well("c")},
         "a1 b1 c1"},
        {"emptied, and it takes no writes",
         {"a", "b", "c"},
         3,
         {well("a"), failing("b2"), well("c")},
         "a1 b1 c1"},
        {"emptied, and it leaves", {"a", "b", "c"}, 3, {well("a"), leaving("b2"), well("c")}, "a1 b1 c1"},
        {"emptied, and it is away", {"a", "b", "c"}, 3, {well("a"), absent("b2", 1), well("c")}, "a1 b1 c1"},
        {"its disk is not known",
         {"a", "b"},
         2,
         {well("a"), with(Candidate{"b", "", "b", ""}, &Candidate::live, true)},
         "a1 b1"},
        {"an emptied one first",
         {"a", "b", "c"},
         3,
         {well("a2"), absent("b", kHour), well("c"), well("d")},
         "a2 b1 c1"},
        // 2. leaving and absent ones
        {"one leaves", {"a", "b", "c"}, 3, {well("a"), leaving("b"), well("c"), well("d")}, "a1 c1 d1"},
        {"one leaves, none is ready", {"a", "b", "c"}, 3, {well("a"), leaving("b"), well("c")}, "a1 b1 c1"},
        {"one leaves, the spare is behind",
         {"a", "b", "c"},
         3,
         {well("a"), leaving("b"), well("c"), behind("d")},
         "a1 b1 c1"},
        {"one leaves, the spare does too",
         {"a", "b", "c"},
         3,
         {well("a"), leaving("b"), well("c"), leaving("d")},
         "a1 b1 c1"},
        {"one leaves, the spare's disk fails",
         {"a", "b", "c"},
         3,
         {well("a"), leaving("b"), well("c"), failing("d")},
         "a1 b1 c1"},
        {"two leave: one at a time",
         {"a", "b", "c"},
         3,
         {leaving("a"), leaving("b"), well("c"), well("d"), well("e")},
         "b1 c1 d1"},
        {"absent for long enough",
         {"a", "b", "c"},
         3,
         {well("a"), absent("b", replace), well("c"), well("d")},
         "a1 c1 d1"},
        {"absent for less",
         {"a", "b", "c"},
         3,
         {well("a"), absent("b", replace - 1), well("c"), well("d")},
         "a1 b1 c1"},
        {"absent, none is ready", {"a", "b", "c"}, 3, {well("a"), absent("b", kHour), well("c")}, "a1 b1 c1"},
        {"the longest absent first",
         {"a", "b", "c"},
         3,
         {absent("a", replace), absent("b", 2 * replace), well("c"), well("d"), well("e")},
         "a1 c1 d1"},
        {"a leaving one before an absent one",
         {"a", "b", "c"},
         3,
         {absent("a", kHour), leaving("b"), well("c"), well("d")},
         "a1 c1 d1"},
        // 3. growth
        {"fewer than there should be", {"a", "c"}, 3, {well("a"), well("c"), well("b")}, "a1 b1 c1"},
        {"one at a time", {"a"}, 5, {well("a"), well("b"), well("c"), well("d")}, "a1 b1"},
        {"the one to join is behind", {"a", "b"}, 3, {well("a"), well("b"), behind("c")}, "a1 b1"},
        {"a replacement before growth",
         {"a", "b", "c"},
         5,
         {well("a"), absent("b", replace), well("c"), well("d")},
         "a1 c1 d1"},
        {"seven at the most",
         {"a", "b", "c", "d", "e", "f", "g"},
         9,
         {well("a"), well("b"), well("c"), well("d"), well("e"), well("f"), well("g"), well("h")},
         "a1 b1 c1 d1 e1 f1 g1"},
        // 4. shrinking
        {"even, none is ready",
         {"a", "b", "c", "d"},
         4,
         {well("a"), absent("b", shrink), well("c"), well("d")},
         "a1 c1 d1"},
        {"not so early",
         {"a", "b", "c", "d"},
         4,
         {well("a"), absent("b", shrink - 1), well("c"), well("d")},
         "a1 b1 c1 d1"},
        {"odd",
         {"a", "b", "c", "d", "e"},
         5,
         {well("a"), absent("b", kHour), well("c"), well("d"), well("e")},
         "a1 b1 c1 d1 e1"},
        {"six",
         {"a", "b", "c", "d", "e", "f"},
         6,
         {well("a"), absent("b", shrink), absent("c", kHour), well("d"), well("e"), well("f")},
         "a1 b1 d1 e1 f1"},
        {"not below the least", {"a", "b"}, 2, {well("a"), absent("b", kHour)}, "a1 b1"},
        {"one that only leaves comes back",
         {"a", "b", "c", "d"},
         4,
         {well("a"), leaving("b"), well("c"), well("d")},
         "a1 b1 c1 d1"},
        {"replaced rather than let go",
         {"a", "b", "c", "d"},
         4,
         {well("a"), absent("b", kHour), well("c"), well("d"), well("e")},
         "a1 c1 d1 e1"},
        // zones
        {"the zone with the fewest joins",
         {"a", "b", "c"},
         4,
         {well("a", "x"), well("b", "x"), well("c", "y"), well("d", "x"), well("e", "y"), well("f", "z")},
         "a1 b1 c1 f1"},
        {"of equal zones the first by name",
         {"a", "b"},
         3,
         {well("a", "x"), well("b", "x"), well("d", "z"), well("c", "y")},
         "a1 b1 d1"},
        {"the zone of the one that goes has one voter less",
         {"a", "b", "c"},
         3,
         {well("a", "x"), well("b", "y"), absent("c", replace, "z"), well("d", "x"), well("e", "z")},
         "a1 b1 e1"},
    };
    return all;
}

weft::ControlState state_with(const std::vector<weft::Voter>& present, std::uint32_t target) {
    weft::ControlState state;
    state.epoch = 1;
    state.target = target;
    state.voters = present;
    return state;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_next_voters) {
    for (const auto& one : cases()) BOOST_TEST_CONTEXT(one.what)
    BOOST_TEST(text_of(next_voters(state_with(voters(one.present), one.target), one.nodes, kTuning)) ==
               one.expected);
}

BOOST_AUTO_TEST_CASE(never_more_than_one_change) {
    pith::Rng random(20);
    std::size_t changes = 0;
    for (int round = 0; round < 20000; ++round) {
        std::vector<std::string> present;
        std::vector<Candidate> nodes;
        for (char letter = 'a'; letter <= 'i'; ++letter) {
            const std::string name(1, letter);
            if (present.size() < kMaxVoters && random.below(2) == 0) present.push_back(name);
            Candidate node = well(name + std::to_string(1 + random.below(6) / 5),
                                  std::string(1, 'x' + static_cast<char>(random.below(3))));
            node.live = random.below(4) != 0;
            node.leaving = random.below(4) == 0;
            node.writable = random.below(4) != 0;
            node.synced = random.below(4) != 0;
            if (!node.live || !node.writable)
                node.absent = static_cast<Micros>(1 + random.below(20)) * kSecond;
            if (random.below(8) != 0) nodes.push_back(node);
        }
        if (present.empty()) continue;
        const auto before = voters(present);
        const auto after =
            next_voters(state_with(before, static_cast<std::uint32_t>(1 + random.below(9))), nodes, kTuning);
        const auto missing_in = [](const std::vector<weft::Voter>& these,
                                   const std::vector<weft::Voter>& those) {
            return std::count_if(these.begin(), these.end(), [&those](const weft::Voter& member) {
                return !is_voter(those, member.name, member.disk);
            });
        };
        const auto gone = missing_in(before, after), came = missing_in(after, before);
        Names names;
        for (const auto& member : after) names.insert(member.name);
        BOOST_REQUIRE(gone <= 1);
        BOOST_REQUIRE(came <= 1);
        BOOST_REQUIRE(names.size() == after.size());
        BOOST_REQUIRE(after.size() <= std::max(before.size(), kMaxVoters));
        const bool shrinks = after.size() < before.size();
        BOOST_REQUIRE((!shrinks || (before.size() % 2 == 0 && before.size() > kTuning.least)));
        for (const auto& member : after) {  // whoever comes stands ready
            if (is_voter(before, member.name, member.disk)) continue;
            const auto node = std::find_if(nodes.begin(), nodes.end(),
                                           [&](const auto& n) { return n.name == member.name; });
            BOOST_REQUIRE(
                (node != nodes.end() && node->live && node->writable && node->synced && !node->leaving));
            BOOST_REQUIRE(node->disk == member.disk);
        }
        changes += gone + came > 0 ? 1 : 0;
    }
    BOOST_TEST(changes > 1000u);
}

BOOST_AUTO_TEST_CASE(a_quorum_counts_disks) {
    auto state = state_with(voters({"a", "b", "c"}), 3);
    BOOST_TEST(!has_quorum(state, {{"a", "a1"}}));
    BOOST_TEST(has_quorum(state, {{"a", "a1"}, {"c", "c1"}}));
    BOOST_TEST(!has_quorum(state, {{"a", "a1"}, {"c", "c2"}}));
    BOOST_TEST(!has_quorum(state, {{"a", "a1"}, {"d", "d1"}, {"e", "e1"}}));
    state.joining = voters({"a", "b", "d"});
    BOOST_TEST(!has_quorum(state, {{"a", "a1"}, {"c", "c1"}}));  // both sets must agree
    BOOST_TEST(has_quorum(state, {{"a", "a1"}, {"c", "c1"}, {"d", "d1"}}));
    BOOST_TEST(has_quorum(state, {{"a", "a1"}, {"b", "b1"}}));
    BOOST_TEST(!has_quorum(state_with({}, 3), {{"a", "a1"}}));
    BOOST_TEST(!has_quorum(state_with(voters({"a", "b", "c", "d"}), 4), {{"a", "a1"}, {"b", "b1"}}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(first_start)

namespace {

// Control nodes that find each other, and a proxy on the seed's machine, with instant disks and links.
struct Field {
    std::map<std::string, std::unique_ptr<knell::Knell>> members;
    std::map<std::string, std::unique_ptr<Acceptor>> acceptors;
    std::map<std::string, std::unique_ptr<Founding>> foundings;
    std::map<std::string, DurableState> disks;
    std::map<std::string, std::string> listed;
    std::set<Names> founded;  // all memberships that came onto any disk as founded
    std::uint64_t lives = 0;
    Micros now = 0;

    DurableState& disk(const std::string& name) {
        auto& held = disks[name];
        if (held.disk.empty()) held.disk = name + "-1";
        return held;
    }
    void wipe(const std::string& name) {
        disks[name] = empty_disk(name + "-" + std::to_string(++lives + 100));
    }
    static bool is_control(const std::string& name) { return name[0] == 'k'; }

    void start(const std::string& name, bool first) {
        knell::Config config;
        config.name = config.address = name;
        config.role = is_control(name) ? "keeper" : "proxy";
        config.seeds = {"p1"};
        config.inc = ++lives;
        members[name] = std::make_unique<knell::Knell>(config);
        if (!is_control(name)) return;
        FoundingConfig founding;
        founding.name = founding.address = name;
        founding.seeds = {"p1"};
        founding.listed = listed;
        founding.first_start = first;
        acceptors[name] = std::make_unique<Acceptor>(disk(name));
        foundings[name] = std::make_unique<Founding>(founding, lives);
    }
    void stop(const std::string& name) {
        members.erase(name);
        acceptors.erase(name);
        foundings.erase(name);
    }
    void write(const std::string& name) {
        SaveJob job;
        std::vector<Reply> replies;
        while (acceptors.at(name)->next_save(now, &job)) {
            disks[name] = job.state;
            acceptors.at(name)->saved(now, job.token, true, &replies);
            if (!job.state.founded) continue;
            Names names;
            for (const auto& member : job.state.founding.voters) names.insert(member.name);
            founded.insert(names);
        }
    }
    void act(const std::string& name, const weft::Out& out) {
        if (is_control(name)) write(name);
        for (const auto& send : out)
            if (members.count(send.address) != 0)
                hear(send.address, weft::Envelope{name, members.at(name)->inc(), 0, send.msg});
    }
    void hear(const std::string& name, const weft::Envelope& envelope) {
        weft::Out out;
        knell::Knell& membership = *members.at(name);
        membership.hear(now, envelope, &out);
        if (is_control(name))
            foundings.at(name)->hear(now, envelope, membership, acceptors.at(name).get(), &out);
        else if (const auto* ask = std::get_if<weft::FoundingAsk>(&envelope.msg))
            out.push_back({envelope.from, witness(membership, ask->nonce)});
        act(name, out);
    }
    // What a proxy answers: control nodes that it knows of.
    weft::FoundingSaid witness(const knell::Knell& membership, std::uint64_t nonce) const {
        weft::FoundingSaid said;
        said.nonce = nonce;
        for (const auto& node : control_nodes_known(membership, now, 30 * kSecond))
            said.nodes.push_back(node.first);
        return said;
    }
    void run(Micros duration) {
        for (const Micros end = now + duration; now < end; now += 50 * kMilli) {
            Names names;
            for (const auto& member : members) names.insert(member.first);
            for (const auto& name : names) {
                weft::Out out;
                members.at(name)->tick(now, &out);
                if (is_control(name))
                    foundings.at(name)->tick(now, *members.at(name), acceptors.at(name).get(), &out);
                act(name, out);
            }
        }
    }
    bool all_founded() {
        return std::all_of(acceptors.begin(), acceptors.end(),
                           [](const auto& a) { return a.second->durable().founded; });
    }
};

Proposal proposal_of(const std::string& founder, std::uint64_t id, const Names& names) {
    Proposal proposal;
    proposal.founder = founder;
    proposal.id = id;
    for (const auto& name : names) proposal.voters.push_back({name, name + "-1", name});
    return proposal;
}

}  // namespace

BOOST_AUTO_TEST_CASE(control_nodes_found_one_membership) {
    Field field;
    for (const auto* name : {"p1", "k1", "k2", "k3"}) field.start(name, true);
    field.run(1900 * kMilli);
    BOOST_TEST(field.founded.empty());
    field.run(kSecond);
    BOOST_REQUIRE(field.founded.size() == 1u);
    BOOST_TEST(field.founded.begin()->size() == 3u);
    field.run(kSecond);
    BOOST_TEST(field.all_founded());
    field.start("k4", true);  // later ones, and those emptied, learn it
    field.wipe("k1");
    field.start("k1", true);
    field.run(6 * kSecond);
    BOOST_TEST(field.all_founded());
    BOOST_TEST(field.founded.size() == 1u);
    BOOST_TEST(
        is_voter(field.disk("k1").founding.voters, "k1", "k1-1"));  // the one of then, not the new disk
}

BOOST_AUTO_TEST_CASE(one_alone_founds_only_with_its_seeds_and_at_a_first_start) {
    Field field;
    field.start("k1", true);
    field.run(5 * kSecond);
    BOOST_TEST(field.founded.empty());
    field.start("p1", false);
    field.run(5 * kSecond);
    BOOST_TEST(field.founded.size() == 1u);
    Field later;
    later.start("k1", false);
    later.start("p1", false);
    later.run(20 * kSecond);
    BOOST_TEST(later.founded.empty());
}

// A proposal that was accepted stands until its founder withdrew it.
BOOST_AUTO_TEST_CASE(an_accepted_proposal_binds) {
    Field field;
    for (const auto* name : {"k2", "k3"})
        field.disk(name).founding = proposal_of("k3", 5, {"k2", "k3", "k9"});
    for (const auto* name : {"p1", "k1", "k2"}) field.start(name, true);
    field.run(60 * kSecond);  // k3 may have founded it
    BOOST_TEST(field.founded.empty());
    field.start("k3", true);  // it has not, and one that it named never came
    field.run(10 * kSecond);
    BOOST_REQUIRE(field.founded.size() == 1u);
    BOOST_TEST((*field.founded.begin() == Names{"k1", "k2", "k3"}));
    BOOST_TEST(field.disk("k3").withdrawn.count(5) == 1u);
}

// A founder whose disk was emptied takes its own proposal over from those that hold it, and founds the same.
BOOST_AUTO_TEST_CASE(an_emptied_founder_takes_its_proposal_over) {
    Field field;
    for (const auto* name : {"k2", "k3"})
        field.disk(name).founding = proposal_of("k1", 5, {"k1", "k2", "k3"});
    for (const auto* name : {"p1", "k1", "k2", "k3", "k4"}) field.start(name, true);
    field.run(10 * kSecond);
    BOOST_REQUIRE(field.founded.size() == 1u);
    BOOST_TEST((*field.founded.begin() == Names{"k1", "k2", "k3"}));
    for (const auto& acceptor : field.acceptors) BOOST_TEST(acceptor.second->durable().founding.id == 5u);
}

// Holding one proposal, a node writes no other, and none that does not name it and its disk, or at no first
// start.
BOOST_AUTO_TEST_CASE(a_second_proposal_is_not_accepted) {
    const knell::Knell membership(knell::Config{});
    const auto both = proposal_of("k1", 9, {"k1", "k2"}).voters;
    const auto accepts = [&](DurableState held, bool first, const std::string& from, const std::string& me) {
        if (held.disk.empty()) held.disk = me + "-1";
        FoundingConfig config;
        config.name = config.address = me;
        config.seeds = {"p1"};
        config.first_start = first;
        Founding founding(config, 1);
        Acceptor acceptor(held);
        weft::Out out;
        founding.hear(0, weft::Envelope{from, 1, 0, weft::FoundingProposal{9, both}}, membership, &acceptor,
                      &out);
        SaveJob job;
        return acceptor.next_save(0, &job);
    };
    DurableState other;
    other.founding = proposal_of("k3", 5, {"k2", "k3"});
    DurableState founded = other;
    founded.founded = true;
    BOOST_TEST(accepts({}, true, "k1", "k2"));
    BOOST_TEST(!accepts(other, true, "k1", "k2"));
    BOOST_TEST(!accepts(founded, true, "k1", "k2"));
    BOOST_TEST(!accepts({}, false, "k1", "k2"));
    BOOST_TEST(!accepts({}, true, "k1", "k4"));
    BOOST_TEST(!accepts({}, true, "k4", "k2"));
    BOOST_TEST(!accepts(empty_disk("k2-2"), true, "k1", "k2"));  // emptied since: it names another disk
}

// A seed is a witness: it must have us in its table, and name no control node that we do not know.
BOOST_AUTO_TEST_CASE(a_founder_asks_its_seeds_who_else_is_there) {
    const auto proposes = [](const std::vector<std::string>& named) {
        knell::Config config;
        config.name = config.address = "k1";
        config.role = "keeper";
        knell::Knell membership(config);
        weft::Out out;
        weft::News news;
        news.members.push_back({"p1", "p1", "a", "proxy", 1, 0, 1, ""});
        membership.hear(0, weft::Envelope{"p1", 1, 0, news}, &out);
        FoundingConfig founding_config;
        founding_config.name = founding_config.address = "k1";
        founding_config.seeds = {"p1"};
        founding_config.first_start = true;
        Founding founding(founding_config, 1);
        Acceptor acceptor(empty_disk("k1-1"));
        for (Micros now = 0; now < 5 * kSecond; now += 100 * kMilli) {
            weft::FoundingSaid said;
            said.nonce = 1;
            said.nodes = named;
            founding.hear(now, weft::Envelope{"p1", 1, 0, said}, membership, &acceptor, &out);
            founding.tick(now, membership, &acceptor, &out);
            SaveJob job;
            if (acceptor.next_save(now, &job)) return true;
        }
        return false;
    };
    BOOST_TEST(proposes({"k1"}));
    BOOST_TEST(!proposes({"k1", "k2"}));
    BOOST_TEST(!proposes({}));
}

BOOST_AUTO_TEST_CASE(listed_nodes_found_once_all_have_answered) {
    Field field;
    field.listed = {{"k1", "k1"}, {"k2", "k2"}, {"k3", "k3"}};
    for (const auto* name : {"p1", "k1", "k2"}) field.start(name, true);
    field.run(20 * kSecond);
    BOOST_TEST(field.founded.empty());
    field.start("k3", true);
    field.run(4 * kSecond);
    BOOST_REQUIRE(field.founded.size() == 1u);
    BOOST_TEST((*field.founded.begin() == Names{"k1", "k2", "k3"}));
    field.run(2 * kSecond);
    BOOST_TEST(field.all_founded());
}

// No table has to be quiet, and no seed to be there, where the list says who they are.
BOOST_AUTO_TEST_CASE(listed_nodes_need_not_wait_for_the_table) {
    Field field;
    field.listed = {{"k1", "k1"}, {"k2", "k2"}, {"k3", "k3"}};
    for (const auto* name : {"p1", "k1", "k2", "k3"}) field.start(name, true);
    field.run(1500 * kMilli);
    BOOST_TEST(field.founded.size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_emptied_listed_node_never_founds_anew) {
    for (const std::string emptied : {"k1", "k2", "k3"}) {
        Field field;
        field.listed = {{"k1", "k1"}, {"k2", "k2"}, {"k3", "k3"}};
        for (const auto* name : {"p1", "k1", "k2", "k3"}) field.start(name, true);
        field.run(5 * kSecond);
        BOOST_TEST(field.all_founded());
        const auto before = field.disk("k2").founding.id;
        for (const auto& name : Names{"k1", "k2", "k3"}) field.stop(name);
        field.wipe(emptied);
        field.start(emptied, true);  // alone: the others come later
        field.run(10 * kSecond);
        BOOST_TEST(!field.acceptors.at(emptied)->durable().founded);
        for (const auto& name : Names{"k1", "k2", "k3"})
            if (name != emptied) field.start(name, true);
        field.run(6 * kSecond);
        BOOST_TEST(field.all_founded());
        for (const auto& acceptor : field.acceptors)
            BOOST_TEST(acceptor.second->durable().founding.id == before);
        BOOST_TEST(field.founded.size() == 1u);
    }
}

// Two of three emptied: the one that holds the founded membership tells it; no new one comes into being.
BOOST_AUTO_TEST_CASE(two_emptied_listed_nodes_learn_from_the_third) {
    for (const std::string kept : {"k1", "k2", "k3"}) {
        Field field;
        field.listed = {{"k1", "k1"}, {"k2", "k2"}, {"k3", "k3"}};
        for (const auto* name : {"p1", "k1", "k2", "k3"}) field.start(name, true);
        field.run(5 * kSecond);
        const auto before = field.disk(kept).founding.id;
        for (const auto& name : Names{"k1", "k2", "k3"})
            if (name != kept) {
                field.stop(name);
                field.wipe(name);
                field.start(name, true);
            }
        field.run(8 * kSecond);
        BOOST_TEST(field.all_founded());
        for (const auto& acceptor : field.acceptors)
            BOOST_TEST(acceptor.second->durable().founding.id == before);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(node)

namespace {

// Three whole control nodes and proxies that ask them; messages can be held back.
class Fleet {
  public:
    Fleet() {
        const Names voters{"k1", "k2", "k3"};
        for (const auto& name : voters) {
            ControlConfig control;
            control.name = control.address = name;
            control.signers = {kPublicKey};
            control.life = ++lives_;
            FoundingConfig founding;
            founding.name = founding.address = name;
            founding.seeds = {"k1"};
            disks_[name] = founded_disk(name, voters);
            nodes_[name] =
                std::make_unique<ControlNode>(config_of(name, "keeper"), control, founding, disks_[name],
                                              std::map<std::string, std::pair<std::uint64_t, std::string>>{});
        }
        for (const auto* name : {"p1", "p2", "p3"})
            proxies_[name] = std::make_unique<knell::Knell>(config_of(name, "proxy"));
        run(4 * kSecond);
    }

    void push(const std::string& name, std::uint64_t op, const std::string& text) {
        Actions actions;
        nodes_.at(name)->order(now_, op, text, &actions);
        take(name, std::move(actions));
        deliver();
    }
    void proxy_asks(const std::string& proxy, const std::string& node, std::uint64_t nonce,
                    bool confirm = true) {
        weft::FeedAsk ask;
        ask.confirm = confirm ? 1 : 0;
        ask.nonce = nonce;
        send({proxy, node, ask});
    }
    void run(Micros duration) {
        for (const Micros end = now_ + duration; now_ < end;) {
            now_ += kTick;
            for (auto& entry : nodes_) {
                Actions actions;
                entry.second->tick(now_, &actions);
                take(entry.first, std::move(actions));
            }
            for (auto& entry : proxies_) {
                weft::Out out;
                entry.second->tick(now_, &out);
                send_all(entry.first, std::move(out));
            }
            deliver();
        }
    }
    void deliver() {
        std::size_t delivered = 0;
        while (!queue_.empty()) {
            BOOST_REQUIRE(++delivered < kMostAtOnce);  // else answers beget answers without end
            const Transfer next = std::move(queue_.front());
            queue_.pop_front();
            if (hold && hold(next))
                held_.push_back(next);
            else
                receive(next);
        }
    }
    void release() {
        hold = nullptr;
        queue_.insert(queue_.end(), held_.begin(), held_.end());
        held_.clear();
        deliver();
    }
    void cut_off(const std::string& name) { cut_.insert(name); }
    void reconnect_all() { cut_.clear(); }

    ControlNode& node(const std::string& name) { return *nodes_.at(name); }
    std::string answer(std::uint64_t op) const { return answers_.count(op) != 0 ? answers_.at(op) : ""; }
    // What a proxy was answered, confirmed or not.
    std::vector<weft::FeedSaid> heard(const std::string& proxy, bool confirmed) const {
        std::vector<weft::FeedSaid> all;
        for (const auto& said : heard_)
            if (said.first == proxy && (said.second.confirmed != 0) == confirmed) all.push_back(said.second);
        return all;
    }
    void forget() {
        heard_.clear();
        looks_.clear();
    }
    // Reads that a node has begun.
    std::size_t looks(const std::string& name) { return looks_[name].size(); }
    // A node that neither proposes nor surveys: all its questions are reads.
    std::string idle_node() {
        for (auto& entry : nodes_)
            if (!entry.second->control().proposer()) return entry.first;
        return {};
    }

    std::function<bool(const Transfer&)> hold;
    static constexpr Micros kTick = 20 * kMilli;
    static constexpr std::size_t kMostAtOnce = 10000;  // messages that one instant may bring about

  private:
    knell::Config config_of(const std::string& name, const std::string& role) {
        knell::Config config;
        config.name = config.address = name;
        config.role = role;
        config.seeds = {"k1"};
        config.inc = ++lives_;
        return config;
    }
    void send(Transfer transfer) {
        if (const auto* ask = as<weft::PrepareAsk>(transfer); ask != nullptr && ask->ballot.round == 0)
            looks_[transfer.from].insert(ask->serial);
        if (cut_.count(transfer.from) != 0 || cut_.count(transfer.to) != 0) return;
        queue_.push_back(std::move(transfer));
    }
    void send_all(const std::string& from, weft::Out out) {
        for (auto& one : out) send({from, one.address, std::move(one.msg)});
    }
    void take(const std::string& name, Actions actions) {
        for (const auto& answer : actions.answers) answers_[answer.op] = as_text(answer.result);
        send_all(name, std::move(actions.out));
        for (const auto& save : actions.saves) {
            disks_[name] = save.state;
            Actions more;
            nodes_.at(name)->saved(now_, save.token, true, &more);
            take(name, std::move(more));
        }
    }
    void receive(const Transfer& transfer) {
        const auto proxy = proxies_.find(transfer.to);
        if (proxy != proxies_.end()) {
            weft::Out out;
            proxy->second->hear(now_, envelope(transfer), &out);
            if (const auto* said = as<weft::FeedSaid>(transfer)) heard_.emplace_back(transfer.to, *said);
            send_all(transfer.to, std::move(out));
            return;
        }
        if (nodes_.count(transfer.to) == 0) return;
        Actions actions;
        nodes_.at(transfer.to)->hear(now_, envelope(transfer), &actions);
        take(transfer.to, std::move(actions));
    }
    weft::Envelope envelope(const Transfer& transfer) const {
        const auto proxy = proxies_.find(transfer.from);
        const std::uint64_t inc =
            proxy != proxies_.end() ? proxy->second->inc() : nodes_.at(transfer.from)->knell().inc();
        return {transfer.from, inc, 0, transfer.message};
    }

    std::map<std::string, std::unique_ptr<ControlNode>> nodes_;
    std::map<std::string, std::unique_ptr<knell::Knell>> proxies_;
    std::map<std::string, DurableState> disks_;
    std::deque<Transfer> queue_;
    std::vector<Transfer> held_;
    Names cut_;
    std::vector<std::pair<std::string, weft::FeedSaid>> heard_;
    std::map<std::string, std::set<std::uint64_t>> looks_;
    std::map<std::uint64_t, std::string> answers_;
    std::uint64_t lives_ = 0;
    Micros now_ = 0;
};

bool is_looks_answer(const Transfer& transfer) { return as<weft::PrepareSaid>(transfer) != nullptr; }

}  // namespace

BOOST_AUTO_TEST_CASE(a_confirmed_answer_carries_the_nonce_and_the_newest) {
    Fleet fleet;
    fleet.proxy_asks("p1", "k1", 11);
    fleet.run(200 * kMilli);
    auto said = fleet.heard("p1", true);
    BOOST_REQUIRE(said.size() == 1u);
    BOOST_TEST(said[0].nonce == 11u);
    BOOST_TEST(said[0].commit == 0u);  // "nothing stands" is confirmed as well
    fleet.push("k2", 1, bundle(4, "a"));
    BOOST_TEST(fleet.answer(1) == "ok 4");
    fleet.forget();
    for (const std::string at : {"k1", "k2", "k3"}) {
        fleet.proxy_asks("p2", at, 12);
        fleet.run(200 * kMilli);
    }
    said = fleet.heard("p2", true);
    BOOST_REQUIRE(said.size() == 3u);
    for (const auto& one : said) {
        BOOST_TEST(one.nonce == 12u);
        BOOST_TEST(one.commit == 4u);
        BOOST_REQUIRE(one.changes.size() == 1u);
        BOOST_TEST(unpack_content(one.changes[0].text, "").value() == bundle(4, "a"));
    }
    BOOST_TEST(fleet.heard("p1", true).empty());
}

BOOST_AUTO_TEST_CASE(one_read_serves_all_who_asked_before_it_began) {
    Fleet fleet;
    fleet.push("k1", 1, bundle(4, "a"));
    fleet.run(kSecond);
    const std::string at = fleet.idle_node();
    fleet.forget();
    fleet.hold = is_looks_answer;
    fleet.proxy_asks("p1", at, 21);
    fleet.proxy_asks("p2", at, 22);
    fleet.run(100 * kMilli);
    BOOST_TEST(fleet.looks(at) == 1u);
    BOOST_TEST(fleet.heard("p1", true).empty());
    fleet.proxy_asks("p3", at, 23);  // the read has begun: it is none of its own
    fleet.run(100 * kMilli);
    BOOST_TEST(fleet.looks(at) == 1u);
    fleet.release();
    BOOST_REQUIRE(fleet.heard("p1", true).size() == 1u);
    BOOST_REQUIRE(fleet.heard("p2", true).size() == 1u);
    BOOST_TEST(fleet.heard("p1", true)[0].nonce == 21u);
    BOOST_TEST(fleet.heard("p2", true)[0].nonce == 22u);
    BOOST_TEST(fleet.heard("p3", true).empty());
    fleet.run(100 * kMilli);
    BOOST_REQUIRE(fleet.heard("p3", true).size() == 1u);
    BOOST_TEST(fleet.heard("p3", true)[0].nonce == 23u);
    BOOST_TEST(fleet.heard("p3", true)[0].commit == 4u);
    BOOST_TEST(fleet.looks(at) == 2u);
    BOOST_TEST(fleet.heard("p1", true).size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_herd_costs_one_read_each_50_ms) {
    Fleet fleet;
    fleet.push("k1", 1, bundle(4, "a"));
    fleet.run(kSecond);
    const std::string at = fleet.idle_node();
    fleet.forget();
    for (int i = 0; i < 50; ++i) {
        for (const auto* proxy : {"p1", "p2", "p3"}) fleet.proxy_asks(proxy, at, 31);
        fleet.run(Fleet::kTick);
    }
    BOOST_TEST(fleet.looks(at) <= 20u);  // in a second
    BOOST_TEST(fleet.looks(at) >= 10u);
    BOOST_TEST(fleet.heard("p1", true).size() >= 10u);
}

BOOST_AUTO_TEST_CASE(nothing_is_confirmed_without_a_majority) {
    Fleet fleet;
    fleet.push("k1", 1, bundle(4, "a"));
    fleet.run(kSecond);
    for (const std::string at : {"k1", "k2", "k3"}) {
        for (const std::string other : {"k1", "k2", "k3"})
            if (other != at) fleet.cut_off(other);
        fleet.forget();
        fleet.proxy_asks("p1", at, 41);
        fleet.proxy_asks("p2", at, 42, false);
        fleet.run(3 * kSecond);
        BOOST_TEST(fleet.heard("p1", true).empty());
        BOOST_TEST(fleet.heard("p2", true).empty());
        BOOST_REQUIRE(fleet.heard("p2", false).size() == 1u);  // to one that is ready it tells what it has
        BOOST_TEST(fleet.heard("p2", false)[0].commit == 4u);
        fleet.reconnect_all();
        fleet.run(4 * kSecond);
        // The question of then is not answered late; the next one is.
        BOOST_TEST(fleet.heard("p1", true).empty());
        fleet.proxy_asks("p1", at, 43);
        fleet.run(200 * kMilli);
        BOOST_REQUIRE(fleet.heard("p1", true).size() == 1u);
        BOOST_TEST(fleet.heard("p1", true)[0].nonce == 43u);
    }
}

// A proxy's heartbeat that names a higher number makes a node look, within half a second.
BOOST_AUTO_TEST_CASE(a_node_that_missed_a_change_learns_of_it_from_proxies) {
    Fleet fleet;
    fleet.push("k1", 1, bundle(4, "a"));
    fleet.run(kSecond);
    const std::string at = fleet.idle_node();
    fleet.cut_off(at);
    fleet.push(at == "k1" ? "k2" : "k1", 2, bundle(5, "b"));
    fleet.run(100 * kMilli);
    BOOST_TEST(fleet.answer(2) == "ok 5");
    BOOST_TEST(fleet.node(at).control().decided().number == 4u);
    fleet.reconnect_all();
    fleet.proxy_asks("p1", at, 51);
    fleet.run(200 * kMilli);
    BOOST_REQUIRE(fleet.heard("p1", true).size() >= 1u);
    BOOST_TEST(fleet.heard("p1", true).back().commit == 5u);
    BOOST_TEST(fleet.node(at).control().decided().number == 5u);
}

BOOST_AUTO_TEST_SUITE_END()
