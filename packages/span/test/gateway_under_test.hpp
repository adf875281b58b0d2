#pragma once
// The gateway's front and relay in this process, between callers and scripted servers on 127.0.0.1.
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "pith/hash.hpp"
#include "scripted_server.hpp"
#include "span/front.hpp"

namespace scripted {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// proving: the product's own interface, one proof for each connection and a strict head. expecting: each
/// request names the server that it is for, and a server's answers carry a seal and a mark for "not run".
enum class Speech { proving, expecting };
enum class Route { read, write };

inline const span::Dialect& dialect(Speech speech) {
    static const span::Dialect expecting = [] {
        span::Dialect d;
        d.leaving.clear();
        d.expect = "Test-Expect";
        d.not_run = "Test-Not-Run";
        d.seal = "Test-Seal";
        d.echoes = true;
        d.strict = false;
        return d;
    }();
    return speech == Speech::proving ? span::own_dialect() : expecting;
}

constexpr int kNoTimeout = 20000;  ///< ms; no test waits for it

struct Setup {
    Speech speech = Speech::expecting;
    int servers = 2;
    int timeout_ms = kNoTimeout;
    bool echo = true;  ///< what the servers promise, where they prove themselves
    int workers = 1;
    span::RequestRules rules{};
    std::size_t memory = 0;               ///< bytes of the process; 0: the machine's
    std::size_t body_bytes = 67'108'864;  ///< longest body that a caller may send
};

/// What a caller was told.
struct Told {
    int status = 0;  ///< 0: the connection ended without an answer
    std::string body, kind, ran;
    bool kept = false;  ///< the gateway goes on with the connection
};
inline std::ostream& operator<<(std::ostream& o, const Told& t) {
    return o << t.status << ' ' << t.kind << ' ' << t.ran << ' ' << t.body;
}

/// A caller's connection. Blocking.
class Caller {
  public:
    Caller(const std::string& address, Speech speech) : speech_(speech), socket_(io_) {
        socket_.connect(weft::endpoint(address));
    }
    std::string request(Route route, const std::string& try_id, const std::string& more = {},
                        const std::string& body = {}, const std::string& method = {}) const {
        const bool write = route == Route::write;
        const std::string path = write ? "/w/1" : "/r/1";
        return (method.empty() ? (write ? "POST" : "GET") : method) + " " + path +
               " HTTP/1.1\r\nHost: h\r\nMarble-Key: abc\r\nMarble-Try: " + try_id +
               "\r\nMarble-Deadline-Ms: 20000\r\n" + more +
               (write || !body.empty() ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") +
               "\r\n" + body;
    }
    /// False: the gateway did not take them all.
    bool send(const std::string& bytes) {
        boost::system::error_code ec;
        asio::write(socket_, asio::buffer(bytes), ec);
        return !ec;
    }
    Told read(bool head_only = false) {
        Told told;
        boost::system::error_code ec;
        http::response_parser<http::string_body> parser;
        parser.skip(head_only);
        http::read(socket_, buffer_, parser, ec);
        if (ec) return told;
        told.status = parser.get().result_int();
        told.kept = parser.keep_alive();
        told.body = parser.get().body();
        const auto json = boost::json::parse(told.body, ec);
        if (ec || !json.is_object()) return told;
        const auto word = [&json](const char* name) {
            const auto* value = json.get_object().if_contains(name);
            return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
        };
        told.kind = word("kind");
        told.ran = word("ran");
        return told;
    }
    Told ask(Route route, const std::string& try_id) {
        send(request(route, try_id));
        return read();
    }
    void close() {
        boost::system::error_code ec;
        socket_.close(ec);
    }
    /// Ends the connection by a reset.
    void reset() {
        boost::system::error_code ec;
        socket_.set_option(asio::socket_base::linger(true, 0), ec);
        socket_.close(ec);
    }
    /// Ends its own direction only, and could still read an answer.
    void half_close() {
        boost::system::error_code ec;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    }
    /// Reads until the gateway has ended the connection. What came beyond the answers that were read.
    std::string read_to_end() {
        boost::system::error_code ec;
        const auto before = buffer_.data();
        std::string beyond(static_cast<const char*>(before.data()), before.size());
        buffer_.clear();
        asio::read(socket_, asio::dynamic_buffer(beyond), ec);
        return beyond;
    }
    /// Bytes that came beyond the answers that were read.
    std::size_t unread() {
        boost::system::error_code ec;
        return buffer_.size() + socket_.available(ec);
    }

  private:
    Speech speech_;
    asio::io_context io_;
    asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

class Gateway {
  public:
    Gateway(const Setup& setup, Server& server)
        : hall("p1", "a", dialect(setup.speech), {}, {},
               std::make_shared<budget::ProcessLimits>(setup.memory, 0)),
          speech_(setup.speech) {
        pith::crypto_start();
        hall.policy(policy(setup));
        tide::Left left;
        hall.basin.allowances(pith::mono_now(), {{"c", 1000}}, &left);
        hall.basin.world(pith::mono_now(), 1, tide::Standing::whole);
        hall.ready = true;
        weft::Listing listing;
        listing.epoch = listing.version = 1;
        for (int i = 0; i < setup.servers; ++i)
            listing.servers.push_back(
                {server.address(i), "s", "i-" + std::to_string(i), "a", span::kServing});
        hall.pool.listing(pith::mono_now(), listing);
        hall.arm = [this] { asio::post(io_, [this] { beat(); }); };
        for (int i = 0; i < setup.workers; ++i) {
            workers.push_back(std::make_unique<span::Worker>(hall));
            workers.back()->relay.rules = setup.rules;
        }
        front_ = std::make_unique<span::Front>(io_, hall, workers);
        const auto opened = front_->open("127.0.0.1:0");
        BOOST_REQUIRE_MESSAGE(opened.has_value(), pith::why(opened));
        address_ = *opened;
        for (auto& worker : workers) worker->start();
        thread_ = std::thread([this] { io_.run(); });
    }
    ~Gateway() {
        io_.stop();
        thread_.join();
        for (auto& worker : workers) worker->stop();
    }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    Caller caller() const { return Caller(address_, speech_); }
    const std::string& address() const { return address_; }

    span::Hall hall;
    std::vector<std::unique_ptr<span::Worker>> workers;

    static creed::PolicyPtr policy(const Setup& setup, int number = 1, const char* read_kind = "read") {
        const std::string timeout = std::to_string(setup.timeout_ms);
        const std::string begin = "{\"number\":" + std::to_string(number) + R"(,"limits":{"body_bytes":)" +
                                  std::to_string(setup.body_bytes) +
                                  R"(},"services":[{"name":"s"}],"routes":[)";
        const auto route = [&](const std::string& name, const std::string& match, const std::string& kind) {
            return R"({"name":")" + name + R"(",)" + match + R"(,"service":"s","kind":")" + kind +
                   R"(","timeout_ms":)" + timeout + "}";
        };
        if (setup.speech == Speech::expecting) {
            const auto b =
                creed::read_bundle(begin + route("r", R"("host":"h","prefix":"/r/")", read_kind) + "," +
                                       route("w", R"("host":"h","prefix":"/w/")", "write") + "]}",
                                   true);
            BOOST_REQUIRE_MESSAGE(b.has_value(), pith::why(b));
            return std::make_shared<const creed::Policy>(*b);
        }
        const auto b = creed::read_bundle(
            begin + route("r", R"("path":"/r/*","methods":["GET","HEAD"])", read_kind) + "," +
            route("w", R"("path":"/w/*","methods":["POST"])", "write") +
            R"(],"customers":[{"name":"c","allowance_per_s":1000,"routes":["r","w"]}],"keys":[{"digest":")" +
            creed::key_digest("abc") + R"(","customer":"c"}]})");
        BOOST_REQUIRE_MESSAGE(b.has_value(), pith::why(b));
        return std::make_shared<const creed::Policy>(*b);
    }

  private:
    void beat() {
        tide::Left left;
        const bool busy = hall.basin.advance(pith::mono_now(), &left);
        hall.left(left);
        if (!busy) return;
        pulse_.expires_after(std::chrono::milliseconds(2));
        pulse_.async_wait([this](boost::system::error_code ec) {
            if (!ec) beat();
        });
    }

    Speech speech_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    asio::steady_timer pulse_{io_};
    std::unique_ptr<span::Front> front_;
    std::thread thread_;
    std::string address_;
};

/// Holds a worker's thread, as where the whole process stands still, until end().
class Standstill {
  public:
    explicit Standstill(span::Worker& worker) {
        asio::post(worker.io, [entered = entered_, left = left_] {
            entered->open();
            left->wait();
        });
        entered_->wait();
    }
    ~Standstill() { end(); }
    void end() { left_->open(); }

  private:
    std::shared_ptr<Latch> entered_ = std::make_shared<Latch>(), left_ = std::make_shared<Latch>();
};

/// A whole answer of a server to `try_id`; none: one that names no try.
inline std::string answer(int status, const std::string& try_id, const std::string& body,
                          const std::string& more = {}) {
    const std::string seal = status < 300 ? "Test-Seal: x\r\n" : "";
    const std::string name = try_id.empty() ? "" : "Marble-Try: " + try_id + "\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " Said\r\n" + name + seal + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string not_run(int status, const std::string& try_id) {
    return answer(status, try_id, "", "Test-Not-Run: 1\r\n");
}

inline std::function<std::string(int)> identity(const Setup& setup) {
    if (setup.speech == Speech::expecting) return nullptr;
    return [echo = setup.echo](int address) {
        const std::string body = R"({"service":"s","instance":"i-)" + std::to_string(address) +
                                 R"(","echo":)" + (echo ? "true" : "false") + "}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
}

/// Gateway and servers together; the servers outlive it.
struct Bed {
    Bed(Setup s, Script script)
        : setup(s),
          server(s.servers, std::move(script), identity(s)),
          gateway(std::make_unique<Gateway>(s, server)) {}
    int arrivals(const std::string& try_id) { return server.arrivals("Marble-Try", try_id); }
    /// The connection that the try came on last; -1: none.
    int connection_of(const std::string& try_id) {
        int number = -1;
        for (const auto& request : server.requests())
            if (request.field("Marble-Try") == try_id) number = request.connection;
        return number;
    }
    Setup setup;
    Server server;
    std::unique_ptr<Gateway> gateway;
};

}  // namespace scripted
