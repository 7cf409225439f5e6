#include "Services/Router/work_transport.h"

#include <utility>

#include "LibCore/message.h"
#include "LibCore/result_code.h"

namespace wasabi::router {

namespace {

using core::MakeStatus;
using core::ResultCode;

// Decodes the replies of one call and passes them to its sink.
class ReplyReader {
 public:
  explicit ReplyReader(std::shared_ptr<WorkSink> sink)
      : sink_(std::move(sink)) {}

  void OnMessage(std::string_view bytes) {
    if (is_ended_) {
      return;
    }
    const absl::StatusOr<WorkReply> reply = core::Decode<WorkReply>(bytes);
    if (!reply.ok()) {
      is_ended_ = true;
      sink_->OnDone(MakeStatus(ResultCode::kPeerSilent,
                               "the owner sent a malformed WorkReply message"));
      return;
    }
    switch (reply->kind) {
      case WorkReplyKind::kStarted:
        sink_->OnStarted();
        return;
      case WorkReplyKind::kChunk:
        sink_->OnChunk(reply->index, reply->payload);
        return;
      case WorkReplyKind::kTryNext:
        is_ended_ = true;
        sink_->OnTryNext();
        return;
      case WorkReplyKind::kFollowPointer:
        is_ended_ = true;
        sink_->OnFollowPointer(core::RunnerId(reply->payload));
        return;
    }
  }

  void OnDone(const absl::Status& status) {
    if (!is_ended_) {
      is_ended_ = true;
      sink_->OnDone(status);
    }
  }

 private:
  std::shared_ptr<WorkSink> sink_;
  bool is_ended_ = false;
};

// Returns handlers that ignore the outcome of a call.
link::CallHandlers IgnoreOutcome() {
  return {[](std::string_view) {}, [](const absl::Status&) {}};
}

}  // namespace

void LinkSink::OnStarted() {
  Reply(WorkReplyKind::kStarted, 0, "");
}

void LinkSink::OnTryNext() {
  Reply(WorkReplyKind::kTryNext, 0, "");
  call_->Finish(absl::OkStatus());
}

void LinkSink::OnFollowPointer(const core::RunnerId& runner) {
  Reply(WorkReplyKind::kFollowPointer, 0, runner.value());
  call_->Finish(absl::OkStatus());
}

void LinkSink::OnChunk(uint32_t index, std::string_view payload) {
  Reply(WorkReplyKind::kChunk, index, payload);
}

void LinkSink::OnDone(const absl::Status& status) {
  call_->Finish(status);
}

void LinkSink::Reply(WorkReplyKind kind,
                     uint32_t index,
                     std::string_view payload) {
  call_->Send(core::Encode(WorkReply{kind, index, std::string(payload)}));
}

link::CallHandlers MakeReplyHandlers(const std::shared_ptr<WorkSink>& sink) {
  auto reader = std::make_shared<ReplyReader>(sink);
  link::CallHandlers handlers;
  handlers.on_message = [reader](std::string_view bytes) {
    reader->OnMessage(bytes);
  };
  handlers.on_done = [reader](const absl::Status& status) {
    reader->OnDone(status);
  };
  return handlers;
}

WorkTransport::WorkTransport(core::EventLoop* loop,
                             link::Link* link,
                             OwnerController* owners,
                             core::HostId self)
    : loop_(loop), link_(link), owners_(owners), self_(std::move(self)) {}

void WorkTransport::Submit(const membership::Member& owner,
                           const SubmitWork& work,
                           const std::shared_ptr<WorkSink>& sink) {
  if (owner.id == self_) {
    loop_->Post([this, work, sink] { owners_->Submit(work, sink); });
    return;
  }
  link_->Call(owner.link_address, link::CallKind::kSubmitWork,
              core::Encode(work), MakeReplyHandlers(sink));
}

void WorkTransport::RecordPointer(const membership::Member& owner,
                                  const PointerUpdate& update) {
  if (owner.id == self_) {
    owners_->RecordPointer(update);
    return;
  }
  link_->Call(owner.link_address, link::CallKind::kRecordPointer,
              core::Encode(update), IgnoreOutcome());
}

void WorkTransport::SendOwnershipTransfer(const membership::Member& owner,
                                          const OwnershipTransfer& message) {
  if (owner.id != self_) {
    link_->Call(owner.link_address, link::CallKind::kTransferOwnership,
                core::Encode(message), IgnoreOutcome());
  }
}

void WorkTransport::Serve(const std::shared_ptr<link::InboundCall>& call) {
  if (call->kind() == link::CallKind::kSubmitWork) {
    ServeWork(call);
    return;
  }
  if (call->kind() == link::CallKind::kRecordPointer) {
    const auto update = core::Decode<PointerUpdate>(call->request());
    if (update.ok()) {
      owners_->RecordPointer(*update);
    }
    call->Finish(update.status());
    return;
  }
  const auto transfer = core::Decode<OwnershipTransfer>(call->request());
  if (transfer.ok()) {
    owners_->OnOwnershipTransfer(*transfer);
  }
  call->Finish(transfer.status());
}

void WorkTransport::ServeWork(const std::shared_ptr<link::InboundCall>& call) {
  const auto work = core::Decode<SubmitWork>(call->request());
  if (!work.ok()) {
    call->Finish(work.status());
    return;
  }
  owners_->Submit(*work, std::make_shared<LinkSink>(call));
}

}  // namespace wasabi::router
