#include "helm/helm.hpp"

#include <gflags/gflags.h>
#include <sodium.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

#include "creed/bundle.hpp"
#include "creed/openapi.hpp"
#include "helm/fleet.hpp"
#include "pith/flags.hpp"
#include "pith/hash.hpp"
#include "pith/settings.hpp"

DEFINE_string(nodes, "",
              "operators' addresses of one or more nodes, IP:PORT,IP:PORT; the rest is found through them");
DEFINE_string(operator_token, "", "the word that commands which change something need");
DEFINE_int32(timeout_ms, 4000, "how long the whole command may take, 100 to 60000");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(out, "", "file to write to");
DEFINE_string(signing_key, "", "file with the signer's secret key");
DEFINE_string(service, "", "import: the service that the routes go to");
DEFINE_int32(route_timeout_ms, 1000, "import: the routes' timeout, 10 to 60000");
DEFINE_int32(times, 10, "watch: how many times to look, 1 to 100000");
DEFINE_int32(every_ms, 1000, "watch: time between looks, 100 to 60000");

namespace helm {

namespace json = boost::json;
using pith::Error;
using pith::Kind;

namespace {

const std::vector<std::string> kFlags = {"nodes", "operator_token", "timeout_ms", "json",
                                         "out",   "signing_key",    "service",    "route_timeout_ms",
                                         "times", "every_ms"};

int tell(const Error& e) {
    if (FLAGS_json)
        std::cout << json::serialize(json::object{{"kind", pith::kind_text(e.kind)}, {"message", e.message}})
                  << "\n";
    else
        std::cerr << "helm: " << e.message << "\n";
    if (e.kind == Kind::settings_wrong) return kUsage;
    if (e.kind == Kind::unreachable) return kUnreachable;
    if (e.kind == Kind::outcome_unknown) return kUnknown;
    return kRefused;
}

std::string str(const json::object& o, const char* k) {
    const auto* e = o.if_contains(k);
    if (e == nullptr) return "-";
    if (e->is_string()) return e->get_string().c_str();
    return json::serialize(*e);
}

double num(const json::object& o, const char* k) {
    const auto* e = o.if_contains(k);
    return e != nullptr && e->is_number() ? e->to_number<double>() : 0;
}

std::string pad(std::string s, std::size_t n) {
    if (s.size() < n) s.append(n - s.size(), ' ');
    return s + "  ";
}

struct Args {
    std::vector<std::string> rest;
    Fleet fleet() const {
        std::vector<std::string> a;
        std::string w;
        for (char c : FLAGS_nodes + ",") {
            if (c != ',')
                w += c;
            else if (!w.empty())
                a.push_back(w), w.clear();
        }
        return Fleet(a, FLAGS_operator_token, static_cast<pith::Micros>(FLAGS_timeout_ms) * pith::kMilli);
    }
};

using Nodes = std::vector<Node>;

Nodes of_role(const Nodes& n, const std::string& role) {
    Nodes v;
    std::copy_if(n.begin(), n.end(), std::back_inserter(v),
                 [&role](const Node& x) { return x.role == role; });
    return v;
}

// Names those that did not answer; the code tells that the answer is partial.
int missing(const std::vector<Said>& v, json::array* out) {
    int code = kWell;
    for (const auto& s : v) {
        if (s.well()) continue;
        const std::string why =
            s.answer ? "status " + std::to_string(s.answer->result_int()) : s.answer.error().message;
        if (!FLAGS_json)
            std::cerr << "helm: partial: " << s.node.name << " (" << s.node.state << "): " << why << "\n";
        out->push_back(json::object{{"name", s.node.name}, {"state", s.node.state}, {"why", why}});
        code = kPartial;
    }
    return code;
}

int put_out(const std::string& text, bool secret) {
    if (FLAGS_out.empty()) {
        std::cout << text << "\n";
        return kWell;
    }
    const mode_t old = ::umask(secret ? 077 : 022);
    std::ofstream f(FLAGS_out, std::ios::binary | std::ios::trunc);
    ::umask(old);
    f << text << "\n";
    f.close();
    if (!f)
        return tell({Kind::settings_wrong, "can't write " + FLAGS_out + ": give a path that can be written"});
    return kWell;
}

int do_keygen(const Args&) {
    std::string pk, sk;
    creed::keygen(&pk, &sk);
    if (FLAGS_out.empty()) return tell({Kind::settings_wrong, "keygen needs --out FILE for the secret key"});
    const int c = put_out(sk, true);
    if (c == kWell) std::cout << pk << "\n";
    return c;
}

int do_secret(const Args&) {
    unsigned char b[32];
    randombytes_buf(b, sizeof b);
    return put_out(pith::to_hex(std::string(reinterpret_cast<char*>(b), sizeof b)), true);
}

int do_key(const Args& a) {
    std::string k;
    if (!a.rest.empty()) {
        k = a.rest[0];
    } else {
        unsigned char b[24];
        randombytes_buf(b, sizeof b);
        k = pith::to_hex(std::string(reinterpret_cast<char*>(b), sizeof b));
    }
    std::cout << json::serialize(json::object{{"key", k}, {"digest", creed::key_digest(k)}}) << "\n";
    return kWell;
}

pith::Result<std::string> file_arg(const Args& a) {
    if (a.rest.empty()) return pith::fail(Kind::settings_wrong, "give the bundle's file");
    return pith::read_file(a.rest[0], creed::kMaxBundle);
}

pith::Result<creed::Bundle> any_bundle(const std::string& text) {
    auto b = creed::read_told(text);  // signed
    if (b) return b;
    auto c = creed::read_bundle(text);
    if (c || text.find("\"signature\"") == std::string::npos) return c;
    return b;
}

int do_check(const Args& a) {
    auto t = file_arg(a);
    if (!t) return tell(t.error());
    auto b = any_bundle(*t);
    if (!b) return tell(b.error());
    if (FLAGS_json)
        std::cout << json::serialize(json::object{{"number", b->number},
                                                  {"hash", b->hash},
                                                  {"services", b->services.size()},
                                                  {"routes", b->routes.size()},
                                                  {"customers", b->customers.size()},
                                                  {"keys", b->keys.size()}})
                  << "\n";
    else
        std::cout << "well: number " << b->number << ", " << b->services.size() << " services, "
                  << b->routes.size() << " routes, " << b->customers.size() << " customers, "
                  << b->keys.size() << " keys, hash " << b->hash.substr(0, 16) << "\n";
    return kWell;
}

int do_sign(const Args& a) {
    auto t = file_arg(a);
    if (!t) return tell(t.error());
    auto k = pith::read_file(FLAGS_signing_key, 4096);
    if (!k) return tell({Kind::settings_wrong, "sign needs --signing_key FILE: make one with `helm keygen`"});
    while (!k->empty() && (k->back() == '\n' || k->back() == ' ')) k->pop_back();
    auto s = creed::sign(*t, *k);
    if (!s) return tell(s.error());
    return put_out(*s, false);
}

int do_import(const Args& a) {
    auto t = file_arg(a);
    if (!t) return tell(t.error());
    if (FLAGS_service.empty()) return tell({Kind::settings_wrong, "import needs --service NAME"});
    if (FLAGS_route_timeout_ms < 10 || FLAGS_route_timeout_ms > 60000)
        return tell({Kind::settings_wrong, "--route_timeout_ms must be 10 to 60000"});
    auto r = creed::routes_from_openapi(*t, FLAGS_service, FLAGS_route_timeout_ms);
    if (!r) return tell(r.error());
    return put_out(*r, false);
}

int do_push(const Args& a) {
    auto t = file_arg(a);
    if (!t) return tell(t.error());
    auto f = a.fleet();
    auto n = f.nodes();
    if (!n) return tell(n.error());
    // Keepers are tried one after the other until one's answer is final: the same file may be pushed again.
    Error last{Kind::unreachable, "no keeper is known: check --nodes"};
    for (const auto& k : of_role(*n, "keeper")) {
        auto v = f.ask({k}, "POST", "/v1/bundle", *t);
        const auto o = v[0].body();
        if (v[0].well()) {
            if (FLAGS_json)
                std::cout << json::serialize(o) << "\n";
            else
                std::cout << "acknowledged: number " << str(o, "acknowledged") << " by " << k.name
                          << "; standing: " << str(o, "standing") << "\n";
            return kWell;
        }
        if (!v[0].answer) {
            last = {Kind::outcome_unknown,
                    k.name + " did not answer: the bundle may stand or not: push the same file again"};
            continue;
        }
        const std::string kind = str(o, "kind");
        last = {Kind::bundle_broken, k.name + ": " + str(o, "message")};
        if (kind == "outcome_unknown" || kind == "no_majority" || kind == "disk_failed" || kind == "crowded")
            last.kind = Kind::outcome_unknown;
        else
            break;
    }
    return tell(last);
}

int do_status(const Args& a) {
    auto f = a.fleet();
    auto n = f.nodes();
    if (!n) return tell(n.error());
    const auto v = f.ask(*n, "GET", "/v1/status");
    json::array all, gone;
    std::vector<std::string> wrong;
    double top = 0;
    for (const auto& s : v)
        if (s.well()) top = std::max(top, num(s.body(), "bundle"));
    if (!FLAGS_json)
        std::cout << pad("NAME", 10) << pad("ROLE", 7) << pad("ZONE", 8) << pad("BUNDLE", 7)
                  << pad("BEHIND", 6) << pad("READY", 5) << pad("STANDING", 8) << pad("DISK", 6)
                  << pad("INCARNATION", 17) << "DUTIES\n";
    for (const auto& s : v) {
        if (!s.well()) continue;
        auto o = s.body();
        std::string duties;
        const auto* d = o.if_contains("duties");
        if (d != nullptr && d->is_array())
            for (const auto& e : d->get_array())
                if (e.is_object() && str(e.get_object(), "holder") == s.node.name)
                    duties += str(e.get_object(), "duty") + "@" + str(e.get_object(), "epoch") + " ";
        const double behind = top - num(o, "bundle");
        if (!FLAGS_json)
            std::cout << pad(s.node.name, 10) << pad(str(o, "role"), 7) << pad(str(o, "locality"), 8)
                      << pad(str(o, "bundle"), 7) << pad(std::to_string(static_cast<long>(behind)), 6)
                      << pad(str(o, "ready"), 5) << pad(str(o, "standing"), 8) << pad(str(o, "disk"), 6)
                      << pad(str(o, "incarnation"), 17) << duties << "\n";
        o["behind"] = behind;
        json::array say;
        for (const auto& w : advice(o, behind)) {
            say.emplace_back(w);
            wrong.push_back(s.node.name + ": " + w);
        }
        o["advice"] = say;
        all.push_back(o);
    }
    const int code = missing(v, &gone);
    if (FLAGS_json)
        std::cout << json::serialize(json::object{{"nodes", all}, {"partial", gone}}) << "\n";
    else
        for (const auto& w : wrong) std::cout << w << "\n";
    return code;
}

int do_watch(const Args& a) {
    int code = kWell;
    for (int i = 0; i < std::max(1, std::min(FLAGS_times, 100000)); ++i) {
        if (i > 0)
            std::this_thread::sleep_for(
                std::chrono::milliseconds(std::max(100, std::min(FLAGS_every_ms, 60000))));
        code = do_status(a);
        std::cout << std::flush;
    }
    return code;
}

pith::Result<std::string> standing_bundle(Fleet& f, const Nodes& n) {
    std::string best;
    std::uint64_t top = 0;
    for (const auto& s : f.ask(of_role(n, "keeper"), "GET", "/v1/bundle")) {
        if (!s.well()) continue;
        auto b = creed::read_told(s.answer->body());
        if (b && b->number > top) {
            top = b->number;
            best = s.answer->body();
        }
    }
    if (best.empty())
        return pith::fail(Kind::not_found, "no keeper tells of a bundle: push one with `helm push`");
    return best;
}

int do_show(const Args& a) {
    auto f = a.fleet();
    auto n = f.nodes();
    if (!n) return tell(n.error());
    auto b = standing_bundle(f, *n);
    if (!b) return tell(b.error());
    while (!b->empty() && b->back() == '\n') b->pop_back();
    return put_out(*b, false);
}

// What would change, line by line: routes, customers and keys that come, go or differ.
int do_diff(const Args& a) {
    auto t = file_arg(a);
    if (!t) return tell(t.error());
    auto nb = any_bundle(*t);
    if (!nb) return tell(nb.error());
    auto f = a.fleet();
    auto n = f.nodes();
    if (!n) return tell(n.error());
    auto st = standing_bundle(f, *n);
    if (!st) return tell(st.error());
    auto ob = any_bundle(*st);
    if (!ob) return tell(ob.error());
    auto lines = [](const creed::Bundle& b) {
        std::map<std::string, std::string> m;
        for (const auto& s : b.services) m["service " + s.name] = "";
        for (const auto& r : b.routes) {
            std::string w = r.path + " -> " + r.service + (r.write ? " write" : " read") + " " +
                            std::to_string(r.timeout / pith::kMilli) + " ms";
            for (const auto& x : r.methods) w += " " + x;
            m["route " + r.name] = w;
        }
        for (const auto& c : b.customers) {
            char num_text[32];
            std::snprintf(num_text, sizeof num_text, "%g/s", c.second.allowance);
            std::string w = num_text;
            for (const auto& x : c.second.routes) w += " " + x;
            m["customer " + c.first] = w;
        }
        for (const auto& k : b.keys) m["key " + k.first.substr(0, 12)] = k.second;
        return m;
    };
    const auto x = lines(*ob), y = lines(*nb);
    std::cout << "number " << ob->number << " -> " << nb->number
              << (nb->number <= ob->number ? "  (would be refused: take a higher number)" : "") << "\n";
    for (const auto& p : x)
        if (y.count(p.first) == 0) std::cout << "- " << p.first << " " << p.second << "\n";
    for (const auto& p : y) {
        auto i = x.find(p.first);
        if (i == x.end())
            std::cout << "+ " << p.first << " " << p.second << "\n";
        else if (i->second != p.second)
            std::cout << "~ " << p.first << " " << i->second << "  =>  " << p.second << "\n";
    }
    return kWell;
}

int do_history(const Args& a) {
    auto f = a.fleet();
    auto n = f.nodes();
    if (!n) return tell(n.error());
    const auto v = f.ask(of_role(*n, "keeper"), "GET", "/v1/status");
    json::array all, gone;
    for (const auto& s : v) {
        if (!s.well()) continue;
        const auto o = s.body();
        const auto* p = o.if_contains("promises");
        if (FLAGS_json) {
            all.push_back(json::object{{"keeper", s.node.name},
                                       {"standing", num(o, "bundle")},
                                       {"promises", p == nullptr ? json::value() : *p}});
            continue;
        }
        std::cout << s.node.name << " standing " << str(o, "bundle") << "\n";
        if (p != nullptr && p->is_array())
            for (const auto& e : p->get_array())
                std::cout << "  number " << str(e.get_object(), "number") << "  "
                          << str(e.get_object(), "hash").substr(0, 16) << "\n";
    }
    const int code = missing(v, &gone);
    if (FLAGS_json) std::cout << json::serialize(json::object{{"keepers", all}, {"partial", gone}}) << "\n";
    return code;
}

int do_allowance(const Args& a) {
    auto f = a.fleet();
    auto n = f.nodes();
    if (!n) return tell(n.error());
    const auto v = f.ask(of_role(*n, "proxy"), "GET", "/v1/allowances");
    struct Sum {
        double allowance = 0, released = 0, away = 0, queued = 0, rate = 0, assumed = 0, worst = 0, last = 0;
    };
    std::map<std::string, Sum> by;
    json::array gone;
    for (const auto& s : v) {
        if (!s.well()) continue;
        const auto o = s.body();
        const auto* c = o.if_contains("customers");
        if (c == nullptr || !c->is_array()) continue;
        for (const auto& e : c->get_array()) {
            const auto* xo = e.if_object();
            if (xo == nullptr) continue;
            const auto& x = *xo;
            if (!a.rest.empty() && str(x, "customer") != a.rest[0]) continue;
            Sum& t = by[str(x, "customer")];
            t.allowance = num(x, "allowance_per_s");
            t.released += num(x, "released");
            t.away += num(x, "turned_away");
            t.queued += num(x, "queued");
            t.rate += num(x, "rate_per_s");
            t.assumed = std::max(t.assumed, num(x, "assumed"));
            t.worst = std::max(t.worst, num(x, "worst_5s"));
            t.last = std::max(t.last, num(x, "last_5s"));
        }
    }
    json::array all;
    if (!FLAGS_json)
        std::cout << pad("CUSTOMER", 16) << pad("ALLOWANCE/S", 11) << pad("RATE/S", 8) << pad("RELEASED", 10)
                  << pad("TURNED_AWAY", 11) << pad("QUEUED", 6) << pad("ASSUMED", 7) << pad("LAST_5S", 7)
                  << "WORST_5S\n";
    for (const auto& p : by) {
        const Sum& t = p.second;
        all.push_back(
            json::object{{"customer", p.first},
                         {"allowance_per_s", t.allowance},
                         {"rate_per_s", t.rate},
                         {"released", t.released},
                         {"turned_away", t.away},
                         {"queued", t.queued},
                         {"assumed", t.assumed},
                         {"last_5s", t.last},
                         {"worst_5s", t.worst},
                         {"worst_of_allowance", t.allowance > 0 ? t.worst / (5 * t.allowance) : 0}});
        if (FLAGS_json) continue;
        char b[200];
        std::snprintf(b, sizeof b,
                      "%-16s  %-11g  %-8.1f  %-10.0f  %-11.0f  %-6.0f  %-7.1f  %-7.0f  %.0f (%.0f%%)",
                      p.first.c_str(), t.allowance, t.rate, t.released, t.away, t.queued, t.assumed, t.last,
                      t.worst, t.allowance > 0 ? 20 * t.worst / t.allowance : 0);
        std::cout << b << "\n";
    }
    const int code = missing(v, &gone);
    if (FLAGS_json) std::cout << json::serialize(json::object{{"customers", all}, {"partial", gone}}) << "\n";
    if (code == kWell && !a.rest.empty() && by.empty())
        return tell({Kind::not_found, "no customer of that name: see `helm allowance`"});
    return code;
}

int do_servers(const Args& a) {
    auto f = a.fleet();
    auto n = f.nodes();
    if (!n) return tell(n.error());
    const auto v = f.ask(of_role(*n, "proxy"), "GET", "/v1/servers");
    std::map<std::string, json::object> by;
    json::array gone, all;
    for (const auto& s : v) {
        if (!s.well()) continue;
        const auto o = s.body();
        const auto* c = o.if_contains("servers");
        if (c == nullptr || !c->is_array()) continue;
        for (const auto& e : c->get_array()) {
            const auto& x = e.get_object();
            auto& t = by[str(x, "service") + " " + str(x, "address")];
            if (t.empty()) {
                t = x;
                t["proxies"] = 0;
                t["ejected_by"] = 0;
                t["in_flight"] = 0;
                t["visits"] = 0;
                t["failures"] = 0;
            }
            auto add = [&t](const char* k, double d) { t[k] = static_cast<std::int64_t>(num(t, k) + d); };
            add("proxies", 1);
            add("ejected_by", str(x, "ejected") == "true" ? 1 : 0);
            for (const char* k : {"in_flight", "visits", "failures"}) add(k, num(x, k));
        }
    }
    if (!FLAGS_json)
        std::cout << pad("SERVICE", 12) << pad("ADDRESS", 21) << pad("INSTANCE", 14) << pad("ZONE", 6)
                  << pad("STATE", 8) << pad("IN_FLIGHT", 9) << pad("VISITS", 8) << pad("FAILURES", 8)
                  << "EJECTED_BY\n";
    for (const auto& p : by) {
        const auto& t = p.second;
        all.push_back(t);
        if (!FLAGS_json)
            std::cout << pad(str(t, "service"), 12) << pad(str(t, "address"), 21)
                      << pad(str(t, "instance"), 14) << pad(str(t, "locality"), 6) << pad(str(t, "state"), 8)
                      << pad(str(t, "in_flight"), 9) << pad(str(t, "visits"), 8) << pad(str(t, "failures"), 8)
                      << str(t, "ejected_by") << " of " << str(t, "proxies") << "\n";
    }
    const int code = missing(v, &gone);
    if (FLAGS_json) std::cout << json::serialize(json::object{{"servers", all}, {"partial", gone}}) << "\n";
    return code;
}

int mark(const Args& a, const char* m) {
    if (a.rest.empty())
        return tell({Kind::settings_wrong,
                     std::string(m) +
                         " needs a server's IP:PORT or a proxy's name: see `helm servers`, `helm status`"});
    auto f = a.fleet();
    auto n = f.nodes();
    if (!n) return tell(n.error());
    if (!pith::address_ok(a.rest[0])) {
        for (const auto& p : of_role(*n, "proxy")) {
            if (p.name != a.rest[0]) continue;
            const auto v = f.ask({p}, "POST", std::string("/v1/node?mark=") + m);
            if (!v[0].answer) return tell(v[0].answer.error());
            if (!v[0].well()) return tell({Kind::forbidden, str(v[0].body(), "message")});
            std::cout << "marked " << m << ": " << p.name << "\n";
            return kWell;
        }
        return tell({Kind::not_found,
                     "no proxy is named " + a.rest[0] + ", nor is it a server's IP:PORT: see `helm status`"});
    }
    Error last{Kind::unreachable, "no keeper is known: check --nodes"};
    for (const auto& k : of_role(*n, "keeper")) {
        auto v = f.ask({k}, "POST", "/v1/mark?server=" + a.rest[0] + "&mark=" + m);
        if (v[0].well()) {
            std::cout << "marked " << m << ": " << a.rest[0] << " by " << k.name << "\n";
            return kWell;
        }
        last = v[0].answer ? Error{Kind::forbidden, str(v[0].body(), "message")} : v[0].answer.error();
    }
    return tell(last);
}
int do_drain(const Args& a) { return mark(a, "drain"); }
int do_undrain(const Args& a) { return mark(a, "serve"); }

int do_explain(const Args& a) {
    if (a.rest.empty()) return tell({Kind::settings_wrong, "explain needs a try id"});
    auto f = a.fleet();
    auto n = f.nodes();
    if (!n) return tell(n.error());
    const auto v = f.ask(of_role(*n, "proxy"), "GET", "/v1/explain?try=" + a.rest[0]);
    json::array all, gone;
    for (const auto& s : v) {
        const auto o = s.body();
        const auto* c = o.if_contains("found");
        if (c == nullptr || !c->is_array()) continue;
        for (const auto& e : c->get_array()) {
            const auto& x = e.get_object();
            all.push_back(e);
            if (FLAGS_json) continue;
            std::cout << str(x, "node") << ": customer " << str(x, "customer") << ", route "
                      << str(x, "route") << ", bundle " << str(x, "bundle") << ": " << str(x, "end") << " ("
                      << str(x, "status") << "), ran " << str(x, "ran") << ", waited " << str(x, "queued_us")
                      << " us";
            if (str(x, "server") != "")
                std::cout << ", server " << str(x, "server") << " " << str(x, "instance") << ", sent "
                          << str(x, "sends") << "x in " << str(x, "took_us") << " us";
            std::cout << "\n";
        }
    }
    const int code = missing(v, &gone);
    if (FLAGS_json) std::cout << json::serialize(json::object{{"found", all}, {"partial", gone}}) << "\n";
    if (all.empty() && code == kWell)
        return tell({Kind::not_found, "no proxy remembers that try: each keeps its last 4096"});
    return code;
}

int do_log_level(const Args& a) {
    if (a.rest.empty()) return tell({Kind::settings_wrong, "log-level needs debug, info, warn or error"});
    auto f = a.fleet();
    auto n = f.nodes();
    if (!n) return tell(n.error());
    json::array gone;
    const auto v = f.ask(*n, "POST", "/v1/log-level?level=" + a.rest[0]);
    return missing(v, &gone);
}

struct Command {
    const char* name;
    const char* args;
    const char* help;
    int (*run)(const Args&);
    bool nodes;
};

const Command kCommands[] = {
    {"keygen", "", "make a signer's keys: the secret to --out, the public one shown", do_keygen, false},
    {"secret", "", "make a fleet's shared secret", do_secret, false},
    {"key", "[KEY]", "make a customer's key, or the digest of one", do_key, false},
    {"import", "FILE", "routes from an OpenAPI 3 document (JSON), for a bundle of --service", do_import,
     false},
    {"check", "FILE", "check a bundle, signed or not, without any fleet", do_check, false},
    {"sign", "FILE", "sign a bundle off with --signing_key", do_sign, false},
    {"push", "FILE", "hand a signed bundle in and wait for its acknowledgement", do_push, true},
    {"status", "", "every node: bundle, readiness, disk, duties", do_status, true},
    {"watch", "", "status again and again", do_watch, true},
    {"show", "", "the bundle that stands", do_show, true},
    {"diff", "FILE", "what a bundle would change", do_diff, true},
    {"history", "", "numbers that the keepers promised and what stands", do_history, true},
    {"allowance", "[CUSTOMER]", "released, turned away, queued and assumed, over the fleet", do_allowance,
     true},
    {"servers", "", "servers as the proxies see them", do_servers, true},
    {"drain", "SERVER|PROXY", "no more visits for a server (IP:PORT), or callers for a proxy (name)",
     do_drain, true},
    {"undrain", "SERVER|PROXY", "the contrary", do_undrain, true},
    {"explain", "TRY-ID", "why a try was let in or turned away, and what became of it", do_explain, true},
    {"log-level", "LEVEL", "change the log level of every node", do_log_level, true},
};

}  // namespace

std::string help() {
    std::string o = "usage: marblesaddle helm COMMAND [ARGS] [FLAGS]\n\ncommands:\n";
    for (const auto& c : kCommands) o += "  " + pad(std::string(c.name) + " " + c.args, 22) + c.help + "\n";
    return o + "\nflags:\n" + pith::flag_help(kFlags) +
           "\nexit codes: 0 well, 1 refused, 2 usage, 3 partial answers, 4 unreachable, 5 outcome unknown\n";
}

std::vector<std::string> advice(const json::object& o, double behind) {
    std::vector<std::string> v;
    const std::string role = str(o, "role"), st = str(o, "standing");
    const bool ready = str(o, "ready") == "true", draining = str(o, "draining") == "true";
    if (role == "keeper") {
        if (str(o, "disk") == "failed")
            v.emplace_back("its disk failed: make room or replace the disk, then start it again");
        else if (str(o, "spare") == "true")
            v.emplace_back(
                "keeps a copy and has no vote: it is none of the electorate's; push to one of those");
        else if (str(o, "voting") == "false")
            v.emplace_back(
                "has no vote: its disk was emptied; start all other keepers, it hears them and votes");
    } else {
        if (draining)
            v.emplace_back("drains: `helm undrain` it, or let it stop");
        else if (!ready && num(o, "bundle") == 0)
            v.emplace_back("has no bundle: push one, and see that most keepers are up");
        else if (!ready && st == "floor")
            v.emplace_back("sees a third of the fleet or less and takes no callers: mend its net");
        else if (!ready)
            v.emplace_back(
                "is not ready: it needs a listing from the platform and most keepers; see its log");
        if (ready && st == "part")
            v.emplace_back(
                "sees less than two thirds of the fleet and serves its part of each allowance: mend the net, "
                "or start what is down");
        if (ready && (st == "share" || st == "floor"))
            v.emplace_back(
                "keeps to its share for the moment: it has just started, woken or lost sight of the fleet");
    }
    if (behind > 0 && (role != "keeper" || str(o, "disk") != "failed"))
        v.emplace_back("acts on an older bundle: it is cut off from keepers, or a push is under way");
    return v;
}

int run(const std::vector<std::string>& args) {
    pith::crypto_start();
    auto rest = pith::take_flags(args, kFlags);
    if (!rest) return tell(rest.error());
    if (rest->empty()) {
        std::cerr << help();
        return kUsage;
    }
    if (FLAGS_timeout_ms < 100 || FLAGS_timeout_ms > 60000)
        return tell({Kind::settings_wrong, "--timeout_ms must be 100 to 60000"});
    for (const auto& c : kCommands) {
        if ((*rest)[0] != c.name) continue;
        Args a;
        a.rest.assign(rest->begin() + 1, rest->end());
        if (c.nodes) {
            if (FLAGS_nodes.empty())
                return tell({Kind::settings_wrong, std::string(c.name) + " needs --nodes IP:PORT"});
            std::string w;
            for (char x : FLAGS_nodes + ",") {
                if (x != ',') {
                    w += x;
                } else {
                    if (!w.empty() && !pith::address_ok(w))
                        return tell(
                            {Kind::settings_wrong, "--nodes: \"" + w + "\" is not IP:PORT: correct it"});
                    w.clear();
                }
            }
        }
        return c.run(a);
    }
    return tell({Kind::settings_wrong, "no command \"" + (*rest)[0] + "\": see marblesaddle helm --help"});
}

}  // namespace helm
