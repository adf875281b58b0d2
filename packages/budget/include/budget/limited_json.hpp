#pragma once
/// Memory for parsed JSON, with a limit: a text of small values takes many times its own size
/// (docs/design.md 7.10).
#include <boost/json/memory_resource.hpp>
#include <boost/json/value.hpp>
#include <boost/system/error_code.hpp>
#include <string_view>

#include "budget/account.hpp"

namespace budget {

/// Throws std::bad_alloc beyond its limit, in bytes.
class LimitedResource : public boost::json::memory_resource {
  public:
    explicit LimitedResource(std::size_t limit) : held_(limit) {}

  protected:
    void* do_allocate(std::size_t bytes, std::size_t alignment) override;
    void do_deallocate(void* memory, std::size_t bytes, std::size_t alignment) override;
    bool do_is_equal(const boost::json::memory_resource& other) const noexcept override {
        return this == &other;
    }

  private:
    Account held_;
};

/// Fails with not_enough_memory where the parsed text would take more than `limit` bytes.
boost::json::value parse_json(std::string_view text, std::size_t limit, boost::system::error_code& ec);

}  // namespace budget
