#pragma once

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>

#include "platform/config_follower.h"
#include "platform/registration.h"
#include "platform/standins/store_standin.h"
#include "tests/platform/loop_runner.h"

namespace cowslip::platform_adapter::test {

inline const std::string kConfigKey = "op/config";

inline std::string Document(int version, const std::string& service = "vault") {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"host":"198.18.0.1","prefix":"/8443/","service":")" +
         service + R"("}],"services":[],"limits":{}})";
}

inline peers::PeerEntry MakeEntry(std::uint32_t address) {
  peers::PeerEntry entry;
  entry.address = address;
  entry.incarnation = 5;
  entry.service = "vault";
  entry.accepts = true;
  return entry;
}

/// A simulated store, and a client and follower connected to it.
struct StoreFixture {
  /// @param short_time limit for steps that usually take a few milliseconds.
  StoreFixture(const Endpoint& listen, std::chrono::milliseconds short_time)
      : store_address(listen), step_limit(short_time) {}

  std::unique_ptr<standins::StoreStandin> Open() {
    LastReason<AdapterError> reason;
    auto standin =
        standins::StoreStandin::Listen(loop.base(), store_address, reason);
    BOOST_REQUIRE_MESSAGE(standin != nullptr, reason.Message());
    return standin;
  }

  bool HasVersion(std::uint64_t version, std::chrono::milliseconds limit) {
    return RunUntil(loop, limit,
                    [&] { return follower.version().number == version; });
  }

  /// Makes the follower read version 1 and watch the store.
  void StartWatching() {
    store->Put(kConfigKey, Document(1));
    follower.SetWatching(true);
    BOOST_REQUIRE(HasVersion(1, step_limit));
    RunFor(loop, std::chrono::milliseconds(50));
  }

  Endpoint store_address;
  std::chrono::milliseconds step_limit;
  EventLoop loop;
  std::unique_ptr<standins::StoreStandin> store = Open();
  StoreClient client{loop.base(), store_address};
  std::function<void()> on_verified = [] {};
  /// Whether the version applied last directly follows the one before.
  bool follows_previous = false;
  std::uint64_t verified = 0;
  std::uint64_t failed = 0;
  /// The evacuations that the follower has reported, in order.
  std::vector<peers::EvacuationSnapshot> evacuations;
  ConfigFollower follower{
      loop,
      client,
      std::chrono::milliseconds(1000),
      {[this](auto, bool follows) { follows_previous = follows; },
       [this] {
         ++verified;
         on_verified();
       },
       [this] { ++failed; },
       [this](const peers::EvacuationSnapshot& stored, bool) {
         evacuations.push_back(stored);
       }}};
};

}  // namespace cowslip::platform_adapter::test
