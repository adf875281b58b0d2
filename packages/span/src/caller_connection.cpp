#include "span/caller_connection.hpp"

#include <poll.h>
#include <sys/socket.h>

namespace span {

namespace asio = boost::asio;
using asio::ip::tcp;
using Code = boost::system::error_code;

namespace {
constexpr std::size_t kPiece = 4096;
// Bytes of next requests that are read ahead; what goes beyond waits in the system, which holds the caller
// up.
constexpr std::size_t kMostReadAhead = budget::kUnparsedBytes - kPiece;
// Where no more is read ahead an end can only be looked for.
constexpr auto kPollEvery = std::chrono::milliseconds(100);
}  // namespace

CallerConnection::CallerConnection(tcp::socket socket, budget::Holders& all)
    : stream_(std::move(socket)),
      read_done_(stream_.get_executor()),
      poll_timer_(stream_.get_executor()),
      holder_(all, [this] { let_go(); }) {
    Code ec;
    stream_.socket().set_option(tcp::no_delay(true), ec);
}

bool CallerConnection::full() const { return buffer_.size() >= kMostReadAhead; }

void CallerConnection::read_ahead() {
    reading_ = true;
    stream_.socket().async_read_some(buffer_.prepare(kPiece),
                                     [me = shared_from_this()](Code ec, std::size_t bytes) {
                                         me->reading_ = false;
                                         me->buffer_.commit(bytes);
                                         me->read_done_.cancel();
                                         if (ec == asio::error::operation_aborted) return;
                                         if (ec)
                                             me->end();
                                         else if (me->presence_ != nullptr)
                                             me->full() ? me->poll_later() : me->read_ahead();
                                     });
}

void CallerConnection::poll_later() {
    poll_timer_.expires_after(kPollEvery);
    poll_timer_.async_wait([me = shared_from_this()](Code ec) {
        if (ec || me->presence_ == nullptr) return;
        if (me->ended())
            me->end();
        else
            me->poll_later();
    });
}

void CallerConnection::end() {
    ended_ = true;
    if (presence_ != nullptr) presence_->leave();
}

void CallerConnection::watch(CallerPresence* presence) {
    presence_ = presence;
    if (ended_)
        presence_->leave();
    else if (full())
        poll_later();
    else if (!reading_)
        read_ahead();
}

void CallerConnection::unwatch() {
    presence_ = nullptr;
    poll_timer_.cancel();
}

void CallerConnection::stop_reading(asio::yield_context yield) {
    if (!reading_) return;
    Code ec;
    stream_.socket().cancel(ec);
    while (reading_) {
        read_done_.expires_at(std::chrono::steady_clock::time_point::max());
        read_done_.async_wait(yield[ec]);
    }
}

bool CallerConnection::wait_for_bytes(std::chrono::microseconds limit, asio::yield_context yield) {
    if (buffer_.size() == 0 && !ended_) {
        if (!reading_) read_ahead();
        Code ec;
        read_done_.expires_after(limit);
        if (reading_) read_done_.async_wait(yield[ec]);
    }
    stop_reading(yield);
    return buffer_.size() > 0;
}

bool CallerConnection::ended() {
    if (ended_) return true;
    pollfd look{stream_.socket().native_handle(), POLLRDHUP, 0};
    if (::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0)
        return true;
    char byte = 0;
    const auto n = ::recv(look.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void CallerConnection::let_go() {
    if (body_ != nullptr) body_->clear();
    Code ec;
    stream_.socket().close(ec);
}

void CallerConnection::close() {
    Code ec;
    presence_ = nullptr;
    poll_timer_.cancel();
    stream_.socket().close(ec);
}

}  // namespace span
