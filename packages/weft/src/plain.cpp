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

#include "budget/counted_string.hpp"
#include "budget/holders.hpp"
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
constexpr std::size_t kPiece = 16 * 1024;  // bytes of a frame that are read at once
constexpr std::size_t kLinks = 2;          // of a process, at most
constexpr std::size_t kPartsOfBytes = 2 * kLinks;  // half of what nodes may hold is for frames that go out
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
    Outgoing(asio::io_context& io, tcp::endpoint to, std::shared_ptr<budget::Account> all)
        : socket_(io), timer_(io), to_(std::move(to)), all_(std::move(all)) {}
    ~Outgoing() { all_->give(bytes_); }

    bool send(const std::string& f) {
        if (q_.size() >= kMostQueued || bytes_ + f.size() > kMostBytes) return false;
        if (state_ == failed || !all_->take(f.size())) return false;
        bytes_ += f.size();
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
            me->all_->give(me->q_.front().size());
            me->q_.pop_front();
            me->rest();
            me->write();
        });
    }
    void forget() {
        all_->give(bytes_);
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
    std::shared_ptr<budget::Account> all_;  // bytes queued to all peers
    bool writing_ = false;
    std::array<unsigned char, 4> head_{};
};

// What all streams to us share with the carrier, which they may outlive.
struct Receiving {
    Receiving(Carrier::Take its_take, std::shared_ptr<budget::ProcessLimits> its_limits)
        : take(std::move(its_take)),
          limits(std::move(its_limits)),
          holders(limits->nodes, kPartsOfBytes, kLinks) {}
    Carrier::Take take;
    std::shared_ptr<budget::ProcessLimits> limits;
    budget::Holders holders;
    std::array<char, kPiece> piece{};  // of the frame that is read just now
    bool open = true;
};

// A peer's stream to us. The frame's tag is checked by who takes it; until then it may be anybody's, and is
// held and counted as it comes.
class Incoming : public std::enable_shared_from_this<Incoming> {
  public:
    Incoming(tcp::socket s, std::shared_ptr<Receiving> receiving)
        : socket_(std::move(s)),
          timer_(socket_.get_executor()),
          receiving_(std::move(receiving)),
          holder_(receiving_->holders, [this] { let_go(); }) {
        watch(socket_);
        Code ec;
        socket_.non_blocking(true, ec);
        body_.counted_by(&holder_);
    }
    bool admitted() const { return holder_.admitted(); }
    void read() {
        timer_.expires_after(3 * kIdle);
        timer_.async_wait([w = weak_from_this()](Code e) {
            const auto me = w.lock();
            Code ec;
            if (!e && me) me->socket_.close(ec);
        });
        holder_.peer_waited_for();
        asio::async_read(socket_, asio::buffer(head_), [me = shared_from_this()](Code e, std::size_t) {
            if (e || !me->receiving_->open) return me->done();
            me->size_ = 0;
            for (std::size_t i = 0; i < me->head_.size(); ++i)
                me->size_ |= static_cast<std::size_t>(me->head_[i]) << (8 * i);
            if (me->size_ == 0 || me->size_ > kMaxFrame) return me->done();
            me->holder_.peer_waited_for();
            me->read_body();
        });
    }

  private:
    void read_body() {
        socket_.async_wait(tcp::socket::wait_read, [me = shared_from_this()](Code e) {
            if (e || !me->receiving_->open) return me->done();
            auto& piece = me->receiving_->piece;
            const std::size_t most = std::min(piece.size(), me->size_ - me->body_.size());
            const std::size_t n = me->socket_.read_some(asio::buffer(piece.data(), most), e);
            if (e == asio::error::would_block) return me->read_body();
            if (e || !me->body_.append(piece.data(), n, me->size_)) return me->done();
            me->holder_.peer_moved(n);
            if (me->body_.size() < me->size_) return me->read_body();
            me->whole();
        });
    }
    void whole() {
        holder_.peer_done();
        receiving_->take(body_.text());
        if (size_ > kPiece) body_.clear();
        body_.drop_contents();
        read();
    }
    void done() {
        timer_.cancel();
        let_go();
    }
    void let_go() {
        Code ec;
        body_.clear();
        socket_.close(ec);
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    std::shared_ptr<Receiving> receiving_;
    budget::Holder holder_;
    std::array<unsigned char, 4> head_{};
    std::size_t size_ = 0;  // of the frame that is read
    budget::CountedString body_;
};

class Plain : public Carrier {
  public:
    Plain(asio::io_context& io, std::shared_ptr<budget::ProcessLimits> limits)
        : io_(io),
          acceptor_(io),
          datagrams_(io),
          again_(io),
          limits_(std::move(limits)),
          queued_(std::make_shared<budget::Account>(kMostInAll, &limits_->nodes.bytes)) {}
    ~Plain() override { close(); }

    pith::Result<std::string> open(const std::string& address, Take t) override {
        receiving_ = std::make_shared<Receiving>(std::move(t), limits_);
        const auto ep = endpoint(address);
        Code ec;
        acceptor_.open(ep.protocol(), ec);
        if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
        if (!ec) bound_socket_buffers(acceptor_);
        if (!ec) acceptor_.bind(ep, ec);
        if (!ec) acceptor_.listen(limits_->others_waiting, ec);
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
        receiving_->open = false;
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
            const auto incoming = std::make_shared<Incoming>(std::move(s), receiving_);
            if (incoming->admitted()) incoming->read();  // else closed at once
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
                receiving_->take(std::string_view(got_.data(), n));
            }
            if (*a) wait();
        });
    }

    asio::io_context& io_;
    tcp::acceptor acceptor_;
    udp::socket datagrams_;
    asio::steady_timer again_;
    std::shared_ptr<budget::ProcessLimits> limits_;
    std::shared_ptr<Receiving> receiving_;
    std::map<std::string, std::shared_ptr<Outgoing>> out_;
    std::shared_ptr<budget::Account> queued_;
    std::array<char, 2048> got_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool open_ = false;
};

}  // namespace

std::unique_ptr<Carrier> plain_carrier(asio::io_context& io, std::shared_ptr<budget::ProcessLimits> limits) {
    if (!limits) limits = std::make_shared<budget::ProcessLimits>(0, 0);
    return std::make_unique<Plain>(io, std::move(limits));
}

}  // namespace weft
