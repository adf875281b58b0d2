// Life of the simulated processes: start, tick, freeze, kill and planned stop.
#include <algorithm>

#include "world_types.hpp"

namespace loom {

using pith::kMilli;
using pith::kSecond;

namespace {
constexpr Micros kControlTick = 50 * kMilli;  // as in the control daemon
constexpr Micros kHandOver = 5 * kSecond;     // of a planned stop, within a grace of 6 s
}  // namespace

void World::boot(const std::string& name) {
    auto n = std::make_unique<Node>();
    n->name = name;
    n->life = ++lives_;
    knell::Config c;
    c.name = name;
    c.address = address_.count(name) != 0 ? address_[name] : name;
    if (d_.shared_hosts && address_.count(name) == 0) {
        c.address = "m" + name.substr(1) + ":" + name.substr(0, 1);
        node_at_[c.address] = name;
    }
    c.locality = zone_[name];
    c.role = role_[name];
    if (d_.discovered)
        c.seeds = {"p1", "p2", "p3"};
    else
        c.seeds = names("keeper");
    if (c.role == "keeper")
        boot_control(*n, c);
    else
        boot_proxy(*n, c);
    const auto life = n->life;
    n_[name] = std::move(n);
    later(static_cast<Micros>(rng_.below(20000)), [this, name, life] { tick(name, life); });
}

void World::boot_control(Node& n, const knell::Config& config) {
    knell::Config membership = config;
    if (disk_[n.name].disk.empty()) empty_disk(n.name);
    membership.inc = ++disk_inc_[n.name];
    consensus::ControlConfig control;
    control.name = n.name;
    control.address = config.address;
    control.signers = {pk_};
    control.life = n.life * 1000 + 1;
    control.mutations = breaks_.control;
    if (breaks_.never_replace) control.tuning.membership.replace_after = pith::kNever;
    consensus::FoundingConfig founding;
    founding.name = n.name;
    founding.address = config.address;
    founding.seeds = config.seeds;
    founding.first_start = spare_.count(n.name) == 0;
    if (!d_.discovered)
        for (const auto& k : names("keeper"))
            if (spare_.count(k) == 0) founding.listed[k] = k;
    n.keeper = std::make_unique<consensus::ControlNode>(membership, control, founding, disk_[n.name],
                                                        epochs_[n.name]);
}

void World::boot_proxy(Node& n, const knell::Config& config) {
    knell::Config membership = config;
    membership.inc =
        static_cast<std::uint64_t>(std::max<Micros>(1, 1000 * kSecond + now_ + wall_off_[n.name]));
    n.basin = std::make_unique<tide::Basin>(tune_);
    span::PoolTuning pt;
    if (breaks_.unlimited_retries) pt.budget = pt.fleet_slack = 1e9;
    n.pool = std::make_unique<span::Pool>(n.name, config.locality, pt);
    n.tries = std::make_unique<span::Tries>();
    n.core = std::make_unique<span::ProxyCore>(membership, core_tune_, n.basin.get(), n.pool.get());
    span::ProxyCore* core = n.core.get();
    auto first = std::make_shared<creed::PolicyPtr>();
    const bool stale = breaks_.stale_policy;
    const auto policy = [core, first, stale] {
        if (!*first) *first = core->policy();
        return stale ? *first : core->policy();
    };
    n.lobby = std::make_unique<span::Lobby>(*n.basin, *n.pool, *n.tries, policy, span::own_dialect(),
                                            [core](Micros now) { return core->behind(now); });
}

const consensus::ControlNode* World::control(const std::string& keeper) const {
    const auto i = n_.find(keeper);
    return i == n_.end() || i->second == nullptr ? nullptr : i->second->keeper.get();
}

bool World::runs_well(const std::string& node) const {
    const auto i = n_.find(node);
    if (i == n_.end() || i->second == nullptr) return false;
    if (now_ < i->second->frozen_until || i->second->leaving) return false;
    const auto fault = disk_fault_.find(node);
    if (fault != disk_fault_.end() && fault->second != DiskFault::none) return false;
    const auto slow = disk_slow_.find(node);
    if (slow != disk_slow_.end() && slow->second > 0) return false;
    const auto stalled = stalled_until_.find(node);
    return stalled == stalled_until_.end() || now_ >= stalled->second;
}

bool World::takes_callers(const std::string& proxy) const {
    return up(proxy) && n_.at(proxy)->core != nullptr && n_.at(proxy)->core->ready();
}

void World::move(const std::string& node) {
    kill(node);
    node_at_.erase(address_.count(node) != 0 ? address_[node] : node);
    address_[node] = node + "-moved-" + std::to_string(++lives_);
    node_at_[address_[node]] = node;
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
    if (up(name)) return;
    troubled_[name] = now_;
    boot(name);
}

bool World::in_touch(const std::string& node) const {
    constexpr Micros kContact = 3 * pith::kSecond;
    if (!runs_well(node)) return false;
    if (now_ - links_.choked_at(machine(node)) < kContact) return false;
    const auto troubled = troubled_.find(node);
    if (troubled != troubled_.end() && now_ - troubled->second < kContact) return false;
    const auto keepers = names("keeper");
    return std::all_of(keepers.begin(), keepers.end(), [this, &node, &keepers](const std::string& keeper) {
        const auto reached = std::count_if(keepers.begin(), keepers.end(), [this, &keeper](const std::string& other) {
            return runs_well(other) && (other == keeper || linked(keeper, other));
        });
        const bool with_most = runs_well(keeper) && 2 * static_cast<std::size_t>(reached) > keepers.size();
        return !with_most || linked(node, keeper);
    });
}

std::string World::poller() const {
    for (const auto& name : names("proxy"))
        if (up(name) && n_.at(name)->core->knell().mine("listing", "proxy")) return name;
    return {};
}

void World::freeze(const std::string& name, Micros d) {
    if (!up(name)) return;
    Node& n = *n_[name];
    n.frozen_until = std::max(n.frozen_until, now_ + d);
    troubled_[name] = n.frozen_until;
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
            n.leaving = true;
            consensus::Actions actions;
            n.keeper->leave(now_, &actions);
            carry(n, actions);
            hand_over(n, now_ + kHandOver);
            return;
        }
        span::Todo d;
        n.core->say(knell::kDraining, now_, &d);
        carry(n, d);
        n.farewell.begin(now_);
        farewell(n);
    });
}

// A control node that stops ends as soon as it has handed over, and in any case before its grace is over.
void World::hand_over(Node& n, Micros until) {
    const std::string name = n.name;
    const auto life = n.life;
    if (!n.keeper->may_end() && !breaks_.hasty_leave && now_ < until) {
        later(20 * kMilli, [this, name, life, until] {
            on_node(name, life, [this, until](Node& m) { hand_over(m, until); });
        });
        return;
    }
    consensus::Actions actions;
    n.keeper->left(now_, &actions);
    carry(n, actions);
    ended(name);
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
            consensus::Actions actions;
            n.keeper->tick(now_, &actions);
            carry(n, actions);
            later(kControlTick, [this, name, life] { tick(name, life); });
        }
    });
}

}  // namespace loom
