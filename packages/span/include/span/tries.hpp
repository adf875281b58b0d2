#pragma once
// Tries seen before are never sent again (docs/design.md 7.4). Bounded: the newest kMost of each shard.
#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

#include "pith/time.hpp"

namespace span {

class Tries {
  public:
    static constexpr std::size_t kShards = 16;
    static constexpr std::size_t kMost = 4096;  // of each shard: 65536 tries in all
    static constexpr pith::Micros kKeep = 120 * pith::kSecond;

    // False where it is in flight or was sent lately. A try that was turned away is let go again.
    bool begin(pith::Micros now, const std::string& customer, const std::string& id);
    void sent(const std::string& customer, const std::string& id);
    void let_go(const std::string& customer, const std::string& id);  // only where not sent
    // Sent or not, it is known that nothing was run: the servers it was sent to said so.
    void not_run(const std::string& customer, const std::string& id);

  private:
    struct One {
        pith::Micros at;
        bool sent;
    };
    struct Shard {
        std::mutex m;
        std::unordered_map<std::string, One> t;
        std::deque<std::pair<pith::Micros, std::string>> order;
    };
    static std::string key(const std::string& c, const std::string& id) { return c + '\n' + id; }
    Shard& shard(const std::string& k);
    std::array<Shard, kShards> s_;
};

}  // namespace span
