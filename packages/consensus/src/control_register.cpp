// Messages, decided states and their content, orders and reads. Attempts are in control_round.cpp, contact
// with a majority in control_look.cpp, what the voters hold in control_survey.cpp.
#include "consensus/control_register.hpp"

#include <algorithm>

#include "creed/bundle.hpp"

namespace consensus {

using pith::fail;
using pith::Kind;
using pith::Micros;

namespace {
// Different at each start of each node: no answer to an earlier life is taken for one to this.
std::uint64_t first_seed(const ControlConfig& config) { return pith::hash64(config.name) ^ config.life; }
}  // namespace

ControlRegister::ControlRegister(ControlConfig config, DurableState held)
    : config_(std::move(config)), acceptor_(held), decided_(held.decided), random_(first_seed(config_)) {
    known_ = !decided_.voters.empty();
    serial_ = random_.next() >> 2;
    highest_round_ = std::max(held.promised.round, held.accepted.round);
    if (held.text.empty()) return;
    contents_.put(held.state.hash, held.text);
    if (decided_.hash == held.state.hash) decided_text_ = std::make_shared<const std::string>(held.text);
}

void ControlRegister::found(const std::vector<weft::Voter>& voters, Actions* actions) {
    if (known_) return;
    decided_ = weft::ControlState{};
    decided_.epoch = 1;
    std::string members;
    for (const auto& voter : voters) members += voter.name + '/' + voter.disk + ' ';
    decided_.lineage = pith::hash64(members);
    decided_.target = static_cast<std::uint32_t>(std::max(voters.size(), config_.tuning.membership.least));
    decided_.voters = voters;
    known_ = true;
    acceptor_.note_decided(decided_);
    flush(0, actions);
}

bool ControlRegister::voter() const {
    const std::string& disk = acceptor_.wanted().disk;
    return is_voter(decided_.voters, config_.name, disk) || is_voter(decided_.joining, config_.name, disk);
}

bool ControlRegister::handed_over() const { return known_ && !voter(); }

bool ControlRegister::proposer() const { return known_ && proposer_name() == config_.name; }

// The first of the voters that live, in an order that all agree on. Safety does not rest on it: it keeps
// ballots from competing.
std::string ControlRegister::proposer_name() const {
    std::string best;
    std::uint64_t lowest = 0;
    for (const auto& name : voter_names(decided_)) {
        const auto peer = peers_.find(name);
        const bool here = name == config_.name;
        const bool able =
            here ? !leaving_ : peer != peers_.end() && peer->second.live && !peer->second.leaving;
        const std::uint64_t place = pith::hash64("control@" + name);
        if (!able || (!best.empty() && place >= lowest)) continue;
        best = name;
        lowest = place;
    }
    return best.empty() ? config_.name : best;
}

// ---- messages

std::string ControlRegister::address_of(const std::string& name) const {
    const auto peer = peers_.find(name);
    if (peer != peers_.end() && !peer->second.address.empty()) return peer->second.address;
    for (const auto* set : {&decided_.voters, &decided_.joining, &round_.found.voters, &round_.found.joining})
        for (const auto& voter : *set)
            if (voter.name == name) return voter.address;
    return {};
}

std::string ControlRegister::counted_disk(const std::string& name, const std::string& disk) const {
    if (!config_.mutations.ignore_disk_identity) return disk;
    for (const auto* set : {&decided_.voters, &decided_.joining})
        for (const auto& voter : *set)
            if (voter.name == name) return voter.disk;
    return disk;
}

Answered ControlRegister::answered(const std::map<std::string, weft::PrepareSaid>& said) const {
    Answered result;
    for (const auto& s : said) result[s.first] = counted_disk(s.first, s.second.disk);
    return result;
}

void ControlRegister::send(const std::string& to, weft::Msg message) {
    queue_.push_back({to, std::move(message)});
}

// Messages to ourselves are heard at once; the others, and what the disk has to do, go into `actions`.
void ControlRegister::flush(Micros now, Actions* actions) {
    do {
        while (!queue_.empty()) {
            std::vector<Reply> batch;
            batch.swap(queue_);
            for (auto& reply : batch) {
                if (reply.to == config_.name) {
                    deliver(now, config_.name, reply.message, actions);
                    continue;
                }
                const std::string address = address_of(reply.to);
                if (!address.empty()) actions->out.push_back({address, std::move(reply.message)});
            }
        }
        if (round_due(now)) begin_round(now, actions);
    } while (!queue_.empty());
    SaveJob job;
    if (acceptor_.next_save(now, &job)) actions->saves.push_back(std::move(job));
}

void ControlRegister::hear(Micros now, const weft::Envelope& envelope, Actions* actions) {
    deliver(now, envelope.from, envelope.msg, actions);
    flush(now, actions);
}

void ControlRegister::deliver(Micros now, const std::string& from, const weft::Msg& message,
                              Actions* actions) {
    if (const auto* prepare = std::get_if<weft::PrepareAsk>(&message)) {
        highest_round_ = std::max(highest_round_, prepare->ballot.round);
        acceptor_.prepare(from, *prepare, &queue_);
    } else if (const auto* said = std::get_if<weft::PrepareSaid>(&message)) {
        promised(now, from, *said, actions);
        looked(now, from, *said, actions);
        surveyed_by(now, from, *said);
    } else if (const auto* accept = std::get_if<weft::AcceptAsk>(&message)) {
        highest_round_ = std::max(highest_round_, accept->ballot.round);
        acceptor_.accept(from, *accept, &contents_, &queue_);
        have_content(now, actions);
    } else if (const auto* was = std::get_if<weft::AcceptSaid>(&message)) {
        accepted(now, from, *was, actions);
    } else if (const auto* d = std::get_if<weft::Decided>(&message)) {
        decide(now, d->state, actions);
    } else if (const auto* ask = std::get_if<weft::StateAsk>(&message)) {
        answer_state(from, *ask);
    } else if (const auto* state = std::get_if<weft::StateSaid>(&message)) {
        decide(now, state->state, actions);
        have_content(now, actions);
    } else if (const auto* wanted = std::get_if<weft::ContentAsk>(&message)) {
        if (content_of(wanted->hash) == nullptr) return;
        weft::ContentSaid reply;
        reply.hash = wanted->hash;
        reply.packed = contents_.packed(wanted->hash, wanted->held, &reply.base);
        send(from, std::move(reply));
    } else if (const auto* content = std::get_if<weft::ContentSaid>(&message)) {
        if (contents_.take(content->hash, content->base, content->packed)) have_content(now, actions);
    } else if (const auto* order_ask = std::get_if<weft::OrderAsk>(&message)) {
        hear_order(now, from, *order_ask, actions);
    } else if (const auto* outcome = std::get_if<weft::OrderSaid>(&message)) {
        hear_outcome(now, *outcome, actions);
    }
}

void ControlRegister::saved(Micros now, std::uint64_t token, bool ok, Actions* actions) {
    acceptor_.saved(now, token, ok, &queue_);
    flush(now, actions);
}

void ControlRegister::tick(Micros now, Actions* actions) {
    tick_orders(now, actions);
    tick_round(now);
    tick_look(now, actions);
    tick_survey(now);
    want_content(now);
    flush(now, actions);
}

void ControlRegister::behind(std::uint64_t number) { behind_ = std::max(behind_, number); }

// ---- decided states and their content

// A decided state stays decided: the highest revision is kept, never an older one.
void ControlRegister::decide(Micros now, const weft::ControlState& state, Actions* actions) {
    const bool newer = state.revision > decided_.revision || !known_;
    if (!newer || state.voters.empty() || state.epoch < decided_.epoch) return;
    // A node of another founding is a stranger, however new its state.
    if (known_ && state.lineage != decided_.lineage) return;
    const bool same_content = state.hash == decided_.hash;
    decided_ = state;
    known_ = true;
    if (!same_content) decided_text_.reset();
    acceptor_.note_decided(decided_);
    actions->decided = true;
    // The content mostly comes to a voter with what it is asked to accept.
    next_want_ = now + (voter() && reads_.empty() ? config_.tuning.survey + config_.tuning.resend : 0);
    have_content(now, actions);
}

const std::string* ControlRegister::content_of(const std::string& hash) {
    const std::string* text = contents_.find(hash);
    if (text != nullptr) return text;
    const DurableState& held = acceptor_.wanted();
    if (hash == held.state.hash && !held.text.empty()) contents_.put(hash, held.text);
    if (decided_text_ != nullptr && hash == decided_.hash) contents_.put(hash, *decided_text_);
    return contents_.find(hash);
}

void ControlRegister::have_content(Micros now, Actions* actions) {
    if (decided_text_ == nullptr && !decided_.hash.empty()) {
        const std::string* text = content_of(decided_.hash);
        if (text != nullptr) {
            decided_text_ = std::make_shared<const std::string>(*text);
            actions->decided = true;
        }
    }
    if (round_.phase == Phase::content && content_of(round_.proposed.hash) != nullptr) begin_accept(now);
    answer_reads(actions);
}

// The content of what is decided is asked for of one live node at a time, in turn.
void ControlRegister::want_content(Micros now) {
    if (decided_.hash.empty() || decided_text_ != nullptr || now < next_want_) return;
    next_want_ = now + config_.tuning.resend;
    std::vector<std::string> live;
    for (const auto& peer : peers_)
        if (peer.second.live) live.push_back(peer.first);
    if (live.empty()) return;
    const std::string& to = live[random_.below(live.size())];
    send(to, weft::ContentAsk{decided_.hash, acceptor_.wanted().state.hash});
}

void ControlRegister::answer_state(const std::string& from, const weft::StateAsk& ask) {
    if (known_ && ask.revision > decided_.revision) send(from, weft::StateAsk{decided_.revision});
    if (!known_ || decided_.revision <= ask.revision) return;
    send(from, weft::StateSaid{decided_});
}

// ---- orders

void ControlRegister::order(Micros now, std::uint64_t op, const std::string& text, Actions* actions) {
    auto checked = creed::read_signed(text, config_.signers);
    if (!checked) {
        actions->answers.push_back({op, tl::unexpected<pith::Error>(checked.error())});
        return;
    }
    if (!known_) {
        const std::string why =
            "no voters are known here yet: start the other control nodes, or come back in a second";
        actions->answers.push_back({op, fail(Kind::no_majority, why)});
        return;
    }
    if (orders_.size() >= config_.tuning.most_orders) {
        const std::string why =
            std::to_string(orders_.size()) + " orders are under way here: come back in a second";
        actions->answers.push_back({op, fail(Kind::crowded, why)});
        return;
    }
    Order order;
    order.number = checked->bundle.number;
    order.hash = checked->bundle.hash;
    order.text = std::make_shared<const std::string>(std::move(checked->text));
    order.op = op;
    start_order(now, std::move(order), actions);
    flush(now, actions);
}

// An order above what is decided goes to the proposer, or into an attempt of ours; all others only want a
// majority's word.
void ControlRegister::start_order(Micros now, Order order, Actions* actions) {
    const std::uint64_t id = ++next_id_;
    const std::string proposer = proposer_name();
    order.raced = order.number > decided_.number;
    order.until = now + config_.tuning.patience;
    order.forwarded = order.from.empty() && order.raced && proposer != config_.name;
    if (order.forwarded) {
        order.forward_until = now + config_.tuning.forward;
        send(proposer, weft::OrderAsk{config_.life, id, pack_content(*order.text, {})});
    }
    orders_.emplace(id, std::move(order));
    tick_look(now, actions);
}

void ControlRegister::hear_order(Micros now, const std::string& from, const weft::OrderAsk& ask,
                                 Actions* actions) {
    for (const auto& known : orders_)
        if (known.second.from == from && known.second.life == ask.life && known.second.order == ask.order)
            return;
    auto text = unpack_content(ask.packed, {});
    if (!text || !known_ || orders_.size() >= config_.tuning.most_orders) return;
    auto checked = creed::read_signed(*text, config_.signers);
    if (!checked) return;
    Order order;
    order.number = checked->bundle.number;
    order.hash = checked->bundle.hash;
    order.text = std::make_shared<const std::string>(std::move(checked->text));
    order.from = from;
    order.life = ask.life;
    order.order = ask.order;
    start_order(now, std::move(order), actions);
}

void ControlRegister::hear_outcome(Micros now, const weft::OrderSaid& said, Actions* actions) {
    (void)now;
    const auto i = orders_.find(said.order);
    if (i == orders_.end() || said.life != config_.life || !i->second.forwarded) return;
    if (static_cast<OrderOutcome>(said.outcome) == OrderOutcome::unavailable) {
        i->second.forwarded = false;  // this node proposes itself
        return;
    }
    answer_order(i->second, said, actions);
    orders_.erase(i);
}

bool ControlRegister::order_due() const {
    return std::any_of(orders_.begin(), orders_.end(), [this](const auto& o) {
        return !o.second.forwarded && o.second.number > decided_.number;
    });
}

void ControlRegister::tick_orders(Micros now, Actions* actions) {
    std::vector<std::uint64_t> ended;
    for (auto& o : orders_) {
        if (now >= o.second.until)
            ended.push_back(o.first);
        else if (o.second.forwarded && now >= o.second.forward_until)
            o.second.forwarded = false;
    }
    for (const auto id : ended) finish_order(id, OrderOutcome::unavailable, {}, actions);
    ended.clear();
    for (const auto& r : reads_)
        if (now >= r.second.until) ended.push_back(r.first);
    for (const auto id : ended) {
        const std::string why =
            "no majority of the voters answered: ask another control node, or come back in a second";
        actions->answers.push_back({reads_[id].op, fail(Kind::no_majority, why)});
        reads_.erase(id);
    }
}

// By what is decided, where a majority was in contact since the order came.
OrderOutcome ControlRegister::judge(const Order& order, std::string* why) const {
    if (config_.mutations.numbers_only) return OrderOutcome::acknowledged;
    bool same = true;
    if (order.number == decided_.number) {
        same = order.hash == decided_.hash;
    } else {
        for (const auto& r : decided_.recent)
            if (r.number == order.number) same = r.fingerprint == pith::hash64(order.hash);
    }
    if (same) return OrderOutcome::acknowledged;
    *why = "number " + std::to_string(order.number) + " was decided with other content";
    return OrderOutcome::taken;
}

void ControlRegister::settle_orders(const std::set<std::uint64_t>& ids, Actions* actions) {
    for (const auto id : ids) {
        const auto i = orders_.find(id);
        if (i == orders_.end() || i->second.forwarded || i->second.number > decided_.number) continue;
        std::string why;
        const OrderOutcome outcome = judge(i->second, &why);
        finish_order(id, outcome, why, actions);
    }
}

void ControlRegister::finish_order(std::uint64_t id, OrderOutcome outcome, const std::string& why,
                                   Actions* actions) {
    const Order order = orders_[id];
    orders_.erase(id);
    const bool remembered =
        std::any_of(decided_.recent.begin(), decided_.recent.end(), [&order](const auto& r) {
            return r.number == order.number && r.fingerprint == pith::hash64(order.hash);
        });
    weft::OrderSaid said;
    said.life = order.life;
    said.order = order.order;
    said.outcome = static_cast<std::uint8_t>(outcome);
    said.number = remembered ? order.number : decided_.number;
    said.hash = remembered ? order.hash : decided_.hash;
    said.standing = decided_.number;
    said.why = why;
    if (order.from.empty())
        answer_order(order, said, actions);
    else
        send(order.from, std::move(said));
}

void ControlRegister::answer_order(const Order& order, const weft::OrderSaid& said, Actions* actions) const {
    const std::string higher =
        ": take a number above " + std::to_string(std::max(said.standing, decided_.number));
    switch (static_cast<OrderOutcome>(said.outcome)) {
        case OrderOutcome::acknowledged:
            if (config_.refuse_old && said.number != order.number) {
                const std::string what =
                    "number " + std::to_string(order.number) + " is below the standing one";
                actions->answers.push_back({order.op, fail(Kind::bundle_old, what + higher)});
                break;
            }
            actions->answers.push_back({order.op, said.number, said.hash, said.standing, nullptr});
            break;
        case OrderOutcome::taken:
            actions->answers.push_back(
                {order.op, fail(order.raced ? Kind::bundle_taken : Kind::bundle_old, said.why + higher)});
            break;
        case OrderOutcome::unavailable:
            actions->answers.push_back(
                {order.op,
                 fail(Kind::outcome_unknown,
                      "no majority of the voters answered in time; the bundle may stand later: push the same "
                      "file again, here or elsewhere")});
            break;
    }
}

// ---- reads

void ControlRegister::read(Micros now, std::uint64_t op, Micros patience, Actions* actions) {
    Read read;
    read.op = op;
    read.until = now + patience;
    read.confirmed = config_.mutations.local_read;
    reads_.emplace(++next_id_, read);
    if (!known_) {
        const std::string why =
            "no voters are known here yet: ask another control node, or come back in a second";
        actions->answers.push_back({op, fail(Kind::no_majority, why)});
        reads_.erase(next_id_);
        return;
    }
    answer_reads(actions);
    tick_look(now, actions);
    flush(now, actions);
}

void ControlRegister::confirm_reads(const std::set<std::uint64_t>& ids) {
    for (const auto id : ids) {
        const auto i = reads_.find(id);
        if (i != reads_.end()) i->second.confirmed = true;
    }
}

void ControlRegister::answer_reads(Actions* actions) {
    if (!decided_.hash.empty() && decided_text_ == nullptr) return;  // its content is on the way
    for (auto i = reads_.begin(); i != reads_.end();) {
        if (!i->second.confirmed) {
            ++i;
            continue;
        }
        if (decided_.number == 0)
            actions->answers.push_back(
                {i->second.op, fail(Kind::not_found, "no bundle stands yet: push one with `helm push`")});
        else
            actions->answers.push_back(
                {i->second.op, decided_.number, decided_.hash, decided_.number, decided_text_});
        i = reads_.erase(i);
    }
}

}  // namespace consensus
