#pragma once
// The configuration's texts: known by the hash of their content, told as differences (docs/control.md,
// "Distribution").
#include <cstddef>
#include <deque>
#include <string>
#include <utility>

#include "pith/error.hpp"

namespace consensus {

// Largest text of a configuration, in bytes.
constexpr std::size_t kMaxContent = 8 * 1024 * 1024;

// `text` compressed by zstd, as a difference to `base` (empty: by itself), with a digest of the whole text
// before it. Empty where `text` is empty or one of the two is larger than `kMaxContent`.
std::string pack_content(const std::string& text, const std::string& base);
// The text again; an error where the bytes do not check, name another base, or would grow beyond
// `kMaxContent`.
pith::Result<std::string> unpack_content(const std::string& packed, const std::string& base);

// The few newest texts by hash; the oldest is let go first. The hash is the bundle's own
// (creed::Bundle::hash), which is not that of the signed text, so it is not checked here: whoever acts on a
// text reads it through creed. A text put under a hash that is held takes the place of the earlier one and
// counts as the newest.
class ContentStore {
  public:
    explicit ContentStore(std::size_t most = 4) : most_(most) {}
    void put(const std::string& hash, const std::string& text);
    const std::string* find(const std::string& hash) const;  // null where it is not held
    // `text` of `hash` packed against the content `base` where that is held, else by itself; `used` is the
    // base taken. The last results are kept: the same difference goes to many receivers. Empty where `hash`
    // is not held. Valid until the next call that is not const.
    const std::string& packed(const std::string& hash, const std::string& base, std::string* used);
    // Takes in what another node told; false where `base` is not held here or the bytes do not check.
    bool take(const std::string& hash, const std::string& base, const std::string& packed);

  private:
    struct Packed {
        std::string hash, base, bytes;
    };
    void forget_packed(const std::string& hash);  // results of it or against it

    std::size_t most_;
    std::deque<std::pair<std::string, std::string>> texts_;  // hash, text; newest last
    std::deque<Packed> packed_;
};

}  // namespace consensus
