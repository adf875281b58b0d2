#pragma once
/// Callers of a soak: each keeps its connection to one proxy and uses it until the proxy is gone or says that
/// it closes it; some leave while they wait, in several ways.
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "mime/soak_ledger.hpp"

namespace mime {

struct SoakCallerPlan {
    std::vector<std::string> names, addresses;  ///< proxies, and where callers reach them
    std::vector<std::string> services;
    std::vector<std::string> keys;
    int callers = 20;
    double think_s = 0.1;  ///< mean pause between two requests of a caller
    double write_share = 0.3;
    double leave_share = 0.15;  ///< of the requests
    int deadline_ms = 2500;
    std::uint64_t seed = 1;
};

class SoakCallers {
  public:
    /// `takes_new`: whether the platform gives new connections to that proxy now; called from run()'s thread.
    SoakCallers(SoakCallerPlan plan, SoakLedger& ledger, std::function<bool(std::size_t proxy)> takes_new);
    /// Until stop(); afterwards every request has ended.
    void run();
    void stop() { stopping_ = true; }

  private:
    struct Caller;
    SoakCallerPlan plan_;
    SoakLedger& ledger_;
    std::function<bool(std::size_t)> takes_new_;
    std::atomic<bool> stopping_{false};
    boost::asio::io_context io_;
};

}  // namespace mime
