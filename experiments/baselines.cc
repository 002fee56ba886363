#include "experiments/baselines.h"

#include <algorithm>

namespace cowslip::experiments {
namespace {

constexpr std::chrono::seconds kReportInterval{1};
constexpr std::chrono::seconds kStaleInterval{10};
constexpr double kDeadLoad = 1e9;

}  // namespace

std::size_t HashOnly::Choose(const Job& job, Models& models, Duration) {
  std::size_t best = 0;
  double lowest = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < models.size(); ++i) {
    Upstream upstream;
    upstream.id = UpstreamId(static_cast<std::uint32_t>(i + 1));
    const auto score =
        flow::RankScore(HashFlow({{job.flow, 1}, {1, 1}}), upstream);
    if (score >= lowest) continue;
    lowest = score;
    best = i;
  }
  return best;
}

std::size_t RoundRobin::Choose(const Job&, Models& models, Duration) {
  return next_++ % models.size();
}

std::string LeastReported::Name() const {
  switch (misreport_) {
    case Misreport::kNone:
      return "least reported, 1 s";
    case Misreport::kIdle:
      return "same, one always idle";
    case Misreport::kDead:
      return "same, one always dead";
    case Misreport::kStale:
      return "same, one 10 s stale";
  }
  return {};
}

std::size_t LeastReported::Choose(const Job&, Models& models, Duration now) {
  reports_.resize(models.size());
  std::vector<std::size_t> best;
  for (std::size_t i = 0; i < models.size(); ++i) {
    auto& report = reports_[i];
    const bool is_stale = i == 0 && misreport_ == Misreport::kStale;
    const Duration interval = is_stale ? kStaleInterval : kReportInterval;
    if (report.at == Duration::min() || now - report.at >= interval) {
      report.at = now;
      report.load =
          static_cast<double>(models[i].InProgress(now)) / models[i].slots();
      if (i == 0 && misreport_ == Misreport::kIdle) report.load = 0;
      if (i == 0 && misreport_ == Misreport::kDead) report.load = kDeadLoad;
    }
    if (!best.empty() && report.load > reports_[best[0]].load) continue;
    if (!best.empty() && report.load < reports_[best[0]].load) best.clear();
    best.push_back(i);
  }
  return best[random_() % best.size()];
}

std::size_t Oracle::Choose(const Job&, Models& models, Duration now) {
  std::size_t best = 0;
  std::pair<double, double> lowest{std::numeric_limits<double>::infinity(), 0};
  for (std::size_t i = 0; i < models.size(); ++i) {
    auto& model = models[i];
    const auto in_progress = model.InProgress(now);
    const double excess =
        in_progress < model.slots() ? 0 : in_progress - model.slots() + 1;
    const auto rate = model.speed() * model.slots();
    const std::pair<double, double> rank{excess / rate, -model.speed()};
    if (rank >= lowest) continue;
    lowest = rank;
    best = i;
  }
  return best;
}

std::size_t Clairvoyant::Choose(const Job&, Models& models, Duration now) {
  std::size_t best = 0;
  for (std::size_t i = 1; i < models.size(); ++i) {
    const std::pair<Duration, double> rank{models[i].TimeToSlot(now),
                                           -models[i].speed()};
    const std::pair<Duration, double> lowest{models[best].TimeToSlot(now),
                                             -models[best].speed()};
    if (rank < lowest) best = i;
  }
  return best;
}

}  // namespace cowslip::experiments
