#include "Services/Router/reattach_session.h"

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/try.h"
#include "Services/Router/work_transport.h"

namespace wasabi::router {

namespace {

using core::MakeStatus;
using core::ResultCode;

// Sends an answer to the router that requested it.
class InboundListener : public AnswerListener {
 public:
  explicit InboundListener(std::shared_ptr<link::InboundCall> call)
      : sink_(std::move(call)) {}

  void Begin() { sink_.OnStarted(); }
  void OnAnswerChunk(uint32_t index, std::string_view payload) override {
    sink_.OnChunk(index, payload);
  }
  void OnAnswerDone(const absl::Status& status) override {
    sink_.OnDone(status);
  }

 private:
  LinkSink sink_;
};

}  // namespace

// Receives the replies of one router.
class ReattachSession::PeerSink : public WorkSink {
 public:
  PeerSink(std::shared_ptr<ReattachSession> session, size_t host)
      : session_(std::move(session)), host_(host) {}

  void OnStarted() override { session_->OnFound(host_); }
  void OnTryNext() override { OnDone(Unknown()); }
  void OnFollowPointer(const core::RunnerId& /*runner*/) override {
    OnDone(Unknown());
  }
  void OnChunk(uint32_t index, std::string_view payload) override {
    session_->OnChunk(host_, index, payload);
  }
  void OnDone(const absl::Status& status) override {
    session_->OnDone(host_, status);
  }

 private:
  static absl::Status Unknown() {
    return MakeStatus(ResultCode::kUnknownRequest,
                      "this router does not store the answer");
  }

  std::shared_ptr<ReattachSession> session_;
  size_t host_;
};

void ReattachSession::Start(link::Link* link,
                            const membership::MemberTableSnapshot& members,
                            const core::HostId& self,
                            const ReattachRequest& request,
                            const std::shared_ptr<CallerStream>& stream) {
  std::shared_ptr<ReattachSession> session(new ReattachSession(stream));
  session->QueryOtherRouters(link, members, self, request);
}

void ReattachSession::QueryOtherRouters(
    link::Link* link,
    const membership::MemberTableSnapshot& members,
    const core::HostId& self,
    const ReattachRequest& request) {
  const std::string message = core::Encode(request);
  for (const membership::Member& member : members->members()) {
    if (member.role != membership::MemberRole::kRouter || member.id == self) {
      continue;
    }
    ++open_calls_;
    auto sink = std::make_shared<PeerSink>(shared_from_this(), open_calls_);
    link->Call(member.link_address, link::CallKind::kReattach, message,
               MakeReplyHandlers(sink));
  }
  if (open_calls_ == 0) {
    stream_->OnAnswerDone(
        MakeStatus(ResultCode::kUnknownRequest,
                   "no host holds an answer for this request"));
  }
}

void ReattachSession::OnFound(size_t host) {
  if (!is_found_) {
    is_found_ = true;
    serving_host_ = host;
  }
}

void ReattachSession::OnChunk(size_t host,
                              uint32_t index,
                              std::string_view payload) {
  if (is_found_ && serving_host_ == host) {
    stream_->OnAnswerChunk(index, payload);
  }
}

void ReattachSession::OnDone(size_t host, const absl::Status& status) {
  --open_calls_;
  if (is_found_) {
    if (serving_host_ == host) {
      stream_->OnAnswerDone(status);
    }
    return;
  }
  if (open_calls_ == 0) {
    stream_->OnAnswerDone(
        MakeStatus(ResultCode::kUnknownRequest,
                   "no host holds an answer for this request"));
  }
}

void ServeReattach(const AnswerStore& answers,
                   const std::shared_ptr<link::InboundCall>& call) {
  const auto request = core::Decode<ReattachRequest>(call->request());
  if (!request.ok()) {
    call->Finish(request.status());
    return;
  }
  const std::shared_ptr<AnswerRecord> record =
      answers.Find(AnswerKey(request->organisation, request->request));
  const bool is_held = record != nullptr && !record->has_failed() &&
                       request->offset >= record->first_index() &&
                       request->offset <= record->next_index();
  if (!is_held) {
    call->Finish(MakeStatus(ResultCode::kUnknownRequest,
                            "this router does not store the answer"));
    return;
  }
  auto listener = std::make_shared<InboundListener>(call);
  // The record holds only a weak reference to its listeners. The call's
  // cancellation handler keeps this listener alive.
  call->OnCancelled([listener] {});
  listener->Begin();
  (void)record->Listen(request->offset, listener);
}

}  // namespace wasabi::router
