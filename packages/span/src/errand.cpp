#include "span/errand.hpp"

#include <algorithm>

namespace span {

using pith::Kind;
using pith::Micros;

namespace {
constexpr Micros kLook = 50 * pith::kMilli;  // between looks for a slot: what peers told fades
constexpr int kMostUnsent = 8;
// A pass not used so long has come back to the pool meanwhile: it is no longer good.
constexpr Micros kPassGood = 100 * pith::kMilli;

// Refusals that another bundle might not give.
bool by_bundle(Kind kind) {
    return kind == Kind::key_unknown || kind == Kind::not_allowed || kind == Kind::no_route ||
           kind == Kind::method_wrong;
}
}  // namespace

void Lobby::refuse(pith::Error why, bool older, Refusal* refusal) const {
    refusal->error = std::move(why);
    if (older && by_bundle(refusal->error.kind))
        refusal->error = {
            Kind::behind,
            "this machine learns of a newer bundle right now, which may allow it: come back shortly"};
    if (pith::kind_returns(refusal->error.kind)) refusal->retry_after = pith::kSecond;
}

void Lobby::enter(Micros now, tide::Id id, bool stopping, Entry* e) {
    e->refusal.try_id = e->head.try_id.substr(0, 128);
    if (stopping) {
        e->refusal.error = {Kind::stopping, "this machine is stopping: send it to another"};
        e->refusal.retry_after = pith::kSecond;
        return;
    }
    const bool older =
        behind(now);  // before the policy is read: it may be a newer one by then, never an older
    const creed::PolicyPtr policy = policy_();
    auto pl = plan(e->head, policy.get(), now, dialect_);
    if (!pl) {
        refuse(pl.error(), older, &e->refusal);
        if (e->refusal.error.kind == Kind::method_wrong)
            e->refusal.allow = policy->methods(e->head.target.substr(0, e->head.target.find('?')));
        return;
    }
    e->plan = *pl;
    // A read may run again: its try need not be remembered where the dialect says nothing of tries seen
    // before.
    if ((dialect_.strict || pl->write) && !tries_.begin(now, pl->customer, pl->try_id)) {
        e->refusal.error = {
            Kind::try_seen,
            "this try id was seen before and may have run: ask for the state, or use a new id"};
        e->refusal.ran_unknown = true;
        return;
    }
    e->planned = true;
    if (pl->retry && !pool_.has_retry(pl->service)) {  // it is charged as it is sent
        e->refusal.error = {Kind::retry_budget,
                            "too many retries to this service: come back after retry_after_ms"};
        e->refusal.retry_after = 2 * pith::kSecond;
        return;
    }
    if (pl->customer.empty()) {  // an open route: no network to wait in
        e->released = true;
        return;
    }
    // A pass that comes with the deadline is of no use: some of the time left is kept for the server
    // (docs/design.md 6.3).
    const Micros keep = std::min<Micros>((pl->deadline - now) / 4, kForServer);
    const auto v = basin_.arrive(now, pl->customer, id, std::min(pl->offer_by, pl->deadline - keep));
    e->released = v.released;
    if (!v.queued && !v.released) {
        e->refusal.error = {Kind::over_allowance,
                            "the customer's allowance is used up: come back after retry_after_ms"};
        e->refusal.retry_after = std::max<Micros>(v.retry_after, pith::kMilli);
        return;
    }
    e->queued = v.queued;
}

bool Lobby::released(Micros now, Entry* e) {
    const bool older = behind(now);
    auto again = plan_again(e->head, policy_().get(), e->plan, now, dialect_);
    if (!again) {
        refuse(again.error(), older, &e->refusal);
        return false;
    }
    // The kind of its route changed meanwhile: what may run once only under either bundle is sent once, and a try
    // that was let in as a read was not remembered as one that may.
    const bool was_write = e->plan.write;
    if (again->write && !was_write) {
        e->refusal.error = {Kind::not_ready, "the route became a write while this waited: send it again"};
        e->refusal.retry_after = pith::kMilli;
        return false;
    }
    e->plan = *again;
    e->plan.write = was_write;
    return true;
}

bool Lobby::allowed(Micros now, Entry* e, Refusal* why) {
    const bool still = released(now, e);
    if (!still) *why = e->refusal;
    return still;
}

void Lobby::not_released(Entry* e) {
    e->refusal.error = {
        Kind::over_allowance,
        "no pass came free in time under the customer's allowance: come back after retry_after_ms"};
    e->refusal.retry_after = basin_.retry_after(e->plan.customer);
}

void Lobby::end(const Entry& e, bool sent) {
    if (e.planned && !sent && (dialect_.strict || e.plan.write))
        tries_.not_run(e.plan.customer, e.plan.try_id);
}

Refusal refusal_of_one_that_left(const std::string& try_id) {
    Refusal refusal;
    refusal.try_id = try_id;
    refusal.error = {Kind::caller_left, "its caller left before it was answered"};
    return refusal;
}

Do Errand::refuse(Kind k, const char* why, Micros retry_after) {
    Refusal r;
    r.error = {k, why};
    r.retry_after = retry_after;
    return no_pass(r);
}

void Errand::give_back(Micros now, Outcome o) {
    pool_.done(now, slot_, o, now - t0_);
    if (slot_free) slot_free(p_.service);
}

Do Errand::no_pass(const Refusal& r) {
    if (held_) return Do::answer;
    refusal_ = ran_ ? last_ : r;  // what may have run: nothing later makes that untrue
    refusal_.try_id = p_.try_id;
    return Do::refuse;
}

Micros Errand::wait_until(Micros now) const {
    return std::min(now + kLook, std::max(now + pith::kMilli, ran_ ? p_.deadline : offer_by()));
}

Do Errand::again(Micros now) {
    if (given_up_) return refuse(Kind::stopping, "this machine is stopping: send it to another");
    if (caller_left_) return no_pass(refusal_of_one_that_left(p_.try_id));
    if (now >= p_.deadline && sends_ > 0) return no_pass(last_);
    if (now >= p_.deadline)
        return refuse(Kind::late, "the deadline passed before a server was free: come back shortly");
    if (sends_ > 0 && !pool_.has_retry(p_.service)) return no_credit(now);
    bool known = false;
    const Micros within = std::min(p_.timeout, p_.deadline - now);
    auto got = pool_.pick(now, p_.service, not_these_, &known, within);
    if (!got && known && !not_these_.empty() && !held_) {
        not_these_.clear();  // all others are busy or out: one that failed is better than none
        got = pool_.pick(now, p_.service, not_these_, &known, within);
    }
    if (got) {
        slot_ = *got;
        t0_ = now;
        if (now - pass_at_ > kPassGood) {
            if (!draw_()) {
                give_back(now, Outcome::unused);
                return Do::pass;
            }
            pass_at_ = now;
        }
        return Do::open;
    }
    if (held_) return Do::answer;
    if (!known)
        return refuse(Kind::no_server, "no server of this service is known to serve: come back shortly");
    if (sends_ > 0 && !ran_ && now >= offer_by()) return no_pass(last_);
    if (sends_ == 0 && now >= offer_by())
        return refuse(Kind::crowded, "all servers of this service are busy: come back after retry_after_ms",
                      std::clamp(2 * pool_.service_time(p_.service), 100 * pith::kMilli, pith::kSecond));
    return Do::wait;
}

bool Errand::opened(Micros now, bool had, std::uint8_t verdict, Do* otherwise) {
    // The server may have begun to leave, or a freeze may have eaten the deadline, while the session was
    // opened.
    if (caller_left_) {
        give_back(now, Outcome::unused);
        *otherwise = again(now);
        return false;
    }
    const bool stands = had && !given_up_ && pool_.stands(slot_);
    Refusal no;
    if (stands && allowed && !allowed(&no)) {
        give_back(now, Outcome::unused);
        *otherwise = no_pass(no);
        return false;
    }
    if (stands && now < p_.deadline) {
        // The budget is charged with the send itself, so that it holds over any time at the servers.
        if ((sends_ > 0 || p_.retry) && !pool_.take_retry(p_.service)) {
            give_back(now, Outcome::unused);
            *otherwise = sends_ > 0
                             ? no_credit(now)
                             : refuse(Kind::retry_budget,
                                      "too many retries to this service: come back after retry_after_ms",
                                      2 * pith::kSecond);
            return false;
        }
        if (sends_ == 0 && !p_.retry) pool_.first_visit(p_.service);
        until_ = std::min(p_.deadline, now + p_.timeout);
        ++sends_;
        sent_ = true;
        return true;
    }
    give_back(now, !had && verdict == 1 ? Outcome::unproven : Outcome::unused);
    not_these_.push_back(slot_.address);
    if (now >= p_.deadline && sends_ > 0)
        *otherwise = no_pass(last_);
    else if (now >= p_.deadline)
        *otherwise =
            refuse(Kind::late, "the deadline passed before a server could be reached: come back shortly");
    else if (++unsent_ >= kMostUnsent)
        *otherwise = refuse(Kind::no_server, "no server of this service could be reached: come back shortly");
    else
        *otherwise = again(now);
    return false;
}

// What was not run may wait until others' first sends have earned one; what may have run is told at once.
Do Errand::no_credit(Micros now) { return !ran_ && now < offer_by() ? Do::wait : no_pass(last_); }

// Another server, within the tries, the time and the budget; else what was learnt so far.
Do Errand::elsewhere(Micros now) {
    if (given_up_ || caller_left_ || sends_ >= p_.tries || now >= p_.deadline) return no_pass(last_);
    not_these_.push_back(slot_.address);
    pass_at_ = -pith::kNever;  // each send needs a pass of its own
    return again(now);
}

Do Errand::exchanged(Micros now, Step s, int status) {
    if (s == Step::answered) {
        ran_ = true;
        give_back(now, status >= 500 ? Outcome::failed : Outcome::well);
        held_ = false;
        if (status < 500 || p_.write) return Do::answer;
        // A read that failed there may go well elsewhere, if a server is free now; else its answer is passed
        // on.
        held_ = true;
        return elsewhere(now);
    }
    if (s == Step::shed || s == Step::misdirected) {
        give_back(now, s == Step::shed ? Outcome::shed : Outcome::misdirected);
        sent_ = ran_;
        if (!ran_) {
            const bool full = s == Step::shed;
            last_.error = {full ? Kind::crowded : Kind::no_server,
                           full ? "the servers of this service are full: come back after retry_after_ms"
                                : "no server of this service is where the listing says: come back shortly"};
            last_.retry_after =
                full ? std::clamp(2 * pool_.service_time(p_.service), 100 * pith::kMilli, pith::kSecond)
                     : pith::kSecond;
        }
        return elsewhere(now);
    }
    if (s == Step::abandoned) {  // our own doing: no word about the server
        give_back(now, Outcome::unused);
        ran_ = true;
        last_ = refusal_of_one_that_left(p_.try_id);
        last_.ran_unknown = true;
        return no_pass(last_);
    }
    give_back(now, s == Step::unsent ? Outcome::unused : s == Step::late ? Outcome::slow : Outcome::lost);
    if (s == Step::unsent) {
        sent_ = ran_;
        return refuse(Kind::late, "the deadline passed before it was sent: come back with a longer one");
    }
    ran_ = true;
    last_.ran_unknown = true;
    last_.retry_after = pith::kSecond;
    if (s == Step::late)
        last_.error = {
            Kind::answer_late,
            "the server did not answer in time and may have done it: ask for its state before a new try"};
    else if (s == Step::garbled)
        last_.error = {
            Kind::answer_garbled,
            "the server's answer was not whole and it may have done it: ask for its state before a new try"};
    else
        last_.error = {
            Kind::answer_lost,
            "the server's answer was lost and it may have done it: ask for its state before a new try"};
    // A write is sent once. A read may go to another server, within the budget.
    if (p_.write && rules.write_once) return no_pass(last_);
    return elsewhere(now);
}

}  // namespace span
