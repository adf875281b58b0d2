#include "creed/bundle.hpp"

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <cstdio>
#include <set>

#include "budget/limited_json.hpp"
#include "pith/hash.hpp"

namespace creed {

namespace json = boost::json;
using pith::Error;
using pith::Kind;
using pith::Micros;

std::string key_digest(const std::string& key) { return pith::digest_hex("marblesaddle-key:" + key); }

namespace {

// One fault ends the reading; `at` is the path to it (docs/design.md 5.1).
class Checker {
  public:
    explicit Checker(bool open) : open_(open) {}
    bool ok() const { return fault_.empty(); }
    bool open() const { return open_; }
    const std::string& fault() const { return fault_; }
    void fault(const std::string& at, const std::string& why) {
        if (fault_.empty()) fault_ = at + ": " + why;
    }

    const json::object* object(const json::value& v, const std::string& at,
                               std::initializer_list<const char*> need,
                               std::initializer_list<const char*> may) {
        const json::object* o = v.if_object();
        if (o == nullptr) {
            fault(at, "must be an object");
            return nullptr;
        }
        for (const auto& e : *o) {
            if (open_) break;
            auto is = [&e](const char* k) { return e.key() == k; };
            if (std::none_of(need.begin(), need.end(), is) && std::none_of(may.begin(), may.end(), is)) {
                fault(at + "/" + std::string(e.key()), "unknown field: remove it or correct its name");
                return nullptr;
            }
        }
        for (const char* k : need)
            if (given(*o, k) == nullptr) {
                fault(at + "/" + k, "missing: add it");
                return nullptr;
            }
        return o;
    }
    const json::array* array(const json::object& o, const char* k, const std::string& at, std::size_t most) {
        const json::array* a = o.at(k).if_array();
        if (a == nullptr) {
            fault(at + "/" + k, "must be a list");
        } else if ((a->empty() && !open_) || a->size() > most) {
            fault(at + "/" + k, "must have 1 to " + std::to_string(most) + " entries");
            a = nullptr;
        }
        return a;
    }
    std::string word(const json::object& o, const char* k, const std::string& at) {
        const json::string* s = o.at(k).if_string();
        if (s == nullptr) {
            fault(at + "/" + k, "must be a string");
            return {};
        }
        return std::string(s->data(), s->size());
    }
    std::string name(const json::object& o, const char* k, const std::string& at) {
        std::string s = word(o, k, at);
        if (open_) {
            auto plain = [](unsigned char x) { return x > ' ' && x != 127; };
            if (ok() && (s.empty() || s.size() > 128 || !std::all_of(s.begin(), s.end(), plain)))
                fault(at + "/" + k, "must be 1 to 128 signs without spaces");
            return s;
        }
        if (ok() && (s.empty() || s.size() > 64 ||
                     s.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") != std::string::npos))
            fault(at + "/" + k, "must be 1 to 64 of a-z 0-9 - _ .");
        return s;
    }
    std::int64_t whole(const json::object& o, const char* k, const std::string& at, std::int64_t lo,
                       std::int64_t hi) {
        const json::value& v = o.at(k);
        if (!v.is_int64() || v.get_int64() < lo || v.get_int64() > hi) {
            fault(at + "/" + k,
                  "must be a whole number from " + std::to_string(lo) + " to " + std::to_string(hi));
            return lo;
        }
        return v.get_int64();
    }

    // Null also where the field is there as null: left out.
    static const json::value* given(const json::object& o, const char* k) {
        const json::value* v = o.if_contains(k);
        return v == nullptr || v->is_null() ? nullptr : v;
    }
    double number(const json::object& o, const char* k, const std::string& at, double lo, double hi,
                  double none) {
        const json::value* v = given(o, k);
        if (v == nullptr) return none;
        const double n = v->is_number() ? v->to_number<double>() : lo - 1;
        if (!(n >= lo && n <= hi)) {
            char b[96];
            std::snprintf(b, sizeof b, "must be a number from %.10g to %.10g", lo, hi);
            fault(at + "/" + k, b);
            return none;
        }
        return n;
    }
    bool flag(const json::object& o, const char* k, const std::string& at) {
        const json::value* v = given(o, k);
        if (v != nullptr && !v->is_bool()) fault(at + "/" + k, "must be true or false");
        return v != nullptr && v->is_bool() && v->get_bool();
    }

  private:
    bool open_;
    std::string fault_;
};

Micros millis(double ms) { return static_cast<Micros>(ms * 1000.0 + 0.5); }

bool split_path(const std::string& p, std::vector<std::string>* o) {
    if (p.empty() || p[0] != '/') return false;
    std::size_t i = 1;
    while (i <= p.size()) {
        auto j = p.find('/', i);
        if (j == std::string::npos) j = p.size();
        if (j == i && p.size() > 1) return false;
        if (j > i) o->push_back(p.substr(i, j - i));
        i = j + 1;
    }
    return true;
}

// Hosts are the same in any case, and with or without a port.
std::string host_name(std::string h) {
    h = h.substr(0, h.find(':'));
    for (char& x : h) x = x >= 'A' && x <= 'Z' ? static_cast<char>(x - 'A' + 'a') : x;
    return h;
}

constexpr const char* kMethods[] = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};

// JSON that names a field twice says two things: the library keeps the last, we refuse (docs/design.md 5.1).
class TwiceFinder {
  public:
    explicit TwiceFinder(const std::string& t) : t_(t) {}
    std::string find() {
        std::string path;
        value(path);
        return twice_;
    }

  private:
    void space() {
        while (i_ < t_.size() && (t_[i_] == ' ' || t_[i_] == '\n' || t_[i_] == '\t' || t_[i_] == '\r')) ++i_;
    }
    std::string string() {
        const std::size_t b = i_++;
        while (i_ < t_.size() && t_[i_] != '"') i_ += t_[i_] == '\\' ? 2 : 1;
        ++i_;
        boost::system::error_code ec;
        auto v = json::parse(t_.substr(b, i_ - b), ec);
        return ec || !v.is_string() ? std::string() : std::string(v.get_string().c_str());
    }
    void value(const std::string& path) {  // the text is known to be sound JSON
        space();
        if (i_ >= t_.size() || !twice_.empty()) return;
        if (t_[i_] == '{') {
            ++i_;
            std::set<std::string> seen;
            for (space(); i_ < t_.size() && t_[i_] != '}'; space()) {
                if (t_[i_] == ',') {
                    ++i_;
                    continue;
                }
                const std::string k = string();
                if (!seen.insert(k).second && twice_.empty()) twice_ = path + "/" + k;
                space();
                ++i_;  // ':'
                value(path + "/" + k);
                if (!twice_.empty()) return;
            }
            ++i_;
        } else if (t_[i_] == '[') {
            ++i_;
            std::size_t n = 0;
            for (space(); i_ < t_.size() && t_[i_] != ']'; space()) {
                if (t_[i_] == ',') {
                    ++i_;
                    ++n;
                    continue;
                }
                value(path + "/" + std::to_string(n));
                if (!twice_.empty()) return;
            }
            ++i_;
        } else if (t_[i_] == '"') {
            string();
        } else {
            while (i_ < t_.size() && std::string(",]} \n\t\r").find(t_[i_]) == std::string::npos) ++i_;
        }
    }
    const std::string& t_;
    std::size_t i_ = 0;
    std::string twice_;
};

constexpr std::size_t kMaxRoutes = 20000, kMaxServices = 1024, kMaxCustomers = 100000;

void read_services(const json::object& o, Bundle* b, Checker* c) {
    const json::array* a = c->array(o, "services", "", kMaxServices);
    std::set<std::string> names;
    for (std::size_t i = 0; a != nullptr && i < a->size() && c->ok(); ++i) {
        const std::string at = "/services/" + std::to_string(i);
        const json::object* r = c->object((*a)[i], at, {"name"}, {"health", "most_connections"});
        if (r == nullptr) return;
        Service x;
        x.name = c->name(*r, "name", at);
        if (Checker::given(*r, "health") != nullptr) x.health = c->word(*r, "health", at);
        if (!x.health.empty() && x.health[0] != '/') c->fault(at + "/health", "must begin with /");
        x.most_connections =
            static_cast<std::size_t>(c->number(*r, "most_connections", at, 0, 1000000, 0));
        if (!names.insert(x.name).second) c->fault(at + "/name", "\"" + x.name + "\" is used twice: rename one");
        b->services.push_back(std::move(x));
    }
}

// One service, or several by weight.
void read_splits(const json::object& r, const std::string& at, const std::set<std::string>& known, Route* x,
                 Checker* c) {
    auto is_known = [&](const std::string& n, const std::string& where) {
        if (c->ok() && known.count(n) == 0)
            c->fault(where, "\"" + n + "\" is not in /services: add it there or correct it");
    };
    const json::value* v = Checker::given(r, "split");
    if (v == nullptr) {
        if (Checker::given(r, "service") == nullptr) {
            c->fault(at + "/service", "missing: add it");
            return;
        }
        x->splits.push_back({c->name(r, "service", at), 1});
        is_known(x->splits[0].service, at + "/service");
        x->service = x->splits[0].service;
        return;
    }
    const json::array* a = v->if_array();
    if (a == nullptr || a->empty() || a->size() > 64) {
        c->fault(at + "/split", "must be a list of 1 to 64 {service, weight}");
        return;
    }
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < a->size() && c->ok(); ++i) {
        const std::string w = at + "/split/" + std::to_string(i);
        const json::object* e = c->object((*a)[i], w, {"service", "weight"}, {});
        if (e == nullptr) return;
        Split p{c->name(*e, "service", w), 0};
        p.weight = static_cast<std::uint64_t>(c->number(*e, "weight", w, 0, 1e9, 0) * 1000 + 0.5);
        is_known(p.service, w + "/service");
        sum += p.weight;
        x->splits.push_back(std::move(p));
    }
    if (c->ok() && sum == 0) c->fault(at + "/split", "the weights add up to 0: give one of them some");
    if (c->ok()) x->service = x->splits[0].service;
}

void read_methods(const json::object& r, const std::string& at, Route* x, std::set<std::string>* shapes,
                  Checker* c) {
    const json::array* m = c->array(r, "methods", at, 6);
    if (m == nullptr) return;
    if (x->path.size() > 512 || !split_path(x->path, &x->parts))
        c->fault(at + "/path", "must begin with / and have no empty segment");
    for (std::size_t k = 0; k < x->parts.size(); ++k) {
        if (x->parts[k] == "**" && k + 1 != x->parts.size()) c->fault(at + "/path", "** may only end a path");
        if (x->parts[k].find_first_of("?#%") != std::string::npos)
            c->fault(at + "/path", "no ?, # or % in a path");
    }
    for (const auto& e : *m) {
        const json::string* s = e.if_string();
        if (s == nullptr ||
            std::none_of(std::begin(kMethods), std::end(kMethods), [s](auto* k) { return *s == k; })) {
            c->fault(at + "/methods", "must be of GET HEAD POST PUT PATCH DELETE");
            return;
        }
        const std::string w(s->data(), s->size());
        if (!x->write && w != "GET" && w != "HEAD")
            c->fault(at + "/methods", w + " on a read route: make its kind \"write\"");
        if (!shapes->insert(w + " " + x->path).second)
            c->fault(at + "/path", w + " " + x->path + " is taken by another route: remove one");
        x->methods.push_back(w);
    }
}

void read_routes(const json::object& o, Bundle* b, Checker* c) {
    const json::array* a = c->array(o, "routes", "", kMaxRoutes);
    std::set<std::string> names, shapes, services;
    for (const auto& s : b->services) services.insert(s.name);
    for (std::size_t i = 0; a != nullptr && i < a->size() && c->ok(); ++i) {
        const std::string at = "/routes/" + std::to_string(i);
        const json::object* r = c->object((*a)[i], at, {"name", "kind", "timeout_ms"},
                                          {"path", "methods", "host", "prefix", "service", "split", "open",
                                           "aim_ms", "priority", "tries"});
        if (r == nullptr) return;
        Route x;
        x.name = c->name(*r, "name", at);
        if (c->ok() && !names.insert(x.name).second)
            c->fault(at + "/name", "\"" + x.name + "\" is used twice: rename one");
        read_splits(*r, at, services, &x, c);
        const std::string kind = c->word(*r, "kind", at);
        x.timeout = c->open() ? millis(c->number(*r, "timeout_ms", at, 1, 3600000, 0))
                              : c->whole(*r, "timeout_ms", at, 10, 60000) * pith::kMilli;
        if (c->ok() && kind != "read" && kind != "write") c->fault(at + "/kind", "must be \"read\" or \"write\"");
        x.write = kind == "write";
        x.open = c->flag(*r, "open", at);
        x.aim = millis(c->number(*r, "aim_ms", at, 0, 3600000, 0));
        x.priority = static_cast<std::uint32_t>(c->number(*r, "priority", at, 0, 1000, 0));
        x.tries = static_cast<std::uint32_t>(std::max(1.0, c->number(*r, "tries", at, 0, 100, 3)));
        if (!c->ok()) return;
        if (Checker::given(*r, "prefix") != nullptr) {
            x.prefix = c->word(*r, "prefix", at);
            if (Checker::given(*r, "host") != nullptr) x.host = host_name(c->word(*r, "host", at));
            if (x.prefix.empty() || x.prefix[0] != '/') c->fault(at + "/prefix", "must begin with /");
            if (!shapes.insert(x.host + x.prefix).second)
                c->fault(at + "/prefix", x.host + x.prefix + " is taken by another route: remove one");
        } else if (Checker::given(*r, "path") == nullptr || Checker::given(*r, "methods") == nullptr) {
            c->fault(at + (Checker::given(*r, "path") == nullptr ? "/path" : "/methods"), "missing: add it");
        } else {
            x.path = c->word(*r, "path", at);
            read_methods(*r, at, &x, &shapes, c);
        }
        b->routes.push_back(std::move(x));
    }
}

void read_customers(const json::object& o, Bundle* b, Checker* c) {
    if (c->open() && Checker::given(o, "customers") == nullptr) return;
    const json::array* a = c->array(o, "customers", "", kMaxCustomers);
    std::set<std::string> routes;
    for (const auto& r : b->routes) routes.insert(r.name);
    for (std::size_t i = 0; a != nullptr && i < a->size() && c->ok(); ++i) {
        const std::string at = "/customers/" + std::to_string(i);
        const json::object* r = c->object((*a)[i], at, {"name"},
                                          {"allowance_per_s", "burst", "priority", "routes", "keys"});
        if (r == nullptr) return;
        Customer x;
        x.name = c->name(*r, "name", at);
        if (!c->open()) {
            if (Checker::given(*r, "allowance_per_s") == nullptr)
                c->fault(at + "/allowance_per_s", "missing: add it");
            if (Checker::given(*r, "routes") == nullptr) c->fault(at + "/routes", "missing: add it");
        }
        const double least = c->open() ? 0 : 0.1, most = c->open() ? 1e9 : 100000;
        x.allowance = c->number(*r, "allowance_per_s", at, least, most, 0);
        x.burst = c->number(*r, "burst", at, 0, 1e9, 0);
        x.priority = static_cast<std::uint32_t>(c->number(*r, "priority", at, 0, 1000, 0));
        const json::array* w =
            Checker::given(*r, "routes") == nullptr ? nullptr : c->array(*r, "routes", at, 512);
        if (!c->ok()) return;
        for (std::size_t k = 0; w != nullptr && k < w->size(); ++k) {
            const json::string* s = (*w)[k].if_string();
            const std::string n = s == nullptr ? std::string() : std::string(s->data(), s->size());
            if (routes.count(n) == 0)
                c->fault(at + "/routes", "\"" + n + "\" is not in /routes: add it there or correct it");
            if (std::find(x.routes.begin(), x.routes.end(), n) != x.routes.end())
                c->fault(at + "/routes", "\"" + n + "\" is listed twice: remove one");
            x.routes.push_back(n);
        }
        if (const json::value* v = Checker::given(*r, "keys")) {
            const json::array* ks = v->if_array();
            if (ks == nullptr || ks->size() > 1024) c->fault(at + "/keys", "must be a list of strings");
            for (std::size_t k = 0; ks != nullptr && k < ks->size() && c->ok(); ++k) {
                const json::string* s = (*ks)[k].if_string();
                if (s == nullptr || s->empty() || s->size() > 256) {
                    c->fault(at + "/keys/" + std::to_string(k), "must be a string of 1 to 256 signs");
                    return;
                }
                const auto put = b->keys.emplace(key_digest(std::string(s->data(), s->size())), x.name);
                if (!put.second)
                    c->fault(at + "/keys/" + std::to_string(k), "is used twice: give each customer its own key");
            }
        }
        if (c->ok() && !b->customers.emplace(x.name, x).second)
            c->fault(at + "/name", "\"" + x.name + "\" is used twice: rename one");
    }
}

void read_keys(const json::object& o, Bundle* b, Checker* c) {
    const json::value* l = Checker::given(o, "keys");
    if (l == nullptr && c->open()) return;
    const json::array* a = l == nullptr ? nullptr : l->if_array();
    if (a == nullptr || a->size() > kMaxCustomers) {
        c->fault("/keys", "must be a list of at most 100000 entries");
        return;
    }
    for (std::size_t i = 0; i < a->size() && c->ok(); ++i) {
        const std::string at = "/keys/" + std::to_string(i);
        const json::object* r = c->object((*a)[i], at, {"digest", "customer"}, {});
        if (r == nullptr) return;
        const std::string d = c->word(*r, "digest", at), k = c->name(*r, "customer", at);
        std::string bin;
        if (!pith::from_hex(d, &bin) || bin.size() != 32)
            c->fault(at + "/digest", "must be 64 hex digits: make it with `helm key`");
        if (b->customers.count(k) == 0)
            c->fault(at + "/customer", "\"" + k + "\" is not in /customers: add it there or correct it");
        if (!b->keys.emplace(d, k).second)
            c->fault(at + "/digest", "is used twice: give each customer its own key");
    }
}

void read_limits(const json::object& o, Bundle* b, Checker* c) {
    if (Checker::given(o, "limits") == nullptr) return;
    const json::object* r = c->object(o.at("limits"), "/limits", {},
                                      {"header_bytes", "body_bytes", "header_ms", "idle_ms"});
    if (r == nullptr) return;
    Limits& l = b->limits;
    auto whole = [&](const char* k, double lo, double hi, std::uint64_t none) {
        return static_cast<std::uint64_t>(c->number(*r, k, "/limits", lo, hi, static_cast<double>(none)));
    };
    l.header_bytes = whole("header_bytes", 256, 1 << 20, l.header_bytes);
    l.body_bytes = whole("body_bytes", 0, 1ULL << 40, l.body_bytes);
    l.header_time = millis(c->number(*r, "header_ms", "/limits", 1, 3600000, 10000));
    l.idle_time = millis(c->number(*r, "idle_ms", "/limits", 1, 3600000, 30000));
}

}  // namespace

namespace {
constexpr std::size_t kParseLimit = 512 * 1024 * 1024;  // bytes, where nothing else is said
std::atomic<std::size_t> most_parsed{kParseLimit};
}  // namespace

void parse_limit(std::size_t bytes) { most_parsed = bytes; }

json::value parse_text(std::string_view text, boost::system::error_code& ec) {
    return budget::parse_json(text, most_parsed, ec);
}

pith::Result<Bundle> read_bundle(const std::string& text, bool open) {
    auto broken = [](const std::string& m) { return pith::fail(Kind::bundle_broken, m); };
    if (text.size() > kMaxBundle) return broken("the bundle is over 8 MiB: drop unused routes or keys");
    boost::system::error_code ec;
    const json::value v = parse_text(text, ec);
    if (ec == boost::system::errc::not_enough_memory)
        return broken("it would take more memory than this machine has for it: split it, or drop unused routes or keys");
    if (ec) return broken("not JSON: " + ec.message());
    const std::string twice = TwiceFinder(text).find();
    if (!twice.empty()) return broken(twice + ": the field stands there twice: remove one");
    Checker c(open);
    const json::object* o = open ? c.object(v, "", {"number", "services", "routes"}, {})
                                 : c.object(v, "", {"number", "services", "routes", "customers", "keys"},
                                            {"note", "limits"});
    Bundle b;
    if (o != nullptr) {
        b.number = static_cast<std::uint64_t>(c.whole(*o, "number", "", 1, INT64_MAX / 2));
        if (!open && o->if_contains("note") != nullptr) b.note = c.word(*o, "note", "");
        if (c.ok()) read_services(*o, &b, &c);
        if (c.ok()) read_routes(*o, &b, &c);
        if (c.ok()) read_customers(*o, &b, &c);
        if (c.ok()) read_keys(*o, &b, &c);
        if (c.ok()) read_limits(*o, &b, &c);
    }
    if (!c.ok()) return broken(c.fault());
    b.text = open ? text : json::serialize(v);
    b.hash = pith::digest_hex(b.text);
    return b;
}

Policy::Policy(Bundle b) : b_(std::move(b)) {
    for (std::size_t i = 0; i < b_.routes.size(); ++i) {
        const Route& r = b_.routes[i];
        if (r.prefix.empty())
            patterns_.push_back(i);
        else
            places_[r.host][r.prefix] = i;
    }
}

const std::string& Policy::service_for(const Route& r, const std::string& try_id) {
    if (r.splits.size() < 2) return r.service;
    std::uint64_t sum = 0;
    for (const auto& s : r.splits) sum += s.weight;
    std::uint64_t at = pith::hash64(r.name + '|' + try_id) % std::max<std::uint64_t>(1, sum);
    for (const auto& s : r.splits) {
        if (at < s.weight) return s.service;
        at -= s.weight;
    }
    return r.service;
}

const Customer* Policy::customer(const std::string& name) const {
    auto i = b_.customers.find(name);
    return i == b_.customers.end() ? nullptr : &i->second;
}

const Customer* Policy::customer_of(const std::string& key) const {
    auto i = b_.keys.find(key_digest(key));
    return i == b_.keys.end() ? nullptr : customer(i->second);
}

namespace {
bool fits(const Route& r, const std::vector<std::string>& p) {
    std::size_t i = 0;
    for (; i < r.parts.size(); ++i) {
        if (r.parts[i] == "**") return true;
        if (i >= p.size() || (r.parts[i] != "*" && r.parts[i] != p[i])) return false;
    }
    return i == p.size();
}
}  // namespace

std::string Policy::methods(const std::string& path) const {
    std::vector<std::string> p;
    std::set<std::string> m;
    if (split_path(path, &p))
        for (const auto& r : b_.routes)
            if (r.prefix.empty() && fits(r, p)) m.insert(r.methods.begin(), r.methods.end());
    std::string o;
    for (const auto& x : m) o += (o.empty() ? "" : ", ") + x;
    return o;
}

const Route* Policy::match(const std::string& method, const std::string& path, bool* method_ok,
                           const std::string& host) const {
    *method_ok = true;
    if (!places_.empty()) {
        for (const std::string& h : {host_name(host), std::string()}) {
            const auto at = places_.find(h);
            if (at == places_.end()) continue;
            // The longest first: the path cut back at each slash.
            for (std::string w = path;;) {
                const auto i = at->second.find(w);
                if (i != at->second.end()) return &b_.routes[i->second];
                const auto cut = w.size() < 2 ? std::string::npos : w.rfind('/', w.size() - 2);
                if (cut == std::string::npos) break;
                w.resize(cut + 1);
            }
        }
    }
    if (patterns_.empty()) return nullptr;
    std::vector<std::string> p;
    if (!split_path(path, &p)) return nullptr;
    const Route* best = nullptr;
    bool known = false;
    auto weight = [](const Route& r) {  // plain segments first, then *, then **
        std::string w;
        for (const auto& s : r.parts) w += s == "**" ? '0' : s == "*" ? '1' : '2';
        return w;
    };
    for (const auto n : patterns_) {
        const Route& r = b_.routes[n];
        if (!fits(r, p)) continue;
        known = true;
        if (std::find(r.methods.begin(), r.methods.end(), method) == r.methods.end()) continue;
        if (best == nullptr || weight(r) > weight(*best)) best = &r;
    }
    *method_ok = best != nullptr || !known;
    return best;
}

bool Policy::allowed(const Customer& c, const Route& r) {
    return c.routes.empty() || std::find(c.routes.begin(), c.routes.end(), r.name) != c.routes.end();
}

}  // namespace creed
