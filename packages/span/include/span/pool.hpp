#pragma once
// Which server a visit goes to: listing, marks, probes and what sessions show (docs/design.md 7.3).
// A state machine under one short lock a shard; it opens no session itself.
#include <atomic>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pith/hash.hpp"
#include "pith/time.hpp"
#include "weft/messages.hpp"

namespace span {

enum ServerState : std::uint8_t { kServing = 0, kLeaving = 1 };

constexpr std::uint32_t kSlots = 2;  // of a server that does not say

struct Slot {
    std::string address, service, instance;
    double load = 0;  // requests there as known when it was picked, this one not among them
};

// shed: full, and not run; misdirected: another instance is there, and nothing was run; unproven: no
// connection.
enum class Outcome { well, failed, lost, slow, unproven, unused, shed, misdirected };

struct PoolTuning {
    std::size_t extra = 2;    // requests beyond its slots that a server is sent, from here or by all
    std::size_t strikes = 3;  // failures in a row that eject
    pith::Micros first_out = 2 * pith::kSecond, most_out = 30 * pith::kSecond;
    pith::Micros unproven_out = pith::kSecond;    // first ejection of a server that takes no connection
    pith::Micros keep_gone = 10 * pith::kSecond;  // a server missing from the listing is kept so long
    double most_ejected = 0.5;                    // of a service
    double fail_share = 0.4, fail_least = 8;     // a server failing so often, of at least so many, is ejected
    double zone = 1.0 / 3;                       // cost of another zone, in service times
    double sticky = 0;                           // cost of a server that is not of this node's subset
    std::size_t subset = 3;                      // servers of that subset, by rendezvous
    double jitter = 0.1;                         // of the estimate: not all nodes choose the same
    pith::Micros peer_keep = 60 * pith::kMilli;  // what a peer told is down to 1/e by then
    double peer_weight = 1;
    pith::Micros shed_for = 150 * pith::kMilli, most_shed = 2400 * pith::kMilli;  // doubling while it goes on
    double budget = 0.2;         // resends for each first request, over the fleet
    double fleet_slack = 10;     // and at once, all nodes together
    double budget_safety = 0.8;  // of the slack: the number of nodes may be behind
};

struct ServerView {
    std::string address, service, instance, locality, state;
    std::size_t in_flight = 0;
    bool preferred = false, ejected = false;
    std::uint64_t visits = 0, failures = 0;
};

class Pool {
  public:
    Pool(std::string node, std::string locality, PoolTuning t);

    void listing(pith::Micros now, const weft::Listing& l);
    // Servers by server_hash that the platform no longer shows as serving: sent no requests until a listing says otherwise.
    // Gives the instances for which that is new.
    std::vector<std::string> withdraw(pith::Micros now, const std::vector<std::uint64_t>& servers);
    void mark(const std::string& address, bool drain);
    void leaving(const std::string& address, const std::string& instance,
                 bool told = false);  // the server said so itself
    // Servers that answered a visit well: here since `t`, to be told; anywhere, as told by partners.
    std::vector<std::uint64_t> well_since(pith::Micros t);
    void told_well(pith::Micros now, const std::vector<std::uint64_t>& v);
    std::vector<weft::ServerRec> unseen_since(
        pith::Micros t);                         // serving, and nobody's visit showed that they live
    std::vector<weft::ProbeRec> leaving_news();  // learnt here since the last call, to be told to partners
    // As told by a partner, or seen by our own probe.
    void probe(pith::Micros now, const std::string& address, const std::string& instance,
               std::uint8_t verdict);

    // A free slot of the service, or none: `known` tells whether any server of it is there at all.
    // Up to its slots; beyond them only where the answer is expected within `within`.
    std::optional<Slot> pick(pith::Micros now, const std::string& service,
                             const std::vector<std::string>& not_these, bool* known, pith::Micros within = 0);
    void done(pith::Micros now, const Slot& s, Outcome o, pith::Micros took);
    // Still the same server, and still to be sent visits?
    bool stands(const Slot& s);

    pith::Micros service_time(const std::string& service);  // mean, as seen from here

    // Requests in flight from here to servers where that changed since last told; `all`: wherever there are
    // any.
    std::vector<std::uint32_t> load_news(bool all);
    void told_load(pith::Micros now, const std::string& peer, std::uint64_t inc, std::uint64_t seq,
                   const std::vector<std::uint32_t>& v);

    // The budget of sends beyond a request's first. `n`: gateway nodes known now.
    void nodes(std::size_t n);
    void first_visit(const std::string& service);
    bool has_retry(const std::string& service);
    bool take_retry(const std::string& service);

    std::vector<ServerView> view(pith::Micros now);
    std::vector<weft::ServerRec> servers();
    std::uint64_t epoch() const { return epoch_; }
    std::uint64_t version() const { return version_; }
    std::vector<std::string> services();

  private:
    static constexpr std::size_t kFewNodes = 4;  // a node that just started knows of none
    struct Server {
        weft::ServerRec rec;
        bool drained = false, left = false, probe_bad = false, preferred = false, sticky = false;
        std::size_t flight = 0, strikes = 0, outs = 0;
        pith::Micros out_until = 0, well = -pith::kNever, seen = -pith::kNever,
                     missing = 0;      // missing: since when not listed, or none
        pith::Micros moved_until = 0;  // another instance answered there
        pith::Micros cold_until = 0, shed_at = -pith::kNever, shed_for = 0;
        double time = 0;  // smoothed service time without queueing, or none yet
        pith::Micros time_at = 0;
        double fails = 0, tried = 0;  // smoothed counts
        pith::Micros fails_at = 0;
        double peers = 0;  // in flight from peers, as of peers_at
        pith::Micros peers_at = 0;
        std::uint32_t hash = 0, told = 0;  // of this instance; in flight as told last
        std::uint64_t visits = 0, failures = 0;
    };
    struct Shard {
        std::mutex m;
        std::map<std::string, Server> s;  // by address
        std::vector<Server*> fit;         // listed as serving, not drained, not leaving
        std::map<std::uint32_t, Server*> by_hash;
        double credit = 1, mean = 0;  // mean: of the service time
        std::uint64_t turn = 0;
        pith::Rng rng{1};
    };
    struct Peer {
        std::uint64_t inc = 0, seq = 0;
        pith::Micros heard = 0;
        std::map<std::uint32_t, std::pair<double, pith::Micros>> load;
    };
    Shard* shard(const std::string& service);
    std::vector<std::pair<std::string, Shard*>> shards();  // all, by service
    void rank(Shard* s, const std::string& service);
    // Of a server: requests there as known, service time, chance of success.
    double load(const Server& v, pith::Micros now) const;
    static double learnt(const Shard& s, const Server& v, pith::Micros now);
    double time(const Shard& s, const Server& v, pith::Micros now) const;
    static double success(const Server& v, pith::Micros now);
    static void fade(Server* v, pith::Micros now);
    void eject(Shard* s, Server* v, pith::Micros now, pith::Micros first);
    double most_credit() const;

    std::string node_, locality_;
    PoolTuning t_;
    std::atomic<double> sticky_{t_.sticky};       // as the fleet's size has it
    std::atomic<std::size_t> subset_{t_.subset};
    std::mutex m_;  // of the map only
    std::map<std::string, std::unique_ptr<Shard>> shards_;
    std::map<std::string, bool> marks_;
    std::vector<weft::ProbeRec> news_;
    std::set<std::string> gone_;  // instances that said they leave; the oldest are forgotten past kMaxGone
    std::deque<std::string> gone_order_;
    std::uint64_t epoch_ = 0, version_ = 0;      // control shard only
    std::string holder_;                         // of the listing, likewise
    std::map<std::string, Peer> peers_;          // control shard only
    std::atomic<std::size_t> nodes_{kFewNodes};  // most that were known in this life
};

}  // namespace span
