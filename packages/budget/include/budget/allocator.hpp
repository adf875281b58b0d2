#pragma once
/// The system's allocator, told to give large blocks back to the system as soon as they are freed.
namespace budget {

/// Once, before threads are started.
void large_blocks_go_back();

}  // namespace budget
