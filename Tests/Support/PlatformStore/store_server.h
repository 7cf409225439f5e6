// A fake server of the platform's store that implements its protocol and
// injects faults. Each host may use a separate server, so that the store can
// refuse individual hosts.

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

// How the store refuses requests: kBusy answers 503, kTooMany answers 429,
// kReset resets the connection, and kSilent never answers.
enum class StoreOutage : uint8_t { kNone, kBusy, kTooMany, kReset, kSilent };

struct StoreFaults {
  StoreOutage outage = StoreOutage::kNone;
  // Added to the latency of every answer.
  core::Duration delay = core::Duration::zero();
  // Share of the appends (0 to 1) that are applied but not answered.
  double lost_answer_share = 0;

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
  const core::SocketAddress& address() const { return address_; }

 private:
  using TransactionPointer = std::shared_ptr<http::Transaction>;
  // The query parameters of a request.
  using Query = std::map<std::string, std::string>;

  // A long-poll read that waits for a new record.
  struct PendingRead {
    TransactionPointer transaction;
    std::string topic;
    platform::Offset from = 0;
    std::unique_ptr<core::Timer> timer;
  };

  StoreServer(core::EventLoop* loop, WatchedLog* log, uint64_t seed);

  void OnRequest(const TransactionPointer& transaction);
  // Refuses the request according to the current outage. Returns true if there
  // is an outage.
  bool ApplyOutage(const TransactionPointer& transaction);
  void Serve(const TransactionPointer& transaction);
  // Sends `answer` with the number of the log's history.
  void Respond(const TransactionPointer& transaction, http::Answer answer);
  void Append(const TransactionPointer& transaction, const Query& query);
  void ReadFrom(const TransactionPointer& transaction, const Query& query);
  void ReadNewest(const TransactionPointer& transaction, const Query& query);
  void AnswerRead(const TransactionPointer& transaction,
                  const std::string& topic,
                  platform::Offset from);
  void OnAppended(const std::string& topic);

  core::EventLoop* const loop_;
  WatchedLog* const log_;
  core::SocketAddress address_;
  core::RandomSource random_;
  StoreFaults faults_;
  std::list<PendingRead> pending_;
  // Timers of the requests that are delayed before they are served.
  std::list<std::unique_ptr<core::Timer>> delayed_;
  std::unique_ptr<http::RequestServer> server_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_PLATFORMSTORE_STORE_SERVER_H_
