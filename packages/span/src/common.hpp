#pragma once
// What both daemons share: the control thread's link, desk and signals (docs/design.md 8.1).
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <string>

#include "budget/allocator.hpp"
#include "budget/process_limits.hpp"
#include "creed/bundle.hpp"
#include "knell/knell.hpp"
#include "pith/kernel.hpp"
#include "pith/log.hpp"
#include "pith/settings.hpp"
#include "weft/desk.hpp"
#include "weft/link.hpp"

namespace span {

class Control : public pith::Service {
  public:
    /// `its_limits`: those of the process, where it has several of these.
    explicit Control(const pith::Settings& s, std::shared_ptr<budget::ProcessLimits> its_limits = nullptr)
        : io(1),
          limits(its_limits ? std::move(its_limits) : process_limits(s)),
          link(io, s.fleet, s.secret, s.name, s.frames == "plain", limits),
          desk(io, limits, kControlDeskParts),
          set(s),
          signals_(io) {}
    static std::shared_ptr<budget::ProcessLimits> process_limits(const pith::Settings& s) {
        constexpr std::size_t kMegabyte = 1000 * 1000;
        auto limits = std::make_shared<budget::ProcessLimits>(s.memory_mb * kMegabyte, s.descriptors);
        creed::parse_limit(limits->parsing);
        budget::large_blocks_go_back();
        return limits;
    }
    static constexpr std::size_t kControlDeskParts = 3;  // of what operators may hold

    boost::asio::io_context io;
    const std::shared_ptr<budget::ProcessLimits> limits;
    weft::Link link;
    weft::Desk desk;
    pith::Settings set;

    void send(const weft::Out& out) {
        for (const auto& s : out) link.send(s.address, s.msg);
    }

    // SIGTERM once: `drain`; twice: the end. SIGHUP changes between info and debug.
    void watch(std::function<void()> drain) {
        signals_.add(SIGTERM);
        signals_.add(SIGINT);
        signals_.add(SIGHUP);
        drain_ = std::move(drain);
        wait();
    }

    void common_desk();
    // Tells which messages fill the links, where they are more than they should be (docs/operators.md).
    void watch_traffic(pith::Micros now);
    int exit_code = 0;
    std::function<void()> hup;  // on SIGHUP, in place of changing the log level

  private:
    void wait();
    boost::asio::signal_set signals_;
    std::function<void()> drain_;
    bool draining_ = false, debug_ = false;
    pith::Micros traffic_at_ = 0;
    std::uint64_t traffic_was_ = 0;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> kinds_were_;
};

knell::Config knell_config(const pith::Settings& s, const std::string& role, std::uint64_t inc);
boost::json::object members_json(const knell::Knell& k);
std::string query(const weft::Ask& q, const std::string& name);
bool may_change(const pith::Settings& s, const weft::Ask& q, const weft::Desk::Reply& r);

// A role: what it opens once the kernel's services are started.
class Daemon : public pith::Service {
  public:
    virtual pith::Result<bool> open() = 0;
};
// `wait_for_disk`: where the folder can't be used yet it is tried again, rather than given up.
std::shared_ptr<Daemon> make_keeper(pith::Kernel& k, const pith::Settings& s, bool wait_for_disk);
// Runs until a signal ends it; gives the exit code.
int run_daemon(pith::Kernel& k, const std::shared_ptr<Control>& ctl, const char* role,
               const std::shared_ptr<Daemon>& d);

class MetricsText {
  public:
    void add(const char* name, const char* type, const char* help, const std::string& labels, double v);
    std::string text() const { return o_; }

  private:
    std::string o_, last_;
};
weft::Answer text_answer(std::string body);

}  // namespace span
