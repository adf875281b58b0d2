#pragma once
// What must never happen, watched from outside: callers, servers, operators and nodes as they truly are,
// never the gateway's own word for it (docs/proof.md).
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pith/time.hpp"
#include "weft/messages.hpp"

namespace loom {

using pith::Micros;

// A bundle as its operator wrote it: the truth that visits and allowances are judged by.
struct Word {
    std::uint64_t number = 0;
    std::map<std::string, double> allowance;  // by customer
    std::map<std::string, double> burst;      // where there is one
    std::set<std::string> keys;               // customers that have a key
};

// Most that a scenario may turn away wrongfully, of 10000 visits offered (docs/proof.md).
struct Bound {
    double seen = 2, cut = 2;  // on nodes that see most of the fleet; on those that do not
};

class Checks {
  public:
    // Truth as it happens.
    void word(const std::string& hash, const Word& w) { words_[hash] = w; }
    void handed(Micros t, const std::string& node, const std::string& hash, const std::string& customer,
                const std::string& service, bool retry);
    // A server did the work; `gave`: its answer was a success and left it whole.
    void ran(const std::string& try_id, bool write, bool gave);
    // What a caller was told; `of`: the visit that the answer names, where a server gave one.
    void told(const std::string& try_id, bool success, bool not_run, const std::string& of);
    void offered(Micros t, const std::string& customer, bool proper);
    void waited(Micros w) { waits_.push_back(w); }  // from a proper visit's coming to its first hand-over
    // No machine took the visit, or the machine died with it: the caller had no answer.
    void unserved(Micros t, bool proper);
    // `why` is the kind; `where` how the node stood: whole, share, floor, or frozen meanwhile.
    void refused(Micros t, const std::string& customer, const std::string& why, const std::string& where,
                 bool proper);
    void answered(Micros took) { took_.push_back(took); }
    void acted(Micros t, const std::string& node, std::uint64_t life, std::uint64_t number,
               const std::string& hash);
    void died(const std::string& node) { acts.erase(node); }
    void acked(Micros t, std::uint64_t number, const std::string& hash);
    // A control node knows this state as decided: one of a revision, and never back in one life.
    void decided(Micros t, const std::string& node, std::uint64_t life, const weft::ControlState& state);
    // A keeper's disk holds these as the founded electorate.
    void elected(Micros t, const std::string& keeper, const std::set<std::string>& members);
    const std::set<std::string>& electorate() const { return electorate_; }
    void to_leaving(Micros t, Micros known_since, const std::string& node = "");
    void fail(const std::string& rule, const std::string& what);

    // At the end.
    void windows(const Bound& b);  // worst 5 s of each customer, worst 10 s of each service, refusals
    // What one perfect gate over the same visits would have done: a queue for each customer, a pool of an
    // eighth of a second, no visit left waiting longer than `most`.
    void reference(Micros most);
    const std::map<std::string, std::vector<std::string>>& faults() const { return faults_; }

    struct Sums {
        std::uint64_t offered = 0, handed = 0, well = 0, failed = 0, proper_refused = 0, cut_refused = 0,
                      over_by_chance = 0, unknown = 0, unserved = 0;
        double least_room = 1e9;  // visits that the worst 5 s had left of the bound
        double worst5 = 0;        // released in the worst 5 s, over what was in force then
        double retry10 = 0;       // retries over a fifth of the traffic, in the worst 10 s (visits)
        std::string worst5_of;
        Micros p50 = 0, p99 = 0, wait99 = 0;
        std::uint64_t ref_refused = 0, ref_late = 0;  // by the perfect gate
        Micros ref99 = 0;
    };
    Sums sums() const;
    Micros latest_to_leaving = 0;  // the latest send to a server after the listing showed that it leaves
    std::map<std::string, std::uint64_t> refusals;  // all, by kind
    std::map<std::string, std::uint64_t> wrongful;  // proper ones, by kind and standing
    std::uint64_t highest_acked = 0;
    std::map<std::string, std::uint64_t> acts;  // node -> number acted on in this life
    std::map<std::string, double> worst_by;
    std::uint64_t late_refused = 0, late_offered = 0;  // proper ones, after quiet_from
    double window_slack = 1;           // for the rounding of the window's end, or what operators allow
    Micros quiet_from = pith::kNever;  // after it proper visits must be served

  private:
    struct Span {  // while a word is in force
        Micros from, to;
        std::string hash;
    };
    std::vector<Span> spans() const;
    std::vector<double> in_force(const std::vector<Span>& sp, Micros t, const std::string& customer) const;
    double most_in_force(const std::vector<Span>& sp, Micros t, const std::string& customer) const;
    void allowance_windows();
    void retry_windows();

    std::map<std::string, Word> words_;
    std::map<std::uint64_t, std::string> state_of_;                               // by revision
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> revision_of_;  // node -> life, revision
    std::set<std::string> electorate_;                             // the first that was ever founded
    std::map<std::string, Micros> first_acted_;                    // hash -> when
    std::map<std::uint64_t, Micros> acked_at_;                     // number -> when
    std::map<std::string, std::vector<Micros>> handed_, offered_;  // by customer
    std::map<std::string, std::vector<std::pair<Micros, bool>>> service_;
    std::map<std::string, int> ran_;
    std::set<std::string> not_run_, gave_, loud_;  // loud_: customers that did not keep to their allowance
    std::map<std::uint64_t, std::string> hashes_;
    std::map<std::string, std::uint64_t> life_;
    std::map<std::string, std::vector<std::string>> faults_;
    std::vector<Micros> took_, waits_;
    Sums s_;
};

}  // namespace loom
