#pragma once
// The numbered feed of changes that control nodes tell, and one that follows it (docs/design.md 5.4).
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "consensus/content.hpp"
#include "pith/time.hpp"
#include "weft/messages.hpp"

namespace consensus {

enum ChangeKind : std::uint8_t { kBundle = 1, kServerMark = 2 };

// The changes that one control node tells. Of bundles it holds numbers and hashes; texts stay in the
// ContentStore.
class Feed {
  public:
    // `id`: drawn anew at each start of the process.
    explicit Feed(std::uint64_t id) : id_(id) {}
    // A bundle was decided: it takes the place of any earlier one. A number that is not higher is passed
    // over.
    void bundle(std::uint64_t number, const std::string& hash);
    void mark(weft::ChangeRec change);
    // A follower asked from a place on; one too far behind, or of another feed, gets a digest. The newest
    // bundle goes along, wherever its place is, as long as the asker holds a lower number: as a difference to
    // what it holds where that is known here, else whole. Its text is empty where it is not here.
    weft::FeedSaid answer(const weft::FeedAsk& ask, ContentStore* contents) const;
    // The last change alone, for those who follow; a bundle as a difference to the one before it.
    weft::FeedSaid news(ContentStore* contents) const;
    std::uint64_t place() const { return place_; }

  private:
    void add(const std::string& key, weft::ChangeRec change);
    weft::FeedSaid head() const;
    bool follows(const weft::FeedAsk& ask) const;
    weft::ChangeRec told(const weft::ChangeRec& change, const std::string& base,
                         ContentStore* contents) const;

    std::uint64_t id_, place_ = 0, number_ = 0;
    std::string before_;                             // hash of the bundle before the newest
    std::deque<weft::ChangeRec> last_;               // of a superseded bundle only the place is left
    std::map<std::string, weft::ChangeRec> digest_;  // newest of each thing
};

// Follows the control nodes' feeds. A starting node is ready only after one of them has confirmed its answer
// with a majority of the voters (docs/control.md, "Serving").
class Follower {
  public:
    struct Track {
        std::string address;
        std::uint64_t feed = 0, place = 0;
        bool digested = false, live = true;
        pith::Micros next = 0, next_whole = 0, heard = 0;
    };
    // `nonce`: another one at each start of the process, so that no answer to a former life confirms
    // anything.
    Follower(pith::Micros period, std::uint64_t nonce) : period_(period), nonce_(nonce) {}
    // `commit`, `hash`: the bundle that is held.
    void tick(pith::Micros now, std::uint64_t commit, const std::string& hash, weft::Out* out);
    // Gives the changes that are new to us, in order, and a bundle above the one held wherever its place is.
    std::vector<weft::ChangeRec> hear(pith::Micros now, const weft::Envelope& envelope, weft::Out* out);
    // Control nodes that live now, by name, with their addresses. Of others those that were heard before are
    // still asked, seldom: after a cut the word that they are down may be ours alone.
    void roster(const std::map<std::string, std::string>& live);
    void hurry(pith::Micros now);      // somebody knows a higher bundle
    void hurry_one(pith::Micros now);  // the same, of one control node, each in its turn
    // The text of a bundle could not be unpacked: it is asked for again, whole, of who told it. Of one node
    // at most once a period, and of all together four times.
    void ask_whole(pith::Micros now, const std::string& node, weft::Out* out);
    bool ready() const { return confirmed_; }
    // The number that the confirmed answer named: nothing lower may be acted on by a node that calls itself
    // ready.
    std::uint64_t confirmed_number() const { return confirmed_number_; }

  private:
    weft::FeedAsk ask_from(const Track& track) const;
    pith::Micros pause(const Track& track) const;
    void forget_down();

    std::map<std::string, Track> tracks_;
    pith::Micros period_, next_whole_ = 0;
    std::uint64_t nonce_, commit_ = 0, confirmed_number_ = 0;
    std::string hash_, turn_;  // turn_: whom hurry_one() took last
    bool confirmed_ = false;
};

}  // namespace consensus
