#pragma once
// The numbered feed of changes, and one that follows it (docs/design.md 5.4).
#include <deque>
#include <map>
#include <string>

#include "pith/time.hpp"
#include "weft/messages.hpp"

namespace vault {

enum ChangeKind : std::uint8_t { kBundle = 1, kServerMark = 2 };

class Feed {
  public:
    explicit Feed(std::uint64_t id) : id_(id) {}
    void add(weft::ChangeRec c);
    // A follower asked from a place on; one too far behind, or of another feed, gets a digest.
    weft::FeedSaid answer(const weft::FeedAsk& q) const;
    weft::FeedSaid news() const;  // the last change alone, for those who follow
    std::uint64_t place() const { return place_; }
    // The founded electorate, told with every answer (docs/design.md 5.7).
    void electors(std::vector<weft::ElectorRec> v) { electors_ = std::move(v); }

  private:
    std::vector<weft::ElectorRec> electors_;
    std::uint64_t id_, place_ = 0;
    std::deque<weft::ChangeRec> last_;
    std::map<std::string, weft::ChangeRec> digest_;  // newest of each thing
};

// Follows each keeper's feed; acts on the highest commit heard, never back (docs/design.md 5.4).
class Follower {
  public:
    struct Track {
        std::string address;
        std::uint64_t feed = 0, place = 0;
        bool digested = false, live = true;
        pith::Micros next = 0;
    };
    Follower(std::vector<std::pair<std::string, std::string>> keepers, pith::Micros period);
    void tick(pith::Micros now, std::uint64_t commit, weft::Out* out);
    // Gives the changes that are new to us, in order.
    std::vector<weft::ChangeRec> hear(pith::Micros now, const weft::Envelope& e, weft::Out* out);
    // No keepers were listed: those that live now, by name, with their addresses (docs/design.md 5.7).
    void roster(const std::map<std::string, std::string>& live);
    const std::vector<weft::ElectorRec>& electors() const { return electors_; }
    void readdress(const std::string& name, const std::string& address);
    void hurry(pith::Micros now);  // somebody knows a higher commit
    std::size_t digested() const;
    // Digests from a majority of the keepers that are listed, or of the electorate.
    bool ready() const;
    bool is_elector(const std::string& name) const;

  private:
    bool discovered_ = false;
    std::vector<weft::ElectorRec> electors_;
    std::map<std::string, Track> tracks_;
    pith::Micros period_;
    std::uint64_t commit_ = 0;
};

}  // namespace vault
