#include "mime/crowd.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "pith/time.hpp"
#include "weft/desk.hpp"

namespace mime {

namespace {
constexpr int kTurnMs = 20;  // at most, in one wait for events
constexpr pith::Micros kComesAgainIn = 200 * pith::kMilli;
constexpr std::size_t kShown = 400;  // bytes of what was received last
}  // namespace

struct Crowd::Member {
    Member(const CrowdGroup& its_group, std::size_t number)
        : group(its_group), again_left(its_group.comes_again) {
        for (auto& some : group.script) name(&some.bytes, number);
        open();
    }
    ~Member() { close(); }
    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;

    static void name(std::string* bytes, std::size_t number) {
        const std::string mark = kMemberMark;
        for (auto at = bytes->find(mark); at != std::string::npos; at = bytes->find(mark, at))
            bytes->replace(at, mark.size(), std::to_string(number));
    }

    bool finished() const { return part >= group.script.size(); }
    short wanted() const {
        const int events = (finished() ? 0 : POLLOUT) | (group.reads ? POLLIN : 0);
        return static_cast<short>(events);
    }

    void open() {
        part = repeat = offset = 0;
        const auto endpoint = weft::endpoint(group.address);
        fd = ::socket(endpoint.protocol().family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd < 0) return;
        if (::connect(fd, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0 &&
            errno != EINPROGRESS)
            lose();
    }

    void close() {
        if (fd >= 0) ::close(fd);
        fd = -1;
    }

    // The other side has closed the connection, or never took it.
    void lose() {
        close();
        ++closed;
        again_at = pith::mono_now() + kComesAgainIn;
    }

    bool comes_again(pith::Micros now) const { return fd < 0 && again_left > 0 && now >= again_at; }
    void come_again() {
        --again_left;
        open();
    }

    // True: something was taken.
    bool send() {
        std::size_t left = group.slice;
        bool any = false;
        while (!finished() && left > 0) {
            const std::string& bytes = group.script[part].bytes;
            const std::size_t size = std::min(left, bytes.size() - offset);
            const ssize_t taken = ::send(fd, bytes.data() + offset, size, MSG_NOSIGNAL);
            if (taken < 0) {
                if (errno != EAGAIN && errno != EINTR) lose();
                return any;
            }
            any = true;
            sent += static_cast<std::uint64_t>(taken);
            left -= static_cast<std::size_t>(taken);
            step(static_cast<std::size_t>(taken));
        }
        return any;
    }

    void step(std::size_t bytes) {
        offset += bytes;
        if (offset < group.script[part].bytes.size()) return;
        offset = 0;
        if (++repeat < group.script[part].times) return;
        repeat = 0;
        ++part;
    }

    bool receive() {
        std::array<char, 65536> sink;
        const ssize_t came = ::recv(fd, sink.data(), sink.size(), 0);
        if (came < 0 && (errno == EAGAIN || errno == EINTR)) return false;
        if (came <= 0) {
            lose();
            return true;
        }
        received += static_cast<std::uint64_t>(came);
        last_received.assign(sink.data(), std::min(static_cast<std::size_t>(came), kShown));
        return true;
    }

    CrowdGroup group;
    std::size_t again_left;
    pith::Micros again_at = 0;
    int fd = -1;
    std::size_t part = 0, repeat = 0, offset = 0;
    std::uint64_t sent = 0, received = 0;
    std::size_t closed = 0;
    std::string last_received;
};

Crowd::Crowd(const std::vector<CrowdGroup>& groups) {
    for (const auto& group : groups)
        for (std::size_t i = 0; i < group.members; ++i)
            members_.push_back(std::make_unique<Member>(group, members_.size()));
}

Crowd::~Crowd() = default;

// One look at every connection. True: something moved.
bool Crowd::turn(int wait_ms) {
    polled_.clear();
    std::vector<Member*> who;
    const pith::Micros now = pith::mono_now();
    for (const auto& member : members_) {
        if (member->comes_again(now)) member->come_again();
        if (member->fd < 0) continue;
        polled_.push_back({member->fd, member->wanted(), 0});
        who.push_back(member.get());
    }
    if (polled_.empty() || ::poll(polled_.data(), polled_.size(), wait_ms) <= 0) return false;
    bool moved = false;
    for (std::size_t i = 0; i < who.size(); ++i) {
        const short events = polled_[i].revents;
        Member& member = *who[i];
        if ((events & POLLIN) != 0) moved = member.receive() || moved;
        if (member.fd != polled_[i].fd) continue;  // it was lost, and may have come again
        if ((events & POLLOUT) != 0) {
            moved = member.send() || moved;
        } else if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
            member.lose();
            moved = true;
        }
    }
    return moved;
}

void Crowd::send_until_quiet(int quiet_ms, const std::function<bool()>& stop) {
    pith::Micros moved_at = pith::mono_now();
    while (pith::mono_now() - moved_at < quiet_ms * pith::kMilli) {
        if (stop && stop()) return;
        if (turn(kTurnMs)) moved_at = pith::mono_now();
    }
}

CrowdTally Crowd::tally() const {
    CrowdTally tally;
    for (const auto& member : members_) {
        tally.sent += member->sent;
        tally.received += member->received;
        tally.closed += member->closed;
        if (!member->last_received.empty()) tally.last_received = member->last_received;
        tally.finished += member->fd >= 0 && member->finished() ? 1 : 0;
    }
    return tally;
}

}  // namespace mime
