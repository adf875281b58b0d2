#pragma once
// The decisions about a visit, apart from all sockets: letting it in, and carrying its plan out at servers
// (docs/design.md 7.1, 7.4). Worker and Relay drive them for real, loom in virtual time.
#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "span/plan.hpp"
#include "span/pool.hpp"
#include "span/tries.hpp"
#include "tide/basin.hpp"

namespace span {

// One visit on its way in.
struct Entry {
    Head head;
    Plan plan;
    Refusal refusal;
    bool planned = false;   // the try id is noted
    bool queued = false;    // it stands in S
    bool released = false;  // a pass was there, or none is needed: it goes at once
};

class Lobby {
  public:
    // `behind`: a higher bundle than `policy` gives is known to stand (ProxyCore::behind). Then nothing is
    // refused by the older one (docs/control.md, "Serving").
    Lobby(tide::Basin& b, Pool& p, Tries& t, std::function<creed::PolicyPtr()> policy,
          const Dialect& d = own_dialect(), std::function<bool(pith::Micros)> behind = nullptr)
        : basin_(b),
          pool_(p),
          tries_(t),
          policy_(std::move(policy)),
          dialect_(d),
          behind_(std::move(behind)) {}
    // Plans it and puts it in the queue under `id`, or tells why not.
    void enter(pith::Micros now, tide::Id id, bool stopping, Entry* e);
    // Its pass came: the newest policy and the clock decide once more. False: turned away.
    bool released(pith::Micros now, Entry* e);
    // The same before a hand-over, for Errand::allowed.
    bool allowed(pith::Micros now, Entry* e, Refusal* why);
    // No pass came in time, or its caller went.
    void not_released(Entry* e);
    // The end: what was never sent may come again under the same id.
    void end(const Entry& e, bool sent);

  private:
    bool behind(pith::Micros now) const { return behind_ && behind_(now); }
    void refuse(pith::Error why, bool older,
                Refusal* refusal) const;  // older: than one that is known to stand

    tide::Basin& basin_;
    Pool& pool_;
    Tries& tries_;
    std::function<creed::PolicyPtr()> policy_;
    const Dialect& dialect_;
    std::function<bool(pith::Micros)> behind_;
};

// Of a visit's time, kept for the server.
constexpr pith::Micros kForServer = 300 * pith::kMilli;

// What came of an exchange. shed: the server was full; misdirected: another instance is there (421); both say
// that nothing was run. abandoned: a read was broken off here, since its caller had left.
enum class Step { answered, unsent, lost, late, garbled, shed, misdirected, abandoned };

// What keeps an answer with its caller and a write from running twice (docs/requests.md). All of it holds in the
// product; a test switches one off to show that its absence is noticed.
struct RequestRules {
    // A write that may have run is not sent again.
    bool write_once = true;
    // A request whose caller went away before it was sent is not sent.
    bool send_needs_caller = true;
    // A caller's connection is read ahead while its request is under way.
    bool watch_caller = true;
    // An answer that names another try is no answer to this one.
    bool match_try_id = true;
    // "Not run" without a try id counts for a write only as the first answer of its connection.
    bool named_or_first = true;
    // A server that names no tries gets one request for each connection.
    bool reuse_only_echoing = true;
    // A connection that carried more than the answer is not used again.
    bool close_after_surplus = true;
    // Nor one that was closed, or on which something lies, before the request is sent.
    bool look_before_send = true;
    // Nor one whose answer was not taken as it stood.
    bool close_after_doubt = true;
    // A try goes over a connection once: a copy of its first answer says nothing of its second send.
    bool one_send_of_a_try = true;
    // 1xx is no answer.
    bool skip_interim = true;
    // An answer that only ends with its connection may have been cut.
    bool need_length = true;
    // 408, 421, 429 and 503 promise something only with the server's mark.
    bool need_mark = true;
};
// open: a session, then the exchange; wait: for a slot; pass: for a new pass, then passed() or no_pass().
enum class Do { wait, open, pass, answer, refuse };

// What is noted of a request whose caller has left; nobody reads it.
Refusal refusal_of_one_that_left(const std::string& try_id);

class Errand {
  public:
    // `draw` takes one more pass where the customer has one free (docs/design.md 6.3).
    Errand(const Plan& p, Pool& pool, std::function<bool()> draw)
        : p_(p), pool_(pool), draw_(std::move(draw)) {}
    Do start(pith::Micros now) {
        pass_at_ = now;
        return again(now);
    }
    Do passed(pith::Micros now) { return start(now); }
    Do no_pass(const Refusal& r);
    pith::Micros pass_until() const { return p_.deadline - std::min<pith::Micros>(p_.timeout, kForServer); }
    Do again(pith::Micros now);  // after wait
    // A session was had (or not; verdict as of Relay::open). True: send now, by `until`.
    bool opened(pith::Micros now, bool had, std::uint8_t verdict, Do* otherwise);
    Do exchanged(pith::Micros now, Step s, int status);

    // The machine stops: what is not sent yet is refused, and nothing is sent again.
    void give_up() { given_up_ = true; }
    // Nothing is sent any more; a write that was sent is waited for.
    void caller_left() { caller_left_ = true; }
    const std::string& try_id() const { return p_.try_id; }

    const Slot& slot() const { return slot_; }
    pith::Micros until() const { return until_; }
    pith::Micros open_until() const { return std::min(p_.deadline, t0_ + p_.timeout); }
    const Refusal& refusal() const { return refusal_; }
    // Until when to wait for a slot at most; then again().
    pith::Micros wait_until(pith::Micros now) const;
    bool sent() const { return sent_; }  // it may have run
    int sends() const { return sends_; }
    // Asked before each hand-over: does the newest policy still allow it? A key may be revoked meanwhile.
    std::function<bool(Refusal*)> allowed;
    RequestRules rules;
    std::function<void(const std::string& service)> slot_free;  // someone in line may go

  private:
    Do refuse(pith::Kind k, const char* why, pith::Micros retry_after = pith::kSecond);
    Do elsewhere(pith::Micros now);
    Do no_credit(pith::Micros now);
    pith::Micros offer_by() const {
        return p_.offer_by > 0 ? std::min(p_.offer_by, p_.deadline) : p_.deadline;
    }
    void give_back(pith::Micros now, Outcome o);

    Plan p_;
    Pool& pool_;
    std::function<bool()> draw_;
    std::vector<std::string> not_these_;
    Slot slot_;
    Refusal refusal_, last_;
    pith::Micros until_ = 0, t0_ = 0, pass_at_ = -pith::kNever;
    bool sent_ = false, given_up_ = false, caller_left_ = false;
    bool ran_ = false;   // an earlier send may have run
    bool held_ = false;  // a server's 5xx, passed on where no other server is to be had
    int sends_ = 0, unsent_ = 0;
};

}  // namespace span
