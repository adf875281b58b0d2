#pragma once
// A back end in this process for the tests of clients that don't behave: takes bodies of any size without
// holding them, and gives large, slow or endless answers, as the request's path says.
#include <array>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>

class LargeServer {
    using tcp = boost::asio::ip::tcp;
    using Code = boost::system::error_code;
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    using Stream = boost::beast::tcp_stream;
    using Yield = boost::asio::yield_context;

  public:
    static constexpr const char* kStallField = "X-Stall";         // of a request whose body is not read
    static constexpr std::size_t kLargeAnswer = 3 * 1024 * 1024;  // bytes of the body
    static constexpr std::size_t kEndless = 256 * 1024 * 1024;    // bytes after which an endless answer stops
    static constexpr std::chrono::seconds kSlow{5};

    LargeServer(const std::string& ip, std::string service, std::string instance)
        : service_(std::move(service)), instance_(std::move(instance)), acceptor_(io_) {
        const tcp::endpoint endpoint(boost::asio::ip::make_address(ip), 0);
        acceptor_.open(endpoint.protocol());
        acceptor_.bind(endpoint);
        acceptor_.listen(512);
        address_ = ip + ":" + std::to_string(acceptor_.local_endpoint().port());
        boost::asio::spawn(
            io_, [this](Yield yield) { accept(yield); }, boost::asio::detached);
        thread_ = std::thread([this] { io_.run(); });
    }
    ~LargeServer() {
        io_.stop();
        thread_.join();
    }
    LargeServer(const LargeServer&) = delete;
    LargeServer& operator=(const LargeServer&) = delete;

    const std::string& address() const { return address_; }
    std::string row() const {
        return "[{\"address\":\"" + address_ + "\",\"service\":\"" + service_ + "\",\"instance\":\"" +
               instance_ + "\",\"locality\":\"a\",\"state\":\"serving\"}]";
    }

  private:
    struct Asked {
        std::string target, try_id;
        std::uint64_t body_bytes = 0;
        bool keep_alive = true;
    };

    void accept(Yield yield) {
        for (;;) {
            Code ec;
            tcp::socket socket(io_);
            acceptor_.async_accept(socket, yield[ec]);
            if (ec) return;
            boost::asio::spawn(
                io_,
                [this, socket = std::move(socket)](Yield inner) mutable {
                    Stream stream(std::move(socket));
                    serve(stream, inner);
                },
                boost::asio::detached);
        }
    }

    // The body is counted and let go.
    static bool read(Stream& stream, boost::beast::flat_buffer& buffer, Asked* asked, Yield yield) {
        Code ec;
        Parser parser;
        parser.body_limit(boost::none);
        boost::beast::http::async_read_header(stream, buffer, parser, yield[ec]);
        if (ec) return false;
        asked->target = std::string(parser.get().target());
        asked->try_id = std::string(parser.get()["Marble-Try"]);
        asked->keep_alive = parser.get().keep_alive();
        if (parser.get().find(kStallField) != parser.get().end()) {
            boost::asio::steady_timer timer(stream.get_executor(), std::chrono::hours(1));
            timer.async_wait(yield[ec]);
            return false;
        }
        std::array<char, 65536> sink;
        while (!parser.is_done()) {
            parser.get().body().data = sink.data();
            parser.get().body().size = sink.size();
            boost::beast::http::async_read(stream, buffer, parser, yield[ec]);
            if (ec && ec != boost::beast::http::error::need_buffer) return false;
            asked->body_bytes += sink.size() - parser.get().body().size;
        }
        return true;
    }

    bool write(Stream& stream, const std::string& bytes, Yield yield) {
        Code ec;
        boost::asio::async_write(stream, boost::asio::buffer(bytes), yield[ec]);
        return !ec;
    }

    bool write_endless(Stream& stream, const std::string& begin, const std::string& again, Yield yield) {
        if (!write(stream, begin, yield)) return false;
        for (std::size_t sent = 0; sent < kEndless; sent += again.size())
            if (!write(stream, again, yield)) return false;
        return false;
    }

    bool answer(Stream& stream, const Asked& asked, Yield yield) {
        const std::string named = "HTTP/1.1 200 OK\r\nMarble-Try: " + asked.try_id + "\r\n";
        const std::string fields = "X-Field: " + std::string(1000, 'f') + "\r\n";
        if (asked.target == "/notices/endless-head") return write_endless(stream, named, fields, yield);
        if (asked.target == "/notices/endless-trailers")
            return write_endless(stream, named + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
                                 fields, yield);
        if (asked.target == "/notices/endless-interim")
            return write_endless(stream, "", "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\n", yield);
        if (asked.target == "/notices/endless-chunks") {
            std::string chunks;
            while (chunks.size() < 60000) chunks += "1\r\nx\r\n";
            return write_endless(stream, named + "Transfer-Encoding: chunked\r\n\r\n", chunks, yield);
        }
        if (asked.target == "/notices/endless-extension")
            return write_endless(stream, named + "Transfer-Encoding: chunked\r\n\r\n5;",
                                 std::string(10000, 'e'), yield);
        std::string body = "{\"service\":\"" + service_ + "\",\"instance\":\"" + instance_ +
                           "\",\"echo\":true,\"bytes\":" + std::to_string(asked.body_bytes) + "}";
        if (asked.target == "/notices/large") body.resize(kLargeAnswer, ' ');
        if (asked.target == "/notices/slow") {
            boost::asio::steady_timer timer(io_, kSlow);
            Code ec;
            timer.async_wait(yield[ec]);
        }
        return write(stream, named + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                     yield) &&
               asked.keep_alive;
    }

    void serve(Stream& stream, Yield yield) {
        boost::beast::flat_buffer buffer;
        for (;;) {
            Asked asked;
            if (!read(stream, buffer, &asked, yield) || !answer(stream, asked, yield)) return;
        }
    }

    std::string service_, instance_, address_;
    boost::asio::io_context io_{1};
    tcp::acceptor acceptor_;
    std::thread thread_;
};
