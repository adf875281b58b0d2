#pragma once
// What takes packed frames from process to process (docs/design.md 3.3): ZeroMQ, or plain sockets where ZeroMQ does
// not fit the machines. All calls come from the thread of the control shard.
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "budget/process_limits.hpp"
#include "pith/error.hpp"

namespace weft {

constexpr std::size_t kMostInDatagram = 1400;  // bytes; one packet on any link

class Carrier {
  public:
    using Take = std::function<void(std::string_view)>;
    virtual ~Carrier() = default;
    // Gives the address it listens on, with its port.
    virtual pith::Result<std::string> open(const std::string& address, Take t) = 0;
    // False where the frame can't be taken: it is dropped. `soft`: it is told again anyway and may be lost.
    virtual bool send(const std::string& address, const std::string& frame, bool soft) = 0;
    virtual void close() = 0;
};

std::unique_ptr<Carrier> zmq_carrier(boost::asio::io_context& io);
/// What its frames hold is counted in `limits`; none: in this machine's.
std::unique_ptr<Carrier> plain_carrier(boost::asio::io_context& io,
                                       std::shared_ptr<budget::ProcessLimits> limits = nullptr);

}  // namespace weft
