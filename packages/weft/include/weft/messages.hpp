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

// A count as it stands in Counts.brief: what it released is modulo 2^32, and known from the count before.
struct BriefCount {
    U32 customer = 0, released = 0;
    U32 rate_deci = 0, queued = 0;  // at most 65535
};
U32 brief_hash(const Str& customer);
void put_brief(Str* to, const BriefCount& c);
bool get_brief(const Str& from, std::size_t i, BriefCount* c);  // the i-th, false where there is none


// -- operator's word (docs/design.md 5)
#define STAGE_ASK(F) F(U64, op) F(U64, number) F(Str, hash) F(Str, text)
WEFT_STRUCT(StageAsk, STAGE_ASK)
#define STAGE_SAID(F) F(U64, op) F(U64, number) F(U8, ok) F(Str, why) F(U64, commit)
WEFT_STRUCT(StageSaid, STAGE_SAID)
#define COMMIT_ASK(F) F(U64, op) F(U64, number) F(Str, hash) F(Str, text)
WEFT_STRUCT(CommitAsk, COMMIT_ASK)
#define COMMIT_SAID(F) F(U64, op) F(U64, number) F(U8, ok) F(Str, why)
WEFT_STRUCT(CommitSaid, COMMIT_SAID)
#define PROMISE_REC(F) F(U64, number) F(Str, hash)
WEFT_STRUCT(PromiseRec, PROMISE_REC)
#define STATE_ASK(F) F(U64, nonce) F(U64, commit)
WEFT_STRUCT(StateAsk, STATE_ASK)
// From `founder` on (docs/design.md 5.7): the electorate, or the proposal of one, that the sender's disk
// holds; whether it may take part in a first founding; proposals of its own that it withdrew; keepers it
// knows of.
#define ELECTOR_REC(F) F(Str, name) F(Str, address)
WEFT_STRUCT(ElectorRec, ELECTOR_REC)
#define STATE_SAID(F)                                                                                     \
    F(U64, nonce)                                                                                         \
    F(U8, voting)                                                                                         \
    F(U8, empty) F(U64, commit) F(Str, hash) F(Str, text) F(std::vector<PromiseRec>, promises)            \
        F(Str, founder) F(U64, proposal) F(std::vector<ElectorRec>, electors) F(U8, founded) F(U8, first) \
            F(std::vector<U64>, withdrawn) F(std::vector<Str>, keepers)
WEFT_STRUCT(StateSaid, STATE_SAID)
#define PROPOSE(F) F(U64, id) F(std::vector<ElectorRec>, electors)
WEFT_STRUCT(Propose, PROPOSE)

// -- the feed (docs/design.md 5.4)
#define CHANGE_REC(F) F(U64, place) F(U8, kind) F(U64, number) F(Str, hash) F(Str, text)
WEFT_STRUCT(ChangeRec, CHANGE_REC)
#define FEED_ASK(F) F(U64, feed) F(U64, place) F(U64, commit)
WEFT_STRUCT(FeedAsk, FEED_ASK)
#define FEED_SAID(F) \
    F(U64, feed)     \
    F(U64, place)    \
    F(U8, digest) F(U64, commit) F(std::vector<ChangeRec>, changes) F(std::vector<ElectorRec>, electors)
WEFT_STRUCT(FeedSaid, FEED_SAID)

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
#define LISTING_ASK(F) F(U64, epoch) F(U64, version)
WEFT_STRUCT(ListingAsk, LISTING_ASK)
#define PROBE_REC(F) F(Str, address) F(Str, instance) F(U8, verdict)
WEFT_STRUCT(ProbeRec, PROBE_REC)
#define PROBES(F) F(std::vector<ProbeRec>, probes)
WEFT_STRUCT(Probes, PROBES)

#define WEFT_MESSAGES(X)                                                                            \
    X(1, Heartbeat)                                                                                 \
    X(2, News)                                                                                      \
    X(3, Counts)                                                                                    \
    X(5, StageAsk)                                                                                  \
    X(6, StageSaid)                                                                                 \
    X(7, CommitAsk) X(8, CommitSaid) X(9, StateAsk) X(10, StateSaid) X(11, FeedAsk) X(12, FeedSaid) \
        X(13, Listing) X(14, ListingAsk) X(15, Probes) X(16, Propose) X(17, Load)

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
