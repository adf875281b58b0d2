#pragma once
// Counts in a large fleet go through a few proxies, the aggregators, instead of from each to all
// (docs/design.md 7.8). They are the proxies beside a control node, whose machines have the wide links. Every
// proxy tells its counts to all of them; each proxy is told the sums of all others by two, of its own zone
// first, so that either may be lost.
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "knell/knell.hpp"
#include "pith/time.hpp"
#include "tide/basin.hpp"
#include "tide/tally.hpp"
#include "weft/messages.hpp"

namespace span {

// Who aggregates, as far as this proxy knows.
class Aggregators {
  public:
    static constexpr std::size_t kEach = 2;  // aggregators that tell a proxy
    // `wanted`: the fleet is large. Looks only where the membership has changed.
    void look(const knell::Knell& members, bool wanted);
    bool in_use() const { return !names_.empty(); }
    bool is_one(const std::string& name) const { return names_.count(name) != 0; }
    const std::set<std::string>& names() const { return names_; }
    // Those that tell this proxy the sums.
    std::vector<std::string> of(const std::string& proxy, const std::string& zone) const;

  private:
    std::set<std::string> names_;
    std::map<std::string, std::string> zones_;  // by name
    std::uint64_t table_ = 0;
    bool wanted_ = false;
};

// What an aggregator tells those that it serves, and when: customers whose sums moved by what matters for
// their need at once, the others with the next keep-alive.
class SumsTeller {
  public:
    struct Tuning {
        pith::Micros soonest = 50 * pith::kMilli;   // between two words where much has changed
        pith::Micros usual = 100 * pith::kMilli;    // where anything has
        pith::Micros slowest = 400 * pith::kMilli;  // a change that matters little waits so long
        pith::Micros whole = 2 * pith::kSecond;     // every customer, lest a lost word cost much
    };
    struct Sight {  // how much of the fleet the aggregator has in sight (docs/design.md 6.5)
        std::uint32_t seen = 0, all = 0, near = 0, roster = 0;
    };
    explicit SumsTeller(const Tuning& tuning) : tuning_(tuning) {}
    // Customers to tell now; `changed` are those with recent traffic, `every` all, asked for only where
    // needed.
    bool due(pith::Micros now, const std::vector<tide::Count>& recent, const tide::Tally& tally);
    const std::vector<tide::Count>& chosen() const { return chosen_; }
    bool wants_every(pith::Micros now) const { return now >= next_whole_; }
    void told_every(pith::Micros now) { next_whole_ = now + tuning_.whole; }
    // The word for one proxy: sums over all others. `sequence` rises with each word of this node.
    static weft::FleetSums word(const std::string& proxy, const std::vector<tide::Count>& customers,
                                const tide::Tally& tally, const Sight& sight, std::uint64_t sequence);

  private:
    struct Told {
        double total = 0;
        pith::Micros at = -pith::kNever;
    };
    Tuning tuning_;
    pith::Micros last_ = -pith::kNever, next_whole_ = 0;
    std::map<std::string, Told> told_;
    std::vector<tide::Count> chosen_;
};

// Words of several aggregators, brought to one scale: each counts from its own beginning, and the one that
// knows most leads. Gives counts as of one partner that stands for all others.
class SumsReader {
  public:
    // False where the word is older than one that was heard.
    bool hear(const std::string& aggregator, std::uint64_t life, const weft::FleetSums& sums,
              weft::Counts* counts);
    // The best sight among aggregators heard since `since`; all zero where there is none.
    SumsTeller::Sight sight(pith::Micros since) const;
    void heard(pith::Micros now, const std::string& aggregator, const weft::FleetSums& sums);

  private:
    struct Customer {
        std::uint32_t raw = 0;      // as told last
        std::uint64_t aligned = 0;  // on the common scale
    };
    struct Aggregator {
        std::uint64_t life = 0, sequence = 0;
        std::map<std::uint32_t, Customer> customers;  // by hash of the name
        pith::Micros heard = -pith::kNever;
        SumsTeller::Sight sight;
    };
    std::map<std::string, Aggregator> aggregators_;
    std::map<std::uint32_t, std::uint64_t> totals_;
    std::uint64_t sequence_ = 0;
};

}  // namespace span
