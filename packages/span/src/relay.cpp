#include "span/relay.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/json.hpp>

#include "pith/log.hpp"
#include "span/wide_socket.hpp"
#include "weft/desk.hpp"

namespace span {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::iequals;
using pith::Kind;
using pith::Micros;

namespace {

constexpr std::size_t kMaxAnswer = 4 * 1024 * 1024;
constexpr Micros kRoomAgain = 10 * pith::kMilli;  // between looks for it
constexpr std::size_t kKeepSessions = 4;  // idle ones to one server, of one worker
constexpr Micros kIdleFor = 20 * pith::kSecond;
constexpr Micros kProveIn = 1500 * pith::kMilli;
constexpr Micros kOldListing = 1500 * pith::kMilli;  // of the 2 s in which a leaving server is to be left alone
constexpr int kLowestStatus = 100;  // RFC 9110 15; the parser takes any three digits
constexpr int kMostAnswers = 8;  // read for one request: interim ones, late ones to other requests, its own

std::chrono::steady_clock::time_point at(Micros t) {
    return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

bool broken_off(const boost::system::error_code& ec) {
    return ec == http::error::end_of_stream || ec == http::error::partial_message ||
           ec == asio::error::connection_reset || ec == asio::error::eof || ec == asio::error::broken_pipe ||
           ec == asio::error::operation_aborted;
}

void give(Session& s, Micros until) { s.stream.expires_at(at(until)); }

std::vector<std::string> connection_names(const http::fields& f) {
    std::vector<std::string> v;
    for (auto i = f.begin(); i != f.end(); ++i) {
        if (i->name() != http::field::connection) continue;
        for (const auto& t : http::token_list(i->value())) v.emplace_back(t);
    }
    return v;
}

template <class From, class To>
void copy_fields(const From& from, To* to) {
    const auto named = connection_names(from);
    for (const auto& f : from) {
        if (hop_by_hop(f.name_string()) || f.name() == http::field::content_length) continue;
        if (std::any_of(named.begin(), named.end(),
                        [&f](const std::string& n) { return iequals(n, f.name_string()); }))
            continue;
        to->insert(f.name_string(), f.value());
    }
}

}  // namespace

bool hop_by_hop(beast::string_view n) {
    for (const char* h : {"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
                          "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"})
        if (iequals(n, h)) return true;
    return false;
}

// Neither closed by the server nor with anything unread on it: bytes that lie there before a request is sent
// belong to none.
bool Relay::quiet(Session& s) const {
    if (!rules.look_before_send) return true;
    char c;
    const auto n = ::recv(s.stream.socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && s.buf.size() == 0;
}

std::unique_ptr<Session> Relay::idle(const Slot& s, const std::string& try_id) {
    auto i = idle_.find(key(s));
    if (i == idle_.end()) return {};
    const Micros now = pith::mono_now();
    while (!i->second.empty()) {
        auto x = std::move(i->second.back());
        i->second.pop_back();
        --idle_sessions_;
        const bool sent_before = rules.one_send_of_a_try && x->last_try == try_id;
        if (!sent_before && now - x->idle_since < x->idle_for && quiet(*x)) return x;
    }
    return {};
}

// The server must name the service and instance that we mean, on this very session (docs/design.md 7.6).
bool Relay::open(Session& x, const Slot& s, Micros until, std::uint8_t* verdict, asio::yield_context y) {
    *verdict = 1;
    boost::system::error_code ec;
    until = std::min(until, pith::mono_now() + kProveIn);
    give(x, until);
    ++hall_.tolls.opened;
    const auto server = weft::endpoint(s.address);
    x.stream.socket().open(server.protocol(), ec);
    if (!ec) weft::bound_socket_buffers(x.stream.socket());
    x.stream.async_connect(server, y[ec]);
    if (ec) return false;
    x.stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    x.idle_for = kIdleFor;
    if (!hall_.dialect.expect.empty()) {  // each request says whom it expects: nothing to prove
        *verdict = 0;
        x.echoes = hall_.dialect.echoes;
        return true;
    }
    http::request<http::empty_body> q{http::verb::get, "/.marble/identity", 11};
    q.set(http::field::host, s.address);
    give(x, until);
    http::async_write(x.stream, q, y[ec]);
    if (ec) return false;
    http::response_parser<http::string_body> p;
    p.body_limit(4096);
    http::async_read(x.stream, x.buf, p, y[ec]);
    ++hall_.tolls.proofs;
    bool ok = !ec && p.get().result() == http::status::ok && p.get().keep_alive() && quiet(x);
    if (ok) {
        const auto v = boost::json::parse(p.get().body(), ec);
        const auto* o = ec ? nullptr : v.if_object();
        auto is = [o](const char* k, const std::string& w) {
            const auto* e = o == nullptr ? nullptr : o->if_contains(k);
            return e != nullptr && e->is_string() && e->get_string() == w;
        };
        ok = is("service", s.service) && is("instance", s.instance);
        const auto* e = ok ? o->if_contains("echo") : nullptr;
        x.echoes = e != nullptr && e->is_bool() && e->get_bool();
        const auto* l = ok ? o->if_contains("leaving") : nullptr;
        if (l != nullptr && l->is_bool() && l->get_bool()) {
            *verdict = 2;
            hall_.pool.leaving(s.address, s.instance);
            return false;
        }
    }
    if (!ok) {
        ++hall_.tolls.proof_failed;
        return false;
    }
    *verdict = 0;
    return true;
}

// A kept session, or a fresh one; none where there is none to be had, or the caller left meanwhile.
std::unique_ptr<Session> Relay::session(const Slot& s, const Errand& errand, CallerPresence& caller,
                                        std::uint8_t* verdict, asio::yield_context y) {
    auto kept = idle(s, errand.try_id());
    if (kept) {
        ++hall_.tolls.reused;
        return kept;
    }
    auto fresh = std::make_unique<Session>(io_);
    const CallerPresence::Step step(caller, CallerStep::connect, [&fresh] { fresh->stream.cancel(); });
    if (!open(*fresh, s, errand.open_until(), verdict, y)) fresh.reset();
    return fresh;
}

// The client's request as this server is to see it: the key stays here, the customer's name goes in its
// place.
void Relay::fill(const Plan& p, const Slot& slot, const Visit& v, const RestOfBody* rest, Micros left,
                 Outbound* q) const {
    const Dialect& d = hall_.dialect;
    q->method_string(v.method_string());
    q->target(v.target());
    q->version(11);
    copy_fields(v, q);
    q->erase(d.key);
    q->erase(d.customer);
    if (!p.customer.empty()) q->set(d.customer, p.customer);
    q->set(d.try_id, p.try_id);
    q->set(d.deadline, std::to_string(left / pith::kMilli));
    if (!d.expect.empty()) q->set(d.expect, slot.instance);
    const bool has_body =
        !v.body().empty() || v.method() == http::verb::post || v.method() == http::verb::put;
    if (rest == nullptr) {
        if (has_body) q->content_length(v.body().size());
    } else if (const auto length = rest->length()) {
        q->content_length(*length);
    } else {
        q->chunked(true);
    }
}

// The bytes that stand in the request's body now; they are only read.
namespace {
void put_body(const Visit& v, bool more, http::buffer_body::value_type* body) {
    body->data = v.body().empty() ? nullptr : const_cast<char*>(v.body().text().data());
    body->size = v.body().size();
    body->more = more;
}
}  // namespace

// False: the caller did not send the rest.
bool Relay::send(const CallerSide& caller, Session& s, const Visit& v, Outbound& q, Micros until,
                 boost::system::error_code& ec, asio::yield_context y) const {
    http::request_serializer<http::buffer_body> serializer(q);
    boost::optional<WideSocket> wide;
    if (caller.rest != nullptr || v.body().size() > kShortBody)
        wide.emplace(s.stream.socket(), caller.memory, Wide::send);
    put_body(v, caller.rest != nullptr, &q.body());
    for (;;) {
        http::async_write(s.stream, serializer, y[ec]);
        if (ec == http::error::need_buffer) ec = {};
        if (ec || !q.body().more) return true;
        const auto next = caller.rest->read(until, y);
        if (next == RestOfBody::Next::gone) return false;
        put_body(v, next == RestOfBody::Next::more, &q.body());
    }
}

Step Relay::exchange(const CallerSide& caller, Session& s, const Plan& p, const Slot& slot, const Visit& v,
                     Micros until, Reply* r, bool* keep, asio::yield_context y) {
    *keep = false;
    const Micros left = until - pith::mono_now();
    if (left <= 0) return Step::unsent;
    Outbound q;
    fill(p, slot, v, caller.rest, left, &q);
    boost::system::error_code ec;
    give(s, until);
    if (p.write) hall_.tries.sent(p.customer, p.try_id);  // before its first byte is handed over
    Sent sent{p, caller.memory, until, false, s.sends == 0};
    ++s.sends;
    s.last_try = p.try_id;
    ++hall_.tolls.sends;
    if (!send(caller, s, v, q, until, ec, y)) {
        caller.presence.leave();
        return Step::abandoned;
    }
    if (ec == beast::error::timeout) return Step::late;
    if (ec == asio::error::operation_aborted) return Step::lost;  // given up
    sent.whole = !ec;  // else the server may still have said something before it closed
    return read_answer(s, sent, r, keep, y);
}

// Reads until the answer to this very request is there, whole.
Step Relay::read_answer(Session& s, const Sent& sent, Reply* r, bool* keep, asio::yield_context y) {
    const bool head_only = sent.plan.head_only;
    bool surplus = false;
    for (int i = 0; i < kMostAnswers; ++i) {
        boost::system::error_code ec;
        http::response_parser<budget::CountedBody> rp;
        rp.body_limit(kMaxAnswer);
        rp.skip(head_only);
        read_one(s, sent, rp, ec, y);
        if (ec == beast::error::timeout) return Step::late;
        if (ec == budget::no_room()) return given_up_ ? Step::lost : Step::late;
        if (ec) return broken_off(ec) || !sent.whole ? Step::lost : Step::garbled;
        const int st = rp.get().result_int();
        if (st < kLowestStatus || st == 101) return Step::garbled;
        if (st >= 100 && st < 200 && rules.skip_interim) continue;
        // An answer whose end is only the session's end can't be told from a cut one.
        const bool bodyless = head_only || st == 204 || st == 304;
        const bool framed = bodyless || rp.chunked() || rp.content_length();
        if (!framed && rules.need_length) return Step::garbled;
        const bool lasting = rp.keep_alive();
        Reply in = rp.release();
        const Owner o = owner(in, s, sent);
        if (o == Owner::another_try) {
            surplus = true;  // to an earlier request, come late: ours is still to come (docs/design.md 7.6)
            continue;
        }
        if (o == Owner::unclear) return sent.whole ? Step::garbled : Step::lost;
        idle_time(in, &s);
        const Step step = judge(in);
        const bool clean = (s.buf.size() == 0 && !surplus) || !rules.close_after_surplus;
        const bool sure = step == Step::answered || step == Step::shed || !rules.close_after_doubt;
        const bool leaves = !hall_.dialect.leaving.empty() && in.find(hall_.dialect.leaving) != in.end();
        const bool named_always = s.echoes || !rules.reuse_only_echoing;
        *keep = lasting && sent.whole && clean && sure && !leaves && named_always && !s.wide;
        if (step == Step::answered) hand_over(std::move(in), bodyless, head_only, r);
        return step;
    }
    return Step::garbled;
}

// One message. Where it is long its room is taken before it is read: until there is some, it waits at the server.
void Relay::read_one(Session& s, const Sent& sent, http::response_parser<budget::CountedBody>& parser,
                     boost::system::error_code& ec, asio::yield_context y) {
    parser.get().body().counted_by(&sent.memory);
    const bool head_first = sent.memory.pressed();
    parser.eager(!head_first);
    bool room = false;
    boost::optional<WideSocket> wide;
    while (!ec && !parser.is_done()) {
        http::async_read_some(s.stream, s.buf, parser, y[ec]);
        if (ec || parser.is_done() || room || !parser.is_header_done()) continue;
        parser.eager(true);
        const auto length = parser.content_length();
        const bool is_long = length ? *length > kShortBody : head_first;
        if (!is_long && parser.get().body().size() <= kShortBody) continue;
        room = room_for(parser, sent, y);
        if (room)
            wide.emplace(s.stream.socket(), sent.memory, Wide::receive);
        else
            ec = budget::no_room();
    }
    s.wide = s.wide || (wide && *wide);
}

bool Relay::room_for(http::response_parser<budget::CountedBody>& parser, const Sent& sent,
                     asio::yield_context y) {
    const auto said = parser.content_length();
    const std::size_t length =
        said ? static_cast<std::size_t>(*said) : std::min(kMaxAnswer, sent.memory.room() / 2);
    while (!parser.get().body().reserve(length)) {
        const Micros now = pith::mono_now();
        if (now >= sent.until || given_up_) return false;
        asio::steady_timer timer(io_, std::chrono::microseconds(std::min(kRoomAgain, sent.until - now)));
        boost::system::error_code ec;
        timer.async_wait(y[ec]);
    }
    return true;
}

bool Relay::says_not_run(const Reply& in) const {
    const std::string& mark = hall_.dialect.not_run;
    return !mark.empty() && in.find(mark) != in.end();
}

bool Relay::misdirected(const Reply& in) const {
    return !hall_.dialect.expect.empty() && in.result_int() == 421;
}

// Whose answer it is, by the try that it names (docs/requests.md).
Relay::Owner Relay::owner(const Reply& in, const Session& s, const Sent& sent) const {
    const Dialect& d = hall_.dialect;
    const auto named = in.equal_range(d.try_id);
    if (named.first == named.second) {
        if (!sent.whole) return Owner::unclear;
        if (!s.echoes) return Owner::ours;
        if (!says_not_run(in) && !misdirected(in)) return Owner::unclear;
        // It may belong to an earlier request. That costs a read another send, but would let a write run
        // twice.
        return sent.first || !sent.plan.write || !rules.named_or_first ? Owner::ours : Owner::unclear;
    }
    if (!rules.match_try_id) return Owner::ours;
    if (std::next(named.first) != named.second) return Owner::unclear;  // two names are none
    if (named.first->value() == sent.plan.try_id) return Owner::ours;
    return d.expect.empty() ? Owner::unclear : Owner::another_try;
}

// What our server's answer says of the request.
Step Relay::judge(const Reply& in) const {
    const Dialect& d = hall_.dialect;
    if (misdirected(in)) return Step::misdirected;
    if (says_not_run(in)) return Step::shed;
    // A promise that only we could give, from one that did not give it (docs/design.md 7.4).
    const int st = in.result_int();
    const bool promise = st == 408 || st == 421 || st == 429 || st == 503;
    if (!d.not_run.empty() && promise && rules.need_mark) return Step::lost;
    if (st < 300 && !d.seal.empty() && in.find(d.seal) == in.end()) return Step::garbled;
    if (!d.strict && in.find(http::field::content_encoding) != in.end()) return Step::garbled;
    return Step::answered;
}

void Relay::hand_over(Reply in, bool bodyless, bool head_only, Reply* out) const {
    *out = Reply{};
    out->version(11);
    out->result(in.result_int());  // result() is 0 for a status that the library has no name for
    out->reason(in.reason());
    copy_fields(in, out);
    out->body() = std::move(in.body());
    const auto length = in.find(http::field::content_length);
    if (!bodyless)
        out->content_length(out->body().size());
    else if (head_only && length != in.end())
        out->set(http::field::content_length, length->value());
}

// Keep-Alive: timeout=5 tells how long the server leaves an idle session open; we let it go a second earlier.
void Relay::idle_time(const Reply& in, Session* s) {
    const auto k = in.find(http::field::keep_alive);
    if (k == in.end()) return;
    const std::string w(k->value());
    const auto at = w.find("timeout=");
    if (at == std::string::npos) return;
    constexpr std::size_t kMostDigits = 6;
    const std::size_t from = at + std::string("timeout=").size();
    const std::string digits = w.substr(from, w.find_first_not_of("0123456789", from) - from);
    if (digits.empty() || digits.size() > kMostDigits) return;
    const Micros t = std::stoi(digits) * pith::kSecond;
    s->idle_for = std::min(kIdleFor, std::max<Micros>(0, t - pith::kSecond));
}

void Relay::wait_in_line(const Plan& p, Micros until, CallerPresence& caller, asio::yield_context y) {
    auto w = std::make_shared<Waiter>(io_);
    const CallerPresence::Step step(caller, CallerStep::line, [&w] { w->wake(Waiter::gone); });
    // Also looked at now and then: an ejected server may return without a slot being freed.
    hall_.stand_in_line(p.service, w);
    w->timer.expires_at(at(until));
    boost::system::error_code ec;
    w->timer.async_wait(y[ec]);
}

// A read ends with its caller; a write that was begun goes on, since breaking it off would leave it half done.
Step Relay::exchange_for(const CallerSide& caller, Session& s, const Plan& p, const Slot& slot, const Visit& v,
                         Micros until, Reply* r, bool* keep, asio::yield_context y) {
    std::function<void()> break_off;
    if (!p.write) break_off = [&s] { s.stream.cancel(); };
    const CallerPresence::Step step(caller.presence, CallerStep::answer, std::move(break_off));
    busy_.insert(&s);
    const Step ended = exchange(caller, s, p, slot, v, until, r, keep, y);
    busy_.erase(&s);
    const bool broken_off_here = ended == Step::lost && !p.write && caller.presence.left();
    return broken_off_here ? Step::abandoned : ended;
}

// What happened while the request waited.
void Relay::heed(Errand* errand, const CallerPresence& caller) const {
    if (given_up_) errand->give_up();
    if (caller.left()) errand->caller_left();
}

void Relay::carry(const Plan& p, const Visit& v, const CallerSide& caller, const More& more, const Allowed& allowed,
                  Carried* c, asio::yield_context y) {
    Errand e(p, hall_.pool,
             [this, &p] { return p.customer.empty() || hall_.basin.draw(pith::mono_now(), p.customer); });
    e.allowed = allowed;
    e.rules = rules;
    e.slot_free = [this](const std::string& s) { hall_.slot_free(s); };
    const Micros began = pith::mono_now();
    heed(&e, caller.presence);
    Do d = e.start(began);
    while (d != Do::answer && d != Do::refuse) {
        if (d == Do::wait) {
            wait_in_line(p, e.wait_until(pith::mono_now()), caller.presence, y);
            heed(&e, caller.presence);
            d = e.again(pith::mono_now());
            continue;
        }
        if (d == Do::pass) {
            Refusal r;
            const bool came = more(e.pass_until(), &r);
            heed(&e, caller.presence);
            d = came ? e.passed(pith::mono_now()) : e.no_pass(r);
            continue;
        }
        const Slot s = e.slot();
        c->trace.server = s.address;
        c->trace.instance = s.instance;
        std::uint8_t verdict = 0;
        auto x = session(s, e, caller.presence, &verdict, y);
        heed(&e, caller.presence);
        if (!e.opened(pith::mono_now(), x != nullptr, verdict, &d)) {
            if (x) keep(s, std::move(x));  // unused, and still sound
            continue;
        }
        if (e.sends() > 1) ++hall_.tolls.own_retries;
        note_listing_age(s);
        bool sound = false;
        const Step st = exchange_for(caller, *x, p, s, v, e.until(), &c->reply, &sound, y);
        heed(&e, caller.presence);
        if (sound) keep(s, std::move(x));
        if (st == Step::answered) {
            const std::string& lv = hall_.dialect.leaving;
            if (!lv.empty() && c->reply.find(lv) != c->reply.end()) hall_.pool.leaving(s.address, s.instance);
            if (!lv.empty()) c->reply.erase(lv);
        }
        d = e.exchanged(pith::mono_now(), st, c->reply.result_int());
    }
    c->answered = d == Do::answer;
    if (!c->answered) c->refusal = e.refusal();
    c->sent = e.sent();
    c->trace.sends = e.sends();
    c->trace.took = pith::mono_now() - began;
}

// What is sent by old knowledge may reach a server that the platform shows as leaving: it is counted and told.
void Relay::note_listing_age(const Slot& server) {
    const Micros age = pith::mono_now() - hall_.servers_known_at;
    if (age < kOldListing || hall_.servers_known_at < 0) return;
    ++hall_.tolls.sends_on_old_listing;
    std::uint64_t held = 0;
    if (!old_listing_seldom_.pass(pith::mono_now(), &held)) return;
    pith::log_event(pith::Level::warn, "sent_on_old_listing",
                    {{"age_ms", age / pith::kMilli},
                     {"server", server.address},
                     {"instance", server.instance},
                     {"epoch", hall_.pool.epoch()},
                     {"version", hall_.pool.version()},
                     {"held", held}});
}

void Relay::give_up() {
    given_up_ = true;
    for (auto* x : busy_) x->stream.cancel();
}

void Relay::keep(const Slot& s, std::unique_ptr<Session> x) {
    auto& q = idle_[key(s)];
    x->idle_since = pith::mono_now();
    x->stream.expires_never();
    const std::size_t most = hall_.limits->idle_servers / hall_.threads;
    if (q.size() >= kKeepSessions || idle_sessions_ >= most) return;
    q.push_back(std::move(x));
    ++idle_sessions_;
}

std::uint8_t Relay::probe(const weft::ServerRec& r, asio::yield_context y) {
    std::uint8_t v = 1;
    ++hall_.tolls.probes;
    const Slot slot{r.address, r.service, r.instance};
    auto x = std::make_unique<Session>(io_);
    if (open(*x, slot, pith::mono_now() + kProveIn, &v, y)) keep(slot, std::move(x));  // proven: fit for visits
    return v;
}

void Relay::sweep(Micros now) {
    for (auto i = idle_.begin(); i != idle_.end();) {
        const std::string& k = i->first;
        const auto a = k.find(' '), b = k.find(' ', a + 1);  // only a service may hold one
        const bool stands =
            hall_.pool.stands(Slot{k.substr(0, a), k.substr(b + 1), k.substr(a + 1, b - a - 1)});
        auto& q = i->second;
        while (!q.empty() && (!stands || now - q.front()->idle_since >= q.front()->idle_for)) {
            q.pop_front();
            --idle_sessions_;
        }
        i = q.empty() ? idle_.erase(i) : std::next(i);
    }
}

}  // namespace span
