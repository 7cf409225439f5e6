// Calls that may not be repeated, sent by a test that keeps every answer and
// compares the answers with what the services themselves recorded.

#ifndef TESTS_SUPPORT_SCENARIO_KEYED_CALLS_H_
#define TESTS_SUPPORT_SCENARIO_KEYED_CALLS_H_

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "LibCore/time.h"
#include "Tests/Support/Fleet/fleet.h"

namespace wasabi::support {

// What one send of a key was told.
struct KeyedAnswer {
  // The connection broke or stayed silent, so nothing was told.
  static constexpr int kNoAnswer = -1;

  // core::ResultCode as a number, 0 for the service's answer.
  int code = kNoAnswer;
  // Whether the answer names a time to send the key again.
  bool has_retry_time = false;
  // The service's answer.
  std::string body;

  auto operator<=>(const KeyedAnswer&) const = default;

  // Whether every later send of the key must be told the same.
  bool is_final() const;
  // Whether it says that the call did not run.
  bool is_refusal() const;
};

// One send of a key.
struct KeyedSend {
  std::string key;
  size_t router = 0;
  core::TimePoint started;
  core::TimePoint ended;
  KeyedAnswer answer;
};

class KeyedCalls {
 public:
  // `fleet` must outlive this object.
  explicit KeyedCalls(Fleet* fleet) : fleet_(fleet) {}

  // Sends `key` through the router of that index and waits for the answer.
  KeyedAnswer Send(const std::string& key,
                   size_t router,
                   core::Duration deadline);
  // The same on a thread of its own.
  std::future<KeyedAnswer> SendInBackground(const std::string& key,
                                            size_t router,
                                            core::Duration deadline);

  // Sends `key` through all routers in turn until one gives a final answer;
  // nullopt when none has come within `timeout`.
  std::optional<KeyedAnswer> Settle(const std::string& key,
                                    core::Duration timeout);

  // Every send that has ended.
  std::vector<KeyedSend> sends() const;
  // Executions that the services recorded, by idempotency key.
  std::map<std::string, size_t> Executions() const;

 private:
  Fleet* fleet_;
  mutable std::mutex mutex_;
  std::vector<KeyedSend> sends_;
};

// Sends new keys, each through two routers at once, until it is stopped.
class KeyedLoad {
 public:
  KeyedLoad(KeyedCalls* calls,
            std::string prefix,
            size_t routers,
            core::Duration deadline,
            uint64_t seed);
  ~KeyedLoad();
  KeyedLoad(const KeyedLoad&) = delete;
  KeyedLoad& operator=(const KeyedLoad&) = delete;

  // Waits until the calls in flight have ended.
  void Stop();

 private:
  void Work(size_t worker, uint64_t seed);

  KeyedCalls* calls_;
  const std::string prefix_;
  const size_t routers_;
  const core::Duration deadline_;
  std::atomic<bool> is_stopped_ = false;
  std::vector<std::thread> workers_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_SCENARIO_KEYED_CALLS_H_
