#include "experiments/result.h"

#include <algorithm>
#include <cstdio>

namespace cowslip::experiments {
namespace {

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

double Ratio(std::uint64_t part, std::uint64_t whole) {
  if (whole == 0) return 0;
  return static_cast<double>(part) / static_cast<double>(whole);
}

Duration Quantile(std::vector<Duration>& times, double quantile) {
  if (times.empty()) return {};
  const auto last = static_cast<double>(times.size() - 1);
  const auto index = static_cast<std::ptrdiff_t>(quantile * last);
  std::nth_element(times.begin(), times.begin() + index, times.end());
  return times[static_cast<std::size_t>(index)];
}

}  // namespace

double Result::MaxOverMean() const {
  double work = 0;
  double total = 0;
  double highest = 0;
  for (std::size_t i = 0; i < utilisation.size(); ++i) {
    work += utilisation[i] * capacity[i];
    total += capacity[i];
    highest = std::max(highest, utilisation[i]);
  }
  return work == 0 ? 0 : highest * total / work;
}

Duration Result::Wait(double quantile) const {
  return WaitBetween(quantile, {}, Duration::max());
}

Duration Result::MeanTotal() const {
  Duration sum{};
  for (const auto& job : served) sum += job.total;
  if (served.empty()) return {};
  return sum / static_cast<std::int64_t>(served.size());
}

Duration Result::WaitBetween(double quantile, Duration from,
                             Duration to) const {
  std::vector<Duration> waits;
  for (const auto& job : served) {
    if (job.arrival >= from && job.arrival < to) waits.push_back(job.wait);
  }
  return Quantile(waits, quantile);
}

Duration Result::Delay(double quantile) const {
  std::vector<Duration> delays;
  for (const auto& job : served) delays.push_back(job.delay);
  return Quantile(delays, quantile);
}

void PrintHeading(const std::string& title) {
  std::printf("\n%s\n%-26s %8s %9s %9s %9s %9s %8s %6s %7s\n", title.c_str(),
              "policy", "max/mean", "p50 ms", "p99 ms", "hops/new", "hops/req",
              "shed %", "lost", "broken");
}

void PrintLine(const Result& result) {
  constexpr double kPercent = 100;
  std::printf("%-26s %8.2f %9.2f %9.2f %9.2f %9.2f %8.2f %6llu %7llu\n",
              result.policy.c_str(), result.MaxOverMean(),
              Milliseconds(result.Wait(0.5)), Milliseconds(result.Wait(0.99)),
              Ratio(result.new_flow_hops, result.new_flows),
              Ratio(result.other_hops, result.offered - result.new_flows),
              kPercent * Ratio(result.shed, result.offered),
              static_cast<unsigned long long>(result.lost),
              static_cast<unsigned long long>(result.broken_flows));
}

}  // namespace cowslip::experiments
