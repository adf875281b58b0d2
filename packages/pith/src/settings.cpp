#include "pith/settings.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "pith/hash.hpp"

namespace pith {

namespace json = boost::json;

bool address_ok(const std::string& a) {
    auto c = a.rfind(':');
    if (c == std::string::npos) return false;
    boost::system::error_code ec;
    std::string h = a.substr(0, c);
    if (h.size() > 2 && h.front() == '[' && h.back() == ']') h = h.substr(1, h.size() - 2);
    boost::asio::ip::make_address(h, ec);
    if (ec) return false;
    const std::string p = a.substr(c + 1);
    if (p.empty() || p.size() > 5 || p.find_first_not_of("0123456789") != std::string::npos) return false;
    return std::stoi(p) <= 65535;
}

Result<std::string> read_file(const std::string& path, std::size_t limit) {
    std::ifstream f(path, std::ios::binary);
    if (!f) return fail(Kind::settings_wrong, "can't open " + path + ": give the path of a readable file");
    std::string s;
    char b[4096];
    while (f.read(b, sizeof b), f.gcount() > 0) {
        s.append(b, static_cast<std::size_t>(f.gcount()));
        if (s.size() > limit)
            return fail(Kind::settings_wrong,
                        path + " is larger than " + std::to_string(limit) + " bytes: give the right file");
    }
    return s;
}

namespace {

auto wrong(std::string m) { return fail(Kind::settings_wrong, std::move(m)); }

Result<std::vector<std::string>> words(const json::value& v, const std::string& key) {
    std::vector<std::string> o;
    if (!v.is_array())
        return wrong("settings: \"" + key + "\" must be a list of strings: write it as [\"…\"]");
    for (const auto& e : v.get_array()) {
        if (!e.is_string()) return wrong("settings: \"" + key + "\" must hold strings only");
        o.emplace_back(e.get_string().c_str());
    }
    return o;
}

// name, field, unit in it, least, most
#define PITH_BOUNDS(X)                                   \
    X(quota_window_s, quota_window_s, 1.0, 0.5, 600)     \
    X(quota_over, quota_over, 1.0, 0, 10)                \
    X(quota_slack, quota_slack, 1.0, 0, 1e9)             \
    X(retry_window_s, retry_window_s, 1.0, 0.5, 600)     \
    X(retry_ratio, retry_ratio, 1.0, 0, 100)             \
    X(retry_slack, retry_slack, 1.0, 0, 1e9)             \
    X(drain_ms, drain_us, 1000.0, 100, 3600000)          \
    X(grace_s, grace_us, 1000000.0, 0.5, 3600)           \
    X(config_ms, config_us, 1000.0, 100, 3600000)

Result<Bounds> bounds(const json::value& v) {
    Bounds b;
    const json::object* o = v.if_object();
    if (o == nullptr) return wrong("settings: \"bounds\" must be an object: see docs/operators.md");
    for (const auto& e : *o) {
        const std::string k(e.key());
        const double n = e.value().is_number() ? e.value().to_number<double>() : -1;
        bool known = false, well = true;
#define X(name, f, unit, lo, hi)                                  \
    if (k == #name) {                                             \
        known = true;                                             \
        well = n >= (lo) && n <= (hi);                            \
        b.f = static_cast<decltype(b.f)>(n * (unit));             \
    }
        PITH_BOUNDS(X)
#undef X
        if (!known) return wrong("settings: bound \"" + k + "\" is not known: remove it or correct its name");
        if (!well) return wrong("settings: bound \"" + k + "\" is no number in its range: see docs/operators.md");
    }
    return b;
}

void split(const std::string& s, std::vector<std::string>* o) {
    o->clear();
    std::stringstream ss(s);
    std::string w;
    while (std::getline(ss, w, ','))
        if (!w.empty()) o->push_back(w);
}

bool name_ok(const std::string& s) {
    if (s.empty() || s.size() > 40) return false;
    return s.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
           std::string::npos;
}

Result<Settings> check(const std::string& role, Settings s) {
    const bool px = role == "proxy", kp = role == "keeper";
    if (!name_ok(s.fleet)) return wrong("settings: \"fleet\" must be 1 to 40 letters, digits, - _ .: set it");
    if (!name_ok(s.name)) return wrong("settings: \"name\" must be 1 to 40 letters, digits, - _ .: set it");
    if (!name_ok(s.locality)) return wrong("settings: \"locality\" must name this machine's zone: set it");
    const std::pair<const char*, const std::string*> must[] = {
        {"weft", &s.weft}, {"operator_address", &s.operator_address}, {"visits", &s.visits}};
    for (const auto& m : must) {
        if (m.second == &s.visits && !px) continue;
        if (!address_ok(*m.second))
            return wrong(
                std::string("settings: \"") + m.first +
                "\" must be an IP number and a port, such as 10.0.0.4:7000: names are not looked up");
    }
    if (px && !address_ok(s.platform))
        return wrong("settings: \"platform\" must be the IP:PORT of the platform's listing: set it");
    if (s.seeds.empty() || s.seeds.size() > 8)
        return wrong("settings: \"seeds\" must hold one to eight IP:PORT, usually three: set it");
    for (const auto& a : s.seeds)
        if (!address_ok(a)) return wrong("settings: seed \"" + a + "\" is not IP:PORT: correct it");
    if (s.keepers.size() > 7)
        return wrong(
            "settings: \"keepers\" must list at most seven {name, address}, usually three, or none where "
            "they "
            "are discovered: correct it");
    std::set<std::string> seen;
    bool me = false;
    for (const auto& k : s.keepers) {
        if (!name_ok(k.name) || !address_ok(k.address))
            return wrong("settings: keeper \"" + k.name +
                         "\" needs a name and an IP:PORT address: correct it");
        if (!seen.insert(k.name).second)
            return wrong("settings: keeper \"" + k.name + "\" is listed twice: remove one");
        me = me || k.name == s.name;
    }
    if (kp && !me && !s.keepers.empty())
        return wrong("settings: this keeper's name is not in \"keepers\": add it there on every machine");
    if (kp && s.data.empty())
        return wrong("settings: \"data\" must name a folder on this machine's disk: set it");
    if (kp && s.signers.empty())
        return wrong("settings: \"signers\" must hold at least one public key: make one with `helm keygen`");
    for (const auto& k : s.signers) {
        std::string b;
        if (k == "unsigned") continue;
        if (!from_hex(k, &b) || b.size() != 32)
            return wrong("settings: signer \"" + k + "\" is not 64 hex digits: copy it from `helm keygen`");
    }
    if (s.log_level != "debug" && s.log_level != "info" && s.log_level != "warn" && s.log_level != "error")
        return wrong("settings: \"log_level\" must be debug, info, warn or error");
    if (s.old_numbers != "refuse" && s.old_numbers != "acknowledge")
        return wrong("settings: \"old_numbers\" must be refuse or acknowledge");
    if (s.frames != "zeromq" && s.frames != "plain")
        return wrong("settings: \"frames\" must be zeromq or plain, the same on every machine");
    if (s.threads < 1 || s.threads > 16) return wrong("settings: \"threads\" must be 1 to 16");
    if (!s.ready_address.empty() && !address_ok(s.ready_address))
        return wrong("settings: \"ready_address\" must be an IP number and a port, or be left out");
    // Without a secret tags only keep fleets apart (docs/design.md 3.2).
    if (s.secret_file == "none") {
        from_hex(digest_hex("marblesaddle-fleet:" + s.fleet), &s.secret);
        return s;
    }
    auto t = read_file(s.secret_file, 4096);
    if (!t) return wrong("settings: \"secret_file\": " + t.error().message);
    while (!t->empty() && (t->back() == '\n' || t->back() == ' ' || t->back() == '\r')) t->pop_back();
    if (!from_hex(*t, &s.secret) || s.secret.size() != 32)
        return wrong(
            "settings: the file named by \"secret_file\" must hold 64 hex digits: make it with `helm "
            "secret`");
    return s;
}

}  // namespace

Result<Settings> read_settings(const std::string& role, const std::string& text,
                               const std::map<std::string, std::string>& flags) {
    Settings s;
    s.log_level = "info";
    s.frames = "zeromq";
    s.old_numbers = "refuse";
    if (!text.empty()) {
        boost::system::error_code ec;
        json::value v = json::parse(text, ec);
        if (ec || !v.is_object()) return wrong("settings: the file is not one JSON object: " + ec.message());
        for (const auto& e : v.get_object()) {
            const std::string key(e.key());
            const auto& x = e.value();
            std::string* slot = nullptr;
#define X(n, d) \
    if (key == #n) slot = &s.n;
            PITH_SETTINGS(X)
#undef X
            if (slot != nullptr) {
                if (!x.is_string()) return wrong("settings: \"" + key + "\" must be a string");
                *slot = x.get_string().c_str();
            } else if (key == "threads") {
                if (!x.is_int64()) return wrong("settings: \"threads\" must be a whole number");
                s.threads =
                    static_cast<int>(std::min<std::int64_t>(1000, std::max<std::int64_t>(0, x.get_int64())));
            } else if (key == "first_start") {
                if (!x.is_bool()) return wrong("settings: \"first_start\" must be true or false");
                s.first_start = x.get_bool();
            } else if (key == "ready_address") {
                if (!x.is_string()) return wrong("settings: \"ready_address\" must be a string");
                s.ready_address = x.get_string().c_str();
            } else if (key == "memory_mb" || key == "descriptors") {
                if (!x.is_int64() || x.get_int64() < 1)
                    return wrong("settings: \"" + key + "\" must be a whole number above 0, or be left out");
                (key == "memory_mb" ? s.memory_mb : s.descriptors) = static_cast<std::size_t>(x.get_int64());
            } else if (key == "bounds") {
                auto b = bounds(x);
                if (!b) return tl::unexpected<Error>(b.error());
                s.bounds = *b;
            } else if (key == "seeds" || key == "signers") {
                auto w = words(x, key);
                if (!w) return tl::unexpected<Error>(w.error());
                (key == "seeds" ? s.seeds : s.signers) = *w;
            } else if (key == "keepers") {
                if (!x.is_array()) return wrong("settings: \"keepers\" must be a list of {name, address}");
                for (const auto& k : x.get_array()) {
                    const json::object* o = k.if_object();
                    const json::value* a = o == nullptr ? nullptr : o->if_contains("name");
                    const json::value* b = o == nullptr ? nullptr : o->if_contains("address");
                    if (a == nullptr || b == nullptr || !a->is_string() || !b->is_string() || o->size() != 2)
                        return wrong("settings: each of \"keepers\" must be {\"name\": …, \"address\": …}");
                    s.keepers.push_back({a->get_string().c_str(), b->get_string().c_str()});
                }
            } else {
                return wrong("settings: \"" + key + "\" is not known: remove it or correct its name");
            }
        }
    }
    for (const auto& f : flags) {
        if (f.second.empty()) continue;
#define X(n, d) \
    if (f.first == #n) s.n = f.second;
        PITH_SETTINGS(X)
#undef X
        if (f.first == "seeds") split(f.second, &s.seeds);
    }
    return check(role, std::move(s));
}

}  // namespace pith
