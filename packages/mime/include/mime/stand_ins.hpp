#pragma once
// Stand-ins for what is outside: the platform's listing, back-end servers, callers (docs/design.md 9.1).
// They speak the documented protocols (docs/api.md) and can be told to misbehave.
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pith/error.hpp"
#include "pith/time.hpp"
#include "weft/desk.hpp"

namespace mime {

// The platform lists servers, with lag, and answers 429 where it is asked too often.
class Platform {
  public:
    explicit Platform(boost::asio::io_context& io);
    pith::Result<std::string> open(const std::string& address);

  private:
    weft::Desk desk_;
    struct Version {
        pith::Micros since;
        std::string body;
    };
    std::vector<Version> v_;
    pith::Micros lag_ = 0;
    double per_s_ = 5, credit_ = 5;
    pith::Micros credit_at_ = 0;
    bool fails_ = false;
    std::uint64_t asked_ = 0, limited_ = 0;
};

// A back end: two visits at a time, a ledger of what it did, and modes of failing.
class Server {
  public:
    Server(boost::asio::io_context& io, std::string service, std::string instance, pith::Micros work);
    pith::Result<std::string> open(const std::string& address);

  private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

struct CallerPlan {
    std::vector<std::string> proxies;  // visits' addresses
    std::string key, method = "GET", path, tag;
    double rate = 10;
    double seconds = 5;
    std::uint64_t seed = 1;
    int deadline_ms = 2000;
    bool retry = false;  // one marked retry, at once, after an answer that says it did not run
};

struct CallerTally {
    std::uint64_t asked = 0, well = 0, turned_away = 0, unknown = 0, lost = 0, wrong = 0, retries = 0;
    std::map<std::string, std::uint64_t> kinds;
    std::vector<pith::Micros> took;           // of those that went well
    std::vector<std::string> stood, not_run;  // try ids with a success, and with ran:no
};

// Open loop, Poisson arrivals; each visit on a kept session, spread over the proxies.
CallerTally call(const CallerPlan& p);
std::string tally_json(const CallerTally& t);

}  // namespace mime
