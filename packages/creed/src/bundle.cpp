#include "creed/bundle.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

#include "pith/hash.hpp"

namespace creed {

namespace json = boost::json;
using pith::Error;
using pith::Kind;

std::string key_digest(const std::string& key) { return pith::digest_hex("marblesaddle-key:" + key); }

namespace {

// One fault ends the reading; `at` is the path to it (docs/design.md 5.1).
class Checker {
  public:
    bool ok() const { return fault_.empty(); }
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
            auto is = [&e](const char* k) { return e.key() == k; };
            if (std::none_of(need.begin(), need.end(), is) && std::none_of(may.begin(), may.end(), is)) {
                fault(at + "/" + std::string(e.key()), "unknown field: remove it or correct its name");
                return nullptr;
            }
        }
        for (const char* k : need)
            if (o->if_contains(k) == nullptr) {
                fault(at + "/" + k, "missing: add it");
                return nullptr;
            }
        return o;
    }
    const json::array* array(const json::object& o, const char* k, const std::string& at, std::size_t most) {
        const json::array* a = o.at(k).if_array();
        if (a == nullptr) {
            fault(at + "/" + k, "must be a list");
        } else if (a->empty() || a->size() > most) {
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

  private:
    std::string fault_;
};

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

void read_routes(const json::object& o, Bundle* b, Checker* c) {
    const json::array* a = c->array(o, "routes", "", 512);
    std::set<std::string> names, shapes, services;
    for (const auto& s : b->services) services.insert(s.name);
    for (std::size_t i = 0; a != nullptr && i < a->size() && c->ok(); ++i) {
        const std::string at = "/routes/" + std::to_string(i);
        const json::object* r =
            c->object((*a)[i], at, {"name", "path", "methods", "service", "kind", "timeout_ms"}, {});
        if (r == nullptr) return;
        Route x;
        x.name = c->name(*r, "name", at);
        x.path = c->word(*r, "path", at);
        x.service = c->name(*r, "service", at);
        const std::string kind = c->word(*r, "kind", at);
        x.timeout = c->whole(*r, "timeout_ms", at, 10, 60000) * pith::kMilli;
        const json::array* m = c->array(*r, "methods", at, 6);
        if (!c->ok()) return;
        if (!names.insert(x.name).second)
            c->fault(at + "/name", "\"" + x.name + "\" is used twice: rename one");
        if (services.count(x.service) == 0)
            c->fault(at + "/service",
                     "\"" + x.service + "\" is not in /services: add it there or correct it");
        if (kind != "read" && kind != "write") c->fault(at + "/kind", "must be \"read\" or \"write\"");
        x.write = kind == "write";
        if (x.path.size() > 512 || !split_path(x.path, &x.parts))
            c->fault(at + "/path", "must begin with / and have no empty segment");
        for (std::size_t k = 0; k < x.parts.size(); ++k) {
            if (x.parts[k] == "**" && k + 1 != x.parts.size())
                c->fault(at + "/path", "** may only end a path");
            if (x.parts[k].find_first_of("?#%") != std::string::npos)
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
            if (!x.write && w != "GET" && w != "HEAD")
                c->fault(at + "/methods", w + " on a read route: make its kind \"write\"");
            if (!shapes.insert(w + " " + x.path).second)
                c->fault(at + "/path", w + " " + x.path + " is taken by another route: remove one");
            x.methods.push_back(w);
        }
        b->routes.push_back(x);
    }
}

void read_customers(const json::object& o, Bundle* b, Checker* c) {
    const json::array* a = c->array(o, "customers", "", 1024);
    for (std::size_t i = 0; a != nullptr && i < a->size() && c->ok(); ++i) {
        const std::string at = "/customers/" + std::to_string(i);
        const json::object* r = c->object((*a)[i], at, {"name", "allowance_per_s", "routes"}, {});
        if (r == nullptr) return;
        Customer x;
        x.name = c->name(*r, "name", at);
        const json::value& v = r->at("allowance_per_s");
        x.allowance = v.is_number() ? v.to_number<double>() : 0;
        if (!(x.allowance >= 0.1 && x.allowance <= 100000))
            c->fault(at + "/allowance_per_s", "must be a number from 0.1 to 100000");
        const json::array* w = c->array(*r, "routes", at, 512);
        if (!c->ok()) return;
        for (const auto& e : *w) {
            const json::string* s = e.if_string();
            const std::string n = s == nullptr ? std::string() : std::string(s->data(), s->size());
            if (std::none_of(b->routes.begin(), b->routes.end(),
                             [&n](const Route& q) { return q.name == n; }))
                c->fault(at + "/routes", "\"" + n + "\" is not in /routes: add it there or correct it");
            if (std::find(x.routes.begin(), x.routes.end(), n) != x.routes.end())
                c->fault(at + "/routes", "\"" + n + "\" is listed twice: remove one");
            x.routes.push_back(n);
        }
        if (!b->customers.emplace(x.name, x).second)
            c->fault(at + "/name", "\"" + x.name + "\" is used twice: rename one");
    }
}

void read_keys(const json::object& o, Bundle* b, Checker* c) {
    const json::array* a = o.at("keys").if_array();
    if (a == nullptr || a->size() > 4096) {
        c->fault("/keys", "must be a list of at most 4096 entries");
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

}  // namespace

pith::Result<Bundle> read_bundle(const std::string& text) {
    auto broken = [](const std::string& m) { return pith::fail(Kind::bundle_broken, m); };
    if (text.size() > kMaxBundle) return broken("the bundle is over 1 MiB: drop unused routes or keys");
    boost::system::error_code ec;
    const json::value v = json::parse(text, ec);
    if (ec) return broken("not JSON: " + ec.message());
    const std::string twice = TwiceFinder(text).find();
    if (!twice.empty()) return broken(twice + ": the field stands there twice: remove one");
    Checker c;
    const json::object* o = c.object(v, "", {"number", "services", "routes", "customers", "keys"}, {"note"});
    Bundle b;
    if (o != nullptr) {
        b.number = static_cast<std::uint64_t>(c.whole(*o, "number", "", 1, INT64_MAX / 2));
        if (o->if_contains("note") != nullptr) b.note = c.word(*o, "note", "");
        const json::array* s = c.array(*o, "services", "", 64);
        for (std::size_t i = 0; s != nullptr && i < s->size() && c.ok(); ++i) {
            const std::string at = "/services/" + std::to_string(i);
            const json::object* r = c.object((*s)[i], at, {"name"}, {});
            if (r == nullptr) break;
            const std::string n = c.name(*r, "name", at);
            for (const auto& e : b.services)
                if (e.name == n) c.fault(at + "/name", "\"" + n + "\" is used twice: rename one");
            b.services.emplace_back();
            b.services.back().name = n;
        }
        if (c.ok()) read_routes(*o, &b, &c);
        if (c.ok()) read_customers(*o, &b, &c);
        if (c.ok()) read_keys(*o, &b, &c);
    }
    if (!c.ok()) return broken(c.fault());
    b.text = json::serialize(v);
    b.hash = pith::digest_hex(b.text);
    return b;
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
            if (fits(r, p)) m.insert(r.methods.begin(), r.methods.end());
    std::string o;
    for (const auto& x : m) o += (o.empty() ? "" : ", ") + x;
    return o;
}

const Route* Policy::match(const std::string& method, const std::string& path, bool* method_ok) const {
    *method_ok = true;
    std::vector<std::string> p;
    if (!split_path(path, &p)) return nullptr;
    const Route* best = nullptr;
    bool known = false;
    auto weight = [](const Route& r) {  // plain segments first, then *, then **
        std::string w;
        for (const auto& s : r.parts) w += s == "**" ? '0' : s == "*" ? '1' : '2';
        return w;
    };
    for (const auto& r : b_.routes) {
        if (!fits(r, p)) continue;
        known = true;
        if (std::find(r.methods.begin(), r.methods.end(), method) == r.methods.end()) continue;
        if (best == nullptr || weight(r) > weight(*best)) best = &r;
    }
    *method_ok = best != nullptr || !known;
    return best;
}

bool Policy::allowed(const Customer& c, const Route& r) {
    return std::find(c.routes.begin(), c.routes.end(), r.name) != c.routes.end();
}

}  // namespace creed
