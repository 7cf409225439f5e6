// Simulates several hosts in virtual time that share one log. Every host
// believes that it owns the same partition and runs a controller for it.

#ifndef TESTS_LIBLEDGER_LEDGER_SIMULATION_H_
#define TESTS_LIBLEDGER_LEDGER_SIMULATION_H_

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

// One submitted call and the outcome that its caller received.
struct Submission {
  std::string key;
  std::string request_id;
  size_t host = 0;
  core::Duration deadline = core::Duration::zero();
  // True if the host crashed before it answered the call. No answer is expected
  // then.
  bool has_host_crashed = false;
  std::optional<LedgerOutcome> outcome;
};

// Owns the simulated clock, the log, the endpoint and the hosts.
class LedgerSimulation {
 public:
  LedgerSimulation(size_t hosts, uint64_t seed);

  testing::VirtualScheduler& time() { return time_; }
  testing::FakeLog& log() { return log_; }
  FakeEndpoint& endpoint() { return endpoint_; }
  PartitionOptions& options() { return options_; }
  PartitionController& controller(size_t host) {
    return *hosts_[host].controller;
  }
  const std::vector<Submission>& submissions() const { return submissions_; }

  // Opens a controller on each host. Changes to options() must come before.
  void Start();
  // Submits a call to the controller on `host` and returns its index in
  // submissions(). `deadline` is relative to now.
  size_t Submit(size_t host,
                const std::string& key,
                core::Duration deadline,
                const std::string& body = "",
                bool is_over_rate_limit = false);
  // Suspends the process on `host` until Resume.
  void Pause(size_t host);
  void Resume(size_t host);
  // Crashes the process on `host` and starts a new one.
  void Restart(size_t host);
  // Closes the controller on `host` gracefully and immediately starts its
  // successor.
  void Replace(size_t host);
  void RunFor(core::Duration duration) { time_.RunFor(duration); }

  // Returns the result code of a submission, or kCallerGone if it has not been
  // answered yet.
  core::ResultCode CodeOf(size_t submission) const;
  // Returns the ids of the requests that ran with `key`.
  std::vector<std::string> Executions(const std::string& key) const;
  // Returns the number of requests that ran with `key`.
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
  // Hosts whose process has crashed or whose controller is closing. They must
  // stay alive because messages in flight still refer to them.
  std::vector<Host> retired_hosts_;
  uint64_t next_writer_ = 1;
  std::vector<Submission> submissions_;
};

}  // namespace wasabi::ledger

#endif  // TESTS_LIBLEDGER_LEDGER_SIMULATION_H_
