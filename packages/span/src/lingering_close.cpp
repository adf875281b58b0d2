#include "span/lingering_close.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

namespace span {

namespace asio = boost::asio;
using asio::ip::tcp;
using Code = boost::system::error_code;
using pith::Micros;

namespace {
constexpr std::size_t kPiece = 16 * 1024;  // bytes that are read and dropped at once
}

// Owns the buffer that the system writes into, until the read that is under way has ended.
struct LingeringClose::State : std::enable_shared_from_this<State> {
    State(std::shared_ptr<CallerConnection> its_connection, const LingerLimits& its_limits)
        : connection(std::move(its_connection)),
          limits(its_limits),
          over_told(connection->stream().get_executor()) {}

    void read() {
        connection->stream().socket().async_read_some(
            asio::buffer(piece),
            [me = shared_from_this()](Code ec, std::size_t bytes) { me->dropped(ec, bytes); });
    }

    void dropped(const Code& ec, std::size_t bytes) {
        total += bytes;
        heard = pith::mono_now();
        connection->holder().peer_moved(bytes);
        if (!ec && !abandoned && total < limits.bytes && heard < begun + limits.whole) return read();
        over = true;
        over_told.cancel();
    }

    Micros until() const { return std::min(begun + limits.whole, heard + limits.pause); }

    const std::shared_ptr<CallerConnection> connection;
    const LingerLimits limits;
    asio::steady_timer over_told;
    std::array<char, kPiece> piece;
    std::uint64_t total = 0;
    const Micros begun = pith::mono_now();
    Micros heard = begun;
    bool over = false, abandoned = false;
};

LingeringClose::LingeringClose(std::shared_ptr<CallerConnection> connection)
    : connection_(std::move(connection)) {}

// The read that may be under way ends with the connection.
LingeringClose::~LingeringClose() {
    if (state_) state_->abandoned = true;
}

void LingeringClose::begin(const LingerLimits& limits, asio::yield_context yield) {
    connection_->stop_reading(yield);
    connection_->drop_buffer();
    connection_->holder().peer_waited_for();
    state_ = std::make_shared<State>(connection_, limits);
    state_->read();
}

void LingeringClose::finish(asio::yield_context yield) {
    Code ec;
    connection_->stream().socket().shutdown(tcp::socket::shutdown_send, ec);
    connection_->holder().peer_waited_for();
    state_->heard = pith::mono_now();  // while the answer was written a caller may have had to read first
    while (!state_->over && pith::mono_now() < state_->until()) {
        state_->over_told.expires_at(
            std::chrono::steady_clock::time_point(std::chrono::microseconds(state_->until())));
        state_->over_told.async_wait(yield[ec]);
    }
}

}  // namespace span
