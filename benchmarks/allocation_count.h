#pragma once

#include <cstdint>

/// @return the number of calls of operator new since the process started.
std::uint64_t AllocationCount();
