// Routes one chat completion from its entry router. Walks the preference order
// of runners and is the only layer that retries.

#ifndef SERVICES_ROUTER_CHAT_SESSION_H_
#define SERVICES_ROUTER_CHAT_SESSION_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibCore/metrics.h"
#include "LibMembership/member_table.h"
#include "Services/Router/answer_record.h"
#include "Services/Router/answer_store.h"
#include "Services/Router/caller_stream.h"
#include "Services/Router/endpoint_directory.h"
#include "Services/Router/request_context.h"
#include "Services/Router/router_settings.h"
#include "Services/Router/work_transport.h"

namespace wasabi::router {

// Dependencies shared by all sessions of a process; they must outlive the
// sessions.
struct SessionContext {
  core::EventLoop* loop = nullptr;
  core::EventRing* events = nullptr;
  core::Metrics* metrics = nullptr;
  const RouterSettings* settings = nullptr;
  EndpointDirectory* directory = nullptr;
  WorkTransport* transport = nullptr;
  AnswerStore* answers = nullptr;
  std::function<membership::MemberTableSnapshot()> members;
  // Returns the runners of the request's pool in preference order, first choice
  // first.
  std::function<std::vector<core::RunnerId>(const RequestContext&)>
      preference_order;
  // Consumes one retry from the pool's budget. Returns false if the budget is
  // exhausted.
  std::function<bool(const core::PoolId&)> take_retry;
  // Records a first attempt, which adds to the pool's retry budget.
  std::function<void(const core::PoolId&)> record_first_attempt;
};

// Submits a request to the owner of one runner at a time until an answer
// completes or the request fails. Its timers keep the session alive until it
// ends.
class ChatSession : public std::enable_shared_from_this<ChatSession> {
 public:
  // Starts routing the request. `stream` receives the answer; the session holds
  // a reference to it.
  static std::shared_ptr<ChatSession> Start(
      const SessionContext* context,
      RequestContext request,
      const std::shared_ptr<CallerStream>& stream);

 private:
  class SubmissionSink;

  ChatSession(const SessionContext* context, RequestContext request);

  // Subscribes `stream`, starts the deadline timer and submits to the first
  // choice.
  void Begin(const std::shared_ptr<CallerStream>& stream);
  // Submits to the first runner of the order, from `choice_` on, that is not
  // excluded.
  void SubmitToCurrentChoice();
  void SubmitToRunner(const core::RunnerId& runner, uint32_t choice);
  // Returns the router to submit work for `runner` to, or nullptr if no router
  // is known. Sets `is_forced` if that router must act as the owner regardless
  // of its member table.
  const membership::Member* PickHost(const core::RunnerId& runner,
                                     bool* is_forced) const;
  SubmitWork MakeWork(const core::RunnerId& runner, uint32_t choice) const;

  // Returns true if all other runners of the order are excluded.
  bool IsLastChoice(const core::RunnerId& runner) const;

  void OnStarted();
  void OnTryNext();
  void OnFollowPointer(const core::RunnerId& runner);
  void OnChunk(uint32_t index, std::string_view payload);
  void OnSubmissionDone(const absl::Status& status);

  // Retries through another router. Only a submission that may have run
  // consumes a retry from the budget.
  void RetryWithOtherHost(bool may_have_run);
  void ResumeOnSameRunner();
  void ResumeOnNextRunner(const absl::Status& status);
  void RetryAfterBackoff();
  // Consumes a retry. Returns false if the request's limit or the pool's budget
  // is exhausted.
  bool TakeRetry();
  void Finish(const absl::Status& outcome);
  // Returns `status`, except that a refusal becomes kAnswerTruncated if the
  // request may have run: a refusal tells the caller that it did not.
  absl::Status WithoutFalseRefusal(const absl::Status& status) const;
  void RecordEvent(core::EventCode code, const std::string& detail);

  const SessionContext* context_;
  RequestContext request_;
  std::shared_ptr<AnswerRecord> record_;
  std::shared_ptr<CallerStream> stream_;
  std::vector<core::RunnerId> order_;
  size_t choice_ = 0;
  core::RunnerId current_runner_;
  core::HostId current_host_;
  // Runners that rejected or failed the request in the current pass over the
  // preference order.
  std::set<core::RunnerId> excluded_runners_;
  std::set<core::HostId> avoided_hosts_;
  uint32_t attempt_ = 1;
  uint32_t retries_ = 0;
  uint32_t host_retries_ = 0;
  uint32_t same_runner_retries_ = 0;
  uint32_t crashes_ = 0;
  uint32_t order_restarts_ = 0;
  routing::PointerUse pointer_use_ = routing::PointerUse::kUnused;
  bool may_have_run_ = false;
  bool is_ended_ = false;
  std::shared_ptr<SubmissionSink> current_submission_;
  std::unique_ptr<core::Timer> backoff_timer_;
  std::unique_ptr<core::Timer> deadline_timer_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_CHAT_SESSION_H_
