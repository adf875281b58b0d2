#pragma once
// A customer's queue tied to its network: whole visits leave as units of mass are released
// (docs/design.md 6.3).
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "pith/time.hpp"
#include "tide/net.hpp"

namespace tide {

using Id = std::uint64_t;

// What the fleet's state lets this node use (docs/design.md 6.5).
// part: of the allowance, as large as the part of the proxies that this node sees, shared with those.
enum class Standing { whole, part, share, floor };
const char* standing_text(Standing s);

// What operators grant a customer over the whole fleet: requests a second, and how many above it may come at
// once. Rate 0: no limit.
struct Grant {
    double rate = 0, burst = 0;
    Grant(double r = 0, double b = 0) : rate(r), burst(b) {}
    bool limited() const { return rate > 0; }
    bool operator==(const Grant& o) const { return rate == o.rate && burst == o.burst; }
};

struct Tuning {
    double k4 = 8, k2_over_k4 = 100, k1 = 40, k3 = 160, k5 = 0.05, kf = 1000, k6 = 40;  // swept: docs/paper.md
    double least_pool = 2;                    // tokens, for small allowances
    double head = 1.0;                        // k4 * e0 over the allowance
    double floor = 0.05;                      // of the allowance, over all nodes that are cut off
    // The operators' bound of any `window`: (rate * window + burst) * (1 + over) + slack. 0: no tolerance is used.
    double over = 0, slack = 20;
    pith::Micros window = 5 * pith::kSecond;
    pith::Micros wait = 2500 * pith::kMilli;  // longest wait in S
    std::size_t queue = 4096;
};

struct Verdict {
    bool queued = false;
    bool released = false;  // a pass was there: it may go now, and counts as released
    pith::Micros retry_after = 0;
};

class Gate {
  public:
    Gate(pith::Micros now, const Grant& grant, std::size_t nodes, const Tuning& t);

    bool allowance(pith::Micros now, const Grant& g);  // false: as it was
    void world(pith::Micros now, std::size_t nodes, Standing s, double part = 1);
    Verdict arrive(pith::Micros now, Id id, pith::Micros deadline);
    // A visit whose pass went stale before a server was free (docs/design.md 6.3): charged anew at once where
    // a pass is there, else it stands in S again, before all others.
    bool draw(pith::Micros now);
    void again(pith::Micros now, Id id, pith::Micros deadline);
    bool leave(pith::Micros now, Id id);                       // false where it is not queued any more
    void sense(pith::Micros now, double mass, double queued);  // partners: released since, queued now
    // Steps the network up to now; ids that leave S for good.
    void advance(pith::Micros now, std::vector<Id>* released, std::vector<Id>* expired);

    // Just started: what partners released a moment ago is not known, so passes come at k4; but for this node's
    // part of a quarter of the tolerance (docs/design.md 6.5).
    void spend();
    // What this node may release before partners hear of it (docs/design.md 6.4).
    double untold() const;
    bool limited() const { return g_.limited(); }
    void close(std::vector<Id>* expired);  // all that is queued leaves unreleased

    bool idle() const { return live_ == 0 && net_.at_rest(); }
    std::size_t queued() const { return live_; }
    void count_from(std::uint64_t n) { released_ = n; }
    std::uint64_t released() const { return released_; }
    double rate() const { return rate_; }  // own release rate, smoothed, a second
    double wait_s() const;                 // expected wait of the next visit, in seconds
    pith::Micros retry_after() const;
    double allowance() const { return g_.rate; }
    double tolerance() const;  // requests that a window may have above rate * window + burst
    Standing standing() const { return standing_; }
    const Net& net() const { return net_; }
    // S + ES + F + out holds what is queued, plus what was let out ahead of its mass.
    double slack() const;

  private:
    struct Waiting {
        Id id;
        pith::Micros deadline;
        bool gone;
    };
    Rates rates() const;
    void run(pith::Micros now);
    void drop_mass(double n);
    bool draw_free(pith::Micros now);
    void note_release(pith::Micros now);

    Tuning t_;
    Grant g_;
    std::size_t nodes_;
    Standing standing_ = Standing::whole;
    double part_ = 1;
    Net net_;
    pith::Micros at_;
    std::deque<Waiting> q_;
    std::unordered_map<Id, pith::Micros> in_;
    std::size_t live_ = 0;
    std::uint64_t released_ = 0;
    double lead_ = 0;  // visits let out ahead of their mass (at most a half)
    double void_ = 0;  // mass of visits that left unreleased and could not be taken from S
    double rate_ = 0, ext_queue_ = 0;
};

}  // namespace tide
