#include "loom/world.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace loom {

using pith::kMilli;
using pith::kSecond;

namespace {
constexpr Micros kKeeperTick = 50 * kMilli, kPulse = 3 * kMilli;
constexpr Micros kIdle = 20 * kSecond;
constexpr int kServerSlots = 2;
constexpr std::size_t kServerQueue = 8;

Micros gap(pith::Rng& r, double rate) {
    return std::max<Micros>(1, static_cast<Micros>(-std::log(1 - r.unit()) / rate * 1e6));
}
}  // namespace

struct World::Visit {
    std::string try_id, customer, key, service, method, target, at;
    bool write = false, proper = false, retries = false, replied = false, gone = false;
    int attempt = 1;
    Micros born = 0, deadline = 0;
    std::uint64_t life = 0;  // of the node that has it
    tide::Id id = 0;
    span::Entry entry;
    std::unique_ptr<span::Errand> errand;
    bool reused = false;
    std::uint64_t n = 0;  // of its try id
    std::uint64_t exchange = 0;
    std::uint64_t swapped = 0;
    int status = 0;
    std::string of;  // the visit that the server's answer names
    Micros began = 0;
};

struct World::ByBirth {  // by try, never by where it lies in memory: one seed, one result
    bool operator()(const VisitPtr& a, const VisitPtr& b) const { return a->n < b->n; }
};

struct World::Node {
    std::string name;
    std::uint64_t life = 0;
    Micros frozen_until = 0, froze_at = -pith::kNever;
    std::deque<std::function<void()>> held;
    // proxy
    std::unique_ptr<tide::Basin> basin;
    std::unique_ptr<span::Pool> pool;
    std::unique_ptr<span::Tries> tries;
    std::unique_ptr<span::Lobby> lobby;
    std::unique_ptr<span::ProxyCore> core;
    std::map<tide::Id, VisitPtr> waiting;
    std::set<VisitPtr, ByBirth> active;
    span::Farewell farewell;
    std::map<std::string, std::deque<VisitPtr>> line;
    std::map<std::string, std::deque<Micros>> idle;  // address + server life -> sessions
    tide::Id next = 1;
    bool pulsing = false, listing = false;
    std::uint64_t bundle = 0;
    // keeper
    std::unique_ptr<vault::KeeperCore> keeper;
    Micros disk_free = 0, next_tick = 0;
    std::uint64_t seq = 0;
    std::uint64_t inc() const { return core ? core->knell().inc() : keeper->knell().inc(); }
};

struct World::Server {
    std::string address, service, instance, locality, mode = "well";
    std::uint64_t life = 1;
    bool up = true, leaving = false, listed = true;
    Micros work = 0, known_at = 0;  // known_at: when any node first heard that it leaves
    int busy = 0;
    std::deque<std::pair<VisitPtr, std::function<void(int)>>> line;
};

World::World(Deployment d, std::uint64_t seed, tide::Tuning t, span::CoreTuning ct, Breaks b)
    : d_(std::move(d)), rng_(seed * 7919 + 17), tune_(t), core_tune_(ct), breaks_(b) {
    pith::crypto_start();
    static std::pair<std::string, std::string> keys = [] {
        std::pair<std::string, std::string> k;
        creed::keygen(&k.first, &k.second);
        return k;
    }();
    pk_ = keys.first;
    sk_ = keys.second;
    const char* z[] = {"a", "b", "c"};
    for (int i = 0; i < d_.keepers + d_.spares; ++i) {
        const std::string n = "k" + std::to_string(i + 1);
        if (i >= d_.keepers) spare_.insert(n);
        role_[n] = "keeper";
        zone_[n] = z[i % 3];
    }
    for (int i = 0; i < d_.proxies; ++i) {
        const std::string n = "p" + std::to_string(i + 1);
        role_[n] = "proxy";
        zone_[n] = z[i % 3];
    }
    for (int i = 0; i < d_.servers; ++i) {
        auto s = std::make_unique<Server>();
        s->address = "10.0.0." + std::to_string(i + 1) + ":80";
        s->service = d_.services[static_cast<std::size_t>(i) % d_.services.size()];
        s->instance = "i" + std::to_string(i + 1) + "-1";
        s->locality = z[i % 3];
        s->work = d_.work;
        s_.push_back(std::move(s));
    }
    listings_.emplace_back(-pith::kNever, listed());
    for (const auto& r : role_)
        if (spare_.count(r.first) == 0) boot(r.first);
    at(200 * kMilli, [this] { look_ready(); });
    for (std::size_t i = 0; i < d_.customers.size(); ++i) at(4 * kSecond, [this, i] { arrivals(i, 0); });
}

World::~World() = default;

void World::at(Micros t, std::function<void()> f) { q_.push(Ev{std::max(t, now_), ev_n_++, std::move(f)}); }

void World::run_until(Micros t) {
    while (!q_.empty() && q_.top().t <= t) {
        Ev e = q_.top();
        q_.pop();
        now_ = e.t;
        e.f();
    }
    now_ = t;
}

bool World::up(const std::string& n) const {
    auto i = n_.find(n);
    return i != n_.end() && i->second != nullptr;
}

std::vector<std::string> World::names(const std::string& role) const {
    std::vector<std::string> v;
    for (const auto& r : role_)
        if (r.second == role) v.push_back(r.first);
    return v;
}

// ---- nodes

void World::boot(const std::string& name) {
    auto n = std::make_unique<Node>();
    n->name = name;
    n->life = ++lives_;
    knell::Config c;
    c.name = name;
    c.address = name;
    c.locality = zone_[name];
    c.role = role_[name];
    std::vector<std::pair<std::string, std::string>> keepers;
    for (const auto& k : names("keeper")) {
        if (d_.discovered) break;
        keepers.emplace_back(k, k);
        c.seeds.push_back(k);
    }
    if (d_.discovered) c.seeds = {"p1", "p2", "p3"};
    if (role_[name] == "keeper") {
        c.inc = ++disk_inc_[name];
        vault::VaultConfig v;
        v.name = name;
        v.keepers = keepers;
        v.signers = {pk_};
        v.first_start = d_.discovered && spare_.count(name) == 0;
        v.acknowledge_old = d_.acknowledge_old;
        n->keeper = std::make_unique<vault::KeeperCore>(c, v, disk_[name], n->life * 1000 + 1);
    } else {
        c.inc = static_cast<std::uint64_t>(std::max<Micros>(1, 1000 * kSecond + now_ + wall_off_[name]));
        n->basin = std::make_unique<tide::Basin>(tune_);
        span::PoolTuning pt;
        if (breaks_.unlimited_retries) pt.budget = pt.fleet_slack = 1e9;
        n->pool = std::make_unique<span::Pool>(name, c.locality, pt);
        n->tries = std::make_unique<span::Tries>();
        n->core = std::make_unique<span::ProxyCore>(c, keepers, core_tune_, n->basin.get(), n->pool.get());
        span::ProxyCore* core = n->core.get();
        auto first = std::make_shared<creed::PolicyPtr>();
        const bool stale = breaks_.stale_policy;
        n->lobby = std::make_unique<span::Lobby>(*n->basin, *n->pool, *n->tries, [core, first, stale] {
            if (!*first) *first = core->policy();
            return stale ? *first : core->policy();
        });
    }
    const auto life = n->life;
    n_[name] = std::move(n);
    later(static_cast<Micros>(rng_.below(20000)), [this, name, life] { tick(name, life); });
}

void World::kill(const std::string& name) {
    if (!up(name)) return;
    ready_.erase(name);
    // Callers with a visit there get no answer: a broken session. What it had handed on runs on.
    for (const auto& v : n_[name]->active) checks.unserved(now_, v->proper);
    checks.died(name);
    n_[name].reset();
}

void World::restart(const std::string& name) {
    if (!up(name)) boot(name);
}

void World::freeze(const std::string& name, Micros d) {
    if (!up(name)) return;
    Node& n = *n_[name];
    n.frozen_until = std::max(n.frozen_until, now_ + d);
    n.froze_at = now_;
    const auto life = n.life;
    at(n.frozen_until, [this, name, life] {
        if (!up(name) || n_[name]->life != life || now_ < n_[name]->frozen_until) return;
        auto held = std::move(n_[name]->held);
        n_[name]->held.clear();
        for (auto& f : held) f();
    });
}

// Runs `f` on the node if it is still that life; a frozen one does it when it wakes.
void World::on_node(const std::string& name, std::uint64_t life, std::function<void(Node&)> f) {
    if (!up(name) || n_[name]->life != life) return;
    Node& n = *n_[name];
    if (now_ < n.frozen_until) {
        n.held.push_back([this, name, life, f] { on_node(name, life, f); });
        return;
    }
    f(n);
}

void World::stop(const std::string& name, Micros back) {
    if (!up(name)) return;
    if (back >= 0) back_[name] = back;
    on_node(name, n_[name]->life, [this](Node& n) {
        if (n.keeper) {
            vault::Acts a;
            n.keeper->say(knell::kLeft, now_, &a);
            carry(n, a);
            ended(n.name);
            return;
        }
        span::Todo d;
        n.core->say(knell::kDraining, now_, &d);
        carry(n, d);
        n.farewell.begin(now_);
        farewell(n);
    });
}

void World::farewell(Node& n) {
    const std::string name = n.name;
    const auto life = n.life;
    auto act = n.farewell.tick(now_, n.active.size());
    if (breaks_.hasty_stop && act == span::Farewell::close_doors) act = span::Farewell::end;
    if (act == span::Farewell::give_up) {
        auto all = n.active;
        for (const auto& v : all) {
            if (!v->errand || v->replied) continue;
            v->errand->give_up();
            auto& l = n.line[v->service];
            auto i = std::find(l.begin(), l.end(), v);
            if (i != l.end()) {
                l.erase(i);
                drive(n, v, v->errand->again(now_));
            } else if (v->exchange % 2 == 1) {
                ++v->exchange;
                drive(n, v, v->errand->exchanged(now_, span::Step::lost, 0));
            }
        }
    }
    if (act == span::Farewell::leave) {
        span::Todo d;
        n.core->say(knell::kLeft, now_, &d);
        carry(n, d);
    }
    if (act == span::Farewell::end) {
        // Whoever has no answer now was dropped by a planned stop.
        for (const auto& v : n.active)
            if (!v->replied)
                checks.fail("dropped", v->try_id + " was under way at " + name + " as it stopped");
        n.active.clear();
        ended(name);
        return;
    }
    later(20 * kMilli, [this, name, life] { on_node(name, life, [this](Node& m) { farewell(m); }); });
}

void World::ended(std::string name) {
    kill(name);
    auto i = back_.find(name);
    if (i == back_.end()) return;
    later(i->second, [this, name] { restart(name); });
    back_.erase(i);
}

void World::power_off_at(const std::string& keeper, int nth, bool after, bool all) {
    trap_[keeper] = {nth, after, all ? "all" : "alone", false};
}

void World::fault_at(const std::string& keeper, int nth, bool after, const std::string& how) {
    trap_[keeper] = {nth, after, how, false};
}

void World::fault_founding_at(const std::string& keeper, int nth, bool after, const std::string& how) {
    trap_[keeper] = {nth, after, how, true};
}

void World::crash(std::string keeper, const std::string& how) {  // by value: its node ends
    if (how == "all")
        for (const auto& r : role_) kill(r.first);
    else if (how == "cut")
        isolate(keeper, true);
    else
        kill(keeper);
    if (how != "wipe") return;
    empty_disk(keeper);
    disk_inc_[keeper] = 0;
}

// Whether its copy counts for an acknowledgement: on the disk of an elector.
bool World::holds(const std::string& keeper, std::uint64_t number) const {
    if (d_.discovered && checks.electorate().count(keeper) == 0) return false;
    const auto i = disk_.find(keeper);
    return i != disk_.end() && i->second.commit >= number;
}

void World::cut(const std::string& a, const std::string& b, bool on) {
    if (on)
        cut_.insert({a, b});
    else
        cut_.erase({a, b});
}

void World::isolate(const std::string& node, bool on) {
    for (const auto& r : role_)
        if (r.first != node) {
            cut(node, r.first, on);
            cut(r.first, node, on);
        }
}

void World::send(Node& n, const weft::Out& out) {
    std::size_t size = 0;  // counts go to all partners alike
    for (const auto& s : out) {
        ++frames;
        if (std::holds_alternative<weft::Counts>(s.msg)) {
            if (size == 0) size = weft::pack("fleet", "secret", {n.name, n.inc(), 1, s.msg}).size();
            ++count_frames;
            count_bytes += size;
        }
        weft::Envelope e{n.name, n.inc(), ++n.seq, s.msg};
        if (d_.older.count(n.name) + d_.older.count(s.address) != 0)
            if (auto* c = std::get_if<weft::Counts>(&e.msg)) {
                c->silent.clear();
                c->well.clear();
                c->load.clear();
            }
        if (breaks_.ignore_partners)
            if (auto* c = std::get_if<weft::Counts>(&e.msg)) c->counts.clear();
        if (cut_.count({n.name, s.address}) != 0 || (loss_ > 0 && rng_.unit() < loss_)) continue;
        const int copies = twice_ > 0 && rng_.unit() < twice_ ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            Micros t = trip();
            if (extra_ > 0) t += static_cast<Micros>(rng_.below(static_cast<std::uint64_t>(extra_)));
            const std::string to = s.address;
            if (!up(to)) continue;
            const auto life = n_[to]->life;
            later(t, [this, to, life, e] {
                on_node(to, life, [this, e](Node& m) {
                    if (m.core) {
                        if (breaks_.deaf_feed && m.name.back() % 2 == 1 &&
                            (std::holds_alternative<weft::FeedSaid>(e.msg) ||
                             std::holds_alternative<weft::StateSaid>(e.msg)) &&
                            m.core->policy() != nullptr)
                            return;
                        span::Todo d;
                        m.core->hear(now_, e, &d);
                        carry(m, d);
                    } else {
                        vault::Acts a;
                        m.keeper->hear(now_, e, &a);
                        carry(m, a);
                    }
                });
            });
        }
    }
}

// One that was put off for an earlier one is dropped.
void World::tick_if(const std::string& name, std::uint64_t life, Micros due) {
    if (up(name) && n_[name]->life == life && n_[name]->next_tick == due) tick(name, life);
}

void World::tick(const std::string& name, std::uint64_t life) {
    on_node(name, life, [this, name, life](Node& n) {
        if (n.core) {
            span::Todo d;
            n.core->tick(now_, &d);
            carry(n, d);
            n.next_tick = now_ + n.core->nap();
            at(n.next_tick, [this, name, life, t = n.next_tick] { tick_if(name, life, t); });
        } else {
            vault::Acts a;
            n.keeper->tick(now_, &a);
            carry(n, a);
            later(kKeeperTick, [this, name, life] { tick(name, life); });
        }
    });
}

void World::carry(Node& n, vault::Acts& a) {
    send(n, a.out);
    const std::string name = n.name;
    const auto life = n.life;
    for (const auto& j : a.jobs) {
        const Micros start = std::max(now_, n.disk_free);
        n.disk_free = start + d_.disk + disk_slow_[name] +
                      static_cast<Micros>(rng_.below(static_cast<std::uint64_t>(d_.disk)));
        at(n.disk_free, [this, name, life, j] {
            on_node(name, life, [this, j](Node& m) {
                const bool ok = disk_bad_.count(m.name) == 0;
                auto& h = disk_[m.name];
                auto trap = trap_.find(m.name);
                const bool founding = j.what == vault::Job::propose || j.what == vault::Job::elect ||
                                      j.what == vault::Job::withdraw || j.what == vault::Job::drop;
                const bool counts = j.what == vault::Job::promise || j.what == vault::Job::commit;
                const bool crashes = trap != trap_.end() && (trap->second.founding ? founding : counts) &&
                                     trap->second.nth-- == 0;
                const Trap tr = crashes ? trap->second : Trap{};
                if (crashes) trap_.erase(trap);
                // A keeper that is cut off runs on: the write goes on, and its word is heard by nobody.
                const bool ends = crashes && tr.how != "cut";
                if (ends && !tr.after) {
                    crash(m.name, tr.how);
                    return;
                }
                if (crashes && !ends) crash(m.name, tr.how);
                const bool lies = (breaks_.lying_disk && j.what == vault::Job::commit) ||
                                  (breaks_.forget_founding && founding);
                if (ok && !lies) vault::apply(j, &h);
                if (ok && j.what == vault::Job::elect) {
                    std::set<std::string> v;
                    for (const auto& e : j.electors) v.insert(e.name);
                    checks.elected(now_, m.name, v);
                }
                if (ends) {
                    crash(m.name, tr.how);
                    return;
                }
                vault::Acts b;
                m.keeper->wrote(now_, j.token, ok, &b);
                carry(m, b);
            });
        });
    }
    for (auto& x : a.answers) {
        answers_[x.op] =
            x.result ? "ok " + std::to_string(*x.result) : pith::kind_text(x.result.error().kind);
        if (!x.result) continue;
        const auto num = *x.result;
        std::string hash;
        // What the operator signed under that number and op, as the operator knows it.
        auto i = acked_.find(x.op << 32 | num);
        if (i != acked_.end()) hash = i->second;
        // Acknowledged with another's content, as the answer says: it must be the one that stands.
        if (d_.acknowledge_old && x.hash != hash) hash = x.hash;
        checks.acked(now_, num, hash);
        // Within about 2 s every reachable machine acts on it, and it is on a majority of disks now.
        std::size_t held = 0;
        for (const auto& k : names("keeper")) held += holds(k, num) ? 1 : 0;
        const std::size_t all =
            d_.discovered ? checks.electorate().size() : static_cast<std::size_t>(d_.keepers);
        if (held < all / 2 + 1)
            checks.fail("ack_early", "number " + std::to_string(num) + " acknowledged with " +
                                         std::to_string(held) + " copies");
        const Micros since = now_;
        later(2 * kSecond + 100 * kMilli, [this, num, since] {
            for (const auto& p : names("proxy")) {
                if (!up(p)) continue;
                Node& m = *n_[p];
                if (m.core->policy() == nullptr || m.core->policy()->number() >= num) continue;
                if (reachable(p, num, since))
                    checks.fail("slow_bundle", p + " does not act on " + std::to_string(num) +
                                                   " 2 s after it was acknowledged");
            }
        });
    }
}

// Reachable for a bundle that was acknowledged at `since`: up, awake all the time, on links that lose and
// delay nothing beyond their own trip, and linked both ways with at least one keeper that is up and awake all
// the time and had the bundle on its disk when it was acknowledged.
bool World::reachable(const std::string& p, std::uint64_t number, Micros since) {
    const Node& m = *n_[p];
    if (now_ < m.frozen_until || m.frozen_until >= since || loss_ > 0 || extra_ > 0) return false;
    for (const auto& k : names("keeper"))
        if (up(k) && n_[k]->frozen_until < since && cut_.count({k, p}) == 0 && cut_.count({p, k}) == 0 &&
            disk_[k].commit >= number)
            return true;
    return false;
}

void World::carry(Node& n, span::Todo& d) {
    send(n, d.out);
    left(n, d.left);
    if (d.policy) {
        n.bundle = n.core->policy()->number();
        checks.acted(now_, n.name, n.life, breaks_.slip_back && n.bundle > 11 ? 1 : n.bundle,
                     n.core->policy()->bundle().hash);
    }
    const std::string name = n.name;
    const auto life = n.life;
    if (d.list) {
        ++listings;
        later(2 * trip(), [this, name, life] {
            on_node(name, life, [this](Node& m) {
                if (list_fails_) {
                    m.core->list_failed(now_, 0);
                    return;
                }
                std::vector<weft::ServerRec> v;
                for (const auto& l : listings_)
                    if (l.first + list_lag_ <= now_) v = l.second;
                if (list_how_ == "empty") v.clear();
                if (list_how_ == "twice" && v.size() > 1) {
                    v.push_back(v[0]);
                    v.back().service = v[1].service;
                }
                for (const auto& l : v)
                    for (const auto& s : s_)
                        if (l.state == span::kLeaving && s->instance == l.instance && s->known_at == 0)
                            s->known_at = now_;
                span::Todo e;
                m.core->listed(now_, v, &e);
                carry(m, e);
            });
        });
    }
    if (!d.probe.empty()) {
        auto probe = d.probe;
        probes += probe.size();
        sessions += probe.size();
        later(4 * trip(), [this, name, life, probe] {
            on_node(name, life, [this, probe](Node& m) {
                std::vector<weft::ProbeRec> r;
                for (const auto& p : probe) {
                    std::uint8_t verdict = 1;
                    for (const auto& s : s_)
                        if (s->address == p.address && s->up && s->instance == p.instance &&
                            s->service == p.service)
                            verdict = s->leaving && !breaks_.ignore_leaving ? 2 : 0;
                    if (verdict == 2)
                        for (const auto& s : s_)
                            if (s->address == p.address && s->known_at == 0) s->known_at = now_;
                    r.push_back({p.address, p.instance, verdict});
                }
                span::Todo e;
                m.core->probed(now_, r, &e);
                carry(m, e);
            });
        });
    }
}

// ---- callers

void World::look_ready() {
    // The platform looks each second which machines may have callers.
    for (const auto& p : names("proxy")) {
        const bool ok =
            up(p) && now_ >= n_[p]->frozen_until && n_[p]->core->ready() && !n_[p]->farewell.begun();
        if (ok)
            ready_.insert(p);
        else
            ready_.erase(p);
    }
    later(kSecond, [this] { look_ready(); });
}

void World::arrivals(std::size_t i, std::uint64_t gen) {
    const CustomerPlan& c = d_.customers[i];
    const bool flood = c.flood_rate > 0 && now_ >= c.flood_at && now_ < c.flood_end;
    const double rate = flood ? c.flood_rate : c.rate;
    Micros next = rate > 0 ? gap(rng_, rate) : 100 * kMilli;
    if (c.flood_rate > 0 && now_ < c.flood_at) next = std::min(next, c.flood_at - now_);  // sharp onset
    later(next, [this, i, gen] { arrivals(i, gen); });
    if (rate <= 0) return;
    auto v = std::make_shared<Visit>();
    v->customer = c.name;
    v->key = "key-" + c.name;
    v->write = rng_.unit() < c.writes;
    v->service = d_.services[rng_.below(d_.services.size())];
    if (d_.small_service > 0)
        v->service = rng_.unit() < d_.small_service ? d_.services.back()
                                                    : d_.services[rng_.below(d_.services.size() - 1)];
    v->method = v->write ? "POST" : "GET";
    v->target = "/" + v->service + (v->write ? "" : "/1");
    v->n = ++try_n_;
    v->try_id = "t" + std::to_string(v->n);
    v->retries = c.retries;
    v->proper = c.rate <= c.allowance && c.flood_rate == 0 && changed_.count(c.name) == 0;
    v->born = now_;
    v->deadline = now_ + d_.deadline_ms * kMilli;
    if (c.one_proxy) {
        for (const auto& p : names("proxy"))
            if (ready_.count(p) != 0) {
                v->at = p;
                break;
            }
    }
    visit(v);
}

void World::visit(VisitPtr v) {
    checks.offered(now_, v->customer, v->proper);
    if (v->at.empty() || ready_.count(v->at) == 0) {
        if (ready_.empty()) {  // no machine takes callers
            checks.unserved(now_, v->proper);
            return;
        }
        auto i = ready_.begin();
        std::advance(i, static_cast<long>(rng_.below(ready_.size())));
        v->at = *i;
    }
    if (!up(v->at)) {  // the session breaks: the caller knows nothing
        checks.unserved(now_, v->proper);
        return;
    }
    const auto life = n_[v->at]->life;
    v->life = life;
    await(v, life);
    later(trip() / 2, [this, v, life] {
        on_node(v->at, life, [this, v](Node& n) {
            auto& h = v->entry.head;
            h.method = v->method;
            h.target = v->target;
            h.key = v->key;
            h.try_id = v->try_id;
            h.deadline_ms = std::to_string(std::max<Micros>(1, (v->deadline - v->born) / kMilli));
            if (v->attempt > 1) h.attempt = std::to_string(v->attempt);
            v->id = n.next++;
            n.active.insert(v);
            n.lobby->enter(now_, v->id, n.farewell.doors_closed(), &v->entry);
            if (!n.basin->tolerant() && n.next_tick - now_ > n.core->soon()) {
                n.next_tick = now_ + n.core->soon();
                at(n.next_tick, [this, name = n.name, l = n.life, t = n.next_tick] { tick_if(name, l, t); });
            }
            if (v->entry.released) {
                go(n, v);
                return;
            }
            if (!v->entry.queued) {
                n.lobby->end(v->entry, false);
                reply(n, v, false, v->entry.refusal);
                return;
            }
            n.waiting[v->id] = v;
            pulse(n);
            if (n.next_tick - now_ > n.core->soon()) {
                n.next_tick = now_ + n.core->soon();
                at(n.next_tick, [this, name = n.name, l = n.life, t = n.next_tick] { tick_if(name, l, t); });
            }
        });
    });
}

// An answer of some kind comes by the deadline, and a little for the way, from any machine that is there and
// was awake. A caller of one that froze goes away then; the machine sees it as it wakes.
void World::await(const VisitPtr& v, std::uint64_t life) {
    at(v->deadline + 300 * kMilli, [this, v, life] {
        if (v->replied || !up(v->at) || n_[v->at]->life != life) return;
        if (n_[v->at]->froze_at < v->born && n_[v->at]->frozen_until < v->born) {
            checks.fail("unanswered", v->try_id + " had no answer from " + v->at + " by its deadline");
            return;
        }
        checks.unserved(now_, v->proper);
        v->gone = true;
        on_node(v->at, life, [this, v](Node& n) {
            if (n.waiting.erase(v->id) == 0) return;
            n.basin->leave(now_, v->customer, v->id);
            n.lobby->end(v->entry, v->errand && v->errand->sent());
            n.active.erase(v);
        });
    });
}

void World::pulse(Node& n) {
    if (n.pulsing) return;
    n.pulsing = true;
    const std::string name = n.name;
    const auto life = n.life;
    later(kPulse, [this, name, life] {
        on_node(name, life, [this](Node& m) {
            m.pulsing = false;
            tide::Left l;
            const bool busy = m.basin->advance(now_, &l);
            left(m, l);
            if (busy) pulse(m);
        });
    });
}

void World::left(Node& n, const tide::Left& l) {
    for (auto id : l.expired) {
        auto i = n.waiting.find(id);
        if (i == n.waiting.end()) continue;
        auto v = i->second;
        n.waiting.erase(i);
        n.lobby->not_released(&v->entry);
        if (v->errand) {
            drive(n, v, v->errand->no_pass(v->entry.refusal));
            continue;
        }
        n.lobby->end(v->entry, false);
        reply(n, v, false, v->entry.refusal);
    }
    for (auto id : l.released) {
        auto i = n.waiting.find(id);
        if (i == n.waiting.end()) continue;
        auto v = i->second;
        n.waiting.erase(i);
        if (v->errand) {
            const bool still = n.lobby->released(now_, &v->entry);
            drive(n, v, still ? v->errand->passed(now_) : v->errand->no_pass(v->entry.refusal));
            continue;
        }
        go(n, v);
    }
}

void World::go(Node& n, const VisitPtr& v) {
    if (!n.lobby->released(now_, &v->entry)) {
        n.lobby->end(v->entry, false);
        reply(n, v, false, v->entry.refusal);
        return;
    }
    tide::Basin* basin = n.basin.get();
    v->errand = std::make_unique<span::Errand>(
        v->entry.plan, *n.pool, [this, basin, c = v->customer] { return basin->draw(now_, c); });
    v->began = now_;
    span::Lobby* lobby = n.lobby.get();
    v->errand->allowed = [this, lobby, w = v.get()](span::Refusal* r) {
        return lobby->allowed(now_, &w->entry, r);
    };
    Node* np = &n;
    const auto life = n.life;
    const std::string name = n.name;
    v->errand->slot_free = [this, np, name, life](const std::string& service) {
        if (!up(name) || n_[name]->life != life) return;
        auto& q = np->line[service];
        if (q.empty()) return;
        auto w = q.front();
        q.pop_front();
        later(0, [this, name, life, w] {
            on_node(name, life, [this, w](Node& m) { drive(m, w, w->errand->again(now_)); });
        });
    };
    drive(n, v, v->errand->start(now_));
}

void World::drive(Node& n, VisitPtr v, span::Do d) {
    if (d == span::Do::answer || d == span::Do::refuse) {
        n.lobby->end(v->entry, v->errand->sent());
        reply(n, v, d == span::Do::answer, v->errand->refusal());
        return;
    }
    if (d == span::Do::wait) {
        auto& q = n.line[v->service];
        q.push_back(v);
        const std::string name = n.name;
        const auto life = n.life;
        at(v->errand->wait_until(now_), [this, name, life, v] {
            on_node(name, life, [this, v](Node& m) {
                auto& l = m.line[v->service];
                auto i = std::find(l.begin(), l.end(), v);
                if (i == l.end()) return;
                l.erase(i);
                drive(m, v, v->errand->again(now_));
            });
        });
        return;
    }
    if (d == span::Do::pass) {
        v->id = n.next++;
        if (!n.basin->again(now_, v->customer, v->id, v->errand->pass_until())) {
            n.lobby->not_released(&v->entry);
            drive(n, v, v->errand->no_pass(v->entry.refusal));
            return;
        }
        n.waiting[v->id] = v;
        pulse(n);
        return;
    }
    open_session(n, v);
}

void World::open_session(Node& n, VisitPtr v) {
    const span::Slot s = v->errand->slot();
    std::size_t at = s_.size();
    for (std::size_t i = 0; i < s_.size(); ++i)
        if (s_[i]->address == s.address) at = i;
    // A kept session is good while the server's life is the same.
    const std::string key = s.address + s.instance + s.service + "/" +
                            (at < s_.size() && s_[at]->up ? std::to_string(s_[at]->life) : "x");
    auto& q = n.idle[key];
    while (!q.empty() && now_ - q.front() > kIdle) q.pop_front();
    const bool kept = !q.empty();
    if (kept) q.pop_back();
    auto go = [this, v, at](Node& m, bool had, std::uint8_t verdict) {
        span::Do other = span::Do::refuse;
        if (v->errand->opened(now_, had, verdict, &other)) {
            exchange(m, v);
            return;
        }
        drive(m, v, other);
    };
    if (kept) {
        go(n, true, 0);
        return;
    }
    ++sessions;
    const std::string name = n.name;
    const auto life = n.life;
    const std::uint64_t slife = at < s_.size() ? s_[at]->life : 0;
    later(4 * trip(), [this, name, life, at, slife, s, go] {
        on_node(name, life, [this, at, slife, s, go](Node& m) {
            std::uint8_t verdict = 1;
            const bool same =
                at < s_.size() &&
                (breaks_.trust_address || (s_[at]->service == s.service && s_[at]->instance == s.instance));
            if (same && s_[at]->up && s_[at]->life == slife)
                verdict = s_[at]->leaving && !breaks_.ignore_leaving ? 2 : 0;
            if (verdict == 2) {
                m.pool->leaving(s.address, s.instance);
                if (s_[at]->known_at == 0) s_[at]->known_at = now_;
            }
            go(m, verdict == 0, verdict);
        });
    });
}

void World::exchange(Node& n, VisitPtr v) {
    const span::Slot s = v->errand->slot();
    std::size_t at = 0;
    for (std::size_t i = 0; i < s_.size(); ++i)
        if (s_[i]->address == s.address) at = i;
    const std::string name = n.name;
    const auto life = n.life;
    const auto ex = ++v->exchange;
    n.tries->sent(v->entry.plan.customer, v->try_id);
    checks.handed(now_, n.name, n.core->policy()->bundle().hash, v->customer, v->service,
                  v->attempt > 1 || v->errand->sends() > 1);
    if (v->proper && v->attempt == 1 && v->errand->sends() == 1) checks.waited(now_ - v->born);
    if (s_[at]->leaving && s_[at]->known_at > 0) checks.to_leaving(now_, s_[at]->known_at);
    auto back = [this, name, life, v, ex, at, s](span::Step st, int status, std::uint64_t slife) {
        on_node(name, life, [this, v, ex, at, s, st, status, slife](Node& m) {
            if (v->exchange != ex || v->replied) return;
            if (st == span::Step::answered && s_[at]->life == slife && s_[at]->leaving &&
                !breaks_.ignore_leaving) {
                m.pool->leaving(s.address, s.instance);
                if (s_[at]->known_at == 0) s_[at]->known_at = now_;
            }
            ++v->exchange;
            if (st == span::Step::answered) v->status = status;  // an earlier 5xx may be passed on
            if (st == span::Step::answered) v->of = v->try_id;
            if (breaks_.swap_answers && !v->of.empty() && v->id % 100 == 0) v->of = "t0";
            if (st == span::Step::answered && s_[at]->up && s_[at]->life == slife)
                m.idle[s.address + s.instance + s.service + "/" + std::to_string(slife)].push_back(now_);
            drive(m, v, v->errand->exchanged(now_, st, status));
        });
    };
    this->at(v->errand->until(), [back] { back(span::Step::late, 0, 0); });
    const std::uint64_t slife = s_[at]->life;
    if (!s_[at]->up) {
        later(2 * trip(), [back] { back(span::Step::lost, 0, 0); });
        return;
    }
    later(trip(), [this, at, slife, v, back] {
        server_take(at, slife, v, [this, back, slife](int code) {
            later(trip(), [back, code, slife] {
                if (code == 503)
                    back(span::Step::shed, 0, slife);
                else if (code == 421)
                    back(span::Step::misdirected, 0, slife);
                else if (code == 200 || code == 500)
                    back(span::Step::answered, code, slife);
                else
                    back(code == 1 ? span::Step::garbled : span::Step::lost, 0, slife);
            });
        });
    });
    if (breaks_.send_writes_twice && v->write && v->exchange % 50 == 1)
        later(trip(), [this, at, slife, v] { server_take(at, slife, v, [](int) {}); });
}

void World::reply(Node& n, VisitPtr v, bool well, const span::Refusal& r) {
    if (v->replied) return;
    if (breaks_.stay_silent && v->id % 100 == 0) return;
    v->replied = true;
    n.active.erase(v);
    if (v->gone) return;  // nobody hears it
    const bool not_run = !well && !r.ran_unknown;
    if (breaks_.lie_not_run && !well && r.ran_unknown) {
        checks.told(v->try_id, false, true, "");
        return;
    }
    if (breaks_.say_well && !well && r.ran_unknown) {
        checks.told(v->try_id, true, false, "");
        return;
    }
    checks.told(v->try_id, well && v->status < 500, not_run, well ? v->of : "");
    if (well) checks.answered(now_ - v->born);
    if (!well) {
        const bool froze = n.froze_at >= v->born;
        const auto st = n.core->standing();
        const char* where = froze ? "frozen" : tide::standing_text(st);
        checks.refused(now_, v->customer, std::string(pith::kind_text(r.error.kind)), where,
                       v->proper && v->attempt == 1);
    }
    if (!well && not_run && v->retries && v->attempt < 4) {
        auto w = std::make_shared<Visit>();
        w->customer = v->customer;
        w->key = v->key;
        w->write = v->write;
        w->service = v->service;
        w->method = v->method;
        w->target = v->target;
        w->retries = true;
        w->proper = v->proper;
        w->attempt = v->attempt + 1;
        w->n = ++try_n_;
        w->try_id = "t" + std::to_string(w->n);
        w->born = now_;
        w->deadline = now_ + d_.deadline_ms * kMilli;
        later(10 * kMilli, [this, w] { visit(w); });
    }
}

// ---- servers

void World::server_take(std::size_t i, std::uint64_t life, VisitPtr v, std::function<void(int)> answer) {
    Server& s = *s_[i];
    if (!s.up || s.life != life) {
        answer(0);
        return;
    }
    if (s.service != v->service)
        checks.fail("unallowed", "a visit for " + v->service + " reached " + s.service);
    if (s.instance != v->errand->slot().instance && !breaks_.trust_address) {
        answer(421);
        return;
    }
    // It works on two, queues eight more, and turns away the rest without running them.
    if (s.busy >= kServerSlots && s.line.size() >= kServerQueue) {
        answer(503);
        return;
    }
    s.line.emplace_back(v, std::move(answer));
    server_next(i);
}

void World::server_next(std::size_t i) {
    Server& s = *s_[i];
    while (s.busy < kServerSlots && !s.line.empty()) {
        auto job = s.line.front();
        s.line.pop_front();
        ++s.busy;
        const auto life = s.life;
        if (s.mode == "hang") continue;  // taken, and never answered
        const Micros w =
            std::max<Micros>(kMilli, static_cast<Micros>(static_cast<double>(s.work) * (0.5 + rng_.unit())));
        later(w, [this, i, life, job] {
            Server& t = *s_[i];
            if (!t.up || t.life != life) {
                job.second(0);
                return;
            }
            --t.busy;
            const int code = t.mode == "lose" ? 0 : t.mode == "garbage" ? 1 : t.mode == "error" ? 500 : 200;
            checks.ran(job.first->try_id, job.first->write, code == 200);
            job.second(code);
            server_next(i);
        });
    }
}

std::vector<weft::ServerRec> World::listed() const {
    std::vector<weft::ServerRec> v;
    for (const auto& s : s_)
        if (s->listed)
            v.push_back({s->address, s->service, s->instance, s->locality,
                         s->leaving && !breaks_.ignore_leaving ? span::kLeaving : span::kServing});
    return v;
}

void World::server_mode(std::size_t i, const std::string& mode, Micros work) {
    if (s_[i]->mode == "hang" && mode != "hang") {
        server_crash(i);  // it is started anew: what hung is lost
        s_[i]->up = true;
    }
    s_[i]->mode = mode;
    s_[i]->work = work;
}

void World::server_crash(std::size_t i) {
    Server& s = *s_[i];
    s.up = false;
    ++s.life;
    s.busy = 0;
    auto l = std::move(s.line);
    s.line.clear();
    for (auto& j : l) j.second(0);
}

void World::server_replace(std::size_t i, const std::string& service) {
    Server& s = *s_[i];
    server_crash(i);
    s.up = true;
    s.leaving = false;
    s.known_at = 0;
    s.service = service.empty() ? s.service : service;
    s.instance = "i" + std::to_string(i + 1) + "-" + std::to_string(s.life);
    s.mode = "well";
    s.work = d_.work;
    listings_.emplace_back(now_, listed());
}

void World::server_leave(std::size_t i) {
    s_[i]->leaving = true;
    if (breaks_.ignore_leaving) s_[i]->known_at = now_;
    listings_.emplace_back(now_, listed());
}

// ---- operators

std::string World::bundle_text(const Word& w, const std::string& note) const {
    namespace json = boost::json;
    json::array sv, rt, cu, ke, all;
    for (const auto& s : d_.services) {
        sv.push_back(json::object{{"name", s}});
        rt.push_back(json::object{{"name", "read-" + s},
                                  {"path", "/" + s + "/*"},
                                  {"methods", json::array{"GET"}},
                                  {"service", s},
                                  {"kind", "read"},
                                  {"timeout_ms", d_.read_ms}});
        rt.push_back(json::object{{"name", "write-" + s},
                                  {"path", "/" + s},
                                  {"methods", json::array{"POST"}},
                                  {"service", s},
                                  {"kind", "write"},
                                  {"timeout_ms", d_.write_ms}});
        all.emplace_back("read-" + s);
        all.emplace_back("write-" + s);
    }
    for (const auto& c : w.allowance) {
        json::object o{{"name", c.first}, {"allowance_per_s", c.second}, {"routes", all}};
        const auto bu = w.burst.find(c.first);
        if (bu != w.burst.end()) o["burst"] = bu->second;
        cu.push_back(std::move(o));
        if (w.keys.count(c.first) != 0)
            ke.push_back(
                json::object{{"digest", creed::key_digest("key-" + c.first)}, {"customer", c.first}});
    }
    return json::serialize(json::object{{"number", w.number},
                                        {"note", note},
                                        {"services", sv},
                                        {"routes", rt},
                                        {"customers", cu},
                                        {"keys", ke}});
}

void World::push(const std::string& keeper, std::uint64_t number, const std::string& note, const Edit& e) {
    Word w;
    w.number = number;
    for (const auto& c : d_.customers) {
        if (e.removed.count(c.name) != 0) continue;
        const auto a = e.allowance.find(c.name);
        if (c.burst > 0) w.burst[c.name] = c.burst;
        w.allowance[c.name] = a == e.allowance.end() ? c.allowance : a->second;
        if (e.revoked.count(c.name) == 0) w.keys.insert(c.name);
    }
    for (const auto& c : e.revoked) changed_.insert(c);
    for (const auto& c : e.removed) changed_.insert(c);
    if (!up(keeper)) return;
    const std::string t = creed::sign(bundle_text(w, note), sk_).value();
    const auto op = ++op_;
    const std::string hash = creed::read_signed(t, {pk_})->bundle.hash;
    checks.word(hash, w);
    acked_[op << 32 | number] = hash;
    on_node(keeper, n_[keeper]->life, [this, op, t](Node& n) {
        vault::Acts a;
        n.keeper->push(now_, op, t, &a);
        carry(n, a);
    });
}

namespace {
// Eight customers at 80 percent of their allowances.
void customers(Deployment* d, const std::vector<double>& rates, double writes) {
    for (double r : rates) {
        CustomerPlan c;
        c.name = "c" + std::to_string(d->customers.size() + 1);
        c.rate = r;
        c.allowance = r / 0.8;
        c.writes = writes;
        d->customers.push_back(c);
    }
}
}  // namespace

Deployment firm() {
    Deployment d;
    d.proxies = 15;
    d.servers = 35;
    d.disk = 20 * kMilli;
    d.work = 40 * kMilli;
    customers(&d, {120, 95, 70, 50, 40, 25, 15, 10}, 110.0 / 425);  // 425 a second
    return d;
}

Deployment foundation() {
    Deployment d;
    d.proxies = 11;
    d.servers = 25;
    d.disk = 3 * kMilli;
    d.work = 35 * kMilli;
    d.services = {"dates", "booking", "fees"};
    customers(&d, {90, 60, 50, 35, 25, 15, 12, 8}, 60.0 / 295);  // 295 a second
    return d;
}

Deployment wide(int proxies) {
    Deployment d = firm();
    d.proxies = proxies;
    d.servers = std::max(35, proxies);
    d.link = 20 * kMilli;
    d.jitter = 30 * kMilli;
    d.over = 0.1;
    for (auto& c : d.customers) {
        c.allowance = c.rate / 0.62;
        c.burst = c.allowance;
    }
    return d;
}

}  // namespace loom
