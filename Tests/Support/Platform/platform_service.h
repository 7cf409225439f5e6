// The HTTP interface of the platform stand-in; see "Platform" in
// docs/PROTOCOLS.md.

#ifndef TESTS_SUPPORT_PLATFORM_PLATFORM_SERVICE_H_
#define TESTS_SUPPORT_PLATFORM_PLATFORM_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibHttp/exchange.h"
#include "Tests/Support/Platform/append_limit.h"
#include "Tests/Support/Platform/faults.h"
#include "Tests/Support/Platform/host_list_store.h"
#include "Tests/Support/Platform/log_store.h"
#include "Tests/Support/Platform/weight_store.h"

namespace wasabi::standin {

struct PlatformOptions {
  // Maximum appends per second over all streams; 0 means no limit.
  double append_rate = 400;
  // Number of records that each stream retains.
  size_t retention_records = 1000000;
  core::Duration host_list_lag = core::milliseconds(500);
  WeightStoreOptions weights;
  // Seed of random faults.
  uint64_t seed = 1;
};

class PlatformService {
 public:
  // `loop` must outlive the service.
  PlatformService(core::EventLoop* loop, const PlatformOptions& options);

  // Handles one request. The answer may be sent after this call returns.
  void Handle(const std::shared_ptr<http::Exchange>& exchange);

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;

  // A long-polling read that waits for a record at or after `from`.
  struct WaitingRead {
    ExchangePtr exchange;
    std::string stream;
    platform::Offset from = 0;
    size_t limit = 0;
    std::unique_ptr<core::Timer> timeout;
  };

  // Operation counts, reported by GET /executions.
  struct Counts {
    uint64_t appended = 0;
    uint64_t appends_refused = 0;
    uint64_t append_answers_lost = 0;
    uint64_t reads = 0;
  };

  struct Route;

  void Append(const ExchangePtr& exchange, const std::string& stream);
  void Read(const ExchangePtr& exchange, const std::string& stream);
  void Bounds(const ExchangePtr& exchange, const std::string& stream);
  void ListHosts(const ExchangePtr& exchange, const std::string& rest);
  void PutHost(const ExchangePtr& exchange, const std::string& id);
  void RemoveHost(const ExchangePtr& exchange, const std::string& id);
  void DownloadWeights(const ExchangePtr& exchange, const std::string& name);
  void ChangeFaults(const ExchangePtr& exchange, const std::string& rest);
  void ForgetRecords(const ExchangePtr& exchange, const std::string& stream);
  void TruncateStream(const ExchangePtr& exchange, const std::string& stream);
  void ReportExecutions(const ExchangePtr& exchange, const std::string& rest);

  // Answers a read if there are records or no reason to wait, and in any case
  // if `is_last_chance`. Returns false if the read is still unanswered.
  bool AnswerRead(const ExchangePtr& exchange,
                  const std::string& stream,
                  platform::Offset from,
                  size_t limit,
                  bool is_last_chance);
  void WaitForRecords(const ExchangePtr& exchange,
                      const std::string& stream,
                      platform::Offset from,
                      size_t limit,
                      core::Duration wait);
  void WakeReaders(const std::string& stream);
  // Responds after the injected answer delay.
  void Respond(const ExchangePtr& exchange,
               int status,
               std::string body,
               http::Headers headers = {});
  void Refuse(const ExchangePtr& exchange, const absl::Status& status);

  core::EventLoop* loop_;
  Faults faults_;
  LogStore log_;
  AppendLimit append_limit_;
  HostListStore hosts_;
  WeightStore weights_;
  std::list<WaitingRead> waiting_reads_;
  std::list<std::unique_ptr<core::Timer>> delayed_answers_;
  // Exchanges whose answers were lost silently; holding them keeps their
  // connections open.
  std::vector<ExchangePtr> silent_exchanges_;
  Counts counts_;
};

}  // namespace wasabi::standin

#endif  // TESTS_SUPPORT_PLATFORM_PLATFORM_SERVICE_H_
