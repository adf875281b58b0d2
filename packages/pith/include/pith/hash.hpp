#pragma once
// Content hashes, rendezvous weights and a small seeded generator. Crypto is libsodium's.
#include <cstdint>
#include <string>
#include <string_view>

namespace pith {

void crypto_start();
std::string digest_hex(std::string_view s);  // BLAKE2b-256, hex
std::uint64_t hash64(std::string_view s);    // keyed short hash, same on every node
std::string to_hex(std::string_view s);
bool from_hex(std::string_view s, std::string* out);
std::string keyed_tag(std::string_view key, std::string_view s);  // 16 bytes
bool same_tag(std::string_view a, std::string_view b);            // constant time
std::uint64_t random64();     // from the system's source of randomness
std::string random_secret();  // 32 bytes, from there

// splitmix64: one seed, one sequence.
class Rng {
  public:
    explicit Rng(std::uint64_t s) : s_(s) {}
    std::uint64_t next() {
        std::uint64_t z = (s_ += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }
    std::uint64_t below(std::uint64_t n) { return n == 0 ? 0 : next() % n; }
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

  private:
    std::uint64_t s_;
};

}  // namespace pith
