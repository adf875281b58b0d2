#pragma once
// What the threads of a proxy share, each part behind its own short lock (docs/design.md 7.5).
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

#include "budget/process_limits.hpp"
#include "span/caller_presence.hpp"
#include "span/errand.hpp"
#include "span/plan.hpp"
#include "span/pool.hpp"
#include "span/tries.hpp"
#include "tide/basin.hpp"

namespace span {

// One coroutine that waits; woken from any thread, on its own.
class Waiter : public std::enable_shared_from_this<Waiter> {
  public:
    enum State { waiting, released, expired, free, gone };
    explicit Waiter(boost::asio::io_context& io) : io_(io), timer(io) {}
    void wake(State s);
    State state() const { return state_; }  // its own thread only

  private:
    boost::asio::io_context& io_;
    State state_ = waiting;

  public:
    boost::asio::steady_timer timer;
};
using WaiterPtr = std::shared_ptr<Waiter>;

// What became of a try, kept a while for `helm explain` (docs/design.md 8.3).
struct Trace {
    pith::Micros wall = 0;
    std::string try_id, customer, route, service, end, server, instance;
    std::uint64_t bundle = 0;
    int status = 0, sends = 0;
    bool ran_unknown = false;
    pith::Micros queued = 0, took = 0;
};

class Traces {
  public:
    static constexpr std::size_t kMost = 4096;
    void add(Trace t);
    std::vector<Trace> find(const std::string& try_id);

  private:
    std::mutex m_;
    std::deque<Trace> t_;
};

struct Tolls {  // counters for /metrics
    std::array<std::atomic<std::uint64_t>, 64> by_kind{};
    std::array<std::atomic<std::uint64_t>, kCallerSteps.size()> callers_left{};  // by CallerStep
    std::atomic<std::uint64_t> sends_on_old_listing{0};
    void caller_left(CallerStep step) { ++callers_left[static_cast<std::size_t>(step)]; }
    std::atomic<std::uint64_t> visits{0}, answered{0}, sends{0}, own_retries{0}, caller_retries{0}, opened{0},
        proofs{0}, proof_failed{0}, reused{0}, unknown{0}, callers{0}, callers_refused{0}, wait_us{0},
        probes{0}, listings{0}, no_room{0};
};

class Hall {
  public:
    Hall(std::string node, std::string locality, const Dialect& d = own_dialect(), const tide::Tuning& t = {},
         const PoolTuning& p = {}, std::shared_ptr<budget::ProcessLimits> its_limits = nullptr);

    const Dialect& dialect;
    const std::shared_ptr<budget::ProcessLimits> limits;  ///< none are given: this machine's
    std::size_t threads = 1;                              ///< workers, which share what callers may hold

    creed::PolicyPtr policy();
    void policy(creed::PolicyPtr p);

    tide::Id enter(const WaiterPtr& w);  // a number for the queue
    void leave(tide::Id id);
    void left(const tide::Left& l);  // wakes those whom the network let out

    bool stand_in_line(const std::string& service, const WaiterPtr& w);
    void slot_free(const std::string& service);

    tide::Basin basin;
    Pool pool;
    Tries tries;
    Lobby lobby;
    Traces traces;
    Tolls tolls;
    std::atomic<bool> ready{false}, stopping{false};
    // ProxyCore::behind_until(), monotonic; it is to be set after policy(), so that no refusal by an older
    // bundle slips through between the two.
    std::atomic<pith::Micros> behind_until{0};
    // When the platform was asked last, as far as this node knows, monotonic: how old the knowledge is by which servers
    // are chosen (docs/design.md 7.2).
    std::atomic<pith::Micros> servers_known_at{-pith::kNever};
    std::atomic<int> in_flight{0};
    std::function<void()> arm;  // starts the ticker where it rests

  private:
    struct Shard {
        std::mutex m;
        std::unordered_map<tide::Id, WaiterPtr> w;
    };
    std::array<Shard, 8> s_;
    std::atomic<tide::Id> next_{1};
    std::mutex pm_;
    creed::PolicyPtr policy_;
    std::mutex lm_;
    std::map<std::string, std::deque<std::weak_ptr<Waiter>>> line_;
};

}  // namespace span
