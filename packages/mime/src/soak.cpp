#include "mime/soak.hpp"

#include <signal.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <fstream>
#include <set>
#include <thread>

#include "mime/process_use.hpp"
#include "mime/soak_callers.hpp"
#include "mime/soak_crowd.hpp"
#include "mime/soak_servers.hpp"
#include "pith/hash.hpp"

namespace mime {

namespace asio = boost::asio;
namespace json = boost::json;
using pith::Kind;
using pith::kMilli;
using pith::kSecond;
using pith::Micros;

namespace {

constexpr Micros kServesOn = 3500 * kMilli;     // a server that leaves, after the listing shows it
constexpr Micros kNewConnectionsFor = kSecond;  // the platform notices so late that a proxy takes no more
constexpr Micros kStallLook = 20 * kMilli, kStall = 150 * kMilli;
constexpr Micros kProcessLook = 200 * kMilli;  // between looks at the processes' memory
constexpr std::size_t kMegabyte = 1000 * 1000;
constexpr std::uint64_t kFirstNumber = 1;

void sleep_for(Micros time) { std::this_thread::sleep_for(std::chrono::microseconds(time)); }

std::string loopback_address(const std::string& folder) {
    const auto hash = pith::hash64(folder);
    return "127." + std::to_string(1 + hash % 250) + "." + std::to_string(1 + (hash >> 8) % 250) + "." +
           std::to_string(1 + (hash >> 16) % 250);
}

class Soak {
  public:
    explicit Soak(const SoakPlan& plan)
        : plan_(plan),
          random_(plan.seed * 7919 + 3),
          fleet_(with_address(plan)),
          guard_(server_io_.get_executor()) {}
    ~Soak() {
        server_io_.stop();
        if (server_thread_.joinable()) server_thread_.join();
        for (auto& thread : enders_) thread.join();
    }
    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;

    pith::Result<SoakVerdict> run() {
        auto up = bring_up();
        if (!up) return tl::unexpected<pith::Error>(up.error());
        SoakCallers callers(caller_plan(), ledger_, [this](std::size_t proxy) { return takes_new(proxy); });
        std::thread calling([&callers] { callers.run(); });
        std::thread watching([this] { watch_for_stalls(); });
        std::thread looking([this] { watch_processes(); });
        auto crowd = std::make_unique<SoakCrowd>(crowd_plan());
        trouble();
        crowd.reset();
        callers.stop();
        calling.join();
        over_ = true;
        watching.join();
        looking.join();
        for (auto& thread : enders_) thread.join();
        enders_.clear();
        return ledger_.judge();
    }

  private:
    struct Proxy {
        std::string name;
        std::atomic<Micros> no_new_from{pith::kNever};  // when the platform stops to give it connections
        bool troubled = false;                          // by the schedule, now
    };
    struct Listed {
        std::shared_ptr<SoakServer> server;
        std::string address, locality;
        Micros leaves_at = 0, gone_at = 0;
    };

    static FleetPlan with_address(const SoakPlan& plan) {
        FleetPlan fleet = plan.fleet;
        fleet.ip = loopback_address(fleet.folder + std::to_string(plan.seed));
        for (auto& service : fleet.servers) service.second = 0;  // they are in this process
        return fleet;
    }

    SoakCallerPlan caller_plan() {
        SoakCallerPlan callers;
        for (auto& proxy : proxies_) {
            callers.names.push_back(proxy->name);
            callers.addresses.push_back(fleet_.visits(proxy->name));
        }
        for (const auto& service : plan_.fleet.servers) callers.services.push_back(service.first);
        callers.keys = {"key-large", "key-large", "key-middle"};
        callers.callers = plan_.callers;
        callers.seed = plan_.seed;
        return callers;
    }

    SoakCrowdPlan crowd_plan() const {
        SoakCrowdPlan crowd;
        for (const auto& proxy : proxies_) crowd.addresses.push_back(fleet_.visits(proxy->name));
        crowd.service = plan_.fleet.servers.begin()->first;
        crowd.key = "key-small";
        crowd.members = plan_.crowd;
        crowd.seed = plan_.seed;
        return crowd;
    }

    pith::Result<bool> bring_up() {
        auto prepared = fleet_.prepare();
        if (!prepared) return prepared;
        server_thread_ = std::thread([this] { server_io_.run(); });
        for (const auto& name : fleet_.names("proxy")) {
            proxies_.push_back(std::make_unique<Proxy>());
            proxies_.back()->name = name;
        }
        fleet_.start_all();
        for (int i = 0; i < plan_.servers; ++i) {
            auto added = add_server();
            if (!added) return added;
        }
        show();
        for (const auto& keeper : fleet_.names("keeper"))
            if (!fleet_.wait_line(keeper, {"event=membership", "voting=yes"}, kComeUpIn))
                return pith::fail(Kind::unreachable,
                                  keeper + " does not vote: read its log in " + plan_.fleet.folder);
        if (!push(kFirstNumber))
            return pith::fail(Kind::unreachable, "the first bundle is not taken: read the logs");
        for (const auto& proxy : proxies_)
            if (!fleet_.wait_line(proxy->name, {"event=ready"}, kComeUpIn))
                return pith::fail(Kind::unreachable, proxy->name + " is not ready: read its log");
        return true;
    }

    // ---- servers

    pith::Result<bool> add_server() {
        const auto& services = plan_.fleet.servers;
        auto service = services.begin();
        std::advance(service, static_cast<long>(servers_made_ % services.size()));
        const std::string instance = "i" + std::to_string(++servers_made_);
        Listed listed;
        listed.server = std::make_shared<SoakServer>(server_io_, ledger_, service->first, instance,
                                                     plan_.seed * 100000 + servers_made_);
        listed.locality = plan_.fleet.localities[servers_made_ % plan_.fleet.localities.size()];
        auto address = listed.server->open(loopback_address("servers of " + plan_.fleet.folder));
        if (!address) return tl::unexpected<pith::Error>(address.error());
        listed.address = *address;
        servers_.push_back(listed);
        return true;
    }

    void show() {
        json::array rows;
        for (const auto& listed : servers_)
            rows.push_back(json::object{{"address", listed.address},
                                        {"service", listed.server->service()},
                                        {"instance", listed.server->instance()},
                                        {"locality", listed.locality},
                                        {"state", listed.leaves_at > 0 ? "leaving" : "serving"}});
        fleet_.list_rows(json::serialize(rows));
        for (const auto& listed : servers_)
            if (listed.leaves_at > 0) ledger_.shown_leaving(listed.server->instance());
    }

    // A new one starts first; then one or two leave, are shown so, serve on for a while, and are gone.
    void replace_servers() {
        const std::size_t count = 1 + random_.below(2);
        for (std::size_t i = 0; i < count; ++i) {
            if (!add_server()) return;
            auto& leaving = servers_[random_.below(servers_.size() - 1)];
            if (leaving.leaves_at == 0) leaving.leaves_at = pith::mono_now();
        }
        show();
    }

    void let_servers_go() {
        const Micros now = pith::mono_now();
        bool changed = false;
        for (auto i = servers_.begin(); i != servers_.end();) {
            const bool over = i->leaves_at > 0 && now - i->leaves_at > kServesOn;
            if (over) i->server->close();
            changed = changed || over;
            i = over ? servers_.erase(i) : std::next(i);
        }
        if (changed) show();
    }

    void slow_servers() {
        for (auto& listed : servers_) listed.server->slow(random_.below(4) == 0 ? 8 : 1);
    }

    // ---- processes

    bool takes_new(std::size_t proxy) const { return pith::mono_now() < proxies_[proxy]->no_new_from; }

    std::size_t untroubled() const {
        std::size_t n = 0;
        for (const auto& proxy : proxies_) n += proxy->troubled ? 0 : 1;
        return n;
    }

    // One that has no trouble now, while at least half of them have none.
    Proxy* pick() {
        std::lock_guard<std::mutex> lock(mutex_);
        if (2 * untroubled() <= proxies_.size()) return nullptr;
        for (int tries = 0; tries < 20; ++tries) {
            auto& proxy = *proxies_[random_.below(proxies_.size())];
            if (proxy.troubled) continue;
            proxy.troubled = true;
            return &proxy;
        }
        return nullptr;
    }

    void well_again(Proxy* proxy) {
        std::lock_guard<std::mutex> lock(mutex_);
        proxy->troubled = false;
    }

    void end_and_restart(Proxy* proxy, int signal) {
        if (signal == SIGKILL) ledger_.troubled(proxy->name);
        proxy->no_new_from = pith::mono_now() + (signal == SIGKILL ? 0 : kNewConnectionsFor);
        fleet_.forget_lines(proxy->name);
        expect_end(proxy->name, true);
        fleet_.kill(proxy->name, signal);
        const bool hup_too = signal == SIGTERM && random_.below(3) == 0;
        enders_.emplace_back([this, proxy, signal, hup_too] {
            if (hup_too) fleet_.kill(proxy->name, SIGHUP);
            fleet_.wait_end(proxy->name);
            if (signal == SIGKILL) ledger_.troubled(proxy->name);
            fleet_.start(proxy->name);
            expect_end(proxy->name, false);
            if (!fleet_.wait_line(proxy->name, {"event=ready"}, kComeUpIn)) return;
            proxy->no_new_from = pith::kNever;
            if (signal == SIGKILL) ledger_.troubled(proxy->name);
            well_again(proxy);
        });
    }

    void freeze(Proxy* proxy, Micros time) {
        ledger_.troubled(proxy->name);
        fleet_.kill(proxy->name, SIGSTOP);
        enders_.emplace_back([this, proxy, time] {
            sleep_for(time);
            ledger_.troubled(proxy->name);
            fleet_.kill(proxy->name, SIGCONT);
            well_again(proxy);
        });
    }

    // One at a time: a majority stays. A keeper's trouble is no trouble of a proxy.
    void restart_keeper(int signal) {
        if (keeper_busy_.exchange(true)) return;
        const auto keepers = fleet_.names("keeper");
        const std::string& keeper = keepers[random_.below(keepers.size())];
        fleet_.forget_lines(keeper);
        expect_end(keeper, true);
        fleet_.kill(keeper, signal);
        enders_.emplace_back([this, keeper] {
            fleet_.wait_end(keeper);
            fleet_.start(keeper);
            expect_end(keeper, false);
            fleet_.wait_line(keeper, {"event=membership", "voting=yes"}, kComeUpIn);
            keeper_busy_ = false;
        });
    }

    bool push(std::uint64_t number) {
        const std::string file = plan_.fleet.folder + "/" + std::to_string(number) + ".json";
        std::ofstream(file) << fleet_.sign(
            fleet_.sample_bundle(static_cast<int>(number), number % 2 == 0 ? 20.0 : 25.0));
        std::string nodes;
        for (const auto& keeper : fleet_.names("keeper")) nodes += fleet_.desk(keeper) + ",";
        int code = 0;
        fleet_.run({"helm", "push", file, "--nodes=" + nodes, "--timeout_ms=5000"}, &code);
        return code == 0;
    }

    void push_next() {
        const std::uint64_t number = ++number_;
        enders_.emplace_back([this, number] { push(number); });
    }

    // ---- the schedule

    void one_trouble() {
        const auto what = random_.below(10);
        Proxy* proxy = what < 6 ? pick() : nullptr;
        if (what < 6 && proxy == nullptr) return;
        if (what < 3)
            end_and_restart(proxy, SIGTERM);
        else if (what == 3)
            end_and_restart(proxy, SIGKILL);
        else if (what == 4)
            freeze(proxy, 300 * kMilli + static_cast<Micros>(random_.below(2000)) * kMilli);
        else if (what == 5)
            hang_up(proxy);
        else if (what == 6)
            push_next();
        else if (what == 7)
            restart_keeper(random_.below(2) == 0 ? SIGTERM : SIGKILL);
        else if (what == 8)
            slow_servers();
        else
            replace_servers();
    }

    void hang_up(Proxy* proxy) {
        fleet_.kill(proxy->name, SIGHUP);
        well_again(proxy);
    }

    void trouble() {
        const Micros until = pith::mono_now() + static_cast<Micros>(plan_.seconds * 1e6);
        while (pith::mono_now() < until) {
            sleep_for(static_cast<Micros>(-std::log(1 - random_.unit()) * plan_.pause_s * 1e6));
            let_servers_go();
            const auto together = 1 + random_.below(3) / 2;  // one in three comes with a second
            for (std::uint64_t i = 0; i < together; ++i) one_trouble();
            if (random_.below(3) == 0) replace_servers();
        }
    }

    // ---- what processes take

    void expect_end(const std::string& name, bool expected) {
        std::lock_guard<std::mutex> lock(mutex_);
        if (expected)
            ending_.insert(name);
        else
            ending_.erase(name);
    }

    bool ends_by_itself(const std::string& name, pid_t process) {
        std::lock_guard<std::mutex> lock(mutex_);
        return ending_.count(name) == 0 && fleet_.pid(name) == process;
    }

    void look_at(const std::string& name) {
        const pid_t process = fleet_.pid(name);
        if (process <= 0) return;
        const std::size_t resident = process_memory(process).resident;
        ledger_.resident(resident);
        if (resident == 0 && ends_by_itself(name, process)) {
            expect_end(name, true);  // told once
            ledger_.failed(name + " ended by itself");
        }
        const std::size_t limit = plan_.fleet.memory_mb * kMegabyte;
        if (limit > 0 && resident > limit)
            ledger_.failed(name + " had " + std::to_string(resident / kMegabyte) + " MB of " +
                           std::to_string(plan_.fleet.memory_mb));
    }

    void watch_processes() {
        auto names = fleet_.names("proxy");
        const auto keepers = fleet_.names("keeper");
        names.insert(names.end(), keepers.begin(), keepers.end());
        while (!over_) {
            for (const auto& name : names) look_at(name);
            sleep_for(kProcessLook);
        }
    }

    // Where this machine does not run us for a while, it does not run the fleet either.
    void watch_for_stalls() {
        while (!over_) {
            const Micros before = pith::mono_now();
            sleep_for(kStallLook);
            if (pith::mono_now() - before > kStall) ledger_.stalled();
        }
    }

    static constexpr int kComeUpIn = 60;  // seconds

    SoakPlan plan_;
    pith::Rng random_;
    SoakLedger ledger_;
    Fleet fleet_;
    asio::io_context server_io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::thread server_thread_;
    std::vector<std::unique_ptr<Proxy>> proxies_;
    std::vector<Listed> servers_;
    std::uint64_t servers_made_ = 0, number_ = kFirstNumber;
    std::mutex mutex_;  // of who is troubled, and who ends
    std::set<std::string> ending_;
    std::vector<std::thread> enders_;
    std::atomic<bool> keeper_busy_{false}, over_{false};
};

}  // namespace

pith::Result<SoakVerdict> soak(const SoakPlan& plan) { return Soak(plan).run(); }

}  // namespace mime
