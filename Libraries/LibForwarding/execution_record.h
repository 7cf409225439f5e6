// What is known of whether a request has run. A request is sent only with the
// consent of its record, and only the record can promise that it has not run
// and never will.

#ifndef LIBFORWARDING_EXECUTION_RECORD_H_
#define LIBFORWARDING_EXECUTION_RECORD_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace wasabi::forwarding {

enum class ExecutionState : uint8_t {
  // No byte was sent to an endpoint.
  kNeverSent,
  // Each endpoint that was sent the request refused it.
  kRefused,
  // An endpoint was sent the request, and what became of it is open.
  kSent,
  // The request may have run. This state is final.
  kUnknown,
};

std::string_view NameOf(ExecutionState state);

// The right to tell a caller that its request has not run and never will.
class NotRunPromise {
 private:
  friend class ExecutionRecord;
  NotRunPromise() = default;
};

class ExecutionRecord {
 public:
  // `may_repeat` says whether the request may run more than once.
  explicit ExecutionRecord(bool may_repeat) : may_repeat_(may_repeat) {}

  // To be asked right before the first byte is passed to the kernel. Returns
  // false if the request must not be sent: its caller has been promised that it
  // never runs, or it may run once only and an endpoint may have run it.
  [[nodiscard]] bool BeginSend();
  // An endpoint to which the request was sent states that it has not run it.
  void RecordRefusal();
  // A send has ended in any other way.
  void RecordUnknown();

  // Returns the promise, or nullopt if the request may have run. Once it is
  // given, the request is never sent again.
  std::optional<NotRunPromise> PromiseNotRun();

  ExecutionState state() const;
  bool MayHaveRun() const {
    return state() == ExecutionState::kSent ||
           state() == ExecutionState::kUnknown;
  }

 private:
  const bool may_repeat_;
  // Sends whose outcome is open. A send that is given up without an outcome
  // stays open.
  uint32_t open_sends_ = 0;
  bool has_been_refused_ = false;
  bool is_unknown_ = false;
  bool is_promised_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_EXECUTION_RECORD_H_
