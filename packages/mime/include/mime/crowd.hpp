#pragma once
/// Clients that don't behave: each sends what its script says, as far as the other side takes it, and then
/// stays open. For tests and for the soak, against processes of this machine only.
#include <poll.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mime {

/// Bytes that are sent so many times in a row. kMemberMark in them stands for the member's own number.
constexpr const char* kMemberMark = "@member@";
struct CrowdPart {
    std::string bytes;
    std::uint64_t times = 1;
};
using CrowdScript = std::vector<CrowdPart>;

struct CrowdGroup {
    std::string address;  ///< IP:PORT
    CrowdScript script;
    std::size_t members = 1;
    std::size_t slice = 1 << 20;  ///< bytes that a member sends in one turn, at most
    bool reads = false;           ///< takes what it is sent; without, it leaves all of it unread
    std::size_t comes_again = 0;  ///< times that a member whose connection was closed opens another
};

struct CrowdTally {
    std::uint64_t sent = 0;      ///< bytes that the system took
    std::uint64_t received = 0;  ///< bytes
    std::size_t finished = 0;    ///< members that sent their whole script and are still open
    std::size_t closed = 0;      ///< connections that the other side closed or refused
    std::string last_received;   ///< the beginning of what a member received last, to be shown
};

class Crowd {
  public:
    explicit Crowd(const std::vector<CrowdGroup>& groups);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Sends until no member could send, receive or open anything for `quiet_ms`, or until `stop` says so.
    /// All connections stay open.
    void send_until_quiet(int quiet_ms, const std::function<bool()>& stop = nullptr);
    CrowdTally tally() const;

  private:
    struct Member;
    bool turn(int wait_ms);

    std::vector<std::unique_ptr<Member>> members_;
    std::vector<pollfd> polled_;
};

}  // namespace mime
