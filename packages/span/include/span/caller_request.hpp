#pragma once
/// One request of a caller, from its first byte to the end of its body (docs/design.md 7.10).
///
/// A body is held whole, where there is room, so that it can be sent again. One that is too long for that
/// goes to its server as it comes: one at a time of a worker.
#include <boost/asio/spawn.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

#include "creed/bundle.hpp"
#include "span/caller_connection.hpp"
#include "span/plan.hpp"
#include "span/relay.hpp"

namespace span {

/// The body of a worker that goes to its server as it comes.
class StreamPlace {
  public:
    /// False: another one has it, whose caller keeps up.
    bool enter(budget::Holder& holder);
    void leave(const budget::Holder& holder);

  private:
    budget::Holder* holder_ = nullptr;
};

class CallerRequest : private RestOfBody {
  public:
    CallerRequest(CallerConnection& connection, const creed::Limits& limits, const Dialect& dialect,
                  StreamPlace& place);
    ~CallerRequest() override;
    CallerRequest(const CallerRequest&) = delete;
    CallerRequest& operator=(const CallerRequest&) = delete;

    enum class End {
        ready,    ///< it can be carried out
        refused,  ///< as refusal() says, and nothing more is read from the connection
        gone      ///< nobody is there to be answered
    };
    /// The head, and the body if it is to be held. Bytes of it are there already.
    End read(boost::asio::yield_context y);

    Visit& message() { return parser_.get(); }
    /// None: the body is whole.
    RestOfBody* rest() { return streamed_ ? this : nullptr; }
    const Refusal& refusal() const { return refusal_; }
    /// Its body was read to its end: what comes next on the connection is another request.
    bool whole() const { return parser_.is_done(); }
    bool head_only() const { return head_only_; }

    /// `presence` is told where the caller leaves: until rest() is read first, and once it is read to its
    /// end.
    void watch(CallerPresence* presence);
    void unwatch();

  private:
    using Code = boost::system::error_code;
    boost::optional<std::uint64_t> length() const override;
    Next read(pith::Micros until, boost::asio::yield_context y) override;

    Code read_head(boost::asio::yield_context y);
    Code read_body(boost::asio::yield_context y);
    Code read_some(boost::asio::yield_context y);
    bool sound_head();
    bool invite_body(boost::asio::yield_context y);
    bool count_fields();
    std::uint64_t known_length() const;
    bool too_long_to_hold() const;
    void widen();
    bool stream();
    End ended(const Code& ec);
    End refuse(pith::Kind kind, const std::string& why);

    CallerConnection& connection_;
    const creed::Limits limits_;
    const Dialect& dialect_;
    StreamPlace& place_;
    boost::beast::http::request_parser<budget::CountedBody> parser_;
    Refusal refusal_;
    CallerPresence* presence_ = nullptr;
    std::size_t counted_fields_ = 0;
    bool head_only_ = false, streamed_ = false, begun_ = false;
};

}  // namespace span
