#pragma once
/// The end of a caller's connection, in which its last answer can still be read (docs/design.md 7.11, RFC
/// 9112 9.6).
///
/// A close with unread bytes resets the connection, and a reset may take the answer from a caller that is
/// still sending. So what comes after the last request that is taken, be it the rest of that request's body,
/// is read and dropped: while the answer is written, and for a bounded time and number of bytes afterwards.
/// None of it is parsed. Not thread-safe: one worker's thread.
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <memory>

#include "pith/time.hpp"
#include "span/caller_connection.hpp"

namespace span {

/// How long a connection is read from after its last answer was begun.
struct LingerLimits {
    std::uint64_t bytes;  ///< dropped in all
    pith::Micros pause;   ///< in which the caller sends nothing, once the answer is written
    pith::Micros whole;   ///< from the begin to the close
};

class LingeringClose {
  public:
    explicit LingeringClose(std::shared_ptr<CallerConnection> connection);
    ~LingeringClose();
    LingeringClose(const LingeringClose&) = delete;
    LingeringClose& operator=(const LingeringClose&) = delete;

    /// From now on no request is read from the connection, and what comes is dropped.
    void begin(const LingerLimits& limits, boost::asio::yield_context yield);
    bool begun() const { return state_ != nullptr; }
    /// The answer is written: waits until the caller has ended the connection, or a limit is reached.
    void finish(boost::asio::yield_context yield);

  private:
    struct State;
    const std::shared_ptr<CallerConnection> connection_;
    std::shared_ptr<State> state_;
};

}  // namespace span
