#include "weft/desk.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/json.hpp>

namespace weft {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using pith::Kind;

namespace {
constexpr std::size_t kMaxAsk = 8 * 1024 * 1024 + 65536;
constexpr std::size_t kMaxAnswer = 8 * 1024 * 1024;
constexpr std::size_t kMaxSessions = 64;
constexpr auto kIdle = std::chrono::seconds(30);
constexpr auto kReplyIn = std::chrono::seconds(10);
}  // namespace

tcp::endpoint endpoint(const std::string& address) {
    const auto c = address.rfind(':');
    std::string h = address.substr(0, c);
    if (h.size() > 2 && h.front() == '[') h = h.substr(1, h.size() - 2);
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(h, ec);
    return {ip, static_cast<unsigned short>(std::stoi(address.substr(c + 1)))};
}

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
    return json_answer(pith::kind_status(e.kind), boost::json::serialize(o) + "\n");
}

struct Desk::Impl : std::enable_shared_from_this<Desk::Impl> {
    Impl(asio::io_context& io, std::map<std::string, Handler>& h) : io_(io), acceptor(io), h_(h) {}
    asio::io_context& io_;
    tcp::acceptor acceptor;
    std::map<std::string, Handler>& h_;
    std::size_t open = 0;
    bool closed = false;

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
            if (open >= kMaxSessions) continue;  // closed at once
            ++open;
            asio::spawn(
                io_,
                [me = shared_from_this(), s = std::move(s)](asio::yield_context z) mutable {
                    me->serve(std::move(s), z);
                    --me->open;
                },
                asio::detached);
        }
    }

    void serve(tcp::socket s, asio::yield_context y) {
        beast::tcp_stream st(std::move(s));
        beast::flat_buffer buf;
        for (;;) {
            boost::system::error_code ec;
            http::request_parser<http::string_body> p;
            p.body_limit(kMaxAsk);
            st.expires_after(kIdle);
            http::async_read(st, buf, p, y[ec]);
            if (ec) {
                if (ec == http::error::body_limit || ec == http::error::header_limit) {
                    Answer a = error_answer({Kind::too_large, "over 8 MiB: send less"});
                    a.keep_alive(false);
                    http::async_write(st, a, y[ec]);
                }
                return;
            }
            Ask q = p.release();
            const std::string target(q.target());
            const std::string path = target.substr(0, target.find('?'));
            Answer a;
            auto i = h_.find(std::string(q.method_string()) + " " + path);
            if (i == h_.end()) {
                a = error_answer({Kind::not_found, "no such operation here: see docs/api.md"});
            } else {
                auto got = std::make_shared<std::unique_ptr<Answer>>();
                auto t = std::make_shared<asio::steady_timer>(io_, kReplyIn);
                i->second(q, [got, t](Answer r) {
                    if (*got) return;
                    *got = std::make_unique<Answer>(std::move(r));
                    t->cancel();
                });
                if (!*got) t->async_wait(y[ec]);
                if (*got)
                    a = std::move(**got);
                else
                    a = error_answer(
                        {Kind::outcome_unknown, "no result in 10 s: ask for the status, then try again"});
            }
            a.version(11);
            a.keep_alive(q.keep_alive());
            a.prepare_payload();
            st.expires_after(kIdle);
            http::async_write(st, a, y[ec]);
            if (ec || !q.keep_alive()) break;
        }
        boost::system::error_code ec;
        st.socket().shutdown(tcp::socket::shutdown_send, ec);
    }
};

pith::Result<std::string> Desk::open(const std::string& address) {
    impl_ = std::make_shared<Impl>(io_, h_);
    const auto ep = endpoint(address);
    boost::system::error_code ec;
    impl_->acceptor.open(ep.protocol(), ec);
    if (!ec) impl_->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) impl_->acceptor.bind(ep, ec);
    if (!ec) impl_->acceptor.listen(asio::socket_base::max_listen_connections, ec);
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
    http::async_write(st, q, y[ec]);
    if (ec) return lost(ec);
    beast::flat_buffer buf;
    http::response_parser<http::string_body> p;
    p.body_limit(kMaxAnswer);
    http::async_read(st, buf, p, y[ec]);
    if (ec) return lost(ec);
    return p.release();
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
