#include "loom/capacity.hpp"

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <deque>
#include <memory>
#include <vector>

#include "consensus/control_node.hpp"
#include "pith/hash.hpp"
#include "span/core.hpp"

namespace loom {

using pith::kMilli;
using pith::kSecond;
using pith::Micros;

namespace {
constexpr Micros kStep = 5 * kMilli, kKeeperTick = 50 * kMilli, kWork = 60 * kMilli;
constexpr Micros kBusyBefore =
    1200 * kMilli;                         // of traffic, before costs are counted: each tenant was told once
constexpr Micros kFounding = 5 * kSecond;  // control nodes that start found their membership meanwhile
constexpr int kZones = 9;
constexpr double kBytesPerKb = 1024;
const char* const kFleet = "fleet";
const char* const kSecret = "secret";

double cpu_us() {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

double heap() {
    const auto m = mallinfo2();
    return static_cast<double>(m.uordblks + m.hblkhd);
}

std::string padded(const char* what, int i) {
    const std::string n = std::to_string(i);
    return what + std::string(n.size() < 5 ? 5 - n.size() : 0, '0') + n;
}

struct Node {
    std::string name, zone;
    std::uint64_t inc = 1, seq = 0;
    bool up = true, proxy = true;
    Micros next = 0;
    std::unique_ptr<tide::Basin> basin;
    std::unique_ptr<span::Pool> pool;
    std::unique_ptr<span::ProxyCore> core;
    std::unique_ptr<consensus::ControlNode> keeper;
    consensus::DurableState disk;
    std::deque<std::pair<Micros, span::Slot>> flight;
    tide::Id visits = 0;
    std::map<tide::Id, int> waiting;  // visit -> service
};

struct Frame {
    int to;
    std::string bytes;
};

struct Said {
    double frames = 0, bytes = 0;
};

// Policy::match alone.
void matching(const Load& l, const creed::Policy& p, Costs* c) {
    constexpr int kMatches = 2000;
    bool ok = false;
    std::size_t found = 0;
    const double from = cpu_us();
    for (int i = 0; i < kMatches; ++i) {
        const int r = i * 7919 % l.routes;
        found += p.match("GET", "/" + padded("api-", r) + "/item", &ok,
                         "host-" + std::to_string(r % 100) + ".example") != nullptr
                     ? 1
                     : 0;
    }
    (*c)["match_us"] = (cpu_us() - from) / kMatches;
    (*c)["match_found"] = static_cast<double>(found) / kMatches;
}

class Hollow {
  public:
    Hollow(const Load& l, std::uint64_t seed) : l_(l), rng_(seed * 7919 + 17) {
        pith::crypto_start();
        // One pair a process: the size of what is told compressed depends on the signature.
        static const std::pair<std::string, std::string> keys = [] {
            std::pair<std::string, std::string> pair;
            creed::keygen(&pair.first, &pair.second);
            return pair;
        }();
        public_ = keys.first;
        secret_ = keys.second;
        double sum = 0;
        for (int i = 0; i < l_.tenants; ++i) {
            sum += 1.0 / (i + 1);
            zipf_.push_back(sum);
        }
        for (auto& z : zipf_) z /= sum;
        for (int i = 0; i < l_.keepers + l_.nodes; ++i) {
            auto n = std::make_unique<Node>();
            n->proxy = i >= l_.keepers;
            n->name = n->proxy ? padded("gateway-", i - l_.keepers) : padded("keeper-", i);
            n->zone = "region-" + std::to_string(i % 3) + "/zone-" + std::to_string(i % kZones);
            at_[address(i)] = i;
            n_.push_back(std::move(n));
        }
        for (int i = 0; i < l_.servers; ++i) servers_.push_back(server(i, 1));
        for (std::size_t i = 0; i < n_.size(); ++i) boot(static_cast<int>(i));
        acquaint();
    }

    Costs run() {
        Costs c;
        go(kFounding);
        push(1, 0);
        busy_from_ = now_ + l_.warm - kBusyBefore;
        go(l_.warm);
        reset();
        const Micros from = now_;
        go(l_.run);
        const double s = static_cast<double>(now_ - from) / 1e6;
        steady(&c, s);
        if (const auto p = n_.back()->core->policy()) matching(l_, *p, &c);
        standing(&c);
        if (l_.events) events(&c);
        return c;
    }

  private:
    static std::string address(int i) {
        return "10." + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "." +
               std::to_string(i % 256) + ":7000";
    }
    static std::string service(int i) { return "service-" + std::to_string(i); }

    weft::ServerRec server(int i, int life) const {
        weft::ServerRec r;
        r.address = "10.9." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":8080";
        r.service = service(i % l_.services);
        r.instance = padded("instance-", i) + "-" + std::to_string(life);
        r.locality = "region-" + std::to_string(i % 3) + "/zone-" + std::to_string(i % kZones);
        r.slots = 4;
        r.version = "1.0.0";
        return r;
    }

    void boot(int i) {
        Node& n = *n_[static_cast<std::size_t>(i)];
        knell::Config k;
        k.name = n.name;
        k.address = address(i);
        k.locality = n.zone;
        k.role = n.proxy ? "proxy" : "keeper";
        k.operator_address = k.address;
        k.inc = n.inc;
        for (int j = 0; j < l_.keepers; ++j) k.seeds.push_back(address(j));
        n.next = now_ + static_cast<Micros>(rng_.below(100000));
        if (!n.proxy) {
            boot_control(i, k);
            return;
        }
        tide::Tuning t;
        t.over = 0.1;  // with a tolerance, as platforms give it
        n.basin = std::make_unique<tide::Basin>(t);
        n.pool = std::make_unique<span::Pool>(n.name, n.zone, span::PoolTuning{});
        n.core = std::make_unique<span::ProxyCore>(k, span::CoreTuning{}, n.basin.get(), n.pool.get());
    }

    void boot_control(int i, const knell::Config& config) {
        Node& n = *n_[static_cast<std::size_t>(i)];
        consensus::ControlConfig control;
        control.name = n.name;
        control.address = config.address;
        control.signers = {public_};
        control.life = static_cast<std::uint64_t>(i) + 1;
        consensus::FoundingConfig founding;
        founding.name = n.name;
        founding.address = config.address;
        founding.seeds = config.seeds;
        founding.first_start = true;
        for (int j = 0; j < l_.keepers; ++j) founding.listed[padded("keeper-", j)] = address(j);
        n.disk.disk = n.name + "-disk";
        n.keeper = std::make_unique<consensus::ControlNode>(config, control, founding, n.disk, epochs_);
    }

    // All know all from the start: a fleet does not begin whole, and its first gossip is no steady cost.
    void acquaint() {
        weft::News w;
        for (std::size_t i = 0; i < n_.size(); ++i) {
            weft::MemberRec r{n_[i]->name, address(static_cast<int>(i)),
                              n_[i]->zone, n_[i]->proxy ? "proxy" : "keeper",
                              1,           0,
                              1,           address(static_cast<int>(i))};
            w.members.push_back(r);
        }
        for (auto& n : n_) {
            span::Todo d;
            consensus::Actions a;
            const weft::Envelope e{n_[0]->name, 1, 0, w};
            if (n->proxy)
                n->core->hear(now_, e, &d);
            else
                n->keeper->hear(now_, e, &a);
        }
    }

    std::string bundle(std::uint64_t number, int changed) const {
        namespace json = boost::json;
        json::array sv, rt, cu, ke;
        for (int i = 0; i < l_.services; ++i) sv.push_back(json::object{{"name", service(i)}});
        for (int i = 0; i < l_.routes; ++i) {
            json::object o{{"name", padded("route-", i)},
                           {"service", service(i % l_.services)},
                           {"kind", "read"},
                           {"timeout_ms", 2000}};
            if (l_.patterns) {
                o["path"] = "/" + padded("api-", i) + "/*";
                o["methods"] = json::array{"GET"};
            } else {
                o["host"] = "host-" + std::to_string(i % 100) + ".example";
                o["prefix"] = "/" + padded("api-", i) + "/";
            }
            rt.push_back(std::move(o));
        }
        for (int i = 0; i < l_.tenants; ++i) {
            const double share =
                (zipf_[static_cast<std::size_t>(i)] - (i == 0 ? 0 : zipf_[static_cast<std::size_t>(i) - 1])) *
                l_.rate * l_.nodes / 0.6;
            const double a = std::min(100000.0, std::max(5.0, share)) + (i == changed ? 1 : 0);
            cu.push_back(json::object{{"name", padded("tenant-", i)},
                                      {"allowance_per_s", a},
                                      {"burst", a},
                                      {"routes", json::array{padded("route-", i % l_.routes)}}});
            ke.push_back(json::object{{"digest", creed::key_digest(padded("key-", i))},
                                      {"customer", padded("tenant-", i)}});
        }
        return json::serialize(json::object{{"number", number},
                                            {"note", "capacity"},
                                            {"services", sv},
                                            {"routes", rt},
                                            {"customers", cu},
                                            {"keys", ke}});
    }

    void push(std::uint64_t number, int changed) {
        const std::string plain = bundle(number, changed);
        text_ = static_cast<double>(plain.size());
        const auto t = creed::sign(plain, secret_);
        if (!t) return;  // too large: it shows as not acknowledged
        text_ = static_cast<double>(t.value().size());
        consensus::Actions a;
        const double c = cpu_us();
        n_[0]->keeper->order(now_, number, t.value(), &a);
        cpu_[0] += cpu_us() - c;
        carry(0, a);
    }

    void send(int i, const weft::Out& out) {
        Node& n = *n_[static_cast<std::size_t>(i)];
        const std::uint64_t inc = n.proxy ? n.core->knell().inc() : n.keeper->knell().inc();
        for (const auto& s : out) {
            const double c = cpu_us();
            Frame f{-1, weft::pack(kFleet, kSecret, weft::Envelope{n.name, inc, ++n.seq, s.msg})};
            cpu_[n.proxy ? 1 : 0] += cpu_us() - c;
            const auto at = at_.find(s.address);
            Said& x = said_[n.proxy ? 1 : 0][weft::msg_name(s.msg)];
            x.frames += 1;
            x.bytes += static_cast<double>(f.bytes.size());
            if (at == at_.end() || !n_[static_cast<std::size_t>(at->second)]->up) continue;
            f.to = at->second;
            next_.push_back(std::move(f));
        }
    }

    void carry(int i, consensus::Actions& a) {
        send(i, a.out);
        for (const auto& j : a.saves) {  // a disk that writes at once
            Node& n = *n_[static_cast<std::size_t>(i)];
            n.disk = j.state;
            consensus::Actions b;
            n.keeper->saved(now_, j.token, true, &b);
            carry(i, b);
        }
        for (const auto& r : a.answers) answered_ += r.result ? 1 : 0;
    }

    void carry(int i, span::Todo& d) {
        send(i, d.out);
        left(i, d.left);
        if (d.list != 0) {
            span::Todo e;
            n_[static_cast<std::size_t>(i)]->core->listed(now_, d.list, servers_, &e);
            carry(i, e);
        }
        if (d.probe.empty()) return;
        std::vector<weft::ProbeRec> v;
        for (const auto& r : d.probe) v.push_back({r.address, r.instance, 0});
        span::Todo e;
        n_[static_cast<std::size_t>(i)]->core->probed(now_, v, &e);
        carry(i, e);
    }

    void left(int i, const tide::Left& l) {
        Node& n = *n_[static_cast<std::size_t>(i)];
        for (const auto id : l.released) served(n, id);
        for (const auto id : l.expired) n.waiting.erase(id);
    }

    void served(Node& n, tide::Id id) {
        const auto w = n.waiting.find(id);
        if (w == n.waiting.end()) return;
        bool known = false;
        const auto s = n.pool->pick(now_, service(w->second), {}, &known);
        n.waiting.erase(w);
        if (!s) {
            ++unserved_;
            return;
        }
        n.flight.emplace_back(now_ + kWork, *s);
    }

    void traffic(int i) {
        Node& n = *n_[static_cast<std::size_t>(i)];
        const double c = cpu_us();
        while (!n.flight.empty() && n.flight.front().first <= now_) {
            n.pool->done(now_, n.flight.front().second, span::Outcome::well, kWork);
            n.flight.pop_front();
        }
        const double want = l_.rate * static_cast<double>(kStep) / 1e6;
        auto k = static_cast<int>(want) + (rng_.unit() < want - std::floor(want) ? 1 : 0);
        if (!n.core->ready() || now_ < busy_from_) k = 0;
        for (; k > 0; --k) {
            const auto z = std::lower_bound(zipf_.begin(), zipf_.end(), rng_.unit());
            const int t = std::min(l_.tenants - 1, static_cast<int>(z - zipf_.begin()));
            const tide::Id id = ++n.visits;
            n.waiting[id] = t % l_.routes % l_.services;
            const auto v = n.basin->arrive(now_, padded("tenant-", t), id, now_ + kSecond);
            ++offered_;
            n.next = std::min(n.next, now_ + n.core->soon());
            if (v.released) served(n, id);
            if (!v.released && !v.queued) {
                n.waiting.erase(id);
                ++refused_;
            }
        }
        tide::Left l;
        n.basin->advance(now_, &l);
        left(i, l);
        cpu_gates_ += cpu_us() - c;
    }

    void go(Micros d) {
        for (const Micros end = now_ + d; now_ < end; now_ += kStep) {
            std::vector<Frame> v;
            v.swap(next_);
            for (auto& f : v) hear(f);
            for (std::size_t i = 0; i < n_.size(); ++i) {
                Node& n = *n_[i];
                if (!n.up) continue;
                if (n.proxy) traffic(static_cast<int>(i));
                if (now_ < n.next) continue;
                const double c = cpu_us();
                if (n.proxy) {
                    span::Todo t;
                    n.core->tick(now_, &t);
                    cpu_[1] += cpu_us() - c;
                    n.next = now_ + n.core->nap();
                    carry(static_cast<int>(i), t);
                } else {
                    consensus::Actions a;
                    n.keeper->tick(now_, &a);
                    cpu_[0] += cpu_us() - c;
                    n.next = now_ + kKeeperTick;
                    carry(static_cast<int>(i), a);
                }
            }
        }
    }

    void hear(const Frame& f) {
        Node& n = *n_[static_cast<std::size_t>(f.to)];
        if (!n.up) return;
        heard_[n.proxy ? 1 : 0].frames += 1;
        heard_[n.proxy ? 1 : 0].bytes += static_cast<double>(f.bytes.size());
        const double c = cpu_us();
        weft::Envelope e;
        if (weft::unpack(kFleet, kSecret, f.bytes, &e) != weft::Fault::none) {
            ++dropped_;
            return;
        }
        if (n.proxy) {
            span::Todo d;
            n.core->hear(now_, e, &d);
            cpu_[1] += cpu_us() - c;
            carry(f.to, d);
        } else {
            consensus::Actions a;
            n.keeper->hear(now_, e, &a);
            cpu_[0] += cpu_us() - c;
            carry(f.to, a);
        }
    }

    void reset() {
        for (int r = 0; r < 2; ++r) {
            said_[r].clear();
            heard_[r] = Said{};
            cpu_[r] = 0;
        }
        cpu_gates_ = 0;
        offered_ = refused_ = unserved_ = dropped_ = 0;
    }

    double many(int role) const {
        double r = 0;
        for (const auto& n : n_) r += n->up && n->proxy == (role == 1) ? 1 : 0;
        return std::max(1.0, r);
    }

    Said all(int role, const std::string& name = "") const {
        Said r;
        for (const auto& x : said_[role])
            if (name.empty() || x.first == name) {
                r.frames += x.second.frames;
                r.bytes += x.second.bytes;
            }
        return r;
    }

    void steady(Costs* c, double s) const {
        const char* role[] = {"keeper", "proxy"};
        for (int r = 0; r < 2; ++r) {
            const std::string w = role[r];
            const double n = many(r) * s;
            (*c)[w + ".out_frames_s"] = all(r).frames / n;
            (*c)[w + ".out_bytes_s"] = all(r).bytes / n;
            (*c)[w + ".in_frames_s"] = heard_[r].frames / n;
            (*c)[w + ".in_bytes_s"] = heard_[r].bytes / n;
            (*c)[w + ".cpu_us_s"] = cpu_[r] / n;
            for (const auto& x : said_[r]) {
                (*c)[w + ".out_" + x.first + "_frames_s"] = x.second.frames / n;
                (*c)[w + ".out_" + x.first + "_bytes_s"] = x.second.bytes / n;
            }
        }
        (*c)["proxy.gates_us_s"] = cpu_gates_ / (many(1) * s);
        (*c)["offered_s"] = offered_ / (many(1) * s);
        (*c)["refused_share"] = offered_ > 0 ? refused_ / offered_ : 0;
        (*c)["unserved_share"] = offered_ > 0 ? unserved_ / offered_ : 0;
        (*c)["frames_dropped"] = dropped_;
    }

    // What stands in a node, and what a cap keeps out: of the first proxy.
    void standing(Costs* c) {
        const auto k = static_cast<std::size_t>(l_.keepers);
        double ready = 0;
        for (const auto& n : n_) ready += n->proxy && n->core->ready() ? 1 : 0;
        (*c)["ready_share"] = ready / l_.nodes;
        (*c)["acked"] = answered_;
        (*c)["config_bytes"] = text_;
        (*c)["members_known"] = static_cast<double>(n_[k]->core->knell().members().size());
        (*c)["partners_known"] = static_cast<double>(n_[k]->core->tally().partners());
        (*c)["servers_known"] = static_cast<double>(n_[k]->pool->servers().size());
        (*c)["services_known"] = static_cast<double>(n_[k]->pool->services().size());
        // A node's memory is what goes as it goes; its partner's copies of a text are their own.
        for (int r = 0; r < 2; ++r) {
            Node& n = *n_[r == 1 ? n_.size() - 1 : k - 1];
            const double was = heap();
            n.core.reset();
            n.keeper.reset();
            n.pool.reset();
            n.basin.reset();
            n.disk = consensus::DurableState{};
            (*c)[r == 1 ? "proxy.memory_kb" : "keeper.memory_kb"] = (was - heap()) / kBytesPerKb;
            n.up = false;
        }
    }

    void event(Costs* c, const std::string& what, Micros d) {
        go(d);
        for (int r = 0; r < 2; ++r) {
            const std::string w = what + (r == 1 ? ".proxy" : ".keeper");
            for (const char* m : {"News", "FeedSaid", "StateSaid", "ContentSaid", "AcceptAsk", "Listing"})
                if (const Said x = all(r, m); x.bytes > 0) {
                    (*c)[w + "_" + m + "_frames"] = x.frames / many(r);
                    (*c)[w + "_" + m + "_bytes"] = x.bytes / many(r);
                }
            (*c)[w + "_cpu_ms_s"] = cpu_[r] / many(r) / 1e3 * 1e6 / static_cast<double>(d);
        }
        reset();
    }

    void events(Costs* c) {
        reset();
        go(3 * kSecond);  // two nodes have ended: their loss is told of
        reset();
        event(c, "still", 2 * kSecond);
        push(2, l_.tenants - 1);
        event(c, "config", 2 * kSecond);
        double acting = 0;
        for (const auto& n : n_) acting += n->up && n->proxy && n->core->policy()->number() == 2 ? 1 : 0;
        (*c)["config.acting_share"] = acting / many(1);
        servers_[0] = server(0, 2);
        event(c, "listing", 2 * kSecond);
        // One proxy dies and comes back 3 s later; then a zone.
        Node& n = *n_[static_cast<std::size_t>(l_.keepers)];
        n.up = false;
        event(c, "death", 3 * kSecond);
        n.up = true;
        n.inc += 1000;
        n.flight.clear();
        n.waiting.clear();
        boot(l_.keepers);
        event(c, "birth", 3 * kSecond);
        for (std::size_t i = static_cast<std::size_t>(l_.keepers); i < n_.size(); ++i)
            if (static_cast<int>(i) % kZones == 4) n_[i]->up = false;
        event(c, "zone", 3 * kSecond);
    }

    Load l_;
    pith::Rng rng_;
    Micros now_ = kSecond, busy_from_ = 0;
    std::string public_, secret_;
    std::vector<double> zipf_;
    std::vector<std::unique_ptr<Node>> n_;
    std::map<std::string, int> at_;
    std::map<std::string, std::pair<std::uint64_t, std::string>> epochs_;  // none was written down
    std::vector<weft::ServerRec> servers_;
    std::vector<Frame> next_;
    std::map<std::string, Said> said_[2];  // by role: keeper, proxy; by message
    Said heard_[2];
    double cpu_[2] = {0, 0}, cpu_gates_ = 0, offered_ = 0, refused_ = 0, unserved_ = 0, dropped_ = 0,
           answered_ = 0, text_ = 0;
};

}  // namespace

Costs capacity(const Load& l, std::uint64_t seed) {
    Hollow h(l, seed);
    return h.run();
}

bool load_from(const std::string& s, Load* l) {
    const std::pair<const char*, int*> whole[] = {{"nodes", &l->nodes},     {"keepers", &l->keepers},
                                                  {"tenants", &l->tenants}, {"routes", &l->routes},
                                                  {"servers", &l->servers}, {"services", &l->services}};
    std::size_t at = 0;
    while (at < s.size()) {
        const auto end = std::min(s.find(',', at), s.size());
        const std::string e = s.substr(at, end - at);
        at = end + 1;
        const auto i = e.find('=');
        if (i == std::string::npos) return false;
        const double v = std::atof(e.c_str() + i + 1);
        const std::string k = e.substr(0, i);
        bool known = k == "rate" || k == "patterns" || k == "events" || k == "run_s";
        if (k == "rate") l->rate = v;
        if (k == "patterns") l->patterns = v != 0;
        if (k == "events") l->events = v != 0;
        if (k == "run_s") l->run = static_cast<Micros>(v * 1e6);
        for (const auto& w : whole)
            if (k == w.first) *w.second = static_cast<int>(v), known = v >= 1;
        if (!known) return false;
    }
    return true;
}

Fit fit(const std::multimap<double, double>& points) {
    const auto line = [](const std::vector<std::pair<double, double>>& p, double* a, double* b, double* error,
                         double* residual) {
        const auto n = static_cast<double>(p.size());
        double mx = 0, my = 0, xx = 0, xy = 0, rest = 0;
        for (const auto& q : p) mx += q.first / n, my += q.second / n;
        for (const auto& q : p) {
            xx += (q.first - mx) * (q.first - mx);
            xy += (q.first - mx) * (q.second - my);
        }
        if (p.size() < 3 || xx <= 0) return;
        *b = xy / xx;
        *a = my - *b * mx;
        for (const auto& q : p) rest += std::pow(q.second - *a - *b * q.first, 2);
        *residual = std::sqrt(rest / (n - 2));
        *error = *residual / std::sqrt(xx);
    };
    Fit f;
    f.n = points.size();
    std::vector<std::pair<double, double>> p(points.begin(), points.end()), logs;
    line(p, &f.a, &f.b, &f.b_error, &f.residual);
    for (const auto& q : p)
        if (q.first > 0 && q.second > 0) logs.emplace_back(std::log(q.first), std::log(q.second));
    double a = 0, residual = 0;
    if (logs.size() == p.size()) line(logs, &a, &f.power, &f.power_error, &residual);
    return f;
}

}  // namespace loom
