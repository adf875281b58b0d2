#include "consensus/acceptor.hpp"

#include <tuple>

namespace consensus {

bool operator<(const weft::Ballot& a, const weft::Ballot& b) {
    return std::tie(a.round, a.proposer, a.life) < std::tie(b.round, b.proposer, b.life);
}

bool operator==(const weft::Ballot& a, const weft::Ballot& b) {
    return std::tie(a.round, a.proposer, a.life) == std::tie(b.round, b.proposer, b.life);
}

Acceptor::Acceptor(DurableState held) : synced_(std::move(held)), wanted_(synced_), writing_(synced_) {}

weft::PrepareSaid Acceptor::report(std::uint64_t serial, bool ok) const {
    weft::PrepareSaid said;
    said.serial = serial;
    said.ok = ok ? 1 : 0;
    said.writable = writable_ ? 1 : 0;
    said.disk = synced_.disk;
    said.promised = wanted_.promised;
    said.accepted = synced_.accepted;
    said.state = synced_.state;
    said.revision = wanted_.decided.revision;
    return said;
}

void Acceptor::answer(const Waiting& w, bool ok, std::vector<Reply>* out) const {
    if (!w.is_accept) {
        out->push_back({w.to, report(w.serial, ok)});
        return;
    }
    weft::AcceptSaid said;
    said.serial = w.serial;
    said.ok = ok ? 1 : 0;
    said.disk = synced_.disk;
    said.promised = wanted_.promised;
    out->push_back({w.to, said});
}

void Acceptor::prepare(const std::string& from, const weft::PrepareAsk& ask, std::vector<Reply>* out) {
    const bool only_report = ask.ballot.round == 0;
    if (only_report) {
        out->push_back({from, report(ask.serial, true)});
        return;
    }
    if (!writable_ || ask.ballot < wanted_.promised) {
        out->push_back({from, report(ask.serial, false)});
        return;
    }
    if (synced_.promised == ask.ballot && wanted_.promised == ask.ballot) {  // asked again
        out->push_back({from, report(ask.serial, true)});
        return;
    }
    wanted_.promised = ask.ballot;
    // The reply waits for the next save, and says what that has made durable.
    waiting_.push_back({from, ask.serial, ask.ballot, false});
    dirty_ = true;
}

void Acceptor::accept(const std::string& from, const weft::AcceptAsk& ask, ContentStore* contents,
                      std::vector<Reply>* out) {
    const Waiting waiting{from, ask.serial, ask.ballot, true};
    if (!writable_ || ask.ballot < wanted_.promised) {
        answer(waiting, false, out);
        return;
    }
    if (synced_.accepted == ask.ballot) {  // asked again
        answer(waiting, true, out);
        return;
    }
    const std::string& hash = ask.state.hash;
    if (!ask.packed.empty()) contents->take(hash, ask.base, ask.packed);
    if (!hash.empty() && hash != wanted_.state.hash) {
        const std::string* text = contents->find(hash);
        if (text == nullptr) {
            weft::AcceptSaid said;
            said.serial = ask.serial;
            said.needs_content = 1;
            said.disk = synced_.disk;
            said.promised = wanted_.promised;
            out->push_back({from, said});
            return;
        }
        wanted_.text = *text;
    }
    wanted_.promised = ask.ballot;
    wanted_.accepted = ask.ballot;
    wanted_.state = ask.state;
    waiting_.push_back(waiting);
    dirty_ = true;
}

void Acceptor::note_decided(const weft::ControlState& state) {
    if (state.epoch != wanted_.decided.epoch) dirty_ = true;
    wanted_.decided = state;
}

bool Acceptor::next_save(pith::Micros now, SaveJob* job) {
    if (busy_ || !dirty_ || now < retry_at_) return false;
    busy_ = true;
    dirty_ = false;
    writing_ = wanted_;
    in_write_ = std::move(waiting_);
    waiting_.clear();
    job->token = ++token_;
    job->state = writing_;
    return true;
}

void Acceptor::saved(pith::Micros now, std::uint64_t token, bool ok, std::vector<Reply>* out) {
    if (!busy_ || token != token_) return;
    busy_ = false;
    const auto replies = std::move(in_write_);
    in_write_.clear();
    if (ok) {
        synced_ = writing_;
        writable_ = true;
        for (const auto& w : replies) answer(w, true, out);
        return;
    }
    // The disk takes no writes now: whoever waits is told so, and the whole document is written anew until it
    // does. That it may then hold more than was confirmed is harmless: it is as if the reply had been lost.
    writable_ = false;
    dirty_ = true;
    retry_at_ = now + kRetry;
    for (const auto& w : replies) answer(w, false, out);
    for (const auto& w : waiting_) answer(w, false, out);
    waiting_.clear();
}

}  // namespace consensus
