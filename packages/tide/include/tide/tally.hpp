#pragma once
// What the partners released, as they tell it: cumulative, by incarnation (docs/design.md 6.4).
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "pith/time.hpp"
#include "weft/messages.hpp"

namespace tide {

struct Sensed {
    std::string customer;
    double mass;  // to add to T: released since, less what was assumed meanwhile
};

class Tally {
  public:
    // How long a partner may be silent before its use is assumed, and when its permit lapses.
    struct Times {
        pith::Micros brief = 150 * pith::kMilli;  // after it, its last rate is assumed to go on
        pith::Micros silent = 500 * pith::kMilli,
                     lapse = 3 * pith::kSecond;  // its share, if that is more; nothing
        // A customer that a partner did not name twice within `hot` is told of seldom: `brief` is this instead.
        pith::Micros seldom = 0, hot = 200 * pith::kMilli;
        pith::Micros late = pith::kSecond;  // what is older than this was recycled before it was heard
    };
    explicit Tally(Times t) : t_(t) {}
    void times(const Times& t) { t_ = t; }
    // Names by their hashes, for brief counts; those of others are passed over.
    void customers(const std::vector<std::string>& names);
    bool doubts(pith::Micros now) const;  // a partner is silent: shares are needed

    std::vector<Sensed> hear(pith::Micros now, const std::string& from, std::uint64_t inc,
                             const weft::Counts& c);
    // Assumes for silent partners; `share` gives a customer's share a second.
    // Where this node keeps to a part of the allowance (`apart`), the silent ones' part is not in it.
    std::vector<Sensed> tick(pith::Micros now, const std::map<std::string, double>& share,
                             bool apart = false);
    // We stood still: of what partners did meanwhile only the last moment is charged, as it is heard.
    void woke(pith::Micros now) { capped_until_ = now + 1500 * pith::kMilli; }
    double told(const std::string& customer) const;  // released by partners while we listened, only ever more
    double rate(const std::string& customer) const { return of_all(customer).rate; }
    double queued(const std::string& customer) const { return of_all(customer).queued; }
    double assumed(const std::string& customer) const;
    struct Share {
        // All that was charged as it was heard, without what was assumed: only ever more while partners are known.
        double passed = 0;
        double rate = 0, queued = 0;
    };
    Share of_all(const std::string& customer) const;                       // all partners together
    Share of(const std::string& from, const std::string& customer) const;  // one partner's part of that
    void forget(const std::string& from);  // said it left, all released told
    bool heard_since(const std::string& from, pith::Micros t) const;
    bool knows(const std::string& from, std::uint64_t inc) const {
        const auto i = p_.find(from);
        return i != p_.end() && i->second.inc >= inc;
    }
    std::size_t partners() const { return p_.size(); }
    // Partners' entries that were read so far to answer the questions above: what they cost.
    std::uint64_t entries_read() const { return entries_read_; }

  private:
    struct One {
        std::uint64_t released = 0, rate_milli = 0, queued = 0;
        double assumed = 0;
        double passed = 0;  // all that was heard of
        double rate() const { return static_cast<double>(rate_milli) / 1000; }
        bool known = false, hot = false;
        pith::Micros named = -pith::kNever;
        double gap = 0;  // seconds of silence that its next count covers, where that was long
    };
    struct Partner {
        std::uint64_t inc = 0, seq = 0;
        bool whole = false;  // this life of it was known from its beginning
        pith::Micros heard = 0, ticked = 0;
        std::map<std::string, One> by;
    };
    // Kept as counts come, since all partners are asked for together far more often than one of them speaks. What is
    // told is whole numbers, so that nothing is left of a partner that goes.
    struct Total {
        std::uint64_t rate_milli = 0, queued = 0;
        double told = 0, passed = 0, assumed = 0;
    };
    void tell(Total* total, One* one, std::uint64_t rate_milli, std::uint64_t queued);
    void unfold(const weft::Counts& c, const Partner& p, std::vector<weft::CountRec>* v) const;

    Times t_;
    mutable std::uint64_t entries_read_ = 0;
    std::unordered_map<std::uint32_t, std::string> names_;
    std::map<std::string, Partner> p_;
    std::map<std::string, Total> totals_;  // by customer
    pith::Micros capped_until_ = -pith::kNever;
};

}  // namespace tide
