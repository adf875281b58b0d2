#pragma once
/// What callers and servers of a soak saw, and what that says of the gateway (docs/proof.md, "Soak").
/// Thread-safe. All times are monotonic microseconds of this one process, which holds callers, servers and
/// the schedule of troubles alike.
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "pith/time.hpp"

namespace mime {

/// How a caller's request ended, as the caller saw it.
enum class CallerEnd : std::uint8_t {
    open,        ///< not yet
    answered,    ///< a whole answer came
    cut,         ///< the connection ended without one
    unanswered,  ///< nothing came long after the deadline
    left,        ///< the caller ended the connection itself
};

/// How a server's work on a request ended.
enum class WorkEnd : std::uint8_t { open, answered, broken_off };

struct SoakArrival {
    std::string instance;
    pith::Micros at = 0, until = 0, would_last = 0;
    WorkEnd end = WorkEnd::open;
    int status = 0;  ///< that the server answered with
};

/// An answer as its caller saw it.
struct SoakAnswer {
    int status = 0;
    std::string try_id;  ///< the try that it names
    std::string server;  ///< the instance that gave it; empty: the gateway's own
    bool says_not_run = false;
};

struct SoakRequest {
    std::string proxy;
    bool write = false;
    pith::Micros sent_at = 0, ended_at = 0;
    CallerEnd end = CallerEnd::open;
    SoakAnswer answer;
    std::string left_by;  ///< how the caller ended the connection
    std::vector<SoakArrival> arrivals;
};

/// The rules that a soak judges, with the names of docs/proof.md.
enum class SoakRule : std::uint8_t { gone, drain, lost, mixed, twice, refused, fault };
const char* soak_rule_text(SoakRule rule);

struct SoakVerdict {
    std::map<SoakRule, std::vector<std::string>> broken;
    std::vector<std::string> seen;  ///< too few for a rule to be broken
    std::uint64_t requests = 0, answered = 0, left = 0, cut = 0, not_judged = 0;
    std::uint64_t worked_on = 0, would_have_lasted = 0;  ///< reads whose callers had left for half a second
    std::uint64_t sent_after_leaving = 0;                ///< over half a second after the caller had left
    std::size_t most_resident = 0;                       ///< bytes, of one process
    pith::Micros latest_to_leaving = 0;                  ///< after the listing showed that the server leaves
    std::string line() const;
};

class SoakLedger {
  public:
    void sent(const std::string& try_id, const std::string& proxy, bool write,
              pith::Micros at = pith::mono_now());
    void answered(const std::string& try_id, SoakAnswer answer);
    /// A process ended by itself, or went over its memory.
    void failed(const std::string& what);
    /// A process was seen to have so many bytes of memory.
    void resident(std::size_t bytes);
    /// Any other end.
    void ended(const std::string& try_id, CallerEnd end);
    void left(const std::string& try_id, const std::string& way, pith::Micros at = pith::mono_now());
    /// Gives the number of the arrival, for gave_status() and worked().
    std::size_t arrived(const std::string& try_id, const std::string& instance, pith::Micros would_last,
                        pith::Micros at = pith::mono_now());
    void gave_status(const std::string& try_id, std::size_t arrival, int status);
    void worked(const std::string& try_id, std::size_t arrival, WorkEnd end,
                pith::Micros at = pith::mono_now());

    void shown_leaving(const std::string& instance, pith::Micros at = pith::mono_now());
    /// An unplanned trouble began or ended there; a planned stop is none.
    void troubled(const std::string& proxy, pith::Micros at = pith::mono_now());
    /// The machine itself stood still for a while, which says nothing of the gateway.
    void stalled();

    SoakVerdict judge() const;

  private:
    using Times = std::vector<pith::Micros>;
    bool any_within(const Times& times, pith::Micros from, pith::Micros to) const;
    bool in_touch(const std::string& proxy, pith::Micros from, pith::Micros to) const;
    void judge_answer(const std::string& try_id, const SoakRequest& request, SoakVerdict* verdict) const;
    void judge_cut(const std::string& try_id, const SoakRequest& request, SoakVerdict* verdict) const;
    void judge_leaving_server(const std::string& try_id, const SoakRequest& request,
                              SoakVerdict* verdict) const;
    void judge_leaving_caller(const std::string& try_id, const SoakRequest& request,
                              SoakVerdict* verdict) const;

    mutable std::mutex mutex_;
    std::vector<std::string> failures_;
    std::size_t most_resident_ = 0;
    std::map<std::string, SoakRequest> requests_;
    std::map<std::string, pith::Micros> shown_leaving_;
    std::map<std::string, Times> troubled_;
    Times stalled_;
};

}  // namespace mime
