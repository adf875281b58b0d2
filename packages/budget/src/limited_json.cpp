#include "budget/limited_json.hpp"

#include <boost/json/parse.hpp>
#include <new>

namespace budget {

void* LimitedResource::do_allocate(std::size_t bytes, std::size_t alignment) {
    if (!held_.take(bytes)) throw std::bad_alloc();
    return ::operator new(bytes, std::align_val_t(alignment));
}

void LimitedResource::do_deallocate(void* memory, std::size_t bytes, std::size_t alignment) {
    ::operator delete(memory, std::align_val_t(alignment));
    held_.give(bytes);
}

boost::json::value parse_json(std::string_view text, std::size_t limit, boost::system::error_code& ec) {
    try {
        return boost::json::parse(text, ec, boost::json::make_shared_resource<LimitedResource>(limit));
    } catch (const std::bad_alloc&) {
        ec = make_error_code(boost::system::errc::not_enough_memory);
        return nullptr;
    }
}

}  // namespace budget
