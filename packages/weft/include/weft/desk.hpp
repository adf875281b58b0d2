#pragma once
// HTTP/1.1 with JSON towards operators, by Boost.Beast: a small server and a small client
// (docs/design.md 8.2).
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "budget/process_limits.hpp"
#include "pith/error.hpp"
#include "pith/time.hpp"

namespace weft {

namespace http = boost::beast::http;
using Ask = http::request<http::string_body>;
using Answer = http::response<http::string_body>;

Answer json_answer(int status, std::string body);
Answer error_answer(const pith::Error& e);

class Desk {
  public:
    using Reply = std::function<void(Answer)>;
    // Called on the io_context's thread; may reply later, once. A second reply, or one after the time was up,
    // is dropped.
    using Handler = std::function<void(const Ask&, Reply)>;

    /// `parts`: the desk may hold such a part of what operators may, of `limits`; none: of this machine's.
    explicit Desk(boost::asio::io_context& io, std::shared_ptr<budget::ProcessLimits> limits = nullptr,
                  std::size_t parts = kDeskParts);
    static constexpr std::size_t kDeskParts = 4;
    pith::Result<std::string> open(const std::string& address);
    void on(const std::string& method, const std::string& path, Handler h) {
        h_[method + " " + path] = std::move(h);
    }
    void close();
    // How long a handler may take; then the caller is told that the outcome is not known. Before open().
    void reply_in(pith::Micros t) { reply_in_ = t; }

  private:
    struct Impl;
    boost::asio::io_context& io_;
    std::shared_ptr<budget::ProcessLimits> limits_;
    std::size_t parts_;
    pith::Micros reply_in_ = 10 * pith::kSecond;
    std::map<std::string, Handler> h_;
    std::shared_ptr<Impl> impl_;
};

/// Bounds what may lie unread or unsent in a connection before it is opened, or in each that the acceptor takes.
void bound_socket_buffers(boost::asio::ip::tcp::socket& socket);
void bound_socket_buffers(boost::asio::ip::tcp::acceptor& acceptor);

// One exchange with a deadline; the body of an answer is bounded.
pith::Result<Answer> call(boost::asio::io_context& io, const std::string& address, Ask q,
                          pith::Micros deadline, boost::asio::yield_context y);
// The same where there is no coroutine yet: runs an io_context of its own.
pith::Result<Answer> call_blocking(const std::string& address, Ask q, pith::Micros deadline);

// "10.0.0.4:7000" -> endpoint; the address was checked before.
boost::asio::ip::tcp::endpoint endpoint(const std::string& address);

}  // namespace weft
