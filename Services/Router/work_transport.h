// Submits work to the host that owns its runner: directly on this host, over a
// link to other hosts.

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

// Sends and serves the messages between entry routers and owners. All pointers
// must outlive it.
class WorkTransport {
 public:
  WorkTransport(core::EventLoop* loop,
                link::Link* link,
                OwnerController* owners,
                core::HostId self);

  // Submits `work` to `owner`. `sink` receives the outcome in a later turn of
  // the loop. For an unreachable host the work ends with kPeerUnreachable, or
  // with kPeerSilent if it may have arrived.
  void Submit(const membership::Member& owner,
              const SubmitWork& work,
              const std::shared_ptr<WorkSink>& sink);

  // Informs `owner`, which owns the chat's first choice, where the chat's
  // context is. The outcome of the call is ignored.
  void RecordPointer(const membership::Member& owner,
                     const PointerUpdate& update);

  // Serves a kSubmitWork, kRecordPointer or kTransferOwnership call from
  // another host.
  void Serve(const std::shared_ptr<link::InboundCall>& call);

  // Informs the new owner of a runner that this host has no more work in flight
  // there. The outcome of the call is ignored.
  void SendOwnershipTransfer(const membership::Member& owner,
                             const OwnershipTransfer& message);

 private:
  void ServeWork(const std::shared_ptr<link::InboundCall>& call);

  core::EventLoop* loop_;
  link::Link* link_;
  OwnerController* owners_;
  core::HostId self_;
};

// Sink that sends replies over a link. OnTryNext, OnFollowPointer and OnDone
// finish the call.
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

// Returns call handlers that decode WorkReply messages and pass them to `sink`.
link::CallHandlers MakeReplyHandlers(const std::shared_ptr<WorkSink>& sink);

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_WORK_TRANSPORT_H_
