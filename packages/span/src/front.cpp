#include "span/front.hpp"

#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <cstdio>

#include "pith/log.hpp"

namespace span {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using pith::Kind;
using pith::Micros;

namespace {

constexpr std::uint64_t kMaxCallers = 4096;
constexpr auto kBodyIn = std::chrono::seconds(15);
constexpr auto kWriteIn = std::chrono::seconds(10);
constexpr auto kDrainFor = std::chrono::milliseconds(500);

std::chrono::steady_clock::time_point at(Micros t) {
    return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

std::string field(const Visit& v, const std::string& n) {
    if (n.empty()) return {};
    auto i = v.find(n);
    return i == v.end() ? std::string() : std::string(i->value());
}

std::size_t times(const Visit& v, beast::string_view n) {
    const auto r = v.equal_range(n);
    return static_cast<std::size_t>(std::distance(r.first, r.second));
}

// Shapes by which two parties could see two different visits are refused (RFC 9112 6.3, 11.2).
std::string smuggling(const Visit& v, const http::request_parser<http::string_body>& p, const Dialect& d) {
    if (v.version() != 11) return "HTTP/1.1 is needed";
    if (times(v, "Host") != 1) return "exactly one Host is needed";
    if (times(v, "Content-Length") > 1 || times(v, "Transfer-Encoding") > 1) return "one length only";
    const bool te = v.find(http::field::transfer_encoding) != v.end();
    if (te && v.find(http::field::content_length) != v.end())
        return "Content-Length and Transfer-Encoding exclude each other";
    if (te && !(p.chunked() && beast::iequals(v[http::field::transfer_encoding], "chunked")))
        return "only chunked is taken";
    for (const std::string* n : {&d.key, &d.try_id, &d.deadline, &d.attempt})
        if (!n->empty() && times(v, *n) > 1) return *n + " stands there twice";
    return {};
}

Reply refusal_reply(const Refusal& r, bool head, const Dialect& d) {
    Reply a{http::status(d.status_of(r.error.kind)), 11};
    a.set(http::field::content_type, "application/json");
    a.set(http::field::cache_control, "no-store");
    if (!r.try_id.empty()) a.set(d.try_id, r.try_id);
    if (r.retry_after > 0 && d.fractions) {
        char b[32];
        std::snprintf(b, sizeof b, "%.3f", static_cast<double>(r.retry_after) / 1e6);
        a.set(http::field::retry_after, b);
    } else if (r.retry_after > 0) {
        a.set(http::field::retry_after, std::to_string((r.retry_after + pith::kSecond - 1) / pith::kSecond));
    }
    if (!r.allow.empty()) a.set(http::field::allow, r.allow);
    if (r.error.kind == Kind::key_unknown) a.set(http::field::www_authenticate, d.key);
    a.body() = refusal_json(r);
    a.content_length(a.body().size());
    if (head) a.body().clear();
    return a;
}

std::string size_text(std::uint64_t n) {
    constexpr std::uint64_t kKi = 1024;
    if (n >= kKi * kKi && n % (kKi * kKi) == 0) return std::to_string(n / kKi / kKi) + " MiB";
    return n % kKi == 0 ? std::to_string(n / kKi) + " KiB" : std::to_string(n) + " bytes";
}

// The connection is closed however its session ends; a read that is under way then ends, too.
class CloseAtEnd {
  public:
    explicit CloseAtEnd(std::shared_ptr<CallerConnection> connection) : connection_(std::move(connection)) {}
    ~CloseAtEnd() { connection_->close(); }
    CloseAtEnd(const CloseAtEnd&) = delete;
    CloseAtEnd& operator=(const CloseAtEnd&) = delete;

  private:
    std::shared_ptr<CallerConnection> connection_;
};

}  // namespace

void Worker::start() {
    thread_ = std::thread([this] { io.run(); });
}

void Worker::stop() {
    guard_.reset();
    io.stop();
    if (thread_.joinable()) thread_.join();
}

// Waits for the visit's pass. False: it will never come.
bool Worker::wait_turn(const Entry& e, tide::Id id, const WaiterPtr& w, CallerPresence& caller,
                       asio::yield_context y) {
    if (hall_.arm) hall_.arm();
    // A caller who goes away takes its visit out of the queue.
    const CallerPresence::Step step(caller, CallerStep::queue, [&w] { w->wake(Waiter::gone); });
    if (caller.left()) w->wake(Waiter::gone);
    for (;;) {
        // The network tells; the timer only stands in where that fails.
        w->timer.expires_at(at(e.plan.deadline + 20 * pith::kMilli));
        boost::system::error_code ec;
        if (w->state() == Waiter::waiting) w->timer.async_wait(y[ec]);
        if (w->state() == Waiter::released || w->state() == Waiter::expired) break;
        if (hall_.basin.leave(pith::mono_now(), e.plan.customer, id)) break;  // out of S by our own hand
        if (w->state() == Waiter::gone)
            break;  // let out just as the caller went: the pass is spent, nothing is sent
        if (pith::mono_now() > e.plan.deadline + 2 * pith::kSecond) break;
    }
    return w->state() == Waiter::released;
}

bool Worker::another_pass(Entry* e, Micros until, CallerPresence& caller, asio::yield_context y) {
    auto w = std::make_shared<Waiter>(io);
    const tide::Id id = hall_.enter(w);
    const bool in = hall_.basin.again(pith::mono_now(), e->plan.customer, id, until);
    const bool came = in && wait_turn(*e, id, w, caller, y);
    hall_.leave(id);
    if (caller.left())
        e->refusal = refusal_of_one_that_left(e->plan.try_id);
    else if (!came)
        hall_.lobby.not_released(e);
    return came && hall_.lobby.released(pith::mono_now(), e);
}

void Worker::visit(Visit& v, CallerConnection& connection, Carried* c, asio::yield_context y) {
    CallerPresence caller([this](CallerStep step) { hall_.tolls.caller_left(step); });
    if (relay.rules.watch_caller) connection.watch(&caller);
    Entry e;
    const Dialect& d = hall_.dialect;
    e.head = {std::string(v.method_string()), std::string(v.target()), field(v, d.key), field(v, d.try_id),
              field(v, d.deadline),           field(v, d.attempt),     field(v, "Host")};
    ++hall_.tolls.visits;
    ++hall_.in_flight;
    auto w = std::make_shared<Waiter>(io);
    const tide::Id id = hall_.enter(w);
    const Micros began = pith::mono_now();
    hall_.lobby.enter(began, id, hall_.stopping, &e);
    if (e.plan.retry) ++hall_.tolls.caller_retries;
    bool go = e.queued || e.released;
    // Its release is to be told soon; with a tolerance the next tick is soon enough (docs/design.md 6.4).
    if (e.released && !hall_.basin.tolerant() && hall_.arm) hall_.arm();
    if (e.queued && !wait_turn(e, id, w, caller, y)) {
        if (caller.left())
            e.refusal = refusal_of_one_that_left(e.plan.try_id);
        else
            hall_.lobby.not_released(&e);
        go = false;
    }
    hall_.leave(id);
    c->trace.wall = pith::wall_now();
    c->trace.queued = pith::mono_now() - began;
    hall_.tolls.wait_us += static_cast<std::uint64_t>(c->trace.queued);
    if (go) go = hall_.lobby.released(pith::mono_now(), &e);
    c->trace.try_id = e.refusal.try_id;
    c->trace.customer = e.plan.customer;
    c->trace.route = e.plan.route;
    c->trace.service = e.plan.service;
    c->trace.bundle = e.plan.bundle;
    if (go) {
        const Plan first = e.plan;
        relay.carry(
            first, v, caller,
            [&](Micros until, Refusal* r) {
                const bool came = another_pass(&e, until, caller, y);
                if (!came) *r = e.refusal;
                return came;
            },
            [&](Refusal* r) {
                if (!hall_.lobby.allowed(pith::mono_now(), &e, r)) return false;
                // Whoever went away may have asked again elsewhere, as after a standstill of this process.
                const CallerPresence::Step step(caller, CallerStep::before_send);
                if (relay.rules.send_needs_caller && connection.ended()) caller.leave();
                if (!caller.left()) return true;
                *r = refusal_of_one_that_left(e.plan.try_id);
                return false;
            },
            c, y);
    } else
        c->refusal = e.refusal;
    hall_.lobby.end(e, c->sent);
    --hall_.in_flight;
    connection.unwatch();
    c->caller_left = caller.left();
}

void Worker::serve(tcp::socket sock, asio::yield_context y) {
    const auto connection = std::make_shared<CallerConnection>(std::move(sock));
    const CloseAtEnd close_at_end(connection);
    auto& st = connection->stream();
    auto& buf = connection->buffer();
    boost::system::error_code ec;
    for (bool more = true; more;) {
        http::request_parser<http::string_body> p;
        const creed::PolicyPtr conf = hall_.policy();
        const creed::Limits limits = conf ? conf->bundle().limits : creed::Limits{};
        p.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        p.body_limit(limits.body_bytes);
        p.eager(true);
        // Between requests the idle time, from a request's first byte on the head's.
        const auto idle_time = std::chrono::microseconds(std::max(limits.idle_time, limits.header_time));
        if (!connection->wait_for_bytes(idle_time, y)) return;
        st.expires_after(std::chrono::microseconds(limits.header_time));
        http::async_read_header(st, buf, p, y[ec]);
        Carried c;
        bool head = false;
        if (!ec) {
            head = p.get().method() == http::verb::head;
            const std::string bad = smuggling(p.get(), p, hall_.dialect);
            const auto ex = p.get()[http::field::expect];
            if (!bad.empty()) {
                c.refusal.error = {Kind::bad_visit,
                                   "not a sound HTTP/1.1 request (" + bad + "): mend the caller"};
                more = false;
            } else if (!ex.empty() && !beast::iequals(ex, "100-continue")) {
                c.refusal.error = {Kind::expect_wrong, "only Expect: 100-continue is known: leave it out"};
                more = false;
            } else {
                if (!ex.empty() && !p.is_done()) {
                    http::response<http::empty_body> go{http::status::continue_, 11};
                    st.expires_after(kWriteIn);
                    http::async_write(st, go, y[ec]);
                    if (ec) return;
                }
                st.expires_after(kBodyIn);
                // What follows a chunked body is no part of the head: it names no try, key or host.
                const bool trailers = p.chunked();
                const http::request_header<> said = trailers ? p.get().base() : http::request_header<>{};
                http::async_read(st, buf, p, y[ec]);
                if (trailers) p.get().base() = said;
            }
        }
        if (ec) {
            if (ec == http::error::end_of_stream || ec == beast::error::timeout ||
                ec == asio::error::connection_reset || ec == asio::error::operation_aborted ||
                ec == http::error::partial_message || ec == asio::error::eof)
                return;
            if (ec == http::error::body_limit)
                c.refusal.error = {Kind::too_large,
                                   "the body is over " + size_text(limits.body_bytes) + ": send less"};
            else if (ec == http::error::header_limit)
                c.refusal.error = {Kind::head_too_large,
                                   "the head is over " + size_text(limits.header_bytes) + ": send less"};
            else
                c.refusal.error = {Kind::bad_visit,
                                   "not a sound HTTP/1.1 request (" + ec.message() + "): mend the caller"};
            more = false;
        }
        if (more) {
            Visit v = p.release();
            more = v.keep_alive();
            st.expires_never();
            visit(v, *connection, &c, y);
        }
        if (hall_.stopping || !hall_.ready) more = false;  // the platform gives the caller another machine
        Reply a = c.answered ? std::move(c.reply) : refusal_reply(c.refusal, head, hall_.dialect);
        c.trace.status = a.result_int();
        c.trace.end = c.answered ? "answered" : pith::kind_text(c.refusal.error.kind);
        c.trace.ran_unknown = !c.answered && c.refusal.ran_unknown;
        if (c.answered) {
            ++hall_.tolls.answered;
        } else {
            ++hall_.tolls.by_kind[static_cast<std::size_t>(c.refusal.error.kind)];
            if (c.refusal.ran_unknown) ++hall_.tolls.unknown;
        }
        pith::log_event(pith::Level::debug, "visit",
                        {{"try", c.trace.try_id},
                         {"customer", c.trace.customer},
                         {"route", c.trace.route},
                         {"end", c.trace.end},
                         {"status", c.trace.status},
                         {"server", c.trace.server},
                         {"sends", c.trace.sends},
                         {"queued_us", c.trace.queued},
                         {"took_us", c.trace.took}});
        if (!c.trace.try_id.empty()) hall_.traces.add(std::move(c.trace));
        if (c.caller_left) return;  // nobody reads the answer
        a.keep_alive(more);
        st.expires_after(kWriteIn);
        http::response_serializer<http::string_body> sr(a);
        if (head) {
            sr.split(true);
            http::async_write_header(st, sr, y[ec]);
        } else {
            http::async_write(st, sr, y[ec]);
        }
        if (ec) return;
    }
    connection->stop_reading(y);
    st.socket().shutdown(tcp::socket::shutdown_send, ec);
    // What the caller still sends is read for a moment, lest a reset eat our answer.
    std::array<char, 16384> sink;
    st.expires_after(kDrainFor);
    while (!ec) st.async_read_some(asio::buffer(sink), y[ec]);
}

Front::Front(asio::io_context& io, Hall& h, std::vector<std::unique_ptr<Worker>>& w)
    : io_(io), hall_(h), w_(w), acceptor_(io) {}

pith::Result<std::string> Front::open(const std::string& address) {
    const auto ep = weft::endpoint(address);
    boost::system::error_code ec;
    acceptor_.open(ep.protocol(), ec);
    if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) acceptor_.bind(ep, ec);
    if (!ec) acceptor_.listen(512, ec);
    if (ec)
        return pith::fail(Kind::settings_wrong, "can't listen on " + address + ": " + ec.message() +
                                                    ": free it or set another address");
    accept();
    const auto l = acceptor_.local_endpoint(ec);
    return l.address().to_string() + ":" + std::to_string(l.port());
}

void Front::accept() {
    Worker& w = *w_[turn_++ % w_.size()];
    acceptor_.async_accept(w.io, [this, &w](boost::system::error_code ec, tcp::socket s) {
        if (closed_) return;
        if (ec) {
            auto t = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(100));
            t->async_wait([this, t](boost::system::error_code) {
                if (!closed_) accept();
            });
            return;
        }
        if (hall_.tolls.callers >= kMaxCallers) {
            ++hall_.tolls.callers_refused;  // closed at once, nothing was read
        } else {
            ++hall_.tolls.callers;
            asio::spawn(
                w.io,
                [&w, this, s = std::move(s)](asio::yield_context y) mutable {
                    // Nothing is thrown on any known path; one that is ends this session, not the process.
                    // (What unwinds a coroutine is no std::exception and passes.)
                    try {
                        w.serve(std::move(s), y);
                    } catch (const std::exception& e) {
                        pith::log_event(pith::Level::error, "session_failed", {{"why", e.what()}});
                    }
                    --hall_.tolls.callers;
                },
                asio::detached);
        }
        accept();
    });
}

void Front::close() {
    closed_ = true;
    boost::system::error_code ec;
    acceptor_.close(ec);
}

}  // namespace span
