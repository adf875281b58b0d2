#pragma once
// The acceptor of the replicated control state (docs/control.md, "Register"): what one disk has promised and
// accepted. A state machine: disk work is asked for and reported back; replies wait until what they say is
// synced.
#include <string>
#include <utility>
#include <vector>

#include "consensus/content.hpp"
#include "consensus/durable.hpp"
#include "pith/time.hpp"

namespace consensus {

// A message to a node of the control side, by name.
struct Reply {
    std::string to;
    weft::Msg message;
};

class Acceptor {
  public:
    explicit Acceptor(DurableState held);

    void prepare(const std::string& from, const weft::PrepareAsk& ask, std::vector<Reply>* out);
    void accept(const std::string& from, const weft::AcceptAsk& ask, ContentStore* contents,
                std::vector<Reply>* out);
    // Other parts of the durable document; `changed` is written with the next save.
    DurableState& edit() {
        dirty_ = true;
        return wanted_;
    }
    // A state that is known as decided: written with the next save, and at once where its membership is new.
    void note_decided(const weft::ControlState& state);
    // A document to write now, if anything changed and none is under way. After a failure the next one comes
    // at `kRetry` later.
    bool next_save(pith::Micros now, SaveJob* job);
    // The save of `token` ended. Replies to those who waited for it.
    void saved(pith::Micros now, std::uint64_t token, bool ok, std::vector<Reply>* out);

    const DurableState& durable() const { return synced_; }  // what is certainly on disk
    const DurableState& wanted() const { return wanted_; }   // what is, or is being written
    bool writable() const { return writable_; }
    const weft::Ballot& promised() const { return wanted_.promised; }

    static constexpr pith::Micros kRetry = 250 * pith::kMilli;  // after a failed write

  private:
    struct Waiting {
        std::string to;
        std::uint64_t serial = 0;
        weft::Ballot ballot;
        bool is_accept = false;
    };
    weft::PrepareSaid report(std::uint64_t serial, bool ok) const;
    void answer(const Waiting& w, bool ok, std::vector<Reply>* out) const;

    DurableState synced_, wanted_, writing_;
    std::vector<Waiting> waiting_, in_write_;  // for the next save; for the one under way
    std::uint64_t token_ = 0;
    bool dirty_ = false, busy_ = false, writable_ = true;
    pith::Micros retry_at_ = 0;
};

bool operator<(const weft::Ballot& a, const weft::Ballot& b);
bool operator==(const weft::Ballot& a, const weft::Ballot& b);
inline bool operator<=(const weft::Ballot& a, const weft::Ballot& b) { return !(b < a); }

}  // namespace consensus
