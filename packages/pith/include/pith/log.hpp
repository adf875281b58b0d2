#pragma once
// One key=value line per event, through log4cxx (docs/design.md 2.5).
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace pith {

enum class Level { debug, info, warn, error };

struct Pair {
    std::string_view key;
    std::string value;
    Pair(std::string_view k, std::string v) : key(k), value(std::move(v)) {}
    Pair(std::string_view k, const char* v) : key(k), value(v) {}
    template <class N, class = std::enable_if_t<std::is_arithmetic_v<N>>>
    Pair(std::string_view k, N n) : key(k), value(std::to_string(n)) {}
};

bool log_start(const std::string& level);
bool log_level(const std::string& level);
void log_event(Level l, std::string_view event, std::initializer_list<Pair> pairs);
std::string log_line(std::string_view event, std::initializer_list<Pair> pairs);

// Lets through at most one line per period; tells how many were held (docs/design.md 2.5).
class Seldom {
  public:
    explicit Seldom(std::int64_t period) : period_(period) {}
    bool pass(std::int64_t now, std::uint64_t* held);

  private:
    std::int64_t period_;
    std::int64_t last_ = INT64_MIN / 2;
    std::uint64_t held_ = 0;
};

}  // namespace pith
