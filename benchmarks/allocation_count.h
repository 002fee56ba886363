#pragma once

#include <cstdint>

/// @return calls of operator new since the start of the process.
std::uint64_t AllocationCount();
