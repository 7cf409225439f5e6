// A service endpoint in virtual time that records what it ran.

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

// The endpoint that the dispatchers of several hosts share.
class FakeEndpoint {
 public:
  // Chances from 0 to 1.
  struct Faults {
    // The call runs, but its answer is lost.
    double crash = 0;
    // The call is refused and does not run.
    double refuse = 0;
    // The call runs for longer than controllers wait.
    double hang = 0;
  };

  FakeEndpoint(platform::Scheduler* network, uint64_t seed)
      : network_(network), random_(seed) {}

  Faults& faults() { return faults_; }
  // The request ids that ran, by key, in the order of their starts.
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

// One host's way to the endpoint.
class FakeDispatcher : public Dispatcher {
 public:
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

// The body that the endpoint answers to the call of `key`.
std::string AnswerBody(const std::string& key);

}  // namespace wasabi::ledger

#endif  // TESTS_LIBLEDGER_FAKE_ENDPOINT_H_
