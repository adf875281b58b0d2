#include "span/relay.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/json.hpp>

#include "weft/desk.hpp"

namespace span {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::iequals;
using pith::Kind;
using pith::Micros;

namespace {

constexpr std::size_t kMaxAnswer = 4 * 1024 * 1024;
constexpr std::size_t kKeepSessions = 4;  // idle ones to one server, of one worker
constexpr Micros kIdleFor = 20 * pith::kSecond;
constexpr Micros kProveIn = 1500 * pith::kMilli;

std::chrono::steady_clock::time_point at(Micros t) {
    return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
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

// A session that the server closed, or on which something lies unread, is not used again.
std::unique_ptr<Session> Relay::idle(const Slot& s) {
    auto i = idle_.find(key(s));
    if (i == idle_.end()) return {};
    const Micros now = pith::mono_now();
    while (!i->second.empty()) {
        auto x = std::move(i->second.back());
        i->second.pop_back();
        char c;
        const auto n = ::recv(x->stream.socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool quiet = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (quiet && x->buf.size() == 0 && now - x->idle_since < kIdleFor) return x;
    }
    return {};
}

// The server must name the service and instance that we mean, on this very session (docs/design.md 7.6).
std::unique_ptr<Session> Relay::open(const Slot& s, Micros until, std::uint8_t* verdict,
                                     asio::yield_context y) {
    *verdict = 1;
    auto x = std::make_unique<Session>(io_);
    boost::system::error_code ec;
    until = std::min(until, pith::mono_now() + kProveIn);
    give(*x, until);
    ++hall_.tolls.opened;
    x->stream.async_connect(weft::endpoint(s.address), y[ec]);
    if (ec) return {};
    x->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
    http::request<http::empty_body> q{http::verb::get, "/.marble/identity", 11};
    q.set(http::field::host, s.address);
    give(*x, until);
    http::async_write(x->stream, q, y[ec]);
    if (ec) return {};
    http::response_parser<http::string_body> p;
    p.body_limit(4096);
    http::async_read(x->stream, x->buf, p, y[ec]);
    ++hall_.tolls.proofs;
    bool ok = !ec && p.get().result() == http::status::ok && p.get().keep_alive() && x->buf.size() == 0;
    if (ok) {
        const auto v = boost::json::parse(p.get().body(), ec);
        const auto* o = ec ? nullptr : v.if_object();
        auto is = [o](const char* k, const std::string& w) {
            const auto* e = o == nullptr ? nullptr : o->if_contains(k);
            return e != nullptr && e->is_string() && e->get_string() == w;
        };
        ok = is("service", s.service) && is("instance", s.instance);
        const auto* e = ok ? o->if_contains("echo") : nullptr;
        x->echoes = e != nullptr && e->is_bool() && e->get_bool();
        const auto* l = ok ? o->if_contains("leaving") : nullptr;
        if (l != nullptr && l->is_bool() && l->get_bool()) {
            *verdict = 2;
            hall_.pool.leaving(s.address, s.instance);
            return {};
        }
    }
    if (!ok) {
        ++hall_.tolls.proof_failed;
        return {};
    }
    *verdict = 0;
    return x;
}

Step Relay::exchange(Session& s, const Plan& p, const Visit& v, Micros until, Reply* r, bool* keep,
                     asio::yield_context y) {
    *keep = false;
    Visit q;
    q.method_string(v.method_string());
    q.target(v.target());
    q.version(11);
    copy_fields(v, &q);
    q.erase("Marble-Key");
    q.set("Marble-Customer", p.customer);
    q.set("Marble-Try", p.try_id);
    const Micros left = until - pith::mono_now();
    if (left <= 0) return Step::unsent;
    q.set("Marble-Deadline-Ms", std::to_string(left / pith::kMilli));
    q.body() = v.body();
    q.prepare_payload();
    boost::system::error_code ec;
    give(s, until);
    // From here on bytes may have reached the server (docs/design.md 7.4).
    hall_.tries.sent(p.customer, p.try_id);
    ++hall_.tolls.sends;
    http::async_write(s.stream, q, y[ec]);
    if (ec) return ec == beast::error::timeout ? Step::late : Step::lost;
    // Interim answers (1xx) are passed over, a few at most.
    for (int i = 0; i < 4; ++i) {
        http::response_parser<http::string_body> rp;
        rp.body_limit(kMaxAnswer);
        rp.skip(p.head_only);
        http::async_read(s.stream, s.buf, rp, y[ec]);
        if (ec) {
            if (ec == beast::error::timeout) return Step::late;
            const bool cut = ec == http::error::end_of_stream || ec == http::error::partial_message ||
                             ec == asio::error::connection_reset || ec == asio::error::eof ||
                             ec == asio::error::broken_pipe || ec == asio::error::operation_aborted;
            return cut ? Step::lost : Step::garbled;
        }
        const int st = rp.get().result_int();
        if (st == 101) return Step::garbled;
        if (st >= 100 && st < 200) continue;
        // An answer whose end is only the session's end can't be told from a cut one.
        const bool bodyless = p.head_only || st == 204 || st == 304;
        if (!bodyless && !rp.chunked() && !rp.content_length()) return Step::garbled;
        const auto echo = rp.get().find("Marble-Try");
        const bool named = echo != rp.get().end();
        if (named ? echo->value() != p.try_id : s.echoes) return Step::garbled;  // another visit's answer
        *keep = rp.keep_alive() && s.buf.size() == 0;
        const Reply in = rp.release();
        const auto lv = in.find("Marble-Leaving");
        if (lv != in.end()) *keep = false;
        *r = Reply{in.result(), 11};
        r->reason(in.reason());
        copy_fields(in, r);
        r->body() = in.body();
        if (bodyless) {
            const auto cl = in.find(http::field::content_length);
            if (cl != in.end() && p.head_only) r->set(http::field::content_length, cl->value());
        } else {
            r->content_length(r->body().size());
        }
        return Step::answered;
    }
    return Step::garbled;
}

void Relay::wait_in_line(const Plan& p, Micros until, asio::yield_context y) {
    auto w = std::make_shared<Waiter>(io_);
    // Also looked at now and then: an ejected server may return without a slot being freed.
    hall_.stand_in_line(p.service, w);
    w->timer.expires_at(at(until));
    boost::system::error_code ec;
    w->timer.async_wait(y[ec]);
}

void Relay::carry(const Plan& p, const Visit& v, const More& more, const Allowed& allowed, Carried* c,
                  asio::yield_context y) {
    Errand e(p, hall_.pool, [this, &p] { return hall_.basin.draw(pith::mono_now(), p.customer); });
    e.allowed = allowed;
    e.slot_free = [this](const std::string& s) { hall_.slot_free(s); };
    const Micros began = pith::mono_now();
    Do d = e.start(began);
    while (d != Do::answer && d != Do::refuse) {
        if (d == Do::wait) {
            wait_in_line(p, e.wait_until(pith::mono_now()), y);
            if (given_up_) e.give_up();
            d = e.again(pith::mono_now());
            continue;
        }
        if (d == Do::pass) {
            Refusal r;
            const bool came = more(e.pass_until(), &r);
            if (given_up_) e.give_up();
            d = came ? e.passed(pith::mono_now()) : e.no_pass(r);
            continue;
        }
        const Slot s = e.slot();
        c->trace.server = s.address;
        c->trace.instance = s.instance;
        std::uint8_t verdict = 0;
        auto x = idle(s);
        if (x)
            ++hall_.tolls.reused;
        else
            x = open(s, e.open_until(), &verdict, y);
        if (given_up_) e.give_up();
        if (!e.opened(pith::mono_now(), x != nullptr, verdict, &d)) {
            if (x) keep(s, std::move(x));  // unused, and still sound
            continue;
        }
        if (e.sends() > 1) ++hall_.tolls.own_retries;
        bool sound = false;
        busy_.insert(x.get());
        const Step st = exchange(*x, p, v, e.until(), &c->reply, &sound, y);
        busy_.erase(x.get());
        if (given_up_) e.give_up();
        if (st == Step::answered) {
            if (sound) keep(s, std::move(x));
            if (c->reply.find("Marble-Leaving") != c->reply.end()) hall_.pool.leaving(s.address, s.instance);
            c->reply.erase("Marble-Leaving");
        }
        d = e.exchanged(pith::mono_now(), st, c->reply.result_int());
    }
    c->answered = d == Do::answer;
    if (!c->answered) c->refusal = e.refusal();
    c->sent = e.sent();
    c->trace.sends = e.sends();
    c->trace.took = pith::mono_now() - began;
}

void Relay::give_up() {
    given_up_ = true;
    for (auto* x : busy_) x->stream.cancel();
}

void Relay::keep(const Slot& s, std::unique_ptr<Session> x) {
    auto& q = idle_[key(s)];
    x->idle_since = pith::mono_now();
    x->stream.expires_never();
    if (q.size() < kKeepSessions) q.push_back(std::move(x));
}

std::uint8_t Relay::probe(const weft::ServerRec& r, asio::yield_context y) {
    std::uint8_t v = 1;
    ++hall_.tolls.probes;
    auto x = open(Slot{r.address, r.service, r.instance}, pith::mono_now() + kProveIn, &v, y);
    if (x) keep(Slot{r.address, r.service, r.instance}, std::move(x));  // proven: fit for visits
    return v;
}

void Relay::sweep(Micros now) {
    for (auto i = idle_.begin(); i != idle_.end();) {
        const std::string& k = i->first;
        const auto a = k.find(' '), b = k.rfind(' ');
        const bool stands =
            hall_.pool.stands(Slot{k.substr(0, a), k.substr(b + 1), k.substr(a + 1, b - a - 1)});
        auto& q = i->second;
        while (!q.empty() && (!stands || now - q.front()->idle_since >= kIdleFor)) q.pop_front();
        i = q.empty() ? idle_.erase(i) : std::next(i);
    }
}

std::size_t Relay::idle_sessions() const {
    std::size_t n = 0;
    for (const auto& p : idle_) n += p.second.size();
    return n;
}

}  // namespace span
