// Disks of the simulated control nodes: whole documents, written late, in vain or never; and power that goes
// at a chosen write.
#include <algorithm>

#include "world_types.hpp"

namespace loom {

using consensus::DurableState;

namespace {

constexpr std::size_t kBytesPerMicro = 50;  // of a write, beyond the time that each takes

// Writes of the first start: a proposal, its withdrawal, the founded membership.
bool is_founding_write(const DurableState& before, const DurableState& after) {
    return before.founded != after.founded || before.founding.id != after.founding.id ||
           before.founding.founder != after.founding.founder || before.withdrawn != after.withdrawn;
}

// Writes of the register: a promise, or an accepted state.
bool is_register_write(const DurableState& before, const DurableState& after) {
    return !consensus::operator==(before.promised, after.promised) ||
           !consensus::operator==(before.accepted, after.accepted);
}

std::set<std::string> names_of(const std::vector<weft::Voter>& voters) {
    std::set<std::string> names;
    for (const auto& voter : voters) names.insert(voter.name);
    return names;
}

}  // namespace

void World::empty_disk(const std::string& keeper) {
    DurableState& disk = disk_[keeper];
    if (!disk.disk.empty()) lost_disk_[disk.disk] = disk;
    disk = DurableState{};
    disk.disk = keeper + "-disk-" + std::to_string(++disks_);
    disk_inc_[keeper] = 0;
    epochs_[keeper].clear();
}

void World::stall_disk(const std::string& keeper, Micros how_long) {
    stalled_until_[keeper] = std::max(stalled_until_[keeper], now_ + how_long);
}

void World::power_off_at(const std::string& keeper, int nth, bool after, bool all) {
    trap_[keeper] = {nth, after, all ? "all" : "alone", false, nullptr};
}

void World::fault_at(const std::string& keeper, int nth, bool after, const std::string& how) {
    trap_[keeper] = {nth, after, how, false, nullptr};
}

void World::fault_founding_at(const std::string& keeper, int nth, bool after, const std::string& how) {
    trap_[keeper] = {nth, after, how, true, nullptr};
}

void World::when_writing(const std::string& keeper, int nth, std::function<void()> act) {
    trap_[keeper] = {nth, true, "act", false, std::move(act)};
}

void World::crash(std::string keeper, const std::string& how) {  // by value: its node ends
    if (how == "all")
        for (const auto& r : role_) kill(r.first);
    else if (how == "cut")
        isolate(keeper, true);
    else
        kill(keeper);
    if (how == "wipe") empty_disk(keeper);
}

void World::save(Node& n, const consensus::SaveJob& job) {
    const Micros start = std::max(now_, n.disk_free);
    const bool full = disk_fault_[n.name] == DiskFault::full;
    const Micros bytes = static_cast<Micros>(job.state.text.size() / kBytesPerMicro);
    n.disk_free = start + (full ? pith::kMilli
                                : d_.disk + disk_slow_[n.name] + bytes +
                                      static_cast<Micros>(rng_.below(static_cast<std::uint64_t>(d_.disk))));
    at(n.disk_free, [this, name = n.name, life = n.life, job] { save_ended(name, life, job); });
}

// Whether a trap was set for this write; it springs once.
bool World::trap_springs(const std::string& name, const DurableState& next, Trap* trap) {
    const auto i = trap_.find(name);
    if (i == trap_.end()) return false;
    const DurableState& before = disk_[name];
    const bool meant = i->second.founding ? is_founding_write(before, next) : is_register_write(before, next);
    if (!meant || i->second.nth-- != 0) return false;
    *trap = i->second;
    trap_.erase(i);
    return true;
}

void World::write(const std::string& name, const DurableState& next) {
    DurableState& disk = disk_[name];
    if (next.founded && !disk.founded) checks.elected(now_, name, names_of(next.founding.voters));
    const DurableState before = disk;
    disk = next;
    if (breaks_.lying_disk) {  // promises are written, what was accepted is not
        disk.accepted = before.accepted;
        disk.state = before.state;
        disk.text = before.text;
        disk.decided = before.decided;
    }
    if (breaks_.forget_founding) {
        disk.founding = before.founding;
        disk.founded = before.founded;
        disk.withdrawn = before.withdrawn;
    }
}

void World::save_ended(const std::string& name, std::uint64_t life, const consensus::SaveJob& job) {
    if (now_ < stalled_until_[name]) {
        at(stalled_until_[name], [this, name, life, job] { save_ended(name, life, job); });
        return;
    }
    on_node(name, life, [this, job](Node& m) {
        const std::string node = m.name;
        m.disk_failed = m.disk_failed || disk_fault_[node] != DiskFault::none;
        const bool ok =
            disk_fault_[node] == DiskFault::none && !(breaks_.disk_failed_for_life && m.disk_failed);
        Trap trap;
        const bool springs = trap_springs(node, job.state, &trap);
        // A keeper that is cut off runs on: the write goes on, and its word is heard by nobody.
        const bool ends = springs && trap.how != "cut" && !trap.act;
        if (ends && !trap.after) {
            crash(node, trap.how);
            return;
        }
        if (springs && trap.how == "cut") crash(node, trap.how);
        if (ok) write(node, job.state);
        if (ends) {
            crash(node, trap.how);
            return;
        }
        consensus::Actions actions;
        m.keeper->saved(now_, job.token, ok, &actions);
        carry(m, actions);
        if (trap.act) trap.act();
    });
}

// How many of `voters` have the number on their disks as accepted, with that content, or a higher one. A disk
// that was lost since counts as it was last.
std::size_t World::copies(const std::vector<weft::Voter>& voters, std::uint64_t number,
                          const std::string& hash) const {
    std::size_t count = 0;
    for (const auto& voter : voters) {
        const auto now = disk_.find(voter.name);
        const auto lost = lost_disk_.find(voter.disk);
        const DurableState* held = nullptr;
        if (now != disk_.end() && now->second.disk == voter.disk)
            held = &now->second;
        else if (lost != lost_disk_.end())
            held = &lost->second;
        if (held == nullptr) continue;
        const auto& state = held->state;
        count += state.number > number || (state.number == number && state.hash == hash) ? 1 : 0;
    }
    return count;
}

}  // namespace loom
