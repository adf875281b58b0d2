#pragma once
// Typed errors whose messages name the remedy (docs/design.md 2.4).
#include <string>
#include <tl/expected.hpp>

namespace pith {

// kind, text as shown to callers and operators, HTTP status, whether coming back can help
#define PITH_KINDS(X)                                 \
    X(settings_wrong, "settings_wrong", 500, false)   \
    X(bad_visit, "bad_visit", 400, false)             \
    X(too_large, "too_large", 413, false)             \
    X(head_too_large, "head_too_large", 431, false)   \
    X(key_unknown, "key_unknown", 401, false)         \
    X(not_allowed, "not_allowed", 403, false)         \
    X(no_route, "no_route", 404, false)               \
    X(method_wrong, "method_wrong", 405, false)       \
    X(expect_wrong, "expect_wrong", 417, false)       \
    X(try_seen, "try_seen", 409, false)               \
    X(over_allowance, "over_allowance", 429, true)    \
    X(retry_budget, "retry_budget", 503, true)        \
    X(no_server, "no_server", 503, true)              \
    X(stopping, "stopping", 503, true)                \
    X(not_ready, "not_ready", 503, true)              \
    X(behind, "behind", 503, true)                    \
    X(crowded, "crowded", 503, true)                  \
    X(late, "late", 504, true)                        \
    X(caller_left, "caller_left", 503, false)         \
    X(answer_lost, "answer_lost", 502, true)          \
    X(answer_late, "answer_late", 504, true)          \
    X(answer_garbled, "answer_garbled", 502, true)    \
    X(bundle_broken, "bundle_broken", 422, false)     \
    X(bundle_unsigned, "bundle_unsigned", 403, false) \
    X(bundle_old, "bundle_old", 409, false)           \
    X(bundle_taken, "bundle_taken", 409, false)       \
    X(outcome_unknown, "outcome_unknown", 503, true)  \
    X(no_majority, "no_majority", 503, true)          \
    X(disk_failed, "disk_failed", 507, true)          \
    X(not_found, "not_found", 404, false)             \
    X(forbidden, "forbidden", 403, false)             \
    X(unreachable, "unreachable", 503, true)

enum class Kind {
#define X(a, b, c, d) a,
    PITH_KINDS(X)
#undef X
};

const char* kind_text(Kind k);
int kind_status(Kind k);
bool kind_returns(Kind k);

struct Error {
    Kind kind;
    std::string message;
};

template <class T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> fail(Kind k, std::string m) {
    return tl::unexpected<Error>(Error{k, std::move(m)});
}

// The message of a fault, or nothing where there is none.
template <class T>
std::string why(const Result<T>& r) {
    return r ? std::string() : r.error().message;
}

}  // namespace pith
