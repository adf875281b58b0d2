#pragma once
// All that processes say to each other, one table each (docs/design.md 3.2).
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "weft/codec.hpp"

namespace weft {

using U8 = std::uint8_t;
using U32 = std::uint32_t;
using U64 = std::uint64_t;
using Str = std::string;

// -- membership (docs/design.md 4)
#define MEMBER_REC(F) \
    F(Str, name)      \
    F(Str, address)   \
    F(Str, locality) F(Str, role) F(U64, inc) F(U8, state) F(U64, version) F(Str, operator_address)
WEFT_STRUCT(MemberRec, MEMBER_REC)
#define EPOCH_REC(F) F(Str, duty) F(U64, epoch) F(Str, holder)
WEFT_STRUCT(EpochRec, EPOCH_REC)
#define HEARTBEAT(F) \
    F(MemberRec, me) \
    F(U64, table) F(U64, commit) F(U64, list_epoch) F(U64, list_version) F(std::vector<EpochRec>, epochs)
WEFT_STRUCT(Heartbeat, HEARTBEAT)
#define NEWS(F) F(std::vector<MemberRec>, members) F(U8, wants)
WEFT_STRUCT(News, NEWS)

// -- shared tally (docs/design.md 6)
#define COUNT_REC(F) F(Str, customer) F(U64, released) F(U64, rate_milli) F(U32, queued)
WEFT_STRUCT(CountRec, COUNT_REC)
// well: hashes of servers that answered the sender well of late, which need no probe (docs/design.md 7.3)
// silent: partners that the sender has not heard of late, so that they know (docs/design.md 6.5)
// load: requests in flight from the sender to servers where that changed, 24 bits of the server's hash above
// 8 of the number (docs/design.md 7.3)
// silent_brief: `silent` by brief_hash of their names
// brief: the same counts in twelve bytes each, by the hash of the customer's name (BriefCount)
#define COUNTS(F)                                                                          \
    F(U64, seq)                                                                            \
    F(std::vector<CountRec>, counts) F(std::vector<Str>, silent) F(std::vector<U64>, well) \
        F(std::vector<U32>, load) \
        F(Str, brief) F(std::vector<U32>, silent_brief)
WEFT_STRUCT(Counts, COUNTS)
// Requests in flight at servers, told within a zone between counts (docs/design.md 7.3).
#define LOAD(F) F(U64, seq) F(std::vector<U32>, load)
WEFT_STRUCT(Load, LOAD)

// Asks to be told what these peers count, by one that does not hear them itself (docs/design.md 6.5).
#define RELAY_ASK(F) F(std::vector<Str>, peers)
WEFT_STRUCT(RelayAsk, RELAY_ASK)
// What a peer said, passed on: `counts` as it came from `origin` in its life `inc`.
#define RELAYED_COUNTS(F) F(Str, origin) F(U64, inc) F(Counts, counts)
WEFT_STRUCT(RelayedCounts, RELAYED_COUNTS)

// The sums of all proxies but the receiver, as an aggregator knows them (docs/design.md 7.8). `brief`: as in Counts.
// `seen` of `all` nodes are in its sight, `near` of `roster` proxies.
#define FLEET_SUMS(F) F(U64, seq) F(Str, brief) F(U32, seen) F(U32, all) F(U32, near) F(U32, roster)
WEFT_STRUCT(FleetSums, FLEET_SUMS)

// A count as it stands in Counts.brief: what it released is modulo 2^32, and known from the count before.
struct BriefCount {
    U32 customer = 0, released = 0;
    U32 rate_deci = 0, queued = 0;  // at most 65535
};
U32 brief_hash(const Str& customer);
void put_brief(Str* to, const BriefCount& c);
bool get_brief(const Str& from, std::size_t i, BriefCount* c);  // the i-th, false where there is none
// The same counts in parts, one at least, each of which is a datagram as the `brief` of a message.
std::vector<Str> brief_parts(const Str& brief);


// -- control state (docs/control.md)
// A ballot orders attempts to change the control state: by round, then by who proposed it. `life` is drawn anew at each
// start of a process, so that no two attempts ever share a ballot. Round 0 is below every attempt.
#define BALLOT(F) F(U64, round) F(Str, proposer) F(U64, life)
WEFT_STRUCT(Ballot, BALLOT)
// A voter is a node and the identity of its disk, which is made with the folder: an emptied disk is another voter.
#define VOTER(F) F(Str, name) F(Str, disk) F(Str, address)
WEFT_STRUCT(Voter, VOTER)
// A number that was decided, with a fingerprint of its content.
#define DECIDED_NUMBER(F) F(U64, number) F(U64, fingerprint)
WEFT_STRUCT(DecidedNumber, DECIDED_NUMBER)
// The replicated document, without the configuration's text, which `hash` names. While membership changes, `joining` is
// the new set of voters and both sets must agree; otherwise it is empty. `lineage`: of the founding that all states follow. `target`: how many voters there should be.
#define CONTROL_STATE(F)                                                             \
    F(U64, lineage)                                                                  \
    F(U64, revision)                                                                 \
    F(U64, number)                                                                   \
    F(Str, hash) F(std::vector<DecidedNumber>, recent) F(U64, epoch) F(U32, target)  \
        F(std::vector<Voter>, voters) F(std::vector<Voter>, joining)
WEFT_STRUCT(ControlState, CONTROL_STATE)
// Asks for a promise to accept nothing below the ballot; with round 0 only for what was accepted.
#define PREPARE_ASK(F) F(U64, serial) F(Ballot, ballot)
WEFT_STRUCT(PrepareAsk, PREPARE_ASK)
// What the sender's disk holds. `ok`: the promise was given (or none was asked for). `writable`: its disk takes writes.
// `revision`: the newest decided one that the sender knows. `decided_epoch`: of the membership in it.
#define PREPARE_SAID(F)                                                                     \
    F(U64, serial)                                                                          \
    F(U8, ok)                                                                               \
    F(U8, writable) F(Str, disk) F(Ballot, promised) F(Ballot, accepted) F(ControlState, state) F(U64, revision)
WEFT_STRUCT(PrepareSaid, PREPARE_SAID)
// `packed`: the configuration's text, compressed against the content whose hash is `base` (empty: against none); empty
// where the receiver is believed to hold it (docs/control.md).
#define ACCEPT_ASK(F) F(U64, serial) F(Ballot, ballot) F(ControlState, state) F(Str, base) F(Str, packed)
WEFT_STRUCT(AcceptAsk, ACCEPT_ASK)
#define ACCEPT_SAID(F) F(U64, serial) F(U8, ok) F(U8, needs_content) F(Str, disk) F(Ballot, promised)
WEFT_STRUCT(AcceptSaid, ACCEPT_SAID)
// A decided state: who has accepted it under this ballot, or holds its content, knows it whole.
#define DECIDED(F) F(Ballot, ballot) F(ControlState, state)
WEFT_STRUCT(Decided, DECIDED)
// A node tells the revision that it knows as decided; who knows a higher one answers with that state, and who knows less
// asks in turn. Its content travels apart.
#define STATE_ASK(F) F(U64, revision)
WEFT_STRUCT(StateAsk, STATE_ASK)
#define STATE_SAID(F) F(ControlState, state)
WEFT_STRUCT(StateSaid, STATE_SAID)
// The content of one hash, whether decided or not.
#define CONTENT_ASK(F) F(Str, hash) F(Str, held)
WEFT_STRUCT(ContentAsk, CONTENT_ASK)
#define CONTENT_SAID(F) F(Str, hash) F(Str, base) F(Str, packed)
WEFT_STRUCT(ContentSaid, CONTENT_SAID)
// An operator's order, passed on to the node that proposes; `life` and `order` name it for the answer.
#define ORDER_ASK(F) F(U64, life) F(U64, order) F(Str, packed)
WEFT_STRUCT(OrderAsk, ORDER_ASK)
// `outcome`: an OrderOutcome (consensus/control_register.hpp); `standing`: the number that is decided.
#define ORDER_SAID(F) F(U64, life) F(U64, order) F(U8, outcome) F(U64, number) F(Str, hash) F(Str, why) F(U64, standing)
WEFT_STRUCT(OrderSaid, ORDER_SAID)

// -- the first start (docs/control.md): who the first voters are
#define FOUNDING_ASK(F) F(U64, nonce)
WEFT_STRUCT(FoundingAsk, FOUNDING_ASK)
// The founded membership, or the proposal of one, that the sender's disk holds; whether it may take part in a first
// founding; its disk; proposals of its own that it withdrew; control nodes that it knows of.
#define FOUNDING_SAID(F)                                                                           \
    F(U64, nonce)                                                                                  \
    F(Str, founder)                                                                                \
    F(U64, proposal) F(std::vector<Voter>, voters) F(U8, founded) F(U8, first) F(Str, disk)        \
        F(std::vector<U64>, withdrawn) F(std::vector<Str>, nodes)
WEFT_STRUCT(FoundingSaid, FOUNDING_SAID)
#define FOUNDING_PROPOSAL(F) F(U64, id) F(std::vector<Voter>, voters)
WEFT_STRUCT(FoundingProposal, FOUNDING_PROPOSAL)

// -- the feed (docs/design.md 5.4)
// A change of the feed. Of a bundle, `text` is its text compressed against the content whose hash is `base` (empty:
// against none), and empty where the receiver holds it; of a mark it is the mark.
#define CHANGE_REC(F) F(U64, place) F(U8, kind) F(U64, number) F(Str, hash) F(Str, text) F(Str, base)
WEFT_STRUCT(ChangeRec, CHANGE_REC)
// `commit` and `hash`: the bundle that the asker holds. `confirm`: the answer is to be the newest that a majority of the
// voters holds after the question came (docs/control.md); `nonce`, drawn at the asker's start, comes back with it, so that
// no answer to an earlier life is taken.
#define FEED_ASK(F) F(U64, feed) F(U64, place) F(U64, commit) F(Str, hash) F(U8, confirm) F(U64, nonce)
WEFT_STRUCT(FeedAsk, FEED_ASK)
#define FEED_SAID(F) \
    F(U64, feed)     \
    F(U64, place)    \
    F(U8, digest) F(U64, commit) F(std::vector<ChangeRec>, changes) F(U8, confirmed) F(U64, nonce)
WEFT_STRUCT(FeedSaid, FEED_SAID)
// Between proxies: the bundle that the receiver acts on, where that is above `commit`.
#define BUNDLE_ASK(F) F(U64, commit) F(Str, hash)
WEFT_STRUCT(BundleAsk, BUNDLE_ASK)
#define BUNDLE_SAID(F) F(ChangeRec, bundle)
WEFT_STRUCT(BundleSaid, BUNDLE_SAID)

// -- servers (docs/design.md 7)
// slots: requests that it works on at once (0: unsaid, two); cold_us: how much longer it stays slow after its
// start
#define SERVER_REC(F)                                                                            \
    F(Str, address)                                                                              \
    F(Str, service) F(Str, instance) F(Str, locality) F(U8, state) F(U32, slots) F(U64, cold_us) \
        F(Str, version)
WEFT_STRUCT(ServerRec, SERVER_REC)
#define LISTING(F) F(U64, epoch) F(Str, holder) F(U64, version) F(std::vector<ServerRec>, servers)
WEFT_STRUCT(Listing, LISTING)
// What the asker holds. takes_changes: it takes ListingChange for an answer.
#define LISTING_ASK(F) F(U64, epoch) F(U64, version) F(Str, holder) F(U8, takes_changes)
WEFT_STRUCT(ListingAsk, LISTING_ASK)
// What the platform said of the servers when it was asked last, in brief (docs/design.md 7.2): the listing of this label.
// asked_by, asked_life, question: which question to the platform that was, by whom. asked_ago: microseconds since then, as the
// sender left it. sent_at: the sender's monotonic clock, by which a receiver tells how late the digest is. withdrawn:
// server_hash of servers that were found to leave, or to be gone, of late.
#define LISTING_DIGEST(F)                                                                           \
    F(U64, epoch)                                                                                   \
    F(Str, holder)                                                                                  \
    F(U64, version)                                                                                 \
    F(Str, asked_by)                                                                                \
    F(U64, asked_life) F(U64, question) F(U64, asked_ago) F(U64, sent_at) F(std::vector<U64>, withdrawn)
WEFT_STRUCT(ListingDigest, LISTING_DIGEST)
// Asks for the newest digest.
#define LISTING_DIGEST_ASK(F) F(U64, epoch)
WEFT_STRUCT(ListingDigestAsk, LISTING_DIGEST_ASK)
// A listing by what differs from the one before: servers that are new or have changed, and addresses that are gone.
#define LISTING_CHANGE(F)                                                                                   \
    F(U64, base_epoch)                                                                                      \
    F(Str, base_holder)                                                                                     \
    F(U64, base_version)                                                                                    \
    F(U64, epoch) F(Str, holder) F(U64, version) F(std::vector<ServerRec>, changed) F(std::vector<Str>, removed)
WEFT_STRUCT(ListingChange, LISTING_CHANGE)
#define PROBE_REC(F) F(Str, address) F(Str, instance) F(U8, verdict)
WEFT_STRUCT(ProbeRec, PROBE_REC)
#define PROBES(F) F(std::vector<ProbeRec>, probes)
WEFT_STRUCT(Probes, PROBES)

#define WEFT_MESSAGES(X)                                                                            \
    X(1, Heartbeat)                                                                                 \
    X(2, News)                                                                                      \
    X(3, Counts)                                                                                    \
    X(11, FeedAsk)                                                                                  \
    X(12, FeedSaid)                                                                                 \
    X(13, Listing)                                                                                  \
    X(14, ListingAsk)                                                                               \
    X(15, Probes)                                                                                   \
    X(17, Load)                                                                                     \
    X(18, PrepareAsk)                                                                               \
    X(19, PrepareSaid)                                                                              \
    X(20, AcceptAsk)                                                                                \
    X(21, AcceptSaid)                                                                               \
    X(22, Decided)                                                                                  \
    X(23, StateAsk)                                                                                 \
    X(24, StateSaid)                                                                                \
    X(25, ContentAsk)                                                                               \
    X(26, ContentSaid)                                                                              \
    X(27, OrderAsk)                                                                                 \
    X(28, OrderSaid)                                                                                \
    X(29, FoundingAsk)                                                                              \
    X(30, FoundingSaid)                                                                             \
    X(31, FoundingProposal)                                                                         \
    X(32, BundleAsk)                                                                                \
    X(33, BundleSaid)                                                                               \
    X(34, RelayAsk)                                                                                 \
    X(35, RelayedCounts)                                                                            \
    X(36, ListingDigest)                                                                            \
    X(37, FleetSums)                                                                                \
    X(38, ListingDigestAsk)                                                                         \
    X(39, ListingChange)

#define X(t, n) , n
using Msg = std::variant<std::monostate WEFT_MESSAGES(X)>;
#undef X

const char* msg_name(const Msg& m);

// A message with who said it; `inc` and `seq` order what one sender says.
struct Envelope {
    Str from;
    U64 inc = 0;
    U64 seq = 0;
    Msg msg;
};

struct Send {
    Str address;
    Msg msg;
};
using Out = std::vector<Send>;

enum class Fault { none, brief, magic, version, fleet, tag, body, large };
const char* fault_text(Fault f);

Str pack(const Str& fleet, const Str& secret, const Envelope& e);
Fault unpack(const Str& fleet, const Str& secret, std::string_view b, Envelope* e);

}  // namespace weft
