#pragma once
// A server for tests whose every byte the test decides: real sockets on 127.0.0.1, one thread for each
// connection.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/beast/core/string.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace scripted {

/// Opened once; threads wait for it in place of a time.
class Latch {
  public:
    void open() {
        std::lock_guard<std::mutex> lock(mutex_);
        open_ = true;
        changed_.notify_all();
    }
    void wait() {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock, [this] { return open_; });
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool open_ = false;
};

/// A request as it arrived.
struct Request {
    std::string method, target, head, body;
    int connection = 0;     ///< the server's connections counted from 0, over all its addresses
    int on_connection = 0;  ///< requests on this connection counted from 0, proofs of identity left out
    int arrival = 0;        ///< requests counted from 0 over all connections
    /// Value of a header field; empty where it is missing.
    std::string field(const std::string& name) const {
        for (std::size_t at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at + 2)) {
            const std::size_t colon = head.find(':', at);
            if (colon == std::string::npos) return {};
            if (!boost::beast::iequals(head.substr(at + 2, colon - at - 2), name)) continue;
            const std::size_t from = head.find_first_not_of(' ', colon + 1);
            return head.substr(from, head.find("\r\n", from) - from);
        }
        return {};
    }
};

/// One accepted connection. Blocking; the peer's close ends every wait.
class Connection {
  public:
    Connection(int socket, int number) : socket_(socket), number_(number) {}
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    void send(const std::string& bytes) {
        std::size_t sent = 0;
        while (socket_ >= 0 && sent < bytes.size()) {
            const auto n = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) return;
            sent += static_cast<std::size_t>(n);
        }
    }
    void close() {
        std::lock_guard<std::mutex> lock(mutex_);
        if (socket_ >= 0) ::close(socket_);
        socket_ = -1;
    }
    void reset() {
        const linger at_once{1, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }
    /// Returns when the peer has closed or reset the connection.
    void wait_for_close() {
        while (receive()) {
        }
    }
    /// From another thread: ends what the connection's own thread waits for.
    void interrupt() {
        std::lock_guard<std::mutex> lock(mutex_);
        if (socket_ >= 0) ::shutdown(socket_, SHUT_RDWR);
    }
    int number() const { return number_; }

    /// False: the peer closed.
    bool read_head(Request* request) {
        std::size_t end;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (!receive()) return false;
        request->head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        const std::size_t space = request->head.find(' ');
        request->method = request->head.substr(0, space);
        request->target = request->head.substr(space + 1, request->head.find(' ', space + 1) - space - 1);
        request->connection = number_;
        return true;
    }
    bool read_body(Request* request) {
        const std::string length = request->field("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (buffer_.size() < size)
            if (!receive()) return false;
        request->body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }

  private:
    bool receive() {
        char piece[16384];
        const auto n = socket_ < 0 ? 0 : ::recv(socket_, piece, sizeof piece, 0);
        if (n <= 0) return false;
        buffer_.append(piece, static_cast<std::size_t>(n));
        return true;
    }
    std::mutex mutex_;
    std::atomic<int> socket_;
    int number_;
    std::string buffer_;
};

/// What the server does with a request whose head was read. True: it goes on to the connection's next
/// request.
using Script = std::function<bool(Connection&, Request&)>;

/// Listens on several addresses, as that many servers that share one script and one count of arrivals.
class Server {
  public:
    /// `identity`: what it answers to a proof of identity; it is given the number of the address. Null: none
    /// comes.
    Server(int addresses, Script script, std::function<std::string(int)> identity = nullptr)
        : script_(std::move(script)), identity_(std::move(identity)) {
        for (int i = 0; i < addresses; ++i) {
            const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
            const int few = 4096;  // bytes that lie unread here: a large request is not written at once
            ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &few, sizeof few);
            sockaddr_in name{};
            name.sin_family = AF_INET;
            name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            ::bind(listener, reinterpret_cast<sockaddr*>(&name), sizeof name);
            ::listen(listener, 64);
            socklen_t size = sizeof name;
            ::getsockname(listener, reinterpret_cast<sockaddr*>(&name), &size);
            listeners_.push_back(listener);
            addresses_.push_back("127.0.0.1:" + std::to_string(ntohs(name.sin_port)));
        }
        for (int i = 0; i < addresses; ++i) accepting_.emplace_back([this, i] { accept(i); });
    }
    ~Server() {
        for (const int listener : listeners_) ::shutdown(listener, SHUT_RDWR);
        for (auto& thread : accepting_) thread.join();
        for (const int listener : listeners_) ::close(listener);
        {
            std::lock_guard<std::mutex> lock(mutex_);
            for (auto& connection : connections_) connection->interrupt();
        }
        for (auto& thread : serving_) thread.join();
    }
    const std::string& address(int i) const { return addresses_[static_cast<std::size_t>(i)]; }

    /// How often a request that names this try in `field` arrived.
    int arrivals(const std::string& field, const std::string& try_id) {
        std::lock_guard<std::mutex> lock(mutex_);
        int n = 0;
        for (const auto& request : requests_)
            if (request.field(field) == try_id) ++n;
        return n;
    }
    std::vector<Request> requests() {
        std::lock_guard<std::mutex> lock(mutex_);
        return requests_;
    }
    int connections() {
        std::lock_guard<std::mutex> lock(mutex_);
        return static_cast<int>(connections_.size());
    }
    /// Returns once the gateway has ended the connection, or the script has.
    void wait_for_end(int connection) {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock, [&] { return ended_[connection]; });
    }

  private:
    void accept(int address) {
        for (;;) {
            const int socket = ::accept(listeners_[static_cast<std::size_t>(address)], nullptr, nullptr);
            if (socket < 0) return;
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::lock_guard<std::mutex> lock(mutex_);
            connections_.push_back(
                std::make_unique<Connection>(socket, static_cast<int>(connections_.size())));
            serving_.emplace_back([this, address, c = connections_.back().get()] { serve(*c, address); });
        }
    }
    void serve(Connection& connection, int address) {
        int on_connection = 0;
        for (;;) {
            Request request;
            if (!connection.read_head(&request)) break;
            if (identity_ && request.target == "/.marble/identity") {
                connection.send(identity_(address));
                continue;
            }
            request.on_connection = on_connection++;
            {
                std::lock_guard<std::mutex> lock(mutex_);
                request.arrival = static_cast<int>(requests_.size());
                requests_.push_back(request);
            }
            if (!script_(connection, request)) break;
        }
        std::lock_guard<std::mutex> lock(mutex_);
        connection.close();
        ended_[connection.number()] = true;
        changed_.notify_all();
    }

    Script script_;
    std::function<std::string(int)> identity_;
    std::vector<int> listeners_;
    std::vector<std::string> addresses_;
    std::vector<std::thread> accepting_, serving_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::vector<Request> requests_;
    std::map<int, bool> ended_;
};

}  // namespace scripted
