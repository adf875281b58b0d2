// Packed texts: a 16-byte BLAKE2b digest of the whole text, then one zstd frame that may refer to a base as
// its prefix.
#include "consensus/content.hpp"

#include <zstd.h>

#include <algorithm>
#include <memory>

#include "pith/hash.hpp"

namespace consensus {

using pith::fail;
using pith::Kind;

namespace {

constexpr std::size_t kDigestSize = 16;  // bytes
constexpr int kLevel = 3;
constexpr int kLeastWindowLog = 10;
constexpr int kMostWindowLog = 24;  // a text and its base of kMaxContent each
static_assert((std::size_t{1} << kMostWindowLog) >= 2 * kMaxContent, "the window holds a text and its base");
// From this size of text and base on, matches are looked for at a distance by a table of its own: the
// ordinary one is too small to remember all of the base.
constexpr std::size_t kLongDistance = 512 * 1024;
constexpr std::size_t kMostResults = 4;  // packed results kept

struct CompressorFree {
    void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct DecompressorFree {
    void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

std::string short_digest(const std::string& text) {
    std::string digest;
    pith::from_hex(pith::digest_hex(text).substr(0, 2 * kDigestSize), &digest);
    return digest;
}

int window_log(std::size_t bytes) {
    int log = kLeastWindowLog;
    while (log < kMostWindowLog && (std::size_t{1} << log) < bytes) ++log;
    return log;
}

auto broken(const std::string& what) {
    return fail(Kind::bundle_broken, what + ": ask for the whole text again");
}

}  // namespace

std::string pack_content(const std::string& text, const std::string& base) {
    if (text.empty() || text.size() > kMaxContent || base.size() > kMaxContent) return {};
    const std::unique_ptr<ZSTD_CCtx, CompressorFree> context(ZSTD_createCCtx());
    if (context == nullptr) return {};
    const std::size_t reach = text.size() + base.size();
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log(reach));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty()) {
        if (reach >= kLongDistance)
            ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string packed = short_digest(text);
    packed.resize(kDigestSize + ZSTD_compressBound(text.size()));
    const std::size_t size = ZSTD_compress2(context.get(), packed.data() + kDigestSize,
                                            packed.size() - kDigestSize, text.data(), text.size());
    if (ZSTD_isError(size)) return {};
    packed.resize(kDigestSize + size);
    packed.shrink_to_fit();
    return packed;
}

pith::Result<std::string> unpack_content(const std::string& packed, const std::string& base) {
    if (packed.size() <= kDigestSize) return broken("the packed text is cut");
    const char* frame = packed.data() + kDigestSize;
    const std::size_t frame_size = packed.size() - kDigestSize;
    const unsigned long long size = ZSTD_getFrameContentSize(frame, frame_size);
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return broken("the packed text does not tell its size");
    if (size == 0 || size > kMaxContent)
        return broken("a packed text of " + std::to_string(size) + " bytes is not allowed");
    if (ZSTD_findFrameCompressedSize(frame, frame_size) != frame_size)
        return broken("the packed text is cut or goes on after its end");
    const std::unique_ptr<ZSTD_DCtx, DecompressorFree> context(ZSTD_createDCtx());
    if (context == nullptr) return broken("no memory to unpack a text");
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMostWindowLog);
    if (!base.empty()) ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(static_cast<std::size_t>(size), '\0');
    const std::size_t got = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), frame, frame_size);
    if (ZSTD_isError(got))
        return broken(std::string("the text can't be unpacked (") + ZSTD_getErrorName(got) + ")");
    if (got != text.size() || packed.compare(0, kDigestSize, short_digest(text)) != 0)
        return broken("the unpacked text does not check: it is harmed, or the difference is to another base");
    return text;
}

void ContentStore::put(const std::string& hash, const std::string& text) {
    if (text.empty()) return;
    const auto same_hash = [&hash](const auto& held) { return held.first == hash; };
    const auto at = std::find_if(texts_.begin(), texts_.end(), same_hash);
    if (at != texts_.end() && at->second == text) {
        std::rotate(at, at + 1, texts_.end());
        return;
    }
    if (at != texts_.end()) {
        texts_.erase(at);
        forget_packed(hash);
    }
    texts_.emplace_back(hash, text);
    while (texts_.size() > most_) {
        forget_packed(texts_.front().first);
        texts_.pop_front();
    }
}

void ContentStore::forget_packed(const std::string& hash) {
    const auto uses = [&hash](const Packed& result) { return result.hash == hash || result.base == hash; };
    packed_.erase(std::remove_if(packed_.begin(), packed_.end(), uses), packed_.end());
}

const std::string* ContentStore::find(const std::string& hash) const {
    for (const auto& held : texts_)
        if (held.first == hash) return &held.second;
    return nullptr;
}

const std::string& ContentStore::packed(const std::string& hash, const std::string& base, std::string* used) {
    static const std::string none;
    used->clear();
    const std::string* text = find(hash);
    if (text == nullptr) return none;
    const std::string* prefix = base.empty() ? nullptr : find(base);
    if (prefix != nullptr) *used = base;
    for (const auto& result : packed_)
        if (result.hash == hash && result.base == *used) return result.bytes;
    if (packed_.size() >= kMostResults) packed_.pop_front();
    packed_.push_back({hash, *used, pack_content(*text, prefix == nullptr ? none : *prefix)});
    return packed_.back().bytes;
}

bool ContentStore::take(const std::string& hash, const std::string& base, const std::string& packed) {
    const std::string* prefix = base.empty() ? nullptr : find(base);
    if (!base.empty() && prefix == nullptr) return false;
    const auto text = unpack_content(packed, prefix == nullptr ? std::string() : *prefix);
    if (!text) return false;
    put(hash, *text);
    return true;
}

}  // namespace consensus
