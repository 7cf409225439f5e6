#ifndef TESTS_SUPPORT_SCENARIO_BYSTANDER_H_
#define TESTS_SUPPORT_SCENARIO_BYSTANDER_H_

#include <atomic>
#include <string>
#include <thread>

#include "LibCore/socket_address.h"

namespace wasabi::support {

// A small chat that every test deployment serves.
inline constexpr const char* kSmallChatTarget = "/v1/chat/completions";
inline constexpr const char* kSmallChat =
    R"({"model":"luthier","messages":[{"role":"user","content":"?"}],)"
    R"("max_tokens":2})";

// A caller that sends small chats to a router back to back on its own thread,
// from construction to destruction, and counts the answers.
class Bystander {
 public:
  explicit Bystander(const core::SocketAddress& router);
  ~Bystander();
  Bystander(const Bystander&) = delete;
  Bystander& operator=(const Bystander&) = delete;

  // Waits until a request that started after this call has completed. Returns
  // false on a timeout of 10 s.
  bool WaitForNextAnswer();
  // Requests answered with status 200.
  int answered() const { return answered_; }
  // Requests without an answer or with another status.
  int failed() const { return failed_; }

 private:
  void Work(const core::SocketAddress& router);

  std::atomic<bool> is_stopped_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> failed_ = 0;
  std::thread thread_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_SCENARIO_BYSTANDER_H_
