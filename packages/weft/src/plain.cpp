// Frames over plain sockets: soft and small ones as datagrams, all others over a stream for each peer
// (docs/design.md 3.3).
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <map>

#include "pith/time.hpp"
#include "weft/carrier.hpp"
#include "weft/codec.hpp"
#include "weft/desk.hpp"

namespace weft {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using Code = boost::system::error_code;

namespace {

constexpr std::size_t kMostQueued = 128;  // frames to one peer
constexpr std::size_t kMostBytes = kMaxFrame + 65536;  // to one peer
constexpr std::size_t kMostInAll = kMaxFrame + kMaxFrame / 4;  // to all of them together
constexpr std::size_t kMostPeers = 2048;
constexpr std::size_t kMostIncoming = 2048;
constexpr int kUnheardMs = 2000;  // a stream whose peer acknowledges nothing for so long is given up
constexpr auto kConnectIn = std::chrono::milliseconds(1000);
constexpr auto kIdle = std::chrono::seconds(5);  // each peer's stream takes a descriptor
constexpr auto kAgain = std::chrono::milliseconds(100);

// A peer that is cut off or without power answers nothing: the system is told to give up soon.
void watch(tcp::socket& s) {
    Code ec;
    s.set_option(tcp::no_delay(true), ec);
    const int h = s.native_handle();
    int v = kUnheardMs;
    ::setsockopt(h, IPPROTO_TCP, TCP_USER_TIMEOUT, &v, sizeof v);
}

std::array<unsigned char, 4> length_of(std::size_t n) {
    std::array<unsigned char, 4> b{};
    for (std::size_t i = 0; i < b.size(); ++i) b[i] = static_cast<unsigned char>(n >> (8 * i));
    return b;
}

// The stream to one peer: opened when there is something to say, closed after a while of silence.
class Outgoing : public std::enable_shared_from_this<Outgoing> {
  public:
    Outgoing(asio::io_context& io, tcp::endpoint to, std::shared_ptr<std::size_t> all)
        : socket_(io), timer_(io), to_(std::move(to)), all_(std::move(all)) {}
    ~Outgoing() { *all_ -= bytes_; }

    bool send(const std::string& f) {
        if (q_.size() >= kMostQueued || bytes_ + f.size() > kMostBytes || *all_ + f.size() > kMostInAll)
            return false;
        if (state_ == failed) return false;
        bytes_ += f.size();
        *all_ += f.size();
        q_.push_back(f);
        if (state_ == closed) connect();
        if (state_ == open && !writing_) write();
        return true;
    }
    void close() {
        Code ec;
        state_ = failed;
        socket_.close(ec);
        timer_.cancel();
        forget();
    }

  private:
    enum State { closed, connecting, open, failed };

    void connect() {
        state_ = connecting;
        Code ec;
        socket_.open(to_.protocol(), ec);
        if (!ec) watch(socket_);
        timer_.expires_after(kConnectIn);
        timer_.async_wait([me = shared_from_this()](Code e) {
            if (!e && me->state_ == connecting) me->fail();
        });
        socket_.async_connect(to_, [me = shared_from_this()](Code e) {
            if (me->state_ != connecting) return;
            if (e) return me->fail();
            me->state_ = open;
            me->rest();
            me->write();
        });
    }
    // What was queued is lost: it is said again, or asked for. The next try is a little later.
    void fail() {
        Code ec;
        socket_.close(ec);
        forget();
        writing_ = false;
        state_ = failed;
        timer_.expires_after(kAgain);
        timer_.async_wait([me = shared_from_this()](Code e) {
            if (!e && me->state_ == failed) me->state_ = closed;
        });
    }
    void write() {
        if (q_.empty()) return;
        writing_ = true;
        head_ = length_of(q_.front().size());
        const std::array<asio::const_buffer, 2> b{asio::buffer(head_), asio::buffer(q_.front())};
        asio::async_write(socket_, b, [me = shared_from_this()](Code e, std::size_t) {
            if (me->state_ != open) return;
            if (e) return me->fail();
            me->writing_ = false;
            me->bytes_ -= me->q_.front().size();
            *me->all_ -= me->q_.front().size();
            me->q_.pop_front();
            me->rest();
            me->write();
        });
    }
    void forget() {
        *all_ -= bytes_;
        bytes_ = 0;
        q_.clear();
    }
    void rest() {
        timer_.expires_after(kIdle);
        timer_.async_wait([me = shared_from_this()](Code e) {
            if (e || me->state_ != open || me->writing_) return;
            Code ec;
            me->socket_.close(ec);
            me->state_ = closed;
        });
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    tcp::endpoint to_;
    State state_ = closed;
    std::deque<std::string> q_;
    std::size_t bytes_ = 0;
    std::shared_ptr<std::size_t> all_;  // bytes queued to all peers
    bool writing_ = false;
    std::array<unsigned char, 4> head_{};
};

// A peer's stream to us. The frame's tag is checked by who takes it.
class Incoming : public std::enable_shared_from_this<Incoming> {
  public:
    Incoming(tcp::socket s, Carrier::Take& t, std::size_t& n, std::shared_ptr<bool> alive)
        : socket_(std::move(s)), timer_(socket_.get_executor()), take_(t), n_(n), alive_(std::move(alive)) {
        ++n_;
        watch(socket_);
    }
    ~Incoming() {
        if (*alive_) --n_;
    }
    void read() {
        timer_.expires_after(3 * kIdle);
        timer_.async_wait([w = weak_from_this()](Code e) {
            const auto me = w.lock();
            Code ec;
            if (!e && me) me->socket_.close(ec);
        });
        asio::async_read(socket_, asio::buffer(head_), [me = shared_from_this()](Code e, std::size_t) {
            if (e || !*me->alive_) return me->done();
            std::size_t n = 0;
            for (std::size_t i = 0; i < me->head_.size(); ++i)
                n |= static_cast<std::size_t>(me->head_[i]) << (8 * i);
            if (n == 0 || n > kMaxFrame) return me->done();
            me->body_.resize(n);
            asio::async_read(me->socket_, asio::buffer(me->body_), [me](Code f, std::size_t) {
                if (f || !*me->alive_) return me->done();
                me->take_(me->body_);
                if (me->body_.capacity() > 65536) std::string().swap(me->body_);
                me->read();
            });
        });
    }

  private:
    void done() { timer_.cancel(); }
    tcp::socket socket_;
    asio::steady_timer timer_;
    Carrier::Take& take_;
    std::size_t& n_;
    std::shared_ptr<bool> alive_;
    std::array<unsigned char, 4> head_{};
    std::string body_;
};

class Plain : public Carrier {
  public:
    explicit Plain(asio::io_context& io) : io_(io), acceptor_(io), datagrams_(io), again_(io) {}
    ~Plain() override { close(); }

    pith::Result<std::string> open(const std::string& address, Take t) override {
        take_ = std::move(t);
        const auto ep = endpoint(address);
        Code ec;
        acceptor_.open(ep.protocol(), ec);
        if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
        if (!ec) acceptor_.bind(ep, ec);
        if (!ec) acceptor_.listen(512, ec);
        tcp::endpoint at;
        if (!ec) at = acceptor_.local_endpoint(ec);
        const udp::endpoint u{at.address(), at.port()};
        if (!ec) datagrams_.open(u.protocol(), ec);
        if (!ec) datagrams_.bind(u, ec);
        if (!ec) datagrams_.non_blocking(true, ec);
        if (ec)
            return pith::fail(pith::Kind::settings_wrong, "can't bind weft address " + address + ": " + ec.message() +
                                                              ": free it or set another");
        open_ = true;
        accept();
        wait();
        return at.address().to_string() + ":" + std::to_string(at.port());
    }

    bool send(const std::string& address, const std::string& f, bool soft) override {
        if (!open_) return false;
        if (soft && f.size() <= kMostInDatagram) {
            const auto t = endpoint(address);
            Code ec;
            datagrams_.send_to(asio::buffer(f), udp::endpoint{t.address(), t.port()}, 0, ec);
            return !ec;
        }
        auto i = out_.find(address);
        if (i == out_.end()) {
            if (out_.size() >= kMostPeers) return false;
            i = out_.emplace(address, std::make_shared<Outgoing>(io_, endpoint(address), queued_)).first;
        }
        return i->second->send(f);
    }

    void close() override {
        if (!open_) return;
        open_ = false;
        *alive_ = false;
        Code ec;
        acceptor_.close(ec);
        datagrams_.close(ec);
        for (auto& o : out_) o.second->close();
        out_.clear();
    }

  private:
    void accept() {
        acceptor_.async_accept([this, a = alive_](Code ec, tcp::socket s) {
            if (!*a) return;
            if (ec) {  // out of descriptors, say: a moment later there may be some
                again_.expires_after(kAgain);
                again_.async_wait([this, a](Code e) {
                    if (!e && *a) accept();
                });
                return;
            }
            if (in_ < kMostIncoming) std::make_shared<Incoming>(std::move(s), take_, in_, alive_)->read();
            accept();
        });
    }
    void wait() {
        datagrams_.async_wait(udp::socket::wait_read, [this, a = alive_](Code ec) {
            if (ec || !*a) return;
            for (int i = 0; i < 64 && *a; ++i) {
                Code e;
                const std::size_t n = datagrams_.receive(asio::buffer(got_), 0, e);
                if (e) break;
                take_(std::string_view(got_.data(), n));
            }
            if (*a) wait();
        });
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    udp::socket datagrams_;
    asio::steady_timer again_;
    Take take_;
    std::map<std::string, std::shared_ptr<Outgoing>> out_;
    std::shared_ptr<std::size_t> queued_ = std::make_shared<std::size_t>(0);
    std::size_t in_ = 0;
    std::array<char, 2048> got_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool open_ = false;
};

}  // namespace

std::unique_ptr<Carrier> plain_carrier(asio::io_context& io) { return std::make_unique<Plain>(io); }

}  // namespace weft
