#pragma once
/// Clients of a soak that don't behave: they come to every proxy, send what has no end or stops short of it,
/// leave answers unread, and come again when they are closed (docs/proof.md, "Soak").
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "mime/crowd.hpp"

namespace mime {

struct SoakCrowdPlan {
    std::vector<std::string> addresses;  ///< of proxies, where callers reach them
    std::string service, key;
    std::size_t members = 8;  ///< of the crowd at one proxy
    std::uint64_t seed = 1;
};

class SoakCrowd {
  public:
    /// Comes at once, in a thread of its own.
    explicit SoakCrowd(const SoakCrowdPlan& plan);
    /// Everybody leaves.
    ~SoakCrowd();
    SoakCrowd(const SoakCrowd&) = delete;
    SoakCrowd& operator=(const SoakCrowd&) = delete;

  private:
    std::atomic<bool> over_{false};
    std::thread thread_;
};

}  // namespace mime
