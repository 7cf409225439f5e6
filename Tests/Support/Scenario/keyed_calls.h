// Sends calls with idempotency keys to a fleet and records every answer, so
// that a test can compare the answers with the executions that the services
// recorded.

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

// The answer to one send of a key.
struct KeyedAnswer {
  // The connection failed or the call timed out, so there was no answer.
  static constexpr int kNoAnswer = -1;

  // A core::ResultCode as a number, 0 if the service answered, or kNoAnswer.
  int code = kNoAnswer;
  // True if the answer says after how many milliseconds to resend the key.
  bool has_retry_time = false;
  // The body of the service's answer. Empty for every other code.
  std::string body;

  auto operator<=>(const KeyedAnswer&) const = default;

  // Returns whether every later send of the key must receive the same answer.
  bool is_final() const;
  // Returns whether the answer states that the call did not run.
  bool is_refusal() const;
};

// One completed send of a key.
struct KeyedSend {
  std::string key;
  size_t router = 0;
  core::TimePoint started;
  core::TimePoint ended;
  KeyedAnswer answer;
};

// Sends keyed calls and records them. Send() may be called from several
// threads.
class KeyedCalls {
 public:
  // `fleet` must outlive this object.
  explicit KeyedCalls(Fleet* fleet) : fleet_(fleet) {}

  // Sends `key` through the router with the index `router` and blocks until the
  // answer arrives or the call times out.
  KeyedAnswer Send(const std::string& key,
                   size_t router,
                   core::Duration deadline);
  // Calls Send() on a separate thread.
  std::future<KeyedAnswer> SendInBackground(const std::string& key,
                                            size_t router,
                                            core::Duration deadline);

  // Sends `key` through the routers in turn until one returns a final answer.
  // Returns nullopt if none does within `timeout`.
  std::optional<KeyedAnswer> Settle(const std::string& key,
                                    core::Duration timeout);

  // Returns all sends that have completed.
  std::vector<KeyedSend> sends() const;
  // Returns the number of executions that the endpoints recorded for each
  // idempotency key.
  std::map<std::string, size_t> Executions() const;

 private:
  Fleet* fleet_;
  mutable std::mutex mutex_;
  std::vector<KeyedSend> sends_;
};

// Sends new keys, each through two routers concurrently, until Stop() is
// called. `calls` must outlive it.
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

  // Stops sending and waits until the calls in flight have completed.
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
