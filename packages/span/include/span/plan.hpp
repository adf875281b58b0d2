#pragma once
// A visit is first planned as data; the plan is then carried out (docs/design.md 7.1).
#include <cstdint>
#include <string>
#include <vector>

#include "creed/bundle.hpp"
#include "pith/error.hpp"
#include "pith/time.hpp"
#include "span/dialect.hpp"

namespace span {

constexpr std::size_t kMaxBody = 1024 * 1024;
constexpr pith::Micros kMaxDeadline = 60 * pith::kSecond;

// What the head of a visit says, as read.
struct Head {
    std::string method, target, key, try_id, deadline_ms, attempt;
    std::string host{};
};

struct Plan {
    std::string try_id, customer, service, route;
    bool write = false, head_only = false;
    bool retry = false;         // a marked retry of the caller's
    pith::Micros deadline = 0;  // monotonic
    pith::Micros timeout = 0;   // for one try at a server
    pith::Micros aim = 0;       // an answer within it has its full worth; 0: not said
    pith::Micros offer_by = 0;  // unless it was handed to a server by then it is refused; 0: the deadline
    std::uint32_t priority = 0; // 0 is the highest: the customer's first, then the route's
    int tries = 3;              // servers that it may be sent to, at most
    std::uint64_t bundle = 0;
};

// Pure: the same head, policy and time give the same plan.
pith::Result<Plan> plan(const Head& h, const creed::Policy* p, pith::Micros now,
                        const Dialect& d = own_dialect());
// At release, and on sessions opened long ago: does the newest policy still allow the very same?
pith::Result<Plan> plan_again(const Head& h, const creed::Policy* p, const Plan& old, pith::Micros now,
                              const Dialect& d = own_dialect());

// The gateway's own answer.
struct Refusal {
    pith::Error error;
    bool ran_unknown = false;
    std::string try_id, allow;     // allow: methods that the path takes, for a 405
    pith::Micros retry_after = 0;  // none: coming back does not help
};
std::string refusal_json(const Refusal& r);

}  // namespace span
