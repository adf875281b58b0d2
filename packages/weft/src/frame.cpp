#include <algorithm>

#include "pith/hash.hpp"
#include "weft/messages.hpp"

namespace weft {

namespace {
constexpr U32 kMagic = 0x4c44534dU;
// Raised only by what an older process can't pass over; lower ones are refused then. New fields and new
// messages need no new version (docs/design.md 3.2).
constexpr U8 kVersion = 3;
constexpr std::size_t kTag = 16;

struct Packer {
    Writer& w;
    void operator()(const std::monostate&) { w.put(U8{0}); }
#define X(t, n)                    \
    void operator()(const n& m) {  \
        w.put(static_cast<U8>(t)); \
        m.write(w);                \
    }
    WEFT_MESSAGES(X)
#undef X
};

struct Namer {
    const char* operator()(const std::monostate&) { return "none"; }
#define X(t, n) \
    const char* operator()(const n&) { return #n; }
    WEFT_MESSAGES(X)
#undef X
};
}  // namespace

U32 brief_hash(const Str& customer) { return static_cast<U32>(pith::hash64(customer)); }

namespace {
constexpr std::size_t kBrief = 12;
void put_le(Str* to, U32 v, int bytes) {
    for (int i = 0; i < bytes; ++i) to->push_back(static_cast<char>(v >> (8 * i)));
}
U32 get_le(const char* b, int bytes) {
    U32 v = 0;
    for (int i = 0; i < bytes; ++i) v |= static_cast<U32>(static_cast<unsigned char>(b[i])) << (8 * i);
    return v;
}
}  // namespace

void put_brief(Str* to, const BriefCount& c) {
    put_le(to, c.customer, 4);
    put_le(to, c.released, 4);
    put_le(to, std::min<U32>(c.rate_deci, 65535), 2);
    put_le(to, std::min<U32>(c.queued, 65535), 2);
}

bool get_brief(const Str& from, std::size_t i, BriefCount* c) {
    if ((i + 1) * kBrief > from.size()) return false;
    const char* b = from.data() + i * kBrief;
    *c = {get_le(b, 4), get_le(b + 4, 4), get_le(b + 8, 2), get_le(b + 10, 2)};
    return true;
}

std::vector<Str> brief_parts(const Str& brief) {
    constexpr std::size_t kMostInPart = 80 * kBrief;  // beside the names in a frame's head
    std::vector<Str> parts{brief.substr(0, kMostInPart)};
    for (std::size_t from = kMostInPart; from < brief.size(); from += kMostInPart)
        parts.push_back(brief.substr(from, kMostInPart));
    return parts;
}

const char* msg_name(const Msg& m) { return std::visit(Namer{}, m); }

const char* fault_text(Fault f) {
    switch (f) {
        case Fault::none:
            return "none";
        case Fault::brief:
            return "brief";
        case Fault::magic:
            return "magic";
        case Fault::version:
            return "version";
        case Fault::fleet:
            return "other_fleet";
        case Fault::tag:
            return "wrong_tag";
        case Fault::body:
            return "body";
        case Fault::large:
            return "large";
    }
    return "unknown";
}

Str pack(const Str& fleet, const Str& secret, const Envelope& e) {
    Writer w;
    w.put(kMagic);
    w.put(kVersion);
    w.put(pith::hash64(fleet));
    w.put(e.from);
    w.put(e.inc);
    w.put(e.seq);
    std::visit(Packer{w}, e.msg);
    w.bytes() += pith::keyed_tag(secret, w.bytes());
    return std::move(w.bytes());
}

Fault unpack(const Str& fleet, const Str& secret, std::string_view b, Envelope* e) {
    if (b.size() > kMaxFrame) return Fault::large;
    if (b.size() < 4 + 1 + 8 + kTag) return Fault::brief;
    const auto body = b.substr(0, b.size() - kTag);
    Reader r(body);
    U32 magic = 0;
    U8 version = 0, tag = 0;
    U64 fl = 0;
    r.get(magic);
    if (magic != kMagic) return Fault::magic;
    r.get(version);
    if (version != kVersion) return Fault::version;
    r.get(fl);
    if (fl != pith::hash64(fleet)) return Fault::fleet;
    if (!pith::same_tag(pith::keyed_tag(secret, body), b.substr(body.size()))) return Fault::tag;
    r.get(e->from);
    r.get(e->inc);
    r.get(e->seq);
    r.get(tag);
    switch (tag) {
#define X(t, n)                \
    case t: {                  \
        n m;                   \
        m.read(r);             \
        e->msg = std::move(m); \
        break;                 \
    }
        WEFT_MESSAGES(X)
#undef X
        default:  // a message of a newer version: whole, and nothing to us
            e->msg = std::monostate{};
            return Fault::none;
    }
    return r.done() ? Fault::none : Fault::body;
}

}  // namespace weft
