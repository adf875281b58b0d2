#include "weft/desk.hpp"

#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/json.hpp>
#include <optional>

#include "budget/counted_body.hpp"
#include "budget/holders.hpp"
#include "pith/log.hpp"

namespace weft {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using pith::Kind;

namespace {
constexpr std::size_t kMaxAsk = 8 * 1024 * 1024 + 65536;
constexpr std::size_t kMaxAnswer = 8 * 1024 * 1024;
constexpr std::size_t kMaxHead = 16 * 1024;      // of a request, and of an answer
constexpr std::size_t kMaxUnparsed = 64 * 1024;  // bytes read and not yet parsed, as trailers are
constexpr auto kIdle = std::chrono::seconds(30);
constexpr auto kDrainFor = std::chrono::milliseconds(500);
constexpr int kMostInterim = 8;
constexpr const char* kComeBackIn = "1";  // seconds, where coming back can help
}  // namespace

tcp::endpoint endpoint(const std::string& address) {
    const auto c = address.rfind(':');
    std::string h = address.substr(0, c);
    if (h.size() > 2 && h.front() == '[') h = h.substr(1, h.size() - 2);
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(h, ec);
    return {ip, static_cast<unsigned short>(std::stoi(address.substr(c + 1)))};
}

namespace {
// The system doubles what it is told.
template <class Socket>
void bound_buffers(Socket& socket) {
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::receive_buffer_size(budget::kReceiveBuffer / 2), ec);
    socket.set_option(asio::socket_base::send_buffer_size(budget::kSendBuffer / 2), ec);
}
}  // namespace

void bound_socket_buffers(tcp::socket& socket) { bound_buffers(socket); }

void bound_socket_buffers(tcp::acceptor& acceptor) { bound_buffers(acceptor); }

Answer json_answer(int status, std::string body) {
    Answer a{http::status(status), 11};
    a.set(http::field::content_type, "application/json");
    a.body() = std::move(body);
    a.prepare_payload();
    return a;
}

Answer error_answer(const pith::Error& e) {
    boost::json::object o;
    o["kind"] = pith::kind_text(e.kind);
    o["message"] = e.message;
    Answer a = json_answer(pith::kind_status(e.kind), boost::json::serialize(o) + "\n");
    if (pith::kind_returns(e.kind)) a.set(http::field::retry_after, kComeBackIn);
    return a;
}

struct Desk::Impl : std::enable_shared_from_this<Desk::Impl> {
    Impl(asio::io_context& io, std::map<std::string, Handler>& h, std::shared_ptr<budget::ProcessLimits> limits,
         std::size_t parts)
        : io_(io),
          acceptor(io),
          h_(h),
          limits_(std::move(limits)),
          holders(limits_->operators, parts, parts) {}
    asio::io_context& io_;
    tcp::acceptor acceptor;
    std::map<std::string, Handler>& h_;
    std::shared_ptr<budget::ProcessLimits> limits_;
    budget::Holders holders;
    bool closed = false;
    std::chrono::microseconds reply_in{0};

    void accept(asio::yield_context y) {
        for (;;) {
            boost::system::error_code ec;
            tcp::socket s(io_);
            acceptor.async_accept(s, y[ec]);
            if (closed) return;
            if (ec) {
                asio::steady_timer t(io_, std::chrono::milliseconds(100));
                t.async_wait(y[ec]);
                continue;
            }
            asio::spawn(
                io_,
                [me = shared_from_this(), s = std::move(s)](asio::yield_context z) mutable {
                    me->serve(std::move(s), z);
                },
                asio::detached);
        }
    }

    using Parser = http::request_parser<budget::CountedBody>;

    void serve(tcp::socket s, asio::yield_context y) {
        beast::tcp_stream st(std::move(s));
        beast::flat_buffer buf(kMaxUnparsed);
        budget::CountedString* body = nullptr;  // of the request under way
        budget::Holder holder(holders, [&] {
            if (body != nullptr) body->clear();
            st.close();
        });
        if (!holder.admitted()) return;  // closed at once
        for (bool more = true; more;) {
            Parser p;
            body = &p.get().body();
            body->counted_by(&holder);
            Answer a;
            bool head = false;
            const auto ec = read(st, buf, p, holder, y);
            if (ec) {
                if (holder.evicted() || !refusal_of(ec, &a)) return;
                more = false;
            } else {
                Ask q;
                q.base() = p.get().base();
                q.body() = body->lend();
                a = answer_to(q, y);
                more = q.keep_alive();
                head = q.method() == http::verb::head;
            }
            body->clear();
            body = nullptr;
            a.keep_alive(more);
            if (!write(st, std::move(a), head, holder, y)) return;
        }
        holder.peer_waited_for();
        drain(st, y);
    }

    static boost::system::error_code read(beast::tcp_stream& st, beast::flat_buffer& buf, Parser& p,
                                          budget::Holder& holder, asio::yield_context y) {
        boost::system::error_code ec;
        p.header_limit(kMaxHead);
        p.body_limit(kMaxAsk);
        p.eager(true);
        st.expires_after(kIdle);
        holder.peer_waited_for();
        while (!ec && !p.is_done()) holder.peer_moved(http::async_read_some(st, buf, p, y[ec]));
        holder.peer_done();
        return ec;
    }

    // False: the connection has ended.
    static bool write(beast::tcp_stream& st, Answer a, bool head, budget::Holder& holder, asio::yield_context y) {
        const bool more = a.keep_alive();
        if (!holder.take(a.body().size()))
            a = error_answer({Kind::crowded, "no room for the answer now: come back shortly"});
        const std::size_t counted = a.body().size();
        a.version(11);
        a.keep_alive(more);
        a.prepare_payload();
        st.expires_after(kIdle);
        boost::system::error_code ec;
        http::response_serializer<http::string_body> sr(a);
        holder.peer_waited_for();
        if (head) {
            sr.split(true);  // its body would be taken for the next answer
            http::async_write_header(st, sr, y[ec]);
        }
        while (!head && !ec && !sr.is_done()) holder.peer_moved(http::async_write_some(st, sr, y[ec]));
        holder.peer_done();
        holder.give(counted);
        return !ec;
    }

    // Bytes that are no request, or too many of them. False: nobody is there to be answered.
    static bool refusal_of(const boost::system::error_code& ec, Answer* a) {
        if (ec == http::error::body_limit || ec == http::error::header_limit ||
            ec == http::error::buffer_overflow) {
            *a = error_answer({Kind::too_large, "over 8 MiB, or over 16 KiB of fields: send less"});
            return true;
        }
        if (ec == budget::no_room()) {
            *a = error_answer({Kind::crowded, "no room for the call now: come back shortly"});
            return true;
        }
        const bool gone = ec == http::error::end_of_stream || ec == http::error::partial_message;
        if (gone || ec.category() != boost::system::error_code(http::error::bad_method).category())
            return false;
        *a = error_answer(
            {Kind::bad_visit, "not a sound HTTP/1.1 request (" + ec.message() + "): mend the caller"});
        return true;
    }

    // The handler's answer. Each request has a place of its own for it: one that comes after the time was up,
    // or a second time, finds nobody.
    Answer answer_to(const Ask& q, asio::yield_context y) {
        const std::string target(q.target());
        const std::string path = target.substr(0, target.find('?'));
        const std::string method(q.method() == http::verb::head ? "GET" : q.method_string());
        const auto i = h_.find(method + " " + path);
        if (i == h_.end()) return error_answer({Kind::not_found, "no such operation here: see docs/api.md"});
        struct Pending {
            asio::steady_timer timer;
            std::optional<Answer> answer;
            bool over = false;
        };
        auto pending = std::make_shared<Pending>(Pending{asio::steady_timer(io_, reply_in), {}, false});
        try {
            i->second(q, [pending](Answer r) {
                if (pending->over || pending->answer) return;
                pending->answer = std::move(r);
                pending->timer.cancel();
            });
        } catch (const std::exception& e) {  // one request's fault is not the process's
            pith::log_event(pith::Level::error, "operation_failed", {{"path", path}, {"why", e.what()}});
            pending->over = true;
            return error_answer({Kind::outcome_unknown, "the operation failed: ask for the status"});
        }
        boost::system::error_code ec;
        if (!pending->answer) pending->timer.async_wait(y[ec]);
        pending->over = true;
        if (pending->answer) return std::move(*pending->answer);
        return error_answer({Kind::outcome_unknown, "no result in time: ask for the status, then try again"});
    }

    // What the caller still sends is read for a moment, lest a reset eat our answer.
    static void drain(beast::tcp_stream& st, asio::yield_context y) {
        boost::system::error_code ec;
        st.socket().shutdown(tcp::socket::shutdown_send, ec);
        std::array<char, 16384> sink;
        st.expires_after(kDrainFor);
        while (!ec) st.async_read_some(asio::buffer(sink), y[ec]);
    }
};

Desk::Desk(asio::io_context& io, std::shared_ptr<budget::ProcessLimits> limits, std::size_t parts)
    : io_(io),
      limits_(limits ? std::move(limits) : std::make_shared<budget::ProcessLimits>(0, 0)),
      parts_(parts) {}

pith::Result<std::string> Desk::open(const std::string& address) {
    impl_ = std::make_shared<Impl>(io_, h_, limits_, parts_);
    impl_->reply_in = std::chrono::microseconds(reply_in_);
    const auto ep = endpoint(address);
    boost::system::error_code ec;
    impl_->acceptor.open(ep.protocol(), ec);
    if (!ec) impl_->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) bound_socket_buffers(impl_->acceptor);
    if (!ec) impl_->acceptor.bind(ep, ec);
    if (!ec) impl_->acceptor.listen(limits_->others_waiting, ec);
    if (ec)
        return pith::fail(Kind::settings_wrong, "can't listen on " + address + ": " + ec.message() +
                                                    ": free it or set another address");
    asio::spawn(
        io_, [me = impl_](asio::yield_context y) { me->accept(y); }, asio::detached);
    const auto l = impl_->acceptor.local_endpoint(ec);
    return l.address().to_string() + ":" + std::to_string(l.port());
}

void Desk::close() {
    if (!impl_) return;
    impl_->closed = true;
    boost::system::error_code ec;
    impl_->acceptor.close(ec);
}

pith::Result<Answer> call(asio::io_context& io, const std::string& address, Ask q, pith::Micros deadline,
                          asio::yield_context y) {
    auto lost = [&](const boost::system::error_code& e) {
        return pith::fail(Kind::unreachable, address + " does not answer (" + e.message() +
                                                 "): check that it runs and its address");
    };
    beast::tcp_stream st(io);
    boost::system::error_code ec;
    st.expires_after(std::chrono::microseconds(deadline));
    st.async_connect(endpoint(address), y[ec]);
    if (ec) return lost(ec);
    q.version(11);
    if (q.find(http::field::host) == q.end()) q.set(http::field::host, address);
    q.keep_alive(false);
    q.prepare_payload();
    boost::system::error_code unsent;
    http::async_write(st, q, y[unsent]);
    if (unsent == beast::error::timeout || unsent == asio::error::operation_aborted) return lost(unsent);
    // Where the rest could not be sent the answer may be there all the same, as one that says that it is too
    // large.
    beast::flat_buffer buf(kMaxUnparsed);
    for (int i = 0; i < kMostInterim; ++i) {
        http::response_parser<http::string_body> p;
        p.header_limit(kMaxHead);
        p.body_limit(kMaxAnswer);
        p.skip(q.method() == http::verb::head);
        http::async_read(st, buf, p, y[ec]);
        if (ec) return lost(unsent ? unsent : ec);
        const int status = p.get().result_int();
        if (status >= 100 && status < 200 && status != 101) continue;
        // One that only ends with the connection may have been cut.
        const bool bodyless = q.method() == http::verb::head || status == 204 || status == 304;
        if (status == 101 || (!bodyless && !p.chunked() && !p.content_length()))
            return lost(http::error::bad_content_length);
        return p.release();
    }
    return lost(http::error::bad_status);
}

pith::Result<Answer> call_blocking(const std::string& address, Ask q, pith::Micros deadline) {
    asio::io_context io;
    pith::Result<Answer> r = pith::fail(Kind::unreachable, "not called");
    asio::spawn(
        io, [&](asio::yield_context y) { r = call(io, address, std::move(q), deadline, y); }, asio::detached);
    io.run();
    return r;
}

}  // namespace weft
