#pragma once
/// A caller's connection, read ahead while a request of it is under way (docs/design.md 7.9).
///
/// A close or a reset is seen as it arrives, also behind the bytes of a next request: these are kept, and are
/// where that request is read from. Not thread-safe: one worker's thread.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/optional.hpp>
#include <chrono>
#include <memory>

#include "budget/counted_string.hpp"
#include "budget/holders.hpp"
#include "span/caller_presence.hpp"
#include "span/wide_socket.hpp"

namespace span {

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
  public:
    CallerConnection(boost::asio::ip::tcp::socket socket, budget::Holders& all);

    /// Where what this connection holds is counted. Where it has to go, its socket is closed and held_body()
    /// let go.
    budget::Holder& holder() { return holder_; }
    /// Long bodies come through it from now on.
    void widen();
    /// The body of the request under way; none: null.
    void held_body(budget::CountedString* body) { body_ = body; }

    boost::beast::tcp_stream& stream() { return stream_; }
    boost::beast::flat_buffer& buffer() { return buffer_; }

    /// Waits until bytes of a next request are there; afterwards nothing is read ahead. False: none came
    /// within `limit`, or the connection ended.
    bool wait_for_bytes(std::chrono::microseconds limit, boost::asio::yield_context yield);

    /// Reads ahead from now on, and tells `presence` where the caller ends the connection. Until unwatch()
    /// nothing else may read from the stream or touch the buffer.
    void watch(CallerPresence* presence);
    /// Tells nobody any more. The read that is under way goes on, for wait_for_bytes().
    void unwatch();
    /// Ends the read that is under way, if there is one; then the stream may be read from.
    void stop_reading(boost::asio::yield_context yield);
    /// Lets go of what was read ahead. No read may be under way.
    void drop_buffer();

    /// Asks the system, without waiting: for where this process may have stood still since it read last.
    bool ended();
    void close();

  private:
    void read_ahead();
    void poll_later();
    void end();
    bool room_ahead();
    void give_room_back();
    void let_go();

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    boost::asio::steady_timer read_done_, poll_timer_;
    CallerPresence* presence_ = nullptr;
    bool reading_ = false, ended_ = false;
    budget::CountedString* body_ = nullptr;
    budget::Holder holder_;
    boost::optional<WideSocket> wide_;
    std::size_t ahead_ = 0;  // bytes of the buffer that are counted, beyond what every connection may have
};

}  // namespace span
