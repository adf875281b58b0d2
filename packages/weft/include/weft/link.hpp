#pragma once
// Tagged frames between processes, over a carrier (docs/design.md 3.3).
// All calls come from the thread of the control shard.
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "pith/error.hpp"
#include "pith/log.hpp"
#include "pith/time.hpp"
#include "weft/carrier.hpp"
#include "weft/messages.hpp"

namespace weft {

struct LinkTally {
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> kinds;  // sent, bytes, by message
    std::uint64_t sent = 0, sent_bytes = 0, unsent = 0, heard = 0, heard_bytes = 0, dropped = 0;
};

// Whether plain links carry the message as one datagram, which may be lost, rather than over a stream.
bool goes_as_datagram(const Msg& message, std::size_t bytes);

class Link {
  public:
    using Hear = std::function<void(Envelope&)>;
    Link(boost::asio::io_context& io, std::string fleet, std::string secret, std::string name,
         bool plain = false, std::shared_ptr<budget::ProcessLimits> limits = nullptr);
    ~Link();
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    pith::Result<std::string> open(const std::string& address, Hear h);
    void inc(std::uint64_t i) { inc_ = i; }
    void send(const std::string& address, const Msg& m);
    void close();
    const LinkTally& tally() const { return tally_; }

  private:
    void take(std::string_view b);

    std::unique_ptr<Carrier> carrier_;
    std::string fleet_, secret_, name_;
    std::uint64_t inc_ = 0, seq_ = 0;
    Hear hear_;
    LinkTally tally_;
    pith::Seldom seldom_{5 * pith::kSecond};
};

}  // namespace weft
