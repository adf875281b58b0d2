#pragma once
/// Wide buffers for a socket while it carries a long body, where there is room (docs/design.md 7.10).
///
/// Sockets have narrow buffers, since what lies in them is memory too; a long body goes slowly through these.
/// What has been promised to a sender can't be taken back: a buffer for what is received stays wide as long
/// as its connection lives.
#include <boost/asio/ip/tcp.hpp>

#include "budget/holders.hpp"

namespace span {

constexpr std::size_t kShortBody = 64 * 1024;    ///< bytes; a longer one is given wide buffers
constexpr std::size_t kWideBuffer = 256 * 1024;  ///< bytes that may lie in one

/// The direction that is wide for as long as the object lives.
enum class Wide { receive, send };

class WideSocket {
  public:
    WideSocket(boost::asio::ip::tcp::socket& socket, budget::Source& memory, Wide direction)
        : socket_(socket), room_(memory, kWideBuffer), direction_(direction) {
        if (room_) set(kWideBuffer);
    }
    ~WideSocket() {
        if (room_ && direction_ == Wide::send) set(budget::kSendBuffer);
    }
    /// False: there was no room, and the buffer is as narrow as it was.
    explicit operator bool() const { return static_cast<bool>(room_); }
    WideSocket(const WideSocket&) = delete;
    WideSocket& operator=(const WideSocket&) = delete;

  private:
    // The system doubles what it is told.
    void set(std::size_t bytes) {
        boost::system::error_code ec;
        const int told = static_cast<int>(bytes / 2);
        if (direction_ == Wide::receive)
            socket_.set_option(boost::asio::socket_base::receive_buffer_size(told), ec);
        else
            socket_.set_option(boost::asio::socket_base::send_buffer_size(told), ec);
    }

    boost::asio::ip::tcp::socket& socket_;
    const budget::Charge room_;
    const Wide direction_;
};

}  // namespace span
