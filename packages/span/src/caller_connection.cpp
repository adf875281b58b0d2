#include "span/caller_connection.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

namespace span {

namespace asio = boost::asio;
using asio::ip::tcp;
using Code = boost::system::error_code;

namespace {
constexpr std::size_t kPiece = 4096;
// Bytes of next requests that are read ahead, where there is room to spare; what goes beyond waits in the
// system, which holds the caller up.
constexpr std::size_t kMostReadAhead = 128 * 1024;
// Of the buffer for each piece: it doubles as it grows.
constexpr std::size_t kCountedForPiece = 2 * kPiece;
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

// False: no more is to be read ahead.
bool CallerConnection::room_ahead() {
    const std::size_t size = buffer_.size() + kPiece;
    if (size > kMostReadAhead) return false;
    if (size <= budget::kUnparsedBytes) return true;
    if (!holder_.take_spare(kCountedForPiece)) return false;
    ahead_ += kCountedForPiece;
    buffer_.max_size(std::max(buffer_.max_size(), size));
    return true;
}

void CallerConnection::give_room_back() {
    if (ahead_ == 0 || buffer_.size() > budget::kUnparsedBytes) return;
    buffer_.shrink_to_fit();
    holder_.give(ahead_);
    ahead_ = 0;
}

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
                                             me->room_ahead() ? me->read_ahead() : me->poll_later();
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
    else if (!reading_)
        room_ahead() ? read_ahead() : poll_later();
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

void CallerConnection::drop_buffer() {
    buffer_.consume(buffer_.size());
    give_room_back();
}

bool CallerConnection::wait_for_bytes(std::chrono::microseconds limit, asio::yield_context yield) {
    give_room_back();
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

void CallerConnection::widen() {
    if (!wide_) wide_.emplace(stream_.socket(), holder_, Wide::receive);
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
