#pragma once
/// Keeps this proxy's listing of servers as new as the platform's, together with the other proxies
/// (docs/design.md 7.2).
///
/// One proxy, the first in the duty's order, begins a question to the platform each period, whether the last
/// one is answered or not, and tells all a digest: which listing the platform showed, how long ago, and which
/// servers were found to leave of late. The listing itself follows as what changed; what leaves is told as
/// each page is read. Every proxy knows how old its knowledge is, from when the question began that it is of.
/// Where it hears nothing it asks a few others for their digest; where its knowledge grows too old it asks
/// the platform, each proxy a little later than the one before it in the order: so the loss of any one node,
/// or of any one frame, costs a fraction of a period, and so does a node that is slow to ask. Times are
/// monotonic microseconds.
#include <map>
#include <string>
#include <vector>

#include "knell/knell.hpp"
#include "pith/time.hpp"
#include "span/frame_delay.hpp"
#include "span/listing_changes.hpp"
#include "span/pool.hpp"
#include "span/withdrawals.hpp"
#include "weft/messages.hpp"

namespace span {

/// A question to the platform, named for the whole fleet.
struct PlatformQuestion {
    std::string asked_by;
    std::uint64_t life = 0, number = 0;
};

/// Which questions' answers are known here. How long ago one was asked is only estimated, a little too young
/// with each node that passes it on; so what counts as newer is told by the question, never by the estimate.
class KnownQuestions {
  public:
    /// True where this one is newer than all that are known of who asked it.
    bool add(const PlatformQuestion& question);

  private:
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> newest_;  // by who asked: life, number
};

/// Servers that were just learnt to leave, for operators' logs.
struct LeavingHeard {
    std::vector<std::string> instances;
    std::string from;           ///< who told it
    pith::Micros held_for = 0;  ///< since the platform had last been asked, as far as was known until then
    ListingLabel label;
};

class ListingDuty {
  public:
    struct Tuning {
        /// Between the beginnings of two questions of the first in the order: three tenths of the time in
        /// which what leaves must be known.
        pith::Micros period = 600 * pith::kMilli;
        std::size_t most_questions = 3;           ///< of one node that are under way
        pith::Micros grace = 150 * pith::kMilli;  ///< beyond the period, before the second in the order asks
        pith::Micros step = 100 * pith::kMilli;   ///< from one to the next in the order
        /// The same in a large fleet. Its listing has many pages, and the platform paces all calls together:
        /// who asks beside another makes both slow, and so still others ask.
        pith::Micros grace_large = 300 * pith::kMilli, step_large = 150 * pith::kMilli;
        std::size_t steps = 8;  ///< behind so many all ask at once, and seldom
        /// Of an answer that took longer only what leaves is taken.
        pith::Micros stale = 1500 * pith::kMilli;
        pith::Micros digest_again = 250 * pith::kMilli;  ///< a digest that told of a change is told once more
        pith::Micros digest_grace = 300 * pith::kMilli;  ///< beyond the period, before a digest is asked for
        pith::Micros digest_each = 150 * pith::kMilli;   ///< between asking two others for it
        pith::Micros transfer = 100 * pith::kMilli;      ///< what was told may be on its way so long
        pith::Micros ask_again = 300 * pith::kMilli;     ///< for a listing that others have
        pith::Micros ask_again_large = 600 * pith::kMilli;
        /// A node of a large fleet that is not beside a control node asks for itself alone, where it heard
        /// nothing so long.
        pith::Micros alone = 3 * pith::kSecond;
        pith::Micros step_alone = 20 * pith::kMilli;
        /// Between questions to control nodes, while there is no listing.
        pith::Micros without = pith::kSecond;
        // Mutations of tests: digests say nothing of servers that leave; how late a digest comes is not
        // looked at; the period runs from an answer, with one question at a time.
        bool tell_withdrawn = true, late_words_count_as_new = false, count_from_answers = false;

        /// For a deployment in which a server that leaves must be known within `bound`. The defaults are for
        /// two seconds or more; a shorter bound makes all of this quicker, down to a quarter.
        static Tuning within(pith::Micros bound);
    };
    ListingDuty(const Tuning& tuning, knell::Knell* members, Pool* pool)
        : tuning_(tuning), members_(members), pool_(pool) {}

    struct Surroundings {
        bool large_fleet = false;
        bool may_ask = false;                              ///< this proxy knows the control side
        std::map<std::string, std::string> control_nodes;  ///< addresses by name
    };
    /// The number of a question that the platform is to be asked now; then listed() or failed() follows. 0:
    /// none.
    std::uint64_t tick(pith::Micros now, const Surroundings& around, weft::Out* out);
    /// A page of an answer that is still being read: what leaves is known, and told, at once.
    void page_read(pith::Micros now, const std::vector<weft::ServerRec>& servers, weft::Out* out);
    void listed(pith::Micros now, std::uint64_t question, std::vector<weft::ServerRec> servers,
                weft::Out* out);
    void failed(pith::Micros now, std::uint64_t question, pith::Micros retry_after);

    /// False where it is refused as older than what is known.
    bool hear(pith::Micros now, const std::string& from, const weft::Listing& told);
    bool hear(pith::Micros now, const std::string& from, const weft::ListingChange& change);
    void hear(pith::Micros now, const std::string& from, std::uint64_t life, const weft::ListingDigest& told,
              weft::Out* out);
    void hear(const std::string& from, const weft::ListingAsk& ask, weft::Out* out) const;
    void hear(pith::Micros now, const std::string& from, const weft::ListingDigestAsk& ask,
              weft::Out* out) const;

    LeavingHeard leaving_news();  ///< since the last call

    bool known() const { return listing_.epoch != 0; }
    const weft::Listing& newest() const { return listing_; }
    /// How long ago the platform was asked what is known here of servers that leave.
    pith::Micros age(pith::Micros now) const { return now - known_at_; }
    pith::Micros known_at() const { return known_at_; }

  private:
    struct Question {
        pith::Micros asked_at = 0;
        ListingLabel held;  // as it was asked
    };
    ListingLabel held() const { return label_of(listing_); }
    ListingLabel newest_label() const { return held() < wanted_ ? wanted_ : held(); }
    bool question_may_begin(pith::Micros now) const;
    std::size_t rank() const;  // of this proxy in the duty's order
    bool due(pith::Micros now) const;
    bool beside_control_node(const std::string& address) const;
    bool tells_others() const;
    std::vector<std::string> tellers() const;
    void seek(pith::Micros now, const Surroundings& around, weft::Out* out);
    void ask_for_digest(pith::Micros now, weft::Out* out);
    /// `asked_at`: when the question began that showed it; -kNever where that is not known.
    void take(pith::Micros now, const std::string& from, const weft::Listing& listing, pith::Micros asked_at);
    bool let_return(pith::Micros asked_at);
    void fill_pool(pith::Micros now);
    void mark_withdrawn(pith::Micros asked_at, std::vector<weft::ServerRec>* servers) const;
    void taken_from(pith::Micros now, const std::string& from);
    void withdraw(pith::Micros now, const std::string& from, const ListingLabel& label,
                  const std::vector<std::uint64_t>& servers);
    bool confirm(pith::Micros asked_at, const PlatformQuestion& question);
    void tell_change(pith::Micros now, const weft::Listing& before, weft::Out* out);
    void tell_digest(pith::Micros now, weft::Out* out) const;
    weft::ListingDigest digest(pith::Micros now) const;
    std::vector<std::uint64_t> told_of(pith::Micros now) const;  // withdrawn servers
    void note_leaving(pith::Micros now, const std::string& from, const ListingLabel& label,
                      const std::vector<std::string>& instances);

    Tuning tuning_;
    knell::Knell* members_;
    Pool* pool_;
    weft::Listing listing_;
    ListingHistory history_;
    Withdrawals withdrawals_;
    FrameDelay delay_;
    pith::Micros confirmed_at_ = -pith::kNever;  // when the platform was asked that showed what is held
    pith::Micros known_at_ = -pith::kNever;      // the same for what leaves, of which digests tell earlier
    pith::Micros heard_at_ = -pith::kNever;      // when a word of a newer question was sent last
    pith::Micros begun_at_ = -pith::kNever;      // when the newest question began whose answer was heard of
    KnownQuestions known_questions_;
    PlatformQuestion known_by_;                     // the question that known_at_ is of
    pith::Micros could_ask_since_ = -pith::kNever;  // since when what is held could have been confirmed
    bool large_fleet_ = false;
    // Questions to the platform that are under way, by number.
    std::map<std::uint64_t, Question> questions_;
    std::uint64_t asked_ = 0, answered_ = 0;
    pith::Micros next_question_ = 0;
    // What others hold that is newer, and who said so.
    ListingLabel wanted_;
    pith::Micros wanted_at_ = -pith::kNever;  // when the platform was asked that showed it
    PlatformQuestion wanted_by_;
    std::string wanted_from_;
    pith::Micros next_seek_ = 0, next_without_ = 0, next_digest_ask_ = 0;
    std::size_t digest_asks_ = 0;
    bool seek_elsewhere_ = false;
    pith::Micros digest_due_ = pith::kNever;
    LeavingHeard leaving_heard_;
};

}  // namespace span
