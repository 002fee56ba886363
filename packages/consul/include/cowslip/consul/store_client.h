#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cowslip/base/last_reason.h"
#include "cowslip/consul/consul_error.h"
#include "cowslip/consul/results.h"
#include "cowslip/consul/store_call_stats.h"
#include "cowslip/consul/store_client_options.h"

namespace cowslip::consul {

class HttpTransport;
class StoreUrl;
struct HttpResponse;

/// Blocking client of the store. Except for Cancel(), only one thread at a time
/// may call it.
///
/// Every operation returns std::nullopt and sets the last reason on failure. A
/// write is sent at most once: the next URL is tried only if the request was
/// not sent to the previous one.
class StoreClient {
 public:
  using Reason = LastReason<ConsulError>;

  /// @return std::nullopt if the options are invalid.
  static std::optional<StoreClient> Create(const StoreClientOptions& options,
                                           Reason& reason);

  StoreClient(StoreClient&&) noexcept;
  StoreClient& operator=(StoreClient&&) noexcept;
  ~StoreClient();

  /// Reads one key.
  std::optional<GetResult> Get(std::string_view key, Reason& reason);
  /// Reads one key as soon as its index is above `index`, at the latest after
  /// `wait`.
  std::optional<GetResult> Watch(std::string_view key, std::uint64_t index,
                                 std::chrono::milliseconds wait,
                                 Reason& reason);
  /// Reads all keys with a prefix.
  std::optional<ListResult> List(std::string_view prefix, Reason& reason);
  /// Reads all keys with a prefix as soon as the index of one is above `index`,
  /// at the latest after `wait`.
  std::optional<ListResult> WatchList(std::string_view prefix,
                                      std::uint64_t index,
                                      std::chrono::milliseconds wait,
                                      Reason& reason);

  /// Writes a key unconditionally.
  std::optional<CasResult> Put(std::string_view key, std::string_view value,
                               Reason& reason);
  /// Writes a key if the index of its last write is `modify_index`.
  /// @param modify_index 0 writes only if the key does not exist.
  std::optional<CasResult> PutCas(std::string_view key, std::string_view value,
                                  std::uint64_t modify_index, Reason& reason);
  /// Deletes a key if the index of its last write is `modify_index`.
  std::optional<CasResult> DeleteCas(std::string_view key,
                                     std::uint64_t modify_index,
                                     Reason& reason);

  /// Creates a session that the store invalidates unless it is renewed within
  /// `ttl`.
  std::optional<Session> CreateSession(std::chrono::milliseconds ttl,
                                       Reason& reason);
  /// Restarts the time to live of a session.
  std::optional<RenewResult> RenewSession(std::string_view id, Reason& reason);
  std::optional<CasResult> DestroySession(std::string_view id, Reason& reason);
  /// Writes a key and locks it for a session.
  /// @return applied is false if another session holds the lock.
  std::optional<CasResult> Acquire(std::string_view key, std::string_view value,
                                   std::string_view session, Reason& reason);

  /// Ends the call in progress, and all later ones until Resume(). Callable
  /// from any thread.
  void Cancel();
  /// Allows calls again after Cancel().
  void Resume();

  /// @return statistics of all calls of this client.
  const StoreCallStats& stats() const;

 private:
  explicit StoreClient(std::unique_ptr<HttpTransport> transport);

  std::optional<GetResult> ReadOne(const StoreUrl& url,
                                   std::chrono::milliseconds wait,
                                   Reason& reason);
  std::optional<ListResult> ReadAll(const StoreUrl& url,
                                    std::chrono::milliseconds wait,
                                    Reason& reason);
  std::optional<HttpResponse> Read(const StoreUrl& url,
                                   std::chrono::milliseconds wait,
                                   Reason& reason);
  std::optional<CasResult> Write(std::string_view method, const StoreUrl& url,
                                 std::string_view body, Reason& reason);

  std::unique_ptr<HttpTransport> transport_;
};

}  // namespace cowslip::consul
