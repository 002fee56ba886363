#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace cowslip::fuzz {

/// Applies random mutations to an input, from a seeded generator: flips a bit,
/// overwrites or inserts a byte, truncates, or repeats the beginning.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  /// Applies 1 to kMaxSteps mutations.
  std::vector<std::uint8_t> Mutate(std::vector<std::uint8_t> input) {
    const auto steps = 1 + Below(kMaxSteps);
    for (std::size_t i = 0; i < steps; ++i) Step(input);
    return input;
  }
  /// @return a random number from 0 to below `limit`.
  std::size_t Below(std::size_t limit) { return random_() % limit; }
  std::uint8_t Byte() { return static_cast<std::uint8_t>(random_()); }

 private:
  static constexpr std::size_t kMaxSteps = 6;
  enum Kind { kFlip, kSet, kCut, kInsert, kRepeat, kKinds };

  void Step(std::vector<std::uint8_t>& input) {
    if (input.empty()) input.push_back(Byte());
    const auto position = Below(input.size());
    const auto at = input.begin() + static_cast<std::ptrdiff_t>(position);
    switch (static_cast<Kind>(Below(kKinds))) {
      case kFlip:
        *at ^= static_cast<std::uint8_t>(1U << Below(8));
        return;
      case kSet:
        *at = Byte();
        return;
      case kCut:
        input.erase(at, input.end());
        return;
      case kInsert:
        input.insert(at, Byte());
        return;
      case kRepeat:
        input.insert(at, input.begin(), at);
        return;
      case kKinds:
        return;
    }
  }

  std::mt19937_64 random_;
};

}  // namespace cowslip::fuzz
