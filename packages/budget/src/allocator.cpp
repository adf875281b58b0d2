#include "budget/allocator.hpp"

#include <malloc.h>

namespace budget {

namespace {
constexpr int kLargeBlock =
    128 * 1024;  // bytes; without this the allocator raises its own bound as it is used
}

void large_blocks_go_back() {
    ::mallopt(M_MMAP_THRESHOLD, kLargeBlock);
    ::mallopt(M_TRIM_THRESHOLD, kLargeBlock);
}

}  // namespace budget
