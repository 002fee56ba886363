#include "cowslip/daemon/control_thread.h"

#include "cowslip/telemetry.h"
#include "store_options.h"

namespace cowslip::daemon {
namespace {

constexpr std::string_view kRoot = "cowslip/";
constexpr std::chrono::seconds kWatchWait{55};
constexpr std::chrono::milliseconds kRetryDelay{300};

}  // namespace

std::unique_ptr<ControlThread> ControlThread::Start(
    const settings::StoreSettings& store, ViewCell& views,
    LastReason<DaemonError>& reason) {
  LastReason<platform::PlatformError> fault;
  auto client = platform::StoreClient::Create(ToOptions(store), fault);
  if (!client) {
    reason.Set(DaemonError::kStore, fault.Message());
    return nullptr;
  }
  auto control = std::unique_ptr<ControlThread>(
      new ControlThread(std::move(*client), views));
  control->thread_ = std::thread([raw = control.get()] { raw->Run(); });
  return control;
}

ControlThread::ControlThread(platform::StoreClient client, ViewCell& views)
    : client_(std::move(client)), views_(views) {}

ControlThread::~ControlThread() {
  stopping_ = true;
  client_.Cancel();
  if (thread_.joinable()) thread_.join();
}

void ControlThread::Run() {
  std::uint64_t index = 0;
  while (!stopping_) {
    LastReason<platform::PlatformError> reason;
    const auto listing =
        index == 0 ? client_.List(kRoot, reason)
                   : client_.WatchList(kRoot, index, kWatchWait, reason);
    if (stopping_) return;
    if (!listing) {
      if (reachable_.exchange(false)) {
        telemetry::Log(telemetry::Level::kWarn, "store_unreachable",
                       {{"reason", reason.Message()}});
      }
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    reachable_ = true;
    index = std::max<std::uint64_t>(listing->index, 1);
    if (state_.Absorb(listing->values)) Publish();
  }
}

void ControlThread::Publish() {
  ticket_ = Raw(state_.tickets().number());
  views_.Publish(state_.BuildView(std::chrono::system_clock::now(),
                                  std::chrono::steady_clock::now()));
}

}  // namespace cowslip::daemon
