#pragma once
// Parts of the simulated fleet that only World's own sources see.
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "consensus/control_node.hpp"
#include "loom/world.hpp"

namespace loom {

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
    std::unique_ptr<consensus::ControlNode> keeper;
    Micros disk_free = 0, next_tick = 0;
    bool disk_failed = false, leaving = false;
    std::uint64_t revision = 0;  // decided, as the checks were told
    std::uint64_t seq = 0;
    std::uint64_t inc() const { return core ? core->knell().inc() : keeper->knell().inc(); }
};

struct World::Server {
    std::string address, service, instance, locality, mode = "well";
    std::uint64_t life = 1;
    bool up = true, leaving = false, listed = true;
    Micros work = 0, known_at = 0;  // known_at: when any node first heard that it leaves
    Micros shown_at = 0;            // when the platform's listing first showed it
    int busy = 0;
    std::deque<std::pair<VisitPtr, std::function<void(int)>>> line;
};

}  // namespace loom
