#include "span/front.hpp"

#include <algorithm>
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

constexpr std::size_t kOnTheirWay = 16;  // connections that were accepted and are not yet counted by a worker
constexpr std::size_t kSmallAnswer = 16 * 1024;  // bytes; what lies unsent of a longer one is counted
constexpr auto kWriteIn = std::chrono::seconds(10);
// What a caller still sends of a body that nobody wants is dropped so long.
constexpr Micros kBodyPause = 5 * pith::kSecond;
constexpr Micros kBodyDropped = 30 * pith::kSecond;
constexpr std::uint64_t kLeastDropped =
    64 * 1024 * 1024;  // bytes; where bodies may be longer, as long as these
// Behind a whole request, a caller's next ones.
constexpr LingerLimits kAfterWhole{1024 * 1024, 500 * pith::kMilli, 500 * pith::kMilli};

LingerLimits of_unread_body(const creed::Limits& limits) {
    return {std::max<std::uint64_t>(limits.body_bytes, kLeastDropped), kBodyPause, kBodyDropped};
}

std::chrono::steady_clock::time_point at(Micros t) {
    return std::chrono::steady_clock::time_point(std::chrono::microseconds(t));
}

std::string field(const Visit& v, const std::string& n) {
    if (n.empty()) return {};
    auto i = v.find(n);
    return i == v.end() ? std::string() : std::string(i->value());
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
    a.body() = budget::CountedString(refusal_json(r));
    a.content_length(a.body().size());
    if (head) a.body().clear();
    return a;
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

void Worker::visit(CallerRequest& request, CallerConnection& connection, Carried* c, asio::yield_context y) {
    const Visit& v = request.message();
    CallerPresence caller([this](CallerStep step) { hall_.tolls.caller_left(step); });
    if (relay.rules.watch_caller) request.watch(&caller);
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
        Plan first = e.plan;
        if (request.rest() != nullptr) first.tries = 1;  // what was sent on is not there to be sent again
        relay.carry(
            first, v, {caller, connection.holder(), request.rest()},
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
    request.unwatch();
    c->caller_left = caller.left();
}

void Worker::serve(tcp::socket sock, asio::yield_context y) {
    const auto connection = std::make_shared<CallerConnection>(std::move(sock), holders);
    const CloseAtEnd close_at_end(connection);
    if (!connection->holder().admitted()) {
        ++hall_.tolls.callers_refused;
        return;
    }
    LingeringClose closing(connection);
    while (!closing.begun())
        if (!serve_one(*connection, &closing, y)) return;
    closing.finish(y);
}

// The connection's next request. False: nobody is there to be answered.
bool Worker::serve_one(CallerConnection& connection, LingeringClose* closing, asio::yield_context y) {
    const creed::PolicyPtr conf = hall_.policy();
    const creed::Limits limits = conf ? conf->bundle().limits : creed::Limits{};
    auto& holder = connection.holder();
    // Between requests the idle time, from a request's first byte on the head's.
    const auto idle_time = std::chrono::microseconds(std::max(limits.idle_time, limits.header_time));
    holder.peer_waited_for();
    if (!connection.wait_for_bytes(idle_time, y) || holder.evicted()) return false;
    CallerRequest request(connection, limits, hall_.dialect, stream_place_);
    const auto end = request.read(y);
    if (end == CallerRequest::End::gone) return false;
    bool caller_left = false;
    Reply reply = answer(request, connection, end, &caller_left, y);
    if (caller_left) return false;  // nobody reads the answer
    // What is left of a body is never read as a request (docs/design.md 7.11). Where this process stops, the
    // platform gives the caller another machine.
    const bool more = end == CallerRequest::End::ready && request.whole() && request.message().keep_alive() &&
                      !hall_.stopping && hall_.ready;
    reply.keep_alive(more);
    if (!more) closing->begin(request.whole() ? kAfterWhole : of_unread_body(limits), y);
    return write(connection, reply, request.head_only(), y);
}

// Carries the request out, and gives the answer.
Reply Worker::answer(CallerRequest& request, CallerConnection& connection, CallerRequest::End end,
                     bool* caller_left, asio::yield_context y) {
    Carried c;
    if (end == CallerRequest::End::ready) {
        connection.stream().expires_never();
        visit(request, connection, &c, y);
    } else {
        c.refusal = request.refusal();
    }
    Reply reply =
        c.answered ? std::move(c.reply) : refusal_reply(c.refusal, request.head_only(), hall_.dialect);
    *caller_left = c.caller_left;
    note(c, static_cast<int>(reply.result_int()));
    return reply;
}

// For metrics, the log and `helm explain`.
void Worker::note(Carried& c, int status) {
    c.trace.status = status;
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
}

// False: the connection has ended.
bool Worker::write(CallerConnection& connection, Reply& reply, bool head_only, asio::yield_context y) {
    auto& st = connection.stream();
    auto& holder = connection.holder();
    const std::size_t size = reply.body().size();
    const budget::Charge unsent(holder, size > kSmallAnswer ? std::min(size, budget::kSendBuffer) : 0);
    if (!unsent) return false;
    boost::optional<WideSocket> wide;
    if (size > kShortBody) wide.emplace(st.socket(), holder, Wide::send);
    connection.held_body(&reply.body());
    boost::system::error_code ec;
    http::response_serializer<budget::CountedBody> sr(reply);
    st.expires_after(kWriteIn);
    holder.peer_waited_for();
    if (head_only) {
        sr.split(true);
        http::async_write_header(st, sr, y[ec]);
    }
    while (!head_only && !ec && !sr.is_done()) holder.peer_moved(http::async_write_some(st, sr, y[ec]));
    holder.peer_done();
    connection.held_body(nullptr);
    return !ec && !holder.evicted();
}

Front::Front(asio::io_context& io, Hall& h, std::vector<std::unique_ptr<Worker>>& w)
    : io_(io), hall_(h), w_(w), acceptor_(io) {}

pith::Result<std::string> Front::open(const std::string& address) {
    const auto ep = weft::endpoint(address);
    boost::system::error_code ec;
    acceptor_.open(ep.protocol(), ec);
    if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) weft::bound_socket_buffers(acceptor_);
    if (!ec) acceptor_.bind(ep, ec);
    if (!ec) acceptor_.listen(hall_.limits->callers_waiting, ec);
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
        if (hall_.tolls.callers >= hall_.limits->callers.connections.limit() + kOnTheirWay) {
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
