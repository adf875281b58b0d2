#pragma once
// Keeps this proxy's listing of servers as new as the platform's, together with the other proxies
// (docs/design.md 7.2).
//
// One proxy, the first in the duty's order, asks the platform each period and tells all what changed, or that
// nothing did. Every proxy knows how old its listing is. Where it hears of no newer asking it asks by itself,
// each a little later than the one before it in the order: so the loss of any one node, at any moment, costs
// a fraction of a period.
#include <map>
#include <string>
#include <vector>

#include "knell/knell.hpp"
#include "pith/time.hpp"
#include "span/pool.hpp"
#include "weft/messages.hpp"

namespace span {

// Servers that were just learnt to leave, for operators' logs.
struct LeavingHeard {
    std::vector<std::string> instances;
    std::string from;           // who asked the platform
    pith::Micros held_for = 0;  // since the platform had last said what was held until then
    std::uint64_t epoch = 0, version = 0;
};

class ListingDuty {
  public:
    struct Tuning {
        pith::Micros period = pith::kSecond;  // between two questions of the first in the order
        // In a large fleet a listing takes long to read and to reach all; what leaves is to be known within 2
        // s all the same.
        pith::Micros period_large = 600 * pith::kMilli;
        pith::Micros grace = 150 * pith::kMilli;  // beyond the period, before the second in the order asks
        pith::Micros step = 100 * pith::kMilli;   // from one to the next in the order
        std::size_t steps = 8;                    // behind so many all ask at once, and seldom
        pith::Micros ask_again = 300 * pith::kMilli;  // for a listing that others have
        pith::Micros ask_again_large = 600 * pith::kMilli;
        pith::Micros transfer = 50 * pith::kMilli;  // what was told may be on its way so long
        pith::Micros transfer_large = 400 * pith::kMilli;
        pith::Micros confirm_after =
            200 * pith::kMilli;  // a changed listing was told: who missed it asks for it
        pith::Micros confirm_after_large = 500 * pith::kMilli;
        // A node of a large fleet that is not beside a control node asks for itself alone, where it heard
        // nothing so long.
        pith::Micros alone = 3 * pith::kSecond;
        pith::Micros step_alone = 20 * pith::kMilli;
        pith::Micros without =
            pith::kSecond;  // between questions to control nodes, while there is no listing
    };
    ListingDuty(const Tuning& tuning, knell::Knell* members, Pool* pool)
        : tuning_(tuning), members_(members), pool_(pool) {}

    struct Surroundings {
        bool large_fleet = false;
        bool may_ask = false;                              // this proxy knows the control side
        std::map<std::string, std::string> control_nodes;  // addresses by name
    };
    // True where the platform is to be asked now; then listed() or failed() follows.
    bool tick(pith::Micros now, const Surroundings& around, weft::Out* out);
    void listed(pith::Micros now, std::vector<weft::ServerRec> servers, weft::Out* out);
    void failed(pith::Micros now, pith::Micros retry_after);

    // False where it is refused as older than what is known.
    bool hear(pith::Micros now, const std::string& from, const weft::Listing& told);
    void hear(pith::Micros now, const std::string& from, const weft::ListingConfirmed& confirmed);
    void hear(const std::string& from, const weft::ListingAsk& ask, weft::Out* out) const;

    LeavingHeard leaving_news();  // since the last call

    bool known() const { return listing_.epoch != 0; }
    const weft::Listing& newest() const { return listing_; }
    // How long ago the platform said what is held, as far as is known.
    pith::Micros age(pith::Micros now) const { return now - confirmed_at_; }
    pith::Micros confirmed_at() const { return confirmed_at_; }

  private:
    struct Label {
        std::uint64_t epoch = 0;
        std::string holder;
        std::uint64_t version = 0;
        bool operator<(const Label& other) const;
    };
    Label held() const { return {listing_.epoch, listing_.holder, listing_.version}; }
    std::size_t rank() const;  // of this proxy in the duty's order
    bool due(pith::Micros now) const;
    bool beside_control_node(const std::string& address) const;
    bool tells_others() const;
    void seek(pith::Micros now, const Surroundings& around, weft::Out* out);
    void take(pith::Micros now, const weft::Listing& listing);
    void note_leaving(pith::Micros now, const weft::Listing& newest);
    void tell(const weft::Msg& message, bool control_nodes_too, weft::Out* out) const;
    void confirm(weft::Out* out) const;
    static bool same(const weft::ServerRec& a, const weft::ServerRec& b);

    Tuning tuning_;
    knell::Knell* members_;
    Pool* pool_;
    weft::Listing listing_;
    pith::Micros confirmed_at_ = -pith::kNever;
    pith::Micros could_ask_since_ = -pith::kNever;  // since when what is held could have been confirmed
    bool large_fleet_ = false;
    // The question to the platform that is under way.
    bool asking_ = false;
    pith::Micros asked_at_ = 0, next_question_ = 0;
    Label held_as_asked_;
    // What others hold that is newer, and who said so.
    Label wanted_;
    pith::Micros wanted_at_ = -pith::kNever;  // when it was last said to be as the platform has it
    std::string wanted_from_;
    pith::Micros next_seek_ = 0, next_without_ = 0;
    bool seek_elsewhere_ = false;
    pith::Micros confirm_due_ = pith::kNever;
    LeavingHeard leaving_heard_;
};

}  // namespace span
