#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "cowslip/base.h"

namespace cowslip::cost {

/// What is learned of each service address, limited in size: addresses beyond
/// the limit share one entry.
template <typename Entry>
class ServiceTable {
 public:
  /// Addresses with an entry of their own.
  static constexpr std::size_t kMaxServices = 16;

  struct Row {
    Endpoint address;  ///< Zero for the shared entry.
    Entry entry;
  };

  /// @return the entry of an address, nullptr if there is none yet.
  const Entry* Find(const Endpoint& address) const {
    const auto found =
        std::find_if(rows_.begin(), rows_.end(),
                     [&](const auto& each) { return each.address == address; });
    if (found != rows_.end()) return &found->entry;
    return rows_.size() > kMaxServices ? &rows_.back().entry : nullptr;
  }
  /// @return the entry of an address, a new one if there is none yet.
  Entry& FindOrAdd(const Endpoint& address) {
    const auto found =
        std::find_if(rows_.begin(), rows_.end(),
                     [&](const auto& each) { return each.address == address; });
    if (found != rows_.end()) return found->entry;
    if (rows_.size() <= kMaxServices) {
      const bool is_shared = rows_.size() == kMaxServices;
      rows_.push_back({is_shared ? Endpoint{} : address, {}});
    }
    return rows_.back().entry;
  }
  const std::vector<Row>& rows() const { return rows_; }
  std::vector<Row>& rows() { return rows_; }

 private:
  std::vector<Row> rows_;
};

}  // namespace cowslip::cost
