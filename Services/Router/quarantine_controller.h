// The fleet's knowledge of requests that crash endpoints.

#ifndef SERVICES_ROUTER_QUARANTINE_CONTROLLER_H_
#define SERVICES_ROUTER_QUARANTINE_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibLink/link.h"
#include "LibMembership/member_table.h"
#include "LibRouting/quarantine_table.h"

namespace wasabi::router {

// Crashes are rare, so each host tells all others of them directly, at once:
// the sooner they know, the fewer endpoints a resent request can reach.
class QuarantineController {
 public:
  QuarantineController(core::EventLoop* loop,
                       core::EventRing* events,
                       link::Link* link,
                       core::HostId self,
                       std::function<membership::MemberTableView()> members);

  routing::QuarantineVerdict VerdictFor(uint64_t digest) const;
  core::Duration RetryAfter(uint64_t digest) const;

  // A runner died with `digests` in flight.
  void RecordCrash(const core::RunnerId& runner,
                   const std::vector<uint64_t>& digests);
  void RecordCompletion(uint64_t digest);

  // Serves a kShareQuarantine call of another host.
  void Serve(const std::shared_ptr<link::InboundCall>& call);

  // Drops what no longer counts, and shares what has changed.
  void Tick();

 private:
  void Share();

  core::EventLoop* loop_;
  core::EventRing* events_;
  link::Link* link_;
  core::HostId self_;
  std::function<membership::MemberTableView()> members_;
  routing::QuarantineTable table_;
  uint64_t next_crash_ = 1;
  // Crashes that came from others need not be sent on.
  bool has_own_news_ = false;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_QUARANTINE_CONTROLLER_H_
