#include "span/listing.hpp"

#include <algorithm>
#include <boost/json.hpp>

#include "pith/settings.hpp"
#include "span/pool.hpp"

namespace span {

namespace json = boost::json;

namespace {
constexpr std::uint64_t kMostSlots = 1024, kMostColdMs = 600000;
constexpr std::size_t kMaxToken = 512;
constexpr std::size_t kMostService = 64, kMostInstance = 128;

// An optional whole number: false where it stands there and is none, or is out of bounds.
bool whole(const json::object& o, const char* k, std::uint64_t least, std::uint64_t most, std::uint64_t* n) {
    const auto* e = o.if_contains(k);
    if (e == nullptr || e->is_null()) return true;
    boost::system::error_code ec;
    const auto x = e->is_number() ? e->to_number<std::uint64_t>(ec) : 0;
    if (!e->is_number() || ec || x < least || x > most) return false;
    *n = x;
    return true;
}

// A name goes into header fields and keys: visible signs only, `spaces` but for services.
bool name(const std::string& w, std::size_t most, bool spaces) {
    const auto sign = [spaces](unsigned char c) { return (c > ' ' && c != 127) || (spaces && c == ' '); };
    return !w.empty() && w.size() <= most && std::all_of(w.begin(), w.end(), sign);
}
}  // namespace

bool read_listing(const std::string& body, std::vector<weft::ServerRec>* v, std::string* next) {
    next->clear();
    boost::system::error_code ec;
    const auto j = json::parse(body, ec);
    const auto* o = ec ? nullptr : j.if_object();
    const auto* s = o == nullptr ? nullptr : o->if_contains("servers");
    if (s == nullptr || !s->is_array() || s->get_array().size() > 2048) return false;
    if (const auto* t = o->if_contains("next"); t != nullptr && !t->is_null()) {
        if (!t->is_string() || t->get_string().size() > kMaxToken) return false;
        *next = std::string(t->get_string());
    }
    for (const auto& e : s->get_array()) {
        const auto* x = e.if_object();
        if (x == nullptr) return false;
        auto word = [x](const char* k) {
            const auto* w = x->if_contains(k);
            return w != nullptr && w->is_string() ? std::string(w->get_string()) : std::string();
        };
        std::uint64_t slots = kSlots, cold_ms = 0;
        if (!whole(*x, "slots", 1, kMostSlots, &slots) || !whole(*x, "cold_ms", 0, kMostColdMs, &cold_ms))
            return false;
        weft::ServerRec r{word("address"),
                          word("service"),
                          word("instance"),
                          word("locality"),
                          word("state") == "leaving" ? kLeaving : kServing,
                          static_cast<std::uint32_t>(slots),
                          cold_ms * 1000,
                          word("version")};
        if (!pith::address_ok(r.address) || !name(r.service, kMostService, true) ||
            !name(r.instance, kMostInstance, false) || r.version.size() > kMostInstance)
            return false;
        v->push_back(std::move(r));
    }
    return true;
}

}  // namespace span
