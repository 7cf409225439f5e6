// Simulated service endpoint that records the calls it ran, and a dispatcher
// that sends calls to it.

#ifndef TESTS_LIBLEDGER_FAKE_ENDPOINT_H_
#define TESTS_LIBLEDGER_FAKE_ENDPOINT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibLedger/dispatcher.h"
#include "LibPlatform/scheduler.h"

namespace wasabi::ledger {

// An endpoint that is shared by the dispatchers of several hosts.
class FakeEndpoint {
 public:
  // Probabilities of the faults, from 0 to 1.
  struct Faults {
    // The call runs, but its answer is lost.
    double crash = 0;
    // The endpoint refuses the call without running it.
    double refuse = 0;
    // The call runs, but no answer arrives before the controller's timeout.
    double hang = 0;
  };

  // `network` must outlive the endpoint. It delivers the requests and keeps
  // running while a host is paused or has crashed.
  FakeEndpoint(platform::Scheduler* network, uint64_t seed)
      : network_(network), random_(seed) {}

  Faults& faults() { return faults_; }
  // Returns the ids of the requests that ran for each key, in the order in
  // which they started.
  const std::map<std::string, std::vector<std::string>>& executions() const {
    return executions_;
  }

 private:
  friend class FakeDispatcher;

  platform::Scheduler* network_;
  core::RandomSource random_;
  Faults faults_;
  std::map<std::string, std::vector<std::string>> executions_;
};

// Dispatcher of one host. Delays requests and answers at random.
class FakeDispatcher : public Dispatcher {
 public:
  // `endpoint` and `host` must outlive the dispatcher. `host` is the scheduler
  // of the dispatching host.
  FakeDispatcher(FakeEndpoint* endpoint, platform::Scheduler* host)
      : endpoint_(endpoint), host_(host) {}

  void Dispatch(const LedgerCall& call,
                uint64_t attempt,
                core::Duration timeout,
                Callback callback) override;

 private:
  void Arrive(const LedgerCall& call,
              core::Duration timeout,
              const Callback& callback);
  core::Duration ShortDelay();

  FakeEndpoint* endpoint_;
  platform::Scheduler* host_;
};

// Returns the body with which the endpoint answers calls with `key`.
std::string AnswerBody(const std::string& key);

}  // namespace wasabi::ledger

#endif  // TESTS_LIBLEDGER_FAKE_ENDPOINT_H_
