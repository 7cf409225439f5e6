// One chat completion at its entry: it walks the preference order of runners,
// and is the only layer that retries.

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

// What all sessions of a process share.
struct SessionContext {
  core::EventLoop* loop = nullptr;
  core::EventRing* events = nullptr;
  core::Metrics* metrics = nullptr;
  const RouterSettings* settings = nullptr;
  EndpointDirectory* directory = nullptr;
  WorkTransport* transport = nullptr;
  AnswerStore* answers = nullptr;
  std::function<membership::MemberTableView()> members;
  // The runners of a pool for a chat, the first choice first.
  std::function<std::vector<core::RunnerId>(const RequestContext&)>
      preference_order;
  // Takes one retry from the pool's budget; false when it is used up.
  std::function<bool(const core::PoolId&)> take_retry;
  // A first attempt was made, which earns the pool's budget a share.
  std::function<void(const core::PoolId&)> note_first_attempt;
};

class ChatSession : public std::enable_shared_from_this<ChatSession> {
 public:
  // Starts to route the request; `stream` hears the answer.
  static std::shared_ptr<ChatSession> Start(
      const SessionContext* context,
      RequestContext request,
      const std::shared_ptr<CallerStream>& stream);

 private:
  class TrySink;

  ChatSession(const SessionContext* context, RequestContext request);

  void Begin(const std::shared_ptr<CallerStream>& stream);
  void TryCurrent();
  void TryRunner(const core::RunnerId& runner, uint32_t choice);
  const membership::Member* PickHost(const core::RunnerId& runner,
                                     bool* is_forced) const;
  SubmitWork MakeWork(const core::RunnerId& runner, uint32_t choice) const;

  // True where no other runner of the order is left to try.
  bool IsLastChoice(const core::RunnerId& runner) const;

  void OnStarted();
  void OnTryNext();
  void OnFollowPointer(const core::RunnerId& runner);
  void OnChunk(uint32_t index, std::string_view payload);
  void OnTryDone(const absl::Status& status);

  void RetryWithOtherHost(bool may_have_run);
  void ResumeOnSameRunner();
  void ResumeOnNextRunner(const absl::Status& status);
  void RetryAfterBackoff();
  bool TakeRetry();
  void Finish(const absl::Status& outcome);
  // `status`, or an error in place of a refusal, which would say that a request
  // that may have run did not.
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
  // Runners that turned the request down in this round or failed it.
  std::set<core::RunnerId> excluded_runners_;
  std::set<core::HostId> avoided_hosts_;
  uint32_t attempt_ = 1;
  uint32_t retries_ = 0;
  uint32_t host_retries_ = 0;
  uint32_t same_runner_retries_ = 0;
  uint32_t crashes_ = 0;
  uint32_t restarts_ = 0;
  routing::PointerUse pointer_use_ = routing::PointerUse::kUnused;
  bool may_have_run_ = false;
  bool is_ended_ = false;
  std::shared_ptr<TrySink> current_try_;
  std::unique_ptr<core::Timer> backoff_timer_;
  std::unique_ptr<core::Timer> deadline_timer_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_CHAT_SESSION_H_
