#pragma once
/// What a process of this machine uses, as the system tells it: memory, descriptors, and bytes that lie in
/// its sockets.
#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <set>
#include <thread>

namespace mime {

struct ProcessUse {
    std::size_t resident = 0;       ///< bytes, now
    std::size_t resident_peak = 0;  ///< bytes, since its start
    std::size_t unread = 0;         ///< bytes that have arrived at its sockets and were not read
    std::size_t unsent = 0;         ///< bytes that it has written and that were not taken by the other side
    std::size_t descriptors = 0;
    std::size_t held() const { return resident + unread + unsent; }
};

/// Its memory alone; all zero where it has ended.
ProcessUse process_memory(pid_t process);
/// `listens`: ports whose connections count from before they are accepted. All zero where it has ended.
ProcessUse process_use(pid_t process, const std::set<unsigned>& listens);

/// Looks again and again, in a thread of its own, until it is destroyed.
class ProcessWatch {
  public:
    ProcessWatch(pid_t process, std::set<unsigned> listens);
    ~ProcessWatch();
    ProcessWatch(const ProcessWatch&) = delete;
    ProcessWatch& operator=(const ProcessWatch&) = delete;

    std::size_t most_held() const { return most_held_; }
    std::size_t most_descriptors() const { return most_descriptors_; }

  private:
    void look();

    pid_t process_;
    std::set<unsigned> listens_;
    std::atomic<std::size_t> most_held_{0}, most_descriptors_{0};
    std::atomic<bool> over_{false};
    std::thread thread_;
};

}  // namespace mime
