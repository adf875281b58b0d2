#pragma once
// Tries seen before are never sent again (docs/design.md 7.4). Bounded: the newest kMost of each shard.
#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

#include "pith/hash.hpp"
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
    /// Stands for a customer's try, of whatever length its id is; nobody outside can find two that share one.
    struct Digest {
        std::uint64_t high = 0, low = 0;
        bool operator==(const Digest& other) const { return high == other.high && low == other.low; }
    };
    struct DigestHash {
        std::size_t operator()(const Digest& digest) const { return digest.low; }
    };
    struct One {
        pith::Micros at;
        bool sent;
    };
    struct Shard {
        std::mutex m;
        std::unordered_map<Digest, One, DigestHash> t;
        std::deque<std::pair<pith::Micros, Digest>> order;
    };
    Digest digest(const std::string& customer, const std::string& id) const;
    Shard& shard(const Digest& of) { return s_[of.high % kShards]; }
    std::array<Shard, kShards> s_;
    const std::string secret_ = pith::random_secret();
};

}  // namespace span
