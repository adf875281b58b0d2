#pragma once
// The control state as a replicated register under Paxos ballots (docs/control.md, "Register"): orders,
// reads, repair and changes of membership. A state machine: no socket, clock or disk.
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "consensus/acceptor.hpp"
#include "consensus/content.hpp"
#include "consensus/membership.hpp"
#include "pith/error.hpp"
#include "pith/hash.hpp"
#include "pith/time.hpp"
#include "weft/messages.hpp"

namespace consensus {

// How an order ended, as told from node to node.
enum class OrderOutcome : std::uint8_t { acknowledged = 0, taken = 1, unavailable = 2 };

// To an operator's order or read.
struct Answer {
    std::uint64_t op = 0;
    // The number that was asked for, if it was decided with that content, else the number that stands;
    // confirmed by a majority after the question came.
    pith::Result<std::uint64_t> result;
    std::string hash{};                         // of that number's content
    std::uint64_t standing = 0;                 // the number that is decided
    std::shared_ptr<const std::string> text{};  // of a read
};

// What the caller has to do: send, save, answer.
struct Actions {
    weft::Out out;
    std::vector<SaveJob> saves;
    std::vector<Answer> answers;
    std::vector<weft::EpochRec> epochs;  // duties' epochs to write down (docs/design.md 4.4)
    bool decided = false;                // a higher revision than before is known as decided here
};

struct ControlTuning {
    pith::Micros patience = 3 * pith::kSecond;  // of an order
    pith::Micros read_patience =
        700 * pith::kMilli;  // of an operator's read: below the second after which they go on
    pith::Micros resend = 150 * pith::kMilli;   // a question without an answer is asked again
    pith::Micros forward = 600 * pith::kMilli;  // for the proposer's answer; then this node proposes itself
    pith::Micros survey = pith::kSecond;  // between looks at what the control nodes hold, all being well
    pith::Micros survey_soon = 300 * pith::kMilli;  // and where one is not
    pith::Micros back_off = 20 * pith::kMilli;      // after a lost ballot; drawn, and grows with each
    std::size_t most_orders = 64;
    MembershipTuning membership;
};

// Mechanisms taken out on purpose, to prove the model and the simulator (docs/control.md, "Mutations").
struct ControlMutations {
    bool skip_prepare = false;          // accepts are asked for without promises
    bool ignore_accepted = false;       // what promises show as accepted is not completed
    bool local_read = false;            // reads are answered without contact with a majority
    bool no_joint = false;              // membership changes in one step
    bool ignore_disk_identity = false;  // an emptied disk votes as the one before
    bool numbers_only = false;          // another content under a decided number is acknowledged
};

struct ControlConfig {
    std::string name, address;
    std::vector<std::string> signers;
    std::uint64_t life = 1;  // drawn anew at each start of the process
    bool refuse_old =
        false;  // orders below the decided number are refused; else they are acknowledged, changing nothing
    ControlTuning tuning;
    ControlMutations mutations;
};

// A control node as membership has it.
struct Peer {
    std::string address, zone;
    bool live = false, leaving = false;
    pith::Micros since = 0;  // of that
};

class ControlRegister {
  public:
    ControlRegister(ControlConfig config, DurableState held);

    // The founded membership, once it is known (docs/control.md, "First start").
    void found(const std::vector<weft::Voter>& voters, Actions* actions);
    // Control nodes as membership has them now, without ourselves.
    void peers(std::map<std::string, Peer> peers) { peers_ = std::move(peers); }
    void leaving() { leaving_ = true; }

    void tick(pith::Micros now, Actions* actions);
    void hear(pith::Micros now, const weft::Envelope& envelope, Actions* actions);
    void saved(pith::Micros now, std::uint64_t token, bool ok, Actions* actions);

    // An operator's order; answered by `op` in some Actions.
    void order(pith::Micros now, std::uint64_t op, const std::string& text, Actions* actions);
    // The newest decided configuration, confirmed by a majority after now.
    void read(pith::Micros now, std::uint64_t op, Actions* actions) {
        read(now, op, config_.tuning.read_patience, actions);
    }
    // The same with a patience of its own.
    void read(pith::Micros now, std::uint64_t op, pith::Micros patience, Actions* actions);
    // Somebody acts on a higher number than is known here.
    void behind(std::uint64_t number);

    const weft::ControlState& decided() const { return decided_; }
    // Of decided(); null until its content is here.
    const std::string* text() const { return decided_text_.get(); }
    ContentStore& contents() { return contents_; }
    const Acceptor& acceptor() const { return acceptor_; }
    Acceptor& acceptor() { return acceptor_; }  // founding writes its own part of the document
    bool known() const { return known_; }       // a membership is known
    bool voter() const;                         // of the newest decided membership
    bool handed_over() const;                   // nothing here that a majority of the others lacks
    bool proposer() const;                      // orders are passed on to us
    std::size_t pending() const { return orders_.size() + reads_.size(); }
    // What the last survey found, for operators.
    const std::map<std::string, weft::PrepareSaid>& surveyed() const { return surveyed_; }

  private:
    struct Order {
        std::uint64_t number = 0;
        std::string hash;
        std::shared_ptr<const std::string> text;
        std::uint64_t op = 0;               // the operator's, here
        std::string from;                   // or: passed on by this node,
        std::uint64_t life = 0, order = 0;  // which named it so
        bool forwarded = false;             // waits for the proposer
        bool raced = false;                 // its number was free as it came
        pith::Micros until = 0, forward_until = 0, resend_at = 0;
    };
    struct Read {
        std::uint64_t op = 0;
        pith::Micros until = 0;
        bool confirmed = false;  // a majority was in contact since it came; its content may be missing yet
    };
    enum class Phase { idle, prepare, content, accept };
    // One attempt to decide a state: promises, the content, acceptances.
    struct Round {
        Phase phase = Phase::idle;
        std::uint64_t serial = 0;
        weft::Ballot ballot;
        std::map<std::string, weft::PrepareSaid> promises;
        weft::ControlState start, found,
            proposed;              // start: known as decided; found: accepted under the highest ballot,
        weft::Ballot found_under;  // which is this one
        Answered accepted;
        std::set<std::uint64_t> orders, reads;  // that are settled by it, by id
        pith::Micros resend_at = 0, until = 0;
    };
    // A look at what a majority holds, without a promise.
    struct Look {
        std::uint64_t serial = 0;  // 0: none is under way
        std::map<std::string, weft::PrepareSaid> said;
        std::map<std::string, pith::Micros> said_at;
        weft::ControlState start;               // known as decided as it began
        std::set<std::uint64_t> orders, reads;  // that came before it began, by id
        unsigned splits = 0;                    // looks in a row that saw an attempt under way
        pith::Micros resend_at = 0, until = 0, settle_at = 0;
    };

    // -- messages
    void send(const std::string& to, weft::Msg message);
    void flush(pith::Micros now, Actions* actions);
    void deliver(pith::Micros now, const std::string& from, const weft::Msg& message, Actions* actions);
    std::string address_of(const std::string& name) const;
    Answered answered(const std::map<std::string, weft::PrepareSaid>& said) const;
    std::string counted_disk(const std::string& name, const std::string& disk) const;

    // -- attempts (control_round.cpp)
    bool round_due(pith::Micros now) const;
    void begin_round(pith::Micros now, Actions* actions);
    void ask_promises(const weft::ControlState& state);
    void promised(pith::Micros now, const std::string& from, const weft::PrepareSaid& said, Actions* actions);
    void choose(pith::Micros now, Actions* actions);
    void begin_accept(pith::Micros now);
    void ask_accept(const std::string& to, bool whole);
    void accepted(pith::Micros now, const std::string& from, const weft::AcceptSaid& said, Actions* actions);
    void lost_ballot(pith::Micros now, const weft::Ballot& by);
    void round_decided(pith::Micros now, Actions* actions);
    void tick_round(pith::Micros now);
    bool carry_orders(weft::ControlState* state);
    void change_membership(pith::Micros now, weft::ControlState* state) const;

    // -- contact with a majority without a write (control_look.cpp)
    void begin_look(pith::Micros now);
    void looked(pith::Micros now, const std::string& from, const weft::PrepareSaid& said, Actions* actions);
    void evaluate_look(pith::Micros now, Actions* actions);
    void tick_look(pith::Micros now, Actions* actions);

    // -- what the voters hold (control_survey.cpp)
    void tick_survey(pith::Micros now);
    void compare_with_proposer(pith::Micros now);
    void surveyed_by(pith::Micros now, const std::string& from, const weft::PrepareSaid& said);
    bool all_well(pith::Micros now) const;
    void repair(pith::Micros now);
    void note_absence(pith::Micros now);
    std::vector<Candidate> candidates(pith::Micros now) const;

    // -- decided states and their content
    void decide(pith::Micros now, const weft::ControlState& state, Actions* actions);
    void have_content(pith::Micros now, Actions* actions);
    void want_content(pith::Micros now);
    const std::string* content_of(const std::string& hash);
    void answer_state(const std::string& from, const weft::StateAsk& ask);

    // -- orders and reads
    std::string proposer_name() const;
    void start_order(pith::Micros now, Order order, Actions* actions);
    void hear_order(pith::Micros now, const std::string& from, const weft::OrderAsk& ask, Actions* actions);
    void hear_outcome(pith::Micros now, const weft::OrderSaid& said, Actions* actions);
    bool order_due() const;
    void tick_orders(pith::Micros now, Actions* actions);
    void finish_order(std::uint64_t id, OrderOutcome outcome, const std::string& why, Actions* actions);
    void answer_order(const Order& order, const weft::OrderSaid& said, Actions* actions) const;
    void settle_orders(const std::set<std::uint64_t>& ids, Actions* actions);
    void confirm_reads(const std::set<std::uint64_t>& ids);
    void answer_reads(Actions* actions);
    OrderOutcome judge(const Order& order, std::string* why) const;

    ControlConfig config_;
    Acceptor acceptor_;
    ContentStore contents_;
    std::map<std::string, Peer> peers_;
    weft::ControlState decided_;
    std::shared_ptr<const std::string> decided_text_;  // null: not here yet
    bool known_ = false, leaving_ = false;
    Round round_;
    Look look_;
    std::map<std::uint64_t, Order> orders_;  // by our own id
    std::map<std::uint64_t, Read> reads_;
    std::map<std::string, weft::PrepareSaid> surveyed_;
    std::map<std::string, pith::Micros> answered_at_, absent_since_;
    std::vector<Reply> queue_;
    pith::Rng random_;
    std::uint64_t serial_ = 0, next_id_ = 0, highest_round_ = 0, survey_serial_ = 0;
    std::uint64_t behind_ = 0;     // a number that somebody acts on
    bool looked_once_ = false;     // a majority was in contact since we started
    bool completion_due_ = false;  // a look saw a state that is not decided yet
    unsigned lost_ = 0;            // ballots in a row
    pith::Micros next_round_ = 0, next_survey_ = 0, next_want_ = 0, next_behind_ = 0, next_repair_ = 0;
};

}  // namespace consensus
