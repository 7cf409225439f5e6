// Several controllers of one partition on one log, in virtual time: every host
// believes that it owns the partition, and all get calls with the same keys.

#ifndef TESTS_LIBLEDGER_LEDGER_WORLD_H_
#define TESTS_LIBLEDGER_LEDGER_WORLD_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibLedger/partition_controller.h"
#include "Tests/LibLedger/fake_endpoint.h"
#include "Tests/Support/FakeLog/fake_log.h"
#include "Tests/Support/FakeLog/host_scheduler.h"
#include "Tests/Support/FakeLog/virtual_scheduler.h"

namespace wasabi::ledger {

// One call that a caller sent, and what it was told.
struct Submission {
  std::string key;
  std::string request_id;
  size_t host = 0;
  core::Duration deadline = core::Duration::zero();
  // Whether the host crashed while the call was open, so that no answer is due.
  bool is_host_lost = false;
  std::optional<LedgerOutcome> outcome;
};

class LedgerWorld {
 public:
  LedgerWorld(size_t hosts, uint64_t seed);

  testing::VirtualScheduler& time() { return time_; }
  testing::FakeLog& log() { return log_; }
  FakeEndpoint& endpoint() { return endpoint_; }
  PartitionOptions& options() { return options_; }
  PartitionController& controller(size_t host) {
    return *hosts_[host].controller;
  }
  const std::vector<Submission>& submissions() const { return submissions_; }

  // Opens a controller on each host.
  void Start();
  // Sends a call to `host`; returns its index in submissions().
  size_t Submit(size_t host,
                const std::string& key,
                core::Duration deadline,
                const std::string& body = "",
                bool is_over_rate = false);
  void Pause(size_t host);
  void Resume(size_t host);
  // Ends the process on `host` without notice, and starts a new one.
  void Restart(size_t host);
  // Closes the controller on `host`, and starts another that takes over.
  void Replace(size_t host);
  void RunFor(core::Duration duration) { time_.RunFor(duration); }

  // The result code of a submission; kCallerGone while it is unanswered.
  core::ResultCode CodeOf(size_t submission) const;
  // The request ids that ran with `key`.
  std::vector<std::string> Executions(const std::string& key) const;
  size_t ExecutionsOf(const std::string& key) const {
    return Executions(key).size();
  }

 private:
  struct Host {
    std::unique_ptr<testing::HostScheduler> scheduler;
    std::unique_ptr<testing::FakeLogClient> client;
    std::unique_ptr<FakeDispatcher> dispatcher;
    std::shared_ptr<PartitionController> controller;
  };

  void StartHost(size_t host);

  testing::VirtualScheduler time_;
  testing::FakeLog log_;
  FakeEndpoint endpoint_;
  PartitionOptions options_;
  std::vector<Host> hosts_;
  // Parts of ended processes, which messages on their way still refer to, and
  // of controllers that are closing.
  std::vector<Host> ended_;
  uint64_t next_writer_ = 1;
  std::vector<Submission> submissions_;
};

}  // namespace wasabi::ledger

#endif  // TESTS_LIBLEDGER_LEDGER_WORLD_H_
