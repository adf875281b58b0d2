#include "mime/soak_ledger.hpp"

#include <algorithm>

namespace mime {

using pith::kMilli;
using pith::kSecond;
using pith::Micros;
using Lock = std::lock_guard<std::mutex>;

namespace {
constexpr Micros kLeavingWithin = 2 * kSecond;  // a server that leaves is left alone by then
constexpr Micros kGoneWithin = 500 * kMilli;    // a request whose caller left ends by then
constexpr Micros kLossSlack = 200 * kMilli;     // a request that crosses a close
constexpr Micros kContact = 3 * kSecond;        // after a trouble a node counts again
constexpr std::size_t kFew = 3;
constexpr std::size_t kMostNamed = 5;
constexpr std::size_t kMebibyte = 1024 * 1024;

/// Whether the server that the caller's answer names gave that status.
bool given_by_server(const SoakRequest& request) {
    const SoakAnswer& answer = request.answer;
    return std::any_of(request.arrivals.begin(), request.arrivals.end(),
                       [&answer](const SoakArrival& arrival) {
                           return arrival.instance == answer.server && arrival.status == answer.status;
                       });
}

void note(SoakVerdict* verdict, SoakRule rule, const std::string& what) {
    auto& list = verdict->broken[rule];
    if (list.size() < kMostNamed) list.push_back(what);
}
}  // namespace

const char* soak_rule_text(SoakRule rule) {
    switch (rule) {
        case SoakRule::gone:
            return "GONE";
        case SoakRule::drain:
            return "DRAIN";
        case SoakRule::lost:
            return "LOST";
        case SoakRule::mixed:
            return "MIXED";
        case SoakRule::twice:
            return "TWICE";
        case SoakRule::refused:
            return "REFUSED";
        case SoakRule::fault:
            return "FAULT";
    }
    return "";
}

void SoakLedger::sent(const std::string& try_id, const std::string& proxy, bool write, Micros at) {
    Lock lock(mutex_);
    auto& request = requests_[try_id];
    request.proxy = proxy;
    request.write = write;
    request.sent_at = at;
}

void SoakLedger::answered(const std::string& try_id, SoakAnswer answer) {
    ended(try_id, CallerEnd::answered);
    Lock lock(mutex_);
    requests_[try_id].answer = std::move(answer);
}

void SoakLedger::failed(const std::string& what) {
    Lock lock(mutex_);
    failures_.push_back(what);
}

void SoakLedger::resident(std::size_t bytes) {
    Lock lock(mutex_);
    most_resident_ = std::max(most_resident_, bytes);
}

void SoakLedger::ended(const std::string& try_id, CallerEnd end) {
    Lock lock(mutex_);
    auto& request = requests_[try_id];
    request.ended_at = pith::mono_now();
    request.end = end;
}

void SoakLedger::left(const std::string& try_id, const std::string& way, Micros at) {
    ended(try_id, CallerEnd::left);
    Lock lock(mutex_);
    auto& request = requests_[try_id];
    request.left_by = way;
    request.ended_at = at;
}

std::size_t SoakLedger::arrived(const std::string& try_id, const std::string& instance, Micros would_last,
                                Micros at) {
    Lock lock(mutex_);
    auto& arrivals = requests_[try_id].arrivals;
    arrivals.push_back({instance, at, 0, would_last, WorkEnd::open, 0});
    return arrivals.size() - 1;
}

void SoakLedger::gave_status(const std::string& try_id, std::size_t arrival, int status) {
    Lock lock(mutex_);
    requests_[try_id].arrivals[arrival].status = status;
}

void SoakLedger::worked(const std::string& try_id, std::size_t arrival, WorkEnd end, Micros at) {
    Lock lock(mutex_);
    auto& work = requests_[try_id].arrivals[arrival];
    work.until = at;
    work.end = end;
}

void SoakLedger::shown_leaving(const std::string& instance, Micros at) {
    Lock lock(mutex_);
    shown_leaving_.emplace(instance, at);
}

void SoakLedger::troubled(const std::string& proxy, Micros at) {
    Lock lock(mutex_);
    troubled_[proxy].push_back(at);
}

void SoakLedger::stalled() {
    Lock lock(mutex_);
    stalled_.push_back(pith::mono_now());
}

bool SoakLedger::any_within(const Times& times, Micros from, Micros to) const {
    return std::any_of(times.begin(), times.end(), [from, to](Micros at) { return from <= at && at <= to; });
}

bool SoakLedger::in_touch(const std::string& proxy, Micros from, Micros to) const {
    if (any_within(stalled_, from - kSecond, to + kSecond)) return false;
    const auto found = troubled_.find(proxy);
    return found == troubled_.end() || !any_within(found->second, from - kContact, to);
}

// These hold at any time, on any node.
void SoakLedger::judge_answer(const std::string& try_id, const SoakRequest& request,
                              SoakVerdict* verdict) const {
    const SoakAnswer& answer = request.answer;
    const bool by_server = !answer.server.empty();
    if ((by_server || answer.status == 200) && answer.try_id != try_id)
        note(verdict, SoakRule::mixed, try_id + " was given the answer to " + answer.try_id);
    if (by_server && !given_by_server(request))
        note(verdict, SoakRule::mixed,
             try_id + " was given " + std::to_string(answer.status) + ", which " + answer.server +
                 " did not give");
    if (request.write && request.arrivals.size() > 1)
        note(verdict, SoakRule::twice, try_id + " ran " + std::to_string(request.arrivals.size()) + " times");
    if (answer.says_not_run && request.write && !request.arrivals.empty())
        note(verdict, SoakRule::refused, try_id + " was told that it did not run, and ran");
}

void SoakLedger::judge_cut(const std::string& try_id, const SoakRequest& request,
                           SoakVerdict* verdict) const {
    if (request.end != CallerEnd::cut && request.end != CallerEnd::unanswered) return;
    ++verdict->cut;
    const bool passed_on = !request.arrivals.empty();
    if (!passed_on && request.ended_at - request.sent_at <= kLossSlack) return;
    if (!in_touch(request.proxy, request.sent_at, request.ended_at)) {
        ++verdict->not_judged;
        return;
    }
    note(verdict, SoakRule::lost,
         try_id + " ended without an answer at " + request.proxy + " after " +
             std::to_string((request.ended_at - request.sent_at) / kMilli) + " ms, " +
             (passed_on ? "passed on" : "not passed on"));
}

void SoakLedger::judge_leaving_server(const std::string& try_id, const SoakRequest& request,
                                      SoakVerdict* verdict) const {
    for (const auto& arrival : request.arrivals) {
        const auto shown = shown_leaving_.find(arrival.instance);
        if (shown == shown_leaving_.end() || arrival.at <= shown->second) continue;
        if (!in_touch(request.proxy, shown->second, arrival.at)) {
            ++verdict->not_judged;
            continue;
        }
        const Micros after = arrival.at - shown->second;
        verdict->latest_to_leaving = std::max(verdict->latest_to_leaving, after);
        if (after > kLeavingWithin)
            note(verdict, SoakRule::drain,
                 try_id + " reached " + arrival.instance + " " + std::to_string(after / kMilli) +
                     " ms after it was shown to leave, from " + request.proxy);
    }
}

void SoakLedger::judge_leaving_caller(const std::string& try_id, const SoakRequest& request,
                                      SoakVerdict* verdict) const {
    if (request.end != CallerEnd::left) return;
    ++verdict->left;
    const Micros by = request.ended_at + kGoneWithin;
    for (const auto& arrival : request.arrivals) {
        if (!in_touch(request.proxy, request.sent_at, std::max(by, arrival.at))) {
            ++verdict->not_judged;
            continue;
        }
        if (arrival.at > by) {
            ++verdict->sent_after_leaving;
            note(verdict, SoakRule::gone,
                 try_id + " was sent " + std::to_string((arrival.at - request.ended_at) / kMilli) +
                     " ms after its caller had left, " +
                     std::to_string((arrival.at - request.sent_at) / kMilli) + " ms after it came, by " +
                     request.left_by + ", from " + request.proxy);
            continue;
        }
        if (request.write || arrival.at + arrival.would_last <= by) continue;
        ++verdict->would_have_lasted;
        if (arrival.end != WorkEnd::open && arrival.until <= by) continue;
        ++verdict->worked_on;
        note(verdict, SoakRule::gone,
             try_id + " was worked on, its caller left " +
                 std::to_string((request.ended_at - request.sent_at) / kMilli) + " ms after it came, by " +
                 request.left_by + ", to " + request.proxy);
    }
}

SoakVerdict SoakLedger::judge() const {
    Lock lock(mutex_);
    SoakVerdict verdict;
    verdict.most_resident = most_resident_;
    for (const auto& failure : failures_) note(&verdict, SoakRule::fault, failure);
    for (const auto& [try_id, request] : requests_) {
        ++verdict.requests;
        verdict.answered += request.end == CallerEnd::answered ? 1 : 0;
        judge_answer(try_id, request, &verdict);
        judge_cut(try_id, request, &verdict);
        judge_leaving_server(try_id, request, &verdict);
        judge_leaving_caller(try_id, request, &verdict);
    }
    // "More than a few" are sent late; more than a quarter are worked on.
    if (verdict.sent_after_leaving <= kFew) {
        verdict.seen = verdict.broken[SoakRule::gone];
        verdict.broken.erase(SoakRule::gone);
    }
    if (verdict.would_have_lasted > kFew && 4 * verdict.worked_on > verdict.would_have_lasted)
        note(&verdict, SoakRule::gone,
             std::to_string(verdict.worked_on) + " of " + std::to_string(verdict.would_have_lasted) +
                 " reads were worked on after their callers had left");
    return verdict;
}

std::string SoakVerdict::line() const {
    std::string text = "requests=" + std::to_string(requests) + " answered=" + std::to_string(answered) +
                       " left=" + std::to_string(left) + " cut=" + std::to_string(cut) +
                       " not_judged=" + std::to_string(not_judged) +
                       " worked_on=" + std::to_string(worked_on) +
                       " of=" + std::to_string(would_have_lasted) +
                       " sent_after_leaving=" + std::to_string(sent_after_leaving) +
                       " most_resident=" + std::to_string(most_resident / kMebibyte) + "MiB" +
                       " latest_to_leaving=" + std::to_string(latest_to_leaving / kMilli) + "ms";
    for (const auto& one : seen) text += "\n    seen " + one;
    for (const auto& [rule, cases] : broken) {
        text += std::string("\n    BROKEN ") + soak_rule_text(rule);
        for (const auto& one : cases) text += "\n      " + one;
    }
    return text;
}

}  // namespace mime
