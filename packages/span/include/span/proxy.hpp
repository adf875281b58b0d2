#pragma once
// The daemons: they give the state machines a clock, sockets and a disk (docs/design.md 2.1, 8).
#include <functional>
#include <optional>

#include "pith/error.hpp"
#include "pith/settings.hpp"
#include "span/dialect.hpp"

namespace span {

// Both run until a signal ends them; the result is the exit code.
int run_proxy(const pith::Settings& s);
int run_keeper(const pith::Settings& s);

// A proxy and, where `keeper` is given, a keeper beside it in one process, each a member of its own (docs/design.md
// 8.4). `reload` is called on SIGHUP.
struct Resident {
    pith::Settings proxy;
    std::optional<pith::Settings> keeper;
    const Dialect* dialect = &own_dialect();
    std::function<void()> reload;
};
int run_resident(const Resident& r);

}  // namespace span
