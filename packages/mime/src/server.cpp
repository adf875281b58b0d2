#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/json.hpp>
#include <deque>

#include "mime/stand_ins.hpp"

namespace mime {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace json = boost::json;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct Server::Impl : std::enable_shared_from_this<Server::Impl> {
    Impl(asio::io_context& i, std::string s, std::string n, pith::Micros w)
        : io(i), acceptor(i), service(std::move(s)), instance(std::move(n)), work(w) {}
    asio::io_context& io;
    tcp::acceptor acceptor;
    std::string service, instance, mode = "well";
    pith::Micros work;
    bool leaving = false;
    int busy = 0, most_busy = 0;
    std::deque<std::shared_ptr<asio::steady_timer>> line;
    std::map<std::string, std::uint64_t> ledger;  // try -> times done
    std::uint64_t identities = 0, sessions = 0;

    void accept(asio::yield_context y) {
        for (;;) {
            boost::system::error_code ec;
            tcp::socket s(io);
            acceptor.async_accept(s, y[ec]);
            if (ec) return;
            ++sessions;
            asio::spawn(
                io,
                [me = shared_from_this(), s = std::move(s)](asio::yield_context z) mutable {
                    me->serve(std::move(s), z);
                },
                asio::detached);
        }
    }

    // Two at a time; the rest stand in line.
    void seat(asio::yield_context y) {
        if (busy >= 2) {
            auto t = std::make_shared<asio::steady_timer>(io, asio::steady_timer::time_point::max());
            line.push_back(t);
            boost::system::error_code ec;
            t->async_wait(y[ec]);  // the one who leaves hands its seat on
            return;
        }
        ++busy;
        most_busy = std::max(most_busy, busy);
    }
    void leave() {
        if (!line.empty()) {
            line.front()->cancel();
            line.pop_front();
        } else {
            --busy;
        }
    }

    // Closes with a reset in place of an orderly end.
    static void reset(tcp::socket& s) {
        boost::system::error_code ec;
        s.set_option(asio::socket_base::linger(true, 0), ec);
        s.close(ec);
    }

    std::string control(const std::string& body) {
        boost::system::error_code ec;
        const auto v = json::parse(body, ec);
        if (!ec && v.is_object()) {
            const auto& o = v.get_object();
            if (const auto* x = o.if_contains("mode")) mode = x->get_string().c_str();
            if (const auto* x = o.if_contains("work_ms")) work = x->to_number<std::int64_t>() * pith::kMilli;
            if (const auto* x = o.if_contains("leaving")) leaving = x->as_bool();
            if (const auto* x = o.if_contains("service")) service = x->get_string().c_str();
            if (const auto* x = o.if_contains("instance")) instance = x->get_string().c_str();
        }
        json::object l;
        for (const auto& p : ledger) l[p.first] = p.second;
        return json::serialize(json::object{{"instance", instance},
                                            {"service", service},
                                            {"most_busy", most_busy},
                                            {"identities", identities},
                                            {"sessions", sessions},
                                            {"ledger", l}});
    }

    void serve(tcp::socket s, asio::yield_context y) {
        beast::tcp_stream st(std::move(s));
        beast::flat_buffer buf;
        boost::system::error_code ec;
        st.socket().set_option(tcp::no_delay(true), ec);
        for (;;) {
            http::request_parser<http::string_body> p;
            p.body_limit(4 * 1024 * 1024);
            st.expires_after(std::chrono::seconds(60));
            http::async_read(st, buf, p, y[ec]);
            if (ec) return;
            const auto q = p.release();
            http::response<http::string_body> a{http::status::ok, 11};
            a.set(http::field::content_type, "application/json");
            const std::string t(q.target());
            const std::string tr(q["Marble-Try"]);
            if (t == "/.marble/identity") {
                ++identities;
                a.body() = json::serialize(json::object{
                    {"service", service}, {"instance", instance}, {"leaving", leaving}, {"echo", true}});
            } else if (t == "/control") {
                a.body() = control(q.body());
            } else {
                seat(y);
                asio::steady_timer w(io, std::chrono::microseconds(work));
                w.async_wait(y[ec]);
                leave();
                if (mode == "crash_before") return;
                if (mode == "reset_before") {
                    reset(st.socket());
                    return;
                }
                ++ledger[tr];
                if (mode == "reset") {
                    reset(st.socket());
                    return;
                }
                if (mode == "interim") {
                    const std::string g = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n";
                    asio::async_write(st.socket(), asio::buffer(g), y[ec]);
                }
                if (mode == "lose") return;  // did the work, says nothing
                if (mode == "hang") {
                    asio::steady_timer h(io, std::chrono::seconds(30));
                    h.async_wait(y[ec]);
                    return;
                }
                if (mode == "garbage") {
                    const std::string g = "HTTP/1.1 2zz what\r\n\r\nnoise";
                    asio::async_write(st.socket(), asio::buffer(g), y[ec]);
                    return;
                }
                if (mode == "cut") {
                    const std::string g = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nbegun";
                    asio::async_write(st.socket(), asio::buffer(g), y[ec]);
                    return;
                }
                if (mode == "other")
                    a.set("Marble-Try", "somebody-elses");
                else
                    a.set("Marble-Try", tr);
                if (mode == "error") a.result(http::status::internal_server_error);
                if (leaving) a.set("Marble-Leaving", "1");
                a.body() = json::serialize(json::object{{"service", service},
                                                        {"instance", instance},
                                                        {"try", tr},
                                                        {"customer", std::string(q["Marble-Customer"])},
                                                        {"method", std::string(q.method_string())},
                                                        {"target", t},
                                                        {"bytes", q.body().size()}});
            }
            a.keep_alive(q.keep_alive());
            a.content_length(a.body().size());
            const bool head_only = q.method() == http::verb::head && mode != "body_to_head";
            if (head_only) a.body().clear();
            http::response_serializer<http::string_body> sr(a);
            if (head_only) {
                sr.split(true);
                http::async_write_header(st, sr, y[ec]);
            } else {
                http::async_write(st, sr, y[ec]);
            }
            if (!ec && mode == "surplus") {
                const std::string g = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
                asio::async_write(st.socket(), asio::buffer(g), y[ec]);
            }
            if (ec || !q.keep_alive()) return;
        }
    }
};

Server::Server(asio::io_context& io, std::string service, std::string instance, pith::Micros work)
    : impl_(std::make_shared<Impl>(io, std::move(service), std::move(instance), work)) {}

pith::Result<std::string> Server::open(const std::string& address) {
    const auto ep = weft::endpoint(address);
    boost::system::error_code ec;
    impl_->acceptor.open(ep.protocol(), ec);
    if (!ec) impl_->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) impl_->acceptor.bind(ep, ec);
    if (!ec) impl_->acceptor.listen(512, ec);
    if (ec)
        return pith::fail(pith::Kind::settings_wrong,
                          "can't listen on " + address + ": " + ec.message() + ": free it");
    asio::spawn(
        impl_->io, [me = impl_](asio::yield_context y) { me->accept(y); }, asio::detached);
    const auto l = impl_->acceptor.local_endpoint(ec);
    return l.address().to_string() + ":" + std::to_string(l.port());
}

}  // namespace mime
