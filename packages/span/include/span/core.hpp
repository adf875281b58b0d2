#pragma once
// A proxy without sockets or clock: membership, feed, tally, duties together (docs/design.md 7).
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "consensus/content.hpp"
#include "consensus/feed.hpp"
#include "creed/bundle.hpp"
#include "knell/knell.hpp"
#include "span/aggregation.hpp"
#include "span/counts_relay.hpp"
#include "span/listing_duty.hpp"
#include "span/peer_sight.hpp"
#include "span/pool.hpp"
#include "tide/basin.hpp"
#include "tide/worst.hpp"

namespace span {

struct CoreTuning {
    pith::Micros counts_every = 100 * pith::kMilli;  // where something changed
    pith::Micros counts_soon = 25 * pith::kMilli;    // where untold releases are much of the error budget
    // Where the operators' bound has a tolerance, customers are told of by need, and each that changed so
    // often:
    pith::Micros told_latest = pith::kSecond;
    pith::Micros keep_each = 12 * pith::kMilli;  // keep-alives: a node's cost stays as the fleet grows
    std::size_t large = 24;  // proxies; above it a node tells less, and knows less of what others do
    pith::Micros load_every = 50 * pith::kMilli;
    double much = 0.02;                             // of a second's allowance
    pith::Micros nap = 100 * pith::kMilli;          // between ticks where nobody waits and all is told
    pith::Micros counts_slow = 400 * pith::kMilli;  // where nothing did
    pith::Micros pull_every = 300 * pith::kMilli;   // a bundle asked of one that acts on it
    pith::Micros pull_wait = 1000 * pith::kMilli;   // an answer that did not come by then is lost
    pith::Micros behind_most = 10 * pith::kSecond;  // a higher number that was heard counts so long
    pith::Micros feed_every = pith::kSecond;
    pith::Micros in_sight = 1000 * pith::kMilli;  // a proxy is, if it told counts so lately
    pith::Micros keeper_in_sight = 2500 * pith::kMilli;
    pith::Micros settle = 1500 * pith::kMilli;  // after its digests a node keeps to its share so long
    pith::Micros stall = 1000 * pith::kMilli;   // between two ticks of ours: we stood still
    pith::Micros wake = 300 * pith::kMilli;     // then we keep to our share so long
    pith::Micros permit = 900 * pith::kMilli;   // without a majority in sight, and then the floor
    ListingDuty::Tuning listing{};
    CountsRelay::Tuning relay{};
    SumsTeller::Tuning sums{};
    // Where aggregators pass counts on (docs/design.md 7.8): the keep-alive and the least between two words grow with the
    // fleet, as an aggregator hears all; every customer is told so often.
    bool aggregate = true;
    pith::Micros keep_each_aggregated = 3 * pith::kMilli;
    pith::Micros counts_each_aggregated = pith::kMilli;
    pith::Micros much_aggregated = 50 * pith::kMilli;
    pith::Micros whole_aggregated = 5 * pith::kSecond;
    // A proxy that was silent for so many keep-alives is asked for of others (docs/design.md 6.5).
    double relay_after = 1.25;
    pith::Micros probe_every = 3 * pith::kSecond;  // a server that nobody's visit showed to live
    pith::Micros well_every = pith::kSecond;
    tide::Tally::Times tally{150 * pith::kMilli, 1200 * pith::kMilli, 2200 * pith::kMilli};
};

// What the daemon (or loom) has to do besides sending.
struct Todo {
    weft::Out out;
    tide::Left left;                     // visits that left S without being looked at by advance()
    bool policy = false;                 // a higher bundle stands
    std::uint64_t list = 0;              // ask the platform now, by this number; then listed() or list_failed()
    std::vector<weft::ServerRec> probe;  // probe these; then probed()
};

class ProxyCore {
  public:
    // `k.inc` must be another one at each start: answers to a former life are known by it.
    ProxyCore(knell::Config k, CoreTuning t, tide::Basin* basin, Pool* pool);

    void tick(pith::Micros now, Todo* d);
    void hear(pith::Micros now, const weft::Envelope& e, Todo* d);
    void page_read(pith::Micros now, const std::vector<weft::ServerRec>& servers, Todo* todo) {
        listing_.page_read(now, servers, &todo->out);
    }
    void listed(pith::Micros now, std::uint64_t question, std::vector<weft::ServerRec> v, Todo* d);
    void list_failed(pith::Micros now, std::uint64_t question, pith::Micros retry_after);
    void probed(pith::Micros now, const std::vector<weft::ProbeRec>& v, Todo* d);
    void say(knell::State s, pith::Micros now, Todo* d);

    // A node that sees at most a third of the fleet, or is heard by no more, is better without callers: most
    // of the fleet may be elsewhere (docs/design.md 6.5). It also needs the bundle that a control node
    // confirmed with a majority of the voters since our start, or a higher one, and some listing of servers:
    // without one every visit would be turned away (docs/control.md, "Serving"; docs/design.md 7.2).
    bool ready() const { return started() && !lonely_; }
    bool started() const {
        return follower_.ready() && policy_ != nullptr && policy_->number() >= follower_.confirmed_number() &&
               listing_.known();
    }
    // Somebody acts on, or decided, a higher bundle than we act on: what we would refuse by ours may be
    // allowed by now. Each number counts for `behind_most` after it was first heard, so that a false one
    // shuts nobody out for ever.
    bool behind(pith::Micros now) const { return now < behind_until(); }
    pith::Micros behind_until() const;
    creed::PolicyPtr policy() const { return policy_; }
    const knell::Knell& knell() const { return knell_; }
    tide::Standing standing() const { return standing_; }
    // How long until the next tick is due; shorter once a visit comes (docs/design.md 6.4).
    pith::Micros nap() const { return quiet_ ? t_.nap : t_.counts_soon; }
    pith::Micros soon() const { return t_.counts_soon; }
    const consensus::Follower& follower() const { return follower_; }
    // How counts reach this proxy and leave it, for operators: "direct", "aggregator" or "aggregated".
    const char* counts_way() const;
    pith::Micros listing_age(pith::Micros now) const { return listing_.age(now); }
    LeavingHeard leaving_news() { return listing_.leaving_news(); }
    pith::Micros servers_known_at() const { return listing_.known_at(); }
    std::uint64_t relayed_words() const { return relayed_; }  // counts that were heard through others
    // What is sensed of the others: of each by itself, or of all together as aggregators tell it.
    const tide::Tally& tally() const { return told_sums() ? sums_tally_ : tally_; }
    std::uint64_t tally_entries_read() const { return tally_.entries_read() + sums_tally_.entries_read(); }
    const std::map<std::string, tide::Worst>& worst() const { return worst_; }
    std::uint64_t refused_words() const { return refused_; }

  private:
    enum class Taken { yes, known, unreadable, refused };
    Taken take_bundle(pith::Micros now, const weft::ChangeRec& told, Todo* d);
    void act_on(pith::Micros now, creed::Bundle bundle, Todo* d);
    void hear_feed(pith::Micros now, const weft::Envelope& e, const weft::FeedSaid& said, bool fresh,
                   Todo* d);
    void hear_beat(pith::Micros now, const weft::MemberRec& from, std::uint64_t number, Todo* d);
    void pull(pith::Micros now, const weft::MemberRec& from, Todo* d);
    void hear_pulled(pith::Micros now, const std::string& from, const weft::ChangeRec& told, Todo* d);
    void answer_pull(const std::string& to, const weft::BundleAsk& ask, Todo* d);
    void answer_founding(pith::Micros now, const std::string& to, std::uint64_t nonce, Todo* d) const;
    void note_number(pith::Micros now, std::uint64_t number);
    std::uint64_t number() const { return policy_ == nullptr ? 0 : policy_->number(); }
    void counts(pith::Micros now, const std::vector<tide::Count>& v, Todo* d);
    void cadence();  // of words, and of what follows from it
    void world(pith::Micros now);
    void hear_counts(pith::Micros now, const weft::Envelope& e, const weft::Counts& said, Todo* d);
    void hear_relayed(pith::Micros now, const weft::RelayedCounts& relayed);
    void ask_for_missed(pith::Micros now, Todo* d);
    void tell_load(pith::Micros now, Todo* d);
    // This proxy hears the others through aggregators, and is none itself.
    bool told_sums() const { return aggregators_.in_use() && !aggregators_.is_one(knell_.name()); }
    void tell_sums(pith::Micros now, const std::vector<tide::Count>& recent, Todo* d);
    void hear_sums(pith::Micros now, const weft::Envelope& e, const weft::FleetSums& sums);
    void spread_counts(const weft::Counts& c, Todo* d);
    std::vector<std::string> missed_peers(pith::Micros now) const;
    SumsTeller::Sight sight(pith::Micros now) const;
    void spread(const weft::Msg& m, Todo* d, bool keepers_too);
    std::map<std::string, std::string> control_nodes() const;  // that live, by name, with their addresses

    knell::Knell knell_;
    consensus::Follower follower_;
    CoreTuning t_;
    tide::Basin* basin_;
    Pool* pool_;
    tide::Tally tally_;
    creed::PolicyPtr policy_;
    std::string hash_;                     // of the bundle that we act on, as it is told
    consensus::ContentStore contents_{2};  // texts of that and of the one before: bases of differences
    // Higher numbers that were heard of, and since when (docs/control.md, "Serving").
    std::map<std::uint64_t, pith::Micros> higher_;
    ListingDuty listing_;
    PeerSight sight_;
    CountsRelay counts_relay_;
    Aggregators aggregators_;
    SumsTeller sums_teller_;
    SumsReader sums_reader_;
    tide::Tally sums_tally_;
    pith::Micros next_whole_ = 0;  // counts of every customer, to aggregators
    pith::Micros next_probe_ = 0, next_counts_ = 0, well_told_ = -pith::kNever;
    pith::Micros last_counts_ = -pith::kNever, whole_until_ = -pith::kNever, ticked_ = pith::kNever,
                 settled_ = pith::kNever;
    struct Told {
        std::uint64_t released = 0;
        std::uint32_t queued = 0;
        pith::Micros at = 0;
    };
    std::map<std::string, Told> told_;
    pith::Micros keep_ = 0;  // between keep-alives
    std::size_t fleet_ = 1;
    std::set<std::string> met_;  // peers just heard of, to be told of every customer
    bool all_next_ = true;       // partners that are new need a baseline of every customer
    std::map<std::string, tide::Worst> worst_;
    pith::Micros next_worst_ = 0;
    pith::Micros next_soon_ = 0, next_load_ = 0;
    // A bundle asked of a peer: of whom, until when that counts as under way, and whether its text must come
    // whole.
    std::string pulled_from_;
    pith::Micros next_pull_ = 0, pull_until_ = 0;
    bool pull_whole_ = false, peer_next_ = false;
    std::uint64_t counts_seq_ = 0, refused_ = 0, relayed_ = 0;
    tide::Standing standing_ = tide::Standing::floor;
    bool lonely_ = false, quiet_ = false;
    std::vector<std::string> silent_;           // as told last
};

}  // namespace span
