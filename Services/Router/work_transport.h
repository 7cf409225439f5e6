// Brings work to the host that owns its runner: to this one by a direct call,
// to another one over a link.

#ifndef SERVICES_ROUTER_WORK_TRANSPORT_H_
#define SERVICES_ROUTER_WORK_TRANSPORT_H_

#include <memory>

#include "LibCore/event_loop.h"
#include "LibLink/link.h"
#include "LibMembership/member.h"
#include "Services/Router/owner_controller.h"
#include "Services/Router/work_message.h"
#include "Services/Router/work_sink.h"

namespace wasabi::router {

class WorkTransport {
 public:
  WorkTransport(core::EventLoop* loop,
                link::Link* link,
                OwnerController* owners,
                core::HostId self);

  // Submits `work` to `owner`. The sink hears the outcome in a later turn of
  // the loop; a host that can't be reached ends it with kPeerUnreachable, or
  // kPeerSilent where the work may have arrived.
  void Submit(const membership::Member& owner,
              const SubmitWork& work,
              const std::shared_ptr<WorkSink>& sink);

  // Tells the owner of the chat's first choice where the chat is.
  void NotePointer(const membership::Member& owner, const PointerNote& note);

  // Serves a kSubmitWork, kNotePointer or kHandOver call of another host.
  void Serve(const std::shared_ptr<link::InboundCall>& call);

  // Sends a hand-over to the new owner of a runner.
  void SendHandOver(const membership::Member& owner, const HandOver& message);

 private:
  void ServeWork(const std::shared_ptr<link::InboundCall>& call);

  core::EventLoop* loop_;
  link::Link* link_;
  OwnerController* owners_;
  core::HostId self_;
};

// Passes an answer back over a link.
class LinkSink : public WorkSink {
 public:
  explicit LinkSink(std::shared_ptr<link::InboundCall> call)
      : call_(std::move(call)) {}

  void OnStarted() override;
  void OnTryNext() override;
  void OnFollowPointer(const core::RunnerId& runner) override;
  void OnChunk(uint32_t index, std::string_view payload) override;
  void OnDone(const absl::Status& status) override;

 private:
  void Reply(WorkReplyKind kind, uint32_t index, std::string_view payload);

  std::shared_ptr<link::InboundCall> call_;
};

// The handlers of a call whose answer messages are WorkReply.
link::CallHandlers RepliesTo(const std::shared_ptr<WorkSink>& sink);

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_WORK_TRANSPORT_H_
