#include "allocation_count.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{0};

}  // namespace

std::uint64_t AllocationCount() { return allocations; }

void* operator new(std::size_t size) {
  ++allocations;
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
