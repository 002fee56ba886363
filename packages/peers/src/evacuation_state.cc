#include "cowslip/peers/evacuation_state.h"

#include <algorithm>
#include <iterator>

#include "cowslip/peers/document_digest.h"

namespace cowslip::peers {
namespace {

using std::chrono::milliseconds;

/// Separates names, which have no such byte in the settings of an instance.
constexpr char kNameEnd = '\0';

std::uint64_t DigestOf(const DataCenterNames& names) {
  std::string text;
  for (const auto& name : names) {
    text += name;
    text += kNameEnd;
  }
  return DocumentDigest(text);
}

}  // namespace

bool AddNames(const DataCenterNames& added, DataCenterNames& names) {
  for (const auto& name : added) {
    if (names.contains(name)) continue;
    if (names.size() >= EvacuationSnapshot::kMaxNames) return false;
    names.insert(name);
  }
  return true;
}

DataCenterNames EvacuationState::HeldNames(TimePoint now) const {
  DataCenterNames held;
  if (now >= hold_until_) return held;
  std::ranges::copy_if(
      earlier_.names, std::inserter(held, held.end()),
      [&](const auto& name) { return !seen_in_era_.contains(name); });
  return held;
}

bool EvacuationState::IsEvacuated(std::string_view data_center,
                                  TimePoint now) const {
  if (present_.names.contains(data_center)) return true;
  return now < hold_until_ && earlier_.names.contains(data_center) &&
         !seen_in_era_.contains(data_center);
}

DataCenterNames EvacuationState::InForce(TimePoint now) const {
  auto names = present_.names;
  // Sets of the store have priority if there are too many.
  AddNames(HeldNames(now), names);
  return names;
}

void EvacuationState::Adopt(const EvacuationSnapshot& other, TimePoint read_at,
                            TimePoint now) {
  if (known_ && other.position.era < present_.position.era) {
    AdoptEarlier(other, now);
    return;
  }
  if (known_ && other.position < present_.position) {
    // The present set depends on the store alone for these names, too.
    if (now < hold_until_) AddNames(other.names, seen_in_era_);
    return;
  }
  const bool new_era = !known_ || other.position.era > present_.position.era;
  if (new_era) {
    if (known_) earlier_ = {present_.position, InForce(now)};
    hold_until_ = now + kHoldTime;
    seen_in_era_.clear();
  }
  const bool same_position = known_ && other.position == present_.position;
  auto names = other.names;
  // Two lists of several pages can differ at one position, as the pages were
  // read one after the other. Evacuating too much ends with the next change;
  // evacuating too little would let connections through.
  if (same_position) AddNames(present_.names, names);
  if (!known_ || names != present_.names) {
    read_at_ = read_at;
    // A process that has just started has seen no change.
    if (known_) changed_at_ = other.position;
  }
  known_ = true;
  present_ = {other.position, std::move(names)};
  if (now < hold_until_) {
    AddNames(present_.names, seen_in_era_);
  } else {
    seen_in_era_.clear();
    earlier_.names.clear();
  }
}

void EvacuationState::AdoptEarlier(const EvacuationSnapshot& other,
                                   TimePoint now) {
  if (now >= hold_until_ || other.position < earlier_.position) return;
  auto names = other.names;
  if (other.position == earlier_.position) AddNames(earlier_.names, names);
  earlier_ = {other.position, std::move(names)};
}

void EvacuationState::OnReport(const EvacuationReport& report, TimePoint now) {
  if (!report.state) return;
  if (report.names_omitted) {
    // Equal names at a newer position of the same era.
    const bool equal = known_ && report.digest == DigestOf(present_.names) &&
                       report.state->position.era == present_.position.era;
    if (equal) {
      present_.position = std::max(present_.position, report.state->position);
    }
    return;
  }
  const auto era = report.state->position.era;
  auto reported = *report.state;
  // In an earlier era, what the sender still holds is in force as well.
  const bool is_earlier = known_ && era < present_.position.era;
  if (is_earlier) AddNames(report.held.names, reported.names);
  Adopt(reported, now - report.age, now);
  if (is_earlier || present_.position.era != era) return;
  hold_until_ = std::min(hold_until_, now + report.hold_left);
  if (!report.held.names.empty()) AdoptEarlier(report.held, now);
}

bool EvacuationState::Surpasses(const EvacuationReport& report,
                                TimePoint now) const {
  if (!known_) return false;
  if (!report.state) return true;
  const auto& other = report.state->position;
  if (other.era > present_.position.era) return false;
  if (other.era < present_.position.era) return true;
  const bool names_differ = report.names_omitted
                                ? report.digest != DigestOf(present_.names)
                                : report.state->names != present_.names;
  if (names_differ && other <= present_.position) return true;
  if (other < changed_at_) return true;
  if (report.names_omitted) return false;
  return std::ranges::any_of(HeldNames(now), [&](const auto& name) {
    return !report.held.names.contains(name) &&
           !report.state->names.contains(name);
  });
}

bool EvacuationState::IsSurpassedBy(const EvacuationReport& report) const {
  if (!report.state || !report.names_omitted) return false;
  const auto& other = report.state->position;
  if (!known_ || other.era > present_.position.era) return true;
  return other > present_.position && report.digest != DigestOf(present_.names);
}

EvacuationReport EvacuationState::Report(TimePoint now) const {
  EvacuationReport report;
  if (!known_) return report;
  report.state = present_;
  report.digest = DigestOf(present_.names);
  const auto until = [now](TimePoint time) {
    return std::chrono::duration_cast<milliseconds>(
        std::max(time - now, Duration{0}));
  };
  report.held.names = HeldNames(now);
  if (!report.held.names.empty()) report.held.position = earlier_.position;
  report.hold_left = until(hold_until_);
  report.age = std::chrono::duration_cast<milliseconds>(now - read_at_);
  return report;
}

std::vector<EvacuationChange> EvacuationState::TakeChanges(TimePoint now) {
  auto names = InForce(now);
  std::vector<EvacuationChange> changes;
  if (names == reported_) return changes;
  const auto age = std::chrono::duration_cast<milliseconds>(now - read_at_);
  const auto add = [&](const DataCenterNames& in, const DataCenterNames& not_in,
                       bool evacuated) {
    for (const auto& name : in) {
      if (not_in.contains(name)) continue;
      changes.push_back({name, evacuated, present_.position, age});
    }
  };
  add(names, reported_, true);
  add(reported_, names, false);
  reported_ = std::move(names);
  return changes;
}

}  // namespace cowslip::peers
