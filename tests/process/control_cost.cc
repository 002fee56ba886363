#include <cstdio>
#include <thread>

#include "cowslip/consul.h"
#include "cowslip/membership.h"
#include "tests/process/deployment.h"
#include "tests/process/http.h"

// Measures the control traffic of each process: bytes and store calls while
// idle, for each ticket and for each announcement.
// Each service (at most 4) has six sidecars.
// Usage: control-cost BALANCERS SERVICES SECONDS

namespace cowslip::testing {
namespace {

using std::chrono::seconds;

constexpr std::chrono::milliseconds kEventInterval{200};
constexpr int kSidecarsPerService = 6;

/// Control traffic, summed over the processes of one role.
struct RoleCost {
  double in = 0;
  double out = 0;
  double store_bytes = 0;
  double store_calls = 0;
};

struct Cost {
  RoleCost balancers;
  RoleCost sidecars;
};

void AddMetricsOf(const std::string& server, RoleCost& cost) {
  const auto page = HttpGet(server, "/metrics").value_or("");
  cost.in += FindMetric(page, "cowslip_control_in_bytes_total");
  cost.out += FindMetric(page, "cowslip_control_out_bytes_total");
  cost.store_bytes += FindMetric(page, "cowslip_control_store_bytes_total");
  cost.store_calls += FindMetric(page, "cowslip_control_store_calls_total");
}

class Measurement {
 public:
  explicit Measurement(const DeploymentOptions& options)
      : options_(options), deployment_(options) {}

  bool Run(seconds span) {
    constexpr seconds kSettle{8};
    if (!deployment_.Start()) return false;
    std::this_thread::sleep_for(kSettle);
    const auto steps = static_cast<int>(span / kEventInterval);
    Report("second idle", static_cast<double>(span.count()),
           [&] { std::this_thread::sleep_for(span); });
    Report("ticket", steps, [&] { SubmitTickets(steps); });
    Report("announcement", steps, [&] { Announce(steps); });
    return true;
  }

 private:
  Cost Read() const {
    Cost cost;
    for (int id = 1; id <= options_.balancers; ++id) {
      AddMetricsOf(deployment_.site().BalancerHttp(id), cost.balancers);
    }
    for (const auto& service : options_.services) {
      for (int number = 1; number <= kSidecarsPerService; ++number) {
        const int id = 10 * service.id + number;
        AddMetricsOf(deployment_.site().SidecarHttp(id), cost.sidecars);
      }
    }
    return cost;
  }

  template <typename Workload>
  void Report(const char* what, double count, Workload run_workload) {
    const auto before = Read();
    const auto start = std::chrono::steady_clock::now();
    run_workload();
    std::this_thread::sleep_for(kEventInterval);
    const std::chrono::duration<double> spent =
        std::chrono::steady_clock::now() - start;
    const auto after = Read();
    Print("balancer", what, options_.balancers, count, spent.count(),
          before.balancers, after.balancers);
    const int sidecars =
        kSidecarsPerService * static_cast<int>(options_.services.size());
    Print("sidecar", what, sidecars, count, spent.count(), before.sidecars,
          after.sidecars);
  }

  static void Print(const char* role, const char* what, int processes,
                    double count, double spent, const RoleCost& before,
                    const RoleCost& after) {
    const auto each = [&](double b, double a) {
      return (a - b) / processes / count;
    };
    std::printf(
        "role=%s processes=%d per=\"%s\" count=%.0f seconds=%.1f "
        "in_bytes=%.1f out_bytes=%.1f store_bytes=%.1f store_calls=%.4f\n",
        role, processes, what, count, spent, each(before.in, after.in),
        each(before.out, after.out),
        each(before.store_bytes, after.store_bytes),
        each(before.store_calls, after.store_calls));
  }

  void SubmitTickets(int count) {
    for (int i = 0; i < count; ++i) {
      ServiceOptions service;
      service.idle_timeout = std::to_string(60 + i) + "s";
      deployment_.SubmitTicket(2 + i, {service});
      std::this_thread::sleep_for(kEventInterval);
    }
  }

  void Announce(int count) {
    consul::StoreClientOptions options;
    options.urls = {"http://" + deployment_.site().Store()};
    LastReason<consul::ConsulError> reason;
    auto client = consul::StoreClient::Create(options, reason);
    for (int i = 0; i < count; ++i) {
      constexpr std::uint32_t kForeignService = 7;
      membership::Announcement announcement;
      announcement.upstream.id = UpstreamId{900};
      announcement.upstream.service = ServiceId{kForeignService};
      announcement.upstream.sidecar = {0x7f150001, 7000};
      announcement.upstream.data_center = "callao";
      announcement.upstream.incarnation =
          Incarnation(static_cast<std::uint64_t>(i + 1));
      client->Put(membership::AnnouncementKey(announcement.upstream.service,
                                              announcement.upstream.id),
                  membership::EncodeAnnouncement(announcement), reason);
      std::this_thread::sleep_for(kEventInterval);
    }
  }

  DeploymentOptions options_;
  Deployment deployment_;
};

int Run(int argc, char** argv) {
  constexpr int kArguments = 4;
  if (argc != kArguments) {
    std::fprintf(stderr, "usage: control-cost BALANCERS SERVICES SECONDS\n");
    return 1;
  }
  DeploymentOptions options;
  options.balancers = std::atoi(argv[1]);
  options.upstreams_per_service = kSidecarsPerService;
  options.services.clear();
  for (int id = 1; id <= std::atoi(argv[2]); ++id) {
    options.services.push_back({});
    options.services.back().id = id;
    options.services.back().vip = id;
  }
  options.peers = 2;
  Measurement measurement(options);
  return measurement.Run(seconds(std::atoi(argv[3]))) ? 0 : 1;
}

}  // namespace
}  // namespace cowslip::testing

int main(int argc, char** argv) { return cowslip::testing::Run(argc, argv); }
