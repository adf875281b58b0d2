// Operators of the simulated fleet: orders, reads, and the history of both.
#include <boost/json.hpp>

#include "model/linearizability.hpp"
#include "world_types.hpp"

namespace loom {

using pith::kMilli;
using pith::kSecond;

std::string World::bundle_text(const Word& w, const std::string& note) const {
    namespace json = boost::json;
    json::array sv, rt, cu, ke, all;
    for (const auto& s : d_.services) {
        sv.push_back(json::object{{"name", s}});
        rt.push_back(json::object{{"name", "read-" + s},
                                  {"path", "/" + s + "/*"},
                                  {"methods", json::array{"GET"}},
                                  {"service", s},
                                  {"kind", "read"},
                                  {"timeout_ms", d_.read_ms}});
        rt.push_back(json::object{{"name", "write-" + s},
                                  {"path", "/" + s},
                                  {"methods", json::array{"POST"}},
                                  {"service", s},
                                  {"kind", "write"},
                                  {"timeout_ms", d_.write_ms}});
        all.emplace_back("read-" + s);
        all.emplace_back("write-" + s);
    }
    for (const auto& c : w.allowance) {
        json::object o{{"name", c.first}, {"allowance_per_s", c.second}, {"routes", all}};
        const auto bu = w.burst.find(c.first);
        if (bu != w.burst.end()) o["burst"] = bu->second;
        cu.push_back(std::move(o));
        if (w.keys.count(c.first) != 0)
            ke.push_back(
                json::object{{"digest", creed::key_digest("key-" + c.first)}, {"customer", c.first}});
    }
    return json::serialize(json::object{{"number", w.number},
                                        {"note", note},
                                        {"services", sv},
                                        {"routes", rt},
                                        {"customers", cu},
                                        {"keys", ke}});
}

// The configuration as the operator wrote it: signed, and known to the checks.
std::string World::bundle_of(std::uint64_t number, const std::string& note, const Edit& e,
                             std::string* hash) {
    Word w;
    w.number = number;
    for (const auto& c : d_.customers) {
        if (e.removed.count(c.name) != 0) continue;
        const auto a = e.allowance.find(c.name);
        if (c.burst > 0) w.burst[c.name] = c.burst;
        w.allowance[c.name] = a == e.allowance.end() ? c.allowance : a->second;
        if (e.revoked.count(c.name) == 0) w.keys.insert(c.name);
    }
    for (const auto& c : e.revoked) changed_.insert(c);
    for (const auto& c : e.removed) changed_.insert(c);
    const std::string text = creed::sign(bundle_text(w, note), sk_).value();
    *hash = creed::read_signed(text, {pk_})->bundle.hash;
    checks.word(*hash, w);
    return text;
}

std::uint64_t World::new_call(CallKind kind, const std::string& node) {
    OperatorCall call;
    call.kind = kind;
    call.start = now_;
    call.node = node;
    calls_.push_back(std::move(call));
    return calls_.size();
}

std::uint64_t World::push(const std::string& keeper, std::uint64_t number, const std::string& note,
                          const Edit& e) {
    std::string hash;
    const std::string text = bundle_of(number, note, e, &hash);
    const auto op = new_call(CallKind::order, keeper);
    calls_[op - 1].number = number;
    calls_[op - 1].hash = hash;
    if (!up(keeper)) return op;
    on_node(keeper, n_[keeper]->life, [this, op, text](Node& n) {
        consensus::Actions actions;
        n.keeper->order(now_, op, text, &actions);
        carry(n, actions);
    });
    return op;
}

std::uint64_t World::read(const std::string& keeper) {
    const auto op = new_call(CallKind::read, keeper);
    if (!up(keeper)) return op;
    on_node(keeper, n_[keeper]->life, [this, op](Node& n) {
        consensus::Actions actions;
        n.keeper->read(now_, op, &actions);
        carry(n, actions);
    });
    return op;
}

void World::read_now_and_then() {
    const auto all = names("keeper");
    if (!all.empty()) read(all[operator_rng_.below(all.size())]);
    later(d_.reads_every, [this] { read_now_and_then(); });
}

std::map<std::uint64_t, std::string> World::answers() const {
    std::map<std::uint64_t, std::string> told;
    std::uint64_t pushes = 0;
    for (const auto& call : calls_) {
        if (call.kind != CallKind::order) continue;
        ++pushes;
        if (!call.answer.empty()) told[pushes] = call.answer;
    }
    return told;
}

namespace {
using consensus::model::EventKind;
using consensus::model::EventOutcome;
using consensus::model::HistoryEvent;

// As the linearizability check takes it. An order that was overtaken counts as a read of the number that its
// acknowledgement says stands, too; one that names its own number says no more than that this was decided.
void add_events(const std::string& client, const OperatorCall& call, std::vector<HistoryEvent>* history) {
    HistoryEvent event;
    event.client = client;
    event.start = static_cast<std::uint64_t>(call.start);
    if (call.end != pith::kNever) event.end = static_cast<std::uint64_t>(call.end);
    if (call.kind == CallKind::order && call.outcome != CallOutcome::rejected) {
        event.kind = EventKind::order;
        event.number = call.number;
        event.hash = call.hash;
        event.outcome = call.outcome == CallOutcome::acknowledged ? EventOutcome::acknowledged
                        : call.outcome == CallOutcome::taken      ? EventOutcome::taken
                                                                  : EventOutcome::unclear;
        history->push_back(event);
    }
    if (call.outcome != CallOutcome::acknowledged) return;
    if (call.kind == CallKind::order && call.stands_number == call.number) return;
    event.kind = EventKind::read;
    event.number = call.stands_number;
    event.hash = call.stands_hash;
    event.outcome = EventOutcome::acknowledged;
    history->push_back(event);
}
}  // namespace

void World::judge_history() {
    std::vector<HistoryEvent> history;
    for (std::size_t i = 0; i < calls_.size(); ++i)
        add_events("call " + std::to_string(i + 1), calls_[i], &history);
    const std::string fault = consensus::model::check(history);
    if (!fault.empty()) checks.fail("not_linearizable", fault);
}

void World::carry(Node& n, consensus::Actions& actions) {
    send(n, actions.out);
    for (const auto& job : actions.saves) save(n, job);
    for (const auto& e : actions.epochs) epochs_[n.name][e.duty] = {e.epoch, e.holder};
    note_decided(n);
    for (const auto& answer : actions.answers) take_answer(n.name, answer);
}

void World::note_decided(Node& n) {
    const auto& state = n.keeper->control().decided();
    if (state.revision == n.revision) return;
    checks.decided(now_, n.name, n.life, state);
    n.revision = state.revision;
    if (state.revision > newest_.revision) newest_ = state;
}

namespace {
CallOutcome outcome_of(const consensus::Answer& answer) {
    if (answer.result) return CallOutcome::acknowledged;
    const auto kind = answer.result.error().kind;
    if (kind == pith::Kind::not_found) return CallOutcome::acknowledged;  // nothing stands
    if (kind == pith::Kind::bundle_taken || kind == pith::Kind::bundle_old) return CallOutcome::taken;
    return pith::kind_status(kind) >= 500 ? CallOutcome::unclear : CallOutcome::rejected;
}
}  // namespace

void World::take_answer(const std::string& node, const consensus::Answer& answer) {
    if (answer.op == 0 || answer.op > calls_.size()) return;
    OperatorCall& call = calls_[answer.op - 1];
    call.lost = call.lost || answers_lost_.count(node) != 0;
    if (call.lost) return;
    if (call.end != pith::kNever) {
        checks.fail("answered_twice", "call " + std::to_string(answer.op) + " at " + node);
        return;
    }
    call.end = now_;
    call.outcome = outcome_of(answer);
    call.answer = answer.result ? "ok " + std::to_string(*answer.result)
                                : std::string(pith::kind_text(answer.result.error().kind));
    if (call.outcome != CallOutcome::acknowledged) return;
    const std::uint64_t number = answer.result ? *answer.result : 0;
    call.stands_number = number;
    call.stands_hash = number == 0 ? "" : answer.hash;
    if (call.kind == CallKind::order && number == call.number && answer.hash != call.hash)
        checks.fail("other_content", "order " + std::to_string(number) + " was acknowledged with content " +
                                         answer.hash.substr(0, 8) + ", sent was " + call.hash.substr(0, 8));
    if (call.kind == CallKind::order && number < call.number)
        checks.fail("other_content", "order " + std::to_string(call.number) +
                                         " was acknowledged while only " + std::to_string(number) + " stood");
    if (call.kind == CallKind::order) judge_acknowledged(number, answer.hash);
}

// An acknowledged configuration is on a majority of disks now, and within about 2 s every reachable machine
// acts on it.
void World::judge_acknowledged(std::uint64_t number, const std::string& hash) {
    checks.acked(now_, number, hash);
    for (const auto* voters : {&newest_.voters, &newest_.joining}) {
        if (voters == &newest_.joining && voters->empty()) continue;
        const std::size_t held = copies(*voters, number, hash);
        if (held < voters->size() / 2 + 1)
            checks.fail("ack_early", "number " + std::to_string(number) + " acknowledged with " +
                                         std::to_string(held) + " copies on " +
                                         std::to_string(voters->size()) + " voters");
    }
    later(2 * kSecond + 100 * kMilli, [this, number, since = now_] { look_rolled_out(number, since); });
}

void World::look_rolled_out(std::uint64_t number, Micros since) {
    for (const auto& p : names("proxy")) {
        if (!up(p)) continue;
        const Node& m = *n_[p];
        if (m.core->policy() == nullptr || m.core->policy()->number() >= number) continue;
        if (reachable(p, number, since))
            checks.fail("slow_bundle",
                        p + " does not act on " + std::to_string(number) + " 2 s after it was acknowledged");
    }
}

// Reachable for a bundle that was acknowledged at `since`: up, awake all the time, on links that lose and
// delay nothing beyond their own trip, and linked both ways with at least one control node that is up and
// awake all the time and knows the bundle as decided.
bool World::reachable(const std::string& p, std::uint64_t number, Micros since) {
    const Node& m = *n_[p];
    if (now_ < m.frozen_until || m.frozen_until >= since || loss_ > 0 || extra_ > 0) return false;
    for (const auto& k : names("keeper"))
        if (up(k) && n_[k]->frozen_until < since && cut_.count({k, p}) == 0 && cut_.count({p, k}) == 0 &&
            n_[k]->keeper->control().decided().number >= number)
            return true;
    return false;
}

}  // namespace loom
