// One address of the platform's store, by its protocol, with faults. Each host
// may get an address of its own, so that the store can turn some hosts away.

#ifndef TESTS_SUPPORT_PLATFORMSTORE_STORE_SERVER_H_
#define TESTS_SUPPORT_PLATFORMSTORE_STORE_SERVER_H_

#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "LibHttp/request_server.h"
#include "Tests/Support/PlatformStore/watched_log.h"

namespace wasabi::support {

enum class StoreOutage : uint8_t { kNone, kBusy, kTooMany, kReset, kSilent };

struct StoreFaults {
  StoreOutage outage = StoreOutage::kNone;
  // Added to every answer.
  core::Duration delay = core::Duration::zero();
  // Share of the appends that are done and not answered.
  double lost_answers = 0;

  auto operator<=>(const StoreFaults&) const = default;
};

class StoreServer {
 public:
  // `loop` and `log` must outlive the server. Error: kCannotListen.
  static absl::StatusOr<std::unique_ptr<StoreServer>> Create(
      core::EventLoop* loop,
      const core::SocketAddress& address,
      WatchedLog* log,
      uint64_t seed);

  void SetFaults(const StoreFaults& faults) { faults_ = faults; }

 private:
  using TransactionPointer = std::shared_ptr<http::Transaction>;
  // The values of a call's query.
  using Query = std::map<std::string, std::string>;

  // A read that waits for a record.
  struct PendingRead {
    TransactionPointer transaction;
    std::string topic;
    platform::Offset from = 0;
    std::unique_ptr<core::Timer> timer;
  };

  StoreServer(core::EventLoop* loop, WatchedLog* log, uint64_t seed);

  void OnRequest(const TransactionPointer& transaction);
  bool IsTurnedAway(const TransactionPointer& transaction);
  void Serve(const TransactionPointer& transaction);
  void Append(const TransactionPointer& transaction, const Query& query);
  void ReadFrom(const TransactionPointer& transaction, const Query& query);
  void ReadNewest(const TransactionPointer& transaction, const Query& query);
  void AnswerRead(const TransactionPointer& transaction,
                  const std::string& topic,
                  platform::Offset from);
  void OnAppended(const std::string& topic);

  core::EventLoop* const loop_;
  WatchedLog* const log_;
  core::RandomSource random_;
  StoreFaults faults_;
  std::list<PendingRead> pending_;
  // Calls whose answers are under way.
  std::list<std::unique_ptr<core::Timer>> delayed_;
  std::unique_ptr<http::RequestServer> server_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_PLATFORMSTORE_STORE_SERVER_H_
