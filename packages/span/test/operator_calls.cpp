#define BOOST_TEST_MODULE span_operator_calls
#include <boost/test/unit_test.hpp>

#include "gateway_under_test.hpp"

// Operators' answers (weft::Desk) and calls between processes (weft::call): whose answer goes where
// (docs/requests.md).

using namespace scripted;

namespace {

/// A desk on a thread of its own.
class OperatorDesk {
  public:
    explicit OperatorDesk(const std::function<void(weft::Desk&)>& operations) : desk_(io_) {
        operations(desk_);
        const auto opened = desk_.open("127.0.0.1:0");
        BOOST_REQUIRE_MESSAGE(opened.has_value(), pith::why(opened));
        address = *opened;
        thread_ = std::thread([this] { io_.run(); });
    }
    ~OperatorDesk() {
        io_.stop();
        thread_.join();
    }
    OperatorDesk(const OperatorDesk&) = delete;
    OperatorDesk& operator=(const OperatorDesk&) = delete;
    std::string address;

  private:
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    weft::Desk desk_;
    std::thread thread_;
};

class Operator {
  public:
    explicit Operator(const std::string& address) : socket_(io_) { socket_.connect(weft::endpoint(address)); }
    void send(const std::string& bytes) {
        boost::system::error_code ec;
        asio::write(socket_, asio::buffer(bytes), ec);
    }
    /// "200 body", or "closed".
    std::string read(bool head_only = false) {
        boost::system::error_code ec;
        http::response_parser<http::string_body> parser;
        parser.skip(head_only);
        http::read(socket_, buffer_, parser, ec);
        if (ec) return "closed";
        return std::to_string(parser.get().result_int()) + " " + parser.get().body();
    }
    std::string ask(const std::string& path, const std::string& method = "GET") {
        send(request(path, method));
        return read(method == "HEAD");
    }
    static std::string request(const std::string& path, const std::string& method = "GET") {
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }
    void close() { socket_.close(); }

  private:
    asio::io_context io_;
    asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

weft::Answer said(const std::string& body) { return weft::json_answer(200, body); }

pith::Result<weft::Answer> call(const std::string& address, const std::string& body = {}) {
    weft::Ask ask{weft::http::verb::post, "/order", 11};
    ask.body() = body;
    return weft::call_blocking(address, ask, 20 * pith::kSecond);
}

}  // namespace

// A reply that comes after the time was up, when the next request has arrived on the same connection.
BOOST_AUTO_TEST_CASE(late_reply) {
    weft::Desk::Reply late;
    OperatorDesk desk([&](weft::Desk& d) {
        d.reply_in(20 * pith::kMilli);
        d.on("GET", "/late", [&](const weft::Ask&, weft::Desk::Reply r) { late = std::move(r); });
        d.on("GET", "/next", [&](const weft::Ask&, weft::Desk::Reply r) {
            late(said("to the first"));
            r(said("to the next"));
        });
    });
    Operator first(desk.address);
    BOOST_TEST(first.ask("/late").find("503 ") == 0u);
    BOOST_TEST(first.ask("/next") == "200 to the next");
    BOOST_TEST(first.ask("/next") == "200 to the next");
}

BOOST_AUTO_TEST_CASE(reply_called_twice) {
    weft::Desk::Reply kept;
    OperatorDesk desk([&](weft::Desk& d) {
        d.on("GET", "/twice", [&](const weft::Ask&, weft::Desk::Reply r) {
            r(said("first"));
            r(said("second"));
            kept = std::move(r);
        });
        d.on("GET", "/next", [&](const weft::Ask&, weft::Desk::Reply r) {
            kept(said("third"));
            r(said("next"));
        });
    });
    Operator caller(desk.address);
    BOOST_TEST(caller.ask("/twice") == "200 first");
    BOOST_TEST(caller.ask("/next") == "200 next");
}

// The second of two pipelined requests is not begun before the first is answered.
BOOST_AUTO_TEST_CASE(pipelined_operations) {
    weft::Desk::Reply pending;
    Latch slow_begun;
    int quick_begun = 0;
    OperatorDesk desk([&](weft::Desk& d) {
        d.on("GET", "/slow", [&](const weft::Ask&, weft::Desk::Reply r) {
            pending = std::move(r);
            slow_begun.open();
        });
        d.on("GET", "/release", [&](const weft::Ask&, weft::Desk::Reply r) {
            const int before = quick_begun;
            pending(said("slow"));
            r(said("begun " + std::to_string(before)));
        });
        d.on("GET", "/quick", [&](const weft::Ask&, weft::Desk::Reply r) {
            ++quick_begun;
            r(said("quick"));
        });
    });
    Operator caller(desk.address), other(desk.address);
    caller.send(Operator::request("/slow") + Operator::request("/quick"));
    slow_begun.wait();  // two connections are begun in any order
    BOOST_TEST(other.ask("/release") == "200 begun 0");
    BOOST_TEST(caller.read() == "200 slow");
    BOOST_TEST(caller.read() == "200 quick");
}

// The caller is gone when its reply comes; the next one, on the same descriptor, gets its own.
BOOST_AUTO_TEST_CASE(reply_to_a_caller_that_went) {
    weft::Desk::Reply pending;
    Latch begun;
    OperatorDesk desk([&](weft::Desk& d) {
        d.on("GET", "/slow", [&](const weft::Ask&, weft::Desk::Reply r) {
            pending = std::move(r);
            begun.open();
        });
        d.on("GET", "/release", [&](const weft::Ask&, weft::Desk::Reply r) {
            pending(said("slow"));
            r(said("released"));
        });
    });
    Operator first(desk.address);
    first.send(Operator::request("/slow"));
    begun.wait();
    first.close();
    Operator next(desk.address);
    BOOST_TEST(next.ask("/release") == "200 released");
    BOOST_TEST(next.ask("/release") == "200 released");
}

BOOST_AUTO_TEST_CASE(head_has_no_body) {
    OperatorDesk desk([](weft::Desk& d) {
        d.on("GET", "/ready", [](const weft::Ask&, weft::Desk::Reply r) { r(said("ready")); });
    });
    Operator caller(desk.address);
    BOOST_TEST(caller.ask("/ready", "HEAD") == "200 ");
    BOOST_TEST(caller.ask("/missing", "HEAD") == "404 ");
    BOOST_TEST(caller.ask("/ready") == "200 ready");
}

// An order that is too large is told so, also while its body is still on its way.
BOOST_AUTO_TEST_CASE(order_too_large) {
    OperatorDesk desk([](weft::Desk&) {});
    const std::string body(12 * 1024 * 1024, 'x');
    Operator caller(desk.address);
    caller.send("POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
    BOOST_TEST(caller.read().find("413 ") == 0u);
    const auto told = call(desk.address, body);
    BOOST_REQUIRE_MESSAGE(told.has_value(), pith::why(told));
    BOOST_TEST(told->result_int() == 413u);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_request) {
    OperatorDesk desk([](weft::Desk&) {});
    Operator caller(desk.address);
    caller.send("\x16\x03\x01 no request\r\n\r\n");
    BOOST_TEST(caller.read().find("400 ") == 0u);
    BOOST_TEST(caller.read() == "closed");
}

// One operation's fault ends that operation, not the process.
BOOST_AUTO_TEST_CASE(operation_that_throws) {
    OperatorDesk desk([](weft::Desk& d) {
        d.on("GET", "/faulty",
             [](const weft::Ask&, const weft::Desk::Reply&) { throw std::runtime_error("on purpose"); });
        d.on("GET", "/sound", [](const weft::Ask&, weft::Desk::Reply r) { r(said("sound")); });
    });
    Operator caller(desk.address);
    BOOST_TEST(caller.ask("/faulty").find("503 ") == 0u);
    BOOST_TEST(caller.ask("/sound") == "200 sound");
}

// ---- Calls

BOOST_AUTO_TEST_CASE(call_passes_interim_answers_over) {
    Server server(1, [](Connection& c, Request& q) {
        c.read_body(&q);
        c.send("HTTP/1.1 103 Early Hints\r\n\r\n" + answer(200, "", "held"));
        return true;
    });
    const auto told = call(server.address(0));
    BOOST_REQUIRE_MESSAGE(told.has_value(), pith::why(told));
    BOOST_TEST(told->result_int() == 200u);
    BOOST_TEST(told->body() == "held");
}

BOOST_AUTO_TEST_CASE(call_takes_no_cut_answer) {
    for (const std::string cut :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbegun", "HTTP/1.1 200 OK\r\n\r\nbegun",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n",
          "HTTP/1.1 101 Switching\r\n\r\n", "noise\r\n\r\n", ""}) {
        Server server(1, [&](Connection& c, Request& q) {
            c.read_body(&q);
            c.send(cut);
            return false;
        });
        const auto told = call(server.address(0));
        BOOST_TEST(!told.has_value(), cut);
        BOOST_TEST(server.requests().size() == 1u);  // it is the caller's to repeat it
    }
}

// The process at the address ends and starts again between two calls, and during one: each call has a
// connection of its own, so that it gets an answer to itself or none.
BOOST_AUTO_TEST_CASE(call_takes_no_answer_of_an_earlier_one) {
    Server server(1, [](Connection& c, Request& q) {
        c.read_body(&q);
        if (q.arrival == 0) {
            c.reset();
            return false;
        }
        c.send(answer(200, "", q.body) + answer(200, "", "surplus"));
        return true;
    });
    BOOST_TEST(!call(server.address(0), "first").has_value());
    BOOST_TEST(call(server.address(0), "second")->body() == "second");
    BOOST_TEST(call(server.address(0), "third")->body() == "third");
    BOOST_TEST(server.connections() == 3);
}
