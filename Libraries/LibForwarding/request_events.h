// Events and metrics of one request's attempts and of its end (docs/EVENTS.md).

#ifndef LIBFORWARDING_REQUEST_EVENTS_H_
#define LIBFORWARDING_REQUEST_EVENTS_H_

#include <cstdint>
#include <string_view>

#include "LibCore/identifier.h"
#include "LibForwarding/execution_record.h"
#include "LibForwarding/forward_attempt.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibForwarding/response_relay.h"

namespace wasabi::forwarding {

// Records that `attempt`, the latest of `sends`, did not end with a successful
// answer.
void RecordFailedAttempt(const ForwardContext& context,
                         const ForwardRequest& request,
                         const ForwardAttempt& attempt,
                         const ResponseRelay& relay,
                         AttemptEnd end,
                         uint32_t sends);

// Records that a host that has been shutting down since `stop_began_at` ends a
// request before its answer is complete. `attempt` is the one under way, or
// nullptr.
void RecordInterrupted(const ForwardContext& context,
                       const ForwardRequest& request,
                       const ResponseRelay& relay,
                       const ForwardAttempt* attempt,
                       core::TimePoint stop_began_at);

// What is recorded of a request that has ended.
struct RequestSummary {
  std::string_view outcome;
  // The caller was told that the request has not run and never will.
  bool is_promised_not_run = false;
  ExecutionState execution = ExecutionState::kNeverSent;
  // The latest attempt; nullptr if there was none.
  const ForwardAttempt* attempt = nullptr;
  // The endpoint from which the latest attempt's endpoint copied the prompt;
  // empty if it copied none.
  core::RunnerId prompt_source;
  uint32_t sends = 0;
  uint32_t runs = 0;
};

void RecordRequestEnd(const ForwardContext& context,
                      const ForwardRequest& request,
                      const ResponseRelay& relay,
                      const RequestSummary& summary);

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_REQUEST_EVENTS_H_
