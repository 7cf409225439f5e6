// Shares among routers which requests have crashed endpoints.

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

// Each router sends crashes directly to all other routers at once. Crashes are
// rare, and early sharing limits how many endpoints a resent request can crash.
class QuarantineController {
 public:
  QuarantineController(
      core::EventLoop* loop,
      core::EventRing* events,
      link::Link* link,
      core::HostId self,
      std::function<membership::MemberTableSnapshot()> members);

  // Returns whether a request with this content digest may run.
  routing::QuarantineVerdict VerdictFor(uint64_t digest) const;
  // Returns the time until a quarantined digest may be retried.
  core::Duration RetryAfter(uint64_t digest) const;

  // Records that `runner` crashed with `digests` in flight and shares the crash
  // with the other routers.
  void RecordCrash(const core::RunnerId& runner,
                   const std::vector<uint64_t>& digests);
  // Records that a request with this digest completed; shared at the next Tick
  // if it changes the table.
  void RecordCompletion(uint64_t digest);

  // Serves a kShareQuarantine call from another router.
  void Serve(const std::shared_ptr<link::InboundCall>& call);

  // Removes expired entries and shares local changes.
  void Tick();

 private:
  void Share();

  core::EventLoop* loop_;
  core::EventRing* events_;
  link::Link* link_;
  core::HostId self_;
  std::function<membership::MemberTableSnapshot()> members_;
  routing::QuarantineTable table_;
  uint64_t next_crash_ = 1;
  // Set only by local changes; changes received from other routers are not
  // forwarded.
  bool has_unshared_changes_ = false;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_QUARANTINE_CONTROLLER_H_
