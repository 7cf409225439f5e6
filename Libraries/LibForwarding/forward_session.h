// Handles one caller's request until it is answered: decides the order of
// steps, retries where that is allowed, and ends the request. This is the only
// layer that retries. The steps are done by other classes:
//
//   StreamResumption  finds where a resumed stream began
//   SendClearance     chooses endpoints and obtains slots, places and permits
//   RequestWait       queues the request while all endpoints are full
//   ExecutionRecord   knows whether the request may have run
//   RetryRule         decides whether the request may be sent again
//   ForwardAttempt    sends the request to one endpoint
//   ResponseRelay     relays the answer to the caller
//
// The session owns them and keeps itself alive until it has ended.

#ifndef LIBFORWARDING_FORWARD_SESSION_H_
#define LIBFORWARDING_FORWARD_SESSION_H_

#include <functional>
#include <memory>
#include <string_view>

#include "LibForwarding/active_requests.h"
#include "LibForwarding/endpoint_chooser.h"
#include "LibForwarding/execution_record.h"
#include "LibForwarding/forward_attempt.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibForwarding/request_fingerprint.h"
#include "LibForwarding/request_wait.h"
#include "LibForwarding/response_relay.h"
#include "LibForwarding/retry_rule.h"
#include "LibForwarding/send_clearance.h"
#include "LibForwarding/stream_resumption.h"
#include "LibHttp/transaction.h"

namespace wasabi::forwarding {

class ForwardSession : public std::enable_shared_from_this<ForwardSession>,
                       public ActiveRequest {
 public:
  // Starts a session that handles `request`. `context` must outlive the
  // session.
  static void Run(ForwardContext* context,
                  std::shared_ptr<http::Transaction> transaction,
                  ForwardRequest request);

  ForwardSession(ForwardContext* context,
                 std::shared_ptr<http::Transaction> transaction,
                 ForwardRequest request);
  ~ForwardSession() override;
  ForwardSession(const ForwardSession&) = delete;
  ForwardSession& operator=(const ForwardSession&) = delete;

  // ActiveRequest:
  void Interrupt(core::TimePoint stop_began_at) override;
  void RefuseIfTooLate() override;

 private:
  // Creates the objects that do the steps.
  void CreateSteps();
  void Start();
  // Continues the stream where it began, or refuses the request.
  void OnOrigin(const absl::StatusOr<StreamOrigin>& origin);
  // Starts an attempt, refuses the request or queues it.
  void DispatchOrWait();
  // Ends the request if it would crash endpoints. Returns whether it would.
  bool EndIfQuarantined();
  // Refuses the request if it has not run and the host shuts down too soon to
  // send it now. Returns whether it has.
  bool EndIfTooLate();
  // Starts an attempt, or asks for the clearance that it needs, or ends the
  // request if it would crash endpoints or comes too late. Returns false if no
  // endpoint can accept it now.
  bool Dispatch();
  // Does what Dispatch does, or refuses the request if every endpoint has asked
  // for a pause or has no permit left. Returns false if neither applies, so
  // that the request has to wait. Requires that no attempt may have run.
  bool DispatchOrRefuse();
  // Refuses the request if no endpoint can accept it for now, for a reason that
  // waiting on this host does not end.
  bool RefuseIfClosed();
  void OnClearance(const Clearance& clearance);
  void OnGranted(const Endpoint& endpoint);
  void OnPoolFull(core::Duration wait);
  void OnNoEndpoint();
  // Handles that another host has denied the chosen endpoint.
  void OnDenied();
  // Ends the request because endpoints have no place, or their limits permit no
  // request now.
  void EndDenied();
  void OnEvacuated();
  void StartAttempt(const Endpoint& endpoint);
  ForwardAttempt::Callbacks AttemptCallbacks();

  // Handles that new events of a stream were relayed.
  void OnEvent();
  void OnAttemptEnd(AttemptEnd end);
  // Records what the end of the attempt tells of the request's execution.
  void RecordExecution(AttemptEnd end);
  void OnAnswered();
  // Handles that neither this host nor another one could send the request.
  void OnNoPath();
  void OnAttemptNotRun(std::string_view reason);
  void OnAttemptMayHaveRun();
  // Sends a request that may have run once more, or ends it.
  void RunAgainOrFail();
  // Ends a request that may have run and is not sent again.
  void FailAfterRun();
  // Records how long the endpoint took until the first event or the answer.
  void RecordAnswerTime();
  void DeliverBufferedAnswer();

  // Returns the time after which the caller may retry.
  core::Duration RetryAfter();
  void Refuse(core::ResultCode code, std::string_view message);
  // `retry_after` is the time after which the caller may retry.
  void Refuse(core::ResultCode code,
              std::string_view message,
              core::Duration retry_after);
  // Promises that the request has not run and never will; fails it if it may
  // have run.
  void Refuse(const absl::Status& status);
  void Fail(core::ResultCode code, std::string_view message);
  void OnHopeless(core::Duration retry_after);
  void OnDeadline();
  void OnQueueTimeout();
  void OnCallerGone();
  void LeaveQueue() { wait_->Leave(); }
  void End(std::string_view outcome, bool is_promised_not_run = false);

  // Returns a callback that calls `method` while this session exists.
  template <typename... Args>
  std::function<void(Args...)> WhileAlive(
      void (ForwardSession::*method)(Args...)) {
    return [weak = weak_from_this(), method](Args... args) {
      if (const auto self = weak.lock()) {
        (self.get()->*method)(args...);
      }
    };
  }

  bool IsStream() const { return request_.route->is_stream; }
  core::TimePoint Now() const { return context_->loop->Now(); }

  ForwardContext* const context_;
  const std::shared_ptr<http::Transaction> transaction_;
  const ForwardRequest request_;
  const RequestFingerprint fingerprint_;
  ExecutionRecord execution_;
  EndpointChooser chooser_;
  const core::TimePoint answer_deadline_;
  std::shared_ptr<ForwardSession> self_;
  std::unique_ptr<core::Timer> deadline_timer_;

  std::shared_ptr<StreamResumption> resumption_;
  std::shared_ptr<SendClearance> clearance_;
  std::unique_ptr<RetryRule> retry_rule_;
  std::shared_ptr<RequestWait> wait_;
  std::shared_ptr<ResponseRelay> relay_;
  std::shared_ptr<ForwardAttempt> attempt_;
  // The current attempt has brought an event.
  bool has_event_ = false;
  // How the latest attempt ended.
  AttemptEnd last_end_ = AttemptEnd::kAnswered;
  bool has_ended_ = false;
  // The endpoint from which the current attempt's endpoint copies the prompt;
  // empty if it copies none.
  core::RunnerId prompt_source_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_FORWARD_SESSION_H_
